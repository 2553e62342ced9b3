//! A cluster with a manifest in force and backend servers behind it.

use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::Value;
use serde_json::json;

use crate::caller::CallRecord;
use crate::caller::CallSpec;
use crate::caller::Caller;
use crate::caller::CallerConfig;
use crate::cluster::Cluster;
use crate::cluster_error::ClusterError;
use crate::cluster_plan::ClusterPlan;
use crate::cluster_plan::VmPlan;
use crate::fake_backend_server::Behaviour;
use crate::fake_backend_server::FakeBackendServerConfig;
use crate::service_time::ServiceTime;
use crate::wait::wait_for;

/// How long callers of a test wait for a response; longer than any deadline.
const PATIENCE: Duration = Duration::from_secs(10);

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
    pub count: usize,
    /// Slots of each.
    pub slots: u32,
    /// How long they work.
    pub service_time: ServiceTime,
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
        let vms = |role: &str, count: usize| {
            let numbered = places.iter().cycle().take(count).enumerate();
            numbered
                .map(|(index, (place, region))| {
                    VmPlan::new(&format!("{role}-{}", index + 1), place, region)
                })
                .collect()
        };
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
                controls: vms("control", 3),
                entries: vms("entry", entries),
                ..ClusterPlan::default()
            },
            groups: vec![
                group("hakata-registry", "registry", "fko-hakata"),
                group("kokura-registry", "registry", "fko-kokura"),
                group("kikuyo-registry", "registry", "kmm-kikuyo"),
                group("kikuyo-certdesk", "certdesk", "kmm-kikuyo"),
            ],
            empty_services: vec!["curing".to_owned()],
            seed,
        }
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

    fn group_configs(
        &self,
        group: &BackendGroup,
        cluster: &mut Cluster,
    ) -> Vec<FakeBackendServerConfig> {
        (0..group.count)
            .map(|number| FakeBackendServerConfig {
                backend: format!("{}-{}-{}", group.service, group.place, number + 1),
                service: group.service.clone(),
                place: group.place.clone(),
                address: cluster.next_backend_address(),
                slots: group.slots,
                max_connections: 330,
                announce_to: cluster.announce_addresses(),
                service_time: group.service_time,
                seed: self.seed + number as u64,
                answer_bytes: 512,
                starting_ms: 0,
                connection_ms: 1,
                linger_ms: 5_000,
                behaviour: Behaviour::default(),
            })
            .collect()
    }
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

/// Runs a deployment; dropping it kills everything that it started.
#[derive(Debug)]
pub struct Deployment {
    /// The cluster.
    pub cluster: Cluster,
    /// What was planned.
    pub plan: DeploymentPlan,
}

impl Deployment {
    /// Starts the cluster and the backend servers, brings a manifest into force and
    /// waits until each service that has backend servers is served.
    ///
    /// # Errors
    ///
    /// Returns an error if anything doesn't start.
    pub async fn start(plan: DeploymentPlan, binary: &Path) -> Result<Self, ClusterError> {
        let cluster = Cluster::start(plan.cluster.clone(), binary).await?;
        let manifest = cluster.manifest(1, &plan.services());
        cluster.submit(&manifest)?;
        let mut deployment = Self { cluster, plan };
        deployment.start_backend_servers()?;
        deployment.wait_until_served().await?;
        Ok(deployment)
    }

    /// Starts all hosts of backend servers.
    ///
    /// # Errors
    ///
    /// Returns an error if one doesn't start.
    pub fn start_backend_servers(&mut self) -> Result<(), ClusterError> {
        for group in self.plan.groups.clone() {
            let configs = self.plan.group_configs(&group, &mut self.cluster);
            self.cluster.start_backend_servers(&group.host, &configs)?;
        }
        Ok(())
    }

    /// Waits until a caller at each place is served by each service that has backend
    /// servers.
    ///
    /// # Errors
    ///
    /// Returns an error if one never is.
    pub async fn wait_until_served(&self) -> Result<(), ClusterError> {
        for (place, _) in self.plan.cluster.places() {
            for group in &self.plan.groups {
                let mut caller = self.caller(&format!("probe-{place}-{}", group.host), &place, 0);
                let spec = search(&group.service);
                wait_for("the services are served", async || {
                    caller.forget(&spec.service);
                    let record = caller.call(&spec).await;
                    record.outcome()?.is_answer().then_some(())
                })
                .await?;
            }
        }
        Ok(())
    }

    /// Creates a caller near a place.
    #[must_use]
    pub fn caller(&self, name: &str, place: &str, number: usize) -> Caller {
        let mut seed = self.plan.seed;
        for byte in name.bytes() {
            seed = seed.wrapping_mul(31).wrapping_add(u64::from(byte));
        }
        Caller::new(CallerConfig {
            name: name.to_owned(),
            source: self.cluster.caller_address(place, number),
            origin: place.to_owned(),
            entries: self.cluster.callers_addresses(),
            seed,
            patience: PATIENCE,
        })
    }

    /// Creates `per_place` callers near each place.
    #[must_use]
    pub fn callers(&self, per_place: usize) -> Vec<Caller> {
        let places = self.plan.cluster.places();
        let numbered = places
            .iter()
            .flat_map(|(place, _)| (0..per_place).map(move |number| (place, number)));
        numbered
            .map(|(place, number)| self.caller(&format!("{place}-{number}"), place, number))
            .collect()
    }
}

/// Returns a request that may run twice.
#[must_use]
pub fn search(service: &str) -> CallSpec {
    CallSpec {
        service: service.to_owned(),
        method: Method::GET,
        path: "/strength/cube-17".to_owned(),
        body: Bytes::new(),
        action: false,
    }
}

/// Returns an action.
#[must_use]
pub fn book(service: &str) -> CallSpec {
    CallSpec {
        service: service.to_owned(),
        method: Method::POST,
        path: "/bookings".to_owned(),
        body: Bytes::from_static(b"{\"slot\": 9, \"cubes\": 6}"),
        action: true,
    }
}

/// Tells of the requests that ended otherwise than by an answer to the first attempt,
/// one line each.
#[must_use]
pub fn troubled(calls: &[CallRecord]) -> Vec<String> {
    let calls = calls.iter();
    calls
        .filter(|call| call.attempts.len() != 1 || !call.attempts[0].told.is_answer())
        .map(|call| {
            let attempts = call.attempts.iter();
            let told = attempts.map(|attempt| {
                format!(
                    "{} at {}: {:?}",
                    attempt.entry, attempt.sent_us, attempt.told
                )
            });
            let kind = if call.action { "action" } else { "request" };
            let told = told.collect::<Vec<_>>().join("; ");
            format!("{} {kind} for {}: {told}", call.caller, call.service)
        })
        .collect()
}
