//! How requests of routes are served that were added later, changed, or split.

mod direct_support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use direct_support::Deployment;
use direct_support::Entry;
use direct_support::announcement;
use direct_support::backend::Backend;
use direct_support::backend::Behaviour;
use direct_support::call;
use direct_support::request;
use direct_support::route_change;
use heatherring_lib::id::ManifestVersion;
use heatherring_lib::id::RouteName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::route_manifest::Route;
use heatherring_lib::route_manifest::RouteChange;
use heatherring_lib::route_manifest::RouteContent;
use heatherring_lib::route_manifest::RoutePatch;
use heatherring_lib::route_manifest::RouteService;
use heatherring_lib::route_manifest::RouteTarget;
use heatherring_lib::route_manifest::WeightedService;
use heatherring_testutils::wait::wait_for;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use rstest::rstest;
use tokio::task::JoinSet;

/// Requests for each route in a comparison.
const COMPARED: usize = 40;

/// Routes that come and go; more removals than control keeps for entry VMs that are behind.
const PASSING: usize = 1_100;

/// Interval between two announcements of a backend server.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(500);

const TIMEOUT: Duration = Duration::from_millis(700);

/// Time beyond a route's timeout within which its requests have their final answers.
const ANSWER_BOUND: Duration = Duration::from_millis(500);

/// Requests at once whose answers are awaited.
const UNANSWERED: usize = 12;

type Routes = BTreeMap<RouteName, Arc<Route>>;

fn first_routes() -> (Routes, BTreeMap<ServiceName, Arc<RouteService>>) {
    let RouteContent::Whole {
        routes, services, ..
    } = route_change(1, 0).content
    else {
        unreachable!("it is a whole manifest");
    };
    (routes, services)
}

/// Returns a route like the first ones; its prefix is its name.
fn route(name: &str, edit: impl Fn(&mut Route)) -> (RouteName, Arc<Route>) {
    let (routes, _) = first_routes();
    let mut route = Route::clone(&routes[&RouteName::new("safe")]);
    route.prefix = format!("/{name}/");
    edit(&mut route);
    (RouteName::new(name), Arc::new(route))
}

fn patch(base: u64, routes: Routes, removed: &[RouteName]) -> RouteChange {
    RouteChange {
        version: ManifestVersion(base + 1),
        base: ManifestVersion(base),
        content: RouteContent::Patch(RoutePatch {
            routes,
            removed_routes: removed.to_vec(),
            ..RoutePatch::default()
        }),
    }
}

fn added(base: u64, names: &[&str]) -> RouteChange {
    let routes = names.iter().map(|name| route(name, |_| {}));
    patch(base, routes.collect(), &[])
}

/// Waits until a route is served, and then compares it with the first one.
async fn check_served_alike(entry: &Entry, name: &str) {
    let path = format!("/{name}/cube");
    wait_for("the route is served", async || {
        let answer = entry.call(Method::GET, &path).await?;
        (answer.status == StatusCode::OK).then_some(())
    })
    .await
    .unwrap();
    let mut served = [0, 0];
    for _ in 0..COMPARED {
        for (served, path) in served.iter_mut().zip(["/safe/cube", &path]) {
            let answer = entry.call(Method::GET, path).await;
            *served += usize::from(answer.is_some_and(|answer| answer.status == StatusCode::OK));
        }
    }
    let [first, later] = served;
    assert!(first >= COMPARED / 2, "{name}: {served:?}");
    assert!(4 * later >= first, "{name}: {served:?}");
}

async fn status(entry: &Entry, name: &str) -> Option<StatusCode> {
    let answer = entry.call(Method::GET, &format!("/{name}/cube")).await;
    answer.map(|answer| answer.status)
}

