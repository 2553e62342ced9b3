//! Membership changes, one replica at a time.
//!
//! A membership is in force as soon as it is appended, and is rolled back if its entry is
//! replaced. Consecutive memberships differ by at most one voter, so any majority of one
//! and any majority of the other have a replica in common.

use std::time::Duration;

use crate::id::ReplicaId;
use crate::raft::Raft;
use crate::raft::RoleState;
use crate::raft::refuse;
use crate::raft_effects::ChangeProblem;
use crate::raft_effects::Effects;
use crate::raft_effects::MembershipChange;
use crate::raft_effects::Refusal;
use crate::raft_effects::Token;
use crate::raft_leader::LeaderState;
use crate::raft_message::LogPayload;
use crate::raft_message::Membership;
use crate::raft_message::ReplicaInfo;
use crate::raft_progress::LeaderCx;
use crate::replica_plan::SeatPlan;

/// Represents a change that the leader makes automatically.
#[derive(Clone, Copy, Debug)]
enum DueChange {
    RemoveReplaced(ReplicaId),
    Promote(ReplicaId),
    /// Makes a voter a learner, so that a learner can take its seat. One change that swaps the two
    /// would not be safe: majorities of the memberships before and after need not intersect.
    Demote {
        id: ReplicaId,
        silence: Duration,
    },
}

impl Raft {
    pub(crate) fn on_change_membership(
        &mut self,
        token: Token,
        change: MembershipChange,
        fx: &mut Effects,
    ) {
        if let Some(reason) = self.change_refusal() {
            refuse(token, reason, fx);
            return;
        }
        match self.changed_membership(change) {
            Ok(membership) => {
                let payload = LogPayload::Membership(membership);
                self.append_proposal(token, payload, fx);
            }
            Err(problem) => {
                if problem == ChangeProblem::LeaderHandsOver {
                    self.start_handover(fx);
                }
                refuse(token, Refusal::InvalidChange { problem }, fx);
            }
        }
    }

    /// Returns why no membership change can be accepted now; `None` if one can.
    fn change_refusal(&self) -> Option<Refusal> {
        if let Some(reason) = self.proposal_refusal() {
            return Some(reason);
        }
        (!self.may_change_membership()).then_some(Refusal::ChangePending)
    }

    /// Returns whether the last membership change is committed and the leader has
    /// committed an entry of its own term.
    ///
    /// Without the second condition, a leader could change the membership while others
    /// commit a change of an earlier leader that it does not know of. The two memberships
    /// would differ by more than one voter and could have disjoint majorities.
    fn may_change_membership(&self) -> bool {
        let RoleState::Leader(leader) = &self.role else {
            return false;
        };
        self.membership_is_committed() && self.commit >= leader.term_start
    }

    fn changed_membership(
        &mut self,
        change: MembershipChange,
    ) -> Result<Membership, ChangeProblem> {
        match change {
            MembershipChange::AddLearner { id, info, replaces } => {
                with_learner(self.membership(), id, info, replaces)
            }
            MembershipChange::Remove(id) => self.without(id),
        }
    }

    /// Returns the membership without a replica, provided that a majority of the remaining
    /// voters is live.
    fn without(&mut self, id: ReplicaId) -> Result<Membership, ChangeProblem> {
        let current = self.membership();
        if !current.contains(id) {
            return Err(ChangeProblem::NotMember { id });
        }
        let was_voter = current.voters.contains_key(&id);
        let membership = without(current, id);
        if !was_voter {
            return Ok(membership);
        }
        if membership.voters.is_empty() {
            return Err(ChangeProblem::LastVoter);
        }
        self.check_live_majority(&membership)?;
        if id == self.cfg.id {
            return Err(ChangeProblem::LeaderHandsOver);
        }
        Ok(membership)
    }

    fn check_live_majority(&mut self, membership: &Membership) -> Result<(), ChangeProblem> {
        let live = self.with_leader(|leader, cx| leader.live_voters(membership, cx));
        let live = live.unwrap_or(0);
        let needed = membership.majority();
        if live < needed {
            return Err(ChangeProblem::WouldLoseQuorum { live, needed });
        }
        Ok(())
    }

