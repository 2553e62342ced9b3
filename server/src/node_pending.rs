//! Requests that wait for Raft to commit, refuse or confirm them.

use heatherring_lib::command::MembershipChange as RequestedChange;
use heatherring_lib::command::MembershipRequest;
use heatherring_lib::id::Revision;
use heatherring_lib::raft_effects::MembershipChange;
use heatherring_lib::raft_effects::Token;
use slotmap::Key;
use slotmap::KeyData;
use slotmap::new_key_type;
use tokio::sync::oneshot;

use crate::leader_sessions::HeldBatch;
use crate::leader_sessions::HeldSync;
use crate::node_request::Committed;
use crate::node_request::LeaderLink;
use crate::node_request::NodeError;
use crate::node_request::Read;
use crate::proto::StatusReply;

new_key_type! {
    /// Identifies a request that waits for Raft.
    pub struct PendingKey;
}

/// Returns the token by which Raft identifies a request.
#[must_use]
pub fn token_of(key: PendingKey) -> Token {
    Token(key.data().as_ffi())
}

/// Returns the key of the request that a token identifies.
#[must_use]
pub fn key_of(token: Token) -> PendingKey {
    KeyData::from_ffi(token.0).into()
}

/// Recipient of Raft's answer to a request.
#[derive(Debug)]
pub enum Pending {
    /// The proposer of a command.
    Command(oneshot::Sender<Result<Committed, NodeError>>),
    /// The requester of a membership change.
    Membership(oneshot::Sender<Result<Revision, NodeError>>),
    /// An entry VM whose session is opened, marked as leaving or closed.
    Session(HeldSync),
    /// The requests that share a read barrier.
    Barrier(Vec<Waiter>),
    /// Nobody: the replica made the request itself, and sees its effect in the state.
    Unattended,
}

impl Pending {
    /// Returns whether somebody waits for the answer.
    #[must_use]
    pub const fn is_awaited(&self) -> bool {
        !matches!(self, Self::Unattended)
    }
}

/// A request that waits for a read barrier.
pub enum Waiter {
    /// A read of the state.
    Read(Read),
    /// A request for the replica's status.
    Status(oneshot::Sender<(StatusReply, Option<Box<LeaderLink>>)>),
    /// A request to open or renew a session.
    Sync(HeldSync),
    /// A batch of renewals collected by a relay.
    Batch(HeldBatch),
}

impl std::fmt::Debug for Waiter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Read(_) => "Read",
            Self::Status(_) => "Status",
            Self::Sync(_) => "Sync",
            Self::Batch(_) => "Batch",
        })
    }
}

/// Returns the record by which the audit log attributes a membership change to its operator.
#[must_use]
pub fn audit_request(operator: String, change: &MembershipChange) -> MembershipRequest {
    let change = match change {
        MembershipChange::AddLearner { id, info, replaces } => RequestedChange::Add {
            replica: *id,
            info: info.clone(),
            replaces: *replaces,
        },
        MembershipChange::Remove(replica) => RequestedChange::Remove(*replica),
    };
    MembershipRequest { operator, change }
}
