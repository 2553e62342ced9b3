//! Detects places whose backend servers may have become cold while control is unreachable.
//!
//! While control is reachable, it forwards the announcements of backend servers and the list of
//! evacuated places. An entry VM that has lost control receives neither. The backend servers of
//! an evacuated place lose their caches and crash under the request rate that they handled
//! before, and their limit applies to senders without contact to control too. Such an entry VM
//! therefore queries one backend server of each place in turn, and treats a place as cold
//! unless it has a recent reply that it is warm.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::id::PlaceName;

/// Time without contact to control after which backend servers are queried directly. Control
/// answers every 0.8 s; a silent replica is abandoned after 1.25 s, and the next one answers
/// within one round trip between regions, 0.11 s.
pub const CONTROL_LOST_AFTER: Duration = Duration::from_millis(1_500);

/// Time without contact to control after which a place counts as cold unless it has replied
/// otherwise. A place is evacuated some seconds before its backend servers become cold, and the
/// first queries have been answered by then.
const ASSUME_COLD_AFTER: Duration = Duration::from_millis(2_200);

/// Interval between two queries to a place. A backend server can handle 16 requests in a second
/// during which it is cold, and receives up to 30 a second while it is warm. So it has to be
/// detected within half a second, including the round trip of the query.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// Validity of a reply: two query intervals plus the longest round trip.
const REPLY_VALID_FOR: Duration = Duration::from_millis(650);

/// Tracks the last known state of each place.
#[derive(Debug)]
pub struct ColdTracker {
    last_contact: Instant,
    places: BTreeMap<PlaceName, PlaceTracker>,
}

#[derive(Debug, Default)]
struct PlaceTracker {
    sent_at: Option<Instant>,
    /// When the query was sent whose reply last reported warm backend servers.
    warm_at: Option<Instant>,
}

impl ColdTracker {
    /// Creates a tracker as if control had been reachable at `now`.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            last_contact: now,
            places: BTreeMap::new(),
        }
    }

    /// Records that control is reachable and all its updates have been applied.
    pub fn note_control_contact(&mut self, now: Instant) {
        self.last_contact = now;
        self.places.clear();
    }

    /// Returns whether backend servers have to be queried directly.
    #[must_use]
    pub fn is_control_lost(&self, now: Instant) -> bool {
        now >= self.control_lost_at()
    }

    /// Returns the time from which backend servers have to be queried directly if control stays
    /// silent.
    #[must_use]
    pub fn control_lost_at(&self) -> Instant {
        self.last_contact + CONTROL_LOST_AFTER
    }

    /// Returns when the next queries are due; always later than `now`.
    ///
    /// A place without any reachable backend server is not queried again. Its due time lies in
    /// the past and is ignored, since otherwise the querying task would never sleep.
    #[must_use]
    pub fn next_due(&self, now: Instant) -> Instant {
        if !self.is_control_lost(now) {
            return self.control_lost_at();
        }
        let asked = self.places.values().filter_map(|tracker| tracker.sent_at);
        let due = asked.map(|at| at + QUERY_INTERVAL).filter(|due| *due > now);
        due.min().unwrap_or(now + QUERY_INTERVAL)
    }

    /// Returns whether a query to a place is due, and if so records it as sent at `now`.
    pub fn try_query(&mut self, now: Instant, place: &PlaceName) -> bool {
        if !self.is_control_lost(now) {
            return false;
        }
        let tracker = self.places.entry(place.clone()).or_default();
        let due = tracker.sent_at.is_none_or(|at| now >= at + QUERY_INTERVAL);
        if due {
            tracker.sent_at = Some(now);
        }
        due
    }

    /// Records the reply to a query that was sent at `sent_at`.
    pub fn note_reply(&mut self, sent_at: Instant, place: &PlaceName, is_cold: bool) {
        let Some(tracker) = self.places.get_mut(place) else {
            return;
        };
        if is_cold {
            tracker.warm_at = None;
        } else {
            tracker.warm_at = tracker.warm_at.max(Some(sent_at));
        }
    }

    /// Returns whether the backend servers of a place have to be treated as cold.
    #[must_use]
    pub fn must_assume_cold(&self, now: Instant, place: &PlaceName) -> bool {
        if now < self.last_contact + ASSUME_COLD_AFTER {
            return false;
        }
        let warm_at = self.places.get(place).and_then(|tracker| tracker.warm_at);
        warm_at.is_none_or(|at| now >= at + REPLY_VALID_FOR)
    }
}
