//! Estimates of how long requests take.

use std::time::Duration;

use heatherring_lib::id::RouteName;
use heatherring_lib::service_latency::RouteLatency;
use heatherring_lib::service_latency::ServiceLatency;
use rstest::rstest;

/// The latency objective of the routes here; their times differ from it in both directions.
const OBJECTIVE: Duration = Duration::from_millis(500);

fn observe(latency: &mut RouteLatency, millis: u64, times: u32) {
    for _ in 0..times {
        latency.observe(Duration::from_millis(millis));
    }
}

/// Both kinds are told apart by their times alone, also where every request of the first
/// seconds finds nothing at hand.
#[rstest]
#[case::short(72, 240)]
#[case::middle(192, 640)]
#[case::long(350, 1_400)]
fn test_service_latency_tells_kinds_apart(#[case] warm: u64, #[case] cold: u64) {
    let mut latency = RouteLatency::new(OBJECTIVE);
    observe(&mut latency, cold, 20);
    for _ in 0..60 {
        observe(&mut latency, warm, 3);
        observe(&mut latency, cold, 1);
    }
    for (is_warm, millis) in [(true, warm), (false, cold)] {
        let expected = latency.expected(is_warm) * 1_000.0;
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
fn test_service_latency_expects_more_without_data() {
    let mut latency = RouteLatency::new(OBJECTIVE);
    for _ in 0..100 {
        observe(&mut latency, 350, 1);
        assert!(latency.expected(false) > 1.9 * latency.expected(true));
    }
}

/// One outlier doesn't move an estimate far once there have been some observations.
#[test]
fn test_service_latency_bears_an_outlier() {
    let mut latency = RouteLatency::new(OBJECTIVE);
    observe(&mut latency, 90, 50);
    observe(&mut latency, 9_000, 1);
    assert!(latency.expected(true) < 0.1, "{latency:?}");
}

/// Symptom: backend servers of a service with two kinds of requests look slow, and waits are
/// expected wrongly. Sequence: one route's requests take 120 ms, the other's 680 ms, in turn.
/// Cause: one estimate for both lay at 180 ms, so that the slower ones were four times as slow
/// as expected, always.
#[test]
fn test_service_latency_keeps_routes_apart() {
    let mut latency = ServiceLatency::default();
    let (check, proof) = (RouteName::new("check"), RouteName::new("proof"));
    for _ in 0..100 {
        let key = latency.route(&check, Duration::from_millis(250));
        latency.observe(key, Duration::from_millis(120));
        let key = latency.route(&proof, Duration::from_millis(1_500));
        latency.observe(key, Duration::from_millis(680));
    }
    let key = latency.route(&check, OBJECTIVE);
    assert!((0.11..0.13).contains(&latency.expected(key, true)));
    let key = latency.route(&proof, OBJECTIVE);
    assert!((0.63..0.73).contains(&latency.expected(key, true)));
    assert!((0.35..0.45).contains(&latency.mean()), "{}", latency.mean());
}

/// Many names come and go with the manifest; what is kept stays bounded, and a request under
/// way whose route was dropped meanwhile does no harm.
#[test]
fn test_service_latency_keeps_a_bounded_number_of_routes() {
    let mut latency = ServiceLatency::default();
    let first = latency.route(&RouteName::new("first"), OBJECTIVE);
    let used = RouteName::new("used");
    let key = latency.route(&used, OBJECTIVE);
    for number in 0..200 {
        latency.route(&RouteName::new(format!("route-{number}")), OBJECTIVE);
        assert_eq!(latency.route(&used, OBJECTIVE), key);
    }
    latency.observe(first, Duration::from_millis(50));
    assert!(latency.expected(first, true) > 0.0);
}
