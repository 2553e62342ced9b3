//! Direct dispatch: each entry VM picks a backend server for each request by itself.
//!
//! The pick is the backend server where the request is expected to end first: the delay
//! on the way, the wait behind what is there already, and the time of the work, which is
//! short where the data are at hand. Rendezvous hashing gives each object a home in each
//! region, the same on every entry VM. When a home is busy the request goes on to where
//! it ends next soonest: the home in another region, or another backend server nearby.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::affinity::MemberHash;
use crate::affinity::ObjectHash;
use crate::backend_health::BackendHealth;
use crate::backend_load::BackendLoad;
use crate::backend_load::LoadReport;
use crate::backend_load::SendKey;
use crate::cold_gate;
use crate::cold_gate::ColdGate;
use crate::dispatch_pick;
use crate::dispatch_pick::Candidate;
use crate::dispatch_pick::PickLimits;
use crate::dispatch_pick::WarmUp;
use crate::fleet_record::BackendRecord;
use crate::fleet_record::BackendState;
use crate::fleet_update::FleetView;
use crate::id::BackendName;
use crate::id::PlaceName;
use crate::id::RegionName;
use crate::id::ServiceName;
use crate::id::VmName;
use crate::object_count::ObjectCount;
use crate::resend_budget::ResendBudget;
use crate::service_pace::ServicePace;

new_key_type! {
    /// Identifies a backend server within one dispatcher.
    pub struct BackendKey;
}

/// Delay to another region and back that is assumed before one was measured; the larger
/// part of what the users' regions have (70 and 110 ms).
const UNKNOWN_DELAY: Duration = Duration::from_millis(80);

/// Time for which an object that a backend server handled counts as at hand there.
const WARM_FOR: Duration = Duration::from_secs(20);

/// Objects that a backend server is taken to keep at hand. The users' keep 35 to 50.
const WARM_OBJECTS: usize = 48;

/// Factor over the usual time above which a backend server counts as slow. Times of single
/// requests differ by 15% or so.
const SLOW_MARGIN: f64 = 1.4;

/// Objects that one backend server is given to keep. The users' keep 35 to 50; some room
/// is left for objects that come over when another one fails.
const KEPT_OBJECTS: u32 = 28;

/// Backend servers in one region that an object is kept to at most.
const MOST_COPIES: usize = 4;

/// Names ranks of backend servers for an object.
struct Rank;

impl Rank {
    /// The rank of all that the object isn't kept to.
    const SPARE: usize = 3 * MOST_COPIES;
}

/// Share of the requests that make a further copy of their object before it is needed.
const SPARE_WARM_UPS: f64 = 0.1;

/// Factor by which a request takes longer at a cold backend server.
const COLD_FACTOR: f64 = 2.0;

/// What a certain failure costs a caller, in seconds: a request that breaks is lost, or
/// begins anew elsewhere.
const FAILURE_COST: f64 = 1.5;

/// What being turned away costs, in seconds: a way there and back and one resend.
const SHED_COST: f64 = 0.6;

/// Rate of failures from which on a backend server counts as faulty. One failure gives a
/// rate of 0.3, and some requests fail anywhere; were that reason enough to leave, objects
/// would go to where they aren't at hand all the time.
const FAULTY_RATE: f64 = 0.4;

/// What a rate of failures below that costs, in seconds: enough to prefer another backend
/// server that has the data, and too little to prefer one that hasn't.
const SINGLE_COST: f64 = 0.15;

/// Times that a request may take as long as without its data, beyond its wait, before a
/// backend server that has answered nothing meanwhile counts as hanging. Requests that wait
/// there unseen must not look like that.
const HANG_FACTOR: f64 = 1.5;

/// What each second beyond that costs, in seconds.
const HANG_COST: f64 = 4.0;

/// Share of the time left that a request may wait, by its priority. Less urgent requests
/// give way first: they are refused while there still is room for the urgent ones.
const WAIT_SHARES: [f64; 3] = [1.0, 0.8, 0.6];

/// Least and longest time after which a caller that was refused is told to come back. What
/// waits at busy backend servers takes some hundred milliseconds; whoever comes back before
/// that is refused once more, and callers come back once.
const COME_BACK: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(1));

