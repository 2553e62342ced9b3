//! A model of entry VMs that dispatch directly to backend servers, in simulated time.
//!
//! Backend servers run a few requests at a time and queue some more. A request takes less
//! time where its object was handled lately; each server keeps a number of objects.

#![allow(dead_code)]

mod plan;
mod probe;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::affinity::ObjectHash;
use heatherring_lib::backend_load::LoadReport;
use heatherring_lib::direct_dispatch::DispatchConfig;
use heatherring_lib::direct_dispatch::Dispatcher;
use heatherring_lib::dispatch_policy::DispatchPolicy;
use heatherring_lib::dispatch_request::Choice;
use heatherring_lib::dispatch_request::DispatchRequest;
use heatherring_lib::dispatch_request::SendEnd;
use heatherring_lib::dispatch_request::SendOutcome;
use heatherring_lib::fleet_record::BackendRecord;
use heatherring_lib::fleet_record::BackendState;
use heatherring_lib::fleet_record::EntryRecord;
use heatherring_lib::fleet_update::FleetUpdate;
use heatherring_lib::fleet_update::FleetView;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::ManifestVersion;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::RouteName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::VmName;
use heatherring_lib::request_rank::RequestRank;
use heatherring_lib::route_manifest::CallerLimits;
use heatherring_lib::route_manifest::RouteService;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

#[allow(unused_imports, reason = "each test file uses a part of the model")]
pub use plan::Plan;
#[allow(unused_imports, reason = "each test file uses a part of the model")]
pub use probe::Probe;

/// Holds what callers got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Result {
    /// Requests asked in the counted part.
    pub asked: u32,
    /// Answered within the objective.
    pub in_objective: u32,
    /// Answered later, within the deadline.
    pub late: u32,
    /// Refused.
    pub refused: u32,
    /// Arrivals at cold data.
    pub cold_runs: u32,
    /// Largest part of one region's requests that went to other regions than in the 2 s
    /// before.
    pub most_shift: f64,
}

impl Result {
    /// Returns the share of requests that were answered within the objective.
    pub fn share(&self) -> f64 {
        f64::from(self.in_objective) / f64::from(self.asked.max(1))
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Join,
    Restart { entry: usize },
    Arrival { region: usize },
    Reaches { request: usize },
    Done { request: usize },
    Back { request: usize, shed: bool },
}

struct Request {
    entry: usize,
    /// Number of the entry VM's start.
    life: u32,
    server: usize,
    object: u32,
    began: Duration,
    choice: Choice,
}

struct Server {
    region: usize,
    running: u32,
    waiting: VecDeque<usize>,
    warm: VecDeque<u32>,
}

impl Server {
    fn new(region: usize) -> Self {
        Self {
            region,
            running: 0,
            waiting: VecDeque::new(),
            warm: VecDeque::new(),
        }
    }
}

/// Plays one plan.
pub struct Model {
    plan: Plan,
    origin: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    rng: ChaCha8Rng,
    dispatchers: Vec<Dispatcher>,
    /// How often each entry VM has started again.
    lives: Vec<u32>,
    servers: Vec<Server>,
    by_name: BTreeMap<BackendName, usize>,
    requests: Vec<Request>,
    /// When each request was sent, from which region and to which.
    sends: Vec<(Duration, usize, usize)>,
    result: Result,
}

const SERVICE: &str = "look-up";

pub fn service() -> ServiceName {
    ServiceName::new(SERVICE)
}

pub fn route() -> RouteName {
    RouteName::new("route")
}

pub fn region(index: usize) -> RegionName {
    RegionName::new(format!("region-{index}"))
}

pub fn place(index: usize) -> PlaceName {
    PlaceName::new(format!("place-{index}"))
}

impl Model {
    pub fn new(plan: Plan) -> Self {
        let origin = Instant::now();
        let view = view(&plan);
        let entries = plan.servers.len() * plan.entries;
        let dispatchers = (0..entries)
            .map(|entry| dispatcher(&plan, &view, entry, origin))
            .collect();
        let mut servers = Vec::new();
        let mut by_name = BTreeMap::new();
        for (region, count) in plan.servers.iter().enumerate() {
            for number in 0..*count {
                by_name.insert(server_name(region, number), servers.len());
                servers.push(Server::new(region));
            }
        }
        let rng = ChaCha8Rng::seed_from_u64(plan.seed);
        Self {
            plan,
            origin,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            rng,
            dispatchers,
            lives: vec![0; entries],
            servers,
            by_name,
            requests: Vec::new(),
            sends: Vec::new(),
            result: Result::default(),
        }
    }

    /// Plays to the end; the last half counts.
    pub fn play(mut self) -> Result {
        for region in 0..self.plan.servers.len() {
            self.schedule_arrival(region);
        }
        self.schedule(self.plan.length / 2, Event::Join);
        self.schedule_restarts();
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > self.plan.length {
                break;
            }
            self.now = at;
            match event {
                Event::Join => self.join(),
                Event::Restart { entry } => self.restart(entry),
                Event::Arrival { region } => {
                    self.arrive(region);
                    self.schedule_arrival(region);
                }
                Event::Reaches { request } => self.reach(request),
                Event::Done { request } => self.done(request),
                Event::Back { request, shed } => self.back(request, shed),
            }
        }
        self.result.most_shift = self.most_shift();
        self.result
    }

