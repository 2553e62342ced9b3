//! Task that owns the schedule of large answers on this entry VM's link.

use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::answer_size::AnswerKind;
use heatherring_lib::clock::Clock;
use heatherring_lib::duration_text::whole_ms;
use heatherring_lib::link_load::LinkLoad;
use heatherring_lib::link_schedule;
use heatherring_lib::link_schedule::LinkSchedule;
use heatherring_lib::link_schedule::StreamKey;
use heatherring_lib::link_schedule::StreamOrder;
use slotmap::SecondaryMap;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::log_writer::ROUTINE;
use crate::metric;

/// Interval at which the load is published while nothing happens.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(250);

/// Backlog from which the load is logged.
const LOGGED_BACKLOG_SECONDS: f64 = 0.5;

/// Interval between log lines on the backlog.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
enum Message {
    Begin {
        bytes: u64,
        objective: Instant,
        ends_at: Instant,
        grants: mpsc::UnboundedSender<u32>,
        reply: oneshot::Sender<StreamKey>,
    },
    Request(StreamKey),
    End(StreamEnd),
    Small {
        bytes: u64,
    },
}

/// What became of a stream.
#[derive(Clone, Copy, Debug)]
struct StreamEnd {
    stream: StreamKey,
    /// Bytes that were granted and not read.
    unused: u64,
    /// Bytes that were read.
    read: u64,
    took: Duration,
    /// Time that it waited for the link.
    waited: Duration,
}

/// Sends messages to the task.
#[derive(Clone, Debug)]
pub struct LinkPacer {
    rate: f64,
    tx: mpsc::UnboundedSender<Message>,
    load: watch::Receiver<LinkLoad>,
}

impl LinkPacer {
    /// Spawns the task for a link that carries `rate` bytes per second in each direction. It ends
    /// when all handles are dropped.
    #[must_use]
    pub fn spawn(rate: f64, clock: Arc<dyn Clock>) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let (load_tx, load) = watch::channel(LinkLoad::default());
        let task = PacerTask {
            schedule: LinkSchedule::new(rate, StreamOrder::default(), clock.now()),
            grants: SecondaryMap::new(),
            logged_at: clock.now(),
            clock,
            load: load_tx,
        };
        tokio::spawn(task.run(rx));
        Self { rate, tx, load }
    }

    /// Returns the load of the link.
    #[must_use]
    pub fn load(&self) -> watch::Receiver<LinkLoad> {
        self.load.clone()
    }

    /// Returns whether the link can pass on an answer of `bytes` until `end`.
    #[must_use]
    pub fn can_carry(&self, bytes: u64, end: Instant) -> bool {
        let left = end.saturating_duration_since(Instant::now());
        link_schedule::can_carry(self.rate, bytes, left)
    }

    /// Adds an answer of which `bytes` are still to be read, that should be complete by `objective`
    /// and ends at `ends_at` at the latest.
    pub async fn begin(&self, bytes: u64, objective: Instant, ends_at: Instant) -> PacedStream {
        let (grants_tx, grants) = mpsc::unbounded_channel();
        let (reply, answer) = oneshot::channel();
        // A send fails only when the task has ended together with its process.
        let _ = self.tx.send(Message::Begin {
            bytes,
            objective,
            ends_at,
            grants: grants_tx,
            reply,
        });
        PacedStream {
            key: answer.await.unwrap_or_default(),
            tx: self.tx.clone(),
            grants,
            allowance: 0,
            read: 0,
            begun: Instant::now(),
            waiting_since: None,
            waited: Duration::ZERO,
        }
    }

    /// Records the bytes of a small answer or a request, which are not scheduled.
    pub fn note_small(&self, bytes: u64) {
        let _ = self.tx.send(Message::Small { bytes });
    }
}

/// The right of one answer to its part of the link. Dropping it frees that part.
#[derive(Debug)]
pub struct PacedStream {
    key: StreamKey,
    tx: mpsc::UnboundedSender<Message>,
    grants: mpsc::UnboundedReceiver<u32>,
    /// Bytes that may be read; negative after a larger read.
    allowance: i64,
    read: u64,
    begun: Instant,
    waiting_since: Option<Instant>,
    waited: Duration,
}

