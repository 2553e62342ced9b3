//! The task that owns a control replica: Raft, its disk and the replicated state.
//!
//! The task drains its queue and passes each request to Raft. The records of these steps are
//! written beside the task, with one sync; what has to wait for them is held back meanwhile.

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
use heatherring_lib::encoding::EncodingError;
use heatherring_lib::id::Revision;
use heatherring_lib::order_stamp::OrderStamp;
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
use heatherring_lib::raft_message::Snapshot;
use heatherring_lib::raft_write_queue::Completed;
use heatherring_lib::raft_write_queue::WriteQueue;
use heatherring_lib::replica_plan::SeatTiming;
use heatherring_lib::settings::ControlTiming;
use slotmap::SlotMap;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::sync::oneshot;
use tokio::task::JoinError;

use crate::control_work::Work;
use crate::control_work::WorkMeter;
use crate::data_folder::Disk;
use crate::data_folder::Identity;
use crate::disk_writer::DiskWriter;
use crate::disk_writer::WriteProgress;
use crate::disk_writer::Written;
use crate::leader_sessions::HeldBatch;
use crate::leader_sessions::HeldSync;
use crate::leader_sessions::LeaderSessions;
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
use crate::node_request::NodeRequests;
use crate::node_watch::ContactWatch;
use crate::peer_links::PeerLinks;
use crate::published_state::StatePublisher;

/// Largest number of requests handled in one turn, with one sync.
const MAX_BATCH: usize = 256;

/// Number of proposals under way from which on commands that may wait are left in the queue.
const MAX_DEFERRED_UNDER_WAY: usize = 256;

/// Largest total size of the commands in one append message, in bytes.
const MAX_APPEND_BYTES: usize = 512 << 10;

/// Size of the chunks in which a snapshot is sent, in bytes.
const SNAPSHOT_CHUNK_BYTES: usize = 256 << 10;

/// Reason for which the replica stopped. None of these can be recovered from.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlNodeError {
    /// The disk failed.
    #[snafu(display("{source}"))]
    Disk {
        /// Failed operation.
        source: DiskError,
    },
    /// The task that writes to the disk panicked or was aborted.
    #[snafu(display("the task that writes to the disk was aborted"))]
    DiskTask {
        /// Whether it panicked or was aborted.
        source: JoinError,
    },
    /// The durable records contradict themselves or the settings.
    #[snafu(display("{source}"))]
    Raft {
        /// Contradiction that was found.
        source: RaftError,
    },
    /// A log entry or a snapshot cannot be applied, or the state cannot be encoded.
    #[snafu(display("{source}"))]
    State {
        /// Cause of the failure.
        source: ControlStateError,
    },
    /// A command of the log cannot be decoded.
    #[snafu(display("cannot decode the log entry at index {index}"))]
    Command {
        /// Index of its log entry.
        index: Revision,
        /// Cause of the failure.
        source: EncodingError,
    },
}

/// Settings of the task.
#[derive(Clone, Copy, Debug)]
pub struct NodeConfig {
    /// Intervals of Raft and of sessions.
    pub timing: ControlTiming,
    /// Number of applied log entries after which a snapshot is taken.
    pub snapshot_every: u64,
    /// Seed of the election timeouts.
    pub seed: u64,
    /// Number of voters, and who maintains their set.
    pub voters: VoterPolicy,
}

/// Number of replicas that vote, and who maintains their set.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VoterPolicy {
    /// Operators maintain it; every replica that they add votes.
    Operators,
    /// The leader promotes learners in place of lost voters.
    SelfRepair {
        /// Number of voters to maintain.
        target: usize,
        /// Time from the start of a replacement until it is to be a voter.
        replacement_within: Duration,
    },
}

impl VoterPolicy {
    pub(crate) const fn max_voters(self) -> usize {
        match self {
            Self::Operators => usize::MAX,
            Self::SelfRepair { target, .. } => target,
        }
    }

    pub(crate) fn seats(self, timing: &ControlTiming) -> Option<SeatTiming> {
        match self {
            Self::Operators => None,
            Self::SelfRepair {
                replacement_within, ..
            } => Some(SeatTiming::new(replacement_within, timing.election_max())),
        }
    }
}

