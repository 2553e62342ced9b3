//! Answers that belong to another request, to none, or promise what they do not prove: what a
//! caller is told over an entry VM, and what ran.

mod direct_support;
mod unpaired_support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;

use direct_support::scripted_backend::Act;
use direct_support::scripted_backend::Arrived;
use direct_support::scripted_backend::OpeningTime;
use direct_support::scripted_backend::answer;
use direct_support::scripted_backend::last_answer;
use heatherring_lib::answer_pairing::MAX_CARRIED_REQUESTS;
use http::Method;
use http::StatusCode;
use rstest::rstest;
use unpaired_support::scene::ACTIONS;
use unpaired_support::scene::Scene;
use unpaired_support::scene::Told;
use unpaired_support::scripts::CONTINUE;
use unpaired_support::scripts::Copied;
use unpaired_support::scripts::EMPTY_ID;
use unpaired_support::scripts::LEAVING;
use unpaired_support::scripts::NOT_RUN;
use unpaired_support::scripts::action_before;
use unpaired_support::scripts::early;
use unpaired_support::scripts::failed;
use unpaired_support::scripts::health_refused;
use unpaired_support::scripts::healthy;
use unpaired_support::scripts::id_line;
use unpaired_support::scripts::is_even;
use unpaired_support::scripts::misdirected;
use unpaired_support::scripts::nameless;
use unpaired_support::scripts::not_run;
use unpaired_support::scripts::refusing;
use unpaired_support::scripts::repeating;
use unpaired_support::scripts::run_after;
use unpaired_support::scripts::run_last;
use unpaired_support::scripts::served;
use unpaired_support::scripts::unhealthy;

/// Size of a body that backend servers do not receive as a whole before they read it.
const LONG: usize = 1 << 20;

/// Guards against actions that run although the refusal of an earlier request counts as theirs.
#[rstest]
#[case::copied_apart(not_run, Copied::Apart)]
#[case::copied_ahead(not_run, Copied::Ahead)]
#[case::copied_instead(not_run, Copied::Instead)]
#[case::copied_soon(not_run, Copied::Soon)]
#[case::copied_joined(not_run, Copied::Joined)]
#[case::copied_early(not_run, Copied::Early)]
#[case::copied_after_interim(not_run, Copied::AfterInterim)]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_refusal_of_an_earlier_request(
    #[case] refusal: fn(&Arrived) -> String,
    #[case] copied: Copied,
) {
    let scene = Scene::start(repeating(refusal, copied)).await;
    let bytes = if matches!(copied, Copied::Early) {
        LONG
    } else {
        4
    };
    let told = scene.act(bytes).await;
    scene.assert_honest(&told).await;
}

/// Guards against actions that run although a late 421 of an earlier request counts as theirs.
#[rstest]
#[case::misdirected_apart(Copied::Apart)]
#[case::misdirected_ahead(Copied::Ahead)]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_misdirection_of_an_earlier_request(#[case] copied: Copied) {
    let scene = Scene::start(repeating(misdirected, copied)).await;
    let mut told = Vec::new();
    for number in 0..8 {
        // A backend server that misdirects is left alone until the view changes.
        scene.deployment.submit_routes(number + 2, number + 1).await;
        scene.until_known().await;
        let key = format!("act-{number}");
        told.push(scene.ask(Method::POST, "/once/", &key).await);
    }
    scene.assert_honest(&told).await;
}

/// Guards against actions that run although an answer that names no request counts as theirs.
#[rstest]
#[case::nameless_not_run(503, &[NOT_RUN])]
#[case::nameless_misdirected(421, &[])]
#[case::nameless_503(503, &[])]
#[case::nameless_429(429, &[])]
#[case::nameless_408(408, &[])]
#[case::nameless_200(200, &[])]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_answer_that_names_no_request(
    #[case] status: u16,
    #[case] headers: &'static [&'static str],
) {
    let scene = Scene::start(move |arrived| {
        let nameless = answer(status, headers, "of nobody");
        run_after(action_before(arrived).map(|_| nameless), served(arrived))
    })
    .await;
    let told = scene.act(4).await;
    scene.assert_honest(&told).await;
}

