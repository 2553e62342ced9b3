//! Tests of which digests are sent and which are withheld.

use std::time::Duration;
use std::time::Instant;

use heatherring_lib::digest_throttle::DigestThrottle;
use heatherring_lib::digest_throttle::MAX_DIGEST_INTERVAL;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::load_digest::GroupLoad;
use heatherring_lib::ownership::Group;

const SOON: Duration = Duration::from_millis(100);

fn load() -> GroupLoad {
    GroupLoad {
        group: Group::new(ServiceName::new("registry"), PlaceName::new("a")),
        slots: 10,
        in_flight: 4,
        queued: 0,
        arrivals_per_second: 50,
        expected_wait_ms: 0,
        service_ms: 20,
        warm_percent: 100,
        full_origins: Vec::new(),
    }
}

fn check(change: impl FnOnce(&mut Vec<GroupLoad>), after: Duration, due: bool) {
    let now = Instant::now();
    let mut throttle = DigestThrottle::default();
    let mut loads = vec![load()];
    assert!(
        throttle.is_due(now, &loads),
        "the first digest is always due"
    );
    throttle.note_sent(now, &loads);
    change(&mut loads);
    assert_eq!(throttle.is_due(now + after, &loads), due);
    throttle.reset();
    assert!(throttle.is_due(now, &loads));
}

macro_rules! throttle_tests {
    ($($name:ident: $change:expr, $after:expr => $due:literal;)*) => {$(
        #[test]
        fn $name() {
            check($change, $after, $due);
        }
    )*};
}

throttle_tests! {
    test_digest_throttle_nothing_new: |_| {}, SOON => false;
    test_digest_throttle_max_interval: |_| {}, MAX_DIGEST_INTERVAL => true;
    test_digest_throttle_small_change_of_use: |loads| loads[0].in_flight += 1, SOON => false;
    test_digest_throttle_large_change_of_use: |loads| loads[0].queued += 2, SOON => true;
    test_digest_throttle_slot_gone: |loads| loads[0].slots -= 1, SOON => true;
    test_digest_throttle_origin_full: |loads| loads[0].full_origins.push(PlaceName::new("b")), SOON => true;
    test_digest_throttle_group_gone: Vec::clear, SOON => true;
}
