//! The strategy of the library: one owner for each group, steering by pressure.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::admission::Admission;
use heatherring_lib::admission::Dispatch;
use heatherring_lib::admission::DispatchKey;
use heatherring_lib::admission::Effect;
use heatherring_lib::admission::Ending;
use heatherring_lib::admission::Offer;
use heatherring_lib::admission::RequestToken;
use heatherring_lib::admission::Verdict;
use heatherring_lib::admission::ViewStep;
use heatherring_lib::announcement::Announcement;
use heatherring_lib::announcement::BackendState;
use heatherring_lib::announcement_number::AnnouncementNumber;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::ContentDigest;
use heatherring_lib::id::ManifestVersion;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::SessionId;
use heatherring_lib::id::VmName;
use heatherring_lib::load_digest::DIGEST_INTERVAL;
use heatherring_lib::load_digest::LoadDigest;
use heatherring_lib::manifest::LookUps;
use heatherring_lib::manifest::Manifest;
use heatherring_lib::manifest::Operation;
use heatherring_lib::manifest::Place;
use heatherring_lib::manifest::PlaceLimit;
use heatherring_lib::manifest::Service;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::retry_budget::MAX_TRIES;
use heatherring_lib::retry_budget::RetryBudget;
use heatherring_lib::steering::Candidate;
use heatherring_lib::steering::Steering;
use heatherring_lib::steering::SteeringRequest;
use heatherring_lib::view::ControlView;
use heatherring_lib::view::EntryInfo;
use heatherring_lib::view::EntrySession;
use heatherring_lib::view::ManifestInForce;

use crate::report::Report;
use crate::world::DEADLINE;
use crate::world::EventQueue;
use crate::world::MEASURED;
use crate::world::Request;
use crate::world::WARM_UP;
use crate::world::World;

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
const TICK: Duration = Duration::from_millis(20);
const SERVICE: &str = "service";

/// Time before the first arrival that lets owners become active.
const SETTLING: Duration = Duration::from_secs(5);

enum Event {
    Arrive(Request),
    Offer {
        owner: usize,
        routed: RoutedRequest,
    },
    Reach {
        owner: usize,
        backend: usize,
        key: DispatchKey,
        routed: RoutedRequest,
    },
    Done {
        owner: usize,
        backend: usize,
        key: DispatchKey,
        routed: RoutedRequest,
    },
    Answered {
        owner: usize,
        key: DispatchKey,
        routed: RoutedRequest,
    },
    Reply(Request),
    Refused {
        routed: RoutedRequest,
        reason: NotRunReason,
    },
    Digests,
    DigestReceived {
        entry: usize,
        digest: Arc<LoadDigest>,
    },
    Announce,
    Tick,
}

/// A request and the candidates that are still to be tried, the next one last.
#[derive(Clone)]
struct RoutedRequest {
    request: Request,
    candidates: Vec<Candidate>,
    tries: usize,
    begun: Duration,
}

struct Entry {
    admission: Admission,
    steering: Steering,
    retries: RetryBudget,
    serial: u64,
}

pub struct Owners {
    start: Instant,
    queue: EventQueue<Event>,
    entries: Vec<Entry>,
    places: Vec<PlaceName>,
    service: ServiceName,
    waiting: HashMap<RequestToken, RoutedRequest>,
}

impl Owners {
    pub fn new(world: &World, seed: u64) -> Self {
        let start = Instant::now();
        let view = view(world);
        let entries = (0..world.entry_places.len()).map(|number| {
            let session = session_of(number);
            let mut admission = Admission::new(session, seed + session.0);
            admission.extend_lease(start + Duration::from_hours(1));
            admission.apply_view(start, &view, ViewStep::Whole);
            admission.settle(start, view.revision);
            let mut steering = Steering::new(session, seed + session.0);
            steering.apply_view(&view);
            for other in 0..world.entry_places.len() {
                let delay = world.delay(world.entry_places[number], world.entry_places[other]);
                if other != number {
                    steering.note_round_trip(session_of(other), 2 * delay);
                }
            }
            Entry {
                admission,
                steering,
                retries: RetryBudget::default(),
                serial: 0,
            }
        });
        Self {
            start: start + SETTLING,
            queue: EventQueue::new(),
            entries: entries.collect(),
            places: world
                .places
                .iter()
                .map(|(name, _)| PlaceName::new(*name))
                .collect(),
            service: ServiceName::new(SERVICE),
            waiting: HashMap::new(),
        }
    }

