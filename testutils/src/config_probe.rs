//! Changes of the route manifest in series, and how long each takes to be in force at every entry
//! VM, by what callers are told.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::sync::watch;

const HOST: &str = "registry.example";
const SERVICE: &str = "registry";

/// Time between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a confirmation is awaited before the same change goes to other replicas.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// Replicas that a change is sent to at once, so that one that is lost holds none up.
const ORDERED_AT_ONCE: usize = 3;

/// Time between two questions at an entry VM that doesn't know a route yet.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which the answer to one is awaited.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Changes after which a route is removed.
const ROUTE_LIFE: u64 = 60;

/// Tells how long one change took at one entry VM.
#[derive(Clone, Debug)]
pub struct InForce {
    /// The entry VM.
    pub entry: String,
    /// The version.
    pub version: u64,
    /// When it was confirmed.
    pub confirmed_at: Instant,
    /// Time from then until a caller was served by it.
    pub lag: Duration,
}

/// Confirms changes and asks for them at every entry VM, until it is dropped.
#[derive(Debug)]
pub struct ConfigProbe {
    seen: Arc<Mutex<Vec<InForce>>>,
    confirmed: watch::Receiver<Vec<Instant>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl ConfigProbe {
    /// Starts with the first manifest. Changes go to `orders` in turn; `entries` are the names of
    /// the entry VMs and where they take requests.
    #[must_use]
    pub fn start(orders: Vec<SocketAddr>, entries: Vec<(String, SocketAddr)>) -> Self {
        let seen = Arc::new(Mutex::new(Vec::new()));
        let (confirmed_tx, confirmed) = watch::channel(Vec::new());
        let mut tasks = vec![tokio::spawn(change_on(orders, confirmed_tx))];
        for (entry, address) in entries {
            let probing = probe_on(entry, address, confirmed.clone(), Arc::clone(&seen));
            tasks.push(tokio::spawn(probing));
        }
        Self {
            seen,
            confirmed,
            tasks,
        }
    }

    /// Returns what was seen so far.
    #[must_use]
    pub fn seen(&self) -> Vec<InForce> {
        let seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.clone()
    }

    /// Returns how many changes were confirmed so far.
    #[must_use]
    pub fn confirmed(&self) -> usize {
        self.confirmed.borrow().len()
    }
}

impl Drop for ConfigProbe {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn prefix(version: u64) -> String {
    format!("/v{version}/")
}

fn span(time: Duration) -> Value {
    json!({"secs": time.as_secs(), "nanos": time.subsec_nanos()})
}

fn change(version: u64) -> Value {
    let second = span(Duration::from_secs(1));
    let route = json!({
        "host": HOST, "prefix": prefix(version), "idempotent": true, "timeout": second,
        "latency_objective": second, "priority": 0, "target": {"Service": SERVICE},
        "max_attempts": 2, "affinity": false, "home_regions": [],
    });
    let service = json!({
        "health_path": "/health", "max_connections": 10, "protocol": "h1", "tls": false,
        "cold_start": second, "cold_rate": 10.0,
    });
    let outlived: Vec<String> = version
        .checked_sub(ROUTE_LIFE)
        .filter(|old| *old > 0)
        .map(|old| format!("v{old}"))
        .into_iter()
        .collect();
    json!({
        "version": version, "base": version - 1,
        "content": {"Patch": {
            "routes": {format!("v{version}"): route},
            "services": {SERVICE: service},
            "limits": null, "removed_routes": outlived, "removed_services": [],
        }},
    })
}

async fn change_on(orders: Vec<SocketAddr>, confirmed: watch::Sender<Vec<Instant>>) {
    let mut replicas = orders.iter().cycle();
    for version in 1.. {
        let body = change(version).to_string();
        loop {
            let at_once: Vec<SocketAddr> =
                replicas.by_ref().take(ORDERED_AT_ONCE).copied().collect();
            if is_confirmed(&at_once, &body).await {
                break;
            }
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
        confirmed.send_modify(|confirmed| confirmed.push(Instant::now()));
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
}

/// Returns whether one of `replicas` confirms a change in time. The same change may be sent to
/// several.
async fn is_confirmed(replicas: &[SocketAddr], body: &str) -> bool {
    let calls = replicas.iter().map(|replica| {
        let call = call(*replica, Method::POST, "/v1/routes", body.to_owned());
        tokio::time::timeout(ORDER_TIMEOUT, call)
    });
    let mut calls: FuturesUnordered<_> = calls.collect();
    while let Some(answer) = calls.next().await {
        if matches!(answer, Ok(Some(status)) if status.is_success()) {
            return true;
        }
    }
    false
}

async fn probe_on(
    entry: String,
    address: SocketAddr,
    mut confirmed: watch::Receiver<Vec<Instant>>,
    seen: Arc<Mutex<Vec<InForce>>>,
) {
    for version in 1.. {
        let index = usize::try_from(version - 1).unwrap_or(usize::MAX);
        let Ok(confirmed_at) = confirmed
            .wait_for(|confirmed| confirmed.len() > index)
            .await
            .map(|confirmed| confirmed[index])
        else {
            return;
        };
        let path = format!("{}cube", prefix(version));
        while !knows_route(address, &path).await {
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
        let in_force = InForce {
            entry: entry.clone(),
            version,
            confirmed_at,
            lag: confirmed_at.elapsed(),
        };
        let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.push(in_force);
    }
}

/// Returns whether a request is refused for want of a backend server: its route is known then.
async fn knows_route(address: SocketAddr, path: &str) -> bool {
    let call = call(address, Method::GET, path, String::new());
    let answer = tokio::time::timeout(PROBE_TIMEOUT, call).await;
    matches!(answer, Ok(Some(StatusCode::SERVICE_UNAVAILABLE)))
}

async fn call(address: SocketAddr, method: Method, path: &str, body: String) -> Option<StatusCode> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let connection = tokio::spawn(connection);
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header("heatherring-request-id", "probe")
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    let status = sender.send_request(req).await.ok()?.status();
    connection.abort();
    Some(status)
}
