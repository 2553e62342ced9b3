//! Selection of the entry VMs that a look-up of direct dispatch returns to a caller.

use std::net::SocketAddr;

use crate::fleet_record::EntryRecord;
use crate::id::RegionName;
use crate::route_manifest::Route;

/// Maximum number of entry VMs in one answer.
pub const MAX_ADDRESSES: usize = 64;

/// Selects entry VMs for a caller in `region` from those that accept requests.
///
/// Entry VMs in the caller's region are preferred, because any other adds a round trip to
/// another region to each request. If there are none, those in the request's home regions are
/// returned, because its body must not be stored in any other region; if there are none there,
/// all entry VMs.
#[must_use]
pub fn pick<'a>(
    live: impl Iterator<Item = &'a EntryRecord>,
    region: &RegionName,
    homes: &[RegionName],
) -> Vec<SocketAddr> {
    let live: Vec<&EntryRecord> = live.collect();
    let in_region: Vec<SocketAddr> = addresses(&live, |entry| entry.region == *region);
    if !in_region.is_empty() {
        return in_region;
    }
    let in_home_regions = addresses(&live, |entry| homes.contains(&entry.region));
    if !in_home_regions.is_empty() {
        return in_home_regions;
    }
    addresses(&live, |_| true)
}

/// Returns the home regions of a host: those of its first route that has any; empty if none has.
#[must_use]
pub fn homes<'a>(routes: impl Iterator<Item = &'a Route>, host: &str) -> &'a [RegionName] {
    routes
        .filter(|route| route.host == host)
        .map(|route| route.home_regions.as_slice())
        .find(|homes| !homes.is_empty())
        .unwrap_or_default()
}

fn addresses(live: &[&EntryRecord], predicate: impl Fn(&EntryRecord) -> bool) -> Vec<SocketAddr> {
    live.iter()
        .filter(|entry| predicate(entry))
        .map(|entry| entry.callers)
        .take(MAX_ADDRESSES)
        .collect()
}
