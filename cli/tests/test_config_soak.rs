//! A short soak of the route manifest over real processes, judged without bounds on time but that
//! of reads and reversions.

use std::path::Path;
use std::time::Duration;

use heatherring_testutils::config_judge::Bounds;
use heatherring_testutils::config_judge::judge_untimed;
use heatherring_testutils::config_soak::ConfigSoak;
use heatherring_testutils::config_soak::SoakPlan;
use heatherring_testutils::direct_cluster::DirectPlan;
use heatherring_testutils::soak_faults::FaultKind;
use heatherring_testutils::soak_faults::Replacements;
use rstest::rstest;

const FAULTS: u32 = 4;

const BOUNDS: Bounds = Bounds {
    apply_us: 2_000_000,
    stretch_us: 5_000_000,
    ack_us: 4_000_000,
    catch_up_us: 4_000_000,
};

fn plan(seed: u64) -> SoakPlan {
    SoakPlan {
        cluster: DirectPlan {
            regions: ["east", "west"].map(str::to_owned).to_vec(),
            controls: 3,
            entries: 4,
            between_regions: Duration::from_millis(3),
        },
        seed,
        faults: FAULTS,
        longest: Duration::from_secs(2),
        kinds: FaultKind::ALL
            .into_iter()
            .filter(|kind| !kind.is_replacement())
            .collect(),
        read_every: Duration::from_millis(40),
        request_every: Duration::from_millis(40),
        keep_first_start: false,
        replacements: Replacements {
            catch_up: Duration::from_secs(4),
            gap: None,
            in_a_row: None,
        },
    }
}

/// Returns a plan in which the leader is replaced three times, as soon as a deployment tolerates.
fn replacing_plan(seed: u64) -> SoakPlan {
    let plan = plan(seed);
    SoakPlan {
        cluster: DirectPlan {
            regions: ["east", "west", "north"].map(str::to_owned).to_vec(),
            controls: 5,
            ..plan.cluster
        },
        faults: 1,
        kinds: vec![FaultKind::LeaderReplaced],
        replacements: Replacements {
            gap: Some(Duration::from_millis(6_500)),
            in_a_row: Some(3),
            ..plan.replacements
        },
        ..plan
    }
}

/// Guards against a confirmed change that is lost, read back older, or taken back at an entry VM,
/// and against one that was refused and is in force.
#[rstest]
#[case::first(1)]
#[case::second(2)]
#[tokio::test(flavor = "multi_thread")]
async fn test_config_soak_keeps_what_is_confirmed(#[case] seed: u64) {
    assert_no_violation(plan(seed)).await;
}

/// Guards against the loss of control for good while its VMs are replaced one at a time.
#[tokio::test(flavor = "multi_thread")]
async fn test_config_soak_outlasts_replaced_leaders() {
    assert_no_violation(replacing_plan(21)).await;
}

async fn assert_no_violation(plan: SoakPlan) {
    println!("seed {}", plan.seed);
    let binary = Path::new(env!("CARGO_BIN_EXE_heatherring"));
    let outcome = ConfigSoak::run(plan, binary).await.unwrap();
    let found = judge_untimed(&outcome.record, BOUNDS);
    let found: Vec<String> = found.iter().map(ToString::to_string).collect();
    assert!(found.is_empty(), "{}", found.join("\n"));
}
