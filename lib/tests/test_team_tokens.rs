//! Limits of teams over all entry VMs: never exceeded, and requests below them rarely refused.

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

use token_model::Method;
use token_model::Model;
use token_model::ReplyFault;
use token_model::team;

const SEED: u64 = 20_261_203;

/// Longest time that a request waits for its token.
const MAX_TOKEN_WAIT: Duration = Duration::from_secs(2);

fn limit(rate: f64, burst: f64) -> TeamLimit {
    TeamLimit { rate, burst }
}

/// A disturbance of the processes or of the traffic.
#[derive(Clone, Debug)]
enum Fault {
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
    /// All callers of team 0 send to one entry VM.
    Gather {
        vm: usize,
    },
    Spread,
}

fn any_fault() -> impl Strategy<Value = (u64, Fault)> {
    let time = (100_u64..6_000).prop_map(Duration::from_millis);
    let kind = prop_oneof![
        (0_usize..64, time.clone()).prop_map(|(vm, time)| Fault::CutVm { vm, time }),
        (0_usize..64, time.clone()).prop_map(|(replica, time)| Fault::CutReplica { replica, time }),
        (0_usize..64, time.clone()).prop_map(|(vm, time)| Fault::FreezeVm { vm, time }),
        (0_usize..64, time).prop_map(|(replica, time)| Fault::FreezeReplica { replica, time }),
        (0_usize..64).prop_map(|vm| Fault::RestartVm { vm }),
        (0_usize..64).prop_map(|replica| Fault::RestartReplica { replica }),
        Just(Fault::RestartAll),
        (0_usize..64).prop_map(|vm| Fault::Gather { vm }),
        Just(Fault::Spread),
    ];
    (0_u64..20_000, kind)
}

fn apply(model: &mut Model, vms: usize, replicas: usize, fault: &Fault) -> Option<usize> {
    match fault {
        Fault::CutVm { vm, time } => model.cut_vm(vm % vms, *time),
        Fault::CutReplica { replica, time } => model.cut_replica(replica % replicas, *time),
        Fault::FreezeVm { vm, time } => model.freeze_vm(vm % vms, *time),
        Fault::FreezeReplica { replica, time } => {
            model.freeze_replica(replica % replicas, *time);
        }
        Fault::RestartVm { vm } => model.restart_vm(vm % vms),
        Fault::RestartReplica { replica } => model.restart_replica(replica % replicas),
        Fault::RestartAll => {
            (0..vms).for_each(|vm| model.restart_vm(vm));
            (0..replicas).for_each(|replica| model.restart_replica(replica));
        }
        Fault::Gather { vm } => return Some(vm % vms),
        Fault::Spread => return None,
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
    // Sequence: its callers send several times the limit, to all entry VMs or to one, while entry
    // VMs and replicas are cut off, frozen and restarted.
    // Cause: tokens that a crashed or frozen process has issued or holds are issued a second time.
    #[test]
    fn test_team_limits_hold_under_any_faults(
        vms in 1_usize..24,
        replicas in 1_usize..13,
        rate in 0.2_f64..60.0,
        burst in 0.0_f64..60.0,
        times in 0.5_f64..10.0,
        mut faults in prop::collection::vec(any_fault(), 0..10),
    ) {
        const LENGTH: Duration = Duration::from_secs(20);
        let mut model = Model::new(Method::Shares, vms, replicas, vec![limit(rate, burst)]);
        let mut rng = ChaCha8Rng::seed_from_u64(SEED);
        faults.sort_by_key(|(at, _)| *at);
        let mut faults = faults.iter().peekable();
        let mut all_at_vm = None;
        let mut at = Duration::ZERO;
        while at < LENGTH {
            at += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / (rate * times));
            while let Some((when, fault)) = faults.peek()
                && Duration::from_millis(*when) <= at
            {
                model.run_until(Duration::from_millis(*when));
                let moved = apply(&mut model, vms, replicas, fault);
                if matches!(fault, Fault::Gather { .. } | Fault::Spread) {
                    all_at_vm = moved;
                }
                faults.next();
            }
            let vm = all_at_vm.unwrap_or_else(|| rng.random_range(0..vms));
            model.request(at, vm, 0);
            model.run_until(at);
        }
        model.run_until(LENGTH + Duration::from_secs(10));
        let excess = model.excess(0);
        prop_assert!(excess <= 0.0, "{excess} above the allowed number");
    }

    // Symptom: replicas issue more tokens than the limit in sum.
    // Cause: shares are rounded up.
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
        let lease = share.lease.as_secs_f64();
        let most = count * (share.rate * (window + lease) + share.burst);
        let allowed = (rate * window + burst) * (1.0 + tolerance.over) + tolerance.slack;
        prop_assert!(most <= allowed + 1e-6, "{most} of {allowed}");
    }
}

