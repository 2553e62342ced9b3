//! Commands of the replicated log, the inputs of the replicated state machine.

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

/// Format version of encoded commands.
const COMMAND_FORMAT: u8 = 2;

/// One log command, with the wall-clock time at which a replica proposed it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Command {
    /// Wall-clock time of the proposing replica, in milliseconds since the Unix epoch. For
    /// display and audit only: it may jump, and no decision depends on it.
    pub wall_ms: u64,
    /// Operation that the command performs.
    pub kind: CommandKind,
}

/// Operation of a command.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CommandKind {
    /// Submits a manifest.
    SubmitManifest(Box<Submission>),
    /// Opens a session for an entry VM; the command's revision becomes the session identifier.
    OpenSession(EntryInfo),
    /// Marks a session whose entry VM has started to shut down.
    MarkLeaving(SessionId),
    /// Ends a session whose lease and safety margin expired at the leader.
    LapseSession(SessionId),
    /// Ends a session whose entry VM has finished all requests that it had dispatched.
    CloseSession(SessionId),
    /// Records which operator requested a change of the control replicas. The change itself is
    /// a separate log payload, which cannot carry the operator's name.
    RequestMembership(MembershipRequest),
    /// Changes the state of direct dispatch.
    Fleet(Box<FleetCommand>),
}

/// A manifest submitted by an operator.
///
/// The parsed manifest is replicated along with its text, so that replicas of different
/// releases reach the same state even if their parsers differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submission {
    /// Manifest text exactly as the operator sent it.
    pub text: String,
    /// Manifest as parsed and checked by the proposing replica.
    pub manifest: Manifest,
    /// Digest of `text`.
    pub digest: ContentDigest,
    /// Name that the operator gave, for the audit trail.
    pub operator: String,
}

impl Submission {
    /// Creates a submission and computes the digest of `text`.
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

    /// Returns the version that the parsed manifest declares.
    #[must_use]
    pub const fn version(&self) -> ManifestVersion {
        self.manifest.version
    }
}

/// An operator's request to change the set of control replicas.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MembershipRequest {
    /// Name that the operator gave, for the audit trail.
    pub operator: String,
    /// Requested change.
    pub change: MembershipChange,
}

/// Change of the set of control replicas.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MembershipChange {
    /// Adds a replica as a learner; it is promoted to a voter once it has caught up.
    Add {
        /// Identifier of the new replica.
        replica: ReplicaId,
        /// VM and address of the new replica.
        info: ReplicaInfo,
        /// Replica to remove once the new one is a voter, if any.
        replaces: Option<ReplicaId>,
    },
    /// Removes the replica with this identifier.
    Remove(ReplicaId),
}

impl CommandKind {
    /// Returns whether the command may wait for all others; see [`FleetCommand::is_deferrable`].
    #[must_use]
    pub fn is_deferrable(&self) -> bool {
        matches!(self, Self::Fleet(command) if command.is_deferrable())
    }
}

impl Command {
    /// Encodes the command as a log entry.
    ///
    /// # Errors
    ///
    /// Returns an error if serialization fails.
    pub fn encode(&self) -> Result<Vec<u8>, EncodingError> {
        encoding::encode(COMMAND_FORMAT, self)
    }

    /// Decodes a command from a log entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a command in a known format. A replica that
    /// encounters such an entry must stop: skipping it would make its state diverge from that
    /// of the other replicas.
    pub fn decode(encoded: &[u8]) -> Result<Self, EncodingError> {
        encoding::decode(COMMAND_FORMAT, encoded)
    }
}
