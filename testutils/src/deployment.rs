//! A cluster with a manifest in force and backend servers behind it.

use std::collections::BTreeMap;
use std::path::Path;

use bytes::Bytes;
use http::Method;

use crate::caller::CallRecord;
use crate::caller::CallSpec;
use crate::caller::Caller;
use crate::caller::CallerConfig;
use crate::cluster::Cluster;
use crate::cluster_error::ClusterError;
use crate::deployment_plan::DeploymentPlan;
use crate::direct_policy::BackendAddress;
use crate::wait::wait_for;

/// Runs a deployment; dropping it kills everything that it started.
#[derive(Debug)]
pub struct Deployment {
    /// The cluster.
    pub cluster: Cluster,
    /// What was planned.
    pub plan: DeploymentPlan,
    /// Where the backend servers of each service are.
    pub backends: BTreeMap<String, Vec<BackendAddress>>,
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
        let mut deployment = Self {
            cluster,
            plan,
            backends: BTreeMap::new(),
        };
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
            let addresses = configs.into_iter().map(|config| BackendAddress {
                place: config.place,
                address: config.address,
            });
            let known = self.backends.entry(group.service).or_default();
            known.extend(addresses);
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
            patience: self.plan.patience,
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
