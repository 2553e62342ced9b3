//! Simulation of one entry VM that follows control by a [`FollowPlan`] while replicas fail, in
//! virtual time.
//!
//! The outcome of a request is computed when it is sent, since all failures are known in advance.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::follow_plan::FollowOutcome;
use heatherring_lib::follow_plan::FollowPlan;
use heatherring_lib::follow_plan::FollowStep;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::VmName;
use heatherring_lib::replica_choice::ReplicaChoice;
use heatherring_lib::replica_choice::ReplicaSite;
use heatherring_lib::replica_choice::Unusable;
use heatherring_lib::replica_timeout::LONG_POLL_HOLD;

/// Age up to which a replica's last proof of being current is valid.
const MAX_PROOF_AGE: Duration = Duration::from_millis(950);

/// Interval at which the manifest in force is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Kind of failure of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// No packet reaches it or leaves it.
    Unreachable,
    /// Its process is suspended, and later resumes with its state.
    Frozen,
    /// Its process has ended; connections are refused.
    Killed,
    /// It is partitioned from the other replicas, but reachable by entry VMs.
    Partitioned,
}

/// Failure of one replica during an interval.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub replica: usize,
    pub fault: FaultKind,
    pub from: Duration,
    pub until: Duration,
}

impl Outage {
    fn holds(&self, replica: usize, fault: FaultKind, at: Duration) -> bool {
        self.replica == replica && self.fault == fault && self.from <= at && at < self.until
    }
}

/// Replicas, their network latency and failures, and the confirmed changes.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Place of each replica; each region has two places.
    pub places: Vec<usize>,
    /// One-way latency between two regions.
    pub between_regions: Duration,
    pub outages: Vec<Outage>,
    /// Times at which changes are confirmed.
    pub changes: Vec<Duration>,
    pub ends: Duration,
}

impl Scenario {
    fn region(place: usize) -> usize {
        place / 2
    }

    /// Returns the replicas whose place and region satisfy `matches`.
    pub fn replicas(&self, matches: impl Fn(usize, usize) -> bool) -> Vec<usize> {
        let places = self.places.iter().enumerate();
        places
            .filter(|(_, place)| matches(**place, Self::region(**place)))
            .map(|(replica, _)| replica)
            .collect()
    }

    fn one_way(&self, replica: usize, place: usize) -> Duration {
        let near = Self::region(self.places[replica]) == Self::region(place);
        if near {
            Duration::from_millis(1)
        } else {
            self.between_regions
        }
    }

    fn is_in(&self, replica: usize, fault: FaultKind, at: Duration) -> bool {
        let mut outages = self.outages.iter();
        outages.any(|outage| outage.holds(replica, fault, at))
    }

    fn start_of(&self, replica: usize, fault: FaultKind, at: Duration) -> Option<Duration> {
        let outages = self
            .outages
            .iter()
            .filter(|outage| outage.holds(replica, fault, at));
        outages.map(|outage| outage.from).min()
    }

    /// Returns how many changes a replica has applied at `at`.
    fn applied(&self, replica: usize, at: Duration) -> usize {
        let known_until = self
            .start_of(replica, FaultKind::Partitioned, at)
            .unwrap_or(at);
        let delay = self.between_regions;
        self.changes
            .partition_point(|change| *change + delay <= known_until)
    }

    fn is_current(&self, replica: usize, at: Duration) -> bool {
        let cut_at = self.start_of(replica, FaultKind::Partitioned, at);
        cut_at.is_none_or(|cut_at| at < cut_at + MAX_PROOF_AGE)
    }

    /// Returns when a replica processes a request that arrives at `at`; `None` if it never does.
    fn responds_at(&self, replica: usize, at: Duration) -> Option<Duration> {
        if self.is_in(replica, FaultKind::Unreachable, at) {
            return None;
        }
        let mut frozen = self.outages.iter();
        let frozen = frozen.find(|outage| outage.holds(replica, FaultKind::Frozen, at));
        Some(frozen.map_or(at, |frozen| frozen.until))
    }
}

/// Answer of a replica.
#[derive(Clone, Copy, Debug)]
enum Reply {
    Refused,
    Answered { current: bool, applied: usize },
}

#[derive(Clone, Copy, Debug)]
struct PendingReply {
    at: Duration,
    reply: Reply,
    /// Whether it answers a poll.
    is_poll: bool,
}

/// Runs the entry VM of one place.
pub struct Model<'a> {
    scenario: &'a Scenario,
    place: usize,
    plan: FollowPlan,
    base: Instant,
    now: Duration,
    applied: usize,
    /// When each change came into force.
    in_force: Vec<Option<Duration>>,
    pending: BTreeMap<SocketAddr, PendingReply>,
    connected: BTreeMap<SocketAddr, bool>,
    /// Number of requests sent.
    pub requests_sent: usize,
    /// Time for which a replica of another region was followed.
    pub far_followed: Duration,
}

fn address(replica: usize) -> SocketAddr {
    let host = u8::try_from(replica + 1).unwrap();
    SocketAddr::from(([10, 0, 0, host], 1))
}

fn replica_of(address: SocketAddr) -> usize {
    (0..255)
        .find(|replica| self::address(*replica) == address)
        .unwrap()
}

fn place_name(place: usize) -> PlaceName {
    PlaceName::new(format!("place-{place}"))
}

