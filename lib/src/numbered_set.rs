//! Set whose owner sends numbered changes instead of the whole set each time.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::num::NonZeroU64;

use serde::Deserialize;
use serde::Serialize;

/// Number of changes that are kept. A receiver that is further behind is sent the whole set. 1024
/// changes cover a few seconds in which a thousand members are added or removed.
const MAX_CHANGES: usize = 1_024;

/// A set and its latest numbered changes. Number 0 denotes a receiver that knows nothing.
#[derive(Clone, Debug)]
pub struct NumberedSet<T> {
    members: BTreeSet<T>,
    /// Number of the last change.
    number: u64,
    /// Latest changes, oldest first.
    changes: VecDeque<Change<T>>,
}

#[derive(Clone, Debug)]
enum Change<T> {
    Added(T),
    Removed(T),
}

/// Changes of a set since a given number, or the whole set.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SetUpdate<T> {
    /// Whether `added` is the whole set.
    pub whole: bool,
    /// Number of the last change included.
    pub number: u64,
    /// Members that were added and are still present.
    pub added: Vec<T>,
    /// Members that were removed and are still absent.
    pub removed: Vec<T>,
}

impl<T: Clone + Ord> NumberedSet<T> {
    /// Creates an empty set whose last change has `number`. If receivers may mistake a restarted
    /// owner for its former incarnation, draw `number` at random, so that numbers known from before
    /// the restart do not match.
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

    /// Adds a member. Returns whether it was absent.
    pub fn insert(&mut self, member: T) -> bool {
        let is_new = self.members.insert(member.clone());
        if is_new {
            self.record_change(Change::Added(member));
        }
        is_new
    }

    /// Removes a member. Returns whether it was present.
    pub fn remove(&mut self, member: &T) -> bool {
        let was_there = self.members.remove(member);
        if was_there {
            self.record_change(Change::Removed(member.clone()));
        }
        was_there
    }

    /// Replaces the whole set by `members`. Returns whether that changed anything.
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

    /// Returns the changes since the change numbered `known`, or the whole set if `known` is 0, too
    /// old or unknown.
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
    /// Applies the update to a copy of the set.
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
