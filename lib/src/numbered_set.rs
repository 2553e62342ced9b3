//! A set whose owner tells others what changed in it, rather than all of it each time.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::num::NonZeroU64;

use serde::Deserialize;
use serde::Serialize;

/// Changes that are kept. Whoever is further behind gets the whole set; a few seconds in which
/// a thousand members come or go are behind it by then.
const MAX_CHANGES: usize = 1_024;

/// Holds a set and its latest changes, which are numbered; 0 stands for knowing nothing.
#[derive(Clone, Debug)]
pub struct NumberedSet<T> {
    members: BTreeSet<T>,
    /// Number of the last change.
    number: u64,
    /// The latest changes, the last one at the end.
    changes: VecDeque<Change<T>>,
}

#[derive(Clone, Debug)]
enum Change<T> {
    Added(T),
    Removed(T),
}

/// Holds what changed in a set, or all of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SetUpdate<T> {
    /// Whether `added` is the whole set.
    pub whole: bool,
    /// Number of the last change that is in it.
    pub number: u64,
    /// Members that were added and are still there.
    pub added: Vec<T>,
    /// Members that were removed and aren't there.
    pub removed: Vec<T>,
}

impl<T: Clone + Ord> NumberedSet<T> {
    /// Starts empty at a number. Where an owner that starts again may be taken for its former
    /// self, it is drawn at random, so that no number of before means anything.
    #[must_use]
    pub fn starting_at(number: NonZeroU64) -> Self {
        Self {
            members: BTreeSet::new(),
            number: number.get(),
            changes: VecDeque::new(),
        }
    }

    /// Returns the members.
    #[must_use]
    pub const fn members(&self) -> &BTreeSet<T> {
        &self.members
    }

    /// Returns the number of the last change.
    #[must_use]
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// Adds a member; returns whether it is new.
    pub fn insert(&mut self, member: T) -> bool {
        let is_new = self.members.insert(member.clone());
        if is_new {
            self.record_change(Change::Added(member));
        }
        is_new
    }

    /// Removes a member; returns whether it was there.
    pub fn remove(&mut self, member: &T) -> bool {
        let was_there = self.members.remove(member);
        if was_there {
            self.record_change(Change::Removed(member.clone()));
        }
        was_there
    }

    /// Makes `members` the whole set; returns whether that changes anything.
    pub fn replace(&mut self, members: &BTreeSet<T>) -> bool {
        let before = self.number;
        let stale: Vec<T> = self.members.difference(members).cloned().collect();
        for member in &stale {
            self.remove(member);
        }
        for member in members {
            self.insert(member.clone());
        }
        self.number != before
    }

    /// Returns what changed since the change numbered `known`, or the whole set to whoever
    /// knows nothing (0) or is too far behind.
    #[must_use]
    pub fn update_from(&self, known: u64) -> SetUpdate<T> {
        let missed = self.number.checked_sub(known);
        let missed = missed.and_then(|missed| usize::try_from(missed).ok());
        match missed {
            Some(missed) if known > 0 && missed <= self.changes.len() => self.latest(missed),
            _ => SetUpdate {
                whole: true,
                number: self.number,
                added: self.members.iter().cloned().collect(),
                removed: Vec::new(),
            },
        }
    }

    fn latest(&self, count: usize) -> SetUpdate<T> {
        let changes = self.changes.iter().skip(self.changes.len() - count);
        let touched: BTreeSet<&T> = changes.map(Change::member).collect();
        let (added, removed): (Vec<&T>, Vec<&T>) = touched
            .into_iter()
            .partition(|member| self.members.contains(*member));
        SetUpdate {
            whole: false,
            number: self.number,
            added: added.into_iter().cloned().collect(),
            removed: removed.into_iter().cloned().collect(),
        }
    }

    fn record_change(&mut self, change: Change<T>) {
        self.number += 1;
        self.changes.push_back(change);
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }
}

impl<T> Change<T> {
    const fn member(&self) -> &T {
        match self {
            Self::Added(member) | Self::Removed(member) => member,
        }
    }
}

impl<T: Ord> SetUpdate<T> {
    /// Brings a copy of the set up to date.
    pub fn apply_to(self, members: &mut BTreeSet<T>) {
        if self.whole {
            members.clear();
        }
        for member in &self.removed {
            members.remove(member);
        }
        members.extend(self.added);
    }
}
