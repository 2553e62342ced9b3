//! Requests that crash backend servers, at the entry VM that owns the backend servers.

mod entry_support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::entry_support::PLACE;
use crate::entry_support::rig::Rig;
use crate::entry_support::scripted_backend::Script;
use crate::entry_support::scripted_backend::ScriptedBackend;

const LEASE: Duration = Duration::from_secs(10);

/// Number of times that the caller sends the request.
const ATTEMPTS: usize = 30;

/// Maximum number of dispatches, each of which crashes a backend server: three, and one more while
/// the request is on watch.
const MAX_DISPATCHES: usize = 4;

/// Pause between two sends, in which the crashed backend servers may restart.
const PAUSE: Duration = Duration::from_millis(100);

async fn start(rig: &mut Rig, script: &[Script]) -> Vec<ScriptedBackend> {
    let mut backends = Vec::new();
    for _ in 0..2 {
        backends.push(rig.start_backend(script).await);
    }
    backends
}

fn dispatches(backends: &[ScriptedBackend]) -> usize {
    let requests = backends
        .iter()
        .map(|one| one.requests.load(Ordering::SeqCst));
    requests.sum()
}

/// Guards against one caller's request that crashes the backend servers of a service one after the
/// other: each send crashes one, the caller is told that the connection was lost and sends the
/// request again, and the owner keeps no record beyond one attempt. Before the owner counted
/// crashes by the content of requests, 7 backend servers crashed within 30 attempts and the last
/// attempts were still dispatched; 4 at most since.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_poison_at_owner_crashes_few_backend_servers() {
    let mut rig = Rig::start(&[PLACE], LEASE).await;
    let backends = start(&mut rig, &[Script::Crash]).await;
    let mut reason = String::new();
    for _ in 0..ATTEMPTS {
        let reply = rig.get(0, "/cubes/1").await;
        reason = reply.json()["reason"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        tokio::time::sleep(PAUSE).await;
    }
    let dispatches = dispatches(&backends);
    println!("{dispatches} backend servers crashed");
    assert!(
        dispatches <= MAX_DISPATCHES,
        "{dispatches} backend servers crashed"
    );
    assert_eq!(reason, "quarantined");
}

/// Guards against a quarantine for broken connections alone: the backend servers keep running.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_poison_at_owner_ignores_broken_connections_alone() {
    let mut rig = Rig::start(&[PLACE], LEASE).await;
    let backends = start(&mut rig, &[Script::HangUp]).await;
    for _ in 0..ATTEMPTS {
        let reply = rig.get(0, "/cubes/1").await;
        assert_ne!(reply.json()["reason"], "quarantined");
    }
    assert!(dispatches(&backends) >= MAX_DISPATCHES);
}
