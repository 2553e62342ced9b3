//! Finds the place of a caller by its address.

use std::net::IpAddr;

use heatherring_lib::id::PlaceName;
use heatherring_lib::manifest::ClientBlock;
use heatherring_lib::manifest::Manifest;

/// Returns the place of the longest block that holds `peer`.
#[must_use]
pub fn find(manifest: &Manifest, peer: IpAddr) -> Option<PlaceName> {
    manifest
        .client_blocks
        .iter()
        .filter(|block| holds(block, peer))
        .max_by_key(|block| block.block.length)
        .map(|block| block.place.clone())
}

fn holds(block: &ClientBlock, peer: IpAddr) -> bool {
    let (first, address, width) = match (block.block.address, peer) {
        (IpAddr::V4(first), IpAddr::V4(address)) => {
            (first.to_bits().into(), address.to_bits().into(), 32)
        }
        (IpAddr::V6(first), IpAddr::V6(address)) => (first.to_bits(), address.to_bits(), 128),
        _ => return false,
    };
    let beyond: u32 = width - u32::from(block.block.length);
    let differing: u128 = first ^ address;
    differing.checked_shr(beyond).unwrap_or(0) == 0
}

/// Returns a number that spreads callers evenly, the same in all processes.
#[must_use]
pub fn digest(peer: IpAddr) -> u64 {
    let hash = match peer {
        IpAddr::V4(address) => blake3::hash(&address.octets()),
        IpAddr::V6(address) => blake3::hash(&address.octets()),
    };
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}
