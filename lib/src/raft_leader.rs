//! State of a leader: the progress of the other replicas, heartbeat rounds, pending
//! reads, and a handover in progress.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::id::ReplicaId;
use crate::id::Revision;
use crate::raft_config::RaftConfig;
use crate::raft_effects::Answer;
use crate::raft_effects::Effects;
use crate::raft_effects::Refusal;
use crate::raft_effects::Token;
use crate::raft_message::Membership;
use crate::raft_message::Message;
use crate::raft_message::MessageKind;
use crate::raft_progress::LeaderCx;
use crate::raft_progress::Progress;
use crate::replica_plan::SeatTiming;

/// Number that no round has; the first round of a term has 1.
pub(crate) const NO_ROUND: u64 = 0;

/// Number of rounds not yet answered by a majority that stops reads from starting rounds.
/// They wait for the next heartbeat instead.
const MAX_UNANSWERED_ROUNDS: u64 = 16;

/// Limit on pending reads; further ones are refused.
const MAX_PENDING_READS: usize = 16_384;

/// Contains the state of a leader.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub peers: BTreeMap<ReplicaId, Progress>,
    /// Index of the first entry that this leader appended. Until it is committed, the
    /// leader does not know everything that is committed.
    pub term_start: Revision,
    pub next_heartbeat: Instant,
    pub handover: Option<Handover>,
    /// No handover starts automatically before this time.
    pub handover_paused_until: Instant,
    pub elected_at: Instant,
    own_id: ReplicaId,
    round: u64,
    rounds: VecDeque<HeartbeatRound>,
    reads: Vec<PendingRead>,
}

/// Represents a round of heartbeats that replicas may still answer.
#[derive(Clone, Copy, Debug)]
struct HeartbeatRound {
    number: u64,
    began_at: Instant,
}

/// Represents a read that waits for proof that this replica is still the leader.
#[derive(Debug)]
struct PendingRead {
    token: Token,
    /// `None` until the first entry of the term is committed.
    read_index: Option<ReadIndex>,
}

/// Contains the index at which a read may be served, and the round that must be
/// answered by a majority first.
#[derive(Clone, Copy, Debug)]
struct ReadIndex {
    index: Revision,
    round: u64,
}

/// Represents a handover of leadership in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Handover {
    pub target: ReplicaId,
    pub deadline: Instant,
}

impl LeaderState {
    /// Creates the state of a new leader. `contact` is the start of its candidacy: a vote
    /// proves only that the voter was in contact at some time after it.
    pub fn new(
        own_id: ReplicaId,
        membership: &Membership,
        last: Revision,
        contact: Instant,
        now: Instant,
    ) -> Self {
        let mut leader = Self {
            peers: BTreeMap::new(),
            term_start: last.next(),
            next_heartbeat: now,
            handover: None,
            handover_paused_until: now,
            elected_at: now,
            own_id,
            round: NO_ROUND,
            rounds: VecDeque::new(),
            reads: Vec::new(),
        };
        leader.add_peers(membership, last, contact);
        leader
    }

    /// Starts replication to members that are not replicated to yet. Replication to a replica that
    /// was removed and added again is not ended by [`Self::drop_removed`].
    pub fn add_peers(&mut self, membership: &Membership, last: Revision, contact: Instant) {
        for id in membership.ids() {
            if id != self.own_id {
                let progress = self
                    .peers
                    .entry(id)
                    .or_insert_with(|| Progress::new(last.next(), contact));
                progress.served_until = None;
            }
        }
    }

    /// Stops replication to removed replicas, four times `election_max` after their removal.
    pub fn drop_removed(&mut self, membership: &Membership, cx: &LeaderCx) {
        let grace_period = cx.cfg.election_max * 4;
        self.peers.retain(|id, progress| {
            if membership.contains(*id) {
                return true;
            }
            let served_until = *progress.served_until.get_or_insert(cx.now + grace_period);
            cx.now < served_until
        });
    }

