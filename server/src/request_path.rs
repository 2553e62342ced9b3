//! Steers a request from the entry VM that received it to an owner of backend servers.

use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::decision_record::Try;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::manifest::Operation;
use heatherring_lib::manifest::Service;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::Idempotent;
use heatherring_lib::outcome::NotRun;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::Outcome;
use heatherring_lib::outcome::Unknown;
use heatherring_lib::outcome::UnknownReason;
use heatherring_lib::outcome::Unsent;
use heatherring_lib::retry_budget::MAX_TRIES;
use heatherring_lib::steering::Candidate;
use heatherring_lib::view::ManifestInForce;
use http::Response;

use crate::admission_handle::CandidateFailure;
use crate::answer_body::AnswerBody;
use crate::decision_recorder;
use crate::dispatcher::OutgoingRequest;
use crate::entry_context::EntryContext;
use crate::forward_client::ForwardHead;
use crate::forward_client::ForwardPurpose;
use crate::owner_path;
use crate::owner_path::SteeredRequest;

/// Number of times that a request may be forwarded: to the primary of its ticket, and from there
/// to the owner of a backend server.
pub const MAX_HOPS: u32 = 2;

/// Time for which a request waits for a newer view after owners refused it as not owned. Views
/// of entry VMs differ for some milliseconds after each change; refusing at once would fail
/// requests at every planned stop.
const VIEW_WAIT: Duration = Duration::from_millis(300);

/// Retry delay after a refusal caused only by a difference between views.
pub const VIEW_LAG: Duration = Duration::from_millis(20);

/// Number of times that a request waits for a newer view.
const MAX_VIEW_WAITS: u32 = 3;

/// A request to a service, with its operation and complete body.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// The service requested.
    pub service: ServiceName,
    /// The manifest in which the operation was found.
    pub in_force: Arc<ManifestInForce>,
    /// Index of the operation in the service's list.
    pub operation: usize,
    /// The place of the caller.
    pub origin: PlaceName,
    /// Number of times that the request has been forwarded so far.
    pub hops: u32,
    /// The request as it is sent to the backend server.
    pub outgoing: OutgoingRequest,
}

impl ServiceRequest {
    /// Returns the operation; `None` if the manifest lacks it.
    #[must_use]
    pub fn operation(&self) -> Option<&Operation> {
        let service = self.in_force.manifest.services.get(&self.service)?;
        service.operations.get(self.operation)
    }

    fn steered(&self, candidate: &Candidate) -> SteeredRequest {
        SteeredRequest {
            group: candidate.group.clone(),
            origin: self.origin.clone(),
            operation: self.operation,
            idempotent: self.operation().is_some_and(|found| found.idempotent),
        }
    }
}

/// Returns the index of a request's operation: the first whose method and path prefix match.
#[must_use]
pub fn find_operation(service: &Service, method: &str, path: &str) -> Option<usize> {
    service.operations.iter().position(|operation| {
        operation.method == method && path.starts_with(&operation.path_prefix)
    })
}

/// State of a request across its attempts.
struct RequestRun<'a> {
    cx: &'a Arc<EntryContext>,
    req: &'a ServiceRequest,
    tries: usize,
    /// The first refusal, which is that of the owner that steering ranked first.
    refusal: Option<NotRun>,
    /// Set once an attempt may have run. From then on the request can no longer be reported as
    /// not run.
    may_have_run: Option<Unknown>,
    /// Result at each owner, for operators' queries.
    recorded_tries: Vec<Try>,
}

/// Result of trying the candidates in turn.
enum Round {
    /// The request has ended with this outcome.
    Over(Outcome<Response<AnswerBody>>),
    /// Owners have a different view; the request is unsent.
    ViewsDiffer(Attempt<Unsent>),
    /// No candidate is left.
    Exhausted(Attempt<Unsent>),
}

/// Runs a request at the best owner that accepts it.
///
/// Only a proved "not run" permits another attempt, within the retry budget; a request that may
/// have run is sent again only if it is idempotent, and only once.
pub async fn run(
    cx: &Arc<EntryContext>,
    req: &ServiceRequest,
    attempt: Attempt<Unsent>,
) -> Outcome<Response<AnswerBody>> {
    let mut request_run = RequestRun {
        cx,
        req,
        tries: 0,
        refusal: None,
        may_have_run: None,
        recorded_tries: Vec::new(),
    };
    let outcome = request_run.run(attempt).await;
    decision_recorder::steering(cx, req, request_run.recorded_tries);
    outcome
}

