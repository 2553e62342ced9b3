//! Messages, log entries and durable records of the consensus among control replicas.
//!
//! The protocol is Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum,
//! read barriers confirmed by a quorum round, learners, and membership changes of one
//! replica at a time (Ongaro's dissertation, chapters 4, 6 and 9).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::id::ReplicaId;
use crate::id::Revision;
use crate::id::Term;
use crate::id::VmName;

/// Identifies a log entry by its index and term.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LogPosition {
    /// Index of the entry.
    pub index: Revision,
    /// Term of the leader that appended it.
    pub term: Term,
}

/// Represents one entry of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogEntry {
    /// Position of the entry in the log; the first entry has 1.
    pub index: Revision,
    /// The term of the leader that appended it.
    pub term: Term,
    /// Content of the entry.
    pub payload: LogPayload,
}

impl LogEntry {
    /// Returns the position of the entry.
    #[must_use]
    pub const fn position(&self) -> LogPosition {
        LogPosition {
            index: self.index,
            term: self.term,
        }
    }

    /// Returns the approximate size of the encoded entry in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        /// Estimate of the encoding around a command, and of a small membership.
        const OVERHEAD_BYTES: usize = 64;
        match &self.payload {
            LogPayload::Command(command) => command.len() + OVERHEAD_BYTES,
            LogPayload::Noop | LogPayload::Membership(_) => OVERHEAD_BYTES,
        }
    }
}

/// Represents the content of a log entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LogPayload {
    /// No content; appended by a new leader to commit the entries before it.
    Noop,
    /// A command for the replicated state, in the encoding of the `command` module.
    /// Reference-counted, since the log, the disk writer and every message share it.
    Command(Arc<[u8]>),
    /// The membership from this entry on. Takes effect when appended, not when committed.
    Membership(Membership),
}

/// Describes the replicas of a cluster.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// Replicas that vote and count towards a quorum.
    pub voters: BTreeMap<ReplicaId, ReplicaInfo>,
    /// Replicas that receive the log but do not count towards a quorum.
    pub learners: BTreeMap<ReplicaId, ReplicaInfo>,
    /// Maps new replicas to the ones that they replace. The old one is removed as soon as
    /// the new one is a voter.
    pub replacements: BTreeMap<ReplicaId, ReplicaId>,
}

impl Membership {
    /// Returns whether a replica is a voter or a learner.
    #[must_use]
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.voters.contains_key(&id) || self.learners.contains_key(&id)
    }

    /// Returns the identities of all voters, then those of all learners.
    pub fn ids(&self) -> impl Iterator<Item = ReplicaId> {
        self.voters.keys().chain(self.learners.keys()).copied()
    }

    /// Returns the VM and address of a voter or learner.
    #[must_use]
    pub fn info(&self, id: ReplicaId) -> Option<&ReplicaInfo> {
        self.voters.get(&id).or_else(|| self.learners.get(&id))
    }

    /// Returns the number of voters that form a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the highest value that a majority of the voters has reached; `None` if there
    /// are no voters.
    pub fn quorum_value<T: Ord>(&self, value: impl Fn(ReplicaId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters.keys().map(|id| value(*id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(self.majority() - 1)
    }
}

/// Describes where a replica runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaInfo {
    /// The VM's name.
    pub vm: VmName,
    /// Address at which other replicas, entry VMs and operators reach it.
    pub address: SocketAddr,
}

/// Contains the term and vote that a replica must keep across restarts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: Term,
    /// The replica voted for in that term; `None` if there was no vote.
    pub voted_for: Option<ReplicaId>,
}

/// Contains the replicated state at one index of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot includes.
    pub index: Revision,
    /// Term of that entry.
    pub term: Term,
    /// Membership at that index.
    pub membership: Membership,
    /// The state, in the encoding of the `control_state` module.
    pub data: Arc<[u8]>,
}

impl Snapshot {
    /// Returns the position of the last entry that the snapshot includes.
    #[must_use]
    pub const fn position(&self) -> LogPosition {
        LogPosition {
            index: self.index,
            term: self.term,
        }
    }
}

/// Represents a record that must be durable, in order, before any message or answer of the
/// same step is sent and before any of its entries is applied.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LogWrite {
    /// Replaces the hard state.
    HardState(HardState),
    /// Removes all entries from this index on, since they conflict with the leader's log.
    Truncate(Revision),
    /// Appends an entry after the last one.
    Append(LogEntry),
    /// Replaces everything up to the index of the snapshot.
    Snapshot(Snapshot),
}

/// Represents one protocol message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// The sender's term; for a pre-vote, the term in which it would campaign.
    pub term: Term,
    /// Type and content of the message.
    pub kind: MessageKind,
}

/// Represents the type and content of a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MessageKind {
    /// Asks whether the receiver would vote for the sender, without changing any term.
    PreVote {
        /// Index of the sender's last log entry.
        last_index: Revision,
        /// Term of that entry.
        last_term: Term,
    },
    /// Replies to a pre-vote.
    PreVoteReply {
        /// Whether the receiver would vote for the sender.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Index of the sender's last log entry.
        last_index: Revision,
        /// Term of that entry.
        last_term: Term,
        /// Whether the leader asked the sender to campaign. Such a request is answered
        /// even by replicas in contact with the leader.
        handover: bool,
    },
    /// Replies to a vote request.
    VoteReply {
        /// Whether the receiver voted for the sender.
        granted: bool,
    },
    /// Appends entries; without entries, serves as a heartbeat.
    Append {
        /// Index of the entry before the first one.
        previous_index: Revision,
        /// Term of that entry.
        previous_term: Term,
        /// Entries to append.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit: Revision,
        /// Number of the leader's latest heartbeat round, which reads wait for; echoed in
        /// the reply.
        barrier: u64,
        /// Number of the receiver's last reply that the leader has received; 0 if none.
        reply_number: u64,
        /// Time since the sender was last proven to lead, in milliseconds, rounded up.
        contact_ms: u32,
    },
    /// Replies to an append.
    AppendReply {
        /// Whether the log matched at `previous_index`.
        matched: bool,
        /// If matched, the highest index up to which the log is known to equal the
        /// leader's; otherwise the index from which the leader should retry.
        index: Revision,
        /// The `barrier` of the append; 0 if that was one of an earlier term.
        barrier: u64,
        /// Number of this reply; echoed in later appends.
        reply_number: u64,
    },
    /// Carries a chunk of a snapshot.
    SnapshotChunk {
        /// Index of the snapshot.
        index: Revision,
        /// Term of the entry at that index.
        snapshot_term: Term,
        /// Membership at that index.
        membership: Membership,
        /// Offset of the chunk in the snapshot's data, in bytes.
        offset: u64,
        /// Data of the chunk.
        data: Vec<u8>,
        /// Whether this is the last chunk.
        last: bool,
    },
    /// Acknowledges a chunk of a snapshot.
    SnapshotReply {
        /// Index of the snapshot.
        index: Revision,
        /// Number of contiguous bytes received so far.
        received: u64,
        /// Whether the receiver durably holds the snapshot or its own log up to `index`.
        installed: bool,
    },
    /// Asks the receiver, which has the whole log, to campaign at once.
    TimeoutNow,
    /// Tells the leader that the sender's disk is full. Accompanies the replies to appends.
    DiskFull,
    /// Tells the leader that the sender is about to stop, so that it does not vote on.
    Leaving,
}
