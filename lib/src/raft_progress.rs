//! Replication progress of another replica, as tracked by the leader.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::id::RegionName;
use crate::id::ReplicaId;
use crate::id::Revision;
use crate::id::Term;
use crate::raft_config::RaftConfig;
use crate::raft_effects::Effects;
use crate::raft_effects::SnapshotProgress;
use crate::raft_log::RaftLog;
use crate::raft_message::LogEntry;
use crate::raft_message::Message;
use crate::raft_message::MessageKind;
use crate::raft_message::Snapshot;

/// Limit on the unacknowledged appends with entries to one replica.
const MAX_IN_FLIGHT: usize = 16;

/// Limit on the unacknowledged bytes to one replica, as a multiple of `max_append_bytes`.
/// Without it, large entries for a slow replica would exhaust the leader's memory.
const MAX_IN_FLIGHT_FULL: usize = 4;

/// Provides the leader's context to code that sends messages.
pub(crate) struct LeaderCx<'a> {
    pub cfg: &'a RaftConfig,
    pub term: Term,
    pub log: &'a RaftLog,
    pub commit: Revision,
    pub now: Instant,
    /// When this replica was last proven to lead.
    pub contact: Instant,
    /// Regions of the replicas, as far as they are known.
    pub regions: &'a BTreeMap<ReplicaId, RegionName>,
    /// Time for which there have been too few voters.
    pub vacant_for: Duration,
}

impl LeaderCx<'_> {
    fn contact_ms(&self) -> u32 {
        let age = self.now.saturating_duration_since(self.contact);
        u32::try_from(age.as_millis()).map_or(u32::MAX, |ms| ms.saturating_add(1))
    }
}

/// Represents how entries are sent to a replica.
#[derive(Debug)]
enum Mode {
    /// The last matching index is unknown; one append is sent at a time.
    Probe { waiting: bool },
    /// Appends are pipelined, without waiting for replies. `in_flight` are those without
    /// a reply.
    Replicate { in_flight: VecDeque<InFlight> },
    /// The entries that the replica needs are compacted; a snapshot is sent first.
    Snapshot(SnapshotTransfer),
}

/// Represents an unacknowledged append.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    last: Revision,
    bytes: usize,
}

/// Represents a snapshot being sent.
#[derive(Debug)]
struct SnapshotTransfer {
    snapshot: Arc<Snapshot>,
    received: usize,
    /// When the chunk at offset `received` was sent; `None` if it was not.
    sent_at: Option<Instant>,
}

/// Tracks the replication progress of another replica.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Highest index up to which the replica acknowledged a durable, matching log.
    pub matched: Revision,
    /// Number of its last append reply; 0 if there was none.
    pub reply_number: u64,
    /// Latest heartbeat round that the replica answered.
    pub acked_round: u64,
    /// When that round began; before the first reply, when the leader's candidacy began or
    /// the replica was added.
    pub contact: Instant,
    /// When the last reply arrived from the replica in this term.
    pub last_heard: Option<Instant>,
    /// Time from which on silence counts until the first reply arrives.
    pub silent_since: Instant,
    /// When replication to a removed replica ends; `None` for a member. It continues for a
    /// while after the removal, so that the replica learns of it and does not campaign.
    pub served_until: Option<Instant>,
    /// When the replica last reported that its disk is full.
    pub disk_full_at: Option<Instant>,
    /// When the replica last reported that it is about to stop.
    pub leaving_at: Option<Instant>,
    next: Revision,
    mode: Mode,
    sent_commit: Revision,
    catch_up_target: Option<CatchUpTarget>,
}

/// Represents the index that a learner has to reach before it is promoted.
#[derive(Clone, Copy, Debug)]
struct CatchUpTarget {
    index: Revision,
    set_at: Instant,
}

impl Progress {
    /// Creates the progress of a replica whose log is unknown; `next` is the first index to
    /// try.
    pub fn new(next: Revision, contact: Instant) -> Self {
        Self {
            matched: Revision(0),
            reply_number: 0,
            acked_round: 0,
            contact,
            last_heard: None,
            silent_since: contact,
            served_until: None,
            disk_full_at: None,
            leaving_at: None,
            next,
            mode: Mode::Probe { waiting: false },
            sent_commit: Revision(0),
            catch_up_target: None,
        }
    }

    /// Returns whether the replica replied within the last `election_max`.
    pub fn is_live(&self, now: Instant, cfg: &RaftConfig) -> bool {
        self.last_heard
            .is_some_and(|heard| now < heard + cfg.election_max)
    }

