//! How long requests take at the backend servers, by operation.

use std::time::Duration;
use std::time::Instant;

/// Weight of a new sample in the average.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;

/// Weight of a new sample in the average deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 8.0;

/// Deviations added to the average to say what a request needs to be in time. More would
/// refuse requests that more likely than not are in time; fewer would run ones that
/// are late under overload (figures in docs/design/admission.md).
const DEVIATIONS: f64 = 1.0;

/// Time without samples after which an estimate begins to fade. An estimate that is too
/// high lets no request through, and without requests there are no samples that could
/// correct it; that would show as a service that refuses everything for ever.
const DECAY_AFTER: Duration = Duration::from_secs(1);

/// Time in which a fading estimate halves.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Estimates the time of one kind of requests by moving averages of the samples and of
/// their deviation, as TCP estimates its round trips (RFC 6298).
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

/// Holds the estimates of one group.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    operations: Vec<Estimate>,
    all: Estimate,
}

impl ServiceTimes {
    /// Takes the time of a whole answer.
    pub fn add(&mut self, now: Instant, operation: usize, latency: Duration) {
        let seconds = latency.as_secs_f64();
        self.operation(operation).add(now, seconds);
        self.all.add(now, seconds);
    }

    /// Takes the time after which a request was given up, which it would at least have
    /// needed. Without this, only the quick ones would count when many are too slow.
    pub fn add_at_least(&mut self, now: Instant, operation: usize, elapsed: Duration) {
        if elapsed > self.operation(operation).mean() {
            self.add(now, operation, elapsed);
        }
    }

    /// Returns the time that a request of `operation` should be given; zero while
    /// nothing is known.
    #[must_use]
    pub fn needed(&self, now: Instant, operation: usize) -> Duration {
        self.operations
            .get(operation)
            .map_or(Duration::ZERO, |estimate| estimate.needed(now))
    }

    /// Returns the average time of all requests; zero while nothing is known.
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
