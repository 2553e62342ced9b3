//! Keys, fingerprints and refusals of actions.

#[path = "common/action_sample.rs"]
mod action_sample;

use std::time::Duration;
use std::time::Instant;
use std::time::UNIX_EPOCH;

use heatherring_lib::action_record::ActionKey;
use heatherring_lib::action_record::ActionRequest;
use heatherring_lib::action_record::Fingerprint;
use heatherring_lib::id::ClusterId;
use heatherring_lib::id::ServiceName;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::Refusal;
use heatherring_lib::ticket::TicketSecret;
use heatherring_lib::wall_anchor::WallAnchor;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use crate::action_sample::key;
use crate::action_sample::query;
use crate::action_sample::secret;
use crate::action_sample::ticket;

const EXPIRES_MS: u64 = 1_000_000;

fn parse_reason(text: &str) -> NotRunReason {
    ActionKey::parse(text, &ServiceName::new("claims"), &secret())
        .expect_err("the key should be refused")
        .not_run()
        .reason()
}

macro_rules! refused_keys {
    ($($name:ident $text:expr, $reason:ident;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(parse_reason(&$text), NotRunReason::$reason);
            }
        )*
    };
}

refused_keys! {
    test_action_key_empty "", KeyMalformed;
    test_action_key_without_ticket "d4f1", KeyMalformed;
    test_action_key_without_random_part format!("{}.", ticket(EXPIRES_MS).as_str()), KeyMalformed;
    test_action_key_random_part_too_long
        format!("{}.{}", ticket(EXPIRES_MS).as_str(), "x".repeat(129)), KeyMalformed;
    test_action_key_random_part_with_dot
        format!("{}.a.b", ticket(EXPIRES_MS).as_str()), KeyMalformed;
    test_action_key_ticket_no_base64 "###.a", TicketInvalid;
    test_action_key_ticket_empty ".a", TicketInvalid;
    test_action_key_ticket_cut_off
        format!("{}.a", &ticket(EXPIRES_MS).as_str()[4..]), TicketInvalid;
    test_action_key_ticket_too_long format!("{}.a", "A".repeat(4_000)), TicketInvalid;
}

#[test]
fn test_action_key_of_another_deployment() {
    let text = key("a", EXPIRES_MS).to_string();
    let other = TicketSecret::derive(ClusterId([1; 16]));
    let service = ServiceName::new("claims");
    let error = ActionKey::parse(&text, &service, &other).expect_err("other deployment");
    assert_eq!(error.not_run().reason(), NotRunReason::TicketInvalid);
}

#[test]
fn test_action_key_of_another_service() {
    let text = key("a", EXPIRES_MS).to_string();
    let other = ServiceName::new("lookup");
    let error = ActionKey::parse(&text, &other, &secret()).expect_err("other service");
    assert_eq!(error.not_run().reason(), NotRunReason::TicketOfOtherService);
}

#[test]
fn test_action_key_round_trip() {
    let made = key("a-B_9", EXPIRES_MS);
    let service = ServiceName::new("claims");
    let read = ActionKey::parse(&made.to_string(), &service, &secret());
    assert_eq!(read.expect("the key is good"), made);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn test_action_key_any_text_does_not_panic(text in any::<String>()) {
        let service = ServiceName::new("claims");
        assert!(ActionKey::parse(&text, &service, &secret()).is_err());
    }
}

// Symptom: a caller gets the answer to another request.
// Sequence: two requests have parts that concatenate to the same bytes.
// Cause: a digest over the parts without their lengths.
#[test]
fn test_action_fingerprint_separates_parts() {
    let key = key("a", EXPIRES_MS);
    let of = |path, body| {
        let request = ActionRequest {
            method: "POST",
            path,
            body,
            caller: b"",
        };
        Fingerprint::of(&key, &request)
    };
    assert_ne!(of("/a", b"b"), of("/", b"ab"));
    assert_eq!(of("/a", b"b"), of("/a", b"b"));
    assert_ne!(query(&key, b"x").fingerprint, query(&key, b"y").fingerprint);
}

// Symptom: "not run" is reported for a request that was partly processed.
// Sequence: a backend server answers 503 in the middle of its work.
// Cause: a bare status is treated as a refusal.
#[test]
fn test_outcome_bare_503_proves_nothing() {
    assert_eq!(Refusal::of_backend_server(503, None), None);
    assert_eq!(Refusal::of_backend_server(500, Some("not_run")), None);
    assert!(Refusal::of_backend_server(503, Some("not_run")).is_some());
}

#[test]
fn test_outcome_reasons_round_trip() {
    for reason in NotRunReason::ALL {
        assert_eq!(NotRunReason::parse(reason.as_str()), Some(*reason));
    }
}

// Symptom: an action with an expired ticket runs a second time.
// Sequence: the wall clock is set back after the record was dropped.
// Cause: expiry is judged by a clock that can go backwards.
#[test]
fn test_wall_anchor_reads_the_wall_once() {
    let start = Instant::now();
    let anchor = WallAnchor::new(UNIX_EPOCH + Duration::from_mins(1), start);
    assert_eq!(anchor.unix_ms(start), 60_000);
    assert_eq!(anchor.unix_ms(start + Duration::from_millis(5)), 60_005);
}
