//! Identifiers as types of their own, so that one can't stand where another belongs.

use std::fmt;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Characters that a name may have.
pub const MAX_NAME_LENGTH: usize = 63;

/// Tells whether a text may serve as a name.
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
            /// Wraps a name.
            pub fn new(name: impl Into<String>) -> Self {
                Self(name.into())
            }

            /// Returns the name as text.
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
    /// Names a VM that runs one of the system's processes.
    VmName
}
name_type! {
    /// Names a place: one failure domain.
    PlaceName
}
name_type! {
    /// Names a region: several places with short delays among them.
    RegionName
}
name_type! {
    /// Names a service that callers ask for.
    ServiceName
}
name_type! {
    /// Names a backend server; unique in its deployment.
    BackendName
}
name_type! {
    /// Names a route of a route manifest.
    RouteName
}
name_type! {
    /// Names a team, whose callers prove by a key that they belong to it.
    TeamName
}

number_type! {
    /// Identifies one life of a control replica's data folder. Drawn at random when
    /// the folder is formatted; a folder that was lost never gets its old one back.
    ReplicaId
}
number_type! {
    /// Numbers the positions of the replicated log, from 1. Also called a revision
    /// where the state after applying that position is meant.
    Revision
}
number_type! {
    /// Numbers the terms of leadership among the control replicas.
    Term
}
number_type! {
    /// Identifies one session of an entry VM: the revision that opened it, hence
    /// unique, and the mark of one life of one process.
    SessionId
}
number_type! {
    /// Numbers the manifests of operators; a higher one replaces a lower one.
    ManifestVersion
}

impl Revision {
    /// Returns the revision after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Identifies a set of control replicas, drawn at random by `control init`.
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

/// Holds the BLAKE3 digest of a content.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ContentDigest(pub [u8; 32]);

impl ContentDigest {
    /// Computes the digest of `content`.
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
