//! Client of the operators' service.
//!
//! Any replica can answer: the addresses of the list are tried in order, round after round, until
//! one gives a final answer or the time is up. Submissions are idempotent, so a call whose answer
//! was lost is repeated.

use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::ResultExt;
use snafu::Snafu;
use tokio::time::Instant;
use tonic::Code;
use tonic::Response;
use tonic::Status;
use tonic::transport::Channel;

use crate::peer_security::PeerSecurity;
use crate::peer_security::PeerSecurityError;
use crate::proto::AuditReply;
use crate::proto::AuditRequest;
use crate::proto::ChangeMembershipReply;
use crate::proto::ChangeMembershipRequest;
use crate::proto::HistoryReply;
use crate::proto::HistoryRequest;
use crate::proto::LiftQuarantineReply;
use crate::proto::LiftQuarantineRequest;
use crate::proto::QuarantineReply;
use crate::proto::QuarantineRequest;
use crate::proto::RolloutsReply;
use crate::proto::RolloutsRequest;
use crate::proto::ShowReply;
use crate::proto::ShowRequest;
use crate::proto::StartRolloutReply;
use crate::proto::StartRolloutRequest;
use crate::proto::StatusReply;
use crate::proto::StatusRequest;
use crate::proto::SubmitOutcome;
use crate::proto::SubmitReply;
use crate::proto::SubmitRequest;
use crate::proto::TeamsReply;
use crate::proto::TeamsRequest;
use crate::proto::operator_client::OperatorClient as GrpcClient;

/// Largest message of the operators' protocol, in bytes. It has room for a manifest with a few
/// million client blocks.
pub const MAX_MESSAGE_BYTES: usize = 512 * 1024 * 1024;

/// Timeout for opening one connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest timeout of one call, used when little of the total time is left.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest timeout of one call, after which the next replica is tried.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two rounds through the list.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Reason for which control gave no final answer.
#[derive(Debug, Snafu)]
pub enum OperatorClientError {
    /// The security settings cannot be used.
    #[snafu(display("{source}"))]
    Security {
        /// Cause of the failure.
        source: PeerSecurityError,
    },
    /// No replica gave a final answer in time.
    #[snafu(display("no control replica answered in time: {attempts}"))]
    Unreachable {
        /// Last failed attempt at each replica.
        attempts: Attempts,
    },
    /// A replica refused the request as invalid or not permitted; others would do the same.
    #[snafu(display("control replica {address} refused the request: {reason}"))]
    Refused {
        /// Address of the replica.
        address: SocketAddr,
        /// Message of its refusal.
        reason: String,
    },
    /// The submission may have been accepted.
    #[snafu(display("unknown whether the manifest was accepted: {attempts}"))]
    SubmissionUnknown {
        /// Last failed attempt at each replica.
        attempts: Attempts,
    },
    /// The order may have been carried out.
    #[snafu(display("unknown whether the order was carried out: {attempts}"))]
    OrderUnknown {
        /// Last failed attempt at each replica.
        attempts: Attempts,
    },
}

/// Last failed attempt at one replica.
#[derive(Debug)]
pub struct Attempt {
    /// Address of the replica.
    pub address: SocketAddr,
    /// Reason for which it gave no final answer.
    pub ending: AttemptEnding,
}

/// Way in which an attempt ended without a final answer.
#[derive(Debug, Snafu)]
pub enum AttemptEnding {
    /// No connection was established, so nothing was sent.
    #[snafu(display("can't connect ({})", innermost(source)))]
    NotConnected {
        /// Error of the transport.
        source: tonic::transport::Error,
    },
    /// The replica cannot carry out the request now, and reports that it changed nothing.
    #[snafu(display("cannot answer now ({reason})"))]
    NotDone {
        /// Reason that the replica gave.
        reason: String,
    },
    /// The request was sent, and its outcome is unknown.
    #[snafu(display("the answer was lost ({reason})"))]
    AnswerLost {
        /// Known detail, such as the status or the timeout.
        reason: String,
    },
    /// The replica denied this copy of the request, which proves nothing of earlier copies.
    #[snafu(display("denied a later copy ({reason})"))]
    Denied {
        /// Reason that the replica gave.
        reason: String,
    },
}

/// The last failed attempt at each replica, ordered by time.
#[derive(Debug, Default)]
pub struct Attempts(pub Vec<Attempt>);

impl fmt::Display for Attempts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, Attempt { address, ending }) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(f, "{separator}{address} {ending}")?;
        }
        Ok(())
    }
}

