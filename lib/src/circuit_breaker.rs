//! Whether a backend server that fails is used.

use std::time::Duration;
use std::time::Instant;

/// Failures in a row that open the circuit.
const FAILURES_TO_OPEN: u32 = 3;

/// Time for which the circuit stays open at first; it doubles with each failed probe.
const INITIAL_PAUSE: Duration = Duration::from_millis(500);

/// Longest time for which the circuit stays open.
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// Follows the failures of one backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CircuitBreaker {
    /// Requests flow.
    Closed {
        /// Failures since the last answer.
        failures: u32,
    },
    /// No request flows until the pause is over; then one does, as a probe.
    Open {
        /// End of the pause.
        until: Instant,
        /// Its length.
        pause: Duration,
        /// Whether the probe is under way.
        probing: bool,
    },
}

/// Tells which requests a circuit lets through.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Flow {
    /// All.
    All,
    /// One, that may run twice without harm. A probe that is an action could end as
    /// "unknown" for its caller.
    OneIdempotent,
    /// One of any kind: no idempotent one came for another pause's length.
    One,
    /// None.
    Nothing,
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        Self::Closed { failures: 0 }
    }
}

impl CircuitBreaker {
    /// Tells what may be sent now.
    #[must_use]
    pub fn flow(&self, now: Instant) -> Flow {
        match *self {
            Self::Closed { .. } => Flow::All,
            Self::Open { probing: true, .. } => Flow::Nothing,
            Self::Open { until, .. } if now < until => Flow::Nothing,
            Self::Open { until, pause, .. } if now < until + pause => Flow::OneIdempotent,
            Self::Open { .. } => Flow::One,
        }
    }

    /// Notes that a request is sent.
    pub fn note_sent(&mut self) {
        if let Self::Open { probing, .. } = self {
            *probing = true;
        }
    }

    /// Notes an answer.
    pub fn note_answer(&mut self) {
        *self = Self::default();
    }

    /// Notes that a request ended without telling anything about the server.
    pub fn note_inconclusive(&mut self) {
        if let Self::Open { probing, .. } = self {
            *probing = false;
        }
    }

    /// Notes a failure.
    pub fn note_failure(&mut self, now: Instant) {
        *self = match *self {
            Self::Closed { failures } if failures + 1 < FAILURES_TO_OPEN => Self::Closed {
                failures: failures + 1,
            },
            Self::Closed { .. } => Self::open(now, INITIAL_PAUSE),
            // Requests that were under way when the circuit opened also fail.
            Self::Open { probing: false, .. } => *self,
            Self::Open { pause, .. } => Self::open(now, (pause * 2).min(MAX_PAUSE)),
        };
    }

    fn open(now: Instant, pause: Duration) -> Self {
        Self::Open {
            until: now + pause,
            pause,
            probing: false,
        }
    }
}
