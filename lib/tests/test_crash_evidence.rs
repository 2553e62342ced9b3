//! What an entry VM takes for the end of a backend server, and what for evidence.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::crash_evidence::CrashEvidence;
use heatherring_lib::crash_evidence::Treatment;
use heatherring_lib::fleet_record::BackendIncarnation;
use heatherring_lib::fleet_record::BackendRecord;
use heatherring_lib::fleet_record::BackendState;
use heatherring_lib::fleet_update::FleetView;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::quarantine::Ended;
use heatherring_lib::quarantine::InFlightRequest;
use heatherring_lib::quarantine::SuspectNote;
use heatherring_lib::quarantine::Verdict;
use heatherring_lib::request_fingerprint::CallerTag;
use heatherring_lib::request_fingerprint::Fingerprint;
use heatherring_lib::request_fingerprint::FingerprintKey;
use heatherring_lib::request_fingerprint::RequestContent;
use heatherring_lib::request_fingerprint::RequestTag;

fn content(number: u8) -> Fingerprint {
    let content = RequestContent {
        method: "GET",
        host: "registry.example",
        path: "/strength",
        body: &[number],
    };
    Fingerprint::of(&FingerprintKey::default(), &content)
}

fn tag(number: u8) -> RequestTag {
    let address = IpAddr::V4(Ipv4Addr::LOCALHOST);
    RequestTag {
        content: content(number),
        caller: CallerTag::of(&FingerprintKey::default(), address),
    }
}

/// A request that was sent while it was known to be watched.
fn request(number: u8) -> InFlightRequest {
    let tag = tag(number);
    InFlightRequest { tag, watched: true }
}

fn life(number: u32) -> BackendIncarnation {
    BackendIncarnation {
        backend: BackendName::new(format!("backend-{number}")),
        born: 10,
    }
}

/// A view in which backend servers 1 to 5 are in `state` since they were `born`.
fn view(state: BackendState, born: u64) -> FleetView {
    let record = BackendRecord {
        service: ServiceName::new("registry"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        place: PlaceName::new("place"),
        slots: 3,
        state,
        born,
        sequence: 1,
        cold_for: Duration::ZERO,
    };
    let backends = (1..=5).map(|number| (life(number).backend, Arc::new(record.clone())));
    let mut view = FleetView::default();
    view.backends.extend(backends);
    view
}

fn ready() -> FleetView {
    view(BackendState::Ready, 10)
}

/// Has backend servers end with a request on each.
fn end_under(evidence: &mut CrashEvidence, now: Instant, number: u8, lives: &[u32]) {
    for ended in lives {
        let unanswered = evidence.note_unanswered(now, &ready(), &life(*ended), request(number));
        assert_eq!(unanswered, None);
        assert!(evidence.note_ended(now, &ready(), &life(*ended)).is_some());
    }
}

#[test]
fn test_evidence_of_a_broken_connection_alone_is_none() {
    let mut evidence = CrashEvidence::default();
    let now = Instant::now();
    for number in 1..=5 {
        let noted = evidence.note_unanswered(now, &ready(), &life(number), request(1));
        assert_eq!(noted, None);
        evidence.note_reachable(now, &life(number));
    }
    assert_eq!(evidence.treatment(&tag(1)), None);
}

#[test]
fn test_evidence_names_all_that_stood_on_a_backend_server() {
    let mut evidence = CrashEvidence::default();
    let now = Instant::now();
    for number in [1, 2, 1] {
        evidence.note_unanswered(now, &ready(), &life(1), request(number));
    }
    evidence.note_unanswered(now, &ready(), &life(2), request(3));
    let ended = evidence.note_ended(now, &ready(), &life(1)).unwrap();
    let mut expected = vec![request(1), request(2)];
    expected.sort();
    assert_eq!(ended.requests, expected);
    // One that is given up on later stood there too.
    let late = evidence.note_unanswered(now, &ready(), &life(1), request(4));
    let expected = Ended {
        life: life(1),
        requests: vec![request(4)],
    };
    assert_eq!(late, Some(expected));
}

/// Symptom: requests that time out at a backend server count as if it had ended under them.
/// Sequence: it ended once, and was started again under its name. Cause: what ended is remembered
/// by name.
#[test]
fn test_evidence_of_an_earlier_end_lapses_once_connections_are_taken() {
    let mut evidence = CrashEvidence::default();
    let now = Instant::now();
    end_under(&mut evidence, now, 1, &[1]);
    evidence.note_reachable(now, &life(1));
    let timed_out = evidence.note_unanswered(now, &ready(), &life(1), request(2));
    assert_eq!(timed_out, None);
}

macro_rules! replaced_cases {
    ($($name:ident: $view:expr => $is_evidence:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let mut evidence = CrashEvidence::default();
                let now = Instant::now();
                evidence.note_unanswered(now, &ready(), &life(1), request(1));
                let ended = evidence.apply_incarnations(now, &$view);
                assert_eq!(!ended.is_empty(), $is_evidence);
            }
        )*
    };
}

