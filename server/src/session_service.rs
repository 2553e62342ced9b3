//! gRPC service of a control replica for the sessions of entry VMs.

use std::time::Duration;

use heatherring_lib::control_state::ViewUpdate;
use heatherring_lib::id::ClusterId;
use heatherring_lib::id::Revision;
use heatherring_lib::id::SessionId;
use heatherring_lib::session_relay::Acknowledgement;
use heatherring_lib::session_relay::BatchGrant;
use heatherring_lib::settings::ControlTiming;
use serde::Serialize;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::leader_relay::answer_within;
use crate::leader_relay::is_relayed;
use crate::leader_relay::relayed_request;
use crate::leader_relay::session_client;
use crate::node_request::BatchAnswer;
use crate::node_request::LeaderLink;
use crate::node_request::NodeHandle;
use crate::node_request::Opening;
use crate::node_request::SyncAnswer;
use crate::node_request::SyncCall;
use crate::node_request::SyncSubject;
use crate::proto;
use crate::proto::SyncBatchReply;
use crate::proto::SyncBatchRequest;
use crate::proto::SyncOutcome;
use crate::proto::SyncReply;
use crate::proto::SyncRequest;
use crate::proto::session_server::Session;

/// Implements the gRPC service `Session` for entry VMs and relays.
#[derive(Clone, Debug)]
pub struct SessionService {
    cluster: ClusterId,
    timing: ControlTiming,
    node: NodeHandle,
}

impl SessionService {
    /// Creates the service of a replica whose state `node` reaches.
    #[must_use]
    pub const fn new(cluster: ClusterId, timing: ControlTiming, node: NodeHandle) -> Self {
        Self {
            cluster,
            timing,
            node,
        }
    }

    fn check_cluster(&self, cluster: &[u8]) -> Result<(), Status> {
        let first_contact = cluster.is_empty();
        if first_contact || cluster == self.cluster.0 {
            return Ok(());
        }
        log::warn!("rejected an entry VM of another cluster");
        Err(Status::failed_precondition("another cluster"))
    }

    async fn ask_leader(&self, leader: &LeaderLink, request: SyncRequest) -> SyncReply {
        let wait = Duration::from_millis(request.wait_ms.into());
        // A leader that is silent for longer than an election takes is considered gone.
        let timeout = wait + self.timing.election_max();
        let relayed = relayed_request(request, timeout);
        let mut client = session_client(leader);
        match answer_within(timeout, client.sync(relayed)).await {
            Ok(reply) => reply.into_inner(),
            Err(status) => {
                log::debug!(leader = leader.replica.0, error:% = status.message(); "the leader did not answer");
                self.reply(SyncOutcome::NoQuorum)
            }
        }
    }

    async fn ask_leader_batch(
        &self,
        leader: &LeaderLink,
        request: SyncBatchRequest,
    ) -> SyncBatchReply {
        let timeout = self.timing.election_max();
        let relayed = relayed_request(request, timeout);
        let mut client = session_client(leader);
        match answer_within(timeout, client.sync_batch(relayed)).await {
            Ok(reply) => reply.into_inner(),
            Err(status) => {
                log::debug!(leader = leader.replica.0, error:% = status.message(); "the leader did not answer the renewals of a relay");
                batch_without_quorum()
            }
        }
    }

    fn reply(&self, outcome: SyncOutcome) -> SyncReply {
        SyncReply {
            outcome: outcome.into(),
            cluster_id: self.cluster.0.to_vec(),
            ..SyncReply::default()
        }
    }

