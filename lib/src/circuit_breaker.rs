//! Circuit breaker for a failing backend server.

use std::time::Duration;
use std::time::Instant;

/// Consecutive failures that open the circuit.
const FAILURES_TO_OPEN: u32 = 3;

/// Initial time for which the circuit stays open; it doubles with each failed probe.
const INITIAL_PAUSE: Duration = Duration::from_millis(500);

/// Maximum time for which the circuit stays open.
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// State of the circuit breaker of one backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CircuitBreaker {
    /// Requests pass.
    Closed {
        /// Consecutive failures since the last answer.
        failures: u32,
    },
    /// No request passes until the pause is over; then a single probe does.
    Open {
        /// End of the pause; a probe may pass from then on.
        until: Instant,
        /// Length of the pause.
        pause: Duration,
        /// Whether a probe is in flight.
        probing: bool,
    },
}

/// Describes which requests a circuit breaker lets through.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Flow {
    /// All requests.
    All,
    /// A single idempotent request. A probe that is not idempotent could end as "unknown"
    /// for its caller.
    OneIdempotent,
    /// A single request of any kind, because no idempotent request arrived within another
    /// pause's length.
    One,
    /// No request.
    Nothing,
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        Self::Closed { failures: 0 }
    }
}

impl CircuitBreaker {
    /// Returns which requests may be sent now.
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

    /// Records that a request was sent.
    pub fn note_sent(&mut self) {
        if let Self::Open { probing, .. } = self {
            *probing = true;
        }
    }

    /// Records an answer and closes the circuit.
    pub fn note_answer(&mut self) {
        *self = Self::default();
    }

    /// Records that a request ended without evidence about the backend server's health.
    pub fn note_inconclusive(&mut self) {
        if let Self::Open { probing, .. } = self {
            *probing = false;
        }
    }

    /// Records a failure and opens the circuit if there were enough.
    pub fn note_failure(&mut self, now: Instant) {
        *self = match *self {
            Self::Closed { failures } if failures + 1 < FAILURES_TO_OPEN => Self::Closed {
                failures: failures + 1,
            },
            Self::Closed { .. } => Self::open(now, INITIAL_PAUSE),
            // Requests already in flight when the circuit opened fail too; they do not
            // extend the pause.
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
