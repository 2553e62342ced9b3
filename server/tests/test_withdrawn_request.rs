//! Requests that were sent to a backend server and withdrawn before they were read there.

mod direct_support;
mod entry_support;
mod late_reader_support;

use std::time::Duration;

use direct_support::Answer;
use direct_support::Deployment;
use direct_support::Entry;
use direct_support::call;
use direct_support::until_served;
use entry_support::PLACE;
use entry_support::SERVICE;
use entry_support::rig::Rig;
use heatherring_testutils::loopback::SERVICE_PORT;
use http::Method;
use http::StatusCode;
use http_body_util::Full;
use late_reader_support::Answers;
use late_reader_support::End;
use late_reader_support::HELD;
use late_reader_support::LateReader;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const LEASE: Duration = Duration::from_secs(10);

/// No answer.
const SILENCE: &str = "";

/// An answer to another request.
const OTHER: &str = "HTTP/1.1 200 OK\r\nheatherring-request-id: other\r\ncontent-length: 0\r\n\r\n";

/// A short answer that stops in its body.
const STALLED: &str =
    "HTTP/1.1 200 OK\r\nheatherring-request-id: {id}\r\ncontent-length: 100\r\n\r\npart";

/// A long answer that stops in its body.
const STALLED_LONG: &str =
    "HTTP/1.1 200 OK\r\nheatherring-request-id: {id}\r\ncontent-length: 1000000\r\n\r\npart";

/// A refusal that stops in its body.
const STALLED_REFUSAL: &str = "HTTP/1.1 503 Busy\r\nheatherring-request-id: {id}\r\n\
     heatherring-outcome: not_run\r\ncontent-length: 100\r\n\r\npart";

/// An answer that is no HTTP.
const BROKEN: &str = "HTTP/9.9 what\r\n\r\n";

/// What the backend server does by default.
const ORDINARY: Answers = Answers {
    held: SILENCE,
    named: true,
    line: "",
};

/// Closes the connection after each answer.
const CLOSING: Answers = Answers {
    line: "connection: close\r\n",
    ..ORDINARY
};

/// Names no request in its answers.
const UNNAMED: Answers = Answers {
    named: false,
    ..ORDINARY
};

/// Both.
const UNNAMED_CLOSING: Answers = Answers {
    named: false,
    ..CLOSING
};

/// An entry VM that dispatches directly, and a backend server.
struct Scene {
    deployment: Deployment,
    entry: Entry,
    backend: LateReader,
}

impl Scene {
    async fn start(answers: Answers) -> Self {
        let mut deployment = Deployment::start(1);
        let entry = deployment.start_entry("entry-1");
        let address = (deployment.block.next_vm(), SERVICE_PORT).into();
        let backend = LateReader::start(address, answers).await;
        deployment.submit_routes(1, 0).await;
        deployment.announce_address("backend-1", address, 1).await;
        until_served(&entry).await;
        Self {
            deployment,
            entry,
            backend,
        }
    }

    /// Sends an action that the backend server leaves unread; returns what the caller is told.
    async fn act(&self) -> Option<Answer> {
        call(self.entry.settings.listen.callers, held_action()).await
    }

    async fn leave(&mut self) {
        let callers = self.entry.settings.listen.callers;
        let request = format!(
            "POST /once/{HELD} HTTP/1.1\r\nhost: {}\r\nheatherring-request-id: {HELD}\r\n\
             content-length: 0\r\n\r\n",
            direct_support::HOST
        );
        leave(callers, &request, &mut self.backend).await;
    }
}

fn held_action() -> http::Request<Full<bytes::Bytes>> {
    let mut req = direct_support::request(Method::POST, &format!("/once/{HELD}"), "body");
    let headers = req.headers_mut();
    headers.insert("heatherring-request-id", HELD.parse().unwrap());
    headers.insert("heatherring-deadline-ms", 800.into());
    req
}

/// Sends `request` to an entry VM and leaves when the backend server has it.
async fn leave(callers: std::net::SocketAddr, request: &str, backend: &mut LateReader) {
    let mut stream = TcpStream::connect(callers).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    backend.until_held().await;
}

/// Guards against a request that reaches a backend server after its caller was told how it ended.
#[rstest]
#[case::given_up(SILENCE, Some(504))]
#[case::mismatched(OTHER, Some(502))]
#[case::broken(BROKEN, Some(502))]
#[case::stalled(STALLED, Some(504))]
#[case::stalled_long(STALLED_LONG, None)]
#[tokio::test(flavor = "multi_thread")]
async fn test_withdrawn_request_is_not_delivered(
    #[case] held: &'static str,
    #[case] told: Option<u16>,
) {
    let mut scene = Scene::start(Answers { held, ..ORDINARY }).await;
    let answer = scene.act().await;
    let status = answer.map(|answer| answer.status.as_u16());
    assert_eq!(status, told);
    assert_eq!(scene.backend.held_end().await, End::Reset);
}

