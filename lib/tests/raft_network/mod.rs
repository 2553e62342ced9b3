//! A deterministic simulation of replicas in one thread, with an in-memory network that
//! delays, loses, duplicates and reorders messages, and in-memory disks that lose unsynced
//! writes in a crash.
//!
//! [`checker::Checker`] checks every step.

// Each test binary uses only a part of this module.
#![allow(dead_code)]

pub mod checker;
mod faults;
mod node;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::id::ReplicaId;
use heatherring_lib::id::Revision;
use heatherring_lib::id::VmName;
use heatherring_lib::raft::Raft;
use heatherring_lib::raft_config::DurableState;
use heatherring_lib::raft_config::RaftConfig;
use heatherring_lib::raft_config::bootstrap_writes;
use heatherring_lib::raft_effects::Answer;
use heatherring_lib::raft_effects::Effects;
use heatherring_lib::raft_effects::Input;
use heatherring_lib::raft_effects::MembershipChange;
use heatherring_lib::raft_effects::Role;
use heatherring_lib::raft_effects::Token;
use heatherring_lib::raft_message::LogEntry;
use heatherring_lib::raft_message::Message;
use heatherring_lib::raft_message::MessageKind;
use heatherring_lib::raft_message::ReplicaInfo;
use heatherring_lib::raft_write_queue::Completed;
use heatherring_lib::raft_write_queue::WriteQueue;
use heatherring_lib::replica_plan::SeatTiming;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::checker::Checker;
pub use self::node::Node;
pub use self::node::StateMachine;
pub use self::node::token_of_command;

/// Shortest election timeout of the replicas under test.
pub const ELECTION_MIN: Duration = Duration::from_millis(150);
/// Longest election timeout of the replicas under test.
pub const ELECTION_MAX: Duration = Duration::from_millis(300);
const HEARTBEAT: Duration = Duration::from_millis(30);

/// Sets the faults and delays of the network and of disk syncs.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    /// Percentage of messages that are lost.
    pub loss: u8,
    /// Percentage of messages that are duplicated.
    pub duplicated: u8,
    /// Maximum delay of a message, in milliseconds.
    pub max_delay_ms: u64,
    /// Maximum duration of a disk sync, in milliseconds.
    pub max_sync_ms: u64,
}

impl NetworkConditions {
    pub const GOOD: Self = Self {
        loss: 0,
        duplicated: 0,
        max_delay_ms: 5,
        max_sync_ms: 2,
    };
}

/// Timeouts of the replicas, and sizes of their messages.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    pub heartbeat: Duration,
    pub election_min: Duration,
    pub election_max: Duration,
    pub max_append_bytes: usize,
    pub snapshot_chunk_bytes: usize,
}

impl Scale {
    /// Short timeouts, of which many fit into a run, and small messages.
    pub const SMALL: Self = Self {
        heartbeat: HEARTBEAT,
        election_min: ELECTION_MIN,
        election_max: ELECTION_MAX,
        max_append_bytes: 512,
        snapshot_chunk_bytes: 64,
    };
}

#[derive(Debug)]
struct Delivery {
    from: ReplicaId,
    to: ReplicaId,
    message: Message,
}

/// Simulates the replicas and the network between them.
#[derive(Debug)]
pub struct Network {
    pub nodes: BTreeMap<ReplicaId, Node>,
    pub checker: Checker,
    pub conditions: NetworkConditions,
    pub answers: BTreeMap<Token, Answer>,
    /// Number of voters that replicas which start from now on maintain by themselves, and when they
    /// do.
    pub seats: Option<(usize, SeatTiming)>,
    /// Timeouts and message sizes of replicas that start from now on.
    pub scale: Scale,
    /// Delay of each link, beside the delay of a message by [`NetworkConditions`].
    pub link_delays: BTreeMap<(ReplicaId, ReplicaId), Duration>,
    pub messages: u64,
    pub steps: u64,
    base: Instant,
    now: Duration,
    cuts: BTreeSet<(ReplicaId, ReplicaId)>,
    queue: BTreeMap<(Duration, u64), Delivery>,
    /// When a commit was confirmed to its proposer, and the highest index confirmed by then.
    confirmed: Vec<(Instant, Revision)>,
    sequence: u64,
    next_token: u64,
    rng: ChaCha8Rng,
}

