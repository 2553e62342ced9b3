//! Handles callers' requests at an entry VM that dispatches directly.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::answer_size::AnswerKind;
use heatherring_lib::dispatch_request::BackendKey;
use heatherring_lib::dispatch_request::RETRY_ELSEWHERE_AFTER;
use heatherring_lib::dispatch_request::Refused as NoChoice;
use heatherring_lib::dispatch_request::RefusedReason;
use heatherring_lib::dispatch_request::SendOutcome;
use heatherring_lib::id::RouteName;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::Idempotent;
use heatherring_lib::outcome::NotRun;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::Outcome;
use heatherring_lib::outcome::Unknown;
use heatherring_lib::outcome::UnknownReason;
use heatherring_lib::outcome::Unsent;
use heatherring_lib::outcome::promises_not_run;
use heatherring_lib::quarantine::WATCH_THRESHOLD;
use heatherring_lib::route_manifest::Route;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;

use crate::answer_body;
use crate::answer_body::AnswerBody;
use crate::direct_admission::Admitted;
use crate::direct_admission::host_of;
use crate::direct_admission::refuse;
use crate::direct_context::DirectContext;
use crate::direct_send::DirectAnswer;
use crate::dispatch_task::OwnedDispatchRequest;
use crate::http_server::Arrival;
use crate::http_server::Handler;
use crate::metric;
use crate::refusal::Refused;
use crate::request_body::RequestBody;
use crate::request_trace::CompletionInfo;
use crate::request_trace::RequestTrace;
use crate::stop_observer::StopState;

/// Retry delay given to a caller after backend servers shed its request.
const SHED_RETRY: Duration = Duration::from_millis(300);

/// Maximum number of unreachable backend servers tried for one request. The request does not
/// arrive there, so they do not count as attempts.
const MAX_UNREACHABLE: usize = 4;

/// Answers callers' requests.
#[derive(Clone, Debug)]
pub struct DirectHandler {
    cx: Arc<DirectContext>,
}

impl DirectHandler {
    /// Creates a handler over the shared state `cx`.
    #[must_use]
    pub const fn new(cx: Arc<DirectContext>) -> Self {
        Self { cx }
    }
}

impl Handler for DirectHandler {
    async fn handle(&self, arrival: Arrival, req: Request<RequestBody>) -> Response<AnswerBody> {
        let arrived = arrival.at;
        let mut request_guard = RequestGuard::new(&self.cx, arrived);
        let trace = &mut request_guard.trace;
        let response = match self.cx.answer(&arrival, req, trace).await {
            Ok(answer) => {
                trace.log_answered(&self.cx.completion(arrived), answer.head.status.as_u16());
                Response::from_parts(answer.head, answer.body)
            }
            Err(refused) => {
                trace.log_refused(&self.cx.completion(arrived), &refused);
                refusal(&refused)
            }
        };
        request_guard.finished = true;
        response
    }

    fn is_idempotent(&self, req: &Request<RequestBody>) -> bool {
        let view = self.cx.view.borrow();
        let route =
            host_of(req.uri(), req.headers()).and_then(|host| view.route(&host, req.uri().path()));
        route.is_some_and(|(_, route)| Idempotent::of_route(route).is_some())
    }
}

/// Logs how a request ended if it is dropped before its end was logged: the caller disconnected,
/// or the process ended.
struct RequestGuard<'a> {
    cx: &'a DirectContext,
    arrived: Instant,
    trace: RequestTrace,
    finished: bool,
}

impl<'a> RequestGuard<'a> {
    fn new(cx: &'a DirectContext, arrived: Instant) -> Self {
        Self {
            cx,
            arrived,
            trace: RequestTrace::default(),
            finished: false,
        }
    }
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let completion = self.cx.completion(self.arrived);
        match self.cx.stopping.state() {
            StopState::Ended(stop) => {
                let stopped_for = stop.since_requested(self.arrived);
                self.trace.log_cut_off(&completion, stopped_for);
            }
            StopState::Running | StopState::Stopping(_) => self.trace.log_caller_left(&completion),
        }
    }
}

