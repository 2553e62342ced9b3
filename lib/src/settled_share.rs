//! A share of a limit that several sessions hold together.
//!
//! Every session computes its share from its view alone, so the shares under one
//! revision add up to the limit. Sessions don't apply a revision at the same moment,
//! though: one that already takes its larger share, beside one that still takes the old
//! share, would exceed the limit together. So a smaller share holds at once, and a
//! larger one only from one window after its revision is settled. From then on, no
//! window contains a use under an older share.
//!
//! The argument for any window that begins at *a*: let *b* be the latest revision that
//! was settled at *a*. Whoever uses a share of revision *r* for itself has *r* settled
//! since a window, so *r* ≤ *b*; it has applied *b* too, and takes the least of all
//! shares from *r* on. So each session uses at most its share under *b*.

use std::collections::VecDeque;
use std::time::Instant;

use crate::id::Revision;
use crate::usage_window::COUNTED_FOR;

/// Follows one share over the revisions that change it.
#[derive(Clone, Debug, Default)]
pub struct SettledShare {
    base: u64,
    pending: VecDeque<PendingShare>,
}

#[derive(Clone, Copy, Debug)]
struct PendingShare {
    revision: Revision,
    share: u64,
    usable_from: Option<Instant>,
}

impl SettledShare {
    /// Starts a share that had one value under all revisions before.
    #[must_use]
    pub const fn with_base(base: u64) -> Self {
        Self {
            base,
            pending: VecDeque::new(),
        }
    }

    /// Notes the share under `revision`.
    pub fn set(&mut self, revision: Revision, share: u64) {
        let last = self.pending.back().map_or(self.base, |last| last.share);
        if share != last {
            self.pending.push_back(PendingShare {
                revision,
                share,
                usable_from: None,
            });
        }
    }

    /// Notes that `settled` is settled.
    pub fn settle(&mut self, now: Instant, settled: Revision) {
        let usable_from = now + COUNTED_FOR;
        self.pending
            .iter_mut()
            .filter(|pending| pending.revision <= settled)
            .for_each(|pending| {
                pending.usable_from.get_or_insert(usable_from);
            });
    }

    /// Starts again from nothing: changes may have gone unseen, and the argument needs
    /// every share in between.
    pub fn reset(&mut self, revision: Revision, share: u64) {
        *self = Self::default();
        self.set(revision, share);
    }

    /// Returns what may be used now.
    pub fn limit(&mut self, now: Instant) -> u64 {
        while let Some(first) = self.pending.front() {
            if first.usable_from.is_none_or(|from| now < from) {
                break;
            }
            self.base = first.share;
            self.pending.pop_front();
        }
        self.pending
            .iter()
            .map(|pending| pending.share)
            .fold(self.base, u64::min)
    }
}

/// Splits `total` in proportion to `weights`, so that the parts add up to it exactly.
///
/// What doesn't divide goes to the first ones, one each.
#[must_use]
pub fn split(total: u64, weights: &[u64]) -> Vec<u64> {
    let sum: u128 = weights.iter().map(|weight| u128::from(*weight)).sum();
    if sum == 0 {
        return vec![0; weights.len()];
    }
    let part = |weight: &u64| u128::from(total) * u128::from(*weight) / sum;
    let mut parts: Vec<u64> = weights
        .iter()
        .map(|weight| u64::try_from(part(weight)).unwrap_or(u64::MAX))
        .collect();
    let mut left = total - parts.iter().sum::<u64>();
    for (part, weight) in parts.iter_mut().zip(weights) {
        if left > 0 && *weight > 0 {
            *part += 1;
            left -= 1;
        }
    }
    parts
}
