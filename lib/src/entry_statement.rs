//! What an entry VM states of itself with each heartbeat.

use crate::headroom::Headroom;
use crate::presence_report::StatementStamp;

/// A statement about one property of an entry VM.
#[derive(Clone, Copy, Debug)]
pub struct Stated<T> {
    /// Identifies the statement.
    pub stamp: StatementStamp,
    /// What is stated.
    pub value: T,
}

/// What one heartbeat of an entry VM states.
#[derive(Clone, Copy, Debug)]
pub struct EntryStatement {
    /// Whether it accepts requests.
    pub ready: Stated<bool>,
    /// Its headroom, if it tells that.
    pub headroom: Option<Stated<Headroom>>,
}

/// Numbers the values that a property takes one after the other, from 1.
///
/// Heartbeats to different replicas may arrive in any order, seconds apart; the numbers tell which
/// value is the later one.
#[derive(Debug)]
pub struct ValueNumber<T> {
    last: Option<T>,
    number: u64,
}

impl<T> Default for ValueNumber<T> {
    fn default() -> Self {
        Self {
            last: None,
            number: 0,
        }
    }
}

impl<T: PartialEq> ValueNumber<T> {
    /// Returns the number of the present value.
    pub fn of(&mut self, value: T) -> u64 {
        if self.last.as_ref() != Some(&value) {
            self.last = Some(value);
            self.number += 1;
        }
        self.number
    }
}
