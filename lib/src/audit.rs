//! Audit trail: a bounded record of who changed what, when, and with which result.

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
use crate::id::ServiceName;
use crate::id::SessionId;
use crate::id::VersionName;
use crate::id::VmName;
use crate::request_fingerprint::Fingerprint;
use crate::rollout::RollbackReason;
use crate::rollout::RolloutPhase;

/// Maximum number of records kept; the oldest are evicted first.
pub const AUDIT_CAPACITY: usize = 10_000;

/// Maximum length of [`AuditRecord::who`] in characters; longer names are truncated.
const MAX_WHO_CHARS: usize = 128;

/// One change, or one rejected attempt at a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditRecord {
    /// Log position of the command that caused the event.
    pub revision: Revision,
    /// Wall-clock time of the replica that proposed the command, in milliseconds since the Unix
    /// epoch. A change of replicas carries the time of the last command before it.
    pub wall_ms: u64,
    /// Operator or VM that caused the event; `control` for the control replicas themselves and
    /// `operator` for an operator who gave no name.
    pub who: String,
    /// Kind and details of the event.
    pub event: AuditEvent,
}

/// Kind of an audited event, with its details.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AuditEvent {
    /// A manifest came into force.
    ManifestAccepted {
        /// Version of the submitted manifest.
        version: ManifestVersion,
        /// Digest of the submitted text.
        digest: ContentDigest,
    },
    /// A manifest was rejected because its version is already taken by different content.
    ManifestConflict {
        /// Version of the submitted manifest.
        version: ManifestVersion,
        /// Digest of the submitted text.
        digest: ContentDigest,
        /// Digest of the content that was accepted for the version.
        winner: ContentDigest,
    },
    /// A manifest was rejected because a higher version is in force.
    ManifestStale {
        /// Version of the submitted manifest.
        version: ManifestVersion,
        /// Digest of the submitted text.
        digest: ContentDigest,
        /// Version in force.
        current: ManifestVersion,
    },
    /// An entry VM opened a session.
    SessionOpened {
        /// Identifier of the session, equal to the revision that opened it.
        session: SessionId,
        /// Name of the entry VM.
        vm: VmName,
    },
    /// An entry VM started to shut down and is no longer named to callers.
    SessionLeaving {
        /// Identifier of the session, equal to the revision that opened it.
        session: SessionId,
        /// Name of the entry VM.
        vm: VmName,
    },
    /// The lease of a session expired.
    SessionLapsed {
        /// Identifier of the session, equal to the revision that opened it.
        session: SessionId,
        /// Name of the entry VM.
        vm: VmName,
    },
    /// An entry VM closed its session after finishing its requests.
    SessionClosed {
        /// Identifier of the session, equal to the revision that opened it.
        session: SessionId,
        /// Name of the entry VM.
        vm: VmName,
    },
    /// An operator requested a change of the control replicas.
    MembershipRequested(MembershipChange),
    /// A change of the control replicas took effect.
    MembershipChanged {
        /// Voting replicas after the change.
        voters: Vec<ReplicaId>,
        /// Non-voting replicas after the change.
        learners: Vec<ReplicaId>,
    },
    /// An operator submitted a change of the route manifest.
    RoutesChange {
        /// Version that the change creates.
        version: ManifestVersion,
        /// Digest of the change.
        digest: ContentDigest,
        /// Whether it was accepted; also true for a resend of an accepted change.
        accepted: bool,
    },
    /// An operator evacuated a place or returned it to service.
    Evacuation {
        /// Name of the place.
        place: PlaceName,
        /// Whether the place receives no requests from this revision on.
        evacuated: bool,
    },
    /// A request was quarantined or released from quarantine.
    Quarantine {
        /// Fingerprint of the request's content.
        request: Fingerprint,
        /// Name of the verdict from this revision on; `None` if the request was released.
        verdict: Option<String>,
        /// Backend servers that ended while handling the request.
        ended: Vec<BackendName>,
    },
    /// A rollout began or reached another stage.
    Rollout {
        /// Service whose traffic moves.
        service: ServiceName,
        /// Version that its traffic moves to.
        target: VersionName,
        /// Stage that the rollout has reached.
        phase: RolloutPhase,
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
            Self::Rollout {
                service,
                target,
                phase,
            } => json!({
                "what": "rollout", "result": phase.name(),
                "service": service, "target": target,
                "share": phase.share().fraction(), "reason": phase.rollback_reason().map(RollbackReason::name),
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
    /// Renders the record as one line of JSON, without a trailing newline.
    #[must_use]
    pub fn to_json_line(&self) -> String {
        let mut fields = self.event.fields();
        fields["revision"] = json!(self.revision);
        fields["unix_ms"] = json!(self.wall_ms);
        fields["who"] = json!(self.who);
        fields.to_string()
    }
}

/// The most recent audit records, in log order.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditTrail {
    records: VecDeque<AuditRecord>,
}

impl AuditTrail {
    /// Appends a record, evicting the oldest one if there are already [`AUDIT_CAPACITY`].
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

    /// Iterates over the records with a revision above `revision`, oldest first.
    pub fn after(&self, revision: Revision) -> impl Iterator<Item = &AuditRecord> {
        let start = self
            .records
            .partition_point(|record| record.revision <= revision);
        self.records.range(start..)
    }
}
