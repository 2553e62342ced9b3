//! Tests of the checks on what control told: each complains of a made-up wrong history.

use std::collections::BTreeMap;

use heatherring_testutils::control_history::Acting;
use heatherring_testutils::control_history::Call;
use heatherring_testutils::control_history::ControlComplaint;
use heatherring_testutils::control_history::ControlHistory;
use heatherring_testutils::control_history::EntrySight;
use heatherring_testutils::control_history::Operation;
use heatherring_testutils::control_history::SettledTold;
use heatherring_testutils::control_history::Shown;
use heatherring_testutils::control_history::SubmitAnswer;

const ACCEPTED: SubmitAnswer = SubmitAnswer::Accepted { revision: 0 };

fn shown(version: u64, content: &str) -> Shown {
    Shown {
        version,
        digest: content.into(),
        revision: 10 * version,
    }
}

fn operation(sent_us: u64, answered_us: Option<u64>, call: Call) -> Operation {
    Operation {
        client: "operator".to_owned(),
        sent_us,
        answered_us,
        call,
    }
}

/// Returns a submission; one that was accepted gets the revision that goes with its
/// version.
fn submit(times: [u64; 2], version: u64, content: &str, answer: SubmitAnswer) -> Operation {
    let answer = match answer {
        SubmitAnswer::Accepted { revision: 0 } => SubmitAnswer::Accepted {
            revision: 10 * version,
        },
        answer => answer,
    };
    let answered = (answer != SubmitAnswer::Unknown).then_some(times[1]);
    let call = Call::Submit {
        version,
        digest: content.into(),
        answer,
    };
    operation(times[0], answered, call)
}

fn show(times: [u64; 2], version: u64, content: &str) -> Operation {
    let call = Call::Show(Some(shown(version, content)));
    operation(times[0], Some(times[1]), call)
}

fn show_nothing(times: [u64; 2]) -> Operation {
    operation(times[0], Some(times[1]), Call::Show(None))
}

fn conflict(winner: &str) -> SubmitAnswer {
    SubmitAnswer::Conflict {
        winner: winner.into(),
    }
}

fn stale(current: u64) -> SubmitAnswer {
    SubmitAnswer::Stale { current }
}

macro_rules! histories {
    ($($name:ident: [$($operation:expr),* $(,)?] => $complaint:pat $(if $guard:expr)?,)+) => {
        $(
            #[test]
            fn $name() {
                let history = ControlHistory {
                    operations: vec![$($operation),*],
                    ..ControlHistory::default()
                };
                let complaints = history.complaints();
                assert!(matches!(complaints.as_slice(), $complaint $(if $guard)?), "{complaints:?}");
            }
        )+
    };
}

use ControlComplaint as C;
use SubmitAnswer::NotAccepted;
use SubmitAnswer::Unknown;

