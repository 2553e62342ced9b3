//! Metrics of an entry VM. docs/metrics.md lists them with their units and meaning.

use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use cadence::StatsdClient;
use cadence::prelude::*;
use heatherring_lib::load_digest::GroupLoad;

use crate::entry_context::EntryContext;
use crate::entry_status;
use crate::entry_status::EntryStatus;
use crate::refusal::Refused;

/// Interval at which gauges are sent.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Distinguishes look-ups from requests to services.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// A look-up of the entry VM to use.
    LookUp,
    /// A request to a service.
    Request,
}

impl CallKind {
    const fn name(self) -> &'static str {
        match self {
            Self::LookUp => "look_ups",
            Self::Request => "requests",
        }
    }
}

/// Counts and times the answer to a caller.
pub fn record_call(
    metrics: &StatsdClient,
    kind: CallKind,
    refused: Option<&Refused>,
    elapsed: Duration,
) {
    let name = kind.name();
    let Some(refused) = refused else {
        count(metrics, &format!("{name}.answered"));
        time(metrics, &format!("{name}.answer_time"), elapsed);
        return;
    };
    let outcome = refused.outcome();
    let reason = refused.reason();
    count(metrics, &format!("{name}.{outcome}.{reason}"));
    time(metrics, &format!("{name}.refusal_time"), elapsed);
}

/// Counts a decision that was dropped and will be missing from `explain`.
pub fn decision_dropped(metrics: &StatsdClient) {
    count(metrics, "decisions.dropped");
}

/// Spawns a task that sends gauges until the entry VM's process ends.
pub fn spawn_gauges(cx: &Arc<EntryContext>) {
    let cx = Arc::downgrade(cx);
    tokio::spawn(send_gauges(cx));
}

/// Holds only a weak reference to the context between rounds, so as not to keep it alive.
async fn send_gauges(cx: Weak<EntryContext>) {
    loop {
        tokio::time::sleep(GAUGE_INTERVAL).await;
        let Some(cx) = cx.upgrade() else {
            return;
        };
        let status = entry_status::collect(&cx).await;
        gauges(&cx.metrics, &status);
    }
}

/// Sends the gauges derived from a status.
pub fn gauges(metrics: &StatsdClient, status: &EntryStatus) {
    let held_back = status
        .drains
        .iter()
        .filter(|drain| drain.held_back.is_some())
        .count();
    gauge(metrics, "lease.left", status.lease_left_ms);
    gauge(metrics, "view.revision", status.revision);
    gauge(metrics, "view.settled_revision", status.settled_revision);
    gauge(metrics, "view.manifest_version", status.manifest_version);
    gauge(metrics, "view.entries", status.entries as u64);
    gauge(metrics, "requests.waiting", status.waiting as u64);
    gauge(metrics, "drains.held_back", held_back as u64);
    for load in &status.owned {
        group_gauges(metrics, load);
    }
}

fn group_gauges(metrics: &StatsdClient, load: &GroupLoad) {
    let service = segment(load.group.service.as_str());
    let place = segment(load.group.place.as_str());
    let values = [
        ("slots", load.slots),
        ("in_flight", load.in_flight),
        ("queued", load.queued),
        ("arrivals", load.arrivals_per_second),
        ("expected_wait", load.expected_wait_ms),
        ("service_time", load.service_ms),
    ];
    for (name, value) in values {
        let key = format!("groups.{service}.{place}.{name}");
        gauge(metrics, &key, u64::from(value));
    }
}

/// Escapes a name as one segment of a metric's name, in which full stops separate segments.
fn segment(name: &str) -> String {
    name.replace('.', "_")
}

// A metric that cannot be sent is dropped: requests of callers must not wait or fail because of
// metrics.

fn count(metrics: &StatsdClient, name: &str) {
    let _ = metrics.count(name, 1);
}

fn time(metrics: &StatsdClient, name: &str, elapsed: Duration) {
    let _ = metrics.time(name, elapsed);
}

fn gauge(metrics: &StatsdClient, name: &str, value: u64) {
    let _ = metrics.gauge(name, value);
}