/// Results of the sends of a request so far.
struct Progress {
    tried: Vec<BackendKey>,
    arrivals: u32,
    /// Number of backend servers whose connection broke with the request on it.
    broken: usize,
    unreachable: usize,
    /// Set once a backend server may have run the request.
    unknown: Option<Unknown>,
    /// A server-error answer, kept in case no later attempt succeeds.
    faulty: Option<DirectAnswer>,
}

impl DirectContext {
    async fn answer(
        &self,
        arrival: &Arrival,
        req: Request<RequestBody>,
        trace: &mut RequestTrace,
    ) -> Result<DirectAnswer, Refused> {
        if self.stopping.is_too_late(arrival.at) {
            return Err(leaving().into());
        }
        let admitted = tokio::select! {
            biased;
            admitted = self.admit(arrival, req, trace) => admitted?,
            () = self.stopping.last_answers() => return Err(leaving().into()),
        };
        self.run(&admitted, trace).await
    }

    /// Sends a request until it is answered or no further attempt is permitted.
    async fn run(
        &self,
        admitted: &Admitted,
        trace: &mut RequestTrace,
    ) -> Result<DirectAnswer, Refused> {
        let mut progress = Progress {
            tried: Vec::new(),
            arrivals: 0,
            broken: 0,
            unreachable: 0,
            unknown: None,
            faulty: None,
        };
        // One token covers all attempts.
        let mut attempt = self.take_token(admitted, Attempt::new()).await?;
        loop {
            // Checked before each send: the request may be quarantined between attempts.
            let tag = &admitted.req.tag;
            attempt = match self.crashes.admit(tag, attempt) {
                Ok(attempt) => attempt,
                Err(not_run) => return progress.end(not_run.into()),
            };
            let ask = OwnedDispatchRequest {
                service: admitted.service.clone(),
                route_name: admitted.req.caller.route.clone(),
                route: Arc::clone(&admitted.route),
                object: admitted.object,
                rank: admitted.rank,
                homes: admitted.homes.clone(),
                deadline: admitted.req.deadline,
                objective: admitted.req.objective,
                answers_until: self.stopping.answers_until(),
                tried: progress.tried.clone(),
                resend: progress.arrivals > 0,
            };
            let (choice, guard) = match self.dispatch.choose(ask).await {
                Ok(choice) => choice,
                Err(no_choice) => {
                    trace.note_no_choice(no_choice);
                    if no_choice.reason == RefusedReason::LinkFull {
                        metric::link_refused(self.answer_kind(&admitted.req.caller.route));
                    }
                    return progress.end(no_choice_refusal(attempt, no_choice));
                }
            };
            let begun = self.clock.now();
            trace.note_sending(&choice);
            let sent = self.sender.send(&choice, &admitted.req, attempt).await;
            let took = self.clock.now().saturating_duration_since(begun);
            trace.note_send(&choice, took, &sent);
            guard.ended(sent.verdict, sent.statement, sent.answer_bytes);
            progress.note(choice.backend, sent.verdict);
            let suspected = self.crashes.treatment(tag).is_some();
            let retry = progress.next(sent.outcome, sent.verdict, &admitted.route, suspected)?;
            match retry {
                NextStep::Answer(answer) => return Ok(*answer),
                NextStep::Retry(unsent) => attempt = unsent,
            }
        }
    }

    fn answer_kind(&self, route: &RouteName) -> AnswerKind {
        if self.view.borrow().bulk_routes.contains(route) {
            AnswerKind::Large
        } else {
            AnswerKind::Small
        }
    }

    /// Returns the context of the completion of a request that arrived at `arrived`.
    fn completion(&self, arrived: Instant) -> CompletionInfo<'_> {
        let now = self.clock.now();
        CompletionInfo {
            vm: &self.vm,
            held: now.saturating_duration_since(arrived),
            control_age: now.saturating_duration_since(*self.last_contact.borrow()),
        }
    }
}

/// How a request proceeds after a send.
enum NextStep {
    Answer(Box<DirectAnswer>),
    Retry(Attempt<Unsent>),
}

impl Progress {
    fn note(&mut self, backend: BackendKey, verdict: SendOutcome) {
        self.tried.push(backend);
        if matches!(verdict, SendOutcome::Unreachable | SendOutcome::Withdrawn) {
            self.unreachable += 1;
        } else {
            self.arrivals += 1;
        }
        if verdict == SendOutcome::Broken {
            self.broken += 1;
        }
    }

