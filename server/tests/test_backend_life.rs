//! Restarts of backend servers and invalid announcements, with control and an entry VM.

mod direct_support;

use std::time::Duration;

use direct_support::Deployment;
use direct_support::announcement;
use direct_support::backend::Behaviour;
use direct_support::call;
use direct_support::request;
use direct_support::until_served;
use heatherring_testutils::wait::wait_for;
use http::Method;
use http::StatusCode;
use rstest::rstest;

/// Guards against callers that wait until their deadline for answers of a backend server that has
/// restarted: its connections stop responding without a reset, and it announces a new incarnation
/// under its name, but requests in flight to the earlier incarnation are not ended. Expected: the
/// lookup is sent again, and the action ends as unknown, long before the timeout of 5 s of their
/// routes.
#[rstest]
#[case::idempotent("/safe/x", StatusCode::OK, 2)]
#[case::action("/once/x", StatusCode::BAD_GATEWAY, 1)]
#[tokio::test(flavor = "multi_thread")]
async fn test_requests_to_an_earlier_incarnation_end(
    #[case] path: &str,
    #[case] status: StatusCode,
    #[case] runs: u32,
) {
    let mut deployment = Deployment::start(3);
    let entry = deployment.start_entry("entry-1");
    let backend = deployment.start_backend("backend-1").await;
    deployment.submit_routes(1, 0).await;
    deployment
        .announce_incarnation(&backend, 1_000, 9, "Ready")
        .await;
    until_served(&entry).await;
    backend.behave(Behaviour::Hang);
    let before = backend.runs();
    let calling = entry.call(Method::POST, path);
    let restarting = async {
        wait_for("a run", async || (backend.runs() > before).then_some(()))
            .await
            .unwrap();
        backend.behave(Behaviour::Answer);
        deployment
            .announce_incarnation(&backend, 2_000, 1, "Ready")
            .await;
    };
    let (answer, ()) = tokio::join!(calling, restarting);
    assert_eq!(answer.unwrap().status, status);
    assert_eq!(backend.runs() - before, runs);
}

/// Guards against invalid announcements, as from a faulty backend server, taking effect: each is
/// refused for good, and the valid record under the same name stays in use.
#[tokio::test(flavor = "multi_thread")]
async fn test_invalid_announcements_change_nothing() {
    let mut deployment = Deployment::start(3);
    let entry = deployment.start_entry("entry-1");
    let backend = deployment.start_backend("backend-1").await;
    deployment.submit_routes(1, 0).await;
    deployment
        .announce_incarnation(&backend, 1_000, 1, "Ready")
        .await;
    let valid = announcement(&backend, 5, "Ready");
    let faults = [
        ("place", "moon".into(), StatusCode::BAD_REQUEST),
        ("slots", 0.into(), StatusCode::BAD_REQUEST),
        ("slots", "three".into(), StatusCode::BAD_REQUEST),
        ("address", "0.0.0.0:0".into(), StatusCode::BAD_REQUEST),
        ("state", "Tired".into(), StatusCode::BAD_REQUEST),
        ("born", 1.5.into(), StatusCode::BAD_REQUEST),
        ("sequence", (-1).into(), StatusCode::BAD_REQUEST),
        ("service", "x".repeat(1_000).into(), StatusCode::BAD_REQUEST),
        (
            "service",
            "x".repeat(20_000).into(),
            StatusCode::PAYLOAD_TOO_LARGE,
        ),
    ];
    for (field, value, refusal) in faults {
        let mut body = valid.clone();
        body["record"][field] = value;
        // 503 is possible while the leader changes; the final answer must be a refusal.
        let answer = wait_for("a final answer", async || {
            let req = request(Method::POST, "/v1/announcements", body.to_string());
            let answer = call(deployment.replicas[0].api_address(), req).await?;
            (answer.status != StatusCode::SERVICE_UNAVAILABLE).then_some(answer)
        });
        let status = answer.await.unwrap().status;
        assert_eq!(status, refusal, "{field}");
    }
    until_served(&entry).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let answer = entry.call(Method::GET, "/safe/second").await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
}
