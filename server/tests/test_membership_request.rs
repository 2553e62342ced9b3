//! Replies to requested changes of the set of control replicas.

use heatherring_lib::id::ClusterId;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::id::Revision;
use heatherring_lib::raft_effects::ChangeProblem;
use heatherring_lib::raft_effects::Refusal;
use heatherring_server::membership_request::membership_reply;
use heatherring_server::node_request::NodeError;
use rstest::rstest;
use tonic::Code;

const CLUSTER: ClusterId = ClusterId([1; 16]);

fn refused(reason: Refusal) -> NodeError {
    let leader = None;
    NodeError::Refused { reason, leader }
}

/// Guards against a change that is reported as not made although it may be committed.
#[test]
fn test_membership_reply_to_an_open_outcome_is_no_denial() {
    let reply = membership_reply(CLUSTER, Err(refused(Refusal::LeadershipLost)));
    assert_eq!(reply.unwrap_err().code(), Code::Unavailable);
}

#[rstest]
#[case::not_member(Refusal::InvalidChange { problem: ChangeProblem::NotMember { id: ReplicaId(4) } })]
#[case::overwritten(Refusal::Overwritten)]
#[case::pending(Refusal::ChangePending)]
fn test_membership_reply_denies_what_is_not_in_the_log(#[case] reason: Refusal) {
    let text = reason.to_string();
    let reply = membership_reply(CLUSTER, Err(refused(reason))).unwrap();
    assert!(!reply.accepted);
    assert_eq!((reply.reason, reply.revision), (text, 0));
}

#[test]
fn test_membership_reply_to_a_committed_change() {
    let reply = membership_reply(CLUSTER, Ok(Revision(7))).unwrap();
    assert!(reply.accepted);
    assert_eq!(reply.revision, 7);
}
