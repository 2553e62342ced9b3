//! Task of a control replica that logs changes in the quarantine of requests, and releases
//! suspects that have not been reported for long.

use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::clock::Clock;
use heatherring_lib::fleet_command::FleetCommand;
use heatherring_lib::quarantine::Quarantine;
use heatherring_lib::quarantine::SuspectRecord;
use heatherring_lib::quarantine::Verdict;
use heatherring_lib::quarantine_times::QuarantineTimes;
use heatherring_lib::request_fingerprint::Fingerprint;

use crate::metric;
use crate::node_request::NodeHandle;
use crate::published_state::StateReader;

/// Time between two checks for suspects that are due for release.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Tracks the suspected requests that one replica has applied.
#[derive(Debug)]
pub struct QuarantineMonitor {
    clock: Arc<dyn Clock>,
    published: StateReader,
    node: NodeHandle,
    known: Arc<Quarantine>,
    times: QuarantineTimes,
}

impl QuarantineMonitor {
    /// Creates the task; `published` is what the replica has applied.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, published: StateReader, node: NodeHandle) -> Self {
        Self {
            clock,
            published,
            node,
            known: Arc::default(),
            times: QuarantineTimes::default(),
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut check = tokio::time::interval(CHECK_INTERVAL);
        check.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = self.published.changed() => self.follow(),
                _ = check.tick() => self.release().await,
            }
        }
    }

    fn follow(&mut self) {
        let published = self.published.read();
        let quarantine = Arc::clone(published.fleet.quarantine());
        if Arc::ptr_eq(&quarantine, &self.known) {
            return;
        }
        if published.leads {
            log_changes(&self.known, &quarantine);
        }
        metric::suspects(quarantine.suspects().count(), quarantined(&quarantine));
        self.times.follow(self.clock.now(), &quarantine);
        self.known = quarantine;
    }

    async fn release(&self) {
        let due_for_release = self.times.due_for_release(self.clock.now());
        if due_for_release.is_empty() || !self.published.read().leads {
            return;
        }
        let command = FleetCommand::ReleaseSuspects(due_for_release);
        if let Err(error) = self.node.propose_fleet(command).await {
            log::debug!(event = "release_open", error:% = error; "could not release suspected requests; retrying at the next check");
        }
    }
}

/// Returns the number of request contents quarantined for some or all callers.
fn quarantined(quarantine: &Quarantine) -> usize {
    let verdicts = quarantine.verdicts().into_values();
    verdicts.filter(Verdict::is_quarantine).count()
}

/// Logs each request whose treatment has changed.
fn log_changes(before: &Quarantine, after: &Quarantine) {
    for (request, noted) in after.suspects() {
        let (verdict, earlier) = (noted.suspect.verdict(), before.verdict(request));
        if verdict != earlier {
            log_verdict(request, noted, earlier.as_ref());
        }
    }
    for (request, noted) in before.suspects() {
        let earlier = noted.suspect.verdict();
        if after.suspect(request).is_none() && earlier.is_some() {
            log::info!(event = "request_cleared", fingerprint:% = request, was = name(earlier.as_ref()); "a request is no longer suspected");
        }
    }
}

fn log_verdict(request: &Fingerprint, noted: &SuspectRecord, earlier: Option<&Verdict>) {
    let ended = noted.suspect.ended().into_iter();
    let ended: Vec<&str> = ended.map(|life| life.backend.as_str()).collect();
    let ended = ended.join(", ");
    let verdict = noted.suspect.verdict();
    let (verdict, was) = (name(verdict.as_ref()), name(earlier));
    log::warn!(event = "request_verdict", fingerprint:% = request, verdict, was, ended = ended.as_str(), noted = noted.at.0; "backend servers ended while running a request");
}

fn name(verdict: Option<&Verdict>) -> &'static str {
    verdict.map_or("none", Verdict::name)
}
