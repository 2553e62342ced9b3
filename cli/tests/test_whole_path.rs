//! End-to-end tests over real processes: three control replicas, entry VMs in two regions,
//! backend servers, callers and an operator.

use std::path::Path;
use std::time::Duration;

use heatherring_testutils::caller::Told;
use heatherring_testutils::cluster::Cluster;
use heatherring_testutils::cluster_operator::list;
use heatherring_testutils::deployment::Deployment;
use heatherring_testutils::deployment::book;
use heatherring_testutils::deployment::search;
use heatherring_testutils::deployment::troubled;
use heatherring_testutils::deployment_plan::DeploymentPlan;
use heatherring_testutils::request_history::RequestHistory;
use heatherring_testutils::steady_load::SteadyLoad;
use serde_json::Value;

const SEED: u64 = 20_261_202;
const ENTRIES: usize = 4;
const KYUSHU: &str = include_str!("../../samples/kyushu.jsonc");
/// Time after which a leaving backend server receives no new work, in microseconds.
const DRAIN_BOUND_US: u64 = 4_000_000;

fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_heatherring"))
}

async fn start(entries: usize) -> Deployment {
    println!("seed {SEED}");
    Deployment::start(DeploymentPlan::small(entries, SEED), binary())
        .await
        .unwrap()
}

/// Waits until the accepted manifest `version` is in force on every entry VM; returns the status.
async fn wait_until_in_force(cluster: &Cluster, version: u64) -> Value {
    let in_force = |status: &Value| {
        let revision = status["manifest"]["revision"].as_u64();
        let entries = list(status, "entries");
        status["manifest"]["version"] == version
            && status["manifest"]["in_force_everywhere"] == true
            && entries.len() == ENTRIES
            && entries
                .iter()
                .all(|entry| entry["applied_revision"].as_u64() >= revision)
    };
    let status = cluster.wait_for_status("the manifest is in force", in_force);
    status.await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn test_whole_path_operator() {
    let deployment = start(ENTRIES).await;
    let cluster = &deployment.cluster;
    let manifest = KYUSHU.replace("\"version\": 1,", "\"version\": 2,");
    let submitted = cluster.submit_text("kyushu.jsonc", &manifest).unwrap();
    assert!(submitted.contains("accepted"), "{submitted}");
    let status = wait_until_in_force(cluster, 2).await;
    let digest = status["manifest"]["digest"].as_str().unwrap();
    let control = cluster.control_argument();
    let show = [
        "manifest",
        "show",
        "--control",
        &control,
        "--output",
        "json",
    ];
    let shown: Value = serde_json::from_str(&cluster.operate(&show).unwrap()).unwrap();
    assert_eq!(shown["version"], 2);
    assert_eq!(shown["digest"], digest);
    assert_eq!(shown["manifest"], manifest);
    let audit = cluster.operate(&["audit", "--control", &control]).unwrap();
    let line = audit.lines().find(|line| line.contains(digest));
    let record: Value = serde_json::from_str(line.expect("the audit lists the manifest")).unwrap();
    assert!(record.is_object());
    // A repeated submission gets the same answer.
    let again = cluster.submit_text("kyushu.jsonc", &manifest).unwrap();
    assert_eq!(again, submitted);
}

#[tokio::test(flavor = "multi_thread")]
async fn test_whole_path_requests() {
    let deployment = start(ENTRIES).await;
    let mut caller = deployment.caller("caller", "fko-hakata", 1);
    let look_up = caller.look_up("registry").await.unwrap();
    assert!(look_up.cache_ms > 0);
    assert!(!look_up.backups.is_empty());
    let near = caller.call(&search("registry")).await;
    assert!(near.outcome().unwrap().is_answer(), "{near:?}");
    // The only backend servers of this service are in the other region, whose entry VMs
    // own them.
    let far = caller.call(&book("certdesk")).await;
    let Some(Told::Answer { place, .. }) = far.outcome() else {
        panic!("{far:?}");
    };
    assert_eq!(place, "kmm-kikuyo");
    let history = RequestHistory {
        calls: vec![near, far],
        events: deployment.cluster.ledgers().unwrap(),
        drain_bound_us: DRAIN_BOUND_US,
        ..RequestHistory::default()
    };
    assert_eq!(history.check(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn test_whole_path_refusals() {
    let deployment = start(ENTRIES).await;
    let entry = deployment.cluster.callers_address("entry-1");
    let mut caller = deployment.caller("caller", "fko-hakata", 1);
    let mut unknown_operation = search("registry");
    unknown_operation.path = "/nothing".to_owned();
    let cases = [
        (search("nowhere"), "service_unknown", 404),
        (unknown_operation, "operation_unknown", 404),
        (book("registry"), "key_missing", 428),
        (search("curing"), "no_backend_server", 503),
    ];
    for (spec, reason, expected_status) in cases {
        let nonce = caller.next_nonce();
        let attempt = caller.send(entry, &spec, &nonce, None).await;
        let Told::Refused { status, refusal } = attempt.told else {
            panic!("{spec:?}: {attempt:?}");
        };
        assert_eq!(refusal.outcome, "not_run", "{spec:?}");
        assert_eq!(refusal.reason, reason, "{spec:?}");
        assert_eq!(status, expected_status, "{spec:?}");
        let retry_after = refusal.retry_after_ms.unwrap_or(0);
        assert_eq!(retry_after > 0, status == 503, "{spec:?}");
    }
}

// Guards against a planned stop that aborts a request in flight: under load an entry VM, a host of
// backend servers and a control replica get SIGTERM, one after another. The failure occurs if a
// process exits before its work is finished, or before others have stopped sending it work.
#[tokio::test(flavor = "multi_thread")]
async fn test_whole_path_planned_stops() {
    let mut deployment = start(ENTRIES + 2).await;
    let specs = [
        search("registry"),
        book("registry"),
        search("certdesk"),
        book("certdesk"),
    ];
    let pause = Duration::from_millis(50);
    let mut load = SteadyLoad::start(deployment.callers(2), &specs, pause, SEED);
    load.wait_for_more(50).await;
    for name in ["entry-2", "hakata-registry", "control-1"] {
        let status = deployment.cluster.stop(name).await.unwrap();
        assert!(status.success(), "{name}: {status}");
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
