//! A backend server to test against.
//!
//! It has slots, takes a drawn time for each request, announces itself, sheds what is
//! beyond its slots, honours deadlines and cancellation, and keeps a ledger of
//! everything that it ran. Each answer, a refusal too, echoes the identifier of its
//! request.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::announcer::Announcer;
use crate::announcer::Phase;
use crate::answer_fault::EarlyAnswer;
use crate::answer_fault::EndlessPart;
use crate::backend_connection::BackendConnection;
use crate::backend_connection::OpenConnection;
use crate::behaviour::Behaviour;
use crate::behaviour::Spell;
use crate::echo;
use crate::echo::AnswerHead;
use crate::echo::answer_body;
use crate::echo::request_digest;
use crate::endless_answer::EndlessAnswer;
use crate::late_answer::LateAnswer;
use crate::ledger::Asked;
use crate::ledger::Finish;
use crate::ledger::Ledger;
use crate::ledger::LedgerEventKind;
use crate::ledger::LedgerServer;
use crate::ledger::Running;
use crate::service_time::ServiceTime;

/// How often a leaving server looks whether it has finished.
const POLL: Duration = Duration::from_millis(10);
/// How long a leaving server waits for somebody to take its announcement.
const LEAVE_ANNOUNCEMENT_BOUND: Duration = Duration::from_secs(5);
/// Where a request's generator draws whether its answer is repeated; far behind its other draws,
/// which a repeat doesn't change.
const REPEAT_DRAW: u128 = 1 << 32;
/// The same for whether its answer has no end.
const ENDLESS_DRAW: u128 = 1 << 33;
/// The same, of a connection's first request, for whether the server speaks first.
const EARLY_DRAW: u128 = 1 << 34;

/// Describes a fake backend server.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FakeBackendServerConfig {
    /// Its name; unique in the deployment.
    pub backend: String,
    /// The service that it serves.
    pub service: String,
    /// The place that it stands in.
    pub place: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Connections that it can hold.
    pub max_connections: u32,
    /// Entry VMs to announce to, tried in order.
    pub announce_to: Vec<SocketAddr>,
    /// How long it works on a request.
    pub service_time: ServiceTime,
    /// Seed of everything that it draws.
    pub seed: u64,
    /// Bytes of filler in each answer.
    #[serde(default = "default_answer_bytes")]
    pub answer_bytes: usize,
    /// How long it announces that it is starting, in milliseconds.
    #[serde(default)]
    pub starting_ms: u64,
    /// What a new connection costs, in milliseconds.
    #[serde(default = "default_connection_ms")]
    pub connection_ms: u64,
    /// How long it goes on taking requests after its leaving was taken note of, in
    /// milliseconds; the bound after which a leaving server receives no new work.
    #[serde(default = "default_linger_ms")]
    pub linger_ms: u64,
    /// What can be changed while it runs.
    #[serde(default)]
    pub behaviour: Behaviour,
    /// What it does otherwise for part of the time.
    #[serde(default)]
    pub spell: Option<Spell>,
}

const fn default_answer_bytes() -> usize {
    512
}

const fn default_connection_ms() -> u64 {
    1
}

const fn default_linger_ms() -> u64 {
    3_000
}

/// Tells why a fake backend server doesn't start.
#[derive(Debug, Snafu)]
pub enum FakeBackendServerError {
    /// The address can't be used.
    #[snafu(display("{backend} can't listen on {address}"))]
    Listen {
        /// The backend server.
        backend: String,
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
}

/// Runs a backend server until it is told to leave or dropped.
#[derive(Debug)]
pub struct FakeBackendServer {
    phase: watch::Sender<Phase>,
    behaviour: watch::Sender<Behaviour>,
    tasks: JoinSet<()>,
}

impl FakeBackendServer {
    /// Starts listening and announcing.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be used.
    pub async fn start(
        config: FakeBackendServerConfig,
        ledger: Ledger,
    ) -> Result<Self, FakeBackendServerError> {
        let listener = TcpListener::bind(config.address).await;
        let listener = listener.context(ListenSnafu {
            backend: &config.backend,
            address: config.address,
        })?;
        let starting = if config.starting_ms > 0 {
            Phase::Starting
        } else {
            Phase::Ready
        };
        let (phase, phase_rx) = watch::channel(starting);
        let (behaviour, behaviour_rx) = watch::channel(config.behaviour);
        let (leaving_taken, leaving_taken_rx) = watch::channel(false);
        let announcer = Announcer {
            config: config.clone(),
            ledger: ledger.clone(),
            phase: phase_rx.clone(),
            behaviour: behaviour_rx.clone(),
            leaving_taken,
        };
        let server = Server {
            identity: LedgerServer {
                backend: config.backend.clone(),
                service: config.service.clone(),
                place: config.place.clone(),
                slots: config.slots,
            },
            rng_seed: config.seed,
            begun: Instant::now(),
            config,
            ledger,
            behaviour: behaviour_rx,
            phase: phase_rx.clone(),
            endless: AtomicUsize::new(0),
        };
        server
            .ledger
            .note(&server.identity, LedgerEventKind::Started);
        let mut tasks = JoinSet::new();
        tasks.spawn(announcer.run());
        tasks.spawn(serve(
            Arc::new(server),
            listener,
            phase_rx,
            leaving_taken_rx,
        ));
        Ok(Self {
            phase,
            behaviour,
            tasks,
        })
    }

