//! Tests of limits that several entry VMs share: shift caps, for requests and for
//! look-ups, and link limits.

mod entry_model;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use entry_model::Decider;
use entry_model::Entry;
use entry_model::EntryModel;
use entry_model::entry_sample::entry_info;
use entry_model::manifest;
use entry_model::place;
use entry_model::service;
use entry_model::view;
use heatherring_lib::admission::ViewStep;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::SessionId;
use heatherring_lib::link_budget::LinkBudgets;
use heatherring_lib::manifest::LinkLimit;
use heatherring_lib::manifest::Manifest;
use heatherring_lib::manifest::PlaceLimit;
use heatherring_lib::manifest::Scope;
use heatherring_lib::manifest::ShiftCap;
use heatherring_lib::ownership::Group;
use heatherring_lib::ownership::OwnerTable;
use heatherring_lib::settled_share::split;
use heatherring_lib::shift_budget::Sharing;
use heatherring_lib::shift_budget::Shift;
use heatherring_lib::shift_budget::ShiftBudgets;
use heatherring_lib::shift_budget::allowed_per_second;
use heatherring_lib::shift_budget::cap_covers;
use heatherring_lib::usage_window::UsageWindow;
use heatherring_lib::usage_window::WINDOW;
use heatherring_lib::view::ControlView;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::Config;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const PLACES: [(&str, &str); 4] = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
const LIMIT: PlaceLimit = PlaceLimit {
    max_in_flight: 100,
    max_per_second: 40,
};

/// Maximum time between a decision and its count at the destination.
const TRAVEL_MS: u64 = 45;

/// Number of steps before the first disturbance and after the last.
const SETTLE_STEPS: u64 = 500;

/// Interface of the budgets under test.
trait Budget {
    fn new(session: SessionId) -> Self;
    fn apply_view(&mut self, now: Instant, view: &Arc<ControlView>, step: ViewStep);
    fn settle(&mut self, now: Instant, revision: Revision);
    /// Uses the whole available budget as an entry VM in `region`; returns the amount
    /// used.
    fn use_up(&mut self, now: Instant, region: &RegionName, manifest: &Manifest) -> u64;
    /// Returns the limit of all sessions together under a manifest.
    fn limit(manifest: &Manifest) -> u64;
}

/// Requests from callers in region a that are served in region b.
struct Requests(ShiftBudgets);

/// Look-ups from callers in region a that are answered with an entry VM in region b.
struct LookUps(ShiftBudgets);

/// Bytes from region a to region b.
struct Bytes(LinkBudgets);

fn take_shifts(budgets: &mut ShiftBudgets, now: Instant, manifest: &Manifest) -> u64 {
    let mut taken = 0;
    for (origin, served) in [("a1", "b1"), ("a2", "b2"), ("a1", "b2")] {
        let (service, origin, served) = (service(), place(origin), place(served));
        let shift = Shift {
            manifest,
            service: &service,
            origin: &origin,
            place: &served,
        };
        while taken < 1_000 && budgets.check(now, shift).is_ok() {
            budgets.charge(now, shift);
            taken += 1;
        }
    }
    taken
}

fn shift_limit(manifest: &Manifest) -> u64 {
    let service = &manifest.services[&service()];
    manifest
        .shift_caps
        .first()
        .map_or(u64::MAX, |cap| allowed_per_second(manifest, service, cap))
}

macro_rules! shift_budget {
    ($name:ident, $sharing:expr) => {
        impl Budget for $name {
            fn new(session: SessionId) -> Self {
                Self(ShiftBudgets::new(session, $sharing))
            }

            fn apply_view(&mut self, _: Instant, view: &Arc<ControlView>, step: ViewStep) {
                self.0.apply_view(view, &OwnerTable::of(view), step);
            }

            fn settle(&mut self, now: Instant, revision: Revision) {
                self.0.settle(now, revision);
            }

            fn use_up(&mut self, now: Instant, _: &RegionName, manifest: &Manifest) -> u64 {
                take_shifts(&mut self.0, now, manifest)
            }

            fn limit(manifest: &Manifest) -> u64 {
                shift_limit(manifest)
            }
        }
    };
}

shift_budget!(Requests, Sharing::Owners);
shift_budget!(LookUps, Sharing::AllSessions);

impl Budget for Bytes {
    fn new(session: SessionId) -> Self {
        Self(LinkBudgets::new(session))
    }

    fn apply_view(&mut self, _: Instant, view: &Arc<ControlView>, step: ViewStep) {
        self.0.apply_view(view, step);
    }

    fn settle(&mut self, now: Instant, revision: Revision) {
        self.0.settle(now, revision);
    }

