//! Tests of the operators' client against fake control replicas with scripted answers.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use heatherring_server::operator_client::OperatorClient;
use heatherring_server::operator_client::OperatorClientError;
use heatherring_server::peer_security::PeerSecurity;
use heatherring_server::proto::AuditReply;
use heatherring_server::proto::AuditRequest;
use heatherring_server::proto::ChangeMembershipReply;
use heatherring_server::proto::ChangeMembershipRequest;
use heatherring_server::proto::HistoryReply;
use heatherring_server::proto::HistoryRequest;
use heatherring_server::proto::LiftQuarantineReply;
use heatherring_server::proto::LiftQuarantineRequest;
use heatherring_server::proto::QuarantineReply;
use heatherring_server::proto::QuarantineRequest;
use heatherring_server::proto::RolloutsReply;
use heatherring_server::proto::RolloutsRequest;
use heatherring_server::proto::ShowReply;
use heatherring_server::proto::ShowRequest;
use heatherring_server::proto::StartRolloutReply;
use heatherring_server::proto::StartRolloutRequest;
use heatherring_server::proto::StatusReply;
use heatherring_server::proto::StatusRequest;
use heatherring_server::proto::SubmitOutcome;
use heatherring_server::proto::SubmitReply;
use heatherring_server::proto::SubmitRequest;
use heatherring_server::proto::TeamsReply;
use heatherring_server::proto::TeamsRequest;
use heatherring_server::proto::operator_server::Operator;
use heatherring_server::proto::operator_server::OperatorServer;
use heatherring_testutils::loopback::CONTROL_PORT;
use heatherring_testutils::loopback::LoopbackBlock;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Server;

/// Time after which the client gives up. It bounds the duration of tests that get no answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(700);

/// How a replica handles one submission or order. It grants an order that it accepts, and denies
/// one with any other outcome.
#[derive(Clone, Copy, Debug)]
enum Step {
    Answer(SubmitOutcome),
    /// The answer is lost: to the client it looks as if the connection was reset.
    Lose,
    /// The call never returns.
    Hang,
    /// The replica cannot answer, and reports that it did nothing.
    Decline,
    /// The replica refuses the request as not permitted.
    Refuse,
}

/// A fake replica that follows its script and repeats the last step.
#[derive(Clone, Debug)]
struct Replica {
    script: Arc<Mutex<VecDeque<Step>>>,
    current: bool,
}

impl Replica {
    async fn next_order(&self) -> Result<bool, Status> {
        match self.next() {
            Step::Answer(outcome) => Ok(outcome == SubmitOutcome::Accepted),
            Step::Lose => Err(Status::unavailable("connection reset")),
            Step::Hang => std::future::pending().await,
            Step::Decline => Err(Status::failed_precondition("no quorum")),
            Step::Refuse => Err(Status::permission_denied("another operator")),
        }
    }

    fn next(&self) -> Step {
        let mut script = self.script.lock().unwrap();
        if script.len() > 1 {
            script.pop_front().unwrap()
        } else {
            script[0]
        }
    }
}

#[tonic::async_trait]
impl Operator for Replica {
    async fn submit(&self, _: Request<SubmitRequest>) -> Result<Response<SubmitReply>, Status> {
        match self.next() {
            Step::Answer(outcome) => Ok(Response::new(SubmitReply {
                outcome: outcome.into(),
                version: 4,
                ..SubmitReply::default()
            })),
            Step::Lose => Err(Status::unavailable("connection reset")),
            Step::Hang => std::future::pending().await,
            Step::Decline => Err(Status::failed_precondition("no quorum")),
            Step::Refuse => Err(Status::permission_denied("another operator")),
        }
    }

    async fn status(&self, _: Request<StatusRequest>) -> Result<Response<StatusReply>, Status> {
        Ok(Response::new(StatusReply {
            current: self.current,
            ..StatusReply::default()
        }))
    }

    async fn show(&self, _: Request<ShowRequest>) -> Result<Response<ShowReply>, Status> {
        Err(Status::unavailable(
            "this replica can't prove that it is current",
        ))
    }

    async fn history(&self, _: Request<HistoryRequest>) -> Result<Response<HistoryReply>, Status> {
        Ok(Response::new(HistoryReply::default()))
    }

    async fn audit(&self, _: Request<AuditRequest>) -> Result<Response<AuditReply>, Status> {
        Err(Status::invalid_argument("limit"))
    }

    async fn quarantine(
        &self,
        _: Request<QuarantineRequest>,
    ) -> Result<Response<QuarantineReply>, Status> {
        Ok(Response::new(QuarantineReply::default()))
    }

    async fn teams(&self, _: Request<TeamsRequest>) -> Result<Response<TeamsReply>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn rollouts(
        &self,
        _: Request<RolloutsRequest>,
    ) -> Result<Response<RolloutsReply>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn start_rollout(
        &self,
        _: Request<StartRolloutRequest>,
    ) -> Result<Response<StartRolloutReply>, Status> {
        let accepted = self.next_order().await?;
        Ok(Response::new(StartRolloutReply {
            accepted,
            ..StartRolloutReply::default()
        }))
    }

