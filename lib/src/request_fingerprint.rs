//! Fingerprints that identify a request by its content, so that it is recognized when it is sent
//! again.

use std::fmt;
use std::net::IpAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::ClusterId;
use crate::rendezvous;

/// Domain separation between fingerprint keys and other values that are derived from a cluster's
/// identity.
const KEY_CONTEXT: &str = "heatherring request fingerprint";

/// Length of a fingerprint in bytes. Two different requests do not have the same 16 bytes by
/// chance.
const BYTES: usize = 16;

/// Identifies the content of a request. It is the same at every entry VM and for every try.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint([u8; BYTES]);

/// Identifies the address that a request comes from.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CallerTag(u64);

/// Identifies a request by its content and its caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestTag {
    /// Content of the request.
    pub content: Fingerprint,
    /// Address of the caller.
    pub caller: CallerTag,
}

/// Key of the fingerprint hash. It prevents callers from computing the fingerprints of others'
/// requests: the cluster identity is random and is not disclosed to callers.
#[derive(Clone, Copy, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FingerprintKey([u8; 32]);

/// The parts of a request that must be equal for two requests to be the same. Neither the
/// identifier of a try nor its deadline is included.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host, in lower case.
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

    /// Returns the key that another process sent; `None` if the length is wrong.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the key in the form in which it is sent.
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
            // The length prefix keeps bytes of one field from being taken for part of the next.
            hasher.update(&field.len().to_le_bytes());
            hasher.update(field);
        }
        let mut bytes = [0; BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }

    /// Parses a fingerprint in the form in which it is displayed.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok()?;
        (is_hex && text.len() == 2 * BYTES).then(|| Self(number.to_be_bytes()))
    }
}

impl CallerTag {
    /// Returns the tag of the caller that connects from `address`. An IPv4 address and its
    /// IPv6-mapped form have the same tag.
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