    fn use_up(&mut self, now: Instant, region: &RegionName, _: &Manifest) -> u64 {
        let to = RegionName::new("b");
        if *region == to {
            return 0;
        }
        let mut taken = 0;
        while taken < 100_000 && self.0.try_send(now, &to, 500).is_ok() {
            taken += 500;
        }
        taken
    }

    fn limit(manifest: &Manifest) -> u64 {
        manifest.links.first().map_or(u64::MAX, |link| {
            u64::from(link.max_kilobytes_per_second) * 1_000
        })
    }
}

/// A budget that is used only under a lease.
struct Leased<B> {
    budget: B,
    lease_until: Option<Instant>,
}

impl<B: Budget> Decider for Leased<B> {
    fn start(session: SessionId) -> Self {
        Self {
            budget: B::new(session),
            lease_until: None,
        }
    }

    fn apply_view(&mut self, now: Instant, view: &Arc<ControlView>, step: ViewStep) {
        self.budget.apply_view(now, view, step);
    }

    fn settle(&mut self, now: Instant, revision: Revision) {
        self.budget.settle(now, revision);
    }

    fn extend_lease(&mut self, until: Instant) {
        self.lease_until = self.lease_until.max(Some(until));
    }
}

/// A fault or change that is injected at one time.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    Freeze {
        entry: usize,
        ms: u64,
    },
    Cut {
        entry: usize,
        ms: u64,
    },
    Restart {
        entry: usize,
    },
    Leave {
        entry: usize,
    },
    /// Views take up to this long from now on.
    Slow {
        entry: usize,
        ms: u64,
    },
    Cap {
        percent: u8,
    },
    NoCap,
}

fn disturbance() -> impl Strategy<Value = Disturbance> {
    let entry = 0..10_usize;
    proptest::prop_oneof![
        (entry.clone(), 100..3_000_u64).prop_map(|(entry, ms)| Disturbance::Freeze { entry, ms }),
        (entry.clone(), 100..3_000_u64).prop_map(|(entry, ms)| Disturbance::Cut { entry, ms }),
        entry
            .clone()
            .prop_map(|entry| Disturbance::Restart { entry }),
        entry.clone().prop_map(|entry| Disturbance::Leave { entry }),
        (entry, 5..400_u64).prop_map(|(entry, ms)| Disturbance::Slow { entry, ms }),
        (0..=100_u8).prop_map(|percent| Disturbance::Cap { percent }),
        (0..=100_u8).prop_map(|percent| Disturbance::Cap { percent }),
        proptest::prelude::Just(Disturbance::NoCap),
    ]
}

/// Generates disturbances, each with its distance from the previous one in steps of 5 ms.
fn disturbances() -> impl Strategy<Value = Vec<(u64, Disturbance)>> {
    prop::collection::vec((0..300_u64, disturbance()), 1..10)
}

fn capped(percent: Option<u8>) -> Manifest {
    let mut manifest = manifest(&PLACES, LIMIT);
    let region = |name: &str| Scope::Region(RegionName::new(name));
    if let Some(percent) = percent {
        manifest.shift_caps.push(ShiftCap {
            from: region("a"),
            to: region("b"),
            percent,
        });
        manifest.links.push(LinkLimit {
            from: RegionName::new("a"),
            to: RegionName::new("b"),
            max_kilobytes_per_second: u32::from(percent),
        });
    }
    manifest
}

struct Arrivals {
    seen: BTreeMap<Instant, u64>,
    /// All limits so far, each with the time it was submitted, the time its revision was
    /// settled, its revision and its value.
    limits: Vec<(Instant, Option<Instant>, Revision, u64)>,
}

impl Arrivals {
    /// Returns the largest limit that may apply in the window from `start`.
    fn allowed(&self, start: Instant) -> u64 {
        let travel = Duration::from_millis(TRAVEL_MS);
        let before = start.checked_sub(travel).unwrap_or(start);
        let in_force = self
            .limits
            .iter()
            .rposition(|(_, settled, ..)| settled.is_some_and(|settled| settled <= before));
        self.limits[in_force.unwrap_or(0)..]
            .iter()
            .filter(|(submitted, ..)| *submitted < start + WINDOW)
            .map(|(.., limit)| *limit)
            .max()
            .unwrap_or(0)
    }

    fn check(&self) -> Result<(), String> {
        for start in self.seen.keys() {
            let window = self.seen.range(*start..*start + WINDOW);
            let sum: u64 = window.map(|(_, amount)| *amount).sum();
            let allowed = self.allowed(*start);
            if sum > allowed {
                return Err(format!("{sum} used within a window, {allowed} allowed"));
            }
        }
        Ok(())
    }
}