impl<'a> Model<'a> {
    pub fn new(scenario: &'a Scenario, place: usize, seed: u64) -> Self {
        let regions = (0..8).map(|place| {
            let region = RegionName::new(format!("region-{}", Scenario::region(place)));
            (place_name(place), region)
        });
        let vm = VmName::new(format!("entry-{seed}"));
        let choice = ReplicaChoice::new(vm, place_name(place), regions.collect());
        let base = Instant::now();
        let mut plan = FollowPlan::new(choice, base, seed);
        let sites: Vec<ReplicaSite> = (0..scenario.places.len())
            .map(|replica| ReplicaSite {
                address: address(replica),
                place: Some(place_name(scenario.places[replica])),
            })
            .collect();
        plan.learn(&sites, &[]);
        Self {
            scenario,
            place,
            plan,
            base,
            now: Duration::ZERO,
            applied: 0,
            in_force: vec![None; scenario.changes.len()],
            pending: BTreeMap::new(),
            connected: BTreeMap::new(),
            requests_sent: 0,
            far_followed: Duration::ZERO,
        }
    }

    /// Runs the scenario to its end. Returns for each change the time until it was in force, or
    /// until the end if it never was.
    pub fn run(&mut self) -> Vec<Duration> {
        while self.now < self.scenario.ends {
            let steps = self.plan.wake(self.base + self.now);
            self.execute(steps);
            let wake = self.plan.next_wake().saturating_duration_since(self.base);
            assert!(
                wake > self.now,
                "next_wake must be later than the current time"
            );
            let arrives = self.pending.values().map(|pending| pending.at).min();
            let next = arrives
                .unwrap_or(wake)
                .min(wake)
                .min(self.now + SAMPLE_INTERVAL);
            self.record_far_followed(next.saturating_sub(self.now));
            self.now = next;
            self.handle_arrived_reply();
        }
        let in_force = self.in_force.iter().zip(&self.scenario.changes);
        in_force
            .map(|(at, confirmed)| at.unwrap_or(self.now).saturating_sub(*confirmed))
            .collect()
    }

    fn record_far_followed(&mut self, passed: Duration) {
        let followed = self.plan.followed().map(replica_of);
        let place = followed.map(|replica| self.scenario.places[replica]);
        if place.is_some_and(|place| Scenario::region(place) != Scenario::region(self.place)) {
            self.far_followed += passed;
        }
    }

    fn handle_arrived_reply(&mut self) {
        let arrived = self
            .pending
            .iter()
            .find(|(_, pending)| pending.at <= self.now);
        let Some((address, pending)) = arrived.map(|(address, pending)| (*address, *pending))
        else {
            return;
        };
        self.pending.remove(&address);
        let answer = match pending.reply {
            Reply::Refused => FollowOutcome::Unusable(Unusable::Unresponsive),
            Reply::Answered { current: false, .. } => FollowOutcome::Unusable(Unusable::NotCurrent),
            Reply::Answered { applied, .. } if pending.is_poll && applied < self.applied => {
                FollowOutcome::Unusable(Unusable::NotCurrent)
            }
            Reply::Answered { applied, .. } => FollowOutcome::Usable {
                has_changes: pending.is_poll && self.apply(applied),
            },
        };
        self.connected.insert(
            address,
            answer != FollowOutcome::Unusable(Unusable::Unresponsive),
        );
        let steps = self.plan.answered(self.base + self.now, address, answer);
        self.execute(steps);
    }

    fn apply(&mut self, applied: usize) -> bool {
        let has_changes = applied > self.applied;
        for change in self.applied..applied {
            self.in_force[change] = Some(self.now);
        }
        self.applied = self.applied.max(applied);
        has_changes
    }

    fn execute(&mut self, steps: Vec<FollowStep>) {
        for step in steps {
            match step {
                FollowStep::Probe(address) => self.ask(address, false),
                FollowStep::Poll(address) => self.ask(address, true),
                FollowStep::Cancel(address) | FollowStep::TimedOut(address) => {
                    self.pending.remove(&address);
                    self.connected.remove(&address);
                }
            }
        }
    }

    fn ask(&mut self, address: SocketAddr, is_poll: bool) {
        self.requests_sent += 1;
        self.pending.remove(&address);
        let replica = replica_of(address);
        let delay = self.scenario.one_way(replica, self.place);
        let connected = self.connected.get(&address).copied().unwrap_or(false);
        let arrives = self.now + if connected { delay } else { delay * 3 };
        if let Some((at, reply)) = self.reply(replica, arrives, is_poll) {
            let at = at + delay;
            if !self.scenario.is_in(replica, FaultKind::Unreachable, at) {
                let pending = PendingReply { at, reply, is_poll };
                self.pending.insert(address, pending);
            }
        }
    }

    /// Returns the reply of a replica to a request that arrives at `at`, and when it is sent.
    fn reply(&self, replica: usize, at: Duration, is_poll: bool) -> Option<(Duration, Reply)> {
        let mut at = self.scenario.responds_at(replica, at)?;
        let held_until = if is_poll { at + LONG_POLL_HOLD } else { at };
        loop {
            if self.scenario.is_in(replica, FaultKind::Killed, at) {
                return Some((at, Reply::Refused));
            }
            let current = self.scenario.is_current(replica, at);
            let applied = self.scenario.applied(replica, at);
            if !current || applied != self.applied || at >= held_until {
                return Some((at, Reply::Answered { current, applied }));
            }
            at = self
                .scenario
                .responds_at(replica, at + Duration::from_millis(5))?;
        }
    }
}
