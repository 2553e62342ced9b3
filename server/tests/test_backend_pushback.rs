//! Backend servers that ask a sender for a time without requests, across entry VMs that run as
//! complete processes.

mod direct_support;

use std::collections::BTreeSet;
use std::time::Duration;

use direct_support::Answer;
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
    let seconds = asked.as_secs_f64();
    let refusals = arrivals.iter().filter(|arrival| {
        let stated = arrival.asked.as_ref().map(|text| text.parse::<f64>());
        stated.is_some_and(|stated| (stated.unwrap() - seconds).abs() < 1e-9)
    });
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

/// Guards against requests that are held until their deadline, or get no hint when to return, while
/// all backend servers asked for a pause.
#[tokio::test(flavor = "multi_thread")]
async fn test_backend_pushback_of_all_refuses_with_a_delay() {
    const ASKED: Duration = Duration::from_secs(4);
    let scene = start(2, 2).await;
    for backend in &scene.backends {
        backend.refuse_for(Some("4.0"));
    }
    let run = async {
        let callers = Callers::start(&scene.call_addresses());
        sleep(ASKED).await;
        callers.finish().await
    };
    let answers = scene.while_announced(run).await;
    let paused = answers.iter().filter(|a| a.body == "backend_paused");
    let after = paused.map(|a| a.retry_after.as_ref().unwrap().parse::<f64>().unwrap());
    let after: Vec<f64> = after.collect();
    assert!(!after.is_empty());
    // A third of the 5 s that the route allows.
    assert!(after.iter().all(|after| *after > 0.0 && *after < 5.0 / 3.0));
    for backend in &scene.backends {
        assert_observed(backend, ASKED);
    }
}

/// Guards against a pause that is cut short by a shorter one, by an entry VM that was suspended, or
/// by a backend server that serves again before its end.
#[tokio::test(flavor = "multi_thread")]
async fn test_backend_pushback_is_only_lengthened() {
    const ASKED: Duration = Duration::from_secs(3);
    let scene = start(2, 2).await;
    let full = &scene.backends[0];
    full.behave_late(Duration::from_millis(400));
    let run = async {
        let callers = Callers::start(&scene.call_addresses().repeat(8));
        sleep(Duration::from_secs(1)).await;
        full.refuse_for(Some("3"));
        sleep(Duration::from_millis(200)).await;
        // Requests that are under way are refused with a shorter pause.
        full.refuse_for(Some("0.5"));
        sleep(Duration::from_millis(200)).await;
        full.refuse_for(None);
        scene.entries[0].freeze(ASKED / 3);
        sleep(2 * ASKED).await;
        callers.finish().await
    };
    let answers = scene.while_announced(run).await;
    let asked_long = |arrival: &Arrival| arrival.asked.as_deref() == Some("3");
    let requests = full.requests();
    let long: Vec<Arrival> = requests.iter().filter(|a| asked_long(a)).cloned().collect();
    assert!(!long.is_empty());
    assert_observed(full, ASKED);
    let resumed = long[0].at + 2 * ASKED;
    assert!(
        requests
            .iter()
            .any(|arrival| arrival.at > resumed && !arrival.refused)
    );
    let is_refusal = |a: &Answer| a.status == StatusCode::SERVICE_UNAVAILABLE;
    assert!(
        answers
            .iter()
            .all(|a| a.status == StatusCode::OK || is_refusal(a))
    );
}
