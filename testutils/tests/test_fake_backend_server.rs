//! Shows that a fake backend server does what tests rely on.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use heatherring_testutils::answer_fault::EarlyAnswer;
use heatherring_testutils::answer_fault::EarlyAnswerKind;
use heatherring_testutils::answer_fault::EndlessAnswers;
use heatherring_testutils::answer_fault::EndlessPart;
use heatherring_testutils::behaviour::Behaviour;
use heatherring_testutils::behaviour::Spell;
use heatherring_testutils::echo;
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
use rstest::rstest;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpStream;

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
        Self::start_with(slots, service_ms, Behaviour::default()).await
    }

    async fn start_with(slots: u32, service_ms: f64, behaviour: Behaviour) -> Self {
        Self::start_in_spell(slots, service_ms, behaviour, None).await
    }

    async fn start_in_spell(
        slots: u32,
        service_ms: f64,
        behaviour: Behaviour,
        spell: Option<Spell>,
    ) -> Self {
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
            behaviour,
            spell,
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

/// A kept connection on which each answer is read on its own, whichever request it belongs to.
struct KeptConnection {
    stream: BufReader<TcpStream>,
}

#[derive(Debug, Eq, PartialEq)]
struct Answer {
    status: String,
    id: Option<String>,
    outcome: Option<String>,
    body: Vec<u8>,
}

impl KeptConnection {
    async fn open(fixture: &Fixture) -> Self {
        let stream = TcpStream::connect(fixture.address).await.unwrap();
        Self {
            stream: BufReader::new(stream),
        }
    }

    /// Sends a request whose identifier is its nonce.
    async fn send(&mut self, nonce: &str, deadline_ms: u32) {
        let req = format!(
            "GET /strength HTTP/1.1\r\nhost: b1\r\n{}: {nonce}\r\n{}: {nonce}\r\n{}: {deadline_ms}\r\n\r\n",
            echo::NONCE_HEADER,
            echo::REQUEST_ID_HEADER,
            echo::DEADLINE_HEADER,
        );
        self.stream.write_all(req.as_bytes()).await.unwrap();
    }

    async fn read(&mut self) -> Answer {
        let answer = tokio::time::timeout(Duration::from_mins(1), self.read_whole());
        answer.await.unwrap()
    }

    async fn read_whole(&mut self) -> Answer {
        let line = self.read_line().await;
        let mut answer = Answer {
            status: line.strip_prefix("HTTP/1.1 ").unwrap().to_owned(),
            id: None,
            outcome: None,
            body: Vec::new(),
        };
        loop {
            let line = self.read_line().await;
            let Some((name, value)) = line.split_once(':') else {
                assert_eq!(line, "");
                break;
            };
            let value = value.trim();
            match name {
                "content-length" => answer.body.resize(value.parse().unwrap(), 0),
                echo::REQUEST_ID_HEADER => answer.id = Some(value.to_owned()),
                echo::OUTCOME_HEADER => answer.outcome = Some(value.to_owned()),
                _ => {}
            }
        }
        self.stream.read_exact(&mut answer.body).await.unwrap();
        answer
    }

    /// Reads so many bytes.
    async fn read_bytes(&mut self, count: u64) -> Vec<u8> {
        let mut buf = Vec::new();
        let mut bytes = (&mut self.stream).take(count);
        let read = tokio::time::timeout(Duration::from_mins(1), bytes.read_to_end(&mut buf));
        assert_eq!(read.await.unwrap().unwrap() as u64, count);
        buf
    }

    /// Returns whether nothing has arrived that isn't read.
    fn is_silent(&self) -> bool {
        let read = self.stream.get_ref().try_read(&mut [0]);
        let is_blocked = read.is_err_and(|err| err.kind() == ErrorKind::WouldBlock);
        is_blocked && self.stream.buffer().is_empty()
    }

    async fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.stream.read_line(&mut line).await.unwrap();
        line.trim_end().to_owned()
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

#[rstest]
#[case::answered(Behaviour::default(), "200 OK")]
#[case::deadline(Behaviour { slowness: 1_000.0, ..Behaviour::default() }, "504 Gateway Timeout")]
#[case::refused(Behaviour { shed_percent: 100, ..Behaviour::default() }, "503 Service Unavailable")]
#[tokio::test]
async fn test_fake_backend_server_echoes_id(#[case] behaviour: Behaviour, #[case] status: &str) {
    let fixture = Fixture::start_with(1, 1.0, behaviour).await;
    let mut connection = KeptConnection::open(&fixture).await;
    for nonce in ["n1", "n2"] {
        connection.send(nonce, 100).await;
        let answer = connection.read().await;
        assert_eq!(answer.status, status);
        assert_eq!(answer.id.as_deref(), Some(nonce));
    }
}

#[rstest]
#[tokio::test]
async fn test_fake_backend_server_repeats_late(
    #[values(0, 100)] shed_percent: u8,
    #[values(false, true)] repeat_without_id: bool,
) {
    let behaviour = Behaviour {
        shed_percent,
        repeat_percent: 100,
        repeat_without_id,
        ..Behaviour::default()
    };
    let fixture = Fixture::start_with(1, 1.0, behaviour).await;
    let mut connection = KeptConnection::open(&fixture).await;
    connection.send("n1", 60_000).await;
    let first = connection.read().await;
    assert_eq!(first.id.as_deref(), Some("n1"));
    // A whole request on another connection gives a repeat that comes too early the time for it.
    fixture.ask("n0", "60000").await;
    assert!(connection.is_silent());
    fixture.server.set_behaviour(Behaviour::default());
    connection.send("n2", 60_000).await;
    let repeat = connection.read().await;
    let id = first.id.clone().filter(|_| !repeat_without_id);
    assert_eq!(repeat, Answer { id, ..first });
    let real = connection.read().await;
    assert_eq!(real.id.as_deref(), Some("n2"));
    let digest = echo::request_digest("GET", "/strength", "n2", b"");
    echo::check_answer("n2", &digest, &real.body).unwrap();
    let ran = |kind: &LedgerEventKind| matches!(kind, LedgerEventKind::Start(asked) if asked.nonce == "n2");
    fixture.wait_for_kind("start", ran).await;
}

#[tokio::test]
async fn test_fake_backend_server_repeat_comes_before_the_end() {
    let refusing = Behaviour {
        shed_percent: 100,
        repeat_percent: 100,
        ..Behaviour::default()
    };
    let fixture = Fixture::start_with(1, NEVER_MS, refusing).await;
    let mut connection = KeptConnection::open(&fixture).await;
    connection.send("n1", 600_001).await;
    let refusal = connection.read().await;
    fixture.server.set_behaviour(Behaviour::default());
    connection.send("n2", 600_001).await;
    assert_eq!(connection.read().await, refusal);
    let started = |kind: &LedgerEventKind| matches!(kind, LedgerEventKind::Start(_));
    fixture.wait_for_kind("start", started).await;
    drop(connection);
    let cancelled = ended(Finish::Cancelled);
    fixture.wait_for_kind("cancelled", cancelled).await;
}

/// Returns which answers of a connection were repeated.
async fn repeats(repeat_percent: u8) -> Vec<bool> {
    let behaviour = Behaviour {
        repeat_percent,
        ..Behaviour::default()
    };
    let fixture = Fixture::start_with(1, 0.0, behaviour).await;
    let mut connection = KeptConnection::open(&fixture).await;
    let mut repeats = Vec::new();
    for number in 0..50 {
        let nonce = format!("n{number}");
        connection.send(&nonce, 60_000).await;
        let is_repeat = connection.read().await.id.as_ref() != Some(&nonce);
        if is_repeat {
            assert_eq!(connection.read().await.id.as_ref(), Some(&nonce));
        }
        repeats.push(is_repeat);
    }
    repeats
}

#[tokio::test]
async fn test_fake_backend_server_draws_repeats() {
    let drawn = repeats(50).await;
    assert!(drawn.contains(&true) && drawn[1..].contains(&false));
    assert_eq!(repeats(50).await, drawn);
    assert!(!repeats(0).await.contains(&true));
}

#[test]
fn test_fake_backend_server_repeats_nothing_by_default() {
    let behaviour: Behaviour = serde_json::from_str("{}").unwrap();
    assert_eq!(behaviour.repeat_percent, 0);
    assert!(!behaviour.repeat_without_id);
}

#[rstest]
#[case::before(0, false)]
#[case::last_before(1_999, false)]
#[case::first(2_000, true)]
#[case::last(2_999, true)]
#[case::after(3_000, false)]
#[case::second(5_000, true)]
fn test_fake_backend_server_spell_comes_and_goes(#[case] since_start_ms: u64, #[case] is_on: bool) {
    let spell = Spell {
        behaviour: Behaviour::default(),
        off_ms: 2_000,
        on_ms: 1_000,
    };
    assert_eq!(spell.is_on(Duration::from_millis(since_start_ms)), is_on);
}

#[rstest]
#[case::lasting(0, 1, StatusCode::SERVICE_UNAVAILABLE)]
#[case::never(1, 0, StatusCode::OK)]
#[tokio::test]
async fn test_fake_backend_server_spell_replaces_behaviour(
    #[case] off_ms: u64,
    #[case] on_ms: u64,
    #[case] status: StatusCode,
) {
    let behaviour = Behaviour {
        shed_percent: 100,
        ..Behaviour::default()
    };
    let spell = Spell {
        behaviour,
        off_ms,
        on_ms,
    };
    let fixture = Fixture::start_in_spell(1, 1.0, Behaviour::default(), Some(spell)).await;
    assert_eq!(fixture.ask("n1", "60000").await.0, status);
}

fn speaking_first(percent: u8, kind: EarlyAnswerKind) -> Behaviour {
    Behaviour {
        early_answer: Some(EarlyAnswer {
            percent,
            delay_ms: 1,
            kind,
        }),
        ..Behaviour::default()
    }
}

#[rstest]
#[case::unnamed(EarlyAnswerKind::UnnamedRefusal, "503 Service Unavailable", None)]
#[case::empty(EarlyAnswerKind::EmptyNameRefusal, "503 Service Unavailable", Some(""))]
#[case::other(
    EarlyAnswerKind::OtherNameRefusal,
    "503 Service Unavailable",
    Some("not-asked-for")
)]
#[case::misdirected(EarlyAnswerKind::Misdirected, "421 Misdirected Request", None)]
#[case::answer(EarlyAnswerKind::UnnamedAnswer, "200 OK", None)]
#[tokio::test]
async fn test_fake_backend_server_speaks_first(
    #[case] kind: EarlyAnswerKind,
    #[case] status: &str,
    #[case] id: Option<&str>,
) {
    let fixture = Fixture::start_with(1, 1.0, speaking_first(100, kind)).await;
    let mut connection = KeptConnection::open(&fixture).await;
    let early = connection.read().await;
    assert_eq!(early.status, status);
    assert_eq!(early.id.as_deref(), id);
    let is_refusal = early.outcome.as_deref() == Some(echo::NOT_RUN);
    assert_eq!(is_refusal, status.starts_with("503"));
    for nonce in ["n1", "n2"] {
        connection.send(nonce, 60_000).await;
        let real = connection.read().await;
        assert_eq!(real.id.as_deref(), Some(nonce));
        let digest = echo::request_digest("GET", "/strength", nonce, b"");
        echo::check_answer(nonce, &digest, &real.body).unwrap();
    }
    let kinds = fixture.kinds();
    let first = kinds
        .iter()
        .filter(|kind| **kind == LedgerEventKind::SpokeFirst);
    assert_eq!(first.count(), 1);
    let ran = kinds
        .iter()
        .filter(|kind| matches!(kind, LedgerEventKind::Start(_)));
    assert_eq!(ran.count(), 2);
}