    /// Changes what the server does from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.behaviour.send_replace(behaviour);
    }

    /// Announces that the server leaves, finishes what is in flight and stops.
    pub async fn leave(mut self) {
        self.phase.send_replace(Phase::Leaving);
        while self.tasks.join_next().await.is_some() {}
    }
}

/// Holds what all connections of a fake backend server share.
#[derive(Debug)]
pub(crate) struct Server {
    pub identity: LedgerServer,
    rng_seed: u64,
    begun: Instant,
    pub config: FakeBackendServerConfig,
    pub ledger: Ledger,
    behaviour: watch::Receiver<Behaviour>,
    phase: watch::Receiver<Phase>,
    /// How many answers had no end.
    endless: AtomicUsize,
}

/// Accepts connections until the server has left.
async fn serve(
    server: Arc<Server>,
    listener: TcpListener,
    phase: watch::Receiver<Phase>,
    leaving_taken: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    let open = Arc::new(AtomicU32::new(0));
    let (closing, closing_rx) = watch::channel(false);
    let mut serial = 0_u64;
    let left = left(Arc::clone(&server), phase, leaving_taken);
    tokio::pin!(left);
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                if open.load(Ordering::Relaxed) >= server.config.max_connections {
                    server.ledger.note(&server.identity, LedgerEventKind::ConnectionOverrun);
                    continue;
                }
                open.fetch_add(1, Ordering::Relaxed);
                serial += 1;
                let connection = BackendConnection {
                    server: Arc::clone(&server),
                    serial,
                    closing: closing_rx.clone(),
                    _open: OpenConnection(Arc::clone(&open)),
                };
                connections.spawn(connection.serve(stream));
            }
            _ = connections.join_next(), if !connections.is_empty() => {}
            () = &mut left => break,
        }
    }
    drop(listener);
    closing.send_replace(true);
    while connections.join_next().await.is_some() {}
}

/// Waits until the server may stop: its leaving is known, the time in which requests
/// may still arrive has passed, and nothing is in flight.
async fn left(
    server: Arc<Server>,
    mut phase: watch::Receiver<Phase>,
    mut leaving_taken: watch::Receiver<bool>,
) {
    let leaving = phase.wait_for(|phase| *phase == Phase::Leaving);
    let dropped = leaving.await.is_err();
    if dropped {
        // The handle was dropped without leaving; its tasks end with it.
        std::future::pending::<()>().await;
    }
    server
        .ledger
        .note(&server.identity, LedgerEventKind::Leaving);
    let taken = leaving_taken.wait_for(|taken| *taken);
    let _ = tokio::time::timeout(LEAVE_ANNOUNCEMENT_BOUND, taken).await;
    sleep(Duration::from_millis(server.config.linger_ms)).await;
    while server.ledger.in_use(&server.identity.backend).await > 0 {
        sleep(POLL).await;
    }
}

impl Server {
    /// Returns what the server does with requests now.
    fn behaviour(&self) -> Behaviour {
        let spell = self.config.spell;
        let spell = spell.filter(|spell| spell.is_on(self.begun.elapsed()));
        spell.map_or_else(|| *self.behaviour.borrow(), |spell| spell.behaviour)
    }

    /// Returns what the server writes on a connection before it reads from it.
    pub fn draw_early_answer(&self, connection: u64) -> Option<EarlyAnswer> {
        let mut rng = self.rng(connection, 0);
        rng.set_word_pos(EARLY_DRAW);
        let early = self.behaviour().early_answer?;
        (rng.random_range(0..100) < early.percent).then_some(early)
    }

    /// Returns which part of a request's answer has no end.
    fn draw_endless_part(&self, connection: u64, number: u32) -> Option<EndlessPart> {
        let mut rng = self.rng(connection, number);
        rng.set_word_pos(ENDLESS_DRAW);
        let endless = self.behaviour().endless_answers?;
        if rng.random_range(0..100) >= endless.percent {
            return None;
        }
        Some(endless.part_of(self.endless.fetch_add(1, Ordering::Relaxed)))
    }

