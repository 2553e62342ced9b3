//! The questions of an entry VM to control replicas that aren't answered yet.

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

/// Tells why a replica's answer is of no use.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum FollowError {
    #[snafu(display("no answer in time"))]
    Unresponsive,
    #[snafu(display("{}", source.message()))]
    Call { source: Box<tonic::Status> },
    #[snafu(display("the replica can't prove that it is current"))]
    NotCurrent,
    #[snafu(display("the update can't be used: {message}"))]
    Update { message: String },
    #[snafu(display("the address can't be used: {message}"))]
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

/// Says what a replica was asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Question {
    /// Whether it is of use and where the others are. The state is large, and isn't asked of a
    /// replica that may be left for a nearer one.
    Use,
    /// For news.
    News,
}

/// Holds a question that isn't answered yet.
#[derive(Debug)]
pub(crate) struct Asked {
    /// What was asked.
    pub question: Question,
    /// When.
    pub at: Instant,
    number: u64,
    call: AbortHandle,
}

/// Holds what came of a question.
pub(crate) struct Answered {
    /// The replica.
    pub replica: SocketAddr,
    /// Its answer.
    pub reply: Result<FollowReply, FollowError>,
    number: u64,
}

/// Holds the questions that aren't answered yet, one a replica.
#[derive(Default)]
pub(crate) struct Asking {
    clients: BTreeMap<SocketAddr, FleetClient<Channel>>,
    asked: BTreeMap<SocketAddr, Asked>,
    calls: JoinSet<Answered>,
    next_number: u64,
}

impl Asking {
    /// Asks a replica, in place of what it was asked before.
    pub fn ask(
        &mut self,
        channels: &PeerChannels,
        replica: SocketAddr,
        question: Question,
        request: FollowRequest,
        at: Instant,
    ) {
        self.withdraw(replica);
        let client = match self.clients.get(&replica) {
            Some(client) => Ok(client.clone()),
            None => channels.lazy(replica).map(FleetClient::new),
        };
        if let Ok(client) = &client {
            self.clients.insert(replica, client.clone());
        }
        self.next_number += 1;
        let number = self.next_number;
        let call = self.calls.spawn(async move {
            let reply = match client {
                Ok(client) => call(client, request).await,
                Err(error) => Err(FollowError::Address {
                    message: error.to_string(),
                }),
            };
            Answered {
                replica,
                reply,
                number,
            }
        });
        let asked = Asked {
            question,
            at,
            number,
            call,
        };
        self.asked.insert(replica, asked);
    }

    /// Returns the connection to a replica that was asked and not left since.
    pub fn client(&self, replica: SocketAddr) -> Option<FleetClient<Channel>> {
        self.clients.get(&replica).cloned()
    }

    /// Waits no longer for the answer of a replica.
    fn withdraw(&mut self, replica: SocketAddr) {
        if let Some(asked) = self.asked.remove(&replica) {
            asked.call.abort();
        }
    }

    /// Lets go of the connection to a replica as well.
    pub fn leave(&mut self, replica: SocketAddr) {
        self.withdraw(replica);
        self.clients.remove(&replica);
    }

    /// Waits for the next answer; for ever if nothing is asked.
    pub async fn answered(&mut self) -> (Answered, Asked) {
        loop {
            let Some(joined) = self.calls.join_next().await else {
                return std::future::pending().await;
            };
            // One that was withdrawn ends as aborted, or its number isn't the last.
            let Ok(answered) = joined else { continue };
            let is_awaited = |asked: &Asked| asked.number == answered.number;
            if self.asked.get(&answered.replica).is_some_and(is_awaited)
                && let Some(asked) = self.asked.remove(&answered.replica)
            {
                return (answered, asked);
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
