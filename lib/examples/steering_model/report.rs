//! Outcomes of the requests of one run.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Largest latency that the histograms distinguish, in microseconds.
const LONGEST_US: u64 = 60_000_000;

/// Collects latencies and outcomes as callers and backend servers observe them.
pub struct Report {
    answered: Histogram<u64>,
    refused: Histogram<u64>,
    /// Answers that arrived within the deadline.
    in_time_answers: u64,
    offered: u64,
    /// Requests that arrived at a backend server without a free slot.
    overruns: u64,
    /// Refusals of requests while a slot in the caller's region was free.
    refused_with_free_slot: u64,
    capacity: f64,
}

impl Report {
    pub const HEAD: &'static str = "\
| load | strategy | goodput | p50 ms | p99 ms | p99.9 ms | refused | refusal p50 ms | refusal p99 ms | overruns | refused with a free slot in the region |
| ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |";

    /// Creates an empty report; `capacity` is the number of requests that all slots
    /// together can serve in the measured time.
    pub fn new(capacity: f64) -> Self {
        let histogram =
            || Histogram::new_with_max(LONGEST_US, 3).expect("valid histogram bounds and digits");
        Self {
            answered: histogram(),
            refused: histogram(),
            in_time_answers: 0,
            offered: 0,
            overruns: 0,
            refused_with_free_slot: 0,
            capacity,
        }
    }

    pub fn note_answer(&mut self, latency: Duration, in_time: bool) {
        self.offered += 1;
        self.in_time_answers += u64::from(in_time);
        self.answered.saturating_record(micros(latency));
    }

    pub fn note_refusal(&mut self, latency: Duration, free_slot: bool) {
        self.offered += 1;
        self.refused_with_free_slot += u64::from(free_slot);
        self.refused.saturating_record(micros(latency));
    }

    pub fn note_overrun(&mut self) {
        self.overruns += 1;
    }

    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    pub fn line(&self, load: f64, strategy: &str) -> String {
        let ms = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1_000.0
        };
        let percent = |count: u64| 100.0 * count as f64 / self.offered.max(1) as f64;
        format!(
            "| {:.0}% | {strategy} | {:.1}% | {:.1} | {:.1} | {:.1} | {:.2}% | {:.1} | {:.1} | {:.2}% | {:.2}% |",
            load * 100.0,
            100.0 * self.in_time_answers as f64 / self.capacity,
            ms(&self.answered, 0.5),
            ms(&self.answered, 0.99),
            ms(&self.answered, 0.999),
            percent(self.refused.len()),
            ms(&self.refused, 0.5),
            ms(&self.refused, 0.99),
            percent(self.overruns),
            percent(self.refused_with_free_slot),
        )
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
