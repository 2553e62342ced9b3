//! The task that holds this entry VM's shares of the links to other regions.

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

/// Bytes that framing adds to a head, and to each of its headers.
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

/// Reaches the task.
#[derive(Clone, Debug)]
pub struct LinkHandle {
    own: RegionName,
    tx: mpsc::UnboundedSender<Message>,
}

impl LinkHandle {
    /// Starts the task of an entry VM in the region `own`.
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

    /// Returns the region that the entry VM stands in.
    #[must_use]
    pub const fn own_region(&self) -> &RegionName {
        &self.own
    }

    /// Follows a view. A session that wasn't known before starts with fresh shares.
    pub fn apply_view(&self, session: SessionId, view: Arc<ControlView>, step: ViewStep) {
        let _ = self.tx.send(Message::View(session, view, step));
    }

    /// Notes that a revision is settled.
    pub fn settle(&self, revision: Revision) {
        let _ = self.tx.send(Message::Settled(revision));
    }

    /// Takes `bytes` out of the share of the link to `to`. Nothing is counted within a
    /// region.
    ///
    /// # Errors
    ///
    /// Returns the time after which it may be tried again if the share is used up.
    pub async fn try_send(&self, to: &RegionName, bytes: u64) -> Result<(), Duration> {
        if *to == self.own {
            return Ok(());
        }
        let (reply, answer) = oneshot::channel();
        let to = to.clone();
        let _ = self.tx.send(Message::TrySend { to, bytes, reply });
        answer.await.unwrap_or(Ok(()))
    }

    /// Waits until `bytes` may be sent to `to`.
    pub async fn send(self, to: RegionName, bytes: u64) {
        while let Err(wait) = self.try_send(&to, bytes).await {
            tokio::time::sleep(wait.max(Duration::from_millis(1))).await;
        }
    }
}

/// Returns about how many bytes a head takes on the wire.
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
                    // Without a session nothing new is taken; what is still under way
                    // ends by its deadline.
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

/// Lets an answer to another region through as fast as this entry VM's share of the
/// link allows. The share is taken before each piece leaves.
struct PacedBody {
    inner: AnswerBody,
    links: LinkHandle,
    to: RegionName,
    deadline: Instant,
    held: Option<(Frame<Bytes>, BoxFuture<'static, bool>)>,
}

/// Paces `inner`, which goes to the region `to`, and breaks it off at `deadline`.
#[must_use]
pub fn pace(inner: AnswerBody, links: LinkHandle, to: RegionName, deadline: Instant) -> AnswerBody {
    let body = PacedBody {
        inner,
        links,
        to,
        deadline,
        held: None,
    };
    body.boxed_unsync()
}

impl PacedBody {
    /// Returns whether the bytes may leave before the deadline.
    fn permission(&self, bytes: usize) -> BoxFuture<'static, bool> {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let sending = self.links.clone().send(self.to.clone(), bytes);
        let deadline = self.deadline.into();
        async move { tokio::time::timeout_at(deadline, sending).await.is_ok() }.boxed()
    }

    fn poll_held(&mut self, cx: &mut Context<'_>) -> Option<FramePoll> {
        let (_, permission) = self.held.as_mut()?;
        let permitted = match permission.as_mut().poll(cx) {
            Poll::Ready(permitted) => permitted,
            Poll::Pending => return Some(Poll::Pending),
        };
        let (frame, _) = self.held.take()?;
        Some(Poll::Ready(Some(if permitted {
            Ok(frame)
        } else {
            Err(AnswerBodyError::Deadline)
        })))
    }
}

impl Body for PacedBody {
    type Data = Bytes;
    type Error = AnswerBodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> FramePoll {
        let this = self.get_mut();
        if let Some(poll) = this.poll_held(cx) {
            return poll;
        }
        let frame = match Pin::new(&mut this.inner).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => frame,
            other => return other,
        };
        let Some(data) = frame.data_ref() else {
            return Poll::Ready(Some(Ok(frame)));
        };
        let permission = this.permission(data.len());
        this.held = Some((frame, permission));
        this.poll_held(cx).unwrap_or(Poll::Pending)
    }

    fn is_end_stream(&self) -> bool {
        self.held.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let Some((frame, _)) = &self.held else {
            return self.inner.size_hint();
        };
        let held = frame.data_ref().map_or(0, Bytes::len);
        let held = u64::try_from(held).unwrap_or(u64::MAX);
        let inner = self.inner.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(inner.lower() + held);
        if let Some(upper) = inner.upper() {
            hint.set_upper(upper + held);
        }
        hint
    }
}
