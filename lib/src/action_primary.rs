//! The primary's half of the protocol that runs each action at most once.
//!
//! Only the session that a ticket names as primary dispatches the ticket's actions. For each action
//! it creates a record, has the backup record the intent, dispatches once, and stores the end. Four
//! rules guarantee at most one run:
//!
//! - A key that has a record is never started again, and no record is dropped before its ticket has
//!   expired by the primary's clock. An action with an expired ticket is never started.
//! - A [`DispatchPermit`] is only created after the backup has recorded the intent.
//! - Once a caller has been told "not run", the record says so, and a late acknowledgement from the
//!   backup has no effect.
//! - A resend of a key that ended as "not run" gets the same answer again. If it could run, a
//!   delayed copy of an earlier message could run after its caller was told "not run" and switched
//!   to a new key.

use std::collections::BTreeSet;

use crate::action_record::ActionEnd;
use crate::action_record::ActionKey;
use crate::action_record::ActionQuery;
use crate::action_record::BackupRecord;
use crate::action_record::Fingerprint;
use crate::action_record::RecordRefusal;
use crate::action_record::RecordState;
use crate::action_record::Resolution;
use crate::action_record::match_request;
use crate::action_store::ActionLimits;
use crate::action_store::ActionSlot;
use crate::action_store::ActionStore;
use crate::action_store::TicketAge;
use crate::id::SessionId;
use crate::outcome::Attempt;
use crate::outcome::NotRunReason;
use crate::outcome::UnknownReason;
use crate::outcome::Unsent;

/// Permits one dispatch of one action. One permit is created for each intent that the backup has
/// recorded, and [`begin`](Self::begin) consumes it.
#[derive(Debug)]
#[must_use]
pub struct DispatchPermit {
    slot: ActionSlot,
}

impl DispatchPermit {
    /// Returns the slot of the record that the dispatch belongs to.
    #[must_use]
    pub const fn slot(&self) -> ActionSlot {
        self.slot
    }

    /// Consumes the permit and returns the attempt that may be sent.
    pub const fn begin(self) -> Attempt<Unsent> {
        Attempt::new()
    }
}

/// What to do with an action that has arrived.
#[derive(Debug)]
pub enum Arrival {
    /// Send the intent to the backup and report its reply for the slot.
    Start {
        /// Slot of the action's record.
        slot: ActionSlot,
        /// Record that the backup must store before the action may be dispatched.
        intent: Box<BackupRecord>,
    },
    /// An earlier copy is in progress; reply with its end.
    Wait(ActionSlot),
    /// Reply immediately.
    Ended(ActionEnd),
}

/// What to do after the backup's reply.
#[derive(Debug)]
pub enum BackupReply {
    /// The intent is recorded; dispatch the action.
    Dispatch(DispatchPermit),
    /// The action will not run: send the record to the backup and the end to the callers.
    Ended(Ended),
    /// Nothing to do: the action's state had already changed before this reply arrived.
    Stale,
}

/// The end of an action, for the waiting callers and for the backup.
#[derive(Clone, Debug)]
pub struct Ended {
    /// End that the callers are told.
    pub end: ActionEnd,
    /// Record for the backup. If it is lost, a stored answer may be unavailable later, but the
    /// action does not run twice.
    pub record: Box<BackupRecord>,
}

#[derive(Debug)]
enum PrimaryState {
    Recording,
    Running,
    Ended(ActionEnd),
}

#[derive(Debug)]
struct PrimaryRecord {
    key: ActionKey,
    /// `None` if the action was refused before its request had been read.
    fingerprint: Option<Fingerprint>,
    state: PrimaryState,
}

impl PrimaryRecord {
    fn current_end(&self) -> ActionEnd {
        match &self.state {
            PrimaryState::Recording | PrimaryState::Running => {
                ActionEnd::Unknown(UnknownReason::ActionRecorded)
            }
            PrimaryState::Ended(end) => end.clone(),
        }
    }
}

/// Holds the records of the actions whose tickets name this process as primary.
#[derive(Debug)]
pub struct ActionPrimary {
    sessions: BTreeSet<SessionId>,
    store: ActionStore<PrimaryRecord>,
    /// Keys without a record are refused if their ticket expires at or before this time.
    closed_until_unix_ms: u64,
}