/// Guards against routes that are served less than the first ones since they were added later: at an
/// entry VM that starts after the addition, or that missed many versions and takes the whole state.
#[tokio::test(flavor = "multi_thread")]
async fn test_route_service_of_routes_added_later() {
    let mut deployment = Deployment::start(3);
    let (entry, backend) = deployment.start_served().await;
    deployment.submit(&added(1, &["early", "again"])).await;
    let late = deployment.start_entry("entry-2");
    let passing: Routes = (0..PASSING)
        .map(|number| route(&format!("passing-{number}"), |_| {}))
        .collect();
    let removed: Vec<RouteName> = passing.keys().cloned().collect();
    let checks = async {
        for entry in [&entry, &late] {
            check_served_alike(entry, "early").await;
            check_served_alike(entry, "again").await;
        }
        // What a suspended entry VM has asked for is answered with the first change, so that the next
        // two come together.
        let frozen = late.freeze_until_released().await;
        deployment.submit(&added(2, &["marker"])).await;
        let gone = [RouteName::new("again")];
        deployment.submit(&patch(3, Routes::new(), &gone)).await;
        wait_for("a removed route", async || {
            let status = status(&entry, "again").await?;
            (status == StatusCode::NOT_FOUND).then_some(())
        })
        .await
        .unwrap();
        deployment.submit(&added(4, &["again"])).await;
        drop(frozen);
        for entry in [&entry, &late] {
            check_served_alike(entry, "again").await;
        }
        let frozen = late.freeze_until_released().await;
        deployment.submit(&patch(5, passing, &[])).await;
        deployment.submit(&patch(6, Routes::new(), &removed)).await;
        deployment.submit(&added(7, &["last"])).await;
        drop(frozen);
        for entry in [&entry, &late] {
            for name in ["last", "early", "again"] {
                check_served_alike(entry, name).await;
            }
            assert_eq!(
                status(entry, "passing-7").await,
                Some(StatusCode::NOT_FOUND)
            );
        }
    };
    deployment.while_announced(&[&backend], 2, checks).await;
    entry.stop().await;
    late.stop().await;
}

/// Returns how long a request that nobody answers is held; its caller would wait much longer.
async fn held(callers: SocketAddr, path: String, body: Bytes) -> Option<Duration> {
    let mut req = request(Method::POST, &path, body);
    let headers = req.headers_mut();
    let id = path.replace('/', "-");
    headers.insert("heatherring-request-id", id.parse().unwrap());
    headers.insert("heatherring-deadline-ms", HeaderValue::from_static("8000"));
    let begun = Instant::now();
    let answer = call(callers, req).await?;
    assert_ne!(answer.status, StatusCode::OK);
    Some(begun.elapsed())
}

/// Guards against requests without a final answer half a second after the timeout of their route,
/// also where the timeout was changed or the request is large.
#[rstest]
#[case::silent_backend(Behaviour::Hang, 10)]
#[case::large_request(Behaviour::Hang, 100_000)]
#[tokio::test(flavor = "multi_thread")]
async fn test_route_service_ends_at_the_timeout(
    #[case] behaviour: Behaviour,
    #[case] body_bytes: usize,
    #[values("safe", "once")] name: &str,
) {
    let mut deployment = Deployment::start(3);
    let (entry, backend) = deployment.start_served().await;
    let shorter = route(name, |route| {
        route.timeout = TIMEOUT;
        route.idempotent = name == "safe";
    });
    deployment.submit(&patch(1, [shorter].into(), &[])).await;
    deployment.submit(&added(2, &["marker"])).await;
    let asking = async {
        check_served_alike(&entry, "marker").await;
        backend.behave(behaviour);
        let mut calls = JoinSet::new();
        for number in 0..UNANSWERED {
            let path = format!("/{name}/{number}");
            let callers = entry.settings.listen.callers;
            calls.spawn(held(callers, path, Bytes::from(vec![b'x'; body_bytes])));
        }
        calls.join_all().await
    };
    let held = deployment.while_announced(&[&backend], 2, asking).await;
    let longer_than = |bound: Duration| {
        let held = held.iter();
        held.filter(|held| held.is_none_or(|held| held > bound))
            .count()
    };
    let late = longer_than(TIMEOUT + ANSWER_BOUND);
    assert!(4 * late <= longer_than(TIMEOUT), "{held:?}");
    entry.stop().await;
}

