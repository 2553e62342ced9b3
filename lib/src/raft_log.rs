//! The replicated log of one replica: a snapshot, the entries after it, and the
//! memberships that they contain.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::id::ReplicaId;
use crate::id::Revision;
use crate::id::Term;
use crate::raft_config::DurableState;
use crate::raft_config::GapSnafu;
use crate::raft_config::RaftError;
use crate::raft_config::TermOrderSnafu;
use crate::raft_message::LogEntry;
use crate::raft_message::LogPayload;
use crate::raft_message::LogPosition;
use crate::raft_message::Membership;
use crate::raft_message::Snapshot;

/// Number of entries before a snapshot that are kept in memory, so that a replica which
/// is only slightly behind needs no snapshot.
const TRAILING_ENTRIES: usize = 256;

/// Limit on the bytes of these entries. With a limit on their number only, several hundred
/// large manifests would be kept in memory.
const TRAILING_BYTES: usize = 4 << 20;

/// Contains the log in memory, as it will be on disk once all writes so far are synced.
#[derive(Debug)]
pub(crate) struct RaftLog {
    snapshot: Option<Arc<Snapshot>>,
    /// The position before the first entry in `entries`.
    base: LogPosition,
    entries: VecDeque<LogEntry>,
    /// Memberships with the indexes of their entries, in order. The first is that of the
    /// snapshot and is never removed.
    memberships: Vec<(Revision, Membership)>,
    /// Index of the last entry that is durable, as are all before it.
    persisted: Revision,
}

impl RaftLog {
    /// Loads the log from its durable state.
    pub fn new(durable: DurableState) -> Result<Self, RaftError> {
        let mut log = Self {
            snapshot: None,
            base: LogPosition::default(),
            entries: VecDeque::new(),
            memberships: vec![(Revision(0), Membership::default())],
            persisted: Revision(0),
        };
        if let Some(snapshot) = durable.snapshot {
            log.restore(Arc::new(snapshot));
        }
        for entry in durable.entries {
            log.check_next(&entry)?;
            log.append(entry);
        }
        let last = log.last();
        log.persisted = last.index;
        if last.term > durable.hard_state.term {
            return TermOrderSnafu {
                index: last.index,
                found: last.term,
                before: durable.hard_state.term,
            }
            .fail();
        }
        Ok(log)
    }

    fn check_next(&self, entry: &LogEntry) -> Result<(), RaftError> {
        let last = self.last();
        let expected = last.index.next();
        if entry.index != expected {
            return GapSnafu {
                expected,
                found: entry.index,
            }
            .fail();
        }
        if entry.term < last.term {
            return TermOrderSnafu {
                index: entry.index,
                found: entry.term,
                before: last.term,
            }
            .fail();
        }
        Ok(())
    }

    /// Returns the position of the last entry, or `base` if there is none.
    pub fn last(&self) -> LogPosition {
        self.entries.back().map_or(self.base, LogEntry::position)
    }

