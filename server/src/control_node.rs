//! The task that owns a control replica: the agreement, its disk and the state.
//!
//! The task drains its queue, steps each request, makes all records of these steps
//! durable under one sync, and only then sends, applies and answers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::clock::Clock;
use heatherring_lib::clock::unix_ms;
use heatherring_lib::command::Command;
use heatherring_lib::command::CommandKind;
use heatherring_lib::control_state::ControlState;
use heatherring_lib::control_state::ControlStateError;
use heatherring_lib::control_state::Response;
use heatherring_lib::duration_text::whole_ms;
use heatherring_lib::encoding::EncodingError;
use heatherring_lib::id::Revision;
use heatherring_lib::raft::Raft;
use heatherring_lib::raft_config::RaftConfig;
use heatherring_lib::raft_config::RaftError;
use heatherring_lib::raft_effects::Effects;
use heatherring_lib::raft_effects::Input;
use heatherring_lib::raft_effects::MembershipChange;
use heatherring_lib::raft_effects::Role;
use heatherring_lib::raft_effects::RoleChange;
use heatherring_lib::raft_message::LogEntry;
use heatherring_lib::raft_message::LogPayload;
use heatherring_lib::raft_message::LogWrite;
use heatherring_lib::raft_message::Snapshot;
use heatherring_lib::settings::ControlTiming;
use slotmap::SlotMap;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinError;

use crate::data_folder::Disk;
use crate::data_folder::Identity;
use crate::log_disk::DiskError;
use crate::log_disk::LogDisk;
use crate::log_disk::Recovered;
use crate::metric;
use crate::node_leaving::Leaving;
use crate::node_pending::Pending;
use crate::node_pending::PendingKey;
use crate::node_pending::Waiter;
use crate::node_pending::audit_request;
use crate::node_pending::token_of;
use crate::node_repair::Repair;
use crate::node_request::NodeError;
use crate::node_request::NodeRequest;
use crate::peer_links::PeerLinks;
use crate::published_state::StatePublisher;
use crate::session_desk::HeldBatch;
use crate::session_desk::HeldSync;
use crate::session_desk::SessionDesk;

/// Requests that one turn takes, all under one sync.
const MAX_BATCH: usize = 256;

/// Bound on the commands of one append, in bytes.
const MAX_APPEND_BYTES: usize = 512 << 10;

/// Time from which a write is told of. Entry VMs give a call up after twice that, and elections
/// begin.
const SLOW_WRITE: Duration = Duration::from_millis(500);

/// Size of the parts in which a snapshot travels, in bytes.
const SNAPSHOT_CHUNK_BYTES: usize = 256 << 10;

/// Tells why the replica stopped. It can't go on after any of these.
#[derive(Debug, Snafu)]
pub enum ControlNodeError {
    /// The disk failed.
    #[snafu(display("{source}"))]
    Disk {
        /// How.
        source: DiskError,
    },
    /// The disk's task was aborted.
    #[snafu(display("the task that writes to the disk was aborted"))]
    DiskTask {
        /// How.
        source: JoinError,
    },
    /// The durable records contradict themselves or the settings.
    #[snafu(display("{source}"))]
    Agreement {
        /// How.
        source: RaftError,
    },
    /// A log position can't be applied.
    #[snafu(display("{source}"))]
    State {
        /// Why.
        source: ControlStateError,
    },
    /// A command can't be encoded or decoded.
    #[snafu(display("position {index} of the log can't be read"))]
    Command {
        /// The position.
        index: Revision,
        /// Why.
        source: EncodingError,
    },
}

/// Holds the settings of the task.
#[derive(Clone, Copy, Debug)]
pub struct NodeConfig {
    /// Intervals of the agreement and of sessions.
    pub timing: ControlTiming,
    /// Log positions after which a snapshot is taken.
    pub snapshot_every: u64,
    /// Seed of the election timeouts.
    pub seed: u64,
    /// Replicas that vote, and whether their set repairs itself.
    pub voters: VoterPolicy,
}

/// Says how many replicas vote, and who sees to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VoterPolicy {
    /// Operators do; every replica that they add votes.
    Operators,
    /// The leader removes voters that are lost, and further replicas stand in for them.
    SelfRepair {
        /// Replicas that vote.
        target: usize,
    },
}

impl VoterPolicy {
    const fn max_voters(self) -> usize {
        match self {
            Self::Operators => usize::MAX,
            Self::SelfRepair { target } => target,
        }
    }
}

