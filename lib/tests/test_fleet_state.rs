//! Tests of the replicated state of direct dispatch and of the updates that entry VMs follow.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::fleet_record::BackendChange;
use heatherring_lib::fleet_record::BackendIncarnation;
use heatherring_lib::fleet_record::BackendRecord;
use heatherring_lib::fleet_record::BackendState;
use heatherring_lib::fleet_record::EntryRecord;
use heatherring_lib::fleet_state::FleetState;
use heatherring_lib::fleet_state::RouteAnswer;
use heatherring_lib::fleet_update::FleetUpdate;
use heatherring_lib::fleet_update::FleetUpdateError;
use heatherring_lib::fleet_update::FleetView;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::ManifestVersion;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::RouteName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::VersionName;
use heatherring_lib::id::VmName;
use heatherring_lib::route_check::RouteProblem;
use heatherring_lib::route_manifest::CallerLimits;
use heatherring_lib::route_manifest::Route;
use heatherring_lib::route_manifest::RouteChange;
use heatherring_lib::route_manifest::RouteContent;
use heatherring_lib::route_manifest::RoutePatch;
use heatherring_lib::route_manifest::RouteService;
use heatherring_lib::route_manifest::RouteTarget;
use heatherring_lib::route_manifest::WeightedService;
use heatherring_lib::team_manifest::FleetChange;
use rstest::rstest;

