//! Stamps by which a leader tells how old the orders are that other replicas pass on to it.
//!
//! A replica that passes an order on adds the number of the leader's latest heartbeat round that it
//! knew when it took the order. The leader began that round earlier, so the order is no older than
//! the round, whatever the clock of the other replica shows and however long that was suspended.

use std::time::Duration;
use std::time::Instant;

use crate::id::Term;
use crate::raft::Raft;

/// Age of an order's heartbeat round, by the leader's clock, from which on the leader refuses the
/// order.
///
/// Operators move on to another replica after a second without an answer. A quarter of it is left
/// for the order's way to the replica that passes it on. Between regions, a round is about 0.2 s old
/// when an order with its number arrives: a heartbeat interval of 100 ms and one round trip.
pub const MAX_ORDER_AGE: Duration = Duration::from_millis(750);

/// Heartbeat round of a leader that was known where an order was taken.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OrderStamp {
    /// Term of the leader.
    pub term: Term,
    /// Number of the round within the term.
    pub round: u64,
}

impl OrderStamp {
    /// Reads the text that [`Self::to_text`] returns; `None` if it is another one.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        let (term, round) = text.split_once('.')?;
        Some(Self {
            term: Term(term.parse().ok()?),
            round: round.parse().ok()?,
        })
    }

    /// Returns the stamp as text.
    #[must_use]
    pub fn to_text(self) -> String {
        format!("{}.{}", self.term.0, self.round)
    }

    /// Returns whether an order with this stamp was surely taken less than [`MAX_ORDER_AGE`] before
    /// `now`. `leader` is the replica to which it was passed on.
    #[must_use]
    pub fn is_current(self, leader: &Raft, now: Instant) -> bool {
        let began_at = leader.round_began_at(self);
        began_at.is_some_and(|at| now.saturating_duration_since(at) < MAX_ORDER_AGE)
    }
}
