//! Teams: their callers' keys, and the priority, regions and limits of their requests.

use std::fmt;
use std::sync::LazyLock;

use serde::Deserialize;
use serde::Serialize;

use crate::id::RegionName;

/// Domain separation between key digests and other hashes.
const KEY_CONTEXT: &str = "heatherring team key";

/// Length of a key's digest in bytes. It is infeasible to find a second key with the same 16 bytes.
const DIGEST_BYTES: usize = 16;

/// A key by which callers prove that they belong to a team. It is never displayed: `Debug` hides
/// it, and no message contains it.
#[derive(Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct TeamKey(String);

impl TeamKey {
    /// Wraps a key as an operator configured it.
    pub fn new(key: impl Into<String>) -> Self {
        Self(key.into())
    }

    /// Returns the key in plain text, for the operator who configured it.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Returns the digest by which entry VMs identify the key.
    #[must_use]
    pub fn digest(&self) -> KeyDigest {
        KeyDigest::of(self.0.as_bytes())
    }
}

impl fmt::Debug for TeamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TeamKey")
    }
}

/// Digest of a key. Keys are looked up by their digest only, so that the duration of a comparison
/// reveals nothing about the bytes of a key.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Hashes a key as a caller sends it.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        static HASHER: LazyLock<blake3::Hasher> =
            LazyLock::new(|| blake3::Hasher::new_derive_key(KEY_CONTEXT));
        let mut digest = [0; DIGEST_BYTES];
        HASHER.clone().update(key).finalize_xof().fill(&mut digest);
        Self(digest)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// A team as operators configure it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Keys of its callers.
    pub keys: Vec<TeamKey>,
    /// Priority of its requests, which takes precedence over their routes' priorities; 0 is the
    /// highest.
    pub priority: Option<u32>,
    /// Maximum rate in requests per second; `None` or 0 sets no limit.
    pub rate: Option<f64>,
    /// Number of requests that may exceed the rate; `None` stands for 0.
    pub burst: Option<f64>,
    /// Regions outside of which its requests may not be served; empty allows all.
    pub home_regions: Option<Vec<RegionName>>,
}

impl Team {
    /// Returns the team's limit; `None` if it is unlimited.
    #[must_use]
    pub fn limit(&self) -> Option<TeamLimit> {
        let rate = self.rate.filter(|rate| *rate > 0.0)?;
        Some(TeamLimit {
            rate,
            burst: self.burst.unwrap_or(0.0),
        })
    }

    /// Returns the part of the team that entry VMs receive.
    #[must_use]
    pub fn record(&self) -> TeamRecord {
        TeamRecord {
            keys: self.keys.iter().map(TeamKey::digest).collect(),
            priority: self.priority,
            limit: self.limit(),
            home_regions: self.home_regions.clone().unwrap_or_default(),
        }
    }
}

/// Limits the number of a team's requests that run within any time `t`, over all entry VMs, to
/// `rate * t + burst`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct TeamLimit {
    /// Maximum rate in requests per second.
    pub rate: f64,
    /// Number of requests that may exceed the rate.
    pub burst: f64,
}

/// A team as entry VMs know it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TeamRecord {
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests, which takes precedence over their routes' priorities; 0 is the
    /// highest.
    pub priority: Option<u32>,
    /// Its limit; `None` if it is unlimited.
    pub limit: Option<TeamLimit>,
    /// Regions outside of which its requests may not be served; empty allows all.
    pub home_regions: Vec<RegionName>,
}
