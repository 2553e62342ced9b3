//! Heartbeats that one control replica receives, and how it reports them to the others.
//!
//! Each backend server and entry VM sends heartbeats at regular intervals, to one replica. The other
//! replicas need to know that the heartbeats continue, not when each arrived: a replica therefore
//! reports only which sources began or ceased to send heartbeats to it, which implies that all
//! others continue. With 900 backend servers, 185 entry VMs and 15 replicas, reporting each
//! heartbeat would take some 280 KB per second, calculated from 22 and 30 bytes each; the size of
//! these reports does not depend on the number of sources.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::NonZeroU64;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::headroom::Headroom;
use crate::heartbeat_timing::HeartbeatTiming;
use crate::id::BackendName;
use crate::id::PlaceName;
use crate::id::VmName;
use crate::numbered_set::NumberedSet;
use crate::numbered_set::SetUpdate;

/// Time after a heartbeat within which an entry VM counts as alive: it polls control at least every
/// 0.8 s, with a round trip of up to 0.11 s, and 0.2 s later after a change.
const ENTRY_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Identifies a statement of an entry VM about itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StatementStamp {
    /// Incarnation of its process.
    pub life: u64,
    /// Number of the statement within the incarnation, which increases with each change of what is
    /// stated. 0 if the entry VM does not number its statements.
    pub number: u64,
}

impl StatementStamp {
    /// Returns whether this statement was made before `other`; false if that is not known, since
    /// incarnations are not ordered.
    #[must_use]
    pub const fn is_before(self, other: Self) -> bool {
        self.life == other.life && self.number < other.number
    }
}

/// Source of heartbeats, with the state that it reports.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum HeartbeatSource {
    /// A backend server.
    Backend(BackendName),
    /// An entry VM.
    Entry {
        /// Name of the VM.
        vm: VmName,
        /// Identifies the statement.
        stamp: StatementStamp,
        /// Whether it accepts requests.
        ready: bool,
    },
    /// An entry VM that tells its headroom.
    Room {
        /// Name of the VM.
        vm: VmName,
        /// Identifies the statement.
        stamp: StatementStamp,
        /// Its headroom.
        headroom: Headroom,
    },
}

impl HeartbeatSource {
    /// Returns for how long the source counts as alive after a heartbeat. `backends` applies to
    /// backend servers.
    pub(crate) const fn heartbeat_timeout(&self, backends: HeartbeatTiming) -> Duration {
        match self {
            Self::Backend(_) => backends.timeout(),
            Self::Entry { .. } | Self::Room { .. } => ENTRY_HEARTBEAT_TIMEOUT,
        }
    }
}

/// Addresses and place of a replica, for entry VMs that look for a near replica and backend servers
/// that are directed to one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaEndpoints {
    /// Address at which it accepts messages of replicas and entry VMs.
    pub address: SocketAddr,
    /// Address at which backend servers announce themselves; `None` if it accepts no announcements.
    pub announcements: Option<SocketAddr>,
    /// Failure domain (place) in which it runs.
    pub place: PlaceName,
}

/// Report of one replica to another about the sources whose heartbeats it receives.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PresenceReport {
    /// Incarnation of the replica's process.
    pub life: u64,
    /// Addresses of the replica; present only in a full report.
    pub endpoints: Option<ReplicaEndpoints>,
    /// Number of the last change that the receiver is assumed to know.
    pub base: u64,
    /// Sources that were added or removed since `base`, or all of them.
    pub sources: SetUpdate<HeartbeatSource>,
    /// Milliseconds since each added source began, in the order of the added sources.
    pub began_ms: Vec<u32>,
}

#[derive(Clone, Copy, Debug)]
struct Times {
    began: Instant,
    last: Instant,
}

/// Sources whose heartbeats this replica receives itself.
#[derive(Debug)]
pub struct LocalHeartbeats {
    life: u64,
    timing: HeartbeatTiming,
    set: NumberedSet<HeartbeatSource>,
    times: BTreeMap<HeartbeatSource, Times>,
}

impl LocalHeartbeats {
    /// Creates an empty set. `life` is drawn at random for each incarnation of the process.
    #[must_use]
    pub fn new(life: u64, timing: HeartbeatTiming) -> Self {
        Self {
            life,
            timing,
            set: NumberedSet::starting_at(NonZeroU64::MIN),
            times: BTreeMap::new(),
        }
    }

    /// Records a heartbeat. Returns whether the source was not in the set before.
    pub fn record_heartbeat(&mut self, now: Instant, source: &HeartbeatSource) -> bool {
        if let Some(times) = self.times.get_mut(source) {
            times.last = now;
            return false;
        }
        let times = Times {
            began: now,
            last: now,
        };
        self.times.insert(source.clone(), times);
        self.set.insert(source.clone());
        true
    }

    /// Moves the times of all heartbeats forward by `pause`, in which none could be received.
    pub fn extend(&mut self, pause: Duration) {
        for times in self.times.values_mut() {
            times.last += pause;
        }
    }

    /// Removes a source, for instance because it now reports another state. Returns whether it was
    /// present.
    pub fn drop_source(&mut self, source: &HeartbeatSource) -> bool {
        self.times.remove(source);
        self.set.remove(source)
    }

    /// Removes the sources whose heartbeats have ceased, and returns each with the time of its last
    /// heartbeat.
    pub fn expire(&mut self, now: Instant) -> Vec<(HeartbeatSource, Instant)> {
        let is_expired = |source: &HeartbeatSource, times: &Times| {
            now.saturating_duration_since(times.last) >= source.heartbeat_timeout(self.timing)
        };
        let expired: Vec<(HeartbeatSource, Instant)> = self
            .times
            .iter()
            .filter(|(source, times)| is_expired(source, times))
            .map(|(source, times)| (source.clone(), times.last))
            .collect();
        for (source, _) in &expired {
            self.drop_source(source);
        }
        expired
    }

    /// Returns the report for a replica that knows all changes up to number `known`, or 0 if
    /// nothing is known of it.
    #[must_use]
    pub fn report(&self, now: Instant, known: u64, endpoints: &ReplicaEndpoints) -> PresenceReport {
        let sources = self.set.update_from(known);
        let began_ms = sources.added.iter().map(|source| {
            let began = self.times.get(source).map_or(now, |times| times.began);
            let age = now.saturating_duration_since(began).as_millis();
            u32::try_from(age).unwrap_or(u32::MAX)
        });
        PresenceReport {
            life: self.life,
            endpoints: sources.whole.then(|| endpoints.clone()),
            base: known,
            began_ms: began_ms.collect(),
            sources,
        }
    }
}