/// Owns a control replica.
#[derive(Debug)]
pub struct ControlNode<D> {
    pub(crate) cfg: NodeConfig,
    pub(crate) identity: Identity,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) raft: Raft,
    /// Away while a blocking thread writes.
    disk: Option<LogDisk<D>>,
    pub(crate) state: ControlState,
    pub(crate) sessions: SessionDesk,
    pub(crate) links: PeerLinks,
    effects: Effects,
    pub(crate) pending: SlotMap<PendingKey, Pending>,
    /// Requests for the next read barrier.
    pub(crate) waiting: Vec<Waiter>,
    pub(crate) barrier_in_flight: bool,
    /// When the next read barrier begins at the latest.
    barrier_at: Option<Instant>,
    /// Requests whose barrier was passed for a position that isn't applied yet.
    pub(crate) parked: Vec<(Revision, Vec<Waiter>)>,
    snapshot_index: Revision,
    pub(crate) leaving: Option<Leaving>,
    publisher: Option<StatePublisher>,
    pub(crate) repair: Repair,
}

impl<D: Disk> ControlNode<D> {
    /// Starts a replica from what its disk held.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlNodeError`] if that contradicts itself or the settings.
    pub fn new(
        cfg: NodeConfig,
        clock: Arc<dyn Clock>,
        disk: LogDisk<D>,
        recovered: Recovered,
        links: PeerLinks,
    ) -> Result<Self, ControlNodeError> {
        let identity = recovered.identity;
        let durable = recovered.durable;
        let state = match &durable.snapshot {
            Some(snapshot) => ControlState::decode_snapshot(&snapshot.data).context(StateSnafu)?,
            None => ControlState::default(),
        };
        let raft_cfg = RaftConfig {
            id: identity.replica,
            heartbeat: cfg.timing.heartbeat(),
            election_min: cfg.timing.election_min(),
            election_max: cfg.timing.election_max(),
            max_append_bytes: MAX_APPEND_BYTES,
            snapshot_chunk_bytes: SNAPSHOT_CHUNK_BYTES,
            seed: cfg.seed,
            max_voters: cfg.voters.max_voters(),
            spread_voters: matches!(cfg.voters, VoterPolicy::SelfRepair { .. }),
        };
        let raft = Raft::new(raft_cfg, durable, clock.now()).context(AgreementSnafu)?;
        Ok(Self {
            cfg,
            identity,
            clock,
            raft,
            disk: Some(disk),
            snapshot_index: state.revision(),
            state,
            sessions: SessionDesk::new(&cfg.timing),
            links,
            effects: Effects::default(),
            pending: SlotMap::with_key(),
            waiting: Vec::new(),
            barrier_in_flight: false,
            barrier_at: None,
            parked: Vec::new(),
            leaving: None,
            publisher: None,
            repair: Repair::default(),
        })
    }

    /// Makes the replica show what it knows to those who serve direct dispatch.
    #[must_use]
    pub fn publishing(mut self, publisher: StatePublisher) -> Self {
        self.publisher = Some(publisher);
        self
    }

    /// Serves requests until it is asked to leave or all handles are gone.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlNodeError`] if the replica can't go on. The process must stop
    /// then, without sending anything of the step that failed.
    pub async fn run(
        mut self,
        mut rx: mpsc::Receiver<NodeRequest>,
    ) -> Result<(), ControlNodeError> {
        loop {
            let pause = self.next_wake().saturating_duration_since(self.clock.now());
            match tokio::time::timeout(pause, rx.recv()).await {
                Ok(None) => return Ok(()),
                Ok(Some(request)) => self.take_batch(request, &mut rx),
                Err(_) => {}
            }
            // Messages come before the tick: a process that was frozen finds the leader's
            // heartbeats in its queue, and must not stand for election in spite of them.
            self.step(Input::Tick);
            self.propose_lapses();
            self.continue_repair();
            self.continue_leaving();
            self.settle().await?;
            self.publish();
            if self.has_left() {
                self.release_all();
                return Ok(());
            }
        }
    }

    fn publish(&self) {
        if let Some(publisher) = &self.publisher {
            publisher.publish(&self.raft, &self.state);
        }
    }

    fn next_wake(&self) -> Instant {
        let wakes = [
            Some(self.raft.next_wake()),
            self.sessions.next_wake(),
            self.leaving.map(|leaving| leaving.next_wake()),
            self.barrier_at.filter(|_| !self.barrier_in_flight),
        ];
        let earliest = wakes.into_iter().flatten().min();
        earliest.unwrap_or_else(|| self.clock.now())
    }

    fn take_batch(&mut self, first: NodeRequest, rx: &mut mpsc::Receiver<NodeRequest>) {
        self.take(first);
        for _ in 1..MAX_BATCH {
            let Ok(request) = rx.try_recv() else { return };
            self.take(request);
        }
    }

