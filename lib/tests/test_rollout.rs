//! Replicated state of rollouts, and how entry VMs carry them out.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::affinity::ObjectHash;
use heatherring_lib::command::Command;
use heatherring_lib::command::CommandKind;
use heatherring_lib::control_state::ControlState;
use heatherring_lib::direct_dispatch::DispatchConfig;
use heatherring_lib::direct_dispatch::Dispatcher;
use heatherring_lib::dispatch_policy::DispatchPolicy;
use heatherring_lib::dispatch_request::BackendKey;
use heatherring_lib::dispatch_request::Choice;
use heatherring_lib::dispatch_request::DispatchRequest;
use heatherring_lib::dispatch_request::Refused;
use heatherring_lib::dispatch_request::RefusedReason;
use heatherring_lib::dispatch_request::SendEnd;
use heatherring_lib::dispatch_request::SendOutcome;
use heatherring_lib::fleet_command::FleetCommand;
use heatherring_lib::fleet_record::BackendChange;
use heatherring_lib::fleet_record::BackendRecord;
use heatherring_lib::fleet_record::BackendState;
use heatherring_lib::fleet_state::FleetState;
use heatherring_lib::fleet_update::FleetView;
use heatherring_lib::heartbeat_timing::HeartbeatTiming;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::ManifestVersion;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::RouteName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::VersionName;
use heatherring_lib::id::VmName;
use heatherring_lib::rate_limit::LimitStatement;
use heatherring_lib::rate_limit::RequestRate;
use heatherring_lib::request_rank::RequestRank;
use heatherring_lib::resend_budget::ResendLimit;
use heatherring_lib::rollout::RollbackReason;
use heatherring_lib::rollout::RolloutAnswer;
use heatherring_lib::rollout::RolloutOrder;
use heatherring_lib::rollout::RolloutPhase;
use heatherring_lib::rollout::RolloutStep;
use heatherring_lib::rollout::TrafficShare;
use heatherring_lib::rollout::evidence::Side;
use heatherring_lib::route_manifest::CallerLimits;
use heatherring_lib::route_manifest::RouteChange;
use heatherring_lib::route_manifest::RouteContent;
use heatherring_lib::route_manifest::RouteService;
use rstest::rstest;

const SERVICE: &str = "registry";
const OBJECTIVE: Duration = Duration::from_millis(400);

fn service() -> RouteService {
    RouteService {
        health_path: "/health".to_owned(),
        max_connections: 100,
        protocol: "h1".to_owned(),
        tls: false,
        cold_start: Duration::from_secs(3),
        cold_rate: 5.0,
    }
}

fn manifest(version: u64, base: u64, services: &[&str]) -> RouteChange {
    let services = services.iter();
    RouteChange {
        version: ManifestVersion(version),
        base: ManifestVersion(base),
        content: RouteContent::Whole {
            routes: BTreeMap::new(),
            services: services
                .map(|name| (ServiceName::new(*name), Arc::new(service())))
                .collect(),
            limits: CallerLimits::default(),
        },
    }
}

fn order(target: &str, seconds: u64, ordered_ms: u64) -> RolloutOrder {
    RolloutOrder {
        service: ServiceName::new(SERVICE),
        target: VersionName::new(target),
        duration: Duration::from_secs(seconds),
        ordered_ms,
    }
}

fn backend(number: u16, version: &str) -> BackendChange {
    BackendChange {
        backend: BackendName::new(format!("{version}-{number}")),
        record: BackendRecord {
            service: ServiceName::new(SERVICE),
            address: SocketAddr::from(([10, 0, 0, 1], 1_000 + number)),
            place: PlaceName::new("place-1"),
            slots: 4,
            state: BackendState::Ready,
            born: 1,
            sequence: 1,
            cold_for: Duration::ZERO,
            version: VersionName::new(version),
        },
        reclaims: false,
    }
}

/// A control state with a service, and backend servers of two versions.
struct Control {
    state: ControlState,
}

