//! What control knows of a sample entry VM.

use std::net::SocketAddr;

use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::VmName;
use heatherring_lib::view::EntryInfo;

/// Returns an entry VM whose listeners nobody calls.
pub fn entry_info(vm: &str, place: &str, region: &str) -> EntryInfo {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    EntryInfo {
        vm: VmName::new(vm),
        place: PlaceName::new(place),
        region: RegionName::new(region),
        callers: nowhere,
        backend_servers: nowhere,
        peers: nowhere,
        forward: nowhere,
    }
}
