//! Teams at an entry VM with direct dispatch: authentication, home regions, forwarded headers.

mod direct_support;

use std::net::SocketAddr;

use bytes::Bytes;
use direct_support::Answer;
use direct_support::Deployment;
use direct_support::Entry;
use direct_support::HOST;
use direct_support::backend::Backend;
use direct_support::call;
use direct_support::request;
use direct_support::route_change;
use heatherring_lib::id::ManifestVersion;
use heatherring_lib::route_manifest::RouteChange;
use heatherring_lib::route_manifest::RouteContent;
use heatherring_lib::route_manifest::RoutePatch;
use heatherring_testutils::wait::wait_for;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const AUTHORIZATION: HeaderName = HeaderName::from_static("authorization");
const TEAM: HeaderName = HeaderName::from_static("heatherring-team");

fn patch(version: u64, base: u64) -> RouteChange {
    RouteChange {
        version: ManifestVersion(version),
        base: ManifestVersion(base),
        content: RouteContent::Patch(RoutePatch::default()),
    }
}

/// Returns two teams, and a public route that needs no key.
fn teams() -> Value {
    json!({
        "teams": {
            "t-1": {"keys": ["key-one", "key-uno"]},
            "t-2": {"keys": ["key-two"], "home_regions": ["elsewhere"]},
        },
        "public_routes": ["once"],
    })
}

async fn start() -> (Deployment, Entry, Backend) {
    let mut deployment = Deployment::start(1);
    let entry = deployment.start_entry("entry-1");
    let backend = deployment.start_backend("backend-1").await;
    deployment.submit_teams(&route_change(1, 0), teams()).await;
    deployment.announce(&backend, 1, "Ready").await;
    wait_for("an answer", async || {
        let answer = ask(&entry, "/safe/first", &["Bearer key-one"]).await?;
        (answer.status == StatusCode::OK).then_some(())
    })
    .await
    .unwrap();
    (deployment, entry, backend)
}

fn keyed(path: &str, keys: &[&str]) -> Request<Full<Bytes>> {
    let mut req = request(Method::GET, path, "");
    let headers = req.headers_mut();
    headers.insert("heatherring-request-id", HeaderValue::from_static("id"));
    headers.insert(TEAM, HeaderValue::from_static("t-claimed"));
    for key in keys {
        headers.append(AUTHORIZATION, key.parse().unwrap());
    }
    req
}

async fn ask(entry: &Entry, path: &str, keys: &[&str]) -> Option<Answer> {
    call(entry.settings.listen.callers, keyed(path, keys)).await
}

/// Guards against a caller that is served without a team's key or under another team's name, and
/// against keys that reach backend servers: headers of callers are trusted or forwarded unchecked.
#[rstest]
#[case::key("/safe/x", &["Bearer key-one"], Some("t-1"))]
#[case::second_key("/safe/x", &["bearer  key-uno "], Some("t-1"))]
#[case::public_route("/once/x", &[], None)]
#[case::key_on_a_public_route("/once/x", &["Bearer key-one"], Some("t-1"))]
#[case::unknown_key_on_a_public_route("/once/x", &["Bearer key-none"], None)]
#[tokio::test(flavor = "multi_thread")]
async fn test_teams_backend_server_gets_the_team_but_no_key(
    #[case] path: &str,
    #[case] keys: &[&str],
    #[case] team: Option<&str>,
) {
    let (_deployment, entry, backend) = start().await;
    let answer = ask(&entry, path, keys).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(
        backend.header_values("heatherring-team"),
        Vec::from_iter(team)
    );
    assert!(backend.header_values("authorization").is_empty());
    entry.stop().await;
}

#[rstest]
#[case::none(&[])]
#[case::unknown(&["Bearer key-none"])]
#[case::part_of_one(&["Bearer key-on"])]
#[case::other_scheme(&["Basic key-one"])]
#[case::no_scheme(&["key-one"])]
#[case::empty(&["Bearer "])]
#[case::two(&["Bearer key-one", "Bearer key-one"])]
#[tokio::test(flavor = "multi_thread")]
async fn test_teams_refuse_without_a_key(#[case] keys: &[&str]) {
    let (_deployment, entry, backend) = start().await;
    let runs = backend.runs();
    let answer = ask(&entry, "/safe/x", keys).await.unwrap();
    assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
    assert_eq!(backend.runs(), runs);
    let long = format!("Bearer {}", "k".repeat(65_536));
    let answer = ask(&entry, "/safe/x", &[&long]).await;
    let refused = answer.is_none_or(|answer| answer.status.is_client_error());
    assert!(refused);
    assert_eq!(backend.runs(), runs);
    entry.stop().await;
}