fn split(weights: [f64; 2]) -> RouteTarget {
    let parts = ["registry", "other"].into_iter().zip(weights);
    let parts = parts.map(|(service, weight)| WeightedService {
        service: ServiceName::new(service),
        weight,
    });
    RouteTarget::Split(parts.collect())
}

/// Sends requests at once, and returns the share that the backend server got.
async fn share_of(backend: &Backend, entry: &Entry, requests: u32) -> f64 {
    let before = backend.requests().len();
    for first in (0..requests).step_by(4) {
        let calls = (first..first + 4).map(|number| {
            let path = format!("/split/{number}");
            async move { entry.call(Method::GET, &path).await }
        });
        futures_util::future::join_all(calls).await;
    }
    let got = u32::try_from(backend.requests().len() - before).unwrap();
    f64::from(got) / f64::from(requests)
}

/// Guards against a split whose parts get other shares than their weights, while one of them is slow
/// or refuses, and after a change of the weights.
#[rstest]
#[case::both_serve(Behaviour::Answer, Duration::ZERO)]
#[case::one_is_slow(Behaviour::Answer, Duration::from_millis(300))]
#[case::one_refuses(Behaviour::Shed, Duration::ZERO)]
#[tokio::test(flavor = "multi_thread")]
async fn test_route_service_keeps_the_shares_of_a_split(
    #[case] behaviour: Behaviour,
    #[case] delay: Duration,
) {
    const REQUESTS: u32 = 100;
    let mut deployment = Deployment::start(3);
    let (entry, backend) = deployment.start_served().await;
    let other = deployment.start_backend("backend-2").await;
    let (_, services) = first_routes();
    let service = Arc::clone(&services[&ServiceName::new("registry")]);
    let mut change = patch(1, Routes::new(), &[]);
    let RouteContent::Patch(items) = &mut change.content else {
        unreachable!("it is a patch");
    };
    items.services = [(ServiceName::new("other"), service)].into();
    items.routes = [route("split", |route| route.target = split([70.0, 30.0]))].into();
    deployment.submit(&change).await;
    let mut record = announcement(&other, 1, "Ready");
    record["record"]["service"] = "other".into();
    deployment
        .call_control(Method::POST, "/v1/announcements", &record.to_string())
        .await;
    let asking = async {
        check_served_alike(&entry, "split").await;
        wait_for("requests at the other part", async || {
            let _ = entry.call(Method::GET, "/split/cube").await;
            (!other.requests().is_empty()).then_some(())
        })
        .await
        .unwrap();
        other.behave(behaviour);
        other.behave_late(delay);
        let before = share_of(&backend, &entry, REQUESTS).await;
        let changed = route("split", |route| route.target = split([0.2, 0.8]));
        deployment.submit(&patch(2, [changed].into(), &[])).await;
        deployment.submit(&added(3, &["marker"])).await;
        check_served_alike(&entry, "marker").await;
        (before, share_of(&backend, &entry, REQUESTS).await)
    };
    let announcing = async {
        for sequence in 2_u64.. {
            record["record"]["sequence"] = sequence.into();
            let body = record.to_string();
            let path = "/v1/announcements";
            deployment.call_control(Method::POST, path, &body).await;
            tokio::time::sleep(ANNOUNCEMENT_INTERVAL).await;
        }
    };
    let asking = async {
        tokio::select! {
            shares = asking => shares,
            () = announcing => unreachable!("announcements do not end"),
        }
    };
    let (before, after) = deployment.while_announced(&[&backend], 2, asking).await;
    assert!((before - 0.7).abs() <= 0.2, "{before}");
    assert!((after - 0.2).abs() <= 0.2, "{after}");
    entry.stop().await;
}
