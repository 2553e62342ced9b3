//! Replacement of every entry VM, one after another, under load.

use std::path::Path;
use std::time::Duration;

use heatherring_testutils::deployment::Deployment;
use heatherring_testutils::deployment::book;
use heatherring_testutils::deployment::search;
use heatherring_testutils::deployment::troubled;
use heatherring_testutils::deployment_plan::DeploymentPlan;
use heatherring_testutils::request_history::RequestHistory;
use heatherring_testutils::steady_load::SteadyLoad;

const SEED: u64 = 20_261_203;
/// Two entry VMs per place, so that a region can keep two copies of an action's record while one
/// of its entry VMs is replaced.
const ENTRIES: usize = 8;
const DRAIN_BOUND_US: u64 = 4_000_000;

// Guards against a request that fails, or runs without an answer to its caller, while entry VMs are
// upgraded: under load each entry VM in turn gets SIGTERM, exits and is restarted. The failure
// occurs if an entry VM exits before callers have stopped using it, or if a new owner refuses
// waiting requests instead of queueing them.
async fn check_rolling_replacement(relay_min_entries: usize) {
    println!("seed {SEED}");
    let binary = Path::new(env!("CARGO_BIN_EXE_heatherring"));
    let mut plan = DeploymentPlan::small(ENTRIES, SEED);
    let relays = serde_json::json!(relay_min_entries);
    plan.cluster
        .entry_settings
        .insert("relay_min_entries".to_owned(), relays);
    let mut deployment = Deployment::start(plan, binary).await.unwrap();
    let specs = [
        search("registry"),
        book("registry"),
        search("certdesk"),
        book("certdesk"),
    ];
    let pause = Duration::from_millis(50);
    let mut load = SteadyLoad::start(deployment.callers(2), &specs, pause, SEED);
    load.wait_for_more(50).await;
    for number in 1..=ENTRIES {
        let name = format!("entry-{number}");
        let status = deployment.cluster.stop(&name).await.unwrap();
        assert!(status.success(), "{name}: {status}");
        deployment.cluster.start_vm(&name).unwrap();
        deployment.cluster.wait_for_sessions(ENTRIES).await.unwrap();
        load.wait_for_more(50).await;
    }
    let calls = load.finish().await;
    let troubled = troubled(&calls);
    assert!(troubled.is_empty(), "{troubled:#?}");
    let history = RequestHistory {
        calls,
        events: deployment.cluster.ledgers().unwrap(),
        drain_bound_us: DRAIN_BOUND_US,
        ..RequestHistory::default()
    };
    assert_eq!(history.check(), []);
}

macro_rules! rolling_replacement_tests {
    ($($name:ident: $relay_min_entries:expr,)*) => {
        $(
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                check_rolling_replacement($relay_min_entries).await;
            }
        )*
    };
}

rolling_replacement_tests! {
    test_rolling_replacement_fails_no_request: ENTRIES,
    test_rolling_replacement_through_relays: 3,
}
