//! Large and small answers over the narrow link of an entry VM, through relays that carry 8.3
//! Mbit/s in each direction.

mod direct_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use direct_support::Answer;
use direct_support::Deployment;
use direct_support::Entry;
use direct_support::call;
use direct_support::request;
use direct_support::route_change;
use direct_support::sized_backend::SizedBackend;
use direct_support::stops::get;
use direct_support::stops::read_all;
use direct_support::stops::read_until;
use heatherring_lib::direct_settings::LinkSettings;
use heatherring_lib::id::RouteName;
use heatherring_lib::route_manifest::Route;
use heatherring_lib::route_manifest::RouteContent;
use heatherring_testutils::loopback::CALLERS_PORT;
use heatherring_testutils::loopback::SERVICE_PORT;
use heatherring_testutils::relay::BehindLink;
use heatherring_testutils::relay::Link;
use heatherring_testutils::relay::Relay;
use heatherring_testutils::relay::VmLink;
use heatherring_testutils::wait::wait_for;
use http::Method;
use http::StatusCode;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

const MBPS: f64 = 8.3;
const BYTES_PER_SECOND: f64 = MBPS * 125_000.0;
const LARGE: usize = 450_000;
const SMALL: usize = 1_500;

/// Interval between two announcements of the backend server.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// Time that a planned stop may take.
const GRACE: Duration = Duration::from_secs(8);

/// An entry VM behind a narrow link, a backend server and its callers.
struct Scene {
    entry: Entry,
    backend: SizedBackend,
    callers: SocketAddr,
    deployment: Deployment,
    /// Between the entry VM and the backend server.
    towards_backend: Relay,
    _towards_entry: Relay,
}

impl Scene {
    /// Starts an entry VM that knows its link's rate only if it `is_scheduled`. Requests on
    /// `/bulk/` time out after `bulk_timeout`.
    async fn start(is_scheduled: bool, bulk_timeout: Duration) -> Self {
        let mut deployment = Deployment::start(3);
        let link = is_scheduled.then_some(LinkSettings { mbps: MBPS });
        let entry = deployment.start_entry_with("entry-1", GRACE, link);
        let address = SocketAddr::new(deployment.block.next_vm(), SERVICE_PORT);
        let backend = SizedBackend::start("backend-1", address).await;
        let vm_link = VmLink::new(BYTES_PER_SECOND);
        let towards_backend = Relay::start_over(
            SocketAddr::new(deployment.block.next_vm(), SERVICE_PORT),
            address,
            Link::default(),
            BehindLink::Source(Arc::clone(&vm_link)),
        );
        let towards_backend = towards_backend.await.unwrap();
        let towards_entry = Relay::start_over(
            SocketAddr::new(deployment.block.next_vm(), CALLERS_PORT),
            entry.settings.listen.callers,
            Link::default(),
            BehindLink::Target(vm_link),
        );
        let towards_entry = towards_entry.await.unwrap();
        submit_routes(&deployment, bulk_timeout).await;
        let scene = Self {
            entry,
            backend,
            callers: towards_entry.address(),
            deployment,
            towards_backend,
            _towards_entry: towards_entry,
        };
        scene.announce(1).await;
        scene.until_served().await;
        scene
    }

    async fn announce(&self, sequence: u64) {
        let address = self.towards_backend.address();
        let name = &self.backend.name;
        self.deployment
            .announce_address(name, address, sequence)
            .await;
    }

    /// Keeps announcing the backend server while `running` runs.
    async fn while_announced<T>(&self, running: impl Future<Output = T>) -> T {
        let announcing = async {
            for sequence in 2.. {
                self.announce(sequence).await;
                tokio::time::sleep(HEARTBEAT).await;
            }
        };
        tokio::select! {
            result = running => result,
            () = announcing => unreachable!("the announcement loop does not end"),
        }
    }

    async fn until_served(&self) {
        wait_for("an answer", async || {
            let answer = get_whole(self.callers, "/safe/1").await?;
            (answer.status == StatusCode::OK).then_some(())
        })
        .await
        .unwrap();
    }

    /// Requests an answer, and reads until the first bytes of its body are there.
    async fn begin_reading(&self, path: &str) -> (TcpStream, String) {
        let mut stream = TcpStream::connect(self.callers).await.unwrap();
        stream.write_all(get(path).as_bytes()).await.unwrap();
        let begin = read_until(&mut stream, "\r\n\r\nx").await;
        (stream, begin)
    }

    fn under_way(&self) -> usize {
        self.backend.under_way.load(Ordering::SeqCst)
    }
}

async fn submit_routes(deployment: &Deployment, bulk_timeout: Duration) {
    let mut change = route_change(1, 0);
    if let RouteContent::Whole { routes, .. } = &mut change.content {
        let safe = Route::clone(&routes[&RouteName::new("safe")]);
        let bulk = Route {
            prefix: "/bulk/".to_owned(),
            timeout: bulk_timeout,
            ..safe
        };
        routes.insert(RouteName::new("bulk"), Arc::new(bulk));
    }
    let mut body = serde_json::to_value(&change).unwrap();
    body["bulk_routes"] = serde_json::json!(["bulk"]);
    let body = body.to_string();
    deployment
        .call_control(Method::POST, "/v1/routes", &body)
        .await;
}