/// A control replica: Raft, its disk, the state, and the requests that wait for answers.
#[derive(Debug)]
pub struct ControlNode<D> {
    pub(crate) cfg: NodeConfig,
    pub(crate) identity: Identity,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) raft: Raft,
    pub(crate) disk: DiskWriter<D>,
    writes: WriteQueue,
    pub(crate) state: ControlState,
    pub(crate) sessions: LeaderSessions,
    pub(crate) links: PeerLinks,
    effects: Effects,
    pub(crate) pending: SlotMap<PendingKey, Pending>,
    /// Requests for the next read barrier.
    pub(crate) waiting: Vec<Waiter>,
    pub(crate) barrier_in_flight: bool,
    /// Latest time at which the next read barrier begins; `None` if no request waits for one.
    next_barrier_at: Option<Instant>,
    /// Requests whose barrier was passed at a log index that is not applied yet.
    pub(crate) awaiting_apply: Vec<(Revision, Vec<Waiter>)>,
    snapshot_index: Revision,
    pub(crate) leaving: Option<Leaving>,
    publisher: Option<StatePublisher>,
    work: WorkMeter,
    pub(crate) repair: Repair,
    pub(crate) contact: ContactWatch,
}

impl<D: Disk> ControlNode<D> {
    /// Creates a replica from the records recovered from its disk.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlNodeError`] if the records contradict themselves or the settings.
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
            seats: cfg.voters.seats(&cfg.timing),
        };
        let raft = Raft::new(raft_cfg, durable, clock.now()).context(RaftSnafu)?;
        Ok(Self {
            cfg,
            identity,
            work: WorkMeter::new(Arc::clone(&clock)),
            clock,
            raft,
            disk: DiskWriter::new(disk),
            writes: WriteQueue::default(),
            snapshot_index: state.revision(),
            state,
            sessions: LeaderSessions::new(&cfg.timing),
            links,
            effects: Effects::default(),
            pending: SlotMap::with_key(),
            waiting: Vec::new(),
            barrier_in_flight: false,
            next_barrier_at: None,
            awaiting_apply: Vec::new(),
            leaving: None,
            publisher: None,
            repair: Repair::default(),
            contact: ContactWatch::default(),
        })
    }

    /// Makes the replica publish its state to the tasks that serve direct dispatch.
    #[must_use]
    pub fn with_publisher(mut self, publisher: StatePublisher) -> Self {
        self.publisher = Some(publisher);
        self
    }

    /// Makes the replica add its work to that of the process.
    #[must_use]
    pub fn with_work_meter(mut self, work: WorkMeter) -> Self {
        self.work = work;
        self
    }

    /// Serves requests until the replica has left as requested, or all handles are dropped.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlNodeError`] if the replica cannot continue. The process must then stop
    /// without sending any message of the failed step.
    pub async fn run(mut self, mut rx: NodeRequests) -> Result<(), ControlNodeError> {
        loop {
            let pause = self.next_wake().saturating_duration_since(self.clock.now());
            let with_deferred = self.admits_deferred();
            let began = tokio::select! {
                biased;
                progress = self.disk.progress(&*self.clock) => {
                    let began = self.clock.now();
                    self.handle_write(&progress?)?;
                    began
                }
                request = rx.recv(with_deferred) => match request {
                    None => return self.finish_writing().await,
                    Some(request) => {
                        let began = self.clock.now();
                        self.handle_batch(request, &mut rx);
                        began
                    }
                },
                () = tokio::time::sleep(pause) => self.clock.now(),
            };
            // Messages are handled before the tick: a process that was frozen finds the leader's
            // heartbeats in its queue, and must not start an election despite them.
            self.step(Input::Tick);
            self.propose_lapsed_sessions();
            self.continue_repair();
            self.watch_contact();
            self.continue_leaving();
            self.process_effects()?;
            self.publish();
            self.work.add_since(Work::Agreement, began);
            if self.has_left() {
                self.refuse_all_waiters();
                return self.finish_writing().await;
            }
        }
    }

    /// Returns whether commands that may wait are proposed now. The log accepts a bounded number of
    /// proposals, and operators' orders must find room.
    fn admits_deferred(&self) -> bool {
        self.pending.len() < MAX_DEFERRED_UNDER_WAY
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
            self.next_barrier_at.filter(|_| !self.barrier_in_flight),
            self.contact.next_wake(self.raft.leader().is_some()),
        ];
        let earliest = wakes.into_iter().flatten().min();
        earliest.unwrap_or_else(|| self.clock.now())
    }

    fn handle_batch(&mut self, first: NodeRequest, rx: &mut NodeRequests) {
        self.handle(first);
        for _ in 1..MAX_BATCH {
            let Some(request) = rx.try_recv(self.admits_deferred()) else {
                return;
            };
            self.handle(request);
        }
    }

    fn handle(&mut self, request: NodeRequest) {
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
            NodeRequest::Propose { stamp, reply, .. } if self.is_late(stamp) => {
                // The requester may have stopped waiting.
                let _ = reply.send(Err(NodeError::Late));
            }
            NodeRequest::Propose { command, reply, .. } => {
                self.propose(command, Pending::Command(reply));
            }
            NodeRequest::ChangeMembership { stamp, reply, .. } if self.is_late(stamp) => {
                let _ = reply.send(Err(NodeError::Late));
            }
            NodeRequest::ChangeMembership {
                operator,
                change,
                reply,
                ..
            } => self.change_membership(operator, change, reply),
            NodeRequest::Read(read) => self.wait_for_barrier(Waiter::Read(read)),
            NodeRequest::Status(reply) => self.wait_for_barrier(Waiter::Status(reply)),
            NodeRequest::Sync { call, reply } => {
                let received_at = self.clock.now();
                let held = HeldSync::new(Box::new(call), reply, received_at);
                self.wait_for_barrier(Waiter::Sync(held));
            }
            NodeRequest::SyncBatch { renewals, reply } => {
                let received_at = self.clock.now();
                let batch = HeldBatch::new(renewals, reply, received_at);
                self.wait_for_barrier(Waiter::Batch(batch));
            }
            NodeRequest::Admit {
                replica,
                info,
                question_only,
                reply,
            } => {
                // The requester may have stopped waiting.
                let _ = reply.send(self.admit(replica, &info, question_only));
            }
            NodeRequest::Regions(regions) => {
                self.repair.note_regions(regions);
                self.update_regions();
            }
            NodeRequest::Contacts(contacts) => {
                self.repair.note_contacts(contacts);
                self.update_contacts();
            }
            NodeRequest::Leave => self.begin_leaving(),
        }
    }

    /// Returns whether an order reached this replica so late that it may have been given up.
    ///
    /// The check is made where the order enters the log: the entry of any later order follows it.
    fn is_late(&self, stamp: Option<OrderStamp>) -> bool {
        let Some(stamp) = stamp else {
            return false;
        };
        let is_late = !stamp.is_current(&self.raft, self.clock.now());
        if is_late {
            log::warn!(event = "order_late", term = stamp.term.0, round = stamp.round; "refused an order that another replica had passed on too long ago, or to another leader");
        }
        is_late
    }

    /// Queues a request for the next read barrier. Renewals that report nothing new wait for
    /// up to a heartbeat interval, so that many share one quorum round.
    fn wait_for_barrier(&mut self, waiter: Waiter) {
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
        self.next_barrier_at = Some(self.next_barrier_at.map_or(at, |earlier| earlier.min(at)));
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
            // Every command consists of encodable values, so this is never reached; dropping
            // `pending` tells the requester that the outcome is unknown.
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
            // The request was sent again after its first answer was lost.
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

    fn propose_lapsed_sessions(&mut self) {
        if self.raft.role() != Role::Leader {
            return;
        }
        for session in self.sessions.lapsed(self.clock.now()) {
            log::warn!(session = session.0; "lease of an entry VM's session expired");
            self.propose(CommandKind::LapseSession(session), Pending::Unattended);
        }
    }

    /// Applies Raft's effects until there are none left: answers may cause further proposals.
    fn process_effects(&mut self) -> Result<(), ControlNodeError> {
        loop {
            self.begin_barrier();
            if self.effects.is_empty() {
                break;
            }
            let effects = std::mem::take(&mut self.effects);
            let effects = self.writes.push(effects);
            self.apply_effects(effects)?;
            self.compact()?;
        }
        self.begin_write();
        let now = self.clock.now();
        self.sessions.answer_held(now, &self.state);
        Ok(())
    }

    /// Starts one quorum round for all requests that wait for one. Requests that arrive during the
    /// round wait for the next one, since a round proves nothing for requests that it predates.
    fn begin_barrier(&mut self) {
        if self.barrier_in_flight || self.waiting.is_empty() {
            return;
        }
        if self.next_barrier_at.is_some_and(|at| self.clock.now() < at) {
            return;
        }
        self.next_barrier_at = None;
        let waiters = std::mem::take(&mut self.waiting);
        let token = token_of(self.pending.insert(Pending::Barrier(waiters)));
        self.barrier_in_flight = true;
        self.step(Input::ReadBarrier { token });
    }

    fn apply_effects(&mut self, effects: Effects) -> Result<(), ControlNodeError> {
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
        self.serve_applied();
        Ok(())
    }

    /// Starts to write the queued records, unless others are being written.
    fn begin_write(&mut self) {
        if let Some(records) = self.writes.begin() {
            self.disk.begin(records, self.clock.now());
        }
    }

    fn handle_write(&mut self, progress: &WriteProgress) -> Result<(), ControlNodeError> {
        match progress {
            WriteProgress::Durable(written) => self.finish_write(written),
            WriteProgress::Refused => {
                self.step(Input::DiskFull(true));
                Ok(())
            }
        }
    }

    /// Carries out what waited for the records that are durable now.
    fn finish_write(&mut self, written: &Written) -> Result<(), ControlNodeError> {
        written.log(self.clock.now());
        if written.was_refused() {
            self.step(Input::DiskFull(false));
        }
        let Completed { effects, position } = self.writes.complete();
        self.apply_effects(effects)?;
        if let Some(position) = position {
            self.step(Input::Persisted(position));
        }
        Ok(())
    }

    /// Waits until all records are durable, at the end of the task. Drops those for which there is
    /// no room, and with them what they would have promised.
    async fn finish_writing(mut self) -> Result<(), ControlNodeError> {
        loop {
            self.begin_write();
            if !self.disk.is_writing() {
                return Ok(());
            }
            match self.disk.progress(&*self.clock).await? {
                WriteProgress::Durable(written) => self.finish_write(&written)?,
                WriteProgress::Refused => return Ok(()),
            }
        }
    }

    fn change_role(&mut self, change: RoleChange) {
        metric::role(change.role.name(), change.term.0);
        log::info!(
            event = "role_changed",
            role = change.role.name(),
            term = change.term.0,
            leader = change.leader.map_or(0, |leader| leader.0);
            "Raft role changed"
        );
        let leads = change.role == Role::Leader;
        self.contact.restart(leads, self.clock.now());
        if leads {
            self.repair.restart(self.clock.now());
        } else {
            let leader = self.leader_link();
            self.sessions.stop(leader.as_deref());
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) -> Result<(), ControlNodeError> {
        self.state = ControlState::decode_snapshot(&snapshot.data).context(StateSnafu)?;
        self.snapshot_index = snapshot.index;
        log::info!(revision = snapshot.index.0; "restored a snapshot from the leader");
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
                log::info!(event = "membership_changed", revision = index.0, voters:? = membership.voters.keys(), learners:? = membership.learners.keys(); "membership committed");
                self.update_regions();
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
            // With the first entry of its own term applied, the leader's state includes everything
            // that its predecessors committed.
            self.sessions.start(self.clock.now(), &self.state);
        }
        Ok(response)
    }

    /// Takes a snapshot once enough entries have been applied since the last one.
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
