//! What a load came to: latencies, goodput, refusals and the use of slots.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::caller::Told;
use crate::ledger::LedgerEvent;
use crate::ledger::LedgerEventKind;
use crate::open_loop::Sample;

/// Longest latency that the histogram holds, in microseconds.
const LONGEST_US: u64 = 60_000_000;
const PRECISION_DIGITS: u8 = 3;

/// Summarizes one run.
#[derive(Clone, Debug)]
pub struct LoadSummary {
    offered_per_second: f64,
    goodput_per_second: f64,
    latency: Histogram<u64>,
    refusal: Histogram<u64>,
    requests: usize,
    refused: usize,
    could_have_run: usize,
    unknown: usize,
    lost: usize,
    wrong: usize,
    overruns: usize,
    use_of_slots: Vec<(String, u32, u32)>,
}

impl LoadSummary {
    /// Summarizes the samples of a run with the ledgers' events and the slots of each
    /// service.
    ///
    /// # Panics
    ///
    /// Panics if the histogram's constants don't fit together.
    #[must_use]
    pub fn new(
        samples: &[Sample],
        events: &[LedgerEvent],
        slots: &BTreeMap<String, u32>,
        duration: Duration,
    ) -> Self {
        let histogram = || Histogram::new_with_bounds(1, LONGEST_US, PRECISION_DIGITS);
        let in_use: BTreeMap<_, _> = slots
            .keys()
            .map(|service| (service.clone(), InUse::of(service, events)))
            .collect();
        let mut summary = Self {
            offered_per_second: per_second(samples.len(), duration),
            goodput_per_second: 0.0,
            latency: histogram().expect("the bounds are valid"),
            refusal: histogram().expect("the bounds are valid"),
            requests: samples.len(),
            refused: 0,
            could_have_run: 0,
            unknown: 0,
            lost: 0,
            wrong: 0,
            overruns: 0,
            use_of_slots: Vec::new(),
        };
        for sample in samples {
            summary.add(sample, &in_use[&sample.service], slots[&sample.service]);
        }
        let answers = usize::try_from(summary.latency.len()).unwrap_or(usize::MAX);
        summary.goodput_per_second = per_second(answers, duration);
        let overruns = events.iter();
        summary.overruns = overruns
            .filter(|event| matches!(event.kind, LedgerEventKind::Overrun(_)))
            .count();
        for (service, in_use) in in_use {
            let limit = slots[&service];
            summary.use_of_slots.push((service, in_use.peak(), limit));
        }
        summary
    }

    fn add(&mut self, sample: &Sample, in_use: &InUse, slots: u32) {
        let took_us = sample.ended_us.saturating_sub(sample.due_us).max(1);
        match &sample.told {
            Some(Told::Answer { .. }) => self.latency.saturating_record(took_us),
            Some(Told::Refused { refusal, .. }) if refusal.outcome == "unknown" => {
                self.unknown += 1;
            }
            Some(Told::Refused { .. } | Told::Malformed { .. }) => {
                self.refused += 1;
                self.refusal.saturating_record(took_us);
                self.could_have_run += usize::from(in_use.at(sample.ended_us) < slots);
            }
            Some(Told::WrongAnswer { .. }) => self.wrong += 1,
            Some(Told::Lost { .. } | Told::BackendFailed { .. }) | None => self.lost += 1,
        }
    }

    /// Returns the head of a markdown table of summaries.
    #[must_use]
    pub const fn table_head() -> &'static str {
        "| load | offered/s | goodput/s | p50 ms | p99 ms | p99.9 ms | refused % | longest refusal ms | refused with a free slot % | unknown | lost | wrong | overruns | peak slots in use |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
    }
}

impl fmt::Display for LoadSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |quantile| milliseconds(self.latency.value_at_quantile(quantile));
        let peaks = self.use_of_slots.iter();
        let peaks: Vec<_> = peaks
            .map(|(service, peak, limit)| format!("{service} {peak}/{limit}"))
            .collect();
        write!(
            f,
            "{:.0} | {:.0} | {:.1} | {:.1} | {:.1} | {:.2} | {:.1} | {:.1} | {} | {} | {} | {} | {} |",
            self.offered_per_second,
            self.goodput_per_second,
            ms(0.5),
            ms(0.99),
            ms(0.999),
            percent(self.refused, self.requests),
            milliseconds(self.refusal.max()),
            percent(self.could_have_run, self.refused),
            self.unknown,
            self.lost,
            self.wrong,
            self.overruns,
            peaks.join(", "),
        )
    }
}

/// Holds how many slots of a service were in use, and since when.
struct InUse(Vec<(u64, u32)>);

impl InUse {
    fn of(service: &str, events: &[LedgerEvent]) -> Self {
        let mut changes: Vec<_> = events
            .iter()
            .filter(|event| event.service == service)
            .filter_map(|event| match event.kind {
                LedgerEventKind::Start(_) => Some((event.at_us, true)),
                LedgerEventKind::End { .. } => Some((event.at_us, false)),
                _ => None,
            })
            .collect();
        changes.sort_unstable();
        let mut count = 0_u32;
        let counted = changes.into_iter().map(|(at_us, started)| {
            count = if started {
                count + 1
            } else {
                count.saturating_sub(1)
            };
            (at_us, count)
        });
        Self(counted.collect())
    }

    fn at(&self, at_us: u64) -> u32 {
        let after = self.0.partition_point(|(since, _)| *since <= at_us);
        after.checked_sub(1).map_or(0, |index| self.0[index].1)
    }

    fn peak(&self) -> u32 {
        self.0.iter().map(|(_, count)| *count).max().unwrap_or(0)
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of a run are small")]
fn per_second(count: usize, duration: Duration) -> f64 {
    count as f64 / duration.as_secs_f64()
}

#[expect(clippy::cast_precision_loss, reason = "counts of a run are small")]
fn percent(part: usize, whole: usize) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    100.0 * part as f64 / whole as f64
}

#[expect(clippy::cast_precision_loss, reason = "a minute has few microseconds")]
fn milliseconds(us: u64) -> f64 {
    us as f64 / 1_000.0
}
