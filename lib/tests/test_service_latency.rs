//! Run-time estimates by route.

use std::time::Duration;

use heatherring_lib::id::RouteName;
use heatherring_lib::service_latency::RouteLatency;
use heatherring_lib::service_latency::ServiceLatency;
use rstest::rstest;

/// Latency objective of the routes here; their run times lie on both sides of it.
const OBJECTIVE: Duration = Duration::from_millis(500);

fn observe(latency: &mut RouteLatency, millis: u64, times: u32) {
    for _ in 0..times {
        latency.observe(Duration::from_millis(millis));
    }
}

/// Warm and cold requests are distinguished by their run times alone, even if all requests of
/// the first seconds are cold.
#[rstest]
#[case::short(72, 240)]
#[case::middle(192, 640)]
#[case::long(350, 1_400)]
fn test_service_latency_distinguishes_warm_and_cold(#[case] warm: u64, #[case] cold: u64) {
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

/// Guards against requests being sent to servers without their data: if all requests take
/// longer than initially assumed for cold ones, the warm estimate rose above the cold one,
/// which nothing corrected.
#[test]
fn test_service_latency_expects_more_without_data() {
    let mut latency = RouteLatency::new(OBJECTIVE);
    for _ in 0..100 {
        observe(&mut latency, 350, 1);
        assert!(latency.expected(false) > 1.9 * latency.expected(true));
    }
}

/// A single outlier after some observations does not change an estimate much.
#[test]
fn test_service_latency_tolerates_an_outlier() {
    let mut latency = RouteLatency::new(OBJECTIVE);
    observe(&mut latency, 90, 50);
    observe(&mut latency, 9_000, 1);
    assert!(latency.expected(true) < 0.1, "{latency:?}");
}

/// Guards against a single estimate for a service with different routes: with one route at 120
/// ms and another at 680 ms in turn, it lay at 180 ms, so that the slower requests always took
/// four times as long as expected. Backend servers looked slow, and queueing times were
/// estimated wrongly.
#[test]
fn test_service_latency_keeps_routes_separate() {
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

/// Route names come and go with the manifest; the number of estimates stays bounded, and a
/// request in flight whose route was evicted does no harm.
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