/// Pattern of a team's requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    /// To all entry VMs, at six tenths of its limit.
    Steady,
    /// Like [`Kind::Steady`], to one entry VM.
    OneVm,
    /// Like [`Kind::Steady`], to a different entry VM each second.
    Moving,
    /// To all entry VMs, at ten times its limit.
    Flooding,
}

/// Result of a run.
struct ScenarioResult {
    /// Requests that ran, as a fraction of what the limit allows without its burst.
    of_limit: f64,
    /// Requests that ran, as a fraction of those sent.
    served: f64,
    /// Mean wait for a token.
    wait: Duration,
    /// Requests of the other teams that ran, as a fraction of those sent.
    others: f64,
    /// Requests that ran in excess of the allowed number in any window; negative if it was never
    /// exceeded.
    excess: f64,
    /// Messages to replicas per request.
    messages: f64,
    /// Requests that were refused late, as a fraction of those sent.
    refused_late: f64,
}

/// Runs a team of a kind for 20 s together with others that keep to their limits, starting 5 s
/// after all processes.
fn run_scenario(kind: Kind, method: Method, vms: usize, rate: f64) -> ScenarioResult {
    const WARM_UP: Duration = Duration::from_secs(5);
    const LENGTH: Duration = Duration::from_secs(20);
    let others = 8;
    let limits = vec![limit(rate, rate); 1 + others];
    let mut model = Model::new(method, vms, 12, limits);
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
    assert!(
        excess <= 0.0 || method != Method::Shares,
        "{kind:?}: {excess}"
    );
    for counted in &model.counted {
        let decided =
            u32::try_from(counted.run.len()).unwrap() + counted.over + counted.unconfirmed;
        assert_eq!(decided, counted.asked, "each request gets a decision");
        let in_time = counted.longest_wait <= Duration::from_secs(1);
        assert!(
            in_time || method != Method::Shares,
            "{:?}",
            counted.longest_wait
        );
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
    ScenarioResult {
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

/// Symptom: a team that keeps to its limit is refused.
/// Cause: its share is where its callers are not.
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
    let ScenarioResult { served, wait, .. } = run_scenario(kind, Method::Shares, vms, rate);
    assert!(served >= 0.97, "{served} served");
    assert!(wait <= Duration::from_millis(70), "{wait:?}");
}

/// Symptom: requests within the limit are refused while a replica is down, although others have
/// tokens.
/// Sequence: an entry VM asks the nearest replica, which is down, and the next one too late.
/// Cause: the time that a replica without a reply takes counts as waiting for tokens.
#[rstest]
#[case::one_in_three(4)]
#[case::two_in_three(8)]
fn test_team_limits_skip_silent_replicas(#[case] down: usize) {
    const RATE: f64 = 20.0;
    const VMS: usize = 24;
    const LENGTH: Duration = Duration::from_secs(20);
    let mut model = Model::new(Method::Shares, VMS, 12, vec![limit(RATE, RATE); 8]);
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

/// Symptom: a team that floods takes capacity from the others, gets less than its limit, or waits
/// for refusals that could be sent immediately.
#[rstest]
#[case(8)]
#[case(84)]
#[case(300)]
fn test_team_limits_flood(#[case] vms: usize) {
    let result = run_scenario(Kind::Flooding, Method::Shares, vms, 20.0);
    let ScenarioResult {
        of_limit,
        others,
        refused_late,
        ..
    } = result;
    assert!(refused_late <= 0.01, "{refused_late} refused late");
    assert!(of_limit >= 0.9, "{of_limit} of the limit");
    assert!(others >= 0.97, "{others} of the others");
}

/// Outcomes of the requests of all teams.
#[derive(Debug, Default)]
struct Outcomes {
    asked: u32,
    run: u32,
    over: u32,
    unconfirmed: u32,
    unconfirmed_at_once: u32,
    /// The highest number of requests of any team above the allowed one.
    excess: f64,
    mean_wait: Duration,
    longest_wait: Duration,
    token_requests: u32,
}

/// Lets teams with `limits` ask for `factor` times their limits at random for 20 s, while replies take 0.1 to
/// 0.6 s and `lost` of them are lost.
fn run_slow_replies(vms: usize, limits: &[TeamLimit], factor: f64, lost: f64) -> Outcomes {
    const WARM_UP: Duration = Duration::from_secs(5);
    const LENGTH: Duration = Duration::from_secs(20);
    const REPLICAS: usize = 5;
    let mut model = Model::new(Method::Shares, vms, REPLICAS, limits.to_vec());
    model.reply_fault = Some(ReplyFault {
        delay: (Duration::from_millis(100), Duration::from_millis(600)),
        lost,
        until: Duration::MAX,
    });
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    for (team, limit) in limits.iter().enumerate() {
        let mut at = WARM_UP;
        // What the limit leaves at this time; teams that ask for less than it never exceed it.
        let mut left = limit.burst;
        while at < WARM_UP + LENGTH {
            let gap = -rng.random::<f64>().max(1e-9).ln() / (limit.rate * factor);
            at += Duration::from_secs_f64(gap);
            left = (left + gap * limit.rate).min(limit.burst);
            if left >= 1.0 || factor > 1.0 {
                left -= 1.0;
                model.request(at, rng.random_range(0..vms), team);
            }
        }
    }
    model.run_until(WARM_UP + LENGTH + Duration::from_secs(5));
    let mut outcomes = Outcomes {
        excess: f64::MIN,
        token_requests: model.token_requests,
        ..Outcomes::default()
    };
    for (team, counted) in model.counted.iter().enumerate() {
        outcomes.asked += counted.asked;
        outcomes.run += u32::try_from(counted.run.len()).unwrap();
        outcomes.over += counted.over;
        outcomes.unconfirmed += counted.unconfirmed;
        outcomes.unconfirmed_at_once += counted.unconfirmed_at_once;
        outcomes.excess = outcomes.excess.max(model.excess(team));
        outcomes.mean_wait += counted.waited;
        outcomes.longest_wait = outcomes.longest_wait.max(counted.longest_wait);
    }
    outcomes.mean_wait /= outcomes.run.max(1);
    let decided = outcomes.run + outcomes.over + outcomes.unconfirmed;
    assert_eq!(decided, outcomes.asked, "each request gets a decision");
    outcomes
}

/// Teams of equal size.
fn even_limits() -> Vec<TeamLimit> {
    vec![limit(20.0, 20.0); 9]
}

/// Many small teams and a few large ones.
fn mixed_limits() -> Vec<TeamLimit> {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut limits: Vec<TeamLimit> = (0..68)
        .map(|_| rng.random_range(4.0..40.0))
        .map(|rate| limit(rate, rate))
        .collect();
    limits.extend([120.0, 160.0, 200.0, 250.0, 300.0].map(|rate| limit(rate, rate)));
    limits
}

/// Guards against refusals of teams that keep to their limits because replies of the replicas are
/// slow or lost.
#[rstest]
#[case::few(8, even_limits())]
#[case::many_teams(56, mixed_limits())]
fn test_slow_replies_refuse_nobody_below_the_limit(
    #[case] vms: usize,
    #[case] limits: Vec<TeamLimit>,
) {
    let outcomes = run_slow_replies(vms, &limits, 2.0 / 3.0, 0.05);
    assert_eq!(outcomes.unconfirmed_at_once, 0, "{outcomes:?}");
    assert_eq!(outcomes.unconfirmed, 0, "{outcomes:?}");
    assert!(outcomes.longest_wait <= MAX_TOKEN_WAIT, "{outcomes:?}");
    assert!(
        outcomes.token_requests <= 2 * outcomes.asked,
        "{outcomes:?}"
    );
    assert_eq!(outcomes.run, outcomes.asked, "{outcomes:?}");
}

/// Guards against a limit that is exceeded, or hardly used, while replies of the replicas are slow
/// or lost.
#[rstest]
#[case::few(8, even_limits())]
#[case::many(56, mixed_limits())]
fn test_slow_replies_keep_the_limit(#[case] vms: usize, #[case] limits: Vec<TeamLimit>) {
    let allowed: f64 = limits.iter().map(|limit| limit.rate * 20.0).sum();
    let outcomes = run_slow_replies(vms, &limits, 3.0, 0.05);
    assert!(outcomes.excess <= 0.0, "{outcomes:?}");
    let of_limit = f64::from(outcomes.run) / allowed;
    assert!(of_limit >= 0.8, "{of_limit} of the limit: {outcomes:?}");
}

/// Prints the cost of each method.
/// `cargo test -p heatherring-lib --test test_team_tokens methods -- --nocapture --ignored`
#[test]
#[ignore = "a table for the design note, which asserts nothing"]
fn test_team_limits_methods() {
    let teams = [(8, 20.0), (84, 2.0), (84, 20.0), (84, 400.0), (300, 20.0)];
    for (vms, rate) in teams {
        for kind in [Kind::Steady, Kind::OneVm, Kind::Moving, Kind::Flooding] {
            for method in [Method::Equal, Method::One, Method::Shares] {
                let result = run_scenario(kind, method, vms, rate);
                let ScenarioResult {
                    of_limit,
                    served,
                    wait,
                    others,
                    excess,
                    messages,
                    refused_late,
                } = result;
                let wait = wait.as_millis();
                println!(
                    "| {vms} | {rate} | {kind:?} | {method:?} | {served:.3} | {of_limit:.3} | {wait} | {others:.3} | {excess:.0} | {messages:.2} | {refused_late:.2} |"
                );
            }
        }
    }
}
