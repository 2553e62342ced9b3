//! Tests of the judges of the route manifest: each finds a made-up violation, and lets pass a
//! record that differs from it by little.

use std::sync::Arc;

use heatherring_testutils::config_judge::Bounds;
use heatherring_testutils::config_judge::Fault;
use heatherring_testutils::config_judge::judge_confirmations;
use heatherring_testutils::config_judge::judge_in_force;
use heatherring_testutils::config_judge::judge_untimed;
use heatherring_testutils::config_record::Change;
use heatherring_testutils::config_record::Event;
use heatherring_testutils::config_record::Happening;
use heatherring_testutils::config_record::Order;
use heatherring_testutils::config_record::OrderAnswer;
use heatherring_testutils::config_record::Read;
use heatherring_testutils::config_record::ReadManifest;
use heatherring_testutils::config_record::Record;
use heatherring_testutils::config_record::Request;
use heatherring_testutils::config_record::RequestAnswer;
use heatherring_testutils::config_record::RouteSpec;
use heatherring_testutils::config_record::Routes;
use heatherring_testutils::config_record::Vm;
use rstest::rstest;

const BOUNDS: Bounds = Bounds {
    apply_us: 2_000_000,
    stretch_us: 5_000_000,
    ack_us: 4_000_000,
    catch_up_us: 4_000_000,
};
const MS: u64 = 1_000;
/// Time that every operation takes.
const TAKES: u64 = MS;
/// When version 2 is confirmed.
const CONFIRMED: u64 = 20_000 * MS;

const OLD: &[(&str, &str)] = &[("a", "registry"), ("dropped", "registry")];
const NEW: &[(&str, &str)] = &[("a", "certdesk"), ("b", "registry")];
const RIVAL: &[(&str, &str)] = &[("a", "third")];

fn routes(named: &[(&str, &str)]) -> Arc<Routes> {
    let spec = |service: &str| RouteSpec {
        service: service.to_owned(),
        timeout_ms: 1_000,
    };
    let named = named.iter();
    Arc::new(
        named
            .map(|(name, service)| ((*name).to_owned(), spec(service)))
            .collect(),
    )
}

/// A record under construction.
struct Story(Record);

impl Story {
    /// Begins with versions 1 and 2, both confirmed.
    fn new() -> Self {
        let record = Record {
            controls: 3,
            ..Record::default()
        };
        let mut story = Self(record);
        story.change(1, 0, OLD, 1_000 * MS, OrderAnswer::Confirmed);
        story.change(2, 1, NEW, CONFIRMED, OrderAnswer::Confirmed);
        story
    }

    /// Adds a change with an order whose answer comes at `answered_us`.
    fn change(
        &mut self,
        version: u64,
        base: u64,
        named: &[(&str, &str)],
        answered_us: u64,
        answer: OrderAnswer,
    ) {
        self.0.changes.push(Change {
            version,
            base,
            routes: routes(named),
            sent_us: answered_us - TAKES,
        });
        self.order(self.0.changes.len() - 1, answered_us, answer);
    }

    fn order(&mut self, change: usize, answered_us: u64, answer: OrderAnswer) {
        self.0.orders.push(Order {
            change,
            replica: 0,
            sent_us: answered_us - TAKES,
            answered_us,
            answer,
        });
    }

    fn read(&mut self, version: u64, named: &[(&str, &str)], sent_us: u64) {
        self.0.reads.push(Read {
            replica: 0,
            sent_us,
            answered_us: sent_us + TAKES,
            manifest: Some(ReadManifest {
                version,
                routes: routes(named),
            }),
        });
    }

    fn request(&mut self, run: u32, route: &str, answer: RequestAnswer, sent_us: u64) {
        self.0.requests.push(Request {
            entry: 0,
            run,
            route: route.to_owned(),
            sent_us,
            answered_us: sent_us + TAKES,
            answer,
        });
    }