impl Control {
    fn new() -> Self {
        let mut control = Self {
            state: ControlState::default(),
        };
        control.apply(FleetCommand::ChangeRoutes(manifest(1, 0, &[SERVICE])));
        let old = (0..20).map(|number| backend(number, "v1"));
        let new = (100..120).map(|number| backend(number, "v2"));
        let changes = old.chain(new).map(Into::into).collect();
        control.apply(FleetCommand::AnnounceVersions(changes));
        control
    }

    fn apply(&mut self, command: FleetCommand) {
        let index = Revision(self.state.revision().0 + 1);
        let kind = CommandKind::Fleet(Box::new(command));
        let command = Command { wall_ms: 0, kind };
        let command = Command::decode(&command.encode().unwrap()).unwrap();
        self.state.apply(index, &command).unwrap();
    }

    fn order(&mut self, order: RolloutOrder) -> RolloutAnswer {
        let mut fleet = FleetState::clone(self.state.fleet());
        let index = Revision(self.state.revision().0 + 1);
        let answer = fleet.order_rollout(index, &order);
        self.apply(FleetCommand::OrderRollout(order));
        answer
    }

    fn step(&mut self, phase: RolloutPhase) {
        let id = self.rollout().id;
        self.apply(FleetCommand::StepRollout(RolloutStep {
            service: ServiceName::new(SERVICE),
            id,
            phase,
            elapsed: Duration::from_secs(1),
        }));
    }

    fn rollout(&self) -> heatherring_lib::rollout::Rollout {
        let rollouts = self.state.fleet().rollouts();
        rollouts.get(&ServiceName::new(SERVICE)).unwrap().clone()
    }

    fn view(&self) -> FleetView {
        let update = self.state.fleet().update_from(Revision(0)).unwrap();
        let update = heatherring_lib::fleet_update::FleetUpdate::decode(&update.encode().unwrap());
        FleetView::default().updated(&update.unwrap()).unwrap()
    }
}

const fn rolled_back() -> RolloutPhase {
    RolloutPhase::RolledBack(RollbackReason::NoBackends)
}

const fn partial(thousandths: u16) -> RolloutPhase {
    RolloutPhase::Partial(TrafficShare(thousandths))
}

/// Guards against an order that is refused, or begun anew, when it is sent again.
#[test]
fn test_rollout_resent_order_is_the_same_order() {
    let mut control = Control::new();
    assert_eq!(
        control.order(order("v2", 15, 1_000)),
        RolloutAnswer::Accepted
    );
    let begun = control.rollout();
    control.step(partial(80));
    assert_eq!(
        control.order(order("v2", 15, 4_000)),
        RolloutAnswer::Accepted
    );
    assert_eq!(control.rollout().id, begun.id);
    assert_eq!(control.rollout().phase, partial(80));
    control.step(rolled_back());
    assert_eq!(
        control.order(order("v2", 15, 5_000)),
        RolloutAnswer::Accepted
    );
    assert_eq!(control.rollout().phase, rolled_back());
}

/// Guards against two rollouts of a service at a time.
#[test]
fn test_rollout_second_order_waits_for_the_first() {
    let mut control = Control::new();
    control.order(order("v2", 15, 1_000));
    let in_progress = RolloutAnswer::InProgress {
        target: VersionName::new("v2"),
    };
    assert_eq!(control.order(order("v3", 15, 2_000)), in_progress);
    assert_eq!(control.rollout().order.target, VersionName::new("v2"));
    control.step(rolled_back());
    assert_eq!(
        control.order(order("v3", 15, 3_000)),
        RolloutAnswer::Accepted
    );
}

/// Guards against an order for a service that the manifest does not have.
#[test]
fn test_rollout_of_an_unknown_service_is_refused() {
    let mut control = Control::new();
    control.apply(FleetCommand::ChangeRoutes(manifest(2, 1, &["other"])));
    assert_eq!(
        control.order(order("v2", 15, 0)),
        RolloutAnswer::UnknownService
    );
}

