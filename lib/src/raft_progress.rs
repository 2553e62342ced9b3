//! What a leader knows of one other replica, and what it sends it next.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
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

/// Bound on the appends with entries that are on their way to one replica.
const MAX_IN_FLIGHT: usize = 16;

/// Bound on the bytes that are on their way to one replica, in full appends. Without
/// it, large entries would fill the memory of a process whose peer is slow.
const MAX_IN_FLIGHT_FULL: usize = 4;

/// Holds what sending needs to know of the leader.
pub(crate) struct LeaderCx<'a> {
    pub cfg: &'a RaftConfig,
    pub term: Term,
    pub log: &'a RaftLog,
    pub commit: Revision,
    pub now: Instant,
    /// When the leader was last proved to lead.
    pub contact: Instant,
    /// Where replicas are, as far as that is known.
    pub regions: &'a BTreeMap<ReplicaId, RegionName>,
}

impl LeaderCx<'_> {
    fn contact_ms(&self) -> u32 {
        let age = self.now.saturating_duration_since(self.contact);
        u32::try_from(age.as_millis()).map_or(u32::MAX, |ms| ms.saturating_add(1))
    }
}

/// Tells how entries are sent.
#[derive(Debug)]
enum Mode {
    /// The last common position is unknown: one append at a time.
    Probe { waiting: bool },
    /// Appends follow each other without waiting for their answers. Holds those that
    /// aren't answered.
    Replicate { in_flight: VecDeque<InFlight> },
    /// The entries that the replica needs are compacted: a snapshot goes first.
    Snapshot(SnapshotTransfer),
}

/// Holds an append on its way.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    last: Revision,
    bytes: usize,
}

/// Holds a snapshot on its way.
#[derive(Debug)]
struct SnapshotTransfer {
    snapshot: Arc<Snapshot>,
    received: usize,
    /// When the part at `received` was sent.
    sent_at: Option<Instant>,
}

/// Holds what a leader knows of one other replica.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Last position that the replica acknowledged as durable and equal.
    pub matched: Revision,
    /// Number of its last answer to an append; 0 without any.
    pub reply_number: u64,
    /// Latest round of heartbeats that the replica answered.
    pub acked_round: u64,
    /// When that round began, or when the leader stood for election.
    pub contact: Instant,
    /// When anything was last heard from the replica in this term.
    pub last_heard: Option<Instant>,
    /// Set once the replica is no member: until then it is still served, so that it
    /// learns of its removal and stops campaigning.
    pub served_until: Option<Instant>,
    next: Revision,
    mode: Mode,
    sent_commit: Revision,
    catch_up_target: Option<CatchUpTarget>,
}

/// Holds what a learner has to reach before it votes.
#[derive(Clone, Copy, Debug)]
struct CatchUpTarget {
    index: Revision,
    set_at: Instant,
}

impl Progress {
    /// Starts from nothing known but where to try first.
    pub fn new(next: Revision, contact: Instant) -> Self {
        Self {
            matched: Revision(0),
            reply_number: 0,
            acked_round: 0,
            contact,
            last_heard: None,
            served_until: None,
            next,
            mode: Mode::Probe { waiting: false },
            sent_commit: Revision(0),
            catch_up_target: None,
        }
    }

    /// Returns whether the replica was heard lately.
    pub fn is_live(&self, now: Instant, cfg: &RaftConfig) -> bool {
        self.last_heard
            .is_some_and(|heard| now < heard + cfg.election_max)
    }

    /// Returns whether a learner holds durably what was committed at most one election
    /// timeout ago.
    ///
    /// The present commit position would be too much to ask: a distant learner may
    /// always be a few entries behind it. A learner that is further behind would hold
    /// up commits as soon as it is needed for a majority.
    pub fn has_caught_up(&mut self, cx: &LeaderCx) -> bool {
        if !self.is_live(cx.now, cx.cfg) {
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

    /// Takes in that the log matched up to `index`.
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

    /// Takes in that the log didn't match, with the position to try next.
    ///
    /// An answer may be old and point too far back. That costs a repeated append, but
    /// never reaches behind what is known to match.
    pub fn on_mismatch(&mut self, hint: Revision) {
        if matches!(self.mode, Mode::Snapshot(_)) {
            return;
        }
        self.next = hint.min(self.next).max(self.matched.next());
        self.mode = Mode::Probe { waiting: false };
    }

    /// Takes in how much of a snapshot arrived.
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

    /// Sends an append without entries, which the replica answers whatever its log.
    ///
    /// It names the last position sent, so that a lost append is noticed here.
    pub fn send_heartbeat(&mut self, to: ReplicaId, round: u64, cx: &LeaderCx, fx: &mut Effects) {
        let previous = match &self.mode {
            Mode::Snapshot(transfer) => transfer.snapshot.index,
            _ => Revision(self.next.0 - 1),
        };
        // A position that was compacted meanwhile has no term here. The snapshot's
        // position serves as well: only the answer to the round matters.
        let previous = match cx.log.term_at(previous) {
            Some(_) => previous,
            None => cx.log.snapshot_index(),
        };
        self.send_append(to, round, previous, Vec::new(), cx, fx);
    }

    /// Sends whatever the replica lacks and may be sent now.
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
            // Heartbeats find out when a silent replica is back, and cost less.
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
        // Without this, the last commit of a burst would reach the replica only with
        // the next heartbeat.
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

    /// Returns how much of a snapshot the replica has, if one is on its way.
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
    /// Sends the part that the replica lacks next, unless it is on its way.
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
