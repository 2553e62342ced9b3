//! The clock as an interface, so that tests can supply the time.

use std::fmt::Debug;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::duration_text::whole_ms;

/// Provides the current time.
///
/// Leases, deadlines and time windows are measured with [`Clock::now`], which never goes
/// backwards. [`Clock::wall`] may jump and is for display and the audit trail only.
pub trait Clock: Debug + Send + Sync {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the time of day.
    fn wall(&self) -> SystemTime;
}

/// Reads the clocks of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Converts a time of day to milliseconds since the Unix epoch; earlier times give 0.
#[must_use]
pub fn unix_ms(wall: SystemTime) -> u64 {
    let since_epoch = wall.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    whole_ms(since_epoch)
}
