//! Replies to submitted manifests.

use heatherring_lib::config_fault::ConfigFaults;
use heatherring_lib::control_state::Response;
use heatherring_lib::id::ContentDigest;
use heatherring_lib::id::ManifestVersion;
use heatherring_lib::submission_history::SubmissionAnswer;
use tonic::Status;

use crate::leader_relay::is_proved_unsent;
use crate::node_request::Committed;
use crate::node_request::NodeError;
use crate::proto::SubmitOutcome;
use crate::proto::SubmitReply;

fn reply(outcome: SubmitOutcome, version: ManifestVersion, digest: ContentDigest) -> SubmitReply {
    SubmitReply {
        outcome: outcome.into(),
        version: version.0,
        digest: digest.to_string(),
        ..SubmitReply::default()
    }
}

/// Returns the reply to a text that is not a valid manifest.
#[must_use]
pub fn invalid_reply(text: &str, faults: &ConfigFaults) -> SubmitReply {
    let digest = ContentDigest::of(text.as_bytes());
    let mut reply = reply(SubmitOutcome::Invalid, ManifestVersion(0), digest);
    reply.problems = faults.0.iter().map(ToString::to_string).collect();
    reply
}

/// Returns the reply to a committed submission, according to the result of applying it.
#[must_use]
pub fn submission_reply(
    version: ManifestVersion,
    digest: ContentDigest,
    committed: &Committed,
) -> SubmitReply {
    let Response::Submission(answer) = &committed.response else {
        let mut unknown = reply(SubmitOutcome::Unknown, version, digest);
        "the outcome was not recorded; submit again".clone_into(&mut unknown.reason);
        return unknown;
    };
    match answer {
        SubmissionAnswer::Accepted { revision } => {
            let mut accepted = reply(SubmitOutcome::Accepted, version, digest);
            accepted.revision = revision.0;
            accepted
        }
        SubmissionAnswer::VersionConflict { winner } => {
            let mut conflict = reply(SubmitOutcome::VersionConflict, version, digest);
            conflict.winner_digest = winner.to_string();
            conflict
        }
        SubmissionAnswer::StaleVersion { current } => {
            let mut stale = reply(SubmitOutcome::StaleVersion, version, digest);
            stale.current_version = current.0;
            stale
        }
    }
}

/// Returns the reply to a submission that this replica failed to commit.
///
/// The outcome is "not accepted" only if the submission is proved never to enter the log. One that
/// may still be committed gets "unknown": if operators took it for refused and edited the manifest
/// under the same version, their second submission would race with the first.
#[must_use]
pub fn refused_reply(
    version: ManifestVersion,
    digest: ContentDigest,
    error: &NodeError,
) -> SubmitReply {
    let outcome = if error.is_proved_absent() {
        SubmitOutcome::NotAccepted
    } else {
        SubmitOutcome::Unknown
    };
    let mut refused = reply(outcome, version, digest);
    refused.reason = error.to_string();
    refused
}

/// Returns the reply to a submission that was relayed to the leader and not answered.
#[must_use]
pub fn relay_failed_reply(
    version: ManifestVersion,
    digest: ContentDigest,
    status: &Status,
) -> SubmitReply {
    let outcome = if is_proved_unsent(status) {
        SubmitOutcome::NotAccepted
    } else {
        SubmitOutcome::Unknown
    };
    let mut failed = reply(outcome, version, digest);
    failed.reason = format!("the leader did not answer: {}", status.message());
    failed
}