impl Attempts {
    fn record(&mut self, address: SocketAddr, ending: AttemptEnding) {
        self.0.retain(|attempt| attempt.address != address);
        self.0.push(Attempt { address, ending });
    }
}

/// Client that calls control replicas in turn.
#[derive(Debug)]
pub struct OperatorClient {
    control: Vec<SocketAddr>,
    security: PeerSecurity,
    total_timeout: Duration,
}

/// Whether a request changes anything.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestKind {
    Read,
    Order,
}

/// Classification of an attempt.
enum Outcome<T> {
    /// The reply is final.
    Final(T),
    /// The replica did nothing for this copy of the request, and others would do the same.
    Denied(Denial<T>),
    /// Another replica, or this one later, may give a final answer.
    Retry(AttemptEnding),
}

/// Denial by one replica.
struct Denial<T> {
    /// Result of the call if no answer to an earlier copy was lost.
    result: Result<T, OperatorClientError>,
    reason: String,
}

impl<T> Denial<T> {
    fn reply(reply: T, reason: impl Into<String>) -> Self {
        Self {
            result: Ok(reply),
            reason: reason.into(),
        }
    }

    fn error(error: OperatorClientError) -> Self {
        Self {
            reason: error.to_string(),
            result: Err(error),
        }
    }
}

impl OperatorClient {
    /// Creates a client that calls the replicas at `control` in order, and gives up after
    /// `total_timeout`.
    #[must_use]
    pub const fn new(
        control: Vec<SocketAddr>,
        security: PeerSecurity,
        total_timeout: Duration,
    ) -> Self {
        Self {
            control,
            security,
            total_timeout,
        }
    }

    /// Submits a manifest.
    ///
    /// The reply's outcome is never unknown; an unknown outcome is an error.
    ///
    /// # Errors
    ///
    /// Fails if no replica gave a final answer. [`OperatorClientError::SubmissionUnknown`] means
    /// that the manifest may have been accepted; after all other errors it was not.
    pub async fn submit(
        &self,
        request: &SubmitRequest,
    ) -> Result<SubmitReply, OperatorClientError> {
        let classify = |reply: SubmitReply| match reply.outcome() {
            SubmitOutcome::Unknown | SubmitOutcome::Unspecified => {
                let reason = reply.reason;
                Outcome::Retry(AttemptEnding::AnswerLost { reason })
            }
            SubmitOutcome::NotAccepted => {
                let reason = reply.reason;
                Outcome::Retry(AttemptEnding::NotDone { reason })
            }
            SubmitOutcome::Invalid => {
                let reason = reply.problems.join("; ");
                Outcome::Denied(Denial::reply(reply, reason))
            }
            // The log decides these three for all copies alike.
            SubmitOutcome::Accepted
            | SubmitOutcome::VersionConflict
            | SubmitOutcome::StaleVersion => Outcome::Final(reply),
        };
        let call = async |mut client: GrpcClient<Channel>| client.submit(request.clone()).await;
        match self.call_any(RequestKind::Order, call, classify).await {
            Err(OperatorClientError::OrderUnknown { attempts }) => {
                SubmissionUnknownSnafu { attempts }.fail()
            }
            result => result,
        }
    }

    /// Fetches the text of a manifest; version 0 means the one in force.
    ///
    /// # Errors
    ///
    /// Fails if no replica gave a final answer.
    pub async fn show(&self, version: u64) -> Result<ShowReply, OperatorClientError> {
        let request = ShowRequest { version };
        self.read(async |mut client| client.show(request).await)
            .await
    }

    /// Fetches the latest accepted manifests.
    ///
    /// # Errors
    ///
    /// Fails if no replica gave a final answer.
    pub async fn history(&self, limit: u32) -> Result<HistoryReply, OperatorClientError> {
        let request = HistoryRequest { limit };
        self.read(async |mut client| client.history(request).await)
            .await
    }

    /// Fetches audit records after a revision.
    ///
    /// # Errors
    ///
    /// Fails if no replica gave a final answer.
    pub async fn audit(&self, request: AuditRequest) -> Result<AuditReply, OperatorClientError> {
        self.read(async |mut client| client.audit(request).await)
            .await
    }

