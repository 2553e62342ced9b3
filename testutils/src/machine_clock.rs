//! The machine's monotonic clock, which is the same for all processes of a test.

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns microseconds of `CLOCK_MONOTONIC`.
///
/// `std::time::Instant` can't be written down and read by another process; the
/// ledgers and the callers' records have to be compared across processes.
#[must_use]
pub fn now_us() -> u64 {
    let time = clock_gettime(ClockId::Monotonic);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1_000_000 + nanoseconds / 1_000
}
