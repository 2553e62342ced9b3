//! Measures control replicas, run as real processes that sync to disk.
//!
//! `cargo build --release --workspace --bins` first, then
//! `cargo run --release --example control_bench -- target/release/heatherring [PART]`,
//! where PART is `submissions`, `catch-up` or `fail-over`; all are measured if it is omitted.

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
const RUN_DURATION: Duration = Duration::from_secs(5);
const CHANGES: [u64; 3] = [100, 1_000, 10_000];
const LEADER_KILLS: usize = 10;
const OPERATOR_TIMEOUT: Duration = Duration::from_mins(1);
const MAX_LATENCY_US: u64 = 60_000_000;
const POLL: Duration = Duration::from_millis(2);
const SYNC_COUNT: u32 = 200;

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let Some(binary) = arguments.next().map(PathBuf::from) else {
        eprintln!("missing argument: path of the heatherring program");
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

/// Measures the time of one append of 512 bytes with a sync on this disk, for comparison.
fn measure_sync() {
    let folder = tempfile::tempdir().expect("the temporary folder is created");
    let mut file = File::create(folder.path().join("file")).expect("the file is created");
    let started_at = Instant::now();
    for _ in 0..SYNC_COUNT {
        file.write_all(&[1; 512]).expect("the write succeeds");
        file.sync_data().expect("the sync succeeds");
    }
    println!(
        "append of 512 bytes and sync: {:?} each",
        started_at.elapsed() / SYNC_COUNT
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
    OperatorClient::new(
        addresses.to_vec(),
        PeerSecurity::open_loopback(),
        OPERATOR_TIMEOUT,
    )
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
    reply.expect("control answers").outcome()
}

/// Measures submissions of concurrent operators, each of which submits again as soon as it is
/// answered. A version below one already accepted is answered "stale", but only after it went
/// through the log like the others.
async fn measure_submissions(binary: &Path) {
    let cluster = start(binary).await;
    let addresses = cluster.control_addresses();
    let version = Arc::new(AtomicU64::new(1));
    for operators in OPERATORS {
        let started_at = Instant::now();
        let mut tasks = Vec::new();
        for operator in 0..operators {
            // One connection per operator, unlike the client of the command line.
            let address = addresses[operator % addresses.len()];
            let endpoint = PeerSecurity::open_loopback().endpoint(address);
            let mut client =
                GrpcClient::new(endpoint.expect("the endpoint is valid").connect_lazy());
            let version = Arc::clone(&version);
            tasks.push(tokio::spawn(async move {
                let mut latencies = Vec::new();
                while started_at.elapsed() < RUN_DURATION {
                    let sent = Instant::now();
                    let next = version.fetch_add(1, Ordering::Relaxed);
                    client.submit(request(next)).await.expect("control answers");
                    latencies.push(sent.elapsed());
                }
                latencies
            }));
        }
        let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3)
            .expect("the histogram bounds are valid");
        for task in tasks {
            for latency in task.await.expect("the operator task completes") {
                histogram.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
            }
        }
        let seconds = started_at.elapsed().as_secs_f64();
        #[expect(
            clippy::cast_precision_loss,
            reason = "the count of a run of a few seconds is far below 2^53"
        )]
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
    cluster
        .process("control-3")
        .kill()
        .expect("the process is killed");
    submit_all(&addresses[..2], 2, changes).await;
    let started_at = Instant::now();
    cluster.start_vm("control-3").expect("the process starts");
    wait_for_status(&addresses[..2], |status| has_caught_up(status, "control-3")).await;
    println!(
        "{changes} changes: a replica that missed them has caught up after {:?}",
        started_at.elapsed()
    );

    for name in NAMES {
        cluster.process(name).kill().expect("the process is killed");
    }
    let started_at = Instant::now();
    for name in NAMES {
        cluster.start_vm(name).expect("the process starts");
    }
    wait_for_status(&addresses, |status| status.manifest_version == changes).await;
    println!(
        "{changes} changes: a restarted fleet shows the latest after {:?}",
        started_at.elapsed()
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

/// Measures the time from the kill of a leader to the next accepted submission, repeatedly.
async fn measure_fail_over(binary: &Path) {
    let mut cluster = start(binary).await;
    let addresses = cluster.control_addresses();
    let mut version = 1;
    let mut outages = Vec::new();
    for _ in 0..LEADER_KILLS {
        let status = client(&addresses)
            .status()
            .await
            .expect("control reports its status");
        let mut replicas = status.replicas.iter();
        let leader = replicas.find(|replica| replica.replica == status.leader);
        let leader = leader.expect("a leader is reported").vm.clone();
        let survivors: Vec<_> = addresses
            .iter()
            .zip(NAMES)
            .filter(|(_, name)| **name != leader)
            .map(|(address, _)| *address)
            .collect();
        submit_all(&survivors, version, version).await;
        cluster
            .process(&leader)
            .kill()
            .expect("the process is killed");
        let started_at = Instant::now();
        submit_all(&survivors, version + 1, version + 1).await;
        outages.push(started_at.elapsed());
        version += 2;
        cluster.start_vm(&leader).expect("the process starts");
        wait_for_status(&addresses, |status| has_caught_up(status, &leader)).await;
    }
    outages.sort();
    println!(
        "from a leader's death to the next accepted submission, {LEADER_KILLS} deaths: \
         shortest {:?}, median {:?}, longest {:?}",
        outages[0],
        outages[LEADER_KILLS / 2],
        outages[LEADER_KILLS - 1],
    );
}