    /// Answers a request.
    ///
    /// # Errors
    ///
    /// Returns the answer if it has no end.
    pub async fn answer(
        &self,
        req: Request<Incoming>,
        connection: u64,
        number: u32,
        late: &LateAnswer,
    ) -> Result<Response<Full<Bytes>>, EndlessAnswer> {
        let id = req.headers().get(echo::REQUEST_ID_HEADER).cloned();
        let nonce = header(req.headers(), echo::NONCE_HEADER);
        let endless = self.draw_endless_part(connection, number);
        let is_refused = endless == Some(EndlessPart::RefusalBody);
        let handled = self.handle(req, connection, number, is_refused);
        let mut response = handled.await;
        self.state(&mut response);
        if let Some(id) = id {
            response.headers_mut().insert(echo::REQUEST_ID_HEADER, id);
        }
        if let Some(part) = endless {
            self.ledger
                .note(&self.identity, LedgerEventKind::Endless { nonce, part });
            return Err(EndlessAnswer::new(&response, part).await);
        }
        self.hold_repeat(&response, self.rng(connection, number), late)
            .await;
        Ok(response)
    }

    /// Holds a copy of the answer if it is drawn to be repeated.
    async fn hold_repeat(
        &self,
        response: &Response<Full<Bytes>>,
        mut rng: ChaCha8Rng,
        late: &LateAnswer,
    ) {
        let behaviour = self.behaviour();
        rng.set_word_pos(REPEAT_DRAW);
        if rng.random_range(0..100) >= behaviour.repeat_percent {
            return;
        }
        let mut copy = response.clone();
        if behaviour.repeat_without_id {
            copy.headers_mut().remove(echo::REQUEST_ID_HEADER);
        }
        late.hold(&copy).await;
    }

    /// Returns a generator of the request's own, so that a draw doesn't depend on the order in
    /// which concurrent requests happen to be handled.
    fn rng(&self, connection: u64, number: u32) -> ChaCha8Rng {
        let mut rng = ChaCha8Rng::seed_from_u64(self.rng_seed);
        rng.set_stream(connection << 32 | u64::from(number));
        rng
    }

    /// Adds what the server states about itself.
    fn state(&self, response: &mut Response<Full<Bytes>>) {
        let is_refusal = response.status() == StatusCode::SERVICE_UNAVAILABLE;
        let pause = Duration::from_millis(self.behaviour().pause_ms);
        let headers = response.headers_mut();
        if is_refusal
            && !pause.is_zero()
            && let Ok(value) = HeaderValue::from_str(&pause.as_secs_f64().to_string())
        {
            headers.insert(http::header::RETRY_AFTER, value);
        }
        if *self.phase.borrow() == Phase::Leaving {
            headers.insert(echo::LEAVING_HEADER, HeaderValue::from_static("1"));
        }
    }

    async fn handle(
        &self,
        req: Request<Incoming>,
        connection: u64,
        number: u32,
        is_refused: bool,
    ) -> Response<Full<Bytes>> {
        let (parts, body) = req.into_parts();
        // A request whose body breaks off has not begun to run.
        let Ok(body) = body.collect().await else {
            return refusal();
        };
        let nonce = header(&parts.headers, echo::NONCE_HEADER);
        let path = parts.uri.path();
        let digest = request_digest(parts.method.as_str(), path, &nonce, &body.to_bytes());
        let key = header(&parts.headers, echo::IDEMPOTENCY_KEY_HEADER);
        let asked = Asked {
            nonce: nonce.clone(),
            request_id: header(&parts.headers, echo::REQUEST_ID_HEADER),
            key: (!key.is_empty()).then_some(key),
            origin: header(&parts.headers, echo::ORIGIN_HEADER),
            digest: digest.clone(),
        };
        let mut rng = self.rng(connection, number);
        let behaviour = self.behaviour();
        if rng.random_range(0..100) < behaviour.shed_percent || is_refused {
            self.ledger
                .note(&self.identity, LedgerEventKind::Shed(asked));
            return refusal();
        }
        let Some(running) = self.ledger.begin(&self.identity, asked).await else {
            return refusal();
        };
        let work = self.config.service_time.draw(&mut rng);
        let work = work.mul_f64(behaviour.slowness);
        let head = AnswerHead {
            nonce,
            digest,
            backend: self.config.backend.clone(),
            place: self.config.place.clone(),
            filler_bytes: self.config.answer_bytes,
        };
        work_on(running, work, deadline(&parts.headers), &head).await
    }
}

async fn work_on(
    running: Running,
    work: Duration,
    deadline: Option<Duration>,
    head: &AnswerHead,
) -> Response<Full<Bytes>> {
    let begun = Instant::now();
    if let Some(deadline) = deadline.filter(|deadline| *deadline < work) {
        tokio::time::sleep_until(begun + deadline).await;
        running.end(Finish::Deadline);
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::GATEWAY_TIMEOUT;
        return response;
    }
    tokio::time::sleep_until(begun + work).await;
    running.end(Finish::Answered);
    Response::new(Full::new(answer_body(head).into()))
}

fn refusal() -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let not_run = http::HeaderValue::from_static(echo::NOT_RUN);
    response.headers_mut().insert(echo::OUTCOME_HEADER, not_run);
    response
}

fn header(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn deadline(headers: &HeaderMap) -> Option<Duration> {
    let ms = header(headers, echo::DEADLINE_HEADER).parse().ok()?;
    Some(Duration::from_millis(ms))
}
