//! When a session may dispatch to a group that it owns.
//!
//! Two sessions with different views may both consider themselves the owner. The one with
//! the older view may dispatch until it learns of the change, so the new owner waits
//! until its revision is settled: from then on no session acts on an older view. Requests
//! of the old owner may still be running at that time, and those it started within the
//! last window count against the place's limit per second. Either the old owner has
//! reported them in a release, or it is gone and the new owner waits until all of them
//! must have ended.

use std::time::Duration;
use std::time::Instant;

use crate::admission_event::DEADLINE_GRACE;
use crate::id::Revision;
use crate::usage_window::COUNTED_FOR;

/// How this session became the owner of a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Acquisition {
    /// Revision of the view under which this session became the owner.
    pub revision: Revision,
    /// Latest revision whose owners this session knew. Only releases of later revisions
    /// cover the owners since then.
    pub seen_until: Revision,
    /// Whether it is certain that no session has dispatched to the group before.
    pub no_earlier_work: bool,
}

/// Progress of one session's ownership of a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnershipState {
    /// Another session may still dispatch.
    Unsettled {
        /// Revision under which this session became the owner.
        acquired: Revision,
        /// Whether it is known which requests the old owner left in flight.
        informed: bool,
    },
    /// No other session dispatches any more, but unknown requests may still be running.
    Clearing {
        /// Time at which all of them must have ended.
        until: Instant,
    },
    /// This session dispatches.
    Active {
        /// Time from which it may dispatch.
        since: Instant,
    },
}

impl OwnershipState {
    /// Creates the state at the beginning of an ownership.
    #[must_use]
    pub const fn begin(acquired: Acquisition) -> Self {
        Self::Unsettled {
            acquired: acquired.revision,
            informed: acquired.no_earlier_work,
        }
    }

    /// Records that `settled` is settled; `longest_deadline` is the longest deadline of
    /// any request that may have been dispatched before.
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

    /// Records that the old owner has reported the requests that it left in flight.
    pub fn note_release(&mut self, now: Instant) {
        match self {
            Self::Unsettled { informed, .. } => *informed = true,
            Self::Clearing { .. } => *self = Self::Active { since: now },
            Self::Active { .. } => {}
        }
    }

    /// Ends the clearing period if it is over at `now`.
    pub fn tick(&mut self, now: Instant) {
        if let Self::Clearing { until } = *self
            && now >= until
        {
            *self = Self::Active { since: until };
        }
    }

    /// Returns the time from which this session may dispatch, or `None` if it may not
    /// yet.
    #[must_use]
    pub fn active_since(&self, now: Instant) -> Option<Instant> {
        match *self {
            Self::Active { since } => Some(since),
            Self::Clearing { until } if now >= until => Some(until),
            _ => None,
        }
    }

    /// Returns the time until dispatching may begin, or `None` if it is not known.
    #[must_use]
    pub fn wait(&self, now: Instant) -> Option<Duration> {
        match *self {
            Self::Unsettled { .. } => None,
            Self::Clearing { until } => Some(until.saturating_duration_since(now)),
            Self::Active { .. } => Some(Duration::ZERO),
        }
    }

    /// Returns whether this session knows all requests in flight, its own and those of
    /// previous owners.
    #[must_use]
    pub fn knows_all_in_flight(&self, now: Instant) -> bool {
        match *self {
            Self::Unsettled { informed, .. } => informed,
            Self::Clearing { until } => now >= until,
            Self::Active { .. } => true,
        }
    }
}
