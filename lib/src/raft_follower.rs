//! Handling of the leader's appends and snapshots by a follower or learner.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::id::ReplicaId;
use crate::id::Revision;
use crate::id::Term;
use crate::raft::FollowerState;
use crate::raft::Raft;
use crate::raft::RoleState;
use crate::raft_effects::Effects;
use crate::raft_effects::Refusal;
use crate::raft_message::LogEntry;
use crate::raft_message::LogPosition;
use crate::raft_message::LogWrite;
use crate::raft_message::Membership;
use crate::raft_message::Message;
use crate::raft_message::MessageKind;
use crate::raft_message::Snapshot;

/// Collects the chunks of a snapshot received so far.
///
/// All come from one leader, since another leader may encode the same state differently.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    leader_term: Term,
    at: LogPosition,
    membership: Membership,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    fn into_snapshot(self) -> Snapshot {
        Snapshot {
            index: self.at.index,
            term: self.at.term,
            membership: self.membership,
            data: self.data.into(),
        }
    }
}

/// Contains one received chunk of a snapshot.
#[derive(Debug)]
struct IncomingChunk {
    at: LogPosition,
    membership: Membership,
    offset: u64,
    data: Vec<u8>,
    last: bool,
}

/// Contains the fields of a received append that concern the log.
#[derive(Debug)]
struct Append {
    previous: LogPosition,
    entries: Vec<LogEntry>,
    commit: Revision,
    /// Number of the leader's heartbeat round.
    barrier: u64,
}

impl Raft {
    /// Handles messages that only the leader of the current term sends.
    pub(crate) fn on_leader_message(
        &mut self,
        from: ReplicaId,
        kind: MessageKind,
        fx: &mut Effects,
    ) {
        if matches!(self.role, RoleState::Leader(_)) {
            // There is at most one leader per term, so this message is forged or corrupted.
            return;
        }
        self.record_leader_contact(from, fx);
        match kind {
            MessageKind::Append {
                previous_index: index,
                previous_term: term,
                entries,
                commit,
                barrier,
                reply_number,
                contact_ms,
            } => {
                let commit_as_of = self.commit_as_of(reply_number, contact_ms);
                self.note_leader_commit(commit, commit_as_of);
                self.note_leader_round(barrier);
                let append = Append {
                    previous: LogPosition { index, term },
                    entries,
                    commit,
                    barrier,
                };
                self.on_append(from, append, fx);
            }
            MessageKind::SnapshotChunk {
                index,
                snapshot_term: term,
                membership,
                offset,
                data,
                last,
            } => {
                self.note_leader_commit(index, None);
                let chunk = IncomingChunk {
                    at: LogPosition { index, term },
                    membership,
                    offset,
                    data,
                    last,
                };
                self.on_snapshot_chunk(from, chunk, fx);
            }
            _ => {}
        }
        if let RoleState::Follower(follower) = &mut self.role {
            follower.note_commit(self.commit);
        }
    }

    fn note_leader_commit(&mut self, commit: Revision, commit_as_of: Option<Instant>) {
        if let RoleState::Follower(follower) = &mut self.role {
            follower.note_leader_commit(commit, commit_as_of);
        }
    }

    fn note_leader_round(&mut self, round: u64) {
        if let RoleState::Follower(follower) = &mut self.role {
            follower.leader_round = follower.leader_round.max(round);
        }
    }

    /// Returns a time, by the local clock, at which the sender of an append certainly led and
    /// had committed no more than the append states; `None` if the time at which this replica
    /// sent its reply `reply_number` is unknown.
    ///
    /// The leader sent the append after it had received that reply, and was last proven to
    /// lead `contact_ms` before it sent the append.
    fn commit_as_of(&self, reply_number: u64, contact_ms: u32) -> Option<Instant> {
        let sent_at = self.sent_replies.sent_at(reply_number)?;
        sent_at.checked_sub(Duration::from_millis(contact_ms.into()))
    }

    fn record_leader_contact(&mut self, leader: ReplicaId, fx: &mut Effects) {
        self.last_leader = Some((leader, self.now));
        match &mut self.role {
            RoleState::Follower(FollowerState {
                leader: Some(known),
                last_leader_contact,
                ..
            }) if *known == leader => *last_leader_contact = Some(self.now),
            _ => {
                let reason = Refusal::NotLeader {
                    leader: Some(leader),
                };
                self.become_follower(Some(leader), &reason, fx);
            }
        }
        self.restart_election_timer();
    }

    fn on_append(&mut self, from: ReplicaId, append: Append, fx: &mut Effects) {
        if !is_continuous(&append) {
            return;
        }
        if self.disk_full {
            self.send(from, MessageKind::DiskFull, fx);
        }
        if self.leaving {
            self.send(from, MessageKind::Leaving, fx);
        }
        let barrier = append.barrier;
        let append = self.skip_committed(append);
        let previous = append.previous;
        if self.log.term_at(previous.index) != Some(previous.term) {
            let index = self.retry_index(previous.index);
            let matched = false;
            let kind = MessageKind::AppendReply {
                matched,
                index,
                barrier,
                reply_number: self.sent_replies.number(self.now),
            };
            self.send(from, kind, fx);
            return;
        }
        let last = Revision(previous.index.0 + append.entries.len() as u64);
        for entry in append.entries {
            self.store_entry(entry, fx);
        }
        self.commit_through(append.commit.min(last), fx);
        self.acknowledge_append(from, last, barrier, fx);
    }

