//! Sessions through relays, over real processes.

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

/// Returns the sessions of all entry VMs but `left_out`.
fn sessions(status: &Value, left_out: &str) -> Vec<(String, String)> {
    let others = list(status, "entries")
        .iter()
        .filter(|entry| entry["vm"] != left_out);
    let mut sessions: Vec<_> = others
        .map(|entry| (entry["vm"].to_string(), entry["session"].to_string()))
        .collect();
    sessions.sort();
    sessions
}

#[tokio::test(flavor = "multi_thread")]
async fn test_session_relay_killed() {
    // Symptom: the entry VMs of a region lose their sessions, and refuse callers,
    // because one of them died.
    // Sequence: each entry VM in turn is killed, two of them relays; the others keep
    // their sessions, and a manifest comes into force on them.
    // Cause: entry VMs that wait for a dead relay until their leases are over.
    let binary = Path::new(env!("CARGO_BIN_EXE_heatherring"));
    let mut cluster = Cluster::start(plan(), binary).await.unwrap();
    let mut version = 1;
    // Without a session nobody is a relay; this one is in force through them.
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
        assert_eq!(after, before, "{name} was killed");
        cluster.start_vm(&name).unwrap();
        cluster.wait_for_sessions(ENTRIES).await.unwrap();
    }
}
