//! Answers of backend servers that are cut off, at an entry VM that dispatches directly.

mod cut_scene_support;
mod cut_support;
mod direct_support;

use cut_scene_support::ACTION;
use cut_scene_support::OWN;
use cut_scene_support::SAFE;
use cut_scene_support::Scene;
use cut_support::backend::Cut;
use cut_support::backend::End;
use cut_support::caller::Caller;
use cut_support::form::Form;
use cut_support::form::WholeAnswer;
use cut_support::table;
use cut_support::table::Manner;
use cut_support::table::Result;
use cut_support::table::Row;
use cut_support::table::Target;
use rstest::rstest;

/// Size of a body that backend servers do not receive as a whole before they answer.
const LONG: usize = 1 << 18;

/// Plays rows on a scene of their own.
async fn play(rows: &[Row]) -> Result {
    let scene = Scene::start(OWN, |deployment| deployment.start_entry("entry-1")).await;
    let target = scene.target();
    let playing = table::play(&target, &scene.ledger, rows);
    let result = scene.while_announced(playing).await;
    result.assert_kept(rows.len());
    assert!(result.first > 0 && result.later > 0, "{result:?}");
    result
}

/// Returns rows of all forms that end in the two ways that differ most.
fn main_rows(manner: Manner) -> Vec<Row> {
    let ends = [End::Close, End::LateReset];
    table::rows(OWN, &Form::ALL, &ends, manner, WholeAnswer::main_cuts)
}

/// Guards against an answer that is cut off and looks complete to its caller.
#[rstest]
#[case::close(End::Close, WholeAnswer::cuts)]
#[case::late_close(End::LateClose, WholeAnswer::main_cuts)]
#[case::reset(End::Reset, WholeAnswer::main_cuts)]
#[case::late_reset(End::LateReset, WholeAnswer::cuts)]
#[tokio::test(flavor = "multi_thread")]
async fn test_cut_answers_to_actions(
    #[case] end: End,
    #[case] cuts: fn(&WholeAnswer) -> Vec<usize>,
) {
    let result = play(&table::rows(OWN, &Form::ALL, &[end], ACTION, cuts)).await;
    assert!(result.served > 0, "{result:?}");
}

/// Guards against an answer that is cut off and looks complete to callers that get no chunks, no
/// body or no further answer.
#[rstest]
#[case::old_version(Manner { version: "1.0", ..ACTION })]
#[case::old_version_kept(Manner { version: "1.0", lines: "connection: keep-alive\r\n", ..ACTION })]
#[case::last(Manner { lines: "connection: close\r\n", ..ACTION })]
#[case::head(Manner { method: "HEAD", ..ACTION })]
#[tokio::test(flavor = "multi_thread")]
async fn test_cut_answers_to_callers(#[case] manner: Manner) {
    play(&main_rows(manner)).await;
}

/// Guards against parts of an answer that is cut off in the one to a request that is sent again.
#[tokio::test(flavor = "multi_thread")]
async fn test_cut_answers_to_requests_sent_again() {
    let mut rows = main_rows(SAFE);
    for row in &mut rows {
        row.cut.times = 1;
    }
    play(&rows).await;
}

/// Guards against an answer that is cut off and taken for that to another request of the connection.
#[rstest]
#[case::actions(ACTION)]
#[case::safe(SAFE)]
#[tokio::test(flavor = "multi_thread")]
async fn test_cut_answers_before_others(#[case] manner: Manner) {
    let mut rows = main_rows(manner);
    for row in &mut rows {
        row.is_pipelined = true;
    }
    play(&rows).await;
}

/// Guards against an answer that is cut off while its request is still being sent and looks
/// complete.
#[tokio::test(flavor = "multi_thread")]
async fn test_cut_answers_before_the_request_is_read() {
    let manner = Manner {
        body: LONG,
        ..ACTION
    };
    let forms = [Form::LengthFirst, Form::Chunks, Form::Close, Form::OldClose];
    let mut rows = table::rows(OWN, &forms, &End::ALL, manner, WholeAnswer::main_cuts);
    for row in &mut rows {
        row.cut.is_early = true;
    }
    play(&rows).await;
}

/// Guards against an answer that the end of the entry VM cuts off and that looks complete to a caller
/// that gets no chunks.
#[tokio::test(flavor = "multi_thread")]
async fn test_cut_answers_at_the_end_of_the_entry_vm() {
    let scene = Scene::start(OWN, |deployment| deployment.start_entry("entry-1")).await;
    let form = Form::Chunks;
    let lines = OWN.lines_for("stalled");
    let cut = Cut {
        form,
        at: form.answer("stalled", &lines, false).head + 10,
        end: End::Never,
        times: 1,
        is_early: false,
    };
    scene.ledger.cut("stalled", cut);
    let manner = Manner {
        version: "1.0",
        ..ACTION
    };
    let Target { address, host, .. } = scene.target();
    let mut caller = Caller::connect(address).await;
    caller.send(&manner.request("stalled", &host, OWN.id)).await;
    caller.until("body").await;
    scene.entry.begin_stop();
    let seen = caller.read(false).await;
    assert!(!seen.is_complete && !seen.is_endless, "{seen:?}");
}
