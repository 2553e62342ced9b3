//! Bodies of operators' calls that control cannot read, though nothing may be wrong with them.

mod direct_support;

use std::net::SocketAddr;

use direct_support::Deployment;
use direct_support::call;
use direct_support::request;
use direct_support::route_change;
use heatherring_server::request_body::MAX_OPERATOR_CALL_BYTES;
use heatherring_testutils::wait::wait_for;
use http::Method;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Bodies that fill the memory for bodies.
const LONG_BODIES: usize = 17;

/// Bytes of a body above which it takes memory that all share.
const LONG: usize = 48 << 10;

/// Sends a call whose body lacks its last byte.
async fn send_all_but_one(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let length = MAX_OPERATOR_CALL_BYTES;
    let head = format!("POST /v1/routes HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b' '; length - 1]).await.unwrap();
    stream
}

fn padded_change() -> String {
    let change = serde_json::to_string(&route_change(1, 0)).unwrap();
    format!("{change:LONG$}")
}

async fn status(address: SocketAddr, body: String) -> Option<u16> {
    let answer = call(address, request(Method::POST, "/v1/routes", body)).await;
    Some(answer?.status.as_u16())
}

/// Guards against a valid order that is refused for good because other bodies take the memory: its
/// operator doesn't send it again.
#[tokio::test(flavor = "multi_thread")]
async fn test_control_bodies_without_memory_may_be_sent_again() {
    let deployment = Deployment::start(1);
    let address = deployment.replicas[0].api_address();
    wait_for("a listener", async || {
        TcpStream::connect(address).await.ok()
    })
    .await
    .unwrap();
    let mut held = Vec::new();
    let answer = wait_for("a call without memory", async || {
        if held.len() < LONG_BODIES {
            held.push(send_all_but_one(address).await);
            return None;
        }
        status(address, padded_change()).await
    });
    assert_eq!(answer.await.unwrap(), 503);
    drop(held);
    wait_for("a confirmation", async || {
        (status(address, padded_change()).await == Some(200)).then_some(())
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn test_control_bodies_too_large_are_refused_for_good() {
    let deployment = Deployment::start(1);
    let address = deployment.replicas[0].api_address();
    let body = " ".repeat(MAX_OPERATOR_CALL_BYTES + 1);
    let answer = wait_for("an answer", async || status(address, body.clone()).await);
    assert_eq!(answer.await.unwrap(), 413);
}
