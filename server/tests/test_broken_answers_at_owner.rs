//! Answers of backend servers that are broken, at the entry VM that owns the backend servers and at
//! one that forwards requests to it.

mod broken_support;
mod cut_owner_support;
mod cut_support;
mod entry_support;

use heatherring_testutils::wait::wait_for;
use rstest::rstest;

use crate::broken_support::CHUNKS;
use crate::broken_support::ENDED_BY_CLOSE;
use crate::broken_support::LINES_OF_HEADS;
use crate::broken_support::Part;
use crate::broken_support::SOUND;
use crate::broken_support::STATUSES;
use crate::broken_support::TOO_SHORT;
use crate::broken_support::UNFRAMED;
use crate::broken_support::WITHOUT_BODY;
use crate::broken_support::Written;
use crate::cut_owner_support::SAFE;
use crate::cut_owner_support::Scene;
use crate::cut_support::table;
use crate::cut_support::table::Manner;
use crate::entry_support::SERVICE;
use crate::entry_support::caller::send;

/// Guards against an answer whose head is broken and that reaches its caller as one that means
/// something else.
#[rstest]
#[case::unframed(1, UNFRAMED, Part::Never)]
#[case::too_short(1, TOO_SHORT, Part::Never)]
#[case::statuses(1, STATUSES, Part::Never)]
#[case::lines(1, LINES_OF_HEADS, Part::Never)]
#[case::without_body(1, WITHOUT_BODY, Part::Never)]
#[case::ended_by_close(1, ENDED_BY_CLOSE, Part::Never)]
#[case::chunks(1, CHUNKS, Part::BreaksOff)]
#[case::forwarded_unframed(2, UNFRAMED, Part::Never)]
#[case::forwarded_too_short(2, TOO_SHORT, Part::Never)]
#[case::forwarded_statuses(2, STATUSES, Part::Never)]
#[case::forwarded_chunks(2, CHUNKS, Part::BreaksOff)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_broken_answer_at_owner_is_no_answer(
    #[case] entries: usize,
    #[case] answers: &[Written],
    #[case] part: Part,
) {
    let scene = Scene::start(entries).await;
    broken_support::assert_refused(&scene.target, &scene.ledger, SAFE, answers, part).await;
}

/// Guards against a length that is too small and found so only with the last bytes of the body.
#[rstest]
#[case::direct(1)]
#[case::forwarded(2)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_broken_length_of_a_long_answer_at_owner(#[case] entries: usize) {
    let scene = Scene::start(entries).await;
    let Scene { target, ledger, .. } = &scene;
    let answers = [30_000, 300_000].map(broken_support::too_short);
    broken_support::assert_refused(target, ledger, SAFE, &answers, Part::BreaksOff).await;
}

/// Returns the manner of an action with an idempotency key of its own.
async fn action(scene: &Scene, name: &str) -> Manner {
    let path = format!("/lookup/{SERVICE}");
    let found = send(scene.target.address, "GET", &path, "").await;
    let found = found.expect("the entry VM answers").json();
    let ticket = found["ticket"].as_str().expect("a ticket");
    Manner {
        lines: format!("idempotency-key: {ticket}.{name}\r\n").leak(),
        ..Manner::new("POST", "/svc/registry/")
    }
}

/// Guards against a broken answer that is stored and given to whoever repeats the action.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_broken_answer_at_owner_is_not_stored() {
    let scene = Scene::start(2).await;
    let Scene { target, ledger, .. } = &scene;
    // One of each kind: after each the backend servers are left alone for seconds.
    let answers = [&UNFRAMED[..1], &TOO_SHORT[..1], &STATUSES[2..3]].concat();
    for answer in &answers {
        let key = format!("stored-{}", answer.name);
        ledger.reply(&key, answer.reply(true));
        let manner = wait_for("an action that arrives", async || {
            let manner = action(&scene, &key).await;
            let seen = table::ask_for(target, ledger, &key, manner).await;
            // A backend server that fails is left alone for a while.
            let is_failure = matches!(seen.status, 502 | 503) && seen.is_complete;
            assert!(is_failure, "{key}: {seen:?}");
            (seen.status == 502).then_some(manner)
        });
        let manner = manner.await.unwrap();
        let again = table::ask_for(target, ledger, &key, manner).await;
        assert_eq!((again.status, again.is_complete), (502, true), "{key}");
        assert_eq!(ledger.arrived(&key).len(), 1, "{key}");
    }
}

/// Guards against a check that refuses answers that are merely unusual.
#[rstest]
#[case::direct(1)]
#[case::forwarded(2)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_sound_answer_at_owner_is_passed_on(#[case] entries: usize) {
    let scene = Scene::start(entries).await;
    broken_support::assert_served(&scene.target, &scene.ledger, SAFE, SOUND).await;
}
