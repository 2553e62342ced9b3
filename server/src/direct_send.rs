//! Sends a request to a backend server, for direct dispatch.
//!
//! A request changes from "not run" to "may have run" in one place, right before it is handed to
//! the connection.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use heatherring_lib::answer_claim::Claim;
use heatherring_lib::answer_claim::RefusedBy;
use heatherring_lib::answer_deadline::AnswerDeadline;
use heatherring_lib::answer_size::AnswerKind;
use heatherring_lib::backend_statement::LeavingNotice;
use heatherring_lib::backend_statement::ReceivedStatement;
use heatherring_lib::dispatch_request::BackendKey;
use heatherring_lib::dispatch_request::Choice;
use heatherring_lib::dispatch_request::SendOutcome;
use heatherring_lib::fleet_update::FleetView;
use heatherring_lib::link_admission::ExpectedAnswer;
use heatherring_lib::link_admission::OVERHEAD_BYTES;
use heatherring_lib::outcome::Answered;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::Identified;
use heatherring_lib::outcome::MayHaveRun;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::Outcome;
use heatherring_lib::outcome::Refusal;
use heatherring_lib::outcome::UnknownReason;
use heatherring_lib::outcome::Unsent;
use heatherring_lib::request_fingerprint::RequestTag;
use heatherring_lib::send_holds::Hold;
use heatherring_lib::send_holds::SendHolds;
use heatherring_lib::service_latency::RouteLatencyKey;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Uri;
use http::response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::sync::watch;

use crate::answer_body;
use crate::answer_body::AnswerBody;
use crate::answer_body::AnswerObserver;
use crate::answer_body::OverdueBy;
use crate::backend_connection::BackendConnection;
use crate::backend_connection::ConnectOptions;
use crate::backend_connection::FramedAnswer;
use crate::backend_connection::SendError;
use crate::backend_pool::BackendPool;
use crate::crash_tracker::CrashTracker;
use crate::crash_tracker::TrackedRequest;
use crate::dispatch_task::DispatchHandle;
use crate::dispatch_task::StreamGuard;
use crate::header;
use crate::header::remove_hop_by_hop;
use crate::interface::AnswerMetadata;
use crate::interface::EntryInterface;
use crate::interface::OutgoingMetadata;
use crate::link_pacer::LinkPacer;
use crate::received_head::ReceivedHead;
use crate::refusal_body;
use crate::stop_observer::StopObserver;
use crate::unread_headers::UnreadHeaders;
use crate::verified_caller::VerifiedCaller;

/// Size up to which an answer is read completely before its head is passed on. If such an answer
/// breaks off, the request can be sent to another backend server, provided that running it twice
/// is harmless.
const MAX_BUFFERED_ANSWER_BYTES: u64 = 64 << 10;

/// Like [`MAX_BUFFERED_ANSWER_BYTES`], for a large answer on a scheduled link: what arrives with
/// the head anyway.
const MAX_BUFFERED_LARGE_ANSWER_BYTES: u64 = 8 << 10;

/// Time for which an idle connection is kept if the backend server does not announce its own
/// idle time-out.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);

/// Time before a backend server closes an idle connection from which on it is not reused: the
/// fate of a request that crosses the close in transit is unknown. It covers the network delay
/// to another region and a short overload on either side.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Time-out for establishing a connection, in addition to the round trip. Connections within a
/// region take a millisecond or two.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// A request as it is sent to a backend server.
#[derive(Clone, Debug)]
pub struct DirectRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The caller's headers, without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The caller's identifier of this attempt.
    pub request_id: Option<String>,
    /// The caller that sent it.
    pub caller: VerifiedCaller,
    /// Identifies the request across attempts.
    pub tag: RequestTag,
    /// When the answer is due by the route's latency objective.
    pub objective: Instant,
    /// The deadline for the answer.
    pub deadline: Instant,
    /// Until when the backend server may work on it; sent along with the request.
    pub work_until: Instant,
    /// When waiting for the answer ends.
    pub give_up_at: Instant,
    /// Until when a long answer that has begun to arrive is passed on.
    pub stream_until: Instant,
}

/// An answer to be passed on to the caller.
#[derive(Debug)]
pub struct DirectAnswer {
    /// Status and headers.
    pub head: response::Parts,
    /// The body, complete or still being received.
    pub body: AnswerBody,
}

