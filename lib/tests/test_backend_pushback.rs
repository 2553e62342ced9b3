//! Backend servers that ask a sender for a time without requests, and those that state that they are
//! leaving, as one dispatcher treats them.

mod dispatch_model;
mod limit_model;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use dispatch_model::request;
use dispatch_model::route;
use dispatch_model::server_name;
use dispatch_model::service;
use heatherring_lib::backend_statement::BackendStatement;
use heatherring_lib::backend_statement::LeavingNotice;
use heatherring_lib::backend_statement::LeavingStatement;
use heatherring_lib::backend_statement::ReceivedStatement;
use heatherring_lib::backend_statement::StatementEvent;
use heatherring_lib::dispatch_request::Choice;
use heatherring_lib::dispatch_request::DispatchRequest;
use heatherring_lib::dispatch_request::RefusedReason;
use heatherring_lib::dispatch_request::SendEnd;
use heatherring_lib::dispatch_request::SendOutcome;
use heatherring_lib::id::BackendName;
use heatherring_lib::pushback::PushbackNotice;
use heatherring_lib::send_holds::Hold;
use limit_model::Fleet;
use limit_model::RUN;
use limit_model::STEP;
use proptest::prelude::*;
use rstest::rstest;

const ASKED: Duration = Duration::from_secs(3);

/// Longest time after a pause until a sender sends the first request.
const SPREAD: Duration = ASKED;

fn fleet(senders: usize, backends: usize) -> Fleet {
    Fleet::new(senders, vec![None; backends])
}

fn received(at: Instant, statement: BackendStatement) -> ReceivedStatement {
    ReceivedStatement { statement, at }
}

/// Reports that a request ended, and what the answer stated.
fn end(fleet: &mut Fleet, sender: usize, choice: &Choice, outcome: SendOutcome, asked: Duration) {
    let now = fleet.now;
    let pushback = if asked.is_zero() {
        PushbackNotice::Absent
    } else {
        PushbackNotice::For(asked)
    };
    let statement = BackendStatement {
        pushback,
        ..BackendStatement::default()
    };
    let received = received(now, statement);
    let dispatcher = &mut fleet.senders[sender];
    dispatcher.note_statement(now, choice.backend, &received);
    let end = SendEnd {
        statement: Some(received),
        ..SendEnd::new(choice, outcome)
    };
    dispatcher.ended(now, &end);
}

fn advance(fleet: &mut Fleet, time: Duration) {
    fleet.now += time;
    for sender in &mut fleet.senders {
        sender.note_control_contact(fleet.now);
    }
}

/// Returns an object of a backend server and its choice.
fn choose_at(fleet: &mut Fleet, sender: usize, backend: &BackendName) -> (u32, Choice) {
    for object in 0.. {
        let choice = fleet.choose(sender, object).unwrap();
        if choice.name == *backend {
            return (object, choice);
        }
        end(
            fleet,
            sender,
            &choice,
            SendOutcome::Answered,
            Duration::ZERO,
        );
    }
    unreachable!("objects are spread over all backend servers")
}

/// Guards against a pause that counts for senders that were not asked for it.
#[test]
fn test_pushback_is_the_pairs() {
    let mut fleet = fleet(2, 3);
    let (object, choice) = choose_at(&mut fleet, 0, &server_name(0, 0));
    end(&mut fleet, 0, &choice, SendOutcome::Shed, ASKED);
    assert_ne!(fleet.choose(0, object).unwrap().name, choice.name);
    assert_eq!(fleet.choose(1, object).unwrap().name, choice.name);
}

/// Guards against a backend server that is taken for ill because it asked for a pause.
#[test]
fn test_pushback_is_no_fault() {
    const ASKED: Duration = Duration::from_millis(100);
    let mut probe = dispatch_model::Probe::new();
    let choices: Vec<Choice> = (0..6).map(|_| probe.choose("17")).collect();
    for choice in &choices {
        assert_eq!(choice.name, choices[0].name);
        probe.refuse(choice, ASKED);
    }
    assert_ne!(probe.choose("17").name, choices[0].name);
    probe.advance(2 * ASKED);
    assert_eq!(probe.choose("17").name, choices[0].name);
}

