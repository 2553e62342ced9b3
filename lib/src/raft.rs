//! A Raft replica as a deterministic state machine that performs no I/O.
//!
//! The protocol is Raft (Ongaro and Ousterhout, "In Search of an Understandable
//! Consensus Algorithm", 2014; Ongaro's dissertation, 2014). Its parts are in sibling
//! modules: `raft_election` handles elections, `raft_follower` appends and snapshots
//! received from a leader, `raft_replication` the leader's duties, and
//! `raft_membership` changes of the membership.
//!
//! The code that owns a [`Raft`], feeds it inputs and carries out its effects is
//! called the driver.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::id::RegionName;
use crate::id::ReplicaId;
use crate::id::Revision;
use crate::id::Term;
use crate::order_stamp::OrderStamp;
use crate::raft_config::DurableState;
use crate::raft_config::RaftConfig;
use crate::raft_config::RaftError;
use crate::raft_effects::Answer;
use crate::raft_effects::Effects;
use crate::raft_effects::Input;
use crate::raft_effects::Refusal;
use crate::raft_effects::ReplicaProgress;
use crate::raft_effects::Role;
use crate::raft_effects::RoleChange;
use crate::raft_effects::Token;
use crate::raft_follower::IncomingSnapshot;
use crate::raft_leader::LeaderState;
use crate::raft_leader::NO_ROUND;
use crate::raft_log::RaftLog;
use crate::raft_message::HardState;
use crate::raft_message::LogWrite;
use crate::raft_message::Membership;
use crate::raft_message::Message;
use crate::raft_message::MessageKind;
use crate::raft_pending::PendingProposals;
use crate::raft_progress::LeaderCx;
use crate::raft_sent_replies::SentReplies;

/// Time between ticks of a learner without a leader, which has nothing to wait for.
const IDLE_TICK_INTERVAL: Duration = Duration::from_mins(1);

/// Implements one Raft replica.
#[derive(Debug)]
pub struct Raft {
    pub(crate) cfg: RaftConfig,
    pub(crate) hard_state: HardState,
    pub(crate) log: RaftLog,
    pub(crate) commit: Revision,
    pub(crate) role: RoleState,
    /// When a voter that is not the leader starts a pre-vote.
    pub(crate) election_deadline: Instant,
    pub(crate) pending: PendingProposals,
    pub(crate) incoming: Option<IncomingSnapshot>,
    pub(crate) sent_replies: SentReplies,
    /// Whether the disk of this replica refuses records.
    pub(crate) disk_full: bool,
    /// Whether this replica is about to stop.
    pub(crate) leaving: bool,
    pub(crate) regions: BTreeMap<ReplicaId, RegionName>,
    /// When other members last reported to this replica.
    pub(crate) contacts: BTreeMap<ReplicaId, Instant>,
    /// The latest leader that sent a message here, and when. Outlives the role of a follower, so that
    /// the next leader knows for how long a lost leader has been silent.
    pub(crate) last_leader: Option<(ReplicaId, Instant)>,
    /// Number of voters when [`Self::vacant_since`] was set.
    pub(crate) voters_seen: usize,
    /// Since when there have been fewer than `max_voters` voters.
    pub(crate) vacant_since: Option<Instant>,
    /// When each other member was last heard.
    pub(crate) heard: BTreeMap<ReplicaId, Instant>,
    /// Since when no leader has been known; `None` if one is.
    pub(crate) leaderless_since: Option<Instant>,
    pub(crate) now: Instant,
    rng: ChaCha8Rng,
}

/// Contains the state that is specific to the current role.
#[derive(Debug)]
pub(crate) enum RoleState {
    Follower(FollowerState),
    PreCandidate(Ballot),
    Candidate(Ballot),
    Leader(LeaderState),
}