/// Guards against a rollout that outlives its service.
#[test]
fn test_rollout_ends_with_its_service() {
    let mut control = Control::new();
    control.order(order("v2", 15, 0));
    control.apply(FleetCommand::ChangeRoutes(manifest(2, 1, &["other"])));
    let rollouts = control.state.fleet().rollouts();
    assert_eq!(rollouts.get(&ServiceName::new(SERVICE)), None);
    assert!(control.view().rollouts.is_empty());
}

/// Generates a test for each decision that must change nothing. Guards against a decision of a
/// leader that was replaced, and that arrives after its successor's.
macro_rules! overtaken_cases {
    ($($name:ident: $first:expr, then $late:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut control = Control::new();
                control.order(order("v2", 15, 0));
                for phase in $first {
                    control.step(phase);
                }
                let before = control.rollout();
                control.step($late);
                assert_eq!(control.rollout(), before);
            }
        )*
    };
}

overtaken_cases! {
    test_rollout_rolled_back_does_not_grow: [partial(80), rolled_back()], then partial(250);
    test_rollout_rolled_back_is_not_completed:
        [partial(80), rolled_back()], then RolloutPhase::Completed;
    test_rollout_completed_is_not_rolled_back:
        [partial(80), RolloutPhase::Finishing, RolloutPhase::Completed], then rolled_back();
    test_rollout_share_does_not_shrink: [partial(80), partial(250)], then partial(80);
    test_rollout_is_not_completed_before_it_finishes: [partial(550)], then RolloutPhase::Completed;
}

/// Guards against the loss of rollouts, versions and bulk routes with a snapshot.
#[test]
fn test_rollout_outlasts_a_snapshot() {
    let mut control = Control::new();
    control.apply(FleetCommand::ChangeManifest {
        routes: manifest(2, 1, &[SERVICE]),
        teams: None,
        bulk_routes: BTreeSet::from([RouteName::new("hours")]),
    });
    control.order(order("v2", 15, 0));
    control.step(partial(80));
    let snapshot = control.state.encode_snapshot().unwrap();
    let restored = ControlState::decode_snapshot(&snapshot).unwrap();
    assert_eq!(restored, control.state);
    let fleet = restored.fleet();
    let record = fleet.backend(&BackendName::new("v2-100")).unwrap();
    assert_eq!(record.version, VersionName::new("v2"));
    assert_eq!(
        fleet.whole_manifest().bulk_routes,
        BTreeSet::from([RouteName::new("hours")])
    );
}

/// One entry VM with a view of the control state.
struct Entry {
    dispatcher: Dispatcher,
    now: Instant,
}

impl Entry {
    fn new(control: &Control) -> Self {
        let now = Instant::now();
        let region = RegionName::new("region-1");
        let cfg = DispatchConfig {
            heartbeat: HeartbeatTiming::DEFAULT_INTERVAL,
            vm: VmName::new("entry-1"),
            region: region.clone(),
            places: BTreeMap::from([(PlaceName::new("place-1"), region)]),
            resends: ResendLimit {
                ratio: 0.2,
                slack: 100.0,
                window: None,
            },
            policy: DispatchPolicy::default(),
            link_rate: None,
        };
        let mut entry = Self {
            dispatcher: Dispatcher::new(cfg, now),
            now,
        };
        entry.follow(control);
        entry
    }

    fn follow(&mut self, control: &Control) {
        self.dispatcher.apply_view(self.now, &control.view());
        self.dispatcher.note_control_contact(self.now);
    }

    fn choose(&mut self, object: Option<u64>) -> Result<Choice, Refused> {
        self.choose_beside(object, &[])
    }

    /// Chooses for a request that was sent to a backend server before.
    fn choose_again(&mut self, object: Option<u64>, tried: BackendKey) -> Result<Choice, Refused> {
        self.choose_beside(object, &[tried])
    }

