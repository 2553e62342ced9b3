//! Estimates of how long requests take.

use std::time::Duration;

use heatherring_lib::service_pace::ServicePace;
use rstest::rstest;

fn observe(pace: &mut ServicePace, millis: u64, times: u32) {
    for _ in 0..times {
        pace.observe(Duration::from_millis(millis));
    }
}

/// Both kinds are told apart by their times alone, also where every request of the first
/// seconds finds nothing at hand.
#[rstest]
#[case::short(72, 240)]
#[case::middle(192, 640)]
#[case::long(350, 1_400)]
fn test_service_pace_tells_kinds_apart(#[case] warm: u64, #[case] cold: u64) {
    let mut pace = ServicePace::default();
    observe(&mut pace, cold, 20);
    for _ in 0..60 {
        observe(&mut pace, warm, 3);
        observe(&mut pace, cold, 1);
    }
    for (is_warm, millis) in [(true, warm), (false, cold)] {
        let expected = pace.expected(is_warm) * 1_000.0;
        let ratio = expected / Duration::from_millis(millis).as_secs_f64() / 1_000.0;
        assert!((0.9..1.1).contains(&ratio), "{expected} for {millis}");
    }
}

/// Symptom: requests go where their data aren't at hand.
///
/// Sequence: all requests take longer than is assumed for those without their data.
///
/// Cause: the estimate with data at hand rose above the one without, which nothing corrected.
#[test]
fn test_service_pace_expects_more_without_data() {
    let mut pace = ServicePace::default();
    for _ in 0..100 {
        observe(&mut pace, 350, 1);
        assert!(pace.expected(false) > 1.9 * pace.expected(true));
    }
}

/// One outlier doesn't move an estimate far once there have been some observations.
#[test]
fn test_service_pace_bears_an_outlier() {
    let mut pace = ServicePace::default();
    observe(&mut pace, 90, 50);
    observe(&mut pace, 9_000, 1);
    assert!(pace.expected(true) < 0.1, "{pace:?}");
    assert!(pace.mean() < 0.2, "{pace:?}");
}