/// Returns on which connections, one after another, the server spoke first.
async fn speaks_first(percent: u8) -> Vec<bool> {
    let behaviour = speaking_first(percent, EarlyAnswerKind::UnnamedRefusal);
    let fixture = Fixture::start_with(1, 0.0, behaviour).await;
    let mut first = Vec::new();
    for number in 0..50 {
        let nonce = format!("n{number}");
        let mut connection = KeptConnection::open(&fixture).await;
        connection.send(&nonce, 60_000).await;
        first.push(connection.read().await.id.as_ref() != Some(&nonce));
    }
    first
}

#[tokio::test]
async fn test_fake_backend_server_draws_early_answers() {
    let drawn = speaks_first(50).await;
    assert!(drawn.contains(&true) && drawn.contains(&false));
    assert_eq!(speaks_first(50).await, drawn);
    assert!(!speaks_first(0).await.contains(&true));
    assert!(!speaks_first(100).await.contains(&false));
}

fn endless(percent: u8, part: EndlessPart) -> Behaviour {
    Behaviour {
        endless_answers: Some(EndlessAnswers {
            percent,
            part,
            in_turn: false,
        }),
        ..Behaviour::default()
    }
}

/// Bytes that are taken for no end; more than sockets buffer.
const NO_END_BYTES: u64 = 16 << 20;

