//! Tests of how learners take the seats of silent voters.

mod raft_network;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use heatherring_lib::id::RegionName;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::raft::Raft;
use heatherring_lib::raft_effects::Input;
use heatherring_lib::replica_plan::SeatTiming;

use self::raft_network::ELECTION_MAX;
use self::raft_network::ELECTION_MIN;
use self::raft_network::Network;
use self::raft_network::id;

/// Time within which a replacement is to be a voter.
const REPLACEMENT: Duration = Duration::from_secs(1);

/// Seeds of each test.
const SEEDS: u64 = 12;

fn timing() -> SeatTiming {
    SeatTiming::new(REPLACEMENT, ELECTION_MAX)
}

/// Starts five replicas, each of which votes.
fn five_voters(seed: u64) -> Network {
    Network::with_seats(seed, 5, timing())
}

/// Tells all replicas that each of them is in a region of its own.
fn spread(network: &mut Network, count: u64) {
    let region = |number| (id(number), RegionName::new(format!("region-{number}")));
    let regions: BTreeMap<_, _> = (1..=count).map(region).collect();
    for number in 1..=count {
        network.step(id(number), Input::Regions(regions.clone()));
    }
}

fn set(numbers: impl IntoIterator<Item = u64>) -> BTreeSet<ReplicaId> {
    numbers.into_iter().map(id).collect()
}

fn live_voters(network: &Network) -> usize {
    let voters = network.voters();
    let running = network.rafts().map(Raft::id);
    running.filter(|id| voters.contains(id)).count()
}

/// Guards against the loss of control while each leader in turn is replaced by an empty replica.
#[test]
fn test_raft_seats_leaders_are_replaced_one_after_another() {
    for seed in 0..SEEDS {
        let mut network = five_voters(seed);
        for number in 6..16 {
            let leader = network.leader().unwrap();
            network.lose_disk(leader);
            network.run(ELECTION_MAX + ELECTION_MIN);
            network.join(number, None);
            network.run(REPLACEMENT);
            assert_eq!(live_voters(&network), 5, "seed {seed}, {number}");
            assert!(!network.voters().contains(&leader), "seed {seed}");
            network.commit_one();
        }
    }
}

/// Guards against a seat that stays dead since its silence is counted anew by each leader.
#[test]
fn test_raft_seats_outlast_a_change_of_leader() {
    for seed in 0..SEEDS {
        let mut network = five_voters(seed);
        let lost = network.leader().unwrap();
        network.lose_disk(lost);
        network.join(6, None);
        let leader = network.leader().unwrap();
        network.step(leader, Input::StepDown);
        network.run(REPLACEMENT);
        assert_eq!(live_voters(&network), 5, "seed {seed}");
        assert!(!network.voters().contains(&lost), "seed {seed}");
    }
}

/// Guards against the loss of a log, and of an identity, by a short pause.
#[test]
fn test_raft_seats_a_paused_voter_stays_a_member() {
    for seed in 0..SEEDS {
        let mut network = five_voters(seed);
        network.join(6, None);
        network.run(ELECTION_MAX);
        let leader = network.leader().unwrap();
        let paused = (1..=5).map(id).find(|id| *id != leader).unwrap();
        network.freeze(paused, REPLACEMENT * 2);
        network.run(REPLACEMENT);
        assert!(network.voters().contains(&id(6)), "seed {seed}");
        network.run(REPLACEMENT * 2);
        let leader = network.leader().unwrap();
        let membership = network.raft(leader).membership().clone();
        assert!(membership.learners.contains_key(&paused), "seed {seed}");
        assert_eq!(membership.voters.len(), 5);
        let last = network.commit_one();
        network.run(ELECTION_MAX);
        assert!(network.raft(paused).commit() >= last, "seed {seed}");
    }
}

/// Guards against voters that lose their seats while nobody can take them.
#[test]
fn test_raft_seats_stay_without_a_learner() {
    for seed in 0..SEEDS {
        let mut network = five_voters(seed);
        let leader = network.leader().unwrap();
        let paused = (1..=5).map(id).find(|id| *id != leader).unwrap();
        network.freeze(paused, REPLACEMENT * 4);
        network.run(REPLACEMENT * 5);
        assert_eq!(network.voters(), set(1..=5), "seed {seed}");
    }
}

