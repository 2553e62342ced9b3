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

/// A loss: which control replicas, from when, and until when they count as lost.
type Loss = (Option<usize>, Duration, Duration);

/// Returns what is lost in the steps of a replacement, by the number of the replica if it is known.
fn losses(steps: &[Step]) -> Vec<Loss> {
    let counts_until = |from: usize, is_end: &dyn Fn(&Action) -> bool| {
        let mut later = steps[from..].iter();
        let (ends_at, _) = later.find(|(_, action)| is_end(action)).unwrap();
        *ends_at + CATCH_UP
    };
    let loss = |(index, (at, action)): (usize, &Step)| match action {
        Action::LoseForGood { .. } => {
            let until = counts_until(index, &|end| *end == Action::StartSuccessor);
            Some((None, *at, until))
        }
        Action::StartSuccessorOf(_) => Some((None, *at, *at + CATCH_UP)),
        Action::Isolate(control) => {
            let until = counts_until(index, &|end| *end == Action::Mend);
            Some((Some(*control), *at, until))
        }
        Action::Kill(vm @ Vm::Control(control)) => {
            let until = counts_until(index, &|end| *end == Action::Start(*vm));
            Some((Some(*control), *at, until))
        }
        Action::Freeze(vm @ Vm::Control(control)) => {
            let until = counts_until(index, &|end| *end == Action::Thaw(*vm));
            Some((Some(*control), *at, until))
        }
        _ => None,
    };
    steps.iter().enumerate().filter_map(loss).collect()
}

/// Guards against replacements, and pairs with other faults, that take more at a time than one
/// replica or a region, which a deployment needn't tolerate, so that they would show nothing.
#[test]
fn test_soak_faults_replace_within_what_is_tolerated() {
    let replacing = kinds_and_seeds().filter(|(kind, _)| kind.is_replacement());
    let replacing = replacing.filter(|(kind, _)| *kind != FaultKind::ReplacedBeside);
    for (kind, seed) in replacing {
        let mut planner = planner(seed);
        let steps = planner.draw(kind);
        let region = |control: Option<usize>| control.map(|number| &planner.controls[number].0);
        let losses = losses(&steps);
        assert!(!losses.is_empty(), "{kind:?}, seed {seed}");
        for (number, (one, from, until)) in losses.iter().enumerate() {
            for (other, begins, ends) in &losses[number + 1..] {
                let at_once = begins == from && ends == until;
                let of_one_region = one.is_some() && region(*one) == region(*other);
                let apart = begins >= until || from >= ends;
                assert!(apart || at_once && of_one_region, "{kind:?}, seed {seed}");
            }
        }
        let end = steps.last().unwrap().0;
        let ended = losses.iter().all(|(_, _, until)| *until <= end);
        assert!(ended, "{kind:?}, seed {seed}");
    }
}

/// Guards against a replacement beside other faults that begins before those are over, which would
/// take a second disk.
#[test]
fn test_soak_faults_replace_one_disk_at_a_time_beside_others() {
    for seed in 0..SEEDS {
        let losses = losses(&draw(FaultKind::ReplacedBeside, seed));
        for (_, replaced_at, _) in losses.iter().filter(|(one, ..)| one.is_none()) {
            let mut before = losses.iter().filter(|(_, from, _)| from < replaced_at);
            let over = before.all(|(_, _, until)| until <= replaced_at);
            assert!(over, "seed {seed}, at {replaced_at:?}");
        }
    }
}
