//! Sample description of an entry VM, as known to control replicas.

use std::net::SocketAddr;

use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::VmName;
use heatherring_lib::view::EntryInfo;

/// Returns an entry VM whose addresses are placeholders that no test connects to.
pub fn entry_info(vm: &str, place: &str, region: &str) -> EntryInfo {
    let placeholder = SocketAddr::from(([127, 0, 0, 1], 1));
    EntryInfo {
        vm: VmName::new(vm),
        place: PlaceName::new(place),
        region: RegionName::new(region),
        callers: placeholder,
        backend_servers: placeholder,
        peers: placeholder,
        forward: placeholder,
    }
}
