//! Estimates, at one entry VM, of the load of a group and of the chance of being served
//! there.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::id::PlaceName;
use crate::id::SessionId;
use crate::load_digest::DIGEST_LAPSE;
use crate::load_digest::GroupLoad;
use crate::outcome::NotRunReason;

/// Target utilization of the slots, including queued requests; just below the point from
/// which requests have to wait.
const TARGET_USE: f64 = 0.9;

/// Change of pressure per second and unit of difference between utilization and target.
///
/// Utilization responds to pressure after the digest's delay *d*, by about one unit per
/// unit of pressure and at most two. Such a loop is stable while gain times *d* is below
/// π/2 and settles without much overshoot below half of that: with 0.25 and two units,
/// for digests up to two to three seconds old.
const GAIN: f64 = 0.25;

/// Limit of the difference from the target utilization.
const MAX_ERROR: f64 = 1.0;

/// Fraction of the remaining distance to full pressure that each refusal adds.
const REFUSAL_STEP: f64 = 0.05;

/// Half-life of the pressure caused by refusals.
const REFUSAL_HALF_LIFE: Duration = Duration::from_secs(1);

/// Half-life of the pressure when no digest of the group is received.
const STALE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Time for which a group is not tried after its owner was unreachable.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(500);

/// Time for which a group is not tried for an origin after it refused a shift from there.
const SHIFT_PAUSE: Duration = Duration::from_millis(100);

/// Maximum age of a digest whose list of origins with a used-up shift budget is taken
/// into account.
const HINT_MAX_AGE: Duration = Duration::from_millis(500);

/// Load of one group as estimated by one entry VM.
#[derive(Debug, Default)]
pub struct LoadEstimate {
    owner: Option<SessionId>,
    load: Option<ReceivedLoad>,
    /// Pressure due to utilization, derived from digests.
    use_pressure: f64,
    /// Pressure due to refusals that this entry VM received.
    refusal_pressure: f64,
    updated: Option<Instant>,
    unreachable_until: Option<Instant>,
    blocked_origins: BTreeMap<PlaceName, Instant>,
    /// Estimated number of recently sent requests that were still running at `sent_at`.
    sent: f64,
    sent_at: Option<Instant>,
}

#[derive(Debug)]
struct ReceivedLoad {
    at: Instant,
    load: GroupLoad,
}

impl LoadEstimate {
    /// Applies the load from the owner's digest.
    pub fn take_load(&mut self, now: Instant, owner: SessionId, load: &GroupLoad) {
        self.update(now);
        self.owner = Some(owner);
        self.load = Some(ReceivedLoad {
            at: now,
            load: load.clone(),
        });
    }

    /// Sets the owner of the group; a change discards the load reported by the previous
    /// one.
    pub fn set_owner(&mut self, owner: SessionId) {
        if self.owner.is_some_and(|known| known != owner) {
            self.load = None;
            self.unreachable_until = None;
        }
        self.owner = Some(owner);
    }

    /// Records that a request was sent to the group.
    pub fn note_sent(&mut self, now: Instant) {
        self.sent = self.estimated_sent(now) + 1.0;
        self.sent_at = Some(now);
    }

    /// Records that the group refused a request.
    pub fn note_refused(&mut self, now: Instant, origin: &PlaceName, reason: NotRunReason) {
        self.update(now);
        match reason {
            NotRunReason::ShiftCap | NotRunReason::LinkLimit => {
                self.blocked_origins
                    .insert(origin.clone(), now + SHIFT_PAUSE);
            }
            NotRunReason::NoBackendServer => self.refusal_pressure = 1.0,
            NotRunReason::Overloaded
            | NotRunReason::DeadlineTooShort
            | NotRunReason::PlaceLimit
            | NotRunReason::BackendRefused
            | NotRunReason::BackendUnreachable => {
                self.refusal_pressure += REFUSAL_STEP * (1.0 - self.refusal_pressure);
            }
            // The other reasons say nothing about the group's load.
            _ => {}
        }
    }

    /// Records that the owner could not be reached.
    pub fn note_unreachable(&mut self, now: Instant) {
        self.unreachable_until = Some(now + UNREACHABLE_PAUSE);
    }

    /// Returns the pressure, from 0 to 1.
    pub fn pressure(&mut self, now: Instant) -> f64 {
        self.update(now);
        self.use_pressure.max(self.refusal_pressure)
    }

