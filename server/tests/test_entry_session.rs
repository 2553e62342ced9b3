//! An entry VM's session with control: when it serves, when it doesn't, how it ends.

mod entry_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use heatherring_lib::clock::SystemClock;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::Outcome;
use heatherring_server::backend_pool::BackendPool;
use heatherring_server::dispatcher::BackendTarget;
use heatherring_server::dispatcher::DispatchGate;
use heatherring_server::dispatcher::OutgoingRequest;
use heatherring_server::dispatcher::dispatch;
use heatherring_server::entry_process::EntryError;
use heatherring_server::entry_process::run_entry;
use heatherring_server::shutdown::Shutdown;
use heatherring_testutils::loopback::CONTROL_PORT;
use heatherring_testutils::loopback::LoopbackBlock;
use heatherring_testutils::loopback::SERVICE_PORT;
use http::HeaderMap;
use http::Method;
use tokio::net::TcpListener;

use crate::entry_support::PLACE;
use crate::entry_support::SERVICE;
use crate::entry_support::caller::Reply;
use crate::entry_support::caller::collect;
use crate::entry_support::caller::connect;
use crate::entry_support::caller::request;
use crate::entry_support::caller::wait_until;
use crate::entry_support::fake_control::Mode;
use crate::entry_support::manifest_text;
use crate::entry_support::rig::Rig;
use crate::entry_support::scripted_backend::Script;
use crate::entry_support::scripted_backend::ScriptedBackend;

const LEASE: Duration = Duration::from_secs(10);
const SHORT_LEASE: Duration = Duration::from_secs(2);

/// Time for which control's word is held back: a part of what a request waits for it.
const BEFORE_THE_SESSION: Duration = Duration::from_millis(100);

/// Shorter than two silent replicas and a whole time of holding back, 2.6 s with the pauses, and
/// longer than the two alone.
const LEASE_FOR_TWO_SILENT: Duration = Duration::from_millis(2_550);

fn is_refused_for_lease(reply: &Reply) -> bool {
    reply.header("heatherring-outcome") == "not_run" && reply.json()["reason"] == "lease_lapsed"
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_lapsed_lease_refuses_and_names_other_entries() {
    // Symptom: an entry VM that control has replaced goes on dispatching.
    // Sequence: control falls silent for longer than the lease.
    // Cause: the entry VM doesn't count its lease, or counts it from the reply.
    let mut rig = Rig::start(&[PLACE, PLACE], SHORT_LEASE).await;
    let backend = rig.start_backend(&[Script::Whole]).await;
    assert_eq!(rig.get(0, "/before").await.text(), "answer to /before");
    rig.control.set(Mode::Silent);
    wait_until(async || is_refused_for_lease(&rig.get(0, "/waiting").await)).await;
    let asked = backend.requests.load(Ordering::SeqCst);
    let reply = rig.get(0, "/after").await;
    assert_eq!(reply.status, 503);
    assert_eq!(reply.header("retry-after"), "1");
    let body = reply.json();
    assert_eq!(body["outcome"], "not_run");
    assert_eq!(body["entries"][0], rig.callers(1).to_string());
    assert_eq!(backend.requests.load(Ordering::SeqCst), asked);
}

/// Symptom: callers are refused for a lapsed lease although control can be asked.
///
/// Sequence: the two whom an entry VM would ask first fall silent together, as a relay and the
/// replica of its failure domain do; each costs a second. The third one is asked with what is
/// left of the lease, and grants it after the 0.5 s for which it may hold answers back.
///
/// Cause: a renewal that had been late twice was held back like one that has time. Its answer
/// came after the end of the lease, and so didn't revive it either.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_a_late_renewal_isnt_held_back() {
    let mut rig = Rig::start(&[], LEASE_FOR_TWO_SILENT).await;
    let second = SocketAddr::new(rig.block.next_vm(), CONTROL_PORT);
    let second = rig.control.start_replica(second).await;
    let third = SocketAddr::new(rig.block.next_vm(), CONTROL_PORT);
    let third = rig.control.start_replica(third).await;
    let mut settings = rig.settings(PLACE);
    settings.control = vec![rig.control.address, second.address, third.address];
    rig.start_entry(settings);
    rig.wait_for_status(0, |status| status["revision"] == status["settled_revision"])
        .await;
    // News end the call that is held back. The next one begins now, and its lease with it.
    rig.control
        .submit(&manifest_text().replace("\"version\":1", "\"version\":2"));
    rig.wait_for_status(0, |status| status["manifest_version"] == 2)
        .await;
    second.set(Mode::Silent);
    rig.control.set(Mode::Silent);
    wait_until(async || {
        assert!(!is_refused_for_lease(&rig.get(0, "/").await));
        third.sync_calls.load(Ordering::Relaxed) > 1
    })
    .await;
}