histories! {
    test_control_history_of_racing_operators: [
        submit([0, 10], 1, "a", ACCEPTED),
        submit([0, 12], 1, "b", conflict("a")),
        submit([20, 30], 1, "a", ACCEPTED),
        submit([20, 40], 3, "c", ACCEPTED),
        submit([20, 50], 2, "d", stale(3)),
        show([25, 45], 3, "c"),
        show([25, 45], 1, "a"),
    ] => [],
    test_control_history_of_unknown_that_took_effect_late: [
        submit([0, 0], 1, "a", Unknown),
        submit([5, 5], 1, "a", Unknown),
        show_nothing([10, 20]),
        submit([30, 40], 1, "b", conflict("a")),
    ] => [],
    test_control_history_of_unknown_that_never_took_effect: [
        submit([0, 0], 5, "a", Unknown),
        submit([10, 20], 1, "b", ACCEPTED),
        show([30, 40], 1, "b"),
    ] => [],
    test_control_history_of_accepted_conflict: [
        submit([0, 10], 1, "a", ACCEPTED),
        submit([0, 12], 1, "b", ACCEPTED),
    ] => [C::TwoWinners { version: 1, .. }, C::NotLinearizable],
    test_control_history_of_two_named_winners: [
        submit([0, 10], 1, "a", conflict("b")),
        submit([0, 12], 1, "b", conflict("a")),
    ] => [C::TwoWinners { version: 1, .. }, C::NotLinearizable],
    test_control_history_of_stale_read: [
        submit([0, 10], 1, "a", ACCEPTED),
        submit([20, 30], 2, "b", ACCEPTED),
        show([40, 50], 1, "a"),
    ] => [C::NotLinearizable],
    test_control_history_of_read_that_goes_back: [
        submit([0, 0], 1, "a", Unknown),
        show([10, 20], 1, "a"),
        show_nothing([30, 40]),
    ] => [C::NotLinearizable],
    test_control_history_of_lower_version_accepted: [
        submit([0, 10], 5, "a", ACCEPTED),
        submit([20, 30], 4, "b", SubmitAnswer::Accepted { revision: 70 }),
    ] => [C::RevisionsOutOfOrder { lower: 4, higher: 5 }, C::NotLinearizable],
    test_control_history_of_resend_with_new_revision: [
        submit([0, 10], 1, "a", ACCEPTED),
        submit([20, 30], 1, "a", SubmitAnswer::Accepted { revision: 77 }),
    ] => [C::TwoRevisions { version: 1, .. }],
    test_control_history_of_resend_called_stale: [
        submit([0, 10], 1, "a", ACCEPTED),
        submit([20, 30], 2, "b", ACCEPTED),
        submit([40, 50], 1, "a", stale(2)),
    ] => [C::Contradiction { version: 1, .. }, C::NotLinearizable],
    test_control_history_of_not_accepted_that_took_effect: [
        submit([0, 10], 1, "a", NotAccepted),
        show([20, 30], 1, "a"),
    ] => [C::NotLinearizable],
}

#[test]
fn test_control_history_of_lost_manifest() {
    let operations = vec![
        submit([0, 10], 1, "a", ACCEPTED),
        submit([20, 30], 2, "b", ACCEPTED),
    ];
    let records = vec![shown(1, "a"), shown(2, "c")];
    let history = ControlHistory {
        operations,
        final_records: BTreeMap::from([("control-1".to_owned(), records)]),
        ..ControlHistory::default()
    };
    let complaints = history.complaints();
    assert!(
        matches!(
            complaints.as_slice(),
            [
                C::TwoWinners { version: 2, .. },
                C::Lost { version: 2, .. },
                C::Invented { version: 2, .. },
                C::NotLinearizable,
            ]
        ),
        "{complaints:?}"
    );
}

#[test]
fn test_control_history_of_entry_that_steps_back() {
    let sight = |version, content| EntrySight {
        entry: "entry-1".to_owned(),
        shown: shown(version, content),
    };
    let history = ControlHistory {
        sights: vec![sight(1, "a"), sight(2, "b"), sight(1, "a")],
        ..ControlHistory::default()
    };
    let complaints = history.complaints();
    assert!(
        matches!(complaints.as_slice(), [C::StepBack { .. }]),
        "{complaints:?}"
    );
}

#[test]
fn test_control_history_of_entry_behind_settled() {
    let acting = |revision, from_us, until_us| Acting {
        entry: "entry-1".to_owned(),
        opened: 3,
        revision,
        from_us,
        until_us,
    };
    let mut history = ControlHistory {
        acting: vec![acting(5, 0, 100), acting(9, 100, 200)],
        settled: vec![SettledTold {
            at_us: 100,
            revision: 9,
        }],
        ..ControlHistory::default()
    };
    assert_eq!(history.complaints(), []);
    history.settled[0].at_us = 99;
    let complaints = history.complaints();
    assert!(
        matches!(complaints.as_slice(), [C::BehindSettled { .. }]),
        "{complaints:?}"
    );
}
