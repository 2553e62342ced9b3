//! Orders and reads at a control replica that knows of no leader.

mod control_support;
mod direct_support;

use direct_support::Deployment;
use direct_support::PLACE;
use direct_support::Replica;
use direct_support::call;
use direct_support::request;
use direct_support::route_change;
use heatherring_testutils::wait::wait_for;
use http::Method;
use http::StatusCode;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

/// A call to control.
struct Call {
    method: Method,
    path: String,
    body: String,
}

fn call_of(method: Method, path: impl Into<String>, body: impl Into<String>) -> Call {
    Call {
        method,
        path: path.into(),
        body: body.into(),
    }
}

fn evacuation() -> Call {
    call_of(Method::PUT, format!("/v1/evacuations/{PLACE}"), "")
}

fn routes() -> Call {
    let change = serde_json::to_string(&route_change(1, 0)).unwrap();
    call_of(Method::POST, "/v1/routes", change)
}

fn rollout() -> Call {
    let order = json!({ "service": "registry", "target": "2", "duration_ms": 1_000 });
    call_of(Method::POST, "/v1/rollouts", order.to_string())
}

fn withdrawal() -> Call {
    call_of(Method::DELETE, "/v1/backends/backend-1?born=1", "")
}

fn read_routes() -> Call {
    call_of(Method::GET, "/v1/routes", "")
}

fn read_rollout() -> Call {
    call_of(Method::GET, "/v1/rollouts/registry", "")
}

async fn until_no_leader(replica: &Replica) {
    wait_for("the loss of the leader", async || {
        let status = control_support::status(replica.settings.listen).await?;
        (status.leader == 0).then_some(())
    })
    .await
    .unwrap();
}

/// Guards against an order without a leader whose caller can't tell whether it was run and when to
/// come back, and against one that is run after that answer.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn test_call_without_leader_is_not_run(
    #[values(evacuation, routes, rollout, withdrawal, read_routes, read_rollout)] order: fn()
        -> Call,
) {
    let deployment = Deployment::start(3);
    deployment.call_control(Method::GET, "/v1/routes", "").await;
    control_support::until_voters(deployment.replicas[0].settings.listen, 3).await;
    let [left, others @ ..] = deployment.replicas.as_slice() else {
        unreachable!("three replicas were started");
    };
    let mut frozen = Vec::new();
    for other in others {
        frozen.push(other.freeze_until_released().await);
    }
    until_no_leader(left).await;
    let Call { method, path, body } = order();
    let answer = call(left.api_address(), request(method, &path, body)).await;
    let answer = answer.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.retry_after.as_deref(), Some("1"), "{answer:?}");
    drop(frozen);
    let read = deployment.call_control(Method::GET, "/v1/routes", "").await;
    let read: Value = serde_json::from_slice(&read.body).unwrap();
    assert_eq!(read["version"], 0, "{read}");
}
