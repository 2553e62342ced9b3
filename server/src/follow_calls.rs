//! Unanswered calls of an entry VM to control replicas.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use heatherring_lib::replica_choice::Unusable;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;
use tonic::Request;
use tonic::transport::Channel;

use crate::peer_channel::PeerChannels;
use crate::proto::FollowReply;
use crate::proto::FollowRequest;
use crate::proto::fleet_client::FleetClient;

/// Reason for which a call failed or its answer is unusable.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum FollowError {
    #[snafu(display("no answer in time"))]
    Unresponsive,
    #[snafu(display("{}", source.message()))]
    Call { source: Box<tonic::Status> },
    #[snafu(display("the replica cannot prove that it is current"))]
    NotCurrent,
    #[snafu(display("unusable update: {message}"))]
    Update { message: String },
    #[snafu(display("unusable address: {message}"))]
    Address { message: String },
}

impl FollowError {
    pub const fn unusable_reason(&self) -> Unusable {
        match self {
            Self::NotCurrent => Unusable::NotCurrent,
            _ => Unusable::Unresponsive,
        }
    }
}

/// Kind of a call to a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallKind {
    /// Asks whether the replica is usable and where the others are. It does not ask for the state,
    /// which is large, since the replica may be abandoned for a nearer one.
    Probe,
    /// Long poll for changes of the state.
    Poll,
}

/// A call that is not answered yet.
#[derive(Debug)]
pub(crate) struct PendingCall {
    /// Kind of the call, which says how to read the reply.
    pub kind: CallKind,
    /// Time at which the call was sent.
    pub sent_at: Instant,
    number: u64,
    task: AbortHandle,
}

/// Result of a call.
pub(crate) struct CallResult {
    /// Replica that was called.
    pub replica: SocketAddr,
    /// Its reply, or why there is none.
    pub reply: Result<FollowReply, FollowError>,
    number: u64,
}

/// The unanswered calls, at most one per replica, and the connections to replicas.
#[derive(Default)]
pub(crate) struct PendingCalls {
    clients: BTreeMap<SocketAddr, FleetClient<Channel>>,
    pending: BTreeMap<SocketAddr, PendingCall>,
    tasks: JoinSet<CallResult>,
    next_number: u64,
}

impl PendingCalls {
    /// Calls a replica, and cancels its unanswered call if there is one.
    pub fn start(
        &mut self,
        channels: &PeerChannels,
        replica: SocketAddr,
        kind: CallKind,
        request: FollowRequest,
        sent_at: Instant,
    ) {
        self.cancel(replica);
        let client = match self.clients.get(&replica) {
            Some(client) => Ok(client.clone()),
            None => channels.lazy(replica).map(FleetClient::new),
        };
        if let Ok(client) = &client {
            self.clients.insert(replica, client.clone());
        }
        self.next_number += 1;
        let number = self.next_number;
        let task = self.tasks.spawn(async move {
            let reply = match client {
                Ok(client) => call(client, request).await,
                Err(error) => Err(FollowError::Address {
                    message: error.to_string(),
                }),
            };
            CallResult {
                replica,
                reply,
                number,
            }
        });
        let pending = PendingCall {
            kind,
            sent_at,
            number,
            task,
        };
        self.pending.insert(replica, pending);
    }

    /// Returns the client of a replica that was called and not disconnected since.
    pub fn client(&self, replica: SocketAddr) -> Option<FleetClient<Channel>> {
        self.clients.get(&replica).cloned()
    }

    /// Cancels the unanswered call to a replica, if there is one.
    fn cancel(&mut self, replica: SocketAddr) {
        if let Some(pending) = self.pending.remove(&replica) {
            pending.task.abort();
        }
    }

    /// Cancels the unanswered call to a replica, and drops the connection to it.
    pub fn disconnect(&mut self, replica: SocketAddr) {
        self.cancel(replica);
        self.clients.remove(&replica);
    }

    /// Waits for the next result; forever if there is no unanswered call.
    pub async fn next_result(&mut self) -> (CallResult, PendingCall) {
        loop {
            let Some(joined) = self.tasks.join_next().await else {
                return std::future::pending().await;
            };
            // A cancelled call ends as aborted, or its number is not the replica's latest.
            let Ok(result) = joined else { continue };
            let is_awaited = |pending: &PendingCall| pending.number == result.number;
            if self.pending.get(&result.replica).is_some_and(is_awaited)
                && let Some(pending) = self.pending.remove(&result.replica)
            {
                return (result, pending);
            }
        }
    }
}

async fn call(
    mut client: FleetClient<Channel>,
    request: FollowRequest,
) -> Result<FollowReply, FollowError> {
    let reply = client.follow(Request::new(request)).await;
    let reply = reply.map_err(Box::new).context(CallSnafu)?;
    Ok(reply.into_inner())
}