/// Spread of that time, as a share of it, so that those refused together don't come back
/// together.
const COME_BACK_SPREAD: f64 = 0.5;

/// Holds what a dispatcher is set up with.
#[derive(Clone, Debug)]
pub struct DispatchConfig {
    /// The entry VM.
    pub vm: VmName,
    /// Its region.
    pub region: RegionName,
    /// The regions of all places.
    pub places: BTreeMap<PlaceName, RegionName>,
    /// Resends that all entry VMs together may make for each request.
    pub resend_ratio: f64,
    /// Resends that they may make besides, in any window.
    pub resend_slack: f64,
}

/// Asks for a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The object that the request concerns, if its data may be at hand somewhere.
    pub object: Option<ObjectHash>,
    /// Rank of the request; 0 goes first.
    pub priority: u32,
    /// When the answer must be there.
    pub deadline: Instant,
    /// Regions that the request must stay in; empty allows all.
    pub homes: &'a [RegionName],
    /// Backend servers that the request was sent to before.
    pub tried: &'a [BackendKey],
    /// Whether one of them received it.
    pub resend: bool,
}

/// Holds the backend server that was picked. The request counts as in flight there.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The backend server.
    pub backend: BackendKey,
    /// The request in flight.
    pub send: SendKey,
    /// Its name: one life of one process.
    pub name: BackendName,
    /// Where it is.
    pub address: SocketAddr,
    /// Connections to it that are allowed.
    pub max_connections: u32,
    /// Whether its data are expected to be at hand.
    pub warm: bool,
    /// When the answer is expected, in time from now.
    pub expected: Duration,
}

/// Tells why no backend server was picked, and when it makes sense to come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refused {
    /// Why.
    pub reason: RefusedReason,
    /// When to come back.
    pub come_back: Duration,
}

/// Names the reason of a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusedReason {
    /// No backend server of the service may be used.
    NoBackend,
    /// None would answer in time.
    NoRoom,
    /// The budget of resends is used up.
    NoResend,
}

impl RefusedReason {
    /// Returns the reason as logs and metrics name it.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoBackend => "no_backend",
            Self::NoRoom => "no_room",
            Self::NoResend => "no_resend",
        }
    }
}

/// Tells how a request at a backend server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// With an answer of the backend server.
    Answered,
    /// With an answer that tells of a fault of the backend server.
    Faulty,
    /// It was turned away without being run.
    Shed,
    /// Another backend server has that address.
    Misdirected,
    /// No connection could be had.
    Unreachable,
    /// The connection or the answer broke.
    Broken,
    /// The caller left or the time was over; tells nothing but that no answer came.
    Abandoned,
}

/// Reports the end of a request at a backend server.
#[derive(Clone, Copy, Debug)]
pub struct SendEnd {
    /// The backend server.
    pub backend: BackendKey,
    /// The request.
    pub send: SendKey,
    /// How it ended.
    pub outcome: SendOutcome,
    /// What the backend server said of its load.
    pub load: Option<LoadReport>,
    /// The object.
    pub object: Option<ObjectHash>,
}

#[derive(Debug)]
struct Backend {
    name: BackendName,
    hash: MemberHash,
    record: Arc<BackendRecord>,
    region: RegionName,
    /// Whether it may get requests at all.
    usable: bool,
    /// Whether control hasn't heard of it lately.
    silent: bool,
    load: BackendLoad,
    health: BackendHealth,
    cold_until: Instant,
    cold_gate: ColdGate,
    warm: HashMap<ObjectHash, Instant>,
    /// What each request in flight was expected to be, by its key.
    sends: HashMap<SendKey, Expectation>,
}

#[derive(Clone, Copy, Debug)]
struct Expectation {
    warm: bool,
    queued: bool,
    /// Time above which the backend server counts as slow. Where it isn't sure that the
    /// data are at hand, that is the time without.
    slow_above: Duration,
}

