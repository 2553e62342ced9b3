//! A control replica that joins, with replicas of its settings that are gone.

mod control_support;
mod direct_support;

use std::net::SocketAddr;
use std::time::Duration;

use control_support::channel;
use direct_support::Deployment;
use direct_support::Replica;
use direct_support::call;
use direct_support::request;
use heatherring_lib::settings::ControlSettings;
use heatherring_server::data_folder::IDENTITY_FILE;
use heatherring_server::proto::PeerMessage;
use heatherring_server::proto::StatusRequest;
use heatherring_server::proto::operator_client::OperatorClient;
use heatherring_server::proto::replication_client::ReplicationClient;
use heatherring_testutils::loopback::CONTROL_PORT;
use heatherring_testutils::wait::wait_for;
use http::Method;
use http::StatusCode;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tonic::Code;
use tonic::Status;

/// So many that asking one after another takes longer than [`wait_for`] waits.
const SILENT: usize = 24;

/// Binds addresses that take connections and never answer.
async fn bind_silent(deployment: &mut Deployment, count: usize) -> Vec<TcpListener> {
    let mut silent = Vec::new();
    for _ in 0..count {
        let address = SocketAddr::new(deployment.block.next_vm(), CONTROL_PORT);
        silent.push(TcpListener::bind(address).await.unwrap());
    }
    silent
}

/// Returns the settings of a replica that joins by asking `seeds`.
fn joining(deployment: &mut Deployment, seeds: Vec<SocketAddr>) -> ControlSettings {
    let listen = SocketAddr::new(deployment.block.next_vm(), CONTROL_PORT);
    let mut settings = deployment.control_settings(listen);
    let formation = settings.formation.as_mut().unwrap();
    formation.first_start = false;
    formation.seeds = seeds;
    settings
}

/// Passes connections on to `target` once `open` says so.
async fn relay(listener: TcpListener, target: SocketAddr, mut open: watch::Receiver<bool>) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        open.wait_for(|open| *open).await.unwrap();
        tokio::spawn(async move {
            let mut onward = TcpStream::connect(target).await.unwrap();
            tokio::io::copy_bidirectional(&mut stream, &mut onward).await
        });
    }
}

/// A replica that joins once its one seed is reached.
struct Joining {
    replica: Replica,
    open: watch::Sender<bool>,
    _deployment: Deployment,
}

impl Joining {
    async fn start() -> Self {
        let mut deployment = Deployment::start(3);
        let seed = bind_silent(&mut deployment, 1).await.remove(0);
        let settings = joining(&mut deployment, vec![seed.local_addr().unwrap()]);
        let (open, opened) = watch::channel(false);
        tokio::spawn(relay(seed, deployment.replicas[1].settings.listen, opened));
        Self {
            replica: Replica::start(settings),
            open,
            _deployment: deployment,
        }
    }

    fn listen(&self) -> SocketAddr {
        self.replica.settings.listen
    }

    fn look_ups(&self) -> SocketAddr {
        let direct = self.replica.settings.direct.as_ref();
        direct.unwrap().look_ups.unwrap()
    }

    /// Waits until an operator's call over gRPC is refused by an answer.
    async fn until_refused(&self) {
        wait_for("a refusal", async || {
            let status = operator_status(self.listen()).await?;
            let refused = status.code() == Code::Unavailable;
            (refused && status.message().contains("has not joined yet")).then_some(())
        })
        .await
        .unwrap();
    }
}

/// Returns the failure of an operator's call over gRPC; `None` without an answer, and after a success.
async fn operator_status(address: SocketAddr) -> Option<Status> {
    let mut client = OperatorClient::new(channel(address));
    let answer = client.status(StatusRequest {});
    let answer = tokio::time::timeout(Duration::from_secs(5), answer);
    answer.await.ok()?.err()
}

