//! Messages, log entries and durable records of the agreement among control replicas.
//!
//! The protocol is Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum,
//! read barriers by a quorum round, learners, and membership changes of one replica
//! at a time (Ongaro's dissertation, chapters 4, 6 and 9).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::id::ReplicaId;
use crate::id::Revision;
use crate::id::Term;
use crate::id::VmName;

/// Holds one position of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogEntry {
    /// The position.
    pub index: Revision,
    /// The term of the leader that appended it.
    pub term: Term,
    /// What it holds.
    pub payload: LogPayload,
}

impl LogEntry {
    /// Returns about how many bytes the entry takes in a message.
    #[must_use]
    pub fn size(&self) -> usize {
        /// Stands for the encoding around a command, and for a small membership.
        const OVERHEAD_BYTES: usize = 64;
        match &self.payload {
            LogPayload::Command(command) => command.len() + OVERHEAD_BYTES,
            LogPayload::Noop | LogPayload::Membership(_) => OVERHEAD_BYTES,
        }
    }
}

/// Tells what a log entry holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LogPayload {
    /// Nothing: appended by a new leader to commit the entries before it.
    Noop,
    /// A command for the replicated state, in the encoding of `command`.
    /// Shared, since the log, the disk and every message to a replica hold it.
    Command(Arc<[u8]>),
    /// The replicas from here on. Takes effect when appended, not when committed.
    Membership(Membership),
}

/// Holds the replicas of a cluster.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// Replicas that vote and count towards a quorum.
    pub voters: BTreeMap<ReplicaId, ReplicaInfo>,
    /// Replicas that receive the log and don't count.
    pub learners: BTreeMap<ReplicaId, ReplicaInfo>,
    /// New replicas with the ones that they replace. The old one is removed as soon as
    /// the new one votes.
    pub replacements: BTreeMap<ReplicaId, ReplicaId>,
}

impl Membership {
    /// Returns whether a replica is a voter or a learner.
    #[must_use]
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.voters.contains_key(&id) || self.learners.contains_key(&id)
    }

    /// Returns the identities of all voters and learners.
    pub fn ids(&self) -> impl Iterator<Item = ReplicaId> {
        self.voters.keys().chain(self.learners.keys()).copied()
    }

    /// Returns where a voter or learner is.
    #[must_use]
    pub fn info(&self, id: ReplicaId) -> Option<&ReplicaInfo> {
        self.voters.get(&id).or_else(|| self.learners.get(&id))
    }

    /// Returns how many voters are a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the highest value that a majority of the voters has reached; nothing
    /// without voters.
    pub fn quorum_value<T: Ord>(&self, value: impl Fn(ReplicaId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters.keys().map(|id| value(*id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(self.majority() - 1)
    }
}

/// Tells where a replica is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaInfo {
    /// The VM's name.
    pub vm: VmName,
    /// Where other replicas, entries and operators reach it.
    pub address: SocketAddr,
}

/// Holds what a replica must not forget between terms.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: Term,
    /// The replica voted for in that term.
    pub voted_for: Option<ReplicaId>,
}

/// Holds the replicated state at one position.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// The last position that the snapshot includes.
    pub index: Revision,
    /// The term of that position.
    pub term: Term,
    /// The replicas at that position.
    pub membership: Membership,
    /// The state, in the encoding of `control_state`.
    pub data: Arc<[u8]>,
}

/// Records that must be durable, in order, before any message, answer or application
/// of the same step leaves the replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LogWrite {
    /// Replaces the hard state.
    HardState(HardState),
    /// Drops all entries from this position on; they conflict with the leader's log.
    Truncate(Revision),
    /// Appends an entry after the last one.
    Append(LogEntry),
    /// Replaces everything up to the snapshot's position.
    Snapshot(Snapshot),
}

/// Carries one protocol message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// The sender's term; for a pre-vote, the term it would stand for.
    pub term: Term,
    /// What the message says.
    pub kind: MessageKind,
}

/// Tells what a message says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MessageKind {
    /// Asks whether a candidacy would find a majority, without disturbing anyone.
    PreVote {
        /// Last position of the sender's log.
        last_index: Revision,
        /// Term of that position.
        last_term: Term,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// Whether the receiver would vote for the sender.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Last position of the sender's log.
        last_index: Revision,
        /// Term of that position.
        last_term: Term,
        /// Whether the leader itself asked the sender to stand. Such a request is
        /// answered even by replicas that hear the leader.
        handover: bool,
    },
    /// Answers a request for a vote.
    VoteReply {
        /// Whether the vote was given.
        granted: bool,
    },
    /// Appends entries; without entries, a heartbeat.
    Append {
        /// Position before the first entry.
        previous_index: Revision,
        /// Term of that position.
        previous_term: Term,
        /// Entries to append.
        entries: Vec<LogEntry>,
        /// Last position that the leader knows to be committed.
        commit: Revision,
        /// Number of the latest read barrier; echoed in the answer.
        barrier: u64,
        /// Number of the last answer of the receiver that the leader has; 0 without any.
        reply_number: u64,
        /// Time in milliseconds, rounded up, since the leader was last proved to lead.
        contact_ms: u32,
    },
    /// Answers an append.
    AppendReply {
        /// Whether the log matched at `previous_index`.
        matched: bool,
        /// If matched, the last position known to equal the leader's; otherwise the
        /// position from which the leader should try again.
        index: Revision,
        /// The barrier number of the append.
        barrier: u64,
        /// Number of this answer; echoed in appends.
        reply_number: u64,
    },
    /// Carries a part of a snapshot.
    SnapshotChunk {
        /// Position of the snapshot.
        index: Revision,
        /// Term of that position.
        snapshot_term: Term,
        /// Replicas at that position.
        membership: Membership,
        /// Where the part starts, in bytes.
        offset: u64,
        /// The part.
        data: Vec<u8>,
        /// Whether it is the last part.
        last: bool,
    },
    /// Acknowledges a part of a snapshot.
    SnapshotReply {
        /// Position of the snapshot.
        index: Revision,
        /// Bytes received so far, in order.
        received: u64,
        /// Whether the whole snapshot is durable.
        installed: bool,
    },
    /// Asks the receiver, which has the whole log, to take leadership over at once.
    TimeoutNow,
}
