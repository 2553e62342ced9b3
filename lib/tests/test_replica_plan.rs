//! Tests of how the set of control replicas repairs itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::id::RegionName;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::id::Revision;
use heatherring_lib::id::VmName;
use heatherring_lib::raft_effects::MembershipChange;
use heatherring_lib::raft_effects::ReplicaProgress;
use heatherring_lib::raft_message::Membership;
use heatherring_lib::raft_message::ReplicaInfo;
use heatherring_lib::replica_plan::Admission;
use heatherring_lib::replica_plan::REMOVE_SILENT_AFTER;
use heatherring_lib::replica_plan::admit;
use heatherring_lib::replica_plan::due_removal;
use heatherring_lib::replica_plan::next_voter;

fn info(number: u16) -> ReplicaInfo {
    ReplicaInfo {
        vm: VmName::new(format!("control-{number}")),
        address: SocketAddr::from(([10, 0, 0, 1], number)),
    }
}

fn voters(numbers: impl IntoIterator<Item = u16>) -> BTreeMap<ReplicaId, ReplicaInfo> {
    numbers
        .into_iter()
        .map(|number| (ReplicaId(number.into()), info(number)))
        .collect()
}

fn progress(id: u64, voter: bool, last_heard: Instant) -> ReplicaProgress {
    ReplicaProgress {
        id: ReplicaId(id),
        voter,
        matched: Revision(1),
        last_heard: Some(last_heard),
        snapshot: None,
    }
}

fn known(membership: &Membership, since: Instant) -> BTreeMap<ReplicaId, Instant> {
    membership.ids().map(|id| (id, since)).collect()
}

/// Guards against a replica that needs twenty seconds to return after it lost its disk, and whose
/// process exits once in between. A long-standing leader admits it as a learner and removes it half
/// a second later as silent, before its process has formatted its data folder; the process then
/// starts, is no member, notices this after seconds and begins again. The silence of a replica that
/// has not been heard from yet must count from its admission, not from the leader's election.
#[test]
fn test_replica_plan_gives_a_new_learner_time() {
    let now = Instant::now() + Duration::from_mins(1);
    let membership = Membership {
        voters: voters(1..=5),
        learners: BTreeMap::from([(ReplicaId(77), info(7))]),
        ..Membership::default()
    };
    let mut progress: Vec<ReplicaProgress> = (2..=5).map(|id| progress(id, true, now)).collect();
    progress.push(ReplicaProgress {
        id: ReplicaId(77),
        voter: false,
        matched: Revision(0),
        last_heard: None,
        snapshot: None,
    });
    let mut known = known(
        &membership,
        now.checked_sub(REMOVE_SILENT_AFTER * 3).unwrap(),
    );
    known.insert(ReplicaId(77), now);
    assert_eq!(due_removal(&membership, &progress, &known, now, 5), None);
    let later = now + REMOVE_SILENT_AFTER;
    for replica in progress.iter_mut().filter(|replica| replica.voter) {
        replica.last_heard = Some(later);
    }
    let removal = due_removal(&membership, &progress, &known, later, 5);
    assert_eq!(removal, Some(ReplicaId(77)));
}

/// Guards against the loss of an acknowledged entry: a replica that returns at its address with an
/// empty folder must not vote as its former self, without the entries that this one held. It joins
/// under a fresh identity, and the former one is removed once the new one votes.
#[test]
fn test_replica_plan_replaces_a_voter_that_lost_its_disk() {
    let membership = Membership {
        voters: voters(1..=5),
        ..Membership::default()
    };
    let change = MembershipChange::AddLearner {
        id: ReplicaId(77),
        info: info(3),
        replaces: Some(ReplicaId(3)),
    };
    let admission = admit(&membership, ReplicaId(77), &info(3));
    assert_eq!(admission, Admission::Change(change));
}

