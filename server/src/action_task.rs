//! Owns an entry VM's records of actions, both those of which it is the primary and
//! those of which it is the backup.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::action_backup::ActionBackup;
use heatherring_lib::action_primary::ActionPrimary;
use heatherring_lib::action_primary::Arrival;
use heatherring_lib::action_primary::BackupReply;
use heatherring_lib::action_primary::DispatchPermit;
use heatherring_lib::action_primary::Ended;
use heatherring_lib::action_record::ActionEnd;
use heatherring_lib::action_record::ActionKey;
use heatherring_lib::action_record::ActionQuery;
use heatherring_lib::action_record::BackupRecord;
use heatherring_lib::action_record::Fingerprint;
use heatherring_lib::action_record::RecordRefusal;
use heatherring_lib::action_record::Resolution;
use heatherring_lib::action_store::ActionLimits;
use heatherring_lib::action_store::ActionSlot;
use heatherring_lib::clock::Clock;
use heatherring_lib::outcome::UnknownReason;
use heatherring_lib::wall_anchor::WallAnchor;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_util::task::TaskTracker;

use crate::entry_state::EntryStateReader;

/// Time between looks for records that may go, so that memory shrinks when nothing
/// arrives any more.
const PURGE_INTERVAL: Duration = Duration::from_secs(10);

/// Tells what to do with an action that has arrived.
#[derive(Debug)]
pub enum Taken {
    /// This process isn't the primary.
    Elsewhere,
    /// Record the intent at the backup, then dispatch.
    Start {
        /// The action's record.
        slot: ActionSlot,
        /// What the backup must record.
        intent: Box<BackupRecord>,
        /// Yields the end, once there is one.
        end: oneshot::Receiver<ActionEnd>,
    },
    /// An earlier copy is under way; its end comes here.
    Wait(oneshot::Receiver<ActionEnd>),
    /// There is nothing to wait for.
    Ended(ActionEnd),
}

/// Tells whether to dispatch after the backup's reply.
#[derive(Debug)]
pub enum Verdict {
    /// The intent is recorded.
    Dispatch(DispatchPermit),
    /// The action won't run; its callers have been told.
    GivenUp(Ended),
    /// The action has gone on without this reply.
    Stale,
}

#[derive(Debug)]
enum Message {
    Take(ActionKey, Fingerprint, oneshot::Sender<Taken>),
    BackupReplied(
        ActionSlot,
        Option<Result<(), RecordRefusal>>,
        oneshot::Sender<Verdict>,
    ),
    Ended(ActionSlot, ActionEnd, oneshot::Sender<Option<Ended>>),
    Record(
        Box<BackupRecord>,
        oneshot::Sender<Result<(), RecordRefusal>>,
    ),
    Resolve(ActionQuery, oneshot::Sender<Resolution>),
    Counts(oneshot::Sender<ActionCounts>),
}

/// Holds how much is kept of actions.
#[derive(Clone, Copy, Debug, Default)]
pub struct ActionCounts {
    /// Records as primary.
    pub primary_records: usize,
    /// Records and fences as backup.
    pub backup_records: usize,
    /// Bytes of stored answers, as both.
    pub answer_bytes: usize,
}

/// Reaches the task.
#[derive(Clone, Debug)]
pub struct ActionHandle {
    tx: mpsc::UnboundedSender<Message>,
    anchor: WallAnchor,
    clock: Arc<dyn Clock>,
    runs: TaskTracker,
}

impl ActionHandle {
    /// Starts the task. Call it once in a process's life: the records must be as old as
    /// the sessions that tickets name.
    #[must_use]
    pub fn spawn(state: EntryStateReader, clock: Arc<dyn Clock>, limits: ActionLimits) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let anchor = WallAnchor::new(clock.wall(), clock.now());
        let handle = Self {
            tx,
            anchor,
            clock: Arc::clone(&clock),
            runs: TaskTracker::new(),
        };
        let task = ActionTask {
            state,
            clock,
            anchor,
            primary: ActionPrimary::new(limits),
            backup: ActionBackup::new(limits),
            waiters: HashMap::new(),
        };
        tokio::spawn(task.run(rx));
        handle
    }

    /// Returns the time by which this process judges tickets, in milliseconds since the
    /// Unix epoch.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        self.anchor.unix_ms(self.clock.now())
    }

    /// Returns what follows the runs of actions. They don't belong to the callers'
    /// connections: a caller that goes away must find the answer when it resends.
    #[must_use]
    pub const fn runs(&self) -> &TaskTracker {
        &self.runs
    }

    /// Takes an action that has arrived.
    pub async fn take(&self, key: ActionKey, fingerprint: Fingerprint) -> Taken {
        let asked = self.ask(|reply| Message::Take(key, fingerprint, reply));
        asked.await.unwrap_or(Taken::Ended(ActionEnd::Unknown(
            UnknownReason::RecordsUnreachable,
        )))
    }

    /// Takes the backup's reply to an intent; `None` when there was none in time.
    pub async fn backup_replied(
        &self,
        slot: ActionSlot,
        reply: Option<Result<(), RecordRefusal>>,
    ) -> Verdict {
        let asked = self.ask(|verdict| Message::BackupReplied(slot, reply, verdict));
        asked.await.unwrap_or(Verdict::Stale)
    }

    /// Takes the end of a dispatch, and tells those who wait for it.
    pub async fn ended(&self, slot: ActionSlot, end: ActionEnd) -> Option<Ended> {
        let asked = self.ask(|reply| Message::Ended(slot, end, reply));
        asked.await.flatten()
    }

    /// Takes a record of another entry VM that is the primary.
    ///
    /// # Errors
    ///
    /// Fails if the record can't be kept.
    pub async fn record(&self, record: BackupRecord) -> Result<(), RecordRefusal> {
        let asked = self.ask(|reply| Message::Record(Box::new(record), reply));
        asked.await.unwrap_or(Err(RecordRefusal::NotBackup))
    }

    /// Answers a question about an action, whichever part this process has in it, and
    /// fences the key if there is no record.
    pub async fn resolve(&self, query: ActionQuery) -> Resolution {
        let asked = self.ask(|reply| Message::Resolve(query, reply));
        asked
            .await
            .unwrap_or(ActionEnd::Unknown(UnknownReason::RecordsUnreachable))
    }

    /// Returns how much is kept.
    pub async fn counts(&self) -> ActionCounts {
        self.ask(Message::Counts).await.unwrap_or_default()
    }

    async fn ask<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.tx.send(message(reply)).ok()?;
        answer.await.ok()
    }
}

