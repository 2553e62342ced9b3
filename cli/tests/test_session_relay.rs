//! Sessions of entry VMs through relays, over real processes.

use std::path::Path;

use heatherring_testutils::cluster::Cluster;
use heatherring_testutils::cluster_operator::list;
use heatherring_testutils::cluster_plan::ClusterPlan;
use heatherring_testutils::cluster_plan::VmPlan;
use serde_json::Value;
use serde_json::json;

const ENTRIES: usize = 5;

fn vm_name(number: usize) -> String {
    format!("entry-{number}")
}

fn plan() -> ClusterPlan {
    let entries = (1..=ENTRIES).map(|number| {
        let place = ["alm-a", "alm-b"][number % 2];
        VmPlan::new(&vm_name(number), place, "almaty")
    });
    let mut plan = ClusterPlan {
        controls: vec![VmPlan::new("control-1", "alm-a", "almaty")],
        entries: entries.collect(),
        ..ClusterPlan::default()
    };
    plan.entry_settings
        .insert("relay_min_entries".to_owned(), json!(3));
    plan
}

/// Returns the names and sessions of all entry VMs except `excluded`, sorted.
fn sessions(status: &Value, excluded: &str) -> Vec<(String, String)> {
    let others = list(status, "entries")
        .iter()
        .filter(|entry| entry["vm"] != excluded);
    let mut sessions: Vec<_> = others
        .map(|entry| (entry["vm"].to_string(), entry["session"].to_string()))
        .collect();
    sessions.sort();
    sessions
}

#[tokio::test(flavor = "multi_thread")]
async fn test_session_relay_killed() {
    // Guards against entry VMs of a region that lose their sessions and refuse callers because one
    // of them was killed. Each entry VM in turn is killed, two of them relays; the others must keep
    // their sessions, and a manifest must come into force on them. The failure occurs if entry VMs
    // wait for a dead relay until their leases expire.
    let binary = Path::new(env!("CARGO_BIN_EXE_heatherring"));
    let mut cluster = Cluster::start(plan(), binary).await.unwrap();
    let mut version = 1;
    // Entry VMs become relays only once they have sessions; this manifest is distributed by them.
    cluster
        .submit(&cluster.manifest(version, &json!({})))
        .unwrap();
    for number in 1..=ENTRIES {
        let name = vm_name(number);
        let before = sessions(&cluster.status().unwrap(), &name);
        cluster.process(&name).kill().unwrap();
        cluster.wait_for_sessions(ENTRIES - 1).await.unwrap();
        version += 1;
        cluster
            .submit(&cluster.manifest(version, &json!({})))
            .unwrap();
        let after = sessions(&cluster.status().unwrap(), &name);
        assert_eq!(after, before, "sessions changed after {name} was killed");
        cluster.start_vm(&name).unwrap();
        cluster.wait_for_sessions(ENTRIES).await.unwrap();
    }
}
