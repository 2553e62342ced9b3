//! Event rate over the last seconds, older events counting less.

use std::time::Duration;
use std::time::Instant;

/// Time after which an event counts for a third of a new one.
const DECAY: Duration = Duration::from_secs(5);

/// Estimates the rate of rare events: a single one counts for a fraction of an event per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayedRate {
    /// Rate per second at the time of the last event.
    last: Option<(Instant, f64)>,
}

impl DecayedRate {
    /// Counts one event at `now`.
    pub fn note(&mut self, now: Instant) {
        let rate = self.per_second(now) + DECAY.as_secs_f64().recip();
        self.last = Some((now, rate));
    }

    /// Returns the rate per second.
    #[must_use]
    pub fn per_second(&self, now: Instant) -> f64 {
        self.last.map_or(0.0, |(at, rate)| {
            let passed = now.saturating_duration_since(at);
            rate * (-passed.as_secs_f64() / DECAY.as_secs_f64()).exp()
        })
    }
}
