//! What a replica knows of the contact with the others, and since when it has had no leader.

use std::time::Duration;
use std::time::Instant;

use crate::id::ReplicaId;
use crate::raft::Raft;
use crate::raft::RoleState;

/// Number of longest election timeouts without a leader from which on a replica that asks for votes
/// reports that it gets no majority.
const TIMEOUTS_BEFORE_REPORT: u32 = 2;

/// Describes a replica that asks for votes and gets no majority.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MissingQuorum {
    /// Time for which no leader has been known.
    pub leaderless_for: Duration,
    /// The voters that were heard within the last two election timeouts, this replica included.
    pub answering: Vec<ReplicaId>,
    /// The other voters.
    pub silent: Vec<ReplicaId>,
    /// Number of votes or pre-votes in the present campaign, this replica's own included.
    pub granted: usize,
    /// Number of learners.
    pub learners: usize,
}

impl Raft {
    /// Returns the time for which no leader has been known; zero if one is.
    #[must_use]
    pub fn leaderless_for(&self, now: Instant) -> Duration {
        let since = self.leaderless_since;
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns when a member was last heard; `None` if it never was, and for this replica itself. A
    /// follower hears the leader only.
    #[must_use]
    pub fn last_heard(&self, id: ReplicaId) -> Option<Instant> {
        match &self.role {
            RoleState::Leader(leader) => leader.peers.get(&id)?.last_heard,
            _ => self.heard.get(&id).copied(),
        }
    }

    /// Returns whether a member answers; `None` if this replica doesn't ask it.
    #[must_use]
    pub fn is_answering(&self, id: ReplicaId, now: Instant) -> Option<bool> {
        if id == self.cfg.id {
            return Some(true);
        }
        let is_asked = match &self.role {
            RoleState::Leader(_) => true,
            RoleState::Follower(follower) => follower.leader == Some(id),
            RoleState::PreCandidate(_) | RoleState::Candidate(_) => {
                let is_voter = self.membership().voters.contains_key(&id);
                is_voter && self.leaderless_for(now) >= self.cfg.election_max
            }
        };
        is_asked.then(|| self.was_heard(id, now))
    }

    /// Returns whether a member was heard within the last two election timeouts. A voter is asked
    /// once in each.
    fn was_heard(&self, id: ReplicaId, now: Instant) -> bool {
        let heard = self.last_heard(id);
        let within = self.cfg.election_max * 2;
        heard.is_some_and(|at| now.saturating_duration_since(at) < within)
    }

    /// Returns who answers and who doesn't if this replica has asked for votes through two election
    /// timeouts without a leader.
    #[must_use]
    pub fn missing_quorum(&self, now: Instant) -> Option<MissingQuorum> {
        let (RoleState::PreCandidate(ballot) | RoleState::Candidate(ballot)) = &self.role else {
            return None;
        };
        let leaderless_for = self.leaderless_for(now);
        if leaderless_for < self.cfg.election_max * TIMEOUTS_BEFORE_REPORT {
            return None;
        }
        let membership = self.membership();
        let voters = membership.voters.keys().copied();
        let answers = |id: &ReplicaId| *id == self.cfg.id || self.was_heard(*id, now);
        let (answering, silent) = voters.partition(answers);
        Some(MissingQuorum {
            leaderless_for,
            answering,
            silent,
            granted: ballot.granted.len(),
            learners: membership.learners.len(),
        })
    }

    pub(crate) fn note_heard(&mut self, from: ReplicaId) {
        if self.membership().contains(from) {
            self.heard.insert(from, self.now);
        }
    }

    /// Drops what is known of former members, and records since when there is no leader.
    pub(crate) fn note_contact(&mut self) {
        let membership = self.log.membership();
        self.heard.retain(|id, _| membership.contains(*id));
        if self.leader().is_some() {
            self.leaderless_since = None;
        } else {
            self.leaderless_since.get_or_insert(self.now);
        }
    }
}
