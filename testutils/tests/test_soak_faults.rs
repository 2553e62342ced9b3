//! Tests of the faults that a soak draws.

use std::time::Duration;

use heatherring_testutils::config_record::Vm;
use heatherring_testutils::soak_faults::Action;
use heatherring_testutils::soak_faults::FaultKind;
use heatherring_testutils::soak_faults::FaultPlanner;
use heatherring_testutils::soak_faults::Replacements;
use heatherring_testutils::soak_faults::Step;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 50;
const CATCH_UP: Duration = Duration::from_secs(4);

fn planner(seed: u64) -> FaultPlanner {
    let control = |region: &str, place: &str| (region.to_owned(), place.to_owned());
    FaultPlanner {
        controls: vec![
            control("east", "east-a"),
            control("west", "west-a"),
            control("east", "east-b"),
        ],
        entries: 4,
        longest: Duration::from_secs(5),
        replacements: Replacements {
            catch_up: CATCH_UP,
            gap: None,
            in_a_row: None,
        },
        rng: ChaCha8Rng::seed_from_u64(seed),
    }
}

fn kinds_and_seeds() -> impl Iterator<Item = (FaultKind, u64)> {
    let kinds = FaultKind::ALL.into_iter();
    kinds.flat_map(|kind| (0..SEEDS).map(move |seed| (kind, seed)))
}

fn draw(kind: FaultKind, seed: u64) -> Vec<Step> {
    planner(seed).draw(kind)
}

#[test]
fn test_soak_faults_follow_from_the_seed() {
    for kind in FaultKind::ALL {
        assert_eq!(draw(kind, 7), draw(kind, 7), "{kind:?}");
    }
}

/// Returns the action that ends another one; `None` for those that end nothing or themselves.
fn end_of(action: &Action) -> Option<Action> {
    match action {
        Action::Kill(vm) | Action::Stop(vm) => Some(Action::Start(*vm)),
        Action::Freeze(vm) => Some(Action::Thaw(*vm)),
        Action::Isolate(_) | Action::CutOneWay { .. } => Some(Action::Mend),
        _ => None,
    }
}

#[test]
fn test_soak_faults_end_what_they_begin() {
    for (kind, seed) in kinds_and_seeds() {
        let steps = draw(kind, seed);
        for (number, (at, action)) in steps.iter().enumerate() {
            let Some(end) = end_of(action) else { continue };
            let mut later = steps[number..].iter();
            let ended = later.any(|(ends_at, other)| *other == end && ends_at >= at);
            assert!(ended, "{kind:?}, seed {seed}: {action:?}");
        }
    }
}

/// Guards against a folder that is deleted beside a running process, or two at a time.
#[test]
fn test_soak_faults_lose_one_folder_of_a_killed_replica() {
    for (kind, seed) in kinds_and_seeds() {
        let steps = draw(kind, seed);
        let lost = steps.iter().filter_map(|(_, action)| match action {
            Action::LoseFolder(control) => Some(*control),
            _ => None,
        });
        let lost: Vec<usize> = lost.collect();
        assert!(lost.len() <= 1, "{kind:?}, seed {seed}");
        for control in lost {
            let killed = Action::Kill(Vm::Control(control));
            let lost = Action::LoseFolder(control);
            let mut before = steps.iter().take_while(|(_, action)| *action != lost);
            let is_killed = before.any(|(_, action)| *action == killed);
            assert!(is_killed, "{kind:?}, seed {seed}");
        }
    }
}

/// Guards against a series of replacements that takes more than a deployment tolerates, which would
/// show nothing.
#[test]
fn test_soak_faults_replace_one_replica_at_a_time() {
    for seed in 0..SEEDS {
        for kind in [FaultKind::LeaderReplaced, FaultKind::ReplicasReplaced] {
            let steps = draw(kind, seed);
            let mut successor_at = None;
            for (at, action) in steps {
                match action {
                    Action::LoseForGood(_) => {
                        let tolerated = successor_at.is_none_or(|began| at >= began + CATCH_UP);
                        assert!(tolerated, "{kind:?}, seed {seed}, at {at:?}");
                    }
                    Action::StartSuccessor => successor_at = Some(at),
                    _ => {}
                }
            }
        }
    }
}
