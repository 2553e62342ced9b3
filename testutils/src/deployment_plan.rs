//! Which cluster and which backend servers a deployment has.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::behaviour::Behaviour;
use crate::behaviour::Spell;
use crate::cluster::Cluster;
use crate::cluster_plan::ClusterPlan;
use crate::cluster_plan::VmPlan;
use crate::fake_backend_server::FakeBackendServerConfig;
use crate::service_time::ServiceTime;

/// How long callers wait for a response unless a plan says otherwise; much longer than
/// any deadline, since a busy machine delays everything.
const PATIENCE: Duration = Duration::from_secs(10);
/// Control replicas of each deployment.
const CONTROLS: usize = 3;
/// Describes the backend servers of one service at one place.
#[derive(Clone, Debug)]
pub struct BackendGroup {
    /// Names the process that hosts them.
    pub host: String,
    /// Their service.
    pub service: String,
    /// Their place.
    pub place: String,
    /// How many there are.
    pub count: u32,
    /// Slots of each.
    pub slots: u32,
    /// How long they work.
    pub service_time: ServiceTime,
}

impl BackendGroup {
    /// Returns the names of the backend servers.
    pub(crate) fn names(&self) -> impl Iterator<Item = String> {
        (1..=self.count).map(|number| format!("{}-{}-{number}", self.service, self.place))
    }
}

/// Describes a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// The cluster.
    pub cluster: ClusterPlan,
    /// The backend servers.
    pub groups: Vec<BackendGroup>,
    /// Services that no backend server serves.
    pub empty_services: Vec<String>,
    /// How long callers wait for a response.
    pub patience: Duration,
    /// What backend servers do besides serving.
    pub behaviour: Behaviour,
    /// What some of them do for part of the time, by their names.
    pub spells: BTreeMap<String, Spell>,
    /// Seed of everything that is drawn.
    pub seed: u64,
}

impl DeploymentPlan {
    /// Describes a small deployment after Kyushu's: two regions of two places,
    /// three control replicas, `entries` entry VMs (at least one for each place, so that
    /// each region can keep two copies of an action's record), the registry in both
    /// regions and the certificate desk in the second one only.
    #[must_use]
    pub fn small(entries: usize, seed: u64) -> Self {
        let places = [
            ("fko-hakata", "fukuoka"),
            ("fko-kokura", "fukuoka"),
            ("kmm-kikuyo", "kumamoto"),
            ("kmm-yatsushiro", "kumamoto"),
        ];
        let group = |host: &str, service: &str, place: &str| BackendGroup {
            host: host.to_owned(),
            service: service.to_owned(),
            place: place.to_owned(),
            count: 2,
            slots: 3,
            service_time: ServiceTime::Exponential { mean_ms: 20.0 },
        };
        Self {
            cluster: ClusterPlan {
                controls: vms(&places, "control", CONTROLS),
                entries: vms(&places, "entry", entries),
                ..ClusterPlan::default()
            },
            groups: vec![
                group("hakata-registry", "registry", "fko-hakata"),
                group("kokura-registry", "registry", "fko-kokura"),
                group("kikuyo-registry", "registry", "kmm-kikuyo"),
                group("kikuyo-certdesk", "certdesk", "kmm-kikuyo"),
            ],
            empty_services: vec!["curing".to_owned()],
            patience: PATIENCE,
            behaviour: Behaviour::default(),
            spells: BTreeMap::new(),
            seed,
        }
    }

    /// Describes a deployment with the Kyushu Cube Registry's sizes.
    #[must_use]
    pub fn kyushu(entries: usize, service_time: ServiceTime, seed: u64) -> Self {
        let places = [
            ("fko-hakata", "fukuoka"),
            ("kmm-kikuyo", "kumamoto"),
            ("kgs-taniyama", "kagoshima"),
            ("fko-kokura", "fukuoka"),
            ("kmm-yatsushiro", "kumamoto"),
            ("kgs-kirishima", "kagoshima"),
        ];
        let services = [("registry", 20, 3), ("certdesk", 12, 3)];
        Self::spread(&places, &services, entries, service_time, seed)
    }

