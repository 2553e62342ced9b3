//! What other tasks ask of the task that owns a control replica.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use heatherring_lib::command::CommandKind;
use heatherring_lib::control_state::ControlState;
use heatherring_lib::control_state::Response;
use heatherring_lib::control_state::ViewUpdate;
use heatherring_lib::fleet_command::FleetCommand;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::id::Revision;
use heatherring_lib::id::SessionId;
use heatherring_lib::raft_effects::MembershipChange;
use heatherring_lib::raft_effects::Refusal;
use heatherring_lib::raft_message::Message;
use heatherring_lib::raft_message::ReplicaInfo;
use heatherring_lib::session_relay::Acknowledgement;
use heatherring_lib::session_relay::BatchGrant;
use heatherring_lib::view::EntryInfo;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tonic::transport::Channel;

use crate::proto;

/// Requests that wait for the replica; more are refused or dropped.
pub const QUEUE_LENGTH: usize = 4_096;

/// Says where the leader is, for passing a request on.
#[derive(Clone, Debug)]
pub struct LeaderLink {
    /// The leader.
    pub replica: ReplicaId,
    /// Its address.
    pub address: SocketAddr,
    /// Connects to it.
    pub channel: Channel,
}

/// Tells why the replica didn't do what was asked.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NodeError {
    /// The agreement refused.
    #[snafu(display("{reason}"))]
    Refused {
        /// Why.
        reason: Refusal,
        /// The leader, if it is another replica and its address is known.
        leader: Option<Box<LeaderLink>>,
    },
    /// Too many requests wait.
    #[snafu(display("too many requests wait at this replica"))]
    Busy,
    /// The replica stopped before it answered.
    #[snafu(display("the replica stopped before the outcome was known"))]
    Stopped {
        /// Says that the answer can't come any more.
        source: oneshot::error::RecvError,
    },
}

impl NodeError {
    /// Returns whether a proposal surely isn't in the log and never will be.
    #[must_use]
    pub fn is_proved_absent(&self) -> bool {
        match self {
            Self::Refused { reason, .. } => reason.is_proved_absent(),
            Self::Busy => true,
            Self::Stopped { .. } => false,
        }
    }

    /// Returns the leader that can be asked instead.
    #[must_use]
    pub fn leader(&self) -> Option<&LeaderLink> {
        match self {
            Self::Refused { leader, .. } => leader.as_deref(),
            Self::Busy | Self::Stopped { .. } => None,
        }
    }
}

/// Holds a committed and applied command.
#[derive(Clone, Debug, PartialEq)]
pub struct Committed {
    /// Its position.
    pub revision: Revision,
    /// What applying it gave.
    pub response: Response,
}

/// Holds an entry VM's request to renew its session or to open one.
#[derive(Clone, Debug)]
pub struct SyncCall {
    /// What is asked for.
    pub subject: SyncSubject,
    /// The last revision that the entry has applied; 0 asks for the whole view.
    pub applied: Revision,
    /// The highest settled revision that the entry knows.
    pub known_settled: Revision,
    /// How long the answer may be held back while there is nothing new.
    pub wait: Duration,
    /// Whether the entry leaves.
    pub leaving: bool,
    /// Whether the entry has finished everything.
    pub closing: bool,
}

impl SyncCall {
    /// Returns the session that is to be renewed, if the request opens none.
    #[must_use]
    pub const fn session(&self) -> Option<SessionId> {
        match self.subject {
            SyncSubject::Open(_) => None,
            SyncSubject::Renew(session) => Some(session),
        }
    }
}

/// Tells what an entry VM asks for. Renewals, which come every second or so, don't say
/// again where the VM is: that would be a good half of their size.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SyncSubject {
    /// A session for this entry VM.
    Open(EntryInfo),
    /// A longer lease for this session.
    Renew(SessionId),
}

/// Answers a [`SyncCall`].
#[derive(Debug)]
pub enum SyncAnswer {
    /// The lease is extended.
    Granted {
        /// The session.
        session: SessionId,
        /// The settled revision.
        settled: Revision,
        /// What is new.
        update: ViewUpdate,
    },
    /// The session has lapsed or is about to.
    Lost,
    /// This replica can't prove that it is current.
    NotCurrent {
        /// The leader, if it is another replica and its address is known.
        leader: Option<Box<LeaderLink>>,
    },
}

/// Answers a batch of renewals.
#[derive(Debug)]
pub enum BatchAnswer {
    /// The leases are extended, but for the lost sessions.
    Granted(BatchGrant),
    /// This replica can't prove that it is current.
    NotCurrent {
        /// The leader, if it is another replica and its address is known.
        leader: Option<Box<LeaderLink>>,
    },
}

/// Reads the state once it is proved to be current, or learns why it isn't.
pub type Read = Box<dyn FnOnce(Result<&ControlState, NodeError>) + Send>;

