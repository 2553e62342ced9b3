//! Model of how the set of control replicas is repaired, with the timing of production.
//!
//! The seeds are fixed, so that every run gives the same result. `HEATHERRING_SEED` sets the first
//! seed, `HEATHERRING_CASES` the number of cases.

mod raft_network;
mod replacement_model;

use std::collections::BTreeSet;
use std::env;
use std::time::Duration;

use heatherring_lib::id::ReplicaId;
use rand::Rng;

use self::raft_network::NetworkConditions;
use self::replacement_model::Action;
use self::replacement_model::Away;
use self::replacement_model::Cluster;
use self::replacement_model::REPLACEMENT;
use self::replacement_model::Replacement;
use self::replacement_model::TARGET;

const DEFAULT_SEED: u64 = 20_260;
const DEFAULT_CASES: u64 = 8;

/// Time for which a region is away.
const REGION_AWAY: Duration = Duration::from_secs(6);

/// Longest time without confirmations after the loss of a leader, and while a leader stays.
const ELECTION_GAP: Duration = Duration::from_millis(2_500);
const STEADY_GAP: Duration = Duration::from_millis(500);

/// Number of replicas of a cluster without learners, and with learners that stand by.
const NO_LEARNERS: u64 = 5;
const LEARNERS: u64 = 11;

