//! A caller: looks up, sends, checks that each answer is whole and its own, resends
//! what was lost, and records everything that it was told.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::echo;
use crate::echo::check_answer;
use crate::echo::request_digest;
use crate::machine_clock::now_us;

/// Attempts at one request before a caller gives up.
const MAX_ATTEMPTS: usize = 6;
/// Pause between attempts, unless a refusal says otherwise.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Bytes of a response's body that a caller keeps. It reads and drops what goes beyond them.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Tells of an attempt that had neither an answer nor a refusal when patience ran out.
pub const PATIENCE_RAN_OUT: &str = "patience ran out";
/// Longest pause that a caller is willing to make because a refusal asks for it.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Describes a caller.
#[derive(Clone, Debug)]
pub struct CallerConfig {
    /// Its name; unique in a test, since nonces start with it.
    pub name: String,
    /// The address that it calls from, which decides its place.
    pub source: IpAddr,
    /// The place that this address belongs to.
    pub origin: String,
    /// Entry VMs that it may ask for a look-up, tried in order.
    pub entries: Vec<SocketAddr>,
    /// Seed of everything that it draws.
    pub seed: u64,
    /// How long it waits for an answer or a refusal.
    pub patience: Duration,
}

/// Answers a look-up.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct LookUp {
    /// The service.
    pub service: String,
    /// The entry VM to use.
    pub entry: EntryAddress,
    /// Entry VMs to use when that one fails.
    pub backups: Vec<EntryAddress>,
    /// How long the answer may be cached, in milliseconds.
    pub cache_ms: u64,
    /// Starts the keys of actions.
    pub ticket: Option<String>,
    /// How long the ticket may be used, in milliseconds.
    #[serde(default)]
    pub ticket_ms: u64,
}

/// Tells where an entry VM is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct EntryAddress {
    /// The VM.
    pub vm: String,
    /// Where callers reach it.
    pub address: SocketAddr,
}

/// Holds a refusal as an entry VM sends it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// `not_run` or `unknown`.
    pub outcome: String,
    /// Why, in `snake_case`.
    pub reason: String,
    /// The same for people.
    pub message: String,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// Tells what became of one attempt, as the caller saw it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Told {
    /// The whole answer to this request.
    Answer {
        /// The backend server that ran it.
        backend: String,
        /// Its place.
        place: String,
    },
    /// An answer that is not the whole answer to this request.
    WrongAnswer {
        /// What is wrong with it.
        fault: String,
    },
    /// A typed refusal.
    Refused {
        /// The HTTP status.
        status: u16,
        /// What it says.
        refusal: Refusal,
    },
    /// The backend server's own failure, passed on whole.
    BackendFailed {
        /// The HTTP status.
        status: u16,
    },
    /// A response that is neither an answer nor a well-formed refusal.
    Malformed {
        /// The HTTP status.
        status: u16,
        /// What is wrong with it.
        fault: String,
    },
    /// No whole response: the connection failed or broke off, or patience ran out.
    Lost {
        /// What happened.
        fault: String,
    },
}

impl Told {
    /// Returns whether the caller was told that the request did not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused { refusal, .. } if refusal.outcome == echo::NOT_RUN)
    }

    /// Returns whether the caller got its whole answer.
    #[must_use]
    pub const fn is_answer(&self) -> bool {
        matches!(self, Self::Answer { .. })
    }
}

/// Describes a request.
#[derive(Clone, Debug)]
pub struct CallSpec {
    /// The service.
    pub service: String,
    /// HTTP method.
    pub method: Method,
    /// Path below the service, with its leading slash.
    pub path: String,
    /// Body.
    pub body: Bytes,
    /// Whether it is an action, which carries a key and must not run twice.
    pub action: bool,
}

/// Records one attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Attempt {
    /// The entry VM that was asked.
    pub entry: SocketAddr,
    /// The nonce that was sent. Resends of an action repeat it; other resends don't.
    pub nonce: String,
    /// The key, of an action.
    pub key: Option<String>,
    /// The digest of what was sent.
    pub digest: String,
    /// When it was sent, in microseconds of the machine's monotonic clock.
    pub sent_us: u64,
    /// When the outcome was known.
    pub ended_us: u64,
    /// The outcome.
    pub told: Told,
}

/// Records one request with all its attempts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallRecord {
    /// The caller.
    pub caller: String,
    /// Its place.
    pub origin: String,
    /// The service.
    pub service: String,
    /// Whether it was an action.
    pub action: bool,
    /// The attempts, in order.
    pub attempts: Vec<Attempt>,
}

impl CallRecord {
    /// Returns what the caller was told in the end.
    #[must_use]
    pub fn outcome(&self) -> Option<&Told> {
        self.attempts.last().map(|attempt| &attempt.told)
    }
}

/// Sends requests and records what becomes of them.
#[derive(Debug)]
pub struct Caller {
    config: CallerConfig,
    client: Client<HttpConnector, Full<Bytes>>,
    rng: ChaCha8Rng,
    serial: u64,
    cache: BTreeMap<String, (Instant, LookUp)>,
}

