//! Streams to backend servers, which are reset unless their last request has ended.
//!
//! A request that was given up must not run later. After an ordinary close the network still
//! delivers what it holds up, seconds later perhaps; a reset makes that void. Taking the socket out
//! of the HTTP library is not possible while a request is under way, so the stream and its user
//! share the progress of the request, and the one that is dropped last ends the connection.

use std::io;
use std::io::IoSlice;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::answer_bound::AnswerBound;
use heatherring_lib::answer_framing::AnswerFault;
use heatherring_lib::answer_scanner::AnswerScanner;
use rustix::net::sockopt;
use snafu::Snafu;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::backend_pool::ConnectionPermit;
use crate::metric;
use crate::unending_answer::UnendingAnswer;

/// Bytes that are read for an answer before its receiver takes a part of it: an answer that is
/// read as a whole, and a buffer of the HTTP library.
const MAX_BYTES_AHEAD: u64 = 128 << 10;

/// More bytes than permitted were read without anything coming of them.
#[derive(Debug, Snafu)]
#[snafu(display("the answer does not end"))]
struct EndlessError;

/// Whether a request is under way on a stream.
#[derive(Debug, Default)]
enum Progress {
    /// None was sent since the last one ended.
    #[default]
    Ended,
    /// One was sent and has not ended; the user of the stream will tell.
    UnderWay,
    /// The same, and the HTTP library has let go of the socket.
    Left(Socket),
    /// The user of the stream has gone before it ended.
    Withdrawn,
}

/// A socket that is reset when it is dropped.
#[derive(Debug)]
struct Socket {
    stream: TcpStream,
    /// The connection counts until its socket is closed.
    _permit: ConnectionPermit,
}

impl Socket {
    fn new(stream: TcpStream, permit: ConnectionPermit) -> Self {
        // Set from the beginning, it holds if the process is killed as well.
        set_linger(&stream, Some(Duration::ZERO));
        Self {
            stream,
            _permit: permit,
        }
    }

    /// Closes the socket in the ordinary way.
    fn close(self) {
        set_linger(&self.stream, None);
    }
}

fn set_linger(stream: &TcpStream, linger: Option<Duration>) {
    if let Err(error) = sockopt::set_socket_linger(stream, linger) {
        log::debug!(event = "linger_refused", error:% = error; "cannot set how a connection is closed");
    }
}

/// The request under way, or the last one.
#[derive(Debug)]
struct Exchange {
    progress: Progress,
    bound: AnswerBound,
    scanner: AnswerScanner,
    request_id: String,
    begun: Instant,
}

#[derive(Clone, Debug)]
struct SharedExchange(Arc<Mutex<Exchange>>);

impl SharedExchange {
    fn new() -> Self {
        Self(Arc::new(Mutex::new(Exchange {
            progress: Progress::default(),
            bound: AnswerBound::new(MAX_BYTES_AHEAD),
            scanner: AnswerScanner::new(false),
            request_id: String::new(),
            begun: Instant::now(),
        })))
    }

    fn lock(&self) -> MutexGuard<'_, Exchange> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tells a stream about its requests. Dropping it while one is under way resets the connection.
#[derive(Debug)]
pub(crate) struct StreamUser {
    exchange: SharedExchange,
    address: SocketAddr,
}

impl StreamUser {
    /// Notes that a request with the identifier `id` is sent; `is_head` tells whether its method is
    /// `HEAD`.
    pub(crate) fn begin(&self, id: Option<&str>, is_head: bool) {
        let mut exchange = self.exchange.lock();
        if matches!(exchange.progress, Progress::Ended) {
            exchange.progress = Progress::UnderWay;
        }
        exchange.bound.begin();
        exchange.scanner = AnswerScanner::new(is_head);
        exchange.request_id.clear();
        exchange.request_id.push_str(id.unwrap_or_default());
        exchange.begun = Instant::now();
    }

    /// Returns what notes the parts of the answer that are taken.
    pub(crate) fn taker(&self) -> AnswerTaker {
        AnswerTaker {
            exchange: self.exchange.clone(),
            address: self.address,
        }
    }

    /// Notes that a part of the answer was taken.
    pub(crate) fn note_taken(&self) {
        self.exchange.lock().bound.note_taken();
    }

    /// Logs and counts the answer as one that did not end in `part`.
    pub(crate) fn log_unending(&self, part: &'static str) {
        self.exchange.lock().log_unending(part, self.address);
    }

