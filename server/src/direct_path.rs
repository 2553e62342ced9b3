//! The way of a caller's request through an entry VM that dispatches directly.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::dispatch_request::BackendKey;
use heatherring_lib::dispatch_request::RETRY_ELSEWHERE_AFTER;
use heatherring_lib::dispatch_request::Refused as NoChoice;
use heatherring_lib::dispatch_request::RefusedReason;
use heatherring_lib::dispatch_request::SendOutcome;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::Idempotent;
use heatherring_lib::outcome::NotRun;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::Outcome;
use heatherring_lib::outcome::Unknown;
use heatherring_lib::outcome::Unsent;
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
use crate::request_trace::Decided;
use crate::request_trace::RequestTrace;
use crate::stop_observer::StopState;

/// When a caller is told to come back after a backend server turned its request away.
const SHED_RETRY: Duration = Duration::from_millis(300);

/// Backend servers that can't be reached and are tried for one request at most. No request
/// arrives there, so they don't count as attempts.
const MAX_UNREACHABLE: usize = 4;

/// Answers callers.
#[derive(Clone, Debug)]
pub struct DirectHandler {
    cx: Arc<DirectContext>,
}

impl DirectHandler {
    /// Answers with what `cx` holds.
    #[must_use]
    pub const fn new(cx: Arc<DirectContext>) -> Self {
        Self { cx }
    }
}

impl Handler for DirectHandler {
    async fn handle(&self, arrival: Arrival, req: Request<RequestBody>) -> Response<AnswerBody> {
        let arrived = arrival.at;
        let mut handling = Handling::new(&self.cx, arrived);
        let trace = &mut handling.trace;
        let response = match self.cx.answer(&arrival, req, trace).await {
            Ok(answer) => {
                trace.tell_answered(&self.cx.decided(arrived), answer.head.status.as_u16());
                Response::from_parts(answer.head, answer.body)
            }
            Err(refused) => {
                trace.tell_refused(&self.cx.decided(arrived), &refused);
                refusal(&refused)
            }
        };
        handling.told = true;
        response
    }

    fn is_idempotent(&self, req: &Request<RequestBody>) -> bool {
        let view = self.cx.view.borrow();
        let route =
            host_of(req.uri(), req.headers()).and_then(|host| view.route(&host, req.uri().path()));
        route.is_some_and(|(_, route)| Idempotent::of_route(route).is_some())
    }
}

/// Follows a request until it is told how it ended. Dropped before that, its caller has left,
/// or the process ends.
struct Handling<'a> {
    cx: &'a DirectContext,
    arrived: Instant,
    trace: RequestTrace,
    told: bool,
}

impl<'a> Handling<'a> {
    fn new(cx: &'a DirectContext, arrived: Instant) -> Self {
        Self {
            cx,
            arrived,
            trace: RequestTrace::default(),
            told: false,
        }
    }
}

impl Drop for Handling<'_> {
    fn drop(&mut self) {
        if self.told {
            return;
        }
        let decided = self.cx.decided(self.arrived);
        match self.cx.stopping.state() {
            StopState::Ended(stop) => {
                let stopped_for = stop.since_requested(self.arrived);
                self.trace.tell_cut_off(&decided, stopped_for);
            }
            StopState::Running | StopState::Stopping(_) => self.trace.tell_left(&decided),
        }
    }
}

/// Holds what became of a request so far.
struct Progress {
    tried: Vec<BackendKey>,
    arrivals: u32,
    /// Backend servers whose connection broke with the request on it.
    broken: usize,
    unreachable: usize,
    /// Set once a backend server may have run the request.
    unknown: Option<Unknown>,
    /// An answer that tells of a fault, kept in case nothing better comes.
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

