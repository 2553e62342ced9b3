//! Backend servers that state in their answers that they are leaving, across entry VMs that run as
//! complete processes.

mod direct_support;

use std::collections::BTreeMap;
use std::time::Duration;

use direct_support::Answer;
use direct_support::backend::Backend;
use direct_support::scene::Callers;
use direct_support::scene::OBJECTS;
use direct_support::scene::ask;
use direct_support::scene::start;
use heatherring_testutils::wait::wait_for;
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

/// Guards against an entry VM that goes on sending to a leaving backend server because it has not
/// had an answer of it.
#[tokio::test(flavor = "multi_thread")]
async fn test_backend_leaving_reaches_entry_vms_that_sent_nothing() {
    let mut scene = start(2, 2).await;
    scene.backends[0].state_leaving();
    let told = scene.call_addresses()[0];
    let run = async {
        for object in 0..OBJECTS {
            ask(told, object).await;
        }
        sleep(Duration::from_secs(2)).await;
    };
    scene.while_announced(run).await;
    let late = scene.deployment.start_entry("entry-3");
    scene.entries.push(late);
    let late = &scene.entries[2];
    let ready = wait_for("a view", async || late.is_ready().await.then_some(()));
    scene.while_announced(ready).await.unwrap();
    let before = scene.backends[0].arrivals().len();
    for informed in &scene.call_addresses()[1..] {
        for object in 0..OBJECTS {
            let answer = ask(*informed, object).await.unwrap();
            assert_eq!(answer.status, StatusCode::OK);
        }
    }
    assert_eq!(scene.backends[0].arrivals().len(), before);
}

/// Guards against a statement that is forgotten when control cannot be reached, or when a later
/// answer or announcement omits it.
#[tokio::test(flavor = "multi_thread")]
async fn test_backend_leaving_holds_without_control() {
    const CUT: Duration = Duration::from_secs(3);
    let scene = start(1, 2).await;
    for replica in &scene.deployment.replicas {
        replica.freeze(CUT);
    }
    scene.backends[0].state_leaving();
    let callers = Callers::start(&scene.call_addresses());
    sleep(CUT / 2).await;
    let known_at = Instant::now();
    scene.backends[0].stop_stating_leaving();
    sleep(CUT / 3).await;
    let unserved = unserved(callers.finish().await);
    assert!(unserved.is_empty(), "{unserved:?}");
    let callers = Callers::start(&scene.call_addresses());
    scene.while_announced(sleep(2 * CUT)).await;
    callers.finish().await;
    let late = arrivals_since(&scene.backends[0], known_at.into_std());
    assert!(late.is_empty(), "{late:?}");
}

/// Guards against callers that are refused because control was suspended, and takes backend servers
/// for silent when it resumes.
#[tokio::test(flavor = "multi_thread")]
async fn test_resumed_control_silences_no_backend_server() {
    const CUT: Duration = Duration::from_secs(3);
    let scene = start(1, 2).await;
    for replica in &scene.deployment.replicas {
        replica.freeze(CUT);
    }
    let callers = Callers::start(&scene.call_addresses());
    sleep(CUT / 2).await;
    scene.while_announced(sleep(2 * CUT)).await;
    let unserved = unserved(callers.finish().await);
    assert!(unserved.is_empty(), "{unserved:?}");
}

fn unserved(answers: Vec<Answer>) -> Vec<Answer> {
    let unserved = answers.into_iter().filter(|a| a.status != StatusCode::OK);
    unserved.collect()
}

/// Guards against requests that are held, or sent to a process that is about to end, when the last
/// backend server of a service is leaving; its successor is used at once.
#[tokio::test(flavor = "multi_thread")]
async fn test_backend_leaving_as_the_last_one_refuses_until_it_is_replaced() {
    let scene = start(1, 1).await;
    let (callers, backend) = (scene.call_addresses()[0], &scene.backends[0]);
    backend.state_leaving();
    ask(callers, 0).await.unwrap();
    let refused = ask(callers, 0).await.unwrap();
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.body, "no_backend_server");
    backend.stop_stating_leaving();
    scene
        .deployment
        .announce_incarnation(backend, 7, 1, "Ready")
        .await;
    scene.until_served().await;
}
