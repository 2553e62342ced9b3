//! Share of a region's callers that look-ups send to entry VMs of other regions.

use std::time::Duration;
use std::time::Instant;

use crate::headroom::Headroom;

/// Change of the share per step. A step lasts as long as callers cache an answer, so that no more
/// than this part of a region's callers moves in that time.
const SHARE_PER_STEP: f64 = 0.06;

/// Largest share that overflows.
const MAX_SHARE: f64 = 0.5;

/// Part of a region's size that decides on its state.
const DECISIVE_PART: f64 = 0.75;

/// Room of a region, from the headroom of its entry VMs.
#[derive(Clone, Copy, Debug, Default)]
pub struct RegionRoom {
    size: f64,
    short: f64,
    roomy: f64,
    relaxed: f64,
}

impl RegionRoom {
    /// Adds an entry VM. One without known headroom counts neither as short nor as roomy.
    pub fn add(&mut self, size: f64, headroom: Option<Headroom>) {
        let part = |is_so: fn(Headroom) -> bool| {
            if headroom.is_some_and(is_so) {
                size
            } else {
                0.0
            }
        };
        self.size += size;
        self.short += part(Headroom::is_short);
        self.roomy += part(Headroom::is_roomy);
        self.relaxed += part(Headroom::is_relaxed);
    }

    /// Returns whether the region is out of room.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.is_decisive(self.short)
    }

    /// Returns whether the region can take callers of others.
    #[must_use]
    pub fn is_roomy(&self) -> bool {
        self.is_decisive(self.roomy)
    }

    fn is_relaxed(&self) -> bool {
        self.is_decisive(self.relaxed)
    }

    fn is_decisive(&self, part: f64) -> bool {
        part > 0.0 && part >= DECISIVE_PART * self.size
    }
}

/// Share of a region's callers that is sent to other regions.
#[derive(Clone, Copy, Debug)]
pub struct RegionOverflow {
    share: f64,
    step: Duration,
    changed_at: Option<Instant>,
}

impl RegionOverflow {
    /// Creates a share of 0 that changes once in `step`.
    #[must_use]
    pub const fn new(step: Duration) -> Self {
        Self {
            share: 0.0,
            step,
            changed_at: None,
        }
    }

    /// Returns the share, given the room of the region and of the `others` that its callers may be
    /// sent to. It moves by at most one step.
    pub fn share(&mut self, now: Instant, own: &RegionRoom, others: &[RegionRoom]) -> f64 {
        let is_recent = |at| now.saturating_duration_since(at) < self.step;
        if self.changed_at.is_some_and(is_recent) {
            return self.share;
        }
        let change = if own.is_relaxed() || others.iter().all(RegionRoom::is_short) {
            -SHARE_PER_STEP
        } else if own.is_short() && others.iter().any(RegionRoom::is_roomy) {
            SHARE_PER_STEP
        } else {
            return self.share;
        };
        self.changed_at = Some(now);
        self.share = (self.share + change).clamp(0.0, MAX_SHARE);
        self.share
    }
}
