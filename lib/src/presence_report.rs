//! What one control replica heard itself, and how it tells the others.
//!
//! Heartbeats come every second or so from each backend server and entry VM, to one replica
//! each. The others need to know that they still come, not when: so a replica tells who began
//! to send heartbeats to it and who ceased, and that it goes on hearing all others. With 900
//! backend servers, 185 entry VMs and 15 replicas, telling each heartbeat singly takes some
//! 280 KB a second, worked out from 22 and 30 bytes each; this doesn't grow with them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::NonZeroU64;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::id::BackendName;
use crate::id::PlaceName;
use crate::id::VmName;
use crate::numbered_set::NumberedSet;
use crate::numbered_set::SetUpdate;

/// Time for which a backend server counts as heard after a heartbeat: they come every 1.5 s or
/// so and may be a second late.
const BACKEND_HEARD_FOR: Duration = Duration::from_millis(2_600);

/// The same for an entry VM, which asks control at least every 0.8 s, over up to 0.11 s there
/// and back, and 0.2 s later after news.
const ENTRY_HEARD_FOR: Duration = Duration::from_millis(1_600);

/// Names one who sends heartbeats, with what it says of itself.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum HeartbeatSource {
    /// A backend server.
    Backend(BackendName),
    /// An entry VM.
    Entry {
        /// The VM.
        vm: VmName,
        /// The life of its process.
        life: u64,
        /// Whether it takes requests.
        ready: bool,
    },
}

impl HeartbeatSource {
    /// Returns for how long one counts as heard after a heartbeat.
    pub(crate) const fn heartbeat_timeout(&self) -> Duration {
        match self {
            Self::Backend(_) => BACKEND_HEARD_FOR,
            Self::Entry { .. } => ENTRY_HEARD_FOR,
        }
    }
}

/// Tells where a replica is, for entry VMs that look for a near one and backend servers that
/// are told of one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaEndpoints {
    /// Where it takes messages of replicas and entry VMs.
    pub address: SocketAddr,
    /// Where backend servers announce themselves, if it takes that.
    pub announcements: Option<SocketAddr>,
    /// The place that it stands in.
    pub place: PlaceName,
}

/// Holds what one replica tells another of whom it hears.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PresenceReport {
    /// Tells one life of the replica's process from another.
    pub life: u64,
    /// Where the replica is, along with a whole report.
    pub endpoints: Option<ReplicaEndpoints>,
    /// Number of the last change that the receiver is taken to know.
    pub base: u64,
    /// Who began and who ceased to be heard since, or all.
    pub heard: SetUpdate<HeartbeatSource>,
    /// For each of those that began, milliseconds since then.
    pub began_ms: Vec<u32>,
}

#[derive(Clone, Copy, Debug)]
struct Times {
    began: Instant,
    last: Instant,
}

/// Holds whom this replica hears itself.
#[derive(Debug)]
pub struct LocalHeartbeats {
    life: u64,
    set: NumberedSet<HeartbeatSource>,
    times: BTreeMap<HeartbeatSource, Times>,
}

impl LocalHeartbeats {
    /// Starts without having heard of anybody; `life` is drawn at random.
    #[must_use]
    pub fn new(life: u64) -> Self {
        Self {
            life,
            set: NumberedSet::starting_at(NonZeroU64::MIN),
            times: BTreeMap::new(),
        }
    }

    /// Notes a heartbeat; returns whether it is the first one of late.
    pub fn hear(&mut self, now: Instant, heard: &HeartbeatSource) -> bool {
        if let Some(times) = self.times.get_mut(heard) {
            times.last = now;
            return false;
        }
        let times = Times {
            began: now,
            last: now,
        };
        self.times.insert(heard.clone(), times);
        self.set.insert(heard.clone());
        true
    }

    /// Drops one who says something else of itself now; returns whether it was heard.
    pub fn drop_heard(&mut self, heard: &HeartbeatSource) -> bool {
        self.times.remove(heard);
        self.set.remove(heard)
    }

    /// Drops whoever hasn't been heard for a while, and returns who that is and when each was
    /// heard last.
    pub fn expire(&mut self, now: Instant) -> Vec<(HeartbeatSource, Instant)> {
        let is_over = |heard: &HeartbeatSource, times: &Times| {
            now.saturating_duration_since(times.last) >= heard.heartbeat_timeout()
        };
        let expired: Vec<(HeartbeatSource, Instant)> = self
            .times
            .iter()
            .filter(|(heard, times)| is_over(heard, times))
            .map(|(heard, times)| (heard.clone(), times.last))
            .collect();
        for (heard, _) in &expired {
            self.drop_heard(heard);
        }
        expired
    }

    /// Returns the report for a replica that knows everything up to the change numbered
    /// `known`; 0 if it isn't known to know anything.
    #[must_use]
    pub fn report(&self, now: Instant, known: u64, endpoints: &ReplicaEndpoints) -> PresenceReport {
        let heard = self.set.update_from(known);
        let began_ms = heard.added.iter().map(|heard| {
            let began = self.times.get(heard).map_or(now, |times| times.began);
            let age = now.saturating_duration_since(began).as_millis();
            u32::try_from(age).unwrap_or(u32::MAX)
        });
        PresenceReport {
            life: self.life,
            endpoints: heard.whole.then(|| endpoints.clone()),
            base: known,
            began_ms: began_ms.collect(),
            heard,
        }
    }
}
