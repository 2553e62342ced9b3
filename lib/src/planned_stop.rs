//! Which requests an entry VM accepts, starts and finishes during a planned stop.
//!
//! First, no work starts that cannot finish before the process ends. The outcome of an
//! interrupted action is unknown and its caller cannot retry, whereas a request that is
//! refused without being run is answered by another entry VM. The remaining time is
//! therefore checked when a request is forwarded, however long ago it was read. Refusing
//! everything from the beginning of the stop would be as safe, but would also refuse
//! requests with enough time.
//!
//! Second, everything that was started is answered before the process ends, if only with
//! an unknown outcome. A caller without an answer waits until its own deadline, and
//! finished answers queued behind it on the same connection would be lost as well.

use std::time::Duration;
use std::time::Instant;

/// Fraction of the grace period after which no more requests are accepted. By then
/// callers have learned of other entry VMs, and the requests accepted last have time to
/// finish.
const ACCEPT_SHARE: f64 = 0.45;

/// Fraction of the grace period after which the process ends, even if requests are in
/// flight.
const FINISH_SHARE: f64 = 0.95;

/// Time before the end of the process in which the remaining answers are written. All
/// requests in flight are answered at once at that time, and each answer takes 8 to 24 ms
/// to reach its caller.
const FINAL_ANSWERS_MARGIN: Duration = Duration::from_millis(100);

/// Schedule of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedStop {
    requested_at: Instant,
    grace: Duration,
}

impl PlannedStop {
    /// Creates the schedule of a stop that was requested at `requested_at`; the process
    /// is killed `grace` later.
    #[must_use]
    pub const fn new(requested_at: Instant, grace: Duration) -> Self {
        Self {
            requested_at,
            grace,
        }
    }

    /// Returns the time until which requests are accepted.
    #[must_use]
    pub fn accepts_until(&self) -> Instant {
        self.requested_at + self.grace.mul_f64(ACCEPT_SHARE)
    }

    /// Returns whether a request whose head arrived at `arrived` is accepted, even if it
    /// is read later.
    #[must_use]
    pub fn accepts(&self, arrived: Instant) -> bool {
        arrived <= self.accepts_until()
    }

    /// Returns the time by which every answer must be ready.
    #[must_use]
    pub fn answers_until(&self) -> Instant {
        let ends_at = self.ends_at();
        ends_at.checked_sub(FINAL_ANSWERS_MARGIN).unwrap_or(ends_at)
    }

    /// Returns the time at which the process ends.
    #[must_use]
    pub fn ends_at(&self) -> Instant {
        self.requested_at + self.grace.mul_f64(FINISH_SHARE)
    }

    /// Returns the time from the stop request until `at`; zero if `at` is earlier.
    #[must_use]
    pub fn since_requested(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.requested_at)
    }
}
