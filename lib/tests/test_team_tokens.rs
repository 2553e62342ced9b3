//! Limits of teams over all entry VMs: never exceeded, and seldom refused below.

mod token_model;

use std::time::Duration;

use heatherring_lib::team::TeamLimit;
use heatherring_lib::team_share;
use heatherring_lib::team_share::LimitShare;
use heatherring_lib::team_share::LimitTolerance;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use token_model::Model;
use token_model::Way;
use token_model::team;

const SEED: u64 = 20_261_203;

fn limit(rate: f64, burst: f64) -> TeamLimit {
    TeamLimit { rate, burst }
}

/// What happens to the processes.
#[derive(Clone, Debug)]
enum Trouble {
    CutVm {
        vm: usize,
        time: Duration,
    },
    CutReplica {
        replica: usize,
        time: Duration,
    },
    FreezeVm {
        vm: usize,
        time: Duration,
    },
    FreezeReplica {
        replica: usize,
        time: Duration,
    },
    RestartVm {
        vm: usize,
    },
    RestartReplica {
        replica: usize,
    },
    RestartAll,
    /// All of team 0's callers go to one entry VM.
    Gather {
        vm: usize,
    },
    Spread,
}

fn any_trouble() -> impl Strategy<Value = (u64, Trouble)> {
    let time = (100_u64..6_000).prop_map(Duration::from_millis);
    let kind = prop_oneof![
        (0_usize..64, time.clone()).prop_map(|(vm, time)| Trouble::CutVm { vm, time }),
        (0_usize..64, time.clone())
            .prop_map(|(replica, time)| Trouble::CutReplica { replica, time }),
        (0_usize..64, time.clone()).prop_map(|(vm, time)| Trouble::FreezeVm { vm, time }),
        (0_usize..64, time).prop_map(|(replica, time)| Trouble::FreezeReplica { replica, time }),
        (0_usize..64).prop_map(|vm| Trouble::RestartVm { vm }),
        (0_usize..64).prop_map(|replica| Trouble::RestartReplica { replica }),
        Just(Trouble::RestartAll),
        (0_usize..64).prop_map(|vm| Trouble::Gather { vm }),
        Just(Trouble::Spread),
    ];
    (0_u64..20_000, kind)
}

fn apply(model: &mut Model, vms: usize, replicas: usize, trouble: &Trouble) -> Option<usize> {
    match trouble {
        Trouble::CutVm { vm, time } => model.cut_vm(vm % vms, *time),
        Trouble::CutReplica { replica, time } => model.cut_replica(replica % replicas, *time),
        Trouble::FreezeVm { vm, time } => model.freeze_vm(vm % vms, *time),
        Trouble::FreezeReplica { replica, time } => {
            model.freeze_replica(replica % replicas, *time);
        }
        Trouble::RestartVm { vm } => model.restart_vm(vm % vms),
        Trouble::RestartReplica { replica } => model.restart_replica(replica % replicas),
        Trouble::RestartAll => {
            (0..vms).for_each(|vm| model.restart_vm(vm));
            (0..replicas).for_each(|replica| model.restart_replica(replica));
        }
        Trouble::Gather { vm } => return Some(vm % vms),
        Trouble::Spread => return None,
    }
    None
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    // Symptom: more requests of a team run than its limit allows.
    // Sequence: its callers ask for several times the limit, at all entry VMs or at one, while
    // entry VMs and replicas are cut off, frozen and restarted.
    // Cause: what a dead or frozen process has handed out or holds is handed out once more.
    #[test]
    fn test_team_limits_hold_in_any_trouble(
        vms in 1_usize..24,
        replicas in 1_usize..13,
        rate in 0.2_f64..60.0,
        burst in 0.0_f64..60.0,
        times in 0.5_f64..10.0,
        mut troubles in prop::collection::vec(any_trouble(), 0..10),
    ) {
        const LENGTH: Duration = Duration::from_secs(20);
        let mut model = Model::new(Way::Shares, vms, replicas, vec![limit(rate, burst)]);
        let mut rng = ChaCha8Rng::seed_from_u64(SEED);
        troubles.sort_by_key(|(at, _)| *at);
        let mut troubles = troubles.iter().peekable();
        let mut gathered = None;
        let mut at = Duration::ZERO;
        while at < LENGTH {
            at += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / (rate * times));
            while let Some((when, trouble)) = troubles.peek()
                && Duration::from_millis(*when) <= at
            {
                model.run_until(Duration::from_millis(*when));
                let moved = apply(&mut model, vms, replicas, trouble);
                if matches!(trouble, Trouble::Gather { .. } | Trouble::Spread) {
                    gathered = moved;
                }
                troubles.next();
            }
            let vm = gathered.unwrap_or_else(|| rng.random_range(0..vms));
            model.request(at, vm, 0);
            model.run_until(at);
        }
        model.run_until(LENGTH + Duration::from_secs(10));
        let excess = model.excess(0);
        prop_assert!(excess <= 0.0, "{excess} above what is allowed");
    }

    // Symptom: replicas hand out more than the limit in sum. Cause: shares are rounded up.
    #[test]
    fn test_team_shares_add_up(
        rate in 0.0_f64..5_000.0,
        burst in 0.0_f64..5_000.0,
        replicas in 1_usize..40,
    ) {
        let limit = limit(rate, burst);
        let all: Vec<_> = (1_u8..=40)
            .map(|last| std::net::SocketAddr::from(([10, 0, 0, last], 7_000)))
            .collect();
        let sharing_replicas = team_share::sharing_replicas(&team(1), &limit, &all[..replicas]);
        prop_assert!((1..=replicas).contains(&sharing_replicas.len()));
        let tolerance = LimitTolerance::default();
        let share = LimitShare::of(&limit, &tolerance, sharing_replicas.len());
        let count = f64::from(u32::try_from(sharing_replicas.len()).unwrap());
        let window = tolerance.window.0.as_secs_f64();
        let late = team_share::TOKEN_USE_TIMEOUT.as_secs_f64();
        let most = count * (share.rate * (window + late) + share.burst + share.stock);
        let allowed = (rate * window + burst) * (1.0 + tolerance.over) + tolerance.slack;
        prop_assert!(most <= allowed + 1e-6, "{most} of {allowed}");
    }
}

