//! A session's share of a limit that several sessions use together.
//!
//! Every session computes its share from its view alone, so the shares under one revision
//! add up to the limit. Sessions do not apply a revision at the same time, however: if
//! one already used its larger share while another still used its old share, they would
//! exceed the limit together. A smaller share therefore applies at once, and a larger one
//! only one window after its revision is settled. From then on, no window contains any
//! use under an older share.
//!
//! Proof for any window that begins at *a*: let *b* be the latest revision that was
//! settled at *a*. If a session uses a share of revision *r*, then *r* has been settled
//! for a window, so *r* ≤ *b*. The session has also applied *b*, and it uses the minimum
//! of all shares from *r* on. So each session uses at most its share under *b*.

use std::collections::VecDeque;
use std::time::Instant;

use crate::id::Revision;
use crate::usage_window::COUNTED_FOR;

/// One share and the pending changes by later revisions.
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
    /// Creates a share that had the value `base` under all revisions so far.
    #[must_use]
    pub const fn with_base(base: u64) -> Self {
        Self {
            base,
            pending: VecDeque::new(),
        }
    }

    /// Sets the share under `revision`.
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

    /// Records that all revisions up to `settled` are settled.
    pub fn settle(&mut self, now: Instant, settled: Revision) {
        let usable_from = now + COUNTED_FOR;
        self.pending
            .iter_mut()
            .filter(|pending| pending.revision <= settled)
            .for_each(|pending| {
                pending.usable_from.get_or_insert(usable_from);
            });
    }

    /// Starts again without a usable share: changes may have been missed, and the proof
    /// requires every share in between.
    pub fn reset(&mut self, revision: Revision, share: u64) {
        *self = Self::default();
        self.set(revision, share);
    }

    /// Returns the amount that may be used per window now.
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

/// Splits `total` in proportion to `weights` so that the parts add up exactly.
///
/// The remainder is distributed one by one to the first parts with a non-zero weight.
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
