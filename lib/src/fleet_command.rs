//! Commands of the replicated log that change the state of direct dispatch.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet_record::BackendChange;
use crate::fleet_record::BackendIncarnation;
use crate::fleet_record::EntryRecord;
use crate::fleet_record::VersionedChange;
use crate::fleet_state::FleetState;
use crate::fleet_state::RouteAnswer;
use crate::id::PlaceName;
use crate::id::Revision;
use crate::id::RouteName;
use crate::id::VmName;
use crate::quarantine::SuspectNote;
use crate::request_fingerprint::Fingerprint;
use crate::rollout::RolloutAnswer;
use crate::rollout::RolloutOrder;
use crate::rollout::RolloutStep;
use crate::route_manifest::RouteChange;
use crate::team_manifest::ChangeView;
use crate::team_manifest::FleetChange;
use crate::team_manifest::NO_BULK_ROUTES;
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
    /// Applies announcements of backend servers that name the version of their software.
    AnnounceVersions(Vec<VersionedChange>),
    /// Starts a rollout.
    OrderRollout(RolloutOrder),
    /// Changes the stage of a rollout.
    StepRollout(RolloutStep),
    /// Changes the manifest, including its teams and bulk routes.
    ChangeManifest {
        /// Change of the routes and services.
        routes: RouteChange,
        /// Change of the teams; `None` if they stay as they are.
        teams: Option<TeamChange>,
        /// Those of the changed routes whose answers are large.
        bulk_routes: BTreeSet<RouteName>,
    },
}

/// Answer to the proposer of a command.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetAnswer {
    /// Result of a change of the manifest.
    Routes(RouteAnswer),
    /// Result of an order to start a rollout.
    Rollout(RolloutAnswer),
    /// A backend server announced that it is draining, and was passed over because a later
    /// announcement of it states the contrary.
    Overtaken,
    /// A withdrawn backend server has started again since: its later incarnation, with this start,
    /// stays.
    StartedAgain(u64),
}

impl From<FleetChange> for FleetCommand {
    fn from(change: FleetChange) -> Self {
        if !change.bulk_routes.is_empty() {
            return Self::ChangeManifest {
                routes: change.routes,
                teams: change.teams,
                bulk_routes: change.bulk_routes,
            };
        }
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
                bulk_routes: NO_BULK_ROUTES,
            }),
            Self::ChangeTeams { routes, teams } => Some(ChangeView {
                routes,
                teams: Some(teams),
                bulk_routes: NO_BULK_ROUTES,
            }),
            Self::ChangeManifest {
                routes,
                teams,
                bulk_routes,
            } => Some(ChangeView {
                routes,
                teams: teams.as_ref(),
                bulk_routes,
            }),
            _ => None,
        }
    }

    /// Returns whether the command names what it builds on, so that it can be told from later ones
    /// however late it arrives.
    #[must_use]
    pub const fn is_numbered(&self) -> bool {
        self.manifest_change().is_some()
    }

    /// Returns whether the command may wait for all others. Such commands come in numbers that grow
    /// with the fleet, are repeated until they are committed, and nobody is promised anything by
    /// them. Their order relative to others does not matter, since they name incarnations.
    #[must_use]
    pub fn is_deferrable(&self) -> bool {
        match self {
            Self::Announce(changes) => !changes.iter().any(BackendChange::is_draining),
            Self::AnnounceVersions(changes) => !changes.iter().any(VersionedChange::is_draining),
            Self::EnrollEntry { .. } | Self::ForgetBackends(_) | Self::ForgetEntry { .. } => true,
            _ => false,
        }
    }

    /// Applies the command at log position `index`. Operators' orders have an answer, and others
    /// only if they have no effect although a sender relies on it.
    pub fn apply(&self, index: Revision, state: &mut FleetState) -> Option<FleetAnswer> {
        if let Some(change) = self.manifest_change() {
            return Some(FleetAnswer::Routes(state.change(index, change)));
        }
        match self {
            Self::ChangeRoutes(_) | Self::ChangeTeams { .. } | Self::ChangeManifest { .. } => {}
            Self::SetEvacuated { place, evacuated } => {
                state.set_evacuated(index, place, *evacuated);
            }
            Self::Announce(changes) => return announce(index, changes, state),
            Self::Withdraw(incarnation) => {
                state.withdraw(index, incarnation);
                let later = state.backend(&incarnation.backend);
                return later.map(|later| FleetAnswer::StartedAgain(later.born));
            }
            Self::ForgetBackends(incarnations) => state.forget_backends(index, incarnations),
            Self::EnrollEntry { vm, record } => state.enroll_entry(index, vm, record),
            Self::ForgetEntry { vm, life } => state.forget_entry(index, vm, *life),
            Self::NoteSuspects(notes) => state.note_suspects(index, notes),
            Self::ReleaseSuspects(requests) => state.release_suspects(index, requests),
            Self::LiftSuspect(request) => state.lift_suspect(index, request),
            Self::AnnounceVersions(changes) => {
                let changes: Vec<BackendChange> = changes.iter().map(Into::into).collect();
                return announce(index, &changes, state);
            }
            Self::OrderRollout(order) => {
                return Some(FleetAnswer::Rollout(state.order_rollout(index, order)));
            }
            Self::StepRollout(step) => state.step_rollout(index, step),
        }
        None
    }
}

fn announce(
    index: Revision,
    changes: &[BackendChange],
    state: &mut FleetState,
) -> Option<FleetAnswer> {
    state.announce(index, changes);
    let mut draining = changes.iter().filter(|change| change.is_draining());
    let is_overtaken = draining.any(|change| state.may_use(&change.incarnation()));
    is_overtaken.then_some(FleetAnswer::Overtaken)
}