    fn take(&mut self, request: NodeRequest) {
        match request {
            NodeRequest::Message {
                from,
                address,
                message,
            } => {
                if let Some(address) = address {
                    self.links.name(from, address);
                }
                self.step(Input::Message { from, message });
            }
            NodeRequest::Propose { command, reply } => {
                self.propose(command, Pending::Command(reply));
            }
            NodeRequest::ChangeMembership {
                operator,
                change,
                reply,
            } => self.change_membership(operator, change, reply),
            NodeRequest::Read(read) => self.wait(Waiter::Read(read)),
            NodeRequest::Status(reply) => self.wait(Waiter::Status(reply)),
            NodeRequest::Sync { call, reply } => {
                let received_at = self.clock.now();
                let held = HeldSync::new(Box::new(call), reply, received_at);
                self.wait(Waiter::Sync(held));
            }
            NodeRequest::SyncBatch { renewals, reply } => {
                let received_at = self.clock.now();
                let batch = HeldBatch::new(renewals, reply, received_at);
                self.wait(Waiter::Batch(batch));
            }
            NodeRequest::Admit {
                replica,
                info,
                question_only,
                reply,
            } => {
                // Whoever asked may have gone away meanwhile.
                let _ = reply.send(self.admit(replica, &info, question_only));
            }
            NodeRequest::Regions(regions) => self.repair.note_regions(regions),
            NodeRequest::Leave => self.begin_leaving(),
        }
    }

    /// Queues a request for the next read barrier. Renewals that bring nothing new wait
    /// for a heartbeat's time, so that many share a quorum round.
    fn wait(&mut self, waiter: Waiter) {
        let urgent = match &waiter {
            Waiter::Read(_) | Waiter::Status(_) => true,
            Waiter::Sync(held) => self.sessions.is_urgent(held),
            Waiter::Batch(batch) => self.sessions.is_urgent_batch(batch),
        };
        let pause = if urgent {
            Duration::ZERO
        } else {
            self.cfg.timing.heartbeat()
        };
        let at = self.clock.now() + pause;
        self.barrier_at = Some(self.barrier_at.map_or(at, |earlier| earlier.min(at)));
        self.waiting.push(waiter);
    }

    pub(crate) fn step(&mut self, input: Input) {
        let effects = self.raft.step(self.clock.now(), input);
        self.effects.append(effects);
    }

    pub(crate) fn propose(&mut self, kind: CommandKind, pending: Pending) {
        let command = Command {
            wall_ms: unix_ms(self.clock.wall()),
            kind,
        };
        let Ok(command) = command.encode() else {
            // Every command is made of values that encode, so this is never reached;
            // dropping `pending` tells the asker that the outcome is unknown.
            return;
        };
        let token = token_of(self.pending.insert(pending));
        self.step(Input::Propose { token, command });
    }

    fn change_membership(
        &mut self,
        operator: String,
        change: MembershipChange,
        reply: oneshot::Sender<Result<Revision, NodeError>>,
    ) {
        if self.has_added(&change) {
            // A resend whose first answer was lost.
            let _ = reply.send(Ok(self.state.revision()));
            return;
        }
        let request = audit_request(operator, &change);
        self.propose(CommandKind::RequestMembership(request), Pending::Unattended);
        let token = token_of(self.pending.insert(Pending::Membership(reply)));
        self.step(Input::ChangeMembership { token, change });
    }

    fn has_added(&self, change: &MembershipChange) -> bool {
        let MembershipChange::AddLearner { id, info, .. } = change else {
            return false;
        };
        let membership = self.raft.membership();
        let known = membership.learners.get(id).or(membership.voters.get(id));
        self.raft.role() == Role::Leader && known == Some(info)
    }

    fn propose_lapses(&mut self) {
        if self.raft.role() != Role::Leader {
            return;
        }
        for session in self.sessions.lapsed(self.clock.now()) {
            log::warn!(session = session.0; "the lease of an entry VM's session ran out");
            self.propose(CommandKind::LapseSession(session), Pending::Unattended);
        }
    }

    /// Carries out effects until there are none: answers may cause further proposals.
    async fn settle(&mut self) -> Result<(), ControlNodeError> {
        loop {
            self.begin_barrier();
            if self.effects.is_empty() {
                break;
            }
            let effects = std::mem::take(&mut self.effects);
            self.carry_out(effects).await?;
            self.compact()?;
        }
        let now = self.clock.now();
        self.sessions.answer_held(now, &self.state);
        Ok(())
    }

