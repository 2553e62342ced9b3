//! Measures the resources that sessions cost the leading control replica, at several session
//! counts.
//!
//! Real control processes serve simulated entry VMs: plain `Session.Sync` loops, each with
//! a connection of its own, or shared by a relay. Run it with
//! `cargo build --release --bins && cargo run --release -p heatherring-server --example control_slope`.

use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::VmName;
use heatherring_lib::view::EntryInfo;
use heatherring_lib::view::ViewChange;
use heatherring_server::proto::Renewal;
use heatherring_server::proto::StatusRequest;
use heatherring_server::proto::SubmitRequest;
use heatherring_server::proto::SyncBatchRequest;
use heatherring_server::proto::SyncReply;
use heatherring_server::proto::SyncRequest;
use heatherring_server::proto::operator_client::OperatorClient;
use heatherring_server::proto::session_client::SessionClient;
use heatherring_testutils::cluster::Cluster;
use heatherring_testutils::cluster_plan::ClusterPlan;
use heatherring_testutils::cluster_plan::VmPlan;
use heatherring_testutils::process_usage::cpu_seconds;
use heatherring_testutils::process_usage::fit;
use heatherring_testutils::process_usage::rss_kb;
use prost::Message;
use serde_json::json;
use tokio::task::JoinHandle;
use tonic::transport::Channel;

type AnyResult<T> = Result<T, Box<dyn Error + Send + Sync>>;

const SESSION_COUNTS: [usize; 4] = [100, 200, 400, 800];
const PHASE: Duration = Duration::from_secs(8);
/// Largest number of entry VMs in a present deployment.
const SESSIONS_TODAY: usize = 12;
/// Changes at one per second. Every status request costs control a quorum round, hence the pause
/// between them.
const SLOPE_SCHEDULE: ChangeSchedule = ChangeSchedule {
    changes: 8,
    interval: Duration::from_secs(1),
    status_poll: Duration::from_millis(25),
};
const RELAYS: usize = 24;
/// Time for which a relay collects renewals before it sends them as one batch.
const BATCH_INTERVAL: Duration = Duration::from_millis(500);
const SYNC_WAIT_MS: u32 = 500;

/// Counts the calls and bytes that the simulated entry VMs exchange with control.
#[derive(Debug, Default)]
struct Traffic {
    calls: AtomicU64,
    bytes: AtomicU64,
    failures: AtomicU64,
}

impl Traffic {
    fn count(&self, bytes: u64) {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// Path by which sessions reach control.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    /// Each session sends its own calls.
    Direct,
    /// Sessions go through relays, two in each of twelve regions.
    Relayed,
}

/// Resources used and calls made during one phase.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    cpu_seconds: f64,
    calls: u64,
    bytes: u64,
    failures: u64,
    seconds: f64,
}

/// Number and timing of the submitted changes, and of the status requests that wait for each to
/// settle.
#[derive(Clone, Copy, Debug)]
struct ChangeSchedule {
    changes: u64,
    interval: Duration,
    status_poll: Duration,
}

/// Result for one session count.
#[derive(Clone, Copy, Debug)]
struct Row {
    sessions: usize,
    idle: Cost,
    changing: Cost,
    rss_kb: u64,
    settle_ms_p50: f64,
    settle_ms_p99: f64,
    settle_ms_max: f64,
}

#[tokio::main]
async fn main() -> AnyResult<()> {
    let binary = Path::new("target/release/heatherring");
    if std::env::args().nth(1).as_deref() == Some("today") {
        return measure_today(binary).await;
    }
    for mode in [Mode::Direct, Mode::Relayed] {
        let mut rows = Vec::new();
        for sessions in SESSION_COUNTS {
            let row = measure(binary, sessions, mode, SLOPE_SCHEDULE).await?;
            eprintln!("{row:?}");
            rows.push(row);
        }
        println!("\n{mode:?}:\n");
        print_table(&rows);
    }
    Ok(())
}

/// Measures the time until a change is in force, at the size of a present deployment.
async fn measure_today(binary: &Path) -> AnyResult<()> {
    let schedule = ChangeSchedule {
        changes: 300,
        interval: Duration::from_millis(50),
        status_poll: Duration::from_millis(1),
    };
    let row = measure(binary, SESSIONS_TODAY, Mode::Direct, schedule).await?;
    println!(
        "{SESSIONS_TODAY} entry VMs, {} changes: p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
        schedule.changes, row.settle_ms_p50, row.settle_ms_p99, row.settle_ms_max
    );
    Ok(())
}

