//! The manifest of direct dispatch: which requests go to which services.
//!
//! A route is chosen by host and by the longest path prefix. It names one service, or
//! several with weights, and says how requests on it may be treated.

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

/// Holds one route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// The host that callers name, in lower case and without a port.
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once without harm.
    pub idempotent: bool,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most to the caller.
    pub latency_objective: Duration,
    /// Rank among requests; 0 goes first.
    pub priority: u32,
    /// Where requests go.
    pub target: RouteTarget,
    /// Backend servers to which one request may be sent, the first included.
    pub max_attempts: u32,
    /// Whether backend servers answer faster for objects that they handled lately.
    pub affinity: bool,
    /// Regions outside of which requests may not be served; empty allows all.
    pub home_regions: Vec<RegionName>,
}

/// Says where the requests of a route go.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RouteTarget {
    /// All to one service.
    Service(ServiceName),
    /// To several, in proportion to their weights.
    Split(Vec<WeightedService>),
}

impl RouteTarget {
    /// Returns the services named.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let (one, split) = match self {
            Self::Service(service) => (Some(service), &[][..]),
            Self::Split(parts) => (None, parts.as_slice()),
        };
        one.into_iter()
            .chain(split.iter().map(|part| &part.service))
    }
}

/// Holds one part of a split.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other parts' weights.
    pub weight: f64,
}

/// Holds what is known of a service beforehand.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteService {
    /// The path of its health check.
    pub health_path: String,
    /// Connections that one backend server takes from all callers together.
    pub max_connections: u32,
    /// The protocol that its backend servers speak, as the operator names it.
    pub protocol: String,
    /// Whether its backend servers expect TLS.
    pub tls: bool,
    /// Time for which a backend server stays cold after its start.
    pub cold_start: Duration,
    /// Requests a second that one cold backend server bears from all senders together.
    pub cold_rate: f64,
}

/// Bounds what a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: u64,
    /// Bytes of a request's body.
    pub max_body_bytes: u64,
    /// Time within which a request's head must arrive.
    pub header_timeout: Duration,
    /// Time for which a connection may be idle.
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

/// Holds a whole manifest.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RouteManifest {
    /// The version; 0 before the first one.
    pub version: ManifestVersion,
    /// The routes.
    pub routes: BTreeMap<RouteName, Arc<Route>>,
    /// The services.
    pub services: BTreeMap<ServiceName, Arc<RouteService>>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

/// Holds a change that an operator asks for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteChange {
    /// The version that the change makes.
    pub version: ManifestVersion,
    /// The version that it builds on; 0 for the first manifest.
    pub base: ManifestVersion,
    /// What changes.
    pub content: RouteContent,
}

/// Says what a change replaces.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RouteContent {
    /// Everything.
    Whole {
        /// The routes.
        routes: BTreeMap<RouteName, Arc<Route>>,
        /// The services.
        services: BTreeMap<ServiceName, Arc<RouteService>>,
        /// Bounds on callers.
        limits: CallerLimits,
    },
    /// Items by name; the rest stays.
    Patch(RoutePatch),
}

/// Holds the items that a patch changes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RoutePatch {
    /// Routes to add or to replace.
    pub routes: BTreeMap<RouteName, Arc<Route>>,
    /// Services to add or to replace.
    pub services: BTreeMap<ServiceName, Arc<RouteService>>,
    /// New bounds on callers.
    pub limits: Option<CallerLimits>,
    /// Routes to remove.
    pub removed_routes: Vec<RouteName>,
    /// Services to remove.
    pub removed_services: Vec<ServiceName>,
}

impl RouteChange {
    /// Returns the digest of the change, by which a resend is recognized.
    #[must_use]
    pub fn digest(&self) -> ContentDigest {
        // Maps of this type encode without fail; an empty encoding would merely make
        // resends of different changes look alike to a check that compares versions too.
        ContentDigest::of(&postcard::to_stdvec(self).unwrap_or_default())
    }
}
