//! Suggestions for misspelled names.

/// Minimum Jaro-Winkler similarity of a suggested name, from 0 to 1.
const MIN_SIMILARITY: f64 = 0.75;

/// Returns the known name that is most similar to `name`, or `None` if none is similar enough.
pub fn nearest_name<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, candidate)| candidate)
}
