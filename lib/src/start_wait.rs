//! How long a request waits for what an entry VM that has just started lacks: its first view,
//! or its first session.

use std::time::Duration;
use std::time::Instant;

/// Share of a caller's time that goes for that wait at most. What it waits for may not come, and
/// the caller must have time left to ask elsewhere.
const SHARE: f64 = 0.25;

/// Returns until when a request that came at `arrived` waits, for `longest` at most, if its
/// caller waits for `caller_timeout`.
#[must_use]
pub fn wait_until(
    arrived: Instant,
    longest: Duration,
    caller_timeout: Option<Duration>,
) -> Instant {
    let share = caller_timeout.map_or(longest, |time| time.mul_f64(SHARE));
    arrived + longest.min(share)
}