    /// Starts one quorum round for all requests that wait for one. Requests that come
    /// meanwhile wait for the next round, which begins after they arrived.
    fn begin_barrier(&mut self) {
        if self.barrier_in_flight || self.waiting.is_empty() {
            return;
        }
        if self.barrier_at.is_some_and(|at| self.clock.now() < at) {
            return;
        }
        self.barrier_at = None;
        let waiters = std::mem::take(&mut self.waiting);
        let token = token_of(self.pending.insert(Pending::Barrier(waiters)));
        self.barrier_in_flight = true;
        self.step(Input::ReadBarrier { token });
    }

    async fn carry_out(&mut self, effects: Effects) -> Result<(), ControlNodeError> {
        self.write(effects.writes).await?;
        for (to, message) in effects.sends {
            self.links.send(self.raft.membership(), to, message);
        }
        if let Some(change) = effects.role_changed {
            self.change_role(change);
        }
        if let Some(snapshot) = effects.restored {
            self.restore(&snapshot)?;
        }
        let mut responses = BTreeMap::new();
        for entry in effects.committed {
            let index = entry.index;
            if let Some(response) = self.apply(entry)? {
                responses.insert(index, response);
            }
        }
        for answer in effects.answers {
            self.answer(answer, &mut responses);
        }
        self.serve_parked();
        Ok(())
    }

    async fn write(&mut self, writes: Vec<LogWrite>) -> Result<(), ControlNodeError> {
        if writes.is_empty() {
            return Ok(());
        }
        let Some(mut disk) = self.disk.take() else {
            return Err(DiskError::Stopped).context(DiskSnafu);
        };
        let begun = self.clock.now();
        let writing = tokio::task::spawn_blocking(move || {
            let result = disk.write(&writes);
            (disk, result)
        });
        let (disk, result) = writing.await.context(DiskTaskSnafu)?;
        result.context(DiskSnafu)?;
        self.disk = Some(disk);
        let took = self.clock.now().saturating_duration_since(begun);
        if took >= SLOW_WRITE {
            log::warn!(event = "disk_slow", took_ms = whole_ms(took); "nothing else was handled while records were written");
        }
        Ok(())
    }

    fn change_role(&mut self, change: RoleChange) {
        metric::role(change.role.name(), change.term.0);
        log::info!(
            event = "role_changed",
            role = change.role.name(),
            term = change.term.0,
            leader = change.leader.map_or(0, |leader| leader.0);
            "role changed"
        );
        if change.role == Role::Leader {
            self.repair.elected(self.clock.now());
        } else {
            let leader = self.leader_link();
            self.sessions.stop(leader.as_deref());
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) -> Result<(), ControlNodeError> {
        self.state = ControlState::decode_snapshot(&snapshot.data).context(StateSnafu)?;
        self.snapshot_index = snapshot.index;
        log::info!(revision = snapshot.index.0; "took over a snapshot from the leader");
        Ok(())
    }

    fn apply(&mut self, entry: LogEntry) -> Result<Option<Response>, ControlNodeError> {
        let index = entry.index;
        let response = match entry.payload {
            LogPayload::Noop => {
                self.state.apply_noop(index).context(StateSnafu)?;
                None
            }
            LogPayload::Membership(membership) => {
                self.state
                    .apply_membership(index, &membership)
                    .context(StateSnafu)?;
                self.links.retain_members(self.raft.membership());
                None
            }
            LogPayload::Command(encoded) => {
                let command = Command::decode(&encoded).context(CommandSnafu { index })?;
                let applied = self.state.apply(index, &command).context(StateSnafu)?;
                self.sessions
                    .applied(self.clock.now(), &command.kind, &applied);
                Some(applied.response)
            }
        };
        let own_term = self.raft.role() == Role::Leader && entry.term == self.raft.term();
        if own_term {
            // The first entry of its own term: from here on the leader's state includes
            // everything that its predecessors committed.
            self.sessions.start(self.clock.now(), &self.state);
        }
        Ok(response)
    }

    /// Takes a snapshot once enough positions have been applied since the last one.
    fn compact(&mut self) -> Result<(), ControlNodeError> {
        let applied = self.state.revision();
        let since = applied.0.saturating_sub(self.snapshot_index.0);
        if since < self.cfg.snapshot_every {
            return Ok(());
        }
        let data = self.state.encode_snapshot().context(StateSnafu)?;
        self.snapshot_index = applied;
        log::info!(revision = applied.0, bytes = data.len(); "taking a snapshot");
        self.step(Input::Compact {
            index: applied,
            data,
        });
        Ok(())
    }
}
