//! Inputs and effects of a step of the Raft state machine.

use std::collections::BTreeMap;
use std::time::Instant;

use snafu::Snafu;

use crate::id::RegionName;
use crate::id::ReplicaId;
use crate::id::Revision;
use crate::id::Term;
use crate::raft_message::LogEntry;
use crate::raft_message::LogPosition;
use crate::raft_message::LogWrite;
use crate::raft_message::Message;
use crate::raft_message::ReplicaInfo;
use crate::raft_message::Snapshot;

/// Identifies a request of the driver; repeated in the one [`Answer`] to it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Token(pub u64);

/// Represents an event that a replica has to process.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed. Due at `Raft::next_wake`, harmless at any other time.
    Tick,
    /// A message arrived.
    Message {
        /// The sender, as named by the transport's envelope.
        from: ReplicaId,
        /// The message.
        message: Message,
    },
    /// Proposes a command for the replicated log.
    Propose {
        /// Identifies the request.
        token: Token,
        /// The encoded command, opaque to Raft.
        command: Vec<u8>,
    },
    /// Requests a linearizable read: proof that everything committed before this moment
    /// is known here.
    ReadBarrier {
        /// Identifies the request.
        token: Token,
    },
    /// Requests a change of the membership.
    ChangeMembership {
        /// Identifies the request.
        token: Token,
        /// The requested change.
        change: MembershipChange,
    },
    /// Sets the regions of the replicas, as far as they are known.
    Regions(BTreeMap<ReplicaId, RegionName>),
    /// Sets when other members last reported to this replica by other means than Raft. Replicas that
    /// follow a leader exchange no messages of Raft, so that the next leader would know nothing of
    /// their silence.
    Contacts(BTreeMap<ReplicaId, Instant>),
    /// Provides a snapshot of the replicated state, so that the log up to it can be
    /// compacted.
    Compact {
        /// Index of the last entry applied to the state.
        index: Revision,
        /// The encoded state.
        data: Vec<u8>,
    },
    /// All records up to and including this log position are durable.
    Persisted(LogPosition),
    /// Sets whether the disk of this replica is full: it refuses records, which are written once
    /// there is room again.
    DiskFull(bool),
    /// Announces a planned stop: this replica gives its seat up if a learner can take it, and is not
    /// promoted any more. Holds until the process ends.
    Leaving,
    /// Announces a planned stop: a leader hands leadership over to the most up-to-date
    /// voter and refuses proposals meanwhile. To be repeated if the replica is still the
    /// leader after an election timeout.
    StepDown,
}

/// Represents a change of the membership by one replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipChange {
    /// Adds a replica as a learner, which is promoted to voter automatically once it has
    /// caught up.
    AddLearner {
        /// The new replica.
        id: ReplicaId,
        /// The VM and address of the new replica.
        info: ReplicaInfo,
        /// The replica to remove as soon as the new one is a voter.
        replaces: Option<ReplicaId>,
    },
    /// Removes a voter or a learner.
    Remove(ReplicaId),
}

/// Represents the role of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Receives the log but neither votes nor campaigns.
    Learner,
    /// Is a voter that follows a leader or waits for one.
    Follower,
    /// Asks the other voters whether they would vote for it.
    PreCandidate,
    /// Requests votes in a new term.
    Candidate,
    /// Was elected leader of its term.
    Leader,
}

impl Role {
    /// Returns the name of the role in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Learner => "learner",
            Self::Follower => "follower",
            Self::PreCandidate => "pre_candidate",
            Self::Candidate => "candidate",
            Self::Leader => "leader",
        }
    }
}

/// Describes role, term and leader after a change of any of them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoleChange {
    /// The new role.
    pub role: Role,
    /// The new term.
    pub term: Term,
    /// The leader of that term; `None` if unknown.
    pub leader: Option<ReplicaId>,
}

/// Represents the outcome of a request; each request gets exactly one answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The proposal or membership change is committed. Its entry is in
    /// `Effects::committed` of the same step.
    Committed {
        /// Identifies the request.
        token: Token,
        /// Index of the entry.
        index: Revision,
    },
    /// The read may be served once everything up to `index` is applied.
    ReadReady {
        /// Identifies the request.
        token: Token,
        /// The index up to which the state must be applied.
        index: Revision,
    },
    /// The request failed at this replica.
    Refused {
        /// Identifies the request.
        token: Token,
        /// The reason, from which follows whether the proposal may still be committed.
        reason: Refusal,
    },
}

/// Describes why a request was refused.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Refusal {
    /// This replica is not the leader.
    #[snafu(display("this replica is not the leader"))]
    NotLeader {
        /// The current leader; `None` if unknown.
        leader: Option<ReplicaId>,
    },
    /// The leader has no proof that a majority still follows it.
    #[snafu(display("the leader has no contact with a quorum"))]
    NoQuorum,
    /// The leader is handing leadership over to another replica.
    #[snafu(display("leadership is being handed over"))]
    HandingOver,
    /// A limit on pending proposals or reads is reached.
    #[snafu(display("too many proposals or reads are pending"))]
    Busy,
    /// The disks of too many voters are full for an entry to be committed.
    #[snafu(display("the disks of a majority of the replicas are full"))]
    DisksFull,
    /// An earlier membership change is not committed yet, or the leader has not yet
    /// committed an entry of its term and cannot know.
    #[snafu(display("an earlier membership change is not committed yet"))]
    ChangePending,
    /// The membership change is not possible.
    #[snafu(display("{problem}"))]
    InvalidChange {
        /// What is wrong with the change.
        problem: ChangeProblem,
    },
    /// A later leader's entry was committed in place of the proposal, which can no
    /// longer be committed.
    #[snafu(display("the entry was replaced by that of a later leader"))]
    Overwritten,
    /// Leadership was lost while the entry was in the log; the entry may or may not be
    /// committed.
    #[snafu(display("leadership was lost before the outcome was known"))]
    LeadershipLost,
}