async fn measure(
    binary: &Path,
    sessions: usize,
    mode: Mode,
    schedule: ChangeSchedule,
) -> AnyResult<Row> {
    let plan = ClusterPlan {
        controls: vec![
            VmPlan::new("control-1", "place-1", "region-1"),
            VmPlan::new("control-2", "place-2", "region-2"),
            VmPlan::new("control-3", "place-3", "region-3"),
        ],
        ..ClusterPlan::default()
    };
    let mut cluster = Cluster::prepare(plan, binary).await?;
    cluster.start_controls().await?;
    let address = cluster.control_addresses()[0];
    let leader_vm = leader_of(address).await?;
    let pid = cluster.process(&leader_vm.0).pid();

    let traffic = Arc::new(Traffic::default());
    let stop = Arc::new(AtomicBool::new(false));
    let entry_tasks = start_simulated_entries(mode, leader_vm.1, sessions, &traffic, &stop);
    tokio::time::sleep(Duration::from_secs(3)).await;

    let before = sample(pid, &traffic)?;
    tokio::time::sleep(PHASE).await;
    let idle = sample(pid, &traffic)?.since(before);

    let before = sample(pid, &traffic)?;
    let mut settle = Vec::new();
    for version in 1..=schedule.changes {
        let started_at = Instant::now();
        let manifest = cluster.manifest(version, &services(version)).to_string();
        settle.push(submit_and_settle(leader_vm.1, manifest, schedule.status_poll).await?);
        tokio::time::sleep(schedule.interval.saturating_sub(started_at.elapsed())).await;
    }
    let changing = sample(pid, &traffic)?.since(before);
    let rss_kb = rss_kb(pid)?;
    stop.store(true, Ordering::Relaxed);
    for entry_task in entry_tasks {
        entry_task.await??;
    }
    settle.sort_by(f64::total_cmp);
    Ok(Row {
        sessions,
        idle,
        changing,
        rss_kb,
        settle_ms_p50: settle[settle.len() / 2],
        settle_ms_p99: settle[settle.len() * 99 / 100],
        settle_ms_max: settle[settle.len() - 1],
    })
}