/// Returns the answer to a lookup, or `None` unless it is complete.
async fn get_whole(callers: SocketAddr, path: &str) -> Option<Answer> {
    let mut req = request(Method::GET, path, "");
    let id = format!("id-{path}").replace('/', "-");
    let headers = req.headers_mut();
    headers.insert("heatherring-request-id", id.parse().unwrap());
    call(callers, req).await
}

async fn get_large(callers: SocketAddr, bytes: usize) {
    let answer = get_whole(callers, &format!("/bulk/{bytes}")).await;
    let answer = answer.expect("the answer broke off");
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_eq!(answer.body.len(), bytes);
}

/// Returns how many small answers arrive, one after the other, while three large ones do.
async fn small_beside_large(is_scheduled: bool) -> usize {
    let scene = Scene::start(is_scheduled, Duration::from_secs(5)).await;
    let mut large = JoinSet::new();
    for _ in 0..3 {
        large.spawn(get_large(scene.callers, LARGE));
    }
    let mut served = 0;
    let path = format!("/safe/{SMALL}");
    let counting = async {
        while !large.is_empty() {
            let answer = get_whole(scene.callers, &path).await;
            assert_eq!(answer.unwrap().status, StatusCode::OK);
            served += 1;
            while let Some(ended) = large.try_join_next() {
                ended.unwrap();
            }
        }
    };
    scene.while_announced(counting).await;
    served
}

/// Guards against small answers that wait behind large ones.
#[tokio::test(flavor = "multi_thread")]
async fn test_link_serves_small_answers_beside_large_ones() {
    let before = small_beside_large(false).await;
    let after = small_beside_large(true).await;
    assert!(after > 2 * before, "{after} instead of {before}");
}

/// Guards against a part of the link that is held for a caller that left.
#[tokio::test(flavor = "multi_thread")]
async fn test_link_is_free_after_a_caller_left_midway() {
    let scene = Scene::start(true, Duration::from_secs(20)).await;
    let (stream, _) = scene.begin_reading("/bulk/80000000").await;
    assert_eq!(scene.under_way(), 1);
    drop(stream);
    wait_for("the answer to be dropped", async || {
        (scene.under_way() == 0).then_some(())
    })
    .await
    .unwrap();
    let served = get_large(scene.callers, LARGE);
    scene.while_announced(served).await;
}

/// Guards against a caller that reads nothing, but fills memory and keeps others off the link.
#[tokio::test(flavor = "multi_thread")]
async fn test_link_is_free_beside_a_caller_that_reads_slowly() {
    let scene = Scene::start(true, Duration::from_secs(20)).await;
    let (stream, _) = scene.begin_reading("/bulk/80000000").await;
    let served = wait_for("others to be served", async || {
        let answer = get_whole(scene.callers, &format!("/bulk/{LARGE}")).await?;
        (answer.status == StatusCode::OK).then_some(())
    });
    scene.while_announced(served).await.unwrap();
    assert_eq!(scene.under_way(), 1);
    assert!(scene.backend.sent.load(Ordering::SeqCst) < 20_000_000);
    drop(stream);
}

/// Guards against an answer that looks complete although its backend server broke off.
#[rstest]
#[case::large("/bulk/450000/break")]
#[case::of_a_bulk_route_but_short("/bulk/40000/break")]
#[tokio::test(flavor = "multi_thread")]
async fn test_link_breaks_an_answer_that_broke_off(#[case] path: &str) {
    let scene = Scene::start(true, Duration::from_secs(5)).await;
    let answer = get_whole(scene.callers, path).await;
    assert!(
        answer.is_none_or(|answer| answer.status == StatusCode::BAD_GATEWAY),
        "an answer that broke off looks complete"
    );
    get_large(scene.callers, LARGE).await;
}

/// Guards against an answer that a planned stop cuts off while it waits for the link.
#[tokio::test(flavor = "multi_thread")]
async fn test_link_ends_streams_whole_in_a_planned_stop() {
    let scene = Scene::start(true, Duration::from_secs(5)).await;
    let reading = async {
        let mut streams = Vec::new();
        for _ in 0..3 {
            streams.push(scene.begin_reading(&format!("/bulk/{LARGE}")).await);
        }
        scene.entry.begin_stop();
        for (mut stream, begin) in streams {
            let answer = begin + &read_all(&mut stream).await;
            let (_, body) = answer.split_once("\r\n\r\n").unwrap();
            assert_eq!(body.len(), LARGE);
        }
    };
    scene.while_announced(reading).await;
    scene.entry.ended().await;
}

/// Guards against an answer that is broken off at its route's timeout while its bytes arrive.
#[tokio::test(flavor = "multi_thread")]
async fn test_link_passes_on_bytes_after_the_timeout() {
    let scene = Scene::start(true, Duration::from_secs(1)).await;
    let served = get_large(scene.callers, 2_500_000);
    scene.while_announced(served).await;
}
