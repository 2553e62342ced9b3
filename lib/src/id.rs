//! Identifiers as distinct types, so that one cannot be used in place of another.

use std::fmt;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Largest number of characters of a name.
pub const MAX_NAME_LENGTH: usize = 63;

/// Returns whether a text is a valid name: 1 to [`MAX_NAME_LENGTH`] ASCII letters, digits, `-`,
/// `_` and `.`, starting with a letter or digit.
#[must_use]
pub fn is_name(text: &str) -> bool {
    let first_fits = text
        .bytes()
        .next()
        .is_some_and(|byte| byte.is_ascii_alphanumeric());
    let all_fit = text
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    first_fits && all_fit && text.len() <= MAX_NAME_LENGTH
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        #[schemars(extend("format" = "name"))]
        pub struct $name(String);

        impl $name {
            /// Wraps a name without checking that it is valid.
            pub fn new(name: impl Into<String>) -> Self {
                Self(name.into())
            }

            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            Deserialize,
            Eq,
            Hash,
            JsonSchema,
            Ord,
            PartialEq,
            PartialOrd,
            Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

name_type! {
    /// Name of a VM that runs one of the system's processes.
    VmName
}
name_type! {
    /// Name of a place, that is, one failure domain.
    PlaceName
}
name_type! {
    /// Name of a region: several places with short network delays between them.
    RegionName
}
name_type! {
    /// Name of a service that callers request.
    ServiceName
}
name_type! {
    /// Name of a backend server, unique in its deployment.
    BackendName
}
name_type! {
    /// Name of a route in a route manifest.
    RouteName
}
name_type! {
    /// Name of a team, whose callers authenticate with a key.
    TeamName
}
name_type! {
    /// Name of a version of the software that backend servers run.
    VersionName
}

number_type! {
    /// Identifies one incarnation of a control replica's data folder. Chosen at random when the
    /// folder is formatted; after a folder is lost, its ID is never used again.
    ReplicaId
}
number_type! {
    /// Index of an entry in the replicated log, from 1. As a revision it denotes the state after
    /// that entry is applied.
    Revision
}
number_type! {
    /// Number of a Raft term of the control replicas.
    Term
}
number_type! {
    /// Identifies one session of an entry VM, and thereby one incarnation of its process. It is
    /// the revision that opened the session, and hence unique.
    SessionId
}
number_type! {
    /// Version number of a manifest; a higher version replaces a lower one.
    ManifestVersion
}

impl Revision {
    /// Returns the revision that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Identifies a cluster of control replicas; chosen at random by `control init`.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ClusterId(pub [u8; 16]);

impl fmt::Display for ClusterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

/// The BLAKE3 digest of some content.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ContentDigest(pub [u8; 32]);

impl ContentDigest {
    /// Computes the BLAKE3 digest of `content`.
    #[must_use]
    pub fn of(content: &[u8]) -> Self {
        Self(*blake3::hash(content).as_bytes())
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}
