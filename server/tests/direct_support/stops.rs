//! What tests of planned stops share: routes whose callers wait for longer than the grace time,
//! and requests that are written to a connection byte by byte.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::route_manifest::RouteChange;
use heatherring_lib::route_manifest::RouteContent;
use heatherring_testutils::wait::wait_for;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use super::Deployment;
use super::Entry;
use super::HOST;
use super::backend::Backend;
use super::route_change;
use super::until_served;

/// Time until a stop by force. Requests are taken for 3.6 s of it; what follows leaves the
/// tests time to act in also on a busy machine.
pub const GRACE: Duration = Duration::from_secs(8);

/// Time after the request to stop at which what is held up in the tests can begin. The process
/// ends 1.1 s later, and half of [`OBJECTIVE`] is the least that its work is expected to take.
pub const HELD_UP: Duration = Duration::from_millis(6_500);

/// Time between two announcements of the backend server.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// Latency objective of all routes.
const OBJECTIVE: Duration = Duration::from_secs(3);

/// Starts an entry VM and a backend server that it knows.
pub async fn start(deployment: &mut Deployment) -> (Entry, Backend) {
    let entry = deployment.start_entry_with_grace("entry-1", GRACE);
    let backend = deployment.start_backend("backend-1").await;
    deployment.submit(&patient_routes()).await;
    deployment.announce(&backend, 1, "Ready").await;
    until_served(&entry).await;
    (entry, backend)
}

/// Routes whose callers wait for longer than the grace time.
pub fn patient_routes() -> RouteChange {
    let mut change = route_change(1, 0);
    if let RouteContent::Whole { routes, .. } = &mut change.content {
        for route in routes.values_mut() {
            let route = Arc::make_mut(route);
            route.timeout = GRACE * 2;
            route.latency_objective = OBJECTIVE;
        }
    }
    change
}

pub async fn connect(entry: &Entry) -> TcpStream {
    let callers = entry.settings.listen.callers;
    TcpStream::connect(callers).await.unwrap()
}

pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: {HOST}\r\nheatherring-request-id: id-{path}\r\n\r\n")
}

pub fn post(path: &str, body: &str) -> String {
    let length = format!("content-length: {}\r\n\r\n", body.len());
    let head = get(path).replace("GET", "POST");
    head.replace("\r\n\r\n", &format!("\r\n{length}")) + body
}

/// Reads until `end` has come.
pub async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut bytes = Vec::new();
    while !String::from_utf8_lossy(&bytes).contains(end) {
        assert!(stream.read_buf(&mut bytes).await.unwrap() > 0, "{bytes:?}");
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads until the other side closes or breaks the connection.
pub async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    // What a broken connection brought before counts as well.
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Has the backend server say that it is there while `running` runs: control takes one that is
/// silent for some seconds for lost.
pub async fn announced<T>(
    deployment: &Deployment,
    backend: &Backend,
    running: impl Future<Output = T>,
) -> T {
    let announcing = async {
        for sequence in 2.. {
            deployment.announce(backend, sequence, "Ready").await;
            tokio::time::sleep(HEARTBEAT).await;
        }
    };
    tokio::select! {
        result = running => result,
        () = announcing => unreachable!("announcements don't end"),
    }
}

/// Waits until no further connections are taken: the stop.
pub async fn until_taking_ends(callers: SocketAddr) {
    wait_for("an end of new connections", async || {
        let connected = TcpStream::connect(callers).await;
        connected.is_err().then_some(())
    })
    .await
    .unwrap();
}
