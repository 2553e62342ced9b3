//! Measures control replicas as real processes with real syncs.
//!
//! `cargo build --release --workspace --bins` first, then
//! `cargo run --release --example control_bench -- target/release/heatherring [PART]`,
//! where PART is `submissions`, `catch-up` or `fail-over`; without it all are measured.

use std::fs::File;
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use heatherring_server::operator_client::OperatorClient;
use heatherring_server::peer_security::PeerSecurity;
use heatherring_server::proto::StatusReply;
use heatherring_server::proto::SubmitOutcome;
use heatherring_server::proto::SubmitRequest;
use heatherring_server::proto::operator_client::OperatorClient as GrpcClient;
use heatherring_testutils::cluster::Cluster;
use heatherring_testutils::cluster_plan::ClusterPlan;
use heatherring_testutils::cluster_plan::VmPlan;
use serde_json::json;

const NAMES: [&str; 3] = ["control-1", "control-2", "control-3"];
const OPERATORS: [usize; 4] = [1, 4, 16, 64];
const RUN: Duration = Duration::from_secs(5);
const CHANGES: [u64; 3] = [100, 1_000, 10_000];
const DEATHS: usize = 10;
const PATIENCE: Duration = Duration::from_mins(1);
const LONGEST_US: u64 = 60_000_000;
const POLL: Duration = Duration::from_millis(2);
const SYNCS: u32 = 200;

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let Some(binary) = arguments.next().map(PathBuf::from) else {
        eprintln!("the path of the heatherring program is missing");
        return ExitCode::FAILURE;
    };
    let part = arguments.next();
    let wanted = |name: &str| part.as_deref().is_none_or(|part| part == name);
    measure_sync();
    if wanted("submissions") {
        measure_submissions(&binary).await;
    }
    if wanted("catch-up") {
        for changes in CHANGES {
            measure_catch_up(&binary, changes).await;
        }
    }
    if wanted("fail-over") {
        measure_fail_over(&binary).await;
    }
    ExitCode::SUCCESS
}

/// Measures what one small append and sync cost on this disk, for comparison.
fn measure_sync() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut file = File::create(folder.path().join("file")).expect("a file");
    let begun = Instant::now();
    for _ in 0..SYNCS {
        file.write_all(&[1; 512]).expect("a write");
        file.sync_data().expect("a sync");
    }
    println!(
        "append of 512 bytes and sync: {:?} each",
        begun.elapsed() / SYNCS
    );
}

async fn start(binary: &Path) -> Cluster {
    let vm = |name: &&str| VmPlan::new(name, "alm-a", "Almaty");
    let plan = ClusterPlan {
        controls: NAMES.iter().map(vm).collect(),
        ..ClusterPlan::default()
    };
    let started = Cluster::start(plan, binary).await;
    started.expect("the cluster starts")
}

fn client(addresses: &[SocketAddr]) -> OperatorClient {
    OperatorClient::new(addresses.to_vec(), PeerSecurity::open_loopback(), PATIENCE)
}

fn request(version: u64) -> SubmitRequest {
    let manifest = json!({
        "version": version, "deployment": "bench",
        "places": { "alm-a": { "region": "Almaty" } }, "services": {},
    });
    SubmitRequest {
        manifest: manifest.to_string(),
        operator: "bench".to_owned(),
    }
}

async fn submit(client: &OperatorClient, version: u64) -> SubmitOutcome {
    let reply = client.submit(&request(version)).await;
    reply.expect("an answer").outcome()
}