/// How a team asks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    /// At all entry VMs, at six tenths of its limit.
    Steady,
    /// The same, at one entry VM.
    OneVm,
    /// The same, at another one each second.
    Moving,
    /// At all entry VMs, at ten times its limit.
    Flooding,
}

/// What came of a play.
struct Played {
    /// What ran, as a share of what the limit allows without its burst.
    of_limit: f64,
    /// What ran, as a share of what was asked.
    served: f64,
    /// Mean wait for a token.
    wait: Duration,
    /// What ran of the other teams, as a share of what they asked.
    others: f64,
    /// What ran beyond what may, in some window; below 0 if nothing did.
    excess: f64,
    /// Messages to replicas for each request.
    messages: f64,
    /// Requests that were refused late, as a share of those that were asked.
    refused_late: f64,
}

/// Plays a team of a kind for 20 s beside others that keep to their limits, 5 s after all
/// processes have started.
fn play(kind: Kind, way: Way, vms: usize, rate: f64) -> Played {
    const WARM_UP: Duration = Duration::from_secs(5);
    const LENGTH: Duration = Duration::from_secs(20);
    let others = 8;
    let limits = vec![limit(rate, rate); 1 + others];
    let mut model = Model::new(way, vms, 12, limits);
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let factor = if kind == Kind::Flooding { 10.0 } else { 0.6 };
    for team in 0..=others {
        let (kind, factor) = if team == 0 {
            (kind, factor)
        } else {
            (Kind::Steady, 0.6)
        };
        let mut at = WARM_UP;
        while at < WARM_UP + LENGTH {
            let gap = -rng.random::<f64>().max(1e-9).ln() / (rate * factor);
            at += Duration::from_secs_f64(gap);
            let vm = match kind {
                Kind::Steady | Kind::Flooding => rng.random_range(0..vms),
                Kind::OneVm => 0,
                Kind::Moving => usize::try_from(at.as_secs()).unwrap() * 7 % vms,
            };
            model.request(at, vm, team);
        }
    }
    model.run_until(WARM_UP + LENGTH + Duration::from_secs(2));
    let excess = model.excess(0);
    assert!(excess <= 0.0 || way != Way::Shares, "{kind:?}: {excess}");
    for counted in &model.counted {
        let ruled = u32::try_from(counted.run.len()).unwrap() + counted.over + counted.unconfirmed;
        assert_eq!(ruled, counted.asked, "each request is told something");
        let in_time = counted.longest_wait <= Duration::from_secs(1);
        assert!(in_time || way != Way::Shares, "{:?}", counted.longest_wait);
    }
    let counted = &model.counted[0];
    let run = counted.run.iter().filter(|at| **at >= WARM_UP).count();
    let run = f64::from(u32::try_from(run).unwrap());
    let allowed = rate * LENGTH.as_secs_f64();
    let all = u32::try_from(counted.run.len()).unwrap();
    let others: (f64, f64) = model.counted[1..].iter().fold((0.0, 0.0), |sum, counted| {
        let run = f64::from(u32::try_from(counted.run.len()).unwrap());
        (sum.0 + run, sum.1 + f64::from(counted.asked))
    });
    Played {
        of_limit: run / allowed,
        served: f64::from(all) / f64::from(counted.asked),
        wait: counted.waited / all.max(1),
        others: others.0 / others.1,
        excess,
        refused_late: f64::from(counted.refused_late) / f64::from(counted.asked),
        messages: f64::from(model.token_requests)
            / f64::from(model.counted.iter().map(|c| c.asked).sum::<u32>()),
    }
}

