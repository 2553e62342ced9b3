//! A backend server that leaves in one of several ways, and what reaches it by its own clock.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

/// The service of all such servers.
pub const SERVICE: &str = "registry";

/// Requests that one server takes at a time.
const SLOTS: u32 = 2;

/// Ready announcements that are kept, to be sent once more when they are late.
const KEPT: usize = 3;

/// A request that reached a backend server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When its head was read.
    pub at: Instant,
    /// The entry VM that its caller sent it to.
    pub entry: String,
    /// Its path.
    pub path: String,
}

/// What names a backend server.
#[derive(Clone, Debug)]
pub struct ServerIdentity {
    /// Its name.
    pub name: String,
    /// Start of this incarnation; 0 if it is not announced.
    pub born: u64,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The place in which it runs.
    pub place: String,
}

#[derive(Debug)]
struct Shared {
    identity: ServerIdentity,
    service_time: Duration,
    arrivals: Mutex<Vec<Arrival>>,
    states_leaving: AtomicBool,
    /// When each entry VM was first answered that this server is leaving.
    told: Mutex<BTreeMap<String, Instant>>,
}

/// A backend server, which serves until it is stopped or dropped.
#[derive(Debug)]
pub struct DrainServer {
    shared: Arc<Shared>,
    sequence: AtomicU64,
    /// The last ready announcements.
    ready: Mutex<VecDeque<Value>>,
    serving: Mutex<Option<JoinHandle<()>>>,
}

impl Drop for DrainServer {
    fn drop(&mut self) {
        if let Some(serving) = lock(&self.serving).take() {
            serving.abort();
        }
    }
}

impl DrainServer {
    /// Listens at the server's address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be used.
    pub async fn start(identity: ServerIdentity, service_time: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind(identity.address).await?;
        let shared = Arc::new(Shared {
            identity,
            service_time,
            arrivals: Mutex::default(),
            states_leaving: AtomicBool::new(false),
            told: Mutex::default(),
        });
        let serving = tokio::spawn(serve(listener, Arc::clone(&shared)));
        Ok(Self {
            shared,
            sequence: AtomicU64::new(0),
            ready: Mutex::default(),
            serving: Mutex::new(Some(serving)),
        })
    }

    /// Closes the server's connections and lets go of its address.
    pub async fn stop(&self) {
        let serving = lock(&self.serving).take();
        if let Some(serving) = serving {
            serving.abort();
            let _ = serving.await;
        }
    }

    /// Returns what names the server.
    #[must_use]
    pub fn identity(&self) -> &ServerIdentity {
        &self.shared.identity
    }

    /// Returns the requests that reached the server.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.shared.arrivals).clone()
    }

    /// States in all further answers that the server is leaving.
    pub fn state_leaving(&self) {
        self.shared.states_leaving.store(true, Ordering::SeqCst);
    }

    /// Returns when each entry VM was first answered that the server is leaving.
    #[must_use]
    pub fn told(&self) -> BTreeMap<String, Instant> {
        lock(&self.shared.told).clone()
    }

    /// Returns the body of the next announcement.
    #[must_use]
    pub fn next_announcement(&self, draining: bool) -> Value {
        let ServerIdentity {
            name,
            born,
            address,
            place,
        } = &self.shared.identity;
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if draining { "Draining" } else { "Ready" };
        let body = json!({
            "backend": name,
            "record": {
                "service": SERVICE, "address": address, "place": place, "slots": SLOTS,
                "state": state, "born": born, "sequence": sequence,
                "cold_for": {"secs": 0, "nanos": 0},
            },
        });
        if !draining {
            let mut ready = lock(&self.ready);
            ready.push_back(body.clone());
            while ready.len() > KEPT {
                ready.pop_front();
            }
        }
        body
    }

    /// Returns the last ready announcements.
    #[must_use]
    pub fn ready_announcements(&self) -> Vec<Value> {
        lock(&self.ready).iter().cloned().collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => continue,
            },
            Some(_) = connections.join_next() => continue,
        };
        let shared = Arc::clone(&shared);
        connections.spawn(async move {
            let service = service_fn(|req| answer(&shared, req));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            let _ = connection.await;
        });
    }
}

async fn answer(
    shared: &Shared,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let at = Instant::now();
    let (head, body) = req.into_parts();
    let mut response = Response::new(Full::default());
    if let Some(id) = head.headers.get("heatherring-request-id") {
        let headers = response.headers_mut();
        headers.insert("heatherring-request-id", id.clone());
    }
    let meant = head.headers.get("heatherring-backend");
    if meant.is_none_or(|meant| meant.as_bytes() != shared.identity.name.as_bytes()) {
        *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
        return Ok(response);
    }
    let path = head.uri.path();
    let entry = path.split('/').nth(2).unwrap_or_default().to_owned();
    lock(&shared.arrivals).push(Arrival {
        at,
        entry: entry.clone(),
        path: path.to_owned(),
    });
    let _ = body.collect().await;
    tokio::time::sleep(shared.service_time).await;
    if shared.states_leaving.load(Ordering::SeqCst) {
        state_leaving(response.headers_mut());
        let mut told = lock(&shared.told);
        told.entry(entry).or_insert_with(Instant::now);
    }
    Ok(response)
}

fn state_leaving(headers: &mut HeaderMap) {
    headers.insert("heatherring-leaving", HeaderValue::from_static("1"));
}