    /// Makes the automatic change that is due, if any: the removal of a replaced replica, the
    /// promotion of a learner that has caught up, or the demotion of a voter whose seat a learner
    /// can take.
    pub(crate) fn drive_membership(&mut self, fx: &mut Effects) {
        if !self.may_change_membership() || self.proposal_refusal().is_some() {
            return;
        }
        if !self.is_voter() {
            // Its own removal is committed now.
            self.start_automatic_handover(fx);
            return;
        }
        let due = self.with_leader(due_change).flatten();
        let membership = match due {
            None => return,
            Some(DueChange::Promote(id)) => self.promoted(id),
            Some(DueChange::RemoveReplaced(id)) => self.without(id),
            Some(DueChange::Demote { id, .. }) => self.demoted(id),
        };
        match membership {
            Ok(membership) => {
                self.append_as_leader(LogPayload::Membership(membership), fx);
                self.track_vacancy();
                if let Some(DueChange::Demote { silence, .. }) = due {
                    // The seat has been of no use since then.
                    self.vacant_since = self.now.checked_sub(silence);
                }
                self.after_append(fx);
            }
            Err(ChangeProblem::LeaderHandsOver) => self.start_automatic_handover(fx),
            // Retried when the next reply arrives.
            Err(_) => {}
        }
    }

    fn promoted(&mut self, id: ReplicaId) -> Result<Membership, ChangeProblem> {
        let mut membership = self.membership().clone();
        let info = membership.learners.remove(&id);
        let info = info.ok_or(ChangeProblem::NotMember { id })?;
        membership.voters.insert(id, info);
        self.check_live_majority(&membership)?;
        Ok(membership)
    }

    fn demoted(&mut self, id: ReplicaId) -> Result<Membership, ChangeProblem> {
        let mut membership = self.membership().clone();
        let info = membership.voters.remove(&id);
        let info = info.ok_or(ChangeProblem::NotMember { id })?;
        membership.learners.insert(id, info);
        // Its replacement takes a seat like any other learner. It would be one voter too many if
        // another learner is promoted first.
        membership.replacements.retain(|_, old| *old != id);
        self.check_live_majority(&membership)?;
        Ok(membership)
    }

    /// Records since when there have been too few voters. Every replica does, so that the wait for
    /// a learner of a better region does not start anew with each leader.
    pub(crate) fn track_vacancy(&mut self) {
        let voters = self.membership().voters.len();
        if voters != self.voters_seen {
            self.voters_seen = voters;
            self.vacant_since = (voters < self.cfg.max_voters).then_some(self.now);
        }
    }

    fn start_automatic_handover(&mut self, fx: &mut Effects) {
        let paused = self.with_leader(|leader, cx| cx.now < leader.handover_paused_until);
        if paused == Some(false) {
            self.start_handover(fx);
        }
    }
}

fn with_learner(
    current: &Membership,
    id: ReplicaId,
    info: ReplicaInfo,
    replaces: Option<ReplicaId>,
) -> Result<Membership, ChangeProblem> {
    if current.contains(id) {
        return Err(ChangeProblem::AlreadyMember { id });
    }
    let mut membership = current.clone();
    membership.learners.insert(id, info);
    if let Some(replaced) = replaces {
        if !current.contains(replaced) {
            return Err(ChangeProblem::NotMember { id: replaced });
        }
        if current.replacements.values().any(|old| *old == replaced) {
            return Err(ChangeProblem::AlreadyReplaced { id: replaced });
        }
        membership.replacements.insert(id, replaced);
    }
    Ok(membership)
}

fn without(current: &Membership, id: ReplicaId) -> Membership {
    let mut membership = current.clone();
    membership.voters.remove(&id);
    membership.learners.remove(&id);
    membership
        .replacements
        .retain(|new, old| *new != id && *old != id);
    membership
}

fn due_change(leader: &mut LeaderState, cx: &LeaderCx) -> Option<DueChange> {
    let membership = cx.log.membership();
    let mut replacements = membership.replacements.iter();
    let replaced = replacements.find(|(new, _)| membership.voters.contains_key(new));
    if let Some((_, old)) = replaced {
        return Some(DueChange::RemoveReplaced(*old));
    }
    let mut has_caught_up = |id: &&ReplicaId| {
        let progress = leader.peers.get_mut(id);
        progress.is_some_and(|progress| progress.has_caught_up(cx))
    };
    let mut replacing = membership.replacements.keys();
    if let Some(id) = replacing.find(&mut has_caught_up) {
        return Some(DueChange::Promote(*id));
    }
    let caught_up = membership.learners.keys().filter(&mut has_caught_up);
    let caught_up: Vec<ReplicaId> = caught_up.copied().collect();
    let is_full = membership.voters.len() >= cx.cfg.max_voters;
    let Some(timing) = cx.cfg.seats else {
        let next = caught_up.first().filter(|_| !is_full);
        return next.copied().map(DueChange::Promote);
    };
    let plan = SeatPlan {
        membership,
        regions: cx.regions,
        caught_up: &caught_up,
        target: cx.cfg.max_voters,
        timing,
    };
    if !is_full {
        return plan.next_voter(cx.vacant_for).map(DueChange::Promote);
    }
    let silence = leader.voter_silence(membership, timing, cx);
    let id = plan.to_vacate(&silence)?;
    let silence = silence.get(&id).copied().unwrap_or_default();
    Some(DueChange::Demote { id, silence })
}
