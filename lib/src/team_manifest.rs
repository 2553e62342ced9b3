//! Teams and public routes of a manifest, and changes of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::home_regions;
use crate::id::ContentDigest;
use crate::id::ManifestVersion;
use crate::id::RouteName;
use crate::id::TeamName;
use crate::route_manifest::RouteChange;
use crate::route_manifest::RouteContent;
use crate::route_manifest::RouteManifest;
use crate::team::Team;
use crate::unique_map;

/// The teams of a manifest. While there is a team manifest, requests need a key, even if it
/// contains no team.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TeamManifest {
    /// Teams by name.
    pub teams: BTreeMap<TeamName, Arc<Team>>,
    /// Routes whose requests need no key.
    pub public_routes: BTreeSet<RouteName>,
}

/// A complete manifest.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FleetManifest {
    /// Routes and services.
    pub routes: RouteManifest,
    /// Teams; `None` if requests need no key.
    pub teams: Option<TeamManifest>,
    /// Routes whose answers are large.
    pub bulk_routes: BTreeSet<RouteName>,
}

/// Change of the teams. A change of the whole manifest lists all teams, a patch lists only those
/// that change.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamChange {
    /// Teams to add or to replace.
    #[serde(deserialize_with = "unique_map::deserialize")]
    pub teams: BTreeMap<TeamName, Arc<Team>>,
    /// Those of the changed routes whose requests need no key. Requests on the other changed routes
    /// need one.
    #[serde(default)]
    pub public_routes: BTreeSet<RouteName>,
    /// Teams to remove.
    #[serde(default)]
    pub removed_teams: Vec<TeamName>,
}

/// A change that an operator requests. In JSON, the teams are next to the fields of the change of
/// routes.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(from = "FleetChangeBody")]
pub struct FleetChange {
    /// Change of the routes and services.
    pub routes: RouteChange,
    /// Change of the teams; `None` if they stay as they are.
    pub teams: Option<TeamChange>,
    /// Those of the changed routes whose answers are large.
    pub bulk_routes: BTreeSet<RouteName>,
}

/// A change in JSON. A flattened change of routes couldn't refuse unknown fields.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetChangeBody {
    version: ManifestVersion,
    base: ManifestVersion,
    content: RouteContent,
    #[serde(default)]
    teams: Option<TeamChange>,
    #[serde(default)]
    bulk_routes: BTreeSet<RouteName>,
}

impl From<FleetChangeBody> for FleetChange {
    fn from(body: FleetChangeBody) -> Self {
        Self {
            routes: RouteChange {
                version: body.version,
                base: body.base,
                content: body.content,
            },
            teams: body.teams,
            bulk_routes: body.bulk_routes,
        }
    }
}

/// A borrowed change, regardless of how it is stored.
#[derive(Clone, Copy, Debug)]
pub struct ChangeView<'a> {
    /// Change of the routes and services.
    pub routes: &'a RouteChange,
    /// Change of the teams; `None` if they stay as they are.
    pub teams: Option<&'a TeamChange>,
    /// Those of the changed routes whose answers are large.
    pub bulk_routes: &'a BTreeSet<RouteName>,
}

/// The bulk routes of a change that names none.
pub(crate) const NO_BULK_ROUTES: &BTreeSet<RouteName> = &BTreeSet::new();

impl<'a> From<&'a RouteChange> for ChangeView<'a> {
    fn from(routes: &'a RouteChange) -> Self {
        Self {
            routes,
            teams: None,
            bulk_routes: NO_BULK_ROUTES,
        }
    }
}

impl<'a> From<&'a FleetChange> for ChangeView<'a> {
    fn from(change: &'a FleetChange) -> Self {
        Self {
            routes: &change.routes,
            teams: change.teams.as_ref(),
            bulk_routes: &change.bulk_routes,
        }
    }
}

impl ChangeView<'_> {
    /// Returns the digest of the change, by which a resend is recognized.
    #[must_use]
    pub fn digest(self) -> ContentDigest {
        // Encoding these maps cannot fail.
        let mut digest = self.routes.digest();
        if let Some(teams) = self.teams {
            digest = with_part(&digest, teams);
        }
        if !self.bulk_routes.is_empty() {
            digest = with_part(&digest, self.bulk_routes);
        }
        digest
    }

    /// Returns the bulk routes that result from applying the change to `present`.
    #[must_use]
    pub fn bulk_routes_after(self, present: &BTreeSet<RouteName>) -> BTreeSet<RouteName> {
        let mut after = self.bulk_routes.clone();
        if let RouteContent::Patch(patch) = &self.routes.content {
            let is_kept = |name: &&RouteName| {
                !patch.routes.contains_key(*name) && !patch.removed_routes.contains(name)
            };
            after.extend(present.iter().filter(is_kept).cloned());
        }
        after
    }

    /// Returns the teams that result from applying the change to `present`; `None` if requests need
    /// no key afterwards.
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
    /// Returns each team that cannot be served on one of `routes`, with that route, because the two
    /// have no home region in common.
    pub fn without_common_home<'a>(
        &'a self,
        routes: &'a RouteManifest,
    ) -> impl Iterator<Item = (&'a TeamName, &'a RouteName)> {
        let teams = self.teams.iter();
        let with_homes = teams.filter_map(|(name, team)| {
            let own = team.home_regions.as_deref().unwrap_or_default();
            (!own.is_empty()).then_some((name, own))
        });
        with_homes.flat_map(move |(name, own)| {
            let routes = routes.routes.iter();
            let without_overlap = routes.filter(move |(_, route)| {
                home_regions::intersection(own, &route.home_regions).is_none()
            });
            without_overlap.map(move |(route, _)| (name, route))
        })
    }
}

/// Returns the digest of a further part and of what `digest` covers.
fn with_part(digest: &ContentDigest, part: &impl Serialize) -> ContentDigest {
    let mut content = postcard::to_stdvec(part).unwrap_or_default();
    content.extend_from_slice(&digest.0);
    ContentDigest::of(&content)
}
