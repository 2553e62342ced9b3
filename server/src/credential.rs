//! Reads the API key that a caller sends as a bearer token (RFC 6750, 2.1).

use heatherring_lib::team::KeyDigest;
use http::HeaderMap;
use http::header::AUTHORIZATION;

const SCHEME: &[u8] = b"bearer";

/// Returns the digest of the key in `headers`; `None` if there is no key, or more than one.
#[must_use]
pub fn read(headers: &HeaderMap) -> Option<KeyDigest> {
    let mut sent = headers.get_all(AUTHORIZATION).iter();
    match (sent.next(), sent.next()) {
        (Some(value), None) => digest(value.as_bytes()),
        _ => None,
    }
}

/// Removes the `Authorization` header, whatever it contains.
pub fn remove(headers: &mut HeaderMap) {
    headers.remove(AUTHORIZATION);
}

fn digest(value: &[u8]) -> Option<KeyDigest> {
    let (scheme, rest) = value.split_at_checked(SCHEME.len())?;
    let key = rest.strip_prefix(b" ")?.trim_ascii();
    let is_key = scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty();
    is_key.then(|| KeyDigest::of(key))
}
