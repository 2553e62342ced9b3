//! Answers of backend servers that do not end, at the entry VM that owns the backend servers and at
//! one that forwards requests to it.

mod endless_support;
mod entry_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use heatherring_testutils::loopback::SERVICE_PORT;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::endless_support::Endless;
use crate::endless_support::EndlessBackend;
use crate::endless_support::Written;
use crate::entry_support::PLACE;
use crate::entry_support::SERVICE;
use crate::entry_support::caller::wait_until;
use crate::entry_support::rig::Rig;

const LEASE: Duration = Duration::from_secs(10);

/// Requests of other callers beside an answer without end.
const OTHERS: usize = 20;

struct Owners {
    rig: Rig,
    written: Arc<Written>,
    _backend: EndlessBackend,
}

impl Owners {
    async fn start(entries: usize, endless: Endless) -> Self {
        let mut rig = Rig::start(&vec![PLACE; entries], LEASE).await;
        let address = SocketAddr::new(rig.block.next_vm(), SERVICE_PORT);
        let written = Arc::default();
        let backend = EndlessBackend::start("backend", address, endless, &written).await;
        rig.announce(address).await;
        Self {
            rig,
            written,
            _backend: backend,
        }
    }

    /// Returns the entry VM that callers ask: with two, the one that does not own the backend
    /// server.
    fn asked(&self) -> usize {
        match self.rig.entries.len() {
            1 => 0,
            _ => 1 - self.rig.owner(),
        }
    }

    async fn assert_others_are_served(&self) {
        for number in 0..OTHERS {
            let path = format!("/other-{number}");
            let reply = self.rig.get(self.asked(), &path).await;
            assert_eq!(reply.header("heatherring-outcome"), "answer", "{path}");
        }
    }
}

/// Guards against an answer without end that costs other callers theirs, or never ends.
#[rstest]
#[case::head(1, Endless::Head)]
#[case::header_lines(1, Endless::HeaderLines)]
#[case::interim_answers(1, Endless::InterimAnswers)]
#[case::length(1, Endless::Length)]
#[case::chunks(1, Endless::Chunks)]
#[case::chunk_size(1, Endless::ChunkSize)]
#[case::chunk_extension(1, Endless::ChunkExtension)]
#[case::trailers(1, Endless::Trailers)]
#[case::after_answer(1, Endless::AfterAnswer)]
#[case::forwarded_interim_answers(2, Endless::InterimAnswers)]
#[case::forwarded_length(2, Endless::Length)]
#[case::forwarded_chunks(2, Endless::Chunks)]
#[tokio::test(flavor = "multi_thread")]
async fn test_endless_at_owner_costs_its_own_request(
    #[case] entries: usize,
    #[case] endless: Endless,
) {
    let owners = Owners::start(entries, endless).await;
    let asking = owners.rig.try_get(owners.asked(), "/endless");
    let others = async {
        owners.written.until_begun().await;
        owners.assert_others_are_served().await;
        owners.written.until_ended().await;
    };
    let (reply, ()) = tokio::join!(asking, others);
    if endless != Endless::AfterAnswer
        && let Ok(reply) = reply
    {
        let is_answer = reply.header("heatherring-outcome") == "answer";
        assert!(!is_answer || reply.body.is_err(), "it looks complete");
    }
    if !endless.is_body() {
        owners.written.assert_bounded();
    }
    owners.assert_others_are_served().await;
}

/// Guards against a refusal whose body is read without end.
#[tokio::test(flavor = "multi_thread")]
async fn test_endless_at_owner_refusal_is_read_no_further() {
    let owners = Owners::start(1, Endless::RefusalBody).await;
    let reply = owners.rig.get(0, "/endless").await;
    assert_eq!(reply.header("heatherring-outcome"), "not_run");
    owners.written.until_ended().await;
    owners.written.assert_bounded();
    // A refusal keeps further requests away for a while, as one that ends does.
    wait_until(async || {
        let reply = owners.rig.get(0, "/other").await;
        reply.header("heatherring-outcome") == "answer"
    })
    .await;
}

/// Guards against an answer without end that lasts, and holds a slot, as long as its caller does
/// not read it.
#[rstest]
#[case::length(1, Endless::Length)]
#[case::chunks(1, Endless::Chunks)]
#[case::forwarded_length(2, Endless::Length)]
#[case::forwarded_chunks(2, Endless::Chunks)]
#[tokio::test(flavor = "multi_thread")]
async fn test_endless_at_owner_ends_unread(#[case] entries: usize, #[case] endless: Endless) {
    let owners = Owners::start(entries, endless).await;
    let address = owners.rig.callers(owners.asked());
    let mut stream = TcpStream::connect(address).await.unwrap();
    let req = format!("GET /svc/{SERVICE}/endless HTTP/1.1\r\nhost: {address}\r\n\r\n");
    stream.write_all(req.as_bytes()).await.unwrap();
    owners.written.until_begun().await;
    owners.assert_others_are_served().await;
    owners.written.until_ended().await;
    owners.written.assert_bounded();
    owners
        .rig
        .wait_for_status(owners.rig.owner(), |status| {
            status["known"][0]["in_flight"] == 0
        })
        .await;
    let mut answer = Vec::new();
    // What arrived before a reset counts as well.
    let _ = stream.read_to_end(&mut answer).await;
    assert!(answer.starts_with(b"HTTP/1.1 200"));
    assert!(!answer.ends_with(b"\r\n0\r\n\r\n"), "it looks complete");
}
