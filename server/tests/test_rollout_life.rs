//! Rollouts with control replicas, an entry VM and backend servers of two versions.

mod direct_support;

use std::time::Duration;
use std::time::Instant;

use direct_support::Answer;
use direct_support::Deployment;
use direct_support::Entry;
use direct_support::announcement;
use direct_support::backend::Backend;
use direct_support::backend::Behaviour;
use direct_support::call;
use direct_support::request;
use direct_support::until_served;
use futures_util::future::join_all;
use heatherring_testutils::wait::wait_for;
use http::Method;
use http::StatusCode;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

const DURATION: Duration = Duration::from_secs(8);
/// Requests at once; the backend servers of either version have nine slots.
const CALLERS: usize = 5;

/// Requests of each caller between two looks at the rollout.
const CALLS: usize = 6;
const HEARTBEAT: Duration = Duration::from_millis(500);

/// Backend servers of the former version and of the one that a rollout moves to.
struct Scene {
    deployment: Deployment,
    entry: Entry,
    former: Vec<Backend>,
    target: Vec<Backend>,
    sequence: u64,
}

impl Scene {
    /// Starts everything but the backend servers of the target version, which behave in these ways.
    async fn start(target: &[Behaviour]) -> Self {
        let mut deployment = Deployment::start(3);
        let entry = deployment.start_entry("entry-1");
        deployment.submit_routes(1, 0).await;
        let mut scene = Self {
            deployment,
            entry,
            former: Vec::new(),
            target: Vec::new(),
            sequence: 0,
        };
        for number in 0..target.len() {
            let name = format!("former-{number}");
            let backend = scene.deployment.start_backend(&name).await;
            scene.former.push(backend);
        }
        scene.announce().await;
        until_served(&scene.entry).await;
        for (number, behaviour) in target.iter().enumerate() {
            let name = format!("target-{number}");
            let backend = scene.deployment.start_backend(&name).await;
            backend.behave(*behaviour);
            scene.target.push(backend);
        }
        scene
    }

    /// Sends a heartbeat of each backend server.
    async fn announce(&mut self) {
        self.sequence += 1;
        let former = self.former.iter().map(|backend| (backend, "v1"));
        let target = self.target.iter().map(|backend| (backend, "v2"));
        for (backend, version) in former.chain(target) {
            let mut body = announcement(backend, self.sequence, "Ready");
            body["version"] = version.into();
            let body = body.to_string();
            let announced = self
                .deployment
                .call_control(Method::POST, "/v1/announcements", &body);
            announced.await;
        }
    }

    /// Sends an order until it gets an answer other than 503, which is possible without a leader.
    async fn order(&self, service: &str, target: &str) -> StatusCode {
        let order =
            json!({"service": service, "target": target, "duration_ms": DURATION.as_millis()});
        wait_for("an answer to an order", async || {
            let replica = &self.deployment.replicas[0];
            let req = request(Method::POST, "/v1/rollouts", order.to_string());
            let status = call(replica.api_address(), req).await?.status;
            (status != StatusCode::SERVICE_UNAVAILABLE).then_some(status)
        })
        .await
        .unwrap()
    }

    async fn rollout(&self) -> Value {
        let path = "/v1/rollouts/registry";
        let answer = self.deployment.call_control(Method::GET, path, "").await;
        serde_json::from_slice(&answer.body).unwrap()
    }

