//! Memory that answers without end take, many of them at once. It is that of the whole process, so
//! this file has one test.

mod direct_support;
mod endless_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use direct_support::Deployment;
use direct_support::Entry;
use direct_support::PLACE;
use direct_support::route_change;
use direct_support::stops::get;
use direct_support::until_served;
use endless_support::Endless;
use endless_support::EndlessBackend;
use endless_support::Written;
use heatherring_testutils::loopback::SERVICE_PORT;
use heatherring_testutils::process_usage::peak_kb;
use http::Method;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Answers at once.
const ANSWERS: usize = 32;

/// Memory, in KiB, that an answer may take: what is read ahead of its caller, and the buffers of
/// both of its connections.
const ANSWER_KIB: usize = 1 << 10;

/// Bytes of an answer that a caller reads, many times what it may take.
const READ_BYTES: usize = 8 << 20;

/// Time for which a caller reads nothing.
const UNREAD: Duration = Duration::from_secs(2);

const HEARTBEAT: Duration = Duration::from_millis(500);

/// Returns the largest memory of this process so far, in KiB.
fn peak_kib() -> usize {
    usize::try_from(peak_kb(std::process::id()).unwrap()).unwrap()
}

async fn announce(deployment: &Deployment, name: &str, address: SocketAddr, sequence: u64) {
    let body = json!({
        "backend": name,
        "record": {
            "service": "registry", "address": address, "place": PLACE, "slots": 2 * ANSWERS,
            "state": "Ready", "sequence": sequence,
            "cold_for": {"secs": 0, "nanos": 0},
        },
    });
    deployment
        .call_control(Method::POST, "/v1/announcements", &body.to_string())
        .await;
}

/// Asks for an answer without end, and reads a part of it or, unless `reads`, nothing for a while.
/// Returns the number of bytes that were read.
async fn ask(callers: SocketAddr, key: String, reads: bool) -> usize {
    let mut stream = TcpStream::connect(callers).await.unwrap();
    stream.write_all(get(&key).as_bytes()).await.unwrap();
    if !reads {
        tokio::time::sleep(UNREAD).await;
        return 0;
    }
    let mut part = vec![0; 64 << 10];
    let mut read = 0;
    while read < READ_BYTES {
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => break,
            Ok(bytes) => read += bytes,
        }
    }
    read
}

async fn ask_for_all(entry: &Entry, name: &str, reads: bool) -> usize {
    let mut asking = JoinSet::new();
    for number in 0..ANSWERS {
        let key = format!("/safe/endless-{name}-{number}");
        asking.spawn(ask(entry.settings.listen.callers, key, reads));
    }
    asking.join_all().await.into_iter().sum()
}

/// Guards against an entry VM that keeps what a backend server writes without end, until it has no
/// memory and the requests of all callers end with it.
#[tokio::test(flavor = "multi_thread")]
async fn test_answers_without_end_take_bounded_memory() {
    let mut deployment = Deployment::start(1);
    let entry = deployment.start_entry("entry-1");
    deployment.submit(&route_change(1, 0)).await;
    let mut grown = Vec::new();
    let mut sequence = 1;
    for endless in [Endless::Length, Endless::TinyChunks] {
        let address = SocketAddr::new(deployment.block.next_vm(), SERVICE_PORT);
        let written = Arc::new(Written::default());
        let name = format!("{endless:?}");
        let backend = EndlessBackend::start(&name, address, endless, &written).await;
        let announcing = async {
            loop {
                announce(&deployment, &name, address, sequence).await;
                sequence += 1;
                tokio::time::sleep(HEARTBEAT).await;
            }
        };
        let asking = async {
            until_served(&entry).await;
            let before = peak_kib();
            ask_for_all(&entry, &format!("{name}-unread"), false).await;
            let read = ask_for_all(&entry, &name, true).await;
            assert!(read > ANSWERS, "{endless:?}: {read} bytes");
            grown.push((endless, peak_kib() - before));
        };
        tokio::select! {
            () = asking => {}
            () = announcing => unreachable!("the announcement loop does not end"),
        }
        drop(backend);
    }
    println!("{grown:?} KiB");
    let is_bounded = |(_, kib): &(Endless, usize)| *kib < ANSWERS * ANSWER_KIB;
    assert!(grown.iter().all(is_bounded), "{grown:?} KiB");
}
