//! Control replicas as real processes whose disks are full for a while.

use std::path::Path;
use std::time::Duration;

use heatherring_testutils::cluster::Cluster;
use heatherring_testutils::cluster_operator::list;
use heatherring_testutils::deployment::Deployment;
use heatherring_testutils::deployment::search;
use heatherring_testutils::deployment_plan::DeploymentPlan;
use heatherring_testutils::wait::wait_for;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

const SEED: u64 = 20_261_204;
const ENTRIES: usize = 2;
const CONTROLS: [&str; 3] = ["control-1", "control-2", "control-3"];

/// Time after which an entry VM has no lease left that was granted before.
const LONGER_THAN_A_LEASE: Duration = Duration::from_secs(5);

async fn start() -> Deployment {
    let binary = Path::new(env!("CARGO_BIN_EXE_heatherring"));
    let plan = DeploymentPlan::small(ENTRIES, SEED);
    Deployment::start(plan, binary).await.unwrap()
}

/// Submits a version of the deployment's manifest; returns whether it was accepted.
fn submit(cluster: &Cluster, version: u64) -> bool {
    let services = DeploymentPlan::small(ENTRIES, SEED).services();
    let submitted = cluster.submit(&cluster.manifest(version, &services));
    submitted.is_ok_and(|printed| printed.contains("accepted"))
}

async fn wait_until_accepted(cluster: &Cluster, version: u64) {
    wait_for("the version is accepted", async || {
        submit(cluster, version).then_some(())
    })
    .await
    .unwrap();
}

fn replica<'a>(status: &'a Value, vm: &str) -> Option<&'a Value> {
    let mut replicas = list(status, "replicas").iter();
    replicas.find(|replica| replica["vm"] == vm)
}

async fn leader(cluster: &Cluster) -> &'static str {
    let of_leader = |status: &Value, vm: &str| {
        replica(status, vm).is_some_and(|replica| replica["replica"] == status["leader"])
    };
    let status = cluster.wait_for_status("a leader", |status| {
        CONTROLS.iter().any(|vm| of_leader(status, vm))
    });
    let status = status.await.unwrap();
    let mut controls = CONTROLS.into_iter();
    controls.find(|vm| of_leader(&status, vm)).unwrap()
}

async fn wait_until_full(cluster: &Cluster, full: &[&str]) {
    let is_full = |status: &Value, vm: &&str| {
        replica(status, vm).is_some_and(|replica| replica["disk_full"] == true)
    };
    cluster
        .wait_for_status("the full disks are reported", |status| {
            CONTROLS
                .iter()
                .all(|vm| is_full(status, vm) == full.contains(vm))
        })
        .await
        .unwrap();
}

/// Waits until all replicas hold the whole log.
async fn wait_until_caught_up(cluster: &Cluster) {
    cluster
        .wait_for_status("all replicas have the log", |status| {
            let matched = |vm: &&str| replica(status, vm)?["matched_revision"].as_u64();
            let revision = status["revision"].as_u64();
            CONTROLS.iter().all(|vm| matched(vm) >= revision)
        })
        .await
        .unwrap();
}

fn all_run(cluster: &mut Cluster) -> bool {
    CONTROLS.iter().all(|vm| cluster.process(vm).is_running())
}

async fn wait_until_shown(cluster: &Cluster, version: u64) {
    let status = cluster.wait_for_status("the version is in force", |status| {
        status["manifest"]["version"] == version
            && status["manifest"]["in_force_everywhere"] == true
            && list(status, "entries").len() == ENTRIES
    });
    status.await.unwrap();
}

/// Kills all replicas at once and starts them again.
fn restart_all(cluster: &mut Cluster) {
    for vm in CONTROLS {
        cluster.process(vm).kill().unwrap();
    }
    for vm in CONTROLS {
        cluster.start_vm(vm).unwrap();
    }
}

