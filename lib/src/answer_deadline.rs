//! Until when an answer that has begun is passed on.

use std::time::Duration;
use std::time::Instant;

/// Time after the last bytes of an answer for which more are awaited past its deadline.
const STALLED_AFTER: Duration = Duration::from_secs(1);

/// Time past its deadline after which an answer ends even if bytes of it arrive.
const MAX_OVERTIME: Duration = Duration::from_secs(5);

/// When an answer ends, complete or not.
#[derive(Clone, Copy, Debug)]
pub struct AnswerDeadline {
    due: Instant,
    end: Instant,
}

impl AnswerDeadline {
    /// Creates a deadline at which the answer ends.
    #[must_use]
    pub const fn strict(due: Instant) -> Self {
        Self { due, end: due }
    }

    /// Creates a deadline past which an answer goes on for a bounded time while bytes of it arrive.
    #[must_use]
    pub fn with_overtime(due: Instant) -> Self {
        Self {
            due,
            end: due + MAX_OVERTIME,
        }
    }

    /// Returns when the answer ends at the latest.
    #[must_use]
    pub const fn end(&self) -> Instant {
        self.end
    }

    /// Returns whether nothing arrived for so long at `now` that the answer has stalled, if the last
    /// bytes arrived at `active_at`.
    #[must_use]
    pub fn is_stalled(active_at: Instant, now: Instant) -> bool {
        active_at + STALLED_AFTER <= now
    }

    /// Returns when the answer ends if no more bytes arrive after `active_at`.
    #[must_use]
    pub fn ends_at(&self, active_at: Instant) -> Instant {
        self.due.max(self.end.min(active_at + STALLED_AFTER))
    }
}