impl Caller {
    /// Creates a caller; it connects when it needs to.
    #[must_use]
    pub fn new(config: CallerConfig) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_local_address(Some(config.source));
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(config.patience));
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            config,
            client,
            serial: 0,
            cache: BTreeMap::new(),
        }
    }

    /// Returns a cached look-up or asks for one; `None` if no entry VM gives one.
    pub async fn look_up(&mut self, service: &str) -> Option<LookUp> {
        if let Some((until, look_up)) = self.cache.get(service)
            && Instant::now() < *until
        {
            return Some(look_up.clone());
        }
        let entries = self.config.entries.clone();
        let first = self.rng.random_range(0..entries.len().max(1));
        for address in entries.iter().cycle().skip(first).take(entries.len()) {
            let asked = Instant::now();
            if let Some(look_up) = self.look_up_at(*address, service).await {
                let until = asked + Duration::from_millis(look_up.cache_ms);
                self.cache
                    .insert(service.to_owned(), (until, look_up.clone()));
                return Some(look_up);
            }
        }
        None
    }

    /// Returns the entry VMs that the caller may ask for a look-up.
    #[must_use]
    pub fn entries(&self) -> &[SocketAddr] {
        &self.config.entries
    }

    /// Returns the place of the caller.
    #[must_use]
    pub fn origin(&self) -> &str {
        &self.config.origin
    }

    /// Asks one entry VM for a look-up.
    pub async fn look_up_at(&self, entry: SocketAddr, service: &str) -> Option<LookUp> {
        let req = Request::get(format!("http://{entry}/lookup/{service}"));
        let response = self.exchange(req.body(Full::default()).ok()?).await.ok()?;
        response
            .is_ok()
            .then(|| serde_json::from_slice(&response.body).ok())?
    }

    /// Forgets a cached look-up.
    pub fn forget(&mut self, service: &str) {
        self.cache.remove(service);
    }

    /// Sends a request, through backups and again where the caller may, until there is
    /// a final outcome or the attempts are used up.
    ///
    /// An action whose answer was lost is resent with the same key. An action that was
    /// refused as not run is not sent again: the record stays unambiguous.
    pub async fn call(&mut self, spec: &CallSpec) -> CallRecord {
        let mut record = self.new_record(spec);
        let mut key = None;
        let mut nonce = self.next_nonce();
        for number in 0..MAX_ATTEMPTS {
            let Some(look_up) = self.look_up(&spec.service).await else {
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            };
            if spec.action && key.is_none() {
                key = Some(self.new_key(&look_up));
            }
            let entry = choose(&look_up, number);
            let attempt = self.send(entry, spec, &nonce, key.as_deref()).await;
            let told = attempt.told.clone();
            record.attempts.push(attempt);
            match told {
                Told::Answer { .. }
                | Told::WrongAnswer { .. }
                | Told::BackendFailed { .. }
                | Told::Malformed { .. } => break,
                Told::Refused { refusal, .. } => {
                    if spec.action || refusal.outcome != echo::NOT_RUN {
                        break;
                    }
                    pause(refusal.retry_after_ms).await;
                }
                Told::Lost { .. } => {
                    self.forget(&spec.service);
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
            if !spec.action {
                nonce = self.next_nonce();
            }
        }
        record
    }

    /// Starts a record of a request.
    #[must_use]
    pub fn new_record(&self, spec: &CallSpec) -> CallRecord {
        CallRecord {
            caller: self.config.name.clone(),
            origin: self.config.origin.clone(),
            service: spec.service.clone(),
            action: spec.action,
            attempts: Vec::new(),
        }
    }

    /// Draws a nonce that no other request carries.
    pub fn next_nonce(&mut self) -> String {
        self.serial += 1;
        format!(
            "{}-{}-{:08x}",
            self.config.name,
            self.serial,
            self.rng.random::<u32>()
        )
    }

    /// Draws a key for an action.
    pub fn new_key(&mut self, look_up: &LookUp) -> String {
        let random: u128 = self.rng.random();
        let ticket = look_up.ticket.as_deref().unwrap_or_default();
        format!("{ticket}.{random:032x}")
    }

    /// Sends a request once and checks what comes back.
    ///
    /// # Panics
    ///
    /// Panics if the request's parts make no valid HTTP request.
    pub async fn send(
        &self,
        entry: SocketAddr,
        spec: &CallSpec,
        nonce: &str,
        key: Option<&str>,
    ) -> Attempt {
        let digest = request_digest(spec.method.as_str(), &spec.path, nonce, &spec.body);
        let mut req = Request::builder()
            .method(&spec.method)
            .uri(format!("http://{entry}/svc/{}{}", spec.service, spec.path))
            .header(echo::NONCE_HEADER, nonce)
            .header(echo::ORIGIN_HEADER, &self.config.origin);
        if let Some(key) = key {
            req = req.header(echo::IDEMPOTENCY_KEY_HEADER, key);
        }
        let req = req.body(Full::new(spec.body.clone()));
        let req = req.expect("the parts of a test's request are valid");
        let sent_us = now_us();
        let told = match self.exchange(req).await {
            Ok(exchanged) => exchanged.told(nonce, &digest),
            Err(fault) => Told::Lost { fault },
        };
        Attempt {
            entry,
            nonce: nonce.to_owned(),
            key: key.map(ToOwned::to_owned),
            digest,
            sent_us,
            ended_us: now_us(),
            told,
        }
    }

    /// Sends a request straight to a backend server, to compare with.
    ///
    /// # Panics
    ///
    /// Panics if the request's parts make no valid HTTP request.
    pub async fn send_direct(&self, backend: SocketAddr, spec: &CallSpec, nonce: &str) -> Told {
        let digest = request_digest(spec.method.as_str(), &spec.path, nonce, &spec.body);
        let req = Request::builder()
            .method(&spec.method)
            .uri(format!("http://{backend}{}", spec.path))
            .header(echo::NONCE_HEADER, nonce)
            .header(echo::ORIGIN_HEADER, &self.config.origin)
            .body(Full::new(spec.body.clone()));
        let req = req.expect("the parts of a test's request are valid");
        match self.exchange(req).await {
            Ok(exchanged) if exchanged.is_ok() => exchanged.told_answer(nonce, &digest),
            Ok(exchanged) => Told::Malformed {
                status: exchanged.status.as_u16(),
                fault: "the backend server refused".to_owned(),
            },
            Err(fault) => Told::Lost { fault },
        }
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<Exchanged, String> {
        let exchange = async {
            let response = self.client.request(req).await.map_err(|err| chain(&err))?;
            let (parts, body) = response.into_parts();
            Ok(Exchanged {
                status: parts.status,
                headers: parts.headers,
                body: read_body(body).await?,
            })
        };
        let exchanged = timeout(self.config.patience, exchange).await;
        exchanged.unwrap_or_else(|_| Err(PATIENCE_RAN_OUT.to_owned()))
    }
}

/// Reads a body to its end and returns it.
///
/// # Errors
///
/// Returns what broke it off, or that it was longer than a caller keeps.
async fn read_body(mut body: Incoming) -> Result<Bytes, String> {
    let mut kept = BytesMut::new();
    let mut is_whole = true;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| chain(&err))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        is_whole &= kept.len() + data.len() <= MAX_BODY_BYTES;
        if is_whole {
            kept.extend_from_slice(&data);
        }
    }
    if is_whole {
        Ok(kept.freeze())
    } else {
        Err(format!("the body has more than {MAX_BODY_BYTES} bytes"))
    }
}