/// Runs ten entry VMs that use their whole available budget at every step.
fn run<B: Budget>(seed: u64, disturbances: &[(u64, Disturbance)]) -> Arrivals {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let begin = Instant::now();
    let mut model: EntryModel<Leased<B>> = EntryModel::new(begin);
    let revision = model.control.submit(capped(Some(50)));
    let first = (begin, None, revision, B::limit(&capped(Some(50))));
    let mut arrivals = Arrivals {
        seen: BTreeMap::new(),
        limits: vec![first],
    };
    for number in 0..10 {
        let (place_name, region) = PLACES[number % PLACES.len()];
        let info = entry_info(&format!("entry-{number}"), place_name, region);
        model.entries.push(Entry::new(begin, info, 60));
    }
    let mut schedule = disturbances.iter();
    let mut next = schedule.next();
    let mut wait = SETTLE_STEPS + next.map_or(0, |(wait, _)| *wait);
    let disturbed: u64 = disturbances.iter().map(|(wait, _)| *wait).sum();
    for _ in 0..2 * SETTLE_STEPS + disturbed {
        model.step(&mut rng);
        step::<B>(&mut model, &mut arrivals, &mut rng);
        wait = wait.saturating_sub(1);
        if let Some((_, disturbance)) = next
            && wait == 0
        {
            disturb::<B>(&mut model, &mut arrivals, *disturbance);
            next = schedule.next();
            wait = next.map_or(0, |(wait, _)| *wait).max(1);
        }
    }
    arrivals
}

fn step<B: Budget>(
    model: &mut EntryModel<Leased<B>>,
    arrivals: &mut Arrivals,
    rng: &mut ChaCha8Rng,
) {
    let now = model.now;
    for (_, settled, revision, _) in &mut arrivals.limits {
        if model.control.settled() >= *revision {
            settled.get_or_insert(now);
        }
    }
    for entry in &mut model.entries {
        let (false, Some(leased)) = (entry.is_frozen(now), &mut entry.decider) else {
            continue;
        };
        let Some(in_force) = &entry.view.manifest else {
            continue;
        };
        if leased.lease_until.is_some_and(|until| now < until) {
            let used = leased
                .budget
                .use_up(now, &entry.info.region, &in_force.manifest);
            if used > 0 {
                let travel = Duration::from_millis(rng.random_range(0..=TRAVEL_MS));
                *arrivals.seen.entry(now + travel).or_default() += used;
            }
        }
    }
}

fn disturb<B: Budget>(
    model: &mut EntryModel<Leased<B>>,
    arrivals: &mut Arrivals,
    disturbance: Disturbance,
) {
    let now = model.now;
    let mut submit = |percent| {
        let manifest = capped(percent);
        let limit = B::limit(&manifest);
        let revision = model.control.submit(manifest);
        arrivals.limits.push((now, None, revision, limit));
    };
    match disturbance {
        Disturbance::Freeze { entry, ms } => {
            model.entries[entry].frozen_until = now + Duration::from_millis(ms);
        }
        Disturbance::Cut { entry, ms } => {
            model.entries[entry].cut_until = now + Duration::from_millis(ms);
        }
        Disturbance::Restart { entry } => model.entries[entry].restart(now),
        Disturbance::Leave { entry } => {
            if let Some(session) = model.entries[entry].session {
                model.control.leave(session);
            }
        }
        Disturbance::Slow { entry, ms } => model.entries[entry].max_delay_ms = ms,
        Disturbance::Cap { percent } => submit(Some(percent)),
        Disturbance::NoCap => submit(None),
    }
}

fn config() -> Config {
    Config {
        cases: 16,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..Config::default()
    }
}

macro_rules! budget_cases {
    ($($name:ident: $budget:ident;)*) => {
        proptest! {
            #![proptest_config(config())]
            $(
                /// Guards against more usage within a window than the limit in force, old
                /// or new, allows. Ten entry VMs use all they may while sessions open,
                /// freeze, lapse and leave, views lag and the limit changes, several
                /// times at once. It would happen if a session used its new share while
                /// another still used the old one.
                #[test]
                fn $name(seed in any::<u64>(), disturbances in disturbances()) {
                    let arrivals = run::<$budget>(seed, &disturbances);
                    prop_assert_eq!(arrivals.check(), Ok(()));
                }
            )*
        }
    };
}

budget_cases! {
    test_shift_budget_holds_for_requests: Requests;
    test_shift_budget_holds_for_look_ups: LookUps;
    test_shift_budget_holds_for_links: Bytes;
}

/// Without disturbances the whole cap is used, not just a part of it.
#[test]
fn test_shift_budget_uses_whole_cap() {
    let arrivals = run::<Requests>(1, &[]);
    let sum: u64 = arrivals.seen.values().sum();
    // 50% of 80 requests per second, over steps of 5 ms.
    let possible = 40 * 2 * SETTLE_STEPS * 5 / 1_000;
    assert!(sum * 100 > possible * 60, "{sum} of {possible} used");
}

