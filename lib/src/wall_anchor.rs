//! A time of day that never goes backwards.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::clock::unix_ms;
use crate::duration_text::whole_ms;

/// Derives the time of day from one reading of the wall clock and the monotonic time since.
///
/// If the wall clock were used and set back, a ticket could become valid again after it had
/// expired and its record had been dropped. Within a process, the time of an anchor only
/// increases, so that what has expired stays expired.
#[derive(Clone, Copy, Debug)]
pub struct WallAnchor {
    wall_ms: u64,
    at: Instant,
}

impl WallAnchor {
    /// Creates an anchor from readings of both clocks that were taken at the same moment.
    #[must_use]
    pub fn new(wall: SystemTime, at: Instant) -> Self {
        let wall_ms = unix_ms(wall);
        Self { wall_ms, at }
    }

    /// Returns the milliseconds since the Unix epoch at the monotonic time `now`.
    #[must_use]
    pub fn unix_ms(&self, now: Instant) -> u64 {
        let since: Duration = now.saturating_duration_since(self.at);
        let since_ms = whole_ms(since);
        self.wall_ms.saturating_add(since_ms)
    }
}
