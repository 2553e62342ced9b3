//! Takes down what happens in a soak of the route manifest, by one clock.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Instant;

use crate::config_judge::Changes;
use crate::config_record::Change;
use crate::config_record::Event;
use crate::config_record::Happening;
use crate::config_record::OrderAnswer;
use crate::config_record::Record;
use crate::config_record::Routes;
use crate::config_record::Vm;

/// Route names that callers ask for: those that changes were about last.
const RECENT_ROUTES: usize = 8;

/// Holds the record of a soak in progress.
#[derive(Debug)]
pub struct Recorder {
    begun: Instant,
    record: Mutex<Record>,
    recent: Mutex<Vec<String>>,
    entry_runs: Vec<AtomicU32>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Recorder {
    /// Begins an empty record of control replicas in these regions, and of this many entry VMs.
    #[must_use]
    pub fn new(regions: Vec<String>, entries: usize) -> Self {
        let record = Record {
            controls: regions.len(),
            regions,
            ..Record::default()
        };
        Self {
            begun: Instant::now(),
            record: Mutex::new(record),
            recent: Mutex::default(),
            entry_runs: (0..entries).map(|_| AtomicU32::new(0)).collect(),
        }
    }

    /// Returns the time since the start of the soak.
    #[must_use]
    pub fn now_us(&self) -> u64 {
        u64::try_from(self.begun.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Changes the record.
    pub fn modify<T>(&self, change: impl FnOnce(&mut Record) -> T) -> T {
        change(&mut locked(&self.record))
    }

    /// Takes the record out; what is still noted later is lost.
    #[must_use]
    pub fn take(&self) -> Record {
        std::mem::take(&mut locked(&self.record))
    }

    /// Notes a change that is about to be sent, and the routes that it is about; returns its
    /// index.
    pub fn note_change(
        &self,
        version: u64,
        base: u64,
        routes: Arc<Routes>,
        about: &[String],
    ) -> usize {
        let mut recent = locked(&self.recent);
        recent.extend_from_slice(about);
        let surplus = recent.len().saturating_sub(RECENT_ROUTES);
        recent.drain(..surplus);
        drop(recent);
        let change = Change {
            version,
            base,
            routes,
            sent_us: self.now_us(),
        };
        self.modify(|record| {
            record.changes.push(change);
            record.changes.len() - 1
        })
    }

    /// Returns the routes that changes were about last, the newest one last.
    #[must_use]
    pub fn recent(&self) -> Vec<String> {
        locked(&self.recent).clone()
    }

    /// Notes what happens to a VM.
    pub fn note_event(&self, vm: Vm, what: Happening) {
        let starts = matches!(what, Happening::Started | Happening::StartedAgain);
        if let (Vm::Entry(entry), true) = (vm, starts) {
            self.entry_runs[entry].fetch_add(1, Ordering::SeqCst);
        }
        let at_us = self.now_us();
        self.modify(|record| record.events.push(Event { at_us, vm, what }));
    }

    /// Returns which run of an entry VM's process is the present one.
    #[must_use]
    pub fn entry_run(&self, entry: usize) -> u32 {
        self.entry_runs[entry].load(Ordering::SeqCst)
    }

    /// Returns a replica that has confirmed a change later than `after_us`.
    #[must_use]
    pub fn confirmed_after(&self, after_us: u64) -> Option<usize> {
        self.modify(|record| {
            let orders = record.orders.iter().rev();
            let mut later = orders.take_while(|order| order.answered_us > after_us);
            let confirming = later.find(|order| order.answer == OrderAnswer::Confirmed);
            confirming.map(|order| order.replica)
        })
    }

    /// Returns how many changes were confirmed.
    #[must_use]
    pub fn confirmed(&self) -> usize {
        self.modify(|record| Changes::new(record).confirmed())
    }
}
