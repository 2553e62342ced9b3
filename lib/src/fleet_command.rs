//! The commands of the replicated log that direct dispatch goes by.

use serde::Deserialize;
use serde::Serialize;

use crate::fleet_record::BackendChange;
use crate::fleet_record::BackendIncarnation;
use crate::fleet_record::EntryRecord;
use crate::fleet_state::FleetState;
use crate::fleet_state::RouteAnswer;
use crate::id::PlaceName;
use crate::id::Revision;
use crate::id::VmName;
use crate::quarantine::SuspectNote;
use crate::request_fingerprint::Fingerprint;
use crate::route_manifest::RouteChange;
use crate::team_manifest::ChangeView;
use crate::team_manifest::FleetChange;
use crate::team_manifest::TeamChange;

/// Tells what is to be done.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FleetCommand {
    /// Changes the route manifest.
    ChangeRoutes(RouteChange),
    /// Evacuates a place, or takes it back into use.
    SetEvacuated {
        /// The place.
        place: PlaceName,
        /// Whether nothing may be sent there from now on.
        evacuated: bool,
    },
    /// Takes announcements of backend servers in.
    Announce(Vec<BackendChange>),
    /// Removes a backend server that says that it is gone.
    Withdraw(BackendIncarnation),
    /// Removes backend servers that haven't been heard of for long.
    ForgetBackends(Vec<BackendIncarnation>),
    /// Takes an entry VM in, or its next life.
    EnrollEntry {
        /// The entry VM.
        vm: VmName,
        /// Where it is.
        record: EntryRecord,
    },
    /// Removes an entry VM that hasn't been heard of for long.
    ForgetEntry {
        /// The entry VM.
        vm: VmName,
        /// The life that wasn't heard of.
        life: u64,
    },
    /// Takes in what entry VMs saw of requests that may end backend servers.
    NoteSuspects(Vec<SuspectNote>),
    /// Lets suspected requests go one step, unless they were heard of later than at the
    /// positions named.
    ReleaseSuspects(Vec<(Fingerprint, Revision)>),
    /// Forgets a suspected request by order of an operator.
    LiftSuspect(Fingerprint),
    /// Changes the manifest, its teams among the rest.
    ChangeTeams {
        /// What it makes of the routes and services.
        routes: RouteChange,
        /// What it makes of the teams.
        teams: TeamChange,
    },
}

impl From<FleetChange> for FleetCommand {
    fn from(change: FleetChange) -> Self {
        match change.teams {
            None => Self::ChangeRoutes(change.routes),
            Some(teams) => Self::ChangeTeams {
                routes: change.routes,
                teams,
            },
        }
    }
}

impl FleetCommand {
    /// Returns the change of the manifest that the command asks for.
    #[must_use]
    pub const fn manifest_change(&self) -> Option<ChangeView<'_>> {
        match self {
            Self::ChangeRoutes(routes) => Some(ChangeView {
                routes,
                teams: None,
            }),
            Self::ChangeTeams { routes, teams } => Some(ChangeView {
                routes,
                teams: Some(teams),
            }),
            _ => None,
        }
    }

    /// Applies the command at `index`; a change of routes has an answer.
    pub fn apply(&self, index: Revision, state: &mut FleetState) -> Option<RouteAnswer> {
        if let Some(change) = self.manifest_change() {
            return Some(state.change(index, change));
        }
        match self {
            Self::ChangeRoutes(_) | Self::ChangeTeams { .. } => {}
            Self::SetEvacuated { place, evacuated } => {
                state.set_evacuated(index, place, *evacuated);
            }
            Self::Announce(changes) => state.announce(index, changes),
            Self::Withdraw(life) => state.withdraw(index, life),
            Self::ForgetBackends(lives) => state.forget_backends(index, lives),
            Self::EnrollEntry { vm, record } => state.enroll_entry(index, vm, record),
            Self::ForgetEntry { vm, life } => state.forget_entry(index, vm, *life),
            Self::NoteSuspects(notes) => state.note_suspects(index, notes),
            Self::ReleaseSuspects(requests) => state.release_suspects(index, requests),
            Self::LiftSuspect(request) => state.lift_suspect(index, request),
        }
        None
    }
}