pub fn id(number: u64) -> ReplicaId {
    ReplicaId(number)
}

pub fn info(number: u64) -> ReplicaInfo {
    ReplicaInfo {
        vm: VmName::new(format!("control-{number}")),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
    }
}

pub fn config(number: u64, seed: u64) -> RaftConfig {
    RaftConfig {
        id: id(number),
        heartbeat: HEARTBEAT,
        election_min: ELECTION_MIN,
        election_max: ELECTION_MAX,
        max_append_bytes: 512,
        snapshot_chunk_bytes: 64,
        seed: seed.wrapping_mul(1_000).wrapping_add(number),
        max_voters: usize::MAX,
        seats: None,
    }
}

impl Network {
    /// Starts a cluster of one bootstrapped replica with number 1.
    pub fn new(seed: u64) -> Self {
        let mut network = Self {
            nodes: BTreeMap::new(),
            checker: Checker::default(),
            conditions: NetworkConditions::GOOD,
            answers: BTreeMap::new(),
            seats: None,
            scale: Scale::SMALL,
            link_delays: BTreeMap::new(),
            messages: 0,
            steps: 0,
            base: Instant::now(),
            now: Duration::ZERO,
            cuts: BTreeSet::new(),
            queue: BTreeMap::new(),
            confirmed: Vec::new(),
            sequence: 0,
            next_token: 1,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        let mut disk = DurableState::default();
        for write in bootstrap_writes(id(1), info(1)) {
            network.checker.on_write(id(1), &disk, &write);
            disk.apply(write).unwrap();
        }
        network.add_node(1, disk);
        network
    }

    /// Starts replica 1 and adds others until there are `size` voters, which maintain their number
    /// by themselves.
    pub fn with_seats(seed: u64, size: u64, timing: SeatTiming) -> Self {
        let mut network = Self::new(seed);
        network.seats = usize::try_from(size).ok().map(|size| (size, timing));
        network.crash(id(1));
        network.restart(id(1));
        network.add_voters(size);
        network
    }

    /// Starts replica 1 and adds others until there are `size` voters.
    pub fn with_voters(seed: u64, size: u64) -> Self {
        let mut network = Self::new(seed);
        network.add_voters(size);
        network
    }

    fn add_voters(&mut self, size: u64) {
        for number in 2..=size {
            self.join(number, None);
            self.run_until("the replica is a voter", |network| {
                network.voters().contains(&id(number))
            });
        }
        self.run(ELECTION_MAX);
    }

    fn config(&self, number: u64, seed: u64) -> RaftConfig {
        let cfg = RaftConfig {
            heartbeat: self.scale.heartbeat,
            election_min: self.scale.election_min,
            election_max: self.scale.election_max,
            max_append_bytes: self.scale.max_append_bytes,
            snapshot_chunk_bytes: self.scale.snapshot_chunk_bytes,
            ..config(number, seed)
        };
        match self.seats {
            Some((max_voters, timing)) => RaftConfig {
                max_voters,
                seats: Some(timing),
                ..cfg
            },
            None => cfg,
        }
    }

    /// Starts an empty replica and asks the leader to add it, until it is a member.
    pub fn join(&mut self, number: u64, replaces: Option<u64>) {
        self.add_node(number, DurableState::default());
        self.run_until("the replica is a learner", |network| {
            let Some(leader) = network.leader() else {
                return false;
            };
            let raft = network.nodes[&leader].raft.as_ref().unwrap();
            if raft.membership().contains(id(number)) {
                return true;
            }
            let change = MembershipChange::AddLearner {
                id: id(number),
                info: info(number),
                replaces: replaces.map(id),
            };
            network.change_membership(leader, change);
            false
        });
    }

    /// Adds a replica with the given disk and starts its process.
    pub fn add_node(&mut self, number: u64, disk: DurableState) {
        let node = Node {
            raft: None,
            written: disk.clone(),
            disk,
            state_machine: StateMachine::default(),
            queue: WriteQueue::default(),
            writing: Vec::new(),
            sync_at: None,
            stalled_until: Duration::ZERO,
            disk_full: false,
            frozen_until: Duration::ZERO,
            disk_lost: false,
        };
        self.nodes.insert(id(number), node);
        self.restart(id(number));
    }

    pub fn time(&self) -> Instant {
        self.base + self.now
    }

    pub fn elapsed(&self) -> Duration {
        self.now
    }

    /// Returns the leader with the highest term among the running processes.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.rafts()
            .filter(|raft| raft.role() == Role::Leader)
            .max_by_key(|raft| raft.term())
            .map(Raft::id)
    }

