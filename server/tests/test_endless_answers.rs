//! Answers of backend servers that do not end, at an entry VM that dispatches directly.

mod direct_support;
mod endless_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use direct_support::Answer;
use direct_support::Deployment;
use direct_support::Entry;
use direct_support::call;
use direct_support::request;
use direct_support::route_change;
use direct_support::stops::get;
use direct_support::stops::read_all;
use direct_support::stops::read_until;
use endless_support::Endless;
use endless_support::EndlessBackend;
use endless_support::Written;
use heatherring_lib::direct_settings::LinkSettings;
use heatherring_lib::id::RouteName;
use heatherring_lib::route_manifest::Route;
use heatherring_lib::route_manifest::RouteContent;
use heatherring_testutils::loopback::SERVICE_PORT;
use heatherring_testutils::wait::wait_for;
use http::Method;
use http::StatusCode;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Requests of other callers beside an answer without end.
const OTHERS: usize = 30;

const HEARTBEAT: Duration = Duration::from_millis(500);

/// An entry VM before two backend servers that answer some requests without end.
struct Scene {
    deployment: Deployment,
    entry: Entry,
    backends: Vec<EndlessBackend>,
    written: Arc<Written>,
}

impl Scene {
    /// Starts an entry VM that schedules its link if it knows its rate.
    async fn start(endless: Endless, link: Option<LinkSettings>) -> Self {
        let mut deployment = Deployment::start(1);
        let entry = deployment.start_entry_with("entry-1", Duration::from_secs(1), link);
        submit_routes(&deployment).await;
        let written = Arc::default();
        let mut backends = Vec::new();
        for name in ["first", "second"] {
            let address = SocketAddr::new(deployment.block.next_vm(), SERVICE_PORT);
            backends.push(EndlessBackend::start(name, address, endless, &written).await);
            deployment.announce_address(name, address, 1).await;
        }
        let scene = Self {
            deployment,
            entry,
            backends,
            written,
        };
        scene.until_served().await;
        scene
    }

    async fn until_served(&self) {
        wait_for("an answer", async || {
            let answer = self.ask(Method::GET, "/safe/first").await?;
            (answer.status == StatusCode::OK).then_some(())
        })
        .await
        .unwrap();
    }

    /// Keeps announcing the backend servers while `running` runs.
    async fn while_announced<T>(&self, running: impl Future<Output = T>) -> T {
        let announcing = async {
            for sequence in 2.. {
                for (name, backend) in ["first", "second"].iter().zip(&self.backends) {
                    self.deployment
                        .announce_address(name, backend.address, sequence)
                        .await;
                }
                tokio::time::sleep(HEARTBEAT).await;
            }
        };
        tokio::select! {
            result = running => result,
            () = announcing => unreachable!("the announcement loop does not end"),
        }
    }

    async fn ask(&self, method: Method, path: &str) -> Option<Answer> {
        let mut req = request(method, path, "");
        let id = path.replace('/', "-");
        let headers = req.headers_mut();
        headers.insert("heatherring-request-id", id.parse().unwrap());
        call(self.entry.settings.listen.callers, req).await
    }

    /// Checks that requests of other callers are answered.
    async fn assert_others_are_served(&self, prefix: &str) {
        for number in 0..OTHERS {
            let path = format!("{prefix}other-{number}");
            let answer = self.ask(Method::POST, &path).await.expect("an answer");
            assert_eq!(answer.status, StatusCode::OK, "{path}: {answer:?}");
        }
    }

    /// Sends a request that is answered without end, and reads until the begin of the answer's
    /// body is there.
    async fn begin_reading(&self, path: &str) -> (TcpStream, String) {
        let callers = self.entry.settings.listen.callers;
        let mut stream = TcpStream::connect(callers).await.unwrap();
        stream.write_all(get(path).as_bytes()).await.unwrap();
        let begin = read_until(&mut stream, "\r\n\r\n").await;
        assert!(begin.starts_with("HTTP/1.1 200"), "{begin}");
        (stream, begin)
    }
}

