//! Teams in the replicated state of direct dispatch.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet_state::restamp;
use crate::id::Revision;
use crate::id::TeamName;
use crate::team_directory::TeamUpdate;
use crate::team_manifest::TeamManifest;

/// The teams, and the log index at which each was last changed.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct TeamState {
    manifest: Option<TeamManifest>,
    stamps: BTreeMap<TeamName, Revision>,
    /// Log index of the last change of any team or public route.
    changed: Revision,
}

impl TeamState {
    /// Returns the teams; `None` if requests need no key.
    pub const fn manifest(&self) -> Option<&TeamManifest> {
        self.manifest.as_ref()
    }

    /// Replaces the teams at log index `index`; returns the teams that were removed.
    pub fn accept(&mut self, index: Revision, manifest: Option<TeamManifest>) -> Vec<TeamName> {
        let before = std::mem::replace(&mut self.manifest, manifest).unwrap_or_default();
        let none = BTreeMap::new();
        let now = self.manifest.as_ref();
        let now = now.map_or(&none, |manifest| &manifest.teams);
        self.changed = index;
        restamp(index, &mut self.stamps, &before.teams, now)
    }

    /// Returns the update for an entry VM that knows the teams as of `since`, or `None` if nothing
    /// changed since then.
    pub fn update_from(&self, since: Revision) -> Option<TeamUpdate> {
        if self.changed <= since {
            return None;
        }
        let Some(manifest) = &self.manifest else {
            return Some(TeamUpdate::default());
        };
        let teams = manifest.teams.iter();
        let changed = teams.filter(|(name, _)| {
            let stamp = self.stamps.get(*name);
            stamp.is_some_and(|stamp| *stamp > since)
        });
        Some(TeamUpdate {
            keyed: true,
            teams: changed
                .map(|(name, team)| (name.clone(), Arc::new(team.record())))
                .collect(),
            public_routes: Some(manifest.public_routes.clone()),
        })
    }
}
