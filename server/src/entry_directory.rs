//! Answers callers' look-ups at an entry VM, from the latest state received from control.
//!
//! Control may be unreachable for a while, and callers that cannot look up keep using entry VMs
//! that have ended. An entry VM that answers at least knows that it is itself running.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::fleet_update::FleetView;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::VmName;
use heatherring_lib::place_lookup;
use tokio::sync::watch;

use crate::interface::LookUp;
use crate::interface::LookUpSource;

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
    /// Time for which callers may cache an answer.
    pub keep: Duration,
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
        let entries = view.entries.iter();
        let entries = entries.filter(|(vm, _)| is_live(vm));
        let entries = entries.map(|(_, entry)| &**entry);
        let addresses = place_lookup::pick(entries, region, view.homes_of_host(host));
        (!addresses.is_empty()).then_some(LookUp {
            addresses,
            keep: self.keep,
        })
    }
}