    /// Decides whether the request is sent again. It is if it certainly was not run, or if
    /// running it twice is harmless. A request that is `suspected` of crashing backend servers,
    /// and breaks a connection, would crash the next one too, with all other requests in flight
    /// there; its caller repeats it anyway.
    fn next(
        &mut self,
        outcome: Outcome<DirectAnswer>,
        verdict: SendOutcome,
        route: &Route,
        suspected: bool,
    ) -> Result<NextStep, Refused> {
        let may_send = self.arrivals < route.max_attempts && self.unreachable < MAX_UNREACHABLE;
        let idempotent = Idempotent::of_route(route);
        match outcome {
            Outcome::Answer(answer) => match idempotent {
                Some(permission) if verdict == SendOutcome::Faulty && may_send => {
                    self.faulty = Some(answer);
                    Ok(NextStep::Retry(permission.another_attempt()))
                }
                None if promises_not_run(answer.head.status.as_u16()) => {
                    self.end_now(Unknown::new(UnknownReason::RefusalUnproved).into())
                }
                _ => Ok(NextStep::Answer(Box::new(answer))),
            },
            Outcome::NotRun(not_run) if is_final(not_run.reason()) => self.end_now(not_run.into()),
            Outcome::NotRun(not_run) if may_send => Ok(NextStep::Retry(not_run.try_again())),
            Outcome::NotRun(not_run) => {
                let not_run = not_run.with_retry_after(SHED_RETRY);
                self.end_now(not_run.into())
            }
            Outcome::Unknown(unknown) => {
                self.unknown = Some(unknown);
                let broke = verdict == SendOutcome::Broken;
                let resend_is_safe = !suspected && self.broken < WATCH_THRESHOLD;
                match idempotent {
                    Some(permission) if may_send && broke && resend_is_safe => {
                        Ok(NextStep::Retry(unknown.try_again(permission)))
                    }
                    _ => self.end_now(unknown.into()),
                }
            }
        }
    }

    fn end_now(&mut self, refused: Refused) -> Result<NextStep, Refused> {
        self.end(refused)
            .map(|answer| NextStep::Answer(Box::new(answer)))
    }

    /// Ends a request that is not tried again. It is reported as not run only if no backend
    /// server may have run it.
    fn end(&mut self, refused: Refused) -> Result<DirectAnswer, Refused> {
        if let Some(faulty) = self.faulty.take() {
            return Ok(faulty);
        }
        Err(self.unknown.map_or(refused, Refused::Unknown))
    }
}

/// Returns whether a refusal for `reason` rules out every other backend server.
const fn is_final(reason: NotRunReason) -> bool {
    matches!(
        reason,
        NotRunReason::CredentialWithdrawn | NotRunReason::CredentialChanged
    )
}

/// Refuses a request that the entry VM cannot finish before it ends.
fn leaving() -> NotRun {
    refuse(NotRunReason::Leaving).with_retry_after(RETRY_ELSEWHERE_AFTER)
}

fn no_choice_refusal(attempt: Attempt<Unsent>, no_choice: NoChoice) -> Refused {
    let reason = match no_choice.reason {
        RefusedReason::NoBackend => NotRunReason::NoBackendServer,
        RefusedReason::NoRoom => NotRunReason::Overloaded,
        RefusedReason::Leaving => NotRunReason::Leaving,
        RefusedReason::LinkFull => NotRunReason::LinkFull,
        RefusedReason::Limited => NotRunReason::BackendLimit,
        RefusedReason::Paused => NotRunReason::BackendPaused,
        RefusedReason::NoResend => {
            metric::resend(false);
            NotRunReason::NoResend
        }
    };
    let not_run = attempt.refuse(reason);
    not_run.with_retry_after(no_choice.retry_after).into()
}

/// Builds the answer to a refused request. It is sent at once, whatever time the caller has
/// left.
fn refusal(refused: &Refused) -> Response<AnswerBody> {
    let mut response = Response::new(answer_body::full(refused.reason()));
    *response.status_mut() = refused.status();
    if let Some(after) = refused.retry_after() {
        let text = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
