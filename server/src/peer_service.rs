//! gRPC service that receives the messages of other entry VMs.

use std::sync::Arc;

use heatherring_lib::announcement::Announcement;
use heatherring_lib::load_digest::LoadDigest;
use heatherring_lib::ownership::Release;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::action_peer;
use crate::entry_context::EntryContext;
use crate::proto::AnnounceReply;
use crate::proto::AnnounceRequest;
use crate::proto::DigestReply;
use crate::proto::DigestRequest;
use crate::proto::RecordActionReply;
use crate::proto::RecordActionRequest;
use crate::proto::ReleaseReply;
use crate::proto::ReleaseRequest;
use crate::proto::ResolveActionReply;
use crate::proto::ResolveActionRequest;
use crate::proto::peer_server::Peer;

/// Implements the gRPC service `Peer` for other entry VMs.
#[derive(Clone, Debug)]
pub struct PeerService {
    cx: Arc<EntryContext>,
}

impl PeerService {
    /// Creates the service, which answers from the shared state `cx`.
    #[must_use]
    pub const fn new(cx: Arc<EntryContext>) -> Self {
        Self { cx }
    }
}

fn invalid_message(error: &postcard::Error) -> Status {
    Status::invalid_argument(error.to_string())
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn digest(
        &self,
        request: Request<DigestRequest>,
    ) -> Result<Response<DigestReply>, Status> {
        let digest: LoadDigest = postcard::from_bytes(&request.into_inner().digest_encoded)
            .map_err(|error| invalid_message(&error))?;
        self.cx.admission.take_digest(digest);
        Ok(Response::new(DigestReply {}))
    }

    async fn announce(
        &self,
        request: Request<AnnounceRequest>,
    ) -> Result<Response<AnnounceReply>, Status> {
        let encoded = request.into_inner().announcement_encoded;
        let announcement =
            Announcement::decode(&encoded).map_err(|error| invalid_message(&error))?;
        let outcome = self.cx.admission.announce(announcement).await;
        Ok(Response::new(AnnounceReply {
            taken: matches!(outcome, Some(Ok(()))),
            owner_vm: self.cx.info.vm.as_str().to_owned(),
            owner_address: self.cx.info.backend_servers.to_string(),
        }))
    }

    async fn release(
        &self,
        request: Request<ReleaseRequest>,
    ) -> Result<Response<ReleaseReply>, Status> {
        for encoded in request.into_inner().releases_encoded {
            let release = Release::decode(&encoded).map_err(|error| invalid_message(&error))?;
            self.cx.admission.take_release(release);
        }
        Ok(Response::new(ReleaseReply {}))
    }

    async fn record_action(
        &self,
        request: Request<RecordActionRequest>,
    ) -> Result<Response<RecordActionReply>, Status> {
        let reply = action_peer::answer_record(&self.cx.actions, request.into_inner());
        Ok(Response::new(reply.await?))
    }

    async fn resolve_action(
        &self,
        request: Request<ResolveActionRequest>,
    ) -> Result<Response<ResolveActionReply>, Status> {
        let reply = action_peer::answer_resolve(&self.cx.actions, request.into_inner());
        Ok(Response::new(reply.await?))
    }
}
