//! Forwards requests to other entry VMs, over one multiplexed HTTP/2 connection to each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use heatherring_lib::duration_text::whole_ms;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::SessionId;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::Outcome;
use heatherring_lib::outcome::UnknownReason;
use heatherring_lib::outcome::Unsent;
use heatherring_lib::view::EntryInfo;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::Uri;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper::client::conn::http2::SendRequest;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::answer_body;
use crate::answer_body::AnswerBody;
use crate::answer_body::AnswerObserver;
use crate::answer_body::OverdueBy;
use crate::dispatcher::OutgoingRequest;
use crate::header;
use crate::http_server::CONNECTION_WINDOW;
use crate::http_server::STREAM_WINDOW;
use crate::link_task;
use crate::link_task::LinkHandle;
use crate::peer_security::PeerSecurity;
use crate::peer_security::PeerSecurityError;
use crate::refusal;
use crate::refusal::Refused;
use crate::unending_answer::UnendingAnswer;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between pings, and time-out of their acknowledgements. A missing acknowledgement
/// reveals a peer that is unreachable or frozen, whose requests then end as "unknown".
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time beyond the deadline for which the owner's own result is awaited. It often proves "not
/// run" where the forwarding entry VM could report only "unknown".
const FINAL_RESULT_GRACE: Duration = Duration::from_millis(100);

/// Why another entry VM could not be reached. No byte of a request has been sent.
#[derive(Clone, Debug, Snafu)]
pub enum ForwardError {
    /// The connection could not be established.
    #[snafu(display("can't connect to {address}: {message}"))]
    Connect {
        /// The address of the other entry VM.
        address: SocketAddr,
        /// Description of the failure.
        message: String,
    },
    /// The process is stopping.
    #[snafu(display("the process is stopping"))]
    Stopping,
}

/// What a forwarded request asks the other entry VM to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardPurpose {
    /// To run it at the group of this place, which the other entry VM owns.
    Owned {
        /// The place of the group.
        place: PlaceName,
    },
    /// To dispatch an action as its primary: the only session that may do so with the ticket that
    /// the action carries.
    Primary,
}

/// Metadata sent along with a forwarded request.
#[derive(Clone, Debug)]
pub struct ForwardHead {
    /// The service requested.
    pub service: ServiceName,
    /// The name of the operation.
    pub operation: String,
    /// The place of the caller.
    pub origin: PlaceName,
    /// The session that the request is addressed to; another incarnation of the same VM refuses
    /// it.
    pub session: SessionId,
    /// Number of times that the request has been forwarded, this one included.
    pub hops: u32,
    /// What the other entry VM is to do.
    pub purpose: ForwardPurpose,
}

type Sender = SendRequest<Full<Bytes>>;
type SenderResult = Result<Sender, ForwardError>;

#[derive(Debug)]
enum Message {
    Connect(SocketAddr, oneshot::Sender<SenderResult>),
    Connected(SocketAddr, SenderResult),
}

/// Handle to the task that owns the connections.
#[derive(Clone, Debug)]
pub struct ForwardClients {
    links: LinkHandle,
    tx: mpsc::UnboundedSender<Message>,
}

