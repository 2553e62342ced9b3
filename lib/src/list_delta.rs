//! Difference between two lists whose order matters.

use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt;
use snafu::Snafu;

/// Number of items by which the search for the next common item looks ahead.
///
/// Bounds the work to a few hundred comparisons per differing item. Lists that differ over longer
/// stretches produce a larger delta, never a wrong one.
const LOOK_AHEAD: usize = 128;

/// Reason why a delta cannot be applied to a list.
#[derive(Debug, Snafu)]
pub enum ListDeltaError {
    /// The delta reaches past the end of the list.
    #[snafu(display("the delta reaches past the end of its base of {length} items"))]
    PastEnd {
        /// Number of items in the list.
        length: usize,
    },
}

/// Steps that turn one list into another. Items after the last step are kept.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListDelta<T> {
    steps: Vec<Step<T>>,
}

/// Keeps `keep` items, then drops `skip` items and inserts others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Step<T> {
    keep: usize,
    skip: usize,
    insert: Vec<T>,
}

impl<T: Clone + PartialEq> ListDelta<T> {
    /// Computes the delta from `base` to `target`.
    #[must_use]
    pub fn between(base: &[T], target: &[T]) -> Self {
        // A single contiguous edit of any length is found by its common prefix and suffix alone.
        let kept_end = common_suffix(base, target);
        let mut base = &base[..base.len() - kept_end];
        let mut target = &target[..target.len() - kept_end];
        let mut steps = Vec::new();
        while base != target {
            let keep = common_prefix(base, target);
            base = &base[keep..];
            target = &target[keep..];
            let (skip, insert) = differing_prefix(base, target);
            steps.push(Step {
                keep,
                skip,
                insert: target[..insert].to_vec(),
            });
            base = &base[skip..];
            target = &target[insert..];
        }
        Self { steps }
    }

    /// Applies the steps to `base`.
    ///
    /// # Errors
    ///
    /// Returns an error if a step reaches past the end of `base`.
    pub fn apply(&self, base: &[T]) -> Result<Vec<T>, ListDeltaError> {
        let length = base.len();
        let mut rest = base;
        let mut result = Vec::with_capacity(length);
        for step in &self.steps {
            let (kept, after_kept) = rest
                .split_at_checked(step.keep)
                .context(PastEndSnafu { length })?;
            result.extend_from_slice(kept);
            result.extend_from_slice(&step.insert);
            rest = after_kept
                .get(step.skip..)
                .context(PastEndSnafu { length })?;
        }
        result.extend_from_slice(rest);
        Ok(result)
    }
}

fn common_prefix<T: PartialEq>(base: &[T], target: &[T]) -> usize {
    base.iter().zip(target).take_while(|(a, b)| a == b).count()
}

fn common_suffix<T: PartialEq>(base: &[T], target: &[T]) -> usize {
    let pairs = base.iter().rev().zip(target.iter().rev());
    pairs.take_while(|(a, b)| a == b).count()
}

/// Returns how many items of `base` and of `target` precede their nearest next common item, or up
/// to [`LOOK_AHEAD`] items of each if none is within reach.
fn differing_prefix<T: PartialEq>(base: &[T], target: &[T]) -> (usize, usize) {
    for distance in 1..LOOK_AHEAD {
        let meets = |(skip, insert): &(usize, usize)| match (base.get(*skip), target.get(*insert)) {
            (Some(a), Some(b)) => a == b,
            _ => false,
        };
        let candidates = [(distance, distance), (distance, 0), (0, distance)];
        if let Some(found) = candidates.into_iter().find(meets) {
            return found;
        }
    }
    (base.len().min(LOOK_AHEAD), target.len().min(LOOK_AHEAD))
}
