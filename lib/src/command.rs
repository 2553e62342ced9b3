//! The commands of the replicated log: every input of the replicated state.

use serde::Deserialize;
use serde::Serialize;

use crate::encoding;
use crate::encoding::EncodingError;
use crate::fleet_command::FleetCommand;
use crate::id::ContentDigest;
use crate::id::ManifestVersion;
use crate::id::ReplicaId;
use crate::id::SessionId;
use crate::manifest::Manifest;
use crate::raft_message::ReplicaInfo;
use crate::view::EntryInfo;

/// Numbers the encoding of commands.
const COMMAND_FORMAT: u8 = 2;

/// Holds one command with the time of day at which a replica proposed it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Command {
    /// Wall clock of the proposing replica, in milliseconds since the Unix epoch. For
    /// display and audit only: it may jump, and no decision depends on it.
    pub wall_ms: u64,
    /// What is to be done.
    pub kind: CommandKind,
}

/// Tells what a command does.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CommandKind {
    /// Submits a manifest.
    SubmitManifest(Box<Submission>),
    /// Opens a session of an entry VM; the command's revision becomes its identifier.
    OpenSession(EntryInfo),
    /// Notes that the entry of a session began to leave.
    MarkLeaving(SessionId),
    /// Ends a session whose lease and margin ran out at the leader.
    LapseSession(SessionId),
    /// Ends a session whose entry has finished everything that it had dispatched.
    CloseSession(SessionId),
    /// Notes who asked for a change of the replicas. The change itself is a log
    /// payload of its own, which can't name the operator.
    RequestMembership(MembershipRequest),
    /// Changes what direct dispatch goes by.
    Fleet(Box<FleetCommand>),
}

/// Holds a submitted manifest.
///
/// The checked manifest travels with its text, so that replicas of different releases
/// whose parsers differ still reach the same state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submission {
    /// The text as the operator sent it.
    pub text: String,
    /// What the proposing replica read from the text.
    pub manifest: Manifest,
    /// Digest of the text.
    pub digest: ContentDigest,
    /// Who submitted it.
    pub operator: String,
}

impl Submission {
    /// Creates a submission, with the digest computed from `text`.
    #[must_use]
    pub fn new(text: String, manifest: Manifest, operator: String) -> Self {
        let digest = ContentDigest::of(text.as_bytes());
        Self {
            text,
            manifest,
            digest,
            operator,
        }
    }

    /// Returns the version of the manifest.
    #[must_use]
    pub const fn version(&self) -> ManifestVersion {
        self.manifest.version
    }
}

/// Holds an operator's request to change the replicas.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MembershipRequest {
    /// Who asked.
    pub operator: String,
    /// What was asked for.
    pub change: MembershipChange,
}

/// Tells how an operator wants the replicas changed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MembershipChange {
    /// Adds a replica as a learner, to be promoted once it has caught up.
    Add {
        /// The new replica.
        replica: ReplicaId,
        /// Where it is.
        info: ReplicaInfo,
        /// The replica to remove once the new one votes.
        replaces: Option<ReplicaId>,
    },
    /// Removes a replica.
    Remove(ReplicaId),
}

impl Command {
    /// Encodes the command for the log.
    ///
    /// # Errors
    ///
    /// Returns an error if serialization fails.
    pub fn encode(&self) -> Result<Vec<u8>, EncodingError> {
        encoding::encode(COMMAND_FORMAT, self)
    }

    /// Decodes a command of the log.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes aren't a command of a known format. A replica that
    /// meets one must stop: skipping it would make its state differ from the others'.
    pub fn decode(encoded: &[u8]) -> Result<Self, EncodingError> {
        encoding::decode(COMMAND_FORMAT, encoded)
    }
}
