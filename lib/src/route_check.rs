//! What makes a route manifest invalid, and what a change makes of one.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;
use snafu::ensure;

use crate::id::ManifestVersion;
use crate::id::RouteName;
use crate::id::ServiceName;
use crate::id::TeamName;
use crate::route_manifest::Route;
use crate::route_manifest::RouteChange;
use crate::route_manifest::RouteContent;
use crate::route_manifest::RouteManifest;
use crate::route_manifest::RoutePatch;
use crate::route_manifest::RouteTarget;
use crate::team::KeyDigest;
use crate::team_manifest::TeamManifest;

/// Least excess of a latency objective over its route's timeout that is a slip of the
/// unit rather than a generous objective.
const OBJECTIVE_EXCESS: Duration = Duration::from_mins(1);

/// Tells what is wrong with a route manifest.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize, Snafu)]
pub enum RouteProblem {
    /// The version is not above the one in force.
    #[snafu(display("version {version} is not above {current}, which is in force"))]
    Version {
        /// The version of the change.
        version: ManifestVersion,
        /// The version in force.
        current: ManifestVersion,
    },
    /// A route names a service that isn't there.
    #[snafu(display("route {route} names the service {service}, which isn't there"))]
    UnknownService {
        /// The route.
        route: RouteName,
        /// The service.
        service: ServiceName,
    },
    /// A weight is negative or no number.
    #[snafu(display("route {route} gives {service} the weight {weight}; allowed is 0 and more"))]
    Weight {
        /// The route.
        route: RouteName,
        /// The service.
        service: ServiceName,
        /// The weight.
        weight: f64,
    },
    /// The objective lies far beyond the timeout.
    #[snafu(display("route {route} has a latency objective a minute or more above its timeout"))]
    Objective {
        /// The route.
        route: RouteName,
    },
    /// Two teams have the same key.
    #[snafu(display("the teams {first} and {second} share a key"))]
    SharedKey {
        /// One of them.
        first: TeamName,
        /// The other.
        second: TeamName,
    },
    /// A limit is negative or no number.
    #[snafu(display("team {team} has the limit {value}; allowed is 0 and more"))]
    Limit {
        /// The team.
        team: TeamName,
        /// The rate or burst.
        value: f64,
    },
    /// A key is empty.
    #[snafu(display("team {team} has an empty key"))]
    EmptyKey {
        /// The team.
        team: TeamName,
    },
    /// No request on the route could be sent.
    #[snafu(display("route {route} allows no attempt; allowed is 1 and more"))]
    NoAttempts {
        /// The route.
        route: RouteName,
    },
}

/// Checks the teams of a manifest.
///
/// # Errors
///
/// Returns the first problem found.
pub fn check_teams(manifest: &TeamManifest) -> Result<(), RouteProblem> {
    let mut owners: HashMap<KeyDigest, &TeamName> = HashMap::new();
    for (name, team) in &manifest.teams {
        for value in [team.rate, team.burst].into_iter().flatten() {
            let team = name.clone();
            ensure!(
                value.is_finite() && value >= 0.0,
                LimitSnafu { team, value }
            );
        }
        for key in &team.keys {
            ensure!(
                !key.reveal().is_empty(),
                EmptyKeySnafu { team: name.clone() }
            );
            let first = owners.insert(key.digest(), name);
            if let Some(first) = first.filter(|first| *first != name) {
                return SharedKeySnafu {
                    first: first.clone(),
                    second: name.clone(),
                }
                .fail();
            }
        }
    }
    Ok(())
}

/// Returns the manifest that a change makes of `present`, if that is valid.
///
/// The base version is the caller's to compare: a change on another base is a conflict,
/// not a fault of the change.
///
/// # Errors
///
/// Returns the first problem found.
pub fn changed(
    present: &RouteManifest,
    change: &RouteChange,
) -> Result<RouteManifest, RouteProblem> {
    ensure!(
        change.version > present.version,
        VersionSnafu {
            version: change.version,
            current: present.version,
        }
    );
    let mut manifest = match &change.content {
        RouteContent::Whole {
            routes,
            services,
            limits,
        } => RouteManifest {
            version: change.version,
            routes: routes.clone(),
            services: services.clone(),
            limits: *limits,
        },
        RouteContent::Patch(patch) => patched(present, patch),
    };
    manifest.version = change.version;
    check(&manifest)?;
    Ok(manifest)
}

fn patched(present: &RouteManifest, patch: &RoutePatch) -> RouteManifest {
    let mut manifest = present.clone();
    for name in &patch.removed_routes {
        manifest.routes.remove(name);
    }
    for name in &patch.removed_services {
        manifest.services.remove(name);
    }
    for (name, route) in &patch.routes {
        manifest.routes.insert(name.clone(), Arc::clone(route));
    }
    for (name, service) in &patch.services {
        manifest.services.insert(name.clone(), Arc::clone(service));
    }
    if let Some(limits) = patch.limits {
        manifest.limits = limits;
    }
    manifest
}

fn check(manifest: &RouteManifest) -> Result<(), RouteProblem> {
    for (name, route) in &manifest.routes {
        check_route(manifest, name, route)?;
    }
    Ok(())
}

fn check_route(
    manifest: &RouteManifest,
    name: &RouteName,
    route: &Route,
) -> Result<(), RouteProblem> {
    ensure!(
        route.max_attempts > 0,
        NoAttemptsSnafu {
            route: name.clone()
        }
    );
    let latest = route.timeout.saturating_add(OBJECTIVE_EXCESS);
    ensure!(
        route.latency_objective < latest,
        ObjectiveSnafu {
            route: name.clone()
        }
    );
    for service in route.target.services() {
        ensure!(
            manifest.services.contains_key(service),
            UnknownServiceSnafu {
                route: name.clone(),
                service: service.clone(),
            }
        );
    }
    let RouteTarget::Split(parts) = &route.target else {
        return Ok(());
    };
    for part in parts {
        ensure!(
            part.weight.is_finite() && part.weight >= 0.0,
            WeightSnafu {
                route: name.clone(),
                service: part.service.clone(),
                weight: part.weight,
            }
        );
    }
    Ok(())
}
