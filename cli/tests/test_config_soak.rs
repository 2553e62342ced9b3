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
use rstest::rstest;

const FAULTS: u32 = 4;

const BOUNDS: Bounds = Bounds {
    apply_us: 2_000_000,
    stretch_us: 5_000_000,
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
        kinds: FaultKind::ALL.to_vec(),
        read_every: Duration::from_millis(40),
        request_every: Duration::from_millis(40),
        keep_first_start: false,
    }
}

/// Guards against a confirmed change that is lost, read back older, or taken back at an entry VM,
/// and against one that was refused and is in force.
#[rstest]
#[case::first(1)]
#[case::second(2)]
#[tokio::test(flavor = "multi_thread")]
async fn test_config_soak_keeps_what_is_confirmed(#[case] seed: u64) {
    println!("seed {seed}");
    let binary = Path::new(env!("CARGO_BIN_EXE_heatherring"));
    let outcome = ConfigSoak::run(plan(seed), binary).await.unwrap();
    let found = judge_untimed(&outcome.record, BOUNDS);
    let found: Vec<String> = found.iter().map(ToString::to_string).collect();
    assert!(found.is_empty(), "{}", found.join("\n"));
}
