//! Answers to submissions, kept so that a resend gets its original answer.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::command::Submission;
use crate::id::ContentDigest;
use crate::id::ManifestVersion;
use crate::id::Revision;

/// Number of accepted versions whose answers are kept.
pub const HISTORY_CAPACITY: usize = 10_000;

/// Number of accepted versions whose texts are kept.
pub const TEXT_CAPACITY: usize = 16;

/// Bytes of text kept; the latest text stays whatever its size.
pub const TEXT_BYTES_CAPACITY: usize = 64 << 20;

/// Answers a submission.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SubmissionAnswer {
    /// The manifest was accepted, by this submission or an earlier copy of it.
    Accepted {
        /// The revision that accepted it.
        revision: Revision,
    },
    /// Another content holds the version.
    VersionConflict {
        /// Digest of that content.
        winner: ContentDigest,
    },
    /// The version is none that is known, and a higher one is in force.
    StaleVersion {
        /// The version in force.
        current: ManifestVersion,
    },
}

/// Records an accepted manifest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedManifest {
    /// Its version.
    pub version: ManifestVersion,
    /// Digest of its text.
    pub digest: ContentDigest,
    /// The revision that accepted it.
    pub revision: Revision,
    /// Who submitted it.
    pub operator: String,
    /// Wall clock of the replica that proposed it, in milliseconds since the epoch.
    pub wall_ms: u64,
}

/// Holds the accepted manifests of the recent past.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SubmissionHistory {
    accepted: BTreeMap<ManifestVersion, AcceptedManifest>,
    texts: BTreeMap<ManifestVersion, Arc<str>>,
}

impl SubmissionHistory {
    /// Returns the answer that a submission gets if the state stays as it is, or `None`
    /// if it would be accepted as something new.
    ///
    /// Versions only grow, so one that was accepted and has left the history is lower
    /// than the one in force. It gets [`SubmissionAnswer::StaleVersion`]: without its
    /// digest nobody can tell a resend from a conflict, but it is never accepted twice.
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

    /// Returns the record of the version in force.
    #[must_use]
    pub fn latest(&self) -> Option<&AcceptedManifest> {
        self.accepted.last_key_value().map(|(_, latest)| latest)
    }

    /// Returns the record of `version`, if it is still kept.
    #[must_use]
    pub fn get(&self, version: ManifestVersion) -> Option<&AcceptedManifest> {
        self.accepted.get(&version)
    }

    /// Returns the text of `version`, if it is still kept.
    #[must_use]
    pub fn text(&self, version: ManifestVersion) -> Option<&str> {
        self.texts.get(&version).map(|text| &**text)
    }

    /// Iterates over the records, newest first.
    pub fn newest_first(&self) -> impl Iterator<Item = &AcceptedManifest> {
        self.accepted.values().rev()
    }
}
