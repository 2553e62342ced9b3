//! Bodies of answers that are relayed to a caller.
//!
//! A truncated answer must never look complete. If a backend server or another entry VM breaks
//! off, if the deadline passes or if the stream ends early, the body yields an error instead of
//! ending, and `hyper` then closes the receiver's connection (or resets the stream, in HTTP/2).
//! The receiver detects this by the missing bytes or the missing last chunk.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::task::ready;
use std::time::Instant;

use bytes::Bytes;
use heatherring_lib::answer_bound::AnswerPart;
use heatherring_lib::answer_deadline::AnswerDeadline;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use snafu::Snafu;
use tokio_util::task::AbortOnDropHandle;

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
    /// Bytes that belong to no answer follow the end, so the end is in the wrong place.
    #[snafu(display("the answer goes on behind its end"))]
    Excess,
    /// The deadline passed before the answer was complete.
    #[snafu(display("the deadline passed before the end of the answer"))]
    Deadline,
}

/// Observes how an answer ended. Dropping it without a call means that the answer was abandoned.
pub trait AnswerObserver: Send + 'static {
    /// Returns whether the end of the answer can be believed; asked before its last bytes are passed
    /// on.
    fn is_whole(&self) -> bool {
        true
    }

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

/// Relays an answer frame by frame and reports how it ended.
struct RelayBody {
    relay: SharedRelay,
    /// Ends the answer at its deadline, whether the body is polled or not.
    _ending: AbortOnDropHandle<()>,
}

#[derive(Clone)]
struct SharedRelay(Arc<Mutex<Relay>>);

struct Relay {
    /// `None` after the deadline has passed, so that the sender is let go of although the receiver
    /// does not poll the body.
    source: Option<Source>,
    /// Wakes the receiver.
    waker: Option<Waker>,
}

/// An answer that is being passed on.
struct Source {
    inner: Incoming,
    deadline: AnswerDeadline,
    end: Option<Box<dyn AnswerObserver>>,
    /// Limits the rate of reading.
    pace: Option<PacedStream>,
    /// When bytes were last read.
    active_at: Instant,
    waiting_for: WaitingFor,
}

/// What an answer waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WaitingFor {
    Sender,
    Link,
    Receiver,
}

/// Wraps the body of an answer that another process sends.
///
/// `end` is notified of the last byte as soon as it has been read, not only when the receiver
/// polls for more: `hyper` does not poll again once it knows the end. It is told of the deadline even
/// if the receiver does not poll at all.
#[must_use]
pub fn relay(inner: Incoming, deadline: Instant, end: Box<dyn AnswerObserver>) -> AnswerBody {
    relay_at_pace(inner, AnswerDeadline::strict(deadline), None, end)
}

/// Like [`relay`], but reads the answer only as `pace` allows.
#[must_use]
pub fn relay_paced(
    inner: Incoming,
    deadline: AnswerDeadline,
    pace: PacedStream,
    end: Box<dyn AnswerObserver>,
) -> AnswerBody {
    relay_at_pace(inner, deadline, Some(pace), end)
}

fn relay_at_pace(
    inner: Incoming,
    deadline: AnswerDeadline,
    pace: Option<PacedStream>,
    end: Box<dyn AnswerObserver>,
) -> AnswerBody {
    if inner.is_end_stream() {
        end.completed();
        return empty();
    }
    let source = Source {
        inner,
        deadline,
        end: Some(end),
        pace,
        active_at: now(),
        waiting_for: WaitingFor::Receiver,
    };
    let ends_at = source.ends_at();
    let relay = Arc::new(Mutex::new(Relay {
        source: Some(source),
        waker: None,
    }));
    let ending = tokio::spawn(end_at_deadline(Arc::downgrade(&relay), ends_at));
    let body = RelayBody {
        relay: SharedRelay(relay),
        _ending: AbortOnDropHandle::new(ending),
    };
    body.boxed_unsync()
}