fn from_env(name: &str, default: u64) -> u64 {
    let value = env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// What was wrong in a case.
type Problems = Vec<String>;

/// Runs a scenario with one seed after another, and fails if anything was wrong in any.
fn check(scenario: impl Fn(u64) -> Problems) {
    let first = from_env("HEATHERRING_SEED", DEFAULT_SEED);
    let cases = from_env("HEATHERRING_CASES", DEFAULT_CASES);
    let mut failed = Vec::new();
    for seed in first..first + cases {
        println!("HEATHERRING_SEED={seed}");
        let problems = scenario(seed);
        if let Some(problem) = problems.first() {
            println!("{problem}");
            failed.push(seed);
        }
    }
    assert!(
        failed.is_empty(),
        "{} of {cases} cases failed, by seed: {failed:?}",
        failed.len()
    );
}

/// What happens between a loss and the time at which the voters are to be complete.
#[derive(Clone, Copy, Debug)]
enum Meanwhile {
    Nothing,
    HandOver,
    HandOverTwice,
    LeaderCutOff,
    Pause,
}

impl Meanwhile {
    fn plan(self, cluster: &mut Cluster, replacement: &Replacement) {
        let within = replacement
            .due_at()
            .saturating_sub(cluster.network.elapsed());
        let within = u64::try_from(within.as_millis()).unwrap();
        let after = cluster.draw_ms(0, within);
        match self {
            Self::Nothing => {}
            Self::HandOver => cluster.plan(after, Action::HandOver),
            Self::HandOverTwice => {
                cluster.plan(after, Action::HandOver);
                let again = cluster.draw_ms(0, within);
                cluster.plan(again, Action::HandOver);
            }
            Self::Pause => Self::plan_pause(cluster, replacement.lost, within),
            Self::LeaderCutOff => {
                let span = cluster.draw_ms(1_000, 2_000);
                cluster.plan(after, Action::CutLeader(span));
            }
        }
    }

    /// Plans that another replica is away for a while, and has returned when the voters are due.
    fn plan_pause(cluster: &mut Cluster, lost: ReplicaId, within: u64) {
        let Some(paused) = cluster.any_victim().filter(|id| *id != lost) else {
            return;
        };
        let span = cluster.draw_ms(500, 3_000);
        let after = cluster.draw_ms(0, within - 3_500);
        let away = cluster.any_away(span);
        cluster.plan(after, Action::Leave(BTreeSet::from([paused]), away));
    }
}

/// Replaces replicas one after another, and returns what was wrong.
fn replace(cluster: &mut Cluster, rounds: u32, meanwhile: Meanwhile) -> Problems {
    let mut problems = Vec::new();
    for _ in 0..rounds {
        let lost = cluster.any_victim().expect("a member is active");
        let replacement = cluster.plan_replacement(lost);
        meanwhile.plan(cluster, &replacement);
        cluster.run_until_due(&replacement);
        problems.extend(incomplete(cluster, &replacement));
        if !problems.is_empty() {
            break;
        }
        let gap = cluster.draw_ms(0, 2_000);
        cluster.run(gap);
    }
    problems
}

fn incomplete(cluster: &Cluster, replacement: &Replacement) -> Option<String> {
    let live = cluster.live_voters().len();
    let stays = cluster.membership().voters.contains_key(&replacement.lost);
    let crowded = cluster.crowded_regions();
    let complete = live == TARGET && !stays && crowded.is_empty();
    (!complete).then(|| {
        format!(
            "{live} live voters; {} lost, still a voter: {stays}; crowded: {crowded:?}; {}",
            replacement.lost,
            cluster.summary()
        )
    })
}

macro_rules! test_replacement {
    ($($name:ident: $replicas:expr, $meanwhile:expr;)*) => {$(
        #[test]
        fn $name() {
            check(|seed| replace(&mut Cluster::new(seed, $replicas), 6, $meanwhile));
        }
    )*};
}

// Guards against seats that stay dead for longer than the next loss is away.
test_replacement! {
    test_replacement_model_seats_are_taken_in_time: NO_LEARNERS, Meanwhile::Nothing;
    test_replacement_model_seats_are_taken_in_time_by_learners: LEARNERS, Meanwhile::Nothing;
    test_replacement_model_seats_are_taken_in_time_despite_handover: NO_LEARNERS, Meanwhile::HandOver;
    test_replacement_model_seats_are_taken_in_time_despite_handover_by_learners: LEARNERS, Meanwhile::HandOver;
    test_replacement_model_seats_are_taken_in_time_despite_two_handovers: NO_LEARNERS, Meanwhile::HandOverTwice;
    test_replacement_model_seats_are_taken_in_time_despite_two_handovers_by_learners: LEARNERS, Meanwhile::HandOverTwice;
    test_replacement_model_seats_are_taken_in_time_despite_pause: NO_LEARNERS, Meanwhile::Pause;
    test_replacement_model_seats_are_taken_in_time_despite_pause_by_learners: LEARNERS, Meanwhile::Pause;
    test_replacement_model_seats_are_taken_in_time_despite_cut_leader: NO_LEARNERS, Meanwhile::LeaderCutOff;
    test_replacement_model_seats_are_taken_in_time_despite_cut_leader_by_learners: LEARNERS, Meanwhile::LeaderCutOff;
}

/// Replaces each voter in turn, and each of their successors, and returns what was wrong.
fn replace_in_turn(seed: u64) -> Problems {
    let mut cluster = Cluster::new(seed, NO_LEARNERS);
    let mut problems = Vec::new();
    for _ in 0..2 {
        for lost in cluster.membership().voters.into_keys() {
            let replacement = cluster.plan_replacement(lost);
            cluster.run_until_due(&replacement);
            problems.extend(incomplete(&cluster, &replacement));
        }
    }
    problems
}

/// Guards against seats that are dead one after another until too few voters are left.
#[test]
fn test_replacement_model_voters_are_replaced_in_turn_and_again() {
    check(replace_in_turn);
}

/// Loses the region with most voters right after a replacement, and returns what was wrong.
fn lose_region_after_replacement(seed: u64, replicas: u64) -> Problems {
    let mut cluster = Cluster::new(seed, replicas);
    let mut problems = Vec::new();
    for _ in 0..3 {
        let lost = cluster.any_victim().expect("a member is active");
        let replacement = cluster.plan_replacement(lost);
        cluster.run_until_due(&replacement);
        problems.extend(undecided_without_region(&mut cluster));
        cluster.run(REPLACEMENT);
    }
    problems
}

fn undecided_without_region(cluster: &mut Cluster) -> Option<String> {
    let region = (0..3).max_by_key(|region| cluster.voters_in(*region).len())?;
    let replicas = cluster.replicas_in(region);
    let away = cluster.any_away(REGION_AWAY);
    let led = cluster
        .network
        .leader()
        .is_none_or(|id| replicas.contains(&id));
    let allowed = if led { ELECTION_GAP } else { STEADY_GAP };
    let from = cluster.network.elapsed();
    let before = cluster.summary();
    cluster.plan(Duration::ZERO, Action::Leave(replicas, away));
    cluster.run(REGION_AWAY);
    let to = cluster.network.elapsed();
    let gaps = cluster.client.longest_gaps(from, to);
    let longest = gaps.into_iter().max()?;
    (longest > allowed).then(|| {
        format!("region {region} lost ({away:?}): no commit, no read for {gaps:?}, allowed {allowed:?}; before: {before}")
    })
}

/// Guards against a replaced cluster that the loss of a region stops.
#[test]
fn test_replacement_model_decides_without_a_region() {
    check(|seed| lose_region_after_replacement(seed, NO_LEARNERS));
}

/// Guards against a replaced cluster that the loss of a region stops, although learners stand by.
#[test]
fn test_replacement_model_decides_without_a_region_with_learners() {
    check(|seed| lose_region_after_replacement(seed, LEARNERS));
}

/// Lets a replica or a region be away for a short while, again and again, and returns what it lost.
fn pause(seed: u64, replicas: u64, by_region: bool) -> Problems {
    let mut cluster = Cluster::new(seed, replicas);
    let mut problems = Vec::new();
    for _ in 0..4 {
        let away = match cluster.rng.random_range(0..3) {
            0 => Away::Frozen(Duration::from_secs(3)),
            1 => Away::Cut(Duration::from_secs(5)),
            _ => Away::Stopped(cluster.draw_ms(200, 2_000)),
        };
        let paused = if by_region {
            let region = cluster.any_region();
            cluster.replicas_in(region)
        } else {
            cluster.any_victim().into_iter().collect()
        };
        problems.extend(lost_by_pause(&mut cluster, &paused, away));
    }
    problems
}

fn lost_by_pause(
    cluster: &mut Cluster,
    paused: &BTreeSet<ReplicaId>,
    away: Away,
) -> Option<String> {
    let voters = cluster.membership().voters;
    let has_learners = !cluster.membership().learners.is_empty();
    let keeps = |cluster: &Cluster, id: &ReplicaId| {
        let membership = cluster.membership();
        let seated = has_learners || !voters.contains_key(id);
        membership.voters.contains_key(id) || seated && membership.learners.contains_key(id)
    };
    let before = cluster.network.checker.last_committed();
    cluster.plan(Duration::ZERO, Action::Leave(paused.clone(), away));
    let mut left = away.span() + REPLACEMENT;
    while !left.is_zero() {
        let step = left.min(Duration::from_millis(100));
        cluster.run(step);
        left -= step;
        if let Some(lost) = paused.iter().find(|id| !keeps(cluster, id)) {
            return Some(format!(
                "{lost} lost its seat or its membership ({away:?}); {}",
                cluster.summary()
            ));
        }
    }
    let behind = paused
        .iter()
        .find(|id| cluster.network.raft(**id).commit() < before);
    behind.map(|id| format!("{id} is behind ({away:?}); {}", cluster.summary()))
}

/// Guards against a voter that loses its seat by a short pause, although nobody can take it.
#[test]
fn test_replacement_model_paused_voter_keeps_its_seat_without_learners() {
    check(|seed| pause(seed, NO_LEARNERS, false));
}

/// Guards against a replica that loses its identity by a short pause since learners stand by.
#[test]
fn test_replacement_model_paused_replica_stays_a_member() {
    check(|seed| pause(seed, LEARNERS, false));
}

/// Guards against voters that lose their seats by a short pause of their region.
#[test]
fn test_replacement_model_paused_region_keeps_its_seats_without_learners() {
    check(|seed| pause(seed, NO_LEARNERS, true));
}

/// Guards against replicas that lose their identities by a short pause of their region.
#[test]
fn test_replacement_model_paused_region_stays_members() {
    check(|seed| pause(seed, LEARNERS, true));
}

/// Lets a region be away for a while, and returns whether another one keeps its seats.
fn return_of_region(seed: u64) -> Problems {
    let mut cluster = Cluster::new(seed, LEARNERS);
    let mut problems = Vec::new();
    for _ in 0..3 {
        let region = cluster.any_region();
        let replicas = cluster.replicas_in(region);
        let away = cluster.any_away(REGION_AWAY);
        cluster.plan(Duration::ZERO, Action::Leave(replicas, away));
        cluster.run(REGION_AWAY + REPLACEMENT);
        let crowded = cluster.crowded_regions();
        let live = cluster.live_voters().len();
        if !crowded.is_empty() || live != TARGET {
            problems.push(format!(
                "{region} returned ({away:?}), crowded: {crowded:?}, {live} live voters; {}",
                cluster.summary()
            ));
        }
    }
    problems
}

/// Guards against a region that keeps the seats of another one after that has returned.
#[test]
fn test_replacement_model_returned_region_has_seats_again() {
    check(return_of_region);
}

/// Draws losses, replacements, pauses and changes of leader beside each other, and returns whether
/// the voters are complete some time after the last one. The checker of the network fails if
/// anything that was confirmed is lost.
fn faults_beside_each_other(seed: u64) -> Problems {
    let mut cluster = Cluster::new(seed, if seed.is_multiple_of(2) { 5 } else { 8 });
    for _ in 0..25 {
        draw_fault(&mut cluster);
        let gap = cluster.draw_ms(0, 3_000);
        cluster.run(gap);
    }
    cluster.network.conditions = NetworkConditions::GOOD;
    cluster.run(Duration::from_secs(30));
    cluster.network.commit_one();
    let live = cluster.live_voters().len();
    let crowded = cluster.crowded_regions();
    let complete = live == TARGET && crowded.is_empty();
    let problem = (!complete).then(|| format!("{live} live voters; {}", cluster.summary()));
    problem.into_iter().collect()
}

fn draw_fault(cluster: &mut Cluster) {
    let span = cluster.draw_ms(500, 12_000);
    match cluster.rng.random_range(0..9) {
        0..3 if cluster.bears_a_loss() => {
            let Some(lost) = cluster.any_victim() else {
                return;
            };
            let region = cluster.region_of(lost);
            cluster.plan(Duration::ZERO, Action::Lose(lost));
            cluster.plan(span / 6, Action::StartEmpty(region));
        }
        0..4 => cluster.plan(Duration::ZERO, Action::HandOver),
        4 => cluster.plan(Duration::ZERO, Action::CutLeader(span)),
        5 => {
            let replicas = cluster.any_victim().into_iter().collect();
            let away = cluster.any_away(span);
            cluster.plan(Duration::ZERO, Action::Leave(replicas, away));
        }
        6 => {
            let region = cluster.any_region();
            let replicas = cluster.replicas_in(region);
            let away = cluster.any_away(span);
            cluster.plan(Duration::ZERO, Action::Leave(replicas, away));
        }
        7 => cluster.network.conditions = NetworkConditions::GOOD,
        _ => {
            cluster.network.conditions = NetworkConditions {
                loss: cluster.rng.random_range(0..25),
                duplicated: cluster.rng.random_range(0..20),
                max_delay_ms: cluster.rng.random_range(5..100),
                max_sync_ms: cluster.rng.random_range(1..50),
            }
        }
    }
}

/// Guards against confirmed entries that are lost by a change of the voters, and against voters
/// that stay incomplete for good.
#[test]
fn test_replacement_model_keeps_what_was_confirmed() {
    check(faults_beside_each_other);
}
