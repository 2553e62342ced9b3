//! How fast load may grow on what is cold.
//!
//! A backend server that has just started, and a place that meets callers whose data it
//! hasn't cached, answer slowly at first. Full load at once would fill its slots with
//! slow requests and make everything behind them late; that shows as latency that rises
//! by the time of a cache miss whenever traffic shifts. So load is let up to its limit
//! over the service's warm-up time.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::id::PlaceName;

/// Share of the slots with which a ramp starts.
const INITIAL_SHARE: f64 = 1.0 / 3.0;

/// Time without requests from a place after which its callers' data counts as cold.
const COLD_AFTER: Duration = Duration::from_mins(1);

/// Follows the ramp of one backend server or one origin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ramp {
    /// It may take its full load.
    Warm,
    /// It is on its way since this time.
    Since(Instant),
}

impl Ramp {
    /// Returns the share of the full load that may be put on it, above 0 and up to 1.
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

    /// Returns how many of `slots` may be used; at least one, if there is any.
    #[must_use]
    pub fn slots(self, now: Instant, over: Duration, slots: u32) -> u32 {
        share_of(slots, self.share(now, over))
    }
}

/// Follows which origins' callers a group has served lately.
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
    /// Tells whether one more request from `origin` may run beside those that do.
    ///
    /// `new_is_warm` says that an origin not known yet counts as warm, as just after a
    /// change of owner: the old owner has served it.
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
        // What runs on servers that take nothing new isn't in `slots`, so a warm origin
        // isn't held to that.
        share >= 1.0 || known.in_flight < share_of(slots, share)
    }

    /// Counts a request from `origin` as running.
    pub fn begin(&mut self, now: Instant, origin: &PlaceName) {
        let known = self.entry(now, origin, false);
        known.in_flight += 1;
        known.last = now;
    }

    /// Counts a request from `origin` as done.
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
