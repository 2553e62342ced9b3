//! Health of a backend server, derived passively from its responses.
//!
//! Active health checks would add load to the backend servers and can be wrong in both
//! directions. All rates decay over time, so a backend server that has recovered receives
//! requests again.

use std::time::Duration;
use std::time::Instant;

/// Weight of the latest observation in a rate. Three bad observations in a row raise a rate
/// above 0.6.
const OBSERVATION_WEIGHT: f64 = 0.3;

/// Half-life of a rate. It is long enough that a slow backend server receives a trial request
/// every few seconds rather than a share of the traffic.
const HALF_LIFE: Duration = Duration::from_millis(2_500);

/// Upper bound of a single slowness observation, so that one outlier does not dominate the
/// average.
const MAX_EXCESS: f64 = 10.0;

/// Pause in connecting after a failed connection attempt. It doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

/// Tracks the health of one backend server.
#[derive(Debug)]
pub struct BackendHealth {
    /// Observed over expected service time, minus 1; 0 means as fast as expected.
    excess: DecayingAverage,
    /// Rate of failed requests.
    failures: DecayingAverage,
    /// Rate of rejected requests.
    sheds: DecayingAverage,
    pause: Duration,
    paused_until: Option<Instant>,
}

/// Exponentially weighted average that decays towards 0.
#[derive(Clone, Copy, Debug)]
struct DecayingAverage {
    value: f64,
    at: Instant,
}

impl DecayingAverage {
    const fn new(now: Instant) -> Self {
        Self {
            value: 0.0,
            at: now,
        }
    }

    fn read(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.value * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    fn observe(&mut self, now: Instant, value: f64) {
        self.value = self.read(now) * (1.0 - OBSERVATION_WEIGHT) + value * OBSERVATION_WEIGHT;
        self.at = now;
    }
}

impl BackendHealth {
    /// Creates the state of a backend server without any known problem.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            excess: DecayingAverage::new(now),
            failures: DecayingAverage::new(now),
            sheds: DecayingAverage::new(now),
            pause: FIRST_PAUSE,
            paused_until: None,
        }
    }

    /// Records a response that took `took` where `expected` was expected.
    pub fn note_answer(&mut self, now: Instant, took: Duration, expected: Duration) {
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        self.excess
            .observe(now, (ratio - 1.0).clamp(0.0, MAX_EXCESS));
        self.failures.observe(now, 0.0);
        self.sheds.observe(now, 0.0);
        self.note_reached();
    }

    /// Records that the backend server rejected a request.
    pub fn note_shed(&mut self, now: Instant) {
        self.sheds.observe(now, 1.0);
        self.note_reached();
    }

    /// Records a failed request: a connection reset, or a malformed or truncated response.
    pub fn note_failure(&mut self, now: Instant) {
        self.failures.observe(now, 1.0);
    }

    /// Records a failed connection attempt and pauses further ones.
    pub fn note_unreachable(&mut self, now: Instant) {
        self.paused_until = Some(now + self.pause);
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    /// Records that the backend server could be connected to.
    pub const fn note_reached(&mut self) {
        self.pause = FIRST_PAUSE;
        self.paused_until = None;
    }

    /// Returns whether a connection attempt is allowed now.
    #[must_use]
    pub fn is_reachable(&self, now: Instant) -> bool {
        self.paused_until.is_none_or(|until| now >= until)
    }

    /// Returns the factor by which service takes longer than expected; at least 1.
    #[must_use]
    pub fn slowness(&self, now: Instant) -> f64 {
        1.0 + self.excess.read(now)
    }

    /// Returns the recent rate of failed requests, 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, now: Instant) -> f64 {
        self.failures.read(now)
    }

    /// Returns the recent rate of rejected requests, 0 to 1.
    #[must_use]
    pub fn shed_rate(&self, now: Instant) -> f64 {
        self.sheds.read(now)
    }
}
