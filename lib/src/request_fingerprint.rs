//! Names a request by what its caller sends, so that it is known when it comes again.

use std::fmt;
use std::net::IpAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::ClusterId;
use crate::rendezvous;

/// Separates keys of fingerprints from whatever else is derived from a cluster's identity.
const KEY_CONTEXT: &str = "heatherring request fingerprint";

/// Bytes of a fingerprint. Nobody finds two requests with the same 16 bytes by chance.
const BYTES: usize = 16;

/// Names the content of a request. It is the same at each entry VM and for each try.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint([u8; BYTES]);

/// Names where a request comes from.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CallerTag(u64);

/// Names a request as far as it can be told from others.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestTag {
    /// What is sent.
    pub content: Fingerprint,
    /// Who sends it.
    pub caller: CallerTag,
}

/// Keeps callers from finding out the fingerprints of others: the identity of a cluster is
/// drawn at random and told to none of them.
#[derive(Clone, Copy, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FingerprintKey([u8; 32]);

/// Holds what makes two requests the same. Neither the identifier of a try nor its deadline is
/// part of it.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The method.
    pub method: &'a str,
    /// The host, in lower case.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

impl FingerprintKey {
    /// Returns the key that all entry VMs of a cluster use.
    #[must_use]
    pub fn of_cluster(cluster: ClusterId) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, &cluster.0))
    }

    /// Returns the key that another process sent; nothing if it isn't one.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the key as it is sent.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for FingerprintKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FingerprintKey")
    }
}

impl Fingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn of(key: &FingerprintKey, content: &RequestContent<'_>) -> Self {
        let mut hasher = blake3::Hasher::new_keyed(&key.0);
        let fields = [
            content.method.as_bytes(),
            content.host.as_bytes(),
            content.path.as_bytes(),
            content.body,
        ];
        for field in fields {
            // With its length first, no field can be taken for the end of another.
            hasher.update(&field.len().to_le_bytes());
            hasher.update(field);
        }
        let mut bytes = [0; BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }

    /// Reads a fingerprint as it is displayed.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok()?;
        (is_hex && text.len() == 2 * BYTES).then(|| Self(number.to_be_bytes()))
    }
}

impl CallerTag {
    /// Returns the tag of whoever connects from `address`.
    #[must_use]
    pub fn of(key: &FingerprintKey, address: IpAddr) -> Self {
        let address = match address {
            IpAddr::V4(address) => address.to_ipv6_mapped(),
            IpAddr::V6(address) => address,
        };
        let hash = blake3::keyed_hash(&key.0, &address.octets());
        Self(rendezvous::leading_number(&hash))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}
