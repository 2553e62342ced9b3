//! Leader election: pre-votes, votes and the transition to leader.

use std::time::Instant;

use crate::id::ReplicaId;
use crate::id::Revision;
use crate::id::Term;
use crate::raft::Ballot;
use crate::raft::Raft;
use crate::raft::RoleState;
use crate::raft_effects::Effects;
use crate::raft_leader::LeaderState;
use crate::raft_message::LogPayload;
use crate::raft_message::Message;
use crate::raft_message::MessageKind;

/// Term and index of the last log entry, in the order in which logs are compared.
type LogEnd = (Term, Revision);

impl Raft {
    /// Asks the other voters whether they would vote for this replica.
    ///
    /// Without pre-votes, an isolated replica would increment its term many times and, once
    /// reconnected, depose a leader that all others follow.
    pub(crate) fn start_pre_vote(&mut self, fx: &mut Effects) {
        self.restart_election_timer();
        // A candidate could not record the vote for itself, and would only leave its term.
        if !self.may_campaign() || self.disk_full {
            return;
        }
        let ballot = self.own_ballot();
        self.role = RoleState::PreCandidate(ballot);
        let (last_term, last_index) = self.log_end();
        let message = Message {
            term: Term(self.term().0 + 1),
            kind: MessageKind::PreVote {
                last_index,
                last_term,
            },
        };
        self.send_to_voters(&message, fx);
        self.count_pre_votes(fx);
    }

    /// Becomes a candidate in the next term and requests votes.
    fn start_election(&mut self, handover: bool, fx: &mut Effects) {
        self.restart_election_timer();
        let term = Term(self.term().0 + 1);
        self.set_hard_state(term, Some(self.cfg.id), fx);
        let ballot = self.own_ballot();
        self.role = RoleState::Candidate(ballot);
        let (last_term, last_index) = self.log_end();
        let kind = MessageKind::Vote {
            last_index,
            last_term,
            handover,
        };
        self.send_to_voters(&Message { term, kind }, fx);
        self.count_votes(fx);
    }

    fn own_ballot(&self) -> Ballot {
        Ballot {
            granted: [self.cfg.id].into(),
            began_at: self.now,
        }
    }

    fn log_end(&self) -> LogEnd {
        let last = self.log.last();
        (last.term, last.index)
    }

    fn send_to_voters(&self, message: &Message, fx: &mut Effects) {
        let others = self.membership().voters.keys();
        let others = others.filter(|id| **id != self.cfg.id);
        fx.sends.extend(others.map(|id| (*id, message.clone())));
    }

    fn has_majority(&self, ballot: &Ballot) -> bool {
        let voters = &self.membership().voters;
        let granted = ballot.granted.iter().filter(|id| voters.contains_key(id));
        granted.count() >= self.membership().majority()
    }

    fn count_pre_votes(&mut self, fx: &mut Effects) {
        if let RoleState::PreCandidate(ballot) = &self.role
            && self.has_majority(ballot)
        {
            self.start_election(false, fx);
        }
    }

    fn count_votes(&mut self, fx: &mut Effects) {
        if let RoleState::Candidate(ballot) = &self.role
            && self.has_majority(ballot)
        {
            let contact = ballot.began_at;
            self.become_leader(contact, fx);
        }
    }

    fn become_leader(&mut self, contact: Instant, fx: &mut Effects) {
        let last = self.last_index();
        let mut leader = LeaderState::new(self.cfg.id, self.membership(), last, contact, self.now);
        for (id, progress) in &mut leader.peers {
            progress.silent_since = self.silent_since(*id, contact);
        }
        self.role = RoleState::Leader(leader);
        self.pending.leadership_won();
        self.incoming = None;
        self.append_as_leader(LogPayload::Noop, fx);
        self.with_leader(|leader, cx| leader.begin_heartbeat_round(cx, fx));
        self.after_append(fx);
    }

