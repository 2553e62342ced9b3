//! Reads parameters from the query of a URL.

use http::Uri;

/// Returns the first value of a parameter, without unescaping; `None` if it is absent.
#[must_use]
pub fn find<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let mut pairs = uri
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
