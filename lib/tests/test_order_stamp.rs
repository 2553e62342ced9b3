//! Stamps of orders that are passed on to a leader: which orders it carries out.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::fleet_command::FleetCommand;
use heatherring_lib::id::ManifestVersion;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::Term;
use heatherring_lib::id::VersionName;
use heatherring_lib::id::VmName;
use heatherring_lib::order_stamp::MAX_ORDER_AGE;
use heatherring_lib::order_stamp::OrderStamp;
use heatherring_lib::raft::Raft;
use heatherring_lib::raft_config::DurableState;
use heatherring_lib::raft_config::RaftConfig;
use heatherring_lib::raft_config::founding_writes;
use heatherring_lib::raft_effects::Input;
use heatherring_lib::raft_effects::Role;
use heatherring_lib::raft_message::LogPosition;
use heatherring_lib::raft_message::LogWrite;
use heatherring_lib::raft_message::Message;
use heatherring_lib::raft_message::ReplicaInfo;
use heatherring_lib::rollout::RolloutOrder;
use heatherring_lib::route_manifest::RouteChange;
use heatherring_lib::route_manifest::RouteContent;
use heatherring_lib::route_manifest::RoutePatch;
use heatherring_lib::settings::ControlTiming;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const REPLICAS: u64 = 3;
const STEP: Duration = Duration::from_millis(5);
const STEPS: u32 = 12_000;
/// Longest delay of a message between two replicas, one way.
const MAX_DELAY_MS: u64 = 110;
/// Longest time for which a link holds bytes back, or a process is suspended.
const MAX_TROUBLE_MS: u64 = 2_500;

fn voter(id: u64, now: Instant) -> Raft {
    let info = |id: u64| ReplicaInfo {
        vm: VmName::new(format!("control-{id}")),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
    };
    let founders: BTreeMap<_, _> = (1..=REPLICAS).map(|id| (ReplicaId(id), info(id))).collect();
    let mut durable = DurableState::default();
    for write in founding_writes(founders, None) {
        durable.apply(write).expect("consecutive records");
    }
    let timing = ControlTiming::default();
    let cfg = RaftConfig {
        id: ReplicaId(id),
        heartbeat: timing.heartbeat(),
        election_min: timing.election_min(),
        election_max: timing.election_max(),
        max_append_bytes: 512,
        snapshot_chunk_bytes: 64,
        seed: id,
        max_voters: usize::MAX,
        seats: None,
    };
    Raft::new(cfg, durable, now).expect("a valid state")
}

/// Something that arrives at a replica at some time.
struct Arrival<T> {
    at: Instant,
    to: ReplicaId,
    what: T,
}

impl<T> Arrival<T> {
    fn is_due(&self, now: Instant, suspended: &BTreeMap<ReplicaId, Instant>) -> bool {
        self.at <= now && suspended.get(&self.to).is_none_or(|until| *until <= now)
    }
}

/// An order as it is passed on.
struct Order {
    stamp: OrderStamp,
    taken_at: Instant,
}

/// Three replicas, in one time that passes also for suspended ones.
struct Model {
    now: Instant,
    replicas: BTreeMap<ReplicaId, Raft>,
    messages: Vec<Arrival<(ReplicaId, Message)>>,
    orders: Vec<Arrival<Order>>,
    suspended: BTreeMap<ReplicaId, Instant>,
    held: BTreeMap<(ReplicaId, ReplicaId), Instant>,
    rng: ChaCha8Rng,
    accepted: u32,
    refused: u32,
}

