//! What a leader reports of the other members: voters that fall silent, and learners that are not
//! promoted.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::id::ReplicaId;
use crate::id::Revision;
use crate::raft_effects::ReplicaProgress;
use crate::raft_message::Membership;

/// The members, as a leader sees them.
#[derive(Clone, Copy, Debug)]
pub struct MemberView<'a> {
    /// The membership in force.
    pub membership: &'a Membership,
    /// Progress of the other members.
    pub progress: &'a [ReplicaProgress],
    /// The highest committed index.
    pub commit: Revision,
    /// Whether a change of the membership is not committed yet.
    pub change_pending: bool,
    /// Number of voters to maintain.
    pub max_voters: usize,
    /// Time after which a member without a reply counts as silent.
    pub silent_after: Duration,
    /// The present time.
    pub now: Instant,
}

/// Reason for which a learner is not a voter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromotionObstacle {
    /// It doesn't answer.
    Silent,
    /// It lacks what was committed before the last check.
    Behind,
    /// Another change of the membership is not committed yet.
    ChangePending,
    /// There are as many voters as are to be, live or not.
    SeatsTaken,
    /// The vacant seat is kept for a replica of another region, or the resulting voters would not
    /// have a live majority.
    SeatReserved,
}

impl PromotionObstacle {
    /// Returns the name of the reason in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Behind => "behind",
            Self::ChangePending => "change_pending",
            Self::SeatsTaken => "seats_taken",
            Self::SeatReserved => "seat_reserved",
        }
    }

    const fn has_caught_up(self) -> bool {
        !matches!(self, Self::Silent | Self::Behind)
    }
}

/// A change that is worth a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberChange {
    /// A voter has fallen silent.
    VoterSilent(ReplicaId),
    /// A voter that was silent answers again.
    VoterAnswers(ReplicaId),
    /// The reason for which a learner is not promoted is new.
    LearnerWaits(ReplicaId, PromotionObstacle),
}

/// Numbers of members.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MemberCounts {
    /// Voters that answer, the leader included.
    pub voters_live: usize,
    /// Voters that don't.
    pub voters_silent: usize,
    /// Learners that have caught up.
    pub learners_ready: usize,
    /// Other learners.
    pub learners_behind: usize,
}

/// A leader's record of the other members, compared at each check.
#[derive(Clone, Debug)]
pub struct ReplicaWatch {
    leads_since: Instant,
    /// Index that was committed at the last check.
    committed: Revision,
    silent: BTreeSet<ReplicaId>,
    waiting: BTreeMap<ReplicaId, PromotionObstacle>,
}

impl ReplicaWatch {
    /// Starts the record of a replica that leads since `now`.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            leads_since: now,
            committed: Revision(0),
            silent: BTreeSet::new(),
            waiting: BTreeMap::new(),
        }
    }

    /// Returns the voters that were silent at the last check.
    #[must_use]
    pub const fn silent_voters(&self) -> &BTreeSet<ReplicaId> {
        &self.silent
    }

    /// Returns the numbers of members at the last check.
    #[must_use]
    pub fn counts(&self, membership: &Membership) -> MemberCounts {
        let waiting = self.waiting.values();
        let learners_ready = waiting.filter(|reason| reason.has_caught_up()).count();
        MemberCounts {
            voters_live: membership.voters.len() - self.silent.len(),
            voters_silent: self.silent.len(),
            learners_ready,
            learners_behind: self.waiting.len() - learners_ready,
        }
    }

    /// Compares the members with the last check, and returns what has changed.
    pub fn check(&mut self, view: &MemberView) -> Vec<MemberChange> {
        let silent = self.silent_now(view);
        let waiting = self.waiting_now(view);
        let before = std::mem::replace(&mut self.silent, silent);
        let waited = std::mem::replace(&mut self.waiting, waiting);
        self.committed = view.commit;
        let fallen = self.silent.difference(&before);
        let answering = before.difference(&self.silent);
        let answering = answering.filter(|id| view.membership.voters.contains_key(id));
        let waits = self.waiting.iter();
        let waits = waits.filter(|(id, reason)| waited.get(id) != Some(reason));
        let voters = fallen
            .map(|id| MemberChange::VoterSilent(*id))
            .chain(answering.map(|id| MemberChange::VoterAnswers(*id)));
        voters
            .chain(waits.map(|(id, reason)| MemberChange::LearnerWaits(*id, *reason)))
            .collect()
    }

    fn is_silent(&self, replica: &ReplicaProgress, view: &MemberView) -> bool {
        let heard = replica.last_heard.unwrap_or(self.leads_since);
        view.now.saturating_duration_since(heard) >= view.silent_after
    }

    fn silent_now(&self, view: &MemberView) -> BTreeSet<ReplicaId> {
        let voters = view.progress.iter().filter(|replica| replica.voter);
        let silent = voters.filter(|replica| self.is_silent(replica, view));
        silent.map(|replica| replica.id).collect()
    }

    fn waiting_now(&self, view: &MemberView) -> BTreeMap<ReplicaId, PromotionObstacle> {
        let learners = view.progress.iter().filter(|replica| !replica.voter);
        learners
            .map(|replica| (replica.id, self.obstacle(replica, view)))
            .collect()
    }

    fn obstacle(&self, learner: &ReplicaProgress, view: &MemberView) -> PromotionObstacle {
        if self.is_silent(learner, view) {
            PromotionObstacle::Silent
        } else if learner.last_heard.is_none() || learner.matched < self.committed {
            PromotionObstacle::Behind
        } else if view.change_pending {
            PromotionObstacle::ChangePending
        } else if view.membership.voters.len() >= view.max_voters {
            PromotionObstacle::SeatsTaken
        } else {
            PromotionObstacle::SeatReserved
        }
    }
}