/// Guards against a request that reaches a backend server after its caller has left.
#[tokio::test(flavor = "multi_thread")]
async fn test_withdrawn_request_of_a_caller_that_left_is_not_delivered() {
    let mut scene = Scene::start(ORDINARY).await;
    scene.leave().await;
    assert_eq!(scene.backend.held_end().await, End::Reset);
}

/// Guards against a request that reaches a backend server after its entry VM has stopped.
#[tokio::test(flavor = "multi_thread")]
async fn test_withdrawn_request_of_a_stopped_entry_vm_is_not_delivered() {
    let mut scene = Scene::start(ORDINARY).await;
    let callers = scene.entry.settings.listen.callers;
    let calling = tokio::spawn(call(callers, held_action()));
    scene.backend.until_held().await;
    scene.entry.stop().await;
    assert_eq!(scene.backend.held_end().await, End::Reset);
    calling.await.unwrap();
}

/// Guards against a request that reaches a backend server after its next incarnation was announced.
#[tokio::test(flavor = "multi_thread")]
async fn test_withdrawn_request_to_an_earlier_incarnation_is_not_delivered() {
    let mut scene = Scene::start(ORDINARY).await;
    let callers = scene.entry.settings.listen.callers;
    let calling = tokio::spawn(call(callers, held_action()));
    scene.backend.until_held().await;
    let address = scene.backend.address;
    scene
        .deployment
        .announce_address_of("backend-1", address, 7, 2)
        .await;
    assert_eq!(scene.backend.held_end().await, End::Reset);
    calling.await.unwrap();
}

/// Guards against resets of connections whose requests were all answered.
#[rstest]
#[case::kept(ORDINARY)]
#[case::closed(CLOSING)]
#[case::unnamed(UNNAMED)]
#[case::unnamed_closed(UNNAMED_CLOSING)]
#[tokio::test(flavor = "multi_thread")]
async fn test_withdrawn_request_resets_no_answered_connection(#[case] answers: Answers) {
    let mut scene = Scene::start(answers).await;
    let answer = scene.entry.call(Method::GET, "/safe/second").await;
    assert_eq!(answer.unwrap().status, StatusCode::OK);
    scene.entry.stop().await;
    assert_eq!(scene.backend.next_end().await, End::Closed);
}

/// Starts an entry VM that owns its backend server.
async fn start_owner(answers: Answers) -> (Rig, LateReader) {
    let mut rig = Rig::start(&[PLACE], LEASE).await;
    let address = (rig.block.next_vm(), SERVICE_PORT).into();
    let backend = LateReader::start(address, answers).await;
    rig.announce(address).await;
    (rig, backend)
}

/// Guards against a request that reaches a backend server after its caller was told how it ended.
#[rstest]
#[case::given_up(SILENCE)]
#[case::mismatched(OTHER)]
#[case::broken(BROKEN)]
#[case::stalled_refusal(STALLED_REFUSAL)]
#[case::stalled(STALLED)]
#[tokio::test(flavor = "multi_thread")]
async fn test_withdrawn_request_at_owner_is_not_delivered(#[case] held: &'static str) {
    let (rig, mut backend) = start_owner(Answers { held, ..ORDINARY }).await;
    let _ = rig.try_get(0, &format!("/{HELD}")).await;
    assert_eq!(backend.held_end().await, End::Reset);
}

/// Guards against a request that reaches a backend server after its caller has left.
#[tokio::test(flavor = "multi_thread")]
async fn test_withdrawn_request_at_owner_of_a_caller_that_left_is_not_delivered() {
    let (rig, mut backend) = start_owner(ORDINARY).await;
    let request = format!("GET /svc/{SERVICE}/{HELD} HTTP/1.1\r\nhost: entry\r\n\r\n");
    leave(rig.callers(0), &request, &mut backend).await;
    assert_eq!(backend.held_end().await, End::Reset);
}

/// Guards against resets of connections whose requests were all answered.
#[rstest]
#[case::closed(CLOSING)]
#[case::unnamed(UNNAMED)]
#[tokio::test(flavor = "multi_thread")]
async fn test_withdrawn_request_at_owner_resets_no_answered_connection(#[case] answers: Answers) {
    let (rig, mut backend) = start_owner(answers).await;
    assert_eq!(rig.get(0, "/answered").await.status, StatusCode::OK);
    assert_eq!(backend.next_end().await, End::Closed);
}