    fn choose_beside(
        &mut self,
        object: Option<u64>,
        tried: &[BackendKey],
    ) -> Result<Choice, Refused> {
        let service = ServiceName::new(SERVICE);
        let route = RouteName::new("look-up");
        let object = object.map(|object| ObjectHash::of("look-up", &object.to_string()));
        let request = DispatchRequest {
            service: &service,
            route: &route,
            latency_objective: OBJECTIVE,
            object,
            rank: RequestRank {
                team: None,
                route: 0,
            },
            deadline: self.now + Duration::from_secs(3),
            objective: self.now + OBJECTIVE,
            answers_until: None,
            homes: &[],
            tried,
            resend: !tried.is_empty(),
        };
        self.dispatcher.choose(self.now, &request)
    }

    fn end(&mut self, choice: &Choice, took: Duration, outcome: SendOutcome) {
        let end = SendEnd::new(choice, outcome);
        self.dispatcher.ended(self.now + took, &end);
    }

    /// Sends a request for each of 1,000 objects; returns the names of their backend servers.
    fn spread(&mut self) -> Vec<String> {
        let mut names = Vec::new();
        for object in 0..1_000 {
            let choice = self.choose(Some(object)).unwrap();
            self.end(&choice, Duration::from_millis(100), SendOutcome::Answered);
            names.push(choice.name.to_string());
        }
        names
    }
}

fn at_target(names: &[String]) -> usize {
    names.iter().filter(|name| name.starts_with("v2")).count()
}

/// Generates a test for each stage: how many of 1,000 objects are served by the target version, and
/// by how many of its 20 backend servers. Guards against a new version that gets more requests than
/// its share, and against one whose backend servers have less load than the others, so that a fault
/// that shows only under load is missed.
macro_rules! stage_cases {
    ($($name:ident: $phases:expr => $objects:expr, $servers:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut control = Control::new();
                control.order(order("v2", 15, 0));
                for phase in $phases {
                    control.step(phase);
                }
                let names = Entry::new(&control).spread();
                let objects = at_target(&names);
                assert!($objects.contains(&objects), "{objects}");
                let servers: BTreeSet<_> = names.iter().filter(|name| name.starts_with("v2")).collect();
                assert!($servers.contains(&servers.len()), "{servers:?}");
            }
        )*
    };
}

stage_cases! {
    test_rollout_ordered_sends_nothing: [] => 0..1, 0..1;
    test_rollout_canary_gets_its_share: [partial(80)] => 60..100, 3..4;
    test_rollout_second_stage_gets_its_share: [partial(250)] => 220..280, 4..7;
    test_rollout_finishing_sends_all: [partial(80), RolloutPhase::Finishing] => 1_000..1_001, 20..21;
    test_rollout_completed_sends_all:
        [partial(80), RolloutPhase::Finishing, RolloutPhase::Completed] => 1_000..1_001, 20..21;
    test_rollout_rolled_back_sends_nothing: [partial(80), rolled_back()] => 0..1, 0..1;
}

/// Guards against objects that move between the versions, and lose their cached data, with each
/// stage: an object that has moved stays.
#[test]
fn test_rollout_objects_move_once() {
    let mut control = Control::new();
    control.order(order("v2", 15, 0));
    control.step(partial(80));
    let mut entry = Entry::new(&control);
    let canary = entry.spread();
    control.step(partial(250));
    entry.follow(&control);
    let second = entry.spread();
    let moved_back = canary
        .iter()
        .zip(&second)
        .filter(|(before, after)| before.starts_with("v2") && !after.starts_with("v2"));
    assert_eq!(moved_back.count(), 0);
}

/// Guards against requests without an object that all go to one version.
#[test]
fn test_rollout_shares_requests_without_object() {
    let mut control = Control::new();
    control.order(order("v2", 15, 0));
    control.step(partial(250));
    let mut entry = Entry::new(&control);
    let mut names = Vec::new();
    for _ in 0..400 {
        let choice = entry.choose(None).unwrap();
        entry.end(&choice, Duration::from_millis(100), SendOutcome::Answered);
        names.push(choice.name.to_string());
    }
    assert!((80..=120).contains(&at_target(&names)));
}

