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
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use heatherring_lib::answer_bound::AnswerPart;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use snafu::Snafu;
use tokio::time::Sleep;

use crate::link_pacer::PacedStream;

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

    /// Called when the answer broke off.
    fn broken(self: Box<Self>);

    /// Called when the deadline passed before the last byte.
    fn overdue(self: Box<Self>, by: OverdueBy);

    /// Called when a part of the answer with this number of bytes of its body was taken.
    fn taken(&mut self, bytes: u64);
}

/// Who was waited for when the deadline of an answer passed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OverdueBy {
    /// The sender, or this entry VM's link.
    Sender,
    /// The receiver, which took nothing more.
    Receiver,
}

impl OverdueBy {
    /// Returns the name of the part of the answer that is missing, in logs and metrics.
    pub(crate) const fn part(self) -> &'static str {
        match self {
            Self::Sender => AnswerPart::Body.name(),
            Self::Receiver => "unread",
        }
    }
}

/// Time after the last bytes of an answer for which more are awaited past its deadline.
const STALLED_AFTER: Duration = Duration::from_secs(1);

/// Relays an answer frame by frame and reports how it ended.
struct RelayBody {
    inner: Incoming,
    deadline: Pin<Box<Sleep>>,
    end: Option<Box<dyn AnswerObserver>>,
    /// Limits the rate of reading.
    pace: Option<PacedStream>,
    /// When bytes were last read, or could not be read for the pace.
    active_at: tokio::time::Instant,
}

/// Wraps the body of an answer that another process sends.
///
/// `end` is notified of the last byte as soon as it has been read, not only when the receiver
/// polls for more: `hyper` does not poll again once it knows the end.
#[must_use]
pub fn relay(inner: Incoming, deadline: Instant, end: Box<dyn AnswerObserver>) -> AnswerBody {
    relay_at_pace(inner, deadline, None, end)
}

/// Like [`relay`], but reads the answer only as `pace` allows. It is passed on past its deadline
/// while bytes of it arrive.
#[must_use]
pub fn relay_paced(
    inner: Incoming,
    deadline: Instant,
    pace: PacedStream,
    end: Box<dyn AnswerObserver>,
) -> AnswerBody {
    relay_at_pace(inner, deadline, Some(pace), end)
}

fn relay_at_pace(
    inner: Incoming,
    deadline: Instant,
    pace: Option<PacedStream>,
    end: Box<dyn AnswerObserver>,
) -> AnswerBody {
    if inner.is_end_stream() {
        end.completed();
        return empty();
    }
    let deadline = Box::pin(tokio::time::sleep_until(deadline.into()));
    let body = RelayBody {
        inner,
        deadline,
        end: Some(end),
        pace,
        active_at: tokio::time::Instant::now(),
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

    fn poll_pace(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(pace) = &mut self.pace else {
            return Poll::Ready(());
        };
        if pace.poll_allowance(cx).is_pending() {
            self.active_at = tokio::time::Instant::now();
            return Poll::Pending;
        }
        Poll::Ready(())
    }

    fn note_read(&mut self, frame: &Frame<Bytes>) {
        let bytes = frame.data_ref().map_or(0, Bytes::len);
        if let Some(end) = &mut self.end {
            end.taken(u64::try_from(bytes).unwrap_or(u64::MAX));
        }
        self.active_at = tokio::time::Instant::now();
        if let (Some(pace), Some(data)) = (&mut self.pace, frame.data_ref()) {
            pace.note_read(data.len());
        }
    }

    /// Completes when the deadline has passed and, at a limited rate, the answer has stalled.
    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.deadline.as_mut().poll(cx).is_ready() {
            let stalled_at = self.active_at + STALLED_AFTER;
            if self.pace.is_none() || stalled_at <= tokio::time::Instant::now() {
                return Poll::Ready(());
            }
            self.deadline.as_mut().reset(stalled_at);
        }
        Poll::Pending
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
        if this.poll_pace(cx).is_pending() {
            return Poll::Pending;
        }
        match Pin::new(&mut this.inner).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                this.note_read(&frame);
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
            Poll::Pending => this.poll_deadline(cx).map(|()| {
                if let Some(end) = this.end.take() {
                    end.overdue(OverdueBy::Sender);
                }
                Some(Err(AnswerBodyError::Deadline))
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
