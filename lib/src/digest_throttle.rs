//! When a digest is worth sending to the other entries.
//!
//! Digests are looked at every [`DIGEST_INTERVAL`](crate::load_digest::DIGEST_INTERVAL).
//! Sent each time, to each entry, they cost an idle entry VM more than its requests do;
//! a digest that says nothing new is held back, but not for so long that others stop
//! trusting what they know.

use std::time::Duration;
use std::time::Instant;

use crate::load_digest::GroupLoad;

/// Time after which a digest is sent even if nothing has changed. A tenth of the time
/// in which it lapses, so that the others' trust stays above nine tenths.
pub const MAX_DIGEST_INTERVAL: Duration = Duration::from_millis(500);

/// Change of a group's use, as a share of its slots, that is worth telling at once.
const USE_CHANGE_THRESHOLD: f64 = 0.15;

/// Remembers what was told last.
#[derive(Debug, Default)]
pub struct DigestThrottle {
    last_sent: Option<SentDigest>,
}

#[derive(Debug)]
struct SentDigest {
    at: Instant,
    loads: Vec<GroupLoad>,
}

impl DigestThrottle {
    /// Tells whether `loads` are to be sent now.
    #[must_use]
    pub fn is_due(&self, now: Instant, loads: &[GroupLoad]) -> bool {
        let Some(last_sent) = &self.last_sent else {
            return true;
        };
        let since_sent = now.saturating_duration_since(last_sent.at);
        since_sent >= MAX_DIGEST_INTERVAL
            || last_sent.loads.len() != loads.len()
            || last_sent.loads.iter().zip(loads).any(differ)
    }

    /// Notes that `loads` were sent.
    pub fn note_sent(&mut self, now: Instant, loads: &[GroupLoad]) {
        self.last_sent = Some(SentDigest {
            at: now,
            loads: loads.to_vec(),
        });
    }

    /// Makes the next digest due, for entries that have heard none yet.
    pub fn reset(&mut self) {
        self.last_sent = None;
    }
}

fn differ((last_sent, load): (&GroupLoad, &GroupLoad)) -> bool {
    last_sent.group != load.group
        || last_sent.slots != load.slots
        || last_sent.full_origins != load.full_origins
        || (share_used(last_sent) - share_used(load)).abs() >= USE_CHANGE_THRESHOLD
}

fn share_used(load: &GroupLoad) -> f64 {
    let used = f64::from(load.in_flight) + f64::from(load.queued);
    used / f64::from(load.slots.max(1))
}