/// Guards against all requests that were held back reaching a backend server in the moment after its
/// pause.
#[test]
fn test_pushback_ends_with_one_request() {
    let mut fleet = fleet(1, 2);
    let (object, choice) = choose_at(&mut fleet, 0, &server_name(0, 0));
    end(&mut fleet, 0, &choice, SendOutcome::Shed, ASKED);
    advance(&mut fleet, ASKED + SPREAD);
    let burst = |fleet: &mut Fleet| -> Vec<Choice> {
        let chosen = (0..6).filter_map(|_| fleet.choose(0, object).ok());
        chosen.filter(|chosen| chosen.name == choice.name).collect()
    };
    let trial = burst(&mut fleet);
    assert_eq!(trial.len(), 1);
    advance(&mut fleet, RUN);
    end(
        &mut fleet,
        0,
        &trial[0],
        SendOutcome::Answered,
        Duration::ZERO,
    );
    assert_eq!(burst(&mut fleet).len(), 2);
}

/// Guards against a trial that is refused without a time and followed by the next one at once.
#[test]
fn test_pushback_goes_on_when_the_trial_is_refused() {
    let mut fleet = fleet(1, 2);
    let (object, choice) = choose_at(&mut fleet, 0, &server_name(0, 0));
    end(&mut fleet, 0, &choice, SendOutcome::Shed, ASKED);
    advance(&mut fleet, ASKED + SPREAD);
    let trial = fleet.choose(0, object).unwrap();
    assert_eq!(trial.name, choice.name);
    end(&mut fleet, 0, &trial, SendOutcome::Shed, Duration::ZERO);
    assert_ne!(fleet.choose(0, object).unwrap().name, choice.name);
    let events = fleet.senders[0].take_statement_events();
    let begun = events
        .iter()
        .filter(|event| matches!(event, StatementEvent::Paused { .. }));
    assert_eq!(begun.count(), 1);
}

/// Guards against callers that are refused for want of resends because one backend server refuses all
/// requests without asking for a time: it is the home of a third of the objects, and a seventh of
/// the requests may be sent elsewhere. It is used again once it serves.
#[test]
fn test_refusals_in_a_row_pause_a_backend_server() {
    const REQUESTS: u32 = 4_000;
    let mut fleet = fleet(1, 3);
    let refusing = server_name(0, 0);
    let (service, route) = (service(), route());
    let mut served_again = 0;
    for object in 0..REQUESTS {
        advance(&mut fleet, STEP);
        let choice = fleet.choose(0, object).unwrap();
        let is_well = object >= REQUESTS / 2;
        if choice.name != refusing || is_well {
            served_again += u32::from(choice.name == refusing);
            end(
                &mut fleet,
                0,
                &choice,
                SendOutcome::Answered,
                Duration::ZERO,
            );
            continue;
        }
        end(&mut fleet, 0, &choice, SendOutcome::Shed, Duration::ZERO);
        let text = object.to_string();
        let again = DispatchRequest {
            tried: &[choice.backend],
            resend: true,
            ..request(fleet.now, &service, &route, &text)
        };
        let again = fleet.senders[0].choose(fleet.now, &again);
        let again = again.unwrap_or_else(|no_choice| panic!("{no_choice:?} for {object}"));
        end(&mut fleet, 0, &again, SendOutcome::Answered, Duration::ZERO);
    }
    assert!(served_again > REQUESTS / 12, "{served_again}");
}

/// Guards against requests that are sent nowhere because all backend servers refused, and against one
/// that is not used again although it serves.
#[test]
fn test_refusals_of_all_close_no_backend_server() {
    let mut fleet = fleet(1, 2);
    for object in 0..400 {
        advance(&mut fleet, STEP);
        let choice = fleet.choose(0, object).unwrap();
        end(&mut fleet, 0, &choice, SendOutcome::Shed, Duration::ZERO);
    }
    advance(&mut fleet, Duration::from_secs(3));
    let mut served = BTreeSet::new();
    for object in 0..100 {
        advance(&mut fleet, STEP);
        let choice = fleet.choose(0, object).unwrap();
        end(
            &mut fleet,
            0,
            &choice,
            SendOutcome::Answered,
            Duration::ZERO,
        );
        served.insert(choice.name);
    }
    assert_eq!(served.len(), 2);
}

