//! Teams: who may ask, which requests go first, where they are served, and how many.

use std::fmt;
use std::sync::LazyLock;

use serde::Deserialize;
use serde::Serialize;

use crate::id::RegionName;

/// Separates the digests of keys from whatever else is hashed.
const KEY_CONTEXT: &str = "heatherring team key";

/// Bytes of a key's digest. Nobody finds a second key with the same 16 bytes.
const DIGEST_BYTES: usize = 16;

/// Holds a key by which callers prove that they belong to a team. It is shown nowhere: not by
/// `Debug`, and not in a message.
#[derive(Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct TeamKey(String);

impl TeamKey {
    /// Wraps a key.
    pub fn new(key: impl Into<String>) -> Self {
        Self(key.into())
    }

    /// Returns the key itself, for the operator who set it.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Returns the digest by which entry VMs know the key.
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

/// Stands for a key. Keys are looked up by it alone, so that the time of a comparison tells
/// nothing about the bytes of a key.
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

/// Holds one team as operators describe it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Team {
    /// The keys of its callers.
    pub keys: Vec<TeamKey>,
    /// Rank of its requests, before that of their routes; 0 goes first.
    pub priority: Option<u32>,
    /// Requests a second that it may have run; nothing or 0 sets no limit.
    pub rate: Option<f64>,
    /// Requests on top of that.
    pub burst: Option<f64>,
    /// Regions outside of which its requests may not be served; empty allows all.
    pub home_regions: Option<Vec<RegionName>>,
}

impl Team {
    /// Returns the limit of the team, if it has one.
    #[must_use]
    pub fn limit(&self) -> Option<TeamLimit> {
        let rate = self.rate.filter(|rate| *rate > 0.0)?;
        Some(TeamLimit {
            rate,
            burst: self.burst.unwrap_or(0.0),
        })
    }

    /// Returns what entry VMs are told of the team.
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

/// Bounds the requests of a team that run in any time `t`, over all entry VMs together, by
/// `rate * t + burst`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct TeamLimit {
    /// Requests a second.
    pub rate: f64,
    /// Requests on top.
    pub burst: f64,
}

/// Holds what entry VMs know of a team.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TeamRecord {
    /// The digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests, before that of their routes; 0 goes first.
    pub priority: Option<u32>,
    /// Its limit, if it has one.
    pub limit: Option<TeamLimit>,
    /// Regions outside of which its requests may not be served; empty allows all.
    pub home_regions: Vec<RegionName>,
}
