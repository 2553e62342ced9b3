//! Sends one request to one backend server, for direct dispatch.
//!
//! The line between "not run" and "may have run" is crossed in one place, right before
//! the request is handed to the connection.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use heatherring_lib::backend_load::LoadReport;
use heatherring_lib::dispatch_request::BackendKey;
use heatherring_lib::dispatch_request::Choice;
use heatherring_lib::dispatch_request::SendOutcome;
use heatherring_lib::fleet_update::FleetView;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::MayHaveRun;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::Outcome;
use heatherring_lib::outcome::Refusal;
use heatherring_lib::outcome::UnknownReason;
use heatherring_lib::outcome::Unsent;
use heatherring_lib::request_fingerprint::RequestTag;
use heatherring_lib::service_latency::RouteLatencyKey;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::Uri;
use http::response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::sync::watch;

use crate::answer_body;
use crate::answer_body::AnswerBody;
use crate::answer_body::AnswerEnd;
use crate::backend_pool::BackendConnection;
use crate::backend_pool::BackendPool;
use crate::crash_tracker::CrashTracker;
use crate::crash_tracker::TrackedRequest;
use crate::dispatch_task::DispatchHandle;
use crate::header;
use crate::header::remove_hop_by_hop;
use crate::interface::AnswerMeaning;
use crate::interface::EntryInterface;
use crate::interface::OutgoingMetadata;
use crate::refusal_body;
use crate::stop_observer::StopObserver;
use crate::verified_caller::VerifiedCaller;

/// Bytes of an answer up to which it is read whole before its head is passed on. An answer
/// that breaks off can then be asked for again elsewhere, if that does no harm.
const WHOLE_ANSWER_BYTES: u64 = 64 << 10;

/// Time for which a connection is kept if the backend server doesn't say for how long it
/// does so itself.
const KEEP_UNSAID: Duration = Duration::from_secs(4);

/// Time before a backend server closes an idle connection in which it isn't used any
/// more: a request that meets the close halfway has an unknown fate. It covers the way to
/// another region and a busy moment on either side.
const KEEP_MARGIN: Duration = Duration::from_secs(1);

/// Time for which a connection is waited for, beyond the way there and back. Connections
/// within a region take a millisecond or two.
const CONNECT_WITHIN: Duration = Duration::from_millis(400);

/// Holds a request as it is sent on.
#[derive(Clone, Debug)]
pub struct DirectRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The caller's headers, without those that concern a single connection.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Identifies the caller's attempt.
    pub request_id: Option<String>,
    /// Who sent it.
    pub caller: VerifiedCaller,
    /// Names the request, whichever attempt it is.
    pub tag: RequestTag,
    /// When an answer should have come at the latest.
    pub deadline: Instant,
    /// Until when the backend server may work on it, as it is told.
    pub work_until: Instant,
    /// When the answer is waited for no longer.
    pub give_up: Instant,
}

/// Holds an answer to be passed on.
#[derive(Debug)]
pub struct DirectAnswer {
    /// Its head.
    pub head: response::Parts,
    /// Its body, whole or still on its way.
    pub body: AnswerBody,
}

/// Tells what became of a request at one backend server.
#[derive(Debug)]
pub struct Sent {
    /// What the caller can be told.
    pub outcome: Outcome<DirectAnswer>,
    /// What it tells of the backend server.
    pub verdict: SendOutcome,
    /// The load that it reported.
    pub load: Option<LoadReport>,
    /// Time that a new connection took, if one was opened.
    pub connected_in: Option<Duration>,
}

impl Sent {
    fn new(outcome: impl Into<Outcome<DirectAnswer>>, verdict: SendOutcome) -> Self {
        Self {
            outcome: outcome.into(),
            verdict,
            load: None,
            connected_in: None,
        }
    }
}

/// Sends requests.
#[derive(Clone, Debug)]
pub struct DirectSender {
    pool: BackendPool,
    interface: Arc<dyn EntryInterface>,
    view: watch::Receiver<Arc<FleetView>>,
    /// Told at once of connections: an answer may come a second later.
    dispatch: DispatchHandle,
    crashes: CrashTracker,
    stopping: StopObserver,
}

impl DirectSender {
    /// Sends over connections of `pool` to backend servers that may be sent to by `view`.
    #[must_use]
    pub const fn new(
        pool: BackendPool,
        interface: Arc<dyn EntryInterface>,
        view: watch::Receiver<Arc<FleetView>>,
        dispatch: DispatchHandle,
        crashes: CrashTracker,
        stopping: StopObserver,
    ) -> Self {
        Self {
            pool,
            interface,
            view,
            dispatch,
            crashes,
            stopping,
        }
    }

