//! What an entry VM still takes, begins and finishes once it was asked to stop.
//!
//! One rule: nothing is begun that can't end before the process does. An action that is cut
//! off has an unknown fate, and its caller can't ask again; the same request that is refused
//! unrun is answered by another entry VM. Whether work can end is therefore asked where it
//! is passed on, however long ago its request was read. Refusing from the first moment would
//! be as safe, and would turn away what has time enough.

use std::time::Duration;
use std::time::Instant;

/// Share of the time until a stop by force after which no more requests are taken. Callers
/// have learned of other entry VMs by then, and what was taken last has time to finish.
const SERVE_SHARE: f64 = 0.45;

/// Share of that time after which the process ends, whatever is still under way.
const FINISH_SHARE: f64 = 0.95;

/// Time before that end at which an answer must be there to still be written: the way to the
/// caller, 8 to 24 ms, and a busy moment.
const WAY_BACK: Duration = Duration::from_millis(40);

/// Follows a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedStop {
    asked_at: Instant,
    grace: Duration,
}

impl PlannedStop {
    /// Begins a stop that was asked for at `asked_at`; `grace` later the process is ended by
    /// force.
    #[must_use]
    pub const fn new(asked_at: Instant, grace: Duration) -> Self {
        Self { asked_at, grace }
    }

    /// Returns when the last request is taken.
    #[must_use]
    pub fn takes_until(&self) -> Instant {
        self.asked_at + self.grace.mul_f64(SERVE_SHARE)
    }

    /// Returns when an answer must be there at the latest.
    #[must_use]
    pub fn answers_until(&self) -> Instant {
        let ends_at = self.ends_at();
        ends_at.checked_sub(WAY_BACK).unwrap_or(ends_at)
    }

    /// Returns when the process ends.
    #[must_use]
    pub fn ends_at(&self) -> Instant {
        self.asked_at + self.grace.mul_f64(FINISH_SHARE)
    }

    /// Returns how long ago it was asked for.
    #[must_use]
    pub fn asked_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.asked_at)
    }
}