impl ActionPrimary {
    /// Creates an empty primary. Call it once per process incarnation: a second instance would not
    /// know the records of the first.
    #[must_use]
    pub fn new(limits: ActionLimits) -> Self {
        Self {
            sessions: BTreeSet::new(),
            store: ActionStore::new(limits),
            closed_until_unix_ms: 0,
        }
    }

    /// Adds a session of this process. Records belong to the process rather than to a session, so
    /// tickets that name an earlier, lost session of the same incarnation remain usable.
    pub fn add_session(&mut self, session: SessionId) {
        self.sessions.insert(session);
    }

    /// Returns whether the key's ticket names a session of this process as primary.
    #[must_use]
    pub fn is_primary_of(&self, key: &ActionKey) -> bool {
        let primary = &key.ticket().claims().primary;
        self.sessions.contains(&primary.session)
    }

    /// Returns the number of records.
    #[must_use]
    pub fn records(&self) -> usize {
        self.store.len()
    }

    /// Returns the total size of the stored answers, in bytes.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.store.answer_bytes()
    }

    /// Handles the arrival of an action, whether it is the first copy or a resend.
    pub fn arrive(
        &mut self,
        now_unix_ms: u64,
        key: &ActionKey,
        fingerprint: Fingerprint,
    ) -> Arrival {
        if let Some(arrival) = self.existing_arrival(now_unix_ms, key, Some(&fingerprint)) {
            return arrival;
        }
        let record = PrimaryRecord {
            key: key.clone(),
            fingerprint: Some(fingerprint),
            state: PrimaryState::Recording,
        };
        match self.insert(now_unix_ms, record) {
            Ok(slot) => {
                self.store.pin(slot);
                let intent = Box::new(BackupRecord {
                    key: key.clone(),
                    fingerprint,
                    state: RecordState::Intent,
                });
                Arrival::Start { slot, intent }
            }
            Err(end) => Arrival::Ended(end),
        }
    }

    /// Refuses an action permanently before any of it was recorded. Without this record a delayed
    /// copy could run after the caller was told "not run".
    pub fn refuse(
        &mut self,
        now_unix_ms: u64,
        query: &ActionQuery,
        reason: NotRunReason,
    ) -> Arrival {
        if let Some(arrival) =
            self.existing_arrival(now_unix_ms, &query.key, query.fingerprint.as_ref())
        {
            return arrival;
        }
        let end = ActionEnd::not_run(reason);
        let record = PrimaryRecord {
            key: query.key.clone(),
            fingerprint: query.fingerprint,
            state: PrimaryState::Ended(end.clone()),
        };
        let inserted = self.insert(now_unix_ms, record);
        Arrival::Ended(inserted.map_or_else(|full| full, |_| end))
    }

    /// Applies the backup's reply to an intent.
    pub fn backup_replied(
        &mut self,
        slot: ActionSlot,
        reply: Result<(), RecordRefusal>,
    ) -> BackupReply {
        match reply {
            Ok(()) => self.permit(slot),
            Err(refusal) => self.give_up(slot, reason_of(refusal)),
        }
    }

    /// Ends an action whose intent the backup did not acknowledge in time. The intent may have
    /// reached the backup, and its reply may still arrive; the action does not run in either case.
    pub fn backup_unreachable(&mut self, slot: ActionSlot) -> BackupReply {
        self.give_up(slot, NotRunReason::BackupUnreachable)
    }

    /// Records the end of a dispatch. Returns `None` if no dispatch of this action is in progress.
    pub fn ended(&mut self, slot: ActionSlot, end: ActionEnd) -> Option<Ended> {
        let record = self.store.get(slot)?;
        if !matches!(record.state, PrimaryState::Running) {
            return None;
        }
        let kept = self.store.admit_answer(slot, end.clone());
        let record = self.close(slot, kept)?;
        Some(Ended { end, record })
    }

    /// Answers a query about an action. A key that has no record is refused permanently, so that
    /// "not run" stays true.
    pub fn resolve(&mut self, now_unix_ms: u64, query: &ActionQuery) -> Resolution {
        if !self.is_primary_of(&query.key) {
            return ActionEnd::Unknown(UnknownReason::RecordsUnreachable);
        }
        match self.refuse(now_unix_ms, query, NotRunReason::KeyFenced) {
            Arrival::Ended(end) => end,
            Arrival::Wait(_) | Arrival::Start { .. } => {
                ActionEnd::Unknown(UnknownReason::ActionRecorded)
            }
        }
    }

    /// Drops the records whose tickets expired longer ago than the retention period.
    pub fn purge(&mut self, now_unix_ms: u64) {
        self.store.purge(now_unix_ms);
    }

    fn existing_arrival(
        &self,
        now_unix_ms: u64,
        key: &ActionKey,
        requested: Option<&Fingerprint>,
    ) -> Option<Arrival> {
        if !self.is_primary_of(key) {
            let end = ActionEnd::Unknown(UnknownReason::RecordsUnreachable);
            return Some(Arrival::Ended(end));
        }
        if let Some(slot) = self.store.find(&key.id()) {
            return self.recorded(slot, requested);
        }
        let end = match self.store.age(now_unix_ms, key) {
            TicketAge::Expired => ActionEnd::Unknown(UnknownReason::TicketExpired),
            TicketAge::AheadOfClock => ActionEnd::Unknown(UnknownReason::TicketAheadOfClock),
            TicketAge::Live => return None,
        };
        Some(Arrival::Ended(end))
    }

    fn recorded(&self, slot: ActionSlot, requested: Option<&Fingerprint>) -> Option<Arrival> {
        let record = self.store.get(slot)?;
        let Some(recorded) = record.fingerprint.as_ref() else {
            return Some(Arrival::Ended(record.current_end()));
        };
        let reported = match_request(recorded, requested, &record.current_end());
        let in_progress = !matches!(record.state, PrimaryState::Ended(_));
        if in_progress && requested == Some(recorded) {
            return Some(Arrival::Wait(slot));
        }
        Some(Arrival::Ended(reported))
    }

    /// Adds a record. If the store is full, refusing the request alone would let a delayed copy of
    /// it run later, when there is room again. Refusing all unrecorded keys whose tickets expire no
    /// later than this one makes the refusal permanent in constant memory; tickets from later
    /// look-ups are not affected.
    fn insert(&mut self, now_unix_ms: u64, record: PrimaryRecord) -> Result<ActionSlot, ActionEnd> {
        let key = record.key.clone();
        let expires = key.expires_unix_ms();
        let full = ActionEnd::not_run(NotRunReason::ActionStoreFull);
        if expires <= self.closed_until_unix_ms {
            return Err(full);
        }
        let inserted = self.store.insert(now_unix_ms, &key, record);
        if inserted.is_err() {
            self.closed_until_unix_ms = expires;
        }
        inserted.map_err(|_| full)
    }

    fn permit(&mut self, slot: ActionSlot) -> BackupReply {
        let Some(record) = self.store.get_mut(slot) else {
            return BackupReply::Stale;
        };
        if !matches!(record.state, PrimaryState::Recording) {
            return BackupReply::Stale;
        }
        record.state = PrimaryState::Running;
        BackupReply::Dispatch(DispatchPermit { slot })
    }

    fn give_up(&mut self, slot: ActionSlot, reason: NotRunReason) -> BackupReply {
        let Some(record) = self.store.get(slot) else {
            return BackupReply::Stale;
        };
        if !matches!(record.state, PrimaryState::Recording) {
            return BackupReply::Stale;
        }
        let end = ActionEnd::not_run(reason);
        match self.close(slot, end.clone()) {
            Some(record) => BackupReply::Ended(Ended { end, record }),
            None => BackupReply::Stale,
        }
    }

    fn close(&mut self, slot: ActionSlot, end: ActionEnd) -> Option<Box<BackupRecord>> {
        self.store.unpin(slot);
        let record = self.store.get_mut(slot)?;
        record.state = PrimaryState::Ended(end.clone());
        Some(Box::new(BackupRecord {
            key: record.key.clone(),
            fingerprint: record.fingerprint?,
            state: RecordState::Ended(end),
        }))
    }
}

const fn reason_of(refusal: RecordRefusal) -> NotRunReason {
    match refusal {
        RecordRefusal::Fenced => NotRunReason::KeyFenced,
        RecordRefusal::Full
        | RecordRefusal::Expired
        | RecordRefusal::AheadOfClock
        | RecordRefusal::NotBackup
        | RecordRefusal::Conflict => NotRunReason::BackupRefused,
    }
}
