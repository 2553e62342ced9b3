//! When a refused caller is told to come back.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Least time after which a refused caller is told to come back.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// Longest time after which a refused caller is told to come back.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Spreads the return of refused callers.
///
/// Callers who were refused together and told the same time come back together, and are
/// refused together again; that shows as waves of refusals. So the time is spread over
/// an interval that grows with the number of refused ones for each one that is served.
#[derive(Debug)]
pub struct RetryAdvice {
    rng: ChaCha8Rng,
}

impl RetryAdvice {
    /// Starts from a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the time to tell when there may be room after `wait` and `refused`
    /// requests a second share in what `served` a second leave.
    pub fn after(&mut self, wait: Duration, refused: f64, served: f64) -> Duration {
        let base = wait.clamp(MIN_WAIT, MAX_WAIT);
        let competitors = refused / served.max(1.0);
        let spread = base.mul_f64(1.0 + competitors.min(f64::from(u16::MAX)));
        let jitter = spread.mul_f64(self.rng.random::<f64>());
        base.saturating_add(jitter).min(MAX_WAIT)
    }
}
