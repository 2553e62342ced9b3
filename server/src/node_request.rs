//! Requests to the task that owns a control replica, and the handle that sends them.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::command::CommandKind;
use heatherring_lib::control_state::ControlState;
use heatherring_lib::control_state::Response;
use heatherring_lib::control_state::ViewUpdate;
use heatherring_lib::fleet_command::FleetCommand;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::id::Revision;
use heatherring_lib::id::SessionId;
use heatherring_lib::order_stamp::OrderStamp;
use heatherring_lib::raft_effects::MembershipChange;
use heatherring_lib::raft_effects::Refusal;
use heatherring_lib::raft_message::Message;
use heatherring_lib::raft_message::ReplicaInfo;
use heatherring_lib::session_relay::Acknowledgement;
use heatherring_lib::session_relay::BatchGrant;
use heatherring_lib::view::ControlView;
use heatherring_lib::view::EntryInfo;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tonic::transport::Channel;

use crate::proto;

/// Largest number of queued requests; further requests are refused, and messages are dropped.
pub const QUEUE_LENGTH: usize = 4_096;

/// Largest number of queued commands that may wait; further ones are refused at once.
pub const DEFERRED_QUEUE_LENGTH: usize = 512;

/// Connection to the leader, for relaying a request.
#[derive(Clone, Debug)]
pub struct LeaderLink {
    /// Identity of the leader.
    pub replica: ReplicaId,
    /// Address of the leader.
    pub address: SocketAddr,
    /// Channel to the leader; connects on first use.
    pub channel: Channel,
}

/// Reason for which the replica did not carry out a request.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NodeError {
    /// Raft refused the request.
    #[snafu(display("{reason}"))]
    Refused {
        /// Raft's reason.
        reason: Refusal,
        /// The leader, if it is another replica and its address is known.
        leader: Option<Box<LeaderLink>>,
    },
    /// The order was passed on too late: its operator may have given it up.
    #[snafu(display("the order took too long to reach the leader"))]
    Late,
    /// The queue of requests is full.
    #[snafu(display("too many requests are queued at this replica"))]
    Busy,
    /// The replica stopped before it answered.
    #[snafu(display("the replica stopped before the outcome was known"))]
    Stopped {
        /// The closed channel of the answer.
        source: oneshot::error::RecvError,
    },
}

impl NodeError {
    /// Returns whether a proposal is proved not to be in the log, now or later.
    #[must_use]
    pub fn is_proved_absent(&self) -> bool {
        match self {
            Self::Refused { reason, .. } => reason.is_proved_absent(),
            Self::Late | Self::Busy => true,
            Self::Stopped { .. } => false,
        }
    }

    /// Returns the leader to ask instead, if it is another replica and its address is known.
    #[must_use]
    pub fn leader(&self) -> Option<&LeaderLink> {
        match self {
            Self::Refused { leader, .. } => leader.as_deref(),
            Self::Late | Self::Busy | Self::Stopped { .. } => None,
        }
    }
}

/// Result of a committed and applied command.
#[derive(Clone, Debug, PartialEq)]
pub struct Committed {
    /// Log index of the command.
    pub revision: Revision,
    /// Result of applying it.
    pub response: Response,
}

/// An entry VM's request to open or renew a session.
#[derive(Clone, Debug)]
pub struct SyncCall {
    /// Session to open or renew.
    pub subject: SyncSubject,
    /// The last revision that the entry VM has applied; 0 asks for the whole view.
    pub applied: Revision,
    /// The highest settled revision that the entry VM knows.
    pub known_settled: Revision,
    /// Time for which the answer may be held while there are no changes.
    pub wait: Duration,
    /// Whether the entry VM is leaving.
    pub leaving: bool,
    /// Whether the entry VM has finished all requests, so that the session can be closed.
    pub closing: bool,
}

impl SyncCall {
    /// Returns the session to renew; `None` if the request opens one.
    #[must_use]
    pub const fn session(&self) -> Option<SessionId> {
        match self.subject {
            SyncSubject::Open(_) => None,
            SyncSubject::Renew(session) => Some(session),
        }
    }
}

/// Session that an entry VM asks to open or renew. Renewals arrive about once a second, and do
/// not repeat the VM's location: it would make up more than half of their size.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SyncSubject {
    /// Opens a session.
    Open(Box<Opening>),
    /// Extends the lease of this session.
    Renew(SessionId),
}

