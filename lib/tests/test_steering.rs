//! Tests of steering, for a single entry VM and for many together.

mod entry_model;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use entry_model::manifest;
use entry_model::place;
use entry_model::plenty;
use entry_model::service;
use entry_model::view;
use heatherring_lib::admission::ViewStep;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::SessionId;
use heatherring_lib::id::VmName;
use heatherring_lib::load_digest::GroupLoad;
use heatherring_lib::load_digest::LoadDigest;
use heatherring_lib::lookup::Lookups;
use heatherring_lib::manifest::Drain;
use heatherring_lib::manifest::Scope;
use heatherring_lib::manifest::ShiftCap;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::ownership::Group;
use heatherring_lib::retry_budget::RetryBudget;
use heatherring_lib::steering::Candidate;
use heatherring_lib::steering::Steering;
use heatherring_lib::steering::SteeringRequest;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const PLACES: [(&str, &str); 4] = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
const SESSIONS: [(u64, &str, &str, &str); 4] = [
    (1, "entry-1", "a1", "a"),
    (2, "entry-2", "a2", "a"),
    (3, "entry-3", "b1", "b"),
    (4, "entry-4", "b2", "b"),
];
/// The same places in a single region, so that digests divert requests to each of them.
const ONE_REGION: [(&str, &str); 4] = [("a1", "a"), ("a2", "a"), ("b1", "a"), ("b2", "a")];

const MS: Duration = Duration::from_millis(1);

fn owner_of(place_name: &str) -> SessionId {
    let session = SESSIONS.iter().find(|session| session.2 == place_name);
    SessionId(session.expect("one entry VM a place").0)
}

fn load(place_name: &str, slots: u32, in_use: u32) -> GroupLoad {
    GroupLoad {
        group: Group::new(service(), place(place_name)),
        slots,
        in_flight: in_use.min(slots),
        queued: in_use.saturating_sub(slots),
        arrivals_per_second: 0,
        expected_wait_ms: 0,
        service_ms: 20,
        warm_percent: 100,
        full_origins: Vec::new(),
    }
}

struct Entry {
    now: Instant,
    steering: Steering,
    serial: u64,
}

impl Entry {
    fn new(now: Instant, seed: u64) -> Self {
        Self::of(now, seed, &PLACES)
    }

    fn of(now: Instant, seed: u64, places: &[(&str, &str)]) -> Self {
        let mut steering = Steering::new(SessionId(1), seed);
        steering.apply_view(&view(9, manifest(places, plenty()), &SESSIONS));
        Self {
            now,
            steering,
            serial: 0,
        }
    }

    fn receive(&mut self, load: GroupLoad) {
        self.serial += 1;
        let digest = LoadDigest {
            session: owner_of(load.group.place.as_str()),
            serial: self.serial,
            loads: vec![load],
        };
        self.steering.take_digest(self.now, &digest);
    }

    fn candidates(&mut self, origin: &PlaceName, left: Duration) -> Vec<Candidate> {
        let service = service();
        let req = SteeringRequest {
            service: &service,
            origin,
            left,
        };
        self.steering.candidates(self.now, req)
    }

    fn places(&mut self) -> Vec<String> {
        let candidates = self.candidates(&place("a1"), Duration::from_secs(1));
        let name = |candidate: &Candidate| candidate.group.place.to_string();
        candidates.iter().map(name).collect()
    }
}

macro_rules! order_cases {
    ($($name:ident: $prepare:expr => $($expected:literal),*;)*) => {
        $(
            #[test]
            fn $name() {
                let mut entry = Entry::new(Instant::now(), 1);
                let prepare: fn(&mut Entry) = $prepare;
                prepare(&mut entry);
                let mut places = entry.places();
                places.truncate([$($expected),*].len());
                assert_eq!(places, [$($expected),*]);
            }
        )*
    };
}

fn note_refusal_by(entry: &mut Entry, place_name: &str, reason: NotRunReason) {
    let candidate = Candidate {
        group: Group::new(service(), place(place_name)),
        owner: owner_of(place_name),
        origin: place("a1"),
    };
    entry.steering.note_refused(entry.now, &candidate, reason);
}