/// Guards against a pause of a backend server that still serves a part of its requests.
#[test]
fn test_refusals_between_answers_pause_no_backend_server() {
    let mut fleet = fleet(1, 1);
    for object in 0..600 {
        advance(&mut fleet, STEP);
        let choice = fleet.choose(0, object).unwrap();
        let outcome = if object % 6 == 0 {
            SendOutcome::Answered
        } else {
            SendOutcome::Shed
        };
        end(&mut fleet, 0, &choice, outcome, Duration::ZERO);
    }
    assert!(fleet.senders[0].take_statement_events().is_empty());
}

/// Guards against a pause that lasts for the successor of the process that asked for it.
#[test]
fn test_pushback_ends_with_the_process() {
    let mut probe = dispatch_model::Probe::new();
    let home = probe.choose("17");
    probe.refuse(&home, ASKED);
    assert_ne!(probe.choose("17").name, home.name);
    probe.restart_backends(1);
    assert_eq!(probe.choose("17").name, home.name);
}

/// Guards against a request that was assigned to a backend server before its pause and is sent in it.
#[test]
fn test_pushback_holds_requests_that_wait_for_a_connection() {
    let mut fleet = fleet(1, 2);
    let (_, choice) = choose_at(&mut fleet, 0, &server_name(0, 0));
    end(&mut fleet, 0, &choice, SendOutcome::Shed, ASKED);
    let holds = fleet.senders[0].take_send_holds().unwrap();
    let hold = |at, born| holds.hold(at, &choice.name, born);
    assert_eq!(hold(fleet.now, choice.born), Some(Hold::Paused));
    let last = ASKED.saturating_sub(Duration::from_millis(1));
    assert_eq!(hold(fleet.now + last, choice.born), Some(Hold::Paused));
    assert_eq!(hold(fleet.now + ASKED + SPREAD, choice.born), None);
    assert_eq!(hold(fleet.now, choice.born + 1), None);
    assert!(fleet.senders[0].take_send_holds().is_none());
}

/// Guards against callers that are held, or told to return later than they can, when all backend
/// servers are paused.
#[rstest]
#[case(Duration::from_millis(400))]
#[case(ASKED)]
#[case(Duration::from_mins(4))]
fn test_pushback_of_all_refuses_at_once(#[case] asked: Duration) {
    let mut fleet = fleet(1, 2);
    for number in 0..2 {
        let (_, choice) = choose_at(&mut fleet, 0, &server_name(0, number));
        end(&mut fleet, 0, &choice, SendOutcome::Shed, asked);
    }
    let mut delays = BTreeSet::new();
    for _ in 0..20 {
        let refused = fleet.choose(0, 1).unwrap_err();
        assert_eq!(refused.reason, RefusedReason::Paused);
        assert!(refused.retry_after >= asked.min(Duration::from_millis(400)));
        assert!(refused.retry_after <= Duration::from_secs(1));
        delays.insert(refused.retry_after);
    }
    assert!(delays.len() > 10, "{delays:?}");
}