/// Lets operators submit as fast as they are answered. A version that another operator
/// has overtaken is answered "stale", after it went through the log like the others.
async fn measure_submissions(binary: &Path) {
    let cluster = start(binary).await;
    let addresses = cluster.control_addresses();
    let version = Arc::new(AtomicU64::new(1));
    for operators in OPERATORS {
        let begun = Instant::now();
        let mut tasks = Vec::new();
        for operator in 0..operators {
            // One connection each, unlike the client of the command line.
            let address = addresses[operator % addresses.len()];
            let endpoint = PeerSecurity::open_loopback().endpoint(address);
            let mut client = GrpcClient::new(endpoint.expect("an endpoint").connect_lazy());
            let version = Arc::clone(&version);
            tasks.push(tokio::spawn(async move {
                let mut latencies = Vec::new();
                while begun.elapsed() < RUN {
                    let sent = Instant::now();
                    let next = version.fetch_add(1, Ordering::Relaxed);
                    client.submit(request(next)).await.expect("an answer");
                    latencies.push(sent.elapsed());
                }
                latencies
            }));
        }
        let mut histogram =
            Histogram::<u64>::new_with_bounds(1, LONGEST_US, 3).expect("a histogram");
        for task in tasks {
            for latency in task.await.expect("an operator") {
                histogram.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
            }
        }
        let seconds = begun.elapsed().as_secs_f64();
        #[expect(clippy::cast_precision_loss, reason = "a count of seconds' work")]
        let rate = histogram.len() as f64 / seconds;
        println!(
            "{operators} operators at once: {rate:.0} submissions/s, p50 {} us, p99 {} us",
            histogram.value_at_quantile(0.5),
            histogram.value_at_quantile(0.99),
        );
    }
}

async fn submit_all(addresses: &[SocketAddr], first: u64, last: u64) {
    let client = client(addresses);
    for version in first..=last {
        submit(&client, version).await;
    }
}

async fn measure_catch_up(binary: &Path, changes: u64) {
    let mut cluster = start(binary).await;
    let addresses = cluster.control_addresses();
    submit_all(&addresses, 1, 1).await;
    cluster.process("control-3").kill().expect("a kill");
    submit_all(&addresses[..2], 2, changes).await;
    let begun = Instant::now();
    cluster.start_vm("control-3").expect("a start");
    wait_for_status(&addresses[..2], |status| has_caught_up(status, "control-3")).await;
    println!(
        "{changes} changes: a replica that missed them has caught up after {:?}",
        begun.elapsed()
    );

    for name in NAMES {
        cluster.process(name).kill().expect("a kill");
    }
    let begun = Instant::now();
    for name in NAMES {
        cluster.start_vm(name).expect("a start");
    }
    wait_for_status(&addresses, |status| status.manifest_version == changes).await;
    println!(
        "{changes} changes: a restarted fleet shows the latest after {:?}",
        begun.elapsed()
    );
}

fn has_caught_up(status: &StatusReply, name: &str) -> bool {
    let mut replicas = status.replicas.iter();
    let replica = replicas.find(|replica| replica.vm == name);
    replica.is_some_and(|replica| replica.matched_revision >= status.revision)
}

async fn wait_for_status(addresses: &[SocketAddr], holds: impl Fn(&StatusReply) -> bool) {
    let client = client(addresses);
    loop {
        if let Ok(status) = client.status().await
            && status.current
            && holds(&status)
        {
            return;
        }
        tokio::time::sleep(POLL).await;
    }
}

/// Kills the leader again and again while an operator submits one version after another.
async fn measure_fail_over(binary: &Path) {
    let mut cluster = start(binary).await;
    let addresses = cluster.control_addresses();
    let mut version = 1;
    let mut gaps = Vec::new();
    for _ in 0..DEATHS {
        let status = client(&addresses).status().await.expect("a report");
        let mut replicas = status.replicas.iter();
        let leader = replicas.find(|replica| replica.replica == status.leader);
        let leader = leader.expect("a leader").vm.clone();
        let survivors: Vec<_> = addresses
            .iter()
            .zip(NAMES)
            .filter(|(_, name)| **name != leader)
            .map(|(address, _)| *address)
            .collect();
        submit_all(&survivors, version, version).await;
        cluster.process(&leader).kill().expect("a kill");
        let begun = Instant::now();
        submit_all(&survivors, version + 1, version + 1).await;
        gaps.push(begun.elapsed());
        version += 2;
        cluster.start_vm(&leader).expect("a start");
        wait_for_status(&addresses, |status| has_caught_up(status, &leader)).await;
    }
    gaps.sort();
    println!(
        "from a leader's death to the next accepted submission, {DEATHS} deaths: \
         shortest {:?}, median {:?}, longest {:?}",
        gaps[0],
        gaps[DEATHS / 2],
        gaps[DEATHS - 1],
    );
}
