//! Names of HTTP headers that carry heatherring's own information, and helpers to read and
//! remove headers.

use heatherring_lib::action_record::CALLER_HEADER;
use heatherring_lib::answer_framing::AnswerFault;
use heatherring_lib::answer_framing::AnswerHead;
use heatherring_lib::answer_framing::Framing;
use heatherring_lib::answer_pairing::EchoedId;
use heatherring_lib::backend_statement::LeavingNotice;
use heatherring_lib::content_length;
use heatherring_lib::pushback::PushbackNotice;
use heatherring_lib::rate_limit::LimitNotice;
use heatherring_lib::spliced_head::holds_status_line;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::Version;
use http::header;
use http::header::AsHeaderName;
use http::response::Parts;
use hyper::ext::ReasonPhrase;

/// Time left until the deadline, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("heatherring-deadline-ms");

/// Identifies a request across all hops.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("heatherring-request-id");

/// Whether a request was answered, was not run, or has an unknown outcome.
pub const OUTCOME: HeaderName = HeaderName::from_static("heatherring-outcome");

/// The caller's idempotency key for an action.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Distinguishes a caller's actions from those of other callers that share the result of a look-up.
/// It is the only header with heatherring's prefix that is passed on as the caller set it.
pub const CALLER: HeaderName = HeaderName::from_static(CALLER_HEADER);

/// The place of the caller; between entry VMs only.
pub const ORIGIN_PLACE: HeaderName = HeaderName::from_static("heatherring-origin-place");

/// The service requested; between entry VMs only.
pub const SERVICE: HeaderName = HeaderName::from_static("heatherring-service");

/// The operation of the service that the request matched; between entry VMs only.
pub const OPERATION: HeaderName = HeaderName::from_static("heatherring-operation");

/// Number of times that a request has been forwarded; between entry VMs only.
pub const HOPS: HeaderName = HeaderName::from_static("heatherring-hops");

/// The session of the entry VM that the request is addressed to; between entry VMs only.
pub const SESSION: HeaderName = HeaderName::from_static("heatherring-session");

/// The region that a forwarded request comes from; between entry VMs only.
pub const FROM_REGION: HeaderName = HeaderName::from_static("heatherring-from-region");

/// Why a forwarded request was refused; between entry VMs only.
pub const REASON: HeaderName = HeaderName::from_static("heatherring-reason");

/// Delay after which a refused request may be retried, in milliseconds; between entry VMs only.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("heatherring-retry-after-ms");

/// The place that is to serve a forwarded request; between entry VMs only.
pub const TARGET_PLACE: HeaderName = HeaderName::from_static("heatherring-target-place");

const OWN_PREFIX: &str = "heatherring-";

const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes the hop-by-hop headers (RFC 9110, 7.6.1), including those that `Connection` names.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Returns where the body of an answer ends; `is_to_head` tells whether it answers `HEAD`.
///
/// # Errors
///
/// Fails if the head permits no answer, or more than one reading.
pub fn framing(head: &Parts, is_to_head: bool) -> Result<Framing, AnswerFault> {
    let lines = |name| texts(&head.headers, name);
    let head = AnswerHead {
        status: head.status.as_u16(),
        is_to_head,
        is_http_1_0: head.version == Version::HTTP_10,
        lengths: lines(header::CONTENT_LENGTH),
        encodings: lines(header::TRANSFER_ENCODING),
        connection: lines(header::CONNECTION),
    };
    head.framing()
}

/// Replaces the lengths of an answer, which agree if its framing is known, by a single one: what
/// relays a message must not pass several on (RFC 9112, 6.3).
pub fn unify_lengths(headers: &mut HeaderMap) {
    let first = text(headers, header::CONTENT_LENGTH).and_then(|line| line.split(',').next());
    if let Some(length) = first.and_then(content_length::parse) {
        headers.insert(header::CONTENT_LENGTH, length.into());
    }
}

/// Removes heatherring's own headers except [`CALLER`]. Values set by outside parties must not be
/// passed on; those that callers may set, such as [`DEADLINE_MS`], are read before.
pub fn remove_own(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(OWN_PREFIX) && **name != CALLER)
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}

/// Sets a header to `value`, or removes it if there is none or it is not a valid header value;
/// earlier values are removed in any case.
pub fn set_or_remove(headers: &mut HeaderMap, name: &HeaderName, value: Option<&str>) {
    headers.remove(name);
    if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
        headers.insert(name, value);
    }
}

/// Reads a header as text; `None` if it is missing or has bytes other than visible ASCII.
#[must_use]
pub fn text(headers: &HeaderMap, name: impl AsHeaderName) -> Option<&str> {
    headers.get(name)?.to_str().ok()
}

/// Reads the identifier of a request; `None` without one, with several, or with one that is empty
/// or not text.
#[must_use]
pub fn request_id(headers: &HeaderMap, name: impl AsHeaderName) -> Option<&str> {
    match EchoedId::read(texts(headers, name)) {
        EchoedId::One(id) => Some(id),
        EchoedId::Absent | EchoedId::Ambiguous => None,
    }
}

/// Reads the identifier of the request that an answer echoes in a header. It is ambiguous in a head
/// that was spliced of two.
#[must_use]
pub fn echoed_id(head: &Parts, name: impl AsHeaderName) -> EchoedId<'_> {
    if is_spliced(head) {
        return EchoedId::Ambiguous;
    }
    EchoedId::read(texts(&head.headers, name))
}

/// Returns whether a head begins with one that broke off and ends with that of another answer.
fn is_spliced(head: &Parts) -> bool {
    let reason = head.extensions.get::<ReasonPhrase>();
    reason.is_some_and(|reason| holds_status_line(reason.as_bytes()))
        || head
            .headers
            .values()
            .any(|value| holds_status_line(value.as_bytes()))
}

/// Reads the rate limit that a header declares.
#[must_use]
pub fn limit_notice(headers: &HeaderMap, name: impl AsHeaderName) -> LimitNotice {
    LimitNotice::read(texts(headers, name))
}

/// Reads whether a header states that the backend server is leaving.
#[must_use]
pub fn leaving_notice(headers: &HeaderMap, name: impl AsHeaderName) -> LeavingNotice {
    LeavingNotice::read(texts(headers, name))
}

/// Reads for how long a backend server wants no further requests. `Retry-After` has this meaning on
/// 503 and 429 only.
#[must_use]
pub fn pushback_notice(head: &Parts) -> PushbackNotice {
    let is_pushback = matches!(
        head.status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    if !is_pushback {
        return PushbackNotice::Absent;
    }
    let date = text(&head.headers, header::DATE);
    PushbackNotice::read(texts(&head.headers, header::RETRY_AFTER), date)
}

/// Returns the names of headers that begin with `prefix` and are not among `known`.
#[must_use]
pub fn with_prefix<'a>(headers: &'a HeaderMap, prefix: &str, known: &[&str]) -> Vec<&'a str> {
    let names = headers.keys().map(HeaderName::as_str);
    names
        .filter(|name| name.starts_with(prefix) && !known.contains(name))
        .collect()
}

fn texts(headers: &HeaderMap, name: impl AsHeaderName) -> impl Iterator<Item = Option<&str>> {
    let values = headers.get_all(name).into_iter();
    values.map(|value| value.to_str().ok())
}

/// Reads a header as a number.
///
/// `None` means that the header is missing, `Some(None)` that it is not a number.
#[must_use]
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<Option<u64>> {
    let value = headers.get(name)?;
    Some(value.to_str().ok().and_then(|text| text.parse().ok()))
}
