//! Backend servers that end when they begin to run a marked request, and are back a second
//! later under another name.

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

/// Path of requests that end whoever begins to run them.
pub const MARKED: &str = "/safe/marked";

/// Time for which a request is run.
const WORK: Duration = Duration::from_millis(20);

/// Time after which a backend server that ended is back.
const BACK_AFTER: Duration = Duration::from_secs(1);

/// Time between two announcements.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// What the backend servers saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Marked requests that were begun: when, and which try of their caller.
    begun: Mutex<Vec<(Instant, String)>>,
    /// When backend servers ended.
    ends: Mutex<Vec<Instant>>,
}

impl Seen {
    /// How many backend servers have ended.
    pub fn ends(&self) -> usize {
        self.ends.lock().unwrap().len()
    }

    /// When the backend server number `count` ended, counted from 1.
    pub fn end(&self, count: usize) -> Option<Instant> {
        self.ends.lock().unwrap().get(count - 1).copied()
    }

    /// How many tries of marked requests were begun later than `since`.
    pub fn tries_since(&self, since: Instant) -> usize {
        let begun = self.begun.lock().unwrap();
        let late = begun.iter().filter(|(at, _)| *at > since);
        let tries: BTreeSet<&String> = late.map(|(_, id)| id).collect();
        tries.len()
    }
}

/// One address at which one backend server after another is started.
pub struct Fragile {
    task: JoinHandle<()>,
}

impl Fragile {
    pub fn start(deployment: &mut Deployment, name: &str, seen: &Arc<Seen>) -> Self {
        let place = Place {
            name: name.to_owned(),
            address: SocketAddr::new(deployment.block.next_vm(), SERVICE_PORT),
            orders: deployment.replicas.iter().map(Replica::orders).collect(),
            seen: Arc::clone(seen),
        };
        let task = tokio::spawn(place.run());
        Self { task }
    }
}

impl Drop for Fragile {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Place {
    name: String,
    address: SocketAddr,
    orders: Vec<SocketAddr>,
    seen: Arc<Seen>,
}

impl Place {
    async fn run(self) {
        for life in 1.. {
            let name = format!("{}-{life}", self.name);
            self.live(&name).await;
            self.seen.ends.lock().unwrap().push(Instant::now());
            tokio::time::sleep(BACK_AFTER).await;
        }
    }

    /// Runs one process until it ends; all its connections end with it.
    async fn live(&self, name: &str) {
        let listener = TcpListener::bind(self.address).await.unwrap();
        let end = Arc::new(Notify::new());
        let mut tasks = JoinSet::new();
        let announcing = announce(name.to_owned(), self.address, self.orders.clone());
        tasks.spawn(announcing);
        loop {
            let stream = tokio::select! {
                Ok((stream, _)) = listener.accept() => stream,
                () = end.notified() => return,
            };
            let (seen, end) = (Arc::clone(&self.seen), Arc::clone(&end));
            let service = service_fn(move |req| serve(req, Arc::clone(&seen), Arc::clone(&end)));
            tasks.spawn(async move {
                let io = TokioIo::new(stream);
                // Callers see how a connection ends.
                let _ = http1::Builder::new().serve_connection(io, service).await;
            });
        }
    }
}

async fn serve(
    req: Request<Incoming>,
    seen: Arc<Seen>,
    end: Arc<Notify>,
) -> Result<Response<Full<Bytes>>, Broken> {
    let id = req.headers().get("heatherring-request-id").cloned();
    let marked = req.uri().path().starts_with(MARKED);
    if marked {
        let id = id.as_ref().map_or("", |id| id.to_str().unwrap()).to_owned();
        seen.begun.lock().unwrap().push((Instant::now(), id));
    }
    tokio::time::sleep(WORK).await;
    if marked {
        end.notify_one();
        std::future::pending::<()>().await;
    }
    let mut response = Response::new(Full::from("whole"));
    if let Some(id) = id {
        response.headers_mut().insert("heatherring-request-id", id);
    }
    Ok(response)
}

/// Announces a backend server again and again, to the first replica that takes it.
async fn announce(name: String, address: SocketAddr, orders: Vec<SocketAddr>) {
    for sequence in 1.. {
        let body = announcement_of(&name, address, sequence, "Ready").to_string();
        for replica in &orders {
            let req = request(Method::POST, "/v1/announcements", body.clone());
            let answer = call(*replica, req).await;
            if answer.is_some_and(|answer| answer.status.is_success()) {
                break;
            }
        }
        tokio::time::sleep(HEARTBEAT).await;
    }
}
