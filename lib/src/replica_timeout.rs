//! How long an entry VM waits for a control replica.

use std::time::Duration;

/// Time for which a replica may hold its answer back while there is nothing new. It is also
/// the time between two heartbeats of an entry VM when nothing happens.
pub const LONG_POLL_HOLD: Duration = Duration::from_millis(800);

/// Time after which a replica's answer is late, and others are asked beside: a way there and back
/// between regions, 110 ms, and a busy moment.
pub const HEDGE_AFTER: Duration = Duration::from_secs(1);

/// Time after which a replica counts as silent: [`LONG_POLL_HOLD`] and four ways there and back between
/// regions, 110 ms each.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_250);

/// Time for which the first answer of a replica is awaited: a connection and a question, each
/// a way there and back of 110 ms at most. A replica that is dark or cut off answers nothing,
/// and others are asked all the sooner.
const FIRST_ANSWER: Duration = Duration::from_millis(300);

/// Says how long to wait for the first answer of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaTimeout {
    /// It doubles while nobody answers: a link that is full delays every answer, and changing
    /// replicas helps nobody then.
    first: Duration,
}

impl Default for ReplicaTimeout {
    fn default() -> Self {
        Self {
            first: FIRST_ANSWER,
        }
    }
}

impl ReplicaTimeout {
    /// Returns for how long the first answer of a replica is awaited.
    #[must_use]
    pub const fn first(&self) -> Duration {
        self.first
    }

    /// Notes an answer that is of use.
    pub const fn note_answer(&mut self) {
        self.first = FIRST_ANSWER;
    }

    /// Notes that there was none in time.
    pub fn note_timeout(&mut self) {
        self.first = (self.first * 2).min(ANSWER_TIMEOUT);
    }
}
