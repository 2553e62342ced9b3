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
use heatherring_lib::replica_plan::SeatPlan;
use heatherring_lib::replica_plan::SeatTiming;
use heatherring_lib::replica_plan::admit;
use heatherring_lib::replica_plan::due_removal;
use heatherring_lib::replica_plan::known_since;

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
    assert_eq!(
        due_removal(&membership, &progress, &known, now, 5, TIMING),
        None
    );
    let later = now + REMOVE_SILENT_AFTER;
    for replica in progress.iter_mut().filter(|replica| replica.voter) {
        replica.last_heard = Some(later);
    }
    let removal = due_removal(&membership, &progress, &known, later, 5, TIMING);
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
    let removal = due_removal(
        &membership,
        &progress,
        &known(&membership, elected),
        now,
        5,
        TIMING,
    );
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
    let removal = due_removal(
        &membership,
        &progress,
        &known(&membership, elected),
        now,
        5,
        TIMING,
    );
    assert_eq!(removal, Some(ReplicaId(2)));
    let just_elected = due_removal(
        &membership,
        &progress,
        &known(&membership, now),
        now,
        5,
        TIMING,
    );
    assert_eq!(just_elected, None);
}

/// Eleven replicas in three regions: 1, 4, 7 and 10 in the first one, and so on.
fn regions() -> BTreeMap<ReplicaId, RegionName> {
    let region = |id: u64| RegionName::new(format!("region-{}", id % 3));
    (1..=11).map(|id| (ReplicaId(id), region(id))).collect()
}

const TIMING: SeatTiming = SeatTiming {
    silent_after: Duration::from_millis(1_500),
    any_region_after: Duration::from_millis(2_500),
    remove_after: REMOVE_SILENT_AFTER,
};

fn with_plan<T>(
    voting: &[u16],
    caught_up: &[u64],
    known: bool,
    act: impl FnOnce(SeatPlan) -> T,
) -> T {
    let caught_up: Vec<ReplicaId> = caught_up.iter().copied().map(ReplicaId).collect();
    act(SeatPlan {
        membership: &Membership {
            voters: voters(voting.iter().copied()),
            ..Membership::default()
        },
        regions: &if known { regions() } else { BTreeMap::new() },
        caught_up: &caught_up,
        target: 5,
        timing: TIMING,
    })
}

fn next(voting: &[u16], caught_up: &[u64], known: bool, vacant_ms: u64) -> Option<u64> {
    let vacant_for = Duration::from_millis(vacant_ms);
    let next = with_plan(voting, caught_up, known, |plan| plan.next_voter(vacant_for));
    next.map(|id| id.0)
}

/// Returns the seat to vacate; replica 1 leads, and `silent` are those not heard from, in ms.
fn vacated(voting: &[u16], caught_up: &[u64], known: bool, silent: &[(u64, u64)]) -> Option<u64> {
    let mut silence: BTreeMap<ReplicaId, Duration> = voting
        .iter()
        .filter(|number| **number != 1)
        .map(|number| (ReplicaId((*number).into()), Duration::from_millis(90)))
        .collect();
    let silent = silent.iter();
    silence.extend(silent.map(|(id, ms)| (ReplicaId(*id), Duration::from_millis(*ms))));
    let vacated = with_plan(voting, caught_up, known, |plan| plan.to_vacate(&silence));
    vacated.map(|id| id.0)
}

/// Guards against a majority of the voters in one region.
#[test]
fn test_replica_plan_spreads_voters_over_regions() {
    assert_eq!(next(&[1, 2, 3], &[4, 5], true, 0), Some(4));
    assert_eq!(next(&[1, 2, 3, 4], &[7, 10, 5], true, 0), Some(5));
    assert_eq!(next(&[1, 2, 3, 4], &[7, 10], true, 2_400), None);
    // No better learner has appeared.
    assert_eq!(next(&[1, 2, 3, 4], &[7, 10], true, 2_500), Some(7));
    // Their regions are not known yet.
    assert_eq!(next(&[1, 2, 3], &[4, 5], false, 2_400), None);
    assert_eq!(next(&[1, 2, 3], &[4, 5], false, 2_500), Some(4));
    assert_eq!(next(&[1, 2, 3], &[], true, 9_000), None);
}

