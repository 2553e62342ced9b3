//! Status of an entry VM as shown to operators.

use heatherring_lib::drain::DrainDecision;
use heatherring_lib::duration_text::whole_ms;
use heatherring_lib::load_digest::GroupLoad;
use heatherring_lib::manifest::Drain;
use serde::Deserialize;
use serde::Serialize;

use crate::entry_context::EntryContext;

/// Holds an entry VM's status; serialized to JSON.
#[derive(Clone, Debug, Serialize)]
pub struct EntryStatus {
    /// The VM's name.
    pub vm: String,
    /// The session with control; 0 without one.
    pub session: u64,
    /// Time until the lease expires, in milliseconds.
    pub lease_left_ms: u64,
    /// The latest revision applied.
    pub revision: u64,
    /// The latest revision that all entry VMs have applied.
    pub settled_revision: u64,
    /// The version of the manifest in force; 0 without one.
    pub manifest_version: u64,
    /// Entry VMs that have a session.
    pub entries: usize,
    /// Number of requests that wait for a slot here.
    pub waiting: usize,
    /// Status of each planned drain.
    pub drains: Vec<DrainStatus>,
    /// Load and capacity of each group that this entry VM owns.
    pub owned: Vec<GroupLoad>,
    /// Latest load received from the owners of all groups.
    pub known: Vec<GroupLoad>,
}

/// Describes the state of one planned drain.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DrainStatus {
    /// The drain, as planned.
    pub drain: Drain,
    /// Why it is held back; absent once it has been carried out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub held_back: Option<String>,
}

impl DrainStatus {
    /// Converts a drain decision.
    #[must_use]
    pub fn of(decision: &DrainDecision) -> Self {
        Self {
            drain: decision.drain.clone(),
            held_back: decision.held_back.as_ref().map(ToString::to_string),
        }
    }
}

/// Collects the current status.
pub async fn collect(cx: &EntryContext) -> EntryStatus {
    let admission = cx.admission.status().await;
    let state = cx.state.read();
    let lease_left = state
        .lease
        .expires_at()
        .map(|until| until.saturating_duration_since(cx.now()))
        .unwrap_or_default();
    EntryStatus {
        vm: cx.info.vm.as_str().to_owned(),
        session: state.lease.session().unwrap_or_default().0,
        lease_left_ms: whole_ms(lease_left),
        revision: state.view.revision.0,
        settled_revision: state.settled.0,
        manifest_version: state.manifest().map_or(0, |manifest| manifest.version.0),
        entries: state.view.sessions.len(),
        waiting: admission.waiting,
        drains: admission.drains.iter().map(DrainStatus::of).collect(),
        owned: admission.loads,
        known: admission.known,
    }
}