/// Guards against a status that promises "not run", without proof, for an action that ran.
#[rstest]
#[case::unproved_503(503)]
#[case::unproved_429(429)]
#[case::unproved_408(408)]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_promise_for_what_ran(#[case] status: u16) {
    let scene = Scene::start(move |arrived| {
        run_after(None, answer(status, &[&id_line(arrived)], "failed"))
    })
    .await;
    let told = scene.act(4).await;
    scene.assert_kept(&told).await;
    for told in told {
        assert_eq!(told.status, StatusCode::BAD_GATEWAY, "{told:?}");
        assert_eq!(told.body, "refusal_unproved");
    }
}

/// Guards against promises, or bodies of others, to callers that give no identifier.
#[rstest]
#[case::without_id_not_run(not_run)]
#[case::without_id_503(failed)]
#[case::without_id_200(served)]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_answer_to_a_caller_without_an_identifier(
    #[case] text: fn(&Arrived) -> String,
) {
    let scene =
        Scene::start(move |arrived| run_after(action_before(arrived).map(text), served(arrived)))
            .await;
    let told = scene.act_as(4, |_| false).await;
    scene.assert_kept(&told).await;
    assert!(told.iter().any(|told| told.status == 200));
}

/// Guards against actions that run although the repeated answer to a health check counts as theirs.
#[rstest]
#[case::health_200(healthy, true)]
#[case::health_503(unhealthy, true)]
#[case::health_not_run(health_refused, true)]
#[case::health_without_id_200(healthy, false)]
#[case::health_without_id_503(unhealthy, false)]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_answer_to_a_health_check(
    #[case] health: fn(&Arrived) -> String,
    #[case] has_id: bool,
) {
    let mut scene = Scene::start_with(health, move |arrived| {
        let before = arrived.before.as_deref().filter(|at| at.is_health);
        run_after(before.map(health), served(arrived))
    })
    .await;
    // Without control, entry VMs ask the backend servers themselves.
    for replica in std::mem::take(&mut scene.deployment.replicas) {
        replica.stop().await;
    }
    let mut told = Vec::new();
    for number in 0..8 {
        scene.until_checked().await;
        let key = format!("act-{number}");
        let id = has_id.then_some(key.as_str());
        let sending = scene.send(Method::POST, "/once/", &key, id.as_slice(), 4);
        told.push(sending.await);
    }
    scene.assert_kept(&told).await;
}

/// Checks that an answer that fails without proof reaches the caller of a safe request as it is.
#[rstest]
#[case::safe_503(503, 2)]
#[case::safe_429(429, 1)]
#[case::safe_408(408, 1)]
#[tokio::test(flavor = "multi_thread")]
async fn test_unproved_promise_for_a_safe_request(#[case] status: u16, #[case] runs: usize) {
    let scene = Scene::start(move |arrived| {
        run_after(None, answer(status, &[&id_line(arrived)], "failed"))
    })
    .await;
    let told = scene.ask(Method::GET, "/safe/", "act-0").await;
    assert_eq!((told.status, told.body.as_str()), (status, "failed"));
    assert_eq!(scene.ledger.ran()["act-0"], runs);
}

/// Guards against a second attempt that runs although the refusal of the first counts as its own.
#[rstest]
#[case::again_at_once(false)]
#[case::again_after_another(true)]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_refusal_of_an_earlier_attempt(#[case] another: bool) {
    let seen = Arc::new(Mutex::new(BTreeSet::new()));
    let scene = Scene::start(move |arrived| {
        let place = (arrived.backend.clone(), arrived.key.clone());
        let is_first = seen.lock().unwrap().insert(place);
        if is_first && is_even(arrived) {
            return vec![Act::Read, Act::Write(not_run(arrived))];
        }
        let first = arrived.earlier(|earlier| earlier.key == arrived.key);
        run_after(first.map(not_run), served(arrived))
    })
    .await;
    let mut told = Vec::new();
    for number in (0..ACTIONS).step_by(2) {
        let key = format!("act-{number}");
        scene.ask(Method::POST, "/once/", &key).await;
        if another {
            let other = format!("act-{}", number + 1);
            told.push(scene.ask(Method::POST, "/once/", &other).await);
        }
        told.push(scene.ask(Method::POST, "/once/", &key).await);
    }
    scene.assert_kept(&told).await;
    assert!(scene.ledger.ran().contains_key("act-0"));
}