/// Submits the usual routes and `/bulk/`, whose answers are large.
async fn submit_routes(deployment: &Deployment) {
    let mut change = route_change(1, 0);
    if let RouteContent::Whole { routes, .. } = &mut change.content {
        for route in routes.values_mut() {
            Arc::make_mut(route).timeout = Duration::from_secs(3);
        }
        let safe = Route::clone(&routes[&RouteName::new("safe")]);
        let bulk = Route {
            prefix: "/bulk/".to_owned(),
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

/// Guards against an answer without end that costs other callers theirs, or never ends.
#[rstest]
#[case::head(Endless::Head)]
#[case::header_lines(Endless::HeaderLines)]
#[case::interim_answers(Endless::InterimAnswers)]
#[case::length(Endless::Length)]
#[case::chunks(Endless::Chunks)]
#[case::tiny_chunks(Endless::TinyChunks)]
#[case::chunk_size(Endless::ChunkSize)]
#[case::chunk_spaces(Endless::ChunkSpaces)]
#[case::chunk_extension(Endless::ChunkExtension)]
#[case::trailers(Endless::Trailers)]
#[case::refusal_body(Endless::RefusalBody)]
#[case::after_answer(Endless::AfterAnswer)]
#[tokio::test(flavor = "multi_thread")]
async fn test_endless_answer_costs_its_own_request(#[case] endless: Endless) {
    let scene = Scene::start(endless, None).await;
    let asking = scene.ask(Method::POST, "/once/endless");
    let others = async {
        scene.written.until_begun().await;
        scene.assert_others_are_served("/once/").await;
        scene.written.until_ended().await;
    };
    let both = async { tokio::join!(asking, others) };
    let (answer, ()) = scene.while_announced(both).await;
    if endless != Endless::AfterAnswer {
        let is_whole = answer.is_some_and(|answer| answer.status == StatusCode::OK);
        assert!(!is_whole, "an answer without end looks complete");
    }
    if !endless.is_body() {
        scene.written.assert_bounded();
    }
    scene.assert_others_are_served("/once/more-").await;
}

/// Guards against answers to health checks that cost callers theirs.
#[tokio::test(flavor = "multi_thread")]
async fn test_endless_answer_to_a_health_check_ends() {
    let mut scene = Scene::start(Endless::Health, None).await;
    // Without control, entry VMs ask the backend servers themselves.
    for replica in std::mem::take(&mut scene.deployment.replicas) {
        replica.stop().await;
    }
    scene.written.until_begun().await;
    scene.assert_others_are_served("/once/").await;
    scene.written.until_ended().await;
    scene.written.assert_bounded();
}

/// Guards against an action that counts as refused because its answer has no end.
#[rstest]
#[case::head(Endless::Head)]
#[case::interim_answers(Endless::InterimAnswers)]
#[tokio::test(flavor = "multi_thread")]
async fn test_endless_answer_leaves_an_action_unknown(#[case] endless: Endless) {
    let scene = Scene::start(endless, None).await;
    let answer = scene.ask(Method::POST, "/once/endless").await.unwrap();
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(answer.body, "connection_lost");
}

/// Guards against an answer without end that lasts as long as its caller does not read it.
#[rstest]
#[case::length(Endless::Length, None, "/safe/")]
#[case::chunks(Endless::Chunks, None, "/safe/")]
#[case::paced_length(Endless::Length, Some(LinkSettings { mbps: 8.0 }), "/bulk/")]
#[case::paced_chunks(Endless::Chunks, Some(LinkSettings { mbps: 8.0 }), "/bulk/")]
#[tokio::test(flavor = "multi_thread")]
async fn test_endless_answer_ends_unread(
    #[case] endless: Endless,
    #[case] link: Option<LinkSettings>,
    #[case] prefix: &str,
) {
    let scene = Scene::start(endless, link).await;
    let path = format!("{prefix}endless");
    let reading = scene.begin_reading(&path);
    let (mut stream, begin) = scene.while_announced(reading).await;
    let ending = async {
        scene.assert_others_are_served("/once/").await;
        scene.written.until_ended().await;
    };
    scene.while_announced(ending).await;
    scene.written.assert_bounded();
    let answer = begin + &read_all(&mut stream).await;
    assert!(!answer.ends_with("\r\n0\r\n\r\n"), "it looks complete");
}

/// Guards against an answer without end that a scheduled link passes on without end, or that keeps
/// other large answers off the link.
#[rstest]
#[case::length(Endless::Length)]
#[case::chunks(Endless::Chunks)]
#[tokio::test(flavor = "multi_thread")]
async fn test_endless_answer_leaves_room_on_the_link(#[case] endless: Endless) {
    let scene = Scene::start(endless, Some(LinkSettings { mbps: 8.0 })).await;
    let asking = scene.ask(Method::GET, "/bulk/endless");
    let others = async {
        scene.written.until_begun().await;
        scene.assert_others_are_served("/bulk/").await;
        scene.written.until_ended().await;
    };
    let both = async { tokio::join!(asking, others) };
    let (answer, ()) = scene.while_announced(both).await;
    assert!(answer.is_none(), "an answer without end looks complete");
    scene.assert_others_are_served("/bulk/more-").await;
}