    pub fn run(mut self, world: &mut World) -> Report {
        self.queue.add(Duration::ZERO, Event::Announce);
        self.queue.add(Duration::ZERO, Event::Digests);
        self.queue.add(Duration::ZERO, Event::Tick);
        for request in std::mem::take(&mut world.arrivals) {
            self.queue.add(request.arrived, Event::Arrive(request));
        }
        while let Some((now, event)) = self.queue.pop() {
            self.step(world, now, event);
        }
        std::mem::replace(&mut world.report, Report::new(1.0))
    }

    fn step(&mut self, world: &mut World, now: Duration, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(world, now, request),
            Event::Offer { owner, routed } => self.offer(world, now, owner, routed),
            Event::Reach {
                owner,
                backend,
                key,
                routed,
            } => {
                if world.begin(backend, &routed.request) {
                    let done = now + routed.request.service;
                    self.queue.add(
                        done,
                        Event::Done {
                            owner,
                            backend,
                            key,
                            routed,
                        },
                    );
                } else {
                    self.finish(world, now, owner, key, Ending::ShedByServer);
                    self.refuse(world, now, owner, routed, NotRunReason::BackendRefused);
                }
            }
            Event::Done {
                owner,
                backend,
                key,
                routed,
            } => {
                world.backends[backend].running -= 1;
                let back = world.delay(world.entry_places[owner], world.backends[backend].place);
                self.queue
                    .add(now + back, Event::Answered { owner, key, routed });
            }
            Event::Answered { owner, key, routed } => {
                let latency = now.saturating_sub(routed.begun);
                self.finish(world, now, owner, key, Ending::Answered { latency });
                let back = between(world, owner, routed.request.entry);
                self.queue.add(now + back, Event::Reply(routed.request));
            }
            Event::Reply(request) => world.answered(now, &request),
            Event::Refused { routed, reason } => self.refused(world, now, routed, reason),
            Event::Digests => self.send_digests(world, now),
            Event::DigestReceived { entry, digest } => {
                let at = self.start + now;
                self.entries[entry].steering.take_digest(at, &digest);
            }
            Event::Announce => self.announce(world, now),
            Event::Tick => self.tick(world, now),
        }
    }

    fn arrive(&mut self, world: &mut World, now: Duration, request: Request) {
        let at = self.start + now;
        let entry = &mut self.entries[request.entry];
        entry.retries.note_request(at);
        let req = SteeringRequest {
            service: &self.service,
            origin: &self.places[request.origin],
            left: DEADLINE,
        };
        let mut candidates = entry.steering.candidates(at, req);
        candidates.truncate(MAX_TRIES);
        candidates.reverse();
        let routed = RoutedRequest {
            request,
            candidates,
            tries: 0,
            begun: now,
        };
        self.send(world, now, routed);
    }

    fn send(&mut self, world: &mut World, now: Duration, mut routed: RoutedRequest) {
        let Some(candidate) = routed.candidates.last() else {
            world.refused(now, &routed.request);
            return;
        };
        let entry = &mut self.entries[routed.request.entry];
        entry.steering.note_sent(self.start + now, candidate);
        let owner = number_of(candidate.owner);
        routed.tries += 1;
        let there = between(world, routed.request.entry, owner);
        self.queue.add(now + there, Event::Offer { owner, routed });
    }

    fn offer(&mut self, world: &mut World, now: Duration, owner: usize, routed: RoutedRequest) {
        let at = self.start + now;
        let token = RequestToken(u64::try_from(routed.request.id).expect("a small number"));
        let group = routed
            .candidates
            .last()
            .expect("a candidate is being tried")
            .group
            .clone();
        let offer = Offer {
            token,
            group,
            operation: 0,
            origin: self.places[routed.request.origin].clone(),
            deadline: self.start + routed.request.arrived + DEADLINE,
            idempotent: true,
        };
        match self.entries[owner].admission.offer(at, offer) {
            Verdict::Dispatch(dispatch) => self.dispatch(world, now, owner, &dispatch, routed),
            Verdict::Queued => {
                self.waiting.insert(token, routed);
            }
            Verdict::Refused(not_run) => self.refuse(world, now, owner, routed, not_run.reason()),
        }
    }

    fn dispatch(
        &mut self,
        world: &World,
        now: Duration,
        owner: usize,
        dispatch: &Dispatch,
        mut routed: RoutedRequest,
    ) {
        let backend: usize = dispatch.backend.as_str().parse().expect("a number");
        let there = world.delay(world.entry_places[owner], world.backends[backend].place);
        routed.begun = now;
        let key = dispatch.key;
        let reach = Event::Reach {
            owner,
            backend,
            key,
            routed,
        };
        self.queue.add(now + there, reach);
    }

    fn finish(
        &mut self,
        world: &mut World,
        now: Duration,
        owner: usize,
        key: DispatchKey,
        ending: Ending,
    ) {
        let at = self.start + now;
        let effects = self.entries[owner].admission.finish(at, key, ending);
        self.carry_out(world, now, owner, effects);
    }

    fn carry_out(&mut self, world: &mut World, now: Duration, owner: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Dispatch { token, dispatch } => {
                    if let Some(routed) = self.waiting.remove(&token) {
                        self.dispatch(world, now, owner, &dispatch, routed);
                    }
                }
                Effect::Refuse { token, refusal } => {
                    if let Some(routed) = self.waiting.remove(&token) {
                        self.refuse(world, now, owner, routed, refusal.reason());
                    }
                }
                _ => {}
            }
        }
    }

    fn refuse(
        &mut self,
        world: &World,
        now: Duration,
        owner: usize,
        routed: RoutedRequest,
        reason: NotRunReason,
    ) {
        let back = between(world, owner, routed.request.entry);
        self.queue
            .add(now + back, Event::Refused { routed, reason });
    }

    fn refused(
        &mut self,
        world: &mut World,
        now: Duration,
        mut routed: RoutedRequest,
        reason: NotRunReason,
    ) {
        let at = self.start + now;
        let entry = &mut self.entries[routed.request.entry];
        if let Some(candidate) = routed.candidates.pop() {
            entry.steering.note_refused(at, &candidate, reason);
        }
        if routed.candidates.is_empty() || !entry.retries.try_take(at) {
            world.refused(now, &routed.request);
        } else {
            self.send(world, now, routed);
        }
    }

    fn send_digests(&mut self, world: &World, now: Duration) {
        let at = self.start + now;
        for owner in 0..self.entries.len() {
            let entry = &mut self.entries[owner];
            entry.serial += 1;
            let digest = Arc::new(LoadDigest {
                session: session_of(owner),
                serial: entry.serial,
                loads: entry.admission.loads(at),
            });
            for other in 0..self.entries.len() {
                let there = between(world, owner, other);
                let digest = Arc::clone(&digest);
                self.queue.add(
                    now + there,
                    Event::DigestReceived {
                        entry: other,
                        digest,
                    },
                );
            }
        }
        if now < WARM_UP + MEASURED {
            self.queue.add(now + DIGEST_INTERVAL, Event::Digests);
        }
    }

    fn announce(&mut self, world: &mut World, now: Duration) {
        let at = self.start + now;
        for owner in 0..self.entries.len() {
            for (number, backend) in world.backends.iter().enumerate() {
                let announcement = Announcement {
                    backend: BackendName::new(number.to_string()),
                    service: self.service.clone(),
                    place: self.places[backend.place].clone(),
                    address: address(),
                    slots: world.slots,
                    max_connections: 330,
                    state: BackendState::Ready,
                    in_flight: backend.running,
                    load: f64::from(backend.running) / f64::from(world.slots),
                    number: AnnouncementNumber::default(),
                };
                let admission = &mut self.entries[owner].admission;
                let effects = admission.announce(at, &announcement);
                let effects = effects.expect("the announcement matches the manifest");
                assert!(
                    effects.is_empty(),
                    "an announcement alone dispatches nothing"
                );
            }
        }
        if now < WARM_UP + MEASURED {
            self.queue.add(now + ANNOUNCE_INTERVAL, Event::Announce);
        }
    }

    fn tick(&mut self, world: &mut World, now: Duration) {
        let at = self.start + now;
        for owner in 0..self.entries.len() {
            let effects = self.entries[owner].admission.tick(at);
            self.carry_out(world, now, owner, effects);
        }
        if now < WARM_UP + MEASURED {
            self.queue.add(now + TICK, Event::Tick);
        }
    }
}

