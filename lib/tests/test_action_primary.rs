//! Cases of the primary's and the backup's records that random orders rarely produce.

#[path = "common/action_sample.rs"]
mod action_sample;

use std::sync::Arc;

use heatherring_lib::action_backup::ActionBackup;
use heatherring_lib::action_primary::ActionPrimary;
use heatherring_lib::action_primary::Arrival;
use heatherring_lib::action_primary::BackupReply;
use heatherring_lib::action_record::ActionEnd;
use heatherring_lib::action_record::ActionQuery;
use heatherring_lib::action_record::BackupRecord;
use heatherring_lib::action_record::Fingerprint;
use heatherring_lib::action_record::RecordRefusal;
use heatherring_lib::action_record::RecordState;
use heatherring_lib::action_record::StoredAnswer;
use heatherring_lib::action_store::ActionLimits;
use heatherring_lib::action_store::ActionSlot;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::UnknownReason;
use rstest::fixture;
use rstest::rstest;

use crate::action_sample::BACKUP;
use crate::action_sample::PRIMARY;
use crate::action_sample::key;
use crate::action_sample::query;

const NOW_MS: u64 = 1_000_000;
const SOON_MS: u64 = NOW_MS + 100;
const LATE_MS: u64 = NOW_MS + 1_000;

const LIMITS: ActionLimits = ActionLimits {
    max_records: 2,
    max_answer_bytes: 100,
    max_ahead_ms: 10_000,
    retention_ms: 50,
};

#[fixture]
fn primary() -> ActionPrimary {
    let mut primary = ActionPrimary::new(LIMITS);
    primary.add_session(PRIMARY);
    primary
}

#[fixture]
fn backup() -> ActionBackup {
    let mut backup = ActionBackup::new(LIMITS);
    backup.add_session(BACKUP);
    backup
}

fn action_query(random_part: &str, expires_unix_ms: u64) -> ActionQuery {
    query(&key(random_part, expires_unix_ms), b"body")
}

fn answer(size: usize) -> ActionEnd {
    ActionEnd::Answer(Arc::new(StoredAnswer {
        status: 200,
        headers: Vec::new(),
        body: vec![b'x'; size],
    }))
}

fn fingerprint(query: &ActionQuery) -> Fingerprint {
    query.fingerprint.expect("the request was read completely")
}

fn arrive(primary: &mut ActionPrimary, now_ms: u64, query: &ActionQuery) -> Arrival {
    primary.arrive(now_ms, &query.key, fingerprint(query))
}

fn start(primary: &mut ActionPrimary, query: &ActionQuery) -> ActionSlot {
    match arrive(primary, NOW_MS, query) {
        Arrival::Start { slot, .. } => slot,
        other => panic!("expected a start, got {other:?}"),
    }
}

fn run(primary: &mut ActionPrimary, query: &ActionQuery) -> ActionSlot {
    let slot = start(primary, query);
    let reply = primary.backup_replied(slot, Ok(()));
    assert!(matches!(reply, BackupReply::Dispatch(_)));
    slot
}

#[track_caller]
fn expect_end(arrival: &Arrival, expected: &ActionEnd) {
    match arrival {
        Arrival::Ended(end) => assert_eq!(end, expected),
        other => panic!("expected {expected:?}, got {other:?}"),
    }
}

// Symptom: an action runs after its caller was told "not run" because the store was full.
// Sequence: the store is full of records with valid tickets, and a third key is refused; these
// tickets expire and make room; a delayed copy of the refused request arrives.
// Cause: a refusal for lack of room that is not remembered.
#[rstest]
fn test_action_primary_full_store_refuses_for_good(mut primary: ActionPrimary) {
    for random_part in ["a", "b"] {
        let slot = run(&mut primary, &action_query(random_part, SOON_MS));
        primary.ended(slot, answer(1)).expect("the run has ended");
    }
    let refused = action_query("c", LATE_MS);
    let full = ActionEnd::not_run(NotRunReason::ActionStoreFull);
    expect_end(&arrive(&mut primary, NOW_MS, &refused), &full);
    expect_end(&arrive(&mut primary, SOON_MS, &refused), &full);
    let newer = action_query("d", LATE_MS + 1);
    let arrival = arrive(&mut primary, SOON_MS, &newer);
    assert!(matches!(arrival, Arrival::Start { .. }), "{arrival:?}");
}

