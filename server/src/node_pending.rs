//! Requests that wait for an answer of the agreement.

use heatherring_lib::command::MembershipChange as RequestedChange;
use heatherring_lib::command::MembershipRequest;
use heatherring_lib::id::Revision;
use heatherring_lib::raft_effects::MembershipChange;
use heatherring_lib::raft_effects::Token;
use slotmap::Key;
use slotmap::KeyData;
use slotmap::new_key_type;
use tokio::sync::oneshot;

use crate::node_request::Committed;
use crate::node_request::LeaderLink;
use crate::node_request::NodeError;
use crate::node_request::Read;
use crate::proto::StatusReply;
use crate::session_desk::HeldBatch;
use crate::session_desk::HeldSync;

new_key_type! {
    /// Identifies a request that waits for an answer of the agreement.
    pub struct PendingKey;
}

/// Returns the token under which the agreement knows a request.
#[must_use]
pub fn token_of(key: PendingKey) -> Token {
    Token(key.data().as_ffi())
}

/// Returns the request that a token stands for.
#[must_use]
pub fn key_of(token: Token) -> PendingKey {
    KeyData::from_ffi(token.0).into()
}

/// Holds whoever waits for an answer of the agreement.
#[derive(Debug)]
pub enum Pending {
    /// The proposer of a command.
    Command(oneshot::Sender<Result<Committed, NodeError>>),
    /// Whoever asked for a change of the replicas.
    Membership(oneshot::Sender<Result<Revision, NodeError>>),
    /// An entry VM whose session is opened, marked as leaving or closed.
    Session(HeldSync),
    /// All who share a read barrier.
    Barrier(Vec<Waiter>),
    /// Nobody.
    Unattended,
}

impl Pending {
    /// Returns whether somebody waits.
    #[must_use]
    pub const fn is_awaited(&self) -> bool {
        !matches!(self, Self::Unattended)
    }
}

/// Waits for a read barrier.
pub enum Waiter {
    /// A read of the state.
    Read(Read),
    /// A report on the replica.
    Status(oneshot::Sender<(StatusReply, Option<Box<LeaderLink>>)>),
    /// A renewal of a session.
    Sync(HeldSync),
    /// Renewals that a relay collected.
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

/// Returns the record by which the audit trail names the operator of a change.
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
