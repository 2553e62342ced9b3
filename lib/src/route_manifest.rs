//! Route manifest of direct dispatch, which maps requests to services.
//!
//! A route is selected by host and longest path prefix. It targets one service, or several with
//! weights, and specifies how its requests are handled.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::ContentDigest;
use crate::id::ManifestVersion;
use crate::id::RegionName;
use crate::id::RouteName;
use crate::id::ServiceName;
use crate::unique_map;

/// A route: the requests that it matches, their target and how they are handled.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Host of matching requests, in lower case and without a port.
    pub host: String,
    /// Path prefix of matching requests; starts and ends with a slash.
    pub prefix: String,
    /// Whether a request may be executed more than once without harm.
    pub idempotent: bool,
    /// Maximum time until a caller gets an answer.
    pub timeout: Duration,
    /// Time within which an answer is most valuable to the caller.
    pub latency_objective: Duration,
    /// Priority among requests; 0 is the highest.
    pub priority: u32,
    /// Service or services that requests are sent to.
    pub target: RouteTarget,
    /// Maximum number of backend servers to which one request is sent, including the first.
    pub max_attempts: u32,
    /// Whether backend servers answer faster for objects that they handled recently.
    pub affinity: bool,
    /// Regions in which requests may be served; empty allows all.
    pub home_regions: Vec<RegionName>,
}

/// Target of a route's requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RouteTarget {
    /// One service receives all requests.
    Service(ServiceName),
    /// Several services receive requests in proportion to their weights.
    Split(Vec<WeightedService>),
}

impl RouteTarget {
    /// Iterates over the target services, in the order given.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let (one, split) = match self {
            Self::Service(service) => (Some(service), &[][..]),
            Self::Split(parts) => (None, parts.as_slice()),
        };
        one.into_iter()
            .chain(split.iter().map(|part| &part.service))
    }
}

/// One part of a split target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// Service that receives this part of the requests.
    pub service: ServiceName,
    /// Share of the requests, relative to the other parts' weights; finite and at least 0.
    pub weight: f64,
}

/// Static properties of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteService {
    /// Path of its health check.
    pub health_path: String,
    /// Maximum number of connections that one backend server accepts from all callers together.
    pub max_connections: u32,
    /// Protocol of its backend servers, as named by the operator.
    pub protocol: String,
    /// Whether its backend servers expect TLS.
    pub tls: bool,
    /// Time for which a backend server is cold after its start.
    pub cold_start: Duration,
    /// Requests per second that one cold backend server sustains from all senders together.
    pub cold_rate: f64,
}

/// Limits on the size of callers' requests and on the duration of their connections.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Maximum size of a request's head in bytes.
    pub max_header_bytes: u64,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: u64,
    /// Maximum time for a request's head to arrive.
    pub header_timeout: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_mins(1),
        }
    }
}

/// A complete route manifest, without its teams.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RouteManifest {
    /// Version of the manifest; 0 before the first one is accepted.
    pub version: ManifestVersion,
    /// Routes by name.
    pub routes: BTreeMap<RouteName, Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Arc<RouteService>>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
}

/// A change of the route manifest requested by an operator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteChange {
    /// Version that the change creates.
    pub version: ManifestVersion,
    /// Version that the change is based on; 0 for the first manifest.
    pub base: ManifestVersion,
    /// Replacement or patch of the base version.
    pub content: RouteContent,
}

/// Content of a change of the route manifest.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub enum RouteContent {
    /// Replaces the whole manifest.
    Whole {
        /// All routes by name.
        #[serde(deserialize_with = "unique_map::deserialize")]
        routes: BTreeMap<RouteName, Arc<Route>>,
        /// All services by name.
        #[serde(deserialize_with = "unique_map::deserialize")]
        services: BTreeMap<ServiceName, Arc<RouteService>>,
        /// Limits on callers' requests and connections.
        limits: CallerLimits,
    },
    /// Changes items by name and keeps the rest.
    Patch(RoutePatch),
}

/// Items of the route manifest that a patch changes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePatch {
    /// Routes to add or replace.
    #[serde(deserialize_with = "unique_map::deserialize")]
    pub routes: BTreeMap<RouteName, Arc<Route>>,
    /// Services to add or replace.
    #[serde(deserialize_with = "unique_map::deserialize")]
    pub services: BTreeMap<ServiceName, Arc<RouteService>>,
    /// New limits on callers; `None` keeps the present ones.
    pub limits: Option<CallerLimits>,
    /// Routes to remove.
    pub removed_routes: Vec<RouteName>,
    /// Services to remove.
    pub removed_services: Vec<ServiceName>,
}

impl RouteChange {
    /// Returns the digest of the change, which identifies resends of it.
    #[must_use]
    pub fn digest(&self) -> ContentDigest {
        // Encoding these types cannot fail. An empty encoding would only give different changes
        // the same digest, and the check for resends also compares versions.
        ContentDigest::of(&postcard::to_stdvec(self).unwrap_or_default())
    }
}
