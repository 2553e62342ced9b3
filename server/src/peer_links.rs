//! Links from a control replica to the others: one task and one bounded queue each.

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

/// Messages that wait for one replica; more are dropped, as the protocol allows.
const QUEUE_LENGTH: usize = 256;

/// Messages on their way to one replica at a time.
const MAX_IN_FLIGHT: usize = 32;

/// Time after which a message counts as lost and the connection as broken.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);

const FIRST_BACKOFF: Duration = Duration::from_millis(20);
const LONGEST_BACKOFF: Duration = Duration::from_millis(500);

/// Largest message between replicas, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 128 << 20;

/// Sends messages to other replicas.
#[derive(Debug)]
pub struct PeerLinks {
    cluster: ClusterId,
    own: ReplicaId,
    own_address: SocketAddr,
    channels: PeerChannels,
    links: BTreeMap<ReplicaId, Link>,
    /// Addresses as senders named them. A new replica must answer the leader before it
    /// has the log entry that says where the leader is.
    named: BTreeMap<ReplicaId, SocketAddr>,
}

#[derive(Debug)]
struct Link {
    address: SocketAddr,
    /// For requests that are passed on.
    channel: Channel,
    tx: mpsc::Sender<Message>,
}

impl PeerLinks {
    /// Creates links without any peer.
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
            named: BTreeMap::new(),
        }
    }

    /// Notes where a sender says that it listens.
    pub fn name(&mut self, replica: ReplicaId, address: SocketAddr) {
        self.named.insert(replica, address);
    }

    /// Drops links to replicas that are no members, or that are elsewhere now.
    pub fn retain_members(&mut self, membership: &Membership) {
        let own = self.own;
        self.links.retain(|replica, link| {
            member_address(membership, *replica).is_none_or(|address| address == link.address)
                && *replica != own
        });
    }

    /// Queues a message; drops it if the queue is full or the address is unknown.
    pub fn send(&mut self, membership: &Membership, to: ReplicaId, message: Message) {
        let Some(link) = self.link(membership, to) else {
            log::debug!(to = to.0; "dropped a message: the replica's address is unknown");
            return;
        };
        if link.tx.try_send(message).is_err() {
            log::debug!(to = to.0; "dropped a message: the replica's queue is full");
        }
    }

    /// Returns a connection to a replica for requests that are passed on.
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
        let named = self.named.get(&to).copied();
        let address = member_address(membership, to).or(named)?;
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

/// Owns the connection to one replica.
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
    /// Sends until the queue is closed. A failed delivery drops the connection, since a
    /// cut path keeps an established one silent for minutes.
    async fn run(self, mut rx: mpsc::Receiver<Message>) {
        let mut backoff = FIRST_BACKOFF;
        while let Ok(channel) = self.channels.lazy(self.address) {
            let delivered = match self.serve(channel, &mut rx).await {
                Ok(()) => return,
                Err(failure) => failure,
            };
            if delivered.any {
                backoff = FIRST_BACKOFF;
            }
            log::debug!(
                to = self.to.0,
                address:% = self.address,
                error:% = delivered.status.message();
                "link to a replica failed"
            );
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(LONGEST_BACKOFF);
            // What waited meanwhile is stale; the protocol repeats what matters.
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
        let mut any = false;
        loop {
            tokio::select! {
                message = rx.recv(), if in_flight.len() < MAX_IN_FLIGHT => {
                    let Some(message) = message else { return Ok(()) };
                    in_flight.push(self.deliver(client.clone(), message));
                }
                Some(result) = in_flight.next() => {
                    let () = result.map_err(|status| LinkFailure { any, status })?;
                    any = true;
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

/// Tells how a connection ended.
#[derive(Debug)]
struct LinkFailure {
    /// Whether anything was delivered before.
    any: bool,
    status: Status,
}
