//! Runs requests at backend servers that this entry VM owns.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Instant;

use heatherring_lib::admission::Ending;
use heatherring_lib::id::PlaceName;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::NotRun;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::OUTCOME_ANSWER;
use heatherring_lib::outcome::Outcome;
use heatherring_lib::outcome::Unknown;
use heatherring_lib::outcome::UnknownReason;
use heatherring_lib::outcome::Unsent;
use heatherring_lib::ownership::Group;
use heatherring_lib::request_fingerprint::RequestContent;
use heatherring_lib::request_fingerprint::RequestTag;
use heatherring_lib::retry_budget::MAX_TRIES;
use http::HeaderValue;
use http::Response;
use hyper::body::Incoming;

use crate::admission_handle::DispatchGuard;
use crate::admission_handle::SlotRequest;
use crate::answer_body;
use crate::answer_body::AnswerBody;
use crate::answer_body::AnswerObserver;
use crate::answer_body::OverdueBy;
use crate::backend_connection::BackendConnection;
use crate::backend_pool::BackendPool;
use crate::crash_tracker::TrackedBackend;
use crate::crash_tracker::TrackedRequest;
use crate::dispatcher;
use crate::dispatcher::BackendAnswer;
use crate::dispatcher::BackendTarget;
use crate::dispatcher::OutgoingRequest;
use crate::entry_context::EntryContext;
use crate::header;

/// Attributes of a request that steering and admission use.
#[derive(Clone, Debug)]
pub struct SteeredRequest {
    /// The group that the request is sent to.
    pub group: Group,
    /// The place of the caller.
    pub origin: PlaceName,
    /// Index of the operation in the service's list.
    pub operation: usize,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
}

/// Runs a request at one of the group's backend servers. The body of the answer holds the slot,
/// which is released with the last byte.
///
/// If a backend server refuses the request or is unreachable, the request was not run, so it is
/// sent to another backend server of the group, within the retry budget.
pub async fn run(
    cx: &Arc<EntryContext>,
    steered: &SteeredRequest,
    req: &OutgoingRequest,
    mut attempt: Attempt<Unsent>,
) -> Outcome<Response<AnswerBody>> {
    let tag = tag(cx, steered, req);
    let mut tries = 1;
    loop {
        attempt = match cx.crashes.admit(&tag, attempt) {
            Ok(attempt) => attempt,
            Err(not_run) => return not_run.into(),
        };
        let not_run = match run_once(cx, steered, req, tag, attempt).await {
            Outcome::NotRun(not_run) => not_run,
            other => return other,
        };
        let is_retryable_elsewhere = matches!(
            not_run.reason(),
            NotRunReason::BackendRefused | NotRunReason::BackendUnreachable
        );
        if !is_retryable_elsewhere || tries >= MAX_TRIES || !cx.admission.try_again().await {
            return not_run.into();
        }
        tries += 1;
        attempt = not_run.try_again();
    }
}

async fn run_once(
    cx: &Arc<EntryContext>,
    steered: &SteeredRequest,
    req: &OutgoingRequest,
    tag: RequestTag,
    attempt: Attempt<Unsent>,
) -> Outcome<Response<AnswerBody>> {
    let offer = SlotRequest {
        group: steered.group.clone(),
        operation: steered.operation,
        origin: steered.origin.clone(),
        deadline: req.deadline,
        idempotent: steered.idempotent,
    };
    let guard = match cx.admission.offer(offer).await {
        Ok(guard) => guard,
        Err(not_run) => return not_run.into(),
    };
    let Some(target) = target(cx, steered, &guard) else {
        return attempt.refuse(NotRunReason::ServiceUnknown).into();
    };
    let backend = TrackedBackend {
        life: cx.crashes.incarnation_of(&guard.dispatch().backend),
        address: target.address,
        max_connections: target.max_connections,
    };
    let tracked = cx.crashes.follow(backend, tag);
    let lease_gate = cx.state.gate(guard.session());
    let now = cx.now();
    let outcome =
        dispatcher::dispatch(&cx.pool, target, req, &lease_gate, &guard, attempt, now).await;
    log_dispatch(req, &guard, &outcome);
    match outcome {
        Outcome::Answer(answer) => {
            let end = OwnedAnswerObserver {
                guard,
                connection: answer.connection,
                tracked,
                pool: cx.pool.clone(),
            };
            Outcome::Answer(to_response(req.deadline, end, answer.response))
        }
        Outcome::NotRun(not_run) => {
            tracked.not_run();
            guard.ended(ending_of_not_run(not_run));
            not_run.into()
        }
        Outcome::Unknown(unknown) => {
            if matches!(
                unknown.reason(),
                UnknownReason::ConnectionLost
                    | UnknownReason::AnswerMismatched
                    | UnknownReason::AnswerMalformed
            ) {
                tracked.broken();
            }
            guard.ended(ending_of_unknown(unknown));
            unknown.into()
        }
    }
}

