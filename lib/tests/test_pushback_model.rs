//! Backend servers that ask for times without requests, under load.

mod dispatch_model;

use std::time::Duration;

use dispatch_model::Model;
use dispatch_model::Refusal;
use dispatch_model::Result;
use dispatch_model::Scenario;

/// Three in ten backend servers refuse everything for 9 s.
fn refusal() -> Scenario {
    Scenario {
        refusal: Some(Refusal {
            every: 3,
            from: Duration::from_secs(12),
            until: Duration::from_secs(21),
            asks: Duration::from_secs(3),
        }),
        attempts: 2,
        ..Scenario::look_up()
    }
}

/// A crowd fills backend servers, and those that are full ask for a pause.
fn crowd() -> Scenario {
    Scenario {
        rate: 190.0,
        burst: 2.0,
        counted: (2, 8),
        asks_when_full: Some(Duration::from_secs(3)),
        attempts: 2,
        ..Scenario::look_up()
    }
}

/// Backend servers refuse while the others have little room.
fn refusal_at_the_peak() -> Scenario {
    Scenario {
        rate: 190.0,
        asks_when_full: Some(Duration::from_secs(3)),
        ..refusal()
    }
}

fn run(scenario: &Scenario, observes: bool, seed: u64) -> Result {
    Model::new(Scenario {
        observes,
        seed,
        ..scenario.clone()
    })
    .run()
}

/// Guards against pauses whose objects overload the backend servers that are left, and against
/// requests that are sent in them.
#[test]
fn test_pushback_moves_objects_to_the_others() {
    let before = run(&refusal(), false, 1);
    let observed = run(&refusal(), true, 1);
    assert_eq!(observed.unwanted, 0);
    assert!(observed.refused < before.refused, "{before:?} {observed:?}");
    assert!(observed.share() > before.share(), "{before:?} {observed:?}");
}

/// Prints what callers get with and without observing the pauses.
#[test]
#[ignore = "prints figures"]
fn pushback_figures() {
    for (name, scenario) in [
        ("refusal", refusal()),
        ("crowd", crowd()),
        ("peak", refusal_at_the_peak()),
        (
            "many senders",
            Scenario {
                entries: 20,
                ..refusal()
            },
        ),
    ] {
        for observes in [false, true] {
            let (mut share, mut refused, mut late, mut unwanted, mut worst, mut cold) =
                (0.0, 0, 0, 0, 0, 0);
            for seed in 1..=8 {
                let result = run(&scenario, observes, seed);
                share += result.share() / 8.0;
                refused += result.refused;
                late += result.late;
                unwanted += result.unwanted;
                cold += result.cold_runs;
                worst = worst.max(result.worst_second);
            }
            println!(
                "{name}, observed {observes}: in time {share:.3}, late {late}, refused {refused}, unwanted {unwanted}, cold runs {cold}, worst second {worst}"
            );
        }
    }
}
