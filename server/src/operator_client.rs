//! Asks control replicas on behalf of an operator.
//!
//! Any replica may be asked: those in the list are tried in order, round after round,
//! until one gives a final answer or the time is up. Submissions are idempotent, so an
//! answer that was lost is asked for again.

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
use crate::proto::ShowReply;
use crate::proto::ShowRequest;
use crate::proto::StatusReply;
use crate::proto::StatusRequest;
use crate::proto::SubmitOutcome;
use crate::proto::SubmitReply;
use crate::proto::SubmitRequest;
use crate::proto::TeamsReply;
use crate::proto::TeamsRequest;
use crate::proto::operator_client::OperatorClient as GrpcClient;

/// Bound on one message of the operators' protocol. A manifest with a few million
/// client blocks fits.
pub const MAX_MESSAGE_BYTES: usize = 512 * 1024 * 1024;

/// Bound on opening one connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Least time that is left to one replica to answer.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that one replica may hold up the others.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause before the list is tried again.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Tells why control gave no final answer.
#[derive(Debug, Snafu)]
pub enum OperatorClientError {
    /// The security settings can't be used.
    #[snafu(display("{source}"))]
    Security {
        /// What is wrong with them.
        source: PeerSecurityError,
    },
    /// No replica gave a final answer in time.
    #[snafu(display("no control replica answered in time: {attempts}"))]
    Unreachable {
        /// What each replica did last.
        attempts: Attempts,
    },
    /// A replica refused the request itself; others would do the same.
    #[snafu(display("control replica {address} refused the request: {reason}"))]
    Refused {
        /// The replica.
        address: SocketAddr,
        /// What it said.
        reason: String,
    },
    /// The submission may have been accepted.
    #[snafu(display("unknown whether the manifest was accepted: {attempts}"))]
    SubmissionUnknown {
        /// What each replica did last.
        attempts: Attempts,
    },
}

/// Tells what one replica did when it was last asked.
#[derive(Debug)]
pub struct Attempt {
    /// The replica's address.
    pub address: SocketAddr,
    /// How it ended.
    pub ending: AttemptEnding,
}

/// Tells how an attempt ended without a final answer.
#[derive(Debug, Snafu)]
pub enum AttemptEnding {
    /// No connection came about, so nothing was sent.
    #[snafu(display("can't connect ({})", innermost(source)))]
    NotConnected {
        /// What the library said.
        source: tonic::transport::Error,
    },
    /// The replica can't answer now, and says that it did nothing.
    #[snafu(display("has no answer now ({reason})"))]
    NotDone {
        /// What it said.
        reason: String,
    },
    /// The request was sent, and no answer came back.
    #[snafu(display("the answer was lost ({reason})"))]
    AnswerLost {
        /// What is known of it.
        reason: String,
    },
}

/// Lists the last attempt at each replica.
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

/// Asks control replicas.
#[derive(Debug)]
pub struct OperatorClient {
    control: Vec<SocketAddr>,
    security: PeerSecurity,
    give_up_after: Duration,
}

/// Says what to do with a reply.
enum Verdict<T> {
    /// It is final.
    Final(T),
    /// Another replica, or this one later, may know more.
    AskOn(AttemptEnding),
}

impl OperatorClient {
    /// Makes a client that asks `control` in order, and gives up after a time.
    #[must_use]
    pub const fn new(
        control: Vec<SocketAddr>,
        security: PeerSecurity,
        give_up_after: Duration,
    ) -> Self {
        Self {
            control,
            security,
            give_up_after,
        }
    }

