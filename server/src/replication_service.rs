//! gRPC service that receives the messages of other control replicas.

use std::net::SocketAddr;

use heatherring_lib::id::ReplicaId;
use heatherring_lib::raft_message::Message;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::data_folder::Identity;
use crate::node_request::NodeHandle;
use crate::peer_channel::SENDER_ADDRESS;
use crate::proto::Delivered;
use crate::proto::PeerMessage;
use crate::proto::replication_server::Replication;

/// Checks messages and passes them to the task that owns the replica's state.
#[derive(Clone, Debug)]
pub struct ReplicationService {
    identity: Identity,
    node: NodeHandle,
}

impl ReplicationService {
    /// Creates the service of the replica with the given identity.
    #[must_use]
    pub const fn new(identity: Identity, node: NodeHandle) -> Self {
        Self { identity, node }
    }

    /// Checks that a message is addressed to this cluster and to this replica identity.
    ///
    /// A replica that has lost its data folder and was set up anew at the same address has
    /// another identity. Without the check it would answer under the old identity and
    /// count towards a quorum with a log and votes that it no longer has.
    fn check(&self, message: &PeerMessage) -> Result<(), Status> {
        if message.cluster_id != self.identity.cluster.0 {
            log::warn!(from = message.from; "rejected a message from another cluster");
            return Err(Status::failed_precondition("another cluster"));
        }
        if message.to != self.identity.replica.0 {
            log::warn!(
                from = message.from,
                to = message.to;
                "rejected a message to another replica identity"
            );
            return Err(Status::failed_precondition("another replica identity"));
        }
        Ok(())
    }
}

#[tonic::async_trait]
impl Replication for ReplicationService {
    async fn deliver(&self, request: Request<PeerMessage>) -> Result<Response<Delivered>, Status> {
        let address = sender_address(&request);
        let envelope = request.into_inner();
        self.check(&envelope)?;
        let message: Message = postcard::from_bytes(&envelope.message_encoded)
            .map_err(|_| Status::invalid_argument("the message can't be decoded"))?;
        self.node
            .deliver(ReplicaId(envelope.from), address, message);
        Ok(Response::new(Delivered {}))
    }
}

fn sender_address(request: &Request<PeerMessage>) -> Option<SocketAddr> {
    let text = request.metadata().get(SENDER_ADDRESS)?.to_str().ok()?;
    text.parse().ok()
}
