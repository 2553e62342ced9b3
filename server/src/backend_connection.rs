//! Connections to backend servers.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use heatherring_lib::answer_framing;
use heatherring_lib::answer_framing::AnswerFault;
use heatherring_lib::answer_framing::Framing;
use heatherring_lib::answer_pairing::CarriedRequests;
use heatherring_lib::answer_pairing::EchoMatch;
use heatherring_lib::answer_pairing::EchoPolicy;
use heatherring_lib::answer_pairing::EchoedId;
use heatherring_lib::answer_pairing::IdHash;
use heatherring_lib::answer_pairing::SentRequest;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::MayHaveRun;
use heatherring_lib::outcome::Paired;
use heatherring_lib::outcome::UnknownReason;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

use crate::backend_pool::ConnectionPermit;
use crate::backend_stream::AnswerTaker;
use crate::backend_stream::BackendStream;
use crate::backend_stream::StreamUser;
use crate::header;
use crate::metric;
use crate::received_head::ReceivedHead;

/// Time without acknowledgement of sent bytes after which the system breaks a connection:
/// several times the longest round trip between regions, 110 ms.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Size of the HTTP library's read buffer of a connection, which also bounds the head of an answer.
const READ_BUFFER: usize = 64 << 10;

/// Size of that buffer of a connection with a bounded receive buffer. The smallest one that the
/// library permits is half of it.
const PACED_READ_BUFFER: usize = 16 << 10;

/// Tells why no connection to a backend server is available. No byte of the request has been
/// sent in any of these cases.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConnectError {
    /// All connections allowed by the limit are in use.
    #[snafu(display("all {limit} connections to {address} are in use"))]
    LimitReached {
        /// The backend server's address.
        address: SocketAddr,
        /// The limit on connections.
        limit: u32,
    },
    /// The connection was not established in time.
    #[snafu(display("timed out while connecting to {address}"))]
    ConnectTimeout {
        /// The backend server's address.
        address: SocketAddr,
    },
    /// The connection was refused or the server cannot be reached.
    #[snafu(display("cannot connect to {address}"))]
    Connect {
        /// The backend server's address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The connection broke before it could carry a request.
    #[snafu(display("the connection to {address} broke during the HTTP handshake"))]
    Handshake {
        /// The backend server's address.
        address: SocketAddr,
        /// The error of the HTTP library.
        source: hyper::Error,
    },
    /// The pool's task has ended because the process is stopping.
    #[snafu(display("the process is stopping"))]
    PoolGone,
}

/// Tells why a request got no answer that can be acted on. Except for [`Self::Unsent`], it may have
/// run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SendError {
    /// The connection ended before a byte of the request was sent.
    #[snafu(display("the connection ended before the request was sent"))]
    Unsent {
        /// The request, to be sent again.
        req: Box<Request<Full<Bytes>>>,
    },
    /// The connection broke, or what arrived on it is no HTTP.
    #[snafu(display("the connection broke before an answer arrived: {source}"))]
    Lost {
        /// The error of the HTTP library.
        source: hyper::Error,
    },
    /// The answer contradicts itself or does not tell where it ends.
    #[snafu(display("the answer is malformed ({})", fault.name()))]
    Malformed {
        /// Its fault.
        fault: AnswerFault,
    },
}

impl SendError {
    /// Returns what is unknown about the request; it may have run unless [`Self::Unsent`] returns
    /// it.
    pub(crate) const fn unknown_reason(&self) -> UnknownReason {
        match self {
            Self::Unsent { .. } | Self::Lost { .. } => UnknownReason::ConnectionLost,
            Self::Malformed { .. } => UnknownReason::AnswerMalformed,
        }
    }
}

impl From<TrySendError<Request<Full<Bytes>>>> for SendError {
    fn from(mut error: TrySendError<Request<Full<Bytes>>>) -> Self {
        match error.take_message() {
            Some(req) => Self::Unsent { req: Box::new(req) },
            None => Self::Lost {
                source: error.into_error(),
            },
        }
    }
}

impl From<AnswerFault> for SendError {
    fn from(fault: AnswerFault) -> Self {
        Self::Malformed { fault }
    }
}

/// An answer that tells where it ends, with its unread body.
#[derive(Debug)]
pub struct FramedAnswer {
    /// Status and headers.
    pub head: Parts,
    /// What follows the head, unread.
    pub body: Incoming,
    /// Where the body ends.
    pub framing: Framing,
}

/// Options of a new connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectOptions {
    /// Time for establishing it.
    pub timeout: Duration,
    /// Size of its receive buffer, in bytes; `None` for the system's default.
    pub receive_buffer: Option<u32>,
}

