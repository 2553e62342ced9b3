//! Judges of a recorded soak of the route manifest.
//!
//! A judge names a violation only if no order of events that fits the record allows what was seen:
//! a change without a clear answer may be in force or not, at any time from its first order.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;

use crate::config_record::Change;
use crate::config_record::Order;
use crate::config_record::OrderAnswer;
use crate::config_record::Read;
use crate::config_record::Record;
use crate::config_record::Request;
use crate::config_record::RequestAnswer;
use crate::config_touch::STABILITY_US;
use crate::config_touch::Touch;

/// Time after an effect within which an older version may still have one.
const REVERT_SLACK_US: u64 = 250_000;

/// The same for an entry VM that was impaired shortly before.
const IMPAIRED_REVERT_SLACK_US: u64 = 2_000_000;

/// Bounds within which a confirmed change has to be in force.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// While control is stable; holds for reads at any time.
    pub apply_us: u64,
    /// What is added while it isn't.
    pub stretch_us: u64,
    /// Within which a proper change has to be confirmed.
    pub ack_us: u64,
    /// From the start of a control replica until it doesn't count as lost.
    pub catch_up_us: u64,
}

/// Names what is violated.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Fault {
    /// An entry VM in touch handled a request as only an older version allows.
    InForceLate,
    /// A control replica answered a read with an older version.
    ReadOlder,
    /// A control replica answered a read with a content that wasn't confirmed under its number.
    ReadForeign,
    /// No control replica answered a read at the end.
    ReadNothing,
    /// A run of an entry VM handled a request by an older version after an effect of a newer one.
    WentBack,
    /// Two changes of the same version were confirmed.
    ConfirmedTwice,
    /// A request was handled as only a change that was refused allows.
    RefusedInForce,
    /// A request was handled as no change allows.
    NeverOrdered,
    /// A change was refused although it was confirmed, with no other one sent since.
    RefusedAfterConfirmation,
    /// A change of the newest version was refused although no other one was sent.
    RefusedWithoutRival,
    /// A change had no clear answer in time although control was stable.
    ConfirmedLate,
    /// The same while a region or one replica was lost and nothing happened to the others.
    ConfirmedLateBesideLoss,
}

/// Holds a violation with what proves it.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// What is violated.
    pub fault: Fault,
    /// When the operation that shows it was sent.
    pub sent_us: u64,
    /// What was expected.
    pub expected: String,
    /// The entries of the record that prove it, as JSON.
    pub proof: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} at {} us: {}",
            self.fault, self.sent_us, self.expected
        )?;
        self.proof
            .iter()
            .try_for_each(|line| write!(f, "\n    {line}"))
    }
}

fn violation(fault: Fault, sent_us: u64, expected: String, proof: Vec<String>) -> Violation {
    Violation {
        fault,
        sent_us,
        expected,
        proof,
    }
}

fn line(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

/// What the answers to orders say of the changes.
#[derive(Debug)]
pub struct Changes<'a> {
    record: &'a Record,
    /// When each was confirmed first.
    confirmed_us: Vec<Option<u64>>,
    /// Whether each was refused, and never confirmed.
    is_refused: Vec<bool>,
}

impl<'a> Changes<'a> {
    /// Derives it from the orders of a record.
    #[must_use]
    pub fn new(record: &'a Record) -> Self {
        let mut confirmed_us: Vec<Option<u64>> = vec![None; record.changes.len()];
        let mut is_refused = vec![false; record.changes.len()];
        for order in &record.orders {
            let confirmed = &mut confirmed_us[order.change];
            match order.answer {
                OrderAnswer::Confirmed => {
                    let earlier = confirmed.unwrap_or(u64::MAX);
                    *confirmed = Some(earlier.min(order.answered_us));
                }
                OrderAnswer::Conflict | OrderAnswer::Invalid => is_refused[order.change] = true,
                OrderAnswer::Unclear => {}
            }
        }
        for (refused, confirmed) in is_refused.iter_mut().zip(&confirmed_us) {
            *refused &= confirmed.is_none();
        }
        Self {
            record,
            confirmed_us,
            is_refused,
        }
    }

