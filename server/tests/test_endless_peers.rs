//! Peers that send without end, or do not take what they are sent.

mod endless_caller_support;

use bytes::Bytes;
use heatherring_server::http_server::HttpVersions;
use http::Request;
use http::StatusCode;
use http_body_util::Empty;
use hyper::client::conn::http2;
use hyper::client::conn::http2::SendRequest;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::endless_caller_support::IDLE_TIMEOUT;
use crate::endless_caller_support::KEPT;
use crate::endless_caller_support::KEPT_BYTES;
use crate::endless_caller_support::LATE;
use crate::endless_caller_support::Server;
use crate::endless_caller_support::TEST_TIMEOUT;
use crate::endless_caller_support::flood;

/// Bytes that a peer may send in vain: what is discarded and what the sockets hold.
const MAX_FLOOD: u64 = 64 << 20;

/// Guards against callers that occupy a worker thread with bytes that nobody waits for.
#[rstest]
#[case::behind_an_invalid_request("\u{1}\r\n\r\n")]
#[case::behind_the_last_request("GET /1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")]
#[case::in_a_body_that_is_too_large(
    "POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: 999999999999\r\n\r\n"
)]
#[tokio::test]
async fn test_few_bytes_that_nobody_waits_for_are_read(#[case] begin: &'static str) {
    let server = Server::start(HttpVersions::Http1).await;
    let address = server.address;
    let flooding = tokio::task::spawn_blocking(move || flood(address, begin));
    let taken = flooding.await.unwrap();
    assert!(taken.is_some_and(|taken| taken < MAX_FLOOD), "{taken:?}");
}

/// Guards against connections, and with them those to backend servers, that last for ever because
/// callers do not read their answers.
#[rstest]
#[case::one_long_answer("/50000000", 1)]
#[case::many_short_answers("/100000", 500)]
#[tokio::test]
async fn test_an_answer_that_is_not_read_ends(#[case] path: &str, #[case] requests: usize) {
    let server = Server::start(HttpVersions::Http1).await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    let sent = format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n").repeat(requests);
    stream.write_all(sent.as_bytes()).await.unwrap();
    stream.readable().await.unwrap();
    server.until_unused().await;
}

/// Guards against HTTP/2 connections that last for as long as their callers answer pings, whether
/// they send requests and read the answers or not.
#[rstest]
#[case::idle("/1")]
#[case::one_long_answer("/50000000")]
#[tokio::test]
async fn test_an_http2_connection_without_progress_ends(#[case] path: &str) {
    let server = Server::start(HttpVersions::Both).await;
    let mut sender = connect_http2(&server).await;
    let _unread = sender.send_request(request(path)).await.unwrap();
    server.until_unused().await;
}

/// Guards against callers that are cut off while they wait.
#[tokio::test]
async fn test_a_caller_that_waits_is_answered() {
    let server = Server::start(HttpVersions::Both).await;
    let mut sender = connect_http2(&server).await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    let sent = format!("GET /{LATE} HTTP/1.1\r\nhost: a\r\n\r\n");
    stream.write_all(sent.as_bytes()).await.unwrap();
    let answer = sender.send_request(request(&format!("/{LATE}"))).await;
    assert_eq!(answer.unwrap().status(), StatusCode::OK);
    assert_eq!(status(&mut stream).await, "200");
}

async fn connect_http2(server: &Server) -> SendRequest<Empty<Bytes>> {
    let stream = TcpStream::connect(server.address).await.unwrap();
    let connecting = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (sender, connection) = connecting.await.unwrap();
    tokio::spawn(connection);
    sender
}

fn request(path: &str) -> Request<Empty<Bytes>> {
    let uri = format!("http://a{path}");
    Request::get(uri).body(Empty::new()).unwrap()
}

/// Guards against answers that are cut off because their callers read slowly.
#[tokio::test]
async fn test_an_answer_that_is_read_slowly_is_passed_on() {
    const BYTES: usize = 50_000_000;
    let server = Server::start(HttpVersions::Http1).await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    let sent = format!("GET /{BYTES} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    stream.write_all(sent.as_bytes()).await.unwrap();
    let mut part = vec![0; 4_000_000];
    let mut received = 0;
    loop {
        tokio::time::sleep(IDLE_TIMEOUT / 10).await;
        match stream.read(&mut part).await.unwrap() {
            0 => break,
            bytes => received += bytes,
        }
    }
    assert!(received > BYTES, "{received}");
}

/// Guards against callers of control that occupy its connections with bodies that never end.
#[tokio::test]
async fn test_a_call_to_control_that_does_not_end_is_refused() {
    let server = Server::start(HttpVersions::Http1).await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    let sent = "PUT /control HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nx";
    stream.write_all(sent.as_bytes()).await.unwrap();
    let mut answer = String::new();
    let reading = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_string(&mut answer));
    reading.await.expect("the connection ends").unwrap();
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
}

/// Guards against entry VMs without memory because several callers send long bodies at once.
#[tokio::test]
async fn test_long_bodies_share_a_memory() {
    const FITTING: usize = 4;
    let mut server = Server::start(HttpVersions::Http1).await;
    let long = "x".repeat(KEPT_BYTES);
    let mut kept = Vec::new();
    for count in 1..=FITTING {
        kept.push(send_body(&server, &long).await);
        server.until_kept(count).await;
    }
    let refused = status(&mut send_body(&server, &long).await).await;
    assert_eq!(refused, "503");
    let short = status(&mut send_body(&server, &long[..32 << 10]).await).await;
    assert_eq!(short, "200");
    kept.pop();
    while server.usage.open() >= FITTING {
        tokio::time::sleep(IDLE_TIMEOUT / 10).await;
    }
    kept.push(send_body(&server, &long).await);
    server.until_kept(FITTING + 1).await;
}

async fn send_body(server: &Server, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    let length = body.len();
    let sent = format!(
        "POST /{KEPT} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
        content-length: {length}\r\n\r\n{body}"
    );
    // A body that is refused is not read to its end.
    let _ = stream.write_all(sent.as_bytes()).await;
    stream
}

/// Returns the status of the answer.
async fn status(stream: &mut TcpStream) -> String {
    let mut line = [0; 12];
    let reading = tokio::time::timeout(TEST_TIMEOUT, stream.read_exact(&mut line));
    reading.await.expect("there is an answer").unwrap();
    String::from_utf8_lossy(&line[9..]).into_owned()
}
