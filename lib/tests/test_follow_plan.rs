//! Tests of how long an entry VM may lack confirmed changes while control replicas fail.

mod follow_model;

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::follow_model::FaultKind;
use crate::follow_model::Model;
use crate::follow_model::Outage;
use crate::follow_model::Scenario;

/// Highest interval between two changes, in milliseconds.
const MAX_CHANGE_INTERVAL_MS: u64 = 400;

/// Time until the first failure, by which the nearest replica is followed.
const WARM_UP: Duration = Duration::from_secs(3);

/// Time until the last change.
const CHANGES_END: Duration = Duration::from_secs(20);

/// How replicas fail.
#[derive(Clone, Copy, Debug)]
enum FailureMode {
    Only(FaultKind),
    /// Partitioned from the other replicas, then unreachable.
    PartitionedThenUnreachable,
    /// Frozen repeatedly.
    RepeatedFreeze,
}

/// Which replicas fail together.
#[derive(Clone, Copy, Debug)]
enum FailureScope {
    Region,
    Place,
    TwoReplicas,
}

/// Deployment of a model run: its replicas, the delay between its regions, and the time within which
/// changes are to be in force.
#[derive(Clone, Debug)]
struct Deployment {
    places: Vec<usize>,
    between_ms: u64,
    in_force_within: Duration,
}

/// Regions that are near each other, with the shorter time in which operators want changes in force.
fn near(places: Vec<usize>) -> Deployment {
    Deployment {
        places,
        between_ms: 12,
        in_force_within: Duration::from_secs(2),
    }
}

/// Regions that are far from each other.
fn far(places: Vec<usize>) -> Deployment {
    Deployment {
        places,
        between_ms: 55,
        in_force_within: Duration::from_millis(2_500),
    }
}

/// Five replicas in five places of three regions.
fn five_replicas() -> Vec<usize> {
    vec![0, 2, 4, 1, 3]
}

/// Eleven replicas in the six places of three regions.
fn eleven_replicas() -> Vec<usize> {
    vec![0, 2, 4, 1, 3, 5, 0, 2, 4, 1, 3]
}

fn scenario(rng: &mut ChaCha8Rng, places: Vec<usize>, between_ms: u64) -> Scenario {
    let mut changes = Vec::new();
    let mut at = Duration::ZERO;
    while at < CHANGES_END {
        at += Duration::from_millis(rng.random_range(1..=MAX_CHANGE_INTERVAL_MS));
        changes.push(at);
    }
    Scenario {
        places,
        between_regions: Duration::from_millis(between_ms),
        outages: Vec::new(),
        changes,
        ends: at + Duration::from_secs(6),
    }
}

fn draw_replicas(rng: &mut ChaCha8Rng, scenario: &Scenario, scope: FailureScope) -> Vec<usize> {
    let all = scenario.replicas(|_, _| true);
    let place = scenario.places[*all.choose(rng).unwrap()];
    match scope {
        FailureScope::Region => scenario.replicas(|_, region| region == place / 2),
        FailureScope::Place => scenario.replicas(|of, _| of == place),
        FailureScope::TwoReplicas => all.choose_multiple(rng, 2).copied().collect(),
    }
}

/// Lets a group of replicas fail, twice; the first group is back for a while before the second
/// failure.
fn inject_failures(
    rng: &mut ChaCha8Rng,
    scenario: &mut Scenario,
    scope: FailureScope,
    mode: FailureMode,
) {
    let mut from = WARM_UP;
    for _ in 0..2 {
        let lost = draw_replicas(rng, scenario, scope);
        from += Duration::from_millis(rng.random_range(0..1_000));
        let until = from + Duration::from_millis(rng.random_range(300..6_000));
        let pause = Duration::from_millis(rng.random_range(0..1_500));
        let mut add = |fault, from, until| {
            let outages = lost.iter().map(|replica| Outage {
                replica: *replica,
                fault,
                from,
                until,
            });
            scenario.outages.extend(outages);
        };
        match mode {
            FailureMode::Only(fault) => add(fault, from, until),
            FailureMode::PartitionedThenUnreachable => {
                add(FaultKind::Partitioned, from, until);
                add(FaultKind::Unreachable, (from + pause).min(until), until);
            }
            FailureMode::RepeatedFreeze => {
                let mut at = from;
                while at < until {
                    let thaw = at + Duration::from_millis(rng.random_range(50..1_200));
                    add(FaultKind::Frozen, at, thaw);
                    at = thaw + Duration::from_millis(rng.random_range(20..400));
                }
            }
        }
        from = until + Duration::from_secs(4);
    }
}

/// Guards against an outdated manifest in force for too long while several replicas fail together.
#[rstest]
#[case::unreachable(FailureMode::Only(FaultKind::Unreachable))]
#[case::frozen(FailureMode::Only(FaultKind::Frozen))]
#[case::killed(FailureMode::Only(FaultKind::Killed))]
#[case::partitioned(FailureMode::Only(FaultKind::Partitioned))]
#[case::partitioned_then_unreachable(FailureMode::PartitionedThenUnreachable)]
#[case::repeated_freeze(FailureMode::RepeatedFreeze)]
fn test_a_change_is_in_force_in_time_whichever_replicas_are_lost(
    #[case] mode: FailureMode,
    #[values(FailureScope::Region, FailureScope::Place, FailureScope::TwoReplicas)]
    scope: FailureScope,
    #[values(
        near(five_replicas()),
        far(five_replicas()),
        near(eleven_replicas()),
        far(eleven_replicas())
    )]
    deployment: Deployment,
) {
    let mut worst = (Duration::ZERO, 0);
    for seed in 0..150 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut scenario = scenario(&mut rng, deployment.places.clone(), deployment.between_ms);
        inject_failures(&mut rng, &mut scenario, scope, mode);
        let place = rng.random_range(0..6);
        let lags = Model::new(&scenario, place, seed).run();
        let longest = lags.into_iter().max().unwrap();
        worst = worst.max((longest, seed));
    }
    println!("{mode:?} {scope:?} {deployment:?}: worst {worst:?}");
    let (longest, seed) = worst;
    assert!(
        longest < deployment.in_force_within,
        "{longest:?} with seed {seed}"
    );
}