    /// Starts a new round of heartbeats.
    pub fn begin_heartbeat_round(&mut self, cx: &LeaderCx, fx: &mut Effects) {
        self.round += 1;
        self.rounds.push_back(HeartbeatRound {
            number: self.round,
            began_at: cx.now,
        });
        let max_age = cx.cfg.election_max * 2;
        while let Some(first) = self.rounds.front() {
            if cx.now < first.began_at + max_age {
                break;
            }
            self.rounds.pop_front();
        }
        self.next_heartbeat = cx.now + cx.cfg.heartbeat;
        for (id, progress) in &mut self.peers {
            progress.send_heartbeat(*id, self.round, cx, fx);
        }
        self.send_timeout_now(cx, fx);
    }

    /// Sends entries or snapshot chunks to all replicas that need them.
    pub fn replicate_all(&mut self, cx: &LeaderCx, fx: &mut Effects) {
        for (id, progress) in &mut self.peers {
            progress.replicate(*id, self.round, cx, fx);
        }
    }

    /// Sends entries or a snapshot chunk to one replica if it needs them.
    pub fn replicate(&mut self, to: ReplicaId, cx: &LeaderCx, fx: &mut Effects) {
        if let Some(progress) = self.peers.get_mut(&to) {
            progress.replicate(to, self.round, cx, fx);
        }
    }

    /// Records that a replica answered a round.
    ///
    /// The contact is dated by the start of the round, not by the arrival of the reply: a
    /// reply that was buffered while this process was suspended proves nothing about the
    /// time since.
    pub fn on_round_reply(&mut self, from: ReplicaId, number: u64) {
        let began_at = self.began_at(number);
        let Some(progress) = self.peers.get_mut(&from) else {
            return;
        };
        if let Some(began_at) = began_at {
            progress.acked_round = progress.acked_round.max(number);
            progress.contact = progress.contact.max(began_at);
        }
    }

    /// Returns when a round of this leader began; `None` if it is unknown or no longer kept.
    pub fn began_at(&self, number: u64) -> Option<Instant> {
        let oldest = self.rounds.front()?.number;
        let offset = usize::try_from(number.checked_sub(oldest)?).ok()?;
        self.rounds.get(offset).map(|round| round.began_at)
    }

    /// Returns the latest time at which a majority certainly followed this leader.
    pub fn quorum_contact(&self, membership: &Membership, now: Instant) -> Instant {
        membership
            .quorum_value(|id| self.peers.get(&id).map_or(now, |peer| peer.contact))
            .unwrap_or(now)
    }

    /// Returns the highest index that a majority holds durably; `persisted` is the leader's own.
    pub fn quorum_match(&self, membership: &Membership, persisted: Revision) -> Revision {
        membership
            .quorum_value(|id| self.peers.get(&id).map_or(persisted, |peer| peer.matched))
            .unwrap_or_default()
    }

    /// Returns the latest round that a majority answered.
    fn quorum_round(&self, membership: &Membership) -> u64 {
        membership
            .quorum_value(|id| {
                self.peers
                    .get(&id)
                    .map_or(self.round, |peer| peer.acked_round)
            })
            .unwrap_or(0)
    }

    /// Queues a read. It is answered once a majority has answered a round that starts after
    /// this call.
    pub fn read(&mut self, token: Token, fx: &mut Effects) {
        if self.reads.len() >= MAX_PENDING_READS {
            let reason = Refusal::Busy;
            fx.answers.push(Answer::Refused { token, reason });
            return;
        }
        self.reads.push(PendingRead {
            token,
            read_index: None,
        });
    }

    /// Starts a round if pending reads need one, and answers the reads for which leadership is
    /// proven.
    pub fn drive_reads(&mut self, membership: &Membership, cx: &LeaderCx, fx: &mut Effects) {
        if self.reads.is_empty() || cx.commit < self.term_start {
            return;
        }
        for read in &mut self.reads {
            read.read_index.get_or_insert(ReadIndex {
                index: cx.commit,
                round: self.round + 1,
            });
        }
        let round_needed = self
            .reads
            .iter()
            .any(|read| read.needs_round_after(self.round));
        let unanswered = self.round - self.quorum_round(membership).min(self.round);
        if round_needed && unanswered < MAX_UNANSWERED_ROUNDS {
            self.begin_heartbeat_round(cx, fx);
        }
        self.answer_reads(membership, fx);
    }

