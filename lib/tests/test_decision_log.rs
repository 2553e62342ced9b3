//! Tests of the log of recent decisions and of the explanations of decisions.

use heatherring_lib::decision_log::DecisionFilter;
use heatherring_lib::decision_log::DecisionLog;
use heatherring_lib::decision_record::Decision;
use heatherring_lib::decision_record::DecisionKind;
use heatherring_lib::decision_record::DecisionRecord;
use heatherring_lib::decision_record::Distance;
use heatherring_lib::decision_record::LookUpDecision;
use heatherring_lib::decision_record::RefusalDecision;
use heatherring_lib::decision_record::RefusalReason;
use heatherring_lib::decision_record::SteeringDecision;
use heatherring_lib::decision_record::Try;
use heatherring_lib::decision_record::TryEnding;
use heatherring_lib::decision_record::limits_behind;
use heatherring_lib::explanation::explain;
use heatherring_lib::id::ManifestVersion;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::VmName;
use heatherring_lib::manifest::Manifest;
use heatherring_lib::manifest_text::read_manifest;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::UnknownReason;
use heatherring_lib::shift_budget::Shift;

const KYUSHU: &str = include_str!("../../samples/kyushu.jsonc");

fn manifest() -> Manifest {
    read_manifest("kyushu.jsonc", KYUSHU).unwrap()
}

fn record(request_id: &str, decision: Decision) -> DecisionRecord {
    DecisionRecord {
        request_id: request_id.to_owned(),
        unix_ms: 0,
        revision: Revision(7),
        manifest_version: ManifestVersion(1),
        decision,
    }
}

fn look_up() -> Decision {
    Decision::LookUp(LookUpDecision {
        service: ServiceName::new("registry"),
        origin: PlaceName::new("kmm-kikuyo"),
        distance: Distance::SameRegion,
        entry: VmName::new("entry-3"),
        backups: vec![VmName::new("entry-1"), VmName::new("entry-2")],
    })
}

fn refusal(reason: RefusalReason, retry_after_ms: u64) -> Decision {
    Decision::Refusal(RefusalDecision {
        method: "GET".to_owned(),
        service: Some(ServiceName::new("certdesk")),
        reason,
        retry_after_ms,
    })
}

fn overloaded() -> Decision {
    refusal(RefusalReason::NotRun(NotRunReason::Overloaded), 250)
}

fn request_ids(log: &DecisionLog, filter: &DecisionFilter) -> Vec<String> {
    let records = log.recent(filter, usize::MAX);
    records
        .iter()
        .map(|record| record.request_id.clone())
        .collect()
}

#[test]
fn test_decision_log_is_bounded_and_newest_first() {
    let mut log = DecisionLog::new(2);
    for id in ["a", "b", "c"] {
        log.push(record(id, overloaded()));
    }
    assert_eq!(request_ids(&log, &DecisionFilter::default()), ["c", "b"]);
    assert_eq!(log.recent(&DecisionFilter::default(), 1).len(), 1);
}

#[test]
fn test_decision_log_look_ups_evict_no_refusal() {
    // With a single store for all decisions, a refusal was evicted by look-ups at the usual rate
    // within seconds, and `explain` no longer found it.
    let mut log = DecisionLog::new(2);
    log.push(record("refused", overloaded()));
    for id in ["a", "b", "c"] {
        log.push(record(id, look_up()));
    }
    assert_eq!(
        request_ids(&log, &DecisionFilter::default()),
        ["c", "b", "refused"]
    );
}

macro_rules! filter_cases {
    ($($name:ident: $filter:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut log = DecisionLog::new(10);
                log.push(record("a", look_up()));
                log.push(record("b", overloaded()));
                let expected: &[&str] = &$expected;
                assert_eq!(request_ids(&log, &$filter), expected);
            }
        )*
    };
}

filter_cases! {
    test_decision_log_filter_request:
        DecisionFilter { request_id: Some("a".to_owned()), ..DecisionFilter::default() } => ["a"];
    test_decision_log_filter_service:
        DecisionFilter { service: Some(ServiceName::new("certdesk")), ..DecisionFilter::default() } => ["b"];
    test_decision_log_filter_kind:
        DecisionFilter { kind: Some(DecisionKind::LookUp), ..DecisionFilter::default() } => ["a"];
    test_decision_log_filter_all_together:
        DecisionFilter {
            request_id: Some("a".to_owned()),
            service: Some(ServiceName::new("certdesk")),
            kind: None,
        } => [];
}

/// Returns a try for a caller at Hakata that was refused at a place for a reason.
fn refused_try(place: &str, reason: NotRunReason) -> Try {
    let place = PlaceName::new(place);
    let limits = limits_behind(
        reason,
        Shift {
            manifest: &manifest(),
            service: &ServiceName::new("registry"),
            origin: &PlaceName::new("fko-hakata"),
            place: &place,
        },
    );
    Try {
        place,
        owner: "entry-9".to_owned(),
        ending: TryEnding::NotRun(reason),
        limits,
    }
}

#[test]
fn test_explanation_names_the_limits_that_decided() {
    let decision = Decision::Steering(SteeringDecision {
        service: ServiceName::new("registry"),
        operation: "cube-results".to_owned(),
        origin: PlaceName::new("fko-hakata"),
        tries: vec![
            refused_try("fko-hakata", NotRunReason::PlaceLimit),
            refused_try("kmm-kikuyo", NotRunReason::ShiftCap),
            refused_try("kgs-taniyama", NotRunReason::LinkLimit),
            Try {
                place: PlaceName::new("fko-kokura"),
                owner: String::new(),
                ending: TryEnding::Unknown(UnknownReason::ConnectionLost),
                limits: Vec::new(),
            },
        ],
    });
    insta::assert_snapshot!(explain(&record("a", decision)).join("\n"));
}

#[test]
fn test_explanation_of_a_look_up() {
    insta::assert_snapshot!(explain(&record("a", look_up())).join("\n"));
}

#[test]
fn test_explanation_of_refusals() {
    let waiting = refusal(RefusalReason::NotRun(NotRunReason::ShiftCap), 400);
    let unknown = refusal(RefusalReason::Unknown(UnknownReason::ActionRecorded), 0);
    let lines = [waiting, unknown].map(|decision| explain(&record("a", decision)).join("\n"));
    insta::assert_snapshot!(lines.join("\n\n"));
}

#[test]
fn test_decision_record_survives_json() {
    for decision in [look_up(), overloaded()] {
        let record = record("a", decision);
        let text = serde_json::to_string(&record).unwrap();
        let read: DecisionRecord = serde_json::from_str(&text).unwrap();
        assert_eq!(read, record);
    }
}
