//! Tests of the limit on the rate of log lines.

use std::time::Duration;
use std::time::Instant;

use heatherring_lib::log_rate::LINES_PER_SECOND;
use heatherring_lib::log_rate::LinePriority;
use heatherring_lib::log_rate::LogRateLimiter;

const LENGTH: Duration = Duration::from_secs(10);

/// Offers `routine` and `notable` lines per second, and returns how many of each were written.
fn count_written(routine: u32, notable: u32) -> (u32, u32) {
    let began = Instant::now();
    let mut rate = LogRateLimiter::new(began);
    let mut written = (0, 0);
    let all = routine + notable;
    for number in 0..all * 10 {
        let now = began + LENGTH.mul_f64(f64::from(number) / f64::from(all * 10));
        if number % all < routine {
            written.0 += u32::from(rate.try_take(now, LinePriority::Routine));
        } else {
            written.1 += u32::from(rate.try_take(now, LinePriority::Notable));
        }
    }
    written
}

/// Every line is written under an ordinary load of 60 requests per second.
#[test]
fn test_log_rate_lets_an_ordinary_load_through() {
    assert_eq!(count_written(60, 5), (600, 50));
}

/// At ten times that load the rate is bounded, and routine lines are dropped before notable ones.
#[test]
fn test_log_rate_drops_routine_lines_first() {
    let (routine, notable) = count_written(600, 150);
    let most = LINES_PER_SECOND * LENGTH.as_secs_f64() + 400.0;
    assert!(f64::from(routine + notable) <= most, "{routine} {notable}");
    assert_eq!(notable, 1_500);
}

/// Alarms are written even while notable lines are dropped.
#[test]
fn test_log_rate_keeps_room_for_alarms() {
    let now = Instant::now();
    let mut rate = LogRateLimiter::new(now);
    while rate.try_take(now, LinePriority::Notable) {}
    assert!(rate.try_take(now, LinePriority::Alarm));
}
