//! Whether backend servers may have become cold without this entry VM's knowledge.
//!
//! While control is in reach, it passes on what backend servers say of themselves and which
//! places are evacuated. An entry VM that control has left hears neither. The backend
//! servers of a place that is evacuated lose what they had at hand, and crash under the
//! rate at which they were used before; their limit binds senders out of reach too. So an
//! entry VM that is out of reach asks one backend server of each place, in turn, and takes
//! a place as cold as long as it has no fresh word that it isn't.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::id::PlaceName;

/// Time without control's word after which backend servers are asked themselves. Control
/// answers every 0.8 s; a silent replica is given up after 1.25 s, and the next one answers
/// within a way there and back between regions, 0.11 s.
pub const CONTROL_LOST_AFTER: Duration = Duration::from_millis(1_500);

/// Time without control's word after which a place needs a word of its own. A place is
/// evacuated some seconds before its backend servers become cold, and the first questions
/// have been answered by then.
const ASSUME_COLD_AFTER: Duration = Duration::from_millis(2_200);

/// Time between two questions to a place. A backend server bears 16 requests in a second of
/// which it is cold, and gets up to 30 a second while it is warm: it must be found out
/// within half a second, the way of the question included.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a word holds: two questions, and the longest way there and back.
const REPLY_VALID_FOR: Duration = Duration::from_millis(650);

/// Follows what is known of each place.
#[derive(Debug)]
pub struct ColdTracker {
    last_contact: Instant,
    places: BTreeMap<PlaceName, PlaceTracker>,
}

#[derive(Debug, Default)]
struct PlaceTracker {
    sent_at: Option<Instant>,
    /// When the question was asked to which the last good word was the answer.
    warm_at: Option<Instant>,
}

impl ColdTracker {
    /// Starts as if control had just been in reach.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            last_contact: now,
            places: BTreeMap::new(),
        }
    }

    /// Notes that control is in reach: everything that it knows has been applied.
    pub fn note_control_contact(&mut self, now: Instant) {
        self.last_contact = now;
        self.places.clear();
    }

    /// Returns whether backend servers must be asked themselves.
    #[must_use]
    pub fn is_control_lost(&self, now: Instant) -> bool {
        now >= self.control_lost_at()
    }

    /// Returns when backend servers must be asked themselves if control stays silent.
    #[must_use]
    pub fn control_lost_at(&self) -> Instant {
        self.last_contact + CONTROL_LOST_AFTER
    }

    /// Returns when the next questions are due; always later than `now`.
    ///
    /// A place where nobody can be reached is asked no more. What was due there is past and
    /// doesn't count, or whoever waits for the next question would never wait.
    #[must_use]
    pub fn next_due(&self, now: Instant) -> Instant {
        if !self.is_control_lost(now) {
            return self.control_lost_at();
        }
        let asked = self.places.values().filter_map(|tracker| tracker.sent_at);
        let due = asked.map(|at| at + QUERY_INTERVAL).filter(|due| *due > now);
        due.min().unwrap_or(now + QUERY_INTERVAL)
    }

    /// Returns whether a question to a place is due, and notes that it is asked.
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

    /// Notes the answer to a question that was asked at `sent_at`.
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

    /// Returns whether the backend servers of a place must be taken as cold.
    #[must_use]
    pub fn must_assume_cold(&self, now: Instant, place: &PlaceName) -> bool {
        if now < self.last_contact + ASSUME_COLD_AFTER {
            return false;
        }
        let warm_at = self.places.get(place).and_then(|tracker| tracker.warm_at);
        warm_at.is_none_or(|at| now >= at + REPLY_VALID_FOR)
    }
}