/// Request to open a session.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Opening {
    /// The entry VM.
    pub entry: EntryInfo,
    /// Last revision that control had named to its process; `None` from earlier releases.
    pub after: Option<Revision>,
}

impl Opening {
    /// Returns whether a session of the same VM was opened after the revision that the request
    /// names. Either it has been given up, since a process asks for one session at a time, or its
    /// process doesn't know yet of the session of an earlier one.
    #[must_use]
    pub fn is_overtaken(&self, view: &ControlView) -> bool {
        let after = self.after;
        after.is_some_and(|after| view.has_session_since(&self.entry.vm, after))
    }
}

/// Answer to a [`SyncCall`].
#[derive(Debug)]
pub enum SyncAnswer {
    /// The lease is extended.
    Granted {
        /// Session whose lease is extended.
        session: SessionId,
        /// Settled revision: acknowledged by every open session that was opened before it.
        settled: Revision,
        /// Changes since the revision that the entry VM has applied.
        update: ViewUpdate,
    },
    /// The session has lapsed or is about to lapse.
    Lost,
    /// No session is opened, since one was after the revision that the request names.
    OpenedSince {
        /// The revision that the next request is to name.
        revision: Revision,
    },
    /// This replica cannot prove that it is current.
    NotCurrent {
        /// The leader, if it is another replica and its address is known.
        leader: Option<Box<LeaderLink>>,
    },
}

/// Answer to a batch of renewals.
#[derive(Debug)]
pub enum BatchAnswer {
    /// The leases are extended, except those of lost sessions.
    Granted(BatchGrant),
    /// This replica cannot prove that it is current.
    NotCurrent {
        /// The leader, if it is another replica and its address is known.
        leader: Option<Box<LeaderLink>>,
    },
}

/// Callback that reads the state once it is proved to be current, or receives the error.
pub type Read = Box<dyn FnOnce(Result<&ControlState, NodeError>) + Send>;

/// Request to the task that owns the replica.
pub enum NodeRequest {
    /// Delivers a message from another replica.
    Message {
        /// Identity of the sender.
        from: ReplicaId,
        /// Address on which the sender listens, if the message gives one.
        address: Option<SocketAddr>,
        /// Raft message.
        message: Message,
    },
    /// Proposes a command.
    Propose {
        /// Command to append to the log.
        command: CommandKind,
        /// Stamp of an order that was passed on.
        stamp: Option<OrderStamp>,
        /// Receives the outcome.
        reply: oneshot::Sender<Result<Committed, NodeError>>,
    },
    /// Changes the set of replicas.
    ChangeMembership {
        /// Name of the operator, for the audit log.
        operator: String,
        /// Replica to add or remove.
        change: MembershipChange,
        /// Stamp of an order that was passed on.
        stamp: Option<OrderStamp>,
        /// Receives the log index of the committed change.
        reply: oneshot::Sender<Result<Revision, NodeError>>,
    },
    /// Reads the state after a read barrier.
    Read(Read),
    /// Returns the status of the replica, whether it is current or not.
    Status(oneshot::Sender<(proto::StatusReply, Option<Box<LeaderLink>>)>),
    /// Renews or opens a session.
    Sync {
        /// Request of the entry VM.
        call: SyncCall,
        /// Receives the answer.
        reply: oneshot::Sender<SyncAnswer>,
    },
    /// Renews many sessions for a relay.
    SyncBatch {
        /// Sessions, and the revisions that their entry VMs have applied.
        renewals: Vec<Acknowledgement>,
        /// Receives the answer.
        reply: oneshot::Sender<BatchAnswer>,
    },
    /// Requests the admission of a replica, or asks whether it is a member.
    Admit {
        /// Identity of the replica.
        replica: ReplicaId,
        /// VM and address of the replica.
        info: ReplicaInfo,
        /// Whether only to ask, without a change.
        question_only: bool,
        /// Receives whether it is a member.
        reply: oneshot::Sender<Result<bool, NodeError>>,
    },
    /// Sets the regions of the replicas at these addresses.
    Regions(BTreeMap<SocketAddr, RegionName>),
    /// Sets when the replicas at these addresses last reported to this one.
    Contacts(BTreeMap<SocketAddr, Instant>),
    /// Hands leadership over, then ends the task.
    Leave,
}

