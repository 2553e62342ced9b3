//! What callers are told of each way in which a backend server can answer.

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

/// Names the end that a caller sees.
#[derive(Debug, Eq, PartialEq)]
enum Seen {
    Whole,
    Broken,
    Refused(&'static str, &'static str),
}

async fn check(entries: &[&str], script: &[Script], expected: Seen, requests: usize) {
    let mut rig = Rig::start(entries, LEASE).await;
    let backend = rig.start_backend(script).await;
    // With two entry VMs the request goes through the one that doesn't own the server.
    let through = if entries.len() > 1 {
        1 - rig.owner()
    } else {
        0
    };
    let reply = rig.try_get(through, "/cubes/1").await;
    if expected == Seen::Broken {
        // The connection may break before the head has left. Between entry VMs that is
        // told as "unknown", which is true as well; anything that says "answer" and is
        // whole would not be.
        if let Ok(reply) = reply
            && reply.header("heatherring-outcome") != "unknown"
        {
            reply.body.expect_err("a short body must not look whole");
        }
        assert_eq!(backend.requests.load(Ordering::SeqCst), requests);
        return;
    }
    let reply = reply.expect("an answer");
    match expected {
        Seen::Broken => {}
        Seen::Whole => {
            assert_eq!(reply.header("heatherring-outcome"), "answer");
            assert_eq!(reply.text(), "answer to /cubes/1");
        }
        Seen::Refused(outcome, reason) => {
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
    ($($name:ident: $script:expr => $seen:expr, $requests:literal requests;)*) => {$(
        mod $name {
            use super::*;

            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn test_answer_at_owner() {
                check(&[PLACE], $script, $seen, $requests).await;
            }

            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn test_answer_forwarded() {
                check(&[PLACE, PLACE], $script, $seen, $requests).await;
            }
        }
    )*};
}

answer_tests! {
    whole: &[Script::Whole] => Seen::Whole, 1 requests;
    chunked: &[Script::Chunked] => Seen::Whole, 1 requests;
    short_length: &[Script::ShortLength] => Seen::Broken, 1 requests;
    short_chunked: &[Script::ShortChunked] => Seen::Broken, 1 requests;
    stalled: &[Script::Stalled] => Seen::Broken, 1 requests;
    // The end of such a body can't be told from a break, so that it is no answer.
    close_delimited: &[Script::CloseDelimited] =>
        Seen::Refused("unknown", "connection_lost"), 1 requests;
    // The only server pauses after a refusal, so that there is none for a second try.
    refused: &[Script::Refuse] => Seen::Refused("not_run", "no_backend_server"), 1 requests;
    hang_up: &[Script::HangUp] => Seen::Refused("unknown", "connection_lost"), 1 requests;
    no_answer: &[Script::NoAnswer] => Seen::Refused("unknown", "deadline_passed"), 1 requests;
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
async fn test_pool_drops_connection_of_caller_that_left() {
    // Symptom: a caller gets the rest of an answer that another caller had abandoned.
    // Sequence: a caller leaves in the middle of its answer; the next request goes to
    // the same backend server.
    // Cause: the connection of the abandoned answer is used again.
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
    let asking = sender.send_request(request("GET", address, &path, ""));
    let leaving = tokio::time::timeout(Duration::from_millis(DEADLINE_MS / 5), asking);
    leaving.await.expect_err("no answer comes");
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
