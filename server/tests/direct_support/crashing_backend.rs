//! Backend servers that crash when they run a poison request, and restart a second later under
//! another name.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use super::Deployment;
use super::Replica;
use super::SERVICE_PORT;
use super::announcement_of;
use super::backend::Broken;
use super::call;
use super::request;

/// Path of the poison requests: each crashes the backend server that runs it.
pub const POISON_PATH: &str = "/safe/marked";

/// Time that a request takes to run; a poison request crashes the backend server after it.
const WORK: Duration = Duration::from_millis(20);

/// Time between a crash and the start of the next process.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Interval between two announcements.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// Poison requests and crashes of all backend servers of a test.
#[derive(Debug, Default)]
pub struct CrashRecord {
    /// Start time and request ID of each poison request that was run.
    started: Mutex<Vec<(Instant, String)>>,
    /// Times of the crashes.
    crashes: Mutex<Vec<Instant>>,
}

impl CrashRecord {
    /// Returns the number of crashes.
    pub fn crash_count(&self) -> usize {
        self.crashes.lock().unwrap().len()
    }

    /// Returns the time of crash number `count`, counted from 1.
    pub fn crash_time(&self, count: usize) -> Option<Instant> {
        self.crashes.lock().unwrap().get(count - 1).copied()
    }

    /// Returns the number of request IDs under which a poison request was run after `since`.
    pub fn attempts_since(&self, since: Instant) -> usize {
        let started = self.started.lock().unwrap();
        let late = started.iter().filter(|(at, _)| *at > since);
        let attempts: BTreeSet<&String> = late.map(|(_, id)| id).collect();
        attempts.len()
    }
}

/// An address at which a new backend server is started after each crash; stopped when dropped.
pub struct CrashingBackend {
    task: JoinHandle<()>,
}

impl CrashingBackend {
    pub fn start(deployment: &mut Deployment, name: &str, record: &Arc<CrashRecord>) -> Self {
        let crash_loop = CrashLoop {
            name: name.to_owned(),
            address: SocketAddr::new(deployment.block.next_vm(), SERVICE_PORT),
            control: deployment
                .replicas
                .iter()
                .map(Replica::api_address)
                .collect(),
            record: Arc::clone(record),
        };
        let task = tokio::spawn(crash_loop.run());
        Self { task }
    }
}

impl Drop for CrashingBackend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct CrashLoop {
    name: String,
    address: SocketAddr,
    control: Vec<SocketAddr>,
    record: Arc<CrashRecord>,
}

impl CrashLoop {
    async fn run(self) {
        for incarnation in 1.. {
            let name = format!("{}-{incarnation}", self.name);
            self.run_process(&name).await;
            self.record.crashes.lock().unwrap().push(Instant::now());
            tokio::time::sleep(RESTART_DELAY).await;
        }
    }

    /// Simulates one process until it crashes; all its connections break with it.
    async fn run_process(&self, name: &str) {
        let listener = TcpListener::bind(self.address).await.unwrap();
        let crash = Arc::new(Notify::new());
        let mut tasks = JoinSet::new();
        let announcing = announce(name.to_owned(), self.address, self.control.clone());
        tasks.spawn(announcing);
        loop {
            let stream = tokio::select! {
                Ok((stream, _)) = listener.accept() => stream,
                () = crash.notified() => return,
            };
            let (record, crash) = (Arc::clone(&self.record), Arc::clone(&crash));
            let service =
                service_fn(move |req| serve(req, Arc::clone(&record), Arc::clone(&crash)));
            tasks.spawn(async move {
                let io = TokioIo::new(stream);
                // Errors of a connection are visible to its caller.
                let _ = http1::Builder::new().serve_connection(io, service).await;
            });
        }
    }
}

async fn serve(
    req: Request<Incoming>,
    record: Arc<CrashRecord>,
    crash: Arc<Notify>,
) -> Result<Response<Full<Bytes>>, Broken> {
    let id = req.headers().get("heatherring-request-id").cloned();
    let is_poison = req.uri().path().starts_with(POISON_PATH);
    if is_poison {
        let id = id.as_ref().map_or("", |id| id.to_str().unwrap()).to_owned();
        record.started.lock().unwrap().push((Instant::now(), id));
    }
    tokio::time::sleep(WORK).await;
    if is_poison {
        crash.notify_one();
        std::future::pending::<()>().await;
    }
    let mut response = Response::new(Full::from("whole"));
    if let Some(id) = id {
        response.headers_mut().insert("heatherring-request-id", id);
    }
    Ok(response)
}

/// Announces a backend server periodically, each time to the first replica that accepts it.
async fn announce(name: String, address: SocketAddr, control: Vec<SocketAddr>) {
    for sequence in 1.. {
        let body = announcement_of(&name, address, sequence, "Ready").to_string();
        for replica in &control {
            let req = request(Method::POST, "/v1/announcements", body.clone());
            let answer = call(*replica, req).await;
            if answer.is_some_and(|answer| answer.status.is_success()) {
                break;
            }
        }
        tokio::time::sleep(HEARTBEAT).await;
    }
}