    fn most_shift(&self) -> f64 {
        const WINDOW: Duration = Duration::from_secs(2);
        const STEP: Duration = Duration::from_millis(500);
        let regions = self.plan.servers.len();
        let mut most = 0.0_f64;
        let mut from = Duration::ZERO;
        while from + 2 * WINDOW <= self.plan.length {
            for origin in 0..regions {
                let before = self.shares(origin, from, from + WINDOW);
                let after = self.shares(origin, from + WINDOW, from + 2 * WINDOW);
                let gained = before.iter().zip(&after).map(|(b, a)| (a - b).max(0.0));
                most = most.max(gained.sum());
            }
            from += STEP;
        }
        most
    }

    fn shares(&self, origin: usize, from: Duration, to: Duration) -> Vec<f64> {
        let mut counts = vec![0.0; self.plan.servers.len()];
        for (at, region, target) in &self.sends {
            if *region == origin && *at >= from && *at < to {
                counts[*target] += 1.0;
            }
        }
        let all = counts.iter().sum::<f64>().max(1.0);
        counts.iter().map(|count| count / all).collect()
    }

    fn at(&self) -> Instant {
        self.origin + self.now
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        let at = self.now + after;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Spreads the starts over the regions, one region after the other.
    fn schedule_restarts(&mut self) {
        let regions = self.plan.servers.len();
        let mut at = self.plan.length / 4;
        for number in 0..self.plan.restarting {
            let entry = (number % regions) * self.plan.entries + number / regions;
            self.schedule(at, Event::Restart { entry });
            at += self.plan.restart_gap;
        }
    }

    /// Has an entry VM start again: it knows the fleet, and nothing that it had learned.
    fn restart(&mut self, entry: usize) {
        let now = self.at();
        let view = view(&self.plan);
        self.lives[entry] += 1;
        self.dispatchers[entry] = dispatcher(&self.plan, &view, entry, now);
    }

    fn schedule_arrival(&mut self, region: usize) {
        let bursting = self.now >= self.plan.length / 4 && self.now < self.plan.length / 2;
        let factor = if bursting { self.plan.burst } else { 1.0 };
        let lot: f64 = self.rng.random_range(0.000_001..1.0);
        let part = self.plan.rate_parts.get(region).copied().unwrap_or(1.0);
        let gap = -lot.ln() / (self.plan.rate * part * factor);
        self.schedule(Duration::from_secs_f64(gap), Event::Arrival { region });
    }

    fn counts(&self, began: Duration) -> bool {
        let eighth = self.plan.length / 8;
        let (from, to) = self.plan.counted;
        let ended = began + self.plan.deadline <= self.plan.length;
        began >= eighth * from && began < eighth * to && ended
    }

    fn arrive(&mut self, region: usize) {
        let entry = region * self.plan.entries + self.rng.random_range(0..self.plan.entries);
        let object = self.rng.random_range(0..self.plan.objects);
        let service = service();
        let route = route();
        let ask = DispatchRequest {
            service: &service,
            route: &route,
            latency_objective: self.plan.objective,
            object: Some(ObjectHash::of("route", &object.to_string())),
            rank: RequestRank {
                team: None,
                route: 2,
            },
            deadline: self.at() + self.plan.deadline,
            objective: self.at() + self.plan.objective,
            answers_until: None,
            homes: &[],
            tried: &[],
            resend: false,
        };
        let now = self.at();
        self.dispatchers[entry].note_control_contact(now);
        let counted = self.counts(self.now);
        self.result.asked += u32::from(counted);
        let Ok(choice) = self.dispatchers[entry].choose(now, &ask) else {
            self.result.refused += u32::from(counted);
            return;
        };
        let server = self.by_name[&choice.name];
        let target = self.servers[server].region;
        self.sends.push((self.now, region, target));
        let away = target != region;
        let request = self.requests.len();
        self.requests.push(Request {
            entry,
            life: self.lives[entry],
            server,
            object,
            began: self.now,
            choice,
        });
        let way = if away {
            self.plan.delay / 2
        } else {
            Duration::ZERO
        };
        self.schedule(way, Event::Reaches { request });
    }

    fn join(&mut self) {
        let joining = self.plan.joining;
        for region in 0..self.plan.servers.len() {
            for number in 0..joining {
                let name = server_name(region, self.plan.servers[region] + number);
                self.by_name.insert(name, self.servers.len());
                self.servers.push(Server::new(region));
            }
        }
        let mut plan = self.plan.clone();
        for count in &mut plan.servers {
            *count += joining;
        }
        let view = view(&plan);
        let now = self.at();
        for dispatcher in &mut self.dispatchers {
            dispatcher.apply_view(now, &view);
        }
    }

    fn reach(&mut self, request: usize) {
        let server = self.requests[request].server;
        if self.servers[server].running < self.plan.slots {
            self.start(request);
        } else if self.servers[server].waiting.len() < self.plan.queue {
            self.servers[server].waiting.push_back(request);
        } else {
            self.send_back(request, true);
        }
    }

    fn start(&mut self, request: usize) {
        let Request { server, object, .. } = self.requests[request];
        let server = &mut self.servers[server];
        server.running += 1;
        let warm = server.warm.iter().position(|known| *known == object);
        if let Some(index) = warm {
            server.warm.remove(index);
        }
        server.warm.push_front(object);
        server.warm.truncate(self.plan.keeps);
        let part = if warm.is_some() {
            self.plan.warm_part
        } else {
            1.0
        };
        self.result.cold_runs += u32::from(warm.is_none());
        let spread = self.rng.random_range(0.85..1.15);
        let work = self.plan.work.mul_f64(part * spread);
        self.schedule(work, Event::Done { request });
    }

    fn done(&mut self, request: usize) {
        let server = self.requests[request].server;
        self.servers[server].running -= 1;
        while let Some(next) = self.servers[server].waiting.pop_front() {
            let waited = self.now.saturating_sub(self.requests[next].began);
            if waited < self.plan.deadline {
                self.start(next);
                break;
            }
            self.send_back(next, true);
        }
        self.send_back(request, false);
    }

    fn send_back(&mut self, request: usize, shed: bool) {
        let Request { entry, server, .. } = self.requests[request];
        let away = self.servers[server].region != entry / self.plan.entries;
        let way = if away {
            self.plan.delay / 2
        } else {
            Duration::ZERO
        };
        self.schedule(way, Event::Back { request, shed });
    }

    fn back(&mut self, request: usize, shed: bool) {
        let now = self.at();
        let request = &self.requests[request];
        let server = &self.servers[request.server];
        let end = SendEnd {
            backend: request.choice.backend,
            send: request.choice.send,
            outcome: if shed {
                SendOutcome::Shed
            } else {
                SendOutcome::Answered
            },
            load: Some(LoadReport {
                running: server.running,
                waiting: u32::try_from(server.waiting.len()).unwrap(),
                slots: self.plan.slots,
            }),
            object: Some(ObjectHash::of("route", &request.object.to_string())),
        };
        let took = self.now.saturating_sub(request.began);
        if self.counts(request.began) {
            self.result.refused += u32::from(shed);
            if !shed && took <= self.plan.objective {
                self.result.in_objective += 1;
            } else if !shed && took <= self.plan.deadline {
                self.result.late += 1;
            }
        }
        if request.life == self.lives[request.entry] {
            self.dispatchers[request.entry].ended(now, &end);
        }
    }
}

/// Returns an entry VM that starts at `now`.
fn dispatcher(plan: &Plan, view: &FleetView, entry: usize, now: Instant) -> Dispatcher {
    let places = (0..plan.servers.len())
        .map(|index| (place(index), region(index)))
        .collect();
    let cfg = DispatchConfig {
        vm: VmName::new(format!("entry-{entry}")),
        region: region(entry / plan.entries),
        places,
        resend_ratio: 0.2,
        resend_slack: 60.0,
        policy: DispatchPolicy::default(),
    };
    let mut dispatcher = Dispatcher::new(cfg, now);
    dispatcher.apply_view(now, view);
    dispatcher
}

fn server_name(region: usize, number: usize) -> BackendName {
    BackendName::new(format!("server-{region}-{number}"))
}

/// Returns the view that all entry VMs of a plan have.
pub fn view(plan: &Plan) -> FleetView {
    let mut backends = Vec::new();
    for (region, count) in plan.servers.iter().enumerate() {
        for number in 0..*count {
            let port = u16::try_from(1_000 + region * 100 + number).unwrap();
            backends.push((
                server_name(region, number),
                Arc::new(BackendRecord {
                    service: service(),
                    address: SocketAddr::from(([127, 0, 0, 1], port)),
                    place: place(region),
                    slots: plan.slots,
                    state: BackendState::Ready,
                    born: 0,
                    sequence: 1,
                    cold_for: Duration::ZERO,
                }),
            ));
        }
    }
    let entries = (0..plan.servers.len() * plan.entries).map(|index| {
        let record = EntryRecord {
            place: place(index / plan.entries),
            region: region(index / plan.entries),
            callers: SocketAddr::from(([127, 0, 0, 2], 1_000)),
            life: 1,
        };
        (VmName::new(format!("entry-{index}")), Arc::new(record))
    });
    let service_record = RouteService {
        health_path: "/health".to_owned(),
        max_connections: 100,
        protocol: "h1".to_owned(),
        tls: false,
        cold_start: Duration::from_secs(3),
        cold_rate: 7.5,
    };
    let update = FleetUpdate {
        teams: None,
        whole: true,
        base: Revision(0),
        revision: Revision(1),
        version: ManifestVersion(1),
        limits: CallerLimits::default(),
        routes: Vec::new(),
        services: vec![(service(), Arc::new(service_record))],
        backends,
        entries: entries.collect(),
        evacuated: Vec::new(),
        removed: Vec::new(),
    };
    FleetView::default().updated(&update).unwrap()
}