impl Model {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let replicas = (1..=REPLICAS).map(|id| (ReplicaId(id), voter(id, now)));
        Self {
            now,
            replicas: replicas.collect(),
            messages: Vec::new(),
            orders: Vec::new(),
            suspended: BTreeMap::new(),
            held: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            accepted: 0,
            refused: 0,
        }
    }

    fn runs(&self, id: ReplicaId) -> bool {
        self.suspended
            .get(&id)
            .is_none_or(|until| *until <= self.now)
    }

    fn any_replica(&mut self) -> ReplicaId {
        ReplicaId(self.rng.random_range(1..=REPLICAS))
    }

    fn leader(&self) -> Option<ReplicaId> {
        let leaders = self.replicas.values();
        let mut leaders = leaders.filter(|raft| raft.role() == Role::Leader);
        leaders.next().map(Raft::id)
    }

    fn step(&mut self, id: ReplicaId, input: Input) {
        let Some(raft) = self.replicas.get_mut(&id) else {
            return;
        };
        let fx = raft.step(self.now, input);
        for (to, message) in fx.sends.into_iter().chain(fx.acks) {
            let at = self.arrival(id, to);
            let what = (id, message);
            self.messages.push(Arrival { at, to, what });
        }
        let last = fx.writes.iter().rev().find_map(|write| match write {
            LogWrite::Append(entry) => Some((entry.index, entry.term)),
            _ => None,
        });
        if let Some((index, term)) = last {
            self.step(id, Input::Persisted(LogPosition { index, term }));
        }
    }

    /// Returns when bytes arrive that are sent now.
    fn arrival(&mut self, from: ReplicaId, to: ReplicaId) -> Instant {
        let delay = Duration::from_millis(self.rng.random_range(1..=MAX_DELAY_MS));
        let held = self.held.get(&(from, to)).copied().unwrap_or(self.now);
        held.max(self.now) + delay
    }

    fn pass_on(&mut self, from: ReplicaId) {
        let raft = &self.replicas[&from];
        let (Some(stamp), Some(to)) = (raft.known_round(), raft.leader()) else {
            return;
        };
        let at = self.arrival(from, to);
        let taken_at = self.now;
        let what = Order { stamp, taken_at };
        self.orders.push(Arrival { at, to, what });
    }

    fn take_due(&mut self) {
        let (now, suspended) = (self.now, &self.suspended);
        let due = self
            .messages
            .extract_if(.., |message| message.is_due(now, suspended));
        for Arrival { to, what, .. } in due.collect::<Vec<_>>() {
            let (from, message) = what;
            self.step(to, Input::Message { from, message });
        }
        let suspended = &self.suspended;
        let due = self
            .orders
            .extract_if(.., |order| order.is_due(now, suspended));
        for Arrival { to, what, .. } in due.collect::<Vec<_>>() {
            self.judge(to, &what);
        }
    }

    fn judge(&mut self, to: ReplicaId, order: &Order) {
        let is_current = order.stamp.is_current(&self.replicas[&to], self.now);
        let age = self.now - order.taken_at;
        if is_current {
            assert!(age < MAX_ORDER_AGE, "carried out an order of {age:?}");
            self.accepted += 1;
        } else {
            self.refused += 1;
        }
    }

    fn advance(&mut self) {
        self.now += STEP;
        self.take_due();
        let ids: Vec<_> = self.replicas.keys().copied().collect();
        for id in ids {
            if self.runs(id) && self.replicas[&id].next_wake() <= self.now {
                self.step(id, Input::Tick);
            }
        }
    }

    /// Suspends a process, holds a link's bytes back, or hands leadership over.
    fn make_trouble(&mut self) {
        let (one, other) = (self.any_replica(), self.any_replica());
        let time = Duration::from_millis(self.rng.random_range(1..=MAX_TROUBLE_MS));
        let until = self.now + time;
        match self.rng.random_range(0..3) {
            0 => drop(self.suspended.insert(one, until)),
            1 => drop(self.held.insert((one, other), until)),
            _ if self.runs(one) => self.step(one, Input::StepDown),
            _ => {}
        }
    }

    /// Returns a leader that has just begun a round, and the stamp of that round.
    fn begun_round(&mut self) -> (ReplicaId, OrderStamp) {
        for _ in 0..STEPS {
            self.advance();
            let Some(leader) = self.leader() else {
                continue;
            };
            let known = self.replicas.values().find_map(Raft::known_round);
            let raft = &self.replicas[&leader];
            if let Some(stamp) = known
                && let Some(began_at) = raft.round_began_at(stamp)
            {
                self.now = began_at;
                return (leader, stamp);
            }
        }
        panic!("no leader");
    }
}

