//! Shows that each check of a history can fail.

use std::collections::BTreeSet;

use heatherring_testutils::caller::Attempt;
use heatherring_testutils::caller::CallRecord;
use heatherring_testutils::caller::Refusal;
use heatherring_testutils::caller::Told;
use heatherring_testutils::ledger::Asked;
use heatherring_testutils::ledger::Finish;
use heatherring_testutils::ledger::LedgerEvent;
use heatherring_testutils::ledger::LedgerEventKind;
use heatherring_testutils::request_history::ArrivalCap;
use heatherring_testutils::request_history::DrainMark;
use heatherring_testutils::request_history::RequestHistory;
use heatherring_testutils::request_history::Violation;

const DRAIN_BOUND_US: u64 = 5_000_000;
const DIGEST: &str = "digest";

fn event(at_us: u64, backend: &str, kind: LedgerEventKind) -> LedgerEvent {
    LedgerEvent {
        at_us,
        backend: backend.to_owned(),
        service: "registry".to_owned(),
        place: "fko-hakata".to_owned(),
        slots: 1,
        in_use: 1,
        kind,
    }
}

fn asked(nonce: &str, key: Option<&str>) -> Asked {
    Asked {
        nonce: nonce.to_owned(),
        key: key.map(ToOwned::to_owned),
        origin: "kmm-kikuyo".to_owned(),
        digest: DIGEST.to_owned(),
        ..Asked::default()
    }
}

fn start(at_us: u64, backend: &str, nonce: &str, key: Option<&str>) -> LedgerEvent {
    event(at_us, backend, LedgerEventKind::Start(asked(nonce, key)))
}

fn end(at_us: u64, backend: &str, nonce: &str) -> LedgerEvent {
    let kind = LedgerEventKind::End {
        nonce: nonce.to_owned(),
        finish: Finish::Answered,
    };
    event(at_us, backend, kind)
}

fn call(nonce: &str, key: Option<&str>, told: Told) -> CallRecord {
    let attempt = Attempt {
        entry: "127.0.0.1:7201".parse().unwrap(),
        nonce: nonce.to_owned(),
        key: key.map(ToOwned::to_owned),
        digest: DIGEST.to_owned(),
        sent_us: 0,
        ended_us: 1,
        told,
    };
    CallRecord {
        caller: "caller".to_owned(),
        origin: "kmm-kikuyo".to_owned(),
        service: "registry".to_owned(),
        action: key.is_some(),
        attempts: vec![attempt],
    }
}

fn answer() -> Told {
    Told::Answer {
        backend: "b1".to_owned(),
        place: "fko-hakata".to_owned(),
    }
}

fn not_run() -> Told {
    Told::Refused {
        status: 503,
        refusal: Refusal {
            outcome: "not_run".to_owned(),
            reason: "no_capacity".to_owned(),
            message: String::new(),
            retry_after_ms: Some(1),
        },
    }
}

/// Returns a history without any fault: one action, one other request, one refusal.
fn sound() -> RequestHistory {
    RequestHistory {
        calls: vec![
            call("n1", Some("k1"), answer()),
            call("n2", None, answer()),
            call("n3", None, not_run()),
        ],
        events: vec![
            start(10, "b1", "n1", Some("k1")),
            end(20, "b1", "n1"),
            start(30, "b1", "n2", None),
            end(40, "b1", "n2"),
            event(50, "b1", LedgerEventKind::Leaving),
        ],
        caps: vec![ArrivalCap {
            service: "registry".to_owned(),
            origins: BTreeSet::from(["kmm-kikuyo".to_owned()]),
            places: BTreeSet::from(["fko-hakata".to_owned()]),
            max: 2,
            from_us: 0,
        }],
        drains: Vec::new(),
        drain_bound_us: DRAIN_BOUND_US,
    }
}

#[test]
fn test_request_history_sound() {
    assert_eq!(sound().check(), []);
}

macro_rules! fault_cases {
    ($($name:ident: $spoil:expr => $violation:pat,)*) => {
        $(
            #[test]
            fn $name() {
                let mut history = sound();
                let spoil: fn(&mut RequestHistory) = $spoil;
                spoil(&mut history);
                let violations = history.check();
                assert!(
                    matches!(violations.as_slice(), [$violation, ..]),
                    "{violations:?}"
                );
            }
        )*
    };
}

fault_cases! {
    test_request_history_key_twice: |history| {
        history.events.push(start(60, "b2", "n1", Some("k1")));
    } => Violation::RanTwice { .. },
    // The second run lost its key on the way; its nonce gives it away.
    test_request_history_nonce_twice: |history| {
        history.events.push(start(60, "b2", "n1", None));
    } => Violation::RanTwice { .. },
    // Nobody told us of the caller, but the ledgers alone show the second run.
    test_request_history_unknown_caller_twice: |history| {
        history.calls.remove(0);
        history.events.push(start(60, "b2", "n9", Some("k1")));
    } => Violation::RanTwice { .. },
    test_request_history_not_run_ran: |history| {
        history.events.push(start(60, "b2", "n3", None));
    } => Violation::RanAfterAll { .. },
    test_request_history_wrong_answer: |history| {
        let fault = "another caller's".to_owned();
        history.calls[1].attempts[0].told = Told::WrongAnswer { fault };
    } => Violation::WrongAnswer { .. },
    test_request_history_malformed: |history| {
        let fault = "no JSON".to_owned();
        history.calls[1].attempts[0].told = Told::Malformed { status: 500, fault };
    } => Violation::Malformed { .. },
    test_request_history_answer_from_nowhere: |history| {
        history.events.drain(2..4);
    } => Violation::AnswerFromNowhere { .. },
    test_request_history_other_request: |history| {
        history.calls[1].attempts[0].digest = "other".to_owned();
    } => Violation::OtherRequest { .. },
    test_request_history_overlap: |history| {
        history.events.remove(1);
    } => Violation::OverSlots { .. },
    // A crash ends what ran; a new life starts with no slot in use, and with no more slots.
    test_request_history_overlap_in_new_life: |history| {
        history.caps.clear();
        history.events[1] = event(20, "b1", LedgerEventKind::Started);
        history.events.insert(3, start(31, "b1", "n5", None));
    } => Violation::OverSlots { at_us: 31, .. },
    test_request_history_overrun: |history| {
        let kind = LedgerEventKind::Overrun(asked("n4", None));
        history.caps.clear();
        history.events.push(event(60, "b1", kind));
    } => Violation::OverSlots { .. },
    test_request_history_connections: |history| {
        history.events.push(event(60, "b1", LedgerEventKind::ConnectionOverrun));
    } => Violation::OverConnections { .. },
    test_request_history_work_after_leaving: |history| {
        history.events.push(start(51 + DRAIN_BOUND_US, "b1", "n4", None));
    } => Violation::WorkAfterDrain { late_us: 5_000_001, .. },
    test_request_history_work_after_planned_drain: |history| {
        history.drains.push(DrainMark {
            backends: BTreeSet::from(["b2".to_owned()]),
            from_us: 100,
            until_us: None,
        });
        history.events.push(start(101 + DRAIN_BOUND_US, "b2", "n4", None));
    } => Violation::WorkAfterDrain { .. },
    test_request_history_over_cap: |history| {
        history.events.push(start(1_000_009, "b2", "n4", None));
    } => Violation::OverCap { arrivals: 3, max: 2, .. },
}

// The windows slide: three arrivals in more than a second break no cap of two.
#[test]
fn test_request_history_cap_window() {
    let mut history = sound();
    history.events.push(start(1_000_010, "b2", "n4", None));
    assert_eq!(history.check(), []);
}
