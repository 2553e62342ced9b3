//! Commands of the replicated log that change the state of direct dispatch.

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

/// Command that changes the state of direct dispatch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FleetCommand {
    /// Changes the route manifest.
    ChangeRoutes(RouteChange),
    /// Evacuates a place, or returns it to service.
    SetEvacuated {
        /// Name of the place.
        place: PlaceName,
        /// Whether no requests may be sent to the place from now on.
        evacuated: bool,
    },
    /// Applies announcements of backend servers.
    Announce(Vec<BackendChange>),
    /// Removes a backend server that announced its end.
    Withdraw(BackendIncarnation),
    /// Removes backend servers that have not been heard from within the retention time.
    ForgetBackends(Vec<BackendIncarnation>),
    /// Registers an entry VM, or a new incarnation of a registered one.
    EnrollEntry {
        /// Name of the entry VM.
        vm: VmName,
        /// Location, address and incarnation of the entry VM.
        record: EntryRecord,
    },
    /// Removes an entry VM that has not been heard from within the retention time.
    ForgetEntry {
        /// Name of the entry VM.
        vm: VmName,
        /// Incarnation to remove; a different one stays registered.
        life: u64,
    },
    /// Records observations of entry VMs about requests that may crash backend servers.
    NoteSuspects(Vec<SuspectNote>),
    /// Relaxes the verdict on suspected requests by one step, unless they were observed again
    /// after the given positions.
    ReleaseSuspects(Vec<(Fingerprint, Revision)>),
    /// Clears a suspected request on an operator's request.
    LiftSuspect(Fingerprint),
    /// Changes the manifest, including its teams.
    ChangeTeams {
        /// Change of the routes and services.
        routes: RouteChange,
        /// Change of the teams.
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
    /// Returns the manifest change of the command, or `None` if the command changes something
    /// else.
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

    /// Applies the command at log position `index`. Only a manifest change has an answer.
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
            Self::Withdraw(incarnation) => state.withdraw(index, incarnation),
            Self::ForgetBackends(incarnations) => state.forget_backends(index, incarnations),
            Self::EnrollEntry { vm, record } => state.enroll_entry(index, vm, record),
            Self::ForgetEntry { vm, life } => state.forget_entry(index, vm, *life),
            Self::NoteSuspects(notes) => state.note_suspects(index, notes),
            Self::ReleaseSuspects(requests) => state.release_suspects(index, requests),
            Self::LiftSuspect(request) => state.lift_suspect(index, request),
        }
        None
    }
}
