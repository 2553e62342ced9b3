//! Pushback of a backend server, as known to one sender.
//!
//! It applies to the sender that received it: the backend server may accept requests of others.
//! After the time that it asked for, it is sent one request, then one more at a time for each that
//! it runs: all senders that it refused together would fill it again otherwise.
//!
//! A backend server that refuses several requests in a row, without asking for a time and although
//! it has room, is avoided in the same way. It is the home of a part of the objects, and each of
//! their requests would use up a resend. Since it did not ask for it, requests that can go nowhere
//! else are still sent to it.

use std::time::Duration;
use std::time::Instant;

use crate::dispatch_request::SendOutcome;

/// Pause after a refusal that asks for none, if the refused request was a trial. It doubles with each
/// further one.
const TRIAL_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause after a refused trial.
const LONGEST_TRIAL_PAUSE: Duration = Duration::from_secs(2);

/// Refusals in a row after which a backend server is avoided. One that refuses half of its requests
/// still serves the other half, and is rarely seen to refuse this many in a row.
const REFUSALS_TO_AVOID: u32 = 10;

/// Identifies a pause, so that the end of a trial does not count for a later one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct PauseNumber(u32);

/// Which requests a backend server is sent.
#[derive(Clone, Copy, Debug, Default)]
enum Flow {
    /// All of them.
    #[default]
    All,
    /// None before `until`, then a trial.
    Paused { until: Instant },
    /// As many at a time as are permitted (half-open).
    Trial { permitted: u32, in_flight: u32 },
}

/// A pause that has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct EndedPause {
    /// Time from its begin until all requests are sent again.
    pub length: Duration,
    /// Number of requests that were not sent to the backend server because of it.
    pub passed_over: u32,
}

/// The pushback of one backend server.
#[derive(Debug, Default)]
pub(crate) struct BackendPushback {
    flow: Flow,
    number: PauseNumber,
    begun: Option<Instant>,
    passed_over: u32,
    /// Refusals without a time since the last answer.
    refusals: u32,
    /// Trials in a row that were refused.
    refused_trials: u32,
    /// Whether the backend server did not ask for the pause.
    is_unasked: bool,
}

impl BackendPushback {
    /// Records that no request may be sent before `until`; returns whether a pause begins. A pause
    /// is never shortened.
    pub fn pause(&mut self, now: Instant, until: Instant) -> bool {
        if until <= now {
            return false;
        }
        self.is_unasked = false;
        self.begin(now, until)
    }

    fn begin(&mut self, now: Instant, until: Instant) -> bool {
        if let Flow::Paused { until: known } = &mut self.flow {
            *known = until.max(*known);
            return false;
        }
        self.flow = Flow::Paused { until };
        self.number.0 = self.number.0.wrapping_add(1);
        if self.begun.is_some() {
            // A trial was refused: the pause goes on.
            return false;
        }
        self.begun = Some(now);
        true
    }

    /// Records a refusal that asks for no time, by a backend server that has room. Returns whether it
    /// is to be avoided from now on.
    pub fn note_refusal(&mut self, now: Instant) -> bool {
        self.refusals = self.refusals.saturating_add(1);
        if !matches!(self.flow, Flow::All) || self.refusals < REFUSALS_TO_AVOID {
            return false;
        }
        self.is_unasked = true;
        self.begin(now, now + TRIAL_PAUSE)
    }

    /// Records that the backend server ran a request.
    pub const fn note_run(&mut self) {
        self.refusals = 0;
        self.refused_trials = 0;
    }

    /// Returns whether a request may be sent.
    pub fn admits(&self, now: Instant) -> bool {
        self.is_unasked || self.is_usual(now)
    }

    /// Returns whether requests are better sent elsewhere, although this one may be sent.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.is_unasked && !self.is_usual(now)
    }

    fn is_usual(&self, now: Instant) -> bool {
        match self.flow {
            Flow::All => true,
            Flow::Paused { until } => now >= until,
            Flow::Trial {
                permitted,
                in_flight,
            } => in_flight < permitted,
        }
    }

    /// Returns until when no request may be sent; `None` outside of a pause.
    pub fn until(&self) -> Option<Instant> {
        match self.flow {
            Flow::Paused { until } if !self.is_unasked => Some(until),
            Flow::All | Flow::Paused { .. } | Flow::Trial { .. } => None,
        }
    }

    /// Records that a request was not sent because of the pause.
    pub const fn note_passed_over(&mut self) {
        self.passed_over = self.passed_over.saturating_add(1);
    }

    /// Records that a request is sent. Returns the number of the pause if the request is a trial.
    pub const fn note_sent(&mut self) -> Option<PauseNumber> {
        match &mut self.flow {
            Flow::All => return None,
            Flow::Paused { .. } => {
                self.flow = Flow::Trial {
                    permitted: 1,
                    in_flight: 1,
                };
            }
            Flow::Trial { in_flight, .. } => *in_flight = in_flight.saturating_add(1),
        }
        Some(self.number)
    }

    /// Records how a trial ended at a backend server with `slots`. Returns the pause if it has ended.
    pub fn note_trial_ended(
        &mut self,
        now: Instant,
        number: PauseNumber,
        outcome: SendOutcome,
        slots: u32,
    ) -> Option<EndedPause> {
        let Flow::Trial {
            permitted,
            in_flight,
        } = &mut self.flow
        else {
            return None;
        };
        if number != self.number {
            return None;
        }
        *in_flight = in_flight.saturating_sub(1);
        match outcome {
            SendOutcome::Answered | SendOutcome::Faulty => *permitted += 1,
            SendOutcome::Shed => {
                let pause = TRIAL_PAUSE * 2_u32.saturating_pow(self.refused_trials);
                self.refused_trials = self.refused_trials.saturating_add(1);
                self.begin(now, now + pause.min(LONGEST_TRIAL_PAUSE));
                return None;
            }
            SendOutcome::Misdirected
            | SendOutcome::Unreachable
            | SendOutcome::Withdrawn
            | SendOutcome::Broken
            | SendOutcome::Abandoned => {}
        }
        if *permitted <= slots {
            return None;
        }
        self.flow = Flow::All;
        self.is_unasked = false;
        let begun = self.begun.take()?;
        Some(EndedPause {
            length: now.saturating_duration_since(begun),
            passed_over: std::mem::take(&mut self.passed_over),
        })
    }
}
