//! Load digests, by which owners report the load and capacity of their groups to other
//! entry VMs.
//!
//! Digests only guide steering; the owner's admission decides.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::PlaceName;
use crate::id::SessionId;
use crate::ownership::Group;

/// Interval at which an owner considers sending a digest.
pub const DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// Age from which a digest is no longer used.
pub const DIGEST_LAPSE: Duration = Duration::from_secs(5);

/// Load and capacity of all groups of one owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadDigest {
    /// Session of the owner.
    pub session: SessionId,
    /// Sequence number among the digests of this session; an older digest never replaces
    /// a newer one.
    pub serial: u64,
    /// One element for each group that the owner may dispatch to.
    pub loads: Vec<GroupLoad>,
}

/// Load and capacity of one group, as seen by its owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupLoad {
    /// The group that the load refers to.
    pub group: Group,
    /// Usable slots, after limits, warm-up and back-off.
    pub slots: u32,
    /// Occupied slots, including those held for requests of a previous owner.
    pub in_flight: u32,
    /// Requests waiting for a slot.
    pub queued: u32,
    /// Requests offered to the owner per second, dispatched and refused, averaged.
    pub arrivals_per_second: u32,
    /// Expected wait of a request that arrives now, in milliseconds.
    pub expected_wait_ms: u32,
    /// Average service time at the backend servers, in milliseconds.
    pub service_ms: u32,
    /// Percentage of the slots that are warmed up, 0 to 100.
    pub warm_percent: u8,
    /// Origin places whose shift budget for this group is currently used up.
    pub full_origins: Vec<PlaceName>,
}

impl GroupLoad {
    /// Returns the confidence in a digest of the given age, from 1 (new) to 0 (lapsed).
    #[must_use]
    pub fn confidence(age: Duration) -> f64 {
        let left = DIGEST_LAPSE.saturating_sub(age);
        left.as_secs_f64() / DIGEST_LAPSE.as_secs_f64()
    }
}
