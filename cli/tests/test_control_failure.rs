//! Control replicas as real processes that are isolated, lose or damage their disk, freeze and
//! restart.

use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::time::Duration;

use heatherring_testutils::cluster::Cluster;
use heatherring_testutils::cluster_operator::list;
use heatherring_testutils::cluster_plan::ClusterPlan;
use heatherring_testutils::cluster_plan::VmPlan;
use heatherring_testutils::wait::wait_for;
use serde_json::Value;
use serde_json::json;

const NAMES: [&str; 3] = ["control-1", "control-2", "control-3"];

/// Number of log entries after which a snapshot is taken; low, so that a test takes several.
const SNAPSHOT_EVERY: u64 = 50;

/// Silence after which a replica is considered lost; well above the election timeout.
const LOST_AFTER_MS: u64 = 3_000;

/// Time after which a request has reached the socket of a frozen process.
const REQUEST_ARRIVAL_TIME: Duration = Duration::from_secs(1);

/// Exit codes of the command, as documented.
const EXIT_REFUSED: i32 = 1;
const EXIT_USER: i32 = 2;
const EXIT_UNAVAILABLE: i32 = 3;
const EXIT_INTERNAL: i32 = 70;

/// Three control replicas and the operators' commands sent to them.
struct Fleet {
    cluster: Cluster,
}

impl Fleet {
    async fn start() -> Self {
        let vm = |name: &&str| VmPlan::new(name, "alm-a", "Almaty");
        let mut plan = ClusterPlan {
            controls: NAMES.iter().map(vm).collect(),
            relayed: true,
            ..ClusterPlan::default()
        };
        let settings = &mut plan.control_settings;
        settings.insert("snapshot_every".to_owned(), json!(SNAPSHOT_EVERY));
        let binary = Path::new(env!("CARGO_BIN_EXE_heatherring"));
        let cluster = Cluster::start(plan, binary)
            .await
            .expect("the cluster starts");
        Self { cluster }
    }

    fn address(&self, name: &str) -> String {
        let position = NAMES.iter().position(|other| *other == name).unwrap();
        self.cluster.control_addresses()[position].to_string()
    }

    /// Submits a version through one replica; returns the exit code.
    fn submit(&self, name: &str, version: u64) -> i32 {
        let manifest = self.cluster.manifest(version, &json!({}));
        let file = format!("manifest-{version}.jsonc");
        let path = self
            .cluster
            .write_file(&file, &manifest.to_string())
            .unwrap();
        let path = path.display().to_string();
        let address = self.address(name);
        let output = self.cluster.operate_raw(&[
            "manifest",
            "submit",
            &path,
            "--no-wait",
            "--timeout",
            "5",
            "--control",
            &address,
        ]);
        output.unwrap().status.code().unwrap()
    }

    /// Returns the version that one replica reports as in force; `None` if it reports none.
    fn shown(&self, name: &str) -> Option<u64> {
        version_of(&self.start_show(name).wait_with_output().unwrap())
    }

    /// Starts a command that requests the version in force from one replica.
    fn start_show(&self, name: &str) -> Child {
        let address = self.address(name);
        let mut command = Command::new(env!("CARGO_BIN_EXE_heatherring"));
        command
            .args(["manifest", "show", "--output", "json", "--timeout", "4"])
            .args(["--control", &address])
            .stdout(Stdio::piped())
            .stderr(Stdio::null());
        command.spawn().unwrap()
    }

    /// Returns the status reported by one replica, which may be outdated; null if it doesn't answer.
    fn status(&self, name: &str) -> Value {
        let address = self.address(name);
        let output = self.cluster.operate_raw(&[
            "status",
            "--output",
            "json",
            "--timeout",
            "2",
            "--control",
            &address,
        ]);
        serde_json::from_slice(&output.unwrap().stdout).unwrap_or(Value::Null)
    }

