//! The key that a caller sends with a request (RFC 6750, 2.1).

use heatherring_lib::team::KeyDigest;
use http::HeaderMap;
use http::header::AUTHORIZATION;

const SCHEME: &[u8] = b"bearer";

/// Returns the digest of the key in `headers`; nothing if there is none, or several.
#[must_use]
pub fn read(headers: &HeaderMap) -> Option<KeyDigest> {
    let mut sent = headers.get_all(AUTHORIZATION).iter();
    match (sent.next(), sent.next()) {
        (Some(value), None) => digest(value.as_bytes()),
        _ => None,
    }
}

/// Takes the key out, together with whatever else stands there in its place.
pub fn remove(headers: &mut HeaderMap) {
    headers.remove(AUTHORIZATION);
}

fn digest(value: &[u8]) -> Option<KeyDigest> {
    let (scheme, rest) = value.split_at_checked(SCHEME.len())?;
    let key = rest.strip_prefix(b" ")?.trim_ascii();
    let is_key = scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty();
    is_key.then(|| KeyDigest::of(key))
}
