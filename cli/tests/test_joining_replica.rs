//! A control replica that joins, over real processes.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use heatherring_testutils::config_record::Vm;
use heatherring_testutils::direct_cluster::DirectCluster;
use heatherring_testutils::direct_cluster::DirectPlan;
use heatherring_testutils::process::Process;
use heatherring_testutils::wait::wait_for;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const CONTROLS: usize = 4;

/// The replica that joins, which is no founder.
const JOINING: usize = 3;

fn path(cluster: &DirectCluster, ending: &str) -> PathBuf {
    let vm = &cluster.controls[JOINING].plan.vm;
    cluster.folder().join(format!("{vm}{ending}"))
}

/// Returns how often the replica has logged an event.
fn count(cluster: &DirectCluster, event: &str) -> usize {
    let text = std::fs::read_to_string(path(cluster, ".log")).unwrap_or_default();
    let lines = text.lines().map(serde_json::from_str::<Value>);
    let events = lines.filter(|line| {
        line.as_ref()
            .is_ok_and(|line| line["kvs"]["event"] == event)
    });
    events.count()
}

async fn until_counted(cluster: &DirectCluster, event: &str, number: usize) {
    wait_for(event, async || {
        (count(cluster, event) == number).then_some(())
    })
    .await
    .unwrap();
}

/// Starts the replica that joins so that its disk can be filled.
fn start_fillable(cluster: &mut DirectCluster, binary: &Path) {
    let vm = &cluster.controls[JOINING];
    let settings = path(cluster, ".jsonc").display().to_string();
    let arguments = ["control", "--settings", &settings];
    let log = path(cluster, ".log");
    let process = Process::start_fillable(&vm.plan.vm, binary, &arguments, &log).unwrap();
    let ip = vm.orders().ip();
    cluster
        .network
        .register(process.pid(), Some(ip), &vm.plan.vm);
    *cluster.process(Vm::Control(JOINING)) = Some(process);
}

/// Starts a cluster, one replica of which loses its disk and comes back with settings that name `seed`
/// alone. Returns its former settings.
async fn start_joining(seed: SocketAddr) -> (DirectCluster, String) {
    let plan = DirectPlan {
        regions: vec!["east".to_owned()],
        controls: CONTROLS,
        entries: 0,
        between_regions: Duration::from_millis(1),
    };
    let binary = Path::new(env!("CARGO_BIN_EXE_heatherring"));
    let mut cluster = DirectCluster::start(&plan, binary).await.unwrap();
    until_counted(&cluster, "control_started", 1).await;
    cluster.kill_control(JOINING).unwrap();
    std::fs::remove_dir_all(path(&cluster, "")).unwrap();
    let former = std::fs::read_to_string(path(&cluster, ".jsonc")).unwrap();
    let mut settings: Value = serde_json::from_str(&former).unwrap();
    settings["formation"]["seeds"] = json!([seed]);
    std::fs::write(path(&cluster, ".jsonc"), settings.to_string()).unwrap();
    start_fillable(&mut cluster, binary);
    (cluster, former)
}

/// Guards against a replica that waits for good, since those that its settings named at its start are
/// gone.
#[tokio::test(flavor = "multi_thread")]
async fn test_joining_replica_asks_those_that_its_settings_name_by_now() {
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (cluster, settings) = start_joining(silent.local_addr().unwrap()).await;
    let _asked = silent.accept().await.unwrap();
    std::fs::write(path(&cluster, ".jsonc"), settings).unwrap();
    until_counted(&cluster, "joined", 2).await;
    until_counted(&cluster, "control_started", 2).await;
}

/// Returns the first line of the answer to a read of the manifest; `None` without an answer.
async fn read_manifest(address: SocketAddr) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let req = b"GET /v1/routes HTTP/1.1\r\nhost: registry.example\r\n\r\n";
    stream.write_all(req).await.ok()?;
    let mut lines = BufReader::new(stream).lines();
    lines.next_line().await.ok()?
}

/// Guards against operators that get no connection while the disk of a replica has no room for its
/// data folder.
#[tokio::test(flavor = "multi_thread")]
async fn test_joining_replica_answers_while_its_disk_is_full() {
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (mut cluster, settings) = start_joining(silent.local_addr().unwrap()).await;
    let _asked = silent.accept().await.unwrap();
    let joining = cluster.process(Vm::Control(JOINING)).as_ref().unwrap();
    joining.fill_disk().unwrap();
    std::fs::write(path(&cluster, ".jsonc"), settings).unwrap();
    until_counted(&cluster, "disk_full", 1).await;
    let orders = cluster.controls[JOINING].orders();
    let answer = wait_for("an answer", async || read_manifest(orders).await);
    assert_eq!(answer.await.unwrap(), "HTTP/1.1 503 Service Unavailable");
    assert_eq!(count(&cluster, "control_started"), 1);
    let joining = cluster.process(Vm::Control(JOINING)).as_ref().unwrap();
    joining.free_disk().unwrap();
    until_counted(&cluster, "control_started", 2).await;
}