/// Result of sending a request to a backend server.
#[derive(Debug)]
pub struct Sent {
    /// The outcome as the caller may see it.
    pub outcome: Outcome<DirectAnswer>,
    /// What the send shows about the backend server.
    pub verdict: SendOutcome,
    /// What the backend server states in its answer; `None` without one.
    pub statement: Option<ReceivedStatement>,
    /// The answer that was received on the connection; `None` without one.
    pub received: Option<ReceivedHead>,
    /// Time to establish the connection; `None` if one was reused or none was established.
    pub connected_in: Option<Duration>,
    /// Size of the body of a successful answer; `None` without one, or if it is not known yet.
    pub answer_bytes: Option<u64>,
}

impl Sent {
    fn new(outcome: impl Into<Outcome<DirectAnswer>>, verdict: SendOutcome) -> Self {
        Self {
            outcome: outcome.into(),
            verdict,
            statement: None,
            received: None,
            connected_in: None,
            answer_bytes: None,
        }
    }

    fn answered(answer: Outcome<DirectAnswer>, verdict: SendOutcome, bytes: Option<u64>) -> Self {
        Self {
            answer_bytes: bytes.filter(|_| verdict == SendOutcome::Answered),
            ..Self::new(answer, verdict)
        }
    }
}

/// Sends requests to backend servers.
#[derive(Clone, Debug)]
pub struct DirectSender {
    pool: BackendPool,
    interface: Arc<dyn EntryInterface>,
    view: watch::Receiver<Arc<FleetView>>,
    /// Notified of a new connection immediately: the answer may arrive a second later.
    dispatch: DispatchHandle,
    crashes: CrashTracker,
    stopping: StopObserver,
    unread_headers: Arc<UnreadHeaders>,
    holds: watch::Receiver<Arc<SendHolds>>,
    /// Paces large answers; `None` if the rate of this entry VM's link is not known.
    link: Option<LinkPacer>,
}

impl DirectSender {
    /// Creates a sender over connections of `pool`. Only backend servers that `view` permits are
    /// sent to.
    #[must_use]
    pub fn new(
        pool: BackendPool,
        interface: Arc<dyn EntryInterface>,
        view: watch::Receiver<Arc<FleetView>>,
        dispatch: DispatchHandle,
        crashes: CrashTracker,
        stopping: StopObserver,
    ) -> Self {
        let holds = dispatch.holds();
        Self {
            pool,
            interface,
            view,
            dispatch,
            crashes,
            stopping,
            unread_headers: Arc::default(),
            holds,
            link: None,
        }
    }

    /// Paces large answers by `link`.
    #[must_use]
    pub fn paced_by(self, link: Option<LinkPacer>) -> Self {
        Self { link, ..self }
    }

    /// Sends `req` to the chosen backend server and waits for the answer.
    pub async fn send(
        &self,
        choice: &Choice,
        req: &DirectRequest,
        mut attempt: Attempt<Unsent>,
    ) -> Sent {
        let id = req.request_id.as_deref();
        loop {
            let options = ConnectOptions {
                timeout: CONNECT_TIMEOUT,
                receive_buffer: choice.receive_buffer,
            };
            let connecting =
                self.pool
                    .connect_with(choice.address, choice.max_connections, id, options);
            let connection = match tokio::time::timeout_at(req.deadline.into(), connecting).await {
                Ok(Ok(connection)) => connection,
                Ok(Err(error)) => {
                    log::debug!(event = "backend_unreachable", request_id = req.request_id.as_deref().unwrap_or_default(), backend = choice.name.as_str(), error:% = error; "could not connect to the backend server");
                    let not_run = attempt.refuse(NotRunReason::BackendUnreachable);
                    return Sent::new(not_run, SendOutcome::Unreachable);
                }
                Err(_) => {
                    let not_run = attempt.refuse(NotRunReason::DeadlineTooShort);
                    return Sent::new(not_run, SendOutcome::Unreachable);
                }
            };
            // Connecting takes time, and longer over a congested link. Meanwhile the backend
            // server may have announced that it leaves, or asked for a time without requests, or
            // this entry VM may have been asked to stop.
            if let Some(reason) = self.withdrawn(choice, req) {
                self.pool.give_back_for(connection, DEFAULT_IDLE_TIME);
                return Sent::new(attempt.refuse(reason), SendOutcome::Withdrawn);
            }
            let reused = connection.is_reused();
            let connected_in = (!reused).then(|| connection.established_in());
            if let Some(took) = connected_in {
                self.dispatch.note_connected(choice.backend, took);
            }
            match self.exchange(choice, req, attempt, connection).await {
                Exchange::Finished(mut sent) => {
                    sent.connected_in = connected_in;
                    return *sent;
                }
                // The backend server closed the idle connection before it received the request.
                Exchange::Unwritten(unsent) if reused => attempt = unsent,
                Exchange::Unwritten(unsent) => {
                    let not_run = unsent.refuse(NotRunReason::BackendUnreachable);
                    return Sent::new(not_run, SendOutcome::Unreachable);
                }
            }
        }
    }