async fn until_joined(settings: &ControlSettings) {
    let identity = settings.data_folder.join(IDENTITY_FILE);
    wait_for("the replica to join", async || {
        identity.exists().then_some(())
    })
    .await
    .unwrap();
}

/// Guards against a replica that joins too late, since seeds that are gone are asked before a live one.
#[tokio::test(flavor = "multi_thread")]
async fn test_joining_is_not_delayed_by_seeds_that_are_gone() {
    let mut deployment = Deployment::start(3);
    let silent = bind_silent(&mut deployment, SILENT).await;
    let refusing = SocketAddr::new(deployment.block.next_vm(), CONTROL_PORT);
    let mut seeds: Vec<SocketAddr> = silent.iter().map(|l| l.local_addr().unwrap()).collect();
    seeds.push(refusing);
    seeds.push(deployment.replicas[2].settings.listen);
    let settings = joining(&mut deployment, seeds);
    let _replica = Replica::start(settings.clone());
    until_joined(&settings).await;
}

/// Guards against orders, announcements and look-ups that get no connection while a replica joins.
#[rstest]
#[case::read(Method::GET, "/v1/routes", false)]
#[case::order(Method::POST, "/v1/routes", false)]
#[case::announcement(Method::POST, "/v1/announcements", false)]
#[case::look_up(Method::GET, "/v1/entries?host=h&region=fukuoka", true)]
#[tokio::test(flavor = "multi_thread")]
async fn test_joining_replica_refuses_with_an_answer(
    #[case] method: Method,
    #[case] path: &str,
    #[case] looks_up: bool,
) {
    let joining = Joining::start().await;
    let address = if looks_up {
        joining.look_ups()
    } else {
        joining.replica.api_address()
    };
    let answer = wait_for("an answer", async || {
        call(address, request(method.clone(), path, "{}")).await
    })
    .await
    .unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.retry_after.as_deref(), Some("1"));
    joining.open.send_replace(true);
    until_joined(&joining.replica.settings).await;
    wait_for("an answer of the replica itself", async || {
        let answer = call(address, request(Method::GET, path, "")).await?;
        answer.retry_after.is_none().then_some(())
    })
    .await
    .unwrap();
}

/// Guards against calls that get no answer while a replica joins: its listener took connections, and
/// nobody read from them.
#[tokio::test(flavor = "multi_thread")]
async fn test_joining_replica_refuses_calls_of_operators() {
    let joining = Joining::start().await;
    joining.until_refused().await;
    joining.open.send_replace(true);
    wait_for("an answer of the replica itself", async || {
        control_support::status(joining.listen()).await
    })
    .await
    .unwrap();
}

/// Guards against a first message of the leader that is refused, after which the next one comes late: it
/// sends to a replica once that is admitted.
#[tokio::test(flavor = "multi_thread")]
async fn test_joining_replica_takes_messages_that_came_before_it_had_joined() {
    let joining = Joining::start().await;
    joining.until_refused().await;
    let mut client = ReplicationClient::new(channel(joining.listen()));
    let delivering = tokio::spawn(async move { client.deliver(PeerMessage::default()).await });
    joining.until_refused().await;
    joining.open.send_replace(true);
    let answer = delivering.await.unwrap();
    // The replica itself finds that the message names no cluster.
    assert_eq!(answer.unwrap_err().code(), Code::FailedPrecondition);
}

/// Guards against a replica that can't be stopped while it joins, or keeps its addresses.
#[tokio::test(flavor = "multi_thread")]
async fn test_joining_replica_stops_and_frees_its_addresses() {
    let joining = Joining::start().await;
    joining.until_refused().await;
    let settings = joining.replica.stop().await;
    let direct = settings.direct.unwrap();
    wait_for("the addresses to be free", async || {
        TcpListener::bind(settings.listen).await.ok()?;
        TcpListener::bind(direct.listen).await.ok()?;
        TcpListener::bind(direct.look_ups?).await.ok()
    })
    .await
    .unwrap();
}
