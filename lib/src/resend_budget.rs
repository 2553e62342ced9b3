//! Limits how often requests of one service are sent to a second backend server.
//!
//! The limit holds for all entry VMs together and over any window: a share of the requests plus
//! a fixed number. Each entry VM uses its part of both, so that the total stays within the
//! limit without any coordination.
//!
//! If the length of the window is known, an entry VM counts the requests and resends of the last
//! one, so that what it earned while nothing failed is available once backend servers refuse
//! requests. Otherwise a token bucket bounds the resends over windows of any length; what is
//! earned beyond its small capacity is lost.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Part of the limit that is used. Requests are counted where callers send them, and some never
/// arrive here; entry VMs that restart begin with a full bucket again.
const USED_PART: f64 = 0.7;

/// Number of intervals into which a window is divided for counting.
const INTERVALS: u32 = 20;

/// Limit on the resends of all entry VMs together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResendLimit {
    /// Resends allowed per request.
    pub ratio: f64,
    /// Additional resends allowed in any window.
    pub slack: f64,
    /// Length of the windows; `None` if the limit holds for windows of any length.
    pub window: Option<Duration>,
}

/// Part of a limit on resends that one entry VM uses.
#[derive(Clone, Debug)]
pub struct ResendBudget {
    ratio: f64,
    /// Resends allowed in any window in addition to the share of the requests.
    slack: f64,
    counter: Counter,
}

#[derive(Clone, Debug)]
enum Counter {
    Bucket { tokens: f64 },
    Window(WindowCounter),
}

/// Requests and resends of the last window.
#[derive(Clone, Debug)]
struct WindowCounter {
    length: Duration,
    /// Start of the process. What its previous incarnation resent is not known for one window.
    began: Instant,
    intervals: VecDeque<Interval>,
}

#[derive(Clone, Copy, Debug)]
struct Interval {
    start: Instant,
    requests: u32,
    resends: u32,
}

impl ResendBudget {
    /// Creates the budget of one of `senders` entry VMs. A window that begins with a full bucket
    /// and uses all tokens earned meanwhile stays within the limit.
    #[must_use]
    pub fn new(now: Instant, limit: &ResendLimit, senders: usize) -> Self {
        let slack = own_slack(limit.slack, senders);
        let counter = match limit.window {
            Some(length) => Counter::Window(WindowCounter {
                length,
                began: now,
                intervals: VecDeque::new(),
            }),
            None => Counter::Bucket { tokens: slack },
        };
        Self {
            ratio: limit.ratio * USED_PART,
            slack,
            counter,
        }
    }

    /// Splits the slack among a new number of senders.
    pub fn share(&mut self, slack: f64, senders: usize) {
        self.slack = own_slack(slack, senders);
        if let Counter::Bucket { tokens } = &mut self.counter {
            *tokens = tokens.min(self.slack);
        }
    }

    /// Records a request that is sent for the first time, which earns a part of a resend.
    pub fn note_request(&mut self, now: Instant) {
        match &mut self.counter {
            Counter::Bucket { tokens } => *tokens = (*tokens + self.ratio).min(self.slack),
            Counter::Window(window) => window.current(now).requests += 1,
        }
    }

    /// Takes one resend from the budget; returns whether it allowed one.
    pub fn try_take(&mut self, now: Instant) -> bool {
        if !self.affords(now, 1) {
            return false;
        }
        match &mut self.counter {
            Counter::Bucket { tokens } => *tokens -= 1.0,
            Counter::Window(window) => window.current(now).resends += 1,
        }
        true
    }

    /// Returns whether the budget allows this number of resends.
    pub fn affords(&mut self, now: Instant, resends: u32) -> bool {
        match &mut self.counter {
            Counter::Bucket { tokens } => *tokens >= f64::from(resends),
            Counter::Window(window) => {
                let (requests, before) = window.counts(now);
                let slack = if window.covers_incarnation(now) {
                    0.0
                } else {
                    self.slack
                };
                let limit = f64::from(requests) * self.ratio + slack;
                f64::from(before) + f64::from(resends) <= limit
            }
        }
    }
}

impl WindowCounter {
    fn interval(&self) -> Duration {
        self.length / INTERVALS
    }

    /// Returns whether the process started during the last window.
    fn covers_incarnation(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.began) < self.length + self.interval()
    }

    /// Returns the interval that `now` belongs to.
    fn current(&mut self, now: Instant) -> &mut Interval {
        let length = self.interval();
        let is_over = |last: &Interval| now.saturating_duration_since(last.start) >= length;
        if self.intervals.back().is_none_or(is_over) {
            self.intervals.push_back(Interval {
                start: now,
                requests: 0,
                resends: 0,
            });
        }
        let last = self.intervals.len() - 1;
        &mut self.intervals[last]
    }

    /// Returns the requests and the resends of the last window. Requests of an interval that
    /// began before the window do not count, its resends do.
    fn counts(&mut self, now: Instant) -> (u32, u32) {
        let kept = self.length + self.interval();
        while self
            .intervals
            .pop_front_if(|first| now.saturating_duration_since(first.start) >= kept)
            .is_some()
        {}
        let is_inside =
            |interval: &&Interval| now.saturating_duration_since(interval.start) < self.length;
        let requests = self.intervals.iter().filter(is_inside);
        let requests = requests.map(|interval| interval.requests).sum();
        let resends = self.intervals.iter().map(|interval| interval.resends).sum();
        (requests, resends)
    }
}

fn own_slack(slack: f64, senders: usize) -> f64 {
    #[expect(clippy::cast_precision_loss)]
    let senders = senders.max(1) as f64;
    slack * USED_PART / senders
}
