//! Answers of backend servers that are cut off, at the entry VM that owns the backend servers and at
//! one that forwards requests to it.

mod cut_owner_support;
mod cut_support;
mod entry_support;

use rstest::rstest;

use crate::cut_owner_support::OWN;
use crate::cut_owner_support::SAFE;
use crate::cut_owner_support::Scene;
use crate::cut_support::backend::End;
use crate::cut_support::form::Form;
use crate::cut_support::form::WholeAnswer;
use crate::cut_support::table;
use crate::cut_support::table::Manner;

const FORMS: [Form; 9] = [
    Form::LengthFirst,
    Form::LongLength,
    Form::Chunks,
    Form::Trailers,
    Form::Close,
    Form::OldClose,
    Form::Unannounced,
    Form::Encoded,
    Form::EarlyHints,
];

/// Guards against an answer that is cut off and looks complete to its caller.
#[rstest]
#[case::close(1, End::Close, SAFE)]
#[case::reset(1, End::LateReset, SAFE)]
#[case::forwarded_close(2, End::Close, SAFE)]
#[case::forwarded_reset(2, End::LateReset, SAFE)]
#[case::forwarded_old_version(2, End::LateReset, Manner { version: "1.0", ..SAFE })]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_cut_answers_at_owner(
    #[case] entries: usize,
    #[case] end: End,
    #[case] manner: Manner,
) {
    let scene = Scene::start(entries).await;
    let mut rows = table::rows(OWN, &FORMS, &[end], manner, WholeAnswer::few_cuts);
    for row in &mut rows {
        // Backend servers are left alone if they only fail.
        row.is_second = true;
    }
    let result = table::play(&scene.target, &scene.ledger, &rows).await;
    result.assert_kept(rows.len());
    assert!(result.served > 0, "{result:?}");
}
