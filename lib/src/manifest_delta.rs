//! The difference of two manifests, item by item.
//!
//! Most new manifests differ from the one before in a few items, while the client
//! blocks alone may be millions. Control therefore sends entry VMs what differs, and
//! the digest of what must result.

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

/// Numbers the encoding of deltas.
const DELTA_FORMAT: u8 = 1;

/// Numbers the encoding of a manifest under its digest.
const MANIFEST_FORMAT: u8 = 1;

/// Tells why a delta couldn't be made, read or applied.
#[derive(Debug, Snafu)]
pub enum DeltaError {
    /// Encoding or decoding failed.
    #[snafu(display("the manifest delta can't be encoded or decoded"))]
    Encoding {
        /// The cause.
        source: EncodingError,
    },
    /// A list's part doesn't fit the list that it is applied to.
    #[snafu(display("the manifest delta doesn't fit its base"))]
    List {
        /// The cause.
        source: ListDeltaError,
    },
    /// The result isn't the manifest that the delta was made for.
    #[snafu(display("the manifest delta gave {found} instead of {expected}"))]
    ResultDigest {
        /// Digest of the manifest that the delta was made for.
        expected: ContentDigest,
        /// Digest of what resulted.
        found: ContentDigest,
    },
}

/// Holds what differs between two manifests.
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
    /// Computes what turns `base` into `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if `target` can't be encoded for its digest.
    pub fn between(base: &Manifest, target: &Manifest) -> Result<Self, DeltaError> {
        // Taken apart without `..`, so that a new field can't be forgotten here.
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

    /// Applies the difference to `base`.
    ///
    /// # Errors
    ///
    /// Returns an error if the result isn't the manifest that the delta was made for;
    /// that is so whenever `base` isn't the manifest that it was made from, unless what
    /// differs is overwritten anyway.
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
    /// Returns an error if the bytes aren't a delta of a known format.
    pub fn decode(encoded: &[u8]) -> Result<Self, DeltaError> {
        encoding::decode(DELTA_FORMAT, encoded).context(EncodingSnafu)
    }
}

/// Encodes a whole manifest, for its digest and to compare sizes.
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

/// Holds what differs between two maps.
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
