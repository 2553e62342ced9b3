//! Operators that change the route manifest in series and now and then race.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::config_record::Order;
use crate::config_record::OrderAnswer;
use crate::config_record::RouteSpec;
use crate::config_record::Routes;
use crate::config_recorder::Recorder;
use crate::config_routes;
use crate::config_routes::Form;
use crate::config_routes::SERVICES;
use crate::control_addresses::ControlAddresses;
use crate::http_call::call;

/// Time between two confirmed changes, in milliseconds, from and to.
const PAUSE_MS: std::ops::Range<u64> = 300..500;
/// Time after which a change without a clear answer is sent again.
const RESEND_AFTER: Duration = Duration::from_secs(1);
/// Time for which an answer is awaited; longer, as the late ones are of interest too.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
/// Routes of the first version.
const FIRST_ROUTES: usize = 6;
/// Routes from which on one is dropped for each that is added.
const MOST_ROUTES: usize = 40;
/// Share of changes that another operator's change of the same version competes with.
const RACES: f64 = 0.15;
/// Share of changes that are sent to several replicas at once.
const SENT_TO_SEVERAL: f64 = 0.5;
/// Replicas that they are sent to.
const SEVERAL: usize = 3;
/// Share of changes that are sent as a whole.
const WHOLE: f64 = 0.15;

/// Changes the manifest until its future is dropped.
#[derive(Debug)]
pub struct ConfigOperator {
    replicas: ControlAddresses,
    recorder: Arc<Recorder>,
    rng: ChaCha8Rng,
    /// The version in force, and its routes.
    version: u64,
    routes: Arc<Routes>,
    next_route: u64,
    /// Changes that are still sent until an answer is clear.
    pending: JoinSet<Settled>,
}

/// A change on its way.
#[derive(Clone, Debug)]
struct Proposal {
    change: usize,
    version: u64,
    routes: Arc<Routes>,
    body: Bytes,
}

/// A change with its first clear answer.
#[derive(Debug)]
struct Settled {
    proposal: Proposal,
    answer: OrderAnswer,
}

impl ConfigOperator {
    /// Creates operators of these control replicas.
    #[must_use]
    pub fn new(replicas: ControlAddresses, recorder: Arc<Recorder>, seed: u64) -> Self {
        Self {
            replicas,
            recorder,
            rng: ChaCha8Rng::seed_from_u64(seed),
            version: 0,
            routes: Arc::default(),
            next_route: 0,
            pending: JoinSet::new(),
        }
    }

