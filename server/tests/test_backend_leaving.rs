//! Backend servers that state in their answers that they are leaving, across entry VMs that run as
//! complete processes.

mod direct_support;

use std::collections::BTreeMap;
use std::time::Duration;

use direct_support::backend::Backend;
use direct_support::scene::Callers;
use direct_support::scene::start;
use http::StatusCode;
use tokio::time::Instant;
use tokio::time::sleep;

/// Time after an entry VM passed on the statement in which its requests may still arrive.
const DRAIN: Duration = Duration::from_millis(2_500);

/// Returns when requests of each entry VM arrived from `since` on.
fn arrivals_since(
    backend: &Backend,
    since: std::time::Instant,
) -> BTreeMap<String, Vec<std::time::Instant>> {
    let mut arrivals: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for arrival in backend.requests() {
        if arrival.at >= since {
            arrivals.entry(arrival.by).or_default().push(arrival.at);
        }
    }
    arrivals
}

/// Guards against entry VMs that go on sending to a backend server whose answers state that it is
/// leaving.
#[tokio::test(flavor = "multi_thread")]
async fn test_backend_leaving_ends_new_requests() {
    let scene = start(2, 3).await;
    let leaving = &scene.backends[0];
    let run = async {
        let callers = Callers::start(&scene.call_addresses());
        sleep(Duration::from_secs(1)).await;
        leaving.state_leaving();
        let stated_at = Instant::now();
        sleep(2 * DRAIN).await;
        (stated_at, callers.finish().await)
    };
    let (stated_at, answers) = scene.while_announced(run).await;
    for (by, arrivals) in arrivals_since(leaving, stated_at.into_std()) {
        let late = arrivals.iter().filter(|at| **at > arrivals[0] + DRAIN);
        assert_eq!(late.count(), 0, "{by}");
    }
    let served = answers.iter().filter(|a| a.status == StatusCode::OK);
    assert_eq!(served.count(), answers.len());
}
