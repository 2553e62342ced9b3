//! Tests of the owner's admission control.

mod entry_model;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use entry_model::manifest;
use entry_model::place;
use entry_model::plenty;
use entry_model::service;
use entry_model::view;
use heatherring_lib::admission::Admission;
use heatherring_lib::admission::Dispatch;
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
use heatherring_lib::id::Revision;
use heatherring_lib::id::SessionId;
use heatherring_lib::manifest::Drain;
use heatherring_lib::manifest::Manifest;
use heatherring_lib::manifest::PlaceLimit;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::ownership::Group;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const PLACES: [(&str, &str); 2] = [("a1", "a"), ("a2", "a")];
const MS: Duration = Duration::from_millis(1);

/// The owner of a group, after the waiting time that follows the acquisition.
struct Owner {
    now: Instant,
    admission: Admission,
    next_token: u64,
}

impl Owner {
    fn new(manifest: Manifest) -> Self {
        let now = Instant::now();
        let view = view(1, manifest, &[(1, "entry-1", "a1", "a")]);
        let mut admission = Admission::new(SessionId(1), 1);
        admission.extend_lease(now + Duration::from_hours(1));
        admission.apply_view(now, &view, ViewStep::Whole);
        admission.settle(now, Revision(1));
        Self {
            now: now + Duration::from_secs(10),
            admission,
            next_token: 0,
        }
    }

    /// Creates an owner that has just acquired its group.
    fn fresh() -> Self {
        let mut owner = Self::new(manifest(&PLACES, plenty()));
        owner.now -= Duration::from_secs(10);
        owner
    }

    /// Creates an owner of `backends` that are warmed up.
    fn of(backends: &[&str]) -> Self {
        let mut owner = Self::new(manifest(&PLACES, plenty()));
        for backend in backends {
            owner.announce(&ready(backend));
        }
        owner
    }

    fn announce(&mut self, announcement: &Announcement) -> Vec<Effect> {
        self.admission
            .announce(self.now, announcement)
            .expect("the announcement matches the manifest")
    }

    fn offer(&mut self, deadline: Duration) -> Verdict {
        self.next_token += 1;
        let request = Offer {
            token: RequestToken(self.next_token),
            group: Group::new(service(), place("a1")),
            operation: 0,
            origin: place("a1"),
            deadline: self.now + deadline,
            idempotent: true,
        };
        self.admission.offer(self.now, request)
    }

    fn dispatch(&mut self) -> Dispatch {
        match self.offer(Duration::from_secs(1)) {
            Verdict::Dispatch(dispatch) => dispatch,
            other => panic!("not dispatched: {other:?}"),
        }
    }

    fn refusal(&mut self, deadline: Duration) -> (NotRunReason, Duration) {
        match self.offer(deadline) {
            Verdict::Refused(not_run) => {
                let retry_after = not_run.retry_after().expect("the refusal has a retry time");
                (not_run.reason(), retry_after)
            }
            other => panic!("not refused: {other:?}"),
        }
    }

    /// Offers requests until one is not dispatched; returns how many were.
    fn fill(&mut self) -> usize {
        let at_once =
            |_: &usize| matches!(self.offer(Duration::from_secs(1)), Verdict::Dispatch(_));
        (0..100).take_while(at_once).count()
    }

    fn finish(&mut self, dispatch: &Dispatch, ending: Ending) -> Vec<Effect> {
        self.admission.finish(self.now, dispatch.key, ending)
    }

    fn advance(&mut self, time: Duration) -> Vec<Effect> {
        self.now += time;
        self.admission.tick(self.now)
    }
}

const ANSWERED: Ending = Ending::Answered {
    latency: Duration::from_millis(20),
};

fn ready(backend: &str) -> Announcement {
    let address: SocketAddr = "127.0.0.1:2".parse().expect("a literal address");
    Announcement {
        backend: BackendName::new(backend),
        service: service(),
        place: place("a1"),
        address,
        slots: 3,
        max_connections: 330,
        state: BackendState::Ready,
        in_flight: 0,
        load: 0.0,
        number: AnnouncementNumber::default(),
    }
}

macro_rules! slot_cases {
    ($($name:ident: $change:expr => $slots:literal;)*) => {
        $(
            /// The number of concurrent requests stays within the slots, however many are
            /// offered.
            #[test]
            fn $name() {
                let mut manifest = manifest(&PLACES, plenty());
                let mut announcement = ready("r1");
                let change: fn(&mut Manifest, &mut Announcement) = $change;
                change(&mut manifest, &mut announcement);
                let mut owner = Owner::new(manifest);
                owner.announce(&announcement);
                assert_eq!(owner.fill(), $slots);
            }
        )*
    };
}

