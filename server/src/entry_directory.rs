//! Answers callers' look-ups at an entry VM, from what control said last.
//!
//! Control may be out of reach for a while, and callers that can't look up go on using entry
//! VMs that have ended. An entry VM that answers at least knows that it lives itself.

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

/// Knows the entry VMs that control named last, and this one.
#[derive(Clone, Debug)]
pub struct EntryDirectory {
    /// This entry VM.
    pub vm: VmName,
    /// Whether it takes requests.
    pub ready: watch::Receiver<bool>,
    /// The view of the fleet.
    pub view: watch::Receiver<Arc<FleetView>>,
    /// The entry VMs of the view that take no requests, as control said last.
    pub out_of_service: watch::Receiver<Arc<BTreeSet<VmName>>>,
    /// How long answers may be kept.
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