    /// Sends requests until `until` or until the rollout is over; returns the rollout. No request may
    /// fail.
    async fn serve_until(&mut self, until: Instant) -> Value {
        let mut announced_at = Instant::now();
        for round in 0_u32.. {
            let failed = self.call_all(round).await;
            assert!(failed.is_empty(), "round {round}: {failed:?}");
            if announced_at.elapsed() >= HEARTBEAT {
                announced_at = Instant::now();
                self.announce().await;
            }
            let rollout = self.rollout().await;
            if is_over(&rollout) || Instant::now() >= until {
                return rollout;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        unreachable!("the rounds do not end")
    }

    /// Sends the requests of one round; returns the answers to those that failed.
    async fn call_all(&self, round: u32) -> Vec<Option<Answer>> {
        let callers = (0..CALLERS).map(async |caller| {
            let mut failed = Vec::new();
            for number in 0..CALLS {
                let path = format!("/safe/{round}-{caller}-{number}");
                let answer = self.entry.call(Method::GET, &path).await;
                let status = answer.as_ref().map(|answer| answer.status);
                if status != Some(StatusCode::OK) {
                    failed.push(answer);
                }
            }
            failed
        });
        let failed = join_all(callers).await;
        failed.into_iter().flatten().collect()
    }
}

fn is_over(rollout: &Value) -> bool {
    rollout["phase"] == "Completed" || rollout["phase"]["RolledBack"].is_object()
}

fn runs(backends: &[Backend]) -> u32 {
    backends.iter().map(Backend::runs).sum()
}

/// Guards against a version that is completed although it fails, also beside a backend server of it
/// that refuses requests, or that gets more requests than a tenth before it is rolled back; and
/// against requests at either version after the end.
#[rstest]
#[case::good([Behaviour::Answer; 3], true)]
#[case::bad_and_one_refuses([Behaviour::Shed, Behaviour::Break, Behaviour::Break], false)]
#[tokio::test(flavor = "multi_thread")]
async fn test_rollout_ends_by_how_the_version_answers(
    #[case] behaviours: [Behaviour; 3],
    #[case] completed: bool,
) {
    check_end(behaviours, completed).await;
}

/// Guards against a good version that is taken for bad because one of its backend servers refuses
/// requests, and against callers that are refused because of it.
#[tokio::test(flavor = "multi_thread")]
async fn test_rollout_completes_beside_a_refusing_backend_server() {
    check_end(
        [Behaviour::Shed, Behaviour::Answer, Behaviour::Answer],
        true,
    )
    .await;
}

/// Plays a rollout whose target version behaves in these ways, and checks how it ends.
async fn check_end(behaviours: [Behaviour; 3], completed: bool) {
    let mut scene = Scene::start(&behaviours).await;
    assert_eq!(scene.order("registry", "v2").await, StatusCode::OK);
    scene.announce().await;
    let before = runs(&scene.former);
    let ended = scene.serve_until(Instant::now() + DURATION * 4).await;
    assert_eq!(ended["phase"] == "Completed", completed, "{ended}");
    let (former, target) = (runs(&scene.former) - before, runs(&scene.target));
    if !completed {
        let allowed = (former + target) / 10 + 50;
        assert!(target <= allowed, "{target} beside {former}");
    }
    let (unused, used) = if completed {
        (&scene.former, &scene.target)
    } else {
        (&scene.target, &scene.former)
    };
    // The end reaches the entry VM a little later.
    wait_for("the end at the entry VM", async || {
        let (unused_before, used_before) = (runs(unused), runs(used));
        scene.call_all(u32::MAX).await;
        (runs(unused) == unused_before && runs(used) > used_before).then_some(())
    })
    .await
    .unwrap();
}

/// Guards against a rollout that is lost, begins anew or is ordered twice when the answer to its
/// order is lost and all replicas stop in the middle of it, and against a second one beside it.
#[tokio::test(flavor = "multi_thread")]
async fn test_rollout_outlasts_all_replicas() {
    let mut scene = Scene::start(&[Behaviour::Answer; 3]).await;
    assert_eq!(scene.order("registry", "v2").await, StatusCode::OK);
    assert_eq!(scene.order("registry", "v2").await, StatusCode::OK);
    assert_eq!(scene.order("registry", "v3").await, StatusCode::CONFLICT);
    let unknown = scene.order("nobody", "v2").await;
    assert_eq!(unknown, StatusCode::UNPROCESSABLE_ENTITY);
    scene.announce().await;
    let running = scene.serve_until(Instant::now() + DURATION / 4).await;
    assert!(!is_over(&running), "{running}");

    scene.deployment.restart_controls().await;
    let ended = scene.serve_until(Instant::now() + DURATION * 4).await;
    assert_eq!(ended["id"], running["id"]);
    assert_eq!(ended["phase"], "Completed");
    assert_eq!(scene.order("registry", "v2").await, StatusCode::OK);
    assert_eq!(scene.rollout().await, ended);
}