    /// Notes that the request has ended: its answer was read to the last byte, or no byte of it
    /// was sent.
    pub(crate) fn end(&self) {
        let ended = std::mem::take(&mut self.exchange.lock().progress);
        if let Progress::Left(socket) = ended {
            socket.close();
        }
    }
}

impl Drop for StreamUser {
    fn drop(&mut self) {
        let mut exchange = self.exchange.lock();
        if !matches!(exchange.progress, Progress::Ended) {
            exchange.progress = Progress::Withdrawn;
        }
    }
}

/// Notes that parts of an answer are taken, so that more of it may be read.
#[derive(Debug)]
pub(crate) struct AnswerTaker {
    exchange: SharedExchange,
    address: SocketAddr,
}

impl AnswerTaker {
    /// Notes that the head or a part of the body was taken.
    pub(crate) fn note_taken(&self) {
        self.exchange.lock().bound.note_taken();
    }

    /// Checks that no bytes that belong to no answer were read behind the end of this one.
    ///
    /// # Errors
    ///
    /// Returns the fault, after logging it, if there are some.
    pub(crate) fn check_excess(&self) -> Result<(), AnswerFault> {
        if self.exchange.lock().scanner.has_excess() {
            return Err(self.log_fault(AnswerFault::Excess));
        }
        Ok(())
    }

    /// Logs and counts the answer as one that cannot be acted on. Returns the fault.
    pub(crate) fn log_fault(&self, fault: AnswerFault) -> AnswerFault {
        metric::answer_malformed(fault);
        log::info!(
            event = "answer_malformed",
            fault = fault.name(),
            request_id = self.exchange.lock().request_id.as_str(),
            backend = self.address.to_string().as_str();
            "a backend server's answer contradicts itself or does not tell where it ends"
        );
        fault
    }
}

impl Exchange {
    fn note_read(&mut self, bytes: &[u8]) {
        let count = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
        self.bound.note_read(count);
        self.scanner.push(bytes);
    }

    fn log_unending(&self, part: &'static str, address: SocketAddr) {
        let unending = UnendingAnswer {
            part,
            request_id: &self.request_id,
            sender: &address.to_string(),
            bytes: self.bound.read(),
            took: self.begun.elapsed(),
        };
        unending.log();
    }
}

/// A stream to a backend server, for the HTTP library.
#[derive(Debug)]
pub(crate) struct BackendStream {
    /// Present until the stream is dropped.
    socket: Option<Socket>,
    exchange: SharedExchange,
    address: SocketAddr,
}

impl BackendStream {
    /// Wraps a connected stream. It counts as open, by `permit`, until its socket is closed.
    pub(crate) fn new(stream: TcpStream, permit: ConnectionPermit) -> (Self, StreamUser) {
        let exchange = SharedExchange::new();
        let address = permit.address();
        let user = StreamUser {
            exchange: exchange.clone(),
            address,
        };
        let stream = Self {
            socket: Some(Socket::new(stream, permit)),
            exchange,
            address,
        };
        (stream, user)
    }

    /// Returns how many bytes may be read.
    ///
    /// # Errors
    ///
    /// Fails if the answer does not end. The connection is of no use then.
    fn allowed(&self) -> io::Result<usize> {
        let mut exchange = self.exchange.lock();
        let allowed = exchange.bound.allowed();
        if allowed > 0 {
            return Ok(usize::try_from(allowed).unwrap_or(usize::MAX));
        }
        exchange.log_unending(exchange.bound.part().name(), self.address);
        exchange.progress = Progress::Withdrawn;
        Err(io::Error::new(io::ErrorKind::InvalidData, EndlessError))
    }

    fn stream(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        let socket = self.socket.as_mut();
        let socket = socket.ok_or(io::ErrorKind::NotConnected)?;
        Ok(Pin::new(&mut socket.stream))
    }
}

impl Drop for BackendStream {
    fn drop(&mut self) {
        let Some(socket) = self.socket.take() else {
            return;
        };
        let mut exchange = self.exchange.lock();
        match exchange.progress {
            Progress::Ended => socket.close(),
            // The answer may be read to its end already, without the user knowing it yet.
            Progress::UnderWay => exchange.progress = Progress::Left(socket),
            Progress::Left(_) | Progress::Withdrawn => {}
        }
    }
}

impl AsyncRead for BackendStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let allowed = self.allowed()?;
        let before = buf.filled().len();
        if buf.remaining() > allowed {
            let mut part = ReadBuf::new(buf.initialize_unfilled_to(allowed));
            ready!(self.stream()?.poll_read(cx, &mut part))?;
            let bytes = part.filled().len();
            buf.advance(bytes);
        } else {
            ready!(self.stream()?.poll_read(cx, buf))?;
        }
        self.exchange.lock().note_read(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for BackendStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream()?.poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream()?.poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream()?.poll_flush(cx)
    }

    /// Does nothing while a request is under way: the end of the stream would follow it.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !matches!(self.exchange.lock().progress, Progress::Ended) {
            return Poll::Ready(Ok(()));
        }
        self.stream()?.poll_shutdown(cx)
    }
}
