//! Links from a control replica to the others. Each link has a task and a bounded queue.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use heatherring_lib::id::ClusterId;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::raft_message::Membership;
use heatherring_lib::raft_message::Message;
use tokio::sync::mpsc;
use tonic::Request;
use tonic::Status;
use tonic::metadata::MetadataValue;
use tonic::transport::Channel;

use crate::node_request::LeaderLink;
use crate::peer_channel::PeerChannels;
use crate::peer_channel::SENDER_ADDRESS;
use crate::proto::Delivered;
use crate::proto::PeerMessage;
use crate::proto::replication_client::ReplicationClient;

/// Capacity of the queue of one link. Further messages are dropped, which Raft tolerates.
const QUEUE_LENGTH: usize = 256;

/// Maximum number of unanswered messages to one replica.
const MAX_IN_FLIGHT: usize = 32;

/// Time after which an unanswered message counts as lost and the connection as failed.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);

const FIRST_BACKOFF: Duration = Duration::from_millis(20);
const LONGEST_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum size of a message between control replicas, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 128 << 20;

/// Sends messages to other control replicas.
#[derive(Debug)]
pub struct PeerLinks {
    cluster: ClusterId,
    own: ReplicaId,
    own_address: SocketAddr,
    channels: PeerChannels,
    links: BTreeMap<ReplicaId, Link>,
    /// Addresses that senders have reported for themselves. A new replica must answer the
    /// leader before it has the log entry with the leader's address.
    reported: BTreeMap<ReplicaId, SocketAddr>,
}

#[derive(Debug)]
struct Link {
    address: SocketAddr,
    /// Channel for requests that are relayed to the leader.
    channel: Channel,
    tx: mpsc::Sender<Message>,
}

impl PeerLinks {
    /// Creates the set of links, which is empty at first. `own_address` is sent with each
    /// message, so that the receiver can answer.
    #[must_use]
    pub const fn new(
        cluster: ClusterId,
        own: ReplicaId,
        own_address: SocketAddr,
        channels: PeerChannels,
    ) -> Self {
        Self {
            cluster,
            own,
            own_address,
            channels,
            links: BTreeMap::new(),
            reported: BTreeMap::new(),
        }
    }

    /// Records the address that a sender has reported for itself.
    pub fn name(&mut self, replica: ReplicaId, address: SocketAddr) {
        self.reported.insert(replica, address);
    }

    /// Drops the links to replicas whose address in `membership` differs from the link's, and
    /// to this replica itself. Links to replicas that aren't members are kept.
    pub fn retain_members(&mut self, membership: &Membership) {
        let own = self.own;
        self.links.retain(|replica, link| {
            member_address(membership, *replica).is_none_or(|address| address == link.address)
                && *replica != own
        });
    }

    /// Queues a message. Drops it if the queue is full or the replica's address is unknown.
    pub fn send(&mut self, membership: &Membership, to: ReplicaId, message: Message) {
        let Some(link) = self.link(membership, to) else {
            log::debug!(to = to.0; "dropped a message: the replica's address is unknown");
            return;
        };
        if link.tx.try_send(message).is_err() {
            log::debug!(to = to.0; "dropped a message: the replica's queue is full");
        }
    }

    /// Returns the channel to a replica for requests that are relayed to it; `None` if it is
    /// this replica or its address is unknown.
    pub fn leader_link(
        &mut self,
        membership: &Membership,
        replica: ReplicaId,
    ) -> Option<LeaderLink> {
        if replica == self.own {
            return None;
        }
        let link = self.link(membership, replica)?;
        Some(LeaderLink {
            replica,
            address: link.address,
            channel: link.channel.clone(),
        })
    }

    fn link(&mut self, membership: &Membership, to: ReplicaId) -> Option<&Link> {
        let reported = self.reported.get(&to).copied();
        let address = member_address(membership, to).or(reported)?;
        let known = self.links.get(&to).is_some_and(|l| l.address == address);
        if !known {
            let link = self.open(to, address)?;
            self.links.insert(to, link);
        }
        self.links.get(&to)
    }

