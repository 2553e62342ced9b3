//! Whether the entry VM stops, as what is under way asks it.

use std::time::Instant;

use heatherring_lib::planned_stop::PlannedStop;
use tokio::sync::watch;

/// Says how far a planned stop has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopState {
    /// None was asked for.
    Running,
    /// What was taken is being finished.
    Stopping(PlannedStop),
    /// The process ends now. What is still under way is cut off.
    Ended(PlannedStop),
}

/// Follows whether the entry VM was asked to stop.
#[derive(Clone, Debug)]
pub struct StopObserver {
    state: watch::Receiver<StopState>,
}

impl StopObserver {
    /// Returns a watch of a process that runs, and where its stop is told.
    #[must_use]
    pub fn new() -> (watch::Sender<StopState>, Self) {
        let (tx, state) = watch::channel(StopState::Running);
        (tx, Self { state })
    }

    /// Returns how far a stop has come.
    #[must_use]
    pub fn state(&self) -> StopState {
        *self.state.borrow()
    }

    /// Returns the stop, if one was asked for.
    fn stop(&self) -> Option<PlannedStop> {
        match self.state() {
            StopState::Running => None,
            StopState::Stopping(stop) | StopState::Ended(stop) => Some(stop),
        }
    }

    /// Returns until when answers are passed on, if a stop was asked for.
    #[must_use]
    pub fn answers_until(&self) -> Option<Instant> {
        self.stop().map(|stop| stop.answers_until())
    }

    /// Returns whether a request that came at `arrived` came after those that a stop still takes.
    #[must_use]
    pub fn is_too_late(&self, arrived: Instant) -> bool {
        self.stop().is_some_and(|stop| !stop.accepts(arrived))
    }

    /// Ends when the last answers must be there; never if no stop is asked for.
    pub async fn last_answers(&self) {
        let mut state = self.state.clone();
        // Whoever tells of stops lives as long as the process.
        let _ = state.wait_for(|state| *state != StopState::Running).await;
        match self.answers_until() {
            Some(until) => tokio::time::sleep_until(until.into()).await,
            None => std::future::pending().await,
        }
    }
}