/// Holds an open connection; dropping it closes the socket at once, by a reset if a request was
/// sent on it since it was opened or given back to the pool.
#[derive(Debug)]
pub struct BackendConnection {
    pub(crate) address: SocketAddr,
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) reused: bool,
    /// Whether its backend server is known to echo identifiers always.
    known_echo: EchoPolicy,
    /// Whether the latest answer named its request.
    pub(crate) is_named: bool,
    /// Number of requests that were sent on it.
    sent: u32,
    /// Their identifiers.
    pub(crate) carried: CarriedRequests,
    /// Whether it may carry another request: each one that it carried has got an answer that names
    /// it, and it has room to remember another one.
    pub(crate) may_be_kept: bool,
    /// When it was returned to the pool last, or established.
    pub(crate) idle_since: Instant,
    /// How long it was idle before the latest request.
    idle: Duration,
    /// Time that it took to establish the connection.
    established_in: Duration,
    /// Tells the socket about the requests.
    pub(crate) user: StreamUser,
    /// Drives the connection; aborting it on drop closes the socket.
    driver: AbortOnDropHandle<()>,
}

impl ConnectError {
    /// Returns whether the remote system reported that nothing listens at the address.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source, .. } if source.kind() == ErrorKind::ConnectionRefused)
    }
}

impl BackendConnection {
    /// Sends a request with the identifier `id` and waits for the head of an answer.
    ///
    /// # Errors
    ///
    /// The error returns the request if no byte of it was sent. An answer that contradicts itself
    /// is none; the connection is of no use then.
    pub fn send(
        &mut self,
        req: Request<Full<Bytes>>,
        id: Option<&str>,
    ) -> impl Future<Output = Result<FramedAnswer, SendError>> + use<> {
        let is_head = req.method() == Method::HEAD;
        self.sent = self.sent.saturating_add(1);
        if let Some(id) = id {
            self.carried.note(IdHash::of(id));
        }
        self.may_be_kept = false;
        self.user.begin(id, is_head);
        self.idle = self.idle_since.elapsed();
        let answering = self.sender.try_send_request(req);
        let taker = self.user.taker();
        async move {
            let answer = answering.await?;
            taker.note_taken();
            check(answer, is_head, &taker).await
        }
    }

    /// Checks that no bytes that belong to no answer were read behind the end of the latest one.
    /// Those that are read later go unnoticed.
    ///
    /// # Errors
    ///
    /// Returns the fault, after logging it, if there are some. The length of the answer was wrong,
    /// and the connection is of no use.
    pub(crate) fn check_end(&self) -> Result<(), AnswerFault> {
        self.user.taker().check_excess()
    }

    /// Pairs `attempt`, the request with the identifier `id` that was sent last, with the answer
    /// that arrived, which names `echoed`.
    ///
    /// # Errors
    ///
    /// Returns the attempt if the answer does not belong to it. The connection is of no use then.
    pub fn pair(
        &mut self,
        attempt: Attempt<MayHaveRun>,
        id: Option<&str>,
        echoed: EchoedId<'_>,
        echo_policy: EchoPolicy,
    ) -> Result<Paired, Attempt<MayHaveRun>> {
        let sent = SentRequest {
            id,
            is_first: self.carries_first(),
            echo_policy: echo_policy.strictest(self.known_echo),
        };
        let paired = attempt.pair(sent, echoed)?;
        // Answers that name no request cannot be told apart on a kept connection.
        self.is_named = matches!(paired, Paired::Named(_));
        self.may_be_kept = self.is_named && !self.carried.is_full();
        Ok(paired)
    }

    /// Notes that a part of the answer was taken, so that more of it may be read.
    pub(crate) fn note_taken(&self) {
        self.user.note_taken();
    }

    /// Logs and counts the answer as one that did not end in `part`.
    pub(crate) fn log_unending(&self, part: &'static str) {
        self.user.log_unending(part);
    }

    /// Returns whether the request that was sent last is the first on the connection.
    pub(crate) const fn carries_first(&self) -> bool {
        self.sent == 1 && !self.reused
    }

    /// Notes that no byte of the request that was sent last has left, so that the connection is
    /// closed in the ordinary way.
    pub fn note_unsent(&self) {
        self.user.end();
    }

    /// Closes the connection. Returns whether its task has yet to end: one that has ended may have
    /// been counted as closed already.
    pub(crate) fn close(self) -> bool {
        !self.driver.is_finished()
    }