/// Asks something of the task that owns the replica.
pub enum NodeRequest {
    /// Hands in a message of another replica.
    Message {
        /// The sender.
        from: ReplicaId,
        /// Where the sender listens.
        address: Option<SocketAddr>,
        /// The message.
        message: Message,
    },
    /// Proposes a command.
    Propose {
        /// The command.
        command: CommandKind,
        /// Takes the outcome.
        reply: oneshot::Sender<Result<Committed, NodeError>>,
    },
    /// Changes the replicas.
    ChangeMembership {
        /// Who asks.
        operator: String,
        /// What is to change.
        change: MembershipChange,
        /// Takes the position of the committed change.
        reply: oneshot::Sender<Result<Revision, NodeError>>,
    },
    /// Reads the state after a read barrier.
    Read(Read),
    /// Reports on the replica, current or not.
    Status(oneshot::Sender<(proto::StatusReply, Option<Box<LeaderLink>>)>),
    /// Renews or opens a session.
    Sync {
        /// The request.
        call: SyncCall,
        /// Takes the answer.
        reply: oneshot::Sender<SyncAnswer>,
    },
    /// Renews many sessions for a relay.
    SyncBatch {
        /// The sessions, and what their entry VMs have applied.
        renewals: Vec<Acknowledgement>,
        /// Takes the answer.
        reply: oneshot::Sender<BatchAnswer>,
    },
    /// Asks that a replica be admitted, or whether it is a member.
    Admit {
        /// The replica.
        replica: ReplicaId,
        /// Where it is.
        info: ReplicaInfo,
        /// Whether to change nothing.
        question_only: bool,
        /// Takes whether it is a member.
        reply: oneshot::Sender<Result<bool, NodeError>>,
    },
    /// Tells in which regions the replicas at these addresses are.
    Regions(BTreeMap<SocketAddr, RegionName>),
    /// Hands leadership over and ends the task.
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
            Self::Leave => "Leave",
        };
        f.write_str(name)
    }
}

/// Talks to the task that owns the replica.
#[derive(Clone, Debug)]
pub struct NodeHandle {
    tx: mpsc::Sender<NodeRequest>,
}

impl NodeHandle {
    /// Creates a handle and the end at which the replica takes the requests.
    #[must_use]
    pub fn channel() -> (Self, mpsc::Receiver<NodeRequest>) {
        let (tx, rx) = mpsc::channel(QUEUE_LENGTH);
        (Self { tx }, rx)
    }

    /// Hands in a message; drops it if too many wait, as the protocol allows.
    pub fn deliver(&self, from: ReplicaId, address: Option<SocketAddr>, message: Message) {
        let request = NodeRequest::Message {
            from,
            address,
            message,
        };
        if self.tx.try_send(request).is_err() {
            log::warn!(from = from.0; "dropped a message of another replica");
        }
    }

    fn enqueue(&self, request: NodeRequest) -> Result<(), NodeError> {
        self.tx.try_send(request).map_err(|_| NodeError::Busy)
    }

    /// Proposes a command and waits until it is committed and applied.
    ///
    /// # Errors
    ///
    /// Returns a [`NodeError`] that says whether the command may still be committed.
    pub async fn propose(&self, command: CommandKind) -> Result<Committed, NodeError> {
        let (reply, answer) = oneshot::channel();
        self.enqueue(NodeRequest::Propose { command, reply })?;
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

    /// Changes the replicas and waits until the change is committed.
    ///
    /// # Errors
    ///
    /// Returns a [`NodeError`] that says why the change wasn't made.
    pub async fn change_membership(
        &self,
        operator: String,
        change: MembershipChange,
    ) -> Result<Revision, NodeError> {
        let (reply, answer) = oneshot::channel();
        self.enqueue(NodeRequest::ChangeMembership {
            operator,
            change,
            reply,
        })?;
        answer.await.context(StoppedSnafu)?
    }

    /// Reads the state after a read barrier, that is, everything that was committed
    /// before this call is included.
    ///
    /// # Errors
    ///
    /// Returns a [`NodeError`] if that can't be proved.
    pub async fn read<T: Send + 'static>(
        &self,
        read: impl FnOnce(&ControlState) -> T + Send + 'static,
    ) -> Result<T, NodeError> {
        let (reply, answer) = oneshot::channel();
        self.enqueue(NodeRequest::Read(Box::new(move |state| {
            // The asker may have gone away meanwhile.
            let _ = reply.send(state.map(read));
        })))?;
        answer.await.context(StoppedSnafu)?
    }

    /// Reports on the replica.
    ///
    /// # Errors
    ///
    /// Returns a [`NodeError`] if the replica takes no requests.
    pub async fn status(&self) -> Result<(proto::StatusReply, Option<Box<LeaderLink>>), NodeError> {
        let (reply, answer) = oneshot::channel();
        self.enqueue(NodeRequest::Status(reply))?;
        answer.await.context(StoppedSnafu)
    }

    /// Renews or opens a session.
    ///
    /// # Errors
    ///
    /// Returns a [`NodeError`] if the replica takes no requests.
    pub async fn sync(&self, call: SyncCall) -> Result<SyncAnswer, NodeError> {
        let (reply, answer) = oneshot::channel();
        self.enqueue(NodeRequest::Sync { call, reply })?;
        answer.await.context(StoppedSnafu)
    }

    /// Renews many sessions for a relay.
    ///
    /// # Errors
    ///
    /// Returns a [`NodeError`] if the replica takes no requests.
    pub async fn sync_batch(
        &self,
        renewals: Vec<Acknowledgement>,
    ) -> Result<BatchAnswer, NodeError> {
        let (reply, answer) = oneshot::channel();
        self.enqueue(NodeRequest::SyncBatch { renewals, reply })?;
        answer.await.context(StoppedSnafu)
    }

    /// Asks the leader to admit a replica, or whether it is a member; the answer tells
    /// whether it is one. After a "no" the replica asks again.
    ///
    /// # Errors
    ///
    /// Returns a [`NodeError`] if this replica doesn't lead, or can't prove that it does.
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

    /// Tells in which regions the replicas at these addresses are.
    pub async fn note_regions(&self, regions: BTreeMap<SocketAddr, RegionName>) {
        // A replica that has stopped has no use of it.
        let _ = self.tx.send(NodeRequest::Regions(regions)).await;
    }

    /// Asks the replica to hand leadership over and to stop.
    pub async fn leave(&self) {
        // A replica that has stopped already needs no request.
        let _ = self.tx.send(NodeRequest::Leave).await;
    }
}
