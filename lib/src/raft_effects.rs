//! What goes into a step of the agreement and what comes out of it.

use std::collections::BTreeMap;
use std::time::Instant;

use snafu::Snafu;

use crate::id::RegionName;
use crate::id::ReplicaId;
use crate::id::Revision;
use crate::id::Term;
use crate::raft_message::LogEntry;
use crate::raft_message::LogWrite;
use crate::raft_message::Message;
use crate::raft_message::ReplicaInfo;
use crate::raft_message::Snapshot;

/// Identifies a request of the shell; echoed in its one [`Answer`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Token(pub u64);

/// Tells what happened to a replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; due at `Raft::next_wake`, harmless at any other time.
    Tick,
    /// A message arrived.
    Message {
        /// The sender, as its envelope names it.
        from: ReplicaId,
        /// The message.
        message: Message,
    },
    /// Asks for a command to be committed.
    Propose {
        /// Identifies the request.
        token: Token,
        /// The command.
        command: Vec<u8>,
    },
    /// Asks for proof that everything committed before this moment is known here.
    ReadBarrier {
        /// Identifies the request.
        token: Token,
    },
    /// Asks for another set of replicas.
    ChangeMembership {
        /// Identifies the request.
        token: Token,
        /// What is to change.
        change: MembershipChange,
    },
    /// Tells in which regions replicas are, as far as that is known.
    Regions(BTreeMap<ReplicaId, RegionName>),
    /// Hands in the replicated state at a position that was applied, so that the log
    /// up to it can go.
    Compact {
        /// The position.
        index: Revision,
        /// The state.
        data: Vec<u8>,
    },
    /// Announces a planned stop: a leader hands over to the most caught-up voter and
    /// takes no proposals meanwhile. Repeat it if `Raft::role` is still the leader's
    /// after an election timeout.
    StepDown,
}

/// Changes the set of replicas by one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipChange {
    /// Adds a replica that receives the log; it becomes a voter by itself once it has
    /// caught up.
    AddLearner {
        /// The new replica.
        id: ReplicaId,
        /// Where it is.
        info: ReplicaInfo,
        /// The replica to remove as soon as the new one votes.
        replaces: Option<ReplicaId>,
    },
    /// Removes a voter or a learner.
    Remove(ReplicaId),
}

/// Tells what a replica does at present.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Receives the log and doesn't campaign, since it is no voter.
    Learner,
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether a candidacy would find a majority.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads its term.
    Leader,
}

impl Role {
    /// Returns the role as logs and metrics name it.
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

/// Tells of a change of role, term or leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoleChange {
    /// The role from now on.
    pub role: Role,
    /// The term from now on.
    pub term: Term,
    /// The leader of that term, as far as it is known.
    pub leader: Option<ReplicaId>,
}

/// Answers a request; each request gets exactly one answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The proposal or change is committed. Its entry is among `Effects::committed` of
    /// the same step.
    Committed {
        /// Identifies the request.
        token: Token,
        /// The entry's position.
        index: Revision,
    },
    /// The read may be served once everything up to `index` is applied.
    ReadReady {
        /// Identifies the request.
        token: Token,
        /// The position.
        index: Revision,
    },
    /// The request came to nothing here.
    Refused {
        /// Identifies the request.
        token: Token,
        /// Why, and whether it may still be committed.
        reason: Refusal,
    },
}

/// Tells why a request was refused.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Refusal {
    /// Another replica leads, or none.
    #[snafu(display("this replica does not lead"))]
    NotLeader {
        /// The leader, as far as it is known.
        leader: Option<ReplicaId>,
    },
    /// The leader can't prove at present that a majority still follows it.
    #[snafu(display("no quorum answers"))]
    NoQuorum,
    /// The leader is handing over.
    #[snafu(display("leadership is being handed over"))]
    HandingOver,
    /// Too many proposals wait for their commitment.
    #[snafu(display("too many proposals wait"))]
    Busy,
    /// An earlier membership change isn't committed yet, or the leader was elected just
    /// now and can't know.
    #[snafu(display("an earlier membership change is not committed yet"))]
    ChangePending,
    /// The membership change isn't possible.
    #[snafu(display("{problem}"))]
    InvalidChange {
        /// What is wrong with it.
        problem: ChangeProblem,
    },
    /// A later leader's entry is committed in its place: it never will be.
    #[snafu(display("a later leader replaced the entry"))]
    Overwritten,
    /// Leadership was lost while the entry was in the log: it may be committed or not.
    #[snafu(display("leadership was lost before the outcome was known"))]
    LeadershipLost,
}