    /// Returns the number of changes that were confirmed.
    #[must_use]
    pub fn confirmed(&self) -> usize {
        self.confirmed_us.iter().flatten().count()
    }

    fn all(&self) -> impl Iterator<Item = (usize, &'a Change)> {
        self.record.changes.iter().enumerate()
    }

    /// Returns the newest change that was confirmed at least `age_us` before `at_us`.
    fn newest_confirmed(&self, at_us: u64, age_us: u64) -> Option<(usize, &'a Change)> {
        let confirmed = self.all().filter(|(index, _)| {
            self.confirmed_us[*index].is_some_and(|confirmed| confirmed + age_us < at_us)
        });
        confirmed.max_by_key(|(_, change)| change.version)
    }

    /// Returns the changes that may have been in force by `until_us`.
    fn possible(&self, until_us: u64) -> impl Iterator<Item = &'a Change> {
        let changes = self.all();
        let possible = changes
            .filter(move |(index, change)| !self.is_refused[*index] && change.sent_us <= until_us);
        possible.map(|(_, change)| change)
    }

    /// Returns the versions that may have been in force by the time of its answer and allow how a
    /// request was handled.
    fn allowing(&self, req: &Request) -> impl Iterator<Item = u64> {
        let possible = self.possible(req.answered_us);
        let allowing = possible.filter(move |change| allows(change, req));
        // Before the first version there are no routes.
        let empty = (req.answer == RequestAnswer::NoRoute).then_some(0);
        allowing.map(|change| change.version).chain(empty)
    }

    /// Returns the entries that say what became of a change.
    fn proof(&self, index: usize) -> Vec<String> {
        let change = &self.record.changes[index];
        let number = serde_json::json!({
            "change": index, "version": change.version, "base": change.base,
            "sent_us": change.sent_us, "confirmed_us": self.confirmed_us[index],
        });
        let orders = self.record.orders.iter();
        let orders = orders.filter(|order| order.change == index).map(line);
        std::iter::once(number.to_string()).chain(orders).collect()
    }
}

fn allows(change: &Change, req: &Request) -> bool {
    let spec = change.routes.get(&req.route);
    match &req.answer {
        RequestAnswer::Served(service) => spec.is_some_and(|spec| spec.service == *service),
        RequestAnswer::NoRoute => spec.is_none(),
        RequestAnswer::Refused(_) | RequestAnswer::Silent => true,
    }
}

/// Returns whether the answer to a request says by which versions it was handled.
const fn tells_version(req: &Request) -> bool {
    matches!(
        req.answer,
        RequestAnswer::Served(_) | RequestAnswer::NoRoute
    )
}

/// Runs all judges but [`judge_in_force`] and [`judge_confirmations`].
#[must_use]
pub fn judge_untimed(record: &Record, bounds: Bounds) -> Vec<Violation> {
    let mut found = judge_reads(record, bounds);
    found.extend(judge_end(record));
    found.extend(judge_going_back(record));
    found.extend(judge_orders(record));
    found.extend(judge_refused(record));
    found
}