#[derive(Debug)]
struct Service {
    backends: Vec<BackendKey>,
    max_connections: u32,
    cold_rate: f64,
    pace: ServicePace,
    budget: ResendBudget,
    objects: ObjectCount,
    /// Objects that a further copy is being made of.
    warming: BTreeSet<ObjectHash>,
    /// Copies that may be made before they are needed.
    spare_warm_ups: f64,
}

/// Picks backend servers.
#[derive(Debug)]
pub struct Dispatcher {
    cfg: DispatchConfig,
    own: MemberHash,
    senders: Vec<MemberHash>,
    backends: SlotMap<BackendKey, Backend>,
    by_name: BTreeMap<BackendName, BackendKey>,
    services: BTreeMap<ServiceName, Service>,
    /// Shortest delay there and back that was seen, by region.
    delays: BTreeMap<RegionName, Duration>,
    silent: BTreeSet<BackendName>,
    evacuated: BTreeSet<PlaceName>,
    began: Instant,
    /// Where the next refusal's time lies in its spread, 0 to 1.
    lot: f64,
}

impl Dispatcher {
    /// Starts without knowing any backend server.
    #[must_use]
    pub fn new(cfg: DispatchConfig, now: Instant) -> Self {
        let own = MemberHash::of(cfg.vm.as_str());
        Self {
            cfg,
            own,
            senders: vec![own],
            backends: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            services: BTreeMap::new(),
            delays: BTreeMap::new(),
            silent: BTreeSet::new(),
            evacuated: BTreeSet::new(),
            began: now,
            lot: 0.0,
        }
    }

    /// Follows a view of the fleet.
    pub fn apply_view(&mut self, now: Instant, view: &FleetView) {
        self.follow_senders(view);
        self.follow_services(view);
        let returned: Vec<PlaceName> = self
            .evacuated
            .difference(&view.evacuated)
            .cloned()
            .collect();
        self.evacuated.clone_from(&view.evacuated);
        let gone: Vec<BackendName> = self
            .by_name
            .keys()
            .filter(|name| !view.backends.contains_key(*name))
            .cloned()
            .collect();
        for name in gone {
            self.remove(&name);
        }
        for (name, record) in &view.backends {
            self.follow_backend(now, name, record);
        }
        for place in returned {
            self.chill(now, &place);
        }
        self.regroup();
    }

    fn follow_senders(&mut self, view: &FleetView) {
        let mut senders: Vec<MemberHash> = view
            .entries
            .keys()
            .map(|vm| MemberHash::of(vm.as_str()))
            .collect();
        if !senders.contains(&self.own) {
            senders.push(self.own);
        }
        if senders.len() != self.senders.len() {
            for service in self.services.values_mut() {
                service.budget.share(self.cfg.resend_slack, senders.len());
            }
        }
        self.senders = senders;
    }

    fn follow_services(&mut self, view: &FleetView) {
        self.services
            .retain(|name, _| view.services.contains_key(name));
        for (name, known) in &view.services {
            let budget = ResendBudget::new(
                self.cfg.resend_ratio,
                self.cfg.resend_slack,
                self.senders.len(),
            );
            let service = self.services.entry(name.clone()).or_insert(Service {
                backends: Vec::new(),
                max_connections: 0,
                cold_rate: 0.0,
                pace: ServicePace::default(),
                budget,
                objects: ObjectCount::default(),
                warming: BTreeSet::new(),
                spare_warm_ups: 0.0,
            });
            service.max_connections = known.max_connections;
            service.cold_rate = known.cold_rate;
        }
    }

    fn follow_backend(&mut self, now: Instant, name: &BackendName, record: &Arc<BackendRecord>) {
        let known = self.by_name.get(name).copied();
        if let Some(key) = known {
            let backend = &mut self.backends[key];
            if Arc::ptr_eq(&backend.record, record) || backend.record == *record {
                return;
            }
            if record.sequence != backend.record.sequence {
                backend.cold_until = backend.cold_until.max(now + record.cold_for);
            }
            backend.record = Arc::clone(record);
            return;
        }
        let region = self.cfg.places.get(&record.place).cloned();
        let backend = Backend {
            name: name.clone(),
            hash: MemberHash::of(name.as_str()),
            record: Arc::clone(record),
            region: region.unwrap_or_else(|| RegionName::new("")),
            usable: false,
            silent: self.silent.contains(name),
            load: BackendLoad::default(),
            health: BackendHealth::new(now),
            cold_until: now + record.cold_for,
            cold_gate: ColdGate::new(self.began + Duration::from_secs(1)),
            warm: HashMap::new(),
            sends: HashMap::new(),
        };
        let key = self.backends.insert(backend);
        self.by_name.insert(name.clone(), key);
    }