// Symptom: callers of a long-running action get no answer.
// Sequence: the ticket expires and its retention passes while the action is running.
// Cause: a record of an action in progress that is dropped by age.
#[rstest]
fn test_action_primary_running_record_outlives_its_ticket(mut primary: ActionPrimary) {
    let long = action_query("a", SOON_MS);
    let slot = run(&mut primary, &long);
    primary.purge(LATE_MS);
    assert!(
        matches!(arrive(&mut primary, LATE_MS, &long), Arrival::Wait(waiting) if waiting == slot)
    );
    let ended = primary.ended(slot, answer(1)).expect("the record is there");
    assert_eq!(ended.end, answer(1));
}

#[rstest]
fn test_action_primary_expired_ticket_answers_until_the_record_is_dropped(
    mut primary: ActionPrimary,
) {
    let action = action_query("a", SOON_MS);
    let slot = run(&mut primary, &action);
    primary.ended(slot, answer(1)).expect("the run has ended");
    expect_end(&arrive(&mut primary, SOON_MS + 1, &action), &answer(1));
    primary.purge(LATE_MS);
    let expired = ActionEnd::Unknown(UnknownReason::TicketExpired);
    expect_end(&arrive(&mut primary, LATE_MS, &action), &expired);
}

// Symptom: memory use grows with the size of answers.
// Sequence: answers exceed the size limit of the store.
// Cause: a limit on the number of records that does not count bytes.
#[rstest]
fn test_action_primary_answer_too_large_for_the_store_is_returned_once(mut primary: ActionPrimary) {
    let action = action_query("a", SOON_MS);
    let slot = run(&mut primary, &action);
    let ended = primary.ended(slot, answer(101)).expect("the run has ended");
    assert_eq!(ended.end, answer(101));
    let not_kept = ActionEnd::Unknown(UnknownReason::AnswerNotKept);
    expect_end(&arrive(&mut primary, NOW_MS, &action), &not_kept);
    assert_eq!(primary.answer_bytes(), 0);
}

#[rstest]
fn test_action_primary_ticket_ahead_of_clock(mut primary: ActionPrimary) {
    let far = action_query("a", NOW_MS + LIMITS.max_ahead_ms + 1);
    let ahead = ActionEnd::Unknown(UnknownReason::TicketAheadOfClock);
    expect_end(&arrive(&mut primary, NOW_MS, &far), &ahead);
}

// Symptom: an action that was refused before it was recorded runs later.
// Sequence: the process is leaving and refuses the action; a delayed copy arrives.
// Cause: a refusal that leaves no record.
#[rstest]
fn test_action_primary_early_refusal_is_final(mut primary: ActionPrimary) {
    let action = action_query("a", SOON_MS);
    let refused = ActionEnd::not_run(NotRunReason::Leaving);
    expect_end(
        &primary.refuse(NOW_MS, &action, NotRunReason::Leaving),
        &refused,
    );
    expect_end(&arrive(&mut primary, NOW_MS, &action), &refused);
}

#[rstest]
fn test_action_backup_fence_refuses_a_late_intent(mut backup: ActionBackup) {
    let action = action_query("a", SOON_MS);
    let fenced = ActionEnd::not_run(NotRunReason::KeyFenced);
    assert_eq!(backup.resolve(NOW_MS, &action), fenced);
    let intent = BackupRecord {
        fingerprint: fingerprint(&action),
        key: action.key,
        state: RecordState::Intent,
    };
    assert_eq!(backup.record(NOW_MS, intent), Err(RecordRefusal::Fenced));
}

#[rstest]
fn test_action_backup_full_of_fences_is_unknown(mut backup: ActionBackup) {
    for random_part in ["a", "b"] {
        let end = backup.resolve(NOW_MS, &action_query(random_part, SOON_MS));
        assert_eq!(end, ActionEnd::not_run(NotRunReason::KeyFenced));
    }
    let full = ActionEnd::Unknown(UnknownReason::ActionStoreFull);
    assert_eq!(backup.resolve(NOW_MS, &action_query("c", SOON_MS)), full);
}

// Symptom: a restarted backup reports "not run" for an action that its previous incarnation
// recorded.
// Sequence: the intent is recorded, the backup restarts with a new session, and a caller resolves
// the key.
// Cause: a ticket that names a VM instead of one incarnation of its process.
#[rstest]
fn test_action_backup_of_another_incarnation_is_unknown() {
    let mut restarted = ActionBackup::new(LIMITS);
    restarted.add_session(heatherring_lib::id::SessionId(80));
    let unreachable = ActionEnd::Unknown(UnknownReason::RecordsUnreachable);
    assert_eq!(
        restarted.resolve(NOW_MS, &action_query("a", SOON_MS)),
        unreachable
    );
}
