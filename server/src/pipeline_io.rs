//! Adapters between a caller's pipelined HTTP/1.1 connection and `hyper`.
//!
//! `hyper` handles one request of an HTTP/1.1 connection at a time. So one of its server
//! connections parses the requests, reading through [`RequestBytes`], and another formats the
//! answers, writing through [`AnswerBytes`]. Whatever the first writes and the second reads
//! stays inside the process. Only the first one parses the caller's bytes and decides where
//! each request ends; [`HeadScanner`] scans the bytes that it is given.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Instant;

use bytes::Buf;
use bytes::Bytes;
use heatherring_lib::clock::Clock;
use heatherring_lib::head_scanner::HeadFraming;
use heatherring_lib::head_scanner::HeadScanner;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::Version;
use http::header::CONNECTION;
use hyper::body::Body;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;

use crate::answer_body::AnswerBody;
use crate::http_server::ConnectionLimits;

/// Interim response for a caller that waits for permission to send the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Holds a request that was read but not answered yet. Dropping it, which happens with its
/// connection, aborts its handling.
#[derive(Debug)]
pub(crate) struct PendingAnswer {
    /// Index of the request on the connection, from 0.
    pub number: u64,
    /// Properties that the answer depends on: no body for `HEAD`, no chunks for HTTP/1.0.
    pub shape: AnswerShape,
    /// The task that handles the request.
    pub handling: AbortOnDropHandle<Response<AnswerBody>>,
    /// Permits for reading it ahead of the answers; `None` if it was first in line.
    pub _ahead: Option<ReadAheadPermits>,
}

/// Holds the permits of the connection and of its listener for one request read ahead.
#[derive(Debug)]
pub(crate) struct ReadAheadPermits {
    pub _connection: OwnedSemaphorePermit,
    pub _listener: OwnedSemaphorePermit,
}

/// Holds the properties of a request that determine the format of its answer.
#[derive(Clone, Debug)]
pub(crate) struct AnswerShape {
    is_head: bool,
    version: Version,
    connection: Option<HeaderValue>,
}

impl AnswerShape {
    /// Extracts the properties from a request.
    pub fn of<B>(req: &Request<B>) -> Self {
        Self {
            is_head: req.method() == Method::HEAD,
            version: req.version(),
            connection: req.headers().get(CONNECTION).cloned(),
        }
    }

    /// Returns the shape of an answer that closes the connection.
    pub const fn last() -> Self {
        Self {
            is_head: false,
            version: Version::HTTP_11,
            connection: Some(HeaderValue::from_static("close")),
        }
    }

    /// Returns whether only the close of the connection can end this body.
    pub fn ends_by_close(&self, body: &impl Body) -> bool {
        self.version == Version::HTTP_10 && !self.is_head && body.size_hint().exact().is_none()
    }

    /// Returns a request head that makes the answering `hyper` connection format its answer for
    /// this request.
    fn head(&self) -> Bytes {
        let method = if self.is_head { "HEAD" } else { "GET" };
        let version = match self.version {
            Version::HTTP_10 => "HTTP/1.0",
            _ => "HTTP/1.1",
        };
        let mut head = format!("{method} / {version}\r\n").into_bytes();
        if let Some(connection) = &self.connection {
            head.extend_from_slice(b"connection: ");
            head.extend_from_slice(connection.as_bytes());
            head.extend_from_slice(b"\r\n");
        }
        head.extend_from_slice(b"\r\n");
        head.into()
    }
}

/// Tracks the progress of a connection; shared by its two halves, which run in one task.
#[derive(Debug)]
pub(crate) struct Progress {
    state: Mutex<ProgressState>,
    heads: Mutex<HeadScanner>,
    clock: Arc<dyn Clock>,
}

