//! An entry VM's session with control: opening, renewal and loss of the lease, planned stops.

mod entry_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use heatherring_lib::backend_statement::ReceivedStatement;
use heatherring_lib::clock::SystemClock;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::Outcome;
use heatherring_server::backend_pool::BackendPool;
use heatherring_server::dispatcher::BackendTarget;
use heatherring_server::dispatcher::DispatchGate;
use heatherring_server::dispatcher::OutgoingRequest;
use heatherring_server::dispatcher::StatementObserver;
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

/// Time for which control's reply is delayed; shorter than a request waits for the session.
const BEFORE_THE_SESSION: Duration = Duration::from_millis(100);

/// Shorter than the timeouts of two silent replicas and a full long poll, which take 2.6 s with the
/// pauses; longer than the two timeouts alone.
const LEASE_FOR_TWO_SILENT: Duration = Duration::from_millis(2_550);

fn is_refused_for_lease(reply: &Reply) -> bool {
    reply.header("heatherring-outcome") == "not_run" && reply.json()["reason"] == "lease_lapsed"
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_lapsed_lease_refuses_and_names_other_entries() {
    // Guards against an entry VM that continues to dispatch after control has replaced it: control
    // is silent for longer than the lease, and the entry VM does not track the lease, or counts it
    // from the reply instead of the request.
    let mut rig = Rig::start(&[PLACE, PLACE], SHORT_LEASE).await;
    let backend = rig.start_backend(&[Script::Whole]).await;
    assert_eq!(rig.get(0, "/before").await.text(), "answer to /before");
    rig.control.set(Mode::Silent);
    wait_until(async || is_refused_for_lease(&rig.get(0, "/waiting").await)).await;
    let requests = backend.requests.load(Ordering::SeqCst);
    let reply = rig.get(0, "/after").await;
    assert_eq!(reply.status, 503);
    assert_eq!(reply.header("retry-after"), "1");
    let body = reply.json();
    assert_eq!(body["outcome"], "not_run");
    assert_eq!(body["entries"][0], rig.callers(1).to_string());
    assert_eq!(backend.requests.load(Ordering::SeqCst), requests);
}

/// Guards against refusals for a lapsed lease although a control replica is reachable. The first
/// two replicas that the entry VM asks become silent together, as a relay and the replica of its
/// failure domain may; each costs a timeout of 1 s. The third is asked with the rest of the lease.
/// If it holds its answer back for the 0.5 s of a long poll, as it does for a renewal in time, the
/// answer arrives after the end of the lease and does not revive it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_a_late_renewal_is_not_held_back() {
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
    // A change ends the pending long poll. The next one starts now, and its lease with it.
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

/// Guards against refusals for a lapsed lease by an entry VM that has just started, as during a
/// rolling replacement. Control opens its session and tells all entry VMs; another one names it in
/// a look-up, and the caller's request arrives before control's reply. The request was refused at
/// once with a retry after 1 s, although the session was open.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_a_request_waits_for_a_session_that_is_being_opened() {
    let mut rig = Rig::start(&[PLACE], LEASE).await;
    rig.control.hold_open_replies(true);
    let settings = rig.settings(PLACE);
    let vm = settings.vm.clone();
    rig.start_entry(settings);
    wait_until(async || rig.control.has_session(&vm)).await;
    wait_until(async || connect(rig.callers(1)).await.is_ok()).await;
    let mut calling = Box::pin(rig.get(1, "/"));
    // Only a refusal can arrive before the session is open.
    let early = tokio::time::timeout(BEFORE_THE_SESSION, &mut calling).await;
    assert!(early.is_err(), "{:?}", early.map(|reply| reply.status));
    rig.control.hold_open_replies(false);
    assert!(!is_refused_for_lease(&calling.await));
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
    // The new session counts the requests that the old one may have in flight.
    wait_until(async || rig.get(0, "/1").await.header("heatherring-outcome") == "answer").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_older_view_is_never_applied() {
    // Guards against an entry VM that returns to an older manifest: its session is lost, the next
    // reply has an older view, and a complete view is applied without comparing its revision.
    let rig = Rig::start(&[PLACE], LEASE).await;
    let before = rig.status(0).await.expect("a status");
    rig.control.forget_view();
    rig.control.set(Mode::SessionLost);
    let sync_calls = rig.control.sync_calls.load(Ordering::Relaxed);
    wait_until(async || rig.control.sync_calls.load(Ordering::Relaxed) > sync_calls + 1).await;
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
    let _taken = TcpListener::bind(listen.forward)
        .await
        .expect("a free port");
    let (_trigger, shutdown) = Shutdown::new();
    let result = run_entry(settings, Arc::new(SystemClock), shutdown).await;
    let Err(error) = result else {
        panic!("the entry VM must not start on a port in use");
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
    free.expect("the other listeners are closed");
    assert_eq!(rig.control.sync_calls.load(Ordering::Relaxed), 0);
}

/// Guards against a closed connection in place of an answer while entry VMs are replaced: a caller
/// sends a request on a kept connection at the moment of the stop, and connections are closed
/// without a `connection: close` on an earlier answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_planned_stop_announces_the_close_of_connections() {
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
    // Guards against a planned stop that cuts off a request: the stop is requested while a backend
    // server runs the request, and the process ends or closes its session without waiting.
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

/// Ignores what backend servers state.
struct Unobserved;

impl StatementObserver for Unobserved {
    fn stated(&self, _: ReceivedStatement, _: bool) {}
}

impl DispatchGate for ClosedGate {
    fn closed(&self) -> Option<NotRunReason> {
        Some(NotRunReason::LeaseLapsed)
    }
}

#[tokio::test]
async fn test_lease_is_checked_right_before_dispatch() {
    // Guards against two entry VMs that dispatch to the same backend server: after a request is
    // admitted the process is suspended until its lease has ended, and then sends the request
    // because the lease is checked only on arrival.
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
    let outcome = dispatch(
        &pool,
        target,
        &req,
        &ClosedGate,
        &Unobserved,
        Attempt::new(),
        now,
    )
    .await;
    let Outcome::NotRun(not_run) = outcome else {
        panic!("a request was sent without a lease");
    };
    assert_eq!(not_run.reason(), NotRunReason::LeaseLapsed);
    wait_until(async || backend.closed.load(Ordering::SeqCst) == 1).await;
    assert_eq!(backend.requests.load(Ordering::SeqCst), 0);
}
