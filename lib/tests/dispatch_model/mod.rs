//! Simulation of entry VMs that dispatch directly to backend servers.
//!
//! A backend server runs a few requests concurrently and queues some more. A request takes less
//! time where its object was handled recently; each server caches a limited number of objects.

#![allow(dead_code)]

mod probe;
mod scenario;

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
use heatherring_lib::backend_statement::BackendStatement;
use heatherring_lib::backend_statement::ReceivedStatement;
use heatherring_lib::direct_dispatch::DispatchConfig;
use heatherring_lib::direct_dispatch::Dispatcher;
use heatherring_lib::dispatch_policy::DispatchPolicy;
use heatherring_lib::dispatch_request::BackendKey;
use heatherring_lib::dispatch_request::Choice;
use heatherring_lib::dispatch_request::DispatchRequest;
use heatherring_lib::dispatch_request::SendEnd;
use heatherring_lib::dispatch_request::SendOutcome;
use heatherring_lib::fleet_record::BackendRecord;
use heatherring_lib::fleet_record::BackendState;
use heatherring_lib::fleet_record::EntryRecord;
use heatherring_lib::fleet_update::FleetUpdate;
use heatherring_lib::fleet_update::FleetView;
use heatherring_lib::fleet_update::VersionedBackend;
use heatherring_lib::heartbeat_timing::HeartbeatTiming;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::ManifestVersion;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::RouteName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::VersionName;
use heatherring_lib::id::VmName;
use heatherring_lib::pushback::PushbackNotice;
use heatherring_lib::request_rank::RequestRank;
use heatherring_lib::resend_budget::ResendLimit;
use heatherring_lib::route_manifest::CallerLimits;
use heatherring_lib::route_manifest::RouteService;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

#[allow(unused_imports, reason = "each test file uses a part of the model")]
pub use probe::Probe;
#[allow(unused_imports, reason = "each test file uses a part of the model")]
pub use scenario::Refusal;
#[allow(unused_imports, reason = "each test file uses a part of the model")]
pub use scenario::Scenario;

/// Results as seen by the callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Result {
    /// Requests sent in the measured part.
    pub asked: u32,
    /// Responses within the latency objective.
    pub in_objective: u32,
    /// Later responses, within the deadline.
    pub late: u32,
    /// Refused requests.
    pub refused: u32,
    /// Requests that ran without cached data.
    pub cold_runs: u32,
    /// Requests that arrived at a backend server which had asked their sender for none.
    pub unwanted: u32,
    /// Requests of the second in which most arrived at one backend server after it had refused all.
    pub worst_second: u32,
    /// Largest shift of one region's requests to other regions within 2 s, as a share of its
    /// requests.
    pub max_shift: f64,
}

impl Result {
    /// Returns the share of requests answered within the latency objective.
    pub fn share(&self) -> f64 {
        f64::from(self.in_objective) / f64::from(self.asked.max(1))
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Join,
    Restart {
        entry: usize,
    },
    Arrival {
        region: usize,
    },
    ReachesServer {
        request: usize,
    },
    Done {
        request: usize,
    },
    Returns {
        request: usize,
        shed: bool,
        asks: Option<Duration>,
    },
}

struct Request {
    entry: usize,
    /// Number of restarts of the entry VM before the request.
    generation: u32,
    server: usize,
    object: u32,
    began: Duration,
    choice: Choice,
    tried: Vec<BackendKey>,
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

/// Runs one scenario.
pub struct Model {
    scenario: Scenario,
    origin: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    rng: ChaCha8Rng,
    dispatchers: Vec<Dispatcher>,
    /// Number of restarts of each entry VM.
    generations: Vec<u32>,
    servers: Vec<Server>,
    by_name: BTreeMap<BackendName, usize>,
    requests: Vec<Request>,
    /// Time, origin region and target region of each request sent.
    sends: Vec<(Duration, usize, usize)>,
    /// From when and until when a backend server wants no requests of an entry VM.
    asked: BTreeMap<(usize, usize), (Duration, Duration)>,
    /// Arrivals at backend servers that had refused all, by the second since then.
    since_refusal: BTreeMap<(usize, u64), u32>,
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
    pub fn new(scenario: Scenario) -> Self {
        let origin = Instant::now();
        let view = view(&scenario);
        let entries = scenario.servers.len() * scenario.entries;
        let dispatchers = (0..entries)
            .map(|entry| dispatcher(&scenario, &view, entry, origin))
            .collect();
        let mut servers = Vec::new();
        let mut by_name = BTreeMap::new();
        for (region, count) in scenario.servers.iter().enumerate() {
            for number in 0..*count {
                by_name.insert(server_name(region, number), servers.len());
                servers.push(Server::new(region));
            }
        }
        let rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        Self {
            scenario,
            origin,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            rng,
            dispatchers,
            generations: vec![0; entries],
            servers,
            by_name,
            requests: Vec::new(),
            sends: Vec::new(),
            asked: BTreeMap::new(),
            since_refusal: BTreeMap::new(),
            result: Result::default(),
        }
    }

