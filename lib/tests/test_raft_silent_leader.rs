//! Replicas that cannot campaign, and whose leader has gone silent.

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
use heatherring_lib::raft_effects::Effects;
use heatherring_lib::raft_effects::Input;
use heatherring_lib::raft_effects::Role;
use heatherring_lib::raft_effects::RoleChange;
use heatherring_lib::raft_message::Message;
use heatherring_lib::raft_message::MessageKind;
use heatherring_lib::raft_message::ReplicaInfo;
use rstest::rstest;

const ELECTION_MAX: Duration = Duration::from_millis(1_200);
const LEADER: ReplicaId = ReplicaId(1);
const TERM: Term = Term(2);

/// Returns a replica that knows three voters, 1 to 3.
fn replica(id: u64, now: Instant) -> Raft {
    let info = |id: u64| ReplicaInfo {
        vm: VmName::new(format!("control-{id}")),
        address: SocketAddr::from(([10, 0, 0, 1], u16::try_from(id).unwrap())),
    };
    let founders: BTreeMap<ReplicaId, ReplicaInfo> =
        (1..=3).map(|id| (ReplicaId(id), info(id))).collect();
    let mut durable = DurableState::default();
    for write in founding_writes(founders, None) {
        durable.apply(write).unwrap();
    }
    let cfg = RaftConfig {
        id: ReplicaId(id),
        heartbeat: Duration::from_millis(100),
        election_min: Duration::from_millis(600),
        election_max: ELECTION_MAX,
        max_append_bytes: 512,
        snapshot_chunk_bytes: 64,
        seed: id,
        max_voters: 3,
        seats: None,
    };
    Raft::new(cfg, durable, now).unwrap()
}

fn learner(now: Instant) -> Raft {
    replica(4, now)
}

fn voter(now: Instant) -> Raft {
    replica(2, now)
}

fn voter_with_full_disk(now: Instant) -> Raft {
    let mut raft = voter(now);
    let _ = raft.step(now, Input::DiskFull(true));
    raft
}

fn hear_leader(raft: &mut Raft, now: Instant) -> Effects {
    let kind = MessageKind::Append {
        previous_index: Revision(1),
        previous_term: Term(1),
        entries: Vec::new(),
        commit: Revision(1),
        barrier: 1,
        reply_number: 0,
        contact_ms: 0,
    };
    let message = Message { term: TERM, kind };
    raft.step(
        now,
        Input::Message {
            from: LEADER,
            message,
        },
    )
}

/// Guards against a replica that passes orders on to a leader that is gone.
#[rstest]
#[case::learner(learner, Role::Learner)]
#[case::voter_with_full_disk(voter_with_full_disk, Role::Follower)]
fn test_raft_silent_leader_is_forgotten(#[case] replica: fn(Instant) -> Raft, #[case] role: Role) {
    let heard_at = Instant::now();
    let mut raft = replica(heard_at);
    let _ = hear_leader(&mut raft, heard_at);
    assert_eq!(raft.leader(), Some(LEADER));
    let mut forgotten = None;
    while forgotten.is_none() && raft.next_wake() <= heard_at + ELECTION_MAX {
        forgotten = raft.step(raft.next_wake(), Input::Tick).role_changed;
    }
    let expected = RoleChange {
        role,
        term: TERM,
        leader: None,
    };
    assert_eq!(forgotten, Some(expected));
    assert_eq!(raft.leader(), None);
    assert!(raft.next_wake() > heard_at + ELECTION_MAX);
}

/// Guards against a replica that forgets a leader that it still hears.
#[rstest]
#[case::learner(learner)]
#[case::voter_with_full_disk(voter_with_full_disk)]
fn test_raft_silent_leader_is_known_until_election_max(#[case] replica: fn(Instant) -> Raft) {
    let heard_at = Instant::now();
    let mut raft = replica(heard_at);
    let _ = hear_leader(&mut raft, heard_at);
    let _ = raft.step(heard_at + Duration::from_millis(1_199), Input::Tick);
    assert_eq!(raft.leader(), Some(LEADER));
}

/// Guards against a process that was suspended and forgets its leader before it reads the
/// heartbeats that wait in its queue.
#[rstest]
#[case::learner(learner)]
#[case::voter_with_full_disk(voter_with_full_disk)]
fn test_raft_silent_leader_is_kept_by_a_waiting_message(#[case] replica: fn(Instant) -> Raft) {
    let heard_at = Instant::now();
    let mut raft = replica(heard_at);
    let _ = hear_leader(&mut raft, heard_at);
    let resumed_at = heard_at + ELECTION_MAX * 3;
    let heard = hear_leader(&mut raft, resumed_at);
    assert_eq!(heard.role_changed, None);
    assert_eq!(raft.step(resumed_at, Input::Tick).role_changed, None);
    assert_eq!(raft.leader(), Some(LEADER));
}

/// Guards against a voter that waits for a leader instead of campaigning.
#[test]
fn test_raft_silent_leader_makes_a_voter_campaign() {
    let heard_at = Instant::now();
    let mut raft = voter(heard_at);
    let _ = hear_leader(&mut raft, heard_at);
    let wake = raft.next_wake();
    assert!(wake <= heard_at + ELECTION_MAX);
    let change = raft.step(wake, Input::Tick).role_changed.unwrap();
    assert_eq!(change.role, Role::PreCandidate);
}