    async fn lift_quarantine(
        &self,
        _: Request<LiftQuarantineRequest>,
    ) -> Result<Response<LiftQuarantineReply>, Status> {
        let known = self.next_order().await?;
        Ok(Response::new(LiftQuarantineReply { known }))
    }

    async fn change_membership(
        &self,
        _: Request<ChangeMembershipRequest>,
    ) -> Result<Response<ChangeMembershipReply>, Status> {
        let accepted = self.next_order().await?;
        Ok(Response::new(ChangeMembershipReply {
            accepted,
            ..ChangeMembershipReply::default()
        }))
    }
}

/// Fake replicas, one for each script. An empty script leaves its address without a replica.
struct Replicas {
    addresses: Vec<SocketAddr>,
    _block: LoopbackBlock,
}

impl Replicas {
    async fn start(scripts: &[&[Step]]) -> Self {
        Self::start_with(scripts, true).await
    }

    async fn start_with(scripts: &[&[Step]], current: bool) -> Self {
        let mut block = LoopbackBlock::claim().unwrap();
        let mut addresses = Vec::new();
        for script in scripts {
            let address = SocketAddr::new(block.next_vm(), CONTROL_PORT);
            addresses.push(address);
            if script.is_empty() {
                continue;
            }
            let replica = Replica {
                script: Arc::new(Mutex::new(script.iter().copied().collect())),
                current,
            };
            let listener = TcpListener::bind(address).await.unwrap();
            let server = Server::builder().add_service(OperatorServer::new(replica));
            tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
        }
        Self {
            addresses,
            _block: block,
        }
    }

    fn client(&self) -> OperatorClient {
        let security = PeerSecurity::open_loopback();
        OperatorClient::new(self.addresses.clone(), security, CLIENT_TIMEOUT)
    }
}

/// Result of a submission as the client reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SubmissionResult {
    Final(SubmitOutcome),
    /// The submission is proved never to have been accepted.
    NotAccepted,
    Refused,
    Unknown,
}

async fn submit(scripts: &[&[Step]]) -> SubmissionResult {
    let replicas = Replicas::start(scripts).await;
    let result = replicas.client().submit(&SubmitRequest::default()).await;
    match result {
        Ok(reply) => SubmissionResult::Final(reply.outcome()),
        Err(OperatorClientError::Unreachable { .. }) => SubmissionResult::NotAccepted,
        Err(OperatorClientError::Refused { .. }) => SubmissionResult::Refused,
        Err(OperatorClientError::SubmissionUnknown { .. }) => SubmissionResult::Unknown,
        Err(error) => panic!("{error}"),
    }
}

const ACCEPTED: Step = Step::Answer(SubmitOutcome::Accepted);
const CONFLICT: Step = Step::Answer(SubmitOutcome::VersionConflict);
const NOT_ACCEPTED: Step = Step::Answer(SubmitOutcome::NotAccepted);
const UNKNOWN: Step = Step::Answer(SubmitOutcome::Unknown);
const INVALID: Step = Step::Answer(SubmitOutcome::Invalid);

macro_rules! submit_cases {
    ($($name:ident: $scripts:expr => $expected:expr;)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                let scripts: &[&[Step]] = &$scripts;
                assert_eq!(submit(scripts).await, $expected);
            }
        )*
    };
}

submit_cases! {
    test_operator_client_first_replica_answers: [&[ACCEPTED]] => SubmissionResult::Final(SubmitOutcome::Accepted);
    test_operator_client_next_replica_is_asked: [&[], &[ACCEPTED]] => SubmissionResult::Final(SubmitOutcome::Accepted);
    test_operator_client_conflict_is_final: [&[CONFLICT], &[ACCEPTED]] => SubmissionResult::Final(SubmitOutcome::VersionConflict);
    test_operator_client_lost_answer_is_asked_for_again: [&[Step::Lose, ACCEPTED]] => SubmissionResult::Final(SubmitOutcome::Accepted);
    test_operator_client_unknown_is_asked_for_again: [&[UNKNOWN, CONFLICT]] => SubmissionResult::Final(SubmitOutcome::VersionConflict);
    test_operator_client_no_replica_is_not_accepted: [&[], &[]] => SubmissionResult::NotAccepted;
    test_operator_client_declined_is_not_accepted: [&[Step::Decline], &[NOT_ACCEPTED], &[]] => SubmissionResult::NotAccepted;
    test_operator_client_silence_is_unknown: [&[Step::Hang]] => SubmissionResult::Unknown;
    test_operator_client_unknown_stays_unknown: [&[UNKNOWN]] => SubmissionResult::Unknown;
}

/// Guards against a manifest that comes into force although its operator was told "not accepted"
/// and has submitted another. The answer to the first copy of the submission is lost, and later
/// copies reach replicas without a quorum, which prove that they accepted nothing. That proof
/// holds only for the later copies.
#[tokio::test]
async fn test_operator_client_lost_answer_outweighs_later_proofs() {
    let ended = submit(&[&[Step::Lose, NOT_ACCEPTED], &[NOT_ACCEPTED]]).await;
    assert_eq!(ended, SubmissionResult::Unknown);
}

