//! Reads the complete body of a request, within limits.
//!
//! A request is offered for a slot only once its body is complete. Slots are few, and a slow
//! upload would otherwise hold one for as long as it takes; a complete body also lets an
//! idempotent request be sent a second time, and lets an action's key be compared with its
//! content.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::FutureExt;
use heatherring_lib::outcome::NotRunReason;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;
use tokio::io::Interest;
use tokio::io::Ready;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::oneshot;

use crate::body_memory::BodyMemory;
use crate::body_memory::BodyMemoryFull;

/// Maximum size of an operator's call in bytes: a manifest of about ten thousand routes.
pub const MAX_OPERATOR_CALL_BYTES: usize = 8 << 20;

/// Maximum size of a backend server's announcement in bytes. A few hundred are usual; a sender
/// of more is not a backend server, and several hundred may send at the same time.
pub const MAX_ANNOUNCEMENT_BYTES: usize = 16 << 10;

/// Time within which a call to control must arrive, besides that for its bytes.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Lowest rate, in bytes per second, at which a call to control may arrive.
const MIN_CALL_RATE: usize = 256 << 10;

/// Why a body could not be read.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The body is larger than allowed.
    #[snafu(display("the body has more than {max_bytes} bytes"))]
    TooLarge {
        /// The largest size allowed.
        max_bytes: usize,
    },
    /// The sender broke off, or sent something else than a body.
    #[snafu(display("the body broke off: {source}"))]
    Broken {
        /// The error of the HTTP library.
        source: hyper::Error,
    },
    /// Other bodies take the memory that it needs.
    #[snafu(display("{source}"))]
    NoMemory {
        /// The reason.
        source: BodyMemoryFull,
    },
    /// The body did not arrive in time.
    #[snafu(display("the body did not arrive in time"))]
    Late,
    /// The sender has closed the connection behind the body.
    #[snafu(display("the sender has left"))]
    Left,
}

impl BodyError {
    /// Returns the status with which a call to control is answered. Only a body that is at fault
    /// itself gets one that ends the call for good.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Broken { .. } | Self::Left => StatusCode::BAD_REQUEST,
            Self::NoMemory { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Late => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

/// The body of a request, together with the signal that holds back the next request on the
/// connection.
#[derive(Debug)]
pub struct RequestBody {
    inner: Incoming,
    memory: BodyMemory,
    /// The connection that it is read from, if the sender's leaving can be seen there.
    stream: Option<Arc<OwnedReadHalf>>,
    /// Dropped with the body, upon which the next request on the connection is read.
    _held: Option<oneshot::Sender<Infallible>>,
}

impl RequestBody {
    /// Creates a body that is read into `memory` and signals nobody.
    #[must_use]
    pub const fn new(inner: Incoming, memory: BodyMemory) -> Self {
        Self {
            inner,
            memory,
            stream: None,
            _held: None,
        }
    }

    /// Returns `req` with a body that is read into `memory` and signals the receiver when it is
    /// dropped, whether it was read or not. A request without a body signals at once.
    #[must_use]
    pub fn hold(
        req: Request<Incoming>,
        memory: BodyMemory,
        stream: Arc<OwnedReadHalf>,
    ) -> (Request<Self>, oneshot::Receiver<Infallible>) {
        let (tx, rx) = oneshot::channel();
        let req = req.map(|inner| {
            let held = (!inner.is_end_stream()).then_some(tx);
            Self {
                inner,
                memory,
                stream: Some(stream),
                _held: held,
            }
        });
        (req, rx)
    }

    fn sender_has_left(&self) -> bool {
        self.stream.as_deref().is_some_and(is_read_closed)
    }
}

/// Returns whether the peer has closed its side of a connection, even if bytes of it are unread.
pub(crate) fn is_read_closed(stream: &OwnedReadHalf) -> bool {
    let ready = stream.ready(Interest::READABLE).now_or_never();
    ready.is_some_and(|ready| ready.is_ok_and(Ready::is_read_closed))
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.get_mut().inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Reads a body of at most `max_bytes` until `deadline`.
///
/// # Errors
///
/// Returns why the request cannot be run: the body is too large, broke off or arrived too late,
/// or there is no memory for it.
pub async fn read(
    body: RequestBody,
    max_bytes: u32,
    deadline: Instant,
) -> Result<Bytes, NotRunReason> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    // A body whose announced size is too large is not read at all.
    if body.size_hint().lower() > u64::from(max_bytes) {
        return Err(NotRunReason::BodyTooLarge);
    }
    let content = collect(body, max_bytes as usize, deadline).await;
    content.map_err(|error| match error {
        BodyError::TooLarge { .. } => NotRunReason::BodyTooLarge,
        BodyError::Broken { .. } | BodyError::Left => NotRunReason::MalformedRequest,
        BodyError::NoMemory { .. } => NotRunReason::Overloaded,
        BodyError::Late => NotRunReason::DeadlineTooShort,
    })
}

/// Reads the body of a call to control, up to `max_bytes`.
///
/// # Errors
///
/// Returns an error if the body is too large, broke off or does not arrive in time, or if there is no
/// memory for it.
pub async fn read_control_call(body: RequestBody, max_bytes: usize) -> Result<Bytes, BodyError> {
    let seconds = u64::try_from(max_bytes / MIN_CALL_RATE).unwrap_or(u64::MAX);
    let deadline = Instant::now() + CALL_TIMEOUT + Duration::from_secs(seconds);
    collect(body, max_bytes, deadline).await
}

/// Copies a body into one buffer. A chunk that is kept by itself keeps the buffer that it was read
/// into, however small it is.
async fn collect(
    mut body: RequestBody,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, BodyError> {
    let mut content = body.memory.buffer();
    let reading = async {
        while let Some(frame) = body.frame().await {
            // Trailers are not passed on.
            let Ok(data) = frame.context(BrokenSnafu)?.into_data() else {
                continue;
            };
            let is_within = content.len().saturating_add(data.len()) <= max_bytes;
            ensure!(is_within, TooLargeSnafu { max_bytes });
            content.push(&data).context(NoMemorySnafu)?;
        }
        Ok(())
    };
    let read = tokio::time::timeout_at(deadline.into(), reading).await;
    read.unwrap_or_else(|_| LateSnafu.fail())?;
    // Bytes behind the body hide the end of the connection from the HTTP library. What the system
    // knows of it is read when tasks yield.
    tokio::task::yield_now().await;
    ensure!(!body.sender_has_left(), LeftSnafu);
    Ok(content.into_bytes())
}
