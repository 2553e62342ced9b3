//! From when on a session may dispatch to a group that it owns.
//!
//! Two sessions may hold different views and each believe that it is the owner. The
//! one with the older view may dispatch until it learns better, so the other one waits
//! until its revision is settled: then nobody acts on an older view. What the old owner
//! had in flight may still run then, and what it began within the last window counts
//! against the place's limit a second. Either the old owner has told what that is, by a
//! release, or it is gone and the new owner waits until all of it is over.

use std::time::Duration;
use std::time::Instant;

use crate::admission_event::DEADLINE_GRACE;
use crate::id::Revision;
use crate::usage_window::COUNTED_FOR;

/// Tells how this session became the owner of a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Acquisition {
    /// The revision of the view under which it found itself the owner.
    pub revision: Revision,
    /// The revision up to which it had seen the owners before. Only releases of later
    /// revisions tell about those who owned the group since.
    pub seen_until: Revision,
    /// Whether it is sure that nobody dispatched anything before.
    pub no_earlier_work: bool,
}

/// Follows one session's ownership of one group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnershipState {
    /// Another session may still dispatch.
    Unsettled {
        /// The revision under which this session became the owner.
        acquired: Revision,
        /// Whether it is known what the old owner had left in flight.
        informed: bool,
    },
    /// Nobody else dispatches any more, but unknown work may still run.
    Clearing {
        /// Time at which it is over.
        until: Instant,
    },
    /// This session dispatches.
    Active {
        /// Since when.
        since: Instant,
    },
}

impl OwnershipState {
    /// Begins an ownership.
    #[must_use]
    pub const fn begin(acquired: Acquisition) -> Self {
        Self::Unsettled {
            acquired: acquired.revision,
            informed: acquired.no_earlier_work,
        }
    }

    /// Notes that `settled` is settled; `longest_deadline` is the longest deadline of any
    /// request that may have been dispatched before.
    pub fn settle(&mut self, now: Instant, settled: Revision, longest_deadline: Duration) {
        let Self::Unsettled { acquired, informed } = *self else {
            return;
        };
        if settled < acquired {
            return;
        }
        *self = if informed {
            Self::Active { since: now }
        } else {
            Self::Clearing {
                until: now + (longest_deadline + DEADLINE_GRACE).max(COUNTED_FOR),
            }
        };
    }

    /// Notes that the old owner has told what it had left in flight.
    pub fn note_release(&mut self, now: Instant) {
        match self {
            Self::Unsettled { informed, .. } => *informed = true,
            Self::Clearing { .. } => *self = Self::Active { since: now },
            Self::Active { .. } => {}
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant) {
        if let Self::Clearing { until } = *self
            && now >= until
        {
            *self = Self::Active { since: until };
        }
    }

    /// Tells since when this session may dispatch, if it may.
    #[must_use]
    pub fn active_since(&self, now: Instant) -> Option<Instant> {
        match *self {
            Self::Active { since } => Some(since),
            Self::Clearing { until } if now >= until => Some(until),
            _ => None,
        }
    }

    /// Returns the time until dispatching may begin, as far as it is known.
    #[must_use]
    pub fn wait(&self, now: Instant) -> Option<Duration> {
        match *self {
            Self::Unsettled { .. } => None,
            Self::Clearing { until } => Some(until.saturating_duration_since(now)),
            Self::Active { .. } => Some(Duration::ZERO),
        }
    }

    /// Tells whether this session can say what is in flight, its own and its
    /// predecessors' work.
    #[must_use]
    pub fn knows_all_in_flight(&self, now: Instant) -> bool {
        match *self {
            Self::Unsettled { informed, .. } => informed,
            Self::Clearing { until } => now >= until,
            Self::Active { .. } => true,
        }
    }
}
