//! Regions in which a request may be served.

use std::borrow::Cow;

use crate::id::RegionName;

/// Returns the regions that the home regions of both a team and a route allow. An empty list,
/// given or returned, allows all regions. Returns `None` if no region is allowed by both.
#[must_use]
pub fn intersection<'a>(
    team: &'a [RegionName],
    route: &'a [RegionName],
) -> Option<Cow<'a, [RegionName]>> {
    if team.is_empty() {
        return Some(Cow::Borrowed(route));
    }
    if route.is_empty() {
        return Some(Cow::Borrowed(team));
    }
    let both: Vec<RegionName> = team
        .iter()
        .filter(|region| route.contains(region))
        .cloned()
        .collect();
    (!both.is_empty()).then_some(Cow::Owned(both))
}
