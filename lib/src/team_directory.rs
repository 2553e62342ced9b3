//! Who is asking: the teams as an entry VM knows them.

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

/// Holds what changed of the teams, or all of them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TeamUpdate {
    /// Whether requests need a key.
    pub keyed: bool,
    /// New and changed teams.
    pub teams: Vec<(TeamName, Arc<TeamRecord>)>,
    /// All routes whose requests need no key, if these changed.
    pub public_routes: Option<BTreeSet<RouteName>>,
}

/// Knows the teams and whose key is whose.
#[derive(Clone, Debug, Default)]
pub struct TeamDirectory {
    keyed: bool,
    teams: BTreeMap<TeamName, Arc<TeamRecord>>,
    by_key: HashMap<KeyDigest, TeamName>,
    public_routes: BTreeSet<RouteName>,
}

/// Says who a caller is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerIdentity<'a> {
    /// Nobody needs to be known.
    Anybody,
    /// The caller of a team.
    Team(&'a TeamName),
    /// The route needs a key, and there is none.
    Missing,
    /// No team has the key.
    Unknown,
}

impl TeamDirectory {
    /// Returns whether requests need a key, those on public routes aside.
    #[must_use]
    pub const fn requires_keys(&self) -> bool {
        self.keyed
    }

    /// Says who sends a request on `route` with `key`. A key that some team has names it on
    /// public routes, too.
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

    /// Returns what is known of a team.
    #[must_use]
    pub fn team(&self, name: &TeamName) -> Option<&Arc<TeamRecord>> {
        self.teams.get(name)
    }

    /// Returns all teams.
    pub fn teams(&self) -> impl Iterator<Item = (&TeamName, &Arc<TeamRecord>)> {
        self.teams.iter()
    }

    /// Takes an update over; `removed` teams were removed before.
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
