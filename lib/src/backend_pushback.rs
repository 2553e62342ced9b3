//! Pushback of a backend server, as known to one sender.
//!
//! It applies to the sender that received it: the backend server may accept requests of others.

use std::time::Duration;
use std::time::Instant;

/// The pushback of one backend server.
#[derive(Debug, Default)]
pub(crate) struct BackendPushback {
    /// Until when no request may be sent.
    until: Option<Instant>,
}

impl BackendPushback {
    /// Records that an answer whose head arrived at `at` asked for `asked` without requests; returns
    /// whether such a time begins. It is never shortened.
    pub fn note(&mut self, now: Instant, at: Instant, asked: Duration) -> bool {
        let until = at + asked;
        let begins = until > now && self.left(now).is_none();
        self.until = self.until.max(Some(until));
        begins
    }

    /// Returns how much longer no request may be sent; `None` if requests may be sent.
    pub fn left(&self, now: Instant) -> Option<Duration> {
        let left = self.until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }
}