    /// Sends a request until it is answered or nothing more may be tried.
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
        // One token for all tries.
        let mut attempt = self.take_token(admitted, Attempt::new()).await?;
        loop {
            // Asked before each send: the verdict may come while the request is tried.
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
                objective: admitted.objective,
                answers_until: self.stopping.answers_until(),
                tried: progress.tried.clone(),
                resend: progress.arrivals > 0,
            };
            let (choice, guard) = match self.dispatch.choose(ask).await {
                Ok(choice) => choice,
                Err(no_choice) => {
                    trace.note_no_choice(no_choice);
                    return progress.end(no_choice_refusal(attempt, no_choice));
                }
            };
            let begun = self.clock.now();
            trace.note_sending(&choice);
            let sent = self.sender.send(&choice, &admitted.req, attempt).await;
            let took = self.clock.now().saturating_duration_since(begun);
            trace.note_send(&choice, took, &sent);
            guard.ended(sent.verdict, sent.load);
            progress.note(choice.backend, sent.verdict);
            let suspected = self.crashes.treatment(tag).is_some();
            let retry = progress.next(sent.outcome, sent.verdict, &admitted.route, suspected)?;
            match retry {
                Next::Answer(answer) => return Ok(*answer),
                Next::Again(unsent) => attempt = unsent,
            }
        }
    }

    /// Says where and when a request that came at `arrived` is decided.
    fn decided(&self, arrived: Instant) -> Decided<'_> {
        let now = self.clock.now();
        Decided {
            vm: &self.vm,
            held: now.saturating_duration_since(arrived),
            control_age: now.saturating_duration_since(*self.last_contact.borrow()),
        }
    }
}

/// Says how a request goes on.
enum Next {
    Answer(Box<DirectAnswer>),
    Again(Attempt<Unsent>),
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

    /// Decides whether the request is sent again. Only what surely wasn't run is, and what
    /// does no harm when it runs twice. One that is `suspected` of ending backend servers, and
    /// breaks, ends the next one too, with whatever else stands there; its caller repeats it
    /// anyway.
    fn next(
        &mut self,
        outcome: Outcome<DirectAnswer>,
        verdict: SendOutcome,
        route: &Route,
        suspected: bool,
    ) -> Result<Next, Refused> {
        let may_send = self.arrivals < route.max_attempts && self.unreachable < MAX_UNREACHABLE;
        let idempotent = Idempotent::of_route(route);
        match outcome {
            Outcome::Answer(answer) => match idempotent {
                Some(permission) if verdict == SendOutcome::Faulty && may_send => {
                    self.faulty = Some(answer);
                    Ok(Next::Again(permission.another_attempt()))
                }
                _ => Ok(Next::Answer(Box::new(answer))),
            },
            Outcome::NotRun(not_run) if ends_at_once(not_run.reason()) => {
                self.end_now(not_run.into())
            }
            Outcome::NotRun(not_run) if may_send => Ok(Next::Again(not_run.try_again())),
            Outcome::NotRun(not_run) => {
                let not_run = not_run.with_retry_after(SHED_RETRY);
                self.end_now(not_run.into())
            }
            Outcome::Unknown(unknown) => {
                self.unknown = Some(unknown);
                let broke = verdict == SendOutcome::Broken;
                let is_harmless = !suspected && self.broken < WATCH_THRESHOLD;
                match idempotent {
                    Some(permission) if may_send && broke && is_harmless => {
                        Ok(Next::Again(unknown.try_again(permission)))
                    }
                    _ => self.end_now(unknown.into()),
                }
            }
        }
    }

    fn end_now(&mut self, refused: Refused) -> Result<Next, Refused> {
        self.end(refused)
            .map(|answer| Next::Answer(Box::new(answer)))
    }

    /// Ends a request that nothing more is tried for. That it wasn't run is said only if
    /// no backend server may have run it.
    fn end(&mut self, refused: Refused) -> Result<DirectAnswer, Refused> {
        if let Some(faulty) = self.faulty.take() {
            return Ok(faulty);
        }
        Err(self.unknown.map_or(refused, Refused::Unknown))
    }
}

/// Returns whether no backend server may be sent a request that was refused for `reason`.
const fn ends_at_once(reason: NotRunReason) -> bool {
    matches!(
        reason,
        NotRunReason::CredentialWithdrawn | NotRunReason::CredentialChanged
    )
}

/// Refuses what the entry VM can't finish before it ends.
fn leaving() -> NotRun {
    refuse(NotRunReason::Leaving).with_retry_after(RETRY_ELSEWHERE_AFTER)
}

fn no_choice_refusal(attempt: Attempt<Unsent>, no_choice: NoChoice) -> Refused {
    let reason = match no_choice.reason {
        RefusedReason::NoBackend => NotRunReason::NoBackendServer,
        RefusedReason::NoRoom => NotRunReason::Overloaded,
        RefusedReason::Leaving => NotRunReason::Leaving,
        RefusedReason::LinkFull => NotRunReason::LinkFull,
        RefusedReason::NoResend => {
            metric::resend(false);
            NotRunReason::NoResend
        }
    };
    let not_run = attempt.refuse(reason);
    not_run.with_retry_after(no_choice.retry_after).into()
}

/// Builds the answer to a request that got none of a backend server. It is sent at once,
/// whatever is left of the caller's time.
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