/// Identifies a request by its content. An owner does not know where a forwarded request comes
/// from, so the peer address is left unspecified.
fn tag(cx: &EntryContext, steered: &SteeredRequest, req: &OutgoingRequest) -> RequestTag {
    let content = RequestContent {
        method: req.method.as_str(),
        host: steered.group.service.as_str(),
        path: &req.path,
        body: &req.body,
    };
    cx.crashes.tag(&content, Ipv4Addr::UNSPECIFIED.into())
}

fn target(
    cx: &EntryContext,
    steered: &SteeredRequest,
    guard: &DispatchGuard,
) -> Option<BackendTarget> {
    let state = cx.state.read();
    let service = state.manifest()?.services.get(&steered.group.service)?;
    Some(BackendTarget {
        address: guard.dispatch().address,
        max_connections: service.max_connections_per_backend,
    })
}

fn log_dispatch(req: &OutgoingRequest, guard: &DispatchGuard, outcome: &Outcome<BackendAnswer>) {
    let outcome = match outcome {
        Outcome::Answer(_) => OUTCOME_ANSWER,
        Outcome::NotRun(not_run) => not_run.reason().as_str(),
        Outcome::Unknown(unknown) => unknown.reason().as_str(),
    };
    log::debug!(event = "dispatched", request_id = req.request_id.as_str(), backend = guard.dispatch().backend.as_str(), outcome = outcome; "the request was dispatched to a backend server");
}

const fn ending_of_not_run(not_run: NotRun) -> Ending {
    match not_run.reason() {
        NotRunReason::BackendRefused => Ending::ShedByServer,
        NotRunReason::BackendUnreachable => Ending::NotConnected,
        _ => Ending::Cancelled,
    }
}

const fn ending_of_unknown(unknown: Unknown) -> Ending {
    match unknown.reason() {
        UnknownReason::DeadlinePassed => Ending::Cancelled,
        _ => Ending::Failed,
    }
}

fn to_response(
    deadline: Instant,
    end: OwnedAnswerObserver,
    response: Response<Incoming>,
) -> Response<AnswerBody> {
    let (mut head, body) = response.into_parts();
    header::remove_hop_by_hop(&mut head.headers);
    header::remove_own(&mut head.headers);
    head.headers
        .insert(header::OUTCOME, HeaderValue::from_static(OUTCOME_ANSWER));
    Response::from_parts(head, answer_body::relay(body, deadline, Box::new(end)))
}

/// Releases the slot and returns the connection to the pool. If it is dropped without a call,
/// the request is cancelled and the connection closed.
struct OwnedAnswerObserver {
    guard: DispatchGuard,
    connection: BackendConnection,
    tracked: TrackedRequest,
    pool: BackendPool,
}

impl AnswerObserver for OwnedAnswerObserver {
    fn completed(self: Box<Self>) {
        self.pool.give_back(self.connection);
        self.tracked.answered();
        self.guard.answered();
    }

    fn broken(self: Box<Self>) {
        drop(self.connection);
        self.tracked.broken();
        self.guard.ended(Ending::Failed);
    }

    fn overdue(self: Box<Self>, by: OverdueBy) {
        self.connection.log_unending(by.part());
        if by == OverdueBy::Sender {
            self.broken();
        }
    }

    fn is_whole(&self) -> bool {
        self.connection.check_end().is_ok()
    }

    fn taken(&mut self, _bytes: u64) {
        self.connection.note_taken();
    }
}
