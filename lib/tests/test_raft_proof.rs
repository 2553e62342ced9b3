//! Proofs by which a replica knows that its state is current.

mod raft_network;

use std::time::Duration;

use crate::raft_network::ELECTION_MAX;
use crate::raft_network::Network;
use crate::raft_network::NetworkConditions;
use crate::raft_network::id;

/// Maximum age of a proof with which a replica counts as current.
const PROOF_AGE: Duration = Duration::from_millis(600);

/// Time between commands, short enough that the leader commits further entries before a
/// follower has received the previous ones.
const PAUSE: Duration = Duration::from_millis(5);

/// Symptom: under a high commit rate, every control replica reports that it cannot prove that
/// it is current. Entry VMs move from one replica to the next, and heartbeats of backend
/// servers are rejected.
///
/// Sequence: the leader commits commands continuously, so that the commit index that it
/// advertises is always ahead of what the follower has received.
///
/// Cause: a follower counts as current only while it has everything that the leader has
/// advertised, and not for some time after it had.
#[test]
fn test_followers_stay_current_while_much_is_committed() {
    for seed in 0..10 {
        let mut network = Network::with_voters(seed, 3);
        network.conditions = NetworkConditions {
            max_delay_ms: 60,
            ..NetworkConditions::GOOD
        };
        let leader = network.leader().unwrap();
        let followers: Vec<_> = (1..=3).map(id).filter(|id| *id != leader).collect();
        for _ in 0..300 {
            network.propose(leader);
            network.run(PAUSE);
            if network.leader() != Some(leader) {
                break;
            }
            for follower in &followers {
                let raft = network.raft(*follower);
                let proved = raft
                    .proven_current_at()
                    .expect("the follower has been current");
                let age = network.time().saturating_duration_since(proved);
                assert!(age < PROOF_AGE, "seed {seed}, {follower:?}: {age:?}");
            }
        }
    }
}

/// Guards against a follower that extends its proof while no appends from the leader reach it.
#[test]
fn test_follower_without_appends_stops_being_current() {
    let mut network = Network::with_voters(1, 3);
    let leader = network.leader().unwrap();
    let follower = (1..=3).map(id).find(|id| *id != leader).unwrap();
    network.run(PAUSE);
    network.cut(leader, follower);
    let before = network.raft(follower).proven_current_at();
    for _ in 0..20 {
        network.propose(leader);
        network.run(PAUSE);
    }
    assert_eq!(network.raft(follower).proven_current_at(), before);
}

/// Guards against a replica that claims to be current because of delayed appends from a leader
/// that has been replaced. They wait in the replica's buffers while it is frozen.
#[test]
fn test_delayed_append_of_a_replaced_leader_is_no_proof() {
    for seed in 0..20 {
        let mut network = Network::with_voters(seed, 5);
        let leader = network.leader().unwrap();
        let others: Vec<_> = (1..=5).map(id).filter(|id| *id != leader).collect();
        let (frozen, majority) = others.split_first().unwrap();
        network.freeze(*frozen, ELECTION_MAX * 8);
        network.run(ELECTION_MAX / 2);
        for member in majority {
            network.cut(leader, *member);
            network.cut(*member, leader);
            network.cut(*member, *frozen);
        }
        network.run(ELECTION_MAX * 3);
        network.commit_one();
        network.run(ELECTION_MAX * 6);
    }
}
