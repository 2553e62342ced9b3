//! The backup's part in running each action at most once.
//!
//! The backup records what the primary is about to dispatch, and answers those who
//! can't reach the primary. A key that it has never seen it fences before it says
//! "not run": the primary's intent is refused from then on, so the primary, frozen or
//! cut off as it may be, can't dispatch the key. An intent whose ticket has expired
//! here is refused too, which is why fences needn't outlive their tickets.

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
use crate::outcome::NotRunReason;
use crate::outcome::UnknownReason;

#[derive(Debug)]
enum Kept {
    Fence,
    Record {
        fingerprint: Fingerprint,
        state: RecordState,
    },
}

/// Decides for the actions of which this process is the backup.
#[derive(Debug)]
pub struct ActionBackup {
    sessions: BTreeSet<SessionId>,
    store: ActionStore<Kept>,
}

impl ActionBackup {
    /// Starts without records. Call it once in a process's life.
    #[must_use]
    pub fn new(limits: ActionLimits) -> Self {
        Self {
            sessions: BTreeSet::new(),
            store: ActionStore::new(limits),
        }
    }

    /// Adds a session of this process. Records are the process's, so that tickets of an
    /// earlier session that it lost stay good.
    pub fn add_session(&mut self, session: SessionId) {
        self.sessions.insert(session);
    }

    /// Tells whether this process is the backup of the key's ticket.
    #[must_use]
    pub fn is_backup_of(&self, key: &ActionKey) -> bool {
        let backup = &key.ticket().claims().backup;
        self.sessions.contains(&backup.session)
    }

    /// Returns the number of records and fences.
    #[must_use]
    pub fn records(&self) -> usize {
        self.store.len()
    }

    /// Returns the bytes of stored answers.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.store.answer_bytes()
    }

    /// Takes a record of the primary. Records may come late, twice and out of order;
    /// an end is never taken back.
    ///
    /// # Errors
    ///
    /// Fails if the record can't be kept; if it is an intent, the action must not be
    /// dispatched then.
    pub fn record(&mut self, now_unix_ms: u64, record: BackupRecord) -> Result<(), RecordRefusal> {
        if !self.is_backup_of(&record.key) {
            return Err(RecordRefusal::NotBackup);
        }
        match self.store.find(&record.key.id()) {
            Some(slot) => self.update(slot, record),
            None => self.add(now_unix_ms, record),
        }
    }

    /// Answers someone who can't reach the primary, and fences a key that has no record.
    pub fn resolve(&mut self, now_unix_ms: u64, query: &ActionQuery) -> Resolution {
        if !self.is_backup_of(&query.key) {
            return ActionEnd::Unknown(UnknownReason::RecordsUnreachable);
        }
        let slot = self.store.find(&query.key.id());
        match slot.and_then(|slot| self.store.get(slot)) {
            Some(kept) => resolve_kept(kept, query.fingerprint.as_ref()),
            None => self.fence(now_unix_ms, &query.key),
        }
    }

    /// Drops records whose retention is over.
    pub fn purge(&mut self, now_unix_ms: u64) {
        self.store.purge(now_unix_ms);
    }

    fn add(&mut self, now_unix_ms: u64, record: BackupRecord) -> Result<(), RecordRefusal> {
        match self.store.age(now_unix_ms, &record.key) {
            TicketAge::Expired => return Err(RecordRefusal::Expired),
            TicketAge::AheadOfClock => return Err(RecordRefusal::AheadOfClock),
            TicketAge::Live => {}
        }
        let kept = Kept::Record {
            fingerprint: record.fingerprint,
            state: RecordState::Intent,
        };
        let slot = self
            .store
            .insert(now_unix_ms, &record.key, kept)
            .map_err(|_| RecordRefusal::Full)?;
        if let RecordState::Ended(end) = record.state {
            self.end(slot, end);
        }
        Ok(())
    }

    fn update(&mut self, slot: ActionSlot, record: BackupRecord) -> Result<(), RecordRefusal> {
        let Some(Kept::Record { fingerprint, state }) = self.store.get(slot) else {
            return Err(RecordRefusal::Fenced);
        };
        if *fingerprint != record.fingerprint {
            return Err(RecordRefusal::Conflict);
        }
        if let (RecordState::Intent, RecordState::Ended(end)) = (state, record.state) {
            self.end(slot, end);
        }
        Ok(())
    }

    fn end(&mut self, slot: ActionSlot, end: ActionEnd) {
        let end = self.store.admit_answer(slot, end);
        if let Some(Kept::Record { state, .. }) = self.store.get_mut(slot) {
            *state = RecordState::Ended(end);
        }
    }

    fn fence(&mut self, now_unix_ms: u64, key: &ActionKey) -> Resolution {
        match self.store.age(now_unix_ms, key) {
            TicketAge::Expired => return ActionEnd::Unknown(UnknownReason::TicketExpired),
            TicketAge::AheadOfClock => {
                return ActionEnd::Unknown(UnknownReason::TicketAheadOfClock);
            }
            TicketAge::Live => {}
        }
        match self.store.insert(now_unix_ms, key, Kept::Fence) {
            Ok(_) => ActionEnd::not_run(NotRunReason::KeyFenced),
            Err(_) => ActionEnd::Unknown(UnknownReason::ActionStoreFull),
        }
    }
}

fn resolve_kept(kept: &Kept, asked_for: Option<&Fingerprint>) -> Resolution {
    let (fingerprint, state) = match kept {
        Kept::Fence => return ActionEnd::not_run(NotRunReason::KeyFenced),
        Kept::Record { fingerprint, state } => (fingerprint, state),
    };
    match state {
        RecordState::Intent => match_request(
            fingerprint,
            asked_for,
            &ActionEnd::Unknown(UnknownReason::ActionRecorded),
        ),
        RecordState::Ended(end) => match_request(fingerprint, asked_for, end),
    }
}
