//! Answers that callers get for each way in which a backend server can answer or fail.

mod entry_support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::entry_support::DEADLINE_MS;
use crate::entry_support::PLACE;
use crate::entry_support::SERVICE;
use crate::entry_support::caller::connect;
use crate::entry_support::caller::request;
use crate::entry_support::caller::wait_until;
use crate::entry_support::rig::Rig;
use crate::entry_support::scripted_backend::Script;

const LEASE: Duration = Duration::from_secs(10);

/// The result that a caller gets.
#[derive(Debug, Eq, PartialEq)]
enum CallerResult {
    Whole,
    Broken,
    /// Outcome and reason in the body.
    Refused(&'static str, &'static str),
}

async fn check(entries: &[&str], script: &[Script], expected: CallerResult, requests: usize) {
    let mut rig = Rig::start(entries, LEASE).await;
    let backend = rig.start_backend(script).await;
    // With two entry VMs the request is sent to the one that does not own the backend server.
    let through = if entries.len() > 1 {
        1 - rig.owner()
    } else {
        0
    };
    let reply = rig.try_get(through, "/cubes/1").await;
    if expected == CallerResult::Broken {
        // The connection may break before the head is sent. An entry VM that forwarded the
        // request then correctly reports "unknown"; a complete "answer" would be wrong.
        if let Ok(reply) = reply
            && reply.header("heatherring-outcome") != "unknown"
        {
            reply
                .body
                .expect_err("a truncated body must not look complete");
        }
        assert_eq!(backend.requests.load(Ordering::SeqCst), requests);
        return;
    }
    let reply = reply.expect("an answer");
    match expected {
        CallerResult::Broken => {}
        CallerResult::Whole => {
            assert_eq!(reply.header("heatherring-outcome"), "answer");
            assert_eq!(reply.text(), "answer to /cubes/1");
        }
        CallerResult::Refused(outcome, reason) => {
            assert_eq!(reply.header("heatherring-outcome"), outcome);
            let body = reply.json();
            assert_eq!(body["outcome"], outcome);
            assert_eq!(body["reason"], reason);
            assert_eq!(body["request_id"], reply.header("heatherring-request-id"));
        }
    }
    assert_eq!(backend.requests.load(Ordering::SeqCst), requests);
}

macro_rules! answer_tests {
    ($($name:ident: $script:expr => $result:expr, $requests:literal requests;)*) => {$(
        mod $name {
            use super::*;

            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn test_answer_at_owner() {
                check(&[PLACE], $script, $result, $requests).await;
            }

            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn test_answer_forwarded() {
                check(&[PLACE, PLACE], $script, $result, $requests).await;
            }
        }
    )*};
}

answer_tests! {
    whole: &[Script::Whole] => CallerResult::Whole, 1 requests;
    chunked: &[Script::Chunked] => CallerResult::Whole, 1 requests;
    short_length: &[Script::ShortLength] => CallerResult::Broken, 1 requests;
    short_chunked: &[Script::ShortChunked] => CallerResult::Broken, 1 requests;
    stalled: &[Script::Stalled] => CallerResult::Broken, 1 requests;
    // The end of such a body is indistinguishable from a broken connection.
    close_delimited: &[Script::CloseDelimited] =>
        CallerResult::Refused("unknown", "connection_lost"), 1 requests;
    // The only backend server is paused after a refusal, so none is left for a second attempt.
    refused: &[Script::Refuse] => CallerResult::Refused("not_run", "no_backend_server"), 1 requests;
    hang_up: &[Script::HangUp] => CallerResult::Refused("unknown", "connection_lost"), 1 requests;
    no_answer: &[Script::NoAnswer] => CallerResult::Refused("unknown", "deadline_passed"), 1 requests;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_pool_reuses_connection_after_whole_answer() {
    let mut rig = Rig::start(&[PLACE], LEASE).await;
    let script = [
        Script::Whole,
        Script::Chunked,
        Script::Refuse,
        Script::Whole,
    ];
    let backend = rig.start_backend(&script).await;
    for path in ["/1", "/2"] {
        assert_eq!(rig.get(0, path).await.text(), format!("answer to {path}"));
    }
    assert_eq!(
        rig.get(0, "/3").await.header("heatherring-outcome"),
        "not_run"
    );
    wait_until(async || rig.get(0, "/4").await.header("heatherring-outcome") == "answer").await;
    assert_eq!(backend.requests.load(Ordering::SeqCst), 4);
    assert_eq!(backend.connections.load(Ordering::SeqCst), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_refusal_of_one_backend_server_leads_to_another() {
    let mut rig = Rig::start(&[PLACE], LEASE).await;
    let refusing = rig.start_backend(&[Script::Refuse]).await;
    let serving = rig.start_backend(&[Script::Whole]).await;
    for path in ["/1", "/2", "/3", "/4"] {
        assert_eq!(rig.get(0, path).await.text(), format!("answer to {path}"));
    }
    assert!(refusing.requests.load(Ordering::SeqCst) > 0);
    assert_eq!(serving.requests.load(Ordering::SeqCst), 4);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_pool_closes_connection_of_caller_that_left() {
    // Guards against a caller that gets the rest of another caller's answer: the other caller
    // disconnects in the middle of its answer, and the connection to the backend server is
    // reused for the next request.
    let mut rig = Rig::start(&[PLACE], LEASE).await;
    let backend = rig.start_backend(&[Script::Stalled, Script::Whole]).await;
    let address = rig.callers(0);
    let mut sender = connect(address).await.expect("a connection");
    let path = format!("/svc/{SERVICE}/left");
    let response = sender.send_request(request("GET", address, &path, ""));
    let response = response.await.expect("the head of the answer");
    drop(response);
    drop(sender);
    wait_until(async || backend.closed.load(Ordering::SeqCst) == 1).await;
    assert_eq!(rig.get(0, "/next").await.text(), "answer to /next");
    assert_eq!(backend.connections.load(Ordering::SeqCst), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_caller_that_leaves_cancels_its_request() {
    let mut rig = Rig::start(&[PLACE], LEASE).await;
    let backend = rig.start_backend(&[Script::NoAnswer]).await;
    let address = rig.callers(0);
    let mut sender = connect(address).await.expect("a connection");
    let path = format!("/svc/{SERVICE}/left");
    let calling = sender.send_request(request("GET", address, &path, ""));
    let leaving = tokio::time::timeout(Duration::from_millis(DEADLINE_MS / 5), calling);
    leaving.await.expect_err("there is no answer");
    drop(sender);
    wait_until(async || backend.closed.load(Ordering::SeqCst) == 1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_pool_replaces_connection_that_the_server_closed() {
    let mut rig = Rig::start(&[PLACE], LEASE).await;
    let script = [Script::WholeThenClose, Script::Whole];
    let backend = rig.start_backend(&script).await;
    assert_eq!(rig.get(0, "/1").await.text(), "answer to /1");
    assert_eq!(rig.get(0, "/2").await.text(), "answer to /2");
    assert_eq!(backend.connections.load(Ordering::SeqCst), 2);
}
