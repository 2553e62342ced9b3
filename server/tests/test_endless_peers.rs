//! Peers that send without end, or do not take what they are sent.

mod endless_support;

use heatherring_server::http_server::HttpVersions;
use rstest::rstest;

use crate::endless_support::Server;
use crate::endless_support::flood;

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