    fn served(&mut self, route: &str, service: &str, sent_us: u64) {
        self.request(1, route, RequestAnswer::Served(service.to_owned()), sent_us);
    }

    fn event(&mut self, vm: Vm, what: Happening, at_us: u64) {
        self.0.events.push(Event { at_us, vm, what });
    }

    fn faults(&self) -> Vec<Fault> {
        let mut found = judge_in_force(&self.0, BOUNDS);
        found.extend(judge_untimed(&self.0, BOUNDS));
        found.extend(judge_confirmations(&self.0, BOUNDS));
        found.into_iter().map(|violation| violation.fault).collect()
    }
}

fn served(service: &str) -> RequestAnswer {
    RequestAnswer::Served(service.to_owned())
}

#[rstest]
#[case::old_service("a", served("registry"), 2_002, &[Fault::InForceLate])]
#[case::dropped_route("dropped", served("registry"), 2_002, &[Fault::InForceLate])]
#[case::added_route("b", RequestAnswer::NoRoute, 2_002, &[Fault::InForceLate])]
#[case::route_of_all_versions("a", RequestAnswer::NoRoute, 2_002, &[Fault::InForceLate])]
#[case::within_the_bound("a", served("registry"), 1_999, &[])]
#[case::new_service("a", served("certdesk"), 2_002, &[])]
#[case::dropped_unknown("dropped", RequestAnswer::NoRoute, 2_002, &[])]
#[case::refused("b", RequestAnswer::Refused(503), 2_002, &[])]
#[case::silent("b", RequestAnswer::Silent, 2_002, &[])]
fn test_config_judge_in_force(
    #[case] route: &str,
    #[case] answer: RequestAnswer,
    #[case] after_ms: u64,
    #[case] expected: &[Fault],
) {
    let mut story = Story::new();
    story.request(1, route, answer, CONFIRMED + after_ms * MS);
    assert_eq!(story.faults(), expected);
}

#[rstest]
#[case::nothing(&[], 2_002, true)]
#[case::own_fault(&[(Vm::Entry(0), Happening::Thawed, 0)], 2_999, false)]
#[case::own_fault_long_ago(&[(Vm::Entry(0), Happening::Thawed, 0)], 3_001, true)]
#[case::other_entry(&[(Vm::Entry(1), Happening::Thawed, 0)], 2_999, true)]
#[case::still_cut(&[(Vm::Entry(0), Happening::Cut, 0)], 9_000, false)]
#[case::core_stretched(&[(Vm::Control(0), Happening::Killed, 4_100)], 6_900, false)]
#[case::core_stretch_over(&[(Vm::Control(0), Happening::Killed, 4_100)], 7_002, true)]
#[case::core_calm_again(&[(Vm::Control(0), Happening::Killed, 1_000)], 4_002, true)]
#[case::own_end(&[(Vm::Control(0), Happening::EndedByItself(String::new()), 1_000)], 2_002, true)]
#[case::majority_down(
    &[(Vm::Control(0), Happening::Killed, 0), (Vm::Control(1), Happening::Killed, 0)], 9_000, false
)]
fn test_config_judge_in_force_in_touch(
    #[case] events: &[(Vm, Happening, u64)],
    #[case] after_ms: u64,
    #[case] is_found: bool,
) {
    let mut story = Story::new();
    for (vm, what, at_ms) in events {
        story.event(*vm, what.clone(), CONFIRMED + at_ms * MS);
    }
    story.served("a", "registry", CONFIRMED + after_ms * MS);
    assert_eq!(story.faults().contains(&Fault::InForceLate), is_found);
}