/// Finds requests that entry VMs in touch handled as only an older version allows.
#[must_use]
pub fn judge_in_force(record: &Record, bounds: Bounds) -> Vec<Violation> {
    let changes = Changes::new(record);
    let touch = Touch::new(record);
    let mut found = Vec::new();
    for req in record.requests.iter().filter(|req| tells_version(req)) {
        let (from, to) = (req.sent_us, req.answered_us);
        // The last fault takes all control replicas, which doubles the window.
        let after_end = record.end_us.and_then(|end_us| from.checked_sub(end_us));
        if after_end.is_some_and(|after_us| after_us < 2 * STABILITY_US) {
            continue;
        }
        if !touch.is_entry_calm(req.entry, from, to) {
            continue;
        }
        let stable = touch.is_core_stable(from, to);
        let stretch_us = if stable { 0 } else { bounds.stretch_us };
        let bound_us = bounds.apply_us + stretch_us;
        let Some((index, newest)) = changes.newest_confirmed(from, bound_us) else {
            continue;
        };
        let confirmed_us = changes.confirmed_us[index].unwrap_or(from);
        if !stable && !touch.has_majority(confirmed_us, to) {
            continue;
        }
        let allowed = changes.allowing(req).max();
        if allowed.is_some_and(|allowed| allowed < newest.version) {
            let expected = format!(
                "version {} or newer, {} us after its confirmation (bound {bound_us} us)",
                newest.version,
                from.saturating_sub(confirmed_us)
            );
            let mut proof = changes.proof(index);
            proof.push(line(req));
            found.push(violation(Fault::InForceLate, from, expected, proof));
        }
    }
    found
}

/// Finds changes that had no clear answer in time although control could decide.
///
/// One that was refused was answered in time. Of the orders of a change, one that was late although
/// control was stable counts first.
#[must_use]
pub fn judge_confirmations(record: &Record, bounds: Bounds) -> Vec<Violation> {
    let touch = Touch::new(record);
    let mut found = Vec::new();
    let confirmed = |order: &&Order| order.answer == OrderAnswer::Confirmed;
    let confirmed = record.orders.iter().filter(confirmed);
    let Some(formed_us) = confirmed.map(|order| order.answered_us).min() else {
        return found;
    };
    let mut by_change: BTreeMap<usize, Vec<&Order>> = BTreeMap::new();
    for order in &record.orders {
        by_change.entry(order.change).or_default().push(order);
    }
    for (index, mut orders) in by_change {
        orders.sort_by_key(|order| order.sent_us);
        let clear = orders.iter().filter(|order| is_clear(order));
        let clear_us = clear.map(|order| order.answered_us).min();
        let late = orders.iter().filter(|order| {
            let due_us = order.sent_us + bounds.ack_us;
            order.sent_us >= formed_us && clear_us.is_none_or(|at| at > due_us)
        });
        let late = late.filter_map(|order| {
            let fault = judge_lateness(record, &touch, order, bounds)?;
            Some((fault, order))
        });
        let Some((fault, order)) = late.min_by_key(|(fault, _)| *fault) else {
            continue;
        };
        let version = record.changes[index].version;
        let expected = format!(
            "an answer to version {version} by control replica {} within {} us",
            order.replica, bounds.ack_us
        );
        let proof = orders.iter().map(line).collect();
        found.push(violation(fault, order.sent_us, expected, proof));
    }
    found
}

const fn is_clear(order: &Order) -> bool {
    !matches!(order.answer, OrderAnswer::Unclear)
}

/// Returns what an order violates that had no clear answer in time.
fn judge_lateness(record: &Record, touch: &Touch, order: &Order, bounds: Bounds) -> Option<Fault> {
    let (from_us, to_us) = (order.sent_us, order.sent_us + bounds.ack_us);
    let calm = touch.calm_controls(from_us, to_us, bounds.catch_up_us);
    let is_known = to_us <= record.end_us.unwrap_or(order.answered_us);
    if !is_known || !calm.contains(&order.replica) {
        return None;
    }
    if touch.is_core_stable(from_us, to_us) {
        return Some(Fault::ConfirmedLate);
    }
    let lost: Vec<usize> = (0..record.controls)
        .filter(|control| !calm.contains(control))
        .collect();
    let is_majority = calm.len() * 2 > record.controls;
    let regions: BTreeSet<_> = lost.iter().map(|lost| record.regions.get(*lost)).collect();
    let is_one_loss = lost.len() <= 1 || regions.len() == 1 && !regions.contains(&None);
    (is_majority && is_one_loss).then_some(Fault::ConfirmedLateBesideLoss)
}