    /// Returns the term at an index; `None` if it is compacted or past the end of the log.
    pub fn term_at(&self, index: Revision) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Returns the entry at an index; `None` if it is compacted or past the end of the log.
    pub fn entry(&self, index: Revision) -> Option<&LogEntry> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns copies of the entries from index `from` on, up to `max_bytes` in total, but
    /// at least one if there is any.
    pub fn batch(&self, from: Revision, max_bytes: usize) -> Vec<LogEntry> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while let Some(entry) = self.entry(index) {
            bytes += entry.size();
            if bytes > max_bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
            index = index.next();
        }
        batch
    }

    /// Returns the first index of the run of entries with the same term as `index`, but not
    /// less than `floor`.
    pub fn first_of_term(&self, index: Revision, floor: Revision) -> Revision {
        let term = self.term_at(index);
        let mut first = index;
        while first > floor {
            let before = Revision(first.0 - 1);
            if self.term_at(before) != term {
                break;
            }
            first = before;
        }
        first
    }

    /// Returns the index of the last entry that is durable, as are all before it.
    pub fn persisted(&self) -> Revision {
        self.persisted
    }

    /// Records that the log is durable up to `position`, unless that entry was replaced since.
    pub fn set_persisted(&mut self, position: LogPosition) {
        if self.term_at(position.index) == Some(position.term) {
            self.persisted = self.persisted.max(position.index);
        }
    }

    /// Appends an entry, which must follow the last one.
    pub fn append(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last().index.next());
        if let LogPayload::Membership(membership) = &entry.payload {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes all entries from an index on, together with the memberships that they put in
    /// force.
    pub fn truncate(&mut self, from: Revision) {
        let kept = from.0.saturating_sub(self.base.index.0 + 1);
        self.entries.truncate(usize::try_from(kept).unwrap_or(0));
        self.persisted = self.persisted.min(Revision(from.0.saturating_sub(1)));
        while self.memberships.len() > 1 && self.membership_index() >= from {
            self.memberships.pop();
        }
    }

    /// Replaces everything up to `index` with a snapshot and returns it; `None` if the index
    /// is already compacted or not in the log.
    pub fn compact(&mut self, index: Revision, data: Vec<u8>) -> Option<Arc<Snapshot>> {
        if index <= self.snapshot_index() {
            return None;
        }
        let term = self.term_at(index)?;
        let in_force = self.memberships.iter().rposition(|(at, _)| *at <= index)?;
        self.memberships.drain(..in_force);
        let snapshot = Arc::new(Snapshot {
            index,
            term,
            membership: self.memberships.first()?.1.clone(),
            data: data.into(),
        });
        self.snapshot = Some(snapshot.clone());
        self.drop_old_entries();
        Some(snapshot)
    }

    fn drop_old_entries(&mut self) {
        let keep_from = self.first_to_keep();
        while let Some(first) = self.entries.front() {
            if first.index >= keep_from {
                break;
            }
            self.base = first.position();
            self.entries.pop_front();
        }
    }

    /// Returns the index of the first entry to keep in memory: one covered by the snapshot,
    /// within [`TRAILING_ENTRIES`] and [`TRAILING_BYTES`], or else the one after it.
    fn first_to_keep(&self) -> Revision {
        let covered = self.snapshot_index();
        let mut bytes = 0;
        let trailing = self
            .entries
            .iter()
            .rev()
            .skip_while(|entry| entry.index > covered)
            .take(TRAILING_ENTRIES)
            .take_while(|entry| {
                bytes += entry.size();
                bytes <= TRAILING_BYTES
            });
        let first = trailing.last();
        first.map_or(covered.next(), |entry| entry.index)
    }

    /// Returns the approximate size in bytes of the entries after the snapshot.
    pub fn bytes_since_snapshot(&self) -> usize {
        let covered = self.snapshot_index();
        let since = self.entries.iter().rev();
        let since = since.take_while(|entry| entry.index > covered);
        since.map(LogEntry::size).sum()
    }

    /// Replaces the whole log with a snapshot.
    pub fn restore(&mut self, snapshot: Arc<Snapshot>) {
        self.entries.clear();
        self.base = snapshot.position();
        self.persisted = self.persisted.min(snapshot.index);
        self.memberships = vec![(snapshot.index, snapshot.membership.clone())];
        self.snapshot = Some(snapshot);
    }

    /// Returns the latest snapshot.
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// Returns the index of the latest snapshot; 0 if there is none.
    pub fn snapshot_index(&self) -> Revision {
        self.snapshot
            .as_ref()
            .map_or(Revision(0), |snapshot| snapshot.index)
    }

    /// Returns the membership in force, committed or not.
    pub fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    /// Returns whether a replica votes by any membership from the last one that is committed on.
    pub fn is_voter_since(&self, id: ReplicaId, commit: Revision) -> bool {
        let later = self.memberships.iter().rev();
        let mut committed = false;
        let mut relevant = later.take_while(|(index, _)| {
            let take = !committed;
            committed = *index <= commit;
            take
        });
        relevant.any(|(_, membership)| membership.voters.contains_key(&id))
    }

    /// Returns the index of the entry or snapshot that contains the membership in force.
    pub fn membership_index(&self) -> Revision {
        self.memberships[self.memberships.len() - 1].0
    }
}
