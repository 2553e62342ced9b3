//! Directory of the teams on an entry VM, used to identify callers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::id::RouteName;
use crate::id::TeamName;
use crate::team::KeyDigest;
use crate::team::TeamRecord;

/// An update of the teams: those that changed, or all of them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TeamUpdate {
    /// Whether requests need a key.
    pub keyed: bool,
    /// New and changed teams.
    pub teams: Vec<(TeamName, Arc<TeamRecord>)>,
    /// All routes whose requests need no key; `None` if unchanged.
    pub public_routes: Option<BTreeSet<RouteName>>,
}

/// The teams known to an entry VM, and the team of each key.
#[derive(Clone, Debug, Default)]
pub struct TeamDirectory {
    keyed: bool,
    teams: BTreeMap<TeamName, Arc<TeamRecord>>,
    by_key: HashMap<KeyDigest, TeamName>,
    public_routes: BTreeSet<RouteName>,
}

/// Identity of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerIdentity<'a> {
    /// The request needs no key, and the caller sent none that is known.
    Anybody,
    /// The caller belongs to this team.
    Team(&'a TeamName),
    /// The route needs a key, but the request has none.
    Missing,
    /// The route needs a key, and the request's key belongs to no team.
    Unknown,
}

impl TeamDirectory {
    /// Returns whether requests need a key, except on public routes.
    #[must_use]
    pub const fn requires_keys(&self) -> bool {
        self.keyed
    }

    /// Identifies the sender of a request on `route` with `key`. A key that belongs to a team
    /// identifies the team on public routes as well.
    #[must_use]
    pub fn identify(&self, route: &RouteName, key: Option<KeyDigest>) -> CallerIdentity<'_> {
        if !self.keyed {
            return CallerIdentity::Anybody;
        }
        let team = key.and_then(|key| self.by_key.get(&key));
        match (team, key) {
            (Some(team), _) => CallerIdentity::Team(team),
            _ if self.public_routes.contains(route) => CallerIdentity::Anybody,
            (None, None) => CallerIdentity::Missing,
            (None, Some(_)) => CallerIdentity::Unknown,
        }
    }

    /// Returns a team's record, or `None` if there is no such team.
    #[must_use]
    pub fn team(&self, name: &TeamName) -> Option<&Arc<TeamRecord>> {
        self.teams.get(name)
    }

    /// Returns all teams in order of their names.
    pub fn teams(&self) -> impl Iterator<Item = (&TeamName, &Arc<TeamRecord>)> {
        self.teams.iter()
    }

    /// Returns the directory after an update. The teams in `removed` are removed before the update
    /// is applied.
    #[must_use]
    pub fn updated(&self, update: &TeamUpdate, removed: &[&TeamName]) -> Self {
        let mut teams = self.teams.clone();
        for name in removed {
            teams.remove(*name);
        }
        teams.extend(update.teams.iter().cloned());
        let by_key = teams
            .iter()
            .flat_map(|(name, team)| team.keys.iter().map(|key| (*key, name.clone())))
            .collect();
        let public_routes = update.public_routes.as_ref();
        Self {
            keyed: update.keyed,
            by_key,
            public_routes: public_routes.unwrap_or(&self.public_routes).clone(),
            teams,
        }
    }
}