    /// Fetches the state of the cluster.
    ///
    /// A reply that a quorum confirmed is preferred. If no replica can give one in time, the last
    /// reply received is returned; its `current` is false.
    ///
    /// # Errors
    ///
    /// Fails if no replica gave any answer.
    pub async fn status(&self) -> Result<StatusReply, OperatorClientError> {
        let mut unconfirmed: Option<StatusReply> = None;
        let classify = |reply: StatusReply| {
            if reply.current {
                return Outcome::Final(reply);
            }
            let known = unconfirmed.as_ref().map(known_contacts);
            if known.is_none_or(|known| known_contacts(&reply) >= known) {
                unconfirmed = Some(reply);
            }
            let reason = "not confirmed by a quorum".to_owned();
            Outcome::Retry(AttemptEnding::NotDone { reason })
        };
        let call = async |mut client: GrpcClient<Channel>| client.status(StatusRequest {}).await;
        let result = self.call_any(RequestKind::Read, call, classify).await;
        match (result, unconfirmed) {
            (Err(OperatorClientError::Unreachable { .. }), Some(reply)) => Ok(reply),
            (result, _) => result,
        }
    }

    /// Fetches the requests that are suspected of crashing backend servers.
    ///
    /// # Errors
    ///
    /// Fails if no replica gave a final answer.
    pub async fn quarantine(&self) -> Result<QuarantineReply, OperatorClientError> {
        self.read(async |mut client| client.quarantine(QuarantineRequest {}).await)
            .await
    }

    /// Clears the suspicion or quarantine of a request, which is identified by its fingerprint.
    ///
    /// # Errors
    ///
    /// Fails if no replica gave a final answer. [`OperatorClientError::OrderUnknown`] means that
    /// the suspicion may have been cleared.
    pub async fn lift_quarantine(
        &self,
        request: &LiftQuarantineRequest,
    ) -> Result<LiftQuarantineReply, OperatorClientError> {
        let classify = |reply: LiftQuarantineReply| {
            if reply.known {
                return Outcome::Final(reply);
            }
            Outcome::Denied(Denial::reply(reply, "not suspected"))
        };
        let call =
            async |mut client: GrpcClient<Channel>| client.lift_quarantine(request.clone()).await;
        self.call_any(RequestKind::Order, call, classify).await
    }

    /// Fetches the teams, without their keys.
    ///
    /// # Errors
    ///
    /// Fails if no replica gave a final answer.
    pub async fn teams(&self) -> Result<TeamsReply, OperatorClientError> {
        self.read(async |mut client| client.teams(TeamsRequest {}).await)
            .await
    }

    /// Fetches the latest rollouts.
    ///
    /// # Errors
    ///
    /// Fails if no replica gave a final answer.
    pub async fn rollouts(&self) -> Result<RolloutsReply, OperatorClientError> {
        self.read(async |mut client| client.rollouts(RolloutsRequest {}).await)
            .await
    }

    /// Orders a rollout. A repeated order has no further effect.
    ///
    /// # Errors
    ///
    /// Fails if no replica gave a final answer. [`OperatorClientError::OrderUnknown`] means that
    /// the rollout may have begun.
    pub async fn start_rollout(
        &self,
        request: &StartRolloutRequest,
    ) -> Result<StartRolloutReply, OperatorClientError> {
        let classify = |reply: StartRolloutReply| {
            if reply.accepted {
                return Outcome::Final(reply);
            }
            let reason = if reply.unknown_service {
                "unknown service".to_owned()
            } else {
                format!("a rollout to {} is in progress", reply.in_progress)
            };
            Outcome::Denied(Denial::reply(reply, reason))
        };
        let call =
            async |mut client: GrpcClient<Channel>| client.start_rollout(request.clone()).await;
        self.call_any(RequestKind::Order, call, classify).await
    }

    /// Requests a change of the set of control replicas.
    ///
    /// # Errors
    ///
    /// Fails if no replica gave a final answer. [`OperatorClientError::OrderUnknown`] means that
    /// the change may have been made.
    pub async fn change_membership(
        &self,
        request: &ChangeMembershipRequest,
    ) -> Result<ChangeMembershipReply, OperatorClientError> {
        let classify = |reply: ChangeMembershipReply| {
            if reply.accepted {
                return Outcome::Final(reply);
            }
            let reason = reply.reason.clone();
            Outcome::Denied(Denial::reply(reply, reason))
        };
        let call =
            async |mut client: GrpcClient<Channel>| client.change_membership(request.clone()).await;
        self.call_any(RequestKind::Order, call, classify).await
    }