#[rstest]
#[case::older(1, OLD, 2_002, &[Fault::ReadOlder])]
#[case::older_within_the_bound(1, OLD, 1_999, &[])]
#[case::newest(2, NEW, 2_002, &[])]
#[case::other_content(2, OLD, 2_002, &[Fault::ReadForeign])]
#[case::unknown_version(3, NEW, 2_002, &[Fault::ReadForeign])]
#[case::emptied(0, &[], 2_002, &[Fault::ReadOlder])]
fn test_config_judge_reads(
    #[case] version: u64,
    #[case] named: &[(&str, &str)],
    #[case] after_ms: u64,
    #[case] expected: &[Fault],
) {
    let mut story = Story::new();
    story.read(version, named, CONFIRMED + after_ms * MS);
    assert_eq!(story.faults(), expected);
}

#[rstest]
#[case::refused(OrderAnswer::Conflict, &[Fault::ReadForeign])]
#[case::invalid(OrderAnswer::Invalid, &[Fault::ReadForeign])]
#[case::unclear(OrderAnswer::Unclear, &[])]
fn test_config_judge_reads_of_rival(#[case] answer: OrderAnswer, #[case] expected: &[Fault]) {
    let mut story = Story::new();
    story.change(3, 2, RIVAL, CONFIRMED + MS, answer);
    story.change(3, 2, NEW, CONFIRMED + MS, OrderAnswer::Unclear);
    story.read(3, RIVAL, CONFIRMED + 10 * MS);
    assert_eq!(story.faults(), expected);
}

#[rstest]
#[case::nobody(false, &[Fault::ReadNothing])]
#[case::somebody(true, &[])]
fn test_config_judge_reads_at_end(#[case] is_read: bool, #[case] expected: &[Fault]) {
    let mut story = Story::new();
    story.0.end_us = Some(CONFIRMED + 10 * MS);
    story.read(2, NEW, CONFIRMED + MS);
    if is_read {
        story.read(2, NEW, CONFIRMED + 11 * MS);
    }
    assert_eq!(story.faults(), expected);
}

#[rstest]
#[case::old_service(1, "a", served("registry"), 252, &[Fault::WentBack])]
#[case::dropped_route(1, "dropped", served("registry"), 252, &[Fault::WentBack])]
#[case::added_route(1, "b", RequestAnswer::NoRoute, 252, &[Fault::WentBack])]
#[case::within_the_slack(1, "a", served("registry"), 250, &[])]
#[case::another_run(2, "a", served("registry"), 252, &[])]
#[case::new_service(1, "a", served("certdesk"), 252, &[])]
fn test_config_judge_going_back(
    #[case] run: u32,
    #[case] route: &str,
    #[case] answer: RequestAnswer,
    #[case] after_ms: u64,
    #[case] expected: &[Fault],
) {
    let mut story = Story::new();
    story.served("a", "certdesk", CONFIRMED);
    story.request(run, route, answer, CONFIRMED + after_ms * MS);
    assert_eq!(story.faults(), expected);
}

#[rstest]
#[case::after_a_fault(252, false)]
#[case::long_after_a_fault(2_002, true)]
fn test_config_judge_going_back_when_impaired(#[case] after_ms: u64, #[case] is_found: bool) {
    let mut story = Story::new();
    story.event(Vm::Entry(0), Happening::Thawed, CONFIRMED);
    story.served("a", "certdesk", CONFIRMED);
    story.served("a", "registry", CONFIRMED + after_ms * MS);
    assert_eq!(story.faults().contains(&Fault::WentBack), is_found);
}

/// Guards against a judge that takes an effect which several versions allow for the newest one's.
#[test]
fn test_config_judge_going_back_ambiguous_effect() {
    let mut story = Story::new();
    story.change(3, 2, OLD, CONFIRMED + MS, OrderAnswer::Unclear);
    story.served("a", "registry", CONFIRMED + 2 * MS);
    story.served("a", "certdesk", CONFIRMED + 500 * MS);
    assert_eq!(story.faults(), []);
}

