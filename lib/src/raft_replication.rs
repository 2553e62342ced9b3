//! Duties of a leader: appending and committing entries, confirming reads, and handing
//! leadership over.

use crate::id::ReplicaId;
use crate::id::Revision;
use crate::raft::Raft;
use crate::raft::RoleState;
use crate::raft::refuse;
use crate::raft_effects::Effects;
use crate::raft_effects::Refusal;
use crate::raft_effects::Token;
use crate::raft_leader::Handover;
use crate::raft_message::LogEntry;
use crate::raft_message::LogPayload;
use crate::raft_message::LogPosition;
use crate::raft_message::LogWrite;

impl Raft {
    /// Appends an entry to the leader's log and returns its index.
    pub(crate) fn append_as_leader(&mut self, payload: LogPayload, fx: &mut Effects) -> Revision {
        let index = self.last_index().next();
        let entry = LogEntry {
            index,
            term: self.term(),
            payload,
        };
        fx.writes.push(LogWrite::Append(entry.clone()));
        self.log.append(entry);
        index
    }

    /// Replicates newly appended entries.
    pub(crate) fn after_append(&mut self, fx: &mut Effects) {
        self.with_leader(|leader, cx| {
            leader.add_peers(cx.log.membership(), cx.log.last().index, cx.now);
            leader.replicate_all(cx, fx);
        });
        self.advance_commit(fx);
    }

    /// Commits the entries that a majority holds.
    ///
    /// Only entries of the leader's own term are committed by counting replicas; the entries
    /// before them are committed with them. An older entry may be on a majority and still be
    /// replaced by a leader whose last log term lies between the two.
    pub(crate) fn advance_commit(&mut self, fx: &mut Effects) {
        let RoleState::Leader(leader) = &self.role else {
            return;
        };
        let majority_match = leader.quorum_match(self.membership(), self.log.persisted());
        let countable = self.log.term_at(majority_match) == Some(self.term());
        if majority_match <= self.commit || !countable {
            return;
        }
        self.commit_through(majority_match, fx);
        self.drive_membership(fx);
        self.with_leader(|leader, cx| leader.replicate_all(cx, fx));
        self.drive_reads(fx);
    }

    pub(crate) fn on_persisted(&mut self, position: LogPosition, fx: &mut Effects) {
        self.log.set_persisted(position);
        self.advance_commit(fx);
    }

    fn drive_reads(&mut self, fx: &mut Effects) {
        self.with_leader(|leader, cx| leader.drive_reads(cx.log.membership(), cx, fx));
    }

    pub(crate) fn on_append_reply(
        &mut self,
        from: ReplicaId,
        matched: bool,
        index: Revision,
        barrier: u64,
        reply_number: u64,
        fx: &mut Effects,
    ) {
        self.with_leader(|leader, cx| {
            leader.on_round_reply(from, barrier);
            let Some(progress) = leader.peers.get_mut(&from) else {
                return;
            };
            progress.last_heard = Some(cx.now);
            progress.reply_number = reply_number;
            if !matched {
                progress.on_mismatch(index);
            } else if index <= cx.log.last().index {
                progress.on_match(index);
            }
        });
        self.after_reply(from, fx);
    }

    pub(crate) fn on_snapshot_reply(
        &mut self,
        from: ReplicaId,
        index: Revision,
        received: u64,
        installed: bool,
        fx: &mut Effects,
    ) {
        self.with_leader(|leader, cx| {
            if let Some(progress) = leader.peers.get_mut(&from)
                && index <= cx.log.last().index
            {
                progress.last_heard = Some(cx.now);
                progress.on_snapshot_reply(index, received, installed);
            }
        });
        self.after_reply(from, fx);
    }

    fn after_reply(&mut self, from: ReplicaId, fx: &mut Effects) {
        self.advance_commit(fx);
        self.with_leader(|leader, cx| {
            leader.replicate(from, cx, fx);
            if leader.handover.is_some_and(|it| it.target == from) {
                leader.send_timeout_now(cx, fx);
            }
        });
        self.drive_reads(fx);
        self.drive_membership(fx);
    }

    pub(crate) fn on_leader_tick(&mut self, fx: &mut Effects) {
        self.cancel_expired_handover();
        self.with_leader(|leader, cx| {
            if cx.now >= leader.next_heartbeat {
                leader.begin_heartbeat_round(cx, fx);
            }
            leader.drop_removed(cx.log.membership(), cx);
            leader.replicate_all(cx, fx);
        });
        self.drive_reads(fx);
        self.drive_membership(fx);
    }

    pub(crate) fn on_propose(&mut self, token: Token, command: Vec<u8>, fx: &mut Effects) {
        if let Some(reason) = self.proposal_refusal() {
            refuse(token, reason, fx);
            return;
        }
        let payload = LogPayload::Command(command.into());
        self.append_proposal(token, payload, fx);
    }

    pub(crate) fn append_proposal(&mut self, token: Token, payload: LogPayload, fx: &mut Effects) {
        let index = self.append_as_leader(payload, fx);
        let bytes = self.log.entry(index).map_or(0, LogEntry::size);
        self.pending.insert(index, self.term(), token, bytes);
        self.after_append(fx);
    }

    /// Returns why no proposal can be accepted now; `None` if one can. A refused proposal is
    /// not in the log.
    pub(crate) fn proposal_refusal(&self) -> Option<Refusal> {
        let RoleState::Leader(leader) = &self.role else {
            let leader = self.leader();
            return Some(Refusal::NotLeader { leader });
        };
        if leader.handover.is_some() {
            return Some(Refusal::HandingOver);
        }
        let contact = leader.quorum_contact(self.membership(), self.now);
        if self.now >= contact + self.cfg.election_min {
            return Some(Refusal::NoQuorum);
        }
        if !self.majority_can_write() {
            return Some(Refusal::DisksFull);
        }
        if self.pending.is_full() {
            return Some(Refusal::Busy);
        }
        None
    }

    /// Returns whether the voters that are not known to have a full disk form a majority.
    fn majority_can_write(&self) -> bool {
        let full = self.full_disks();
        let voters = self.membership().voters.keys();
        let writable = voters.filter(|id| !full.contains(id)).count();
        writable >= self.membership().majority()
    }

    pub(crate) fn on_read_barrier(&mut self, token: Token, fx: &mut Effects) {
        if !matches!(self.role, RoleState::Leader(_)) {
            let leader = self.leader();
            refuse(token, Refusal::NotLeader { leader }, fx);
            return;
        }
        self.with_leader(|leader, _| leader.read(token, fx));
        self.drive_reads(fx);
    }

    pub(crate) fn on_step_down(&mut self, fx: &mut Effects) {
        self.start_handover(fx);
    }

    /// Starts a handover to the live voter with the highest matching index, if there is one.
    pub(crate) fn start_handover(&mut self, fx: &mut Effects) {
        self.with_leader(|leader, cx| {
            if leader.handover.is_some() {
                return;
            }
            let deadline = cx.now + cx.cfg.election_max;
            leader.handover = leader
                .handover_target(cx.log.membership(), cx)
                .map(|target| Handover { target, deadline });
            leader.send_timeout_now(cx, fx);
        });
    }

    /// Gives up a handover whose target did not become leader in time, so that proposals are
    /// accepted again.
    fn cancel_expired_handover(&mut self) {
        self.with_leader(|leader, cx| {
            if leader.handover.is_some_and(|it| cx.now >= it.deadline) {
                leader.handover = None;
                leader.handover_paused_until = cx.now + cx.cfg.election_max * 4;
            }
        });
    }
}