struct ActionTask {
    state: EntryStateReader,
    clock: Arc<dyn Clock>,
    anchor: WallAnchor,
    primary: ActionPrimary,
    backup: ActionBackup,
    waiters: HashMap<ActionSlot, Vec<oneshot::Sender<ActionEnd>>>,
}

impl ActionTask {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Message>) {
        let mut purge = tokio::time::interval(PURGE_INTERVAL);
        loop {
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _ = purge.tick() => self.purge(),
            }
        }
    }

    fn handle(&mut self, message: Message) {
        self.note_session();
        // Whoever asked may have gone away; what was decided holds all the same.
        match message {
            Message::Take(key, fingerprint, reply) => {
                let _ = reply.send(self.take(&key, fingerprint));
            }
            Message::BackupReplied(slot, backup_reply, reply) => {
                let _ = reply.send(self.backup_replied(slot, backup_reply));
            }
            Message::Ended(slot, end, reply) => {
                let ended = self.primary.ended(slot, end);
                if let Some(ended) = &ended {
                    self.tell(slot, &ended.end);
                }
                let _ = reply.send(ended);
            }
            Message::Record(record, reply) => {
                let _ = reply.send(self.backup.record(self.unix_ms(), *record));
            }
            Message::Resolve(query, reply) => {
                let _ = reply.send(self.resolve(&query));
            }
            Message::Counts(reply) => {
                let _ = reply.send(self.counts());
            }
        }
    }

    /// Takes note of the session that this process has now. It never forgets an earlier
    /// one, whose records it still has.
    fn note_session(&mut self) {
        if let Some(session) = self.state.read().lease.session() {
            self.primary.add_session(session);
            self.backup.add_session(session);
        }
    }

    fn unix_ms(&self) -> u64 {
        self.anchor.unix_ms(self.clock.now())
    }

    fn take(&mut self, key: &ActionKey, fingerprint: Fingerprint) -> Taken {
        if !self.primary.is_primary_of(key) {
            return Taken::Elsewhere;
        }
        match self.primary.arrive(self.unix_ms(), key, fingerprint) {
            Arrival::Start { slot, intent } => Taken::Start {
                slot,
                intent,
                end: self.wait(slot),
            },
            Arrival::Wait(slot) => Taken::Wait(self.wait(slot)),
            Arrival::Ended(end) => Taken::Ended(end),
        }
    }

    fn wait(&mut self, slot: ActionSlot) -> oneshot::Receiver<ActionEnd> {
        let (tx, rx) = oneshot::channel();
        let waiters = self.waiters.entry(slot).or_default();
        // Impatient callers resend often; those who went away needn't be kept.
        waiters.retain(|waiter| !waiter.is_closed());
        waiters.push(tx);
        rx
    }

    fn backup_replied(
        &mut self,
        slot: ActionSlot,
        reply: Option<Result<(), RecordRefusal>>,
    ) -> Verdict {
        let decided = match reply {
            Some(reply) => self.primary.backup_replied(slot, reply),
            None => self.primary.backup_unreachable(slot),
        };
        match decided {
            BackupReply::Dispatch(permit) => Verdict::Dispatch(permit),
            BackupReply::Ended(ended) => {
                self.tell(slot, &ended.end);
                Verdict::GivenUp(ended)
            }
            BackupReply::Stale => Verdict::Stale,
        }
    }

    fn tell(&mut self, slot: ActionSlot, end: &ActionEnd) {
        for waiter in self.waiters.remove(&slot).unwrap_or_default() {
            let _ = waiter.send(end.clone());
        }
    }

    fn resolve(&mut self, query: &ActionQuery) -> Resolution {
        let now_unix_ms = self.unix_ms();
        if self.primary.is_primary_of(&query.key) {
            self.primary.resolve(now_unix_ms, query)
        } else {
            self.backup.resolve(now_unix_ms, query)
        }
    }

    fn counts(&self) -> ActionCounts {
        ActionCounts {
            primary_records: self.primary.records(),
            backup_records: self.backup.records(),
            answer_bytes: self.primary.answer_bytes() + self.backup.answer_bytes(),
        }
    }

    fn purge(&mut self) {
        let now_unix_ms = self.unix_ms();
        self.primary.purge(now_unix_ms);
        self.backup.purge(now_unix_ms);
    }
}
