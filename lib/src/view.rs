//! What every entry VM knows of the replicated state, and how it changes.
//!
//! Control sends a whole view when a session opens and afterwards one
//! [`ViewChange`] for each log position that matters to entry VMs, in log order.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

use crate::id::ContentDigest;
use crate::id::ManifestVersion;
use crate::id::PlaceName;
use crate::id::RegionName;
use crate::id::Revision;
use crate::id::SessionId;
use crate::id::VmName;
use crate::manifest::Manifest;
use crate::manifest_delta::DeltaError;
use crate::manifest_delta::ManifestDelta;

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

/// Tells why a change couldn't be applied to a view.
#[derive(Debug, Snafu)]
pub enum ViewError {
    /// The change is part of the view already, or older.
    #[snafu(display("change {change} isn't newer than view {view}"))]
    NotNewer {
        /// Revision of the change.
        change: Revision,
        /// Revision of the view.
        view: Revision,
    },
    /// A delta came although the view holds no manifest.
    #[snafu(display("change {change} is a delta, and the view holds no manifest"))]
    MissingBase {
        /// Revision of the change.
        change: Revision,
    },
    /// A delta was made from another manifest than the view's.
    #[snafu(display("the delta applies to {expected}; the view holds {found}"))]
    WrongBase {
        /// Digest of the manifest that the delta applies to.
        expected: ContentDigest,
        /// Digest of the manifest in the view.
        found: ContentDigest,
    },
    /// A delta couldn't be read or gave another manifest than expected.
    #[snafu(display("the manifest of change {change} can't be restored"))]
    Delta {
        /// Revision of the change.
        change: Revision,
        /// The cause.
        source: DeltaError,
    },
    /// A manifest came whose version doesn't exceed that of the view's.
    #[snafu(display("manifest version {change} isn't above version {view}"))]
    ManifestNotNewer {
        /// Version in the change.
        change: ManifestVersion,
        /// Version in the view.
        view: ManifestVersion,
    },
    /// The change concerns a session that the view doesn't hold.
    #[snafu(display("session {session} isn't part of the view"))]
    UnknownSession {
        /// The session.
        session: SessionId,
    },
    /// The change opens a session that the view holds already.
    #[snafu(display("session {session} is part of the view already"))]
    DuplicateSession {
        /// The session.
        session: SessionId,
    },
}

impl ControlView {
    /// Applies one change.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves the view as it was, if the change isn't newer than
    /// the view or doesn't fit it. The holder then asks control for the whole view.
    pub fn apply(&mut self, change: &ViewChange) -> Result<(), ViewError> {
        // Replies that overtake each other, or come from a replica that is behind,
        // would otherwise bring back an older manifest or a session that is gone.
        ensure!(
            change.revision > self.revision,
            NotNewerSnafu {
                change: change.revision,
                view: self.revision
            }
        );
        match &change.kind {
            ViewChangeKind::Manifest(manifest) => {
                let manifest = self.changed_manifest(change.revision, manifest)?;
                self.manifest = Some(manifest);
            }
            ViewChangeKind::SessionOpened(session) => self.open(session)?,
            ViewChangeKind::SessionLeaving(session) => self.mark_leaving(*session)?,
            ViewChangeKind::SessionLapsed(session) | ViewChangeKind::SessionClosed(session) => {
                self.remove(*session)?;
            }
        }
        self.revision = change.revision;
        Ok(())
    }

    fn changed_manifest(
        &self,
        revision: Revision,
        change: &ManifestChange,
    ) -> Result<Arc<ManifestInForce>, ViewError> {
        let next = match change {
            ManifestChange::Whole(whole) => Arc::clone(whole),
            ManifestChange::Delta {
                base,
                digest,
                delta,
            } => {
                let held = self
                    .manifest
                    .as_ref()
                    .context(MissingBaseSnafu { change: revision })?;
                ensure!(
                    held.digest == *base,
                    WrongBaseSnafu {
                        expected: *base,
                        found: held.digest
                    }
                );
                let manifest = ManifestDelta::decode(delta)
                    .and_then(|delta| delta.apply(&held.manifest))
                    .context(DeltaSnafu { change: revision })?;
                Arc::new(ManifestInForce {
                    revision,
                    digest: *digest,
                    manifest,
                })
            }
        };
        if let Some(held) = &self.manifest {
            ensure!(
                next.manifest.version > held.manifest.version,
                ManifestNotNewerSnafu {
                    change: next.manifest.version,
                    view: held.manifest.version
                }
            );
        }
        Ok(next)
    }

    fn open(&mut self, session: &EntrySession) -> Result<(), ViewError> {
        let id = session.id;
        ensure!(
            !self.sessions.contains_key(&id),
            DuplicateSessionSnafu { session: id }
        );
        self.sessions.insert(id, session.clone());
        Ok(())
    }

    fn mark_leaving(&mut self, session: SessionId) -> Result<(), ViewError> {
        let held = self
            .sessions
            .get_mut(&session)
            .context(UnknownSessionSnafu { session })?;
        held.leaving = true;
        Ok(())
    }

    fn remove(&mut self, session: SessionId) -> Result<(), ViewError> {
        self.sessions
            .remove(&session)
            .context(UnknownSessionSnafu { session })?;
        Ok(())
    }
}