/// Tells which part of a request is being read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reading {
    /// The head of a request.
    Heads,
    /// The body of a request, until it is complete or abandoned.
    Body,
    /// Nothing; reading has ended.
    Ended,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct ProgressState {
    /// When bytes were last read or written.
    pub active_at: Instant,
    /// When bytes were last read: the arrival time of a head that they complete.
    pub read_at: Instant,
    /// When the first bytes of the incomplete head arrived; `None` without such bytes.
    pub head_since: Option<Instant>,
    /// Since when the connection has taken no byte of an answer; `None` if none waits for it.
    pub blocked_since: Option<Instant>,
    /// The part of a request that is being read.
    pub reading: Reading,
    /// Whether reading stops after the current request, or after the first one of the connection.
    pub ending: bool,
    /// Whether the caller has closed its side of the connection.
    pub caller_left: bool,
    /// Number of requests read.
    pub read: u64,
    /// Number of requests whose answers have been started.
    pub answered: u64,
    /// Whether all answers started so far have been written completely.
    pub written: bool,
}

impl Progress {
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        let now = clock.now();
        let state = ProgressState {
            active_at: now,
            read_at: now,
            head_since: None,
            blocked_since: None,
            reading: Reading::Heads,
            ending: false,
            caller_left: false,
            read: 0,
            answered: 0,
            written: true,
        };
        Self {
            state: Mutex::new(state),
            heads: Mutex::default(),
            clock,
        }
    }

    pub fn state(&self) -> MutexGuard<'_, ProgressState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts one more request as read and returns its index on the connection, from 0.
    pub fn next_number(&self) -> u64 {
        let mut state = self.state();
        state.read += 1;
        state.read - 1
    }

    /// Returns how the head that was just parsed frames its body; `body_length` is the HTTP
    /// library's reading of it. To be called before any byte behind the head is read.
    pub fn finish_head(&self, body_length: Option<u64>) -> HeadFraming {
        self.heads().finish_head(body_length)
    }

    fn heads(&self) -> MutexGuard<'_, HeadScanner> {
        self.heads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    fn note_read(&self, bytes: usize) {
        let now = self.clock.now();
        let mut state = self.state();
        if bytes == 0 {
            state.caller_left = true;
            return;
        }
        state.active_at = now;
        state.read_at = now;
        if state.reading == Reading::Heads && state.head_since.is_none() {
            state.head_since = Some(now);
        }
    }

    /// Logs why a connection ends, and how many of its requests stay unanswered.
    pub fn log_end(&self, peer: SocketAddr, reason: &str) {
        let unanswered = self.state().unanswered();
        log::debug!(event = "connection_ended", peer:% = peer, unanswered, reason; "closed a caller's connection");
    }

    fn note_written(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        state.active_at = now;
        state.blocked_since = None;
    }

    fn note_blocked(&self) {
        let now = self.clock.now();
        self.state().blocked_since.get_or_insert(now);
    }
}

impl ProgressState {
    /// Returns the number of requests that were read and whose answers have not been started.
    pub const fn unanswered(&self) -> u64 {
        self.read - self.answered
    }

    /// Returns whether the answer that was started last is the last one of the connection.
    ///
    /// A request may be answered while its body is still being read. Without the check of
    /// `ending` such an answer did not announce the close of the connection, and its caller sent
    /// another request on it, which was dropped unread half a second later.
    pub fn is_over(&self) -> bool {
        (self.ending || self.reading == Reading::Ended) && self.unanswered() == 0
    }

    /// Returns when the caller has to have sent the next request, or to have taken a part of its
    /// answer; `None` while a request is handled.
    pub fn due(&self, limits: ConnectionLimits) -> Option<Instant> {
        if let Some(since) = self.blocked_since {
            return Some(since + limits.idle_timeout);
        }
        let is_answered = self.written && self.unanswered() == 0;
        is_answered.then(|| match self.head_since {
            Some(since) => since + limits.header_timeout,
            None => self.active_at + limits.idle_timeout,
        })
    }
}

/// Reads what a caller sends, and passes it on in the pieces cut by [`HeadScanner`].
#[derive(Debug)]
pub(crate) struct RequestBytes {
    /// Bytes that were read from the connection and not passed on yet.
    rest: Bytes,
    stream: Arc<OwnedReadHalf>,
    progress: Arc<Progress>,
}

