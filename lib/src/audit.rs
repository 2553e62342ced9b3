//! The audit trail: who changed what, when, and with which result.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::command::MembershipChange;
use crate::id::BackendName;
use crate::id::ContentDigest;
use crate::id::ManifestVersion;
use crate::id::PlaceName;
use crate::id::ReplicaId;
use crate::id::Revision;
use crate::id::SessionId;
use crate::id::VmName;
use crate::request_fingerprint::Fingerprint;

/// Number of records kept; the oldest give way.
pub const AUDIT_CAPACITY: usize = 10_000;

/// Number of characters kept of a name that an operator gives.
const MAX_WHO_CHARS: usize = 128;

/// Holds one change, or one refused attempt at a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditRecord {
    /// The log position.
    pub revision: Revision,
    /// Wall clock of the replica that proposed it, in milliseconds since the epoch.
    pub wall_ms: u64,
    /// The operator or VM that caused it; `control` for the replicas themselves.
    pub who: String,
    /// What happened.
    pub event: AuditEvent,
}

/// Tells what happened.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AuditEvent {
    /// A manifest came into force.
    ManifestAccepted {
        /// Its version.
        version: ManifestVersion,
        /// Digest of its text.
        digest: ContentDigest,
    },
    /// A manifest was refused since its version has another content already.
    ManifestConflict {
        /// Its version.
        version: ManifestVersion,
        /// Digest of its text.
        digest: ContentDigest,
        /// Digest of the content that holds the version.
        winner: ContentDigest,
    },
    /// A manifest was refused since a higher version is in force.
    ManifestStale {
        /// Its version.
        version: ManifestVersion,
        /// Digest of its text.
        digest: ContentDigest,
        /// The version in force.
        current: ManifestVersion,
    },
    /// An entry VM opened a session.
    SessionOpened {
        /// The session.
        session: SessionId,
        /// The entry VM.
        vm: VmName,
    },
    /// An entry VM began to leave.
    SessionLeaving {
        /// The session.
        session: SessionId,
        /// The entry VM.
        vm: VmName,
    },
    /// A session's lease ran out.
    SessionLapsed {
        /// The session.
        session: SessionId,
        /// The entry VM.
        vm: VmName,
    },
    /// An entry VM ended its session.
    SessionClosed {
        /// The session.
        session: SessionId,
        /// The entry VM.
        vm: VmName,
    },
    /// An operator asked for a change of the replicas.
    MembershipRequested(MembershipChange),
    /// The replicas changed.
    MembershipChanged {
        /// The replicas that vote.
        voters: Vec<ReplicaId>,
        /// The replicas that learn.
        learners: Vec<ReplicaId>,
    },
    /// An operator asked for a change of the route manifest.
    RoutesChange {
        /// The version that the change makes.
        version: ManifestVersion,
        /// Digest of the change.
        digest: ContentDigest,
        /// Whether it was accepted, now or before.
        accepted: bool,
    },
    /// An operator evacuated a place or took it back into use.
    Evacuation {
        /// The place.
        place: PlaceName,
        /// Whether nothing is sent there from now on.
        evacuated: bool,
    },
    /// A request was put in quarantine or let out of it.
    Quarantine {
        /// The request.
        request: Fingerprint,
        /// How it is treated from now on; nothing where it was let out.
        verdict: Option<String>,
        /// The backend servers that ended under it.
        ended: Vec<BackendName>,
    },
}

impl AuditEvent {
    fn fields(&self) -> Value {
        match self {
            Self::ManifestAccepted { version, digest } => json!({
                "what": "manifest", "result": "accepted",
                "version": version, "digest": digest.to_string(),
            }),
            Self::ManifestConflict {
                version,
                digest,
                winner,
            } => json!({
                "what": "manifest", "result": "version_conflict",
                "version": version, "digest": digest.to_string(),
                "winner_digest": winner.to_string(),
            }),
            Self::ManifestStale {
                version,
                digest,
                current,
            } => json!({
                "what": "manifest", "result": "stale_version",
                "version": version, "digest": digest.to_string(),
                "current_version": current,
            }),
            Self::SessionOpened { session, vm } => session_fields("opened", *session, vm),
            Self::SessionLeaving { session, vm } => session_fields("leaving", *session, vm),
            Self::SessionLapsed { session, vm } => session_fields("lapsed", *session, vm),
            Self::SessionClosed { session, vm } => session_fields("closed", *session, vm),
            Self::MembershipRequested(change) => change_fields(change),
            Self::MembershipChanged { voters, learners } => json!({
                "what": "membership", "result": "changed",
                "voters": voters, "learners": learners,
            }),
            Self::RoutesChange {
                version,
                digest,
                accepted,
            } => json!({
                "what": "routes", "result": if *accepted { "accepted" } else { "refused" },
                "version": version, "digest": digest.to_string(),
            }),
            Self::Evacuation { place, evacuated } => json!({
                "what": "evacuation", "result": if *evacuated { "begun" } else { "ended" },
                "place": place,
            }),
            Self::Quarantine {
                request,
                verdict,
                ended,
            } => json!({
                "what": "quarantine", "result": verdict.as_deref().unwrap_or("ended"),
                "request": request.to_string(), "ended": ended,
            }),
        }
    }
}

fn session_fields(result: &str, session: SessionId, vm: &VmName) -> Value {
    json!({ "what": "session", "result": result, "session": session, "vm": vm })
}

fn change_fields(change: &MembershipChange) -> Value {
    match change {
        MembershipChange::Add {
            replica,
            info,
            replaces,
        } => json!({
            "what": "membership", "result": "add_requested", "replica": replica,
            "vm": info.vm, "address": info.address, "replaces": replaces,
        }),
        MembershipChange::Remove(replica) => json!({
            "what": "membership", "result": "remove_requested", "replica": replica,
        }),
    }
}

impl AuditRecord {
    /// Renders the record as one line of JSON, without the line's end.
    #[must_use]
    pub fn to_json_line(&self) -> String {
        let mut fields = self.event.fields();
        fields["revision"] = json!(self.revision);
        fields["unix_ms"] = json!(self.wall_ms);
        fields["who"] = json!(self.who);
        fields.to_string()
    }
}

/// Holds the latest audit records, in log order.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditTrail {
    records: VecDeque<AuditRecord>,
}

impl AuditTrail {
    /// Adds a record; the oldest gives way if there are [`AUDIT_CAPACITY`] already.
    pub(crate) fn push(&mut self, revision: Revision, wall_ms: u64, who: &str, event: AuditEvent) {
        let who = who.chars().take(MAX_WHO_CHARS).collect();
        if self.records.len() >= AUDIT_CAPACITY {
            self.records.pop_front();
        }
        self.records.push_back(AuditRecord {
            revision,
            wall_ms,
            who,
            event,
        });
    }

    /// Iterates over the records after `revision`, oldest first.
    pub fn after(&self, revision: Revision) -> impl Iterator<Item = &AuditRecord> {
        let start = self
            .records
            .partition_point(|record| record.revision <= revision);
        self.records.range(start..)
    }
}
