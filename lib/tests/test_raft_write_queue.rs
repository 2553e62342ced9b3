//! Which effects of a replica wait for its disk.

use heatherring_lib::id::ReplicaId;
use heatherring_lib::id::Revision;
use heatherring_lib::id::Term;
use heatherring_lib::raft_config::DurableState;
use heatherring_lib::raft_effects::Effects;
use heatherring_lib::raft_message::HardState;
use heatherring_lib::raft_message::LogEntry;
use heatherring_lib::raft_message::LogPayload;
use heatherring_lib::raft_message::LogPosition;
use heatherring_lib::raft_message::LogWrite;
use heatherring_lib::raft_message::Membership;
use heatherring_lib::raft_message::Message;
use heatherring_lib::raft_message::MessageKind;
use heatherring_lib::raft_message::Snapshot;
use heatherring_lib::raft_write_queue::WriteQueue;

fn append(index: u64, term: u64) -> LogWrite {
    LogWrite::Append(LogEntry {
        index: Revision(index),
        term: Term(term),
        payload: LogPayload::Noop,
    })
}

fn hard_state() -> LogWrite {
    LogWrite::HardState(HardState {
        term: Term(2),
        voted_for: Some(ReplicaId(1)),
    })
}

fn snapshot(index: u64) -> Snapshot {
    Snapshot {
        index: Revision(index),
        term: Term(1),
        membership: Membership::default(),
        data: Vec::new().into(),
    }
}

/// A message that is recognized by its term.
fn message(number: u64) -> (ReplicaId, Message) {
    let kind = MessageKind::TimeoutNow;
    let term = Term(number);
    (ReplicaId(2), Message { term, kind })
}

fn step(writes: Vec<LogWrite>, send: u64, ack: Option<u64>) -> Effects {
    Effects {
        writes,
        sends: vec![message(send)],
        acks: ack.map(message).into_iter().collect(),
        ..Effects::default()
    }
}

fn sent(fx: &Effects) -> Vec<u64> {
    fx.sends.iter().map(|(_, message)| message.term.0).collect()
}

/// Generates a test for each kind of record: which messages of its step leave at once, and which
/// ones once it is durable. Guards against a promise that is given before its record is durable.
macro_rules! held_cases {
    ($($name:ident: $writes:expr, restores $restores:expr => $at_once:expr, $after:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut queue = WriteQueue::default();
                let mut fx = step($writes, 1, Some(2));
                fx.restored = $restores;
                let (at_once, after): (&[u64], &[u64]) = (&$at_once, &$after);
                assert_eq!(sent(&queue.push(fx)), at_once);
                queue.begin().unwrap();
                assert_eq!(sent(&queue.complete().effects), after);
            }
        )*
    };
}

held_cases! {
    test_write_queue_append_holds_its_acks: vec![append(5, 1)], restores None => [1], [2];
    test_write_queue_vote_holds_all: vec![hard_state()], restores None => [], [1, 2];
    test_write_queue_vote_among_appends_holds_all:
        vec![append(5, 1), hard_state()], restores None => [], [1, 2];
    test_write_queue_truncation_holds_all:
        vec![LogWrite::Truncate(Revision(4)), append(4, 2)], restores None => [], [1, 2];
    test_write_queue_restored_snapshot_holds_all:
        vec![LogWrite::Snapshot(snapshot(9))], restores Some(snapshot(9)) => [], [1, 2];
    test_write_queue_compaction_holds_its_acks:
        vec![LogWrite::Snapshot(snapshot(3))], restores None => [1], [2];
}

/// Guards against later effects that overtake those of a vote which is still being written.
#[test]
fn test_write_queue_keeps_order_behind_a_vote() {
    let mut queue = WriteQueue::default();
    assert!(queue.push(step(vec![hard_state()], 1, None)).is_empty());
    queue.begin().unwrap();
    assert!(queue.push(step(vec![append(5, 2)], 2, Some(9))).is_empty());
    assert!(queue.push(step(Vec::new(), 3, None)).is_empty());
    assert_eq!(queue.begin(), None);
    assert_eq!(sent(&queue.complete().effects), [1, 2, 3]);
    queue.begin().unwrap();
    assert_eq!(sent(&queue.push(step(Vec::new(), 4, None))), [4]);
    assert_eq!(sent(&queue.complete().effects), [9]);
}

