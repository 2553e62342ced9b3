//! Memory that the bodies of requests take. It is that of the whole process, so this file has one
//! test.

mod endless_caller_support;

use heatherring_server::http_server::HttpVersions;
use heatherring_testutils::process_usage::peak_kb;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::endless_caller_support::MAX_BODY;
use crate::endless_caller_support::Server;
use crate::endless_caller_support::TEST_TIMEOUT;

/// Number of chunks of the body, which have one byte each.
const CHUNKS: usize = MAX_BODY as usize / 2;

/// Memory, in KiB, that the body may take, with the buffers of both ends and what the
/// allocator keeps.
const MAX_GROWTH_KIB: usize = 10 << 10;

/// Returns the largest memory of this process so far, in KiB.
fn peak_kib() -> usize {
    usize::try_from(peak_kb(std::process::id()).unwrap()).unwrap()
}

/// Guards against bodies that take many times their size: each chunk was kept by itself, together
/// with the buffer that it was read into.
#[tokio::test]
async fn test_a_body_in_small_chunks_takes_little_memory() {
    const CHUNK: &str = "1\r\nx\r\n";
    const CHUNKS_PER_BLOCK: usize = 1 << 12;
    let server = Server::start(HttpVersions::Http1).await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    let head = "POST /1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
        transfer-encoding: chunked\r\n\r\n";
    let block = CHUNK.repeat(CHUNKS_PER_BLOCK);
    let before = peak_kib();
    stream.write_all(head.as_bytes()).await.unwrap();
    for _ in 0..CHUNKS / CHUNKS_PER_BLOCK {
        stream.write_all(block.as_bytes()).await.unwrap();
    }
    stream.write_all(b"0\r\n\r\n").await.unwrap();
    let mut answer = String::new();
    let reading = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_string(&mut answer));
    reading.await.expect("the connection ends").unwrap();
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    let growth = peak_kib() - before;
    assert!(growth < MAX_GROWTH_KIB, "{growth} KiB");
}