    pub fn raft(&self, replica: ReplicaId) -> &Raft {
        self.nodes[&replica]
            .raft
            .as_ref()
            .expect("the process runs")
    }

    pub fn rafts(&self) -> impl Iterator<Item = &Raft> {
        self.nodes.values().filter_map(|node| node.raft.as_ref())
    }

    /// Returns the voters in the leader's membership; none without a leader.
    pub fn voters(&self) -> BTreeSet<ReplicaId> {
        self.leader().map_or_else(BTreeSet::new, |leader| {
            let membership = self.raft(leader).membership();
            membership.voters.keys().copied().collect()
        })
    }

    /// Passes one input to a running replica and carries out the effects that do not have to wait
    /// for its disk.
    pub fn step(&mut self, replica: ReplicaId, input: Input) {
        let now = self.time();
        let Some(node) = self.nodes.get_mut(&replica) else {
            return;
        };
        let Some(raft) = &mut node.raft else {
            return;
        };
        self.steps += 1;
        let fx = raft.step(now, input);
        for write in &fx.writes {
            self.checker.on_write(replica, &node.written, write);
            node.written.apply(write.clone()).unwrap();
        }
        self.checker.on_role(raft, &node.written);
        let fx = node.queue.push(fx);
        self.begin_sync(replica);
        self.carry_out(replica, fx);
        self.check_proven_current(self.raft(replica));
    }

    fn begin_sync(&mut self, replica: ReplicaId) {
        let node = self.nodes.get_mut(&replica).unwrap();
        if let Some(records) = node.queue.begin() {
            node.writing = records;
            if node.disk_full {
                self.step(replica, Input::DiskFull(true));
                return;
            }
            let delay = self.rng.random_range(0..=self.conditions.max_sync_ms);
            let sync_at = self.now + Duration::from_millis(delay);
            node.sync_at = Some(sync_at.max(node.stalled_until));
        }
    }

    fn sync(&mut self, replica: ReplicaId) {
        let node = self.nodes.get_mut(&replica).unwrap();
        node.sync_at = None;
        for write in std::mem::take(&mut node.writing) {
            node.disk.apply(write).unwrap();
        }
        let Completed { effects, position } = node.queue.complete();
        self.carry_out(replica, effects);
        if let Some(position) = position {
            self.step(replica, Input::Persisted(position));
        }
        self.begin_sync(replica);
    }

    fn carry_out(&mut self, replica: ReplicaId, fx: Effects) {
        let node = self.nodes.get_mut(&replica).unwrap();
        if let Some(snapshot) = &fx.restored {
            node.state_machine = StateMachine::from_snapshot(Some(snapshot));
            self.checker.on_restored(&node.state_machine);
        }
        for entry in &fx.committed {
            node.state_machine.apply(entry);
            self.checker.on_applied(entry);
        }
        for answer in fx.answers {
            self.checker.on_answer(&answer);
            self.record_confirmed(&answer);
            let token = token_of(&answer);
            assert!(
                self.answers.insert(token, answer).is_none(),
                "{token:?} was answered twice"
            );
        }
        assert!(
            fx.acks.is_empty(),
            "{replica} acknowledges unsynced records"
        );
        for (to, message) in fx.sends {
            self.send(replica, to, message);
        }
    }