/// Finds reads that were answered with an older version, or with another content.
#[must_use]
pub fn judge_reads(record: &Record, bounds: Bounds) -> Vec<Violation> {
    let changes = Changes::new(record);
    let mut found = Vec::new();
    for read in &record.reads {
        let Some(manifest) = &read.manifest else {
            continue;
        };
        let newest = changes.newest_confirmed(read.sent_us, bounds.apply_us);
        if let Some((index, newest)) = newest
            && manifest.version < newest.version
        {
            let expected = format!(
                "version {} or newer, not {}, from control replica {}",
                newest.version, manifest.version, read.replica
            );
            let mut proof = changes.proof(index);
            proof.push(shortened(read, manifest.version));
            found.push(violation(Fault::ReadOlder, read.sent_us, expected, proof));
        }
        let is_empty = manifest.version == 0 && manifest.routes.is_empty();
        let known = changes
            .possible(read.answered_us)
            .any(|change| change.version == manifest.version && change.routes == manifest.routes);
        if !known && !is_empty {
            let expected = format!(
                "the content of version {} as it was sent and not refused",
                manifest.version
            );
            let of_number = changes
                .all()
                .filter(|(_, of)| of.version == manifest.version);
            let mut proof: Vec<String> = of_number
                .flat_map(|(index, _)| changes.proof(index))
                .collect();
            proof.push(line(read));
            found.push(violation(Fault::ReadForeign, read.sent_us, expected, proof));
        }
    }
    found
}

fn shortened(read: &Read, version: u64) -> String {
    let shown = serde_json::json!({
        "read_at": read.replica, "version": version,
        "sent_us": read.sent_us, "answered_us": read.answered_us,
    });
    shown.to_string()
}

/// Finds that no control replica answered a read at the end.
#[must_use]
pub fn judge_end(record: &Record) -> Option<Violation> {
    let end_us = record.end_us?;
    let mut reads = record.reads.iter().filter(|read| read.sent_us >= end_us);
    let answered = reads.any(|read| read.manifest.is_some());
    (!answered).then(|| {
        let expected = "an answer to a read at the end".to_owned();
        violation(Fault::ReadNothing, end_us, expected, Vec::new())
    })
}

/// Finds requests that one run of an entry VM handled by an older version than one that had an
/// effect there before.
#[must_use]
pub fn judge_going_back(record: &Record) -> Vec<Violation> {
    let changes = Changes::new(record);
    let touch = Touch::new(record);
    let mut runs: BTreeMap<(usize, u32), Vec<&Request>> = BTreeMap::new();
    for req in record.requests.iter().filter(|req| tells_version(req)) {
        runs.entry((req.entry, req.run)).or_default().push(req);
    }
    let judged = runs.into_values();
    judged
        .flat_map(|run| judge_run(&changes, &touch, run))
        .collect()
}

/// An effect of a version, and the request that had it.
type Effect<'a> = (u64, &'a Request);