/// A replica that was admitted and lost its data folder again before it caught up.
#[test]
fn test_replica_plan_removes_a_learner_that_never_caught_up() {
    let membership = Membership {
        voters: voters(1..=5),
        learners: BTreeMap::from([(ReplicaId(70), info(3))]),
        ..Membership::default()
    };
    let admission = admit(&membership, ReplicaId(77), &info(3));
    let change = MembershipChange::Remove(ReplicaId(70));
    assert_eq!(admission, Admission::Change(change));
}

/// A silent voter is kept while nobody can replace it: without it, four voters would tolerate the
/// loss of no more replicas than five do.
#[test]
fn test_replica_plan_keeps_a_silent_voter_without_replacement() {
    let now = Instant::now() + Duration::from_mins(1);
    let membership = Membership {
        voters: voters(1..=5),
        ..Membership::default()
    };
    let elected = now.checked_sub(REMOVE_SILENT_AFTER * 2).unwrap();
    let progress: Vec<ReplicaProgress> = (2..=5)
        .map(|id| progress(id, true, if id == 2 { elected } else { now }))
        .collect();
    let removal = due_removal(&membership, &progress, &known(&membership, elected), now, 5);
    assert_eq!(removal, None);
}

/// Guards against control stopping at the second loss: a VM was replaced by another one at a new
/// address, which joined as the sixth voter, while the first one remained a voter; then another VM
/// was lost. Since three of six are no majority, the silent voter must be removed.
#[test]
fn test_replica_plan_removes_a_silent_voter_beyond_the_target() {
    let now = Instant::now() + Duration::from_mins(1);
    let membership = Membership {
        voters: voters(1..=6),
        ..Membership::default()
    };
    let elected = now.checked_sub(REMOVE_SILENT_AFTER * 2).unwrap();
    let progress: Vec<ReplicaProgress> = (2..=6)
        .map(|id| progress(id, true, if id == 2 { elected } else { now }))
        .collect();
    let removal = due_removal(&membership, &progress, &known(&membership, elected), now, 5);
    assert_eq!(removal, Some(ReplicaId(2)));
    let just_elected = due_removal(&membership, &progress, &known(&membership, now), now, 5);
    assert_eq!(just_elected, None);
}

/// Eleven replicas in three regions: 1, 4, 7 and 10 in the first one, and so on.
fn regions() -> BTreeMap<ReplicaId, RegionName> {
    let region = |id: u64| RegionName::new(format!("region-{}", id % 3));
    (1..=11).map(|id| (ReplicaId(id), region(id))).collect()
}

fn next(voting: &[u16], caught_up: &[u64], known: bool, free_ms: u64) -> Option<u64> {
    let membership = Membership {
        voters: voters(voting.iter().copied()),
        ..Membership::default()
    };
    let regions = if known { regions() } else { BTreeMap::new() };
    let caught_up: Vec<ReplicaId> = caught_up.iter().copied().map(ReplicaId).collect();
    let free_for = Duration::from_millis(free_ms);
    next_voter(&membership, &regions, &caught_up, 5, free_for).map(|id| id.0)
}

/// Guards against a majority of the voters in one region.
#[test]
fn test_replica_plan_spreads_voters_over_regions() {
    assert_eq!(next(&[1, 2, 3], &[4, 5], true, 0), Some(4));
    assert_eq!(next(&[1, 2, 3, 4], &[7, 10, 5], true, 0), Some(5));
    assert_eq!(next(&[1, 2, 3, 4], &[7, 10], true, 2_900), None);
    // No better learner has appeared.
    assert_eq!(next(&[1, 2, 3, 4], &[7, 10], true, 3_000), Some(7));
    // Their regions are not known yet.
    assert_eq!(next(&[1, 2, 3], &[4, 5], false, 2_900), None);
    assert_eq!(next(&[1, 2, 3], &[4, 5], false, 3_000), Some(4));
    assert_eq!(next(&[1, 2, 3], &[], true, 9_000), None);
}