    fn record_confirmed(&mut self, answer: &Answer) {
        if let Answer::Committed { index, .. } = answer {
            let before = self
                .confirmed
                .last()
                .map_or(Revision(0), |(_, index)| *index);
            self.confirmed.push((self.time(), before.max(*index)));
        }
    }

    /// Checks that a replica knows everything that was confirmed before the time for which it
    /// claims to be current.
    fn check_proven_current(&self, raft: &Raft) {
        let Some(proved_at) = raft.proven_current_at() else {
            return;
        };
        let before = self.confirmed.partition_point(|(at, _)| *at < proved_at);
        let known = before
            .checked_sub(1)
            .map_or(Revision(0), |last| self.confirmed[last].1);
        assert!(
            raft.commit() >= known,
            "{} claims to be current and lacks {known}, which was confirmed {:?} before; {}",
            raft.id(),
            proved_at.saturating_duration_since(self.confirmed[before.saturating_sub(1)].0),
            self.summary()
        );
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, message: Message) {
        self.messages += 1;
        if self.cuts.contains(&(from, to)) || self.percent(self.conditions.loss) {
            return;
        }
        if self.percent(self.conditions.duplicated) {
            self.enqueue(from, to, message.clone());
        }
        self.enqueue(from, to, message);
    }

    fn percent(&mut self, percent: u8) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn enqueue(&mut self, from: ReplicaId, to: ReplicaId, message: Message) {
        let delay = self
            .rng
            .random_range(1..=self.conditions.max_delay_ms.max(1));
        let of_link = self.link_delays.get(&(from, to)).copied();
        let delay = Duration::from_millis(delay) + of_link.unwrap_or_default();
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.queue.insert(key, Delivery { from, to, message });
    }