    fn open(&self, to: ReplicaId, address: SocketAddr) -> Option<Link> {
        let channel = self.channels.lazy(address).ok()?;
        let (tx, rx) = mpsc::channel(QUEUE_LENGTH);
        let sender = Sender {
            cluster: self.cluster,
            from: self.own,
            own_address: self.own_address,
            to,
            address,
            channels: self.channels.clone(),
        };
        tokio::spawn(sender.run(rx));
        Some(Link {
            address,
            channel,
            tx,
        })
    }
}

fn member_address(membership: &Membership, replica: ReplicaId) -> Option<SocketAddr> {
    let voter = membership.voters.get(&replica);
    let info = voter.or_else(|| membership.learners.get(&replica))?;
    Some(info.address)
}

/// Task that owns the connection to one replica.
#[derive(Debug)]
struct Sender {
    cluster: ClusterId,
    from: ReplicaId,
    own_address: SocketAddr,
    to: ReplicaId,
    address: SocketAddr,
    channels: PeerChannels,
}

impl Sender {
    /// Sends messages until the queue is closed. Drops the connection after a failed
    /// delivery, since an established connection over an interrupted network path may stay
    /// silent for minutes.
    async fn run(self, mut rx: mpsc::Receiver<Message>) {
        let mut backoff = FIRST_BACKOFF;
        while let Ok(channel) = self.channels.lazy(self.address) {
            let failure = match self.serve(channel, &mut rx).await {
                Ok(()) => return,
                Err(link_failure) => link_failure,
            };
            if failure.any_delivered {
                backoff = FIRST_BACKOFF;
            }
            log::debug!(
                to = self.to.0,
                address:% = self.address,
                error:% = failure.status.message();
                "link to a replica failed"
            );
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(LONGEST_BACKOFF);
            // Discards the messages queued during the pause: they are outdated, and Raft
            // repeats what is still needed.
            while rx.try_recv().is_ok() {}
        }
    }

    async fn serve(
        &self,
        channel: Channel,
        rx: &mut mpsc::Receiver<Message>,
    ) -> Result<(), LinkFailure> {
        let client = ReplicationClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let mut in_flight = FuturesUnordered::new();
        let mut any_delivered = false;
        loop {
            tokio::select! {
                message = rx.recv(), if in_flight.len() < MAX_IN_FLIGHT => {
                    let Some(message) = message else { return Ok(()) };
                    in_flight.push(self.deliver(client.clone(), message));
                }
                Some(result) = in_flight.next() => {
                    let () = result.map_err(|status| LinkFailure { any_delivered, status })?;
                    any_delivered = true;
                }
            }
        }
    }

    async fn deliver(
        &self,
        mut client: ReplicationClient<Channel>,
        message: Message,
    ) -> Result<(), Status> {
        let message_encoded =
            postcard::to_stdvec(&message).map_err(|source| Status::internal(source.to_string()))?;
        let mut request = Request::new(PeerMessage {
            cluster_id: self.cluster.0.to_vec(),
            from: self.from.0,
            to: self.to.0,
            message_encoded,
        });
        if let Ok(address) = MetadataValue::try_from(self.own_address.to_string()) {
            request.metadata_mut().insert(SENDER_ADDRESS, address);
        }
        let delivery = tokio::time::timeout(DELIVERY_TIMEOUT, client.deliver(request));
        let Delivered {} = delivery
            .await
            .map_err(|_| Status::deadline_exceeded("no answer in time"))??
            .into_inner();
        Ok(())
    }
}

/// How a connection failed.
#[derive(Debug)]
struct LinkFailure {
    /// Whether at least one message was delivered before the failure.
    any_delivered: bool,
    status: Status,
}