#[derive(Debug)]
struct Exchanged {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl Exchanged {
    fn is_ok(&self) -> bool {
        self.status.is_success()
    }

    fn told(&self, nonce: &str, digest: &str) -> Told {
        let outcome = self.headers.get(echo::OUTCOME_HEADER);
        let outcome = outcome
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        if outcome == "answer" {
            return self.told_answer(nonce, digest);
        }
        self.told_refusal(outcome)
            .unwrap_or_else(|fault| Told::Malformed {
                status: self.status.as_u16(),
                fault,
            })
    }

    fn told_answer(&self, nonce: &str, digest: &str) -> Told {
        if !self.is_ok() {
            return Told::BackendFailed {
                status: self.status.as_u16(),
            };
        }
        match check_answer(nonce, digest, &self.body) {
            Ok(head) => Told::Answer {
                backend: head.backend,
                place: head.place,
            },
            Err(err) => Told::WrongAnswer {
                fault: err.to_string(),
            },
        }
    }

    /// Checks the form of a refusal: a JSON body that agrees with the headers, with a
    /// time to come back where coming back makes sense.
    fn told_refusal(&self, outcome: &str) -> Result<Told, String> {
        let refusal: Refusal = serde_json::from_slice(&self.body).map_err(|err| err.to_string())?;
        if refusal.outcome != outcome {
            return Err(format!("header says {outcome}, body {}", refusal.outcome));
        }
        if !["not_run", "unknown"].contains(&outcome) {
            return Err(format!("unexpected outcome {outcome}"));
        }
        let retry_after = self.headers.get(http::header::RETRY_AFTER);
        if self.status == StatusCode::SERVICE_UNAVAILABLE && retry_after.is_none() {
            return Err("status 503 without Retry-After".to_owned());
        }
        Ok(Told::Refused {
            status: self.status.as_u16(),
            refusal,
        })
    }
}

/// Takes the entry that the look-up gives first, then its backups in turn.
fn choose(look_up: &LookUp, number: usize) -> SocketAddr {
    let backups = look_up.backups.iter();
    let all: Vec<_> = std::iter::once(&look_up.entry).chain(backups).collect();
    all[number % all.len()].address
}

async fn pause(asked_ms: Option<u64>) {
    let asked = asked_ms.map_or(RETRY_PAUSE, Duration::from_millis);
    tokio::time::sleep(asked.min(LONGEST_PAUSE)).await;
}

/// Renders an error with its causes; hyper's own texts leave them out.
fn chain(err: &dyn std::error::Error) -> String {
    let mut text = err.to_string();
    let mut source = err.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
