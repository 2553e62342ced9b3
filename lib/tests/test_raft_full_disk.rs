//! Replicas whose disks are full for a while.

mod raft_network;

use std::time::Duration;

use heatherring_lib::id::ReplicaId;
use heatherring_lib::raft_effects::Answer;
use heatherring_lib::raft_effects::Input;
use heatherring_lib::raft_effects::Refusal;
use heatherring_lib::raft_effects::Role;
use heatherring_lib::raft_effects::Token;
use rstest::rstest;

use self::raft_network::ELECTION_MAX;
use self::raft_network::Network;

const SOON: Duration = Duration::from_millis(50);
const LONG: Duration = Duration::from_secs(20);

fn is_committed(network: &Network, token: Token) -> bool {
    matches!(network.answers.get(&token), Some(Answer::Committed { .. }))
}

fn is_read(network: &mut Network, replica: ReplicaId) -> bool {
    let read = network.read(replica);
    network.run(SOON);
    matches!(network.answers.get(&read), Some(Answer::ReadReady { .. }))
}

fn refusal(network: &mut Network, replica: ReplicaId) -> Option<Refusal> {
    let token = network.propose(replica);
    network.run(SOON);
    match network.answers.get(&token) {
        Some(Answer::Refused { reason, .. }) => Some(reason.clone()),
        _ => None,
    }
}

fn followers(network: &Network, leader: ReplicaId) -> Vec<ReplicaId> {
    let ids = network.nodes.keys().copied();
    ids.filter(|replica| *replica != leader).collect()
}

/// Fills disks and has each of them refuse a record.
fn fill(network: &mut Network, leader: ReplicaId, full: &[ReplicaId]) -> Token {
    for replica in full {
        network.fill_disk(*replica);
    }
    let token = network.propose(leader);
    network.run(ELECTION_MAX);
    token
}

/// Guards against orders that get no answer, and reads that are not served, while one disk of
/// three is full.
#[rstest]
#[case::leader(true)]
#[case::follower(false)]
fn test_one_full_disk_holds_up_nothing(#[case] of_leader: bool) {
    let mut network = Network::with_voters(31, 3);
    let leader = network.leader().unwrap();
    let full = if of_leader {
        leader
    } else {
        followers(&network, leader)[0]
    };
    let first = fill(&mut network, leader, &[full]);
    assert!(is_committed(&network, first));
    network.run(LONG);
    assert_eq!(network.leader(), Some(leader));
    assert!(is_read(&mut network, leader));
    let later = network.propose(leader);
    network.run(SOON);
    assert!(is_committed(&network, later));
    assert!(network.raft(leader).full_disks().contains(&full));
    let last = network.raft(leader).last_index();
    network.free_disk(full);
    network.run(ELECTION_MAX);
    assert_eq!(network.nodes[&full].disk.last_index(), last);
    network.run(ELECTION_MAX);
    assert!(network.raft(leader).full_disks().is_empty());
}

/// Guards against orders that are acknowledged, or held until their senders give up, while the
/// disks of a majority are full.
#[rstest]
#[case::leader_full(true)]
#[case::leader_has_room(false)]
fn test_full_majority_refuses_orders(#[case] leader_is_full: bool) {
    let mut network = Network::with_voters(32, 3);
    let leader = network.leader().unwrap();
    let others = followers(&network, leader);
    let full = if leader_is_full {
        [leader, others[0]]
    } else {
        [others[0], others[1]]
    };
    let unclear = fill(&mut network, leader, &full);
    assert_eq!(network.answers.get(&unclear), None);
    assert_eq!(refusal(&mut network, leader), Some(Refusal::DisksFull));
    network.run(LONG);
    assert_eq!(refusal(&mut network, leader), Some(Refusal::DisksFull));
    assert_eq!(network.answers.get(&unclear), None);
    assert_eq!(network.leader(), Some(leader));
    assert!(is_read(&mut network, leader));
    network.free_disk(full[1]);
    network.run(ELECTION_MAX * 2);
    assert!(is_committed(&network, unclear));
    assert_eq!(refusal(&mut network, leader), None);
}

/// Guards against a follower that claims to be current, or answers no heartbeats, while its disk
/// is full: its reads are proved by the others.
#[test]
fn test_full_follower_stays_current() {
    let mut network = Network::with_voters(33, 3);
    let leader = network.leader().unwrap();
    let full = followers(&network, leader)[0];
    fill(&mut network, leader, &[full]);
    network.run(LONG);
    let committed = network.raft(leader).commit();
    let proved = network.raft(full).proven_current_at().unwrap();
    let age = network.time().saturating_duration_since(proved);
    assert!(age < ELECTION_MAX, "{age:?}");
    assert_eq!(network.raft(full).commit(), committed);
}

/// Guards against a replica that leads, or disturbs the others by new terms, although it cannot
/// record a vote.
#[test]
fn test_full_replica_does_not_campaign() {
    let mut network = Network::with_voters(34, 5);
    let leader = network.leader().unwrap();
    let full = followers(&network, leader)[0];
    fill(&mut network, leader, &[full]);
    let term = network.raft(leader).term();
    network.isolate(full);
    network.run(LONG);
    assert_eq!(network.raft(full).term(), term);
    network.heal();
    network.run(ELECTION_MAX);
    assert_eq!(network.leader(), Some(leader));
    assert_eq!(network.raft(leader).term(), term);
}

/// Guards against a planned stop that hands leadership to a replica which cannot record its vote.
#[test]
fn test_leader_hands_over_to_a_replica_with_room() {
    let mut network = Network::with_voters(35, 3);
    let leader = network.leader().unwrap();
    let others = followers(&network, leader);
    fill(&mut network, leader, &[others[0]]);
    network.step(leader, Input::StepDown);
    network.run(ELECTION_MAX);
    assert_eq!(network.raft(others[1]).role(), Role::Leader);
    assert_eq!(network.leader(), Some(others[1]));
}

/// Guards against the loss of an acknowledged order when power fails while a disk is full.
#[test]
fn test_power_loss_with_a_full_disk_loses_nothing() {
    for seed in 0..20 {
        let mut network = Network::with_voters(seed, 3);
        let leader = network.leader().unwrap();
        let full = followers(&network, leader)[0];
        let first = fill(&mut network, leader, &[full]);
        assert!(is_committed(&network, first));
        network.lose_power();
        network.run(LONG);
        // The checker compares the log of every new leader with what was committed.
        network.commit_one();
        network.free_disk(full);
        network.run(ELECTION_MAX * 4);
        let last = network.commit_one();
        network.run(ELECTION_MAX * 2);
        assert_eq!(network.nodes[&full].state_machine.applied, last);
    }
}

/// Guards against memory that grows while a disk is full: a queued snapshot takes the place of the
/// entries before it.
#[test]
fn test_records_of_a_full_replica_stay_few() {
    let mut network = Network::with_voters(36, 3);
    let leader = network.leader().unwrap();
    fill(&mut network, leader, &[leader]);
    for _ in 0..200 {
        network.commit_one();
        network.compact(leader);
    }
    let queued = network.queued_records(leader);
    assert!(queued <= 3, "{queued}");
    network.free_disk(leader);
    network.run(ELECTION_MAX);
    let applied = network.nodes[&leader].state_machine.applied;
    network.crash(leader);
    network.restart(leader);
    network.commit_one();
    network.run(ELECTION_MAX * 2);
    assert!(network.nodes[&leader].state_machine.applied > applied);
}
