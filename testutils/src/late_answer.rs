//! An answer that is sent once more, where the next answer on its connection is expected.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Buf;
use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::raw_answer;

/// Holds a copy of an answer until the next request arrives on its connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct LateAnswer(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    held: Bytes,
    due: Bytes,
}

impl LateAnswer {
    /// Holds a copy of an answer.
    pub async fn hold(&self, response: &Response<Full<Bytes>>) {
        let copy = raw_answer::whole(response).await;
        self.state().held = copy;
    }

    /// Lets the stream write what is held before anything else.
    pub fn fall_due(&self) {
        let mut state = self.state();
        state.due = std::mem::take(&mut state.held);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Wraps a connection; writes the answer that is due before anything else.
#[derive(Debug)]
pub(crate) struct LateAnswerStream {
    stream: TcpStream,
    late: LateAnswer,
}

impl LateAnswerStream {
    pub const fn new(stream: TcpStream, late: LateAnswer) -> Self {
        Self { stream, late }
    }

    /// Returns the connection itself; an answer that is still held or due is lost.
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }

    fn poll_write_due(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut state = self.late.state();
        while state.due.has_remaining() {
            let written = ready!(Pin::new(&mut self.stream).poll_write(cx, &state.due))?;
            state.due.advance(written);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for LateAnswerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for LateAnswerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_write_due(cx))?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    // Hyper flushes right after it has read a request, so the late answer doesn't wait for the
    // real one.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_write_due(cx))?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
