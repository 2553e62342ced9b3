//! Task that owns an entry VM's records of actions, both those of which it is the primary and
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

/// Interval between purges of expired records, so that memory is freed even if no more requests
/// arrive.
const PURGE_INTERVAL: Duration = Duration::from_secs(10);

/// What to do with an action that has arrived.
#[derive(Debug)]
pub enum ActionAdmission {
    /// This process is not the primary.
    NotPrimary,
    /// The intent must be recorded at the backup, then the action dispatched.
    Start {
        /// The slot of the action's record.
        slot: ActionSlot,
        /// The intent that the backup must record.
        intent: Box<BackupRecord>,
        /// Receives the end of the action.
        end: oneshot::Receiver<ActionEnd>,
    },
    /// An earlier copy is running; the channel receives its end.
    Wait(oneshot::Receiver<ActionEnd>),
    /// The action has already ended.
    Ended(ActionEnd),
}

/// Whether an action is dispatched after the backup's reply.
#[derive(Debug)]
pub enum DispatchDecision {
    /// The backup has recorded the intent.
    Dispatch(DispatchPermit),
    /// The action will not run; its callers have been notified.
    Abandoned(Ended),
    /// The reply is out of date: the action has already proceeded or ended.
    Stale,
}

#[derive(Debug)]
enum Message {
    Admit(ActionKey, Fingerprint, oneshot::Sender<ActionAdmission>),
    BackupReplied(
        ActionSlot,
        Option<Result<(), RecordRefusal>>,
        oneshot::Sender<DispatchDecision>,
    ),
    Ended(ActionSlot, ActionEnd, oneshot::Sender<Option<Ended>>),
    Record(
        Box<BackupRecord>,
        oneshot::Sender<Result<(), RecordRefusal>>,
    ),
    Resolve(ActionQuery, oneshot::Sender<Resolution>),
    Counts(oneshot::Sender<ActionCounts>),
}

/// Numbers of records and bytes kept for actions.
#[derive(Clone, Copy, Debug, Default)]
pub struct ActionCounts {
    /// Number of records kept as primary.
    pub primary_records: usize,
    /// Number of records and fences kept as backup.
    pub backup_records: usize,
    /// Bytes of stored answers, as primary and as backup.
    pub answer_bytes: usize,
}

/// Handle to the task.
#[derive(Clone, Debug)]
pub struct ActionHandle {
    tx: mpsc::UnboundedSender<Message>,
    anchor: WallAnchor,
    clock: Arc<dyn Clock>,
    runs: TaskTracker,
}

impl ActionHandle {
    /// Starts the task. To be called once per process: the records must be as old as the
    /// sessions that tickets name.
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

    /// Returns the time against which this process validates tickets, in milliseconds since the
    /// Unix epoch.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        self.anchor.unix_ms(self.clock.now())
    }

    /// Returns the tracker of running actions. These are independent of the callers'
    /// connections: a caller that disconnects must find the answer when it resends.
    #[must_use]
    pub const fn runs(&self) -> &TaskTracker {
        &self.runs
    }

    /// Decides what to do with an action that has arrived.
    pub async fn admit(&self, key: ActionKey, fingerprint: Fingerprint) -> ActionAdmission {
        let call = self.request(|reply| Message::Admit(key, fingerprint, reply));
        call.await
            .unwrap_or(ActionAdmission::Ended(ActionEnd::Unknown(
                UnknownReason::RecordsUnreachable,
            )))
    }

    /// Handles the backup's reply to an intent; `None` if there was no reply in time.
    pub async fn backup_replied(
        &self,
        slot: ActionSlot,
        reply: Option<Result<(), RecordRefusal>>,
    ) -> DispatchDecision {
        let call = self.request(|verdict| Message::BackupReplied(slot, reply, verdict));
        call.await.unwrap_or(DispatchDecision::Stale)
    }

    /// Records the end of a dispatch and notifies those that wait for it.
    pub async fn ended(&self, slot: ActionSlot, end: ActionEnd) -> Option<Ended> {
        let call = self.request(|reply| Message::Ended(slot, end, reply));
        call.await.flatten()
    }

    /// Stores a record as backup for another entry VM, which is the primary.
    ///
    /// # Errors
    ///
    /// Fails if the record cannot be kept.
    pub async fn record(&self, record: BackupRecord) -> Result<(), RecordRefusal> {
        let call = self.request(|reply| Message::Record(Box::new(record), reply));
        call.await.unwrap_or(Err(RecordRefusal::NotBackup))
    }

    /// Resolves an action as its primary or its backup, and fences the key if there is no
    /// record.
    pub async fn resolve(&self, query: ActionQuery) -> Resolution {
        let call = self.request(|reply| Message::Resolve(query, reply));
        call.await
            .unwrap_or(ActionEnd::Unknown(UnknownReason::RecordsUnreachable))
    }

    /// Returns the numbers of records and bytes kept.
    pub async fn counts(&self) -> ActionCounts {
        self.request(Message::Counts).await.unwrap_or_default()
    }

    async fn request<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
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
        // The receiver may be gone; the decision holds all the same.
        match message {
            Message::Admit(key, fingerprint, reply) => {
                let _ = reply.send(self.admit(&key, fingerprint));
            }
            Message::BackupReplied(slot, backup_reply, reply) => {
                let _ = reply.send(self.backup_replied(slot, backup_reply));
            }
            Message::Ended(slot, end, reply) => {
                let ended = self.primary.ended(slot, end);
                if let Some(ended) = &ended {
                    self.notify_waiters(slot, &ended.end);
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

    /// Adds the current session of this process. Earlier sessions stay, since their records are
    /// still kept.
    fn note_session(&mut self) {
        if let Some(session) = self.state.read().lease.session() {
            self.primary.add_session(session);
            self.backup.add_session(session);
        }
    }

    fn unix_ms(&self) -> u64 {
        self.anchor.unix_ms(self.clock.now())
    }

    fn admit(&mut self, key: &ActionKey, fingerprint: Fingerprint) -> ActionAdmission {
        if !self.primary.is_primary_of(key) {
            return ActionAdmission::NotPrimary;
        }
        match self.primary.arrive(self.unix_ms(), key, fingerprint) {
            Arrival::Start { slot, intent } => ActionAdmission::Start {
                slot,
                intent,
                end: self.wait(slot),
            },
            Arrival::Wait(slot) => ActionAdmission::Wait(self.wait(slot)),
            Arrival::Ended(end) => ActionAdmission::Ended(end),
        }
    }

    fn wait(&mut self, slot: ActionSlot) -> oneshot::Receiver<ActionEnd> {
        let (tx, rx) = oneshot::channel();
        let waiters = self.waiters.entry(slot).or_default();
        // Callers with short time-outs resend often; waiters that have gone are dropped.
        waiters.retain(|waiter| !waiter.is_closed());
        waiters.push(tx);
        rx
    }

    fn backup_replied(
        &mut self,
        slot: ActionSlot,
        reply: Option<Result<(), RecordRefusal>>,
    ) -> DispatchDecision {
        let decided = match reply {
            Some(reply) => self.primary.backup_replied(slot, reply),
            None => self.primary.backup_unreachable(slot),
        };
        match decided {
            BackupReply::Dispatch(permit) => DispatchDecision::Dispatch(permit),
            BackupReply::Ended(ended) => {
                self.notify_waiters(slot, &ended.end);
                DispatchDecision::Abandoned(ended)
            }
            BackupReply::Stale => DispatchDecision::Stale,
        }
    }

    fn notify_waiters(&mut self, slot: ActionSlot, end: &ActionEnd) {
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
