//! Sends one admitted request to one backend server.
//!
//! The state changes from "not run" to "may have run" in one place, right before the request
//! is handed to the connection.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use heatherring_lib::answer_claim::AnswerMeaning;
use heatherring_lib::answer_claim::Claim;
use heatherring_lib::answer_framing::Framing;
use heatherring_lib::backend_statement::ReceivedStatement;
use heatherring_lib::duration_text::whole_ms;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::Outcome;
use heatherring_lib::outcome::Refusal;
use heatherring_lib::outcome::UnknownReason;
use heatherring_lib::outcome::Unsent;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::Uri;
use http::header as http_header;
use http::response::Parts;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::backend_connection::BackendConnection;
use crate::backend_connection::FramedAnswer;
use crate::backend_connection::SendError;
use crate::backend_pool::BackendPool;
use crate::header;
use crate::own_interface;
use crate::refusal_body;

/// Holds a request as it is forwarded. Its body is complete, so that a slow caller does not
/// occupy a slot while it uploads, and so that an idempotent request can be sent again.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// The caller's method.
    pub method: Method,
    /// Path and query as the backend server sees them, starting with a slash.
    pub path: String,
    /// The caller's headers, without hop-by-hop headers and those of heatherring itself.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Identifies the request on all hops.
    pub request_id: String,
    /// Time after which an answer is of no use to the caller.
    pub deadline: Instant,
}

/// Identifies the backend server to send to.
#[derive(Clone, Copy, Debug)]
pub struct BackendTarget {
    /// Its address.
    pub address: SocketAddr,
    /// The limit on open connections to it.
    pub max_connections: u32,
}

/// Holds the head of a backend server's answer, its unread body and its connection.
#[derive(Debug)]
pub struct BackendAnswer {
    /// The head, and the body that is still to be read.
    pub response: Response<Incoming>,
    /// The connection that carries the body; to be returned to the pool once the body is read.
    pub connection: BackendConnection,
}

/// Decides whether a request may be dispatched; checked right before the first byte is sent.
///
/// A process that was frozen between admission and dispatch resumes with an expired lease,
/// when another entry VM may already own the backend server. The check on arrival cannot
/// detect this; this one does.
pub trait DispatchGate: Send + Sync {
    /// Returns the reason if nothing may be dispatched now.
    fn closed(&self) -> Option<NotRunReason>;
}

/// Receives what the head of an answer states about its backend server.
pub trait StatementObserver: Send + Sync {
    /// Records the statement. `is_success` means that the request ran without a fault.
    fn stated(&self, received: ReceivedStatement, is_success: bool);
}

