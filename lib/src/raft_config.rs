//! What a Raft replica starts from: its settings and its durable state.

use std::collections::BTreeMap;
use std::time::Duration;

use snafu::Snafu;
use snafu::ensure;

use crate::id::ReplicaId;
use crate::id::Revision;
use crate::id::Term;
use crate::raft_message::HardState;
use crate::raft_message::LogEntry;
use crate::raft_message::LogPayload;
use crate::raft_message::LogWrite;
use crate::raft_message::Membership;
use crate::raft_message::ReplicaInfo;
use crate::raft_message::Snapshot;
use crate::replica_plan::SeatTiming;

/// Configures one replica.
#[derive(Clone, Debug)]
pub struct RaftConfig {
    /// Identity of the replica, as recorded when its data folder was formatted.
    pub id: ReplicaId,
    /// Interval between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Shortest election timeout. A replica also ignores vote requests for this long
    /// after its last message from a leader.
    pub election_min: Duration,
    /// Longest election timeout. A leader that has had no contact with a quorum for this
    /// long steps down.
    pub election_max: Duration,
    /// Limit on the size of the entries in one append, in bytes; a larger entry is sent in
    /// an append of its own.
    pub max_append_bytes: usize,
    /// Size of the chunks in which a snapshot is sent, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Seed for the randomized election timeouts; must differ between replicas.
    pub seed: u64,
    /// Number of voters at which learners are no longer promoted, except to replace a
    /// voter. Each commit waits for a majority of the voters.
    pub max_voters: usize,
    /// When learners take the seats of silent voters, and of voters of a region that has too many
    /// according to [`Input::Regions`]. `None` if operators maintain the set of voters.
    ///
    /// [`Input::Regions`]: crate::raft_effects::Input::Regions
    pub seats: Option<SeatTiming>,
}

impl RaftConfig {
    pub(crate) fn check(&self) -> Result<(), RaftError> {
        let ordered = self.heartbeat < self.election_min && self.election_min < self.election_max;
        ensure!(
            ordered && !self.heartbeat.is_zero(),
            TimeoutsSnafu {
                heartbeat: self.heartbeat,
                election_min: self.election_min,
                election_max: self.election_max,
            }
        );
        ensure!(
            self.max_append_bytes > 0 && self.snapshot_chunk_bytes > 0,
            ZeroSizeSnafu
        );
        Ok(())
    }
}

/// Describes why a replica cannot start.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RaftError {
    /// The timeouts are not in the required order, `heartbeat` < `election_min` <
    /// `election_max`, or `heartbeat` is zero.
    #[snafu(display(
        "heartbeat {heartbeat:?} must be shorter than election_min {election_min:?}, \
         which must be shorter than election_max {election_max:?}"
    ))]
    Timeouts {
        /// The setting `heartbeat`.
        heartbeat: Duration,
        /// The setting `election_min`.
        election_min: Duration,
        /// The setting `election_max`.
        election_max: Duration,
    },
    /// `max_append_bytes` or `snapshot_chunk_bytes` is zero.
    #[snafu(display("max_append_bytes and snapshot_chunk_bytes must be above zero"))]
    ZeroSize,
    /// A durable log entry does not follow the one before it.
    #[snafu(display("gap in the log: found entry {found}, expected {expected}"))]
    Gap {
        /// The index that should follow.
        expected: Revision,
        /// The index that was found.
        found: Revision,
    },
    /// The terms of the durable log decrease, or exceed that of the hard state.
    #[snafu(display("log entry {index} has {found}, which is inconsistent with {before}"))]
    TermOrder {
        /// Index of the entry in question.
        index: Revision,
        /// Its term.
        found: Term,
        /// The term of the entry before it, or that of the hard state.
        before: Term,
    },
}

/// Contains the durable state of a replica, as read from its disk at start.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DurableState {
    /// Term and vote.
    pub hard_state: HardState,
    /// The latest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, in order and without a gap.
    pub entries: Vec<LogEntry>,
}

impl DurableState {
    /// Applies one record; records must be applied in the order in which they were written.
    ///
    /// # Errors
    ///
    /// Returns [`RaftError::Gap`] if an appended entry does not follow the last one.
    pub fn apply(&mut self, write: LogWrite) -> Result<(), RaftError> {
        match write {
            LogWrite::HardState(hard_state) => self.hard_state = hard_state,
            LogWrite::Truncate(from) => self.entries.retain(|entry| entry.index < from),
            LogWrite::Append(entry) => {
                let expected = self.last_index().next();
                let found = entry.index;
                if found != expected {
                    return GapSnafu { expected, found }.fail();
                }
                self.entries.push(entry);
            }
            LogWrite::Snapshot(snapshot) => {
                self.entries.retain(|entry| entry.index > snapshot.index);
                self.snapshot = Some(snapshot);
            }
        }
        Ok(())
    }

    /// Returns the membership in force: the latest in the log, committed or not.
    #[must_use]
    pub fn membership(&self) -> Membership {
        let in_log = self
            .entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                LogPayload::Membership(membership) => Some(membership),
                LogPayload::Noop | LogPayload::Command(_) => None,
            });
        let of_snapshot = self.snapshot.as_ref().map(|snapshot| &snapshot.membership);
        in_log.or(of_snapshot).cloned().unwrap_or_default()
    }

    /// Returns the index of the last entry, or else of the snapshot; 0 if there is neither.
    #[must_use]
    pub fn last_index(&self) -> Revision {
        let of_snapshot = self.snapshot.as_ref().map(|snapshot| snapshot.index);
        let of_entries = self.entries.last().map(|entry| entry.index);
        of_entries.or(of_snapshot).unwrap_or_default()
    }
}

/// Returns the initial records of the first replica of a new cluster: it is the sole
/// voter, and the entry at index 1 contains this membership.
///
/// All other replicas start from an empty folder.
#[must_use]
pub fn bootstrap_writes(id: ReplicaId, info: ReplicaInfo) -> Vec<LogWrite> {
    founding_writes(BTreeMap::from([(id, info)]), Some(id))
}

/// Returns the initial records of one of several founding replicas of a new cluster.
///
/// All founders start with the same entry at index 1, which makes all of them voters, so
/// that none can act without a majority of them, whichever founders start and in whatever
/// order. A sole founder has already voted for itself (`voted_for`).
#[must_use]
pub fn founding_writes(
    founders: BTreeMap<ReplicaId, ReplicaInfo>,
    voted_for: Option<ReplicaId>,
) -> Vec<LogWrite> {
    let term = Term(1);
    let membership = Membership {
        voters: founders,
        ..Membership::default()
    };
    vec![
        LogWrite::HardState(HardState { term, voted_for }),
        LogWrite::Append(LogEntry {
            index: Revision(1),
            term,
            payload: LogPayload::Membership(membership),
        }),
    ]
}