/// Guards against a replica that ends, and orders that are refused, while the disk of one of three
/// is full.
#[rstest]
#[case::leader(true)]
#[case::follower(false)]
#[tokio::test(flavor = "multi_thread")]
async fn test_one_full_disk_ends_no_process(#[case] of_leader: bool) {
    let mut deployment = start().await;
    let leader = leader(&deployment.cluster).await;
    let mut others = CONTROLS.iter().filter(|vm| **vm != leader);
    let full = if of_leader {
        leader
    } else {
        *others.next().unwrap()
    };
    let cluster = &mut deployment.cluster;
    cluster.process(full).fill_disk().unwrap();
    wait_until_accepted(cluster, 2).await;
    wait_until_full(cluster, &[full]).await;
    wait_until_accepted(cluster, 3).await;
    wait_until_shown(cluster, 3).await;
    assert!(all_run(cluster));
    cluster.process(full).free_disk().unwrap();
    wait_until_full(cluster, &[]).await;
    wait_until_caught_up(cluster).await;
    assert!(all_run(cluster));
    restart_all(cluster);
    wait_until_shown(cluster, 3).await;
}

/// Guards against an order that is acknowledged by replicas that could not record it, and against
/// entry VMs that stop serving, while most disks are full.
#[tokio::test(flavor = "multi_thread")]
async fn test_full_majority_acknowledges_nothing_and_entries_serve_on() {
    let mut deployment = start().await;
    let leader = leader(&deployment.cluster).await;
    let other = *CONTROLS.iter().find(|vm| **vm != leader).unwrap();
    let full = [leader, other];
    wait_until_accepted(&deployment.cluster, 2).await;
    for vm in full {
        deployment.cluster.process(vm).fill_disk().unwrap();
    }
    assert!(!submit(&deployment.cluster, 3));
    wait_until_full(&deployment.cluster, &full).await;
    assert!(!submit(&deployment.cluster, 4));
    let before = deployment.cluster.status().unwrap();
    tokio::time::sleep(LONGER_THAN_A_LEASE).await;
    let mut caller = deployment.caller("caller", "fko-hakata", 1);
    let call = caller.call(&search("registry")).await;
    assert!(call.outcome().unwrap().is_answer(), "{call:?}");
    let status = deployment.cluster.status().unwrap();
    assert_eq!(status["manifest"]["version"], json!(2));
    assert_eq!(status["current"], json!(true));
    let sessions = |status: &Value| -> Vec<Value> {
        let entries = list(status, "entries").iter();
        entries.map(|entry| entry["session"].clone()).collect()
    };
    assert_eq!(sessions(&status), sessions(&before));
    let cluster = &mut deployment.cluster;
    assert!(all_run(cluster));
    for vm in full {
        cluster.process(vm).free_disk().unwrap();
    }
    wait_until_full(cluster, &[]).await;
    wait_until_accepted(cluster, 5).await;
    wait_until_caught_up(cluster).await;
    assert!(all_run(cluster));
    restart_all(cluster);
    wait_until_shown(cluster, 5).await;
}

/// Guards against a replica that ends at its start, or votes without recording it, since its disk is
/// full.
#[tokio::test(flavor = "multi_thread")]
async fn test_full_replica_starts_and_waits() {
    let mut deployment = start().await;
    let cluster = &mut deployment.cluster;
    wait_until_accepted(cluster, 2).await;
    let full = CONTROLS[2];
    for vm in CONTROLS {
        cluster.process(vm).kill().unwrap();
    }
    cluster.start_vm(full).unwrap();
    cluster.process(full).fill_disk().unwrap();
    for vm in &CONTROLS[..2] {
        cluster.start_vm(vm).unwrap();
    }
    wait_until_accepted(cluster, 3).await;
    assert!(all_run(cluster));
    cluster.process(full).free_disk().unwrap();
    wait_until_caught_up(cluster).await;
    assert!(all_run(cluster));
}
