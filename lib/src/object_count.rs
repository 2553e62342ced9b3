//! Estimates the number of distinct objects that a service's requests refer to.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::affinity::ObjectHash;

/// Time after which an object without requests is no longer counted.
const FORGET_AFTER: Duration = Duration::from_secs(20);

/// Maximum number of objects counted. With more objects, each backend server can cache only a
/// few of them anyway.
const MAX_TRACKED: usize = 8_192;

/// Minimum number assumed until all objects have been seen. If the number were too low, each
/// object would be assigned to more backend servers than it will stay at.
const ASSUMED_COUNT: usize = 100;

/// Counts the objects with recent requests.
#[derive(Debug, Default)]
pub struct ObjectCount {
    seen: HashMap<ObjectHash, Instant>,
    last_sweep: Option<Instant>,
    settled: bool,
}

impl ObjectCount {
    /// Records a request for an object.
    pub fn note(&mut self, now: Instant, object: ObjectHash) {
        let last_sweep = *self.last_sweep.get_or_insert(now);
        if now.saturating_duration_since(last_sweep) >= FORGET_AFTER {
            self.last_sweep = Some(now);
            self.settled = true;
            self.seen
                .retain(|_, at| now.saturating_duration_since(*at) < FORGET_AFTER);
        }
        if self.seen.len() < MAX_TRACKED || self.seen.contains_key(&object) {
            self.seen.insert(object, now);
        }
    }

    /// Returns the number of objects; at least 100 until enough time has passed to have seen
    /// all of them.
    #[must_use]
    pub fn count(&self) -> usize {
        if self.settled {
            self.seen.len()
        } else {
            self.seen.len().max(ASSUMED_COUNT)
        }
    }
}