/// Tracks what a follower knows about its leader.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FollowerState {
    pub leader: Option<ReplicaId>,
    pub last_leader_contact: Option<Instant>,
    /// The latest heartbeat round of the leader that is known here; 0 if none is.
    pub leader_round: u64,
    /// The highest commit index that the leader has advertised.
    pub leader_commit: Revision,
    /// The first advertised commit index that this replica has not reached yet, with the
    /// time for which the leader advertised it.
    pub pending_proof: Option<(Revision, Instant)>,
    /// The latest time at which the sender was certainly the leader and had committed no
    /// more than `leader_commit`.
    pub commit_as_of: Option<Instant>,
    /// The latest time such that everything committed before it is known to be committed
    /// here.
    pub proven_current_at: Option<Instant>,
}

impl FollowerState {
    /// Records a commit index advertised by the leader, with the time at which the sender
    /// certainly led and had committed no more. Delayed or duplicated appends, which carry
    /// older values, lower neither.
    pub fn note_leader_commit(&mut self, advertised: Revision, commit_as_of: Option<Instant>) {
        self.leader_commit = self.leader_commit.max(advertised);
        self.commit_as_of = self.commit_as_of.max(commit_as_of);
        if let Some(commit_as_of) = commit_as_of {
            self.pending_proof
                .get_or_insert((self.leader_commit, commit_as_of));
        }
    }

    /// Records that everything up to `commit` is known to be committed here.
    ///
    /// Under a steady stream of commits, the leader's commit index is always ahead of what
    /// a replica in another region has received. The proof therefore dates from when the
    /// leader advertised an index that this replica has reached since. Requiring the latest
    /// advertised index made replicas report themselves as not current under load, and
    /// entry VMs left them: 12 times per entry VM within 24 s of heavy load.
    pub fn note_commit(&mut self, commit: Revision) {
        if self.leader_commit <= commit {
            self.proven_current_at = self.proven_current_at.max(self.commit_as_of);
            self.pending_proof = None;
        } else if let Some((_, commit_as_of)) = self
            .pending_proof
            .take_if(|(advertised, _)| *advertised <= commit)
        {
            self.proven_current_at = self.proven_current_at.max(Some(commit_as_of));
        }
    }
}

/// Collects the votes, or pre-votes, granted to this replica.
#[derive(Debug)]
pub(crate) struct Ballot {
    pub granted: BTreeSet<ReplicaId>,
    pub began_at: Instant,
}

impl Raft {
    /// Creates a replica from its durable state. The driver itself restores the
    /// replicated state from `durable.snapshot`; later entries are returned in
    /// [`Effects::committed`] once they are known to be committed.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings or the durable records are inconsistent.
    pub fn new(cfg: RaftConfig, durable: DurableState, now: Instant) -> Result<Self, RaftError> {
        cfg.check()?;
        let hard_state = durable.hard_state;
        let log = RaftLog::new(durable)?;
        let mut rng = ChaCha8Rng::seed_from_u64(cfg.seed);
        let first_reply_number = u64::from(rng.random::<u32>()) + 1;
        let mut raft = Self {
            commit: log.snapshot_index(),
            cfg,
            hard_state,
            log,
            role: RoleState::Follower(FollowerState::default()),
            election_deadline: now,
            pending: PendingProposals::default(),
            incoming: None,
            sent_replies: SentReplies::new(first_reply_number),
            disk_full: false,
            leaving: false,
            regions: BTreeMap::new(),
            contacts: BTreeMap::new(),
            last_leader: None,
            voters_seen: 0,
            vacant_since: None,
            heard: BTreeMap::new(),
            leaderless_since: Some(now),
            now,
            rng,
        };
        raft.track_vacancy();
        raft.start_first_timer();
        if raft.is_voter() && raft.membership().voters.len() == 1 {
            // A sole voter needs no other votes and can campaign at once.
            raft.election_deadline = now;
        }
        Ok(raft)
    }