/// Guards against a seat that stays dead while leaders change faster than silence is noticed.
#[test]
fn test_raft_seats_new_leader_goes_by_reports_from_before() {
    for seed in 0..SEEDS {
        let mut network = five_voters(seed);
        let leader = network.leader().unwrap();
        let lost = (1..=5).map(id).find(|id| *id != leader).unwrap();
        network.lose_disk(lost);
        let contacts = BTreeMap::from([(lost, network.time())]);
        for number in (1..=5).filter(|number| id(*number) != lost) {
            network.step(id(number), Input::Contacts(contacts.clone()));
        }
        network.join(6, None);
        network.run(timing().any_region_after / 2);
        let leader = network.leader().unwrap();
        network.step(leader, Input::StepDown);
        network.run_until("another replica leads", |network| {
            network.leader().is_some_and(|other| other != leader)
        });
        let remaining = timing().any_region_after / 2;
        network.run(remaining + ELECTION_MIN / 2);
        assert!(!network.voters().contains(&lost), "seed {seed}");
    }
}

/// Guards against the loss of control with a region that goes at the same time as a replica that was
/// stopped as planned, after its successor had joined.
#[test]
fn test_raft_seats_a_leaving_voter_gives_its_seat_up() {
    for seed in 0..SEEDS {
        for leads in [false, true] {
            let mut network = five_voters(seed);
            network.join(6, None);
            network.run(ELECTION_MAX);
            let leader = network.leader().unwrap();
            let leaving = (1..=5).map(id).find(|id| (*id == leader) == leads).unwrap();
            spread(&mut network, 6);
            network.step(leaving, Input::Leaving);
            network.step(leaving, Input::StepDown);
            network.run(ELECTION_MIN * 2);
            let expected: BTreeSet<_> = (1..=6).map(id).filter(|id| *id != leaving).collect();
            assert_eq!(network.voters(), expected, "seed {seed}");
            network.run(REPLACEMENT);
            assert_eq!(network.voters(), expected, "seed {seed}");
            network.crash(leaving);
            network.restart(leaving);
            network.run(REPLACEMENT);
            let leader = network.leader().unwrap();
            let membership = network.raft(leader).membership();
            assert!(membership.learners.contains_key(&leaving), "seed {seed}");
        }
    }
}

/// Guards against a sixth voter that stays: a voter that lost its disk lost its seat to another learner
/// before its replacement had caught up.
#[test]
fn test_raft_seats_a_late_replacement_is_no_voter_too_many() {
    for seed in 0..SEEDS {
        let mut network = five_voters(seed);
        network.join(6, None);
        let leader = network.leader().unwrap();
        let lost = (1..=5).find(|number| id(*number) != leader).unwrap();
        network.lose_disk(id(lost));
        network.join(7, Some(lost));
        network.cut(id(7), leader);
        network.run(REPLACEMENT);
        assert!(network.voters().contains(&id(6)), "seed {seed}");
        network.heal();
        network.run(REPLACEMENT);
        assert_eq!(network.voters().len(), 5, "seed {seed}");
        assert!(!network.voters().contains(&id(lost)), "seed {seed}");
    }
}

/// Guards against the loss of control with a region that goes at the same time as a replica whose
/// successor has long caught up.
#[test]
fn test_raft_seats_a_standby_successor_needs_no_silence() {
    for seed in 0..SEEDS {
        let mut network = five_voters(seed);
        let region_of = |number| match number {
            1 | 2 => "first",
            3 | 4 => "second",
            _ => "third",
        };
        let region = |number| (id(number), RegionName::new(region_of(number)));
        let regions: BTreeMap<_, _> = (1..=6).map(region).collect();
        network.join(6, None);
        for number in 1..=6 {
            network.step(id(number), Input::Regions(regions.clone()));
        }
        network.run(REPLACEMENT);
        network.lose_disk(id(5));
        let left: Vec<u64> = vec![3, 4, 6];
        network.partition(&left);
        network.run_until("the replicas that are left decide", |network| {
            network
                .leader()
                .is_some_and(|leader| left.contains(&leader.0))
        });
    }
}
