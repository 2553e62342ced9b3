//! Answers of backend servers that are broken, at an entry VM that dispatches directly.

mod broken_support;
mod cut_scene_support;
mod cut_support;
mod direct_support;

use broken_support::BODY;
use broken_support::CHUNKS;
use broken_support::ENDED_BY_CLOSE;
use broken_support::LINES_OF_HEADS;
use broken_support::Part;
use broken_support::SOUND;
use broken_support::STATUSES;
use broken_support::TOO_SHORT;
use broken_support::UNFRAMED;
use broken_support::WITHOUT_BODY;
use broken_support::Written;
use cut_scene_support::ACTION;
use cut_scene_support::OWN;
use cut_scene_support::SAFE;
use cut_scene_support::Scene;
use cut_support::backend::Reply;
use cut_support::table::Manner;
use rstest::rstest;

const HEAD: Manner = Manner::new("HEAD", "/once/");

async fn start() -> Scene {
    Scene::start(OWN, |deployment| deployment.start_entry("entry-1")).await
}

/// Guards against an answer whose head is broken and that reaches its caller as one that means
/// something else.
#[rstest]
#[case::unframed(UNFRAMED)]
#[case::too_short(TOO_SHORT)]
#[case::statuses(STATUSES)]
#[case::lines(LINES_OF_HEADS)]
#[tokio::test(flavor = "multi_thread")]
async fn test_broken_answer_is_no_answer(#[case] answers: &[Written]) {
    let scene = start().await;
    let target = scene.target();
    let asking =
        broken_support::assert_refused(&target, &scene.ledger, ACTION, answers, Part::Never);
    scene.while_announced(asking).await;
}

/// Guards against a length that is too small and found so only with the last bytes of the body.
#[rstest]
#[case::read_as_a_whole(30_000, Part::Never)]
#[case::passed_on_as_it_arrives(300_000, Part::BreaksOff)]
#[tokio::test(flavor = "multi_thread")]
async fn test_broken_length_of_a_long_answer(#[case] length: usize, #[case] part: Part) {
    let scene = start().await;
    let target = scene.target();
    let answers = [broken_support::too_short(length)];
    let asking = broken_support::assert_refused(&target, &scene.ledger, ACTION, &answers, part);
    scene.while_announced(asking).await;
}

/// Guards against an answer whose chunks are broken and that looks complete.
#[tokio::test(flavor = "multi_thread")]
async fn test_broken_chunks_are_no_end() {
    let scene = start().await;
    let target = scene.target();
    let asking =
        broken_support::assert_refused(&target, &scene.ledger, ACTION, CHUNKS, Part::BreaksOff);
    scene.while_announced(asking).await;
}

/// Guards against a head that frames no body, is broken and is passed on.
#[rstest]
#[case::status(ACTION, WITHOUT_BODY)]
#[case::method(HEAD, LINES_OF_HEADS)]
#[case::method_and_status(HEAD, WITHOUT_BODY)]
#[tokio::test(flavor = "multi_thread")]
async fn test_broken_head_without_a_body_is_no_answer(
    #[case] manner: Manner,
    #[case] answers: &[Written],
) {
    let scene = start().await;
    let heads: Vec<Written> = answers.iter().copied().map(Written::without_body).collect();
    let target = scene.target();
    let asking =
        broken_support::assert_refused(&target, &scene.ledger, manner, &heads, Part::Never);
    scene.while_announced(asking).await;
}

/// Guards against a refusal whose head is broken and that proves that its request was not run.
#[tokio::test(flavor = "multi_thread")]
async fn test_broken_refusal_proves_nothing() {
    let refusals: Vec<String> = [UNFRAMED, TOO_SHORT]
        .concat()
        .iter()
        .map(|answer| {
            let start = "HTTP/1.1 503 Service Unavailable";
            answer.text(start, "heatherring-outcome: not_run\r\n")
        })
        .collect();
    let scene = start().await;
    let target = scene.target();
    let asking = async {
        for (number, text) in refusals.into_iter().enumerate() {
            let key = format!("refused-{number}");
            let reply = Reply {
                text,
                is_last: true,
                times: usize::MAX,
            };
            scene.ledger.reply(&key, reply);
            let asked = broken_support::ask(&target, &scene.ledger, ACTION, &key, false).await;
            assert_eq!((asked.seen.status, asked.arrived), (502, 1), "{key}");
        }
    };
    scene.while_announced(asking).await;
}

/// Guards against a safe request that fails because one backend server breaks its answer.
#[rstest]
#[case::unframed(UNFRAMED)]
#[case::too_short(TOO_SHORT)]
#[case::statuses(STATUSES)]
#[tokio::test(flavor = "multi_thread")]
async fn test_broken_answer_to_a_safe_request_is_asked_for_elsewhere(#[case] answers: &[Written]) {
    let scene = start().await;
    let target = scene.target();
    let asking = async {
        for answer in answers {
            let reply = Reply {
                times: 1,
                ..answer.reply(true)
            };
            scene.ledger.reply(answer.name, reply);
            let asked = broken_support::ask(&target, &scene.ledger, SAFE, answer.name, true).await;
            let seen = asked.seen;
            let is_other = seen.status == 200 && seen.is_complete && seen.body != BODY.as_bytes();
            // There may be no room for another attempt.
            let is_refused = matches!(seen.status, 502 | 503);
            assert!(is_other || is_refused, "{}: {seen:?}", answer.name);
            assert!(asked.arrived <= 2, "{}", answer.name);
        }
    };
    scene.while_announced(asking).await;
}

/// Guards against a check that refuses answers that are merely unusual.
#[rstest]
#[case::marked(ACTION, SOUND)]
#[case::ended_by_close(ACTION, ENDED_BY_CLOSE)]
#[tokio::test(flavor = "multi_thread")]
async fn test_sound_answer_is_passed_on(#[case] manner: Manner, #[case] answers: &[Written]) {
    let scene = start().await;
    let target = scene.target();
    let asking = broken_support::assert_served(&target, &scene.ledger, manner, answers);
    scene.while_announced(asking).await;
}
