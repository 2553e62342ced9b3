//! What an entry VM still takes, begins and finishes once it was asked to stop.
//!
//! Two rules. Nothing is begun that can't end before the process does: an action that is cut
//! off has an unknown fate, and its caller can't ask again; the same request that is refused
//! unrun is answered by another entry VM. Whether work can end is therefore asked where it
//! is passed on, however long ago its request was read. Refusing from the first moment would
//! be as safe, and would turn away what has time enough. And whatever was begun gets an answer
//! before the end, if only that its fate is unknown: a caller that hears nothing waits for its
//! own deadline, and answers that are ready behind it on its connection would be lost with it.

use std::time::Duration;
use std::time::Instant;

/// Share of the time until a stop by force after which no more requests are taken. Callers
/// have learned of other entry VMs by then, and what was taken last has time to finish.
const ACCEPT_SHARE: f64 = 0.45;

/// Share of that time after which the process ends, whatever is still under way.
const FINISH_SHARE: f64 = 0.95;

/// Time before that end in which the last answers are written. All that is under way is told
/// at once then, and each answer takes its way of 8 to 24 ms.
const FINAL_ANSWERS_MARGIN: Duration = Duration::from_millis(100);

/// Follows a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedStop {
    requested_at: Instant,
    grace: Duration,
}

impl PlannedStop {
    /// Begins a stop that was asked for at `requested_at`; `grace` later the process is ended by
    /// force.
    #[must_use]
    pub const fn new(requested_at: Instant, grace: Duration) -> Self {
        Self {
            requested_at,
            grace,
        }
    }

    /// Returns until when requests are taken.
    #[must_use]
    pub fn accepts_until(&self) -> Instant {
        self.requested_at + self.grace.mul_f64(ACCEPT_SHARE)
    }

    /// Returns whether a request is taken whose head came at `arrived`, by whatever way it
    /// came to be read after the others.
    #[must_use]
    pub fn accepts(&self, arrived: Instant) -> bool {
        arrived <= self.accepts_until()
    }

    /// Returns when an answer must be there at the latest.
    #[must_use]
    pub fn answers_until(&self) -> Instant {
        let ends_at = self.ends_at();
        ends_at.checked_sub(FINAL_ANSWERS_MARGIN).unwrap_or(ends_at)
    }

    /// Returns when the process ends.
    #[must_use]
    pub fn ends_at(&self) -> Instant {
        self.requested_at + self.grace.mul_f64(FINISH_SHARE)
    }

    /// Returns the time from the request to stop until `at`; zero before it.
    #[must_use]
    pub fn since_requested(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.requested_at)
    }
}
