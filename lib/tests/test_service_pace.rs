//! Estimates of how long requests take.

use std::time::Duration;

use heatherring_lib::id::RouteName;
use heatherring_lib::service_latency::RouteLatency;
use heatherring_lib::service_latency::ServiceLatency;
use rstest::rstest;

/// The latency objective of the routes here; their times differ from it in both directions.
const OBJECTIVE: Duration = Duration::from_millis(500);

fn observe(pace: &mut RouteLatency, millis: u64, times: u32) {
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
    let mut pace = RouteLatency::new(OBJECTIVE);
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
    let mut pace = RouteLatency::new(OBJECTIVE);
    for _ in 0..100 {
        observe(&mut pace, 350, 1);
        assert!(pace.expected(false) > 1.9 * pace.expected(true));
    }
}

/// One outlier doesn't move an estimate far once there have been some observations.
#[test]
fn test_service_pace_bears_an_outlier() {
    let mut pace = RouteLatency::new(OBJECTIVE);
    observe(&mut pace, 90, 50);
    observe(&mut pace, 9_000, 1);
    assert!(pace.expected(true) < 0.1, "{pace:?}");
}

/// Symptom: backend servers of a service with two kinds of requests look slow, and waits are
/// expected wrongly. Sequence: one route's requests take 120 ms, the other's 680 ms, in turn.
/// Cause: one estimate for both lay at 180 ms, so that the slower ones were four times as slow
/// as expected, always.
#[test]
fn test_service_pace_keeps_routes_apart() {
    let mut pace = ServiceLatency::default();
    let (check, proof) = (RouteName::new("check"), RouteName::new("proof"));
    for _ in 0..100 {
        let key = pace.route(&check, Duration::from_millis(250));
        pace.observe(key, Duration::from_millis(120));
        let key = pace.route(&proof, Duration::from_millis(1_500));
        pace.observe(key, Duration::from_millis(680));
    }
    let key = pace.route(&check, OBJECTIVE);
    assert!((0.11..0.13).contains(&pace.expected(key, true)));
    let key = pace.route(&proof, OBJECTIVE);
    assert!((0.63..0.73).contains(&pace.expected(key, true)));
    assert!((0.35..0.45).contains(&pace.mean()), "{}", pace.mean());
}

/// Many names come and go with the manifest; what is kept stays bounded, and a request under
/// way whose route was dropped meanwhile does no harm.
#[test]
fn test_service_pace_keeps_a_bounded_number_of_routes() {
    let mut pace = ServiceLatency::default();
    let first = pace.route(&RouteName::new("first"), OBJECTIVE);
    let used = RouteName::new("used");
    let key = pace.route(&used, OBJECTIVE);
    for number in 0..200 {
        pace.route(&RouteName::new(format!("route-{number}")), OBJECTIVE);
        assert_eq!(pace.route(&used, OBJECTIVE), key);
    }
    pace.observe(first, Duration::from_millis(50));
    assert!(pace.expected(first, true) > 0.0);
}