replaced_cases! {
    test_evidence_of_a_ready_backend_server: ready() => false;
    test_evidence_of_an_address_taken_over: view(BackendState::Superseded, 10) => true;
    test_evidence_of_a_later_life: view(BackendState::Ready, 11) => true;
    test_evidence_of_one_that_leaves: view(BackendState::Draining, 10) => false;
    test_evidence_of_one_that_has_left: FleetView::default() => false;
}

#[test]
fn test_evidence_of_a_planned_end_is_none() {
    let mut evidence = CrashEvidence::default();
    let now = Instant::now();
    let leaving = view(BackendState::Draining, 10);
    evidence.note_unanswered(now, &leaving, &life(1), request(1));
    assert_eq!(evidence.note_ended(now, &leaving, &life(1)), None);
}

#[test]
fn test_evidence_lapses() {
    let mut evidence = CrashEvidence::default();
    let now = Instant::now();
    evidence.note_unanswered(now, &ready(), &life(1), request(1));
    let replaced = view(BackendState::Superseded, 10);
    let later = now + Duration::from_secs(15);
    assert_eq!(evidence.apply_incarnations(later, &replaced), []);
    // An address that takes connections is another process's for a shorter time.
    evidence.note_unanswered(later, &ready(), &life(2), request(1));
    evidence.note_reachable(later, &life(2));
    let later = later + Duration::from_secs(3);
    assert_eq!(evidence.apply_incarnations(later, &replaced), []);
}

/// Symptom: without control a request ends one backend server after the other. Sequence: the
/// entry VM is cut off; the request comes again there. Cause: verdicts are control's alone.
#[test]
fn test_evidence_of_this_entry_vm_counts_without_control() {
    let mut evidence = CrashEvidence::default();
    let now = Instant::now();
    end_under(&mut evidence, now, 1, &[1, 2]);
    assert_eq!(evidence.treatment(&tag(1)), Some(Treatment::Watched));
    end_under(&mut evidence, now, 1, &[3]);
    assert_eq!(evidence.treatment(&tag(1)), Some(Treatment::Quarantined));
}

#[test]
fn test_evidence_against_one_acquits_those_that_stood_beside_it() {
    let mut evidence = CrashEvidence::default();
    let now = Instant::now();
    for number in 1..=2 {
        evidence.note_unanswered(now, &ready(), &life(number), request(2));
        end_under(&mut evidence, now, 1, &[number]);
    }
    assert_eq!(evidence.treatment(&tag(2)), Some(Treatment::Watched));
    end_under(&mut evidence, now, 1, &[3]);
    assert_eq!(evidence.treatment(&tag(1)), Some(Treatment::Quarantined));
    assert_eq!(evidence.treatment(&tag(2)), None);
}

/// Symptom: a request that ends backend servers goes on. Sequence: another one stood beside it on
/// all three. Cause: whichever was counted first acquitted the other.
#[test]
fn test_evidence_against_two_alike_acquits_neither() {
    let mut evidence = CrashEvidence::default();
    let now = Instant::now();
    for number in 1..=3 {
        evidence.note_unanswered(now, &ready(), &life(number), request(2));
        end_under(&mut evidence, now, 1, &[number]);
    }
    for number in [1, 2] {
        assert_eq!(
            evidence.treatment(&tag(number)),
            Some(Treatment::Quarantined)
        );
    }
}

#[test]
fn test_evidence_ends_with_controls_verdict() {
    let mut evidence = CrashEvidence::default();
    end_under(&mut evidence, Instant::now(), 1, &[1, 2, 3]);
    evidence.apply_verdicts([(content(1), Verdict::Quarantined)].into());
    evidence.apply_verdicts([(content(1), Verdict::Watched)].into());
    assert_eq!(evidence.treatment(&tag(1)), Some(Treatment::Watched));
    evidence.apply_verdicts([].into());
    assert_eq!(evidence.treatment(&tag(1)), None);
}

#[test]
fn test_evidence_is_cleared_by_an_answer_and_control_told() {
    let mut evidence = CrashEvidence::default();
    let now = Instant::now();
    assert_eq!(evidence.note_answered(now, &tag(1)), None);
    end_under(&mut evidence, now, 1, &[1, 2]);
    let told = evidence.note_answered(now, &tag(1));
    assert_eq!(told, Some(SuspectNote::Answered(tag(1))));
    assert_eq!(evidence.treatment(&tag(1)), None);
    evidence.apply_verdicts([(content(2), Verdict::Watched)].into());
    let told = evidence.note_answered(now, &tag(2));
    assert_eq!(told, Some(SuspectNote::Answered(tag(2))));
}

#[test]
fn test_evidence_that_a_request_still_comes_is_told_now_and_then() {
    let mut evidence = CrashEvidence::default();
    let now = Instant::now();
    let told = Some(SuspectNote::Refused(content(1)));
    assert_eq!(evidence.note_refused(now, content(1)), told);
    let later = now + Duration::from_mins(1);
    assert_eq!(evidence.note_refused(later, content(1)), None);
    let later = now + Duration::from_mins(2);
    assert_eq!(evidence.note_refused(later, content(1)), told);
}