impl ForwardClients {
    /// Starts the task, which ends when the last handle is dropped.
    #[must_use]
    pub fn spawn(security: PeerSecurity, links: LinkHandle) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let task = ForwardTask {
            weak_tx: tx.downgrade(),
            security,
            peers: HashMap::new(),
        };
        tokio::spawn(task.run(rx));
        Self { links, tx }
    }

    /// Sends a request to another entry VM, within the limit of the link to its region, and
    /// waits for the head of the answer.
    pub async fn send(
        &self,
        to: &EntryInfo,
        forward: &ForwardHead,
        req: &OutgoingRequest,
        attempt: Attempt<Unsent>,
        now: Instant,
    ) -> Outcome<Response<AnswerBody>> {
        let address = to.forward;
        let deadline = req.deadline.into();
        let mut sender = match tokio::time::timeout_at(deadline, self.connect(address)).await {
            Ok(Ok(sender)) => sender,
            Ok(Err(error)) => {
                log::debug!(event = "owner_unreachable", request_id = req.request_id.as_str(), error = error.to_string().as_str(); "could not connect to the owning entry VM");
                return attempt.refuse(NotRunReason::OwnerUnreachable).into();
            }
            Err(_) => return attempt.refuse(NotRunReason::DeadlineTooShort).into(),
        };
        let from = self.links.own_region();
        let Some(message) = to_message(address, from, forward, req, now) else {
            return attempt.refuse(NotRunReason::MalformedRequest).into();
        };
        let bytes = link_task::head_bytes(message.headers()) + req.body.len() as u64;
        if let Err(wait) = self.links.try_send(&to.region, bytes).await {
            let not_run = attempt.refuse(NotRunReason::LinkLimit);
            return not_run.with_retry_after(wait).into();
        }
        let sent = attempt.sending();
        let answering = sender.try_send_request(message);
        let response = match tokio::time::timeout_at(deadline + FINAL_RESULT_GRACE, answering).await
        {
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => {
                return match error.take_message() {
                    Some(unwritten) => {
                        let unsent = sent.returned_unsent(&unwritten);
                        unsent.refuse(NotRunReason::OwnerUnreachable).into()
                    }
                    None => sent.lost(UnknownReason::OwnerLost).into(),
                };
            }
            Err(_) => return sent.lost(UnknownReason::DeadlinePassed).into(),
        };
        let answered = sent.answered_on_stream();
        match refusal::from_entry(response.headers(), answered) {
            Ok(Refused::NotRun(not_run)) => not_run.into(),
            Ok(Refused::Unknown(unknown)) => unknown.into(),
            Err(answered) => {
                let end = ForwardedObserver {
                    request_id: req.request_id.clone(),
                    owner: address,
                    begun: now,
                    bytes: 0,
                };
                answered.answered(to_response(response, req.deadline, end))
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> SenderResult {
        let (reply, answer) = oneshot::channel();
        let message = Message::Connect(address, reply);
        self.tx.send(message).ok().ok_or(ForwardError::Stopping)?;
        answer.await.unwrap_or(Err(ForwardError::Stopping))
    }
}

fn to_message(
    address: SocketAddr,
    from: &RegionName,
    forward: &ForwardHead,
    req: &OutgoingRequest,
    now: Instant,
) -> Option<Request<Full<Bytes>>> {
    let uri: Uri = format!("http://{address}{}", req.path).parse().ok()?;
    let mut message = Request::new(Full::new(req.body.clone()));
    *message.method_mut() = req.method.clone();
    *message.uri_mut() = uri;
    *message.headers_mut() = req.headers.clone();
    let text = |text: &str| HeaderValue::from_str(text).ok();
    let headers = message.headers_mut();
    headers.insert(header::SERVICE, text(forward.service.as_str())?);
    headers.insert(header::OPERATION, text(&forward.operation)?);
    headers.insert(header::ORIGIN_PLACE, text(forward.origin.as_str())?);
    headers.insert(header::FROM_REGION, text(from.as_str())?);
    headers.insert(header::SESSION, forward.session.0.into());
    headers.insert(header::HOPS, forward.hops.into());
    headers.insert(header::REQUEST_ID, text(&req.request_id)?);
    if let ForwardPurpose::Owned { place } = &forward.purpose {
        headers.insert(header::TARGET_PLACE, text(place.as_str())?);
    }
    let left = req.deadline.saturating_duration_since(now);
    headers.insert(header::DEADLINE_MS, whole_ms(left).into());
    Some(message)
}

fn to_response(
    response: Response<Incoming>,
    deadline: Instant,
    end: ForwardedObserver,
) -> Response<AnswerBody> {
    let (head, body) = response.into_parts();
    let body = answer_body::relay(body, deadline, Box::new(end));
    Response::from_parts(head, body)
}

/// Reports an answer that does not end. This entry VM holds no slot for it that would have to be
/// released.
struct ForwardedObserver {
    request_id: String,
    owner: SocketAddr,
    begun: Instant,
    bytes: u64,
}

impl AnswerObserver for ForwardedObserver {
    fn completed(self: Box<Self>) {}

    fn broken(self: Box<Self>) {}

    fn overdue(self: Box<Self>, by: OverdueBy) {
        let unending = UnendingAnswer {
            part: by.part(),
            request_id: &self.request_id,
            sender: &self.owner.to_string(),
            bytes: self.bytes,
            took: self.begun.elapsed(),
        };
        unending.log();
    }

    fn taken(&mut self, bytes: u64) {
        self.bytes += bytes;
    }
}

#[derive(Debug)]
enum PeerConnection {
    Open(Sender),
    Opening(Vec<oneshot::Sender<SenderResult>>),
}

struct ForwardTask {
    /// Weak, since a strong sender would keep the task alive for ever.
    weak_tx: mpsc::WeakUnboundedSender<Message>,
    security: PeerSecurity,
    peers: HashMap<SocketAddr, PeerConnection>,
}

impl ForwardTask {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = rx.recv().await {
            match message {
                Message::Connect(address, reply) => self.connect(address, reply),
                Message::Connected(address, result) => self.note_connected(address, &result),
            }
        }
    }

    fn connect(&mut self, address: SocketAddr, reply: oneshot::Sender<SenderResult>) {
        match self.peers.get_mut(&address) {
            Some(PeerConnection::Open(sender)) if !sender.is_closed() => {
                let _ = reply.send(Ok(sender.clone()));
            }
            Some(PeerConnection::Opening(waiting)) => waiting.push(reply),
            _ => self.open(address, reply),
        }
    }

    fn open(&mut self, address: SocketAddr, reply: oneshot::Sender<SenderResult>) {
        let Some(tx) = self.weak_tx.upgrade() else {
            return;
        };
        let opening = PeerConnection::Opening(vec![reply]);
        self.peers.insert(address, opening);
        let security = self.security.clone();
        tokio::spawn(async move {
            let result = open(&security, address)
                .await
                .map_err(|error| ForwardError::Connect {
                    address,
                    message: error.to_string(),
                });
            let _ = tx.send(Message::Connected(address, result));
        });
    }

    fn note_connected(&mut self, address: SocketAddr, result: &SenderResult) {
        let waiting = match self.peers.remove(&address) {
            Some(PeerConnection::Opening(waiting)) => waiting,
            Some(PeerConnection::Open(_)) | None => Vec::new(),
        };
        if let Ok(sender) = result {
            let open = PeerConnection::Open(sender.clone());
            self.peers.insert(address, open);
        }
        for reply in waiting {
            let _ = reply.send(result.clone());
        }
    }
}

#[derive(Debug, Snafu)]
enum OpenError {
    #[snafu(display("the connection was not established in time"))]
    Timeout,
    #[snafu(display("{source}"))]
    Socket { source: std::io::Error },
    #[snafu(display("{source}"))]
    Security { source: PeerSecurityError },
    #[snafu(display("{source}"))]
    Handshake { source: hyper::Error },
}

async fn open(security: &PeerSecurity, address: SocketAddr) -> Result<Sender, OpenError> {
    tokio::time::timeout(CONNECT_TIMEOUT, open_without_timeout(security, address))
        .await
        .unwrap_or_else(|_| TimeoutSnafu.fail())
}

async fn open_without_timeout(
    security: &PeerSecurity,
    address: SocketAddr,
) -> Result<Sender, OpenError> {
    security.check_address(address).context(SecuritySnafu)?;
    let stream = TcpStream::connect(address).await.context(SocketSnafu)?;
    stream.set_nodelay(true).context(SocketSnafu)?;
    let stream = security.connect(stream).await.context(SecuritySnafu)?;
    let (sender, connection) = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .handshake(TokioIo::new(stream))
        .await
        .context(HandshakeSnafu)?;
    tokio::spawn(async move {
        // Requests that wait for an answer receive the same error.
        let _ = connection.await;
    });
    Ok(sender)
}
