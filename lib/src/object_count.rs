//! How many objects a service's requests concern.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::affinity::ObjectHash;

/// Time after which an object that nobody asked for doesn't count any more.
const FORGET_AFTER: Duration = Duration::from_secs(20);

/// Objects that are told apart at most. With more, each backend server keeps but a few of
/// them at hand anyway.
const MAX_TRACKED: usize = 8_192;

/// Objects that are assumed before as many were seen: with too few, each would be spread
/// over more backend servers than it will stay at.
const ASSUMED_COUNT: usize = 100;

/// Counts the objects that were asked for lately.
#[derive(Debug, Default)]
pub struct ObjectCount {
    seen: HashMap<ObjectHash, Instant>,
    last_sweep: Option<Instant>,
    settled: bool,
}

impl ObjectCount {
    /// Notes a request for an object.
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

    /// Returns the number of objects; at least a hundred until enough time has passed to
    /// have seen them all.
    #[must_use]
    pub fn count(&self) -> usize {
        if self.settled {
            self.seen.len()
        } else {
            self.seen.len().max(ASSUMED_COUNT)
        }
    }
}
