//! What backend servers state about themselves, at the entry VM that owns them.

mod entry_support;

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::entry_support::PLACE;
use crate::entry_support::rig::Rig;
use crate::entry_support::scripted_backend::PAUSE;
use crate::entry_support::scripted_backend::Script;

const LEASE: Duration = Duration::from_secs(10);

/// Time between two requests of the caller.
const GAP: Duration = Duration::from_millis(50);

/// Sends requests for `time` to a service of a backend server with this script and `others`; returns
/// how many arrived there, and how many were answered.
async fn arrivals(script: Script, others: usize, time: Duration) -> (usize, usize) {
    let mut rig = Rig::start(&[PLACE], LEASE).await;
    let stating = rig.start_backend(&[script]).await;
    for _ in 0..others {
        rig.start_backend(&[Script::Whole]).await;
    }
    let begun = Instant::now();
    let mut served = 0;
    while begun.elapsed() < time {
        let reply = rig.get(0, "/cubes/1").await;
        served += usize::from(reply.header("heatherring-outcome") == "answer");
        tokio::time::sleep(GAP).await;
    }
    (stating.requests.load(Ordering::SeqCst), served)
}

/// Guards against an owner that goes on sending to a backend server that asked for a pause.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_statement_at_owner_of_a_pause_is_observed() {
    let (arrived, served) = arrivals(Script::RefuseForAPause, 0, PAUSE * 3 / 4).await;
    assert_eq!((arrived, served), (1, 0));
}

/// Guards against an owner that goes on sending to a backend server that states that it is leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_statement_at_owner_of_leaving_is_observed() {
    let (arrived, served) = arrivals(Script::WholeAndLeaving, 1, PAUSE).await;
    assert_eq!(arrived, 1);
    assert!(served > 10, "{served}");
}

/// Guards against an owner that sends more than the rate limit that a backend server declares.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_statement_at_owner_of_a_limit_is_observed() {
    let (arrived, served) = arrivals(Script::WholeAndLimited, 1, PAUSE).await;
    assert!(arrived <= 2, "{arrived}");
    assert!(served > 10, "{served}");
}