    fn granted(
        &self,
        session: SessionId,
        settled: Revision,
        update: ViewUpdate,
    ) -> Result<SyncReply, Status> {
        let mut reply = self.reply(SyncOutcome::Granted);
        reply.session = session.0;
        reply.lease_ms = self.timing.session_lease_ms;
        reply.settled_revision = settled.0;
        match update {
            ViewUpdate::Whole(view) => reply.view_encoded = encode(&view)?,
            ViewUpdate::Changes(changes) => {
                reply.changes_encoded = changes.iter().map(encode).collect::<Result<_, _>>()?;
            }
            ViewUpdate::ReplicaBehind => return Ok(self.reply(SyncOutcome::NoQuorum)),
        }
        Ok(reply)
    }
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Status> {
    postcard::to_stdvec(value).map_err(|source| Status::internal(source.to_string()))
}

fn sync_call(request: &SyncRequest) -> Result<SyncCall, Status> {
    let subject = if request.session == 0 {
        let entry = postcard::from_bytes(&request.entry_encoded)
            .map_err(|_| Status::invalid_argument("entry_encoded can't be decoded"))?;
        let after = request.opens_after.map(Revision);
        SyncSubject::Open(Box::new(Opening { entry, after }))
    } else {
        SyncSubject::Renew(SessionId(request.session))
    };
    Ok(SyncCall {
        subject,
        applied: Revision(request.applied_revision),
        known_settled: Revision(request.known_settled),
        wait: Duration::from_millis(request.wait_ms.into()),
        leaving: request.leaving,
        closing: request.closing,
    })
}

#[tonic::async_trait]
impl Session for SessionService {
    async fn sync(&self, request: Request<SyncRequest>) -> Result<Response<SyncReply>, Status> {
        let already_relayed = is_relayed(request.metadata());
        let request = request.into_inner();
        self.check_cluster(&request.cluster_id)?;
        let answer = self.node.sync(sync_call(&request)?).await;
        let reply = match answer {
            Ok(SyncAnswer::Granted {
                session,
                settled,
                update,
            }) => self.granted(session, settled, update)?,
            Ok(SyncAnswer::Lost) => self.reply(SyncOutcome::SessionLost),
            Ok(SyncAnswer::OpenedSince { revision }) => SyncReply {
                revision: revision.0,
                ..self.reply(SyncOutcome::OpenedSince)
            },
            Ok(SyncAnswer::NotCurrent {
                leader: Some(leader),
            }) if !already_relayed => self.ask_leader(&leader, request).await,
            Ok(SyncAnswer::NotCurrent { .. }) | Err(_) => self.reply(SyncOutcome::NoQuorum),
        };
        Ok(Response::new(reply))
    }

    async fn sync_batch(
        &self,
        request: Request<SyncBatchRequest>,
    ) -> Result<Response<SyncBatchReply>, Status> {
        let already_relayed = is_relayed(request.metadata());
        let request = request.into_inner();
        self.check_cluster(&request.cluster_id)?;
        let renewals = request.renewals.iter().map(acknowledgement).collect();
        let reply = match self.node.sync_batch(renewals).await {
            Ok(BatchAnswer::Granted(grant)) => batch_granted(&grant),
            Ok(BatchAnswer::NotCurrent {
                leader: Some(leader),
            }) if !already_relayed => self.ask_leader_batch(&leader, request).await,
            Ok(BatchAnswer::NotCurrent { .. }) | Err(_) => batch_without_quorum(),
        };
        Ok(Response::new(reply))
    }
}

fn acknowledgement(renewal: &proto::Renewal) -> Acknowledgement {
    Acknowledgement {
        session: SessionId(renewal.session),
        applied: Revision(renewal.applied_revision),
    }
}

fn batch_granted(grant: &BatchGrant) -> SyncBatchReply {
    SyncBatchReply {
        outcome: SyncOutcome::Granted.into(),
        lease_ms: u32::try_from(grant.lease.as_millis()).unwrap_or(u32::MAX),
        settled_revision: grant.settled.0,
        revision: grant.revision.0,
        lost: grant.lost.iter().map(|session| session.0).collect(),
    }
}

fn batch_without_quorum() -> SyncBatchReply {
    SyncBatchReply {
        outcome: SyncOutcome::NoQuorum.into(),
        ..SyncBatchReply::default()
    }
}
