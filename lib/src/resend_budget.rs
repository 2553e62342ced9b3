//! How often requests of one service may be sent to a second backend server.
//!
//! The bound holds for all entry VMs together and over any window: a share of the requests
//! and a fixed number besides. Each entry VM takes its share of both, so that they keep to
//! the sum without telling each other.

/// Part of the bound that is used. Requests are counted where callers sent them, some of
/// which never arrive here, and entry VMs that restart begin a new share.
const USED_PART: f64 = 0.7;

/// Bounds the requests that are sent again.
#[derive(Clone, Copy, Debug)]
pub struct ResendBudget {
    tokens: f64,
    capacity: f64,
    ratio: f64,
}

impl ResendBudget {
    /// Allows `ratio` of the requests, and a share of `slack` besides when `senders`
    /// share it. What is saved up never exceeds that share: a window that begins with it
    /// full and uses all that is earned meanwhile stays within the bound.
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

    /// Shares the slack among another number of senders.
    pub fn share(&mut self, slack: f64, senders: usize) {
        #[expect(clippy::cast_precision_loss)]
        let senders = senders.max(1) as f64;
        self.capacity = slack * USED_PART / senders;
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Notes a request that is sent for the first time.
    pub fn note_request(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.capacity);
    }

    /// Takes one resend out of the budget, if there is one.
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
