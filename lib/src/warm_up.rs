//! Limits how quickly load may grow on cold caches.
//!
//! A backend server that has just started responds slowly at first, and so does a place that
//! serves callers whose data it has not cached. Full load at once would fill its slots with
//! slow requests and delay everything queued behind them; whenever traffic shifts, the latency
//! would rise by the time of a cache miss. The load is therefore raised to its limit over the
//! warm-up time of the service.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::id::PlaceName;

/// Share of the slots at the start of a ramp.
const INITIAL_SHARE: f64 = 1.0 / 3.0;

/// Time without requests from a place after which its callers' data count as cold.
const COLD_AFTER: Duration = Duration::from_mins(1);

/// Ramp-up state of one backend server or one origin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ramp {
    /// It may take its full load.
    Warm,
    /// It has been ramping up since this time.
    Since(Instant),
}

impl Ramp {
    /// Returns the share of the full load that is allowed now, above 0 and up to 1.
    #[must_use]
    pub fn share(self, now: Instant, over: Duration) -> f64 {
        match self {
            Self::Warm => 1.0,
            Self::Since(start) => {
                let passed = now.saturating_duration_since(start);
                if passed >= over {
                    return 1.0;
                }
                INITIAL_SHARE + (1.0 - INITIAL_SHARE) * passed.as_secs_f64() / over.as_secs_f64()
            }
        }
    }

    /// Returns how many of `slots` may be used; at least one unless `slots` is 0.
    #[must_use]
    pub fn slots(self, now: Instant, over: Duration, slots: u32) -> u32 {
        share_of(slots, self.share(now, over))
    }
}

/// Ramp-up state of the origins (places of callers) that a group serves.
#[derive(Debug, Default)]
pub struct OriginRamps {
    origins: BTreeMap<PlaceName, OriginRamp>,
}

#[derive(Debug)]
struct OriginRamp {
    ramp: Ramp,
    last: Instant,
    in_flight: u32,
}

impl OriginRamps {
    /// Returns whether one more request from `origin` may run in addition to those already
    /// running.
    ///
    /// `new_is_warm` means that an unknown origin counts as warm, as just after a change of
    /// owner: the previous owner has already served it.
    pub fn admits(
        &mut self,
        now: Instant,
        origin: &PlaceName,
        over: Duration,
        slots: u32,
        new_is_warm: bool,
    ) -> bool {
        let known = self.entry(now, origin, new_is_warm);
        let share = known.ramp.share(now, over);
        // Requests on servers that accept no new work are not covered by `slots`, so a warm
        // origin is not limited by it.
        share >= 1.0 || known.in_flight < share_of(slots, share)
    }

    /// Counts a request from `origin` as running.
    pub fn begin(&mut self, now: Instant, origin: &PlaceName) {
        let known = self.entry(now, origin, false);
        known.in_flight += 1;
        known.last = now;
    }

    /// Counts a request from `origin` as finished.
    pub fn end(&mut self, now: Instant, origin: &PlaceName) {
        if let Some(known) = self.origins.get_mut(origin) {
            known.in_flight = known.in_flight.saturating_sub(1);
            known.last = now;
        }
    }

    fn entry(&mut self, now: Instant, origin: &PlaceName, new_is_warm: bool) -> &mut OriginRamp {
        let start = if new_is_warm {
            Ramp::Warm
        } else {
            Ramp::Since(now)
        };
        let known = self
            .origins
            .entry(origin.clone())
            .or_insert_with(|| OriginRamp {
                ramp: start,
                last: now,
                in_flight: 0,
            });
        let idle = known.in_flight == 0 && now.saturating_duration_since(known.last) >= COLD_AFTER;
        if idle {
            known.ramp = Ramp::Since(now);
            known.last = now;
        }
        known
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the product lies between 0 and slots"
)]
fn share_of(slots: u32, share: f64) -> u32 {
    (f64::from(slots) * share).ceil() as u32
}
