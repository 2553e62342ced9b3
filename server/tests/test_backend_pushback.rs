//! Backend servers that ask a sender for a time without requests, across entry VMs that run as
//! complete processes.

mod direct_support;

use std::collections::BTreeSet;
use std::time::Duration;

use direct_support::backend::Arrival;
use direct_support::backend::Backend;
use direct_support::scene::Callers;
use direct_support::scene::start;
use http::StatusCode;
use tokio::time::sleep;

/// Time after a refusal in which requests that were on their way may still arrive.
const SLACK: Duration = Duration::from_millis(500);

/// Requests of one sender that may arrive in the rest of the time that the refusal asked for.
const ALLOWED: usize = 2;

/// Returns the largest number of requests of one sender that arrived in the time after any refusal
/// for which the backend server wanted none.
fn most_unwanted(arrivals: &[Arrival], asked: Duration) -> usize {
    let refusals = arrivals.iter().filter(|arrival| arrival.refused);
    let unwanted = refusals.map(|refusal| {
        let unwanted = arrivals.iter().filter(|arrival| {
            arrival.by == refusal.by
                && arrival.at > refusal.at + SLACK
                && arrival.at < refusal.at + asked
        });
        unwanted.count()
    });
    unwanted.max().unwrap_or(0)
}

fn assert_observed(backend: &Backend, asked: Duration) {
    let most = most_unwanted(&backend.requests(), asked);
    assert!(most <= ALLOWED, "{most} requests of one sender");
}

/// Guards against entry VMs that go on sending to a backend server that asked them for a pause.
#[tokio::test(flavor = "multi_thread")]
async fn test_backend_pushback_holds_for_each_sender() {
    const ASKED: Duration = Duration::from_secs(3);
    let scene = start(3, 3).await;
    let full = &scene.backends[0];
    let run = async {
        let callers = Callers::start(&scene.call_addresses());
        sleep(Duration::from_secs(1)).await;
        full.refuse_for(Some("3"));
        sleep(2 * ASKED + Duration::from_secs(1)).await;
        callers.finish().await
    };
    let answers = scene.while_announced(run).await;
    let refusals = full
        .requests()
        .into_iter()
        .filter(|arrival| arrival.refused);
    let senders: BTreeSet<String> = refusals.map(|arrival| arrival.by).collect();
    assert_eq!(senders.len(), scene.entries.len());
    assert_observed(full, ASKED);
    let served = answers.iter().filter(|a| a.status == StatusCode::OK);
    assert_eq!(served.count(), answers.len());
}
