//! Conversion of membership changes between the operators' protocol and Raft.

use heatherring_lib::id::ClusterId;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::id::Revision;
use heatherring_lib::id::VmName;
use heatherring_lib::raft_effects::MembershipChange;
use heatherring_lib::raft_message::ReplicaInfo;
use tonic::Status;

use crate::node_request::NodeError;
use crate::proto::AddReplica;
use crate::proto::ChangeMembershipReply;
use crate::proto::ChangeMembershipRequest;
use crate::proto::change_membership_request::Change;

/// Decodes the requested change.
///
/// # Errors
///
/// Returns an "invalid argument" status if the change is missing, its address does not parse, or
/// the replica to add has the identity 0.
pub fn membership_change(request: &ChangeMembershipRequest) -> Result<MembershipChange, Status> {
    match &request.change {
        Some(Change::Add(add)) => add_learner(add),
        Some(Change::Remove(replica)) => Ok(MembershipChange::Remove(ReplicaId(*replica))),
        None => Err(Status::invalid_argument("change is missing")),
    }
}

fn add_learner(add: &AddReplica) -> Result<MembershipChange, Status> {
    let address = add
        .address
        .parse()
        .map_err(|_| Status::invalid_argument("address is not an IP address with a port"))?;
    if add.replica == 0 {
        return Err(Status::invalid_argument("replica must not be 0"));
    }
    Ok(MembershipChange::AddLearner {
        id: ReplicaId(add.replica),
        info: ReplicaInfo {
            vm: VmName::new(add.vm.as_str()),
            address,
        },
        replaces: (add.replaces != 0).then_some(ReplicaId(add.replaces)),
    })
}

/// Returns the reply to a requested change; its revision is 0 if the change was refused.
///
/// # Errors
///
/// Returns an "unavailable" status if the change may still be made.
pub fn membership_reply(
    cluster: ClusterId,
    outcome: Result<Revision, NodeError>,
) -> Result<ChangeMembershipReply, Status> {
    if let Err(error) = &outcome
        && !error.is_proved_absent()
    {
        return Err(Status::unavailable(error.to_string()));
    }
    let accepted = outcome.is_ok();
    let (revision, reason) = match outcome {
        Ok(revision) => (revision, String::new()),
        Err(error) => (Revision(0), error.to_string()),
    };
    Ok(ChangeMembershipReply {
        accepted,
        cluster_id: cluster.0.to_vec(),
        revision: revision.0,
        reason,
    })
}