#[rstest]
#[case::confirmed(2, RIVAL, OrderAnswer::Confirmed, &[Fault::ConfirmedTwice])]
#[case::other_number(3, NEW, OrderAnswer::Confirmed, &[Fault::ConfirmedTwice])]
#[case::same_change(2, NEW, OrderAnswer::Confirmed, &[])]
#[case::refused(2, RIVAL, OrderAnswer::Conflict, &[])]
#[case::unclear(2, RIVAL, OrderAnswer::Unclear, &[])]
fn test_config_judge_orders_of_rivals(
    #[case] version: u64,
    #[case] named: &[(&str, &str)],
    #[case] answer: OrderAnswer,
    #[case] expected: &[Fault],
) {
    let mut story = Story::new();
    story.change(version, 1, named, CONFIRMED, answer);
    assert_eq!(story.faults(), expected);
}

#[rstest]
#[case::at_once(false, &[Fault::RefusedAfterConfirmation])]
#[case::after_another(true, &[])]
fn test_config_judge_orders_again(#[case] another: bool, #[case] expected: &[Fault]) {
    let mut story = Story::new();
    if another {
        story.change(3, 2, OLD, CONFIRMED + MS, OrderAnswer::Unclear);
    }
    story.order(1, CONFIRMED + 10 * MS, OrderAnswer::Conflict);
    assert_eq!(story.faults(), expected);
}

#[rstest]
#[case::alone(None, &[Fault::RefusedWithoutRival])]
#[case::rival_unclear(Some(OrderAnswer::Unclear), &[])]
#[case::rival_confirmed(Some(OrderAnswer::Confirmed), &[])]
#[case::both_refused(
    Some(OrderAnswer::Conflict), &[Fault::RefusedWithoutRival, Fault::RefusedWithoutRival]
)]
fn test_config_judge_orders_refused(
    #[case] rival: Option<OrderAnswer>,
    #[case] expected: &[Fault],
) {
    let mut story = Story::new();
    if let Some(rival) = rival {
        story.change(3, 2, OLD, CONFIRMED + MS, rival);
    }
    story.change(3, 2, RIVAL, CONFIRMED + 2 * MS, OrderAnswer::Conflict);
    assert_eq!(story.faults(), expected);
}

#[rstest]
#[case::refused(Some(OrderAnswer::Conflict), &[Fault::RefusedInForce])]
#[case::unclear(Some(OrderAnswer::Unclear), &[])]
#[case::never_ordered(None, &[Fault::NeverOrdered])]
fn test_config_judge_refused(#[case] answer: Option<OrderAnswer>, #[case] expected: &[Fault]) {
    let mut story = Story::new();
    story.change(3, 2, OLD, CONFIRMED + MS, OrderAnswer::Unclear);
    if let Some(answer) = answer {
        story.change(3, 2, RIVAL, CONFIRMED + MS, answer);
    }
    story.served("a", "third", CONFIRMED + 10 * MS);
    assert_eq!(story.faults(), expected);
}

const KILLED: Happening = Happening::Killed;

/// Makes version 3, which is ordered again and again from `CONFIRMED` + 10 s on.
fn story_with_late_change(events: &[(usize, Happening, u64)], answered_ms: Option<u64>) -> Story {
    let mut story = Story::new();
    story.0.controls = 5;
    story.0.regions = ["east", "west", "north", "east", "west"]
        .map(str::to_owned)
        .to_vec();
    story.0.end_us = Some(CONFIRMED + 30_000 * MS);
    let (version, read) = if answered_ms.is_some() {
        (3, RIVAL)
    } else {
        (2, NEW)
    };
    story.read(version, read, CONFIRMED + 31_000 * MS);
    for (control, what, at_ms) in events {
        story.event(Vm::Control(*control), what.clone(), CONFIRMED + at_ms * MS);
    }
    let sent_us = CONFIRMED + 10_000 * MS;
    story.change(3, 2, RIVAL, sent_us + TAKES, OrderAnswer::Unclear);
    if let Some(answered_ms) = answered_ms {
        story.order(2, sent_us + answered_ms * MS, OrderAnswer::Confirmed);
    }
    story
}

