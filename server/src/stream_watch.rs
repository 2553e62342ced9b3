//! Watches the streams of a caller's HTTP/2 connection.
//!
//! The HTTP library keeps a connection for as long as its peer answers pings, and polls the body of
//! an answer only while the stream takes bytes. A caller that does nothing else would keep its
//! connection, and what its answers hold, for ever.

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

use bytes::Bytes;
use heatherring_lib::clock::Clock;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::answer_body::AnswerBody;
use crate::answer_body::AnswerBodyError;

new_key_type! {
    struct StreamKey;
}

/// Tells when a connection is to be closed for want of progress.
#[derive(Debug)]
pub(crate) struct StreamWatch {
    clock: Arc<dyn Clock>,
    state: Mutex<WatchState>,
}

#[derive(Debug)]
struct WatchState {
    /// For each request that is not answered completely, since when its answer waits for the
    /// caller; `None` while the caller waits.
    streams: SlotMap<StreamKey, Option<Instant>>,
    /// When the last request ended, or the connection began.
    idle_since: Instant,
}

impl StreamWatch {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Arc<Self> {
        let state = WatchState {
            streams: SlotMap::with_key(),
            idle_since: clock.now(),
        };
        Arc::new(Self {
            clock,
            state: Mutex::new(state),
        })
    }

    /// Notes that a request arrived.
    pub(crate) fn begin(self: &Arc<Self>) -> WatchedStream {
        WatchedStream {
            key: self.state().streams.insert(None),
            watch: Arc::clone(self),
        }
    }

    /// Completes when the caller has sent no request, or taken nothing of an answer, for `timeout`.
    pub(crate) async fn overdue(&self, timeout: Duration) {
        loop {
            let now = self.clock.now();
            let since = self.state().waits_since();
            if since.is_some_and(|since| since + timeout <= now) {
                return;
            }
            let due = since.map_or(now, |since| since) + timeout;
            tokio::time::sleep_until(due.into()).await;
        }
    }

    fn state(&self) -> MutexGuard<'_, WatchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl WatchState {
    /// Returns since when the connection waits for its caller; `None` while the caller waits.
    fn waits_since(&self) -> Option<Instant> {
        if self.streams.is_empty() {
            return Some(self.idle_since);
        }
        self.streams.values().filter_map(|since| *since).min()
    }
}

/// A request whose answer is not complete.
#[derive(Debug)]
pub(crate) struct WatchedStream {
    key: StreamKey,
    watch: Arc<StreamWatch>,
}

impl WatchedStream {
    /// Watches the body of the answer.
    pub(crate) fn wrap(self, inner: AnswerBody) -> AnswerBody {
        let body = WatchedBody {
            inner,
            stream: self,
        };
        body.boxed_unsync()
    }

    fn set_waiting(&self, since: Option<Instant>) {
        if let Some(waiting) = self.watch.state().streams.get_mut(self.key) {
            *waiting = since;
        }
    }
}

impl Drop for WatchedStream {
    fn drop(&mut self) {
        let now = self.watch.clock.now();
        let mut state = self.watch.state();
        state.streams.remove(self.key);
        state.idle_since = now;
    }
}

struct WatchedBody {
    inner: AnswerBody,
    stream: WatchedStream,
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = AnswerBodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBodyError>>> {
        let this = self.get_mut();
        this.stream.set_waiting(None);
        let frame = ready!(Pin::new(&mut this.inner).poll_frame(cx));
        this.stream.set_waiting(Some(this.stream.watch.clock.now()));
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