/// Generates a test for each batch: the position up to which the log is durable after it. Guards
/// against a replica that counts itself for entries that are not on its disk.
macro_rules! position_cases {
    ($($name:ident: $writes:expr => $position:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut queue = WriteQueue::default();
                let _ = queue.push(step($writes, 1, None));
                queue.begin().unwrap();
                let position: Option<(u64, u64)> = $position;
                let position = position.map(|(index, term)| LogPosition {
                    index: Revision(index),
                    term: Term(term),
                });
                assert_eq!(queue.complete().position, position);
            }
        )*
    };
}

position_cases! {
    test_write_queue_position_of_appends: vec![append(5, 1), append(6, 1)] => Some((6, 1));
    test_write_queue_position_of_a_vote: vec![hard_state()] => None;
    test_write_queue_position_before_a_truncation:
        vec![append(5, 1), append(6, 1), LogWrite::Truncate(Revision(6))] => Some((5, 1));
    test_write_queue_position_after_a_truncation:
        vec![append(5, 1), LogWrite::Truncate(Revision(5)), append(5, 2)] => Some((5, 2));
    test_write_queue_position_of_a_truncation: vec![LogWrite::Truncate(Revision(5))] => None;
    test_write_queue_position_of_a_snapshot: vec![LogWrite::Snapshot(snapshot(9))] => Some((9, 1));
    test_write_queue_position_of_a_compaction:
        vec![append(5, 1), append(6, 1), LogWrite::Snapshot(snapshot(3))] => Some((6, 1));
}

/// Generates a test for each list of queued records: those that are left once the queue has taken a
/// snapshot in place of what it includes. Guards against records whose result on the disk differs.
macro_rules! compaction_cases {
    ($($name:ident: $writes:expr => $left:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut queue = WriteQueue::default();
                for write in $writes {
                    let _ = queue.push(step(vec![write], 1, None));
                }
                assert_eq!(queue.queued(), $left);
                let on_disk = DurableState {
                    entries: (1..=3).map(entry_of_term_1).collect(),
                    ..DurableState::default()
                };
                assert_eq!(applied(on_disk.clone(), queue.queued()), applied(on_disk, &$writes));
            }
        )*
    };
}

fn entry_of_term_1(index: u64) -> LogEntry {
    LogEntry {
        index: Revision(index),
        term: Term(1),
        payload: LogPayload::Noop,
    }
}

fn applied(mut state: DurableState, writes: &[LogWrite]) -> DurableState {
    for write in writes {
        state.apply(write.clone()).unwrap();
    }
    state
}

fn compacted(index: u64) -> LogWrite {
    LogWrite::Snapshot(snapshot(index))
}

compaction_cases! {
    test_write_queue_compacts_entries:
        [append(4, 1), append(5, 1), compacted(5)] => [compacted(5)];
    test_write_queue_compacts_and_keeps_later_entries:
        [append(4, 1), append(5, 1), append(6, 1), compacted(4), append(7, 1)]
            => [compacted(4), append(5, 1), append(6, 1), append(7, 1)];
    test_write_queue_compacts_around_a_vote:
        [append(4, 1), hard_state(), append(5, 2), compacted(4)]
            => [hard_state(), compacted(4), append(5, 2)];
    test_write_queue_compacts_around_a_truncation:
        [append(4, 1), LogWrite::Truncate(Revision(3)), append(3, 2), append(4, 2), compacted(3)]
            => [LogWrite::Truncate(Revision(3)), compacted(3), append(4, 2)];
    test_write_queue_compacts_an_earlier_snapshot:
        [append(4, 1), compacted(4), append(5, 1), compacted(5)] => [compacted(5)];
    test_write_queue_compacts_what_is_on_disk:
        [append(4, 1), compacted(2)] => [compacted(2), append(4, 1)];
}

/// Guards against memory that grows while a record waits: a replica goes on answering heartbeats.
#[test]
fn test_write_queue_drops_the_oldest_held_messages() {
    let mut queue = WriteQueue::default();
    let _ = queue.push(step(vec![hard_state()], 0, None));
    queue.begin().unwrap();
    for number in 1..5_000 {
        let _ = queue.push(step(Vec::new(), number, Some(number)));
    }
    let completed = queue.complete().effects;
    assert!(completed.sends.len() < 2_100, "{}", completed.sends.len());
    assert!(sent(&completed).contains(&4_999));
}
