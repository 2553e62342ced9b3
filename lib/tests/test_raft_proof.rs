//! When followers know that they are current.

mod raft_network;

use std::time::Duration;

use crate::raft_network::ELECTION_MAX;
use crate::raft_network::Network;
use crate::raft_network::NetworkConditions;
use crate::raft_network::id;

/// Age of a proof up to which a replica counts as current.
const PROOF_AGE: Duration = Duration::from_millis(600);

/// Time between two commands: the leader commits more before a follower has what is committed.
const PAUSE: Duration = Duration::from_millis(5);

/// Symptom: entry VMs leave a control replica after the other, since each says that it can't
/// prove that it is current, and heartbeats of backend servers are turned away, whenever much is
/// committed.
///
/// Sequence: the leader commits one command after the other. What it says of its commits is
/// always ahead of what has reached the follower.
///
/// Cause: a follower counted as current only while it had everything that the leader told of,
/// rather than for a while after it had.
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
                let proved = raft.proven_current_at().expect("it was current once");
                let age = network.time().saturating_duration_since(proved);
                assert!(age < PROOF_AGE, "seed {seed}, {follower:?}: {age:?}");
            }
        }
    }
}

/// A follower that hears of commits and lacks them isn't current for longer than it was.
#[test]
fn test_a_follower_that_lags_ceases_to_be_current() {
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

/// Guards against a replica that says that it is current on the word of a replaced leader.
#[test]
fn test_a_word_that_waited_proves_nothing_of_now() {
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