    /// Processes one input and returns the effects that the driver must carry out.
    pub fn step(&mut self, now: Instant, input: Input) -> Effects {
        let mut fx = Effects::default();
        let before = self.role_change();
        self.now = self.now.max(now);
        self.expire_role(&mut fx);
        match input {
            Input::Tick => self.on_tick(&mut fx),
            Input::Message { from, message } => self.on_message(from, message, &mut fx),
            Input::Propose { token, command } => self.on_propose(token, command, &mut fx),
            Input::ReadBarrier { token } => self.on_read_barrier(token, &mut fx),
            Input::ChangeMembership { token, change } => {
                self.on_change_membership(token, change, &mut fx);
            }
            Input::Compact { index, data } => self.on_compact(index, data, &mut fx),
            Input::Persisted(position) => self.on_persisted(position, &mut fx),
            Input::Regions(regions) => self.regions = regions,
            Input::Contacts(contacts) => self.contacts = contacts,
            Input::DiskFull(full) => self.disk_full = full,
            Input::Leaving => self.leaving = true,
            Input::StepDown => self.on_step_down(&mut fx),
        }
        self.pending.expire(self.now, &mut fx.answers);
        self.track_vacancy();
        let after = self.role_change();
        if after != before {
            fx.role_changed = Some(after);
        }
        self.note_contact();
        fx
    }

