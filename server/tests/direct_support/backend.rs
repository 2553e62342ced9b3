//! Small backend servers that behave as told.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::HEALTH_PATH;

/// Says how a backend server treats requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behaviour {
    /// Answers them.
    Answer,
    /// Turns them away without running them.
    Shed,
    /// Runs them and breaks the connection.
    Break,
    /// Runs them and answers in the name of another request.
    Foreign,
    /// Runs them and never answers.
    Hang,
}

/// A backend server of one connection handler and no load.
pub struct Backend {
    pub name: String,
    pub address: SocketAddr,
    pub runs: Arc<AtomicU32>,
    /// How long it says that it stays cold.
    cold_ms: Arc<AtomicU32>,
    /// How often it said so.
    told_cold: Arc<AtomicU32>,
    behaviour: Arc<Mutex<Behaviour>>,
    /// The time for its answer that the latest request named, in milliseconds.
    told_ms: Arc<AtomicU32>,
    /// The headers of the latest request that wasn't a health check.
    headers: Arc<Mutex<HeaderMap>>,
    task: JoinHandle<()>,
}

impl Backend {
    pub async fn start(name: &str, address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let runs = Arc::new(AtomicU32::new(0));
        let behaviour = Arc::new(Mutex::new(Behaviour::Answer));
        let cold_ms = Arc::new(AtomicU32::new(0));
        let told_ms = Arc::new(AtomicU32::new(0));
        let headers = Arc::new(Mutex::new(HeaderMap::new()));
        let shared = (
            Arc::clone(&runs),
            Arc::clone(&behaviour),
            Arc::clone(&told_ms),
            Arc::clone(&headers),
        );
        let told_cold = Arc::new(AtomicU32::new(0));
        let health = (
            name.to_owned(),
            Arc::clone(&cold_ms),
            Arc::clone(&told_cold),
        );
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (runs, behaviour, told_ms, headers) = shared.clone();
                let (name, cold_ms, told_cold) = health.clone();
                let service = service_fn(move |req: Request<Incoming>| {
                    let behaviour = *behaviour.lock().unwrap();
                    let runs = Arc::clone(&runs);
                    if let Some(told) = req.headers().get("heatherring-deadline-ms") {
                        let told = told.to_str().unwrap().parse().unwrap();
                        told_ms.store(told, Ordering::SeqCst);
                    }
                    let health = (req.uri().path() == HEALTH_PATH).then(|| {
                        let cold_ms = cold_ms.load(Ordering::SeqCst);
                        told_cold.fetch_add(u32::from(cold_ms > 0), Ordering::SeqCst);
                        health_answer(&name, cold_ms)
                    });
                    if health.is_none() {
                        headers.lock().unwrap().clone_from(req.headers());
                    }
                    async move {
                        if health.is_some() {
                            return health.ok_or(Broken);
                        }
                        if behaviour == Behaviour::Hang {
                            runs.fetch_add(1, Ordering::SeqCst);
                            std::future::pending::<()>().await;
                        }
                        serve(&req, behaviour, &runs).ok_or(Broken)
                    }
                });
                let io = TokioIo::new(stream);
                let builder = hyper::server::conn::http1::Builder::new();
                tokio::spawn(builder.serve_connection(io, service));
            }
        });
        Self {
            name: name.to_owned(),
            address,
            runs,
            cold_ms,
            told_cold,
            behaviour,
            told_ms,
            headers,
            task,
        }
    }

    pub fn behave(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    pub fn become_cold(&self, cold_ms: u32) {
        self.cold_ms.store(cold_ms, Ordering::SeqCst);
    }

    pub fn told_cold(&self) -> u32 {
        self.told_cold.load(Ordering::SeqCst)
    }

    pub fn told_ms(&self) -> u32 {
        self.told_ms.load(Ordering::SeqCst)
    }

    /// Returns the values of a header of the latest request.
    pub fn told(&self, name: &str) -> Vec<String> {
        let headers = self.headers.lock().unwrap();
        let values = headers.get_all(name).iter();
        values
            .map(|value| value.to_str().unwrap().to_owned())
            .collect()
    }

    pub fn runs(&self) -> u32 {
        self.runs.load(Ordering::SeqCst)
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Ends a connection in place of an answer.
#[derive(Debug)]
pub(super) struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("broken")
    }
}

impl std::error::Error for Broken {}

fn health_answer(name: &str, cold_ms: u32) -> Response<Full<Bytes>> {
    Response::builder()
        .header("heatherring-backend", name)
        .header("heatherring-cold-ms", cold_ms)
        .body(Full::default())
        .unwrap()
}

fn serve(
    req: &Request<Incoming>,
    behaviour: Behaviour,
    runs: &AtomicU32,
) -> Option<Response<Full<Bytes>>> {
    let id = req.headers().get("heatherring-request-id").cloned();
    if behaviour == Behaviour::Shed {
        let response = Response::builder().status(503);
        let response = response.header("heatherring-outcome", "not_run");
        return Some(response.body(Full::default()).unwrap());
    }
    runs.fetch_add(1, Ordering::SeqCst);
    if behaviour == Behaviour::Break {
        return None;
    }
    let mut response = Response::new(Full::from("whole"));
    let id = match behaviour {
        Behaviour::Foreign => Some("of-another".parse().unwrap()),
        _ => id,
    };
    if let Some(id) = id {
        response.headers_mut().insert("heatherring-request-id", id);
    }
    Some(response)
}
