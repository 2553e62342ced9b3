//! What a replica without a leader tells of the other voters.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::id::ReplicaId;
use heatherring_lib::id::Revision;
use heatherring_lib::id::Term;
use heatherring_lib::id::VmName;
use heatherring_lib::raft::Raft;
use heatherring_lib::raft_config::DurableState;
use heatherring_lib::raft_config::RaftConfig;
use heatherring_lib::raft_config::founding_writes;
use heatherring_lib::raft_contact::MissingQuorum;
use heatherring_lib::raft_effects::Input;
use heatherring_lib::raft_message::Message;
use heatherring_lib::raft_message::MessageKind;
use heatherring_lib::raft_message::ReplicaInfo;
use rstest::rstest;

const ELECTION_MAX: Duration = Duration::from_millis(1_200);
const OWN: ReplicaId = ReplicaId(1);

/// Returns the first of five voters.
fn voter(now: Instant) -> Raft {
    let info = |id: u64| ReplicaInfo {
        vm: VmName::new(format!("control-{id}")),
        address: SocketAddr::from(([10, 0, 0, 1], u16::try_from(id).unwrap())),
    };
    let founders: BTreeMap<ReplicaId, ReplicaInfo> =
        (1..=5).map(|id| (ReplicaId(id), info(id))).collect();
    let mut durable = DurableState::default();
    for write in founding_writes(founders, None) {
        durable.apply(write).unwrap();
    }
    let cfg = RaftConfig {
        id: OWN,
        heartbeat: Duration::from_millis(100),
        election_min: Duration::from_millis(600),
        election_max: ELECTION_MAX,
        max_append_bytes: 512,
        snapshot_chunk_bytes: 64,
        seed: 1,
        max_voters: 5,
        seats: None,
    };
    Raft::new(cfg, durable, now).unwrap()
}

fn receive(raft: &mut Raft, now: Instant, from: u64, kind: MessageKind) {
    let message = Message {
        term: raft.term(),
        kind,
    };
    let from = ReplicaId(from);
    let _ = raft.step(now, Input::Message { from, message });
}

/// Lets the replica ask for votes until `until`; the voters in `answering` refuse each time.
fn campaign(raft: &mut Raft, until: Instant, answering: &[u64]) {
    while raft.next_wake() <= until {
        let now = raft.next_wake();
        let _ = raft.step(now, Input::Tick);
        for from in answering {
            receive(
                raft,
                now,
                *from,
                MessageKind::PreVoteReply { granted: false },
            );
        }
    }
}

fn hear_leader(raft: &mut Raft, now: Instant) {
    let append = MessageKind::Append {
        previous_index: Revision(1),
        previous_term: Term(1),
        entries: Vec::new(),
        commit: Revision(1),
        barrier: 1,
        reply_number: 0,
        contact_ms: 0,
    };
    receive(raft, now, 2, append);
}

fn ids(ids: &[u64]) -> Vec<ReplicaId> {
    ids.iter().map(|id| ReplicaId(*id)).collect()
}

/// Guards against a lost majority that looks like one that can't agree.
#[rstest]
#[case::majority_lost(&[2], &[1, 2], &[3, 4, 5])]
#[case::all_lost(&[], &[1], &[2, 3, 4, 5])]
#[case::majority_undecided(&[2, 3, 5], &[1, 2, 3, 5], &[4])]
fn test_raft_contact_tells_who_answers(
    #[case] answering: &[u64],
    #[case] expected: &[u64],
    #[case] silent: &[u64],
) {
    let start = Instant::now();
    let mut raft = voter(start);
    let later = start + ELECTION_MAX * 4;
    campaign(&mut raft, later, answering);
    let missing = MissingQuorum {
        leaderless_for: ELECTION_MAX * 4,
        answering: ids(expected),
        silent: ids(silent),
        granted: 1,
        learners: 0,
    };
    assert_eq!(raft.missing_quorum(later), Some(missing));
    for id in silent {
        assert_eq!(raft.is_answering(ReplicaId(*id), later), Some(false));
    }
    for id in expected {
        assert_eq!(raft.is_answering(ReplicaId(*id), later), Some(true));
    }
}

/// Guards against a report on each ordinary election.
#[test]
fn test_raft_contact_is_silent_for_two_timeouts() {
    let start = Instant::now();
    let mut raft = voter(start);
    let early = start + Duration::from_millis(2_399);
    campaign(&mut raft, early, &[]);
    assert_eq!(raft.missing_quorum(early), None);
}

/// Guards against a report while there is a leader, and against a time without one that goes on.
#[test]
fn test_raft_contact_ends_with_a_leader() {
    let start = Instant::now();
    let mut raft = voter(start);
    let later = start + ELECTION_MAX * 4;
    campaign(&mut raft, later, &[2]);
    hear_leader(&mut raft, later);
    assert_eq!(raft.leaderless_for(later), Duration::ZERO);
    assert_eq!(raft.missing_quorum(later), None);
    assert_eq!(raft.is_answering(ReplicaId(2), later), Some(true));
    assert_eq!(raft.is_answering(ReplicaId(3), later), None);
}
