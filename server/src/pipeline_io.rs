//! The two ends of a caller's connection whose requests are read ahead of their answers.
//!
//! `hyper` handles one request of an HTTP/1.1 connection at a time. So one of its server
//! connections reads the requests, and another writes the answers: [`RequestBytes`] is what
//! the first sees, [`AnswerBytes`] what the second does. What the first would write and what
//! the second reads never leaves the process. A single parser, the first connection's, thus
//! decides where each request ends; [`HeadScanner`] follows what it is handed.

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
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;

use crate::answer_body::AnswerBody;

/// What a caller that waits before it sends a body is told.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Holds a request that was read and isn't answered yet. Dropped with its connection, which
/// ends what is under way for it.
#[derive(Debug)]
pub(crate) struct Slot {
    /// Its number on the connection, from 0.
    pub number: u64,
    /// What its answer depends on: `HEAD` has no body, HTTP/1.0 no chunks.
    pub shape: AnswerShape,
    /// What handles it.
    pub handling: AbortOnDropHandle<Response<AnswerBody>>,
    /// Its share of what may be read ahead.
    pub _ahead: Option<Ahead>,
}

/// Holds permits of the connection and of its listener to read one request ahead.
#[derive(Debug)]
pub(crate) struct Ahead {
    pub _connection: OwnedSemaphorePermit,
    pub _listener: OwnedSemaphorePermit,
}

/// Says what a request's head means for the form of its answer.
#[derive(Clone, Debug)]
pub(crate) struct AnswerShape {
    is_head: bool,
    version: Version,
    connection: Option<HeaderValue>,
}

impl AnswerShape {
    /// Takes from a request what its answer depends on.
    pub fn of<B>(req: &Request<B>) -> Self {
        Self {
            is_head: req.method() == Method::HEAD,
            version: req.version(),
            connection: req.headers().get(CONNECTION).cloned(),
        }
    }

    /// Returns the shape of an answer after which the connection ends.
    pub const fn last() -> Self {
        Self {
            is_head: false,
            version: Version::HTTP_11,
            connection: Some(HeaderValue::from_static("close")),
        }
    }

    /// Writes a head that has the connection which writes answers form one for this request.
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

/// Follows how far a connection has come; shared by both ends, which run in one task.
#[derive(Debug)]
pub(crate) struct Progress {
    state: Mutex<ProgressState>,
    heads: Mutex<HeadScanner>,
    clock: Arc<dyn Clock>,
}

/// Says what is being read of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reading {
    /// Heads of requests.
    Heads,
    /// The body of one, until it is whole or given up.
    Body,
    /// Nothing any more.
    Ended,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct ProgressState {
    /// When bytes last came or went.
    pub active_at: Instant,
    /// When bytes last came: the arrival of a head that they complete.
    pub read_at: Instant,
    /// Since when the beginning of a head has been there.
    pub head_since: Option<Instant>,
    /// What is being read.
    pub reading: Reading,
    /// Whether no request is read behind the one that is being read, or behind the first of
    /// the connection.
    pub ending: bool,
    /// Whether the caller has closed its side.
    pub caller_left: bool,
    /// Requests that were read.
    pub read: u64,
    /// Requests whose answers were begun.
    pub answered: u64,
    /// Whether all answers so far have been written to their last byte.
    pub written: bool,
}

impl Progress {
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        let now = clock.now();
        let state = ProgressState {
            active_at: now,
            read_at: now,
            head_since: None,
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

    /// Counts one more request as read, and returns its number, from 0.
    pub fn next_number(&self) -> u64 {
        let mut state = self.state();
        state.read += 1;
        state.read - 1
    }

    /// Says how the head that was just taken announces the end of its body, of which the HTTP
    /// library makes `body_length`. To be asked before anything behind the head is read.
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

    /// Tells why a connection ends, and how many requests end unanswered with it.
    pub fn tell_end(&self, peer: SocketAddr, reason: &str) {
        let unanswered = self.state().unanswered();
        log::debug!(event = "connection_ended", peer:% = peer, unanswered, reason; "a caller's connection ends");
    }

    fn note_written(&self) {
        self.state().active_at = self.clock.now();
    }
}

impl ProgressState {
    /// Returns the number of requests that were read and have no answer yet.
    pub const fn unanswered(&self) -> u64 {
        self.read - self.answered
    }

    /// Returns whether the answer that was begun last is the connection's last one.
    ///
    /// A body may be read on while its request is answered. Without `ending` such an answer
    /// didn't say that the connection closes; its caller sent the next request on it, which was
    /// dropped unread half a second later.
    pub fn is_over(&self) -> bool {
        (self.ending || self.reading == Reading::Ended) && self.unanswered() == 0
    }

    /// Returns whether it is up to the caller to go on.
    pub const fn waits_for_caller(&self) -> bool {
        self.written && self.unanswered() == 0
    }
}

/// Reads what a caller sends, and hands it on in the pieces that [`HeadScanner`] cuts.
#[derive(Debug)]
pub(crate) struct RequestBytes {
    /// What was read of the connection and isn't handed on yet.
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
    /// Drops what is written, which are answers that stand in for the true ones. Only the word
    /// that a body may be sent is passed on: whoever waits for it has no answer before it.
    fn poll_write(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        if buf.starts_with(CONTINUE) {
            // A caller that doesn't get it sends the body a little later.
            let told = self.stream.as_ref().as_ref().try_write(CONTINUE);
            if let Err(error) = told {
                log::debug!(event = "continue_untold", error:% = error; "a caller wasn't told to go on");
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

/// Writes answers to the caller, and reads a head for each request in turn. Ends when no
/// further request is there, so that nothing is kept for a connection that is idle.
#[derive(Debug)]
pub(crate) struct AnswerBytes<'a> {
    next: Option<Slot>,
    slots: &'a mut mpsc::UnboundedReceiver<Slot>,
    turns: &'a Mutex<VecDeque<Slot>>,
    head: Bytes,
    stream: &'a OwnedWriteHalf,
    progress: &'a Progress,
}

impl<'a> AnswerBytes<'a> {
    /// Begins with `first`; requests whose heads were read are put into `turns`.
    pub const fn new(
        first: Slot,
        slots: &'a mut mpsc::UnboundedReceiver<Slot>,
        turns: &'a Mutex<VecDeque<Slot>>,
        stream: &'a OwnedWriteHalf,
        progress: &'a Progress,
    ) -> Self {
        Self {
            next: Some(first),
            slots,
            turns,
            head: Bytes::new(),
            stream,
            progress,
        }
    }

    fn poll_ready(&self, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        self.stream.as_ref().poll_write_ready(cx)
    }

    /// Writes by `write` as soon as the connection takes bytes.
    fn poll_written(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&OwnedWriteHalf) -> std::io::Result<usize>,
    ) -> Poll<std::io::Result<usize>> {
        loop {
            ready!(self.poll_ready(cx))?;
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
            // The next head is asked for once the answer before it has been written.
            let next = this.next.take().or_else(|| this.slots.try_recv().ok());
            let Some(slot) = next else {
                return Poll::Ready(Ok(()));
            };
            this.head = slot.shape.head();
            let mut turns = this.turns.lock().unwrap_or_else(PoisonError::into_inner);
            turns.push_back(slot);
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

    /// Leaves the connection open: the caller may go on.
    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
