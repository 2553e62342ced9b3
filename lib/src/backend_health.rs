//! How well a backend server answers, learned from its answers alone.
//!
//! Health checks cost the backend servers work and may be false either way. Every verdict
//! here fades, so that a backend server that has recovered gets requests again.

use std::time::Duration;
use std::time::Instant;

/// Weight of the latest observation. Three bad ones in a row move a rate above 0.6.
const OBSERVATION_WEIGHT: f64 = 0.3;

/// Time in which half of a bad impression fades: long enough that a slow backend server
/// gets a probe every few seconds rather than a share of the traffic.
const HALF_LIFE: Duration = Duration::from_millis(2_500);

/// Bounds of a single observation of slowness, so that one outlier doesn't rule.
const MAX_EXCESS: f64 = 10.0;

/// Pause after a failed connection. It doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

/// Follows the health of one backend server.
#[derive(Debug)]
pub struct BackendHealth {
    /// Observed over expected service time, less 1; 0 is as expected.
    excess: DecayingAverage,
    /// Share of requests that broke.
    failures: DecayingAverage,
    /// Share of requests that were turned away.
    sheds: DecayingAverage,
    pause: Duration,
    paused_until: Option<Instant>,
}

/// Holds an average that fades towards 0.
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
    /// Starts with a good impression.
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

    /// Notes an answer that took `took` where `expected` was expected.
    pub fn note_answer(&mut self, now: Instant, took: Duration, expected: Duration) {
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        self.excess
            .observe(now, (ratio - 1.0).clamp(0.0, MAX_EXCESS));
        self.failures.observe(now, 0.0);
        self.sheds.observe(now, 0.0);
        self.note_connected();
    }

    /// Notes that the backend server turned a request away.
    pub fn note_shed(&mut self, now: Instant) {
        self.sheds.observe(now, 1.0);
        self.note_connected();
    }

    /// Notes that a request broke: a reset, a malformed or an incomplete answer.
    pub fn note_failure(&mut self, now: Instant) {
        self.failures.observe(now, 1.0);
    }

    /// Notes that no connection could be had.
    pub fn note_unreachable(&mut self, now: Instant) {
        self.paused_until = Some(now + self.pause);
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    const fn note_connected(&mut self) {
        self.pause = FIRST_PAUSE;
        self.paused_until = None;
    }

    /// Returns whether a connection may be tried.
    #[must_use]
    pub fn is_reachable(&self, now: Instant) -> bool {
        self.paused_until.is_none_or(|until| now >= until)
    }

    /// Returns by how much service takes longer than expected; at least 1.
    #[must_use]
    pub fn slowness(&self, now: Instant) -> f64 {
        1.0 + self.excess.read(now)
    }

    /// Returns the share of requests that broke lately.
    #[must_use]
    pub fn failure_rate(&self, now: Instant) -> f64 {
        self.failures.read(now)
    }

    /// Returns the share of requests that were turned away lately.
    #[must_use]
    pub fn shed_rate(&self, now: Instant) -> f64 {
        self.sheds.read(now)
    }
}
