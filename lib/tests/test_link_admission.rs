//! Admission of requests by the bytes that their answers put on the link of an entry VM.

use std::collections::BTreeSet;
use std::time::Duration;

use heatherring_lib::id::RouteName;
use heatherring_lib::link_admission::AnswerTime;
use heatherring_lib::link_admission::LinkAdmission;
use heatherring_lib::link_load::LinkLoad;
use rstest::rstest;

/// Bytes per second of the link.
const RATE: f64 = 1_000_000.0;

const IN_TIME: AnswerTime = AnswerTime {
    objective: 0.6,
    deadline: 4.0,
    wait_share: 1.0,
};

fn small() -> RouteName {
    RouteName::new("listings")
}

fn large() -> RouteName {
    RouteName::new("hours")
}

fn admission() -> LinkAdmission {
    let mut admission = LinkAdmission::new(RATE);
    admission.apply_bulk_routes(&BTreeSet::from([large()]));
    admission
}

/// Admits a request on `route` if there is room.
fn admit(admission: &mut LinkAdmission, route: &RouteName) -> bool {
    let expected = admission.expect(route).unwrap();
    let has_room = admission.has_room(&expected, IN_TIME);
    if has_room {
        admission.begin(&expected);
    }
    has_room
}

/// Records an answer of this size on `route`.
fn answer(admission: &mut LinkAdmission, route: &RouteName, bytes: u64) {
    let expected = admission.expect(route).unwrap();
    admission.begin(&expected);
    admission.end(&expected, Some(bytes));
}

/// Guards against a link that is limited by bytes although no route has large answers.
#[test]
fn test_link_without_bulk_routes_is_not_scheduled() {
    let mut admission = LinkAdmission::new(RATE);
    assert!(admission.expect(&small()).is_none());
    assert!(admission.receive_buffer(Duration::ZERO).is_none());
}

/// Guards against small answers that are refused for large ones that wait.
#[test]
fn test_small_answer_is_admitted_beside_a_large_backlog() {
    let mut admission = admission();
    admission.note_load(LinkLoad {
        used: 1.0,
        backlog: 30.0,
    });
    assert!(admit(&mut admission, &small()));
    assert!(!admit(&mut admission, &large()));
}

/// Guards against more requests than the link can answer in time: what is in flight at backend
/// servers counts by the size of its route's answers.
#[rstest]
#[case::small(small(), 20_000, 160)]
#[case::large(large(), 90_000, 15)]
fn test_requests_in_flight_count_with_their_bytes(
    #[case] route: RouteName,
    #[case] bytes: u64,
    #[case] most: usize,
) {
    let mut admission = admission();
    for _ in 0..30 {
        answer(&mut admission, &route, bytes);
    }
    let mut admitted = 0;
    while admitted <= most && admit(&mut admission, &route) {
        admitted += 1;
    }
    assert!((most / 2..=most).contains(&admitted), "{admitted}");
}

/// Guards against an estimate that is too high and that no further answer corrects.
#[test]
fn test_idle_link_takes_an_answer_of_any_expected_size() {
    let mut admission = admission();
    answer(&mut admission, &large(), 80_000_000);
    assert!(admit(&mut admission, &large()));
    assert!(!admit(&mut admission, &large()));
}

/// Guards against bytes that count for ever after a request has ended.
#[rstest]
#[case::answered(Some(90_000))]
#[case::not_answered(None)]
fn test_ended_requests_do_not_count(#[case] answer_bytes: Option<u64>) {
    let mut admission = admission();
    for _ in 0..1_000 {
        let expected = admission.expect(&large()).unwrap();
        assert!(admission.has_room(&expected, IN_TIME));
        admission.begin(&expected);
        admission.end(&expected, answer_bytes);
    }
}

/// Guards against a receive buffer that starves far backend servers, or one that lets near ones
/// fill the link.
#[rstest]
#[case::near(Duration::from_millis(1), 16 << 10)]
#[case::other_region(Duration::from_millis(70), 70_000)]
#[case::unreachable(Duration::from_secs(3), 128 << 10)]
fn test_receive_buffer_follows_the_round_trip(#[case] round_trip: Duration, #[case] bytes: u32) {
    assert_eq!(admission().receive_buffer(round_trip), Some(bytes));
}
