//! Detects requests that the HTTP library accepts but that must not be handled.

use heatherring_lib::head_scanner::HeadFraming;
use heatherring_lib::host_value;
use http::HeaderMap;
use http::Method;
use http::Version;
use http::header::HOST;
use snafu::OptionExt;
use snafu::Snafu;
use snafu::ensure;

/// Why a request is answered with status 400 and its connection closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum RequestFault {
    /// The request has no `Host` field.
    #[snafu(display("an HTTP/1.1 request has no Host field"))]
    NoHost,
    /// The request has several `Host` fields.
    #[snafu(display("a request has several Host fields"))]
    SeveralHosts,
    /// The `Host` field does not contain a valid host.
    #[snafu(display("the Host field of a request is not a valid host"))]
    InvalidHost,
    /// The request has both `Content-Length` and `Transfer-Encoding`.
    #[snafu(display("a request has both Content-Length and Transfer-Encoding"))]
    LengthAndEncoding,
    /// The request asks for a tunnel. The HTTP library takes a success for the begin of one, and drops the
    /// answer's body.
    #[snafu(display("a request asks for a tunnel, which is not offered here"))]
    Tunnel,
    /// The request's head does not end where a piece of the stream ends, so its bytes are unknown.
    #[snafu(display("the bytes of a request's head are unknown"))]
    UnknownHead,
}

/// Checks that a request has exactly one valid `Host` field, as RFC 9112 (3.2) requires.
/// HTTP/1.0 does not require one, and HTTP/2 has a pseudo-header for it.
///
/// # Errors
///
/// Returns what is wrong.
pub fn check_host(version: Version, headers: &HeaderMap) -> Result<(), RequestFault> {
    if version > Version::HTTP_11 {
        return Ok(());
    }
    let mut hosts = headers.get_all(HOST).iter();
    let Some(host) = hosts.next() else {
        ensure!(version != Version::HTTP_11, NoHostSnafu);
        return Ok(());
    };
    ensure!(hosts.next().is_none(), SeveralHostsSnafu);
    host_value::is_valid(host.as_bytes())
        .then_some(())
        .context(InvalidHostSnafu)
}

/// Checks that a request does not ask for a tunnel.
///
/// # Errors
///
/// Returns what is wrong.
pub fn check_method(method: &Method) -> Result<(), RequestFault> {
    ensure!(*method != Method::CONNECT, TunnelSnafu);
    Ok(())
}

/// Checks that a request defines the end of its body in one way only.
///
/// # Errors
///
/// Returns what is wrong.
pub const fn check_framing(framing: HeadFraming) -> Result<(), RequestFault> {
    match framing {
        HeadFraming::Plain => Ok(()),
        HeadFraming::LengthAndEncoding => Err(RequestFault::LengthAndEncoding),
        HeadFraming::Unknown => Err(RequestFault::UnknownHead),
    }
}