/// Guards against a connection that stays one answer behind while refusals follow each other.
#[rstest]
#[case::behind_row_of_2(2)]
#[case::behind_row_of_5(5)]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_refusals_in_a_row(#[case] row: usize) {
    let scene = Scene::start(move |arrived| {
        let runs = |at: &Arrived| at.position.is_multiple_of(row);
        let answered = |at: &Arrived| if runs(at) { served(at) } else { not_run(at) };
        let act = if runs(arrived) { Act::Run } else { Act::Read };
        match action_before(arrived) {
            Some(before) => vec![act, Act::Stray(answered(before))],
            None => vec![act, Act::Write(answered(arrived))],
        }
    })
    .await;
    let told = scene.act(4).await;
    scene.assert_honest(&told).await;
}

/// Checks that a refusal that comes before a long body was read is believed.
#[tokio::test(flavor = "multi_thread")]
async fn test_early_refusal_leads_to_the_next() {
    let scene = Scene::start(early(&[])).await;
    let told = scene.act(LONG).await;
    scene.assert_believed(&told).await;
}

/// Guards against a promise for what ran where a connection fails after an early refusal.
#[rstest]
#[case::early_then_stalled(&[Act::Stall])]
#[case::early_then_closed(&[Act::Close])]
#[tokio::test(flavor = "multi_thread")]
async fn test_early_refusal_before_a_failure(#[case] failure: &'static [Act]) {
    let scene = Scene::start(early(failure)).await;
    let told = scene.act(LONG).await;
    scene.assert_kept(&told).await;
    assert!(told.iter().any(|told| told.status == 200));
}

/// Guards against an interim answer that counts as the answer.
#[rstest]
#[case::interim_100(CONTINUE)]
#[case::interim_103("HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n")]
#[case::interim_refusal("HTTP/1.1 103 Early Hints\r\nheatherring-outcome: not_run\r\n\r\n")]
#[tokio::test(flavor = "multi_thread")]
async fn test_interim_answer_is_none(#[case] interim: &'static str) {
    let scene = Scene::start(move |arrived| {
        let interim = Act::Write(interim.to_owned());
        let own = Act::Write(served(arrived));
        vec![Act::Run, interim.clone(), Act::Pause, interim, own]
    })
    .await;
    let told = scene.act(4).await;
    scene.assert_served(&told).await;
}

/// Checks that refusals and answers that name their request in any valid form are believed.
#[rstest]
#[case::named_plainly("heatherring-request-id: {}")]
#[case::named_in_capitals("HEATHERRING-Request-ID: {}")]
#[case::named_in_spaces("heatherring-request-id: \t  {} \t ")]
#[case::named_twice("heatherring-request-id: {}\r\nHeatherring-Request-Id: {}")]
#[tokio::test(flavor = "multi_thread")]
async fn test_own_answer_is_believed(#[case] form: &'static str) {
    let scene = Scene::start(move |arrived| {
        let named = form.replace("{}", &arrived.id);
        if arrived.backend == "first" {
            let refusal = answer(503, &[&named, NOT_RUN], "");
            return vec![Act::Read, Act::Write(refusal)];
        }
        run_after(None, answer(200, &[&named], ""))
    })
    .await;
    let told = scene.act(4).await;
    scene.assert_believed(&told).await;
}

/// Guards against a refusal that counts although it does not clearly name the request that ran.
#[rstest]
#[case::unclear_own_and_other("heatherring-request-id: {}\r\nheatherring-request-id: other")]
#[case::unclear_other_and_own("heatherring-request-id: other\r\nheatherring-request-id: {}")]
#[case::unclear_list("heatherring-request-id: other, {}")]
#[case::unclear_empty("heatherring-request-id:")]
#[case::unclear_bytes("heatherring-request-id: \u{e9}")]
#[case::unclear_letters("heatherring-request-id: A{}")]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_refusal_of_an_unclear_request(#[case] form: &'static str) {
    let scene = Scene::start(move |arrived| {
        let refusal = answer(503, &[&form.replace("{}", &arrived.id), NOT_RUN], "");
        run_after(action_before(arrived).map(|_| refusal), served(arrived))
    })
    .await;
    let told = scene.act(4).await;
    scene.assert_honest(&told).await;
}