impl RequestRun<'_> {
    async fn run(&mut self, mut attempt: Attempt<Unsent>) -> Outcome<Response<AnswerBody>> {
        let mut state = self.cx.state.clone();
        for _ in 0..MAX_VIEW_WAITS {
            attempt = match self.round(attempt).await {
                Round::Over(outcome) => return outcome,
                Round::Exhausted(attempt) => return self.give_up(attempt),
                Round::ViewsDiffer(attempt) => attempt,
            };
            let wait_until = (self.cx.now() + VIEW_WAIT).min(self.req.outgoing.deadline);
            let waiting = tokio::time::timeout_at(wait_until.into(), state.changed());
            if waiting.await.is_err() {
                break;
            }
            self.tries = 0;
        }
        self.give_up(attempt)
    }

    async fn round(&mut self, mut attempt: Attempt<Unsent>) -> Round {
        if self.cx.state.live_session().is_none() {
            return Round::Over(attempt.refuse(NotRunReason::LeaseLapsed).into());
        }
        let left = self
            .req
            .outgoing
            .deadline
            .saturating_duration_since(self.cx.now());
        let service = self.req.service.clone();
        let origin = self.req.origin.clone();
        let candidates = self.cx.admission.steer(service, origin, left).await;
        let mut views_differ = false;
        for candidate in candidates {
            if !self.may_try().await {
                break;
            }
            let outcome = self.run_at(&candidate, attempt).await;
            let ended = decision_recorder::describe_try(self.cx, self.req, &candidate, &outcome);
            self.recorded_tries.push(ended);
            let not_run = match outcome {
                Outcome::Answer(answer) => return Round::Over(Outcome::Answer(answer)),
                Outcome::NotRun(not_run) => not_run,
                Outcome::Unknown(unknown) => match self.note_unknown(unknown) {
                    Some(again) => {
                        attempt = again;
                        continue;
                    }
                    None => return Round::Over(unknown.into()),
                },
            };
            if !another_may_take_it(not_run.reason()) {
                return Round::Over(self.refused(not_run));
            }
            views_differ |= view_may_be_old(not_run);
            self.refusal.get_or_insert(not_run);
            attempt = not_run.try_again();
        }
        if views_differ {
            Round::ViewsDiffer(attempt)
        } else {
            Round::Exhausted(attempt)
        }
    }

    async fn may_try(&mut self) -> bool {
        let first = self.tries == 0;
        self.tries += 1;
        first || (self.tries <= MAX_TRIES && self.cx.admission.try_again().await)
    }

    async fn run_at(
        &self,
        candidate: &Candidate,
        attempt: Attempt<Unsent>,
    ) -> Outcome<Response<AnswerBody>> {
        let cx = self.cx;
        cx.admission.note_sent(candidate.clone());
        let own = cx.state.live_session() == Some(candidate.owner);
        let outcome = if own {
            let steered = self.req.steered(candidate);
            owner_path::run(cx, &steered, &self.req.outgoing, attempt).await
        } else {
            self.forward(candidate, attempt).await
        };
        if let Some(failure) = failure(&outcome) {
            cx.admission.note_failed(candidate.clone(), failure);
        }
        outcome
    }

    async fn forward(
        &self,
        candidate: &Candidate,
        attempt: Attempt<Unsent>,
    ) -> Outcome<Response<AnswerBody>> {
        let hops = self.req.hops + 1;
        if hops > MAX_HOPS {
            return attempt.refuse(NotRunReason::TooManyHops).into();
        }
        let Some(owner) = self.cx.state.session(candidate.owner) else {
            return attempt.refuse(NotRunReason::NotOwner).into();
        };
        let Some(operation) = self.req.operation() else {
            return attempt.refuse(NotRunReason::OperationUnknown).into();
        };
        let head = ForwardHead {
            service: self.req.service.clone(),
            operation: operation.name.clone(),
            origin: self.req.origin.clone(),
            session: candidate.owner,
            hops,
            purpose: ForwardPurpose::Owned {
                place: candidate.group.place.clone(),
            },
        };
        let now = self.cx.now();
        let forward = &self.cx.forward;
        forward
            .send(&owner.info, &head, &self.req.outgoing, attempt, now)
            .await
    }

    /// Returns another attempt if the request may be sent again although it may have run.
    fn note_unknown(&mut self, unknown: Unknown) -> Option<Attempt<Unsent>> {
        let first_time = self.may_have_run.replace(unknown).is_none();
        let permission = self.req.operation().and_then(Idempotent::of)?;
        first_time.then(|| unknown.try_again(permission))
    }

    fn refused(&self, not_run: NotRun) -> Outcome<Response<AnswerBody>> {
        match self.may_have_run {
            Some(unknown) => unknown.into(),
            None => not_run.into(),
        }
    }

    fn give_up(&self, attempt: Attempt<Unsent>) -> Outcome<Response<AnswerBody>> {
        let not_run = self
            .refusal
            .unwrap_or_else(|| attempt.refuse(NotRunReason::NoBackendServer));
        self.refused(not_run)
    }
}

/// Returns whether another owner may accept a request that was refused for this reason.
const fn another_may_take_it(reason: NotRunReason) -> bool {
    !matches!(
        reason,
        NotRunReason::MalformedRequest
            | NotRunReason::BodyTooLarge
            | NotRunReason::ServiceUnknown
            | NotRunReason::OperationUnknown
            | NotRunReason::Quarantined
            | NotRunReason::Cancelled
    )
}

/// Returns whether the refusal may result from a view that is older or newer than this entry
/// VM's, so that a short wait may help. An owner that must wait for requests that a dead owner
/// may have left running gives a longer retry delay: such a refusal is passed on at once.
fn view_may_be_old(not_run: NotRun) -> bool {
    let differs = matches!(
        not_run.reason(),
        NotRunReason::NotOwner | NotRunReason::Leaving
    );
    differs && not_run.retry_after().is_none_or(|wait| wait <= VIEW_WAIT)
}

/// Returns the failure to report to steering for a candidate that gave no answer.
fn failure<A>(outcome: &Outcome<A>) -> Option<CandidateFailure> {
    match outcome {
        Outcome::NotRun(not_run) if not_run.reason() == NotRunReason::OwnerUnreachable => {
            Some(CandidateFailure::Unreachable)
        }
        Outcome::NotRun(not_run) => Some(CandidateFailure::Refused(not_run.reason())),
        Outcome::Unknown(unknown) if unknown.reason() == UnknownReason::OwnerLost => {
            Some(CandidateFailure::Unreachable)
        }
        // For other unknown outcomes a backend server failed; its owner is reachable, and tracks
        // the failure.
        Outcome::Answer(_) | Outcome::Unknown(_) => None,
    }
}