    /// Runs the simulation for a span of simulated time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(due) = self.next_event().filter(|due| *due <= end) {
            self.now = due;
            self.handle_due();
        }
        self.now = end;
    }

    /// Runs the simulation until `done`; fails after a minute of simulated time.
    pub fn run_until(&mut self, what: &str, mut done: impl FnMut(&mut Self) -> bool) {
        let deadline = self.now + Duration::from_mins(1);
        while !done(self) {
            assert!(
                self.now < deadline,
                "not within 1 min: {what}; {}",
                self.summary()
            );
            self.run(Duration::from_millis(10));
        }
    }

    fn next_event(&self) -> Option<Duration> {
        let delivery = self.queue.keys().next().map(|(at, _)| *at);
        let nodes = self.nodes.values().filter_map(|node| self.node_due(node));
        delivery.into_iter().chain(nodes).min()
    }

    fn node_due(&self, node: &Node) -> Option<Duration> {
        let raft = node.raft.as_ref()?;
        let wake = raft.next_wake().saturating_duration_since(self.base);
        let due = node.sync_at.map_or(wake, |sync_at| sync_at.min(wake));
        // A tick that is already due happens now, and after the freeze in a frozen process.
        Some(due.max(self.now).max(node.frozen_until))
    }

    fn handle_due(&mut self) {
        let ids: Vec<_> = self.nodes.keys().copied().collect();
        for replica in ids {
            let node = &self.nodes[&replica];
            if node.frozen_until > self.now || node.raft.is_none() {
                continue;
            }
            if node.sync_at.is_some_and(|at| at <= self.now) {
                self.sync(replica);
            }
            if self.raft(replica).next_wake() <= self.time() {
                self.step(replica, Input::Tick);
                let woken = self.raft(replica).next_wake() > self.time();
                assert!(woken, "{replica} still has a tick due after a tick");
            }
        }
        while let Some(next) = self.queue.first_entry() {
            if next.key().0 > self.now {
                return;
            }
            let delivery = next.remove();
            self.deliver(delivery);
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        let Delivery { from, to, message } = delivery;
        let Some(node) = self.nodes.get(&to) else {
            return;
        };
        if node.frozen_until > self.now {
            // The message waits in the socket buffer of the frozen process.
            self.sequence += 1;
            let key = (node.frozen_until, self.sequence);
            self.queue.insert(key, Delivery { from, to, message });
            return;
        }
        if !self.cuts.contains(&(from, to)) {
            self.step(to, Input::Message { from, message });
        }
    }

    /// Returns the total size of the entries in transit to a replica, in bytes.
    pub fn bytes_in_transit(&self, to: ReplicaId) -> usize {
        let to_replica = self.queue.values().filter(|delivery| delivery.to == to);
        let bytes = to_replica.map(|delivery| match &delivery.message.kind {
            MessageKind::Append { entries, .. } => entries.iter().map(LogEntry::size).sum(),
            _ => 0,
        });
        bytes.sum()
    }

    pub fn propose(&mut self, replica: ReplicaId) -> Token {
        self.propose_padded(replica, 0)
    }

    /// Proposes a command that is followed by `padding` zero bytes.
    pub fn propose_padded(&mut self, replica: ReplicaId, padding: usize) -> Token {
        let token = self.token();
        let mut command = postcard::to_stdvec(&token.0).unwrap();
        command.resize(command.len() + padding, 0);
        self.step(replica, Input::Propose { token, command });
        token
    }

    pub fn read(&mut self, replica: ReplicaId) -> Token {
        let token = self.token();
        self.checker.on_read(token);
        self.step(replica, Input::ReadBarrier { token });
        token
    }

    pub fn change_membership(&mut self, replica: ReplicaId, change: MembershipChange) -> Token {
        let token = self.token();
        self.step(replica, Input::ChangeMembership { token, change });
        token
    }

    fn token(&mut self) -> Token {
        let token = Token(self.next_token);
        self.next_token += 1;
        token
    }

    /// Proposes at the current leader until a proposal is committed; returns its index.
    pub fn commit_one(&mut self) -> Revision {
        let mut token = None;
        let mut committed = Revision(0);
        self.run_until("a proposal is committed", |network| {
            let answer = token.and_then(|token| network.answers.get(&token));
            if let Some(Answer::Committed { index, .. }) = answer {
                committed = *index;
                return true;
            }
            if (token.is_none() || answer.is_some())
                && let Some(leader) = network.leader()
            {
                token = Some(network.propose(leader));
            }
            false
        });
        committed
    }

    /// Compacts the log of a replica up to its last applied entry.
    pub fn compact(&mut self, replica: ReplicaId) {
        let node = &self.nodes[&replica];
        let index = node.state_machine.applied;
        let data = postcard::to_stdvec(&node.state_machine.tokens).unwrap();
        self.step(replica, Input::Compact { index, data });
    }

    /// Runs the simulation in steps of 1 ms until one of these replicas is the leader, so
    /// that nothing from the new leader has arrived yet.
    pub fn run_until_elected(&mut self, group: &[u64]) -> u64 {
        for _ in 0..60_000 {
            self.run(Duration::from_millis(1));
            let leader = group.iter().find(|number| {
                let raft = self.nodes[&id(**number)].raft.as_ref();
                raft.is_some_and(|raft| raft.role() == Role::Leader)
            });
            if let Some(leader) = leader {
                return *leader;
            }
        }
        panic!("no leader elected within 60 s; {}", self.summary());
    }

    pub fn summary(&self) -> String {
        let line = |node: &Node| {
            node.raft.as_ref().map(|raft| {
                format!(
                    "{}: {:?} {} last {} commit {} voters {:?} learners {:?}",
                    raft.id(),
                    raft.role(),
                    raft.term(),
                    raft.last_index(),
                    raft.commit(),
                    raft.membership().voters.keys(),
                    raft.membership().learners.keys(),
                )
            })
        };
        let lines: Vec<_> = self.nodes.values().filter_map(line).collect();
        lines.join("; ")
    }
}

pub fn token_of(answer: &Answer) -> Token {
    match answer {
        Answer::Committed { token, .. }
        | Answer::ReadReady { token, .. }
        | Answer::Refused { token, .. } => *token,
    }
}
