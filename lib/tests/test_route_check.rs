//! Checks of what a change of the manifest contains, whatever it is applied to.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::duration_text::MAX_DURATION;
use heatherring_lib::id::RouteName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::route_check;
use heatherring_lib::route_manifest::CallerLimits;
use heatherring_lib::route_manifest::Route;
use heatherring_lib::route_manifest::RouteContent;
use heatherring_lib::route_manifest::RoutePatch;
use heatherring_lib::route_manifest::RouteService;
use heatherring_lib::route_manifest::RouteTarget;
use heatherring_lib::route_manifest::WeightedService;
use rstest::rstest;

const TOO_LONG: Duration = MAX_DURATION.saturating_add(Duration::from_nanos(1));

fn valid() -> RoutePatch {
    let route = Route {
        host: "registry.example".to_owned(),
        prefix: "/".to_owned(),
        idempotent: true,
        timeout: MAX_DURATION,
        latency_objective: Duration::ZERO,
        priority: 0,
        target: RouteTarget::Service(ServiceName::new("registry")),
        max_attempts: 1,
        affinity: false,
        home_regions: Vec::new(),
    };
    let service = RouteService {
        health_path: "/health".to_owned(),
        max_connections: 1,
        protocol: "h1".to_owned(),
        tls: false,
        cold_start: Duration::ZERO,
        cold_rate: 0.0,
    };
    RoutePatch {
        routes: BTreeMap::from([(RouteName::new("cubes"), Arc::new(route))]),
        services: BTreeMap::from([(ServiceName::new("registry"), Arc::new(service))]),
        limits: Some(CallerLimits::default()),
        ..RoutePatch::default()
    }
}

/// Returns the patch and the whole manifest with the same items.
fn contents(patch: RoutePatch) -> [RouteContent; 2] {
    let whole = RouteContent::Whole {
        routes: patch.routes.clone(),
        services: patch.services.clone(),
        limits: patch.limits.unwrap_or_default(),
    };
    [RouteContent::Patch(patch), whole]
}

fn with_route(edit: impl Fn(&mut Route)) -> RoutePatch {
    let mut patch = valid();
    patch
        .routes
        .values_mut()
        .for_each(|route| edit(Arc::make_mut(route)));
    patch
}

fn with_service(edit: impl Fn(&mut RouteService)) -> RoutePatch {
    let mut patch = valid();
    patch
        .services
        .values_mut()
        .for_each(|service| edit(Arc::make_mut(service)));
    patch
}

fn with_limits(edit: impl Fn(&mut CallerLimits)) -> RoutePatch {
    let mut patch = valid();
    patch.limits.iter_mut().for_each(edit);
    patch
}

/// Guards against a manifest in force with a route that no request can match or that leads nowhere,
/// or with a time that no clock can add.
#[rstest]
#[case::no_host(with_route(|route| route.host.clear()))]
#[case::empty_prefix(with_route(|route| route.prefix.clear()))]
#[case::prefix_without_first_slash(with_route(|route| route.prefix = "a/".to_owned()))]
#[case::prefix_without_last_slash(with_route(|route| route.prefix = "/a".to_owned()))]
#[case::empty_split(with_route(|route| route.target = RouteTarget::Split(Vec::new())))]
#[case::timeout(with_route(|route| route.timeout = TOO_LONG))]
#[case::objective(with_route(|route| route.latency_objective = TOO_LONG))]
#[case::cold_start(with_service(|service| service.cold_start = Duration::MAX))]
#[case::header_timeout(with_limits(|limits| limits.header_timeout = TOO_LONG))]
#[case::idle_timeout(with_limits(|limits| limits.idle_timeout = TOO_LONG))]
fn test_route_check_refuses(#[case] patch: RoutePatch) {
    for content in contents(patch) {
        assert!(route_check::check_content(&content).is_err());
    }
}

#[rstest]
#[case::longest_times(valid())]
#[case::nothing(RoutePatch::default())]
fn test_route_check_accepts(#[case] patch: RoutePatch) {
    for content in contents(patch) {
        assert_eq!(route_check::check_content(&content), Ok(()));
    }
}

/// Guards against a split in force of whose parts none may get a request.
#[rstest]
#[case::no_weight(&[0.0, 0.0], false)]
#[case::one_part_without_weight(&[-0.0], false)]
#[case::one_weight(&[0.0, 0.1], true)]
fn test_route_check_weights(#[case] weights: &[f64], #[case] is_valid: bool) {
    let parts = weights.iter().map(|weight| WeightedService {
        service: ServiceName::new("registry"),
        weight: *weight,
    });
    let split = RouteTarget::Split(parts.collect());
    for content in contents(with_route(|route| route.target = split.clone())) {
        assert_eq!(route_check::check_weights(&content).is_ok(), is_valid);
    }
}
