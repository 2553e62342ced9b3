//! The control replicas as an entry VM sees them when it requests tokens: how long their replies
//! take, and which of them reply at all.
//!
//! A replica whose reply is late is asked after the others; a single lost reply has no further
//! consequence. A replica that stays silent to several requests is asked by probes only, until one
//! of them is answered.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::round_trip::RoundTrip;

/// Minimum time between two requests to a replica while one has no reply yet; further draws wait
/// for it and share a message.
const PIPELINE_INTERVAL: Duration = Duration::from_millis(25);

/// Minimum time between two requests to a silent replica.
const SILENT_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a reply, and number of requests without one, from which on a replica is silent.
const SILENT_AFTER: Duration = Duration::from_secs(1);
const SILENT_REQUESTS: u32 = 2;

/// Time after which a replica without a reply is probed, doubled with each further probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Confidence in a replica, best first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ReplicaHealth {
    /// It replies in time.
    Responsive,
    /// A reply is late.
    Late,
    /// Several requests got no reply.
    Silent,
}

/// All replicas that were asked for tokens.
#[derive(Debug, Default)]
pub struct TokenReplicas {
    replicas: BTreeMap<SocketAddr, ReplicaState>,
}

#[derive(Clone, Copy, Debug)]
struct ReplicaState {
    round_trip: RoundTrip,
    /// Time of the last request.
    asked_at: Instant,
    /// Time of the first request since the last reply; `None` if all were answered or none was
    /// sent.
    unanswered_since: Option<Instant>,
    /// Number of requests since the last reply.
    unanswered: u32,
    /// Number of probes since the last reply.
    probes: u32,
    /// Whether a request since the last reply is known to remain without one.
    failed: bool,
    /// Whether the replica was silent when that was last asked by [`TokenReplicas::changes`].
    was_silent: bool,
}

impl ReplicaState {
    const fn new(now: Instant) -> Self {
        Self {
            round_trip: RoundTrip::new(),
            asked_at: now,
            unanswered_since: None,
            unanswered: 0,
            probes: 0,
            failed: false,
            was_silent: false,
        }
    }

    fn health(&self, now: Instant) -> ReplicaHealth {
        let Some(since) = self.unanswered_since else {
            return ReplicaHealth::Responsive;
        };
        let passed = now.saturating_duration_since(since);
        if passed >= SILENT_AFTER && self.unanswered >= SILENT_REQUESTS {
            ReplicaHealth::Silent
        } else if self.failed || passed >= self.round_trip.late_after() {
            ReplicaHealth::Late
        } else {
            ReplicaHealth::Responsive
        }
    }

    /// Returns when the next request may be sent.
    fn free_at(&self, now: Instant) -> Instant {
        match self.health(now) {
            _ if self.unanswered_since.is_none() => now,
            ReplicaHealth::Silent => self.asked_at + SILENT_INTERVAL,
            _ => self.asked_at + PIPELINE_INTERVAL,
        }
    }

    /// Returns when the replica is probed; `None` while its reply is not late.
    fn probe_at(&self) -> Option<Instant> {
        let since = self.unanswered_since?;
        let doubled = PROBE_INTERVAL * (1 << self.probes.min(4));
        let next = self.asked_at + doubled.min(MAX_PROBE_INTERVAL);
        Some(next.max(since + self.round_trip.late_after()))
    }
}

impl TokenReplicas {
    /// Returns the confidence in a replica.
    #[must_use]
    pub fn health(&self, now: Instant, replica: &SocketAddr) -> ReplicaHealth {
        let state = self.replicas.get(replica);
        state.map_or(ReplicaHealth::Responsive, |state| state.health(now))
    }

    /// Returns the time after which the reply of a replica is late.
    #[must_use]
    pub fn late_after(&self, replica: &SocketAddr) -> Duration {
        let state = self.replicas.get(replica);
        state.map_or_else(
            || RoundTrip::default().late_after(),
            |state| state.round_trip.late_after(),
        )
    }