/// Guards against a team's request that is served outside its home regions, which have no backend
/// server here.
#[tokio::test(flavor = "multi_thread")]
async fn test_teams_home_regions_are_enforced() {
    let (_deployment, entry, backend) = start().await;
    let runs = backend.runs();
    let answer = ask(&entry, "/safe/x", &["Bearer key-two"]).await.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(backend.runs(), runs);
    entry.stop().await;
}

async fn status_line(stream: &mut TcpStream) -> String {
    let mut read = Vec::new();
    while !read.contains(&b'\n') {
        assert!(stream.read_buf(&mut read).await.unwrap() > 0);
    }
    let text = String::from_utf8_lossy(&read);
    text.lines().next().unwrap().to_owned()
}

/// Guards against a request that runs under a team whose key was removed before the request was
/// dispatched: an entry VM reads a head with the key, the key is removed, and the body arrives. The
/// key was checked only when the head arrived.
#[tokio::test(flavor = "multi_thread")]
async fn test_teams_key_removed_while_a_request_waits() {
    let (deployment, entry, backend) = start().await;
    let runs = backend.runs();
    let callers: SocketAddr = entry.settings.listen.callers;
    let mut stream = TcpStream::connect(callers).await.unwrap();
    let head = format!(
        "POST /safe/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer key-one\r\n\
         Content-Length: 4\r\n\r\nab"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let left = json!({"teams": {"t-1": {"keys": ["key-uno"]}}});
    deployment.submit_teams(&patch(2, 1), left).await;
    wait_for("the removal of the key", async || {
        let answer = ask(&entry, "/safe/y", &["Bearer key-one"]).await?;
        (answer.status == StatusCode::UNAUTHORIZED).then_some(())
    })
    .await
    .unwrap();
    let later = backend.runs();
    stream.write_all(b"cd").await.unwrap();
    let status = status_line(&mut stream).await;
    assert!(status.starts_with("HTTP/1.1 401"), "{status}");
    assert_eq!(backend.runs(), later);
    assert!(later >= runs);
    let kept = ask(&entry, "/safe/y", &["Bearer key-uno"]).await.unwrap();
    assert_eq!(kept.status, StatusCode::OK);
    entry.stop().await;
}

/// Guards against a 401, after which a caller does not retry, for a new key: the key is added and
/// confirmed, and a request with it arrives at once at an entry VM that has not received the change
/// and assumes that its own view is current.
#[tokio::test(flavor = "multi_thread")]
async fn test_teams_new_key_is_not_refused() {
    let (deployment, entry, _backend) = start().await;
    for version in 2..8 {
        let key = format!("key-{version}");
        let teams = json!({"teams": {"t-3": {"keys": [key]}}});
        deployment
            .submit_teams(&patch(version, version - 1), teams)
            .await;
        let value = format!("Bearer {key}");
        let answer = ask(&entry, "/safe/x", &[&value]).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "version {version}");
    }
    entry.stop().await;
}

/// Guards against a request of a new team that is served outside the team's home regions: a team
/// with another home region is added, and a request with its key arrives at once, waits for an
/// update from control and finds the team, but its home regions are read from the view before the
/// wait.
#[tokio::test(flavor = "multi_thread")]
async fn test_teams_home_regions_of_a_new_team_are_enforced() {
    let (deployment, entry, backend) = start().await;
    let runs = backend.runs();
    for version in 2..8 {
        let key = format!("key-{version}");
        let name = format!("t-{version}");
        let teams = json!({"teams": {name: {"keys": [key], "home_regions": ["elsewhere"]}}});
        deployment
            .submit_teams(&patch(version, version - 1), teams)
            .await;
        let value = format!("Bearer {key}");
        let answer = ask(&entry, "/safe/x", &[&value]).await.unwrap();
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(backend.runs(), runs, "version {version}");
    }
    entry.stop().await;
}

/// Guards against a final refusal of an unknown key by an entry VM without contact to control: the
/// key may have been added since.
#[tokio::test(flavor = "multi_thread")]
async fn test_teams_without_control_an_unknown_key_is_not_a_401() {
    let (mut deployment, entry, _backend) = start().await;
    deployment.replicas.pop().unwrap().stop().await;
    let answer = ask(&entry, "/safe/x", &["Bearer key-new"]).await.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let known = ask(&entry, "/safe/x", &["Bearer key-one"]).await.unwrap();
    assert_eq!(known.status, StatusCode::OK);
    entry.stop().await;
}
