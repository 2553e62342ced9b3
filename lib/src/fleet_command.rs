//! The commands of the replicated log that direct dispatch goes by.

use serde::Deserialize;
use serde::Serialize;

use crate::fleet_record::BackendChange;
use crate::fleet_record::BackendLife;
use crate::fleet_record::EntryRecord;
use crate::fleet_state::FleetState;
use crate::fleet_state::RouteAnswer;
use crate::id::PlaceName;
use crate::id::Revision;
use crate::id::VmName;
use crate::route_manifest::RouteChange;

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
    Withdraw(BackendLife),
    /// Removes backend servers that haven't been heard of for long.
    ForgetBackends(Vec<BackendLife>),
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
}

impl FleetCommand {
    /// Applies the command at `index`; a change of routes has an answer.
    pub fn apply(&self, index: Revision, state: &mut FleetState) -> Option<RouteAnswer> {
        match self {
            Self::ChangeRoutes(change) => return Some(state.change_routes(index, change)),
            Self::SetEvacuated { place, evacuated } => {
                state.set_evacuated(index, place, *evacuated);
            }
            Self::Announce(changes) => state.announce(index, changes),
            Self::Withdraw(life) => state.withdraw(index, life),
            Self::ForgetBackends(lives) => state.forget_backends(index, lives),
            Self::EnrollEntry { vm, record } => state.enroll_entry(index, vm, record),
            Self::ForgetEntry { vm, life } => state.forget_entry(index, vm, *life),
        }
        None
    }
}
