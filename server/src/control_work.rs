//! Time that a control replica spends on each kind of work, for its metrics and its log.
//!
//! Reading and writing connections is not included.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::clock::Clock;
use heatherring_lib::duration_text::whole_ms;

use crate::metric;

/// Interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Share of the time from which on the work is logged.
const LOGGED_SHARE: f64 = 0.05;

/// Kind of work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Work {
    /// Steps of Raft and of the replicated state.
    Agreement,
    /// Heartbeats, reports on them, and who is absent.
    Presence,
    /// Announcements of backend servers.
    Announcements,
    /// Updates for entry VMs.
    Updates,
}

const KINDS: [Work; 4] = [
    Work::Agreement,
    Work::Presence,
    Work::Announcements,
    Work::Updates,
];

impl Work {
    const fn name(self) -> &'static str {
        match self {
            Self::Agreement => "agreement",
            Self::Presence => "presence",
            Self::Announcements => "announcements",
            Self::Updates => "updates",
        }
    }
}

/// Measures the work of one replica; clones share their totals.
#[derive(Clone, Debug)]
pub struct WorkMeter {
    clock: Arc<dyn Clock>,
    totals_us: Arc<[AtomicU64; KINDS.len()]>,
}

impl WorkMeter {
    /// Creates a meter with totals of zero.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            totals_us: Arc::default(),
        }
    }

    /// Adds the time that `run` takes.
    pub fn measure<T>(&self, work: Work, run: impl FnOnce() -> T) -> T {
        let began = self.clock.now();
        let result = run();
        self.add_since(work, began);
        result
    }

    /// Adds the time since `began`.
    pub fn add_since(&self, work: Work, began: Instant) {
        let took = self.clock.now().saturating_duration_since(began);
        let us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        self.totals_us[work as usize].fetch_add(us, Ordering::Relaxed);
        metric::control_work(work.name(), us);
    }

    /// Logs the work at regular intervals, as long as there is much of it.
    pub async fn run_log(self) {
        let mut before = [0; KINDS.len()];
        loop {
            let began = self.clock.now();
            tokio::time::sleep(LOG_INTERVAL).await;
            let period = self.clock.now().saturating_duration_since(began);
            let totals = KINDS.map(|work| self.totals_us[work as usize].load(Ordering::Relaxed));
            let of =
                |work: Work| Duration::from_micros(totals[work as usize] - before[work as usize]);
            let all: Duration = KINDS.into_iter().map(of).sum();
            if all > period.mul_f64(LOGGED_SHARE) {
                log::info!(event = "control_work", period_ms = whole_ms(period), agreement_ms = whole_ms(of(Work::Agreement)), presence_ms = whole_ms(of(Work::Presence)), announcements_ms = whole_ms(of(Work::Announcements)), updates_ms = whole_ms(of(Work::Updates)); "time spent by kind of work");
            }
            before = totals;
        }
    }
}