    /// Sends `req` to the backend server that was picked, and waits for its answer.
    pub async fn send(
        &self,
        choice: &Choice,
        req: &DirectRequest,
        mut attempt: Attempt<Unsent>,
    ) -> Sent {
        loop {
            let connecting =
                self.pool
                    .connect_within(choice.address, choice.max_connections, CONNECT_WITHIN);
            let connection = match tokio::time::timeout_at(req.deadline.into(), connecting).await {
                Ok(Ok(connection)) => connection,
                Ok(Err(error)) => {
                    log::debug!(event = "backend_unreachable", request_id = req.request_id.as_deref().unwrap_or_default(), backend = choice.name.as_str(), error:% = error; "no connection to the backend server");
                    let not_run = attempt.refuse(NotRunReason::BackendUnreachable);
                    return Sent::new(not_run, SendOutcome::Unreachable);
                }
                Err(_) => {
                    let not_run = attempt.refuse(NotRunReason::DeadlineTooShort);
                    return Sent::new(not_run, SendOutcome::Unreachable);
                }
            };
            // It takes time to connect, and longer over a link that is full; the backend
            // server may have said meanwhile that it leaves, or this entry VM been asked to.
            if let Some(reason) = self.withdrawn(choice, req) {
                self.pool.give_back_for(connection, KEEP_UNSAID);
                return Sent::new(attempt.refuse(reason), SendOutcome::Withdrawn);
            }
            let reused = connection.is_reused();
            let connected_in = (!reused).then(|| connection.established_in());
            if let Some(took) = connected_in {
                self.dispatch.note_connected(choice.backend, took);
            }
            match self.exchange(choice, req, attempt, connection).await {
                Exchange::Over(mut sent) => {
                    sent.connected_in = connected_in;
                    return *sent;
                }
                // The server closed an idle connection before it took the request.
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
        let answering = connection.sender().try_send_request(message);
        let answering = self.in_time(req, answering);
        let answered = tokio::select! {
            answered = answering => answered,
            () = self.outlived(choice) => {
                self.pool.disconnect(choice.address);
                followed.broken();
                let unknown = sent.lost(UnknownReason::ConnectionLost);
                return Exchange::Over(Box::new(Sent::new(unknown, SendOutcome::Broken)));
            }
        };
        match answered {
            Ok(Ok(response)) => {
                let at = Answering {
                    choice,
                    req,
                    sent,
                    connection,
                    followed,
                };
                Exchange::Over(Box::new(self.read(at, response).await))
            }
            Ok(Err(mut error)) => {
                if let Some(unwritten) = error.take_message() {
                    followed.not_run();
                    return Exchange::Unwritten(sent.returned_unsent(&unwritten));
                }
                followed.broken();
                let unknown = sent.lost(UnknownReason::ConnectionLost);
                Exchange::Over(Box::new(Sent::new(unknown, SendOutcome::Broken)))
            }
            // Dropping the connection cancels the work at the backend server.
            Err(reason) => {
                let unknown = sent.lost(reason);
                Exchange::Over(Box::new(Sent::new(unknown, SendOutcome::Abandoned)))
            }
        }
    }

    /// Returns why a request isn't sent after all that no byte of was sent yet.
    fn withdrawn(&self, choice: &Choice, req: &DirectRequest) -> Option<NotRunReason> {
        let view = self.view.borrow();
        if let Err(reason) = req.caller.check(&view.teams) {
            return Some(reason);
        }
        if !view.may_send(&choice.name, choice.born) {
            return Some(NotRunReason::BackendUnreachable);
        }
        drop(view);
        let until = self.stopping.answers_until()?;
        let is_late = Instant::now() + choice.expected > until;
        is_late.then_some(NotRunReason::Leaving)
    }

    /// Waits for the answer or its body until `req` is given up, or this entry VM passes on its
    /// last answers.
    async fn in_time<T>(
        &self,
        req: &DirectRequest,
        answering: impl Future<Output = T>,
    ) -> Result<T, UnknownReason> {
        tokio::select! {
            biased;
            answered = answering => Ok(answered),
            () = tokio::time::sleep_until(req.give_up.into()) => Err(UnknownReason::DeadlinePassed),
            () = self.stopping.last_answers() => Err(UnknownReason::EntryStopped),
        }
    }

    /// Ends when the backend server has begun another life, which knows nothing of requests
    /// of the one before. The connection may hang rather than break.
    async fn outlived(&self, choice: &Choice) {
        let mut view = self.view.clone();
        let outlived = view.wait_for(|view| view.has_later_incarnation(&choice.name, choice.born));
        if outlived.await.is_err() {
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

    async fn read(&self, at: Answering<'_>, response: Response<Incoming>) -> Sent {
        let (head, body) = response.into_parts();
        let request_id = at.req.request_id.as_deref();
        let metadata = self.interface.read_answer(&head, request_id);
        let refused = match metadata.meaning {
            AnswerMeaning::Answer => {
                let mut sent = self.pass_on(at, (head, body)).await;
                sent.load = metadata.load;
                return sent;
            }
            AnswerMeaning::Foreign => {
                at.followed.broken();
                let unknown = at.sent.lost(UnknownReason::ConnectionLost);
                return Sent::new(unknown, SendOutcome::Broken);
            }
            AnswerMeaning::NotRun => (NotRunReason::BackendRefused, SendOutcome::Shed),
            AnswerMeaning::OtherBackend => {
                (NotRunReason::BackendMisdirected, SendOutcome::Misdirected)
            }
        };
        at.followed.not_run();
        if refusal_body::read_to_end(body).await {
            let keep = keep_time(&head.headers);
            self.pool.give_back_for(at.connection, keep);
        }
        let refusal = Refusal::reported_by_backend_server(refused.0);
        let mut sent = Sent::new(at.sent.refused(refusal), refused.1);
        sent.load = metadata.load;
        sent
    }

    /// Reads a short answer whole, or begins to pass a long one on.
    async fn pass_on(
        &self,
        at: Answering<'_>,
        (mut head, body): (response::Parts, Incoming),
    ) -> Sent {
        let Answering {
            choice,
            req,
            sent,
            connection,
            followed,
        } = at;
        let keep = keep_time(&head.headers);
        remove_hop_by_hop(&mut head.headers);
        let verdict = if head.status.is_server_error() {
            SendOutcome::Faulty
        } else {
            SendOutcome::Answered
        };
        let is_short = body
            .size_hint()
            .exact()
            .is_some_and(|bytes| bytes <= WHOLE_ANSWER_BYTES);
        if !is_short {
            let end = Box::new(StreamEnd {
                pool: self.pool.clone(),
                connection,
                followed,
                keep,
                dispatch: self.dispatch.clone(),
                backend: choice.backend,
                latency_key: choice.latency_key,
                began: Instant::now(),
            });
            let body = answer_body::relay(body, req.give_up, end);
            let answer = DirectAnswer { head, body };
            return Sent::new(sent.answered(answer), verdict);
        }
        match self.in_time(req, body.collect()).await {
            Ok(Ok(collected)) => {
                self.pool.give_back_for(connection, keep);
                followed.answered();
                let body = answer_body::full(collected.to_bytes());
                let answer = DirectAnswer { head, body };
                Sent::new(sent.answered(answer), verdict)
            }
            Ok(Err(_)) => {
                followed.broken();
                let unknown = sent.lost(UnknownReason::ConnectionLost);
                Sent::new(unknown, SendOutcome::Broken)
            }
            Err(reason) => Sent::new(sent.lost(reason), SendOutcome::Abandoned),
        }
    }
}

/// Holds what is needed to read the answer to a request.
struct Answering<'a> {
    choice: &'a Choice,
    req: &'a DirectRequest,
    sent: Attempt<MayHaveRun>,
    connection: BackendConnection,
    followed: TrackedRequest,
}

enum Exchange {
    Over(Box<Sent>),
    Unwritten(Attempt<Unsent>),
}

/// Gives a connection back once the answer on it was passed on to its last byte, and tells how
/// long that took.
struct StreamEnd {
    pool: BackendPool,
    connection: BackendConnection,
    followed: TrackedRequest,
    keep: Duration,
    dispatch: DispatchHandle,
    backend: BackendKey,
    latency_key: RouteLatencyKey,
    /// When its head had come.
    began: Instant,
}

impl AnswerEnd for StreamEnd {
    fn whole(self: Box<Self>) {
        self.pool.give_back_for(self.connection, self.keep);
        self.followed.answered();
        let took = self.began.elapsed();
        self.dispatch
            .note_streamed(self.backend, self.latency_key, took);
    }

    fn broken(self: Box<Self>) {
        self.followed.broken();
    }
}

/// Returns for how long a connection may be idle before it is used again.
fn keep_time(headers: &HeaderMap) -> Duration {
    let said = header::text(headers, "keep-alive")
        .and_then(|text| {
            text.split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.parse().ok())
        .map(Duration::from_secs);
    said.map_or(KEEP_UNSAID, |said| said.saturating_sub(KEEP_MARGIN))
}
