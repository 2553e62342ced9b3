//! How long an entry VM may be without what is confirmed while control replicas are lost.

mod follow_model;

use std::time::Duration;

use heatherring_lib::follow_lag::MAX_IN_FORCE_DELAY;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::follow_model::Loss;
use crate::follow_model::Model;
use crate::follow_model::Trouble;
use crate::follow_model::World;

/// Time between two changes at most.
const CHANGES_APART_MS: u64 = 400;

/// Time until the first loss: by then the nearest replica is followed.
const CALM: Duration = Duration::from_secs(3);

/// Time until the last change.
const CHANGES_END: Duration = Duration::from_secs(20);

/// Says how replicas are lost.
#[derive(Clone, Copy, Debug)]
enum Way {
    Only(Trouble),
    /// Cut off from the others, then dark.
    CutOffThenDark,
    /// Frozen again and again.
    Stutter,
}

/// Says which replicas are lost together.
#[derive(Clone, Copy, Debug)]
enum Together {
    Region,
    Place,
    Two,
}

/// Eleven replicas in the six places of three regions.
fn eleven() -> Vec<usize> {
    vec![0, 2, 4, 1, 3, 5, 0, 2, 4, 1, 3]
}

fn world(rng: &mut ChaCha8Rng, places: Vec<usize>, between_ms: u64) -> World {
    let mut changes = Vec::new();
    let mut at = Duration::ZERO;
    while at < CHANGES_END {
        at += Duration::from_millis(rng.random_range(1..=CHANGES_APART_MS));
        changes.push(at);
    }
    World {
        places,
        between_regions: Duration::from_millis(between_ms),
        losses: Vec::new(),
        changes,
        ends: at + Duration::from_secs(6),
    }
}

fn draw_together(rng: &mut ChaCha8Rng, world: &World, together: Together) -> Vec<usize> {
    let all = world.replicas(|_, _| true);
    let place = world.places[*all.choose(rng).unwrap()];
    match together {
        Together::Region => world.replicas(|_, region| region == place / 2),
        Together::Place => world.replicas(|of, _| of == place),
        Together::Two => all.choose_multiple(rng, 2).copied().collect(),
    }
}

/// Loses replicas together, twice, the first ones being back for a while before the second.
fn lose(rng: &mut ChaCha8Rng, world: &mut World, together: Together, way: Way) {
    let mut from = CALM;
    for _ in 0..2 {
        let lost = draw_together(rng, world, together);
        from += Duration::from_millis(rng.random_range(0..1_000));
        let until = from + Duration::from_millis(rng.random_range(300..6_000));
        let pause = Duration::from_millis(rng.random_range(0..1_500));
        let mut add = |trouble, from, until| {
            let losses = lost.iter().map(|replica| Loss {
                replica: *replica,
                trouble,
                from,
                until,
            });
            world.losses.extend(losses);
        };
        match way {
            Way::Only(trouble) => add(trouble, from, until),
            Way::CutOffThenDark => {
                add(Trouble::CutOff, from, until);
                add(Trouble::Dark, (from + pause).min(until), until);
            }
            Way::Stutter => {
                let mut at = from;
                while at < until {
                    let thaw = at + Duration::from_millis(rng.random_range(50..1_200));
                    add(Trouble::Frozen, at, thaw);
                    at = thaw + Duration::from_millis(rng.random_range(20..400));
                }
            }
        }
        from = until + Duration::from_secs(4);
    }
}

/// Guards against an old manifest in force for too long while replicas are lost together.
#[rstest]
#[case::dark(Way::Only(Trouble::Dark))]
#[case::frozen(Way::Only(Trouble::Frozen))]
#[case::killed(Way::Only(Trouble::Killed))]
#[case::cut_off(Way::Only(Trouble::CutOff))]
#[case::cut_off_then_dark(Way::CutOffThenDark)]
#[case::stutter(Way::Stutter)]
fn test_a_change_is_in_force_in_time_whichever_replicas_are_lost(
    #[case] way: Way,
    #[values(Together::Region, Together::Place, Together::Two)] together: Together,
    #[values(12, 55)] between_ms: u64,
) {
    let mut worst = (Duration::ZERO, 0);
    for seed in 0..150 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = world(&mut rng, eleven(), between_ms);
        lose(&mut rng, &mut world, together, way);
        let place = rng.random_range(0..6);
        let lags = Model::new(&world, place, seed).run();
        let longest = lags.into_iter().max().unwrap();
        worst = worst.max((longest, seed));
    }
    println!("{way:?} {together:?} {between_ms} ms: worst {worst:?}");
    let (longest, seed) = worst;
    assert!(longest < MAX_IN_FORCE_DELAY, "{longest:?} with seed {seed}");
}
