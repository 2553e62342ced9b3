//! How long a request waits at an entry VM that has just started for its first view or its
//! first session.

use std::time::Duration;
use std::time::Instant;

/// Maximum share of the caller's time-out spent on this wait. The view or session may not
/// arrive, and the caller must have time left to try another entry VM.
const SHARE: f64 = 0.25;

/// Returns until when a request that arrived at `arrived` waits: for at most `longest`, and for
/// at most a share of `caller_timeout`, after which its caller gives up.
#[must_use]
pub fn wait_until(
    arrived: Instant,
    longest: Duration,
    caller_timeout: Option<Duration>,
) -> Instant {
    let share = caller_timeout.map_or(longest, |time| time.mul_f64(SHARE));
    arrived + longest.min(share)
}