fn limit(manifest: &mut Manifest) -> &mut PlaceLimit {
    let service = manifest.services.values_mut().next().expect("one service");
    service
        .limits
        .get_mut(&place("a1"))
        .expect("the place has a limit")
}

slot_cases! {
    test_admission_slots_announced: |_, announced| announced.slots = 2 => 2;
    test_admission_slots_overstated: |_, announced| announced.slots = 50 => 3;
    test_admission_slots_by_connections: |_, announced| announced.max_connections = 1 => 1;
    test_admission_slots_by_place: |manifest, _| limit(manifest).max_in_flight = 2 => 2;
    test_admission_slots_by_rate: |manifest, _| limit(manifest).max_per_second = 1 => 1;
    test_admission_slots_while_starting: |_, announced| {
        announced.state = BackendState::Starting;
    } => 0;
    test_admission_slots_while_leaving: |_, announced| {
        announced.state = BackendState::Leaving;
    } => 0;
    // A report of requests in flight that this owner did not send reduces the slots by
    // half at most.
    test_admission_slots_reported_in_use: |_, announced| announced.in_flight = 3 => 2;
    test_admission_slots_reported_overload: |_, announced| announced.load = 9.0 => 2;
    test_admission_slots_reported_not_a_number: |_, announced| announced.load = f64::NAN => 3;
}

/// Guards against full load on a backend server whose last report is seconds old, because
/// the age of the report was ignored.
#[test]
fn test_admission_old_reports_lower_slots() {
    let mut owner = Owner::of(&["r1"]);
    owner.advance(1_200 * MS);
    assert_eq!(owner.fill(), 2);
    owner.advance(1_000 * MS);
    let (reason, _) = owner.refusal(Duration::from_secs(1));
    assert_eq!(reason, NotRunReason::NoBackendServer);
}

/// Guards against new requests to a leaving backend server: it announces that it is
/// leaving, then an earlier "ready" arrives via another entry VM and must not win.
#[test]
fn test_admission_leaving_holds() {
    let mut owner = Owner::of(&["r1"]);
    let mut leaving = ready("r1");
    leaving.state = BackendState::Leaving;
    let effects = owner.announce(&leaving);
    assert!(
        matches!(effects[..], [Effect::Disconnect { .. }]),
        "{effects:?}"
    );
    owner.advance(100 * MS);
    owner.announce(&ready("r1"));
    assert_eq!(owner.fill(), 0);
}

/// Guards against using a slot twice: the connection to a backend server breaks, and the
/// slot is given to the next request while the first is still running.
#[test]
fn test_admission_failed_requests_count_until_deadline() {
    let mut owner = Owner::of(&["r1"]);
    let dispatch = owner.dispatch();
    owner.finish(&dispatch, Ending::Failed);
    assert_eq!(owner.fill(), 2);
    let effects = owner.advance(1_100 * MS);
    let dispatched = |effect: &&Effect| matches!(effect, Effect::Dispatch { .. });
    // The queued requests have the same deadline, so none of them is dispatched any more.
    assert_eq!(effects.iter().filter(dispatched).count(), 0);
    owner.announce(&ready("r1"));
    assert_eq!(owner.fill(), 1);
}

/// Guards against immediate retries at a backend server that sheds load.
#[test]
fn test_admission_backs_off_from_shedding() {
    let mut owner = Owner::of(&["r1"]);
    let dispatch = owner.dispatch();
    owner.finish(&dispatch, Ending::ShedByServer);
    assert_eq!(owner.fill(), 0);
    owner.advance(60 * MS);
    assert_eq!(owner.fill(), 1);
}

/// Guards against occasional `no_backend_server` refusals while entry VMs are replaced: a
/// group changes owner, the release of the old owner is lost, and the new owner is asked
/// before any backend server has announced itself. It must not conclude that there are
/// none.
#[test]
fn test_admission_new_owner_waits_for_announcements() {
    let mut informed = Owner::fresh();
    let mut waited = Duration::ZERO;
    informed.announce(&ready("r1"));
    while !matches!(informed.offer(100 * MS), Verdict::Dispatch(_)) {
        waited += 50 * MS;
        informed.advance(50 * MS);
        informed.announce(&ready("r1"));
    }
    let mut owner = Owner::fresh();
    owner.advance(waited);
    let verdict = owner.offer(Duration::from_secs(1));
    assert!(matches!(verdict, Verdict::Queued), "{verdict:?}");
    owner.advance(100 * MS);
    let effects = owner.announce(&ready("r1"));
    let dispatched = |effect: &Effect| matches!(effect, Effect::Dispatch { .. });
    assert!(effects.iter().any(dispatched), "{effects:?}");
}