fn judge_run(changes: &Changes<'_>, touch: &Touch, mut run: Vec<&Request>) -> Vec<Violation> {
    // A backend server has seen an effect by the time of its answer.
    let mut effects: Vec<Effect<'_>> = run
        .iter()
        .filter(|req| matches!(req.answer, RequestAnswer::Served(_)))
        .filter_map(|req| Some((changes.allowing(req).min()?, *req)))
        .collect();
    effects.sort_by_key(|(_, req)| req.answered_us);
    run.sort_by_key(|req| req.sent_us);
    let mut effects = effects.into_iter().peekable();
    let mut newest: Option<Effect<'_>> = None;
    let mut found = Vec::new();
    for req in run {
        let seen = |(_, effect): &Effect<'_>| effect.answered_us + REVERT_SLACK_US < req.sent_us;
        while let Some(effect) = effects.next_if(seen) {
            if newest.is_none_or(|(version, _)| version < effect.0) {
                newest = Some(effect);
            }
        }
        let Some((version, effect)) = newest else {
            continue;
        };
        let Some(allowed) = changes.allowing(req).max() else {
            continue;
        };
        let calm = touch.is_entry_calm(req.entry, req.sent_us, req.answered_us);
        let slack_us = if calm {
            REVERT_SLACK_US
        } else {
            IMPAIRED_REVERT_SLACK_US
        };
        if allowed < version && effect.answered_us + slack_us < req.sent_us {
            let expected = format!(
                "version {version} or newer, seen in run {} of entry VM {}; handled by {allowed} at most",
                req.run, req.entry
            );
            let proof = vec![line(effect), line(req)];
            found.push(violation(Fault::WentBack, req.sent_us, expected, proof));
        }
    }
    found
}

/// Finds changes that were confirmed or refused although another answer forbids it.
#[must_use]
pub fn judge_orders(record: &Record) -> Vec<Violation> {
    let changes = Changes::new(record);
    let mut found = Vec::new();
    let mut by_base: BTreeMap<u64, usize> = BTreeMap::new();
    for (index, change) in changes.all() {
        if changes.confirmed_us[index].is_none() {
            continue;
        }
        let other = by_base.insert(change.base, index);
        if let Some(other) = other.filter(|other| !is_same(change, &record.changes[*other])) {
            let expected = format!("one confirmed change of version {}", change.base);
            let proof = [changes.proof(other), changes.proof(index)].concat();
            found.push(violation(
                Fault::ConfirmedTwice,
                change.sent_us,
                expected,
                proof,
            ));
        }
    }
    let refusals = record.orders.iter();
    let refusals = refusals.filter(|order| order.answer == OrderAnswer::Conflict);
    found.extend(refusals.filter_map(|order| judge_refusal(&changes, order)));
    found
}

/// Returns whether both are one change, which may be confirmed as often as it is sent.
fn is_same(one: &Change, other: &Change) -> bool {
    one.version == other.version && one.routes == other.routes
}

fn judge_refusal(changes: &Changes<'_>, order: &Order) -> Option<Violation> {
    let change = &changes.record.changes[order.change];
    let confirmed = changes.confirmed_us[order.change].is_some();
    // What excuses the refusal of a confirmed change is a later one, that of any other a rival.
    let excused = changes.all().any(|(index, other)| {
        let is_other = index != order.change
            && !changes.is_refused[index]
            && other.sent_us <= order.answered_us;
        let begins = if confirmed {
            change.version
        } else {
            change.base
        };
        is_other && other.version > change.base && other.base >= begins
    });
    (!excused).then(|| {
        let fault = if confirmed {
            Fault::RefusedAfterConfirmation
        } else {
            Fault::RefusedWithoutRival
        };
        let expected = format!("no refusal of version {}", change.version);
        let mut proof = changes.proof(order.change);
        proof.push(line(order));
        violation(fault, order.sent_us, expected, proof)
    })
}

/// Finds requests that were handled as no change allows that may be in force.
#[must_use]
pub fn judge_refused(record: &Record) -> Vec<Violation> {
    let changes = Changes::new(record);
    let served = |req: &&Request| matches!(req.answer, RequestAnswer::Served(_));
    let mut found = Vec::new();
    for req in record.requests.iter().filter(served) {
        if changes.allowing(req).next().is_some() {
            continue;
        }
        let refused = changes.all().find(|(_, change)| allows(change, req));
        let (fault, mut proof) = match refused {
            Some((index, _)) => (Fault::RefusedInForce, changes.proof(index)),
            None => (Fault::NeverOrdered, Vec::new()),
        };
        let expected = format!("a service that a version names for route {}", req.route);
        proof.push(line(req));
        found.push(violation(fault, req.sent_us, expected, proof));
    }
    found
}