    /// Describes a deployment with the Qazyna Trace Consortium's sizes.
    #[must_use]
    pub fn qazyna(entries: usize, service_time: ServiceTime, seed: u64) -> Self {
        let places = [
            ("alm-a", "almaty"),
            ("ast-a", "astana"),
            ("shy-a", "shymkent"),
            ("alm-b", "almaty"),
            ("ast-b", "astana"),
            ("shy-b", "shymkent"),
        ];
        let services = [("lookup", 32, 6), ("claims", 12, 3)];
        Self::spread(&places, &services, entries, service_time, seed)
    }

    /// Spreads three control replicas, `entries` entry VMs and the backend servers of
    /// each service (its name, how many, slots of each) evenly over the places.
    fn spread(
        places: &[(&str, &str)],
        services: &[(&str, u32, u32)],
        entries: usize,
        service_time: ServiceTime,
        seed: u64,
    ) -> Self {
        let mut groups = Vec::new();
        for (service, total, slots) in services {
            let shares = u32::try_from(places.len()).expect("few places");
            for (index, (place, _)) in (0..).zip(places) {
                let earlier = total * index / shares;
                groups.push(BackendGroup {
                    host: format!("{place}-{service}"),
                    service: (*service).to_owned(),
                    place: (*place).to_owned(),
                    count: total * (index + 1) / shares - earlier,
                    slots: *slots,
                    service_time,
                });
            }
        }
        Self {
            cluster: ClusterPlan {
                controls: vms(places, "control", CONTROLS),
                entries: vms(places, "entry", entries),
                ..ClusterPlan::default()
            },
            groups,
            empty_services: Vec::new(),
            patience: PATIENCE,
            behaviour: Behaviour::default(),
            spells: BTreeMap::new(),
            seed,
        }
    }

    /// Returns all slots of a service's backend servers.
    #[must_use]
    pub fn slots(&self, service: &str) -> u32 {
        let groups = self.groups.iter().filter(|group| group.service == service);
        groups.map(|group| group.slots * group.count).sum()
    }

    /// Returns the names of the services that have backend servers.
    #[must_use]
    pub fn served_services(&self) -> BTreeSet<String> {
        self.groups
            .iter()
            .map(|group| group.service.clone())
            .collect()
    }

    /// Returns the services for a manifest.
    #[must_use]
    pub fn services(&self) -> Value {
        let mut services = serde_json::Map::new();
        for group in &self.groups {
            let service = services
                .entry(group.service.clone())
                .or_insert_with(service_without_limits);
            service["limits"][&group.place] = generous_limit();
        }
        for name in &self.empty_services {
            let mut service = service_without_limits();
            for (place, _) in self.cluster.places() {
                service["limits"][&place] = generous_limit();
            }
            services.insert(name.clone(), service);
        }
        Value::Object(services)
    }

    pub(crate) fn group_configs(
        &self,
        group: &BackendGroup,
        cluster: &mut Cluster,
    ) -> Vec<FakeBackendServerConfig> {
        let named = (0_u64..).zip(group.names());
        named
            .map(|(number, backend)| FakeBackendServerConfig {
                spell: self.spells.get(&backend).copied(),
                backend,
                service: group.service.clone(),
                place: group.place.clone(),
                address: cluster.next_backend_address(),
                slots: group.slots,
                max_connections: 330,
                announce_to: cluster.announce_addresses(),
                service_time: group.service_time,
                seed: self.seed + number,
                answer_bytes: 512,
                starting_ms: 0,
                connection_ms: 1,
                linger_ms: 5_000,
                behaviour: self.behaviour,
            })
            .collect()
    }
}

/// Places `count` VMs on the places in turn.
fn vms(places: &[(&str, &str)], role: &str, count: usize) -> Vec<VmPlan> {
    let numbered = places.iter().cycle().take(count).enumerate();
    numbered
        .map(|(index, (place, region))| {
            VmPlan::new(&format!("{role}-{}", index + 1), place, region)
        })
        .collect()
}

fn service_without_limits() -> Value {
    json!({
        "operations": [
            {"name": "search", "method": "GET", "path_prefix": "/strength",
             "idempotent": true, "deadline_ms": 2000},
            {"name": "book", "method": "POST", "path_prefix": "/bookings",
             "idempotent": false, "deadline_ms": 3000},
        ],
        "max_slots_per_backend": 6,
        "max_connections_per_backend": 390,
        "warm_up_ms": 200,
        "limits": {},
    })
}

fn generous_limit() -> Value {
    json!({"max_in_flight": 100, "max_per_second": 10_000})
}