    async fn exchange(
        &self,
        choice: &Choice,
        req: &DirectRequest,
        attempt: Attempt<Unsent>,
        mut connection: BackendConnection,
    ) -> Exchange {
        let message = self.message(choice, req);
        let sent = attempt.sending();
        let followed = self.crashes.follow(choice.into(), req.tag);
        let answering = connection.send(message, req.request_id.as_deref());
        let answering = self.in_time(req, answering);
        let answered = tokio::select! {
            answered = answering => answered,
            () = self.superseded(choice) => {
                self.pool.disconnect(choice.address);
                followed.broken();
                let unknown = sent.lost(UnknownReason::ConnectionLost);
                return Exchange::Finished(Box::new(Sent::new(unknown, SendOutcome::Broken)));
            }
        };
        match answered {
            Ok(Ok(answer)) => {
                let pending = PendingAnswer {
                    choice,
                    req,
                    connection,
                    followed,
                };
                Exchange::Finished(Box::new(self.receive(pending, sent, answer).await))
            }
            Ok(Err(SendError::Unsent { req: unwritten })) => {
                connection.note_unsent();
                followed.not_run();
                Exchange::Unwritten(sent.returned_unsent(&unwritten))
            }
            Ok(Err(error)) => {
                followed.broken();
                let unknown = sent.lost(error.unknown_reason());
                Exchange::Finished(Box::new(Sent::new(unknown, SendOutcome::Broken)))
            }
            // Dropping the connection cancels the work at the backend server, or the request if
            // it has not arrived yet.
            Err(reason) => {
                let unknown = sent.lost(reason);
                Exchange::Finished(Box::new(Sent::new(unknown, SendOutcome::Abandoned)))
            }
        }
    }

    /// Returns why a request of which no byte was sent must not be sent any more.
    fn withdrawn(&self, choice: &Choice, req: &DirectRequest) -> Option<NotRunReason> {
        let view = self.view.borrow();
        if let Err(reason) = req.caller.check(&view.teams) {
            return Some(reason);
        }
        if !view.may_send(&choice.name, choice.born) {
            return Some(NotRunReason::BackendUnreachable);
        }
        drop(view);
        let now = Instant::now();
        match self.holds.borrow().hold(now, &choice.name, choice.born) {
            Some(Hold::Leaving) => return Some(NotRunReason::BackendUnreachable),
            Some(Hold::Paused) => return Some(NotRunReason::BackendPaused),
            None => {}
        }
        let until = self.stopping.answers_until()?;
        let is_late = now + choice.expected > until;
        is_late.then_some(NotRunReason::Leaving)
    }

    /// Waits for the answer or its body until `req` is given up, or until this entry VM passes
    /// on its last answers.
    async fn in_time<T>(
        &self,
        req: &DirectRequest,
        answering: impl Future<Output = T>,
    ) -> Result<T, UnknownReason> {
        tokio::select! {
            biased;
            answered = answering => Ok(answered),
            () = tokio::time::sleep_until(req.give_up_at.into()) => Err(UnknownReason::DeadlinePassed),
            () = self.stopping.last_answers() => Err(UnknownReason::EntryStopped),
        }
    }