    /// Treats the backend servers of a place as cold until their own word on it has come:
    /// they may have become cold while the place was evacuated.
    fn chill(&mut self, now: Instant, place: &PlaceName) {
        /// Time in which each has said at least once whether it is cold: a heartbeat every
        /// 1.5 s, and the way of its word here.
        const COLD_AFTER_EVACUATION: Duration = Duration::from_secs(2);
        for backend in self.backends.values_mut() {
            if backend.record.place == *place {
                backend.cold_until = backend.cold_until.max(now + COLD_AFTER_EVACUATION);
            }
        }
    }

    fn remove(&mut self, name: &BackendName) {
        if let Some(key) = self.by_name.remove(name) {
            self.backends.remove(key);
        }
    }

    fn regroup(&mut self) {
        for service in self.services.values_mut() {
            service.backends.clear();
        }
        for (key, backend) in &mut self.backends {
            let evacuated = self.evacuated.contains(&backend.record.place);
            backend.usable = backend.record.state == BackendState::Ready && !evacuated;
            if let Some(service) = self.services.get_mut(&backend.record.service) {
                service.backends.push(key);
            }
        }
    }

    /// Notes which backend servers control hasn't heard of lately.
    pub fn apply_silent(&mut self, silent: BTreeSet<BackendName>) {
        for backend in self.backends.values_mut() {
            backend.silent = silent.contains(&backend.name);
        }
        self.silent = silent;
    }

    /// Notes how long a connection to a backend server took to be established: one way
    /// there and back.
    pub fn note_connected(&mut self, key: BackendKey, took: Duration) {
        let Some(backend) = self.backends.get(key) else {
            return;
        };
        let known = self.delays.entry(backend.region.clone()).or_insert(took);
        *known = took.min(*known);
    }

    /// Picks a backend server, and counts the request as in flight there.
    ///
    /// # Errors
    ///
    /// Tells why none was picked.
    pub fn choose(&mut self, now: Instant, ask: &Ask<'_>) -> Result<Choice, Refused> {
        let refuse = |reason| Refused {
            reason,
            come_back: COME_BACK.0,
        };
        let Some(service) = self.services.get(ask.service) else {
            return Err(refuse(RefusedReason::NoBackend));
        };
        let left = ask.deadline.saturating_duration_since(now).as_secs_f64();
        let wait_share = WAIT_SHARES[(ask.priority as usize).min(WAIT_SHARES.len() - 1)];
        let candidates = self.candidates(now, service, ask);
        let limits = PickLimits {
            left,
            wait: left * wait_share,
            mean: service.pace.mean(),
            warm_up: service.warm_up(ask.object),
        };
        let best = dispatch_pick::pick(&candidates, &limits);
        let Some(best) = best else {
            return Err(if candidates.is_empty() {
                refuse(RefusedReason::NoBackend)
            } else {
                self.no_room(&candidates)
            });
        };
        let max_connections = service.max_connections;
        if let Some(service) = self.services.get_mut(ask.service) {
            if !ask.resend {
                service.budget.note_request();
            } else if !service.budget.try_take() {
                return Err(refuse(RefusedReason::NoResend));
            }
            if let Some(object) = ask.object {
                service.note_object(now, object, best.warm);
            }
        }
        Ok(self.begin(now, &best, ask, max_connections))
    }

    fn no_room(&mut self, candidates: &[Candidate]) -> Refused {
        let wait = candidates
            .iter()
            .map(|candidate| candidate.wait)
            .min_by(f64::total_cmp)
            .and_then(|wait| Duration::try_from_secs_f64(wait).ok());
        Refused {
            reason: RefusedReason::NoRoom,
            come_back: self.spread(wait.unwrap_or(COME_BACK.0).clamp(COME_BACK.0, COME_BACK.1)),
        }
    }

