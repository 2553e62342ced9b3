//! The pool of connections to backend servers, where its limit is as small as the work needs.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use heatherring_lib::answer_pairing::EchoPolicy;
use heatherring_lib::answer_pairing::EchoedId;
use heatherring_lib::answer_pairing::MAX_CARRIED_REQUESTS;
use heatherring_lib::outcome::Attempt;
use heatherring_server::backend_pool::BackendPool;
use heatherring_testutils::raw_request::read_head;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

async fn start_backend() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_all(stream));
        }
    });
    address
}

async fn answer_all(mut stream: TcpStream) {
    let mut unread = Vec::new();
    while read_head(&mut stream, &mut unread).await.is_some() {
        if stream.write_all(ANSWER).await.is_err() {
            return;
        }
    }
}

/// Guards against a request that finds no room because the connection that the pool has just
/// decided to close still counts.
#[rstest]
#[case::unnamed(false, 20)]
#[case::named(true, 2 * MAX_CARRIED_REQUESTS)]
#[tokio::test(flavor = "multi_thread")]
async fn test_pool_finds_room_after_a_connection_that_is_not_kept(
    #[case] is_named: bool,
    #[case] count: usize,
) {
    let address = start_backend().await;
    let pool = BackendPool::spawn();
    let mut without_room = Vec::new();
    for number in 0..count {
        let id = number.to_string();
        let connected = pool.connect(address, 1, Some(&id)).await;
        let Ok(mut connection) = connected else {
            without_room.push(number);
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let mut req = Request::get("/").body(Full::<Bytes>::default()).unwrap();
        req.headers_mut().insert("host", "b".parse().unwrap());
        let answer = connection.send(req, Some(&id)).await.unwrap();
        let echoed = if is_named {
            EchoedId::One(&id)
        } else {
            EchoedId::Absent
        };
        let attempt = Attempt::new().sending();
        let _paired = connection
            .pair(attempt, Some(&id), echoed, EchoPolicy::Optional)
            .unwrap();
        answer.body.collect().await.unwrap();
        pool.give_back(connection);
    }
    assert!(without_room.is_empty(), "no room for {without_room:?}");
}
