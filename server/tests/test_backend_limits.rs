//! Rate limits that backend servers declare, across entry VMs that run as complete processes.

mod direct_support;

use std::time::Duration;

use direct_support::backend::Backend;
use direct_support::scene::Callers;
use direct_support::scene::OBJECTS;
use direct_support::scene::Scene;
use direct_support::scene::ask;
use direct_support::scene::start;
use heatherring_server::proto::StatusRequest;
use heatherring_server::proto::operator_client::OperatorClient;
use heatherring_testutils::wait::wait_for;
use http::StatusCode;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

/// Window in which the requests to a limited backend server are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests in a window beyond one and a half times what the limit allows in it.
const SLACK: f64 = 5.0;

/// Time after a limit was first declared from which on it binds.
const SETTLING: Duration = Duration::from_secs(4);

/// Checks that the status of every control replica lists the limit of a backend server.
async fn assert_status_lists(scene: &Scene, backend: &str) {
    for replica in &scene.deployment.replicas {
        let url = format!("http://{}", replica.settings.listen);
        let mut client = OperatorClient::connect(url).await.unwrap();
        let reply = client.status(StatusRequest {}).await.unwrap().into_inner();
        let limits = reply.backend_limits;
        assert_eq!(limits.len(), 1);
        assert_eq!(limits[0].backend, backend);
    }
}

/// Returns the largest number of arrivals in any window that begins at `from` or later.
fn most_in_window(arrivals: &[std::time::Instant], from: Instant) -> usize {
    let arrivals: Vec<_> = arrivals
        .iter()
        .filter(|at| **at >= from.into_std())
        .collect();
    let counts = arrivals.iter().map(|begin| {
        let within = arrivals
            .iter()
            .filter(|at| **at >= begin && ***at < **begin + WINDOW);
        within.count()
    });
    counts.max().unwrap_or(0)
}

fn assert_within(backend: &Backend, from: Instant, rate: f64) {
    let most = most_in_window(&backend.arrivals(), from);
    let most = f64::from(u32::try_from(most).unwrap());
    let allowed = 1.5 * WINDOW.as_secs_f64() * rate + SLACK;
    assert!(
        most <= allowed,
        "{most} requests in a window, {allowed} allowed"
    );
}

/// Guards against entry VMs that ignore the limit that a backend server declares in its answers.
#[tokio::test(flavor = "multi_thread")]
async fn test_backend_limit_holds_over_entry_vms() {
    const RATE: f64 = 2.0;
    let scene = start(3, 2).await;
    let limited = &scene.backends[0];
    let answers = scene
        .while_announced(async {
            let callers = Callers::start(&scene.call_addresses());
            limited.declare_limit(Some("2.0"));
            let declared_at = Instant::now();
            sleep(SETTLING + 2 * WINDOW).await;
            assert_within(limited, declared_at + SETTLING, RATE);
            callers.finish().await
        })
        .await;
    let served = answers.iter().filter(|a| a.status == StatusCode::OK);
    assert_eq!(served.count(), answers.len());
    let since = Instant::now().checked_sub(WINDOW).unwrap();
    assert!(most_in_window(&limited.arrivals(), since) > 0);
}

/// Guards against an entry VM that sends at its usual rate until it has heard of the limit itself.
#[tokio::test(flavor = "multi_thread")]
async fn test_backend_limit_reaches_entry_vms_that_sent_nothing() {
    let mut scene = start(2, 2).await;
    scene.backends[0].declare_limit(Some("0"));
    let learnt = scene.call_addresses()[0];
    scene
        .while_announced(async {
            for object in 0..OBJECTS {
                ask(learnt, object).await;
            }
            sleep(Duration::from_secs(2)).await;
        })
        .await;
    assert_status_lists(&scene, "backend-1").await;
    let late = scene.deployment.start_entry("entry-3");
    scene.entries.push(late);
    let late = &scene.entries[2];
    let ready = wait_for("a view", async || late.is_ready().await.then_some(()));
    scene.while_announced(ready).await.unwrap();
    for informed in 1..3 {
        let before = scene.backends[0].arrivals().len();
        let informed = scene.call_addresses()[informed];
        let mut burst = JoinSet::new();
        for object in 0..OBJECTS {
            burst.spawn(async move { ask(informed, object).await });
        }
        let answers = burst.join_all().await;
        assert_eq!(answers.len(), usize::try_from(OBJECTS).unwrap());
        let sent = scene.backends[0].arrivals().len() - before;
        assert!(
            sent <= 1,
            "{sent} requests to a backend server that accepts none"
        );
    }
}

