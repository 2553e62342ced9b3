//! Usage within a sliding time window.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// Length of the window to which caps and limits apply.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Allowance for network jitter: the interval between two uses may be this much shorter
/// where they arrive, and are counted, than here. Without it, a use just after the end of
/// a window could arrive within it, and a count at the backend servers would exceed the
/// limit.
pub const ARRIVAL_JITTER: Duration = Duration::from_millis(50);

/// Time for which a use counts.
pub const COUNTED_FOR: Duration = WINDOW.saturating_add(ARRIVAL_JITTER);

/// Uses closer together than this share one bucket with the time of the latest, which
/// bounds the memory of a window.
const BUCKET: Duration = Duration::from_millis(2);

/// Time resolution of the usage that is reported to another session.
const REPORT_STEP: Duration = Duration::from_millis(20);

/// Number of subwindows over which usage is spread.
const SUBWINDOWS: u32 = 5;

/// Factor by which one subwindow may exceed its even share.
const BURST_FACTOR: u64 = 2;

/// Counts usage in a sliding window, with reservations.
#[derive(Clone, Debug, Default)]
pub struct UsageWindow {
    buckets: VecDeque<Bucket>,
    sum: u64,
    reserved: u64,
}

/// Usage by another session, reported by age.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecentUse {
    /// Age of the latest use included, in milliseconds.
    pub age_ms: u32,
    /// Total of the uses included.
    pub amount: u64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    first: Instant,
    last: Instant,
    amount: u64,
}

impl UsageWindow {
    /// Returns whether `amount` fits under `limit` in addition to the reservations.
    ///
    /// Usage is also spread within the window: a subwindow holds at most twice its even
    /// share. Otherwise, when the limit is reached, all uses would pass at the start of
    /// each window and none in the rest of it.
    pub fn has_room(&mut self, now: Instant, amount: u64, limit: u64) -> bool {
        self.expire(now);
        let fits_window = self.sum + self.reserved + amount <= limit;
        fits_window && self.used_in_subwindow(now) + amount <= subwindow_limit(limit).max(amount)
    }

    /// Returns whether an `amount` that is reserved may be used now under `limit` and the
    /// limit on a subwindow.
    pub fn may_use_reserved(&mut self, now: Instant, amount: u64, limit: u64) -> bool {
        self.expire(now);
        self.sum + amount <= limit
            && self.used_in_subwindow(now) + amount <= subwindow_limit(limit).max(amount)
    }

    /// Returns the amount that still fits under `limit` in addition to the reservations.
    pub fn room(&mut self, now: Instant, limit: u64) -> u64 {
        self.expire(now);
        limit.saturating_sub(self.sum + self.reserved)
    }

    /// Returns the time until the oldest bucket leaves the window.
    #[must_use]
    pub fn wait(&self, now: Instant) -> Duration {
        self.buckets.front().map_or(COUNTED_FOR, |bucket| {
            (bucket.last + COUNTED_FOR).saturating_duration_since(now)
        })
    }

    /// Counts a use of `amount` at `now`.
    pub fn add(&mut self, now: Instant, amount: u64) {
        self.expire(now);
        self.sum += amount;
        match self.buckets.back_mut() {
            Some(bucket) if now < bucket.first + BUCKET => {
                bucket.last = bucket.last.max(now);
                bucket.amount += amount;
            }
            _ => self.buckets.push_back(Bucket {
                first: now,
                last: now,
                amount,
            }),
        }
    }

    /// Reserves `amount` for a later use.
    pub fn reserve(&mut self, amount: u64) {
        self.reserved += amount;
    }

    /// Cancels a reservation of `amount`.
    pub fn unreserve(&mut self, amount: u64) {
        self.reserved = self.reserved.saturating_sub(amount);
    }

    /// Returns the usage in the window, without reservations.
    pub fn used(&mut self, now: Instant) -> u64 {
        self.expire(now);
        self.sum
    }

    /// Returns the usage in the window by age, at a resolution of `REPORT_STEP`.
    pub fn recent_use(&mut self, now: Instant) -> Vec<RecentUse> {
        self.expire(now);
        let mut reported: Vec<RecentUse> = Vec::new();
        let mut first = None;
        for bucket in &self.buckets {
            let age = now.saturating_duration_since(bucket.last).as_millis();
            let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
            match reported.last_mut() {
                Some(last) if first.is_some_and(|first| bucket.last < first + REPORT_STEP) => {
                    last.age_ms = age_ms;
                    last.amount += bucket.amount;
                }
                _ => {
                    first = Some(bucket.last);
                    reported.push(RecentUse {
                        age_ms,
                        amount: bucket.amount,
                    });
                }
            }
        }
        reported
    }

    /// Counts the usage that another session reported at `received_at`. Must be called
    /// before any other use is counted.
    pub fn add_reported(&mut self, received_at: Instant, reported: &[RecentUse]) {
        for recent in reported {
            let age = Duration::from_millis(u64::from(recent.age_ms));
            self.add(
                received_at.checked_sub(age).unwrap_or(received_at),
                recent.amount,
            );
        }
    }

    fn used_in_subwindow(&self, now: Instant) -> u64 {
        let subwindow = COUNTED_FOR / SUBWINDOWS;
        self.buckets
            .iter()
            .rev()
            .take_while(|bucket| now < bucket.last + subwindow)
            .map(|bucket| bucket.amount)
            .sum()
    }

    fn expire(&mut self, now: Instant) {
        while let Some(bucket) = self.buckets.front() {
            if now < bucket.last + COUNTED_FOR {
                return;
            }
            self.sum -= bucket.amount;
            self.buckets.pop_front();
        }
    }
}

fn subwindow_limit(limit: u64) -> u64 {
    limit
        .saturating_mul(BURST_FACTOR)
        .div_ceil(u64::from(SUBWINDOWS))
        .max(1)
}
