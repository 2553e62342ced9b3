//! Estimate of the round-trip time to a replica.

use std::time::Duration;

/// Weight of a new sample in the smoothed round-trip time, and in its deviation.
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;

/// Number of deviations above the mean from which on a reply is late.
const LATE_DEVIATIONS: f64 = 3.0;

/// Bounds of the time after which a reply is late.
const MIN_LATE_AFTER: Duration = Duration::from_millis(100);
const MAX_LATE_AFTER: Duration = Duration::from_millis(650);

/// Time after which a reply is late while no round trip has been measured.
const INITIAL_LATE_AFTER: Duration = Duration::from_millis(250);

/// Smoothed round-trip time and its mean deviation.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundTrip {
    /// Mean and deviation in seconds; `None` before the first sample.
    estimate: Option<(f64, f64)>,
}

impl RoundTrip {
    /// Creates an estimate without samples.
    #[must_use]
    pub const fn new() -> Self {
        Self { estimate: None }
    }

    /// Adds a measured round-trip time.
    pub fn observe(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        let estimate = self
            .estimate
            .map_or((sample, sample / 2.0), |(mean, deviation)| {
                let error = sample - mean;
                (
                    mean + MEAN_WEIGHT * error,
                    deviation + DEVIATION_WEIGHT * (error.abs() - deviation),
                )
            });
        self.estimate = Some(estimate);
    }

    /// Returns whether a round trip was measured.
    #[must_use]
    pub const fn is_measured(&self) -> bool {
        self.estimate.is_some()
    }

    /// Returns the time after which a reply is late.
    #[must_use]
    pub fn late_after(&self) -> Duration {
        let Some((mean, deviation)) = self.estimate else {
            return INITIAL_LATE_AFTER;
        };
        let late = Duration::from_secs_f64(mean + LATE_DEVIATIONS * deviation);
        late.clamp(MIN_LATE_AFTER, MAX_LATE_AFTER)
    }
}
