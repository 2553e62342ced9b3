//! The backup's half of the protocol that runs each action at most once.
//!
//! The backup records each action before the primary dispatches it, and answers queries while the
//! primary is unreachable. Before it answers "not run" for a key that it has no record of, it
//! stores a fence: from then on it refuses the primary's intent for this key, so that a primary
//! that is frozen or partitioned cannot dispatch it later. An intent whose ticket has expired by
//! the backup's clock is refused as well, so a fence need not be kept longer than its ticket is
//! valid.

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
enum BackupEntry {
    Fence,
    Record {
        fingerprint: Fingerprint,
        state: RecordState,
    },
}

/// Holds the records and fences of the actions whose tickets name this process as backup.
#[derive(Debug)]
pub struct ActionBackup {
    sessions: BTreeSet<SessionId>,
    store: ActionStore<BackupEntry>,
}

impl ActionBackup {
    /// Creates an empty backup. Call it once per process incarnation: a second instance would not
    /// know the records of the first.
    #[must_use]
    pub fn new(limits: ActionLimits) -> Self {
        Self {
            sessions: BTreeSet::new(),
            store: ActionStore::new(limits),
        }
    }

    /// Adds a session of this process. Records belong to the process rather than to a session, so
    /// tickets that name an earlier, lost session of the same incarnation remain usable.
    pub fn add_session(&mut self, session: SessionId) {
        self.sessions.insert(session);
    }

    /// Returns whether the key's ticket names a session of this process as backup.
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

    /// Returns the total size of the stored answers, in bytes.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.store.answer_bytes()
    }

    /// Applies a record that the primary sent. Records may arrive late, twice and out of order; a
    /// recorded end is never overwritten.
    ///
    /// # Errors
    ///
    /// Fails if the record cannot be stored. If it is an intent, the primary must not dispatch the
    /// action.
    pub fn record(&mut self, now_unix_ms: u64, record: BackupRecord) -> Result<(), RecordRefusal> {
        if !self.is_backup_of(&record.key) {
            return Err(RecordRefusal::NotBackup);
        }
        match self.store.find(&record.key.id()) {
            Some(slot) => self.update(slot, record),
            None => self.add(now_unix_ms, record),
        }
    }

    /// Answers a query from a process that cannot reach the primary. Fences the key if there is no
    /// record of it.
    pub fn resolve(&mut self, now_unix_ms: u64, query: &ActionQuery) -> Resolution {
        if !self.is_backup_of(&query.key) {
            return ActionEnd::Unknown(UnknownReason::RecordsUnreachable);
        }
        let slot = self.store.find(&query.key.id());
        match slot.and_then(|slot| self.store.get(slot)) {
            Some(entry) => resolve_entry(entry, query.fingerprint.as_ref()),
            None => self.fence(now_unix_ms, &query.key),
        }
    }

    /// Drops the records whose tickets expired longer ago than the retention period.
    pub fn purge(&mut self, now_unix_ms: u64) {
        self.store.purge(now_unix_ms);
    }

    fn add(&mut self, now_unix_ms: u64, record: BackupRecord) -> Result<(), RecordRefusal> {
        match self.store.age(now_unix_ms, &record.key) {
            TicketAge::Expired => return Err(RecordRefusal::Expired),
            TicketAge::AheadOfClock => return Err(RecordRefusal::AheadOfClock),
            TicketAge::Live => {}
        }
        let entry = BackupEntry::Record {
            fingerprint: record.fingerprint,
            state: RecordState::Intent,
        };
        let slot = self
            .store
            .insert(now_unix_ms, &record.key, entry)
            .map_err(|_| RecordRefusal::Full)?;
        if let RecordState::Ended(end) = record.state {
            self.end(slot, end);
        }
        Ok(())
    }

    fn update(&mut self, slot: ActionSlot, record: BackupRecord) -> Result<(), RecordRefusal> {
        let Some(BackupEntry::Record { fingerprint, state }) = self.store.get(slot) else {
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
        if let Some(BackupEntry::Record { state, .. }) = self.store.get_mut(slot) {
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
        match self.store.insert(now_unix_ms, key, BackupEntry::Fence) {
            Ok(_) => ActionEnd::not_run(NotRunReason::KeyFenced),
            Err(_) => ActionEnd::Unknown(UnknownReason::ActionStoreFull),
        }
    }
}

fn resolve_entry(entry: &BackupEntry, requested: Option<&Fingerprint>) -> Resolution {
    let (fingerprint, state) = match entry {
        BackupEntry::Fence => return ActionEnd::not_run(NotRunReason::KeyFenced),
        BackupEntry::Record { fingerprint, state } => (fingerprint, state),
    };
    match state {
        RecordState::Intent => match_request(
            fingerprint,
            requested,
            &ActionEnd::Unknown(UnknownReason::ActionRecorded),
        ),
        RecordState::Ended(end) => match_request(fingerprint, requested, end),
    }
}
