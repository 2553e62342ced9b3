//! Bodies of answers that are relayed to a caller.
//!
//! A truncated answer must never look complete. If a backend server or another entry VM breaks
//! off, if the deadline passes or if the stream ends early, the body yields an error instead of
//! ending, and `hyper` then closes the receiver's connection (or resets the stream, in HTTP/2).
//! The receiver detects this by the missing bytes or the missing last chunk.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use snafu::Snafu;
use tokio::time::Sleep;

/// The body of an answer, whether relayed or made by this process.
pub type AnswerBody = UnsyncBoxBody<Bytes, AnswerBodyError>;

/// Why an answer could not be relayed to its end.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum AnswerBodyError {
    /// The sender closed the connection or the transfer failed.
    #[snafu(display("the sender broke off before the end of the answer"))]
    Source {
        /// The error of the connection.
        source: hyper::Error,
    },
    /// The deadline passed before the answer was complete.
    #[snafu(display("the deadline passed before the end of the answer"))]
    Deadline,
}

/// Observes how an answer ended. Dropping it without a call means that the answer was abandoned.
pub trait AnswerObserver: Send + 'static {
    /// Called when the last byte of the answer has been read.
    fn completed(self: Box<Self>);

    /// Called when the answer broke off or its deadline passed.
    fn broken(self: Box<Self>);
}

/// Relays an answer frame by frame and reports how it ended.
struct RelayBody {
    inner: Incoming,
    deadline: Pin<Box<Sleep>>,
    end: Option<Box<dyn AnswerObserver>>,
}

/// Wraps the body of an answer that another process sends.
///
/// `end` is notified of the last byte as soon as it has been read, not only when the receiver
/// polls for more: `hyper` does not poll again once it knows the end.
#[must_use]
pub fn relay(inner: Incoming, deadline: Instant, end: Box<dyn AnswerObserver>) -> AnswerBody {
    if inner.is_end_stream() {
        end.completed();
        return empty();
    }
    let deadline = Box::pin(tokio::time::sleep_until(deadline.into()));
    let body = RelayBody {
        inner,
        deadline,
        end: Some(end),
    };
    body.boxed_unsync()
}

/// Wraps an answer made by this process.
#[must_use]
pub fn full(content: impl Into<Bytes>) -> AnswerBody {
    Full::new(content.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Returns a body without content.
#[must_use]
pub fn empty() -> AnswerBody {
    full(Bytes::new())
}

impl RelayBody {
    fn note_completed(&mut self) {
        if let Some(end) = self.end.take() {
            end.completed();
        }
    }

    fn note_broken(&mut self) {
        if let Some(end) = self.end.take() {
            end.broken();
        }
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = AnswerBodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBodyError>>> {
        let this = self.get_mut();
        match Pin::new(&mut this.inner).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                if this.inner.is_end_stream() {
                    this.note_completed();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(source))) => {
                this.note_broken();
                Poll::Ready(Some(Err(AnswerBodyError::Source { source })))
            }
            Poll::Ready(None) => {
                this.note_completed();
                Poll::Ready(None)
            }
            Poll::Pending => match this.deadline.as_mut().poll(cx) {
                Poll::Ready(()) => {
                    this.note_broken();
                    Poll::Ready(Some(Err(AnswerBodyError::Deadline)))
                }
                Poll::Pending => Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