impl RequestBytes {
    pub const fn new(rest: Bytes, stream: Arc<OwnedReadHalf>, progress: Arc<Progress>) -> Self {
        Self {
            rest,
            stream,
            progress,
        }
    }
}

impl AsyncRead for RequestBytes {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let this = self.get_mut();
        if this.rest.has_remaining() {
            let room = this.rest.len().min(buf.remaining());
            let taken = this.progress.heads().next_piece(&this.rest[..room]);
            buf.put_slice(&this.rest.split_to(taken));
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        loop {
            ready!(this.stream.as_ref().as_ref().poll_read_ready(cx))?;
            match this.stream.try_read_buf(buf) {
                Ok(bytes) => {
                    this.progress.note_read(bytes);
                    let read = &buf.filled()[before..];
                    let taken = this.progress.heads().next_piece(read);
                    this.rest = Bytes::copy_from_slice(&read[taken..]);
                    buf.set_filled(before + taken);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(error) => {
                    this.progress.note_read(0);
                    return Poll::Ready(Err(error));
                }
            }
        }
    }
}

impl AsyncWrite for RequestBytes {
    /// Discards what is written, which are placeholder answers. Only `100 Continue` is passed on:
    /// a caller that waits for it has not been answered before.
    fn poll_write(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        if buf.starts_with(CONTINUE) {
            // A caller that does not receive it sends the body after a delay of its own.
            let sent = self.stream.as_ref().as_ref().try_write(CONTINUE);
            if let Err(error) = sent {
                log::debug!(event = "continue_untold", error:% = error; "could not send 100 Continue to a caller");
            }
        }
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Writes answers to the caller, and supplies one request head for each of them in turn. Ends
/// when no request is pending, so that an idle connection needs no buffers.
#[derive(Debug)]
pub(crate) struct AnswerBytes<'a> {
    next: Option<PendingAnswer>,
    pending_answers: &'a mut mpsc::UnboundedReceiver<PendingAnswer>,
    turns: &'a Mutex<VecDeque<PendingAnswer>>,
    head: Bytes,
    stream: &'a OwnedWriteHalf,
    progress: &'a Progress,
}

impl<'a> AnswerBytes<'a> {
    /// Starts with `first`; requests whose heads were supplied are appended to `turns`.
    pub const fn new(
        first: PendingAnswer,
        pending_answers: &'a mut mpsc::UnboundedReceiver<PendingAnswer>,
        turns: &'a Mutex<VecDeque<PendingAnswer>>,
        stream: &'a OwnedWriteHalf,
        progress: &'a Progress,
    ) -> Self {
        Self {
            next: Some(first),
            pending_answers,
            turns,
            head: Bytes::new(),
            stream,
            progress,
        }
    }

    fn poll_ready(&self, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        self.stream.as_ref().poll_write_ready(cx)
    }

    /// Calls `write` as soon as the connection accepts bytes.
    fn poll_written(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&OwnedWriteHalf) -> std::io::Result<usize>,
    ) -> Poll<std::io::Result<usize>> {
        loop {
            if self.poll_ready(cx).is_pending() {
                self.progress.note_blocked();
                return Poll::Pending;
            }
            match write(self.stream) {
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                written => {
                    self.progress.note_written();
                    return Poll::Ready(written);
                }
            }
        }
    }
}

impl AsyncRead for AnswerBytes<'_> {
    fn poll_read(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let this = self.get_mut();
        if !this.head.has_remaining() {
            // The next head is read only once the previous answer has been written.
            let next = this
                .next
                .take()
                .or_else(|| this.pending_answers.try_recv().ok());
            let Some(pending) = next else {
                return Poll::Ready(Ok(()));
            };
            this.head = pending.shape.head();
            let mut turns = this.turns.lock().unwrap_or_else(PoisonError::into_inner);
            turns.push_back(pending);
        }
        let taken = this.head.len().min(buf.remaining());
        buf.put_slice(&this.head.split_to(taken));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for AnswerBytes<'_> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.poll_written(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.poll_written(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// Leaves the connection open, since the caller may send more requests.
    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
