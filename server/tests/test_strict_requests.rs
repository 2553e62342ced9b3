//! Malformed requests, at every HTTP listener of an entry VM.

mod direct_support;
mod entry_support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::direct_support::Deployment;
use crate::direct_support::HOST;
use crate::entry_support::PLACE;
use crate::entry_support::SERVICE;
use crate::entry_support::rig::Rig;
use crate::entry_support::scripted_backend::Script;

const LEASE: Duration = Duration::from_secs(10);

/// Time after which a test fails; generous, and no measurement depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Requests with one fault each, in some cases with a body.
const FAULTS: [&str; 8] = [
    "GET PATH HTTP/1.1\r\n\r\n",
    "GET PATH HTTP/1.1\r\nhost: HOST\r\nhost: other.example\r\n\r\n",
    "GET PATH HTTP/1.1\r\nhost: HOST\r\nhost: HOST\r\n\r\n",
    "GET PATH HTTP/1.1\r\nhost: a/b\r\n\r\n",
    "GET PATH HTTP/1.1\r\nhost: HOST\r\ntransfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n0\r\n\r\n",
    "GET PATH HTTP/1.1\r\nhost: HOST\r\ncontent-length: 0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "CONNECT PATH HTTP/1.1\r\nhost: HOST\r\n\r\n",
    "CONNECT other.example:80 HTTP/1.1\r\nhost: HOST\r\n\r\n",
];

/// Sends each fault followed by a valid request, and checks that the connection closes after the
/// 400 for the fault.
async fn check_faults(listener: SocketAddr, path: &str, host: &str) {
    for fault in FAULTS {
        let fault = fault.replace("PATH", path).replace("HOST", host);
        let sent = format!("{fault}GET {path} HTTP/1.1\r\nhost: {host}\r\n\r\n");
        let mut stream = TcpStream::connect(listener).await.unwrap();
        stream.write_all(sent.as_bytes()).await.unwrap();
        let mut answers = Vec::new();
        let reading = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut answers)).await;
        reading.expect("the connection closes in time").unwrap();
        let answers = String::from_utf8_lossy(&answers);
        assert!(answers.starts_with("HTTP/1.1 400 "), "{sent}: {answers}");
        assert!(answers.contains("connection: close"), "{sent}: {answers}");
        assert_eq!(answers.matches("HTTP/1.1 ").count(), 1, "{sent}: {answers}");
    }
}

/// Guards against forwarded requests with two framings, without a host or with several, or for a
/// tunnel: only what the HTTP library refuses by itself was refused. Each is followed by a valid
/// request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_strict_requests_where_entry_vms_own_backend_servers() {
    let mut rig = Rig::start(&[PLACE], LEASE).await;
    let backend = rig.start_backend(&[Script::Whole]).await;
    assert_eq!(rig.get(0, "/good").await.text(), "answer to /good");
    let requests = backend.requests.load(Ordering::SeqCst);
    let listen = &rig.entries[0].settings.listen;
    let host = listen.callers.to_string();
    check_faults(listen.callers, &format!("/svc/{SERVICE}/x"), &host).await;
    check_faults(listen.callers, &format!("/lookup/{SERVICE}"), &host).await;
    check_faults(listen.forward, "/x", &host).await;
    check_faults(listen.backend_servers, "/x", &host).await;
    assert_eq!(backend.requests.load(Ordering::SeqCst), requests);
}

/// Guards against the failure of the previous test at entry VMs with direct dispatch.
#[tokio::test(flavor = "multi_thread")]
async fn test_strict_requests_where_entry_vms_dispatch_directly() {
    let mut deployment = Deployment::start(3);
    let (entry, backend) = deployment.start_served().await;
    let runs = backend.runs();
    let listen = &entry.settings.listen;
    check_faults(listen.callers, "/safe/x", HOST).await;
    check_faults(listen.ready, "/", HOST).await;
    check_faults(listen.look_ups.unwrap(), "/lookup", HOST).await;
    check_faults(listen.metrics.unwrap(), "/", HOST).await;
    assert_eq!(backend.runs(), runs);
    entry.stop().await;
}
