//! Time that requests take at the backend servers, by operation.

use std::time::Duration;
use std::time::Instant;

/// Weight of a new sample in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;

/// Weight of a new sample in the mean deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 8.0;

/// Number of deviations added to the mean to get the time that a request needs. A higher number
/// would refuse requests that would more likely than not be in time; a lower one would run
/// requests that are late under overload (figures in docs/design/admission.md).
const DEVIATIONS: f64 = 1.0;

/// Time without samples after which an estimate begins to decay. An estimate that is too high
/// admits no requests, and without requests there are no samples to correct it; the service
/// would refuse everything forever.
const DECAY_AFTER: Duration = Duration::from_secs(1);

/// Half-life of a decaying estimate.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Estimates the time of one kind of requests by moving averages of the samples and their
/// deviation, like the round-trip estimate of TCP (RFC 6298).
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    mean: f64,
    deviation: f64,
    last: Option<Instant>,
}

impl Estimate {
    fn add(&mut self, now: Instant, seconds: f64) {
        if self.last.is_none() {
            self.mean = seconds;
            self.deviation = seconds / 2.0;
        } else {
            let error = seconds - self.mean;
            self.mean += MEAN_WEIGHT * error;
            self.deviation += DEVIATION_WEIGHT * (error.abs() - self.deviation);
        }
        self.last = Some(now);
    }

    fn decay(&self, now: Instant) -> f64 {
        let Some(last) = self.last else {
            return 0.0;
        };
        let idle = now
            .saturating_duration_since(last)
            .saturating_sub(DECAY_AFTER);
        0.5_f64.powf(idle.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    fn needed(&self, now: Instant) -> Duration {
        let seconds = self.mean + DEVIATIONS * self.deviation;
        Duration::from_secs_f64(seconds * self.decay(now))
    }

    fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }
}

/// Estimates of one group.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    operations: Vec<Estimate>,
    all: Estimate,
}

impl ServiceTimes {
    /// Records the time until a complete response.
    pub fn add(&mut self, now: Instant, operation: usize, latency: Duration) {
        let seconds = latency.as_secs_f64();
        self.operation(operation).add(now, seconds);
        self.all.add(now, seconds);
    }

    /// Records the time after which a request was abandoned, which is a lower bound of the time
    /// it needed. Without this, only the fast requests would count when many are too slow.
    pub fn add_at_least(&mut self, now: Instant, operation: usize, elapsed: Duration) {
        if elapsed > self.operation(operation).mean() {
            self.add(now, operation, elapsed);
        }
    }

    /// Returns the time that a request of `operation` should be given; zero before the first
    /// sample.
    #[must_use]
    pub fn needed(&self, now: Instant, operation: usize) -> Duration {
        self.operations
            .get(operation)
            .map_or(Duration::ZERO, |estimate| estimate.needed(now))
    }

    /// Returns the mean time of all requests; zero before the first sample.
    #[must_use]
    pub fn mean(&self) -> Duration {
        self.all.mean()
    }

    fn operation(&mut self, operation: usize) -> &mut Estimate {
        if self.operations.len() <= operation {
            self.operations.resize(operation + 1, Estimate::default());
        }
        &mut self.operations[operation]
    }
}
