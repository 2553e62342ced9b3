//! What every entry VM knows of the replicated state, and how it changes.
//!
//! Control sends a whole view when a session opens and afterwards one
//! [`ViewChange`] for each log position that matters to entry VMs, in log order.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::id::ContentDigest;
use crate::id::PlaceName;
use crate::id::RegionName;
use crate::id::Revision;
use crate::id::SessionId;
use crate::id::VmName;
use crate::manifest::Manifest;

/// Tells where an entry VM is and how it is reached.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryInfo {
    /// The VM's name, from its settings.
    pub vm: VmName,
    /// The place that the VM stands in.
    pub place: PlaceName,
    /// The region of that place.
    pub region: RegionName,
    /// Where callers look up and send their requests (HTTP).
    pub callers: SocketAddr,
    /// Where backend servers announce themselves (HTTP).
    pub backend_servers: SocketAddr,
    /// Where other entry VMs reach it (gRPC).
    pub peers: SocketAddr,
    /// Where other entry VMs forward requests to (HTTP/2).
    pub forward: SocketAddr,
}

/// Holds one session of an entry VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntrySession {
    /// Identifies the session, and with it one life of the entry's process.
    pub id: SessionId,
    /// Where the entry VM is.
    pub info: EntryInfo,
    /// Set once the entry leaves: it owns nothing and is named in no look-up.
    pub leaving: bool,
}

/// Holds a manifest in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ManifestInForce {
    /// The revision that accepted it.
    pub revision: Revision,
    /// Digest of the content that the operator submitted.
    pub digest: ContentDigest,
    /// The checked manifest.
    pub manifest: Manifest,
}

/// Holds what an entry VM knows of the replicated state at one revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlView {
    /// The last revision that this view includes.
    pub revision: Revision,
    /// The manifest in force, once one was accepted.
    pub manifest: Option<Arc<ManifestInForce>>,
    /// Sessions that haven't lapsed or ended.
    pub sessions: BTreeMap<SessionId, EntrySession>,
}

/// Holds one change of the replicated state as far as entry VMs need it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ViewChange {
    /// The revision of the change; higher than that of the view it applies to.
    pub revision: Revision,
    /// What changed.
    pub kind: ViewChangeKind,
}

/// Tells what changed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ViewChangeKind {
    /// A manifest was accepted.
    Manifest(ManifestChange),
    /// A session was opened.
    SessionOpened(EntrySession),
    /// The entry of a session began to leave.
    SessionLeaving(SessionId),
    /// A session lapsed: its process has surely stopped dispatching, but requests that
    /// it had dispatched may still run until their deadlines.
    SessionLapsed(SessionId),
    /// A session ended: its process had finished everything that it had dispatched.
    SessionClosed(SessionId),
}

/// Carries an accepted manifest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ManifestChange {
    /// The whole manifest.
    Whole(Arc<ManifestInForce>),
    /// What differs from the manifest with the digest `base`.
    Delta {
        /// Digest of the manifest that the delta applies to.
        base: ContentDigest,
        /// Digest of the manifest that results.
        digest: ContentDigest,
        /// The difference, in the encoding of `manifest_delta`.
        delta: Vec<u8>,
    },
}
