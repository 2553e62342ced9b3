//! Streams to backend servers, which are reset unless their last request has ended.
//!
//! A request that was given up must not run later. After an ordinary close the network still
//! delivers what it holds up, seconds later perhaps; a reset makes that void. Taking the socket out
//! of the HTTP library is not possible while a request is under way, so the stream and its user
//! share the progress of the request, and the one that is dropped last ends the connection.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use rustix::net::sockopt;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::backend_pool::ConnectionPermit;

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

#[derive(Clone, Debug, Default)]
struct SharedProgress(Arc<Mutex<Progress>>);

impl SharedProgress {
    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tells a stream about its requests. Dropping it while one is under way resets the connection.
#[derive(Debug)]
pub(crate) struct StreamUser {
    progress: SharedProgress,
}

impl StreamUser {
    /// Notes that a request is sent.
    pub(crate) fn begin(&self) {
        let mut progress = self.progress.lock();
        if matches!(*progress, Progress::Ended) {
            *progress = Progress::UnderWay;
        }
    }

    /// Notes that the request has ended: its answer was read to the last byte, or no byte of it
    /// was sent.
    pub(crate) fn end(&self) {
        let ended = std::mem::take(&mut *self.progress.lock());
        if let Progress::Left(socket) = ended {
            socket.close();
        }
    }
}

impl Drop for StreamUser {
    fn drop(&mut self) {
        let mut progress = self.progress.lock();
        if !matches!(*progress, Progress::Ended) {
            *progress = Progress::Withdrawn;
        }
    }
}

/// A stream to a backend server, for the HTTP library.
#[derive(Debug)]
pub(crate) struct BackendStream {
    /// Present until the stream is dropped.
    socket: Option<Socket>,
    progress: SharedProgress,
}

impl BackendStream {
    /// Wraps a connected stream. It counts as open, by `permit`, until its socket is closed.
    pub(crate) fn new(stream: TcpStream, permit: ConnectionPermit) -> (Self, StreamUser) {
        let progress = SharedProgress::default();
        let user = StreamUser {
            progress: progress.clone(),
        };
        let stream = Self {
            socket: Some(Socket::new(stream, permit)),
            progress,
        };
        (stream, user)
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
        let mut progress = self.progress.lock();
        match *progress {
            Progress::Ended => socket.close(),
            // The answer may be read to its end already, without the user knowing it yet.
            Progress::UnderWay => *progress = Progress::Left(socket),
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
        self.stream()?.poll_read(cx, buf)
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
        if !matches!(*self.progress.lock(), Progress::Ended) {
            return Poll::Ready(Ok(()));
        }
        self.stream()?.poll_shutdown(cx)
    }
}
