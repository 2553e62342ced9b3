//! The primary's part in running each action at most once.
//!
//! Only the session that a ticket names as primary dispatches the ticket's actions.
//! For each it makes a record, has the backup record the intent, dispatches once, and
//! keeps the end. Four rules carry the promise:
//!
//! - A key that has a record is never started again, and no record goes before its
//!   ticket has expired here. An expired ticket starts nothing.
//! - A [`DispatchPermit`] exists only after the backup has recorded the intent.
//! - Once a caller was told "not run", the record says so; a late acknowledgement of
//!   the backup changes nothing.
//! - A resend of a key that proved "not run" gets the same answer again. Letting it run
//!   would let a delayed copy of an earlier message run after its caller was told
//!   "not run" and took a new key.

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

/// Permits one dispatch of one action. There is one for each intent that the backup
/// has recorded, and using it consumes it.
#[derive(Debug)]
#[must_use]
pub struct DispatchPermit {
    slot: ActionSlot,
}

impl DispatchPermit {
    /// Returns the record that the dispatch belongs to.
    #[must_use]
    pub const fn slot(&self) -> ActionSlot {
        self.slot
    }

    /// Uses the permit.
    pub const fn begin(self) -> Attempt<Unsent> {
        Attempt::new()
    }
}

/// Tells what to do with an action that has arrived.
#[derive(Debug)]
pub enum Arrival {
    /// Send the record to the backup and report the reply for the slot.
    Start {
        /// The action's record.
        slot: ActionSlot,
        /// What the backup must record.
        intent: Box<BackupRecord>,
    },
    /// An earlier copy is under way; answer with its end.
    Wait(ActionSlot),
    /// Answer at once.
    Ended(ActionEnd),
}

/// Tells what to do after the backup's reply.
#[derive(Debug)]
pub enum BackupReply {
    /// The intent is recorded: dispatch.
    Dispatch(DispatchPermit),
    /// The action won't run; tell the backup by this record and the callers by its end.
    Ended(Ended),
    /// Nothing: the action had gone on before this reply came.
    Stale,
}

/// Carries an action's end to those who wait for it and to the backup.
#[derive(Clone, Debug)]
pub struct Ended {
    /// What the callers are told.
    pub end: ActionEnd,
    /// What the backup is to keep. Losing it costs an answer, not a second run.
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
    /// `None` for a key that was refused before its request was read.
    fingerprint: Option<Fingerprint>,
    state: PrimaryState,
}

impl PrimaryRecord {
    fn end_so_far(&self) -> ActionEnd {
        match &self.state {
            PrimaryState::Recording | PrimaryState::Running => {
                ActionEnd::Unknown(UnknownReason::ActionRecorded)
            }
            PrimaryState::Ended(end) => end.clone(),
        }
    }
}

/// Decides for the actions of which this process is the primary.
#[derive(Debug)]
pub struct ActionPrimary {
    sessions: BTreeSet<SessionId>,
    store: ActionStore<PrimaryRecord>,
    /// No key without a record is started if its ticket ends at or before this time.
    closed_until_unix_ms: u64,
}

impl ActionPrimary {
    /// Starts without records. Call it once in a process's life.
    #[must_use]
    pub fn new(limits: ActionLimits) -> Self {
        Self {
            sessions: BTreeSet::new(),
            store: ActionStore::new(limits),
            closed_until_unix_ms: 0,
        }
    }

    /// Adds a session of this process. Records are the process's, so that tickets of an
    /// earlier session that it lost stay good.
    pub fn add_session(&mut self, session: SessionId) {
        self.sessions.insert(session);
    }

    /// Tells whether this process is the primary of the key's ticket.
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

    /// Returns the bytes of stored answers.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.store.answer_bytes()
    }

    /// Takes an action that has arrived, for the first time or again.
    pub fn arrive(
        &mut self,
        now_unix_ms: u64,
        key: &ActionKey,
        fingerprint: Fingerprint,
    ) -> Arrival {
        if let Some(known) = self.known(now_unix_ms, key, Some(&fingerprint)) {
            return known;
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

    /// Refuses an action before any of it was recorded, for good. Without this record a
    /// delayed copy could run after the caller was told "not run".
    pub fn refuse(
        &mut self,
        now_unix_ms: u64,
        query: &ActionQuery,
        reason: NotRunReason,
    ) -> Arrival {
        if let Some(known) = self.known(now_unix_ms, &query.key, query.fingerprint.as_ref()) {
            return known;
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

    /// Takes the backup's reply to an intent.
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

    /// Notes that the backup didn't reply in time. The intent may have arrived there,
    /// and the reply may still come; neither lets the action run any more.
    pub fn backup_unreachable(&mut self, slot: ActionSlot) -> BackupReply {
        self.give_up(slot, NotRunReason::BackupUnreachable)
    }

    /// Takes the end of a dispatch.
    pub fn ended(&mut self, slot: ActionSlot, end: ActionEnd) -> Option<Ended> {
        let record = self.store.get(slot)?;
        if !matches!(record.state, PrimaryState::Running) {
            return None;
        }
        let kept = self.store.admit_answer(slot, end.clone());
        let record = self.close(slot, kept)?;
        Some(Ended { end, record })
    }

    /// Answers someone who asks the primary rather than sending the action.
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

    /// Drops records whose retention is over.
    pub fn purge(&mut self, now_unix_ms: u64) {
        self.store.purge(now_unix_ms);
    }

    fn known(
        &self,
        now_unix_ms: u64,
        key: &ActionKey,
        asked_for: Option<&Fingerprint>,
    ) -> Option<Arrival> {
        if !self.is_primary_of(key) {
            let end = ActionEnd::Unknown(UnknownReason::RecordsUnreachable);
            return Some(Arrival::Ended(end));
        }
        if let Some(slot) = self.store.find(&key.id()) {
            return self.recorded(slot, asked_for);
        }
        let end = match self.store.age(now_unix_ms, key) {
            TicketAge::Expired => ActionEnd::Unknown(UnknownReason::TicketExpired),
            TicketAge::AheadOfClock => ActionEnd::Unknown(UnknownReason::TicketAheadOfClock),
            TicketAge::Live => return None,
        };
        Some(Arrival::Ended(end))
    }

    fn recorded(&self, slot: ActionSlot, asked_for: Option<&Fingerprint>) -> Option<Arrival> {
        let record = self.store.get(slot)?;
        let Some(recorded) = record.fingerprint.as_ref() else {
            return Some(Arrival::Ended(record.end_so_far()));
        };
        let told = match_request(recorded, asked_for, &record.end_so_far());
        let under_way = !matches!(record.state, PrimaryState::Ended(_));
        if under_way && asked_for == Some(recorded) {
            return Some(Arrival::Wait(slot));
        }
        Some(Arrival::Ended(told))
    }

    /// Adds a record. When there is no room, a bare refusal would let a delayed copy of
    /// the request run later, when there is room again. Closing all unrecorded keys
    /// whose tickets end no later than this one's makes the refusal final in constant
    /// memory; tickets of later look-ups aren't touched.
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