impl fmt::Debug for NodeRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Self::Message { .. } => "Message",
            Self::Propose { .. } => "Propose",
            Self::ChangeMembership { .. } => "ChangeMembership",
            Self::Read(_) => "Read",
            Self::Status(_) => "Status",
            Self::Sync { .. } => "Sync",
            Self::SyncBatch { .. } => "SyncBatch",
            Self::Admit { .. } => "Admit",
            Self::Regions(_) => "Regions",
            Self::Contacts(_) => "Contacts",
            Self::Leave => "Leave",
        };
        f.write_str(name)
    }
}

impl NodeRequest {
    /// Returns whether the request may wait for all others: it is repeated by itself, and comes in
    /// numbers that grow with the fleet.
    fn is_deferrable(&self) -> bool {
        match self {
            Self::Propose { command, .. } => command.is_deferrable(),
            _ => false,
        }
    }
}

/// Requests to the replica, in the order in which it handles them: those that may wait come after
/// all others that have arrived.
#[derive(Debug)]
pub struct NodeRequests {
    first: mpsc::Receiver<NodeRequest>,
    deferred: mpsc::Receiver<NodeRequest>,
}

impl NodeRequests {
    /// Waits for the next request; `None` once all handles are dropped. Without `with_deferred`,
    /// those that may wait stay in the queue.
    pub async fn recv(&mut self, with_deferred: bool) -> Option<NodeRequest> {
        tokio::select! {
            biased;
            request = self.first.recv() => request,
            Some(request) = self.deferred.recv(), if with_deferred => Some(request),
        }
    }

    /// Returns the next request, if one has arrived; see [`Self::recv`].
    pub fn try_recv(&mut self, with_deferred: bool) -> Option<NodeRequest> {
        if let Ok(request) = self.first.try_recv() {
            return Some(request);
        }
        with_deferred.then(|| self.deferred.try_recv().ok())?
    }
}

/// Handle to the task that owns the replica.
#[derive(Clone, Debug)]
pub struct NodeHandle {
    tx: mpsc::Sender<NodeRequest>,
    deferred_tx: mpsc::Sender<NodeRequest>,
}

impl NodeHandle {
    /// Creates a handle, and the receiver from which the replica reads requests.
    #[must_use]
    pub fn channel() -> (Self, NodeRequests) {
        let (tx, first) = mpsc::channel(QUEUE_LENGTH);
        let (deferred_tx, deferred) = mpsc::channel(DEFERRED_QUEUE_LENGTH);
        (Self { tx, deferred_tx }, NodeRequests { first, deferred })
    }

    /// Delivers a message; drops it if the queue is full, which Raft tolerates.
    pub fn deliver(&self, from: ReplicaId, address: Option<SocketAddr>, message: Message) {
        let request = NodeRequest::Message {
            from,
            address,
            message,
        };
        if self.tx.try_send(request).is_err() {
            log::warn!(from = from.0; "dropped a message from another replica: the queue is full or closed");
        }
    }

    fn enqueue(&self, request: NodeRequest) -> Result<(), NodeError> {
        let tx = if request.is_deferrable() {
            &self.deferred_tx
        } else {
            &self.tx
        };
        tx.try_send(request).map_err(|_| NodeError::Busy)
    }

    /// Proposes a command and waits until it is committed and applied.
    ///
    /// # Errors
    ///
    /// Returns a [`NodeError`] that says whether the command may still be committed.
    pub async fn propose(&self, command: CommandKind) -> Result<Committed, NodeError> {
        self.propose_stamped(command, None).await
    }

    async fn propose_stamped(
        &self,
        command: CommandKind,
        stamp: Option<OrderStamp>,
    ) -> Result<Committed, NodeError> {
        let (reply, answer) = oneshot::channel();
        self.enqueue(NodeRequest::Propose {
            command,
            stamp,
            reply,
        })?;
        answer.await.context(StoppedSnafu)?
    }

    /// Proposes a command to the state of direct dispatch; see [`Self::propose`].
    ///
    /// # Errors
    ///
    /// Returns a [`NodeError`] that says whether the command may still be committed.
    pub async fn propose_fleet(&self, command: FleetCommand) -> Result<Committed, NodeError> {
        self.propose(CommandKind::Fleet(Box::new(command))).await
    }

    /// Proposes a command that another replica may have passed on, unless its stamp is no longer
    /// current; see [`Self::propose_fleet`].
    ///
    /// # Errors
    ///
    /// Returns a [`NodeError`] that says whether the command may still be committed.
    pub async fn propose_passed_on(
        &self,
        command: FleetCommand,
        stamp: Option<OrderStamp>,
    ) -> Result<Committed, NodeError> {
        let command = CommandKind::Fleet(Box::new(command));
        self.propose_stamped(command, stamp).await
    }