/// Guards against an order that is carried out after its operator has given it up.
#[rstest]
fn test_order_stamp_accepts_nothing_that_was_given_up(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut model = Model::new(seed);
    for _ in 0..STEPS {
        model.advance();
        if model.rng.random_bool(0.01) {
            model.make_trouble();
        }
        let from = model.any_replica();
        if model.runs(from) && model.rng.random_bool(0.3) {
            model.pass_on(from);
        }
    }
    assert!(model.accepted > 100 && model.refused > 100);
}

#[rstest]
fn test_order_stamp_refuses_nothing_in_calm(#[values(1, 2, 3)] seed: u64) {
    let mut model = Model::new(seed);
    model.begun_round();
    for _ in 0..STEPS {
        model.advance();
        let from = model.any_replica();
        model.pass_on(from);
    }
    assert!(model.accepted > 100);
    assert_eq!(model.refused, 0);
}

#[test]
fn test_order_stamp_ends_with_its_age() {
    let mut model = Model::new(1);
    let (leader, stamp) = model.begun_round();
    let (raft, began_at) = (&model.replicas[&leader], model.now);
    let last = MAX_ORDER_AGE.saturating_sub(Duration::from_millis(1));
    assert!(stamp.is_current(raft, began_at));
    assert!(stamp.is_current(raft, began_at + last));
    assert!(!stamp.is_current(raft, began_at + MAX_ORDER_AGE));
}

#[rstest]
#[case::earlier_term(|stamp: OrderStamp| OrderStamp { term: Term(stamp.term.0 - 1), ..stamp })]
#[case::later_term(|stamp: OrderStamp| OrderStamp { term: Term(stamp.term.0 + 1), ..stamp })]
#[case::round_not_begun(|stamp: OrderStamp| OrderStamp { round: stamp.round + 1_000, ..stamp })]
#[case::no_round(|stamp: OrderStamp| OrderStamp { round: 0, ..stamp })]
#[case::unreadable(|_| OrderStamp::default())]
fn test_order_stamp_of_another_round_is_not_current(#[case] other: fn(OrderStamp) -> OrderStamp) {
    let mut model = Model::new(1);
    let (leader, stamp) = model.begun_round();
    let raft = &model.replicas[&leader];
    assert!(stamp.is_current(raft, model.now));
    assert!(!other(stamp).is_current(raft, model.now));
}

#[test]
fn test_order_stamp_is_known_to_followers_only() {
    let mut model = Model::new(1);
    let (leader, stamp) = model.begun_round();
    assert_eq!(model.replicas[&leader].known_round(), None);
    let follower = model.replicas.values().find(|raft| raft.id() != leader);
    let follower = follower.expect("three replicas");
    assert!(!stamp.is_current(follower, model.now));
    assert_eq!(voter(1, model.now).known_round(), None);
}

fn evacuation() -> FleetCommand {
    FleetCommand::SetEvacuated {
        place: PlaceName::new("fko-hakata"),
        evacuated: true,
    }
}

fn rollout() -> FleetCommand {
    FleetCommand::OrderRollout(RolloutOrder {
        service: ServiceName::new("registry"),
        target: VersionName::new("2"),
        duration: Duration::from_mins(1),
        ordered_ms: 0,
    })
}

fn manifest() -> FleetCommand {
    FleetCommand::ChangeRoutes(RouteChange {
        version: ManifestVersion(1),
        base: ManifestVersion(0),
        content: RouteContent::Patch(RoutePatch::default()),
    })
}

#[rstest]
#[case::evacuation(evacuation(), false)]
#[case::rollout(rollout(), false)]
#[case::manifest(manifest(), true)]
fn test_order_stamp_is_needed_by_orders_without_a_number(
    #[case] command: FleetCommand,
    #[case] numbered: bool,
) {
    assert_eq!(command.is_numbered(), numbered);
}

#[test]
fn test_order_stamp_survives_its_text() {
    let stamp = OrderStamp {
        term: Term(7),
        round: 1_234,
    };
    assert_eq!(OrderStamp::from_text(&stamp.to_text()), Some(stamp));
}

#[rstest]
#[case("")]
#[case("7")]
#[case("7.")]
#[case("7.1.2")]
#[case("7.-1")]
#[case("7.99999999999999999999")]
fn test_order_stamp_of_other_text_is_none(#[case] text: &str) {
    assert_eq!(OrderStamp::from_text(text), None);
}
