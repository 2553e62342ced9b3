//! Limits the rate of log lines, dropping those of low priority first.

use std::time::Instant;

/// Highest sustained rate of log lines per second of one process. At 450 bytes a line this is 90
/// kB/s, and at 10 µs a line 0.2% of a core. An entry VM is expected to serve up to 60 requests per
/// second, so under ordinary load each request is logged.
pub const LINES_PER_SECOND: f64 = 200.0;

/// Number of lines that may be written in a burst after an idle period.
const BURST: f64 = 400.0;

/// Share of [`BURST`] reserved for lines of higher priority than routine ones.
const RESERVED_FROM_ROUTINE: f64 = 0.5;

/// Share of [`BURST`] reserved for alarms.
const RESERVED_FROM_NOTABLE: f64 = 0.1;

/// Priority of a log line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinePriority {
    /// A request that was answered.
    Routine,
    /// A request that was not answered, or a state change that the process observed.
    Notable,
    /// Warnings and errors.
    Alarm,
}

/// Token bucket that limits the log lines of one process.
#[derive(Clone, Copy, Debug)]
pub struct LogRateLimiter {
    tokens: f64,
    at: Instant,
}

impl LogRateLimiter {
    /// Creates a limiter with a full bucket.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            tokens: BURST,
            at: now,
        }
    }

    /// Returns whether a line may be written, and takes a token if so.
    pub fn try_take(&mut self, now: Instant, priority: LinePriority) -> bool {
        let since = now.saturating_duration_since(self.at).as_secs_f64();
        self.tokens = (self.tokens + since * LINES_PER_SECOND).min(BURST);
        self.at = now;
        let reserved = match priority {
            LinePriority::Routine => BURST * RESERVED_FROM_ROUTINE,
            LinePriority::Notable => BURST * RESERVED_FROM_NOTABLE,
            LinePriority::Alarm => 0.0,
        };
        let is_allowed = self.tokens >= reserved + 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
