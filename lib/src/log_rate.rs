//! Which log lines are written when there are more than a process can afford.

use std::time::Instant;

/// Lines a second that one process writes at most. At 450 bytes a line that is 90 kB/s, and
/// at 10 µs a line 0.2% of a core. An entry VM of the users' has up to 60 requests a second,
/// so that every one is logged under an ordinary load.
pub const LINES_PER_SECOND: f64 = 200.0;

/// Lines that may be written at once after a quiet time.
const BURST: f64 = 400.0;

/// Part of [`BURST`] that is left for lines of more weight than routine ones.
const KEPT_FROM_ROUTINE: f64 = 0.5;

/// Part of [`BURST`] that is left for alarms.
const KEPT_FROM_NOTABLE: f64 = 0.1;

/// Says how much a line tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinePriority {
    /// A request that was answered.
    Routine,
    /// A request that got no answer, or a change of what the process believes.
    Notable,
    /// Warnings and errors.
    Alarm,
}

/// Bounds the lines of one process.
#[derive(Clone, Copy, Debug)]
pub struct LogRateLimiter {
    tokens: f64,
    at: Instant,
}

impl LogRateLimiter {
    /// Starts with the whole burst.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            tokens: BURST,
            at: now,
        }
    }

    /// Returns whether a line may be written, and counts it if so.
    pub fn try_take(&mut self, now: Instant, weight: LinePriority) -> bool {
        let since = now.saturating_duration_since(self.at).as_secs_f64();
        self.tokens = (self.tokens + since * LINES_PER_SECOND).min(BURST);
        self.at = now;
        let kept = match weight {
            LinePriority::Routine => BURST * KEPT_FROM_ROUTINE,
            LinePriority::Notable => BURST * KEPT_FROM_NOTABLE,
            LinePriority::Alarm => 0.0,
        };
        let may = self.tokens >= kept + 1.0;
        if may {
            self.tokens -= 1.0;
        }
        may
    }
}
