//! Time-outs of an entry VM's requests to control replicas.

use std::time::Duration;

/// Time for which a replica may hold its answer to a long poll while there are no changes. It is
/// also the interval between two heartbeats of an entry VM when nothing happens.
pub const LONG_POLL_HOLD: Duration = Duration::from_millis(800);

/// Time after which an answer is late and other replicas are probed in parallel:
/// [`LONG_POLL_HOLD`], a round trip between regions of 110 ms, and some delay under load.
pub const HEDGE_AFTER: Duration = Duration::from_secs(1);

/// Time after which a replica counts as unresponsive: [`LONG_POLL_HOLD`] and four round trips
/// between regions of 110 ms each.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_250);

/// Time-out of the first answer of a replica: a connection and a request, each a round trip of at
/// most 110 ms. An unreachable or partitioned replica does not answer, and a short time-out means
/// that others are tried sooner.
const FIRST_ANSWER: Duration = Duration::from_millis(300);

/// Adaptive time-out of the first answer of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaTimeout {
    /// Doubles while no replica answers: a saturated link delays every answer, and switching
    /// replicas does not help then.
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
    /// Returns the time-out of the first answer.
    #[must_use]
    pub const fn first(&self) -> Duration {
        self.first
    }

    /// Records a usable answer, which resets the time-out.
    pub const fn note_answer(&mut self) {
        self.first = FIRST_ANSWER;
    }

    /// Records that no replica answered in time, which doubles the time-out up to
    /// [`ANSWER_TIMEOUT`].
    pub fn note_timeout(&mut self) {
        self.first = (self.first * 2).min(ANSWER_TIMEOUT);
    }
}
