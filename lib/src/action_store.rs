//! Bounded in-memory store for the records of actions.

use std::collections::BTreeSet;
use std::collections::HashMap;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::action_record::ActionEnd;
use crate::action_record::ActionId;
use crate::action_record::ActionKey;
use crate::outcome::UnknownReason;
use crate::ticket::MAX_TICKET_MS;

new_key_type! {
    /// Identifies a record in the store.
    pub struct ActionSlot;
}

/// Tolerated clock difference between two VMs, in milliseconds. Beyond it, one VM rejects the
/// other's tickets as expiring too far ahead.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 5 * 60 * 1_000;

/// Limits on the records and answers that a process stores.
#[derive(Clone, Copy, Debug)]
pub struct ActionLimits {
    /// Maximum number of records, including those in progress and fences.
    pub max_records: usize,
    /// Maximum total size of the stored answers, in bytes.
    pub max_answer_bytes: usize,
    /// Maximum time by which a ticket's expiry may lie ahead of this process's clock, in
    /// milliseconds: the longest validity of a ticket plus the tolerated clock difference.
    pub max_ahead_ms: u64,
    /// Time after a ticket's expiry for which its records are still returned, in milliseconds,
    /// unless their room is needed earlier.
    pub retention_ms: u64,
}

impl Default for ActionLimits {
    fn default() -> Self {
        Self {
            max_records: 16_384,
            max_answer_bytes: 16 * 1_024 * 1_024,
            max_ahead_ms: u64::from(MAX_TICKET_MS) + MAX_CLOCK_DIFFERENCE_MS,
            retention_ms: 5 * 60 * 1_000,
        }
    }
}

/// Validity of a ticket by this process's clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TicketAge {
    Live,
    Expired,
    AheadOfClock,
}

/// Indicates that the store is full and every record in it must be kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct StoreFull;

#[derive(Debug)]
pub(crate) struct Stored<R> {
    id: ActionId,
    expires_unix_ms: u64,
    answer_bytes: usize,
    /// Set while the action is in progress; such a record is kept even after its ticket has
    /// expired.
    pinned: bool,
    pub(crate) record: R,
}

/// Stores records by the identifier of their action.
///
/// No record is dropped before its ticket has expired by the clock of the process that holds it,
/// and this clock never goes backwards. Both state machines answer "not run" for a key without a
/// record only while its ticket is valid. So no process forgets that a key was recorded and then
/// reports that it never ran.
#[derive(Debug)]
pub(crate) struct ActionStore<R> {
    limits: ActionLimits,
    stored: SlotMap<ActionSlot, Stored<R>>,
    by_id: HashMap<ActionId, ActionSlot>,
    /// Unpinned records, ordered by the expiry of their tickets.
    by_expiry: BTreeSet<(u64, ActionSlot)>,
    answer_bytes: usize,
}

impl<R> ActionStore<R> {
    pub(crate) fn new(limits: ActionLimits) -> Self {
        Self {
            limits,
            stored: SlotMap::with_key(),
            by_id: HashMap::new(),
            by_expiry: BTreeSet::new(),
            answer_bytes: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.stored.len()
    }

    pub(crate) fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    pub(crate) fn age(&self, now_unix_ms: u64, key: &ActionKey) -> TicketAge {
        let expires = key.expires_unix_ms();
        if expires <= now_unix_ms {
            TicketAge::Expired
        } else if expires > now_unix_ms.saturating_add(self.limits.max_ahead_ms) {
            TicketAge::AheadOfClock
        } else {
            TicketAge::Live
        }
    }

    pub(crate) fn find(&self, id: &ActionId) -> Option<ActionSlot> {
        self.by_id.get(id).copied()
    }

    pub(crate) fn get(&self, slot: ActionSlot) -> Option<&R> {
        self.stored.get(slot).map(|stored| &stored.record)
    }

    pub(crate) fn get_mut(&mut self, slot: ActionSlot) -> Option<&mut R> {
        self.stored.get_mut(slot).map(|stored| &mut stored.record)
    }

    /// Adds a record. If the store is full, drops the record whose ticket expired first.
    pub(crate) fn insert(
        &mut self,
        now_unix_ms: u64,
        key: &ActionKey,
        record: R,
    ) -> Result<ActionSlot, StoreFull> {
        self.purge(now_unix_ms);
        if self.stored.len() >= self.limits.max_records {
            self.drop_oldest_expired(now_unix_ms)?;
        }
        let id = key.id();
        let expires_unix_ms = key.expires_unix_ms();
        let slot = self.stored.insert(Stored {
            id,
            expires_unix_ms,
            answer_bytes: 0,
            pinned: false,
            record,
        });
        self.by_id.insert(id, slot);
        self.by_expiry.insert((expires_unix_ms, slot));
        Ok(slot)
    }

    /// Prevents the record from being dropped, until [`ActionStore::unpin`].
    pub(crate) fn pin(&mut self, slot: ActionSlot) {
        if let Some(stored) = self.stored.get_mut(slot) {
            stored.pinned = true;
            self.by_expiry.remove(&(stored.expires_unix_ms, slot));
        }
    }

    pub(crate) fn unpin(&mut self, slot: ActionSlot) {
        if let Some(stored) = self.stored.get_mut(slot) {
            stored.pinned = false;
            self.by_expiry.insert((stored.expires_unix_ms, slot));
        }
    }

    /// Counts the answer in `end` against the size limit, or replaces it if it does not fit: the
    /// action ran, so the record must say so even without the answer.
    pub(crate) fn admit_answer(&mut self, slot: ActionSlot, end: ActionEnd) -> ActionEnd {
        let ActionEnd::Answer(answer) = &end else {
            return end;
        };
        let size = answer.size();
        let room = self.limits.max_answer_bytes - self.answer_bytes;
        let Some(stored) = self.stored.get_mut(slot) else {
            return end;
        };
        if size > room {
            return ActionEnd::Unknown(UnknownReason::AnswerNotKept);
        }
        stored.answer_bytes += size;
        self.answer_bytes += size;
        end
    }

    /// Drops the records whose tickets expired longer ago than the retention period.
    pub(crate) fn purge(&mut self, now_unix_ms: u64) {
        let retention_ms = self.limits.retention_ms;
        while let Some(&(expires, slot)) = self.by_expiry.first() {
            if expires.saturating_add(retention_ms) > now_unix_ms {
                return;
            }
            self.remove(slot);
        }
    }

    fn drop_oldest_expired(&mut self, now_unix_ms: u64) -> Result<(), StoreFull> {
        let &(expires, slot) = self.by_expiry.first().ok_or(StoreFull)?;
        if expires > now_unix_ms {
            return Err(StoreFull);
        }
        self.remove(slot);
        Ok(())
    }

    fn remove(&mut self, slot: ActionSlot) {
        let Some(stored) = self.stored.remove(slot) else {
            return;
        };
        self.by_id.remove(&stored.id);
        self.by_expiry.remove(&(stored.expires_unix_ms, slot));
        self.answer_bytes -= stored.answer_bytes;
    }
}
