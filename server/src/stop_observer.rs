//! State of a planned stop of the entry VM, as seen by requests in flight.

use std::time::Instant;

use heatherring_lib::planned_stop::PlannedStop;
use tokio::sync::watch;

/// Tells the phase of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopState {
    /// No stop was requested.
    Running,
    /// No further requests are accepted; those in flight are being finished.
    Stopping(PlannedStop),
    /// The process ends now and cuts off what is still in flight.
    Ended(PlannedStop),
}

/// Observes whether a stop of the entry VM was requested.
#[derive(Clone, Debug)]
pub struct StopObserver {
    state: watch::Receiver<StopState>,
}

impl StopObserver {
    /// Returns the sender for a stop's phase and an observer of it, in the phase `Running`.
    #[must_use]
    pub fn new() -> (watch::Sender<StopState>, Self) {
        let (tx, state) = watch::channel(StopState::Running);
        (tx, Self { state })
    }

    /// Returns the current phase.
    #[must_use]
    pub fn state(&self) -> StopState {
        *self.state.borrow()
    }

    /// Returns the planned stop, if one was requested.
    fn stop(&self) -> Option<PlannedStop> {
        match self.state() {
            StopState::Running => None,
            StopState::Stopping(stop) | StopState::Ended(stop) => Some(stop),
        }
    }

    /// Returns the time until which answers are forwarded, if a stop was requested.
    #[must_use]
    pub fn answers_until(&self) -> Option<Instant> {
        self.stop().map(|stop| stop.answers_until())
    }

    /// Returns whether a request that arrived at `arrived` is too late for a planned stop.
    #[must_use]
    pub fn is_too_late(&self, arrived: Instant) -> bool {
        self.stop().is_some_and(|stop| !stop.accepts(arrived))
    }

    /// Completes when the last answers must be finished; never if no stop is requested.
    pub async fn last_answers(&self) {
        let mut state = self.state.clone();
        // The sender is held for as long as the process runs.
        let _ = state.wait_for(|state| *state != StopState::Running).await;
        match self.answers_until() {
            Some(until) => tokio::time::sleep_until(until.into()).await,
            None => std::future::pending().await,
        }
    }
}
