//! Deltas between two manifests, item by item.
//!
//! Most new manifests differ from the previous one in a few items, while the client blocks
//! alone may number millions. Control replicas therefore send entry VMs a delta, with the
//! digest of the manifest that must result.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

use crate::encoding;
use crate::encoding::EncodingError;
use crate::id::ContentDigest;
use crate::id::ManifestVersion;
use crate::id::PlaceName;
use crate::id::ServiceName;
use crate::list_delta::ListDelta;
use crate::list_delta::ListDeltaError;
use crate::manifest::ClientBlock;
use crate::manifest::Drain;
use crate::manifest::LinkLimit;
use crate::manifest::LookUps;
use crate::manifest::Manifest;
use crate::manifest::Place;
use crate::manifest::Service;
use crate::manifest::ShiftCap;

/// Format version of encoded deltas.
const DELTA_FORMAT: u8 = 1;

/// Format version of the encoded manifest that digests are computed of.
const MANIFEST_FORMAT: u8 = 1;

/// Reason why a delta could not be computed, decoded or applied.
#[derive(Debug, Snafu)]
pub enum DeltaError {
    /// Encoding or decoding failed.
    #[snafu(display("the manifest delta cannot be encoded or decoded"))]
    Encoding {
        /// Underlying encoding error.
        source: EncodingError,
    },
    /// The delta of a list does not fit the list that it is applied to.
    #[snafu(display("the manifest delta does not fit its base"))]
    List {
        /// Underlying error of the list delta.
        source: ListDeltaError,
    },
    /// The resulting manifest is not the target of the delta.
    #[snafu(display("the manifest delta produced digest {found} instead of {expected}"))]
    ResultDigest {
        /// Digest of the target manifest.
        expected: ContentDigest,
        /// Digest of the resulting manifest.
        found: ContentDigest,
    },
}

/// Differences between a base and a target manifest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ManifestDelta {
    version: ManifestVersion,
    deployment: Option<String>,
    places: MapDelta<PlaceName, Place>,
    services: MapDelta<ServiceName, Service>,
    shift_caps: ListDelta<ShiftCap>,
    links: ListDelta<LinkLimit>,
    drains: ListDelta<Drain>,
    client_blocks: ListDelta<ClientBlock>,
    look_ups: Option<LookUps>,
    result: ContentDigest,
}

impl ManifestDelta {
    /// Computes the delta that turns `base` into `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if `target` cannot be encoded to compute its digest.
    pub fn between(base: &Manifest, target: &Manifest) -> Result<Self, DeltaError> {
        // Destructured without `..`, so that a new field fails to compile until it is handled.
        let Manifest {
            version,
            deployment,
            places,
            services,
            shift_caps,
            links,
            drains,
            client_blocks,
            look_ups,
        } = target;
        Ok(Self {
            version: *version,
            deployment: changed(&base.deployment, deployment),
            places: MapDelta::between(&base.places, places),
            services: MapDelta::between(&base.services, services),
            shift_caps: ListDelta::between(&base.shift_caps, shift_caps),
            links: ListDelta::between(&base.links, links),
            drains: ListDelta::between(&base.drains, drains),
            client_blocks: ListDelta::between(&base.client_blocks, client_blocks),
            look_ups: changed(&base.look_ups, look_ups),
            result: manifest_digest(target)?,
        })
    }

    /// Applies the delta to `base`.
    ///
    /// # Errors
    ///
    /// Returns an error if the result is not the target manifest. This is the case for any base
    /// other than the one that the delta was computed from, unless the delta overwrites all
    /// items in which the two bases differ.
    pub fn apply(&self, base: &Manifest) -> Result<Manifest, DeltaError> {
        let result = Manifest {
            version: self.version,
            deployment: self.deployment.as_ref().unwrap_or(&base.deployment).clone(),
            places: self.places.apply(&base.places),
            services: self.services.apply(&base.services),
            shift_caps: self.shift_caps.apply(&base.shift_caps).context(ListSnafu)?,
            links: self.links.apply(&base.links).context(ListSnafu)?,
            drains: self.drains.apply(&base.drains).context(ListSnafu)?,
            client_blocks: self
                .client_blocks
                .apply(&base.client_blocks)
                .context(ListSnafu)?,
            look_ups: self.look_ups.unwrap_or(base.look_ups),
        };
        let found = manifest_digest(&result)?;
        ensure!(
            found == self.result,
            ResultDigestSnafu {
                expected: self.result,
                found
            }
        );
        Ok(result)
    }

    /// Encodes the delta for the wire.
    ///
    /// # Errors
    ///
    /// Returns an error if serialization fails.
    pub fn encode(&self) -> Result<Vec<u8>, DeltaError> {
        encoding::encode(DELTA_FORMAT, self).context(EncodingSnafu)
    }

    /// Decodes a delta.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a delta in a known format.
    pub fn decode(encoded: &[u8]) -> Result<Self, DeltaError> {
        encoding::decode(DELTA_FORMAT, encoded).context(EncodingSnafu)
    }
}

/// Encodes a whole manifest, to compute its digest and to compare its size with that of a delta.
///
/// # Errors
///
/// Returns an error if serialization fails.
pub fn encode_manifest(manifest: &Manifest) -> Result<Vec<u8>, DeltaError> {
    encoding::encode(MANIFEST_FORMAT, manifest).context(EncodingSnafu)
}

fn manifest_digest(manifest: &Manifest) -> Result<ContentDigest, DeltaError> {
    Ok(ContentDigest::of(&encode_manifest(manifest)?))
}

fn changed<T: Clone + PartialEq>(base: &T, target: &T) -> Option<T> {
    (base != target).then(|| target.clone())
}

/// Differences between two maps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct MapDelta<K: Ord, V> {
    removed: Vec<K>,
    set: BTreeMap<K, V>,
}

impl<K: Clone + Ord, V: Clone + PartialEq> MapDelta<K, V> {
    fn between(base: &BTreeMap<K, V>, target: &BTreeMap<K, V>) -> Self {
        let removed = base
            .keys()
            .filter(|key| !target.contains_key(key))
            .cloned()
            .collect();
        let set = target
            .iter()
            .filter(|(key, value)| base.get(key) != Some(value))
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect();
        Self { removed, set }
    }

    fn apply(&self, base: &BTreeMap<K, V>) -> BTreeMap<K, V> {
        let mut result = base.clone();
        for key in &self.removed {
            result.remove(key);
        }
        result.extend(self.set.clone());
        result
    }
}
