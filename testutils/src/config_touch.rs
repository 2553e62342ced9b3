//! Which VMs are in touch at a time, that is, which bounds on time hold for them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::config_record::Event;
use crate::config_record::Happening;
use crate::config_record::Record;
use crate::config_record::Vm;

/// Time without a fault after which a VM is in touch.
pub const STABILITY_US: u64 = 3_000_000;

/// Time after an impairment within which a process that ends doesn't count as running.
const EXCUSED_END_US: u64 = 1_000_000;

/// A span from its begin to its end, both included.
type Span = (u64, u64);

/// Holds when VMs were impaired.
#[derive(Debug, Default)]
pub struct Touch {
    /// Moments of faults at control replicas.
    core_events: Vec<u64>,
    /// Spans in which no more than half of the control replicas ran and were connected.
    core_lost: Vec<Span>,
    /// Spans in which a VM was impaired.
    impaired: BTreeMap<Vm, Vec<Span>>,
    /// When control replicas were started.
    starts: Vec<(usize, u64)>,
    /// Number of control replicas.
    controls: usize,
}

/// Holds what is wrong with one VM at present.
#[derive(Clone, Copy, Debug, Default)]
struct Condition {
    down: bool,
    frozen: bool,
    cut: bool,
    last_fault_us: Option<u64>,
}

impl Condition {
    const fn is_impaired(self) -> bool {
        self.down || self.frozen || self.cut
    }

    /// Applies an event; returns whether it counts.
    fn apply(&mut self, event: &Event) -> bool {
        match event.what {
            // A process that ended by itself counts as running all the while.
            Happening::StartedAgain if !self.down => return false,
            Happening::Started | Happening::StartedAgain => self.down = false,
            Happening::Killed => {
                self.down = true;
                self.frozen = false;
            }
            Happening::Stopped => self.down = true,
            Happening::Frozen => self.frozen = true,
            Happening::Thawed => self.frozen = false,
            Happening::Cut => self.cut = true,
            Happening::Mended => self.cut = false,
            Happening::FolderLost | Happening::PredecessorEnded => {}
            Happening::EndedByItself(_) => {
                let since = self.last_fault_us.map(|at| event.at_us.saturating_sub(at));
                if !self.is_impaired() && since.is_none_or(|since| since > EXCUSED_END_US) {
                    return false;
                }
                self.down = true;
            }
        }
        self.last_fault_us = Some(event.at_us);
        true
    }
}

impl Touch {
    /// Derives it from the events of a record.
    #[must_use]
    pub fn new(record: &Record) -> Self {
        let mut touch = Self {
            controls: record.controls,
            ..Self::default()
        };
        let mut conditions: BTreeMap<Vm, Condition> = BTreeMap::new();
        let mut lost_since = None;
        for event in &record.events {
            let condition = conditions.entry(event.vm).or_default();
            if !condition.apply(event) {
                continue;
            }
            let impaired = condition.is_impaired();
            // Nothing happened to the successor.
            if event.what != Happening::PredecessorEnded {
                touch.note(event.vm, event.at_us, impaired);
            }
            match event.vm {
                Vm::Entry(_) => {}
                Vm::Control(control) => {
                    if matches!(event.what, Happening::Started | Happening::StartedAgain) {
                        touch.starts.push((control, event.at_us));
                    }
                    touch.core_events.push(event.at_us);
                    let lost = is_lost(&conditions, record.controls);
                    match lost_since {
                        None if lost => lost_since = Some(event.at_us),
                        Some(since) if !lost => {
                            touch.core_lost.push((since, event.at_us));
                            lost_since = None;
                        }
                        _ => {}
                    }
                }
            }
        }
        if let Some(since) = lost_since {
            touch.core_lost.push((since, u64::MAX));
        }
        touch
    }

    fn note(&mut self, vm: Vm, at_us: u64, impaired: bool) {
        let spans = self.impaired.entry(vm).or_default();
        match spans.last_mut() {
            Some(last) if last.1 == u64::MAX => last.1 = at_us,
            _ => spans.push((at_us, at_us)),
        }
        if impaired && let Some(last) = spans.last_mut() {
            last.1 = u64::MAX;
        }
    }

    /// Returns whether nothing happened to control replicas in the window before `from_us` and
    /// until `to_us`, and more than half of them ran and were connected.
    #[must_use]
    pub fn is_core_stable(&self, from_us: u64, to_us: u64) -> bool {
        let from_us = from_us.saturating_sub(STABILITY_US);
        let events = &self.core_events;
        let next = events.partition_point(|at| *at < from_us);
        let calm = events.get(next).is_none_or(|at| *at > to_us);
        calm && self.has_majority(from_us, to_us)
    }

    /// Returns whether more than half of the control replicas ran and were connected all the while.
    #[must_use]
    pub fn has_majority(&self, from_us: u64, to_us: u64) -> bool {
        !overlaps(&self.core_lost, from_us, to_us)
    }

    /// Returns whether nothing happened to an entry VM in the window before `from_us` and until
    /// `to_us`.
    #[must_use]
    pub fn is_entry_calm(&self, entry: usize, from_us: u64, to_us: u64) -> bool {
        self.is_calm(Vm::Entry(entry), from_us, to_us)
    }

    /// Returns the control replicas to which nothing happened in the window before `from_us` and
    /// until `to_us`, and that weren't started since `catch_up_us` before `from_us`.
    #[must_use]
    pub fn calm_controls(&self, from_us: u64, to_us: u64, catch_up_us: u64) -> BTreeSet<usize> {
        let caught_up_us = from_us.saturating_sub(catch_up_us);
        let starts = self.starts.iter();
        let starts = starts.filter(|(_, at_us)| (caught_up_us..=to_us).contains(at_us));
        let started: BTreeSet<usize> = starts.map(|(control, _)| *control).collect();
        (0..self.controls)
            .filter(|control| !started.contains(control))
            .filter(|control| self.is_calm(Vm::Control(*control), from_us, to_us))
            .collect()
    }

    fn is_calm(&self, vm: Vm, from_us: u64, to_us: u64) -> bool {
        let spans = self.impaired.get(&vm).map_or(&[][..], Vec::as_slice);
        !overlaps(spans, from_us.saturating_sub(STABILITY_US), to_us)
    }
}

fn is_lost(conditions: &BTreeMap<Vm, Condition>, controls: usize) -> bool {
    let impaired = conditions
        .iter()
        .filter(|(vm, condition)| matches!(vm, Vm::Control(_)) && condition.is_impaired());
    (controls - impaired.count()) * 2 <= controls
}

fn overlaps(spans: &[Span], from_us: u64, to_us: u64) -> bool {
    spans
        .iter()
        .any(|(begin, end)| *begin <= to_us && from_us <= *end)
}