impl Refusal {
    /// Returns whether it is proved that the proposal is not in the log and never
    /// will be. Otherwise its outcome is unknown.
    #[must_use]
    pub fn is_proved_absent(&self) -> bool {
        !matches!(self, Self::LeadershipLost)
    }
}

/// Tells what is wrong with a membership change.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ChangeProblem {
    /// The replica to add is a member already.
    #[snafu(display("replica {id} is a member already"))]
    AlreadyMember {
        /// The replica.
        id: ReplicaId,
    },
    /// The replica to remove or replace is no member.
    #[snafu(display("replica {id} is not a member"))]
    NotMember {
        /// The replica.
        id: ReplicaId,
    },
    /// Another new replica is to replace the same one.
    #[snafu(display("replica {id} is being replaced already"))]
    AlreadyReplaced {
        /// The replica to be replaced.
        id: ReplicaId,
    },
    /// The remaining voters that answer would be no majority.
    #[snafu(display("only {live} of the remaining voters answer, and {needed} are needed"))]
    WouldLoseQuorum {
        /// Remaining voters that answer.
        live: usize,
        /// The majority of the remaining voters.
        needed: usize,
    },
    /// No voter would remain.
    #[snafu(display("the last voter cannot be removed"))]
    LastVoter,
    /// The leader is to be removed; it hands over first. Ask the next leader again.
    #[snafu(display("the replica leads and is handing over first; ask again"))]
    LeaderHandsOver,
}

/// Tells how far one replica has got, as its leader knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaProgress {
    /// The replica.
    pub id: ReplicaId,
    /// Whether it votes.
    pub voter: bool,
    /// The last position that it has durably and that equals the leader's.
    pub matched: Revision,
    /// When it was last heard, if it was since this leader's election.
    pub last_heard: Option<Instant>,
    /// The snapshot on its way to it, if any.
    pub snapshot: Option<SnapshotProgress>,
}

/// Tells how much of a snapshot a replica has received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SnapshotProgress {
    /// Position of the snapshot.
    pub index: Revision,
    /// Bytes received.
    pub received: u64,
    /// Bytes altogether.
    pub total: u64,
}

/// Holds what is to be done after a step.
///
/// The shell makes `writes` durable, in order, with one sync, before anything else of
/// the step leaves it. What would go wrong otherwise: a vote or an acknowledgement
/// that a crash forgets is given a second time, to another leader, and a committed
/// entry is lost. If the writing fails, the process stops without carrying out the rest.
#[derive(Clone, Debug, Default)]
#[must_use]
pub struct Effects {
    /// Records to make durable.
    pub writes: Vec<LogWrite>,
    /// Messages to send. They may be lost, doubled, delayed and reordered.
    pub sends: Vec<(ReplicaId, Message)>,
    /// A snapshot that replaces the replicated state, before `committed` is applied.
    pub restored: Option<Snapshot>,
    /// Entries to apply, in order.
    pub committed: Vec<LogEntry>,
    /// Answers to requests.
    pub answers: Vec<Answer>,
    /// Set when role, term or leader changed.
    pub role_changed: Option<RoleChange>,
}

impl Effects {
    /// Adds the effects of a later step, so that one sync serves several steps.
    pub fn append(&mut self, later: Self) {
        self.writes.extend(later.writes);
        self.sends.extend(later.sends);
        if later.restored.is_some() {
            self.discard_committed();
            self.restored = later.restored;
        }
        self.committed.extend(later.committed);
        self.answers.extend(later.answers);
        self.role_changed = later.role_changed.or(self.role_changed);
    }

    /// Drops what was to be applied, since a snapshot includes it. Its results can't be
    /// told any more, so whoever waits for one learns that the outcome is unknown.
    fn discard_committed(&mut self) {
        self.committed.clear();
        for answer in &mut self.answers {
            if let Answer::Committed { token, .. } = *answer {
                let reason = Refusal::LeadershipLost;
                *answer = Answer::Refused { token, reason };
            }
        }
    }

    /// Returns whether there is nothing to do.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
            && self.sends.is_empty()
            && self.restored.is_none()
            && self.committed.is_empty()
            && self.answers.is_empty()
            && self.role_changed.is_none()
    }
}
