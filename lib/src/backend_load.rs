//! Load of a backend server, as estimated by one of several senders.
//!
//! A sender knows its own requests in flight. The requests of other senders are visible only in
//! the load reports that come with responses, and a report is outdated as soon as it arrives.
//! The reported number therefore decays, so that a backend server that was full some time ago
//! is tried again. It decays to the average number of other senders' requests over all reports
//! of the service, and to 0 before the first report: assuming that other senders send as much
//! as this one would be a guess, and requests would be refused because of it.

use std::time::Duration;
use std::time::Instant;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::backend_pushback::PauseNumber;
use crate::service_latency::RouteLatencyKey;

/// Half-life of the reported number of other senders' requests. Other senders keep sending
/// after the requests counted by a report have ended, so this is longer than a request runs. A
/// sender receives a report from a given backend server about once a second.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(700);

/// Weight of the latest report in the moving average.
const REPORT_WEIGHT: f64 = 0.6;

new_key_type! {
    /// Identifies a request in flight at a backend server.
    pub struct SendKey;
}

/// Load that a backend server reports along with a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that may run concurrently.
    pub slots: u32,
}

impl LoadReport {
    /// Returns whether one more request could have run at once.
    #[must_use]
    pub const fn has_room(self) -> bool {
        self.running < self.slots
    }
}

/// Expectations of a request at the time it was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Expectation {
    /// Latency estimates of its route.
    pub latency_key: RouteLatencyKey,
    /// Whether its data were expected to be cached.
    pub warm: bool,
    /// Whether it was expected to be queued.
    pub queued: bool,
    /// Run time above which the backend server counts as slow. When it is not certain that the
    /// data are cached, this is based on the cold run time.
    pub slow_above: Duration,
}

/// A request in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlight {
    pub sent_at: Instant,
    pub expected: Expectation,
    /// Whether it was counted as slow while it was in flight.
    pub overdue: bool,
    /// The pause of the backend server that it is a trial after; `None` if it is none.
    pub trial: Option<PauseNumber>,
}

#[derive(Clone, Copy, Debug)]
struct ReportedOthers {
    count: f64,
    at: Instant,
}

/// Tracks the load of one backend server.
#[derive(Debug, Default)]
pub(crate) struct BackendLoad {
    in_flight: SlotMap<SendKey, InFlight>,
    others: Option<ReportedOthers>,
    last_answer: Option<Instant>,
}

impl BackendLoad {
    /// Records that a request is sent.
    pub fn begin(
        &mut self,
        now: Instant,
        expected: Expectation,
        trial: Option<PauseNumber>,
    ) -> SendKey {
        let sent_at = now;
        self.in_flight.insert(InFlight {
            sent_at,
            expected,
            overdue: false,
            trial,
        })
    }

    /// Records that a request has ended, and returns its record.
    pub fn end(&mut self, key: SendKey) -> Option<InFlight> {
        self.in_flight.remove(key)
    }

    /// Records a response and its load report. To be called after [`Self::end`], so that the
    /// finished request is not counted as this sender's own.
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

    /// Returns the number of other senders' requests according to a report. To be called after
    /// [`Self::end`].
    pub fn reported_others(&self, report: Option<LoadReport>) -> Option<f64> {
        report.map(|report| self.others_of(report))
    }

    fn others_of(&self, report: LoadReport) -> f64 {
        let total = f64::from(report.running) + f64::from(report.waiting);
        (total - self.own()).max(0.0)
    }

    /// Returns the age of the latest load report; `None` before the first.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        let at = self.others.map(|others| others.at)?;
        Some(now.saturating_duration_since(at))
    }

    /// Returns the number of this sender's requests in flight.
    pub fn own_requests(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns whether a request in flight was sent before `at`.
    pub fn has_earlier_than(&self, at: Instant) -> bool {
        self.in_flight.values().any(|send| send.sent_at < at)
    }

    /// Iterates over this sender's requests in flight.
    pub fn in_flight_mut(&mut self) -> impl Iterator<Item = &mut InFlight> {
        self.in_flight.values_mut()
    }

    fn own(&self) -> f64 {
        f64::from(u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX))
    }

    /// Estimates the number of running and queued requests. As the last report ages, the
    /// reported number of other senders' requests converges to `average_others`, their average
    /// number at a backend server.
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

    /// Returns how long the oldest request in flight has gone without any response from the
    /// backend server. A hanging server sends nothing, so this is the only sign of a hang.
    #[must_use]
    pub fn silence(&self, now: Instant) -> Duration {
        let Some(oldest) = self.in_flight.values().map(|send| send.sent_at).min() else {
            return Duration::ZERO;
        };
        let since = self.last_answer.map_or(oldest, |answer| answer.max(oldest));
        now.saturating_duration_since(since)
    }
}