    /// Completes when the backend server has restarted as a new incarnation, which knows nothing
    /// of requests to the previous one. The connection may hang rather than break.
    async fn superseded(&self, choice: &Choice) {
        let mut view = self.view.clone();
        let superseded =
            view.wait_for(|view| view.has_later_incarnation(&choice.name, choice.born));
        if superseded.await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    fn message(&self, choice: &Choice, req: &DirectRequest) -> Request<Full<Bytes>> {
        let mut message = Request::new(Full::new(req.body.clone()));
        *message.method_mut() = req.method.clone();
        *message.uri_mut() = req.uri.clone();
        *message.headers_mut() = req.headers.clone();
        let metadata = OutgoingMetadata {
            left: req.work_until.saturating_duration_since(Instant::now()),
            backend: &choice.name,
            team: req.caller.team.as_ref(),
        };
        self.interface
            .write_request_metadata(message.headers_mut(), &metadata);
        message
    }

    /// Reads the answer that arrived on the connection, if it belongs to the request.
    async fn receive(
        &self,
        mut at: PendingAnswer<'_>,
        sent: Attempt<MayHaveRun>,
        FramedAnswer { head, body, .. }: FramedAnswer,
    ) -> Sent {
        let AnswerMetadata {
            echoed,
            meaning,
            statement,
        } = self.interface.read_answer(&head);
        let id = at.req.request_id.as_deref();
        let received = at.connection.received(head.status, echoed.compare(id));
        let policy = self.interface.echo_policy();
        let mut sent = match at.connection.pair(sent, id, echoed, policy) {
            Ok(paired) => {
                let statement = ReceivedStatement {
                    statement,
                    at: Instant::now(),
                };
                let claim = Claim::new(paired, meaning, head.status.as_u16());
                if matches!(claim, Claim::Unproved(_)) {
                    received.log_unproved(id.unwrap_or_default(), at.choice.name.as_str());
                }
                self.read(at, claim, statement, (head, body)).await
            }
            Err(sent) => {
                received.log_mismatch(id.unwrap_or_default(), at.choice.name.as_str(), echoed);
                self.pool.close_mismatched(at.connection);
                at.followed.broken();
                let unknown = sent.lost(UnknownReason::AnswerMismatched);
                Sent::new(unknown, SendOutcome::Broken)
            }
        };
        sent.received = Some(received);
        sent
    }

    /// Reads an answer that belongs to the request.
    async fn read(
        &self,
        at: PendingAnswer<'_>,
        claim: Claim,
        received: ReceivedStatement,
        (head, body): (response::Parts, Incoming),
    ) -> Sent {
        if claim.is_from_chosen() {
            self.dispatch.note_statement(at.choice.backend, received);
            if received.statement.leaving == LeavingNotice::Leaving {
                self.pool.disconnect(at.choice.address);
            }
            self.unread_headers.note(
                &at.choice.name,
                self.interface.unread_headers(&head.headers),
            );
        }
        match claim {
            Claim::Answer(answered) => {
                let mut sent = self.pass_on(at, answered, (head, body)).await;
                sent.statement = Some(received);
                sent
            }
            Claim::Refused(identified, by) => {
                at.followed.not_run();
                if refusal_body::read_to_end(body).await {
                    let keep = idle_time(&head.headers);
                    self.pool.give_back_for(at.connection, keep);
                }
                refused(identified, by, received)
            }
            Claim::Unproved(answered) => {
                let unknown = answered.lost(UnknownReason::RefusalUnproved);
                Sent::new(unknown, SendOutcome::Broken)
            }
            Claim::Foreign(answered) => {
                at.followed.broken();
                let unknown = answered.lost(UnknownReason::ConnectionLost);
                Sent::new(unknown, SendOutcome::Broken)
            }
        }
    }

    /// Returns the schedule of this entry VM's link, if the request counts there, and the answer
    /// that is expected.
    fn scheduled_link(&self, choice: &Choice) -> Option<(&LinkPacer, ExpectedAnswer)> {
        let expected = choice.expected_answer?;
        self.link.as_ref().map(|link| (link, expected))
    }

    /// Reads a short answer completely, or starts to relay a long one.
    async fn pass_on(
        &self,
        at: PendingAnswer<'_>,
        answered: Attempt<Answered>,
        (mut head, body): (response::Parts, Incoming),
    ) -> Sent {
        let PendingAnswer {
            choice,
            req,
            connection,
            followed,
        } = at;
        let keep = idle_time(&head.headers);
        remove_hop_by_hop(&mut head.headers);
        let verdict = if head.status.is_server_error() {
            SendOutcome::Faulty
        } else {
            SendOutcome::Answered
        };
        let bytes = body.size_hint().exact();
        let scheduled = self.scheduled_link(choice);
        let is_large = scheduled.is_some_and(|(_, expected)| expected.kind == AnswerKind::Large);
        let max_buffered = if is_large {
            MAX_BUFFERED_LARGE_ANSWER_BYTES
        } else {
            MAX_BUFFERED_ANSWER_BYTES
        };
        let is_buffered = bytes.is_some_and(|bytes| bytes <= max_buffered);
        // A small answer does not wait for others because its length is not known.
        let paced = scheduled.filter(|_| !is_buffered && (is_large || bytes.is_some()));
        if paced.is_none()
            && let Some((link, expected)) = scheduled
        {
            let sent = u64::try_from(req.body.len()).unwrap_or(u64::MAX);
            let received = bytes.map_or(expected.bytes, |bytes| bytes + OVERHEAD_BYTES);
            link.note_small(sent.saturating_add(received));
        }
        if !is_buffered {
            let mut plausible = bytes;
            let end = Box::new(StreamObserver {
                pool: self.pool.clone(),
                connection,
                followed,
                keep,
                dispatch: self.dispatch.clone(),
                _guard: self.dispatch.stream_began(choice.backend),
                backend: choice.backend,
                latency_key: choice.latency_key,
                began: Instant::now(),
            });
            let body = match paced {
                Some((link, expected)) => {
                    let deadline = match bytes {
                        Some(_) => AnswerDeadline::with_overtime(req.stream_until),
                        None => AnswerDeadline::strict(req.stream_until),
                    };
                    // A length that the link cannot carry says nothing about the route's answers.
                    plausible = bytes.filter(|bytes| link.can_carry(*bytes, deadline.end()));
                    let bytes = bytes.unwrap_or(expected.bytes);
                    let pace = link.begin(bytes, req.objective, deadline.end()).await;
                    answer_body::relay_paced(body, deadline, pace, end)
                }
                None => answer_body::relay(body, req.stream_until, end),
            };
            let answer = DirectAnswer { head, body };
            return Sent::answered(answered.answered(answer), verdict, plausible);
        }
        match self.in_time(req, body.collect()).await {
            Ok(Ok(_)) if connection.check_end().is_err() => {
                followed.broken();
                let unknown = answered.lost(UnknownReason::AnswerMalformed);
                Sent::new(unknown, SendOutcome::Broken)
            }
            Ok(Ok(collected)) => {
                self.pool.give_back_for(connection, keep);
                followed.answered();
                let body = answer_body::full(collected.to_bytes());
                let answer = DirectAnswer { head, body };
                Sent::answered(answered.answered(answer), verdict, bytes)
            }
            Ok(Err(_)) => {
                followed.broken();
                let unknown = answered.lost(UnknownReason::ConnectionLost);
                Sent::new(unknown, SendOutcome::Broken)
            }
            Err(reason) => Sent::new(answered.lost(reason), SendOutcome::Abandoned),
        }
    }
}

/// Ends a send whose request was proved not to have run.
fn refused(attempt: Attempt<Identified>, by: RefusedBy, received: ReceivedStatement) -> Sent {
    let (reason, verdict) = match by {
        RefusedBy::Chosen => (NotRunReason::BackendRefused, SendOutcome::Shed),
        RefusedBy::Other => (NotRunReason::BackendMisdirected, SendOutcome::Misdirected),
    };
    let refusal = Refusal::reported_by_backend_server(reason);
    let mut sent = Sent::new(attempt.refused(refusal), verdict);
    sent.statement = (by == RefusedBy::Chosen).then_some(received);
    sent
}

/// A sent request whose answer is to be read.
struct PendingAnswer<'a> {
    choice: &'a Choice,
    req: &'a DirectRequest,
    connection: BackendConnection,
    followed: TrackedRequest,
}

