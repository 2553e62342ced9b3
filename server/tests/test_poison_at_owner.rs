//! Requests that end backend servers, at entry VMs that own them.

mod entry_support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::entry_support::PLACE;
use crate::entry_support::rig::Rig;
use crate::entry_support::scripted_backend::Script;
use crate::entry_support::scripted_backend::ScriptedBackend;

const LEASE: Duration = Duration::from_secs(10);

/// Times that the request comes.
const TRIES: usize = 30;

/// Sends that end a backend server at most: three, and one more of a request that is watched.
const MOST_SENDS: usize = 4;

/// Pause before it comes again; the backend servers are back meanwhile.
const PAUSE: Duration = Duration::from_millis(100);

async fn start(rig: &mut Rig, script: &[Script]) -> Vec<ScriptedBackend> {
    let mut backends = Vec::new();
    for _ in 0..2 {
        backends.push(rig.start_backend(script).await);
    }
    backends
}

fn sends(backends: &[ScriptedBackend]) -> usize {
    let requests = backends
        .iter()
        .map(|one| one.requests.load(Ordering::SeqCst));
    requests.sum()
}

/// Symptom: one caller's request ends the backend servers of a service, one after the other.
/// Sequence: a backend server ends as it begins to run the request; its caller is told that the
/// connection was lost, and sends it again. Cause: what the owner of the backend servers knows
/// of the request ends with each try. Evidence: 7 ended within 30 tries before the owner counted
/// them by content, and the last tries were sent on; 4 at most since.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_poison_at_owner_ends_few_backend_servers() {
    let mut rig = Rig::start(&[PLACE], LEASE).await;
    let backends = start(&mut rig, &[Script::Crash]).await;
    let mut reason = String::new();
    for _ in 0..TRIES {
        let reply = rig.get(0, "/cubes/1").await;
        reason = reply.json()["reason"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        tokio::time::sleep(PAUSE).await;
    }
    let sends = sends(&backends);
    println!("{sends} backend servers ended");
    assert!(sends <= MOST_SENDS, "{sends} backend servers ended");
    assert_eq!(reason, "quarantined");
}

/// Connections that break while the backend servers live are no evidence.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_poison_at_owner_is_none_that_breaks_connections_alone() {
    let mut rig = Rig::start(&[PLACE], LEASE).await;
    let backends = start(&mut rig, &[Script::HangUp]).await;
    for _ in 0..TRIES {
        let reply = rig.get(0, "/cubes/1").await;
        assert_ne!(reply.json()["reason"], "quarantined");
    }
    assert!(sends(&backends) >= MOST_SENDS);
}