/// Sends `req` to the backend server and waits for the head of its answer, which `observer` is told
/// of.
pub async fn dispatch(
    pool: &BackendPool,
    target: BackendTarget,
    req: &OutgoingRequest,
    gate: &dyn DispatchGate,
    observer: &dyn StatementObserver,
    mut attempt: Attempt<Unsent>,
    now: Instant,
) -> Outcome<BackendAnswer> {
    let id = Some(req.request_id.as_str());
    loop {
        let connecting = pool.connect(target.address, target.max_connections, id);
        let deadline = req.deadline.into();
        let mut connection = match tokio::time::timeout_at(deadline, connecting).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => {
                log::debug!(event = "backend_unreachable", request_id = req.request_id.as_str(), address = target.address.to_string().as_str(), error = error.to_string().as_str(); "cannot connect to the backend server");
                return attempt.refuse(NotRunReason::BackendUnreachable).into();
            }
            Err(_) => return attempt.refuse(NotRunReason::DeadlineTooShort).into(),
        };
        if let Some(reason) = gate.closed() {
            return attempt.refuse(reason).into();
        }
        let Some(message) = to_message(target.address, req, now) else {
            return attempt.refuse(NotRunReason::MalformedRequest).into();
        };
        let reused = connection.is_reused();
        let sent = attempt.sending();
        let answering = connection.send(message, id);
        match tokio::time::timeout_at(deadline, answering).await {
            Ok(Ok(answer)) => {
                let head = &answer.head;
                let echoed = header::echoed_id(head, &header::REQUEST_ID);
                let received = connection.received(head.status, echoed.compare(id));
                let policy = own_interface::ECHO_POLICY;
                let paired = match connection.pair(sent, id, echoed, policy) {
                    Ok(paired) => paired,
                    Err(sent) => {
                        let address = target.address.to_string();
                        received.log_mismatch(&req.request_id, &address, echoed);
                        pool.close_mismatched(connection);
                        return sent.lost(UnknownReason::AnswerMismatched).into();
                    }
                };
                let claim = Claim::new(paired, meaning(head), head.status.as_u16());
                if matches!(claim, Claim::Unproved(_)) {
                    received.log_unproved(&req.request_id, &target.address.to_string());
                }
                if claim.is_from_chosen() {
                    let received = ReceivedStatement {
                        statement: own_interface::statement(head),
                        at: Instant::now(),
                    };
                    observer.stated(received, !head.status.is_server_error());
                }
                return read_head(pool, claim, answer, connection).await;
            }
            Ok(Err(SendError::Unsent { req: unwritten })) => {
                connection.note_unsent();
                let unsent = sent.returned_unsent(&unwritten);
                if !reused {
                    return unsent.refuse(NotRunReason::BackendUnreachable).into();
                }
                // The server closed an idle connection before the request was written.
                attempt = unsent;
            }
            Ok(Err(error)) => return sent.lost(error.unknown_reason()).into(),
            // Dropping the connection cancels the work at the backend server, or the request if
            // it has not arrived yet.
            Err(_) => return sent.lost(UnknownReason::DeadlinePassed).into(),
        }
    }
}

fn to_message(
    address: SocketAddr,
    req: &OutgoingRequest,
    now: Instant,
) -> Option<Request<Full<Bytes>>> {
    let uri: Uri = req.path.parse().ok()?;
    let mut message = Request::new(Full::new(req.body.clone()));
    *message.method_mut() = req.method.clone();
    *message.uri_mut() = uri;
    *message.headers_mut() = req.headers.clone();
    let headers = message.headers_mut();
    let host = HeaderValue::from_str(&address.to_string()).ok()?;
    headers.insert(http_header::HOST, host);
    let left = req.deadline.saturating_duration_since(now);
    headers.insert(header::DEADLINE_MS, whole_ms(left).into());
    let request_id = HeaderValue::from_str(&req.request_id).ok()?;
    headers.insert(header::REQUEST_ID, request_id);
    Some(message)
}

/// Reads what an answer states about the request. Owners know no address of which another backend
/// server could have taken possession.
fn meaning(head: &Parts) -> AnswerMeaning {
    let outcome = header::text(&head.headers, header::OUTCOME);
    match Refusal::of_backend_server(head.status.as_u16(), outcome) {
        Some(_) => AnswerMeaning::NotRun,
        None => AnswerMeaning::Answer,
    }
}

async fn read_head(
    pool: &BackendPool,
    claim: Claim,
    answer: FramedAnswer,
    connection: BackendConnection,
) -> Outcome<BackendAnswer> {
    let answered = match claim {
        Claim::Answer(answered) => answered,
        Claim::Refused(identified, _) => {
            if refusal_body::read_to_end(answer.body).await {
                pool.give_back(connection);
            }
            let refusal = Refusal::reported_by_backend_server(NotRunReason::BackendRefused);
            return identified.refused(refusal).into();
        }
        Claim::Unproved(answered) => {
            return answered.lost(UnknownReason::RefusalUnproved).into();
        }
        Claim::Foreign(answered) => return answered.lost(UnknownReason::ConnectionLost).into(),
    };
    // A body that the end of the connection ends looks complete when the backend server crashes in
    // the middle of it, so such an answer is never forwarded.
    if answer.framing == Framing::Close {
        return answered.lost(UnknownReason::ConnectionLost).into();
    }
    answered.answered(BackendAnswer {
        response: Response::from_parts(answer.head, answer.body),
        connection,
    })
}
