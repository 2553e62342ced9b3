//! Lives of backend servers and odd announcements, over control and an entry VM.

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

/// Symptom: callers wait until their deadline for answers of a backend server that was started
/// again. Sequence: its connections fall silent, with no reset, and it starts again under its
/// name, which control learns. Cause: nobody told the requests under way that whoever has them
/// is gone. Here the lookup is sent again, and the action ends as unknown, long before the
/// timeout of 5 s of their routes.
#[rstest]
#[case::idempotent("/safe/x", StatusCode::OK, 2)]
#[case::action("/once/x", StatusCode::BAD_GATEWAY, 1)]
#[tokio::test(flavor = "multi_thread")]
async fn test_requests_of_an_earlier_life_end(
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
    let asking = entry.call(Method::POST, path);
    let bearing = async {
        wait_for("a run", async || (backend.runs() > before).then_some(()))
            .await
            .unwrap();
        backend.behave(Behaviour::Answer);
        deployment
            .announce_incarnation(&backend, 2_000, 1, "Ready")
            .await;
    };
    let (answer, ()) = tokio::join!(asking, bearing);
    assert_eq!(answer.unwrap().status, status);
    assert_eq!(backend.runs() - before, runs);
}

/// Entries of another writer name no backend server to use, are refused with a reason, and
/// leave the good one of the same name alone.
#[tokio::test(flavor = "multi_thread")]
async fn test_odd_announcements_change_nothing() {
    let mut deployment = Deployment::start(3);
    let entry = deployment.start_entry("entry-1");
    let backend = deployment.start_backend("backend-1").await;
    deployment.submit_routes(1, 0).await;
    deployment
        .announce_incarnation(&backend, 1_000, 1, "Ready")
        .await;
    let good = announcement(&backend, 5, "Ready");
    let odd = [
        ("place", "moon".into()),
        ("slots", 0.into()),
        ("slots", "three".into()),
        ("address", "0.0.0.0:0".into()),
        ("state", "Tired".into()),
        ("born", 1.5.into()),
        ("sequence", (-1).into()),
        ("service", "x".repeat(20_000).into()),
    ];
    for (field, value) in odd {
        let mut body = good.clone();
        body["record"][field] = value;
        // Control's leader may change; whoever answers must refuse for good.
        let answer = wait_for("a verdict", async || {
            let req = request(Method::POST, "/v1/announcements", body.to_string());
            let answer = call(deployment.replicas[0].api_address(), req).await?;
            (answer.status != StatusCode::SERVICE_UNAVAILABLE).then_some(answer)
        });
        let status = answer.await.unwrap().status;
        assert_eq!(status, StatusCode::BAD_REQUEST, "{field}");
    }
    until_served(&entry).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let answer = entry.call(Method::GET, "/safe/second").await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
}