order_cases! {
    test_steering_nearest_first: |_| {} => "a1", "a2";
    test_steering_passes_over_empty: |entry| entry.receive(load("a1", 0, 0)) => "a2";
    test_steering_passes_over_refused_shift: |entry| {
        note_refusal_by(entry, "a2", NotRunReason::ShiftCap);
        entry.receive(load("b1", 0, 0));
    } => "a1", "b2";
    test_steering_passes_over_hinted_shift: |entry| {
        let mut full = load("a2", 9, 0);
        full.full_origins.push(place("a1"));
        entry.receive(full);
        entry.receive(load("b2", 0, 0));
    } => "a1", "b1";
    test_steering_passes_over_unreachable: |entry| {
        let candidates = entry.candidates(&place("a1"), Duration::from_secs(1));
        entry.steering.note_unreachable(entry.now, &candidates[0]);
    } => "a2";
    test_steering_prefers_free_of_equals: |entry| {
        entry.receive(load("a1", 0, 0));
        entry.receive(load("a2", 0, 0));
        entry.receive(load("b1", 1_000_000, 0));
    } => "b1", "b2";
}

/// A place that is too far away for the deadline is not tried.
#[test]
fn test_steering_keeps_to_the_deadline() {
    let mut entry = Entry::new(Instant::now(), 1);
    let near = entry.candidates(&place("a1"), 50 * MS);
    assert_eq!(near.len(), 2, "{near:?}");
}

/// Guards against a delayed digest that replaces a newer one.
#[test]
fn test_steering_ignores_overtaken_digest() {
    let mut entry = Entry::new(Instant::now(), 1);
    entry.receive(load("a1", 9, 0));
    entry.serial = 0;
    entry.receive(load("a1", 0, 0));
    assert_eq!(entry.places()[0], "a1");
}

/// A group that refuses gets fewer requests, as far as other groups refuse less.
#[test]
fn test_steering_diverts_by_refusals() {
    let mut entry = Entry::new(Instant::now(), 1);
    let at_home = |entry: &mut Entry| (0..200).filter(|_| entry.places()[0] == "a1").count();
    for _ in 0..30 {
        note_refusal_by(&mut entry, "a1", NotRunReason::Overloaded);
    }
    let diverting = at_home(&mut entry);
    assert!(
        diverting < 80,
        "{diverting} of 200 still go to the group that refuses"
    );
    for place_name in ["a2", "b1", "b2"] {
        for _ in 0..30 {
            note_refusal_by(&mut entry, place_name, NotRunReason::Overloaded);
        }
    }
    // If all groups refuse alike, diverting requests gains nothing.
    assert_eq!(at_home(&mut entry), 200);
}

/// Simulates ten entry VMs that together send `demand` times what their own place can
/// serve, and see digests that are `lag` old. Returns the utilization of that place in
/// steps of 100 ms.
fn home_use(lag: Duration, demand: f64) -> Vec<f64> {
    const SLOTS: u32 = 90;
    const STEP: Duration = Duration::from_millis(100);
    let begin = Instant::now();
    let mut entries: Vec<Entry> = (0..10)
        .map(|seed| Entry::of(begin, seed, &ONE_REGION))
        .collect();
    let mut history: VecDeque<BTreeMap<&str, u32>> = VecDeque::new();
    let mut home = Vec::new();
    // Each step represents the requests of 100 ms, steered by each entry VM.
    let draws = 40_u32;
    for _ in 0..800 {
        let mut asked: BTreeMap<&str, u32> = BTreeMap::new();
        for entry in &mut entries {
            entry.now += STEP;
            for _ in 0..draws {
                let first = entry.places().remove(0);
                let place_name = ONE_REGION.iter().find(|(name, _)| *name == first);
                *asked
                    .entry(place_name.expect("a known place").0)
                    .or_default() += 1;
            }
        }
        let scale = demand * f64::from(SLOTS) / f64::from(draws * 10);
        history.push_back(asked);
        let now = &history[history.len() - 1];
        let used = |asked: &BTreeMap<&str, u32>, name: &str| {
            f64::from(asked.get(name).copied().unwrap_or(0)) * scale
        };
        home.push(used(now, "a1") / f64::from(SLOTS));
        let steps = usize::try_from(lag.as_millis() / STEP.as_millis()).expect("a short lag");
        if history.len() > steps {
            let old = &history[history.len() - 1 - steps];
            for entry in &mut entries {
                for (name, _) in ONE_REGION {
                    #[expect(
                        clippy::cast_possible_truncation,
                        clippy::cast_sign_loss,
                        reason = "a small positive count"
                    )]
                    let in_use = used(old, name) as u32;
                    entry.receive(load(name, SLOTS, in_use));
                }
            }
        }
    }
    home
}

