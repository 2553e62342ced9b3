//! Decides when a load digest is sent to the other entry VMs.
//!
//! Digests are considered every [`DIGEST_INTERVAL`](crate::load_digest::DIGEST_INTERVAL).
//! Sending each of them to every entry VM would cost an idle entry VM more than its
//! requests do. A digest without significant changes is therefore withheld, but not for
//! so long that the confidence of the receivers in the last one drops.

use std::time::Duration;
use std::time::Instant;

use crate::load_digest::GroupLoad;

/// Maximum interval between digests when nothing changes. One tenth of the time after
/// which a digest expires, so that the receivers' confidence stays above 0.9.
pub const MAX_DIGEST_INTERVAL: Duration = Duration::from_millis(500);

/// Change of a group's utilization, as a fraction of its slots, that is sent at once.
const UTILIZATION_CHANGE_THRESHOLD: f64 = 0.15;

/// Tracks the last digest that was sent.
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
    /// Returns whether `loads` should be sent now.
    #[must_use]
    pub fn is_due(&self, now: Instant, loads: &[GroupLoad]) -> bool {
        let Some(last_sent) = &self.last_sent else {
            return true;
        };
        let since_sent = now.saturating_duration_since(last_sent.at);
        since_sent >= MAX_DIGEST_INTERVAL
            || last_sent.loads.len() != loads.len()
            || last_sent.loads.iter().zip(loads).any(differs_significantly)
    }

    /// Records that `loads` were sent.
    pub fn note_sent(&mut self, now: Instant, loads: &[GroupLoad]) {
        self.last_sent = Some(SentDigest {
            at: now,
            loads: loads.to_vec(),
        });
    }

    /// Makes the next digest due, for entry VMs that have not received any yet.
    pub fn reset(&mut self) {
        self.last_sent = None;
    }
}

fn differs_significantly((last_sent, load): (&GroupLoad, &GroupLoad)) -> bool {
    last_sent.group != load.group
        || last_sent.slots != load.slots
        || last_sent.full_origins != load.full_origins
        || (utilization(last_sent) - utilization(load)).abs() >= UTILIZATION_CHANGE_THRESHOLD
}

fn utilization(load: &GroupLoad) -> f64 {
    let used = f64::from(load.in_flight) + f64::from(load.queued);
    used / f64::from(load.slots.max(1))
}
