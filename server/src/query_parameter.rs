//! Parameters of a look-up, from the query of its URL.

use http::Uri;

/// Returns the first value of a parameter, as it is written; nothing if it isn't there.
#[must_use]
pub fn find<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let mut pairs = uri
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
