//! How long an entry VM waits for a control replica.

use std::time::Duration;

/// Time for which a replica may hold its answer back while there is nothing new. It is also
/// the time between two heartbeats of an entry VM when nothing happens.
const HOLD: Duration = Duration::from_millis(800);

/// Time beyond [`HOLD`] after which a replica counts as silent: four ways there and back
/// between regions, 110 ms each. A manifest must be in force 2.5 s after its
/// acknowledgement, and a silent replica may be found out right after it.
const ANSWER_MARGIN: Duration = Duration::from_millis(450);

/// Time for which the first answer of a replica is awaited: a connection and a question, each
/// a way there and back of 110 ms at most. A replica that is dark or cut off answers nothing,
/// and the next one is asked all the sooner: after a loss of all power entry VMs had a view
/// 0.45 to 0.6 s after there was a leader, with a second for each such replica.
const FIRST_ANSWER: Duration = Duration::from_millis(300);

/// Says how long to wait for the next answer.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaPatience {
    /// Time for the first answer of the next replica. It doubles while nobody answers: a link
    /// that is full delays every answer, and changing replicas helps nobody then.
    first: Duration,
    /// Whether the replica that is asked has answered before.
    has_answered: bool,
}

impl Default for ReplicaPatience {
    fn default() -> Self {
        Self {
            first: FIRST_ANSWER,
            has_answered: false,
        }
    }
}

impl ReplicaPatience {
    /// Turns to another replica.
    pub const fn turn(&mut self) {
        self.has_answered = false;
    }

    /// Returns for how long the replica may hold its answer back. Its first one is wanted at
    /// once: it shows whether the replica is of use.
    #[must_use]
    pub const fn hold(&self) -> Duration {
        if self.has_answered {
            HOLD
        } else {
            Duration::ZERO
        }
    }

    /// Returns for how long its answer is awaited.
    #[must_use]
    pub fn answer_within(&self) -> Duration {
        if self.has_answered {
            HOLD + ANSWER_MARGIN
        } else {
            self.first
        }
    }

    /// Notes an answer that is of use.
    pub const fn note_answer(&mut self) {
        self.first = FIRST_ANSWER;
        self.has_answered = true;
    }

    /// Notes that there was none in time.
    pub fn note_silence(&mut self) {
        if !self.has_answered {
            self.first = (self.first * 2).min(HOLD + ANSWER_MARGIN);
        }
    }
}