impl Refusal {
    /// Returns whether the proposal is proven never to be committed. Otherwise its
    /// outcome is unknown.
    #[must_use]
    pub fn is_proved_absent(&self) -> bool {
        !matches!(self, Self::LeadershipLost)
    }
}

/// Describes why a membership change is not possible.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ChangeProblem {
    /// The replica to add is already a voter or learner.
    #[snafu(display("replica {id} is already a member"))]
    AlreadyMember {
        /// The replica.
        id: ReplicaId,
    },
    /// The replica to remove or replace is neither a voter nor a learner.
    #[snafu(display("replica {id} is not a member"))]
    NotMember {
        /// The replica.
        id: ReplicaId,
    },
    /// Another new replica is already to replace the same one.
    #[snafu(display("replica {id} is already being replaced"))]
    AlreadyReplaced {
        /// The replica to be replaced.
        id: ReplicaId,
    },
    /// Too few of the resulting voters respond to form a majority.
    #[snafu(display("only {live} of the resulting voters respond, and {needed} are needed"))]
    WouldLoseQuorum {
        /// Number of resulting voters that respond, the leader included.
        live: usize,
        /// The majority of the resulting voters.
        needed: usize,
    },
    /// The change would leave no voter.
    #[snafu(display("the last voter cannot be removed"))]
    LastVoter,
    /// The leader is to be removed and hands leadership over first. The request is to
    /// be repeated at the next leader.
    #[snafu(display("the replica is the leader and is handing leadership over; try again"))]
    LeaderHandsOver,
}

/// Describes the replication progress of one replica, as known to the leader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaProgress {
    /// The replica.
    pub id: ReplicaId,
    /// Whether it is a voter; otherwise it is a learner.
    pub voter: bool,
    /// The highest index up to which its durable log is known to equal the leader's.
    pub matched: Revision,
    /// Time of its last reply; `None` if there was none since this leader's election.
    pub last_heard: Option<Instant>,
    /// Progress of the snapshot being sent to it, if any.
    pub snapshot: Option<SnapshotProgress>,
}

/// Describes how much of a snapshot a replica has received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SnapshotProgress {
    /// Index of the snapshot.
    pub index: Revision,
    /// Bytes received.
    pub received: u64,
    /// Size of the snapshot in bytes.
    pub total: u64,
}

/// Lists what the driver must do after a step.
///
/// The driver makes `writes` durable, in order, before it carries out any other effect of the
/// step. Otherwise, a vote or an acknowledgement could be lost in a crash and given a second
/// time to another leader, and a committed entry would be lost. If the write fails, the process
/// stops without carrying out the other effects. Afterwards it reports [`Input::Persisted`].
///
/// While all records that are not durable yet are appended entries, only `acks` have to wait;
/// `WriteQueue` of the `raft_write_queue` module implements this rule.
#[derive(Clone, Debug, Default)]
#[must_use]
pub struct Effects {
    /// Records to make durable.
    pub writes: Vec<LogWrite>,
    /// Messages to send. They may be lost, duplicated, delayed and reordered.
    pub sends: Vec<(ReplicaId, Message)>,
    /// Further messages, which promise that `writes` are durable.
    pub acks: Vec<(ReplicaId, Message)>,
    /// A snapshot that replaces the replicated state before `committed` is applied.
    pub restored: Option<Snapshot>,
    /// Entries to apply to the replicated state, in order.
    pub committed: Vec<LogEntry>,
    /// Answers to requests of this and earlier steps.
    pub answers: Vec<Answer>,
    /// Set if the role, the term or the leader changed.
    pub role_changed: Option<RoleChange>,
}

impl Effects {
    /// Adds the effects of a later step, so that several steps share one sync.
    pub fn append(&mut self, later: Self) {
        self.writes.extend(later.writes);
        self.sends.extend(later.sends);
        self.acks.extend(later.acks);
        if later.restored.is_some() {
            self.discard_committed();
            self.restored = later.restored;
        }
        self.committed.extend(later.committed);
        self.answers.extend(later.answers);
        self.role_changed = later.role_changed.or(self.role_changed);
    }

    /// Drops the entries to apply, since a snapshot includes them. Their results are no
    /// longer available, so requests that wait for them are answered with an unknown
    /// outcome.
    fn discard_committed(&mut self) {
        self.committed.clear();
        for answer in &mut self.answers {
            if let Answer::Committed { token, .. } = *answer {
                let reason = Refusal::LeadershipLost;
                *answer = Answer::Refused { token, reason };
            }
        }
    }

    /// Returns whether the step has no effects, not even a change of role.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
            && self.sends.is_empty()
            && self.acks.is_empty()
            && self.restored.is_none()
            && self.committed.is_empty()
            && self.answers.is_empty()
            && self.role_changed.is_none()
    }
}
