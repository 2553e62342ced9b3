//! Requests that the HTTP library takes and that must not be handled.

use heatherring_lib::head_scanner::HeadFraming;
use heatherring_lib::host_value;
use http::HeaderMap;
use http::Version;
use http::header::HOST;
use snafu::OptionExt;
use snafu::Snafu;
use snafu::ensure;

/// Tells why a request is answered 400, and its connection closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum RequestFault {
    /// It doesn't say which host it is meant for.
    #[snafu(display("a request of HTTP/1.1 names no host"))]
    NoHost,
    /// It has several `Host` fields.
    #[snafu(display("a request names several hosts"))]
    SeveralHosts,
    /// Its `Host` field holds something else.
    #[snafu(display("what a request names as its host isn't one"))]
    InvalidHost,
    /// The end of its body is announced in two ways.
    #[snafu(display("a request has both a length and an encoding"))]
    LengthAndEncoding,
    /// The bytes of its head aren't known.
    #[snafu(display("a request's head ends where none can end"))]
    UnknownHead,
}

/// Checks that a request names one host, as RFC 9112 (3.2) asks. HTTP/1.0 need not name one, and
/// HTTP/2 has its own field for it.
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

/// Checks that a request says in one way where its body ends.
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