/// Ends an answer once its deadline has passed.
async fn end_at_deadline(relay: Weak<Mutex<Relay>>, mut ends_at: Instant) {
    loop {
        tokio::time::sleep_until(ends_at.into()).await;
        let Some(relay) = relay.upgrade().map(SharedRelay) else {
            return;
        };
        match relay.end_if_overdue() {
            Some(later) => ends_at = later,
            None => return,
        }
    }
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
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

impl SharedRelay {
    fn lock(&self) -> MutexGuard<'_, Relay> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the receiver would take more.
    fn note_polled(&self) {
        if let Some(source) = &mut self.lock().source
            && source.waiting_for == WaitingFor::Receiver
        {
            source.waiting_for = WaitingFor::Sender;
        }
    }

    /// Lets go of the sender if the deadline has passed. Returns when it may have, or `None` if
    /// the answer has ended.
    fn end_if_overdue(&self) -> Option<Instant> {
        let mut relay = self.lock();
        let source = relay.source.as_ref()?;
        source.end.as_ref()?;
        if !source.is_overdue() {
            return Some(source.ends_at());
        }
        let (source, waker) = (relay.source.take(), relay.waker.take());
        drop(relay);
        if let Some(source) = source {
            source.end_overdue();
        }
        if let Some(waker) = waker {
            waker.wake();
        }
        None
    }
}

impl Source {
    fn is_overdue(&self) -> bool {
        self.ends_at() <= now()
    }

    fn ends_at(&self) -> Instant {
        let active_at = match self.waiting_for {
            WaitingFor::Link => now(),
            WaitingFor::Sender | WaitingFor::Receiver => self.active_at,
        };
        self.deadline.ends_at(active_at)
    }

    fn end_overdue(mut self) {
        let is_stalled = AnswerDeadline::is_stalled(self.active_at, now());
        let by = match self.waiting_for {
            WaitingFor::Receiver if is_stalled => OverdueBy::Receiver,
            // Between two parts of an answer that arrives, its end is what is missing.
            WaitingFor::Receiver | WaitingFor::Sender | WaitingFor::Link => OverdueBy::Sender,
        };
        if let Some(end) = self.end.take() {
            end.overdue(by);
        }
    }

    fn is_whole(&self) -> bool {
        self.end.as_ref().is_none_or(|end| end.is_whole())
    }

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

    fn note_read(&mut self, frame: &Frame<Bytes>) {
        self.active_at = now();
        let bytes = frame.data_ref().map_or(0, Bytes::len);
        if let Some(end) = &mut self.end {
            end.taken(u64::try_from(bytes).unwrap_or(u64::MAX));
        }
        if let Some(pace) = &mut self.pace {
            pace.note_read(bytes);
        }
    }

    fn poll_pace(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(pace) = &mut self.pace else {
            return Poll::Ready(());
        };
        let polled = pace.poll_allowance(cx);
        if polled.is_pending() || self.waiting_for == WaitingFor::Link {
            self.active_at = now();
        }
        polled
    }

    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBodyError>>> {
        if self.poll_pace(cx).is_pending() {
            self.waiting_for = WaitingFor::Link;
            return Poll::Pending;
        }
        self.waiting_for = WaitingFor::Sender;
        let polled = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        self.waiting_for = WaitingFor::Receiver;
        match polled {
            Some(Ok(frame)) => {
                self.note_read(&frame);
                if self.inner.is_end_stream() {
                    if !self.is_whole() {
                        self.note_broken();
                        return Poll::Ready(Some(Err(AnswerBodyError::Excess)));
                    }
                    self.note_completed();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(source)) => {
                self.note_broken();
                Poll::Ready(Some(Err(AnswerBodyError::Source { source })))
            }
            None => {
                self.note_completed();
                Poll::Ready(None)
            }
        }
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = AnswerBodyError;

    /// Asks for the deadline first: a sender that always has more to send would put it off.
    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBodyError>>> {
        let this = self.get_mut();
        this.relay.note_polled();
        this.relay.end_if_overdue();
        let mut relay = this.relay.lock();
        let Some(source) = &mut relay.source else {
            return Poll::Ready(Some(Err(AnswerBodyError::Deadline)));
        };
        let polled = source.poll_frame(cx);
        if polled.is_pending() {
            relay.waker = Some(cx.waker().clone());
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        let relay = self.relay.lock();
        let source = relay.source.as_ref();
        source.is_some_and(|source| source.inner.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let relay = self.relay.lock();
        let source = relay.source.as_ref();
        source.map_or_else(SizeHint::default, |source| source.inner.size_hint())
    }
}