    /// Calls the replicas until one replies; every reply is final.
    async fn read<T>(
        &self,
        call: impl AsyncFn(GrpcClient<Channel>) -> Result<Response<T>, Status>,
    ) -> Result<T, OperatorClientError> {
        self.call_any(RequestKind::Read, call, Outcome::Final).await
    }

    /// Calls the replicas in order, round after round, until `classify` accepts a reply as final or
    /// the time is up.
    ///
    /// One lost answer to an order outweighs every later denial: the copy that went with it may
    /// still be carried out, and an operator told "refused" would order something else.
    async fn call_any<T>(
        &self,
        kind: RequestKind,
        call: impl AsyncFn(GrpcClient<Channel>) -> Result<Response<T>, Status>,
        mut classify: impl FnMut(T) -> Outcome<T>,
    ) -> Result<T, OperatorClientError> {
        let deadline = Instant::now() + self.total_timeout;
        let mut attempts = Attempts::default();
        let mut lost_any = false;
        loop {
            for address in &self.control {
                let outcome = self.attempt(*address, deadline, &call, &mut classify);
                let ending = match outcome.await {
                    Outcome::Final(reply) => return Ok(reply),
                    Outcome::Denied(denial) if !lost_any => return denial.result,
                    Outcome::Denied(Denial { reason, .. }) => {
                        attempts.record(*address, AttemptEnding::Denied { reason });
                        return OrderUnknownSnafu { attempts }.fail();
                    }
                    Outcome::Retry(ending) => ending,
                };
                let lost = matches!(ending, AttemptEnding::AnswerLost { .. });
                lost_any |= lost && kind == RequestKind::Order;
                attempts.record(*address, ending);
            }
            if Instant::now() + ROUND_PAUSE >= deadline {
                return if lost_any {
                    OrderUnknownSnafu { attempts }.fail()
                } else {
                    UnreachableSnafu { attempts }.fail()
                };
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    async fn attempt<T>(
        &self,
        address: SocketAddr,
        deadline: Instant,
        call: &impl AsyncFn(GrpcClient<Channel>) -> Result<Response<T>, Status>,
        classify: &mut impl FnMut(T) -> Outcome<T>,
    ) -> Outcome<T> {
        let endpoint = match self.security.endpoint(address).context(SecuritySnafu) {
            Ok(endpoint) => endpoint,
            Err(error) => return Outcome::Denied(Denial::error(error)),
        };
        let channel = match endpoint.connect_timeout(CONNECT_TIMEOUT).connect().await {
            Ok(channel) => channel,
            Err(source) => return Outcome::Retry(AttemptEnding::NotConnected { source }),
        };
        let client = GrpcClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let left = deadline.saturating_duration_since(Instant::now());
        let timeout = left.clamp(MIN_CALL_TIMEOUT, MAX_CALL_TIMEOUT);
        match tokio::time::timeout(timeout, call(client)).await {
            Ok(Ok(reply)) => classify(reply.into_inner()),
            Ok(Err(status)) => classify_status(address, &status),
            Err(_) => {
                let reason = format!("no answer within {} ms", timeout.as_millis());
                Outcome::Retry(AttemptEnding::AnswerLost { reason })
            }
        }
    }
}

/// Returns the text of the innermost cause: the library's own text is only "transport error".
fn innermost(error: &tonic::transport::Error) -> String {
    let mut cause: &dyn Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}

/// Classifies a failed call. Only codes that the server returns before it changes anything count as
/// "not done"; codes that the transport may have produced count as a lost answer.
fn classify_status<T>(address: SocketAddr, status: &Status) -> Outcome<T> {
    let reason = status.message().to_owned();
    match status.code() {
        Code::InvalidArgument
        | Code::NotFound
        | Code::AlreadyExists
        | Code::PermissionDenied
        | Code::Unauthenticated
        | Code::Unimplemented
        | Code::OutOfRange => Outcome::Denied(Denial {
            result: RefusedSnafu {
                address,
                reason: &reason,
            }
            .fail(),
            reason,
        }),
        Code::FailedPrecondition | Code::ResourceExhausted => {
            Outcome::Retry(AttemptEnding::NotDone { reason })
        }
        _ => Outcome::Retry(AttemptEnding::AnswerLost { reason }),
    }
}

/// Returns of how many replicas a report says whether they answer.
fn known_contacts(reply: &StatusReply) -> usize {
    let known = reply.replicas.iter();
    known.filter(|replica| replica.answers.is_some()).count()
}
