//! Limits how many confirmed refusals an entry VM may answer by trying another owner.

use std::time::Duration;
use std::time::Instant;

/// Maximum number of attempts per request, including the first.
pub const MAX_TRIES: usize = 3;

/// Retries earned per request.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Retries a second that are always allowed, so that an entry VM with little traffic can retry.
const FLOOR_PER_SECOND: f64 = 2.0;

/// Maximum number of accumulated retries.
const MAX_TOKENS: f64 = 20.0;

/// Limits the retries of an entry VM to a share of its requests.
///
/// Without a limit, each refusal under overload would cause two more requests, so that the load
/// grows exactly when it is already too high. This shows as a refusal rate that stays high
/// after its cause is gone.
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
    /// Records a request of a caller.
    pub fn note_request(&mut self, now: Instant) {
        self.refill(now);
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes one retry from the budget; returns whether there was one.
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