    /// Returns when the next [`Input::Tick`] is due. May be in the past.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        let own = match &self.role {
            RoleState::Leader(leader) => leader.next_heartbeat,
            _ if self.may_campaign() => self.election_deadline,
            _ => self.now + IDLE_TICK_INTERVAL,
        };
        let others = [self.pending.expires(), self.leader_forgotten_at()];
        others.into_iter().flatten().fold(own, Instant::min)
    }

    /// Returns the identity from [`RaftConfig::id`].
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.cfg.id
    }

    /// Returns the current role; a follower that is not a voter is a learner.
    #[must_use]
    pub fn role(&self) -> Role {
        match &self.role {
            RoleState::Follower(_) if self.is_voter() => Role::Follower,
            RoleState::Follower(_) => Role::Learner,
            RoleState::PreCandidate(_) => Role::PreCandidate,
            RoleState::Candidate(_) => Role::Candidate,
            RoleState::Leader(_) => Role::Leader,
        }
    }

    /// Returns the leader of the current term; `None` if it is unknown.
    #[must_use]
    pub fn leader(&self) -> Option<ReplicaId> {
        match &self.role {
            RoleState::Follower(follower) => follower.leader,
            RoleState::PreCandidate(_) | RoleState::Candidate(_) => None,
            RoleState::Leader(_) => Some(self.cfg.id),
        }
    }

    /// Returns the current term, the highest that this replica has seen.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the membership in force: the latest in the log, committed or not.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Returns whether the membership in force is committed.
    #[must_use]
    pub fn membership_is_committed(&self) -> bool {
        self.log.membership_index() <= self.commit
    }

    /// Returns the index of the last log entry, committed or not.
    #[must_use]
    pub fn last_index(&self) -> Revision {
        self.log.last().index
    }

    /// Returns the highest index known to be committed.
    #[must_use]
    pub fn commit(&self) -> Revision {
        self.commit
    }

    /// Returns the index of the latest snapshot; 0 if there is none.
    #[must_use]
    pub fn snapshot_index(&self) -> Revision {
        self.log.snapshot_index()
    }

    /// Returns the approximate size in bytes of the entries after the latest snapshot. They
    /// are held in memory until [`Input::Compact`] releases them.
    #[must_use]
    pub fn bytes_since_snapshot(&self) -> usize {
        self.log.bytes_since_snapshot()
    }

    /// Returns the replication progress of the other members; empty unless this replica is
    /// the leader.
    #[must_use]
    pub fn progress(&self) -> Vec<ReplicaProgress> {
        let RoleState::Leader(leader) = &self.role else {
            return Vec::new();
        };
        let members = leader
            .peers
            .iter()
            .filter(|(id, _)| self.membership().contains(**id));
        members
            .map(|(id, peer)| ReplicaProgress {
                id: *id,
                voter: self.membership().voters.contains_key(id),
                matched: peer.matched,
                last_heard: peer.last_heard,
                snapshot: peer.snapshot_progress(),
            })
            .collect()
    }

    /// Returns the members whose disks are known to be full. A leader knows of all members; any
    /// other replica knows of itself only.
    #[must_use]
    pub fn full_disks(&self) -> BTreeSet<ReplicaId> {
        let mut full = match &self.role {
            RoleState::Leader(leader) => leader.full_disks(self.now, &self.cfg),
            _ => BTreeSet::new(),
        };
        if self.disk_full {
            full.insert(self.cfg.id);
        }
        full
    }

    /// Returns the latest time such that this replica is proven to know everything committed
    /// before it. For the leader, replies from a majority prove it; for a follower, a commit
    /// index advertised by the leader, dated by the last reply of this replica that the
    /// leader had received when it sent the message.
    ///
    /// Returns `None` until an entry of the current term is known to be committed: until
    /// then a new leader does not know what its predecessors committed, and the commit index
    /// that it advertises may be far behind.
    #[must_use]
    pub fn proven_current_at(&self) -> Option<Instant> {
        if self.log.term_at(self.commit) != Some(self.term()) {
            return None;
        }
        match &self.role {
            RoleState::Leader(leader) => Some(leader.quorum_contact(self.membership(), self.now)),
            RoleState::Follower(follower) => follower.leader.and(follower.proven_current_at),
            RoleState::PreCandidate(_) | RoleState::Candidate(_) => None,
        }
    }

    /// Returns the latest heartbeat round of the leader that this replica knows; `None` without a
    /// leader, and at the leader itself.
    #[must_use]
    pub fn known_round(&self) -> Option<OrderStamp> {
        let RoleState::Follower(follower) = &self.role else {
            return None;
        };
        let known = follower.leader.is_some() && follower.leader_round > 0;
        known.then_some(OrderStamp {
            term: self.term(),
            round: follower.leader_round,
        })
    }

    /// Returns when this replica began a heartbeat round; `None` if it doesn't lead in the term of
    /// the round, or if the round is too old to be known.
    #[must_use]
    pub fn round_began_at(&self, stamp: OrderStamp) -> Option<Instant> {
        match &self.role {
            RoleState::Leader(leader) if stamp.term == self.term() => leader.began_at(stamp.round),
            _ => None,
        }
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.membership().voters.contains_key(&self.cfg.id)
    }

    /// Returns whether this replica may become the leader. A voter whose removal is not committed
    /// may: if only its log has the removal, the others cannot be elected.
    pub(crate) fn may_campaign(&self) -> bool {
        self.log.is_voter_since(self.cfg.id, self.commit)
    }

    fn role_change(&self) -> RoleChange {
        RoleChange {
            role: self.role(),
            term: self.term(),
            leader: self.leader(),
        }
    }

    /// Gives up a role that has timed out, before the step's input is processed.
    ///
    /// A process that was suspended resumes with its old role and with buffered messages.
    /// Without this check it would continue as leader because of replies from before the
    /// suspension, although another leader may have been elected.
    fn expire_role(&mut self, fx: &mut Effects) {
        match &self.role {
            RoleState::Leader(leader) => {
                let contact = leader.quorum_contact(self.membership(), self.now);
                if self.now >= contact + self.cfg.election_max {
                    self.become_follower(None, &Refusal::NoQuorum, fx);
                }
            }
            RoleState::PreCandidate(_) | RoleState::Candidate(_) => {
                if self.now >= self.election_deadline {
                    self.start_pre_vote(fx);
                }
            }
            RoleState::Follower(_) => {}
        }
    }

    fn on_tick(&mut self, fx: &mut Effects) {
        if matches!(self.role, RoleState::Leader(_)) {
            self.on_leader_tick(fx);
            return;
        }
        if self.now >= self.election_deadline {
            self.start_pre_vote(fx);
        }
        if self.leader_forgotten_at().is_some_and(|at| self.now >= at) {
            let reason = Refusal::NotLeader { leader: None };
            self.become_follower(None, &reason, fx);
        }
    }

    /// Returns when a follower that cannot campaign forgets a leader that stays silent. Any other
    /// does so when it campaigns.
    fn leader_forgotten_at(&self) -> Option<Instant> {
        let RoleState::Follower(follower) = &self.role else {
            return None;
        };
        let contact = follower.leader.and(follower.last_leader_contact)?;
        let campaigns = self.may_campaign() && !self.disk_full;
        (!campaigns).then(|| contact + self.cfg.election_max)
    }

    fn on_disk_full_report(&mut self, from: ReplicaId) {
        self.with_leader(|leader, cx| leader.on_disk_full_report(from, cx));
    }

    fn on_leaving_report(&mut self, from: ReplicaId) {
        self.with_leader(|leader, cx| leader.on_leaving_report(from, cx));
    }

    fn on_message(&mut self, from: ReplicaId, message: Message, fx: &mut Effects) {
        if from == self.cfg.id {
            return;
        }
        self.note_heard(from);
        let Message { term, kind } = message;
        match kind {
            MessageKind::PreVote {
                last_index,
                last_term,
            } => self.on_pre_vote(from, term, (last_term, last_index), fx),
            MessageKind::PreVoteReply { granted } => {
                self.on_pre_vote_reply(from, term, granted, fx);
            }
            MessageKind::Vote {
                last_index,
                last_term,
                handover,
            } => self.on_vote(from, term, (last_term, last_index), handover, fx),
            kind => self.on_message_of_term(from, term, kind, fx),
        }
    }

    /// Handles the messages that follow the usual rule for terms: a lower term is stale, a
    /// higher one is adopted.
    fn on_message_of_term(
        &mut self,
        from: ReplicaId,
        term: Term,
        kind: MessageKind,
        fx: &mut Effects,
    ) {
        if term < self.term() {
            self.on_stale_term(from, &kind, fx);
            return;
        }
        if term > self.term() {
            self.enter_term(term, fx);
        }
        match kind {
            MessageKind::VoteReply { granted } => self.on_vote_reply(from, granted, fx),
            MessageKind::TimeoutNow => self.on_timeout_now(fx),
            MessageKind::AppendReply {
                matched,
                index,
                barrier,
                reply_number,
            } => self.on_append_reply(from, matched, index, barrier, reply_number, fx),
            MessageKind::SnapshotReply {
                index,
                received,
                installed,
            } => self.on_snapshot_reply(from, index, received, installed, fx),
            MessageKind::DiskFull => self.on_disk_full_report(from),
            MessageKind::Leaving => self.on_leaving_report(from),
            kind => self.on_leader_message(from, kind, fx),
        }
    }

    /// Replies to a leader of an earlier term, so that it learns of the current term and
    /// steps down.
    fn on_stale_term(&mut self, from: ReplicaId, kind: &MessageKind, fx: &mut Effects) {
        let from_leader = matches!(
            kind,
            MessageKind::Append { .. } | MessageKind::SnapshotChunk { .. }
        );
        if !from_leader {
            return;
        }
        let kind = MessageKind::AppendReply {
            matched: false,
            index: self.last_index().next(),
            // Rounds are numbered anew in each term, so the sender's number would name another
            // round if it leads again.
            barrier: NO_ROUND,
            reply_number: self.sent_replies.number(self.now),
        };
        self.send(from, kind, fx);
    }

    pub(crate) fn send(&self, to: ReplicaId, kind: MessageKind, fx: &mut Effects) {
        let term = self.term();
        fx.sends.push((to, Message { term, kind }));
    }

    /// Enters a later term as a follower without a known leader.
    pub(crate) fn enter_term(&mut self, term: Term, fx: &mut Effects) {
        self.set_hard_state(term, None, fx);
        self.become_follower(None, &Refusal::NotLeader { leader: None }, fx);
    }

    /// Becomes a follower in the current term; a former leader refuses its pending reads
    /// with `read_refusal`.
    pub(crate) fn become_follower(
        &mut self,
        leader: Option<ReplicaId>,
        read_refusal: &Refusal,
        fx: &mut Effects,
    ) {
        let follower = FollowerState {
            leader,
            last_leader_contact: leader.map(|_| self.now),
            ..FollowerState::default()
        };
        let former = std::mem::replace(&mut self.role, RoleState::Follower(follower));
        if let RoleState::Leader(mut leader) = former {
            leader.refuse_reads(read_refusal, fx);
            self.pending
                .leadership_lost(self.now + self.cfg.election_max * 2);
            self.restart_election_timer();
        }
    }

    pub(crate) fn set_hard_state(
        &mut self,
        term: Term,
        voted_for: Option<ReplicaId>,
        fx: &mut Effects,
    ) {
        self.hard_state = HardState { term, voted_for };
        fx.writes.push(LogWrite::HardState(self.hard_state));
    }

    /// Starts the first election timer, which is shorter than later ones. If there is a
    /// leader, the other voters refuse the pre-vote, so an early campaign does no harm. When
    /// all replicas start together, it saves half a second without a leader.
    fn start_first_timer(&mut self) {
        let shortest = (self.cfg.heartbeat * 2).min(self.cfg.election_min);
        self.election_deadline = self.now + self.timeout_between(shortest, self.cfg.election_min);
    }

    pub(crate) fn restart_election_timer(&mut self) {
        let (shortest, longest) = (self.cfg.election_min, self.cfg.election_max);
        self.election_deadline = self.now + self.timeout_between(shortest, longest);
    }

    /// Returns a random timeout from this voter's slot of the range, clear of the other
    /// voters' timeouts.
    ///
    /// The range is divided into one slot per voter, and the assignment rotates with the
    /// term. With timeouts drawn from the whole range, the two shortest of four differ by
    /// less than the one-way delay to another region (55 ms, with a range of 600 ms) one time
    /// in three; both replicas then campaign and each wins only the votes of its own region.
    /// With slots, timeouts differ by at least 0.75 of a slot: 90 ms with five voters and a
    /// range of 600 ms.
    fn timeout_between(&mut self, shortest: Duration, longest: Duration) -> Duration {
        let own = self.cfg.id;
        let voters = &self.membership().voters;
        let count = u32::try_from(voters.len()).unwrap_or(u32::MAX).max(1);
        let rank = voters.keys().position(|id| *id == own).unwrap_or(0);
        let slot = (rank as u64).wrapping_add(self.term().0) % u64::from(count);
        let slot_width = longest.saturating_sub(shortest) / count;
        let begin = shortest + slot_width * u32::try_from(slot).unwrap_or(0);
        self.rng.random_range(begin..=begin + slot_width / 4)
    }

    /// Commits the entries up to `index` and answers the requests that wait for them. Stops
    /// at the end of the log.
    pub(crate) fn commit_through(&mut self, index: Revision, fx: &mut Effects) {
        while self.commit < index {
            let next = self.commit.next();
            let Some(entry) = self.log.entry(next) else {
                return;
            };
            self.commit = next;
            self.pending.commit(entry, &mut fx.answers);
            fx.committed.push(entry.clone());
        }
    }

    fn on_compact(&mut self, index: Revision, data: Vec<u8>, fx: &mut Effects) {
        if index > self.commit {
            return;
        }
        if let Some(snapshot) = self.log.compact(index, data) {
            let snapshot = snapshot.as_ref().clone();
            fx.writes.push(LogWrite::Snapshot(snapshot));
        }
    }

    /// Calls `act` with the leader's state; returns `None` in any other role.
    pub(crate) fn with_leader<T>(
        &mut self,
        act: impl FnOnce(&mut LeaderState, &LeaderCx) -> T,
    ) -> Option<T> {
        let RoleState::Leader(leader) = &mut self.role else {
            return None;
        };
        let contact = leader.quorum_contact(self.log.membership(), self.now);
        let vacant_since = self.vacant_since.unwrap_or(self.now);
        let cx = LeaderCx {
            cfg: &self.cfg,
            term: self.hard_state.term,
            log: &self.log,
            commit: self.commit,
            now: self.now,
            contact,
            regions: &self.regions,
            vacant_for: self.now.saturating_duration_since(vacant_since),
        };
        Some(act(leader, &cx))
    }
}

pub(crate) fn refuse(token: Token, reason: Refusal, fx: &mut Effects) {
    fx.answers.push(Answer::Refused { token, reason });
}