enum Exchange {
    Finished(Box<Sent>),
    Unwritten(Attempt<Unsent>),
}

/// Returns the connection to the pool once the answer has been relayed to its last byte, and
/// reports how long that took.
struct StreamObserver {
    pool: BackendPool,
    connection: BackendConnection,
    followed: TrackedRequest,
    keep: Duration,
    dispatch: DispatchHandle,
    _guard: StreamGuard,
    backend: BackendKey,
    latency_key: RouteLatencyKey,
    /// When the head of the answer had arrived.
    began: Instant,
}

impl AnswerObserver for StreamObserver {
    fn completed(self: Box<Self>) {
        self.pool.give_back_for(self.connection, self.keep);
        self.followed.answered();
        let took = self.began.elapsed();
        self.dispatch
            .note_streamed(self.backend, self.latency_key, took);
    }

    fn broken(self: Box<Self>) {
        self.followed.broken();
    }

    fn overdue(self: Box<Self>, by: OverdueBy) {
        self.connection.log_unending(by.part());
        if by == OverdueBy::Sender {
            self.followed.broken();
        }
    }

    fn is_whole(&self) -> bool {
        self.connection.check_end().is_ok()
    }

    fn taken(&mut self, _bytes: u64) {
        self.connection.note_taken();
    }
}

/// Returns how long a connection may be idle and still be reused.
fn idle_time(headers: &HeaderMap) -> Duration {
    let announced = header::text(headers, "keep-alive")
        .and_then(|text| {
            text.split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.parse().ok())
        .map(Duration::from_secs);
    announced.map_or(DEFAULT_IDLE_TIME, |announced| {
        announced.saturating_sub(IDLE_MARGIN)
    })
}
