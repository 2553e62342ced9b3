//! Helpers for tests of planned stops: routes with timeouts beyond the grace time, and requests
//! that a test writes to a connection in pieces.

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

/// Grace time of a planned stop, after which it is cut short. New requests are accepted for 3.6 s
/// of it; the rest is long enough for the tests' steps even on a busy machine.
pub const GRACE: Duration = Duration::from_secs(8);

/// Time after the stop request at which a delayed request becomes ready to be dispatched. The
/// process ends 1.1 s later, which is too short: a request is expected to take at least half of
/// [`OBJECTIVE`].
pub const LATE_START_DELAY: Duration = Duration::from_millis(6_500);

/// Interval between two announcements of the backend server.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// Latency objective of all routes.
const OBJECTIVE: Duration = Duration::from_secs(3);

/// Starts an entry VM and a backend server with [`long_timeout_routes`], and waits until requests
/// are served.
pub async fn start(deployment: &mut Deployment) -> (Entry, Backend) {
    let entry = deployment.start_entry_with_grace("entry-1", GRACE);
    let backend = deployment.start_backend("backend-1").await;
    deployment.submit(&long_timeout_routes()).await;
    deployment.announce(&backend, 1, "Ready").await;
    until_served(&entry).await;
    (entry, backend)
}

/// Returns routes whose timeout is longer than the grace time.
pub fn long_timeout_routes() -> RouteChange {
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

/// Reads until the bytes read contain `end`.
pub async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut bytes = Vec::new();
    while !String::from_utf8_lossy(&bytes).contains(end) {
        assert!(stream.read_buf(&mut bytes).await.unwrap() > 0, "{bytes:?}");
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads until the peer closes or resets the connection.
pub async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    // What arrived before a reset counts as well.
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Keeps announcing the backend server while `running` runs: control considers one that sends no
/// announcement for some seconds lost.
pub async fn with_announcements<T>(
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
        () = announcing => unreachable!("the announcement loop does not end"),
    }
}

/// Waits until the entry VM refuses new connections, the point of a planned stop from which it
/// accepts no more requests.
pub async fn until_listener_closes(callers: SocketAddr) {
    wait_for("the listener to close", async || {
        let connected = TcpStream::connect(callers).await;
        connected.is_err().then_some(())
    })
    .await
    .unwrap();
}
