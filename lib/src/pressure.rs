//! How hard it is to get a request served by one group, as one entry sees it.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::id::PlaceName;
use crate::id::SessionId;
use crate::load_digest::DIGEST_LAPSE;
use crate::load_digest::GroupLoad;
use crate::outcome::NotRunReason;

/// Use of the slots, queue included, that pressure steers for. Just below the point
/// from which requests wait.
const TARGET_USE: f64 = 0.9;

/// Change of pressure a second for each unit by which use differs from the target.
///
/// Use answers to pressure after the digest's delay *d*, by about one unit for one of
/// pressure, at most two. Such a loop is stable while gain times *d* stays below π/2,
/// and settles without much overshoot below half of that: with 0.25 and two units, up
/// to digests that are two to three seconds old.
const GAIN: f64 = 0.25;

/// Largest difference from the target that counts.
const MAX_ERROR: f64 = 1.0;

/// Share of the way to full pressure that a refusal goes.
const REFUSAL_STEP: f64 = 0.05;

/// Time in which the pressure by refusals halves.
const REFUSAL_HALF_LIFE: Duration = Duration::from_secs(1);

/// Time in which pressure halves when nothing is heard of the group.
const STALE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Time for which a group isn't asked after it couldn't be reached.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(500);

/// Time for which a group isn't asked for an origin whose shift it has refused.
const SHIFT_PAUSE: Duration = Duration::from_millis(100);

/// Time for which a digest's hint at a used-up shift is believed.
const HINT_MAX_AGE: Duration = Duration::from_millis(500);

/// Holds what one entry knows of one group.
#[derive(Debug, Default)]
pub struct LoadEstimate {
    owner: Option<SessionId>,
    load: Option<ReceivedLoad>,
    /// Pressure by use, as digests tell.
    use_pressure: f64,
    /// Pressure by refusals, as this entry has met them.
    refusal_pressure: f64,
    updated: Option<Instant>,
    unreachable_until: Option<Instant>,
    blocked_origins: BTreeMap<PlaceName, Instant>,
    /// Requests sent lately and likely running still, at `sent_at`.
    sent: f64,
    sent_at: Option<Instant>,
}

#[derive(Debug)]
struct ReceivedLoad {
    at: Instant,
    load: GroupLoad,
}

impl LoadEstimate {
    /// Takes the owner's digest.
    pub fn take_load(&mut self, now: Instant, owner: SessionId, load: &GroupLoad) {
        self.update(now);
        self.owner = Some(owner);
        self.load = Some(ReceivedLoad {
            at: now,
            load: load.clone(),
        });
    }

    /// Forgets what another owner told.
    pub fn set_owner(&mut self, owner: SessionId) {
        if self.owner.is_some_and(|known| known != owner) {
            self.load = None;
            self.unreachable_until = None;
        }
        self.owner = Some(owner);
    }

    /// Notes that a request was sent.
    pub fn note_sent(&mut self, now: Instant) {
        self.sent = self.estimated_sent(now) + 1.0;
        self.sent_at = Some(now);
    }

    /// Notes that a request was refused.
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
            // The others tell nothing about the group's load.
            _ => {}
        }
    }

    /// Notes that the owner couldn't be reached.
    pub fn note_unreachable(&mut self, now: Instant) {
        self.unreachable_until = Some(now + UNREACHABLE_PAUSE);
    }

    /// Returns the pressure, from 0 to 1.
    pub fn pressure(&mut self, now: Instant) -> f64 {
        self.update(now);
        self.use_pressure.max(self.refusal_pressure)
    }

    /// Returns the part of the pressure that comes from refusals, from 0 to 1.
    pub fn refusal_pressure(&mut self, now: Instant) -> f64 {
        self.update(now);
        self.refusal_pressure
    }

    /// Tells whether a request from `origin` has any chance.
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

    /// Returns the slots that are likely free, what this entry has sent since the
    /// digest taken off, and discounted by the digest's age.
    #[must_use]
    pub fn likely_free(&self, now: Instant) -> f64 {
        let Some(received) = &self.load else {
            return 0.0;
        };
        let used = f64::from(received.load.in_flight) + f64::from(received.load.queued);
        let free = f64::from(received.load.slots) - used - self.estimated_sent(now);
        free.max(0.0) * GroupLoad::confidence(now.saturating_duration_since(received.at))
    }

    /// Returns the time that a request needs there, the wait for a slot included.
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

    /// Returns the owner's last digest, unless it has lapsed.
    #[must_use]
    pub fn load(&self, now: Instant) -> Option<&GroupLoad> {
        self.fresh_load(now, DIGEST_LAPSE)
    }

    /// Fades what was sent by the group's service time, of which the digest knows the
    /// more the longer ago it was.
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

    /// Moves the pressure by the time passed: as far as the digest is trusted, towards
    /// the target use; as far as it isn't, towards nothing.
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

/// Returns what is left after `seconds` of what halves within `half_life`.
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
