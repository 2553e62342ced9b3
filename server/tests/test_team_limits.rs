//! Limits of teams across entry VMs and control replicas, run as complete processes.

mod direct_support;

use std::net::SocketAddr;
use std::time::Duration;

use direct_support::Answer;
use direct_support::Deployment;
use direct_support::Entry;
use direct_support::backend::Backend;
use direct_support::call;
use direct_support::request;
use direct_support::route_change;
use heatherring_lib::id::ManifestVersion;
use heatherring_lib::route_manifest::RouteChange;
use heatherring_lib::route_manifest::RouteContent;
use heatherring_lib::route_manifest::RoutePatch;
use heatherring_testutils::wait::wait_for;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Requests that may run above the limit in a window of 5 s, with the settings of the tests.
const SLACK: f64 = 20.0;

/// Fraction of the limit that may run in addition.
const OVER: f64 = 0.1;

fn teams(rate: f64, burst: f64) -> Value {
    json!({
        "teams": {
            "limited": {"keys": ["key-limited"], "rate": rate, "burst": burst},
            "free": {"keys": ["key-free"]},
        },
    })
}

async fn start(rate: f64, burst: f64) -> (Deployment, [Entry; 2], Backend) {
    let mut deployment = Deployment::start(3);
    let entries = [
        deployment.start_entry("entry-1"),
        deployment.start_entry("entry-2"),
    ];
    let backend = deployment.start_backend("backend-1").await;
    let change = route_change(1, 0);
    deployment.submit_teams(&change, teams(rate, burst)).await;
    deployment.announce(&backend, 1, "Ready").await;
    for entry in &entries {
        wait_for("an answer", async || {
            let callers = entry.settings.listen.callers;
            let answer = ask(callers, "key-free", 0).await?;
            (answer.status == StatusCode::OK).then_some(())
        })
        .await
        .unwrap();
    }
    (deployment, entries, backend)
}

async fn ask(callers: SocketAddr, key: &str, number: u32) -> Option<Answer> {
    let mut req = request(Method::GET, &format!("/safe/{number}"), "");
    let headers = req.headers_mut();
    headers.insert("heatherring-request-id", HeaderValue::from(number));
    let value = format!("Bearer {key}");
    headers.insert("authorization", value.parse().unwrap());
    call(callers, req).await
}

/// Guards against a team that runs a multiple of its limit because each entry VM grants the limit
/// by itself. The callers use all entry VMs at once, and retry as soon as they are refused.
#[tokio::test(flavor = "multi_thread")]
async fn test_team_limit_holds_over_entry_vms() {
    const RATE: f64 = 10.0;
    const LENGTH: Duration = Duration::from_secs(4);
    let (deployment, entries, backend) = start(RATE, RATE).await;
    let begun = Instant::now();
    let mut callers = JoinSet::new();
    for number in 0..8 {
        let address = entries[number % 2].settings.listen.callers;
        callers.spawn(async move {
            let (mut run, mut refused) = (0, 0);
            while begun.elapsed() < LENGTH {
                let answer = ask(address, "key-limited", 1).await.unwrap();
                if answer.status == StatusCode::OK {
                    run += 1;
                } else {
                    let status = answer.status;
                    assert_eq!(status, StatusCode::TOO_MANY_REQUESTS, "{answer:?}");
                    let after: f64 = answer.retry_after.unwrap().parse().unwrap();
                    assert!(after > 0.0);
                    refused += 1;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            (run, refused)
        });
    }
    let mut sequence = 1;
    while begun.elapsed() < LENGTH {
        sequence += 1;
        deployment.announce(&backend, sequence, "Ready").await;
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let ended = callers.join_all().await;
    let passed = begun.elapsed().as_secs_f64();
    let run: u32 = ended.iter().map(|(run, _)| run).sum();
    let refused: u32 = ended.iter().map(|(_, refused)| refused).sum();
    // The test takes less than one window, or several on a slow machine.
    let windows = (passed / 5.0).ceil();
    let most = ((RATE * 5.0 + RATE) * (1.0 + OVER) + SLACK) * windows;
    assert!(
        f64::from(run) <= most,
        "{run} requests were run in {passed} s, {most} are allowed"
    );
    assert!(run > 0);
    assert!(refused > 0);
    let callers = entries[0].settings.listen.callers;
    let other = ask(callers, "key-free", 2).await.unwrap();
    assert_eq!(other.status, StatusCode::OK);
    drop(deployment);
}

/// Guards against a limit that is still enforced after it was lifted or removed.
#[tokio::test(flavor = "multi_thread")]
async fn test_team_limit_is_lifted() {
    let (deployment, entries, _backend) = start(0.01, 0.0).await;
    let callers = entries[0].settings.listen.callers;
    wait_for("a refusal", async || {
        let answer = ask(callers, "key-limited", 1).await?;
        (answer.status == StatusCode::TOO_MANY_REQUESTS).then_some(())
    })
    .await
    .unwrap();
    let change = RouteChange {
        version: ManifestVersion(2),
        base: ManifestVersion(1),
        content: RouteContent::Patch(RoutePatch::default()),
    };
    let lifted = json!({"teams": {"limited": {"keys": ["key-limited"], "rate": 0}}});
    deployment.submit_teams(&change, lifted).await;
    wait_for("requests without a limit", async || {
        for number in 0..40 {
            let answer = ask(callers, "key-limited", number).await?;
            if answer.status != StatusCode::OK {
                return None;
            }
        }
        Some(())
    })
    .await
    .unwrap();
}

/// Guards against refusals of a team without a limit while no control replica is reachable, and
/// against unlimited requests of a team with a limit meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn test_team_limit_without_control() {
    const RATE: f64 = 10.0;
    let (mut deployment, entries, _backend) = start(RATE, RATE).await;
    for replica in std::mem::take(&mut deployment.replicas) {
        replica.stop().await;
    }
    let callers = entries[0].settings.listen.callers;
    let mut run = 0;
    for number in 0..60 {
        let answer = ask(callers, "key-limited", number).await.unwrap();
        if answer.status == StatusCode::OK {
            run += 1;
        } else {
            assert!(matches!(answer.status.as_u16(), 429 | 503), "{answer:?}");
            assert!(answer.retry_after.is_some());
        }
        let free = ask(callers, "key-free", number).await.unwrap();
        assert_eq!(free.status, StatusCode::OK);
        if run == 0 && number == 10 {
            break;
        }
    }
    let most = (RATE * 5.0 + RATE) * (1.0 + OVER) + SLACK;
    assert!(
        f64::from(run) <= most,
        "{run} requests were run without control, {most} are allowed"
    );
}