/// Symptom: while entry VMs are replaced, a caller is refused for a lapsed lease by one that has
/// just started.
///
/// Sequence: control opens its session and tells everybody; another entry VM names it in a
/// look-up; the caller's request arrives before control's word does.
///
/// Cause: without a session a request was refused at once, and its caller told to come back a
/// second later, although the session was open.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_a_request_waits_for_a_session_that_is_being_opened() {
    let mut rig = Rig::start(&[PLACE], LEASE).await;
    rig.control.hold_open_replies(true);
    let settings = rig.settings(PLACE);
    let vm = settings.vm.clone();
    rig.start_entry(settings);
    wait_until(async || rig.control.has_session(&vm)).await;
    wait_until(async || connect(rig.callers(1)).await.is_ok()).await;
    let mut asking = Box::pin(rig.get(1, "/"));
    // An answer that comes before the session does is the refusal.
    let early = tokio::time::timeout(BEFORE_THE_SESSION, &mut asking).await;
    assert!(early.is_err(), "{:?}", early.map(|reply| reply.status));
    rig.control.hold_open_replies(false);
    assert!(!is_refused_for_lease(&asking.await));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_fresh_entry_serves_nothing_without_quorum() {
    let mut rig = Rig::start(&[], LEASE).await;
    rig.control.set(Mode::NoQuorum);
    let settings = rig.settings(PLACE);
    rig.start_entry(settings);
    wait_until(async || rig.control.sync_calls.load(Ordering::Relaxed) > 2).await;
    assert!(is_refused_for_lease(&rig.get(0, "/").await));
    rig.control.set(Mode::Grant);
    rig.wait_for_status(0, |status| status["manifest_version"] == 1)
        .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_lost_session_is_followed_by_a_fresh_one() {
    let mut rig = Rig::start(&[PLACE], LEASE).await;
    let _backend = rig.start_backend(&[Script::Whole]).await;
    let before = rig.status(0).await.expect("a status")["session"].clone();
    rig.control.set(Mode::SessionLost);
    rig.wait_for_status(0, |status| {
        status["session"] != 0 && status["session"] != before
    })
    .await;
    // The new session counts what the old one may have had in flight.
    wait_until(async || rig.get(0, "/1").await.header("heatherring-outcome") == "answer").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_older_view_is_never_taken() {
    // Symptom: an entry VM steps back to an older manifest.
    // Sequence: its session is lost, and the next reply carries an older view.
    // Cause: a whole view is taken without comparing its revision.
    let rig = Rig::start(&[PLACE], LEASE).await;
    let before = rig.status(0).await.expect("a status");
    rig.control.forget_view();
    rig.control.set(Mode::SessionLost);
    let asked = rig.control.sync_calls.load(Ordering::Relaxed);
    wait_until(async || rig.control.sync_calls.load(Ordering::Relaxed) > asked + 1).await;
    rig.wait_for_status(0, |status| status["session"] == 0)
        .await;
    let after = rig.status(0).await.expect("a status");
    assert_eq!(after["manifest_version"], before["manifest_version"]);
    assert!(is_refused_for_lease(&rig.get(0, "/").await));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_port_in_use_starts_nothing() {
    let mut rig = Rig::start(&[], LEASE).await;
    let settings = rig.settings(PLACE);
    let listen = settings.listen;
    let _taken = TcpListener::bind(listen.forward).await.expect("free");
    let (_trigger, shutdown) = Shutdown::new();
    let result = run_entry(settings, Arc::new(SystemClock), shutdown).await;
    let Err(error) = result else {
        panic!("the port is in use");
    };
    assert!(error.is_user_error());
    assert!(matches!(
        error,
        EntryError::Listen {
            purpose: "forward",
            ..
        }
    ));
    let free = TcpListener::bind(listen.callers).await;
    free.expect("no listener is left behind");
    assert_eq!(rig.control.sync_calls.load(Ordering::Relaxed), 0);
}

/// Symptom: while entry VMs are replaced, a request ends with a closed connection and no answer.
///
/// Sequence: a caller keeps its connection to an entry VM that leaves, and sends the next request
/// on it at the moment of the stop.
///
/// Cause: connections were closed at the stop, and callers weren't told before it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_planned_stop_tells_callers_before_it_closes_connections() {
    let mut rig = Rig::start(&[PLACE, PLACE], LEASE).await;
    let _backend = rig.start_backend(&[Script::Whole]).await;
    let address = rig.callers(0);
    let mut kept = connect(address).await.unwrap();
    let path = format!("/svc/{SERVICE}/1");
    let before = kept.send_request(request("GET", address, &path, ""));
    let before = before.await.unwrap();
    assert!(!before.headers().contains_key("connection"));
    collect(before.into_body()).await.unwrap();
    rig.entries[0].trigger.request();
    wait_until(async || {
        let view = rig.control.view();
        view.sessions.values().any(|session| session.leaving)
    })
    .await;
    let while_leaving = kept.send_request(request("GET", address, &path, ""));
    let while_leaving = while_leaving.await.unwrap();
    assert_eq!(while_leaving.headers()["connection"], "close");
    let body = collect(while_leaving.into_body()).await.unwrap();
    assert_eq!(body, "answer to /1");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_planned_stop_finishes_what_is_in_flight() {
    // Symptom: a planned stop cuts off a request.
    // Sequence: the stop is asked for while a backend server works.
    // Cause: the process ends, or hands over, without waiting.
    let mut rig = Rig::start(&[PLACE], LEASE).await;
    let backend = rig.start_backend(&[Script::Slow]).await;
    let vm = rig.entries[0].settings.vm.clone();
    let stopping = async {
        wait_until(async || backend.requests.load(Ordering::SeqCst) == 1).await;
        rig.entries[0].trigger.request();
    };
    let (reply, ()) = tokio::join!(rig.get(0, "/slow"), stopping);
    assert_eq!(reply.text(), "answer to /slow");
    wait_until(async || !rig.control.has_session(&vm)).await;
    let entry = rig.entries.remove(0);
    wait_until(async || entry.task.is_finished()).await;
    let ended = entry.task.join().expect("no panic");
    ended.expect("a planned stop");
}

#[derive(Debug)]
struct ClosedGate;

impl DispatchGate for ClosedGate {
    fn closed(&self) -> Option<NotRunReason> {
        Some(NotRunReason::LeaseLapsed)
    }
}

#[tokio::test]
async fn test_lease_is_checked_right_before_dispatch() {
    // Symptom: two entry VMs dispatch to the same backend server.
    // Sequence: a request is admitted; the process is frozen until its lease is over,
    // and wakes up before it has sent the request.
    // Cause: the lease is checked on arrival only.
    let mut block = LoopbackBlock::claim().expect("free addresses");
    let address = SocketAddr::new(block.next_vm(), SERVICE_PORT);
    let backend = ScriptedBackend::start(address, &[Script::Whole]).await;
    let now = Instant::now();
    let req = OutgoingRequest {
        method: Method::GET,
        path: "/".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        request_id: "1".to_owned(),
        deadline: now + LEASE,
    };
    let target = BackendTarget {
        address,
        max_connections: 1,
    };
    let pool = BackendPool::spawn();
    let outcome = dispatch(&pool, target, &req, &ClosedGate, Attempt::new(), now).await;
    let Outcome::NotRun(not_run) = outcome else {
        panic!("nothing may be sent");
    };
    assert_eq!(not_run.reason(), NotRunReason::LeaseLapsed);
    wait_until(async || backend.closed.load(Ordering::SeqCst) == 1).await;
    assert_eq!(backend.requests.load(Ordering::SeqCst), 0);
}