    /// Spreads a time evenly over the refusals that follow each other, by the golden ratio.
    fn spread(&mut self, time: Duration) -> Duration {
        const GOLDEN: f64 = 0.618_033_988_75;
        self.lot = (self.lot + GOLDEN).fract();
        time.mul_f64(1.0 + COME_BACK_SPREAD * (self.lot - 0.5))
    }

    fn begin(
        &mut self,
        now: Instant,
        best: &Candidate,
        ask: &Ask<'_>,
        max_connections: u32,
    ) -> Choice {
        let interval = self.cold_interval(best.backend, ask.service);
        let backend = &mut self.backends[best.backend];
        if now < backend.cold_until
            && let Some(interval) = interval
        {
            backend.cold_gate.note_sent(now, interval);
        }
        let send = backend.load.begin(now);
        let expectation = Expectation {
            warm: best.warm,
            queued: best.wait > 0.0,
            slow_above: seconds(best.slow_above),
        };
        backend.sends.insert(send, expectation);
        Choice {
            backend: best.backend,
            send,
            name: backend.name.clone(),
            address: backend.record.address,
            max_connections,
            warm: best.warm,
            expected: seconds(best.time()),
        }
    }

    fn cold_interval(&self, key: BackendKey, service: &ServiceName) -> Option<Duration> {
        let backend = &self.backends[key];
        let rate = self.services.get(service)?.cold_rate;
        let object = ObjectHash::of("cold", backend.name.as_str());
        cold_gate::interval(object, self.own, &self.senders, rate)
    }

    /// Returns the backend servers that a request may be sent to, with what each would
    /// mean for it.
    ///
    /// An object is kept to few backend servers, so that its data are at hand wherever its
    /// requests go. Only where all of them are out of use or full do others come in: each
    /// request there takes several times as long, so that spilling over under load makes
    /// the load several times as heavy, and keeps it so.
    fn candidates(&self, now: Instant, service: &Service, ask: &Ask<'_>) -> Vec<Candidate> {
        let stable: Vec<BackendKey> = service
            .backends
            .iter()
            .filter(|key| self.is_stable(now, **key, ask))
            .copied()
            .collect();
        let Some(object) = ask.object else {
            return self.assess(now, stable.iter().map(|key| (*key, 0)), service, ask);
        };
        let ranked = self.ranked(&stable, object, service.objects.count());
        let found = self.assess(now, ranked.into_iter(), service, ask);
        if !found.is_empty() {
            return found;
        }
        let all = stable.iter().map(|key| (*key, Rank::SPARE));
        let found = self.assess(now, all, service, ask);
        if !found.is_empty() {
            return found;
        }
        let cold = service
            .backends
            .iter()
            .filter(|key| self.backends[**key].usable && now < self.backends[**key].cold_until);
        self.assess(now, cold.map(|key| (*key, Rank::SPARE)), service, ask)
    }

    fn assess(
        &self,
        now: Instant,
        ranked: impl Iterator<Item = (BackendKey, usize)>,
        service: &Service,
        ask: &Ask<'_>,
    ) -> Vec<Candidate> {
        ranked
            .filter(|(key, _)| self.is_allowed(now, *key, ask))
            .filter_map(|(key, rank)| self.candidate(now, key, rank, service, ask))
            .collect()
    }

    /// Returns whether a backend server counts for the ranking: what changes from one
    /// request to the next doesn't, or objects would move to and fro.
    fn is_stable(&self, now: Instant, key: BackendKey, ask: &Ask<'_>) -> bool {
        let backend = &self.backends[key];
        let at_home = ask.homes.is_empty() || ask.homes.contains(&backend.region);
        backend.usable && !backend.silent && at_home && now >= backend.cold_until
    }

    fn is_allowed(&self, now: Instant, key: BackendKey, ask: &Ask<'_>) -> bool {
        let backend = &self.backends[key];
        let at_home = ask.homes.is_empty() || ask.homes.contains(&backend.region);
        at_home && backend.health.is_reachable(now) && !ask.tried.contains(&key)
    }

