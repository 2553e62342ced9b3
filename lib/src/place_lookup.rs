//! Which entry VMs a caller is told to use.

use std::net::SocketAddr;

use crate::fleet_record::EntryRecord;
use crate::id::RegionName;
use crate::route_manifest::Route;

/// Entry VMs that one answer names at most.
pub const MAX_NAMED: usize = 64;

/// Picks the entry VMs for a caller in `region`, out of those that take requests.
///
/// Those of the caller's own region come first: any other costs each request a way to
/// another region and back. Without one there, those in the request's home regions do,
/// since a body may not lie anywhere else; without homes, all others.
#[must_use]
pub fn pick<'a>(
    live: impl Iterator<Item = &'a EntryRecord>,
    region: &RegionName,
    homes: &[RegionName],
) -> Vec<SocketAddr> {
    let live: Vec<&EntryRecord> = live.collect();
    let own: Vec<SocketAddr> = addresses(&live, |entry| entry.region == *region);
    if !own.is_empty() {
        return own;
    }
    let at_home = addresses(&live, |entry| homes.contains(&entry.region));
    if !at_home.is_empty() {
        return at_home;
    }
    addresses(&live, |_| true)
}

/// Returns the home regions of a host: those of the first of its routes that has any.
#[must_use]
pub fn homes<'a>(routes: impl Iterator<Item = &'a Route>, host: &str) -> &'a [RegionName] {
    routes
        .filter(|route| route.host == host)
        .map(|route| route.home_regions.as_slice())
        .find(|homes| !homes.is_empty())
        .unwrap_or_default()
}

fn addresses(live: &[&EntryRecord], fits: impl Fn(&EntryRecord) -> bool) -> Vec<SocketAddr> {
    live.iter()
        .filter(|entry| fits(entry))
        .map(|entry| entry.callers)
        .take(MAX_NAMED)
        .collect()
}
