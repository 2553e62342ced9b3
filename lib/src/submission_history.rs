//! History of accepted manifests, kept so that a resent submission gets its original answer.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::command::Submission;
use crate::id::ContentDigest;
use crate::id::ManifestVersion;
use crate::id::Revision;

/// Maximum number of accepted versions whose answers are kept.
pub const HISTORY_CAPACITY: usize = 10_000;

/// Maximum number of accepted versions whose texts are kept.
pub const TEXT_CAPACITY: usize = 16;

/// Maximum total size of the texts kept, in bytes; the latest text is kept whatever its size.
pub const TEXT_BYTES_CAPACITY: usize = 64 << 20;

/// Answer to a submission.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SubmissionAnswer {
    /// The manifest was accepted, through this submission or an earlier copy of it.
    Accepted {
        /// Revision at which it was accepted.
        revision: Revision,
    },
    /// Different content was accepted for the version.
    VersionConflict {
        /// Digest of the accepted content.
        winner: ContentDigest,
    },
    /// The version is not in the history, and a higher one is in force.
    StaleVersion {
        /// Version in force.
        current: ManifestVersion,
    },
}

/// Record of an accepted manifest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedManifest {
    /// Version of the manifest.
    pub version: ManifestVersion,
    /// Digest of the submitted text.
    pub digest: ContentDigest,
    /// Revision at which it was accepted.
    pub revision: Revision,
    /// Name that the operator gave with the submission.
    pub operator: String,
    /// Wall-clock time of the replica that proposed the submission, in milliseconds since the
    /// Unix epoch.
    pub wall_ms: u64,
}

/// The most recently accepted manifests.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SubmissionHistory {
    accepted: BTreeMap<ManifestVersion, AcceptedManifest>,
    texts: BTreeMap<ManifestVersion, Arc<str>>,
}

impl SubmissionHistory {
    /// Returns the answer to a submission in the current state, or `None` if it would be
    /// accepted as a new version.
    ///
    /// Versions only increase, so a version that was accepted and has been evicted from the
    /// history is lower than the one in force. It is answered with
    /// [`SubmissionAnswer::StaleVersion`]: without its digest, a resend cannot be distinguished
    /// from a conflict, but it is never accepted twice.
    #[must_use]
    pub fn answer(
        &self,
        version: ManifestVersion,
        digest: ContentDigest,
    ) -> Option<SubmissionAnswer> {
        if let Some(known) = self.accepted.get(&version) {
            return Some(if known.digest == digest {
                SubmissionAnswer::Accepted {
                    revision: known.revision,
                }
            } else {
                SubmissionAnswer::VersionConflict {
                    winner: known.digest,
                }
            });
        }
        let current = self.latest()?.version;
        (version < current).then_some(SubmissionAnswer::StaleVersion { current })
    }

    /// Records a submission as accepted at `revision`.
    pub(crate) fn accept(&mut self, revision: Revision, wall_ms: u64, submission: &Submission) {
        let version = submission.version();
        self.accepted.insert(
            version,
            AcceptedManifest {
                version,
                digest: submission.digest,
                revision,
                operator: submission.operator.clone(),
                wall_ms,
            },
        );
        while self.accepted.len() > HISTORY_CAPACITY {
            self.accepted.pop_first();
        }
        self.texts
            .insert(version, Arc::from(submission.text.as_str()));
        while self.texts_overflow() {
            self.texts.pop_first();
        }
    }

    fn texts_overflow(&self) -> bool {
        let bytes: usize = self.texts.values().map(|text| text.len()).sum();
        let too_many = self.texts.len() > TEXT_CAPACITY;
        let too_large = self.texts.len() > 1 && bytes > TEXT_BYTES_CAPACITY;
        too_many || too_large
    }

    /// Returns the record of the version in force, or `None` before the first one.
    #[must_use]
    pub fn latest(&self) -> Option<&AcceptedManifest> {
        self.accepted.last_key_value().map(|(_, latest)| latest)
    }

    /// Returns the record of `version`, or `None` if it was not accepted or has been evicted.
    #[must_use]
    pub fn get(&self, version: ManifestVersion) -> Option<&AcceptedManifest> {
        self.accepted.get(&version)
    }

    /// Returns the text of `version`, or `None` if it was not accepted or has been evicted.
    #[must_use]
    pub fn text(&self, version: ManifestVersion) -> Option<&str> {
        self.texts.get(&version).map(|text| &**text)
    }

    /// Iterates over the records by descending version.
    pub fn newest_first(&self) -> impl Iterator<Item = &AcceptedManifest> {
        self.accepted.values().rev()
    }
}