    /// Returns the part of the pressure that is due to refusals, from 0 to 1.
    pub fn refusal_pressure(&mut self, now: Instant) -> f64 {
        self.update(now);
        self.refusal_pressure
    }

    /// Returns whether a request from `origin` has any chance of being served.
    #[must_use]
    pub fn is_open(&self, now: Instant, origin: &PlaceName) -> bool {
        let reachable = self.unreachable_until.is_none_or(|until| now >= until);
        let unblocked = self
            .blocked_origins
            .get(origin)
            .is_none_or(|until| now >= *until);
        let hinted = self
            .fresh_load(now, HINT_MAX_AGE)
            .is_some_and(|load| load.full_origins.contains(origin));
        let has_slots = self
            .fresh_load(now, DIGEST_LAPSE)
            .is_none_or(|load| load.slots > 0);
        reachable && unblocked && !hinted && has_slots
    }

    /// Returns the estimated number of free slots, less the requests that this entry VM
    /// has sent since the digest, and discounted by the digest's age.
    #[must_use]
    pub fn likely_free(&self, now: Instant) -> f64 {
        let Some(received) = &self.load else {
            return 0.0;
        };
        let used = f64::from(received.load.in_flight) + f64::from(received.load.queued);
        let free = f64::from(received.load.slots) - used - self.estimated_sent(now);
        free.max(0.0) * GroupLoad::confidence(now.saturating_duration_since(received.at))
    }

    /// Returns the expected time for a request in the group, including the wait for a
    /// slot.
    #[must_use]
    pub fn expected_time(&self) -> Duration {
        self.load.as_ref().map_or(Duration::ZERO, |received| {
            let ms = received
                .load
                .expected_wait_ms
                .saturating_add(received.load.service_ms);
            Duration::from_millis(u64::from(ms))
        })
    }

    /// Returns the load from the owner's last digest, unless it has lapsed.
    #[must_use]
    pub fn load(&self, now: Instant) -> Option<&GroupLoad> {
        self.fresh_load(now, DIGEST_LAPSE)
    }

    /// Returns the estimated number of sent requests that the digest does not include; it
    /// decays with the group's service time.
    fn estimated_sent(&self, now: Instant) -> f64 {
        let (Some(at), Some(received)) = (self.sent_at, &self.load) else {
            return 0.0;
        };
        let elapsed = now.saturating_duration_since(at).as_secs_f64();
        let service = f64::from(received.load.service_ms.max(1)) / 1_000.0;
        self.sent * (-elapsed / service).exp()
    }

    fn fresh_load(&self, now: Instant, lapse: Duration) -> Option<&GroupLoad> {
        let received = self.load.as_ref()?;
        (now.saturating_duration_since(received.at) < lapse).then_some(&received.load)
    }

    /// Advances the pressure to `now`: in proportion to the confidence in the digest it
    /// moves towards the target utilization, otherwise it decays to zero.
    fn update(&mut self, now: Instant) {
        let last = *self.updated.get_or_insert(now);
        let elapsed = now.saturating_duration_since(last).as_secs_f64();
        self.updated = Some(last.max(now));
        let (error, trust) = self.load.as_ref().map_or((0.0, 0.0), |received| {
            let age = now.saturating_duration_since(received.at);
            (received.error(), GroupLoad::confidence(age))
        });
        let decayed = self.use_pressure * decay(elapsed * (1.0 - trust), STALE_HALF_LIFE);
        self.use_pressure = (decayed + GAIN * error * trust * elapsed).clamp(0.0, 1.0);
        self.refusal_pressure *= decay(elapsed, REFUSAL_HALF_LIFE);
    }
}

/// Returns the fraction that remains after `seconds` of exponential decay with
/// `half_life`.
fn decay(seconds: f64, half_life: Duration) -> f64 {
    0.5_f64.powf(seconds / half_life.as_secs_f64())
}

impl ReceivedLoad {
    fn error(&self) -> f64 {
        if self.load.slots == 0 {
            return MAX_ERROR;
        }
        let used = f64::from(self.load.in_flight) + f64::from(self.load.queued);
        let error = used / f64::from(self.load.slots) - TARGET_USE;
        error.clamp(-MAX_ERROR, MAX_ERROR)
    }
}