    /// Returns since when a replica is silent that has not answered this leader yet.
    fn silent_since(&self, id: ReplicaId, candidacy: Instant) -> Instant {
        let as_leader = self.last_leader.filter(|(leader, _)| *leader == id);
        let heard = as_leader.map(|(_, at)| at);
        let heard = heard.max(self.contacts.get(&id).copied());
        heard.map_or(candidacy, |at| at.min(candidacy))
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        from: ReplicaId,
        term: Term,
        log_end: LogEnd,
        fx: &mut Effects,
    ) {
        let granted = term > self.term()
            && !self.disk_full
            && self.would_vote(log_end)
            && !self.has_recent_leader_contact()
            && !self.takes_precedence_over(from, log_end);
        let kind = MessageKind::PreVoteReply { granted };
        let term = if granted { term } else { self.term() };
        fx.sends.push((from, Message { term, kind }));
    }

    /// Returns whether this replica is also requesting pre-votes, with an equal log and the
    /// higher identity, and therefore takes precedence.
    ///
    /// If each granted the other's request, both would campaign in the same term, vote for
    /// themselves and wait for another timeout. Precedence lasts for `election_min` only,
    /// since the other replica may be the only one of the two that can reach a majority.
    fn takes_precedence_over(&self, other: ReplicaId, log_end: LogEnd) -> bool {
        let RoleState::PreCandidate(ballot) = &self.role else {
            return false;
        };
        let recent = self.now < ballot.began_at + self.cfg.election_min;
        recent && log_end == self.log_end() && self.cfg.id > other
    }

    /// Returns whether this replica may vote for a candidate whose log ends at `log_end`.
    ///
    /// A replica with an empty log has never been a voter and does not vote.
    fn would_vote(&self, log_end: LogEnd) -> bool {
        let own_end = self.log_end();
        own_end.1 > Revision(0) && log_end >= own_end
    }

    /// Returns whether there was contact with a leader, or as leader with a quorum, within
    /// `election_min`, so that vote requests are to be ignored.
    fn has_recent_leader_contact(&self) -> bool {
        let last_leader_contact = match &self.role {
            RoleState::Follower(follower) => follower.last_leader_contact,
            RoleState::Leader(leader) => Some(leader.quorum_contact(self.membership(), self.now)),
            RoleState::PreCandidate(_) | RoleState::Candidate(_) => None,
        };
        last_leader_contact.is_some_and(|at| self.now < at + self.cfg.election_min)
    }

    pub(crate) fn on_pre_vote_reply(
        &mut self,
        from: ReplicaId,
        term: Term,
        granted: bool,
        fx: &mut Effects,
    ) {
        if !granted {
            if term > self.term() {
                self.enter_term(term, fx);
            }
            return;
        }
        let campaign_term = Term(self.term().0 + 1);
        if let RoleState::PreCandidate(ballot) = &mut self.role
            && term == campaign_term
        {
            ballot.granted.insert(from);
            self.count_pre_votes(fx);
        }
    }

    pub(crate) fn on_vote(
        &mut self,
        from: ReplicaId,
        term: Term,
        log_end: LogEnd,
        handover: bool,
        fx: &mut Effects,
    ) {
        if !handover && self.has_recent_leader_contact() {
            return;
        }
        if term > self.term() {
            self.enter_term(term, fx);
        }
        let free = self.hard_state.voted_for.is_none_or(|id| id == from);
        let granted = term == self.term() && free && self.would_vote(log_end);
        if granted {
            self.grant_vote(from, fx);
        }
        self.send(from, MessageKind::VoteReply { granted }, fx);
    }

    fn grant_vote(&mut self, to: ReplicaId, fx: &mut Effects) {
        if self.hard_state.voted_for.is_none() {
            self.set_hard_state(self.term(), Some(to), fx);
        }
        self.restart_election_timer();
    }

    pub(crate) fn on_vote_reply(&mut self, from: ReplicaId, granted: bool, fx: &mut Effects) {
        if !granted {
            return;
        }
        if let RoleState::Candidate(ballot) = &mut self.role {
            ballot.granted.insert(from);
            self.count_votes(fx);
        }
    }

    /// Campaigns at once, without a pre-vote, as requested by the leader.
    pub(crate) fn on_timeout_now(&mut self, fx: &mut Effects) {
        if self.is_voter() && !self.disk_full && matches!(self.role, RoleState::Follower(_)) {
            self.start_election(true, fx);
        }
    }
}
