//! A control replica that was replaced while it was away, over real processes.

use std::path::Path;
use std::time::Duration;

use heatherring_testutils::direct_cluster::DirectCluster;
use heatherring_testutils::direct_cluster::DirectPlan;
use heatherring_testutils::wait::wait_for;

const CONTROLS: usize = 6;

/// Name that the settings of a replica get while it is away.
const NEW_NAME: &str = "core-renamed";

/// Returns what a replica has logged in all of its runs, in order.
fn lines(cluster: &DirectCluster, number: usize) -> Vec<serde_json::Value> {
    let vm = &cluster.controls[number].plan.vm;
    let log = cluster.folder().join(format!("{vm}.log"));
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines = text.lines().map(serde_json::from_str::<serde_json::Value>);
    lines.filter_map(Result::ok).collect()
}

/// Returns the events that a replica has logged in all of its runs, in order.
fn events(cluster: &DirectCluster, number: usize) -> Vec<String> {
    let lines = lines(cluster, number).into_iter();
    let events = lines.filter_map(|line| Some(line["kvs"]["event"].as_str()?.to_owned()));
    events.collect()
}

/// Changes the name in the settings of a replica.
fn rename(cluster: &DirectCluster, number: usize) {
    let vm = &cluster.controls[number].plan.vm;
    let path = cluster.folder().join(format!("{vm}.jsonc"));
    let text = std::fs::read_to_string(&path).unwrap();
    let mut settings: serde_json::Value = serde_json::from_str(&text).unwrap();
    settings["vm"] = NEW_NAME.into();
    std::fs::write(&path, settings.to_string()).unwrap();
}

/// Guards against control that is short of a replica for good, where nothing starts a process anew
/// that ended by itself: it was away for so long that another one had taken its place. It joins by
/// the settings as they are by then.
#[tokio::test(flavor = "multi_thread")]
async fn test_replaced_replica_joins_anew_in_its_process() {
    let plan = DirectPlan {
        regions: vec!["east".to_owned()],
        controls: CONTROLS,
        entries: 0,
        between_regions: Duration::from_millis(1),
    };
    let binary = Path::new(env!("CARGO_BIN_EXE_heatherring"));
    let mut cluster = DirectCluster::start(&plan, binary).await.unwrap();
    wait_for("all replicas to start", async || {
        let started = |number| events(&cluster, number).contains(&"control_started".to_owned());
        (0..CONTROLS).all(started).then_some(())
    })
    .await
    .unwrap();
    // A founder, whose settings say that the deployment starts for the first time.
    cluster.kill_control(0).unwrap();
    wait_for("the removal of the silent replica", async || {
        let removed = |number| events(&cluster, number).contains(&"replica_removed".to_owned());
        (1..CONTROLS).any(removed).then_some(())
    })
    .await
    .unwrap();
    cluster.start_control(0).unwrap();
    let starts = |events: &[String]| events.iter().filter(|e| *e == "control_started").count();
    wait_for(
        "the replica to start with its former identity",
        async || (starts(&events(&cluster, 0)) == 2).then_some(()),
    )
    .await
    .unwrap();
    rename(&cluster, 0);
    wait_for("the replica to join anew", async || {
        let events = events(&cluster, 0);
        let replaced = events.iter().position(|event| event == "replaced")?;
        let since = &events[replaced..];
        let joined = since.iter().any(|event| event == "joined");
        let started = since.iter().any(|event| event == "control_started");
        (joined && started).then_some(())
    })
    .await
    .unwrap();
    let lines = lines(&cluster, 0);
    let started = |line: &&serde_json::Value| line["kvs"]["event"] == "control_started";
    let last = lines.iter().rfind(started).unwrap();
    assert_eq!(last["kvs"]["vm"], NEW_NAME);
}