macro_rules! scope_cases {
    ($($name:ident: $from:expr, $to:expr, $origin:literal => $served:literal, $covered:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let manifest = manifest(&PLACES, LIMIT);
                let cap = ShiftCap { from: $from, to: $to, percent: 50 };
                let (service, origin, served) = (service(), place($origin), place($served));
                let shift = Shift {
                    manifest: &manifest,
                    service: &service,
                    origin: &origin,
                    place: &served,
                };
                assert_eq!(cap_covers(&cap, shift), $covered);
            }
        )*
    };
}

fn region(name: &str) -> Scope {
    Scope::Region(RegionName::new(name))
}

fn at(name: &str) -> Scope {
    Scope::Place(place(name))
}

scope_cases! {
    test_shift_budget_region_to_region: region("a"), region("b"), "a2" => "b1", true;
    test_shift_budget_other_direction: region("a"), region("b"), "b1" => "a1", false;
    test_shift_budget_any_to_place: Scope::Any, at("a1"), "a2" => "a1", true;
    test_shift_budget_own_place: Scope::Any, at("a1"), "a1" => "a1", false;
    test_shift_budget_own_region: Scope::Any, region("a"), "a2" => "a1", false;
    test_shift_budget_place_to_any: at("a1"), Scope::Any, "a1" => "a2", true;
    test_shift_budget_region_to_any: region("a"), Scope::Any, "a1" => "a2", false;
    test_shift_budget_any_to_any: Scope::Any, Scope::Any, "a1" => "a2", true;
    test_shift_budget_home: Scope::Any, Scope::Any, "a1" => "a1", false;
}

/// Digests list the origins for which the cap is used up, and no others.
#[test]
fn test_shift_budget_reports_full_origins() {
    let now = Instant::now() + Duration::from_secs(2);
    let manifest = capped(Some(10));
    let view = view(1, manifest.clone(), &[(1, "entry-1", "b1", "b")]);
    let mut budgets = ShiftBudgets::new(SessionId(1), Sharing::Owners);
    budgets.apply_view(&view, &OwnerTable::of(&view), ViewStep::Whole);
    budgets.settle(now, Revision(1));
    let usable = now + Duration::from_secs(2);
    let group = Group::new(service(), place("b1"));
    let full = |budgets: &mut ShiftBudgets| budgets.full_origins(usable, &manifest, &group);
    assert!(full(&mut budgets).is_empty());
    take_shifts(&mut budgets, usable, &manifest);
    assert_eq!(full(&mut budgets), [place("a1"), place("a2")]);
}

/// Bytes of an answer beyond the share are repaid before anything else is sent.
#[test]
fn test_shift_budget_link_repays_excess() {
    let now = Instant::now();
    let view = view(1, capped(Some(10)), &[(1, "entry-1", "a1", "a")]);
    let mut links = LinkBudgets::new(SessionId(1));
    links.apply_view(&view, ViewStep::Whole);
    links.settle(now, Revision(1));
    let to = RegionName::new("b");
    let usable = now + Duration::from_secs(2);
    links.charge(usable, &to, 25_000);
    let free = (0..100)
        .map(|tenths| usable + Duration::from_millis(tenths * 100))
        .find(|at| links.try_send(*at, &to, 1_000).is_ok())
        .expect("the debt is repaid");
    // 25 kB at 10 kB per window take until the third window.
    assert!(free >= usable + 2 * WINDOW, "{:?}", free - usable);
    assert!(free <= usable + 4 * WINDOW, "{:?}", free - usable);
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn test_shift_budget_split_adds_up(
        total in 0..1_000_000_u64,
        weights in prop::collection::vec(0..1_000_u64, 1..20),
    ) {
        let sum: u64 = split(total, &weights).iter().sum();
        let expected = if weights.iter().all(|weight| *weight == 0) { 0 } else { total };
        prop_assert_eq!(sum, expected);
    }

    #[test]
    fn test_shift_budget_window_holds(
        gaps in prop::collection::vec((0..60_u64, 1..4_u64), 1..200),
        limit in 1..50_u64,
    ) {
        let mut now = Instant::now();
        let mut usage = UsageWindow::default();
        let mut used: Vec<(Instant, u64)> = Vec::new();
        for (gap, amount) in gaps {
            now += Duration::from_millis(gap);
            if usage.has_room(now, amount, limit) {
                usage.add(now, amount);
                used.push((now, amount));
            }
            let within = used.iter().filter(|(at, _)| *at + WINDOW > now);
            let sum: u64 = within.map(|(_, amount)| *amount).sum();
            prop_assert!(sum <= limit, "{} used of {}", sum, limit);
        }
    }
}
