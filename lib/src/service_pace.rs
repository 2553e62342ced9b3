//! How long a service's requests take, with and without their data at hand.

use std::time::Duration;

/// Weight of the latest observation; about the last 20 requests count.
const WEIGHT: f64 = 0.05;

/// What is assumed before the first answers.
const FIRST_WARM: f64 = 0.1;
const FIRST_COLD: f64 = 0.3;

/// Follows the times of one service.
#[derive(Clone, Copy, Debug)]
pub struct ServicePace {
    warm: f64,
    cold: f64,
    any: f64,
}

impl Default for ServicePace {
    fn default() -> Self {
        Self {
            warm: FIRST_WARM,
            cold: FIRST_COLD,
            any: FIRST_WARM,
        }
    }
}

impl ServicePace {
    /// Returns the time that a request is expected to run, in seconds.
    #[must_use]
    pub const fn expected(&self, warm: bool) -> f64 {
        if warm { self.warm } else { self.cold }
    }

    /// Returns the mean time that a request of any kind runs, in seconds.
    #[must_use]
    pub const fn mean(&self) -> f64 {
        self.any
    }

    /// Notes how long a request ran that didn't have to wait.
    pub fn observe(&mut self, warm: bool, took: Duration) {
        let took = took.as_secs_f64();
        let kind = if warm { &mut self.warm } else { &mut self.cold };
        *kind += (took - *kind) * WEIGHT;
        self.any += (took - self.any) * WEIGHT;
    }
}