/// Symptom: a team that keeps to its limit is refused. Cause: its share stands where its callers
/// aren't.
#[rstest]
#[case::steady_8(Kind::Steady, 8, 20.0)]
#[case::steady_84(Kind::Steady, 84, 20.0)]
#[case::steady_300(Kind::Steady, 300, 20.0)]
#[case::small_84(Kind::Steady, 84, 2.0)]
#[case::large_84(Kind::Steady, 84, 400.0)]
#[case::one_vm_84(Kind::OneVm, 84, 20.0)]
#[case::one_vm_300(Kind::OneVm, 300, 20.0)]
#[case::moving_84(Kind::Moving, 84, 20.0)]
#[case::moving_300(Kind::Moving, 300, 20.0)]
fn test_team_limits_seldom_refuse_below(#[case] kind: Kind, #[case] vms: usize, #[case] rate: f64) {
    let Played { served, wait, .. } = play(kind, Way::Shares, vms, rate);
    assert!(served >= 0.97, "{served} served");
    assert!(wait <= Duration::from_millis(70), "{wait:?}");
}

/// Symptom: requests within the limit are refused while a replica is down, though others have
/// tokens.
///
/// Sequence: an entry VM asks the nearest replica, which is gone, and the next one too late.
///
/// Cause: the time that a silent replica takes counts as a wait for tokens.
#[rstest]
#[case::one_in_three(4)]
#[case::two_in_three(8)]
fn test_team_limits_pass_silent_replicas(#[case] down: usize) {
    const RATE: f64 = 20.0;
    const VMS: usize = 24;
    const LENGTH: Duration = Duration::from_secs(20);
    let mut model = Model::new(Way::Shares, VMS, 12, vec![limit(RATE, RATE); 8]);
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    for replica in 0..down {
        model.cut_replica(replica, LENGTH * 2);
    }
    for team in 0..8 {
        let mut at = Duration::from_secs(5);
        while at < LENGTH {
            let gap = -rng.random::<f64>().max(1e-9).ln() / (RATE * 0.25);
            at += Duration::from_secs_f64(gap);
            model.request(at, rng.random_range(0..VMS), team);
        }
    }
    model.run_until(LENGTH + Duration::from_secs(5));
    let asked: u32 = model.counted.iter().map(|counted| counted.asked).sum();
    let over: u32 = model.counted.iter().map(|counted| counted.over).sum();
    let unconfirmed: u32 = model
        .counted
        .iter()
        .map(|counted| counted.unconfirmed)
        .sum();
    let refused = f64::from(over + unconfirmed) / f64::from(asked);
    assert!(
        refused <= 0.02,
        "{over} over and {unconfirmed} unconfirmed of {asked}"
    );
}

/// Symptom: a team that floods takes the room of the others, gets less than its limit, or waits
/// for refusals that are known at once.
#[rstest]
#[case(8)]
#[case(84)]
#[case(300)]
fn test_team_limits_flood(#[case] vms: usize) {
    let played = play(Kind::Flooding, Way::Shares, vms, 20.0);
    let Played {
        of_limit,
        others,
        refused_late,
        ..
    } = played;
    assert!(refused_late <= 0.01, "{refused_late} refused late");
    assert!(of_limit >= 0.9, "{of_limit} of the limit");
    assert!(others >= 0.97, "{others} of the others");
}

/// Prints what each way costs. `cargo test -p heatherring-lib --test test_team_tokens ways -- --nocapture --ignored`
#[test]
#[ignore = "a table for the design note, which asserts nothing"]
fn test_team_limits_ways() {
    let teams = [(8, 20.0), (84, 2.0), (84, 20.0), (84, 400.0), (300, 20.0)];
    for (vms, rate) in teams {
        for kind in [Kind::Steady, Kind::OneVm, Kind::Moving, Kind::Flooding] {
            for way in [Way::Equal, Way::One, Way::Shares] {
                let played = play(kind, way, vms, rate);
                let Played {
                    of_limit,
                    served,
                    wait,
                    others,
                    excess,
                    messages,
                    refused_late,
                } = played;
                let wait = wait.as_millis();
                println!(
                    "| {vms} | {rate} | {kind:?} | {way:?} | {served:.3} | {of_limit:.3} | {wait} | {others:.3} | {excess:.0} | {messages:.2} | {refused_late:.2} |"
                );
            }
        }
    }
}