#[test]
fn test_admission_refuses_at_once_without_servers() {
    let mut owner = Owner::new(manifest(&PLACES, plenty()));
    let (reason, _) = owner.refusal(Duration::from_secs(1));
    assert_eq!(reason, NotRunReason::NoBackendServer);
}

/// Guards against further requests to a dead backend server after three consecutive
/// failures.
#[test]
fn test_admission_opens_circuit() {
    let mut owner = Owner::of(&["r1", "r2"]);
    let mut failed = BTreeMap::new();
    for _ in 0..20 {
        let dispatch = owner.dispatch();
        let dead = dispatch.backend == BackendName::new("r1");
        *failed.entry(dispatch.backend.clone()).or_insert(0) += 1;
        let ending = if dead { Ending::NotConnected } else { ANSWERED };
        owner.finish(&dispatch, ending);
    }
    assert_eq!(failed.get(&BackendName::new("r1")), Some(&3));
    // After the pause, a single request probes it.
    owner.advance(600 * MS);
    assert_eq!(owner.fill(), 4);
}

/// Guards against full load on a backend server that has just started and has cold
/// caches.
#[test]
fn test_admission_ramps_new_servers() {
    let mut manifest = manifest(&PLACES, plenty());
    for service in manifest.services.values_mut() {
        service.warm_up_ms = 2_000;
    }
    let mut owner = Owner::new(manifest);
    owner.announce(&ready("r1"));
    assert_eq!(owner.admission.loads(owner.now)[0].slots, 1);
    owner.advance(1_900 * MS);
    owner.announce(&ready("r1"));
    owner.advance(200 * MS);
    assert_eq!(owner.admission.loads(owner.now)[0].slots, 3);
}

/// Guards against a sudden full load from callers whose data the place has not cached.
#[test]
fn test_admission_ramps_new_origins() {
    let mut manifest = manifest(&PLACES, plenty());
    for service in manifest.services.values_mut() {
        service.warm_up_ms = 2_000;
    }
    let mut owner = Owner::new(manifest);
    for backend in ["r1", "r2", "r3"] {
        owner.announce(&ready(backend));
    }
    owner.advance(1_500 * MS);
    for backend in ["r1", "r2", "r3"] {
        owner.announce(&ready(backend));
    }
    owner.advance(600 * MS);
    assert_eq!(owner.admission.loads(owner.now)[0].slots, 9);
    assert_eq!(owner.fill(), 3);
}

/// A request that cannot be answered in time is refused on arrival, with a retry time; a
/// queued request is refused as soon as it can no longer be answered in time.
#[test]
fn test_admission_refuses_early() {
    let mut owner = Owner::of(&["r1"]);
    let dispatch = owner.dispatch();
    owner.finish(&dispatch, Ending::Answered { latency: 200 * MS });
    let (reason, retry_after) = owner.refusal(100 * MS);
    assert_eq!(reason, NotRunReason::DeadlineTooShort);
    assert!(retry_after >= 100 * MS, "{retry_after:?}");
    owner.fill();
    let (reason, _) = owner.refusal(400 * MS);
    assert_eq!(reason, NotRunReason::DeadlineTooShort);
    let effects = owner.advance(750 * MS);
    let late = |effect: &Effect| match effect {
        Effect::Refuse { refusal, .. } => refusal.reason() == NotRunReason::DeadlineTooShort,
        _ => false,
    };
    assert!(effects.iter().any(late), "{effects:?}");
}

/// Callers that are refused together get different retry times, so that they do not
/// return together.
#[test]
fn test_admission_spreads_returns() {
    let mut owner = Owner::of(&["r1"]);
    owner.fill();
    while matches!(owner.offer(Duration::from_secs(1)), Verdict::Queued) {}
    let mut times: Vec<_> = (0..50)
        .map(|_| owner.refusal(Duration::from_secs(1)).1)
        .collect();
    times.sort();
    assert!(times[40] > times[10] * 3 / 2, "{times:?}");
}

/// A cancelled request leaves the queue and makes room for another.
#[test]
fn test_admission_cancels_waiting() {
    let mut owner = Owner::of(&["r1"]);
    let dispatches: Vec<_> = (0..3).map(|_| owner.dispatch()).collect();
    assert_eq!(owner.offer(Duration::from_secs(1)), Verdict::Queued);
    assert!(owner.admission.cancel(owner.now, RequestToken(4)));
    assert!(owner.finish(&dispatches[0], ANSWERED).is_empty());
    assert!(!owner.admission.is_idle());
    for dispatch in &dispatches[1..] {
        owner.finish(dispatch, ANSWERED);
    }
    assert!(owner.admission.is_idle());
}

