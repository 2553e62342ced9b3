//! Calls of backend servers to control, and callers that send requests to entry VMs all the time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Host of all requests.
pub const HOST: &str = "registry.example";

/// Time after which a backend server gives up a call to control.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a caller gives up a request.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause of a caller whose connection broke.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Sends a call to a control replica; returns its status, or `None` without a timely answer.
pub async fn call(
    replica: SocketAddr,
    method: Method,
    path: &str,
    body: String,
) -> Option<StatusCode> {
    let calling = async {
        let mut sender = connect(replica).await?;
        send(&mut sender, method, path, "call", body).await
    };
    timeout(CALL_TIMEOUT, calling).await.ok()?
}

async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    // Ends together with its sender.
    tokio::spawn(connection);
    Some(sender)
}

async fn send(
    sender: &mut SendRequest<Full<Bytes>>,
    method: Method,
    path: &str,
    id: &str,
    body: String,
) -> Option<StatusCode> {
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header("heatherring-request-id", id)
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    sender.ready().await.ok()?;
    let response = sender.send_request(req).await.ok()?;
    let status = response.status();
    response.into_body().collect().await.ok()?;
    Some(status)
}

/// Counts the requests of all callers.
#[derive(Debug, Default)]
pub struct CallerCounts {
    sent: AtomicU64,
    served: AtomicU64,
}

impl CallerCounts {
    /// Returns how many requests were sent, and how many of them served.
    #[must_use]
    pub fn totals(&self) -> (u64, u64) {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        (read(&self.sent), read(&self.served))
    }
}

/// A caller of one entry VM.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Name of the entry VM; part of the path of each request.
    pub entry: String,
    /// Where the entry VM takes requests.
    pub address: SocketAddr,
    /// Distinguishes the callers of an entry VM.
    pub number: usize,
    /// Time between two requests.
    pub pause: Duration,
    /// What to count.
    pub counts: Arc<CallerCounts>,
}

impl Caller {
    /// Sends requests over one connection, which is opened again when it breaks.
    pub async fn run(self) {
        let mut sender = None;
        for request in 0_u64.. {
            if sender.is_none() {
                sender = timeout(CALLER_TIMEOUT, connect(self.address))
                    .await
                    .unwrap_or(None);
            }
            let Some(open) = &mut sender else {
                tokio::time::sleep(RECONNECT_PAUSE).await;
                continue;
            };
            self.counts.sent.fetch_add(1, Ordering::Relaxed);
            match timeout(CALLER_TIMEOUT, self.request(open, request)).await {
                Ok(Some(status)) if status.is_success() => {
                    self.counts.served.fetch_add(1, Ordering::Relaxed);
                }
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => sender = None,
            }
            tokio::time::sleep(self.pause).await;
        }
    }

    async fn request(
        &self,
        sender: &mut SendRequest<Full<Bytes>>,
        request: u64,
    ) -> Option<StatusCode> {
        let id = format!("{}-{}-{request}", self.entry, self.number);
        // Every other one may not be repeated.
        let (method, prefix) = if request.is_multiple_of(2) {
            (Method::GET, "safe")
        } else {
            (Method::POST, "once")
        };
        let path = format!("/{prefix}/{}/{id}", self.entry);
        send(sender, method, &path, &id, String::new()).await
    }
}
