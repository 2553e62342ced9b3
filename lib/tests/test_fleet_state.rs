//! The replicated state of direct dispatch, and what entry VMs follow of it.

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
use heatherring_lib::fleet_update::FleetUpdateError;
use heatherring_lib::fleet_update::FleetView;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::ManifestVersion;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::RouteName;
use heatherring_lib::id::ServiceName;
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
        },
        reclaims: false,
    }
}

fn life(name: &str, born: u64) -> BackendIncarnation {
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

/// Symptom: an operator that lost an answer resends its change and is told that it conflicts,
/// though it is in the history.
///
/// Sequence: a change is accepted, its answer is lost, another operator's change follows, and
/// the first one is sent again.
///
/// Cause: the base version no longer fits. The digest is looked up before it is compared.
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

/// Symptom: two operators are both told that their change is in force, and one isn't.
///
/// Sequence: both build on the same version, under the same number.
///
/// Cause: without a comparison with the base version the later one would replace the earlier.
#[test]
fn test_fleet_state_lets_one_of_two_racing_changes_win() {
    let mut state = FleetState::default();
    state.change_routes(Revision(1), &whole(1, 0, route("/a/")));
    let won = state.change_routes(Revision(2), &patch(2, 1, "b", route("/b/")));
    let lost = state.change_routes(Revision(3), &patch(2, 1, "b", route("/c/")));
    assert_eq!(won, RouteAnswer::Accepted);
    let current = ManifestVersion(2);
    assert_eq!(lost, RouteAnswer::Conflict { current });
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
#[case::weight_no_number(with_target(split(f64::NAN)))]
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

/// Symptom: requests go to an address where another backend server listens by now.
///
/// Sequence: a backend server crashes; a new one starts at its address; a heartbeat of the
/// first, held up by a cut, arrives after that.
///
/// Cause: the late heartbeat is taken for the latest word on the address. A life that was
/// superseded gets the address back only if whoever has it is silent.
#[test]
fn test_fleet_state_ignores_a_late_announcement_of_a_dead_backend_server() {
    let mut state = FleetState::default();
    state.announce(Revision(1), &[backend("old", 80, 1)]);
    state.announce(Revision(2), &[backend("new", 80, 1)]);
    state.announce(Revision(3), &[backend("old", 80, 9)]);
    assert_eq!(state_of(&state, "new"), Some(BackendState::Ready));
    assert_eq!(state_of(&state, "old"), Some(BackendState::Superseded));
    let back = BackendChange {
        reclaims: true,
        ..backend("old", 80, 10)
    };
    state.announce(Revision(4), &[back]);
    assert_eq!(state_of(&state, "old"), Some(BackendState::Ready));
    assert_eq!(state_of(&state, "new"), Some(BackendState::Superseded));
}

/// Symptom: a backend server that has left gets requests again.
///
/// Sequence: it says that it leaves, then that it is gone; earlier heartbeats arrive late.
///
/// Cause: without the sequence number and the memory of who is gone, a late "ready" undoes
/// both.
#[test]
fn test_fleet_state_ignores_late_announcements_of_one_that_leaves() {
    let mut state = FleetState::default();
    state.announce(Revision(1), &[backend("one", 80, 1)]);
    let mut leaving = backend("one", 80, 5);
    leaving.record.state = BackendState::Draining;
    state.announce(Revision(2), &[leaving]);
    state.announce(Revision(3), &[backend("one", 80, 4)]);
    assert_eq!(state_of(&state, "one"), Some(BackendState::Draining));
    state.withdraw(Revision(4), &life("one", 0));
    state.announce(Revision(5), &[backend("one", 80, 6)]);
    assert_eq!(state_of(&state, "one"), None);
}

#[test]
fn test_fleet_state_forgets_an_entry_of_that_life_only() {
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

/// A view that follows by updates holds the same as one that takes everything at once.
#[test]
fn test_fleet_update_changes_add_up() {
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
    state.withdraw(Revision(4), &life("one", 0));
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

/// Symptom: a manifest that was replaced is in force again at one entry VM.
///
/// Sequence: it follows a replica that lags after one that was ahead.
///
/// Cause: the older state is applied. An update that leads back is refused, and a replica
/// that is behind has none to give.
#[test]
fn test_fleet_update_never_leads_back() {
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
