//! How busy a backend server is, as one of several senders sees it.
//!
//! A sender knows what it has in flight itself. What others have there shows only in the
//! reports that come with answers, and such a report is old at once: it fades, so that a
//! backend server that was full a while ago is tried again. What it fades to is what reports
//! of the whole service tell of others on average, and nothing before there are any: that
//! others do as this sender does would be a guess, and requests are refused for it.

use std::time::Duration;
use std::time::Instant;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::service_latency::RouteLatencyKey;

/// Time in which half of what reports said of others' requests is forgotten. Requests of
/// others go on coming after those that a report counted are over, so this is longer than
/// one request runs; a sender gets a report from one backend server about once a second.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(700);

/// Weight of the latest report.
const REPORT_WEIGHT: f64 = 0.6;

new_key_type! {
    /// Identifies one request in flight at a backend server.
    pub struct SendKey;
}

/// Holds what a backend server said of its load with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at a time.
    pub slots: u32,
}

/// Holds what was expected of a request when it was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Expectation {
    /// The times of its route.
    pub latency_key: RouteLatencyKey,
    /// Whether its data were expected to be at hand.
    pub warm: bool,
    /// Whether it was expected to wait.
    pub queued: bool,
    /// Time above which the backend server counts as slow. Where it isn't sure that the
    /// data are at hand, that is the time without.
    pub slow_above: Duration,
}

/// Holds what is known of a request in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlight {
    /// When it was sent.
    pub sent_at: Instant,
    /// What was expected of it then.
    pub expected: Expectation,
}

#[derive(Clone, Copy, Debug)]
struct ReportedOthers {
    count: f64,
    at: Instant,
}

/// Follows the load of one backend server.
#[derive(Debug, Default)]
pub(crate) struct BackendLoad {
    in_flight: SlotMap<SendKey, InFlight>,
    others: Option<ReportedOthers>,
    last_answer: Option<Instant>,
}

impl BackendLoad {
    /// Notes that a request is sent.
    pub fn begin(&mut self, now: Instant, expected: Expectation) -> SendKey {
        let sent_at = now;
        self.in_flight.insert(InFlight { sent_at, expected })
    }

    /// Notes that a request is over; returns what was known of it.
    pub fn end(&mut self, key: SendKey) -> Option<InFlight> {
        self.in_flight.remove(key)
    }

    /// Notes an answer and what came with it; call it after [`Self::end`].
    pub fn note_answer(&mut self, now: Instant, report: Option<LoadReport>, average_others: f64) {
        self.last_answer = Some(now);
        let Some(report) = report else { return };
        let count = self.others_of(report);
        let before = self
            .others
            .map_or(count, |_| self.others(now, average_others));
        self.others = Some(ReportedOthers {
            count: before + (count - before) * REPORT_WEIGHT,
            at: now,
        });
    }

    /// Returns how many requests of others a report tells of; call it after [`Self::end`].
    pub fn reported_others(&self, report: Option<LoadReport>) -> Option<f64> {
        report.map(|report| self.others_of(report))
    }

    fn others_of(&self, report: LoadReport) -> f64 {
        let total = f64::from(report.running) + f64::from(report.waiting);
        (total - self.own()).max(0.0)
    }

    /// Returns the age of the latest report of its load.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        let at = self.others.map(|others| others.at)?;
        Some(now.saturating_duration_since(at))
    }

    fn own(&self) -> f64 {
        f64::from(u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX))
    }

    /// Estimates the requests that run or wait there. As a report ages, what it said of
    /// others' requests gives way to `average_others`, what they have at a backend server on average.
    #[must_use]
    pub fn estimate(&self, now: Instant, average_others: f64) -> f64 {
        self.own() + self.others(now, average_others)
    }

    fn others(&self, now: Instant, average_others: f64) -> f64 {
        self.others.map_or(average_others, |others| {
            let age = now.saturating_duration_since(others.at);
            let fresh = 0.5_f64.powf(age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64());
            average_others + (others.count - average_others) * fresh
        })
    }

    /// Returns for how long the oldest request has been without any sign of life of the
    /// backend server. A server that hangs answers nothing, so this is all that tells.
    #[must_use]
    pub fn silence(&self, now: Instant) -> Duration {
        let Some(oldest) = self.in_flight.values().map(|send| send.sent_at).min() else {
            return Duration::ZERO;
        };
        let since = self.last_answer.map_or(oldest, |answer| answer.max(oldest));
        now.saturating_duration_since(since)
    }
}