/// Checks that what all backend servers refuse is refused, and does not run.
#[tokio::test(flavor = "multi_thread")]
async fn test_own_refusals_are_passed_on() {
    let scene = Scene::start(|arrived| vec![Act::Read, Act::Write(not_run(arrived))]).await;
    let told = scene.act(4).await;
    scene.assert_kept(&told).await;
    let refused = told.iter().filter(|told| told.status == 503);
    assert_eq!(refused.count(), told.len());
}

/// Checks that backend servers that name no request in any answer still serve.
#[tokio::test(flavor = "multi_thread")]
async fn test_nameless_answers_still_serve() {
    let script = |arrived: &Arrived| run_after(None, nameless(arrived));
    let scene = Scene::start_plain(script).await;
    let told = scene.act(4).await;
    scene.assert_served(&told).await;
}

/// Guards against bodies of others where no answer names its request.
#[tokio::test(flavor = "multi_thread")]
async fn test_nameless_answers_come_late() {
    let script = |arrived: &Arrived| {
        let late = arrived.before.as_deref().map(nameless);
        run_after(late, nameless(arrived))
    };
    let scene = Scene::start_plain(script).await;
    let told = scene.act(4).await;
    scene.assert_kept(&told).await;
}

/// Sends an action with these identifiers to backend servers that echo them as they are.
async fn echo_as_given(ids: &[&str]) -> Vec<Told> {
    let named = ids.iter().map(|id| format!("heatherring-request-id: {id}"));
    let lines = named.collect::<Vec<_>>().join("\r\n");
    let scene = Scene::start(move |arrived| {
        run_after(None, answer(200, &[&lines], &format!("of {}", arrived.key)))
    })
    .await;
    let mut told = Vec::new();
    for number in 0..4 {
        let key = format!("act-{number}");
        told.push(scene.send(Method::POST, "/once/", &key, ids, 4).await);
    }
    scene.assert_kept(&told).await;
    told
}

/// Guards against an action that ends as unknown although its answer echoes what the caller gave.
#[rstest]
#[case::other_bytes(&["\u{e9}1"])]
#[case::two(&["a", "b"])]
#[tokio::test(flavor = "multi_thread")]
async fn test_answer_that_echoes_what_was_given_is_believed(#[case] ids: &'static [&'static str]) {
    let told = echo_as_given(ids).await;
    assert!(told.iter().all(|told| told.status == 200), "{told:?}");
}

/// Checks that callers with and without an identifier are served side by side.
#[tokio::test(flavor = "multi_thread")]
async fn test_callers_without_an_identifier_are_served_beside_others() {
    let script = |arrived: &Arrived| run_after(None, served(arrived));
    let scene = Scene::start(script).await;
    let told = scene.act_as(4, |number| number.is_multiple_of(2)).await;
    scene.assert_served(&told).await;
}

/// Guards against a connection that carries more requests than the pool remembers.
#[tokio::test(flavor = "multi_thread")]
async fn test_connections_carry_no_more_than_is_remembered() {
    let script = |arrived: &Arrived| run_after(None, served(arrived));
    let scene = Scene::start(script).await;
    let mut told = Vec::new();
    for number in 0..3 * MAX_CARRIED_REQUESTS {
        let key = format!("act-{number}");
        told.push(scene.ask(Method::GET, "/safe/", &key).await);
    }
    let longest = scene.ledger.arrived().iter().map(|at| at.position).max();
    assert_eq!(longest, Some(MAX_CARRIED_REQUESTS));
    scene.assert_served(&told).await;
}

/// Guards against a backend server that nothing more is sent to because of what the answer to
/// another request states.
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_answer_states_nothing() {
    let scene = Scene::start(|arrived| {
        let leaving = |at: &Arrived| answer(503, &[&id_line(at), NOT_RUN, LEAVING], "");
        run_after(action_before(arrived).map(leaving), served(arrived))
    })
    .await;
    let told = scene.act(4).await;
    scene.assert_honest(&told).await;
    // Fails if either backend server counts as leaving.
    scene.until_known().await;
}

/// Sends actions over connections on which an answer is written before they are read.
async fn act_after_opening(
    status: u16,
    headers: &'static [&'static str],
    has_id: bool,
) -> (Scene, Vec<Told>) {
    let scene = Scene::start_plain(run_last).await;
    scene.open_with(OpeningTime::AtRequest, answer(status, headers, "opening"));
    let told = scene.act_as(4, |_| has_id).await;
    (scene, told)
}

