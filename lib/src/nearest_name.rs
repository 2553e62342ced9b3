//! Finds the known name that a mistyped one was meant to be.

/// Least similarity at which a name is worth suggesting, from 0 to 1.
const MIN_SIMILARITY: f64 = 0.75;

/// Returns the known name that is most similar to `name`, if one is similar at all.
pub fn nearest_name<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, candidate)| candidate)
}