    /// Waits until one of the named replicas reports itself as the leader; returns its name.
    async fn leader_among(&self, names: &[&'static str]) -> &'static str {
        wait_for("a leader", async || {
            let mut candidates = names.iter().copied();
            candidates.find(|name| {
                let status = self.status(name);
                let own = replica_of(&status, name);
                status["current"] == true && own.is_some() && own == Some(text(&status["leader"]))
            })
        })
        .await
        .unwrap()
    }

    async fn wait_until_shown(&self, name: &str, version: u64) {
        wait_for("the version is in force", async || {
            (self.shown(name) == Some(version)).then_some(())
        })
        .await
        .unwrap();
    }

    async fn wait_until_accepted(&self, name: &str, version: u64) {
        wait_for("the version is accepted", async || {
            (self.submit(name, version) == 0).then_some(())
        })
        .await
        .unwrap();
    }

    /// Replaces the replica `lost`, whose data folder is empty, by a new one on the same VM.
    async fn repair(&mut self, name: &str, lost: &str) {
        let settings = self.cluster.settings_of(name);
        let control = self.cluster.control_argument();
        wait_for("the repair is accepted", async || {
            let arguments = [
                "control",
                "repair",
                "--settings",
                &settings,
                "--control",
                &control,
                "--replaces",
                lost,
            ];
            self.cluster.operate(&arguments).ok()
        })
        .await
        .unwrap();
        self.cluster.start_vm(name).unwrap();
        self.cluster
            .wait_for_status(
                "the new replica votes and the lost one is removed",
                |status| {
                    let fresh = replica_of(status, name);
                    let voters = list(status, "replicas")
                        .iter()
                        .filter(|r| r["voter"] == true);
                    status["current"] == true
                        && voters.count() == NAMES.len()
                        && list(status, "replicas").len() == NAMES.len()
                        && fresh.is_some_and(|fresh| fresh != lost)
                },
            )
            .await
            .unwrap();
    }

    fn kill(&mut self, name: &str) {
        self.cluster.process(name).kill().unwrap();
    }

    /// Waits until a process exits by itself; returns its exit code.
    async fn exit_code(&mut self, name: &str) -> Option<i32> {
        let process = self.cluster.process(name);
        let status = process.wait(heatherring_testutils::wait::BOUND).await;
        status.unwrap().code()
    }

    fn cut_from_replicas(&mut self, name: &str) {
        for other in NAMES.iter().filter(|other| **other != name) {
            self.cluster.network.cut(name, other);
        }
    }
}

fn version_of(output: &Output) -> Option<u64> {
    let shown: Value = serde_json::from_slice(&output.stdout).ok()?;
    shown["version"].as_u64()
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

/// Returns the identity of the replica on a VM, as listed in a status report.
fn replica_of(status: &Value, name: &str) -> Option<String> {
    let replicas = list(status, "replicas");
    let replica = replicas.iter().find(|replica| replica["vm"] == name)?;
    Some(text(&replica["replica"]))
}

fn others(name: &str) -> Vec<&'static str> {
    let others = NAMES.iter().copied().filter(|other| *other != name);
    others.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn test_isolated_leader_accepts_and_shows_nothing() {
    // Guards against an isolated leader that answers "accepted" and keeps its entry VMs on an old
    // manifest, while the rest of the fleet has another one. A cut separates the leader from both
    // other replicas but not from its operators; the failure occurs if the leader relies on its own
    // view of being the leader.
    let mut fleet = Fleet::start().await;
    fleet.wait_until_accepted("control-1", 1).await;
    let leader = fleet.leader_among(&NAMES).await;
    fleet.cut_from_replicas(leader);
    assert_eq!(fleet.submit(leader, 2), EXIT_UNAVAILABLE);
    let majority = fleet.leader_among(&others(leader)).await;
    fleet.wait_until_accepted(majority, 3).await;
    assert_eq!(fleet.shown(leader), None);
    assert_eq!(fleet.status(leader)["current"], json!(false));
    fleet.cluster.network.mend();
    fleet.wait_until_shown(leader, 3).await;
    // The submission to the isolated leader was discarded, and its version is too low by now.
    assert_eq!(fleet.submit(leader, 2), EXIT_REFUSED);
    assert_eq!(fleet.shown(majority), Some(3));
}

#[tokio::test(flavor = "multi_thread")]
async fn test_lost_disk_then_second_loss_after_repair() {
    // Guards against the loss of an accepted manifest: a replica loses its disk and is repaired, and
    // right after that a second one loses its disk. The failure occurs if the first one returns
    // under its old identity without its votes, or counts towards a quorum before it has the log.
    let mut fleet = Fleet::start().await;
    for version in 1..=5 {
        fleet.wait_until_accepted("control-1", version).await;
    }
    for name in ["control-2", "control-3"] {
        let lost = replica_of(&fleet.cluster.status().unwrap(), name).unwrap();
        fleet.kill(name);
        fleet.cluster.rob(name).unwrap();
        // The process refuses to start with an empty data folder.
        fleet.cluster.start_vm(name).unwrap();
        assert_eq!(fleet.exit_code(name).await, Some(EXIT_USER));
        fleet.repair(name, &lost).await;
    }
    fleet.kill("control-1");
    let leader = fleet.leader_among(&others("control-1")).await;
    fleet.wait_until_shown(leader, 5).await;
    fleet.wait_until_accepted(leader, 6).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_damaged_log_stops_the_replica() {
    // Guards against a replica that votes twice in a term, or leads without a committed entry: a bit
    // in the middle of its log flips while it is down, and after the restart it truncates the log at
    // the damage and continues.
    let mut fleet = Fleet::start().await;
    for version in 1..=5 {
        fleet.wait_until_accepted("control-1", version).await;
    }
    let lost = replica_of(&fleet.cluster.status().unwrap(), "control-2").unwrap();
    fleet.kill("control-2");
    let folder = fleet.cluster.folder().join("control-2-data");
    flip_log_bit(&folder);
    fleet.cluster.start_vm("control-2").unwrap();
    assert_eq!(fleet.exit_code("control-2").await, Some(EXIT_INTERNAL));
    let log = fleet.cluster.process("control-2").log().to_owned();
    let log = std::fs::read_to_string(log).unwrap();
    assert!(log.contains("the log is damaged"), "{log}");
    assert!(log.contains("control repair"), "{log}");
    fleet.cluster.rob("control-2").unwrap();
    fleet.repair("control-2", &lost).await;
    fleet.wait_until_shown("control-2", 5).await;
}

fn flip_log_bit(folder: &Path) {
    let files = std::fs::read_dir(folder).unwrap();
    let paths = files.map(|file| file.unwrap().path());
    let segment = paths
        .filter(|path| path.to_string_lossy().contains("log-"))
        .max()
        .unwrap();
    let mut content = std::fs::read(&segment).unwrap();
    let middle = content.len() / 2;
    content[middle] ^= 4;
    std::fs::write(&segment, content).unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn test_restart_hundreds_of_changes_later() {
    // Guards against a replica that never catches up or loses history after a long outage: hundreds
    // of manifests are accepted while it is down, the log before them is compacted, it restarts, and
    // one of the others stops for good. The failure occurs if the entries that it needs are gone and
    // no snapshot replaces them.
    let mut fleet = Fleet::start().await;
    fleet.wait_until_accepted("control-1", 1).await;
    fleet.kill("control-3");
    let leader = fleet.leader_among(&others("control-3")).await;
    for version in 2..=300 {
        fleet.wait_until_accepted(leader, version).await;
    }
    fleet.cluster.start_vm("control-3").unwrap();
    let reached = fleet.status(leader)["revision"].as_u64().unwrap();
    fleet
        .cluster
        .wait_for_status("it has caught up", |status| {
            let mut replicas = list(status, "replicas").iter();
            let own = replicas.find(|replica| replica["vm"] == "control-3");
            own.is_some_and(|r| r["matched_revision"].as_u64() >= Some(reached))
        })
        .await
        .unwrap();
    fleet.kill(leader);
    let next = fleet.leader_among(&others(leader)).await;
    fleet.wait_until_shown(next, 300).await;
    fleet.wait_until_accepted("control-3", 301).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_whole_fleet_restarts() {
    // Guards against a fleet that runs on an older manifest after a power cut: all replicas are
    // killed at once and restarted, and "accepted" was answered before a quorum had synced the entry.
    let mut fleet = Fleet::start().await;
    for round in 1..=3 {
        fleet.wait_until_accepted("control-2", round).await;
        for name in NAMES {
            fleet.kill(name);
        }
        for name in NAMES {
            fleet.cluster.start_vm(name).unwrap();
        }
        let leader = fleet.leader_among(&NAMES).await;
        assert_eq!(fleet.shown(leader), Some(round));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn test_frozen_leader_wakes_up_deposed() {
    // Guards against an old manifest reported as in force: the leader freezes, the others elect
    // another one and accept a manifest, and the frozen one receives a request and resumes. The
    // failure occurs if it acts on a leadership that ended while it was frozen.
    let mut fleet = Fleet::start().await;
    fleet.wait_until_accepted("control-1", 1).await;
    let frozen = fleet.leader_among(&NAMES).await;
    fleet.cluster.process(frozen).freeze().unwrap();
    let leader = fleet.leader_among(&others(frozen)).await;
    fleet.wait_until_accepted(leader, 2).await;
    // The request is already in the frozen process's socket when the process resumes.
    let pending_show = fleet.start_show(frozen);
    tokio::time::sleep(REQUEST_ARRIVAL_TIME).await;
    fleet.cluster.process(frozen).thaw().unwrap();
    let shown = version_of(&pending_show.wait_with_output().unwrap());
    assert_ne!(shown, Some(1));
    fleet.wait_until_shown(frozen, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_removal_that_would_lose_the_quorum_is_refused() {
    // Guards against a fleet that can never accept a submission again: one of three replicas is
    // lost, an operator requests the removal of another, live one by mistake, and control accepts a
    // removal that leaves no majority of live replicas.
    let mut fleet = Fleet::start().await;
    fleet.wait_until_accepted("control-1", 1).await;
    fleet.kill("control-3");
    let leader = fleet.leader_among(&others("control-3")).await;
    wait_for("the loss is detected", async || {
        let status = fleet.status(leader);
        let mut replicas = list(&status, "replicas").iter();
        let lost = replicas.find(|replica| replica["vm"] == "control-3")?;
        (lost["last_heard_ms"].as_u64()? > LOST_AFTER_MS).then_some(())
    })
    .await
    .unwrap();
    let status = fleet.status(leader);
    let address = fleet.address(leader);
    let remove = |name: &str| {
        let replica = replica_of(&status, name).unwrap();
        let arguments = [
            "control",
            "remove",
            &replica,
            "--timeout",
            "5",
            "--control",
            &address,
        ];
        let output = fleet.cluster.operate_raw(&arguments).unwrap();
        output.status.code().unwrap()
    };
    let other = others("control-3").into_iter().find(|name| *name != leader);
    assert_eq!(remove(other.unwrap()), EXIT_REFUSED);
    assert_eq!(remove("control-3"), 0);
    let remaining = fleet.status(leader);
    assert_eq!(list(&remaining, "replicas").len(), 2);
    fleet.wait_until_accepted(leader, 2).await;
}