#[rstest]
#[case::head(
    EndlessPart::Head,
    "HTTP/1.1 200 OK\r\n",
    "x-filler: 0123456789abcdef0123456789abcdef\r\n"
)]
#[case::interim(
    EndlessPart::Interim,
    "HTTP/1.1 102 Processing\r\n\r\n",
    "HTTP/1.1 102 Processing\r\n\r\n"
)]
#[case::body(
    EndlessPart::Body,
    "HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n",
    "0123456789abcdef"
)]
#[case::chunks(
    EndlessPart::Chunks,
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n",
    "20\r\n0123456789abcdef0123456789abcdef\r\n"
)]
#[case::extension(
    EndlessPart::ChunkExtension,
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n",
    "0123456789abcdef"
)]
#[case::trailers(
    EndlessPart::Trailers,
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n",
    "x-filler: 0123456789abcdef0123456789abcdef\r\n"
)]
#[case::refusal(
    EndlessPart::RefusalBody,
    "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 1000000000000\r\n",
    "0123456789abcdef"
)]
#[case::rest(
    EndlessPart::Rest,
    "HTTP/1.1 200 OK\r\ncontent-length: ",
    "0123456789abcdef"
)]
#[case::rubbish(EndlessPart::Rubbish, "\u{0}", "no http")]
#[tokio::test]
async fn test_fake_backend_server_writes_without_end(
    #[case] part: EndlessPart,
    #[case] opening: &str,
    #[case] unit: &str,
) {
    let fixture = Fixture::start_with(1, 1.0, endless(100, part)).await;
    let mut connection = KeptConnection::open(&fixture).await;
    connection.send("n1", 60_000).await;
    let buf = connection.read_bytes(NO_END_BYTES).await;
    assert!(buf.starts_with(opening.as_bytes()));
    let end = &buf[buf.len() - 1_024..];
    let units = end
        .windows(unit.len())
        .filter(|found| *found == unit.as_bytes());
    assert!(units.count() >= 1_024 / unit.len() / 2);
    let kinds = fixture.kinds();
    let is_refused = part == EndlessPart::RefusalBody;
    let ran = kinds
        .iter()
        .any(|kind| matches!(kind, LedgerEventKind::Start(asked) if asked.nonce == "n1"));
    assert_eq!(ran, !is_refused);
    let shed = kinds
        .iter()
        .any(|kind| matches!(kind, LedgerEventKind::Shed(asked) if asked.nonce == "n1"));
    assert_eq!(shed, is_refused);
    let nonce = "n1".to_owned();
    assert!(kinds.contains(&LedgerEventKind::Endless { nonce, part }));
    // Its slot is free, and others are served beside it.
    fixture.server.set_behaviour(Behaviour::default());
    assert_eq!(fixture.ask("n2", "60000").await.0, StatusCode::OK);
    connection.read_bytes(NO_END_BYTES).await;
}