    /// Runs the scenario to its end; only requests in `Scenario::counted` are measured.
    pub fn run(mut self) -> Result {
        for region in 0..self.scenario.servers.len() {
            self.schedule_arrival(region);
        }
        self.schedule(self.scenario.length / 2, Event::Join);
        self.schedule_restarts();
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > self.scenario.length {
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
                Event::ReachesServer { request } => self.reach(request),
                Event::Done { request } => self.done(request),
                Event::Returns {
                    request,
                    shed,
                    asks,
                } => self.receive(request, shed, asks),
            }
        }
        self.result.max_shift = self.max_shift();
        self.result
    }

    fn max_shift(&self) -> f64 {
        const WINDOW: Duration = Duration::from_secs(2);
        const STEP: Duration = Duration::from_millis(500);
        let regions = self.scenario.servers.len();
        let mut most = 0.0_f64;
        let mut from = Duration::ZERO;
        while from + 2 * WINDOW <= self.scenario.length {
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
        let mut counts = vec![0.0; self.scenario.servers.len()];
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

    /// Distributes the restarts over the regions round-robin.
    fn schedule_restarts(&mut self) {
        let regions = self.scenario.servers.len();
        let mut at = self.scenario.length / 4;
        for number in 0..self.scenario.restarting {
            let entry = (number % regions) * self.scenario.entries + number / regions;
            self.schedule(at, Event::Restart { entry });
            at += self.scenario.restart_gap;
        }
    }

    /// Restarts an entry VM: it knows the fleet, but has lost everything it had learned.
    fn restart(&mut self, entry: usize) {
        let now = self.at();
        let view = view(&self.scenario);
        self.generations[entry] += 1;
        self.dispatchers[entry] = dispatcher(&self.scenario, &view, entry, now);
    }

    fn schedule_arrival(&mut self, region: usize) {
        let bursting = self.now >= self.scenario.length / 4 && self.now < self.scenario.length / 2;
        let factor = if bursting { self.scenario.burst } else { 1.0 };
        let draw: f64 = self.rng.random_range(0.000_001..1.0);
        let part = self.scenario.rate_parts.get(region).copied().unwrap_or(1.0);
        let gap = -draw.ln() / (self.scenario.rate * part * factor);
        self.schedule(Duration::from_secs_f64(gap), Event::Arrival { region });
    }

    fn counts(&self, began: Duration) -> bool {
        let eighth = self.scenario.length / 8;
        let (from, to) = self.scenario.counted;
        let ended = began + self.scenario.deadline <= self.scenario.length;
        began >= eighth * from && began < eighth * to && ended
    }

    fn arrive(&mut self, region: usize) {
        let entry =
            region * self.scenario.entries + self.rng.random_range(0..self.scenario.entries);
        let object = self.rng.random_range(0..self.scenario.objects);
        let now = self.at();
        self.dispatchers[entry].note_control_contact(now);
        self.result.asked += u32::from(self.counts(self.now));
        self.send(entry, object, self.now, Vec::new());
    }

    /// Sends a request that began at `began`, and was sent to `tried` before.
    fn send(&mut self, entry: usize, object: u32, began: Duration, tried: Vec<BackendKey>) {
        let service = service();
        let route = route();
        let now = self.at();
        let arrived = self.origin + began;
        let dispatch_request = DispatchRequest {
            latency_objective: self.scenario.objective,
            rank: RequestRank {
                team: None,
                route: 2,
            },
            deadline: arrived + self.scenario.deadline,
            objective: arrived + self.scenario.objective,
            resend: !tried.is_empty(),
            tried: &tried,
            ..request(now, &service, &route, &object.to_string())
        };
        let Ok(choice) = self.dispatchers[entry].choose(now, &dispatch_request) else {
            self.result.refused += u32::from(self.counts(began));
            return;
        };
        let region = entry / self.scenario.entries;
        let server = self.by_name[&choice.name];
        let target = self.servers[server].region;
        self.sends.push((self.now, region, target));
        let is_remote = target != region;
        let request = self.requests.len();
        self.requests.push(Request {
            entry,
            generation: self.generations[entry],
            server,
            object,
            began,
            choice,
            tried,
        });
        let travel = if is_remote {
            self.scenario.delay / 2
        } else {
            Duration::ZERO
        };
        self.schedule(travel, Event::ReachesServer { request });
    }

    fn join(&mut self) {
        let joining = self.scenario.joining;
        for region in 0..self.scenario.servers.len() {
            for number in 0..joining {
                let name = server_name(region, self.scenario.servers[region] + number);
                self.by_name.insert(name, self.servers.len());
                self.servers.push(Server::new(region));
            }
        }
        let mut scenario = self.scenario.clone();
        for count in &mut scenario.servers {
            *count += joining;
        }
        let view = view(&scenario);
        let now = self.at();
        for dispatcher in &mut self.dispatchers {
            dispatcher.apply_view(now, &view);
        }
    }

    fn reach(&mut self, request: usize) {
        let server = self.requests[request].server;
        self.note_arrival(server, self.requests[request].entry);
        let refusal = self.scenario.refusal;
        if let Some(asks) = refusal.and_then(|refusal| refusal.asks(server, self.now)) {
            self.note_asked(server, self.requests[request].entry, asks);
            self.send_back(request, true, Some(asks));
        } else if self.servers[server].running < self.scenario.slots {
            self.start(request);
        } else if self.servers[server].waiting.len() < self.scenario.queue {
            self.servers[server].waiting.push_back(request);
        } else {
            let asks = self.scenario.asks_when_full;
            if let Some(asks) = asks {
                self.note_asked(server, self.requests[request].entry, asks);
            }
            self.send_back(request, true, asks);
        }
    }

    fn note_asked(&mut self, server: usize, entry: usize, asks: Duration) {
        // Requests that are on their way when the refusal arrives are not unwanted.
        let from = self.now + self.scenario.delay;
        let known = self.asked.entry((server, entry)).or_insert((from, from));
        known.1 = known.1.max(self.now + asks);
    }

    fn note_arrival(&mut self, server: usize, entry: usize) {
        if let Some((from, until)) = self.asked.get(&(server, entry)) {
            self.result.unwanted += u32::from(self.now > *from && self.now < *until);
            if self.now >= *until {
                self.asked.remove(&(server, entry));
            }
        }
        if let Some(refusal) = self.scenario.refusal
            && server.is_multiple_of(refusal.every)
            && self.now >= refusal.until
        {
            let second = self.now.saturating_sub(refusal.until).as_secs();
            let count = self.since_refusal.entry((server, second)).or_default();
            *count += 1;
            self.result.worst_second = self.result.worst_second.max(*count);
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
        server.warm.truncate(self.scenario.keeps);
        let part = if warm.is_some() {
            self.scenario.warm_part
        } else {
            1.0
        };
        self.result.cold_runs += u32::from(warm.is_none());
        let spread = self.rng.random_range(0.85..1.15);
        let work = self.scenario.work.mul_f64(part * spread);
        self.schedule(work, Event::Done { request });
    }

    fn done(&mut self, request: usize) {
        let server = self.requests[request].server;
        self.servers[server].running -= 1;
        while let Some(next) = self.servers[server].waiting.pop_front() {
            let waited = self.now.saturating_sub(self.requests[next].began);
            if waited < self.scenario.deadline {
                self.start(next);
                break;
            }
            self.send_back(next, true, None);
        }
        self.send_back(request, false, None);
    }

    fn send_back(&mut self, request: usize, shed: bool, asks: Option<Duration>) {
        let Request { entry, server, .. } = self.requests[request];
        let is_remote = self.servers[server].region != entry / self.scenario.entries;
        let travel = if is_remote {
            self.scenario.delay / 2
        } else {
            Duration::ZERO
        };
        let returns = Event::Returns {
            request,
            shed,
            asks,
        };
        self.schedule(travel, returns);
    }

    fn receive(&mut self, request: usize, shed: bool, asks: Option<Duration>) {
        let now = self.at();
        let request = &self.requests[request];
        let server = &self.servers[request.server];
        let outcome = if shed {
            SendOutcome::Shed
        } else {
            SendOutcome::Answered
        };
        let load = LoadReport {
            running: server.running,
            waiting: u32::try_from(server.waiting.len()).unwrap(),
            slots: self.scenario.slots,
        };
        let received = ReceivedStatement {
            statement: BackendStatement {
                load: Some(load),
                pushback: asks.map_or(PushbackNotice::Absent, PushbackNotice::For),
                ..BackendStatement::default()
            },
            at: now,
        };
        let end = SendEnd {
            statement: Some(received),
            object: Some(ObjectHash::of("route", &request.object.to_string())),
            ..SendEnd::new(&request.choice, outcome)
        };
        let took = self.now.saturating_sub(request.began);
        let resends = shed && request.tried.len() + 1 < self.scenario.attempts;
        let (entry, object, began) = (request.entry, request.object, request.began);
        let backend = request.choice.backend;
        let mut tried = request.tried.clone();
        if self.counts(began) {
            self.result.refused += u32::from(shed && !resends);
            if !shed && took <= self.scenario.objective {
                self.result.in_objective += 1;
            } else if !shed && took <= self.scenario.deadline {
                self.result.late += 1;
            }
        }
        if request.generation == self.generations[entry] {
            if self.scenario.observes {
                self.dispatchers[entry].note_statement(now, backend, &received);
            }
            self.dispatchers[entry].ended(now, &end);
            if resends {
                tried.push(backend);
                self.send(entry, object, began, tried);
            }
        }
    }
}

/// Creates the dispatcher of an entry VM that starts at `now`.
pub fn dispatcher(scenario: &Scenario, view: &FleetView, entry: usize, now: Instant) -> Dispatcher {
    let cfg = config(entry, entry / scenario.entries, scenario.servers.len());
    let mut dispatcher = Dispatcher::new(cfg, now);
    dispatcher.apply_view(now, view);
    dispatcher
}

/// Returns the configuration of an entry VM in the region `own` of `regions`.
pub fn config(entry: usize, own: usize, regions: usize) -> DispatchConfig {
    DispatchConfig {
        heartbeat: HeartbeatTiming::DEFAULT_INTERVAL,
        vm: VmName::new(format!("entry-{entry}")),
        region: region(own),
        places: (0..regions)
            .map(|index| (place(index), region(index)))
            .collect(),
        resends: ResendLimit {
            ratio: 0.2,
            slack: 60.0,
            window: None,
        },
        policy: DispatchPolicy::default(),
        link_rate: None,
    }
}

/// Returns a request for an object, with an objective of 1 s and a deadline of 3 s from `now`.
pub fn request<'a>(
    now: Instant,
    service: &'a ServiceName,
    route: &'a RouteName,
    object: &str,
) -> DispatchRequest<'a> {
    DispatchRequest {
        service,
        route,
        latency_objective: Duration::from_secs(1),
        object: Some(ObjectHash::of("route", object)),
        rank: RequestRank {
            team: None,
            route: 0,
        },
        deadline: now + Duration::from_secs(3),
        objective: now + Duration::from_secs(1),
        answers_until: None,
        homes: &[],
        tried: &[],
        resend: false,
    }
}

pub fn server_name(region: usize, number: usize) -> BackendName {
    BackendName::new(format!("server-{region}-{number}"))
}

/// Returns the fleet view shared by all entry VMs of a scenario.
pub fn view(scenario: &Scenario) -> FleetView {
    let mut backends = Vec::new();
    for (region, count) in scenario.servers.iter().enumerate() {
        for number in 0..*count {
            let port = u16::try_from(1_000 + region * 100 + number).unwrap();
            backends.push(VersionedBackend::new(
                server_name(region, number),
                Arc::new(BackendRecord {
                    service: service(),
                    address: SocketAddr::from(([127, 0, 0, 1], port)),
                    place: place(region),
                    slots: scenario.slots,
                    state: BackendState::Ready,
                    born: 0,
                    sequence: 1,
                    cold_for: Duration::ZERO,
                    version: VersionName::new(""),
                }),
            ));
        }
    }
    let entries = (0..scenario.servers.len() * scenario.entries).map(|index| {
        let record = EntryRecord {
            place: place(index / scenario.entries),
            region: region(index / scenario.entries),
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
        bulk_routes: Vec::new(),
        services: vec![(service(), Arc::new(service_record))],
        backends,
        rollouts: Vec::new(),
        entries: entries.collect(),
        evacuated: Vec::new(),
        removed: Vec::new(),
    };
    FleetView::default().updated(&update).unwrap()
}