    /// Submits a manifest.
    ///
    /// The reply's outcome is never unknown; an unknown outcome is an error.
    ///
    /// # Errors
    ///
    /// Fails if no replica gave a final answer. [`OperatorClientError::SubmissionUnknown`]
    /// means that the manifest may have been accepted; in all other cases it wasn't.
    pub async fn submit(
        &self,
        request: &SubmitRequest,
    ) -> Result<SubmitReply, OperatorClientError> {
        let judge = |reply: SubmitReply| match reply.outcome() {
            SubmitOutcome::Unknown | SubmitOutcome::Unspecified => {
                let reason = reply.reason;
                Verdict::AskOn(AttemptEnding::AnswerLost { reason })
            }
            SubmitOutcome::NotAccepted => {
                let reason = reply.reason;
                Verdict::AskOn(AttemptEnding::NotDone { reason })
            }
            _ => Verdict::Final(reply),
        };
        // One lost answer outweighs every later "not accepted": that copy may still be
        // committed, and an operator told "not accepted" would submit something else.
        let mut lost_any = false;
        let result = self
            .ask(
                async |mut client| client.submit(request.clone()).await,
                judge,
                |ending| lost_any |= matches!(ending, AttemptEnding::AnswerLost { .. }),
            )
            .await;
        match result {
            Err(OperatorClientError::Unreachable { attempts }) if lost_any => {
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
    /// A reply that a quorum confirmed is preferred. If no replica can give one in time,
    /// the last reply that came is returned; its `current` is false.
    ///
    /// # Errors
    ///
    /// Fails if no replica gave any answer.
    pub async fn status(&self) -> Result<StatusReply, OperatorClientError> {
        let mut unconfirmed = None;
        let judge = |reply: StatusReply| {
            if reply.current {
                return Verdict::Final(reply);
            }
            unconfirmed = Some(reply);
            let reason = "no quorum confirmed it".to_owned();
            Verdict::AskOn(AttemptEnding::NotDone { reason })
        };
        let call = async |mut client: GrpcClient<Channel>| client.status(StatusRequest {}).await;
        let result = self.ask(call, judge, |_| {}).await;
        match (result, unconfirmed) {
            (Err(OperatorClientError::Unreachable { .. }), Some(reply)) => Ok(reply),
            (result, _) => result,
        }
    }

    /// Fetches the requests that are suspected of ending backend servers.
    ///
    /// # Errors
    ///
    /// Fails if no replica gave a final answer.
    pub async fn quarantine(&self) -> Result<QuarantineReply, OperatorClientError> {
        self.read(async |mut client| client.quarantine(QuarantineRequest {}).await)
            .await
    }

    /// Has a request forgotten that is suspected of it, by its fingerprint.
    ///
    /// # Errors
    ///
    /// Fails if no replica gave a final answer.
    pub async fn lift_quarantine(
        &self,
        request: &LiftQuarantineRequest,
    ) -> Result<LiftQuarantineReply, OperatorClientError> {
        self.read(async |mut client| client.lift_quarantine(request.clone()).await)
            .await
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

    /// Asks for a change of the control replicas.
    ///
    /// # Errors
    ///
    /// Fails if no replica gave a final answer.
    pub async fn change_membership(
        &self,
        request: &ChangeMembershipRequest,
    ) -> Result<ChangeMembershipReply, OperatorClientError> {
        self.read(async |mut client| client.change_membership(request.clone()).await)
            .await
    }

    /// Asks until any answer comes.
    async fn read<T>(
        &self,
        call: impl AsyncFn(GrpcClient<Channel>) -> Result<Response<T>, Status>,
    ) -> Result<T, OperatorClientError> {
        self.ask(call, Verdict::Final, |_| {}).await
    }

    async fn ask<T>(
        &self,
        call: impl AsyncFn(GrpcClient<Channel>) -> Result<Response<T>, Status>,
        mut judge: impl FnMut(T) -> Verdict<T>,
        mut on_attempt: impl FnMut(&AttemptEnding),
    ) -> Result<T, OperatorClientError> {
        let give_up = Instant::now() + self.give_up_after;
        let mut attempts = Attempts::default();
        loop {
            for address in &self.control {
                let verdict = self.attempt(*address, give_up, &call, &mut judge).await?;
                match verdict {
                    Verdict::Final(reply) => return Ok(reply),
                    Verdict::AskOn(ending) => {
                        on_attempt(&ending);
                        attempts.record(*address, ending);
                    }
                }
            }
            if Instant::now() + ROUND_PAUSE >= give_up {
                return UnreachableSnafu { attempts }.fail();
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    async fn attempt<T>(
        &self,
        address: SocketAddr,
        give_up: Instant,
        call: &impl AsyncFn(GrpcClient<Channel>) -> Result<Response<T>, Status>,
        judge: &mut impl FnMut(T) -> Verdict<T>,
    ) -> Result<Verdict<T>, OperatorClientError> {
        let endpoint = self.security.endpoint(address).context(SecuritySnafu)?;
        let channel = match endpoint.connect_timeout(CONNECT_TIMEOUT).connect().await {
            Ok(channel) => channel,
            Err(source) => return Ok(Verdict::AskOn(AttemptEnding::NotConnected { source })),
        };
        let client = GrpcClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let left = give_up.saturating_duration_since(Instant::now());
        let timeout = left.clamp(MIN_CALL_TIMEOUT, MAX_CALL_TIMEOUT);
        match tokio::time::timeout(timeout, call(client)).await {
            Ok(Ok(reply)) => Ok(judge(reply.into_inner())),
            Ok(Err(status)) => judge_status(address, &status),
            Err(_) => {
                let reason = format!("nothing within {} ms", timeout.as_millis());
                Ok(Verdict::AskOn(AttemptEnding::AnswerLost { reason }))
            }
        }
    }
}

/// Returns the first cause: the library's own text is only "transport error".
fn innermost(error: &tonic::transport::Error) -> String {
    let mut cause: &dyn Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}

/// Sorts a failed call. Only codes that the server gives before it does anything count
/// as "not done"; whatever the transport may have produced counts as a lost answer.
fn judge_status<T>(
    address: SocketAddr,
    status: &Status,
) -> Result<Verdict<T>, OperatorClientError> {
    let reason = status.message().to_owned();
    match status.code() {
        Code::InvalidArgument
        | Code::NotFound
        | Code::AlreadyExists
        | Code::PermissionDenied
        | Code::Unauthenticated
        | Code::Unimplemented
        | Code::OutOfRange => RefusedSnafu { address, reason }.fail(),
        Code::FailedPrecondition | Code::ResourceExhausted => {
            Ok(Verdict::AskOn(AttemptEnding::NotDone { reason }))
        }
        _ => Ok(Verdict::AskOn(AttemptEnding::AnswerLost { reason })),
    }
}
