//! What each owner tells the other entries about what it can take.
//!
//! Digests steer; only the owner's admission decides.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::PlaceName;
use crate::id::SessionId;
use crate::ownership::Group;

/// Time between two digests of an owner.
pub const DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// Age from which a digest says nothing any more.
pub const DIGEST_LAPSE: Duration = Duration::from_secs(5);

/// Holds what one owner can take, for all groups that it owns.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadDigest {
    /// The owner's session.
    pub session: SessionId,
    /// Counts the digests of this session; an older one never replaces a newer one.
    pub serial: u64,
    /// One entry for each group owned.
    pub loads: Vec<GroupLoad>,
}

/// Holds what the owner of one group can take.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupLoad {
    /// The group.
    pub group: Group,
    /// Slots that may be used now, after limits, warm-up and back-off.
    pub slots: u32,
    /// Slots in use, those held for an old owner's work included.
    pub in_flight: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Requests that are dispatched or refused a second, by the owner's average.
    pub arrivals_per_second: u32,
    /// Wait that a request which arrives now must expect, in milliseconds.
    pub expected_wait_ms: u32,
    /// Average time that a request takes at the backend servers, in milliseconds.
    pub service_ms: u32,
    /// Share of the slots that are warmed up, 0 to 100.
    pub warm_percent: u8,
    /// Origin places whose shift to this group is used up for now.
    pub full_origins: Vec<PlaceName>,
}

impl GroupLoad {
    /// Returns how sure a digest of the given age still is, from 1 (new) to 0 (lapsed).
    #[must_use]
    pub fn confidence(age: Duration) -> f64 {
        let left = DIGEST_LAPSE.saturating_sub(age);
        left.as_secs_f64() / DIGEST_LAPSE.as_secs_f64()
    }
}
