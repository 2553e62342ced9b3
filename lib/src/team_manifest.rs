//! The part of a manifest that says who may ask, and what a change makes of it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::home_regions;
use crate::id::ContentDigest;
use crate::id::RouteName;
use crate::id::TeamName;
use crate::route_manifest::RouteChange;
use crate::route_manifest::RouteContent;
use crate::route_manifest::RouteManifest;
use crate::team::Team;

/// Holds the teams of a manifest. With one in force, requests need a key, also if no team is
/// left in it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TeamManifest {
    /// The teams.
    pub teams: BTreeMap<TeamName, Arc<Team>>,
    /// Routes whose requests need no key.
    pub public_routes: BTreeSet<RouteName>,
}

/// Holds a whole manifest.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FleetManifest {
    /// Which requests go to which services.
    pub routes: RouteManifest,
    /// Who may ask; without it, anybody.
    pub teams: Option<TeamManifest>,
}

/// Says what a change makes of the teams. Of a change of the whole manifest it is all of them,
/// of a patch those that change.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TeamChange {
    /// Teams to add or to replace.
    pub teams: BTreeMap<TeamName, Arc<Team>>,
    /// Those of the changed routes whose requests need no key; those of the other changed
    /// routes do.
    #[serde(default)]
    pub public_routes: BTreeSet<RouteName>,
    /// Teams to remove.
    #[serde(default)]
    pub removed_teams: Vec<TeamName>,
}

/// Holds a change that an operator asks for; in JSON, the teams stand beside the fields of the
/// routes' part.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct FleetChange {
    /// What it makes of the routes and services.
    #[serde(flatten)]
    pub routes: RouteChange,
    /// What it makes of the teams, if it names any.
    #[serde(default)]
    pub teams: Option<TeamChange>,
}

/// Shows a change, however it is held.
#[derive(Clone, Copy, Debug)]
pub struct ChangeView<'a> {
    /// What it makes of the routes and services.
    pub routes: &'a RouteChange,
    /// What it makes of the teams, if it names any.
    pub teams: Option<&'a TeamChange>,
}

impl<'a> From<&'a RouteChange> for ChangeView<'a> {
    fn from(routes: &'a RouteChange) -> Self {
        Self {
            routes,
            teams: None,
        }
    }
}

impl<'a> From<&'a FleetChange> for ChangeView<'a> {
    fn from(change: &'a FleetChange) -> Self {
        Self {
            routes: &change.routes,
            teams: change.teams.as_ref(),
        }
    }
}

impl ChangeView<'_> {
    /// Returns the digest of the change, by which a resend is recognized.
    #[must_use]
    pub fn digest(self) -> ContentDigest {
        let routes = self.routes.digest();
        let Some(teams) = self.teams else {
            return routes;
        };
        // Maps of this type encode without fail.
        let mut content = postcard::to_stdvec(teams).unwrap_or_default();
        content.extend_from_slice(&routes.0);
        ContentDigest::of(&content)
    }

    /// Returns the teams after the change.
    #[must_use]
    pub fn teams_after(self, present: Option<&TeamManifest>) -> Option<TeamManifest> {
        let (mut after, changed_routes) = match &self.routes.content {
            RouteContent::Whole { .. } => (None, None),
            RouteContent::Patch(patch) => (present.cloned(), Some(patch)),
        };
        if self.teams.is_some() {
            after.get_or_insert_default();
        }
        let manifest = after.as_mut()?;
        if let Some(patch) = changed_routes {
            let replaced = patch.routes.keys().chain(&patch.removed_routes);
            for route in replaced {
                manifest.public_routes.remove(route);
            }
        }
        if let Some(change) = self.teams {
            for name in &change.removed_teams {
                manifest.teams.remove(name);
            }
            for (name, team) in &change.teams {
                manifest.teams.insert(name.clone(), Arc::clone(team));
            }
            let public = change.public_routes.iter().cloned();
            manifest.public_routes.extend(public);
        }
        after
    }
}

impl TeamManifest {
    /// Returns the teams that can't be served on one of `routes`, since no region is home to both.
    pub fn without_common_home<'a>(
        &'a self,
        routes: &'a RouteManifest,
    ) -> impl Iterator<Item = (&'a TeamName, &'a RouteName)> {
        let teams = self.teams.iter();
        let homed = teams.filter_map(|(name, team)| {
            let own = team.home_regions.as_deref().unwrap_or_default();
            (!own.is_empty()).then_some((name, own))
        });
        homed.flat_map(move |(name, own)| {
            let routes = routes.routes.iter();
            let apart = routes.filter(move |(_, route)| {
                home_regions::intersection(own, &route.home_regions).is_none()
            });
            apart.map(move |(route, _)| (name, route))
        })
    }
}
