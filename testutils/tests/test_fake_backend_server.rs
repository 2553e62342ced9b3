//! Shows that a fake backend server does what tests rely on.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use heatherring_testutils::echo;
use heatherring_testutils::fake_backend_server::Behaviour;
use heatherring_testutils::fake_backend_server::FakeBackendServer;
use heatherring_testutils::fake_backend_server::FakeBackendServerConfig;
use heatherring_testutils::ledger;
use heatherring_testutils::ledger::Finish;
use heatherring_testutils::ledger::Ledger;
use heatherring_testutils::ledger::LedgerEventKind;
use heatherring_testutils::loopback::LoopbackBlock;
use heatherring_testutils::loopback::SERVICE_PORT;
use heatherring_testutils::service_time::ServiceTime;
use heatherring_testutils::wait::wait_for;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

const NEVER_MS: f64 = 600_000.0;

struct Fixture {
    server: FakeBackendServer,
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    folder: tempfile::TempDir,
    _block: LoopbackBlock,
}

impl Fixture {
    async fn start(slots: u32, service_ms: f64) -> Self {
        let mut block = LoopbackBlock::claim().unwrap();
        let address = SocketAddr::new(block.next_vm(), SERVICE_PORT);
        let folder = tempfile::tempdir().unwrap();
        let ledger = Ledger::create(&folder.path().join("ledger")).unwrap();
        let config = FakeBackendServerConfig {
            backend: "b1".to_owned(),
            service: "registry".to_owned(),
            place: "fko-hakata".to_owned(),
            address,
            slots,
            max_connections: 8,
            announce_to: Vec::new(),
            service_time: ServiceTime::Fixed { ms: service_ms },
            seed: 1,
            answer_bytes: 100,
            starting_ms: 0,
            connection_ms: 1,
            linger_ms: 0,
            behaviour: Behaviour::default(),
        };
        Self {
            server: FakeBackendServer::start(config, ledger).await.unwrap(),
            address,
            client: Client::builder(TokioExecutor::new()).build_http(),
            folder,
            _block: block,
        }
    }

    async fn ask(&self, nonce: &str, deadline_ms: &str) -> (StatusCode, Bytes) {
        let req = Request::get(format!("http://{}/strength", self.address))
            .header(echo::NONCE_HEADER, nonce)
            .header(echo::DEADLINE_HEADER, deadline_ms);
        let response = self.client.request(req.body(Full::default()).unwrap());
        let response = response.await.unwrap();
        let status = response.status();
        (
            status,
            response.into_body().collect().await.unwrap().to_bytes(),
        )
    }

    fn kinds(&self) -> Vec<LedgerEventKind> {
        let path: &Path = &self.folder.path().join("ledger");
        let events = ledger::read(path).unwrap();
        events.into_iter().map(|event| event.kind).collect()
    }

    async fn wait_for_kind(&self, what: &str, wanted: impl Fn(&LedgerEventKind) -> bool) {
        wait_for(what, async || {
            self.kinds().iter().any(&wanted).then_some(())
        })
        .await
        .unwrap();
    }
}

fn ended(finish: Finish) -> impl Fn(&LedgerEventKind) -> bool {
    move |kind| matches!(kind, LedgerEventKind::End { finish: found, .. } if *found == finish)
}

#[tokio::test]
async fn test_fake_backend_server_whole_answer() {
    let fixture = Fixture::start(1, 1.0).await;
    let (status, body) = fixture.ask("n1", "1000").await;
    assert_eq!(status, StatusCode::OK);
    let digest = echo::request_digest("GET", "/strength", "n1", b"");
    echo::check_answer("n1", &digest, &body).unwrap();
    // A cut, a foreign and a changed answer are told apart from a whole one.
    echo::check_answer("n1", &digest, &body[..body.len() - 1]).unwrap_err();
    echo::check_answer("n2", &digest, &body).unwrap_err();
    let other = echo::request_digest("GET", "/other", "n1", b"");
    echo::check_answer("n1", &other, &body).unwrap_err();
}

#[tokio::test]
async fn test_fake_backend_server_overrun() {
    let fixture = Fixture::start(1, NEVER_MS).await;
    let running = fixture.ask("n1", "600001");
    let refused = async {
        let started = |kind: &LedgerEventKind| matches!(kind, LedgerEventKind::Start(_));
        fixture.wait_for_kind("start", started).await;
        fixture.ask("n2", "1000").await
    };
    let (status, _) = tokio::select! {
        ended = running => panic!("the first request ended: {ended:?}"),
        refused = refused => refused,
    };
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    let overrun = |kind: &LedgerEventKind| matches!(kind, LedgerEventKind::Overrun(asked) if asked.nonce == "n2");
    fixture.wait_for_kind("overrun", overrun).await;
    // The first request's future is dropped by now, and its connection with it.
    let cancelled = ended(Finish::Cancelled);
    fixture.wait_for_kind("cancelled", cancelled).await;
}

#[tokio::test]
async fn test_fake_backend_server_deadline() {
    let fixture = Fixture::start(1, NEVER_MS).await;
    let (status, _) = fixture.ask("n1", "10").await;
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
    fixture
        .wait_for_kind("deadline", ended(Finish::Deadline))
        .await;
}

#[tokio::test]
async fn test_fake_backend_server_leave_finishes() {
    let fixture = Fixture::start(1, 300.0).await;
    let Fixture {
        server,
        address,
        client,
        folder,
        _block,
    } = fixture;
    let req = Request::get(format!("http://{address}/strength")).header(echo::NONCE_HEADER, "n1");
    let running = tokio::spawn(client.request(req.body(Full::<Bytes>::default()).unwrap()));
    let path = folder.path().join("ledger");
    wait_for("start", async || {
        let events = ledger::read(&path).unwrap();
        let mut events = events.iter();
        events
            .any(|event| matches!(event.kind, LedgerEventKind::Start(_)))
            .then_some(())
    })
    .await
    .unwrap();
    tokio::time::timeout(Duration::from_mins(1), server.leave())
        .await
        .unwrap();
    assert_eq!(running.await.unwrap().unwrap().status(), StatusCode::OK);
}
