//! Retry delays for refused callers.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Lower bound of the retry delay.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// Upper bound of the retry delay.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Spreads the retries of refused callers.
///
/// Callers that are refused together and given the same delay return together and are refused
/// again, which shows as waves of refusals. The delay is therefore randomized over an interval
/// that grows with the number of refused requests per served request.
#[derive(Debug)]
pub struct RetryAdvice {
    rng: ChaCha8Rng,
}

impl RetryAdvice {
    /// Creates a generator of delays from a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns a retry delay, given that capacity is expected after `wait`, and that `refused`
    /// requests a second compete for the capacity of `served` requests a second.
    pub fn after(&mut self, wait: Duration, refused: f64, served: f64) -> Duration {
        let base = wait.clamp(MIN_WAIT, MAX_WAIT);
        let competitors = refused / served.max(1.0);
        let spread = base.mul_f64(1.0 + competitors.min(f64::from(u16::MAX)));
        let jitter = spread.mul_f64(self.rng.random::<f64>());
        base.saturating_add(jitter).min(MAX_WAIT)
    }

    /// Like [`Self::after`] for one request a second that is served, but no longer than `longest`.
    /// Callers whose delay is cut short for that are still spread.
    pub fn within(&mut self, longest: Duration, wait: Duration, refused: f64) -> Duration {
        /// Part of the longest delay over which callers are spread.
        const SPREAD: f64 = 0.3;
        let after = self.after(wait, refused, 1.0);
        if after <= longest {
            return after;
        }
        longest.mul_f64(1.0 - SPREAD * self.rng.random::<f64>())
    }
}