/// Guards against an entry VM out of control's reach that goes on with a version that was rolled
/// back meanwhile.
#[test]
fn test_rollout_out_of_reach_keeps_to_the_other_versions() {
    let mut control = Control::new();
    control.order(order("v2", 15, 0));
    control.step(partial(250));
    let mut entry = Entry::new(&control);
    entry.now += Duration::from_secs(2);
    assert_eq!(at_target(&entry.spread()), 0);
}

/// Guards against callers that are refused because a new version refuses or fails each of its
/// requests, and these need more resends than the limit allows.
#[rstest]
#[case::refuses(SendOutcome::Shed)]
#[case::fails(SendOutcome::Broken)]
fn test_rollout_exposes_only_requests_that_can_be_sent_again(#[case] outcome: SendOutcome) {
    const AT_ONCE: usize = 8;
    let mut control = Control::new();
    control.order(order("v2", 15, 0));
    control.step(partial(500));
    let mut entry = Entry::new(&control);
    let mut exposed = 0;
    for objects in (0..4_000).collect::<Vec<u64>>().chunks(AT_ONCE) {
        entry.now += Duration::from_millis(20);
        entry.dispatcher.note_control_contact(entry.now);
        let chosen = objects
            .iter()
            .map(|object| (*object, entry.choose(Some(*object))));
        let chosen: Vec<(u64, Choice)> = chosen
            .map(|(object, choice)| (object, choice.unwrap()))
            .collect();
        for (object, choice) in chosen {
            let fails = choice.name.as_str().starts_with("v2");
            let outcome = if fails {
                outcome
            } else {
                SendOutcome::Answered
            };
            entry.end(&choice, Duration::ZERO, outcome);
            if fails {
                exposed += 1;
                let again = entry.choose_again(Some(object), choice.backend);
                let again = again.unwrap_or_else(|refused| panic!("{refused:?} after {exposed}"));
                entry.end(&again, Duration::ZERO, SendOutcome::Answered);
            }
        }
    }
    assert!(exposed > 100, "{exposed}");
}

/// Guards against an outage of a service that has backend servers of the target version only, and
/// against requests to a version that was rolled back when there is no other.
#[test]
fn test_rollout_without_other_versions() {
    let mut control = Control::new();
    control.order(order("v2", 15, 0));
    control.step(partial(80));
    let incarnations = (0..20).map(|number| heatherring_lib::fleet_record::BackendIncarnation {
        backend: BackendName::new(format!("v1-{number}")),
        born: 1,
    });
    control.apply(FleetCommand::ForgetBackends(incarnations.collect()));
    let mut entry = Entry::new(&control);
    assert_eq!(at_target(&entry.spread()), 1_000);
    control.step(rolled_back());
    entry.follow(&control);
    let refused = entry.choose(Some(1)).unwrap_err();
    assert_eq!(refused.reason, RefusedReason::NoBackend);
}

/// Guards against a service that loses its backend servers when they are replaced, after a
/// completed rollout, by ones of yet another version.
#[test]
fn test_rollout_completed_admits_later_versions() {
    let mut control = Control::new();
    control.order(order("v2", 15, 0));
    for phase in [
        partial(80),
        RolloutPhase::Finishing,
        RolloutPhase::Completed,
    ] {
        control.step(phase);
    }
    control.apply(FleetCommand::AnnounceVersions(vec![
        backend(200, "v3").into(),
    ]));
    let view = control.view();
    assert!(view.may_send(&BackendName::new("v3-200"), 1));
    assert!(view.may_send(&BackendName::new("v2-100"), 1));
    assert!(!view.may_send(&BackendName::new("v1-1"), 1));
}