/// Guards against a limit that is exceeded once an entry VM restarts or resumes, or while control
/// cannot be reached.
#[tokio::test(flavor = "multi_thread")]
async fn test_backend_limit_holds_through_restart_pause_and_cut() {
    const RATE: f64 = 3.0;
    const PAUSED: Duration = Duration::from_secs(2);
    let mut scene = start(3, 2).await;
    let mut callers = vec![Callers::start(&scene.call_addresses())];
    scene.backends[0].declare_limit(Some("3"));
    let declared_at = Instant::now();
    scene.while_announced(sleep(SETTLING)).await;
    scene.entries[1].freeze(PAUSED);
    scene.while_announced(sleep(2 * PAUSED)).await;
    scene.entries.pop().unwrap().stop().await;
    let restarted = scene.deployment.start_entry("entry-3");
    scene.entries.push(restarted);
    scene.while_announced(scene.until_served()).await;
    callers.push(Callers::start(&scene.call_addresses()[2..]));
    scene.while_announced(sleep(PAUSED)).await;
    for replica in &scene.deployment.replicas {
        replica.freeze(PAUSED);
    }
    sleep(PAUSED).await;
    scene.while_announced(sleep(PAUSED)).await;
    for callers in callers {
        callers.finish().await;
    }
    assert_within(&scene.backends[0], declared_at + SETTLING, RATE);
}

/// Guards against a limit that is not followed when its backend server raises or ends it.
#[tokio::test(flavor = "multi_thread")]
async fn test_backend_limit_is_raised_and_ended() {
    let scene = start(3, 2).await;
    let limited = &scene.backends[0];
    let rate_above = async |rate: f64| {
        let begun = Instant::now();
        wait_for("requests above the limit", async || {
            let most = most_in_window(&limited.arrivals(), begun);
            (f64::from(u32::try_from(most).unwrap()) > rate * WINDOW.as_secs_f64()).then_some(())
        })
        .await
        .unwrap();
    };
    let run = async {
        let callers = Callers::start(&scene.call_addresses());
        limited.declare_limit(Some("1"));
        sleep(SETTLING).await;
        limited.declare_limit(Some("6"));
        rate_above(2.0).await;
        let raised_at = Instant::now();
        sleep(SETTLING + WINDOW).await;
        assert_within(limited, raised_at, 6.0);
        limited.declare_limit(None);
        rate_above(10.0).await;
        callers.finish().await;
    };
    scene.while_announced(run).await;
}

/// Guards against requests that are held, or get no hint when to return, if all backend servers are
/// at their limits.
#[tokio::test(flavor = "multi_thread")]
async fn test_backend_limit_of_all_refuses_with_a_delay() {
    let scene = start(2, 2).await;
    for backend in &scene.backends {
        backend.declare_limit(Some("0.5"));
    }
    let callers = Callers::start(&scene.call_addresses());
    let answers = scene
        .while_announced(async {
            sleep(WINDOW).await;
            callers.finish().await
        })
        .await;
    let mut refused = answers.iter().filter(|a| a.status != StatusCode::OK);
    assert!(refused.clone().count() > 0);
    assert!(refused.all(|answer| {
        let after = answer.retry_after.as_ref().map(|text| text.parse::<f64>());
        answer.status == StatusCode::SERVICE_UNAVAILABLE
            && answer.body == "backend_limit"
            && matches!(after, Some(Ok(after)) if after > 0.0)
    }));
}
