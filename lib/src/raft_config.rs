//! What a replica of the agreement starts from: its settings and its disk's records.

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

/// Holds the settings of one replica.
#[derive(Clone, Debug)]
pub struct RaftConfig {
    /// Identity of the replica, as its data folder was formatted.
    pub id: ReplicaId,
    /// Time between two rounds of heartbeats of a leader.
    pub heartbeat: Duration,
    /// Shortest time without a leader after which a voter campaigns. For this long
    /// after it heard a leader, a replica ignores requests for votes.
    pub election_min: Duration,
    /// Longest time without a leader after which a voter campaigns. A leader that
    /// proved no quorum for this long steps down.
    pub election_max: Duration,
    /// Bound on the commands of one append, in bytes; a larger entry travels alone.
    pub max_append_bytes: usize,
    /// Size of the parts in which a snapshot travels, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Seed of the election timeouts; each replica takes another one.
    pub seed: u64,
    /// Voters beyond which a learner that has caught up isn't promoted, unless it
    /// replaces a voter. Each commit waits for a majority of the voters.
    pub max_voters: usize,
    /// Whether voters are to be spread over regions, of which [`Input::Regions`] tells.
    ///
    /// [`Input::Regions`]: crate::raft_effects::Input::Regions
    pub spread_voters: bool,
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

/// Tells why a replica can't start.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RaftError {
    /// The timeouts don't leave room for a heartbeat to arrive.
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
    /// A size of the settings is zero.
    #[snafu(display("max_append_bytes and snapshot_chunk_bytes must be above zero"))]
    ZeroSize,
    /// The durable records don't continue each other.
    #[snafu(display("the log holds position {found} where {expected} belongs"))]
    Gap {
        /// The position that belongs there.
        expected: Revision,
        /// The position that is there.
        found: Revision,
    },
    /// The terms of the durable log don't rise.
    #[snafu(display("the log holds {found} at position {index}, after {before}"))]
    TermOrder {
        /// The position.
        index: Revision,
        /// Its term.
        found: Term,
        /// The term of the position before it, or that of the hard state.
        before: Term,
    },
}

/// Holds what a replica's disk held when the process started.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DurableState {
    /// Term and vote.
    pub hard_state: HardState,
    /// The latest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without a gap.
    pub entries: Vec<LogEntry>,
}

impl DurableState {
    /// Takes one record in, in the order in which the records were written.
    ///
    /// # Errors
    ///
    /// Returns [`RaftError::Gap`] if an appended entry doesn't follow the last one.
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

    /// Returns the last position held; 0 when there is none.
    #[must_use]
    pub fn last_index(&self) -> Revision {
        let of_snapshot = self.snapshot.as_ref().map(|snapshot| snapshot.index);
        let of_entries = self.entries.last().map(|entry| entry.index);
        of_entries.or(of_snapshot).unwrap_or_default()
    }
}

/// Returns the records that format the first replica of a new cluster: it is the sole
/// voter, and its membership is the entry at position 1.
///
/// Every other replica starts from an empty folder instead.
#[must_use]
pub fn bootstrap_writes(id: ReplicaId, info: ReplicaInfo) -> Vec<LogWrite> {
    founding_writes(BTreeMap::from([(id, info)]), Some(id))
}

/// Returns the records that format one of several founders of a new cluster.
///
/// All founders begin with the same entry at position 1, which makes all of them voters.
/// So none can act without a majority of them, whichever start and whenever. A founder
/// that begins alone has its own vote already (`voted_for`).
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
