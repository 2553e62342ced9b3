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
const DOUBT_AFTER: Duration = Duration::from_millis(2_200);

/// Time between two questions to a place. A backend server bears 16 requests in a second of
/// which it is cold, and gets up to 30 a second while it is warm: it must be found out
/// within half a second, the way of the question included.
const ASK_EVERY: Duration = Duration::from_millis(250);

/// Time for which a word holds: two questions, and the longest way there and back.
const WORD_HOLDS: Duration = Duration::from_millis(650);

/// Follows what is known of each place.
#[derive(Debug)]
pub struct ColdTracker {
    control_at: Instant,
    places: BTreeMap<PlaceName, PlaceWatch>,
}

#[derive(Debug, Default)]
struct PlaceWatch {
    asked_at: Option<Instant>,
    /// When the question was asked to which the last good word was the answer.
    warm_at: Option<Instant>,
}

impl ColdTracker {
    /// Starts as if control had just been in reach.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            control_at: now,
            places: BTreeMap::new(),
        }
    }

    /// Notes that control is in reach: everything that it knows has been applied.
    pub fn note_control_contact(&mut self, now: Instant) {
        self.control_at = now;
        self.places.clear();
    }

    /// Returns whether backend servers must be asked themselves.
    #[must_use]
    pub fn is_alone(&self, now: Instant) -> bool {
        now >= self.alone_from()
    }

    /// Returns when backend servers must be asked themselves if control stays silent.
    #[must_use]
    pub fn alone_from(&self) -> Instant {
        self.control_at + CONTROL_LOST_AFTER
    }

    /// Returns when the next questions are due; always later than `now`.
    ///
    /// A place where nobody can be reached is asked no more. What was due there is past and
    /// doesn't count, or whoever waits for the next question would never wait.
    #[must_use]
    pub fn next_due(&self, now: Instant) -> Instant {
        if !self.is_alone(now) {
            return self.alone_from();
        }
        let asked = self.places.values().filter_map(|watch| watch.asked_at);
        let due = asked.map(|at| at + ASK_EVERY).filter(|due| *due > now);
        due.min().unwrap_or(now + ASK_EVERY)
    }

    /// Returns whether a question to a place is due, and notes that it is asked.
    pub fn try_ask(&mut self, now: Instant, place: &PlaceName) -> bool {
        if !self.is_alone(now) {
            return false;
        }
        let watch = self.places.entry(place.clone()).or_default();
        let due = watch.asked_at.is_none_or(|at| now >= at + ASK_EVERY);
        if due {
            watch.asked_at = Some(now);
        }
        due
    }

    /// Notes the answer to a question that was asked at `asked_at`.
    pub fn note_word(&mut self, asked_at: Instant, place: &PlaceName, is_cold: bool) {
        let Some(watch) = self.places.get_mut(place) else {
            return;
        };
        if is_cold {
            watch.warm_at = None;
        } else {
            watch.warm_at = watch.warm_at.max(Some(asked_at));
        }
    }

    /// Returns whether the backend servers of a place must be taken as cold.
    #[must_use]
    pub fn is_doubtful(&self, now: Instant, place: &PlaceName) -> bool {
        if now < self.control_at + DOUBT_AFTER {
            return false;
        }
        let warm_at = self.places.get(place).and_then(|watch| watch.warm_at);
        warm_at.is_none_or(|at| now >= at + WORD_HOLDS)
    }
}