    /// Changes the set of replicas, and waits until the change is committed. Refuses a change whose
    /// stamp is no longer current.
    ///
    /// # Errors
    ///
    /// Returns a [`NodeError`] with the reason for which the change was not made.
    pub async fn change_membership(
        &self,
        operator: String,
        change: MembershipChange,
        stamp: Option<OrderStamp>,
    ) -> Result<Revision, NodeError> {
        let (reply, answer) = oneshot::channel();
        self.enqueue(NodeRequest::ChangeMembership {
            operator,
            change,
            stamp,
            reply,
        })?;
        answer.await.context(StoppedSnafu)?
    }

    /// Reads the state after a read barrier, so that it includes everything committed before this
    /// call.
    ///
    /// # Errors
    ///
    /// Returns a [`NodeError`] if that cannot be proved.
    pub async fn read<T: Send + 'static>(
        &self,
        read: impl FnOnce(&ControlState) -> T + Send + 'static,
    ) -> Result<T, NodeError> {
        let (reply, answer) = oneshot::channel();
        self.enqueue(NodeRequest::Read(Box::new(move |state| {
            // The requester may have stopped waiting.
            let _ = reply.send(state.map(read));
        })))?;
        answer.await.context(StoppedSnafu)?
    }

    /// Returns the status of the replica, and the leader if the status is not proved to be current.
    ///
    /// # Errors
    ///
    /// Returns a [`NodeError`] if the queue is full or the replica has stopped.
    pub async fn status(&self) -> Result<(proto::StatusReply, Option<Box<LeaderLink>>), NodeError> {
        let (reply, answer) = oneshot::channel();
        self.enqueue(NodeRequest::Status(reply))?;
        answer.await.context(StoppedSnafu)
    }

    /// Renews or opens a session.
    ///
    /// # Errors
    ///
    /// Returns a [`NodeError`] if the queue is full or the replica has stopped.
    pub async fn sync(&self, call: SyncCall) -> Result<SyncAnswer, NodeError> {
        let (reply, answer) = oneshot::channel();
        self.enqueue(NodeRequest::Sync { call, reply })?;
        answer.await.context(StoppedSnafu)
    }

    /// Renews many sessions for a relay.
    ///
    /// # Errors
    ///
    /// Returns a [`NodeError`] if the queue is full or the replica has stopped.
    pub async fn sync_batch(
        &self,
        renewals: Vec<Acknowledgement>,
    ) -> Result<BatchAnswer, NodeError> {
        let (reply, answer) = oneshot::channel();
        self.enqueue(NodeRequest::SyncBatch { renewals, reply })?;
        answer.await.context(StoppedSnafu)
    }

    /// Requests the admission of a replica, or with `question_only` asks whether it is a member.
    /// Returns whether it is one; if it is not, the replica asks again.
    ///
    /// # Errors
    ///
    /// Returns a [`NodeError`] if this replica cannot prove that it leads, or if another change of
    /// the replicas is pending.
    pub async fn admit(
        &self,
        replica: ReplicaId,
        info: ReplicaInfo,
        question_only: bool,
    ) -> Result<bool, NodeError> {
        let (reply, answer) = oneshot::channel();
        self.enqueue(NodeRequest::Admit {
            replica,
            info,
            question_only,
            reply,
        })?;
        answer.await.context(StoppedSnafu)?
    }

    /// Sets the regions of the replicas at these addresses, by which the leader spreads voters.
    pub async fn note_regions(&self, regions: BTreeMap<SocketAddr, RegionName>) {
        // A replica that has stopped does not need the regions.
        let _ = self.tx.send(NodeRequest::Regions(regions)).await;
    }

    /// Sets when the replicas at these addresses last reported to this one. Dropped if the queue is
    /// full; the next report repeats it.
    pub fn note_contacts(&self, contacts: BTreeMap<SocketAddr, Instant>) {
        if self.tx.try_send(NodeRequest::Contacts(contacts)).is_err() {
            log::debug!("dropped the times of reports: the queue is full or closed");
        }
    }

    /// Requests that the replica hands leadership over and stops.
    pub async fn leave(&self) {
        // A replica that has stopped already does not need the request.
        let _ = self.tx.send(NodeRequest::Leave).await;
    }
}