/// Guards against a leaving backend server that is used again because a later view or answer does not
/// mention it, and one that is used by an entry VM that learnt it from control.
#[test]
fn test_leaving_holds_for_the_process_at_all_senders() {
    let mut fleet = fleet(2, 2);
    let (_, choice) = choose_at(&mut fleet, 0, &server_name(0, 0));
    let now = fleet.now;
    let leaving = BackendStatement {
        leaving: LeavingNotice::Leaving,
        ..BackendStatement::default()
    };
    fleet.senders[0].note_statement(now, choice.backend, &received(now, leaving));
    end(
        &mut fleet,
        0,
        &choice,
        SendOutcome::Answered,
        Duration::ZERO,
    );
    let statement = LeavingStatement {
        backend: choice.name.clone(),
        born: choice.born,
    };
    assert_eq!(
        fleet.senders[0].leaving_statements(false),
        std::slice::from_ref(&statement)
    );
    fleet.senders[0].note_leaving_reported(std::slice::from_ref(&statement));
    assert!(fleet.senders[0].leaving_statements(false).is_empty());
    fleet.senders[1].apply_leaving(std::slice::from_ref(&statement));
    for sender in &mut fleet.senders {
        sender.apply_leaving(&[]);
        let holds = sender.take_send_holds().unwrap();
        let hold = holds.hold(now, &choice.name, choice.born);
        assert_eq!(hold, Some(Hold::Leaving));
    }
    for (sender, object) in (0..2).flat_map(|sender| (0..40).map(move |object| (sender, object))) {
        let chosen = fleet.choose(sender, object).unwrap();
        assert_ne!(chosen.name, choice.name);
        end(
            &mut fleet,
            sender,
            &chosen,
            SendOutcome::Answered,
            Duration::ZERO,
        );
    }
}

#[derive(Clone, Debug)]
enum Step {
    Send {
        sender: usize,
        object: u32,
    },
    End {
        which: usize,
        outcome: SendOutcome,
        asked_ms: u64,
    },
    Wait {
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        Just(SendOutcome::Answered),
        Just(SendOutcome::Shed),
        Just(SendOutcome::Faulty),
        Just(SendOutcome::Broken),
        Just(SendOutcome::Abandoned),
    ];
    let asked = prop_oneof![Just(0), 1..6_000_u64];
    prop_oneof![
        4 => (0..3_usize, 0..12_u32).prop_map(|(sender, object)| Step::Send { sender, object }),
        3 => (any::<usize>(), outcome, asked).prop_map(|(which, outcome, asked_ms)| Step::End { which, outcome, asked_ms }),
        2 => (0..1_500_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    /// Guards against any order of answers and refusals by which a request is sent to a backend
    /// server in a time for which it asked this sender for none, or is refused for a time that is over.
    #[test]
    fn test_pushback_holds_in_any_order(steps in prop::collection::vec(step(), 1..200)) {
        let mut fleet = fleet(3, 3);
        let mut until: BTreeMap<(usize, BackendName), Instant> = BTreeMap::new();
        let mut under_way: Vec<(usize, Choice)> = Vec::new();
        for step in steps {
            match step {
                Step::Send { sender, object } => {
                    let Ok(choice) = fleet.choose(sender, object) else { continue };
                    let asked = until.get(&(sender, choice.name.clone()));
                    prop_assert!(asked.is_none_or(|until| fleet.now >= *until));
                    under_way.push((sender, choice));
                }
                Step::End { which, outcome, asked_ms } => {
                    if under_way.is_empty() {
                        continue;
                    }
                    let (sender, choice) = under_way.swap_remove(which % under_way.len());
                    let has_head = matches!(outcome, SendOutcome::Shed | SendOutcome::Faulty);
                    let asked = Duration::from_millis(if has_head { asked_ms } else { 0 });
                    end(&mut fleet, sender, &choice, outcome, asked);
                    let known = until.entry((sender, choice.name)).or_insert(fleet.now);
                    *known = fleet.now.max(*known).max(fleet.now + asked);
                }
                Step::Wait { ms } => advance(&mut fleet, Duration::from_millis(ms)),
            }
        }
        for (sender, choice) in under_way {
            end(&mut fleet, sender, &choice, SendOutcome::Abandoned, Duration::ZERO);
        }
        advance(&mut fleet, Duration::from_secs(30));
        for object in 0..60 {
            match fleet.choose(0, object) {
                Ok(choice) => end(&mut fleet, 0, &choice, SendOutcome::Answered, Duration::ZERO),
                Err(refused) => prop_assert_ne!(refused.reason, RefusedReason::Paused),
            }
        }
    }
}