/// Generates a test for each way in which a request to the target version can end, and how it is
/// counted. Guards against a faulty version that is not noticed.
macro_rules! quality_cases {
    ($($name:ident: $took:expr, $outcome:expr => $counts:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut control = Control::new();
                control.order(order("v2", 15, 0));
                control.step(RolloutPhase::Finishing);
                let mut entry = Entry::new(&control);
                let choice = entry.choose(Some(7)).unwrap();
                let took = Duration::from_millis($took);
                let _ = entry.dispatcher.take_rollout_reports(entry.now + took);
                entry.end(&choice, took, $outcome);
                let choice = entry.choose(Some(7)).unwrap();
                entry.end(&choice, took, $outcome);
                let reports = entry.dispatcher.take_rollout_reports(entry.now);
                let total = reports[0].evidence.total(Side::Target);
                assert_eq!((total.good, total.failed, total.slow), $counts);
            }
        )*
    };
}

quality_cases! {
    test_rollout_counts_a_good_answer: 100, SendOutcome::Answered => (2, 0, 0);
    test_rollout_counts_a_failure: 100, SendOutcome::Faulty => (0, 2, 0);
    test_rollout_counts_a_broken_answer: 100, SendOutcome::Broken => (0, 2, 0);
    test_rollout_counts_no_rejection: 100, SendOutcome::Shed => (0, 0, 0);
    test_rollout_counts_an_overdue_request_once: 2_900, SendOutcome::Abandoned => (0, 0, 0);
    test_rollout_counts_a_slow_answer: 1_900, SendOutcome::Answered => (0, 0, 1);
}

/// Guards against a hanging version that is noticed only when its requests time out.
#[test]
fn test_rollout_counts_requests_that_hang() {
    let mut control = Control::new();
    control.order(order("v2", 15, 0));
    control.step(RolloutPhase::Finishing);
    let mut entry = Entry::new(&control);
    let _choice = entry.choose(Some(7)).unwrap();
    let later = entry.now + Duration::from_secs(2);
    let reports = entry.dispatcher.take_rollout_reports(later);
    assert_eq!(reports[0].evidence.total(Side::Target).slow, 1);
    let again = entry.dispatcher.take_rollout_reports(later);
    assert!(again[0].evidence.is_empty());
}

/// Guards against backend servers that are stopped while requests or answers are in progress there.
#[test]
fn test_rollout_is_idle_once_the_others_have_finished() {
    let mut control = Control::new();
    control.order(order("v2", 15, 0));
    control.step(partial(80));
    let mut entry = Entry::new(&control);
    let choice = entry.choose(Some(7)).unwrap();
    assert!(choice.name.as_str().starts_with("v1"));
    control.step(RolloutPhase::Finishing);
    entry.follow(&control);
    let is_idle = |entry: &mut Entry| {
        let reports = entry.dispatcher.take_rollout_reports(entry.now);
        !reports[0].idle.is_empty()
    };
    assert!(!is_idle(&mut entry));
    entry.dispatcher.stream_began(choice.backend);
    entry.end(&choice, Duration::from_millis(100), SendOutcome::Answered);
    assert!(!is_idle(&mut entry));
    entry.dispatcher.stream_ended(choice.backend);
    assert!(is_idle(&mut entry));
}

/// Guards against requests that are refused because their version is at the limits that its backend
/// servers declare, although the other version could serve them.
#[test]
fn test_rollout_at_its_limits_is_served_by_the_other_version() {
    let mut control = Control::new();
    control.order(order("v2", 15, 0));
    control.step(partial(80));
    let mut entry = Entry::new(&control);
    let view = control.view();
    let others = view
        .backends
        .iter()
        .filter(|(name, _)| !name.as_str().starts_with("v2"));
    let limits: Vec<LimitStatement> = others
        .map(|(name, record)| LimitStatement {
            backend: name.clone(),
            born: record.born,
            rate: RequestRate::new(0.0),
            age_ms: 0,
            limited_ms: 0,
        })
        .collect();
    entry.dispatcher.apply_limits(entry.now, &limits);
    let at_others = 1_000 - at_target(&entry.spread());
    // Each may get the one request that asks whether its limit has ended.
    assert!(at_others <= limits.len(), "{at_others}");
}