fn start_simulated_entries(
    mode: Mode,
    leader: SocketAddr,
    sessions: usize,
    traffic: &Arc<Traffic>,
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<AnyResult<()>>> {
    match mode {
        Mode::Direct => (0..sessions)
            .map(|index| {
                let entry_task = keep_session(leader, index, traffic.clone(), stop.clone());
                tokio::spawn(entry_task)
            })
            .collect(),
        Mode::Relayed => (0..RELAYS)
            .map(|relay| {
                let indices = (relay..sessions).step_by(RELAYS).collect();
                tokio::spawn(relay_sessions(
                    leader,
                    indices,
                    traffic.clone(),
                    stop.clone(),
                ))
            })
            .collect(),
    }
}

fn services(version: u64) -> serde_json::Value {
    json!({
        "registry": {
            "operations": [{
                "name": "result", "method": "GET", "path_prefix": "/results",
                "idempotent": true, "deadline_ms": 1000 + version,
            }],
            "max_slots_per_backend": 3,
            "max_connections_per_backend": 330,
            "limits": {"place-1": {"max_in_flight": 60, "max_per_second": 600}},
        }
    })
}

async fn channel(address: SocketAddr) -> AnyResult<Channel> {
    let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{address}"))?;
    Ok(endpoint.tcp_nodelay(true).connect().await?)
}

async fn leader_of(address: SocketAddr) -> AnyResult<(String, SocketAddr)> {
    let mut operator = OperatorClient::new(channel(address).await?);
    let status = operator.status(StatusRequest {}).await?.into_inner();
    let leader = status
        .replicas
        .iter()
        .find(|replica| replica.replica == status.leader)
        .ok_or("no leader")?;
    Ok((leader.vm.clone(), leader.address.parse()?))
}

async fn submit_and_settle(
    leader: SocketAddr,
    manifest: String,
    status_poll: Duration,
) -> AnyResult<f64> {
    let mut operator = OperatorClient::new(channel(leader).await?);
    let request = SubmitRequest {
        manifest,
        operator: "slope".to_owned(),
    };
    let reply = operator.submit(request).await?.into_inner();
    let accepted_at = Instant::now();
    if reply.revision == 0 {
        return Err(format!("control did not accept the manifest: {reply:?}").into());
    }
    loop {
        let status = operator.status(StatusRequest {}).await?.into_inner();
        if status.settled_revision >= reply.revision {
            return Ok(accepted_at.elapsed().as_secs_f64() * 1e3);
        }
        tokio::time::sleep(status_poll).await;
    }
}

async fn keep_session(
    leader: SocketAddr,
    index: usize,
    traffic: Arc<Traffic>,
    stop: Arc<AtomicBool>,
) -> AnyResult<()> {
    let mut client = SessionClient::new(channel(leader).await?);
    let entry_encoded = postcard::to_stdvec(&entry_info(index))?;
    let mut request = SyncRequest {
        entry_encoded,
        ..SyncRequest::default()
    };
    while !stop.load(Ordering::Relaxed) {
        let sent = request.encoded_len();
        if let Ok(reply) = client.sync(request.clone()).await {
            let reply = reply.into_inner();
            let bytes = u64::try_from(sent + reply.encoded_len())?;
            traffic.count(bytes);
            update_request(&mut request, &reply)?;
        } else {
            traffic.failures.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    Ok(())
}

/// Opens a session for each of `indices`, and renews them in batches.
async fn relay_sessions(
    leader: SocketAddr,
    indices: Vec<usize>,
    traffic: Arc<Traffic>,
    stop: Arc<AtomicBool>,
) -> AnyResult<()> {
    let mut client = SessionClient::new(channel(leader).await?);
    let mut batch = SyncBatchRequest::default();
    for index in indices {
        let request = SyncRequest {
            entry_encoded: postcard::to_stdvec(&entry_info(index))?,
            ..SyncRequest::default()
        };
        let reply = client.sync(request).await?.into_inner();
        batch.cluster_id = reply.cluster_id;
        batch.renewals.push(Renewal {
            session: reply.session,
            applied_revision: 0,
        });
    }
    while !stop.load(Ordering::Relaxed) {
        tokio::time::sleep(BATCH_INTERVAL).await;
        let sent = batch.encoded_len();
        let Ok(reply) = client.sync_batch(batch.clone()).await else {
            traffic.failures.fetch_add(1, Ordering::Relaxed);
            continue;
        };
        let reply = reply.into_inner();
        traffic.count(u64::try_from(sent + reply.encoded_len())?);
        for renewal in &mut batch.renewals {
            renewal.applied_revision = reply.revision;
        }
    }
    Ok(())
}

fn update_request(request: &mut SyncRequest, reply: &SyncReply) -> AnyResult<()> {
    request.cluster_id.clone_from(&reply.cluster_id);
    request.session = reply.session;
    request.entry_encoded.clear();
    request.wait_ms = SYNC_WAIT_MS;
    request.known_settled = reply.settled_revision;
    if !reply.view_encoded.is_empty() {
        let view: heatherring_lib::view::ControlView = postcard::from_bytes(&reply.view_encoded)?;
        request.applied_revision = view.revision.0;
    }
    if let Some(last) = reply.changes_encoded.last() {
        let change: ViewChange = postcard::from_bytes(last)?;
        request.applied_revision = change.revision.0;
    }
    Ok(())
}

fn entry_info(index: usize) -> EntryInfo {
    // No process connects to this address: the simulated entry VMs only keep sessions.
    let unused = SocketAddr::from(([127, 0, 0, 1], 9));
    EntryInfo {
        vm: VmName::new(format!("stand-in-{index}")),
        place: PlaceName::new(format!("place-{}", index % 25)),
        region: RegionName::new(format!("region-{}", index % 12)),
        callers: unused,
        backend_servers: unused,
        peers: unused,
        forward: unused,
    }
}

/// Cumulative totals at one instant.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Instant,
    cpu_seconds: f64,
    calls: u64,
    bytes: u64,
    failures: u64,
}

impl Sample {
    fn since(self, before: Self) -> Cost {
        Cost {
            cpu_seconds: self.cpu_seconds - before.cpu_seconds,
            calls: self.calls - before.calls,
            bytes: self.bytes - before.bytes,
            failures: self.failures - before.failures,
            seconds: (self.at - before.at).as_secs_f64(),
        }
    }
}

fn sample(pid: u32, traffic: &Traffic) -> AnyResult<Sample> {
    Ok(Sample {
        at: Instant::now(),
        cpu_seconds: cpu_seconds(pid)?,
        calls: traffic.calls.load(Ordering::Relaxed),
        bytes: traffic.bytes.load(Ordering::Relaxed),
        failures: traffic.failures.load(Ordering::Relaxed),
    })
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a short run fit a float's mantissa"
)]
fn print_table(rows: &[Row]) {
    println!(
        "| sessions | idle: core % | calls/s | B/s a session | 1 change/s: core % | B/s a session | settled p50 ms | max ms | leader RSS MB | failures |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for row in rows {
        let per_session = |cost: Cost| cost.bytes as f64 / cost.seconds / row.sessions as f64;
        println!(
            "| {} | {:.2} | {:.0} | {:.0} | {:.2} | {:.0} | {:.1} | {:.1} | {:.1} | {} |",
            row.sessions,
            100.0 * row.idle.cpu_seconds / row.idle.seconds,
            row.idle.calls as f64 / row.idle.seconds,
            per_session(row.idle),
            100.0 * row.changing.cpu_seconds / row.changing.seconds,
            per_session(row.changing),
            row.settle_ms_p50,
            row.settle_ms_max,
            row.rss_kb as f64 / 1e3,
            row.idle.failures + row.changing.failures,
        );
    }
    let points: Vec<_> = rows
        .iter()
        .map(|row| {
            let core = 100.0 * row.idle.cpu_seconds / row.idle.seconds;
            (row.sessions as f64, core)
        })
        .collect();
    let line = fit(&points);
    println!();
    println!("idle core % = {line} a session");
}