/// Guards against a submission that is reported as refused although an earlier copy may be accepted.
#[rstest]
#[case::refused(Step::Refuse)]
#[case::invalid(INVALID)]
#[tokio::test]
async fn test_operator_client_lost_answer_outweighs_a_refusal(#[case] later: Step) {
    let ended = submit(&[&[Step::Lose], &[later]]).await;
    assert_eq!(ended, SubmissionResult::Unknown);
}

/// Guards against a refusal of the only copy that is reported as unknown.
#[tokio::test]
async fn test_operator_client_refusal_is_final() {
    let ended = submit(&[&[Step::Refuse], &[ACCEPTED]]).await;
    assert_eq!(ended, SubmissionResult::Refused);
}

#[derive(Clone, Copy, Debug)]
enum Order {
    LiftQuarantine,
    StartRollout,
    ChangeMembership,
}

/// Result of an order as the client reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OrderResult {
    Granted,
    Denied,
    Refused,
    /// The order is proved never to have been carried out.
    NotDone,
    Unknown,
}

/// Gives an order to replicas of which each has one step; `None` is one that doesn't run.
async fn give(order: Order, steps: &[Option<Step>]) -> OrderResult {
    let scripts: Vec<&[Step]> = steps.iter().map(Option::as_slice).collect();
    let replicas = Replicas::start(&scripts).await;
    let client = replicas.client();
    let lift = LiftQuarantineRequest::default();
    let start = StartRolloutRequest::default();
    let change = ChangeMembershipRequest::default();
    let result = match order {
        Order::LiftQuarantine => client.lift_quarantine(&lift).await.map(|it| it.known),
        Order::StartRollout => client.start_rollout(&start).await.map(|it| it.accepted),
        Order::ChangeMembership => client
            .change_membership(&change)
            .await
            .map(|it| it.accepted),
    };
    match result {
        Ok(true) => OrderResult::Granted,
        Ok(false) => OrderResult::Denied,
        Err(OperatorClientError::Refused { .. }) => OrderResult::Refused,
        Err(OperatorClientError::Unreachable { .. }) => OrderResult::NotDone,
        Err(OperatorClientError::OrderUnknown { .. }) => OrderResult::Unknown,
        Err(error) => panic!("{error}"),
    }
}

/// Guards against an order that is reported as denied although an earlier copy was carried out.
#[rstest]
#[tokio::test]
async fn test_operator_client_lost_answer_outweighs_a_denied_order(
    #[values(Order::LiftQuarantine, Order::StartRollout, Order::ChangeMembership)] order: Order,
    #[values(Step::Lose, Step::Hang)] first: Step,
    #[values(Step::Refuse, INVALID, Step::Decline)] later: Step,
) {
    let ended = give(order, &[Some(first), Some(later)]).await;
    assert_eq!(ended, OrderResult::Unknown);
}

/// Guards against orders that are given up, or reported as unknown, although they were answered.
#[rstest]
#[case::granted(&[Some(ACCEPTED)], OrderResult::Granted)]
#[case::granted_later(&[Some(Step::Lose), Some(ACCEPTED)], OrderResult::Granted)]
#[case::denied(&[Some(INVALID), Some(ACCEPTED)], OrderResult::Denied)]
#[case::denied_after_decline(&[Some(Step::Decline), Some(INVALID)], OrderResult::Denied)]
#[case::refused(&[None, Some(Step::Refuse), Some(ACCEPTED)], OrderResult::Refused)]
#[case::declined(&[Some(Step::Decline), None], OrderResult::NotDone)]
#[tokio::test]
async fn test_operator_client_answered_order_is_known(
    #[values(Order::LiftQuarantine, Order::StartRollout, Order::ChangeMembership)] order: Order,
    #[case] steps: &[Option<Step>],
    #[case] expected: OrderResult,
) {
    assert_eq!(give(order, steps).await, expected);
}

#[tokio::test]
async fn test_operator_client_status_without_quorum_is_marked() {
    let replicas = Replicas::start_with(&[&[ACCEPTED], &[ACCEPTED]], false).await;
    let status = replicas.client().status().await.unwrap();
    assert!(!status.current);
}

#[tokio::test]
async fn test_operator_client_read_without_quorum_fails() {
    let replicas = Replicas::start(&[&[ACCEPTED]]).await;
    let error = replicas.client().show(0).await.unwrap_err();
    assert!(matches!(error, OperatorClientError::Unreachable { .. }));
    assert!(error.to_string().contains("can't prove that it is current"));
}

#[tokio::test]
async fn test_operator_client_faulty_request_is_not_repeated() {
    let replicas = Replicas::start(&[&[ACCEPTED]]).await;
    let request = AuditRequest::default();
    let error = replicas.client().audit(request).await.unwrap_err();
    assert!(matches!(error, OperatorClientError::Refused { .. }));
}
