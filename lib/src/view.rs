//! Entry VMs' view of the replicated state, and its changes.
//!
//! Control sends the whole view when a session opens, and afterwards one [`ViewChange`] in log
//! order for each log entry that matters to entry VMs.

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

/// Location and addresses of an entry VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryInfo {
    /// Name of the VM, from its settings.
    pub vm: VmName,
    /// Failure domain (place) in which the VM runs.
    pub place: PlaceName,
    /// Region of that place.
    pub region: RegionName,
    /// HTTP address at which callers look up backend servers and send their requests.
    pub callers: SocketAddr,
    /// HTTP address at which backend servers announce themselves.
    pub backend_servers: SocketAddr,
    /// gRPC address for other entry VMs.
    pub peers: SocketAddr,
    /// HTTP/2 address to which other entry VMs forward requests.
    pub forward: SocketAddr,
}

/// A session of an entry VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntrySession {
    /// Identifies the session, and with it one incarnation of the entry's process.
    pub id: SessionId,
    /// Location and addresses of the entry VM.
    pub info: EntryInfo,
    /// Set once the entry is leaving: it owns nothing and is not returned by look-ups.
    pub leaving: bool,
}

/// A manifest in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ManifestInForce {
    /// Revision at which the manifest was accepted.
    pub revision: Revision,
    /// Digest of the content that the operator submitted.
    pub digest: ContentDigest,
    /// The validated manifest.
    pub manifest: Manifest,
}

/// An entry VM's view of the replicated state at one revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlView {
    /// Last revision that this view includes.
    pub revision: Revision,
    /// Manifest in force; `None` until one is accepted.
    pub manifest: Option<Arc<ManifestInForce>>,
    /// Sessions that have neither lapsed nor been closed.
    pub sessions: BTreeMap<SessionId, EntrySession>,
}

/// A change of the replicated state that is relevant to entry VMs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ViewChange {
    /// Revision of the change; higher than that of the view to which it applies.
    pub revision: Revision,
    /// The change itself.
    pub kind: ViewChangeKind,
}

/// Kind of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ViewChangeKind {
    /// A manifest was accepted.
    Manifest(ManifestChange),
    /// A session was opened.
    SessionOpened(EntrySession),
    /// The entry of a session is leaving.
    SessionLeaving(SessionId),
    /// A session lapsed: its process has certainly stopped dispatching, but requests that it had
    /// dispatched may run until their deadlines.
    SessionLapsed(SessionId),
    /// A session was closed: its process had completed everything that it had dispatched.
    SessionClosed(SessionId),
}

/// An accepted manifest, whole or as a delta.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ManifestChange {
    /// The whole manifest.
    Whole(Arc<ManifestInForce>),
    /// Difference from the manifest with the digest `base`.
    Delta {
        /// Digest of the manifest that the delta applies to.
        base: ContentDigest,
        /// Digest of the resulting manifest.
        digest: ContentDigest,
        /// Encoded [`ManifestDelta`].
        delta: Vec<u8>,
    },
}

/// Reason why a change could not be applied to a view.
#[derive(Debug, Snafu)]
pub enum ViewError {
    /// The change is not newer than the view.
    #[snafu(display("change {change} is not newer than view {view}"))]
    NotNewer {
        /// Revision of the change.
        change: Revision,
        /// Revision of the view.
        view: Revision,
    },
    /// The change is a delta, but the view holds no manifest.
    #[snafu(display("change {change} is a manifest delta, but the view holds no manifest"))]
    MissingBase {
        /// Revision of the change.
        change: Revision,
    },
    /// The delta is based on another manifest than the view's.
    #[snafu(display("the manifest delta applies to {expected}, but the view holds {found}"))]
    WrongBase {
        /// Digest of the manifest that the delta applies to.
        expected: ContentDigest,
        /// Digest of the manifest in the view.
        found: ContentDigest,
    },
    /// The delta cannot be decoded, or does not apply to the view's manifest.
    #[snafu(display("the manifest delta of change {change} cannot be applied"))]
    Delta {
        /// Revision of the change.
        change: Revision,
        /// The underlying error.
        source: DeltaError,
    },
    /// The version of the manifest does not exceed that of the view's manifest.
    #[snafu(display("manifest version {change} is not higher than version {view}"))]
    ManifestNotNewer {
        /// Version in the change.
        change: ManifestVersion,
        /// Version in the view.
        view: ManifestVersion,
    },
    /// The change refers to a session that the view does not contain.
    #[snafu(display("session {session} is not part of the view"))]
    UnknownSession {
        /// The session.
        session: SessionId,
    },
    /// The change opens a session that the view already contains.
    #[snafu(display("session {session} is already part of the view"))]
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
    /// Returns an error and leaves the view unchanged if the change is not newer than the view or
    /// cannot be applied to it. The caller then requests the whole view from control.
    pub fn apply(&mut self, change: &ViewChange) -> Result<(), ViewError> {
        // Replies that arrive out of order, or come from a replica that lags behind, would
        // otherwise restore an older manifest or a session that no longer exists.
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

    /// Returns whether `vm` has a session that was opened after `revision`.
    #[must_use]
    pub fn has_session_since(&self, vm: &VmName, revision: Revision) -> bool {
        let mut sessions = self.sessions.values();
        sessions.any(|session| session.info.vm == *vm && session.id.0 > revision.0)
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