macro_rules! drain_cases {
    ($($name:ident: $drain:expr, $in_use:literal => $held_back:literal;)*) => {
        $(
            /// A planned drain is carried out if the remaining capacity suffices,
            /// otherwise it is held back.
            #[test]
            fn $name() {
                let mut manifest = manifest(&PLACES, plenty());
                manifest.drains.push($drain);
                let mut owner = Owner::new(manifest);
                for (backend, place_name) in [("r1", "a1"), ("r2", "a1"), ("r3", "a2")] {
                    let mut announcement = ready(backend);
                    announcement.place = place(place_name);
                    owner.announce(&announcement);
                }
                for _ in std::iter::repeat_n((), $in_use) {
                    owner.dispatch();
                }
                let decisions = owner.admission.decide_drains(owner.now, Vec::new());
                assert_eq!(decisions.len(), 1);
                assert_eq!(decisions[0].held_back.is_some(), $held_back, "{decisions:?}");
                let left = owner.fill() + $in_use;
                let expected = match $drain {
                    _ if $held_back => 6,
                    Drain::Place(_) => $in_use,
                    _ => 3 + $in_use,
                };
                assert!(left <= expected, "{left} requests run, {expected} allowed");
            }
        )*
    };
}

drain_cases! {
    test_admission_drains_place: Drain::Place(place("a1")), 0 => false;
    test_admission_drains_place_under_load: Drain::Place(place("a1")), 2 => false;
    test_admission_holds_place_back: Drain::Place(place("a1")), 3 => true;
    test_admission_drains_server: Drain::BackendServer(BackendName::new("r1")), 0 => false;
    test_admission_holds_server_back: Drain::BackendServer(BackendName::new("r1")), 6 => true;
}

/// Returns the requests answered within their deadline, as a fraction of the maximum that
/// the slots can serve, at `load` times that arrival rate.
fn goodput(load: f64, seed: u64) -> f64 {
    const SLOTS: f64 = 9.0;
    const SERVICE: f64 = 0.020;
    const SECONDS: u64 = 60;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut exponential = move |mean: f64| -mean * (1.0 - rng.random::<f64>()).ln();
    let mut owner = Owner::of(&["r1", "r2", "r3"]);
    let end = owner.now + Duration::from_secs(SECONDS);
    let mut running: Vec<(Instant, Instant, Dispatch)> = Vec::new();
    let mut next_arrival = owner.now;
    let mut next_tick = owner.now;
    let mut good = 0_u32;
    while owner.now < end {
        let next_end = running.iter().map(|(ends, ..)| *ends).min();
        let now = next_end.unwrap_or(end).min(next_arrival).min(next_tick);
        owner.now = now;
        let mut begun = Vec::new();
        if now == next_arrival {
            next_arrival += Duration::from_secs_f64(exponential(SERVICE / SLOTS / load));
            if let Verdict::Dispatch(dispatch) = owner.offer(200 * MS) {
                begun.push(dispatch);
            }
        }
        let mut effects = Vec::new();
        if now == next_tick {
            next_tick += 20 * MS;
            for backend in ["r1", "r2", "r3"] {
                owner.announce(&ready(backend));
            }
            effects = owner.advance(Duration::ZERO);
        }
        while let Some(done) = running.iter().position(|(ends, ..)| *ends <= now) {
            let (ends, start, dispatch) = running.swap_remove(done);
            good += u32::from(ends <= dispatch.deadline);
            let latency = ends - start;
            effects.extend(owner.finish(&dispatch, Ending::Answered { latency }));
        }
        begun.extend(effects.into_iter().filter_map(|effect| match effect {
            Effect::Dispatch { dispatch, .. } => Some(dispatch),
            _ => None,
        }));
        for dispatch in begun {
            let service = Duration::from_secs_f64(exponential(SERVICE));
            running.push((now + service, now, dispatch));
        }
    }
    f64::from(good) / (Duration::from_secs(SECONDS).as_secs_f64() * SLOTS / SERVICE)
}

/// Guards against a drop of goodput beyond full load, caused by work on requests that
/// finish too late.
#[test]
fn test_admission_goodput_holds_under_overload() {
    let loads = [0.5, 0.8, 0.95, 1.0, 1.2, 1.5, 3.0];
    let goodput: Vec<f64> = loads.iter().map(|load| goodput(*load, 1)).collect();
    println!("{loads:?} {goodput:?}");
    let peak = goodput.iter().copied().fold(0.0, f64::max);
    assert!(goodput[4] >= 0.95 * peak, "{goodput:?}");
    assert!(goodput[6] >= 0.95 * peak, "{goodput:?}");
    assert!(goodput[2] >= 0.90, "{goodput:?}");
}