/// Guards against actions that run although an answer that was written before they were read
/// counts as theirs.
#[rstest]
#[case::opening_unnamed_not_run(503, &[NOT_RUN])]
#[case::opening_empty_not_run(503, &[EMPTY_ID, NOT_RUN])]
#[case::opening_other_not_run(503, &["heatherring-request-id: other", NOT_RUN])]
#[case::opening_misdirected(421, &[])]
#[case::opening_503(503, &[])]
#[case::opening_429(429, &[])]
#[case::opening_408(408, &[])]
#[case::opening_200(200, &[])]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_opening(#[case] status: u16, #[case] headers: &'static [&'static str]) {
    let (scene, told) = act_after_opening(status, headers, true).await;
    scene.assert_honest(&told).await;
}

/// Guards against a promise to a caller that gives no identifier, by an answer that was written
/// before its request was read.
#[rstest]
#[case::anonymous_not_run(503, &[NOT_RUN])]
#[case::anonymous_other_not_run(503, &["heatherring-request-id: other", NOT_RUN])]
#[case::anonymous_misdirected(421, &[])]
#[case::anonymous_503(503, &[])]
#[case::anonymous_200(200, &[])]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_opening_for_a_caller_without_an_identifier(
    #[case] status: u16,
    #[case] headers: &'static [&'static str],
) {
    let (scene, told) = act_after_opening(status, headers, false).await;
    scene.assert_honest(&told).await;
}

/// Guards against a head that breaks off and is completed by that of the true answer, whose
/// identifier it then has.
#[rstest]
#[case::cut_status("HTTP/1.1 421 ")]
#[case::cut_reason("HTTP/1.1 503 Service Unav")]
#[case::cut_header("HTTP/1.1 503 Refused\r\nheatherring-outcome: not_run\r\nx-more: ")]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_opening_that_breaks_off(#[case] head: &str) {
    let scene = Scene::start_plain(run_last).await;
    scene.open_with(OpeningTime::AtRequest, head.to_owned());
    let told = scene.act(4).await;
    scene.assert_honest(&told).await;
}

/// Guards against callers that get what a backend server, whose answers name their requests, wrote
/// before it read theirs.
#[rstest]
#[case::opening_body_200(200)]
#[case::opening_body_404(404)]
#[case::opening_body_500(500)]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_opening_reaches_no_caller(#[case] status: u16) {
    let scene = Scene::start_plain(run_last).await;
    scene.open_with(OpeningTime::AtRequest, answer(status, &[], "opening"));
    let told = scene.act(4).await;
    scene.assert_honest(&told).await;
    assert!(told.iter().all(|told| told.body != "opening"), "{told:?}");
}

/// Guards against actions that run although a refusal that was written when the connection was
/// accepted counts as theirs.
#[rstest]
#[case::opening_at_accept(OpeningTime::AtAccept)]
#[case::opening_soon(OpeningTime::Soon)]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_opening_of_a_connection(#[case] time: OpeningTime) {
    let scene = Scene::start_plain(run_last).await;
    scene.open_with(time, answer(503, &[NOT_RUN], "opening"));
    let told = scene.act(4).await;
    scene.assert_honest(&told).await;
}

/// Guards against a backend server that nothing more is sent to because of what an answer states
/// that was written before the request was read.
#[rstest]
#[case::opening_states_pause(503, &[NOT_RUN, "retry-after: 300"])]
#[case::opening_states_leaving(503, &[NOT_RUN, LEAVING])]
#[case::opening_states_limit(503, &[NOT_RUN, "heatherring-rate-limit: 0.001"])]
#[case::opening_states_load(503, &[NOT_RUN, "heatherring-load: 3,99,3"])]
#[case::opening_states_another_server(421, &[])]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_opening_states_nothing(
    #[case] status: u16,
    #[case] headers: &'static [&'static str],
) {
    let scene = Scene::start_plain(run_last).await;
    scene.open_with(OpeningTime::AtRequest, answer(status, headers, "opening"));
    let told = scene.act(4).await;
    scene.ledger.open_with(None);
    scene.until_known().await;
    scene.assert_honest(&told).await;
}

