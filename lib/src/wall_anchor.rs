//! A time of day that never steps back.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::clock::unix_ms;
use crate::duration_text::whole_ms;

/// Tells the time of day from one reading of it and the monotonic time since.
///
/// A wall clock that is set back would make an expired ticket live again after its
/// record was dropped. Seen from one process, the time of an anchor only grows, so
/// that what it once judged expired stays expired.
#[derive(Clone, Copy, Debug)]
pub struct WallAnchor {
    wall_ms: u64,
    at: Instant,
}

impl WallAnchor {
    /// Takes the one reading; `wall` and `at` belong to the same moment.
    #[must_use]
    pub fn new(wall: SystemTime, at: Instant) -> Self {
        let wall_ms = unix_ms(wall);
        Self { wall_ms, at }
    }

    /// Returns milliseconds since the Unix epoch at the monotonic time `now`.
    #[must_use]
    pub fn unix_ms(&self, now: Instant) -> u64 {
        let since: Duration = now.saturating_duration_since(self.at);
        let since_ms = whole_ms(since);
        self.wall_ms.saturating_add(since_ms)
    }
}