#[rstest]
#[case::never(&[], None, &[Fault::ConfirmedLate])]
#[case::late(&[], Some(4_001), &[Fault::ConfirmedLate])]
#[case::in_time(&[], Some(4_000), &[])]
#[case::after_an_event(&[(1, Happening::Thawed, 6_999)], None, &[Fault::ConfirmedLate])]
#[case::one_lost_for_long(&[(1, KILLED, 6_000)], None, &[Fault::ConfirmedLate])]
#[case::two_lost_for_long(&[(1, KILLED, 0), (2, KILLED, 0)], None, &[Fault::ConfirmedLate])]
#[case::majority_lost(&[(1, KILLED, 0), (2, KILLED, 0), (3, KILLED, 0)], None, &[])]
#[case::asked_the_lost_one(&[(0, Happening::Cut, 0)], None, &[])]
#[case::one_lost(&[(1, KILLED, 12_000)], None, &[Fault::ConfirmedLateBesideLoss])]
#[case::region_lost(
    &[(1, Happening::Cut, 9_000), (4, Happening::Cut, 9_000)], None,
    &[Fault::ConfirmedLateBesideLoss]
)]
#[case::two_regions_lost(&[(1, KILLED, 9_000), (2, KILLED, 9_000)], None, &[])]
#[case::successor_is_new(
    &[(3, Happening::Started, 6_500), (1, KILLED, 9_000)], None, &[]
)]
#[case::successor_has_caught_up(
    &[(3, Happening::Started, 5_999), (1, KILLED, 9_000)], None,
    &[Fault::ConfirmedLateBesideLoss]
)]
#[case::predecessor_ended(
    &[(3, Happening::PredecessorEnded, 9_000)], None, &[Fault::ConfirmedLateBesideLoss]
)]
#[case::predecessor_ended_and_one_lost(
    &[(3, Happening::PredecessorEnded, 9_000), (1, KILLED, 9_000)], None,
    &[Fault::ConfirmedLateBesideLoss]
)]
#[case::predecessor_of_a_new_one_ended(
    &[
        (3, Happening::Started, 6_500),
        (3, Happening::PredecessorEnded, 9_000),
        (1, KILLED, 9_000),
    ],
    None,
    &[]
)]
fn test_config_judge_confirmations(
    #[case] events: &[(usize, Happening, u64)],
    #[case] answered_ms: Option<u64>,
    #[case] expected: &[Fault],
) {
    assert_eq!(
        story_with_late_change(events, answered_ms).faults(),
        expected
    );
}

/// Guards against a judge that names the loss beside the first order, and not that control was
/// stable by the next one.
#[test]
fn test_config_judge_confirmations_again_when_stable() {
    let mut story = story_with_late_change(&[(1, KILLED, 12_000)], None);
    story.order(2, CONFIRMED + 16_000 * MS, OrderAnswer::Unclear);
    assert_eq!(story.faults(), [Fault::ConfirmedLate]);
}

/// Guards against a judge that counts a refusal, which is an answer, as late, or an order again
/// after a refusal.
#[test]
fn test_config_judge_confirmations_refused() {
    let mut story = story_with_late_change(&[], None);
    story.order(2, CONFIRMED + 10_500 * MS, OrderAnswer::Conflict);
    story.order(2, CONFIRMED + 16_000 * MS, OrderAnswer::Unclear);
    assert_eq!(story.faults(), [Fault::RefusedWithoutRival]);
}

/// Guards against a judge that counts what is ordered before the deployment has formed.
#[test]
fn test_config_judge_confirmations_before_the_first() {
    let mut story = Story::new();
    story.0.end_us = Some(CONFIRMED);
    story.read(2, NEW, CONFIRMED + TAKES);
    story.0.orders[0].answered_us = 6_000 * MS;
    assert_eq!(story.faults(), []);
}