    /// Returns the time since the replica was last heard from.
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_heard.unwrap_or(self.silent_since))
    }

    /// Returns whether the replica reported within the last `election_max` that its disk is full.
    pub fn is_disk_full(&self, now: Instant, cfg: &RaftConfig) -> bool {
        self.disk_full_at
            .is_some_and(|reported| now < reported + cfg.election_max)
    }

    /// Returns whether the replica reported within the last `election_max` that it is about to stop.
    pub fn is_leaving(&self, now: Instant, cfg: &RaftConfig) -> bool {
        self.leaving_at
            .is_some_and(|reported| now < reported + cfg.election_max)
    }

    /// Returns whether a learner durably holds everything that was committed at some time
    /// within the last `election_min`.
    ///
    /// The current commit index would be too strict, since a distant learner may always be a
    /// few entries behind. A learner that is further behind would delay commits as soon as
    /// it is needed for a majority.
    pub fn has_caught_up(&mut self, cx: &LeaderCx) -> bool {
        if !self.is_live(cx.now, cx.cfg) || self.is_leaving(cx.now, cx.cfg) {
            return false;
        }
        let current = CatchUpTarget {
            index: cx.commit,
            set_at: cx.now,
        };
        let catch_up_target = *self.catch_up_target.get_or_insert(current);
        if self.matched < catch_up_target.index {
            return false;
        }
        if cx.now <= catch_up_target.set_at + cx.cfg.election_min {
            return true;
        }
        self.catch_up_target = Some(current);
        self.matched >= current.index
    }

    /// Records that the replica's log matches up to `index`.
    pub fn on_match(&mut self, index: Revision) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        match &mut self.mode {
            Mode::Probe { .. } => self.replicate_from_match(),
            Mode::Replicate { in_flight } => in_flight.retain(|append| append.last > index),
            Mode::Snapshot(transfer) if index >= transfer.snapshot.index => {
                self.replicate_from_match();
            }
            Mode::Snapshot(_) => {}
        }
    }

    fn replicate_from_match(&mut self) {
        self.next = self.matched.next();
        self.mode = Mode::Replicate {
            in_flight: VecDeque::new(),
        };
    }

    /// Records that the replica's log did not match, and that it asked for a retry from
    /// index `hint`.
    ///
    /// A delayed reply may name an index that is too low. This costs a repeated append, but
    /// never goes below the known match.
    pub fn on_mismatch(&mut self, hint: Revision) {
        if matches!(self.mode, Mode::Snapshot(_)) {
            return;
        }
        self.next = hint.min(self.next).max(self.matched.next());
        self.mode = Mode::Probe { waiting: false };
    }

    /// Records how many bytes of a snapshot the replica has received, or that it is
    /// installed.
    pub fn on_snapshot_reply(&mut self, index: Revision, received: u64, installed: bool) {
        if installed {
            self.on_match(index);
            return;
        }
        if let Mode::Snapshot(transfer) = &mut self.mode
            && transfer.snapshot.index == index
        {
            let total = transfer.snapshot.data.len();
            transfer.received = usize::try_from(received).unwrap_or(total).min(total);
            transfer.sent_at = None;
        }
    }

    /// Sends an append without entries, which the replica answers whatever its log contains.
    ///
    /// It refers to the last entry sent, so that the loss of an append is detected.
    pub fn send_heartbeat(&mut self, to: ReplicaId, round: u64, cx: &LeaderCx, fx: &mut Effects) {
        let previous = match &self.mode {
            Mode::Snapshot(transfer) => transfer.snapshot.index,
            _ => Revision(self.next.0 - 1),
        };
        // The term of an entry that was compacted meanwhile is no longer known. The
        // snapshot's index does as well, since only the reply to the round matters.
        let previous = match cx.log.term_at(previous) {
            Some(_) => previous,
            None => cx.log.snapshot_index(),
        };
        self.send_append(to, round, previous, Vec::new(), cx, fx);
    }

    /// Sends the entries or snapshot chunk that the replica needs, within the limits on
    /// unacknowledged data.
    pub fn replicate(&mut self, to: ReplicaId, round: u64, cx: &LeaderCx, fx: &mut Effects) {
        self.fall_back_to_snapshot(cx);
        let live = self.is_live(cx.now, cx.cfg);
        match &mut self.mode {
            Mode::Probe { waiting: true } => {}
            Mode::Probe { waiting } => {
                *waiting = true;
                let previous = Revision(self.next.0 - 1);
                let entries = cx.log.batch(self.next, cx.cfg.max_append_bytes);
                self.send_append(to, round, previous, entries, cx, fx);
            }
            Mode::Replicate { .. } => self.send_pipelined(to, round, cx, fx),
            // For a replica that does not respond, heartbeats detect its return and cost less
            // than chunks.
            Mode::Snapshot(_) if !live => {}
            Mode::Snapshot(transfer) => transfer.send_chunk(to, cx, fx),
        }
    }

    fn fall_back_to_snapshot(&mut self, cx: &LeaderCx) {
        if matches!(self.mode, Mode::Snapshot(_)) {
            return;
        }
        if cx.log.term_at(Revision(self.next.0 - 1)).is_some() {
            return;
        }
        if let Some(snapshot) = cx.log.snapshot() {
            self.mode = Mode::Snapshot(SnapshotTransfer {
                snapshot: snapshot.clone(),
                received: 0,
                sent_at: None,
            });
        }
    }

    fn send_pipelined(&mut self, to: ReplicaId, round: u64, cx: &LeaderCx, fx: &mut Effects) {
        while self.may_send_more(cx.cfg) && self.next <= cx.log.last().index {
            let previous = Revision(self.next.0 - 1);
            let entries = cx.log.batch(self.next, cx.cfg.max_append_bytes);
            let Some(last) = entries.last().map(|entry| entry.index) else {
                return;
            };
            self.next = last.next();
            if let Mode::Replicate { in_flight } = &mut self.mode {
                let bytes = entries.iter().map(LogEntry::size).sum();
                in_flight.push_back(InFlight { last, bytes });
            }
            self.send_append(to, round, previous, entries, cx, fx);
        }
        // Otherwise, the replica would learn of the last commit of a burst only from the
        // next regular heartbeat.
        if self.in_flight().is_empty() && self.sent_commit < cx.commit {
            self.send_heartbeat(to, round, cx, fx);
        }
    }

    fn may_send_more(&self, cfg: &RaftConfig) -> bool {
        let in_flight = self.in_flight();
        let bytes: usize = in_flight.iter().map(|append| append.bytes).sum();
        let max_bytes = cfg.max_append_bytes.saturating_mul(MAX_IN_FLIGHT_FULL);
        in_flight.len() < MAX_IN_FLIGHT && bytes < max_bytes
    }

    fn in_flight(&self) -> &VecDeque<InFlight> {
        const NONE: &VecDeque<InFlight> = &VecDeque::new();
        match &self.mode {
            Mode::Replicate { in_flight } => in_flight,
            Mode::Probe { .. } | Mode::Snapshot(_) => NONE,
        }
    }

    fn send_append(
        &mut self,
        to: ReplicaId,
        round: u64,
        previous_index: Revision,
        entries: Vec<LogEntry>,
        cx: &LeaderCx,
        fx: &mut Effects,
    ) {
        let Some(previous_term) = cx.log.term_at(previous_index) else {
            return;
        };
        self.sent_commit = cx.commit;
        let kind = MessageKind::Append {
            previous_index,
            previous_term,
            entries,
            commit: cx.commit,
            barrier: round,
            reply_number: self.reply_number,
            contact_ms: cx.contact_ms(),
        };
        let term = cx.term;
        fx.sends.push((to, Message { term, kind }));
    }

    /// Returns how much of a snapshot the replica has received; `None` if none is being sent.
    pub fn snapshot_progress(&self) -> Option<SnapshotProgress> {
        let Mode::Snapshot(transfer) = &self.mode else {
            return None;
        };
        Some(SnapshotProgress {
            index: transfer.snapshot.index,
            received: transfer.received as u64,
            total: transfer.snapshot.data.len() as u64,
        })
    }
}

impl SnapshotTransfer {
    /// Sends the next chunk, unless it was sent less than `election_min` ago.
    fn send_chunk(&mut self, to: ReplicaId, cx: &LeaderCx, fx: &mut Effects) {
        let retry_after = cx.cfg.election_min;
        if self.sent_at.is_some_and(|at| cx.now < at + retry_after) {
            return;
        }
        self.sent_at = Some(cx.now);
        let snapshot = &self.snapshot;
        let total = snapshot.data.len();
        let end = total.min(self.received + cx.cfg.snapshot_chunk_bytes);
        let kind = MessageKind::SnapshotChunk {
            index: snapshot.index,
            snapshot_term: snapshot.term,
            membership: snapshot.membership.clone(),
            offset: self.received as u64,
            data: snapshot.data[self.received..end].to_vec(),
            last: end == total,
        };
        let term = cx.term;
        fx.sends.push((to, Message { term, kind }));
    }
}