impl PacedStream {
    /// Waits until more bytes may be read.
    pub fn poll_allowance(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.allowance <= 0 {
            let since = *self.waiting_since.get_or_insert_with(|| {
                let _ = self.tx.send(Message::Request(self.key));
                Instant::now()
            });
            match ready!(self.grants.poll_recv(cx)) {
                Some(bytes) => self.allowance += i64::from(bytes),
                // The task has ended together with its process.
                None => return Poll::Ready(()),
            }
            self.waited += since.elapsed();
            self.waiting_since = None;
        }
        Poll::Ready(())
    }

    /// Records that bytes were read.
    pub fn note_read(&mut self, bytes: usize) {
        self.allowance -= i64::try_from(bytes).unwrap_or(i64::MAX);
        self.read += u64::try_from(bytes).unwrap_or(u64::MAX);
    }
}

impl Drop for PacedStream {
    fn drop(&mut self) {
        let still_waiting = self.waiting_since.map(|since| since.elapsed());
        let _ = self.tx.send(Message::End(StreamEnd {
            stream: self.key,
            unused: u64::try_from(self.allowance).unwrap_or(0),
            read: self.read,
            took: self.begun.elapsed(),
            waited: self.waited + still_waiting.unwrap_or_default(),
        }));
    }
}

struct PacerTask {
    schedule: LinkSchedule,
    grants: SecondaryMap<StreamKey, mpsc::UnboundedSender<u32>>,
    clock: Arc<dyn Clock>,
    load: watch::Sender<LinkLoad>,
    logged_at: Instant,
}

impl PacerTask {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Message>) {
        loop {
            let now = self.clock.now();
            let publish_at = now + PUBLISH_INTERVAL;
            let wake_at = self.schedule.next_grant_at().unwrap_or(publish_at);
            tokio::select! {
                biased;
                message = rx.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = tokio::time::sleep_until(wake_at.min(publish_at).into()) => self.end_abandoned(),
            }
            self.grant();
            self.publish();
        }
    }

    fn handle(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Begin {
                bytes,
                objective,
                ends_at,
                grants,
                reply,
            } => {
                let key = self.schedule.begin(now, bytes, objective);
                self.schedule.end_by(key, ends_at);
                self.grants.insert(key, grants);
                if reply.send(key).is_err() {
                    self.schedule.end(key, 0);
                    self.grants.remove(key);
                }
            }
            Message::Request(key) => self.schedule.request(now, key),
            Message::End(end) => self.end(end),
            Message::Small { bytes } => {
                metric::link_bytes(AnswerKind::Small, bytes);
                self.schedule.note_small(now, bytes);
            }
        }
    }

    fn end(&mut self, end: StreamEnd) {
        self.schedule.end(end.stream, end.unused);
        self.grants.remove(end.stream);
        log::info!(
            target: ROUTINE,
            event = "stream_ended",
            bytes = end.read,
            took_ms = whole_ms(end.took),
            waited_ms = whole_ms(end.waited);
            "a large answer was passed on or broke off"
        );
    }

    fn grant(&mut self) {
        while let Some((key, bytes)) = self.schedule.grant(self.clock.now()) {
            metric::link_bytes(AnswerKind::Large, bytes.into());
            if let Some(grants) = self.grants.get(key) {
                // A stream that has ended says so in a message of its own.
                let _ = grants.send(bytes);
            }
        }
    }

    /// Removes streams whose requester left before it learned their keys, and which therefore end
    /// without a message.
    fn end_abandoned(&mut self) {
        let grants = self.grants.iter();
        let closed = grants.filter(|(_, grants)| grants.is_closed());
        let closed: Vec<StreamKey> = closed.map(|(key, _)| key).collect();
        for key in closed {
            self.schedule.end(key, 0);
            self.grants.remove(key);
        }
    }

    fn publish(&mut self) {
        let now = self.clock.now();
        let load = self.schedule.load(now);
        let waiting = self.schedule.waiting();
        metric::link_load(load, waiting);
        self.load.send_replace(load);
        let is_due = now.saturating_duration_since(self.logged_at) >= LOG_INTERVAL;
        if load.backlog >= LOGGED_BACKLOG_SECONDS && is_due {
            self.logged_at = now;
            log::info!(event = "link_backlog", used = load.used, backlog_seconds = load.backlog, streams = self.grants.len(), waiting; "large answers wait for the link");
        }
    }
}
