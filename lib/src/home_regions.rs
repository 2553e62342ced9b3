//! Which regions a request may be served in.

use std::borrow::Cow;

use crate::id::RegionName;

/// Returns the regions that a team's and a route's homes allow together; empty allows all.
/// Nothing is returned where no region is home to both.
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