fn between(world: &World, from: usize, to: usize) -> Duration {
    if from == to {
        return Duration::ZERO;
    }
    world.delay(world.entry_places[from], world.entry_places[to])
}

fn session_of(entry: usize) -> SessionId {
    SessionId(u64::try_from(entry + 1).expect("a small number"))
}

fn number_of(session: SessionId) -> usize {
    usize::try_from(session.0 - 1).expect("a small number")
}

fn address() -> SocketAddr {
    "127.0.0.1:1".parse().expect("a literal address")
}

fn view(world: &World) -> Arc<ControlView> {
    let limit = PlaceLimit {
        max_in_flight: 10_000,
        max_per_second: 1_000_000,
    };
    let service = Service {
        operations: vec![Operation {
            name: "read".into(),
            method: "GET".into(),
            path_prefix: "/".into(),
            idempotent: true,
            deadline_ms: u32::try_from(DEADLINE.as_millis()).expect("a short deadline"),
        }],
        max_slots_per_backend: world.slots,
        max_connections_per_backend: 330,
        limits: world
            .places
            .iter()
            .map(|(name, _)| (PlaceName::new(*name), limit))
            .collect(),
        warm_up_ms: 0,
    };
    let place = |(name, region): &(&str, &str)| {
        let region = RegionName::new(*region);
        (PlaceName::new(*name), Place { region })
    };
    let manifest = Manifest {
        version: ManifestVersion(1),
        deployment: "model".into(),
        places: world.places.iter().map(place).collect(),
        services: BTreeMap::from([(ServiceName::new(SERVICE), service)]),
        shift_caps: Vec::new(),
        links: Vec::new(),
        drains: Vec::new(),
        client_blocks: Vec::new(),
        look_ups: LookUps::default(),
    };
    let sessions = world
        .entry_places
        .iter()
        .enumerate()
        .map(|(number, place)| {
            let (name, region) = world.places[*place];
            let session = EntrySession {
                id: session_of(number),
                info: EntryInfo {
                    vm: VmName::new(format!("entry-{number}")),
                    place: PlaceName::new(name),
                    region: RegionName::new(region),
                    callers: address(),
                    backend_servers: address(),
                    peers: address(),
                    forward: address(),
                },
                leaving: false,
            };
            (session.id, session)
        });
    let revision = Revision(20);
    Arc::new(ControlView {
        revision,
        manifest: Some(Arc::new(ManifestInForce {
            revision,
            digest: ContentDigest::of(b"model"),
            manifest,
        })),
        sessions: sessions.collect(),
    })
}
