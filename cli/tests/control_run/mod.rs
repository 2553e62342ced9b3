//! Runs simulated operators and entry VMs against real control replicas while faults are
//! injected, and records the answers that they received.

mod entry_client;
mod fault_schedule;
mod operator_client;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use heatherring_server::proto::HistoryRequest;
use heatherring_server::proto::operator_client::OperatorClient;
use heatherring_testutils::cluster_error::ClusterError;
use heatherring_testutils::control_cluster::ControlCluster;
use heatherring_testutils::control_history::ControlHistory;
use heatherring_testutils::control_history::Shown;
use heatherring_testutils::wait::wait_for;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

pub use fault_schedule::Fault;

const REPLICAS: usize = 3;
const OPERATORS: u64 = 4;
const ENTRIES: u64 = 2;

/// Longest time for which a client waits for one answer. Shorter than most faults, because a
/// client that is blocked on an isolated replica makes no calls that could reveal a violation.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Limit on the accepted manifests read back at the end; above the number that a run produces.
const FINAL_RECORDS: u32 = 1_000;

/// Measures microseconds since the start of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunClock(Instant);

impl RunClock {
    fn now_us(self) -> u64 {
        self.us(Instant::now())
    }

    fn us(self, at: Instant) -> u64 {
        let since_start = at.saturating_duration_since(self.0);
        u64::try_from(since_start.as_micros()).unwrap_or(u64::MAX)
    }
}

/// The state that simulated operators and entry VMs have in common.
#[derive(Clone, Debug)]
struct Client {
    name: String,
    addresses: Vec<SocketAddr>,
    clock: RunClock,
    rng: ChaCha8Rng,
    stop: watch::Receiver<bool>,
}

impl Client {
    fn is_stopped(&self) -> bool {
        *self.stop.borrow()
    }
}

/// Runs clients while `faults` are injected one after another; returns what they recorded.
pub async fn run(
    binary: &Path,
    seed: u64,
    faults: &[Fault],
) -> Result<ControlHistory, ClusterError> {
    println!("seed {seed}");
    let mut cluster = ControlCluster::start(binary, REPLICAS).await?;
    let (stop, stopped) = watch::channel(false);
    let clock = RunClock(Instant::now());
    let client = |kind: &str, number: u64| Client {
        name: format!("{kind}-{number}"),
        addresses: cluster.addresses(),
        clock,
        rng: ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000) + number),
        stop: stopped.clone(),
    };
    let mut operators = JoinSet::new();
    for number in 0..OPERATORS {
        operators.spawn(operator_client::run(client("operator", number)));
    }
    let mut entries = JoinSet::new();
    for number in 0..ENTRIES {
        entries.spawn(entry_client::run(client("entry", OPERATORS + number)));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for fault in faults {
        println!("{} us: {fault:?}", clock.now_us());
        fault_schedule::apply(&mut cluster, fault, &mut rng).await?;
    }
    fault_schedule::heal(&mut cluster).await?;
    stop.send_replace(true);
    let mut history = ControlHistory::default();
    for operations in operators.join_all().await {
        history.operations.extend(operations);
    }
    for record in entries.join_all().await {
        history.operations.extend(record.operations);
        history.sights.extend(record.sights);
        history.acting.extend(record.acting);
        history.settled.extend(record.settled);
    }
    history.final_records = final_records(&mut cluster).await?;
    Ok(history)
}

/// Reads the accepted manifests back from each majority, with each replica stopped in turn.
async fn final_records(
    cluster: &mut ControlCluster,
) -> Result<BTreeMap<String, Vec<Shown>>, ClusterError> {
    let mut finals = BTreeMap::new();
    for missing in 0..cluster.len() {
        cluster.kill(missing)?;
        let mut addresses = cluster.addresses();
        addresses.remove(missing);
        let records = wait_for("a majority's final report", async || {
            let mut reports = Vec::new();
            for address in &addresses {
                reports.extend(records(*address).await.ok());
            }
            reports.pop()
        });
        let majority = format!("all but {}", cluster.vms()[missing]);
        finals.insert(majority, records.await?);
        cluster.restart(missing)?;
        fault_schedule::heal(cluster).await?;
    }
    Ok(finals)
}

async fn records(address: SocketAddr) -> Result<Vec<Shown>, tonic::Status> {
    let request = HistoryRequest {
        limit: FINAL_RECORDS,
    };
    let reply = OperatorClient::new(channel(address))
        .history(request)
        .await?;
    let records = reply.into_inner().records.into_iter();
    Ok(records
        .map(|record| Shown {
            version: record.version,
            digest: record.digest.into(),
            revision: record.revision,
        })
        .collect())
}

fn channel(address: SocketAddr) -> Channel {
    let endpoint = Endpoint::from_shared(format!("http://{address}"));
    let endpoint = endpoint.expect("a socket address forms a valid URI");
    endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .connect_lazy()
}