/// Guards against parts that a client of HTTP would end at once, as no HTTP.
#[rstest]
#[case::body(EndlessPart::Body, StatusCode::OK)]
#[case::chunks(EndlessPart::Chunks, StatusCode::OK)]
#[case::refusal(EndlessPart::RefusalBody, StatusCode::SERVICE_UNAVAILABLE)]
#[tokio::test]
async fn test_fake_backend_server_body_without_end_is_http(
    #[case] part: EndlessPart,
    #[case] status: StatusCode,
) {
    let fixture = Fixture::start_with(1, 1.0, endless(100, part)).await;
    let req = Request::get(format!("http://{}/strength", fixture.address));
    let req = req.header(echo::REQUEST_ID_HEADER, "n1");
    let response = fixture.client.request(req.body(Full::default()).unwrap());
    let response = response.await.unwrap();
    assert_eq!(response.status(), status);
    assert_eq!(response.headers()[echo::REQUEST_ID_HEADER], "n1");
    let mut body = response.into_body();
    let mut bytes = 0;
    while bytes < NO_END_BYTES {
        let frame = body.frame().await.unwrap().unwrap();
        bytes += frame.data_ref().unwrap().len() as u64;
    }
}

/// Guards against a backend server that can't leave while it writes without end.
#[tokio::test]
async fn test_fake_backend_server_leaves_answers_without_end() {
    let fixture = Fixture::start_with(1, 1.0, endless(100, EndlessPart::Body)).await;
    let mut connection = KeptConnection::open(&fixture).await;
    connection.send("n1", 60_000).await;
    connection.read_bytes(NO_END_BYTES).await;
    let left = tokio::time::timeout(Duration::from_mins(1), fixture.server.leave());
    left.await.unwrap();
}