/// Guards against a refusal that names no request and counts as proof that an action was not run.
#[rstest]
#[case::bare_not_run(503, &[NOT_RUN], true)]
#[case::bare_empty_not_run(503, &[EMPTY_ID, NOT_RUN], true)]
#[case::bare_misdirected(421, &[], true)]
#[case::bare_not_run_without_id(503, &[NOT_RUN], false)]
#[case::bare_misdirected_without_id(421, &[], false)]
#[tokio::test(flavor = "multi_thread")]
async fn test_unnamed_refusal_of_an_action_is_unknown(
    #[case] status: u16,
    #[case] headers: &'static [&'static str],
    #[case] has_id: bool,
) {
    let scene = Scene::start_plain(refusing(status, headers, true)).await;
    let told = scene.act_as(4, |_| has_id).await;
    scene.assert_unproved(&told).await;
}

/// Guards against a safe request that fails because one backend server refuses it without naming
/// it.
#[rstest]
#[case::safe_bare_not_run(503, &[NOT_RUN], true)]
#[case::safe_bare_empty_not_run(503, &[EMPTY_ID, NOT_RUN], true)]
#[case::safe_bare_misdirected(421, &[], true)]
#[case::safe_bare_not_run_without_id(503, &[NOT_RUN], false)]
#[tokio::test(flavor = "multi_thread")]
async fn test_unnamed_refusal_of_a_safe_request_leads_to_the_next(
    #[case] status: u16,
    #[case] headers: &'static [&'static str],
    #[case] has_id: bool,
) {
    let scene = Scene::start_plain(refusing(status, headers, false)).await;
    for number in 0..8 {
        let key = format!("act-{number}");
        let id = has_id.then_some(key.as_str());
        let sending = scene.send(Method::GET, "/safe/", &key, id.as_slice(), 4);
        let told = sending.await;
        assert_eq!(told.status, StatusCode::OK, "{told:?}");
    }
}

/// Checks that a refusal that names the first request of its connection is believed, with the
/// time that it asks for.
#[tokio::test(flavor = "multi_thread")]
async fn test_named_refusal_on_a_new_connection_is_believed() {
    let scene = Scene::start_plain(|arrived| {
        if arrived.key.starts_with("warm") {
            return run_last(arrived);
        }
        let headers = [&id_line(arrived), NOT_RUN, "retry-after: 2"];
        let refusal = last_answer(503, &headers, "refusal");
        vec![Act::Read, Act::Write(refusal)]
    })
    .await;
    let told = scene.act(4).await;
    scene.assert_kept(&told).await;
    assert!(told.iter().all(|told| told.status == 503), "{told:?}");
    assert!(told.iter().all(|told| told.retry_after.is_some()));
}

/// Writes an answer that lacks the end of its body, and then a whole answer to nobody.
fn completed_by_another(arrived: &Arrived) -> Vec<Act> {
    let other = answer(200, &["heatherring-request-id: other"], "of nobody");
    let body = format!("of {}", arrived.key);
    let whole = answer(200, &[&id_line(arrived)], &(body + &other));
    let short = whole.strip_suffix(&other).unwrap().to_owned();
    vec![Act::Run, Act::Write(short), Act::Pause, Act::Stray(other)]
}

/// Guards against a body that its backend server left short and that a late answer completes.
#[tokio::test(flavor = "multi_thread")]
async fn test_short_body_is_not_completed_by_a_late_answer() {
    let scene = Scene::start(completed_by_another).await;
    let told = scene.act(4).await;
    scene.assert_honest(&told).await;
}

/// Guards against a body that was written before the request was read, by a backend server that is not
/// known to echo identifiers.
#[tokio::test(flavor = "multi_thread")]
async fn test_early_body_without_identifier_reaches_no_caller() {
    let scene = Scene::start_plain(|arrived| run_after(None, nameless(arrived))).await;
    scene.open_with(OpeningTime::AtAccept, answer(200, &[], "of nobody"));
    let told = scene.act(4).await;
    scene.assert_honest(&told).await;
}

/// Guards against an answer that names another request, given to a caller that named none.
#[tokio::test(flavor = "multi_thread")]
async fn test_early_body_of_another_reaches_no_caller_without_identifier() {
    let scene = Scene::start(|arrived| run_after(None, served(arrived))).await;
    let other = answer(200, &["heatherring-request-id: other"], "of nobody");
    scene.open_with(OpeningTime::AtAccept, other);
    let told = scene.act_as(4, |_| false).await;
    scene.assert_honest(&told).await;
}
