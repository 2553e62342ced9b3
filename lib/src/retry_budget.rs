//! How many proved refusals an entry may answer by asking another owner.

use std::time::Duration;
use std::time::Instant;

/// Tries that one request may take in all, the first one included.
pub const MAX_TRIES: usize = 3;

/// Further tries for each 100 requests.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Further tries a second that are always allowed, so that a quiet entry can retry.
const FLOOR_PER_SECOND: f64 = 2.0;

/// Further tries that may be saved up.
const MAX_TOKENS: f64 = 20.0;

/// Bounds the further tries of an entry to a share of its requests.
///
/// Without a bound, refusals under overload turn into two more requests each, so that
/// load grows exactly when there is too much of it; that shows as a refusal rate that
/// stays high after the cause is gone.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: f64,
    last: Option<Instant>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: FLOOR_PER_SECOND,
            last: None,
        }
    }
}

impl RetryBudget {
    /// Notes a request of a caller.
    pub fn note_request(&mut self, now: Instant) {
        self.refill(now);
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes one further try out of the budget, if there is one.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: Instant) {
        let since = self
            .last
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.last = self.last.max(Some(now));
        self.tokens = (self.tokens + since.as_secs_f64() * FLOOR_PER_SECOND).min(MAX_TOKENS);
    }
}