fn route(prefix: &str) -> Route {
    Route {
        host: "registry.example".to_owned(),
        prefix: prefix.to_owned(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(250),
        priority: 1,
        target: RouteTarget::Service(ServiceName::new("registry")),
        max_attempts: 2,
        affinity: true,
        home_regions: Vec::new(),
    }
}

fn service() -> RouteService {
    RouteService {
        health_path: "/health".to_owned(),
        max_connections: 330,
        protocol: "h1".to_owned(),
        tls: false,
        cold_start: Duration::from_secs(3),
        cold_rate: 9.9,
    }
}

fn whole(version: u64, base: u64, route: Route) -> RouteChange {
    RouteChange {
        version: ManifestVersion(version),
        base: ManifestVersion(base),
        content: RouteContent::Whole {
            routes: BTreeMap::from([(RouteName::new("a"), Arc::new(route))]),
            services: BTreeMap::from([(ServiceName::new("registry"), Arc::new(service()))]),
            limits: CallerLimits::default(),
        },
    }
}

fn patch(version: u64, base: u64, name: &str, route: Route) -> RouteChange {
    RouteChange {
        version: ManifestVersion(version),
        base: ManifestVersion(base),
        content: RouteContent::Patch(RoutePatch {
            routes: BTreeMap::from([(RouteName::new(name), Arc::new(route))]),
            ..RoutePatch::default()
        }),
    }
}

fn backend(name: &str, port: u16, sequence: u64) -> BackendChange {
    BackendChange {
        backend: BackendName::new(name),
        record: BackendRecord {
            service: ServiceName::new("registry"),
            address: SocketAddr::from(([10, 0, 0, 1], port)),
            place: PlaceName::new("fko-hakata"),
            slots: 3,
            state: BackendState::Ready,
            born: 0,
            sequence,
            cold_for: Duration::ZERO,
            version: VersionName::new(""),
        },
        reclaims: false,
    }
}

fn incarnation(name: &str, born: u64) -> BackendIncarnation {
    BackendIncarnation {
        backend: BackendName::new(name),
        born,
    }
}

fn state_of(state: &FleetState, name: &str) -> Option<BackendState> {
    state
        .backend(&BackendName::new(name))
        .map(|record| record.state)
}

/// An operator whose answer was lost resends its change after another operator's change. The
/// base version no longer matches, so the change must be recognized by its digest first, or it
/// would be reported as a conflict although it was accepted.
#[test]
fn test_fleet_state_accepts_a_resend_after_later_changes() {
    let mut state = FleetState::default();
    let first = whole(3, 0, route("/a/"));
    assert_eq!(
        state.change_routes(Revision(1), &first),
        RouteAnswer::Accepted
    );
    let second = patch(7, 3, "b", route("/b/"));
    assert_eq!(
        state.change_routes(Revision(2), &second),
        RouteAnswer::Accepted
    );
    assert_eq!(
        state.change_routes(Revision(3), &first),
        RouteAnswer::Accepted
    );
    assert_eq!(state.manifest().version, ManifestVersion(7));
    assert_eq!(state.manifest().routes.len(), 2);
}

/// Of two changes with the same base and version, the second must be refused as a conflict.
/// Without the check of the base version, it would replace the first, and both operators would
/// be told that their change is in force.
#[test]
fn test_fleet_state_accepts_one_of_two_concurrent_changes() {
    let mut state = FleetState::default();
    state.change_routes(Revision(1), &whole(1, 0, route("/a/")));
    let first = state.change_routes(Revision(2), &patch(2, 1, "b", route("/b/")));
    let second = state.change_routes(Revision(3), &patch(2, 1, "b", route("/c/")));
    assert_eq!(first, RouteAnswer::Accepted);
    let current = ManifestVersion(2);
    assert_eq!(second, RouteAnswer::Conflict { current });
    let in_force = &state.manifest().routes[&RouteName::new("b")];
    assert_eq!(in_force.prefix, "/b/");
}

fn with_target(target: RouteTarget) -> Route {
    Route {
        target,
        ..route("/a/")
    }
}

fn split(weight: f64) -> RouteTarget {
    RouteTarget::Split(vec![WeightedService {
        service: ServiceName::new("registry"),
        weight,
    }])
}

#[rstest]
#[case::unknown_service(with_target(RouteTarget::Service(ServiceName::new("nobody"))))]
#[case::negative_weight(with_target(split(-1.0)))]
#[case::weight_nan(with_target(split(f64::NAN)))]
#[case::no_attempts(Route { max_attempts: 0, ..route("/a/") })]
#[case::objective_above_timeout(Route { latency_objective: Duration::from_secs(61), ..route("/a/") })]
fn test_fleet_state_refuses_an_invalid_manifest(#[case] route: Route) {
    let mut state = FleetState::default();
    let answer = state.change_routes(Revision(1), &whole(1, 0, route));
    assert!(matches!(answer, RouteAnswer::Invalid(_)), "{answer:?}");
    assert_eq!(state.manifest().version, ManifestVersion(0));
}

#[test]
fn test_fleet_state_refuses_a_version_that_is_not_higher() {
    let mut state = FleetState::default();
    state.change_routes(Revision(1), &whole(4, 0, route("/a/")));
    let answer = state.change_routes(Revision(2), &whole(4, 4, route("/b/")));
    let problem = RouteProblem::Version {
        version: ManifestVersion(4),
        current: ManifestVersion(4),
    };
    assert_eq!(answer, RouteAnswer::Invalid(problem));
}

/// A backend server crashes, a new one starts at its address, and then a heartbeat of the first
/// arrives that a network partition had delayed. If it took the address over, requests for the
/// first would be sent to the second. A superseded incarnation may reclaim its address only
/// from a backend server that has not been heard from recently.
#[test]
fn test_fleet_state_ignores_a_late_announcement_of_a_dead_backend_server() {
    let mut state = FleetState::default();
    state.announce(Revision(1), &[backend("old", 80, 1)]);
    state.announce(Revision(2), &[backend("new", 80, 1)]);
    state.announce(Revision(3), &[backend("old", 80, 9)]);
    assert_eq!(state_of(&state, "new"), Some(BackendState::Ready));
    assert_eq!(state_of(&state, "old"), Some(BackendState::Superseded));
    let reclaiming = BackendChange {
        reclaims: true,
        ..backend("old", 80, 10)
    };
    state.announce(Revision(4), &[reclaiming]);
    assert_eq!(state_of(&state, "old"), Some(BackendState::Ready));
    assert_eq!(state_of(&state, "new"), Some(BackendState::Superseded));
}

/// A backend server announces that it is draining and then withdraws, and earlier heartbeats
/// arrive late. Without sequence numbers and the list of withdrawn incarnations, a late "ready"
/// would undo both, and the ended backend server would be sent requests again.
#[test]
fn test_fleet_state_ignores_late_announcements_of_a_draining_backend_server() {
    let mut state = FleetState::default();
    state.announce(Revision(1), &[backend("one", 80, 1)]);
    let mut draining = backend("one", 80, 5);
    draining.record.state = BackendState::Draining;
    state.announce(Revision(2), &[draining]);
    state.announce(Revision(3), &[backend("one", 80, 4)]);
    assert_eq!(state_of(&state, "one"), Some(BackendState::Draining));
    state.withdraw(Revision(4), &incarnation("one", 0));
    state.announce(Revision(5), &[backend("one", 80, 6)]);
    assert_eq!(state_of(&state, "one"), None);
}

#[test]
fn test_fleet_state_forgets_an_entry_of_that_incarnation_only() {
    let mut state = FleetState::default();
    let vm = VmName::new("entry-1");
    let record = EntryRecord {
        place: PlaceName::new("fko-hakata"),
        region: RegionName::new("fukuoka"),
        callers: SocketAddr::from(([10, 0, 0, 9], 80)),
        life: 2,
    };
    state.enroll_entry(Revision(1), &vm, &record);
    state.forget_entry(Revision(2), &vm, 1);
    assert!(state.entry(&vm).is_some());
    state.forget_entry(Revision(3), &vm, 2);
    assert!(state.entry(&vm).is_none());
}

/// A view that follows incremental updates equals one built from a single full update.
#[test]
fn test_fleet_update_increments_equal_a_full_update() {
    let mut state = FleetState::default();
    let mut followed = FleetView::default();
    let mut follow = |state: &FleetState| {
        let update = state.update_from(followed.revision).unwrap();
        followed = followed.updated(&update).unwrap();
    };
    state.change_routes(Revision(1), &whole(1, 0, route("/a/")));
    state.announce(Revision(2), &[backend("one", 80, 1), backend("two", 81, 1)]);
    follow(&state);
    state.change_routes(Revision(3), &patch(2, 1, "b", route("/a/b/")));
    state.withdraw(Revision(4), &incarnation("one", 0));
    state.set_evacuated(Revision(5), &PlaceName::new("fko-hakata"), true);
    follow(&state);
    let whole = state.update_from(Revision(0)).unwrap();
    let at_once = FleetView::default().updated(&whole).unwrap();
    assert_eq!(followed.revision, at_once.revision);
    assert_eq!(followed.version, at_once.version);
    assert_eq!(followed.backends, at_once.backends);
    assert_eq!(followed.evacuated, at_once.evacuated);
    let longest = followed.route("registry.example", "/a/b/c").unwrap();
    assert_eq!(longest.0, &RouteName::new("b"));
    assert!(followed.route("other.example", "/a/").is_none());
}

/// An entry VM switches to a replica that is behind the one it followed before. Applying the
/// older state would bring a replaced manifest back into force, so the replica returns no
/// update for a newer revision, and the view refuses an update to an older one.
#[test]
fn test_fleet_update_never_reverts_a_view() {
    let mut ahead = FleetState::default();
    ahead.change_routes(Revision(1), &whole(1, 0, route("/a/")));
    let behind = ahead.clone();
    ahead.change_routes(Revision(2), &patch(2, 1, "b", route("/b/")));
    let update = ahead.update_from(Revision(0)).unwrap();
    let view = FleetView::default().updated(&update).unwrap();
    assert!(behind.update_from(view.revision).is_none());
    let older = behind.update_from(Revision(0)).unwrap();
    let refused = view.updated(&older).unwrap_err();
    assert!(matches!(refused, FleetUpdateError::Backwards { .. }));
}

/// Guards against entry VMs that do not learn which routes have large answers, also where nothing
/// else of a route changes.
#[test]
fn test_fleet_update_carries_bulk_routes() {
    let mut state = FleetState::default();
    let mut view = FleetView::default();
    let mut change = |index: u64, routes: RouteChange, bulk: &[&str]| {
        let bulk_routes = bulk.iter().map(|name| RouteName::new(*name)).collect();
        let change = FleetChange {
            routes,
            teams: None,
            bulk_routes,
        };
        let answer = state.change(Revision(index), &change);
        assert_eq!(answer, RouteAnswer::Accepted);
        let update = state.update_from(view.revision).unwrap();
        let update = FleetUpdate::decode(&update.encode().unwrap()).unwrap();
        view = view.updated(&update).unwrap();
        let from_scratch = state.update_from(Revision(0)).unwrap();
        let from_scratch = FleetView::default().updated(&from_scratch).unwrap();
        assert_eq!(view.bulk_routes, from_scratch.bulk_routes);
        let names: Vec<String> = view.bulk_routes.iter().map(ToString::to_string).collect();
        names
    };
    assert!(change(1, whole(1, 0, route("/a/")), &[]).is_empty());
    assert_eq!(change(2, patch(2, 1, "a", route("/a/")), &["a"]), ["a"]);
    assert_eq!(
        change(3, patch(3, 2, "b", route("/b/")), &["b"]),
        ["a", "b"]
    );
    assert_eq!(change(4, patch(4, 3, "a", route("/a/")), &[]), ["b"]);
    let without_b = RouteChange {
        version: ManifestVersion(5),
        base: ManifestVersion(4),
        content: RouteContent::Patch(RoutePatch {
            removed_routes: vec![RouteName::new("b")],
            ..RoutePatch::default()
        }),
    };
    assert!(change(5, without_b, &[]).is_empty());
}
