//! Answers callers' look-ups at an entry VM, from the latest state received from control.
//!
//! Control may be unreachable for a while, and callers that cannot look up keep using entry VMs
//! that have ended. An entry VM that answers at least knows that it is itself running.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::clock::Clock;
use heatherring_lib::direct_settings::DirectSettings;
use heatherring_lib::entry_naming::Candidate;
use heatherring_lib::fleet_update::FleetView;
use heatherring_lib::headroom::Headroom;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::VmName;
use tokio::sync::watch;

use crate::fleet_follower::Followed;
use crate::interface::LookUp;
use crate::interface::LookUpSource;
use crate::shared_naming::SharedNaming;

/// Finds entry VMs among this one and those in the latest view of the fleet.
#[derive(Clone, Debug)]
pub struct EntryDirectory {
    /// This entry VM.
    pub vm: VmName,
    /// Whether this entry VM accepts requests.
    pub ready: watch::Receiver<bool>,
    /// The view of the fleet.
    pub view: watch::Receiver<Arc<FleetView>>,
    /// The entry VMs of the view that do not accept requests, as last reported by control.
    pub out_of_service: watch::Receiver<Arc<BTreeSet<VmName>>>,
    /// The headroom of the entry VMs that tell it, as last reported by control.
    pub headroom: watch::Receiver<Arc<BTreeMap<VmName, Headroom>>>,
    /// The headroom of this entry VM, if it tells it.
    pub own_headroom: watch::Receiver<Option<Headroom>>,
    /// Selects among the live entry VMs.
    pub naming: SharedNaming,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Time for which callers may cache an answer.
    pub keep: Duration,
}

impl EntryDirectory {
    /// Creates the directory of an entry VM that follows control.
    #[must_use]
    pub fn new(
        settings: &DirectSettings,
        clock: &Arc<dyn Clock>,
        ready: watch::Receiver<bool>,
        followed: &Followed,
        own_headroom: watch::Receiver<Option<Headroom>>,
    ) -> Self {
        let keep = settings.look_up_keep();
        Self {
            vm: settings.vm.clone(),
            ready,
            view: followed.view.clone(),
            out_of_service: followed.out_of_service.clone(),
            headroom: followed.headroom.clone(),
            own_headroom,
            naming: SharedNaming::new(keep),
            clock: Arc::clone(clock),
            keep,
        }
    }
}

impl LookUpSource for EntryDirectory {
    fn look_up(&self, host: &str, region: &RegionName) -> Option<LookUp> {
        let view = self.view.borrow();
        let out_of_service = self.out_of_service.borrow();
        let own_ready = *self.ready.borrow();
        let is_live = |vm: &VmName| {
            if *vm == self.vm {
                own_ready
            } else {
                !out_of_service.contains(vm)
            }
        };
        let told = self.headroom.borrow();
        let own_headroom = *self.own_headroom.borrow();
        let headroom = |vm: &VmName| match own_headroom {
            Some(own_headroom) if *vm == self.vm => Some(own_headroom),
            _ => told.get(vm).copied(),
        };
        let entries = view.entries.iter().filter(|(vm, _)| is_live(vm));
        let live = entries.map(|(vm, entry)| Candidate {
            entry,
            headroom: headroom(vm),
        });
        let homes = view.homes_of_host(host);
        let addresses = self.naming.name(self.clock.now(), live, region, homes);
        (!addresses.is_empty()).then_some(LookUp {
            addresses,
            keep: self.keep,
        })
    }
}
