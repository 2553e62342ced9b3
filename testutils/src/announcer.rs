//! Announces a fake backend server to the entry VM that owns it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::behaviour::Behaviour;
use crate::behaviour::LoadReport;
use crate::fake_backend_server::FakeBackendServerConfig;
use crate::ledger::Ledger;

/// How long an announcement may take before another address is tried.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after all addresses failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Reports kept for a lagging load report.
const REPORT_HISTORY: usize = 1_000;

/// Tells where a backend server is in its life.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It is warming up.
    Starting,
    /// It serves.
    Ready,
    /// It takes no new work and stops soon.
    Leaving,
}

#[derive(Debug, Serialize)]
struct Announcement<'a> {
    backend: &'a str,
    service: &'a str,
    place: &'a str,
    address: SocketAddr,
    slots: u32,
    max_connections: u32,
    state: Phase,
    #[serde(skip_serializing_if = "Option::is_none")]
    in_flight: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    load: Option<f64>,
}

#[derive(Debug, Deserialize)]
struct Taken {
    owner: Option<Owner>,
    repeat_ms: u64,
}

#[derive(Debug, Deserialize)]
struct Owner {
    address: SocketAddr,
}

pub(crate) struct Announcer {
    pub config: FakeBackendServerConfig,
    pub ledger: Ledger,
    pub phase: watch::Receiver<Phase>,
    pub behaviour: watch::Receiver<Behaviour>,
    pub leaving_taken: watch::Sender<bool>,
}

impl Announcer {
    /// Announces until the leaving is taken note of or the server is dropped.
    pub async fn run(mut self) {
        let begun = Instant::now();
        let starting = Duration::from_millis(self.config.starting_ms);
        let mut reports = Reports::default();
        let mut owner = None;
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(ANNOUNCE_TIMEOUT));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        loop {
            let mut phase = *self.phase.borrow_and_update();
            if phase == Phase::Starting && begun.elapsed() >= starting {
                phase = Phase::Ready;
            }
            let mode = self.behaviour.borrow().load_report;
            let truth = self.ledger.in_use(&self.config.backend).await;
            let in_flight = reports.reported(mode, truth);
            let silent = mode == LoadReport::Vanished && phase != Phase::Leaving;
            let taken = if silent {
                None
            } else {
                self.announce(&client, owner, phase, in_flight).await
            };
            let pause = taken
                .as_ref()
                .map_or(RETRY_PAUSE, |taken| Duration::from_millis(taken.repeat_ms));
            if taken.is_some() && phase == Phase::Leaving {
                self.leaving_taken.send_replace(true);
            }
            owner = taken
                .and_then(|taken| taken.owner)
                .map(|owner| owner.address);
            let changed = timeout(pause, self.phase.changed()).await;
            if matches!(changed, Ok(Err(_))) || self.leaving_taken.is_closed() {
                return;
            }
        }
    }

    async fn announce(
        &self,
        client: &Client<HttpConnector, Full<Bytes>>,
        owner: Option<SocketAddr>,
        state: Phase,
        in_flight: Option<u32>,
    ) -> Option<Taken> {
        let announcement = Announcement {
            backend: &self.config.backend,
            service: &self.config.service,
            place: &self.config.place,
            address: self.config.address,
            slots: self.config.slots,
            max_connections: self.config.max_connections,
            state,
            in_flight,
            load: in_flight.map(|count| f64::from(count) / f64::from(self.config.slots.max(1))),
        };
        let body = Bytes::from(serde_json::to_vec(&announcement).ok()?);
        for address in owner.iter().chain(&self.config.announce_to) {
            let posted = timeout(ANNOUNCE_TIMEOUT, post(client, *address, body.clone())).await;
            if let Ok(Some(taken)) = posted {
                return Some(taken);
            }
        }
        None
    }
}

async fn post(
    client: &Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    body: Bytes,
) -> Option<Taken> {
    let req = Request::post(format!("http://{address}/announce"));
    let req = req.header(http::header::CONTENT_TYPE, "application/json");
    let response = client.request(req.body(Full::new(body)).ok()?).await.ok()?;
    let ok = response.status().is_success();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    if !ok {
        return None;
    }
    serde_json::from_slice(&body).ok()
}

/// Keeps the true numbers of requests in flight, to report old ones.
#[derive(Debug, Default)]
struct Reports {
    truths: VecDeque<(Instant, u32)>,
    last: u32,
}

impl Reports {
    fn reported(&mut self, mode: LoadReport, truth: u32) -> Option<u32> {
        let now = Instant::now();
        self.truths.push_back((now, truth));
        if self.truths.len() > REPORT_HISTORY {
            self.truths.pop_front();
        }
        self.last = match mode {
            LoadReport::Honest => truth,
            LoadReport::Absent | LoadReport::Vanished => return None,
            LoadReport::Frozen => self.last,
            LoadReport::Lying { in_flight } => in_flight,
            LoadReport::Lagging { ms } => {
                let lag = Duration::from_millis(ms);
                let old = self.truths.iter().rev();
                let mut old = old.filter(|(at, _)| now.duration_since(*at) >= lag);
                old.next().map_or(0, |(_, truth)| *truth)
            }
        };
        Some(self.last)
    }
}