    /// Changes the manifest without end.
    pub async fn run(mut self) {
        loop {
            let rivals = 1 + usize::from(self.version > 0 && self.rng.random_bool(RACES));
            let mut contending: Vec<Proposal> = Vec::new();
            for rival in 0..rivals {
                let skipped = u64::from(rival > 0 && self.rng.random_bool(0.5));
                let proposal = self.propose(skipped, contending.last());
                contending.push(proposal.clone());
                self.send(proposal);
            }
            let contending = contending.iter().map(|proposal| proposal.change).collect();
            if !self.settle(contending).await {
                self.read_back().await;
            }
            let pause = self.rng.random_range(PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Waits until one of these changes is confirmed, or all are refused; returns whether one is.
    async fn settle(&mut self, mut contending: Vec<usize>) -> bool {
        while !contending.is_empty() {
            let Some(Ok(settled)) = self.pending.join_next().await else {
                return false;
            };
            let change = settled.proposal.change;
            let contends = contending.contains(&change);
            if contends && settled.answer == OrderAnswer::Confirmed {
                self.version = settled.proposal.version;
                self.routes = settled.proposal.routes;
                return true;
            }
            contending.retain(|contender| *contender != change);
        }
        false
    }

    /// Goes on from what a replica says is in force.
    async fn read_back(&mut self) {
        let drawn = self.rng.random_range(0..self.replicas.count());
        let Some(replica) = self.replicas.get(drawn) else {
            return;
        };
        let call = call(replica, Method::GET, "/v1/routes", Bytes::new());
        let answer = timeout(ANSWER_TIMEOUT, call).await.ok().flatten();
        let manifest = answer.and_then(|(_, body)| config_routes::read(&body));
        if let Some(manifest) = manifest.filter(|found| found.version > self.version) {
            self.version = manifest.version;
            self.routes = manifest.routes;
        }
    }

    /// Draws a change; its number leaves out `skipped` ones. It differs from `rival`: the same
    /// change, sent twice, would rightly be confirmed twice.
    fn propose(&mut self, skipped: u64, rival: Option<&Proposal>) -> Proposal {
        let (routes, about) = loop {
            let (routes, about) = self.draw_routes();
            if rival.is_none_or(|rival| *rival.routes != routes) {
                break (Arc::new(routes), about);
            }
        };
        let version = self.version + 1 + skipped;
        let form = if self.rng.random_bool(WHOLE) {
            Form::Whole
        } else {
            Form::Patch
        };
        let body = config_routes::order(version, self.version, &self.routes, &routes, form);
        let noted = Arc::clone(&routes);
        let recorder = &self.recorder;
        Proposal {
            change: recorder.note_change(version, self.version, noted, &about),
            version,
            routes,
            body: Bytes::from(body),
        }
    }

    /// Draws the routes after a change, and the names of those concerned.
    fn draw_routes(&mut self) -> (Routes, Vec<String>) {
        let mut routes = (*self.routes).clone();
        let about = if self.version == 0 {
            (0..FIRST_ROUTES).map(|_| self.add(&mut routes)).collect()
        } else {
            self.draw_change(&mut routes)
        };
        (routes, about)
    }

    /// Changes `routes`; returns the names of those concerned.
    fn draw_change(&mut self, routes: &mut Routes) -> Vec<String> {
        let crowded = routes.len() >= MOST_ROUTES;
        let few = routes.len() < FIRST_ROUTES;
        match self.rng.random_range(0..100) {
            _ if few => vec![self.add(routes)],
            0..40 => {
                let mut about = vec![self.add(routes)];
                if crowded {
                    about.extend(self.drop_one(routes));
                }
                about
            }
            40..60 => self.drop_one(routes).into_iter().collect(),
            60..90 => self.modify(routes, |spec| {
                let other = SERVICES.iter().find(|service| **service != spec.service);
                spec.service = other.map_or_else(String::new, |other| (*other).to_owned());
            }),
            _ => self.modify(routes, |spec| spec.timeout_ms += 1),
        }
    }

    fn add(&mut self, routes: &mut Routes) -> String {
        let name = format!("r{}", self.next_route);
        self.next_route += 1;
        let service = SERVICES.choose(&mut self.rng).copied().unwrap_or_default();
        let spec = RouteSpec {
            service: service.to_owned(),
            timeout_ms: 1_000,
        };
        routes.insert(name.clone(), spec);
        name
    }

    fn drop_one(&mut self, routes: &mut Routes) -> Option<String> {
        let name = routes.keys().choose(&mut self.rng).cloned()?;
        routes.remove(&name);
        Some(name)
    }

    fn modify(&mut self, routes: &mut Routes, change: impl Fn(&mut RouteSpec)) -> Vec<String> {
        let Some(name) = routes.keys().choose(&mut self.rng).cloned() else {
            return Vec::new();
        };
        if let Some(spec) = routes.get_mut(&name) {
            change(spec);
        }
        vec![name]
    }

    /// Sends a change to one replica or several at a time until an answer is clear.
    fn send(&mut self, proposal: Proposal) {
        let several = self.rng.random_bool(SENT_TO_SEVERAL);
        let at_once = if several { SEVERAL } else { 1 };
        let mut order: Vec<usize> = (0..self.replicas.count()).collect();
        let first = self.rng.random_range(0..order.len());
        order.rotate_left(first);
        let sender = Sender {
            proposal,
            replicas: self.replicas.clone(),
            recorder: Arc::clone(&self.recorder),
        };
        self.pending.spawn(sender.run(order, at_once));
    }
}

#[derive(Clone, Debug)]
struct Sender {
    proposal: Proposal,
    replicas: ControlAddresses,
    recorder: Arc<Recorder>,
}

impl Sender {
    async fn run(self, order: Vec<usize>, at_once: usize) -> Settled {
        let (tx, mut rx) = mpsc::unbounded_channel();
        let mut turn = order.into_iter().cycle();
        loop {
            for replica in turn.by_ref().take(at_once) {
                let (sender, tx) = (self.clone(), tx.clone());
                // A late answer is taken down even if another one was clear before.
                tokio::spawn(async move {
                    let answer = sender.order(replica).await;
                    let _ = tx.send(answer);
                });
            }
            let clear = async {
                loop {
                    match rx.recv().await {
                        Some(OrderAnswer::Unclear) => {}
                        answer => return answer,
                    }
                }
            };
            if let Ok(Some(answer)) = timeout(RESEND_AFTER, clear).await {
                let proposal = self.proposal;
                return Settled { proposal, answer };
            }
        }
    }

    async fn order(&self, replica: usize) -> OrderAnswer {
        let sent_us = self.recorder.now_us();
        let body = self.proposal.body.clone();
        let status = match self.replicas.get(replica) {
            Some(address) => {
                let call = call(address, Method::POST, "/v1/routes", body);
                timeout(ANSWER_TIMEOUT, call).await.ok().flatten()
            }
            None => None,
        };
        let answer = match status.map(|(status, _)| status) {
            Some(StatusCode::OK) => OrderAnswer::Confirmed,
            Some(StatusCode::CONFLICT) => OrderAnswer::Conflict,
            Some(StatusCode::UNPROCESSABLE_ENTITY | StatusCode::BAD_REQUEST) => {
                OrderAnswer::Invalid
            }
            _ => OrderAnswer::Unclear,
        };
        let order = Order {
            change: self.proposal.change,
            replica,
            sent_us,
            answered_us: self.recorder.now_us(),
            answer,
        };
        self.recorder.modify(|record| record.orders.push(order));
        answer
    }
}
