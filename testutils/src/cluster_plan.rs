//! Which VMs a cluster has.

use serde_json::Value;

/// Names a VM and its failure domain.
#[derive(Clone, Debug)]
pub struct VmPlan {
    /// The VM's name.
    pub vm: String,
    /// Its place.
    pub place: String,
    /// The place's region.
    pub region: String,
}

impl VmPlan {
    /// Describes a VM.
    #[must_use]
    pub fn new(vm: &str, place: &str, region: &str) -> Self {
        Self {
            vm: vm.to_owned(),
            place: place.to_owned(),
            region: region.to_owned(),
        }
    }
}

/// Describes a cluster.
#[derive(Clone, Debug, Default)]
pub struct ClusterPlan {
    /// Control replicas; the first one initializes the cluster.
    pub controls: Vec<VmPlan>,
    /// Entry VMs.
    pub entries: Vec<VmPlan>,
    /// Whether everything that the processes send to each other, and callers to entry
    /// VMs, goes through relays of [`Cluster::network`](crate::cluster::Cluster::network).
    pub relayed: bool,
    /// Changes to the settings of all control replicas, as top-level members.
    pub control_settings: serde_json::Map<String, Value>,
    /// Changes to the settings of all entry VMs, as top-level members.
    pub entry_settings: serde_json::Map<String, Value>,
}

impl ClusterPlan {
    /// Returns the places of all VMs in order, each once.
    #[must_use]
    pub fn places(&self) -> Vec<(String, String)> {
        let mut places: Vec<(String, String)> = Vec::new();
        for plan in self.entries.iter().chain(&self.controls) {
            if !places.iter().any(|(place, _)| *place == plan.place) {
                places.push((plan.place.clone(), plan.region.clone()));
            }
        }
        places
    }
}
