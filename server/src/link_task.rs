//! Task that owns this entry VM's budgets on the links to other regions.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use heatherring_lib::admission::ViewStep;
use heatherring_lib::clock::Clock;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::SessionId;
use heatherring_lib::link_budget::LinkBudgets;
use heatherring_lib::view::ControlView;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::answer_body::AnswerBody;
use crate::answer_body::AnswerBodyError;

/// Estimated framing overhead of a head and of each of its headers, in bytes.
const HEAD_OVERHEAD: usize = 64;
const HEADER_OVERHEAD: usize = 4;

#[derive(Debug)]
enum Message {
    View(SessionId, Arc<ControlView>, ViewStep),
    Settled(Revision),
    TrySend {
        to: RegionName,
        bytes: u64,
        reply: oneshot::Sender<Result<(), Duration>>,
    },
}

/// Sends messages to the link task.
#[derive(Clone, Debug)]
pub struct LinkHandle {
    own: RegionName,
    tx: mpsc::UnboundedSender<Message>,
}

impl LinkHandle {
    /// Spawns the task of an entry VM in the region `own`.
    #[must_use]
    pub fn spawn(own: RegionName, clock: Arc<dyn Clock>) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let task = LinkTask {
            clock,
            session: None,
        };
        tokio::spawn(task.run(rx));
        Self { own, tx }
    }

    /// Returns the region of this entry VM.
    #[must_use]
    pub const fn own_region(&self) -> &RegionName {
        &self.own
    }

    /// Applies a view. A new session starts with full budgets.
    pub fn apply_view(&self, session: SessionId, view: Arc<ControlView>, step: ViewStep) {
        let _ = self.tx.send(Message::View(session, view, step));
    }

    /// Records that all entry VMs have applied `revision`.
    pub fn settle(&self, revision: Revision) {
        let _ = self.tx.send(Message::Settled(revision));
    }

    /// Takes `bytes` from the budget of the link to `to`. Traffic within the region is not limited.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry if the budget is exhausted.
    pub async fn try_send(&self, to: &RegionName, bytes: u64) -> Result<(), Duration> {
        if *to == self.own {
            return Ok(());
        }
        let (reply, answer) = oneshot::channel();
        let to = to.clone();
        let _ = self.tx.send(Message::TrySend { to, bytes, reply });
        answer.await.unwrap_or(Ok(()))
    }

    /// Waits until the budget allows `bytes` to be sent to `to`.
    pub async fn send(self, to: RegionName, bytes: u64) {
        while let Err(wait) = self.try_send(&to, bytes).await {
            tokio::time::sleep(wait.max(Duration::from_millis(1))).await;
        }
    }
}

/// Returns the approximate size of a head on the wire, in bytes.
#[must_use]
pub fn head_bytes(headers: &HeaderMap) -> u64 {
    let bytes: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD)
        .sum();
    u64::try_from(bytes + HEAD_OVERHEAD).unwrap_or(u64::MAX)
}

struct SessionLinks {
    session: SessionId,
    budgets: LinkBudgets,
}

struct LinkTask {
    clock: Arc<dyn Clock>,
    session: Option<SessionLinks>,
}

impl LinkTask {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = rx.recv().await {
            match message {
                Message::View(session, view, step) => self.apply_view(session, &view, step),
                Message::Settled(revision) => {
                    if let Some(links) = &mut self.session {
                        links.budgets.settle(self.clock.now(), revision);
                    }
                }
                Message::TrySend { to, bytes, reply } => {
                    let now = self.clock.now();
                    // Without a session no new requests are accepted; those in flight end by their
                    // deadline.
                    let result = match &mut self.session {
                        Some(links) => links.budgets.try_send(now, &to, bytes),
                        None => Ok(()),
                    };
                    let _ = reply.send(result);
                }
            }
        }
    }

    fn apply_view(&mut self, session: SessionId, view: &ControlView, step: ViewStep) {
        let known = self.session.take().filter(|known| known.session == session);
        let mut links = known.unwrap_or_else(|| SessionLinks {
            session,
            budgets: LinkBudgets::new(session),
        });
        links.budgets.apply_view(view, step);
        self.session = Some(links);
    }
}

type FramePoll = Poll<Option<Result<Frame<Bytes>, AnswerBodyError>>>;

/// Sends an answer to another region at the rate allowed by this entry VM's budget of the link.
/// The budget is charged before each piece is sent.
struct RateLimitedBody {
    inner: AnswerBody,
    links: LinkHandle,
    to: RegionName,
    deadline: Instant,
    waiting: Option<(Frame<Bytes>, BoxFuture<'static, bool>)>,
}

/// Limits the rate of `inner`, which goes to the region `to`, and cuts it off at `deadline`.
#[must_use]
pub fn pace(inner: AnswerBody, links: LinkHandle, to: RegionName, deadline: Instant) -> AnswerBody {
    let body = RateLimitedBody {
        inner,
        links,
        to,
        deadline,
        waiting: None,
    };
    body.boxed_unsync()
}

impl RateLimitedBody {
    /// Waits for budget for the bytes; returns whether it was granted before the deadline.
    fn wait_for_budget(&self, bytes: usize) -> BoxFuture<'static, bool> {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let sending = self.links.clone().send(self.to.clone(), bytes);
        let deadline = self.deadline.into();
        async move { tokio::time::timeout_at(deadline, sending).await.is_ok() }.boxed()
    }

    fn poll_waiting(&mut self, cx: &mut Context<'_>) -> Option<FramePoll> {
        let (_, wait_for_budget) = self.waiting.as_mut()?;
        let permitted = match wait_for_budget.as_mut().poll(cx) {
            Poll::Ready(permitted) => permitted,
            Poll::Pending => return Some(Poll::Pending),
        };
        let (frame, _) = self.waiting.take()?;
        Some(Poll::Ready(Some(if permitted {
            Ok(frame)
        } else {
            Err(AnswerBodyError::Deadline)
        })))
    }
}

impl Body for RateLimitedBody {
    type Data = Bytes;
    type Error = AnswerBodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> FramePoll {
        let this = self.get_mut();
        if let Some(poll) = this.poll_waiting(cx) {
            return poll;
        }
        let frame = match Pin::new(&mut this.inner).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => frame,
            other => return other,
        };
        let Some(data) = frame.data_ref() else {
            return Poll::Ready(Some(Ok(frame)));
        };
        let wait_for_budget = this.wait_for_budget(data.len());
        this.waiting = Some((frame, wait_for_budget));
        this.poll_waiting(cx).unwrap_or(Poll::Pending)
    }

    fn is_end_stream(&self) -> bool {
        self.waiting.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let Some((frame, _)) = &self.waiting else {
            return self.inner.size_hint();
        };
        let waiting = frame.data_ref().map_or(0, Bytes::len);
        let waiting = u64::try_from(waiting).unwrap_or(u64::MAX);
        let inner = self.inner.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(inner.lower() + waiting);
        if let Some(upper) = inner.upper() {
            hint.set_upper(upper + waiting);
        }
        hint
    }
}
