//! Validation of route manifests and their changes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;
use snafu::ensure;

use crate::duration_text::MAX_DURATION;
use crate::id::ManifestVersion;
use crate::id::RouteName;
use crate::id::ServiceName;
use crate::id::TeamName;
use crate::route_manifest::CallerLimits;
use crate::route_manifest::Route;
use crate::route_manifest::RouteChange;
use crate::route_manifest::RouteContent;
use crate::route_manifest::RouteManifest;
use crate::route_manifest::RoutePatch;
use crate::route_manifest::RouteTarget;
use crate::team::KeyDigest;
use crate::team_manifest::TeamManifest;

/// Excess of a latency objective over its route's timeout from which the objective is rejected:
/// it is more likely given in the wrong unit than meant to be generous.
const REJECTED_OBJECTIVE_EXCESS: Duration = Duration::from_mins(1);

/// Reason why a route manifest or a change of one is invalid.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize, Snafu)]
pub enum RouteProblem {
    /// The version is not higher than the one in force.
    #[snafu(display("version {version} is not higher than {current}, which is in force"))]
    Version {
        /// Version of the change.
        version: ManifestVersion,
        /// Version in force.
        current: ManifestVersion,
    },
    /// A route refers to a service that is not defined.
    #[snafu(display("route {route} refers to unknown service {service}"))]
    UnknownService {
        /// Name of the route.
        route: RouteName,
        /// Name of the undefined service.
        service: ServiceName,
    },
    /// A weight of a split is negative or not finite.
    #[snafu(display(
        "route {route} has weight {weight} for service {service}; allowed is at least 0"
    ))]
    Weight {
        /// Name of the route.
        route: RouteName,
        /// Service with the invalid weight.
        service: ServiceName,
        /// Invalid weight.
        weight: f64,
    },
    /// The latency objective exceeds the timeout by a minute or more.
    #[snafu(display("route {route} has a latency objective a minute or more above its timeout"))]
    Objective {
        /// Name of the route.
        route: RouteName,
    },
    /// Two teams have the same key.
    #[snafu(display("teams {first} and {second} share a key"))]
    SharedKey {
        /// First team with the key, by name.
        first: TeamName,
        /// Second team with the key.
        second: TeamName,
    },
    /// A rate or burst limit is negative or not finite.
    #[snafu(display("team {team} has limit {value}; allowed is at least 0"))]
    Limit {
        /// Name of the team.
        team: TeamName,
        /// Invalid rate or burst.
        value: f64,
    },
    /// A team has an empty key.
    #[snafu(display("team {team} has an empty key"))]
    EmptyKey {
        /// Name of the team.
        team: TeamName,
    },
    /// A route allows no attempts, so none of its requests could be sent.
    #[snafu(display("route {route} allows no attempts; at least 1 is required"))]
    NoAttempts {
        /// Name of the route.
        route: RouteName,
    },
    /// A route has no host, so no request could match it.
    #[snafu(display("route {route} has no host"))]
    NoHost {
        /// Name of the route.
        route: RouteName,
    },
    /// A path prefix does not begin and end with a slash.
    #[snafu(display(
        "route {route} has the path prefix {prefix:?}; allowed is one that begins and ends with /"
    ))]
    Prefix {
        /// Name of the route.
        route: RouteName,
        /// Invalid prefix.
        prefix: String,
    },
    /// A split has no parts.
    #[snafu(display("route {route} is split among no services; at least 1 is required"))]
    EmptySplit {
        /// Name of the route.
        route: RouteName,
    },
    /// A duration is longer than any that is meant.
    #[snafu(display("{name} is longer than {} days", MAX_DURATION.as_secs() / 86_400))]
    TooLong {
        /// Description of the duration.
        name: String,
    },
    /// No part of a split has a weight above 0, so that none may get a request.
    #[snafu(display("route {route} is split among services without any weight"))]
    NoWeight {
        /// Name of the route.
        route: RouteName,
    },
}

/// Checks what a change contains, apart from what it is applied to.
///
/// This is checked before a change is proposed. Replicas of several releases decide on a change
/// alike, so [`changed`] accepts what an earlier release accepted.
///
/// # Errors
///
/// Returns the first problem found.
pub fn check_content(content: &RouteContent) -> Result<(), RouteProblem> {
    let (routes, services, limits) = match content {
        RouteContent::Whole {
            routes,
            services,
            limits,
        } => (routes, services, Some(limits)),
        RouteContent::Patch(patch) => (&patch.routes, &patch.services, patch.limits.as_ref()),
    };
    for (name, route) in routes {
        check_route_content(name, route)?;
    }
    for (name, service) in services {
        check_duration(service.cold_start, || {
            format!("the cold start of service {name}")
        })?;
    }
    limits.map_or(Ok(()), check_limits)
}

/// Checks that each split of a change has a part with a weight above 0.
///
/// # Errors
///
/// Returns the first split that has none.
pub fn check_weights(content: &RouteContent) -> Result<(), RouteProblem> {
    let (RouteContent::Whole { routes, .. } | RouteContent::Patch(RoutePatch { routes, .. })) =
        content;
    for (name, route) in routes {
        let RouteTarget::Split(parts) = &route.target else {
            continue;
        };
        ensure!(
            parts.iter().any(|part| part.weight != 0.0),
            NoWeightSnafu {
                route: name.clone()
            }
        );
    }
    Ok(())
}

fn check_route_content(name: &RouteName, route: &Route) -> Result<(), RouteProblem> {
    ensure!(
        !route.host.is_empty(),
        NoHostSnafu {
            route: name.clone()
        }
    );
    let prefix = &route.prefix;
    ensure!(
        prefix.starts_with('/') && prefix.ends_with('/'),
        PrefixSnafu {
            route: name.clone(),
            prefix,
        }
    );
    ensure!(
        route.target.services().next().is_some(),
        EmptySplitSnafu {
            route: name.clone()
        }
    );
    check_duration(route.timeout, || format!("the timeout of route {name}"))?;
    check_duration(route.latency_objective, || {
        format!("the latency objective of route {name}")
    })
}

fn check_limits(limits: &CallerLimits) -> Result<(), RouteProblem> {
    check_duration(limits.header_timeout, || "the header timeout".to_owned())?;
    check_duration(limits.idle_timeout, || "the idle timeout".to_owned())
}

/// Checks that a duration can be added to the time of any clock.
fn check_duration(time: Duration, name: impl FnOnce() -> String) -> Result<(), RouteProblem> {
    ensure!(time <= MAX_DURATION, TooLongSnafu { name: name() });
    Ok(())
}

/// Checks that the limits of all teams are valid and that each key is non-empty and belongs to
/// one team only.
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

/// Applies a change to the manifest `present` and returns the result if it is valid.
///
/// The base version is not checked here: a change with another base is a conflict, for which
/// the caller checks, and not an invalid change.
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
    let bound = route.timeout.saturating_add(REJECTED_OBJECTIVE_EXCESS);
    ensure!(
        route.latency_objective < bound,
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
