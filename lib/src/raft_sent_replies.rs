//! The answers that a follower sent lately, by which it dates what its leader says.
//!
//! A message may have waited for seconds before it is taken in. The leader names the last answer
//! that it has of the follower, so that its word is surely younger than that answer.

use std::collections::VecDeque;
use std::time::Instant;

/// Answers that are remembered: those of some heartbeats and of the appends between them.
const MAX_TRACKED_REPLIES: usize = 128;

/// Remembers when answers were sent.
#[derive(Debug)]
pub(crate) struct SentReplies {
    next: u64,
    sent: VecDeque<(u64, Instant)>,
}

impl SentReplies {
    /// Starts without any. Numbers begin at `first`, which is drawn, so that those of an earlier
    /// life of the process mean nothing.
    pub const fn new(first: u64) -> Self {
        Self {
            next: first,
            sent: VecDeque::new(),
        }
    }

    /// Returns the number of an answer that is sent now.
    pub fn number(&mut self, now: Instant) -> u64 {
        let number = self.next;
        self.next = self.next.wrapping_add(1);
        if self.sent.len() == MAX_TRACKED_REPLIES {
            self.sent.pop_front();
        }
        self.sent.push_back((number, now));
        number
    }

    /// Returns when an answer was sent; nothing if it isn't remembered.
    pub fn sent_at(&self, number: u64) -> Option<Instant> {
        let mut sent = self.sent.iter().rev();
        sent.find(|(of, _)| *of == number).map(|(_, at)| *at)
    }
}
