//! Memory that answers without end take at the entry VM that owns their backend servers, and at one
//! that forwards requests to it. It is that of the whole process, so this file has one test.

mod endless_support;
mod entry_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use endless_support::Endless;
use endless_support::EndlessBackend;
use endless_support::Written;
use entry_support::PLACE;
use entry_support::SERVICE;
use entry_support::rig::Rig;
use heatherring_testutils::loopback::SERVICE_PORT;
use heatherring_testutils::process_usage::peak_kb;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

const LEASE: Duration = Duration::from_secs(10);

const BACKENDS: usize = 2;

/// Slots of a backend server, and so answers at once.
const SLOTS: usize = 3;

/// Time for which a caller reads nothing, beyond the deadline.
const UNREAD: Duration = Duration::from_secs(2);

/// Memory, in KiB, that an answer may take in both entry VMs: a stream's window, and the buffers of
/// three connections.
const ANSWER_KIB: usize = 4 << 10;

/// Returns the largest memory of this process so far, in KiB.
fn peak_kib() -> usize {
    usize::try_from(peak_kb(std::process::id()).unwrap()).unwrap()
}

/// Asks for an answer without end, and reads it, unless `reads` only once it has
/// ended. Returns the number of bytes that arrived.
async fn ask(address: SocketAddr, key: String, reads: bool) -> usize {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let req = format!("GET /svc/{SERVICE}/{key} HTTP/1.1\r\nhost: {address}\r\n\r\n");
    stream.write_all(req.as_bytes()).await.unwrap();
    if !reads {
        tokio::time::sleep(UNREAD).await;
    }
    let mut part = vec![0; 64 << 10];
    let mut read = 0;
    loop {
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => return read,
            Ok(bytes) => read += bytes,
        }
    }
}

/// Asks for as many answers without end as there are slots. Returns the number of bytes that callers
/// read, and by how many KiB the memory has grown.
async fn play(is_forwarded: bool, reads: bool) -> (usize, usize) {
    let mut rig = Rig::start(&[PLACE, PLACE], LEASE).await;
    let written = Arc::new(Written::default());
    let mut backends = Vec::new();
    for _ in 0..BACKENDS {
        let address = SocketAddr::new(rig.block.next_vm(), SERVICE_PORT);
        let backend = EndlessBackend::start("backend", address, Endless::Length, &written).await;
        backends.push(backend);
        rig.announce(address).await;
    }
    let entry = if is_forwarded {
        1 - rig.owner()
    } else {
        rig.owner()
    };
    let before = peak_kib();
    let mut asking = JoinSet::new();
    for number in 0..BACKENDS * SLOTS {
        let key = format!("endless-{number}");
        asking.spawn(ask(rig.callers(entry), key, reads));
    }
    let read = asking.join_all().await.into_iter().sum();
    (read, peak_kib() - before)
}

/// Guards against an entry VM that keeps what a backend server writes without end, until it has no
/// memory and the requests of all callers end with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_answers_without_end_at_owner_take_bounded_memory() {
    const MOST_KIB: usize = BACKENDS * SLOTS * ANSWER_KIB;
    for is_forwarded in [false, true] {
        for reads in [false, true] {
            let (read, grown) = play(is_forwarded, reads).await;
            println!("forwarded: {is_forwarded}, read: {reads}: {read} bytes, {grown} KiB");
            assert!(read > 0 && grown < MOST_KIB, "{read} bytes, {grown} KiB");
        }
    }
}
