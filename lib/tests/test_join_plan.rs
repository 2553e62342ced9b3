//! Tests of the questions of a replica that wants to be admitted.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::join_plan::FAILURE_PAUSE;
use heatherring_lib::join_plan::JoinPlan;
use heatherring_lib::join_plan::PROPOSAL_PAUSE;

const TICK: Duration = Duration::from_millis(1);

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

/// Returns the plan of replica 9, which knows replicas 1 to 3 and itself.
fn plan() -> JoinPlan {
    let mut plan = JoinPlan::new(address(9));
    plan.set_seeds([1, 2, 3, 9].map(address));
    plan
}

#[test]
fn test_join_plan_asks_all_others_at_once() {
    let mut plan = plan();
    assert_eq!(plan.take_due(Instant::now()), [1, 2, 3].map(address));
    assert_eq!(plan.next_due(), None);
}

/// Guards against a replica that is gone and delays the questions to the others.
#[test]
fn test_join_plan_goes_on_while_a_question_is_unanswered() {
    let now = Instant::now();
    let mut plan = plan();
    plan.take_due(now);
    plan.note_failed(now, address(2));
    let due_at = now + FAILURE_PAUSE;
    assert_eq!(plan.next_due(), Some(due_at));
    assert_eq!(plan.take_due(due_at.checked_sub(TICK).unwrap()), []);
    assert_eq!(plan.take_due(due_at), [address(2)]);
}

/// Guards against an admission that is committed at once and asked for late.
#[test]
fn test_join_plan_asks_soon_while_the_admission_is_being_committed() {
    let now = Instant::now();
    let mut plan = plan();
    plan.take_due(now);
    plan.note_failed(now, address(1));
    plan.note_proposed(now, address(2));
    let again = now + PROPOSAL_PAUSE;
    assert_eq!(plan.take_due(again), [address(2)]);
    plan.note_failed(again, address(2));
    assert_eq!(plan.take_due(again + PROPOSAL_PAUSE), [address(2)]);
}

#[test]
fn test_join_plan_waits_longer_once_a_proposal_came_to_nothing() {
    let now = Instant::now();
    let mut plan = plan();
    plan.take_due(now);
    plan.note_proposed(now, address(2));
    let late = now + Duration::from_secs(1);
    plan.take_due(late);
    plan.note_failed(late, address(2));
    assert_eq!(plan.next_due(), Some(late + FAILURE_PAUSE));
}

/// Guards against a replica that waits for those that its settings named before.
#[test]
fn test_join_plan_follows_changed_seeds() {
    let now = Instant::now();
    let mut plan = plan();
    plan.take_due(now);
    plan.note_failed(now, address(1));
    plan.set_seeds([2, 4].map(address));
    assert_eq!(plan.take_due(now), [address(4)]);
    assert_eq!(plan.next_due(), None);
    plan.note_failed(now, address(1));
    assert_eq!(plan.next_due(), None);
}
