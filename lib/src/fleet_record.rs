//! What the replicated state of direct dispatch knows of backend servers and entry VMs.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::BackendName;
use crate::id::PlaceName;
use crate::id::RegionName;
use crate::id::ServiceName;
use crate::id::VmName;

/// Says whether a backend server takes new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum BackendState {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
    /// Another backend server has taken its address over.
    Superseded,
}

/// Holds what a backend server told of itself when something last changed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendRecord {
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The place that it stands in.
    pub place: PlaceName,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: BackendState,
    /// Number of its announcement; a lower one that comes later is stale.
    pub sequence: u64,
    /// How much longer it was cold when it said so.
    pub cold_for: Duration,
}

/// Holds an announcement that changes something.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendChange {
    /// The backend server: one life of one process.
    pub backend: BackendName,
    /// What it says of itself.
    pub record: BackendRecord,
    /// Whether it may take its address back from a backend server that hasn't been
    /// heard of lately.
    pub reclaims: bool,
}

/// Holds where an entry VM is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRecord {
    /// The place that it stands in.
    pub place: PlaceName,
    /// The region of that place.
    pub region: RegionName,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Tells one life of its process from another; drawn at random at the start.
    pub life: u64,
}

/// Names what was removed from the state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RemovedItem {
    /// A route.
    Route(crate::id::RouteName),
    /// A service.
    Service(ServiceName),
    /// A backend server.
    Backend(BackendName),
    /// An entry VM.
    Entry(VmName),
}