/// Returns which answers, on connections one after another, had no end.
async fn endless_answers(percent: u8) -> Vec<bool> {
    let behaviour = endless(percent, EndlessPart::Rubbish);
    let fixture = Fixture::start_with(1, 0.0, behaviour).await;
    let mut endless = Vec::new();
    for number in 0..50 {
        let mut connection = KeptConnection::open(&fixture).await;
        connection.send(&format!("n{number}"), 60_000).await;
        endless.push(connection.read_bytes(1).await != b"H");
    }
    endless
}

#[tokio::test]
async fn test_fake_backend_server_draws_endless_answers() {
    let drawn = endless_answers(50).await;
    assert!(drawn.contains(&true) && drawn.contains(&false));
    assert_eq!(endless_answers(50).await, drawn);
    assert!(!endless_answers(0).await.contains(&true));
}

#[tokio::test]
async fn test_fake_backend_server_endless_parts_in_turn() {
    let behaviour = Behaviour {
        endless_answers: Some(EndlessAnswers {
            percent: 100,
            part: EndlessPart::Rest,
            in_turn: true,
        }),
        ..Behaviour::default()
    };
    let fixture = Fixture::start_with(1, 0.0, behaviour).await;
    for number in 0..EndlessPart::ALL.len() {
        let mut connection = KeptConnection::open(&fixture).await;
        connection.send(&format!("n{number}"), 60_000).await;
        connection.read_bytes(1).await;
    }
    let kinds = fixture.kinds();
    let parts = kinds.iter().filter_map(|kind| match kind {
        LedgerEventKind::Endless { part, .. } => Some(*part),
        _ => None,
    });
    let mut wanted = EndlessPart::ALL;
    wanted.rotate_left(7);
    assert_eq!(parts.collect::<Vec<_>>(), wanted);
}

#[test]
fn test_fake_backend_server_behaviour_is_read() {
    let behaviour: Behaviour = serde_json::from_str("{}").unwrap();
    assert_eq!(behaviour, Behaviour::default());
    let faulty = r#"{
        "early_answer": {"percent": 50, "delay_ms": 2, "kind": "unnamed_refusal"},
        "endless_answers": {"percent": 10, "part": "chunk_extension"}
    }"#;
    let behaviour: Behaviour = serde_json::from_str(faulty).unwrap();
    let early = EarlyAnswer {
        percent: 50,
        delay_ms: 2,
        kind: EarlyAnswerKind::UnnamedRefusal,
    };
    let endless = EndlessAnswers {
        percent: 10,
        part: EndlessPart::ChunkExtension,
        in_turn: false,
    };
    assert_eq!(behaviour.early_answer, Some(early));
    assert_eq!(behaviour.endless_answers, Some(endless));
}