    /// Replies that the log matches the leader's through `last`. A reply that does not wait for
    /// records of its own step covers only the entries that are durable already.
    fn acknowledge_append(
        &mut self,
        leader: ReplicaId,
        last: Revision,
        barrier: u64,
        fx: &mut Effects,
    ) {
        let waits = !fx.writes.is_empty();
        let index = if waits {
            last
        } else {
            last.min(self.log.persisted())
        };
        let kind = MessageKind::AppendReply {
            matched: true,
            index,
            barrier,
            reply_number: self.sent_replies.number(self.now),
        };
        let term = self.term();
        let replies = if waits { &mut fx.acks } else { &mut fx.sends };
        replies.push((leader, Message { term, kind }));
    }

    /// Removes the entries that are already committed here. Every leader's log contains the
    /// same entries there, so they match even where this replica has compacted its log.
    fn skip_committed(&self, mut append: Append) -> Append {
        if append.previous.index >= self.commit {
            return append;
        }
        append.entries.retain(|entry| entry.index > self.commit);
        append.previous = LogPosition {
            index: self.commit,
            term: self.log.term_at(self.commit).unwrap_or_default(),
        };
        append
    }

    /// Returns the index from which the leader should retry: just past the end of a log
    /// that is too short, otherwise the start of the conflicting term, so that a conflict
    /// costs one round trip per term instead of one per entry.
    fn retry_index(&self, index: Revision) -> Revision {
        let last = self.last_index();
        if index > last {
            return last.next();
        }
        self.log.first_of_term(index, self.commit.next())
    }

    fn store_entry(&mut self, entry: LogEntry, fx: &mut Effects) {
        let local_term = self.log.term_at(entry.index);
        if local_term == Some(entry.term) {
            return;
        }
        if local_term.is_some() {
            self.truncate(entry.index, fx);
        }
        fx.writes.push(LogWrite::Append(entry.clone()));
        self.log.append(entry);
    }

    fn truncate(&mut self, from: Revision, fx: &mut Effects) {
        self.log.truncate(from);
        fx.writes.push(LogWrite::Truncate(from));
    }

    fn on_snapshot_chunk(&mut self, from: ReplicaId, chunk: IncomingChunk, fx: &mut Effects) {
        let index = chunk.at.index;
        if self.log.term_at(index) == Some(chunk.at.term) {
            // The log contains this entry, so everything before it equals the leader's log.
            self.commit_through(index, fx);
        }
        if index <= self.commit {
            self.incoming = None;
            if index <= self.log.persisted() {
                self.send_snapshot_reply(from, index, 0, true, fx);
            }
            return;
        }
        let last = chunk.last;
        let complete = self.add_chunk(chunk) && last;
        let received = self.received_bytes();
        if complete && let Some(incoming) = self.incoming.take() {
            self.install(incoming.into_snapshot(), fx);
        }
        self.send_snapshot_reply(from, index, received, complete, fx);
    }

    /// Adds a chunk to the incoming snapshot, or starts a new one; returns whether it was the
    /// next chunk in order. Others are dropped.
    fn add_chunk(&mut self, chunk: IncomingChunk) -> bool {
        let leader_term = self.term();
        let continues_incoming = self
            .incoming
            .as_ref()
            .is_some_and(|incoming| incoming.leader_term == leader_term && incoming.at == chunk.at);
        if !continues_incoming {
            self.incoming = Some(IncomingSnapshot {
                leader_term,
                at: chunk.at,
                membership: chunk.membership,
                data: Vec::new(),
            });
        }
        let is_next = chunk.offset == self.received_bytes();
        if is_next && let Some(incoming) = &mut self.incoming {
            incoming.data.extend(chunk.data);
        }
        is_next
    }

    fn received_bytes(&self) -> u64 {
        self.incoming
            .as_ref()
            .map_or(0, |incoming| incoming.data.len() as u64)
    }

    fn install(&mut self, snapshot: Snapshot, fx: &mut Effects) {
        let first_after_commit = self.commit.next();
        if self.last_index() >= first_after_commit {
            // The uncommitted entries conflict with the snapshot.
            fx.writes.push(LogWrite::Truncate(first_after_commit));
        }
        self.pending
            .resolve_covered(snapshot.index, &mut fx.answers);
        fx.writes.push(LogWrite::Snapshot(snapshot.clone()));
        self.commit = snapshot.index;
        self.log.restore(Arc::new(snapshot.clone()));
        fx.committed.clear();
        fx.restored = Some(snapshot);
    }

    fn send_snapshot_reply(
        &self,
        to: ReplicaId,
        index: Revision,
        received: u64,
        installed: bool,
        fx: &mut Effects,
    ) {
        let kind = MessageKind::SnapshotReply {
            index,
            received,
            installed,
        };
        self.send(to, kind, fx);
    }
}

/// Returns whether the entries are consecutive and follow the previous position. A message
/// that violates this is corrupted, and accepting it would leave a gap in the log.
fn is_continuous(append: &Append) -> bool {
    let mut before = append.previous;
    append.entries.iter().all(|entry| {
        let index_before = entry.index.0.checked_sub(1);
        let follows = index_before == Some(before.index.0) && entry.term >= before.term;
        before = entry.position();
        follows
    })
}