/// Guards against the loss of control while its VMs are replaced one at a time: the seats of the lost
/// ones stayed taken until a majority of the seats was dead.
#[test]
fn test_replica_plan_vacates_the_seat_of_a_silent_voter() {
    let voting = [1, 2, 3, 4, 5];
    // The learner is of the region that loses a voter.
    assert_eq!(vacated(&voting, &[8], true, &[(5, 1_400)]), None);
    assert_eq!(vacated(&voting, &[8], true, &[(5, 1_500)]), Some(5));
    // The one that has been silent for longest is the first.
    assert_eq!(
        vacated(&voting, &[6], true, &[(3, 2_000), (5, 2_100)]),
        Some(5)
    );
    // It would be the third voter of its region.
    assert_eq!(vacated(&voting, &[7], true, &[(3, 2_400)]), None);
    assert_eq!(vacated(&voting, &[7], true, &[(3, 2_500)]), Some(3));
    // Its region is not known yet.
    assert_eq!(vacated(&voting, &[8], false, &[(5, 2_400)]), None);
    assert_eq!(vacated(&voting, &[8], false, &[(5, 2_500)]), Some(5));
    assert_eq!(vacated(&voting, &[], true, &[(5, 60_000)]), None);
    // More voters than seats: nobody has to take the seat.
    assert_eq!(vacated(&[1, 2, 3, 4, 5, 6], &[], true, &[(5, 1_499)]), None);
    assert_eq!(
        vacated(&[1, 2, 3, 4, 5, 6], &[], true, &[(5, 1_500)]),
        Some(5)
    );
    // A seat that is vacant already is taken first.
    assert_eq!(vacated(&[1, 2, 3, 4], &[8], true, &[(4, 60_000)]), None);
}

/// Guards against the loss of control with a region that took over the seats of another one, which
/// has returned since.
#[test]
fn test_replica_plan_returns_seats_to_other_regions() {
    // Three voters are of the first region, and none is of the third one.
    let crowded = [1, 4, 7, 2, 5];
    assert_eq!(vacated(&crowded, &[3, 6], true, &[]), Some(4));
    assert_eq!(vacated(&crowded, &[10, 8], true, &[]), None);
    assert_eq!(vacated(&crowded, &[3, 6], false, &[]), None);
    assert_eq!(vacated(&crowded, &[3, 6], true, &[(2, 1_500)]), Some(2));
    assert_eq!(vacated(&[1, 4, 2, 5, 3], &[6, 7, 8], true, &[]), None);
}

/// Guards against bounds that do not follow the settings.
#[test]
fn test_replica_plan_derives_seat_timing_from_the_settings() {
    let election_max = Duration::from_millis(1_200);
    assert_eq!(
        SeatTiming::new(Duration::from_secs(4), election_max),
        TIMING
    );
    for within_s in 1..=60 {
        let within = Duration::from_secs(within_s);
        let timing = SeatTiming::new(within, election_max);
        assert!(timing.silent_after > election_max);
        assert!(timing.silent_after <= timing.any_region_after);
        // A voter that loses its seat is removed much later.
        assert!(timing.any_region_after * 3 <= timing.remove_after);
        // A change of leader, the longer silence and its own election fit in.
        if within_s >= 4 {
            assert!(timing.silent_after + election_max < within);
            assert!(timing.any_region_after + election_max < within);
        }
    }
}

/// Guards against members that are gone and never removed while leaders change, and against the
/// removal of one that has had no time to answer the new leader.
#[test]
fn test_replica_plan_silence_outlasts_a_change_of_leader() {
    let now = Instant::now() + Duration::from_mins(1);
    let ago = |ms| now.checked_sub(Duration::from_millis(ms)).unwrap();
    assert_eq!(known_since(ago(3_000), now, TIMING), ago(3_000));
    assert_eq!(known_since(ago(60_000), now, TIMING), ago(4_500));
    assert_eq!(known_since(now + Duration::from_secs(1), now, TIMING), now);
}