macro_rules! lag_cases {
    ($($name:ident: $lag_ms:literal, $demand:literal;)*) => {
        $(
            /// Guards against traffic that oscillates between places: all entry VMs see
            /// the same digests, seconds old, and move to the places that were free then,
            /// faster than the digests show the effect.
            #[test]
            fn $name() {
                let home = home_use(Duration::from_millis($lag_ms), $demand);
                let swing = |part: &[f64]| {
                    let max = part.iter().copied().fold(f64::MIN, f64::max);
                    let min = part.iter().copied().fold(f64::MAX, f64::min);
                    max - min
                };
                let (early, late) = (swing(&home[..400]), swing(&home[400..]));
                let mean = home[400..].iter().sum::<f64>() / 400.0;
                println!("swing {early:.2}, then {late:.2}, mean {mean:.2}");
                // The remaining swing is the noise of steering 400 requests per step at
                // random.
                assert!(late <= 0.35, "swing {late}");
                assert!(late <= early, "swing {early}, then {late}");
                assert!((0.75..=1.05).contains(&mean), "mean {mean}");
            }
        )*
    };
}

lag_cases! {
    test_steering_settles_with_fresh_digests: 100, 1.5;
    test_steering_settles_with_digests_a_second_old: 1_000, 1.5;
    test_steering_settles_with_digests_two_seconds_old: 2_000, 1.5;
    test_steering_settles_with_digests_three_seconds_old: 3_000, 1.3;
}

/// Guards against a doubled load under overload, if every refused request were retried
/// elsewhere.
#[test]
fn test_steering_retry_budget_is_a_tenth() {
    let begin = Instant::now();
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for number in 0..10_000 {
        let now = begin + MS * number;
        budget.note_request(now);
        retries += u32::from(budget.try_take(now));
    }
    // A tenth of the requests, and two per second.
    assert!(
        (1_000..=1_030).contains(&retries),
        "{retries} retries of 10,000 requests"
    );
}

fn look_up(
    lookups: &mut Lookups,
    now: Instant,
    origin: &str,
    caller: u64,
) -> Result<String, NotRunReason> {
    lookups
        .look_up(now, &service(), &place(origin), caller)
        .map(|answer| answer.entry.info.vm.to_string())
        .map_err(|not_run| not_run.reason())
}

/// A look-up returns the nearest entry VM that is neither leaving nor drained, and the
/// same one each time.
#[test]
fn test_steering_look_up_names_the_nearest() {
    let now = Instant::now();
    let sessions = [
        SESSIONS[0],
        (5, "entry-5", "a1", "a"),
        SESSIONS[1],
        SESSIONS[2],
    ];
    let mut drained = manifest(&PLACES, plenty());
    drained.drains.push(Drain::Vm(VmName::new("entry-1")));
    let mut lookups = Lookups::new(SessionId(1));
    lookups.apply_view(
        &view(9, manifest(&PLACES, plenty()), &sessions),
        ViewStep::Whole,
    );
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for caller in 0..1_000 {
        let first = look_up(&mut lookups, now, "a1", caller).expect("an entry VM");
        assert_eq!(look_up(&mut lookups, now, "a1", caller), Ok(first.clone()));
        *counts.entry(first).or_default() += 1;
    }
    assert_eq!(counts.keys().collect::<Vec<_>>(), ["entry-1", "entry-5"]);
    assert!(counts.values().all(|count| *count > 400), "{counts:?}");
    lookups.apply_view(&view(10, drained, &sessions), ViewStep::OneChange);
    assert_eq!(look_up(&mut lookups, now, "a1", 1), Ok("entry-5".into()));
    assert_eq!(look_up(&mut lookups, now, "b2", 1), Ok("entry-3".into()));
}

/// Guards against moving all callers of a lost region at once by look-ups, if only
/// requests counted against the cap.
#[test]
fn test_steering_look_ups_count_as_shifts() {
    let now = Instant::now();
    let mut manifest = manifest(&PLACES, plenty());
    for limit in manifest
        .services
        .values_mut()
        .flat_map(|s| s.limits.values_mut())
    {
        limit.max_per_second = 50;
    }
    manifest.shift_caps.push(ShiftCap {
        from: Scope::Place(place("a1")),
        to: Scope::Place(place("b1")),
        percent: 20,
    });
    let mut lookups = Lookups::new(SessionId(3));
    lookups.apply_view(&view(9, manifest, &SESSIONS[2..3]), ViewStep::Whole);
    lookups.settle(now, Revision(9));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut given = 0;
    for step in 0..1_000 {
        let at = now + Duration::from_secs(2) + MS * step;
        given += u32::from(look_up(&mut lookups, at, "a1", rng.random()).is_ok());
    }
    assert_eq!(given, 10, "20% of 50 per second");
}
