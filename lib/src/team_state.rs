//! The teams in the replicated state of direct dispatch.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet_state::restamp;
use crate::id::Revision;
use crate::id::TeamName;
use crate::team_directory::TeamUpdate;
use crate::team_manifest::TeamManifest;

/// Holds the teams, and when each was changed last.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct TeamState {
    manifest: Option<TeamManifest>,
    stamps: BTreeMap<TeamName, Revision>,
    /// When anything of them was changed last.
    changed: Revision,
}

impl TeamState {
    /// Returns the teams; nothing if requests need no key.
    pub const fn manifest(&self) -> Option<&TeamManifest> {
        self.manifest.as_ref()
    }

    /// Takes other teams over; returns those that are gone.
    pub fn accept(&mut self, index: Revision, manifest: Option<TeamManifest>) -> Vec<TeamName> {
        let before = std::mem::replace(&mut self.manifest, manifest).unwrap_or_default();
        let none = BTreeMap::new();
        let now = self.manifest.as_ref();
        let now = now.map_or(&none, |manifest| &manifest.teams);
        self.changed = index;
        restamp(index, &mut self.stamps, &before.teams, now)
    }

    /// Returns what changed after `since`, if anything did.
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