    fn answer_reads(&mut self, membership: &Membership, fx: &mut Effects) {
        let answered_round = self.quorum_round(membership);
        self.reads.retain(|read| match read.read_index {
            Some(read_index) if read_index.round <= answered_round => {
                fx.answers.push(Answer::ReadReady {
                    token: read.token,
                    index: read_index.index,
                });
                false
            }
            _ => true,
        });
    }

    /// Refuses all pending reads when leadership ends.
    pub fn refuse_reads(&mut self, reason: &Refusal, fx: &mut Effects) {
        fx.answers
            .extend(self.reads.drain(..).map(|read| Answer::Refused {
                token: read.token,
                reason: reason.clone(),
            }));
    }

    /// Records that a replica reported its disk to be full.
    pub fn on_disk_full_report(&mut self, from: ReplicaId, cx: &LeaderCx) {
        if let Some(progress) = self.peers.get_mut(&from) {
            progress.disk_full_at = Some(cx.now);
        }
    }

    /// Records that a replica is about to stop.
    pub fn on_leaving_report(&mut self, from: ReplicaId, cx: &LeaderCx) {
        if let Some(progress) = self.peers.get_mut(&from) {
            progress.leaving_at = Some(cx.now);
        }
    }

    /// Returns the other replicas whose disks are full.
    pub fn full_disks(&self, now: Instant, cfg: &RaftConfig) -> BTreeSet<ReplicaId> {
        let peers = self.peers.iter();
        let full = peers.filter(|(_, progress)| progress.is_disk_full(now, cfg));
        full.map(|(id, _)| *id).collect()
    }

    /// Returns the live voter with the highest matching index, other than this replica and those
    /// that are about to stop or whose disks are full.
    pub fn handover_target(&self, membership: &Membership, cx: &LeaderCx) -> Option<ReplicaId> {
        let candidates = self.peers.iter().filter(|(id, progress)| {
            membership.voters.contains_key(id)
                && progress.is_live(cx.now, cx.cfg)
                && !progress.is_disk_full(cx.now, cx.cfg)
                && !progress.is_leaving(cx.now, cx.cfg)
        });
        candidates
            .max_by_key(|(_, progress)| progress.matched)
            .map(|(id, _)| *id)
    }

    /// Asks the target of a handover to campaign, once it has the whole log.
    pub fn send_timeout_now(&self, cx: &LeaderCx, fx: &mut Effects) {
        let Some(handover) = self.handover else {
            return;
        };
        let Some(progress) = self.peers.get(&handover.target) else {
            return;
        };
        if progress.matched == cx.log.last().index {
            let kind = MessageKind::TimeoutNow;
            let term = cx.term;
            fx.sends.push((handover.target, Message { term, kind }));
        }
    }

    /// Returns the time since each other voter was last heard from. Until live replicas have had
    /// time to answer this leader, it has only those that are about to stop, which count as silent for
    /// long enough to make room for a learner that preserves the spread over regions.
    pub fn voter_silence(
        &self,
        membership: &Membership,
        timing: SeatTiming,
        cx: &LeaderCx,
    ) -> BTreeMap<ReplicaId, Duration> {
        let may_have_answered = cx.now >= self.elected_at + cx.cfg.election_min;
        let voters = self.peers.iter();
        let voters = voters.filter(|(id, _)| membership.voters.contains_key(id));
        let silence = voters.filter_map(|(id, progress)| {
            if progress.is_leaving(cx.now, cx.cfg) {
                return Some((*id, timing.silent_after));
            }
            may_have_answered.then(|| (*id, progress.silence(cx.now)))
        });
        silence.collect()
    }

    /// Returns how many voters of a membership are live, this replica included.
    pub fn live_voters(&self, membership: &Membership, cx: &LeaderCx) -> usize {
        let is_live = |id: &ReplicaId| match self.peers.get(id) {
            Some(progress) => progress.is_live(cx.now, cx.cfg),
            None => *id == self.own_id,
        };
        membership.voters.keys().filter(|id| is_live(id)).count()
    }
}

impl PendingRead {
    fn needs_round_after(&self, round: u64) -> bool {
        self.read_index
            .is_some_and(|read_index| read_index.round > round)
    }
}