    /// Returns the time that it took to establish the connection: one round trip.
    #[must_use]
    pub const fn established_in(&self) -> Duration {
        self.established_in
    }

    /// Returns the record of an answer with this status that arrived after the latest request.
    pub(crate) const fn received(&self, status: StatusCode, echo: EchoMatch) -> ReceivedHead {
        ReceivedHead {
            status,
            echo,
            position: self.sent,
            idle: self.idle,
        }
    }

    /// Returns whether an earlier request used this connection.
    #[must_use]
    pub const fn is_reused(&self) -> bool {
        self.reused
    }
}

/// Returns an answer whose head has arrived if it can be acted on.
async fn check(
    answer: Response<Incoming>,
    is_to_head: bool,
    taker: &AnswerTaker,
) -> Result<FramedAnswer, SendError> {
    let (mut head, mut body) = answer.into_parts();
    let framing = header::framing(&head, is_to_head).map_err(|fault| taker.log_fault(fault))?;
    header::unify_lengths(&mut head.headers);
    taker.check_excess()?;
    if answer_framing::forbids_content(head.status.as_u16()) {
        // The content would be passed on before its end shows that there is some.
        let has_content = has_content(&mut body).await.context(LostSnafu)?;
        if has_content {
            return Err(taker.log_fault(AnswerFault::Content).into());
        }
    }
    Ok(FramedAnswer {
        head,
        body,
        framing,
    })
}

/// Reads a body until there is content or its end.
async fn has_content(body: &mut Incoming) -> Result<bool, hyper::Error> {
    while let Some(frame) = body.frame().await {
        if frame?.data_ref().is_some_and(|data| !data.is_empty()) {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Opens a connection to the backend server of `permit`.
pub(crate) async fn open(
    permit: ConnectionPermit,
    options: ConnectOptions,
) -> Result<BackendConnection, ConnectError> {
    let address = permit.address();
    let known_echo = permit.known_echo();
    let begun = Instant::now();
    let connecting = connect(address, options.receive_buffer);
    let connected = tokio::time::timeout(options.timeout, connecting).await;
    let result = match &connected {
        Ok(Ok(_)) => "connected",
        Ok(Err(_)) => "refused",
        Err(_) => "timed_out",
    };
    metric::connect(result, begun.elapsed());
    let stream = connected
        .ok()
        .ok_or(ConnectError::ConnectTimeout { address })?
        .context(ConnectSnafu { address })?;
    // Nagle's algorithm could delay a small request until the previous one is acknowledged.
    stream.set_nodelay(true).context(ConnectSnafu { address })?;
    let established_in = begun.elapsed();
    set_user_timeout(&stream);
    let read_buffer = match options.receive_buffer {
        Some(_) => PACED_READ_BUFFER,
        None => READ_BUFFER,
    };
    let mut builder = http1::Builder::new();
    builder.max_buf_size(read_buffer);
    let (stream, user) = BackendStream::new(stream, permit);
    let (sender, connection) = builder
        .handshake(TokioIo::new(stream))
        .await
        .context(HandshakeSnafu { address })?;
    let driver = tokio::spawn(async move {
        // The task that waits for the answer receives the same error.
        let _ = connection.await;
    });
    Ok(BackendConnection {
        address,
        sender,
        reused: false,
        known_echo,
        is_named: false,
        sent: 0,
        carried: CarriedRequests::default(),
        may_be_kept: true,
        idle_since: Instant::now(),
        idle: Duration::ZERO,
        established_in,
        user,
        driver: AbortOnDropHandle::new(driver),
    })
}

/// Connects to `address`, with a receive buffer of `receive_buffer` bytes or the system's default.
/// The buffer bounds the window that is announced while connecting.
async fn connect(address: SocketAddr, receive_buffer: Option<u32>) -> std::io::Result<TcpStream> {
    let Some(receive_buffer) = receive_buffer else {
        return TcpStream::connect(address).await;
    };
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_recv_buffer_size(receive_buffer)?;
    socket.connect(address).await
}

/// Sets the TCP user timeout, so that the system breaks the connection when sent bytes are
/// not acknowledged within [`UNACKNOWLEDGED_TIMEOUT`]. A connection can go silent without a
/// reset; without this only the caller's deadline would end the wait.
fn set_user_timeout(stream: &TcpStream) {
    let millis = u32::try_from(UNACKNOWLEDGED_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    if let Err(error) = rustix::net::sockopt::set_tcp_user_timeout(stream, millis) {
        log::debug!(event = "user_timeout_refused", error:% = error; "cannot set the TCP user timeout of a connection");
    }
}
