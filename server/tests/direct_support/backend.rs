//! Minimal backend servers whose behaviour a test selects.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::HEALTH_PATH;

const RATE_LIMIT: &str = "heatherring-rate-limit";
const LEAVING: &str = "heatherring-leaving";

/// How a backend server treats requests other than health checks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behaviour {
    /// Runs them and answers with status 200.
    Answer,
    /// Refuses them with 503 and `not_run`, without running them.
    Shed,
    /// Runs them and closes the connection without an answer.
    Break,
    /// Runs them and answers with the ID of another request.
    Foreign,
    /// Runs them and never answers.
    Hang,
}

/// What a backend server states about itself, each as the value of a header.
#[derive(Clone, Debug, Default)]
pub struct Statement {
    /// Its rate limit, in all answers.
    pub limit: Option<String>,
    /// The time that it asks for without requests, in the answers that refuse one.
    pub retry_after: Option<String>,
    /// Whether it is leaving, in all answers.
    pub leaving: Option<String>,
}

/// A request that arrived, other than a health check.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    /// The entry VM that sent it, if its path names it.
    pub by: String,
    /// Whether it was refused.
    pub refused: bool,
    /// The time without requests that the refusal asks for, if it is refused.
    pub asked: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    statement: Statement,
    arrivals: Vec<Arrival>,
    /// Delay of all answers.
    delay: Duration,
}

/// A backend server that runs as a task of the test and is stopped when dropped.
pub struct Backend {
    pub name: String,
    pub address: SocketAddr,
    pub runs: Arc<AtomicU32>,
    /// Remaining cold phase that health checks report, in milliseconds; 0 when warm.
    cold_ms: Arc<AtomicU32>,
    /// Number of health checks that reported a cold phase.
    cold_replies: Arc<AtomicU32>,
    behaviour: Arc<Mutex<Behaviour>>,
    /// Value of `heatherring-deadline-ms` on the latest request that had one.
    last_deadline_ms: Arc<AtomicU32>,
    /// Headers of the latest request that was not a health check.
    headers: Arc<Mutex<HeaderMap>>,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

impl Backend {
    pub async fn start(name: &str, address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let runs = Arc::new(AtomicU32::new(0));
        let behaviour = Arc::new(Mutex::new(Behaviour::Answer));
        let cold_ms = Arc::new(AtomicU32::new(0));
        let last_deadline_ms = Arc::new(AtomicU32::new(0));
        let headers = Arc::new(Mutex::new(HeaderMap::new()));
        let state = Arc::new(Mutex::new(State::default()));
        let shared = (
            Arc::clone(&state),
            Arc::clone(&runs),
            Arc::clone(&behaviour),
            Arc::clone(&last_deadline_ms),
            Arc::clone(&headers),
        );
        let cold_replies = Arc::new(AtomicU32::new(0));
        let health = (
            name.to_owned(),
            Arc::clone(&cold_ms),
            Arc::clone(&cold_replies),
        );
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (state, runs, behaviour, last_deadline_ms, headers) = shared.clone();
                let (name, cold_ms, cold_replies) = health.clone();
                let service = service_fn(move |req: Request<Incoming>| {
                    let behaviour = *behaviour.lock().unwrap();
                    let runs = Arc::clone(&runs);
                    if let Some(deadline) = req.headers().get("heatherring-deadline-ms") {
                        let deadline = deadline.to_str().unwrap().parse().unwrap();
                        last_deadline_ms.store(deadline, Ordering::SeqCst);
                    }
                    let health = (req.uri().path() == HEALTH_PATH).then(|| {
                        let cold_ms = cold_ms.load(Ordering::SeqCst);
                        cold_replies.fetch_add(u32::from(cold_ms > 0), Ordering::SeqCst);
                        health_answer(&name, cold_ms)
                    });
                    let (mut statement, mut delay) = (Statement::default(), Duration::ZERO);
                    if health.is_none() {
                        let mut state = state.lock().unwrap();
                        statement.clone_from(&state.statement);
                        state.arrivals.push(arrival(&req, behaviour, &statement));
                        delay = state.delay;
                        drop(state);
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
                        tokio::time::sleep(delay).await;
                        let mut response = serve(&req, behaviour, &runs).ok_or(Broken)?;
                        statement.write(&mut response);
                        Ok(response)
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
            cold_replies,
            behaviour,
            last_deadline_ms,
            headers,
            state,
            task,
        }
    }

    /// Declares a rate limit in all further answers; none with `None`.
    pub fn declare_limit(&self, limit: Option<&str>) {
        self.state.lock().unwrap().statement.limit = limit.map(str::to_owned);
    }

    /// Refuses requests and asks for a time without further ones; serves again with `None`.
    pub fn refuse_for(&self, retry_after: Option<&str>) {
        self.state.lock().unwrap().statement.retry_after = retry_after.map(str::to_owned);
        self.behave(if retry_after.is_some() {
            Behaviour::Shed
        } else {
            Behaviour::Answer
        });
    }

    /// States in all further answers that it is leaving.
    pub fn state_leaving(&self) {
        self.state.lock().unwrap().statement.leaving = Some("1".to_owned());
    }

    /// Stops stating that it is leaving.
    pub fn stop_stating_leaving(&self) {
        self.state.lock().unwrap().statement.leaving = None;
    }

    /// Delays all further answers.
    pub fn behave_late(&self, delay: Duration) {
        self.state.lock().unwrap().delay = delay;
    }

    /// Returns the requests other than health checks that arrived.
    pub fn requests(&self) -> Vec<Arrival> {
        self.state.lock().unwrap().arrivals.clone()
    }

    /// Returns when requests other than health checks arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        let arrivals = self.requests();
        arrivals.into_iter().map(|arrival| arrival.at).collect()
    }

    pub fn behave(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    pub fn become_cold(&self, cold_ms: u32) {
        self.cold_ms.store(cold_ms, Ordering::SeqCst);
    }

    pub fn cold_replies(&self) -> u32 {
        self.cold_replies.load(Ordering::SeqCst)
    }

    pub fn last_deadline_ms(&self) -> u32 {
        self.last_deadline_ms.load(Ordering::SeqCst)
    }

    /// Returns all values of a header of the latest request that was not a health check.
    pub fn header_values(&self, name: &str) -> Vec<String> {
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

/// Makes hyper close a connection without an answer.
#[derive(Debug)]
pub(super) struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("broken")
    }
}

impl std::error::Error for Broken {}

impl Statement {
    fn write(&self, response: &mut Response<Full<Bytes>>) {
        let is_refusal = response.status() == StatusCode::SERVICE_UNAVAILABLE;
        let retry_after = self.retry_after.as_ref().filter(|_| is_refusal);
        let headers = [
            (RATE_LIMIT, self.limit.as_ref()),
            (LEAVING, self.leaving.as_ref()),
            ("retry-after", retry_after),
        ];
        for (name, value) in headers {
            if let Some(value) = value {
                response.headers_mut().insert(name, value.parse().unwrap());
            }
        }
    }
}

fn arrival(req: &Request<Incoming>, behaviour: Behaviour, statement: &Statement) -> Arrival {
    Arrival {
        at: Instant::now(),
        by: req.uri().query().unwrap_or_default().to_owned(),
        refused: behaviour == Behaviour::Shed,
        asked: statement.retry_after.clone(),
    }
}

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
        let mut response = response.body(Full::default()).unwrap();
        if let Some(id) = id {
            response.headers_mut().insert("heatherring-request-id", id);
        }
        return Some(response);
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
