//! Send times of a follower's recent append replies, used to date the leader's messages.
//!
//! A message may be delayed by seconds before it is processed. The leader echoes the number of
//! the follower's last reply that it received, so its message was sent after that reply.

use std::collections::VecDeque;
use std::time::Instant;

/// Number of replies kept: those to several heartbeats and to the appends between them.
const MAX_TRACKED_REPLIES: usize = 128;

/// Records when the latest append replies were sent.
#[derive(Debug)]
pub(crate) struct SentReplies {
    next: u64,
    sent: VecDeque<(u64, Instant)>,
}

impl SentReplies {
    /// Creates an empty record. Numbering starts at `first`, chosen at random so that numbers
    /// from before a restart of the process do not match.
    pub const fn new(first: u64) -> Self {
        Self {
            next: first,
            sent: VecDeque::new(),
        }
    }

    /// Allocates the number of a reply that is sent now.
    pub fn number(&mut self, now: Instant) -> u64 {
        let number = self.next;
        self.next = self.next.wrapping_add(1);
        if self.sent.len() == MAX_TRACKED_REPLIES {
            self.sent.pop_front();
        }
        self.sent.push_back((number, now));
        number
    }

    /// Returns when a reply was sent; `None` if it is unknown or no longer kept.
    pub fn sent_at(&self, number: u64) -> Option<Instant> {
        let mut sent = self.sent.iter().rev();
        sent.find(|(of, _)| *of == number).map(|(_, at)| *at)
    }
}
