//! How long a service's requests take, with and without their data at hand.
//!
//! Whether a request found its data at hand isn't told; another entry VM may have asked for
//! the same object, or the backend server may have dropped it. So each observation counts
//! for the kind whose estimate it is nearer to.

use std::time::Duration;

/// Step by which an estimate moves with each observation; about the last 30 count.
const STEP: f64 = 0.05;

/// Observations of one kind from whose mean its estimate starts. What is assumed before is
/// off by a factor of up to five, and steps of [`STEP`] would take ten seconds to make up
/// for it at twenty requests a second.
const FIRST: u32 = 8;

/// Times the estimate that one of the first observations counts for at most, so that an
/// outlier among them doesn't stand for long.
const MOST_RISE: f64 = 4.0;

/// Share of the observations that lie below the estimates. Some requests have waited without
/// it being known; a mean would follow these, and a service under load would look slow for
/// good.
const QUANTILE: f64 = 0.4;

/// What is assumed before the first answers, in seconds.
const FIRST_WARM: f64 = 0.1;
const FIRST_COLD: f64 = 0.3;

/// Times that a request may take as long without its data as with them, at most. Where all
/// requests were of one kind so far, this bounds how wrong the other estimate may be.
const MOST_GAIN: f64 = 5.0;

/// Times that it takes as long at least. Without it the estimates would meet once requests
/// with their data at hand take longer than was assumed without: then backend servers
/// without the data look as good as any, and half of a region's requests change regions.
const LEAST_GAIN: f64 = 2.0;

/// Follows the times of one service.
#[derive(Clone, Copy, Debug)]
pub struct ServicePace {
    warm: Estimate,
    cold: Estimate,
    any: f64,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    value: f64,
    observed: u32,
}

impl Estimate {
    const fn new(value: f64) -> Self {
        Self { value, observed: 0 }
    }

    const fn is_settled(&self) -> bool {
        self.observed >= FIRST
    }

    fn observe(&mut self, took: f64) {
        if !self.is_settled() {
            self.observed += 1;
            let took = took.min(self.value * MOST_RISE);
            self.value += (took - self.value) / f64::from(self.observed);
        } else if took > self.value {
            self.value *= 1.0 + STEP * QUANTILE;
        } else {
            self.value *= 1.0 - STEP * (1.0 - QUANTILE);
        }
    }
}

impl Default for ServicePace {
    fn default() -> Self {
        Self {
            warm: Estimate::new(FIRST_WARM),
            cold: Estimate::new(FIRST_COLD),
            any: FIRST_WARM,
        }
    }
}

impl ServicePace {
    /// Returns the time that a request is expected to run, in seconds.
    #[must_use]
    pub const fn expected(&self, warm: bool) -> f64 {
        if warm {
            self.warm.value
        } else {
            self.cold.value
        }
    }

    /// Returns the mean time that a request of any kind runs, in seconds.
    #[must_use]
    pub const fn mean(&self) -> f64 {
        self.any
    }

    /// Notes how long a request ran that didn't have to wait.
    pub fn observe(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let between = (self.warm.value * self.cold.value).sqrt();
        if took < between {
            self.warm.observe(took);
            self.cold.value = self.cold.value.max(self.warm.value * LEAST_GAIN);
        } else {
            self.cold.observe(took);
            self.warm.value = self.warm.value.min(self.cold.value / LEAST_GAIN);
            if self.cold.is_settled() || !self.warm.is_settled() {
                self.warm.value = self.warm.value.max(self.cold.value / MOST_GAIN);
            }
        }
        self.any += (took.min(self.cold.value) - self.any) * STEP;
    }
}