    /// Ranks the backend servers for an object, the heaviest first, and returns those that
    /// it is kept to. The ranking is the same on every entry VM.
    ///
    /// A region's backend servers together keep as many objects at hand as there is room
    /// for: with room for two copies and a half of each object, half of the objects, drawn
    /// by their hash, have a third one there.
    fn ranked(
        &self,
        stable: &[BackendKey],
        object: ObjectHash,
        objects: usize,
    ) -> Vec<(BackendKey, usize)> {
        let mut regions: BTreeMap<&RegionName, Vec<(u64, BackendKey)>> = BTreeMap::new();
        for key in stable {
            let backend = &self.backends[*key];
            let weight = object.weight(backend.hash);
            let members = regions.entry(&backend.region).or_default();
            members.push((weight, *key));
        }
        let mut kept: Vec<(u64, BackendKey)> = Vec::new();
        let mut heaviest: Option<(u64, BackendKey)> = None;
        for (region, mut members) in regions {
            let copies = copies(object, region, members.len(), objects);
            members.sort_unstable_by_key(|member| std::cmp::Reverse(member.0));
            heaviest = heaviest.max(members.first().copied());
            kept.extend(members.into_iter().take(copies));
        }
        if kept.is_empty() {
            kept.extend(heaviest);
        }
        kept.sort_unstable_by_key(|member| std::cmp::Reverse(member.0));
        let ranks = kept.into_iter().enumerate();
        ranks.map(|(rank, (_, key))| (key, rank)).collect()
    }

    fn candidate(
        &self,
        now: Instant,
        key: BackendKey,
        rank: usize,
        service: &Service,
        ask: &Ask<'_>,
    ) -> Option<Candidate> {
        let backend = &self.backends[key];
        let is_cold = now < backend.cold_until;
        if is_cold {
            self.cold_interval(key, ask.service)?;
            if !backend.cold_gate.is_open(now) {
                return None;
            }
        }
        let slots = f64::from(backend.record.slots.max(1));
        let there = backend.load.estimate(now) + 1.0;
        let ahead = (there - slots).max(0.0);
        let known_warm = ask.object.is_some_and(|o| backend.has_warm(now, o));
        let warm = rank == 0 || known_warm;
        let factor = if is_cold { COLD_FACTOR } else { 1.0 };
        let slowness = backend.health.slowness(now);
        let service_time = service.pace.expected(warm) * factor * slowness;
        let wait = ahead * service.pace.mean() * factor * slowness / slots;
        let patience = wait + service.pace.expected(false) * HANG_FACTOR;
        let hanging = (backend.load.silence(now).as_secs_f64() - patience).max(0.0);
        let failures = backend.health.failure_rate(now);
        let sheds = backend.health.shed_rate(now);
        let fault = beyond(failures) * FAILURE_COST + beyond(sheds) * SHED_COST;
        Some(Candidate {
            backend: key,
            base: self.delay(&backend.region) + service_time,
            wait,
            fault: fault + hanging * HANG_COST,
            risk: (failures + sheds) * SINGLE_COST + tie_break(rank),
            load: there / slots,
            slow_above: service.pace.expected(known_warm) * factor * SLOW_MARGIN,
            warm,
            near: backend.region == self.cfg.region,
        })
    }

    fn delay(&self, region: &RegionName) -> f64 {
        if let Some(delay) = self.delays.get(region) {
            return delay.as_secs_f64();
        }
        if *region == self.cfg.region {
            0.0
        } else {
            UNKNOWN_DELAY.as_secs_f64()
        }
    }

