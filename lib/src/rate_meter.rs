//! Event rate over the last second.

use std::time::Duration;
use std::time::Instant;

const PERIOD: Duration = Duration::from_secs(1);

/// Estimates the number of events in the last second from two counters of one second
/// each.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateMeter {
    start: Option<Instant>,
    current: u32,
    previous: u32,
}

impl RateMeter {
    /// Counts one event at `now`.
    pub fn note(&mut self, now: Instant) {
        self.advance(now);
        self.current += 1;
    }

    /// Returns the events in the last second, assuming that those of the previous period
    /// were evenly spread.
    pub fn per_second(&mut self, now: Instant) -> f64 {
        self.advance(now);
        let start = self.start.unwrap_or(now);
        let elapsed_share =
            now.saturating_duration_since(start).as_secs_f64() / PERIOD.as_secs_f64();
        f64::from(self.current) + f64::from(self.previous) * (1.0 - elapsed_share).max(0.0)
    }

    fn advance(&mut self, now: Instant) {
        let start = *self.start.get_or_insert(now);
        let elapsed = now.saturating_duration_since(start);
        if elapsed >= 2 * PERIOD {
            (self.start, self.current, self.previous) = (Some(now), 0, 0);
        } else if elapsed >= PERIOD {
            self.start = Some(start + PERIOD);
            self.previous = self.current;
            self.current = 0;
        }
    }
}
