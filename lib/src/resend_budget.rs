//! Limits how often requests of one service are sent to a second backend server.
//!
//! The limit holds for all entry VMs together and over any window: a share of the requests plus
//! a fixed number. Each entry VM uses its part of both, so that the total stays within the
//! limit without any coordination.

/// Part of the limit that is used. Requests are counted where callers send them, and some never
/// arrive here; entry VMs that restart begin with a full budget again.
const USED_PART: f64 = 0.7;

/// Token bucket for resends.
#[derive(Clone, Copy, Debug)]
pub struct ResendBudget {
    tokens: f64,
    capacity: f64,
    ratio: f64,
}

impl ResendBudget {
    /// Allows resends for the share `ratio` of the requests, plus a part of `slack`, which is
    /// split among `senders`. The number of tokens never exceeds that part. A window that
    /// begins with a full bucket and uses all tokens earned meanwhile stays within the limit.
    #[must_use]
    pub fn new(ratio: f64, slack: f64, senders: usize) -> Self {
        let mut budget = Self {
            tokens: 0.0,
            capacity: 0.0,
            ratio: ratio * USED_PART,
        };
        budget.share(slack, senders);
        budget.tokens = budget.capacity;
        budget
    }

    /// Splits the slack among a new number of senders.
    pub fn share(&mut self, slack: f64, senders: usize) {
        #[expect(clippy::cast_precision_loss)]
        let senders = senders.max(1) as f64;
        self.capacity = slack * USED_PART / senders;
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Records a request that is sent for the first time, which earns a part of a token.
    pub fn note_request(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.capacity);
    }

    /// Takes a token for one resend; returns whether there was one.
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