    /// Notes how a request ended.
    pub fn ended(&mut self, now: Instant, end: &SendEnd) {
        let Some(backend) = self.backends.get_mut(end.backend) else {
            return;
        };
        let Some(sent_at) = backend.load.end(end.send) else {
            return;
        };
        let expectation = backend.sends.remove(&end.send);
        if let Some(service) = self.services.get_mut(&backend.record.service)
            && let Some(object) = end.object
            && expectation.is_some_and(|expectation| !expectation.warm)
        {
            service.warming.remove(&object);
        }
        let delay = self.delays.get(&backend.region).copied();
        let took = now
            .saturating_duration_since(sent_at)
            .saturating_sub(delay.unwrap_or_default());
        match end.outcome {
            SendOutcome::Answered => {
                backend.load.note_answer(now, end.load);
                backend.note_warm(now, end.object);
                let Some(expectation) = expectation else {
                    return;
                };
                if expectation.queued {
                    return;
                }
                backend
                    .health
                    .note_answer(now, took, expectation.slow_above);
                if let Some(service) = self.services.get_mut(&backend.record.service) {
                    service.pace.observe(expectation.warm, took);
                }
            }
            SendOutcome::Faulty => {
                backend.load.note_answer(now, end.load);
                backend.health.note_failure(now);
            }
            SendOutcome::Shed => {
                backend.load.note_answer(now, end.load);
                backend.health.note_shed(now);
            }
            SendOutcome::Misdirected => backend.usable = false,
            SendOutcome::Unreachable => backend.health.note_unreachable(now),
            SendOutcome::Broken => backend.health.note_failure(now),
            SendOutcome::Abandoned => {}
        }
    }

    /// Returns how many backend servers of a service may be used.
    #[must_use]
    pub fn usable_backends(&self, service: &ServiceName) -> usize {
        let Some(service) = self.services.get(service) else {
            return 0;
        };
        let usable = |key: &&BackendKey| self.backends[**key].usable;
        service.backends.iter().filter(usable).count()
    }
}

impl Service {
    /// Says whether a further copy of an object may be made.
    fn warm_up(&self, object: Option<ObjectHash>) -> WarmUp {
        match object {
            Some(object) if !self.warming.contains(&object) => {
                if self.spare_warm_ups >= 1.0 {
                    WarmUp::Ahead
                } else {
                    WarmUp::IfBusy
                }
            }
            _ => WarmUp::No,
        }
    }

    /// Notes where a request for an object goes.
    fn note_object(&mut self, now: Instant, object: ObjectHash, warm: bool) {
        self.objects.note(now, object);
        self.spare_warm_ups = (self.spare_warm_ups + SPARE_WARM_UPS).min(1.0);
        if !warm {
            self.spare_warm_ups = 0.0;
            self.warming.insert(object);
        }
    }
}

impl Backend {
    fn has_warm(&self, now: Instant, object: ObjectHash) -> bool {
        self.warm
            .get(&object)
            .is_some_and(|at| now.saturating_duration_since(*at) < WARM_FOR)
    }

    fn note_warm(&mut self, now: Instant, object: Option<ObjectHash>) {
        let Some(object) = object else { return };
        self.warm.insert(object, now);
        if self.warm.len() > WARM_OBJECTS {
            let oldest = self.warm.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(object, _)| *object) {
                self.warm.remove(&oldest);
            }
        }
    }
}

/// Returns to how many of a region's backend servers an object is kept.
fn copies(object: ObjectHash, region: &RegionName, members: usize, objects: usize) -> usize {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    let objects = u32::try_from(objects.max(1)).unwrap_or(u32::MAX);
    let room = f64::from(members.saturating_mul(KEPT_OBJECTS)) / f64::from(objects);
    #[expect(clippy::cast_precision_loss)]
    let lot = object.weight(MemberHash::of(region.as_str())) as f64 / u64::MAX as f64;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let copies = (room + lot).floor() as usize;
    copies.min(MOST_COPIES)
}

/// Returns by how much a rate of failures exceeds that of a sound backend server, 0 to 1.
fn beyond(rate: f64) -> f64 {
    ((rate - FAULTY_RATE) / (1.0 - FAULTY_RATE)).max(0.0)
}

/// Orders backend servers that are alike otherwise by their rank, in steps of 5 ms: well
/// below what a wait or a way to another region costs.
fn tie_break(rank: usize) -> f64 {
    const STEP: f64 = 0.005;
    let rank = u32::try_from(rank.min(Rank::SPARE)).unwrap_or(u32::MAX);
    STEP * f64::from(rank)
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