    /// Returns the longest time after which a reply of one of `replicas` is late, of those whose
    /// round trip was measured.
    #[must_use]
    pub fn longest_late_after(&self, replicas: &[SocketAddr]) -> Duration {
        let states = replicas
            .iter()
            .filter_map(|replica| self.replicas.get(replica));
        let measured = states.filter(|state| state.round_trip.is_measured());
        let late_after = measured.map(|state| state.round_trip.late_after());
        late_after.max().unwrap_or_default()
    }

    /// Returns when the next request may be sent to a replica; in the past if it may be sent now.
    #[must_use]
    pub fn free_at(&self, now: Instant, replica: &SocketAddr) -> Instant {
        let state = self.replicas.get(replica);
        state.map_or(now, |state| state.free_at(now))
    }

    /// Returns whether a replica has replied to any request since `time`.
    #[must_use]
    pub fn has_replied_since(&self, replica: &SocketAddr, time: Instant) -> bool {
        let state = self.replicas.get(replica);
        let since = state.and_then(|state| state.unanswered_since);
        since.is_none_or(|since| since > time)
    }

    /// Returns for how long none of `replicas` has replied, although each is silent; `None` if one
    /// may reply.
    #[must_use]
    pub fn out_of_reach_for(&self, now: Instant, replicas: &[SocketAddr]) -> Option<Duration> {
        let mut shortest = None;
        for replica in replicas {
            if self.health(now, replica) != ReplicaHealth::Silent {
                return None;
            }
            let since = self.replicas.get(replica)?.unanswered_since?;
            let passed = now.saturating_duration_since(since);
            shortest = Some(shortest.map_or(passed, |shortest: Duration| shortest.min(passed)));
        }
        shortest
    }

    /// Returns the replicas that have to be probed now, apart from those that are asked anyway.
    #[must_use]
    pub fn due_probes(&self, now: Instant) -> Vec<SocketAddr> {
        let due = self.replicas.iter().filter(|(_, state)| {
            let probe_at = state.probe_at();
            probe_at.is_some_and(|probe_at| probe_at <= now)
        });
        due.map(|(replica, _)| *replica).collect()
    }

    /// Returns when the next replica has to be probed.
    #[must_use]
    pub fn next_probe_at(&self) -> Option<Instant> {
        self.replicas
            .values()
            .filter_map(ReplicaState::probe_at)
            .min()
    }

    /// Records a request to a replica.
    pub fn asked(&mut self, now: Instant, replica: SocketAddr, is_probe: bool) {
        let state = self.replicas.entry(replica);
        let state = state.or_insert_with(|| ReplicaState::new(now));
        state.asked_at = now;
        state.unanswered_since.get_or_insert(now);
        state.unanswered += 1;
        state.probes += u32::from(is_probe);
    }

    /// Records a reply to the request of `asked_at`.
    pub fn replied(&mut self, now: Instant, replica: SocketAddr, asked_at: Instant) {
        let Some(state) = self.replicas.get_mut(&replica) else {
            return;
        };
        let took = now.saturating_duration_since(asked_at);
        state.round_trip.observe(took);
        state.unanswered = 0;
        state.unanswered_since = None;
        state.probes = 0;
        state.failed = false;
    }

    /// Records that the request of `asked_at` remains without a reply.
    pub fn failed(&mut self, replica: SocketAddr, asked_at: Instant) {
        if let Some(state) = self.replicas.get_mut(&replica) {
            let since = state.unanswered_since;
            state.failed |= since.is_some_and(|since| since <= asked_at);
        }
    }

    /// Returns the replicas that have become silent, or have replied again after that, since the
    /// last call, and whether each is silent.
    pub fn changes(&mut self, now: Instant) -> Vec<(SocketAddr, bool)> {
        let mut changes = Vec::new();
        for (replica, state) in &mut self.replicas {
            let is_silent = state.health(now) == ReplicaHealth::Silent;
            if is_silent != state.was_silent {
                state.was_silent = is_silent;
                changes.push((*replica, is_silent));
            }
        }
        changes
    }

    /// Drops all replicas but `replicas`.
    pub fn retain(&mut self, replicas: &[SocketAddr]) {
        self.replicas
            .retain(|replica, _| replicas.contains(replica));
    }
}
