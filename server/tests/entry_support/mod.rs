//! An entry VM in this process, between a fake control and scripted backend servers.

#![allow(dead_code, reason = "each test file uses a part of the rig")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use heatherring_lib::clock::SystemClock;
use heatherring_lib::id::ContentDigest;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::SessionId;
use heatherring_lib::id::VmName;
use heatherring_lib::manifest_text::read_manifest;
use heatherring_lib::settings::EntryLimits;
use heatherring_lib::settings::EntryListen;
use heatherring_lib::settings::EntrySettings;
use heatherring_lib::settings::LogSettings;
use heatherring_lib::settings::Security;
use heatherring_lib::view::ControlView;
use heatherring_lib::view::EntryInfo;
use heatherring_lib::view::EntrySession;
use heatherring_lib::view::ManifestChange;
use heatherring_lib::view::ManifestInForce;
use heatherring_lib::view::ViewChange;
use heatherring_lib::view::ViewChangeKind;
use heatherring_server::entry_process::EntryError;
use heatherring_server::entry_process::run_entry;
use heatherring_server::proto::SyncBatchReply;
use heatherring_server::proto::SyncBatchRequest;
use heatherring_server::proto::SyncOutcome;
use heatherring_server::proto::SyncReply;
use heatherring_server::proto::SyncRequest;
use heatherring_server::proto::session_server::Session;
use heatherring_server::proto::session_server::SessionServer;
use heatherring_server::shutdown::Shutdown;
use heatherring_server::shutdown::ShutdownTrigger;
use heatherring_testutils::loopback::BACKEND_SERVERS_PORT;
use heatherring_testutils::loopback::CALLERS_PORT;
use heatherring_testutils::loopback::CONTROL_PORT;
use heatherring_testutils::loopback::FORWARD_PORT;
use heatherring_testutils::loopback::LoopbackBlock;
use heatherring_testutils::loopback::PEERS_PORT;
use heatherring_testutils::loopback::SERVICE_PORT;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_stream::wrappers::TcpListenerStream;

pub const SERVICE: &str = "registry";
pub const PLACE: &str = "place-a";
pub const REGION: &str = "region";
/// A place in another region, over narrow links; it serves nothing.
pub const FAR_PLACE: &str = "far-place";
const FAR_REGION: &str = "far-region";
/// Bytes of the answer of [`Script::Large`]; many seconds on the narrow links.
const LARGE: usize = 20_000;
pub const DEADLINE_MS: u64 = 1_500;
/// Time that [`Script::Slow`] takes; well below the deadline.
const SLOW: Duration = Duration::from_millis(500);
const CLUSTER: [u8; 16] = [7; 16];

/// Longest time for which a state that must come is waited for.
const BOUND: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(10);

pub fn manifest_text() -> String {
    json!({
        "version": 1,
        "deployment": "test",
        "places": {PLACE: {"region": REGION}, "place-b": {"region": REGION}, FAR_PLACE: {"region": FAR_REGION}},
        "services": {SERVICE: {
            "operations": [{
                "name": "read", "method": "GET", "path_prefix": "/",
                "idempotent": true, "deadline_ms": DEADLINE_MS,
            }],
            "max_slots_per_backend": 3,
            "max_connections_per_backend": 10,
            "warm_up_ms": 1,
            "limits": {PLACE: {"max_in_flight": 6, "max_per_second": 1000}},
        }},
        "links": [
            {"from": REGION, "to": FAR_REGION, "max_kilobytes_per_second": 1},
            {"from": FAR_REGION, "to": REGION, "max_kilobytes_per_second": 1},
        ],
        "client_blocks": [{"block": "127.0.0.0/8", "place": PLACE}],
        "look_ups": {"cache_ms": 100, "ticket_ms": 1000},
    })
    .to_string()
}

/// Says how the fake control answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    Grant,
    NoQuorum,
    Silent,
    SessionLost,
}

#[derive(Debug, Default)]
struct ControlState {
    view: ControlView,
    changes: Vec<ViewChange>,
    applied: BTreeMap<SessionId, Revision>,
}

impl ControlState {
    fn commit(&mut self, kind: impl FnOnce(Revision) -> ViewChangeKind) -> Revision {
        let revision = self.view.revision.next();
        let kind = kind(revision);
        let change = ViewChange { revision, kind };
        self.view.apply(&change).expect("a change that fits");
        self.changes.push(change);
        revision
    }

    fn settled(&self) -> Revision {
        let applied = self.applied.values().min();
        applied.copied().unwrap_or(self.view.revision)
    }
}

/// Stands in for control: one replica that keeps sessions in memory.
#[derive(Clone, Debug)]
pub struct FakeControl {
    pub address: SocketAddr,
    pub lease: Duration,
    state: Arc<Mutex<ControlState>>,
    mode: Arc<watch::Sender<Mode>>,
    news: Arc<watch::Sender<()>>,
    pub asked: Arc<AtomicUsize>,
}

impl FakeControl {
    pub async fn start(address: SocketAddr, lease: Duration) -> Self {
        let control = Self {
            address,
            lease,
            state: Arc::default(),
            mode: Arc::new(watch::Sender::new(Mode::Grant)),
            news: Arc::new(watch::Sender::new(())),
            asked: Arc::default(),
        };
        let listener = TcpListener::bind(address).await.expect("a free address");
        let serving = tonic::transport::Server::builder()
            .add_service(SessionServer::new(control.clone()))
            .serve_with_incoming(TcpListenerStream::new(listener));
        tokio::spawn(serving);
        control
    }

    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
        self.news.send_replace(());
    }

    pub fn submit(&self, text: &str) {
        let manifest = read_manifest("manifest", text).expect("a valid manifest");
        self.lock().commit(|revision| {
            let whole = ManifestInForce {
                revision,
                digest: ContentDigest::of(text.as_bytes()),
                manifest,
            };
            ViewChangeKind::Manifest(ManifestChange::Whole(Arc::new(whole)))
        });
        self.news.send_replace(());
    }

    /// Makes the next whole view older than the one that was given.
    pub fn forget_view(&self) {
        let mut state = self.lock();
        state.view = ControlView::default();
        state.changes.clear();
        state.applied.clear();
    }

    /// Returns whether the VM has a session.
    pub fn has_session(&self, vm: &VmName) -> bool {
        let view = self.view();
        view.sessions.values().any(|session| session.info.vm == *vm)
    }

    pub fn view(&self) -> ControlView {
        self.lock().view.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ControlState> {
        self.state.lock().expect("no panic under the lock")
    }

    fn open(&self, info: EntryInfo) -> SessionId {
        let mut state = self.lock();
        let same_vm = |session: &&EntrySession| session.info.vm == info.vm;
        let old = state.view.sessions.values().find(same_vm).map(|old| old.id);
        if let Some(old) = old {
            state.commit(|_| ViewChangeKind::SessionLapsed(old));
            state.applied.remove(&old);
        }
        let revision = state.commit(|revision| {
            ViewChangeKind::SessionOpened(EntrySession {
                id: SessionId(revision.0),
                info,
                leaving: false,
            })
        });
        SessionId(revision.0)
    }

    fn reply(&self, session: SessionId, applied: Revision, known: Revision) -> Option<SyncReply> {
        let state = self.lock();
        let settled = state.settled();
        let fresh = applied == Revision::default();
        let newer = state.changes.iter().filter(|c| c.revision > applied);
        let changes: Vec<_> = newer.collect();
        if !fresh && changes.is_empty() && settled <= known {
            return None;
        }
        let encode = |change: &&ViewChange| postcard::to_stdvec(change).expect("plain data");
        Some(SyncReply {
            outcome: SyncOutcome::Granted.into(),
            cluster_id: CLUSTER.to_vec(),
            session: session.0,
            lease_ms: u32::try_from(self.lease.as_millis()).expect("a short lease"),
            settled_revision: settled.0,
            view_encoded: if fresh {
                postcard::to_stdvec(&state.view).expect("plain data")
            } else {
                Vec::new()
            },
            changes_encoded: if fresh {
                Vec::new()
            } else {
                changes.iter().map(encode).collect()
            },
        })
    }
}

fn refusal(outcome: SyncOutcome) -> SyncReply {
    SyncReply {
        outcome: outcome.into(),
        cluster_id: CLUSTER.to_vec(),
        ..SyncReply::default()
    }
}

#[tonic::async_trait]
impl Session for FakeControl {
    async fn sync_batch(
        &self,
        _request: tonic::Request<SyncBatchRequest>,
    ) -> Result<tonic::Response<SyncBatchReply>, tonic::Status> {
        Err(tonic::Status::unimplemented("too few entry VMs for relays"))
    }

    async fn sync(
        &self,
        request: tonic::Request<SyncRequest>,
    ) -> Result<tonic::Response<SyncReply>, tonic::Status> {
        let request = request.into_inner();
        self.asked.fetch_add(1, Ordering::Relaxed);
        let mut news = self.news.subscribe();
        let mode = *self.mode.borrow();
        match mode {
            Mode::NoQuorum => return Ok(tonic::Response::new(refusal(SyncOutcome::NoQuorum))),
            Mode::SessionLost if request.session != 0 => {
                self.mode.send_replace(Mode::Grant);
                return Ok(tonic::Response::new(refusal(SyncOutcome::SessionLost)));
            }
            Mode::Grant | Mode::SessionLost => {}
            Mode::Silent => std::future::pending().await,
        }
        let mut session = SessionId(request.session);
        if request.session == 0 {
            let info = postcard::from_bytes(&request.entry_encoded).expect("an entry's info");
            session = self.open(info);
        }
        {
            let mut state = self.lock();
            let applied = Revision(request.applied_revision);
            state.applied.insert(session, applied);
            let staying = state
                .view
                .sessions
                .get(&session)
                .is_some_and(|s| !s.leaving);
            if request.closing {
                state.commit(|_| ViewChangeKind::SessionClosed(session));
                state.applied.remove(&session);
                return Ok(tonic::Response::new(SyncReply {
                    session: session.0,
                    ..refusal(SyncOutcome::Granted)
                }));
            }
            if request.leaving && staying {
                state.commit(|_| ViewChangeKind::SessionLeaving(session));
            }
        }
        self.news.send_replace(());
        let applied = Revision(request.applied_revision);
        let known = Revision(request.known_settled);
        let until = tokio::time::Instant::now() + Duration::from_millis(request.wait_ms.into());
        loop {
            news.borrow_and_update();
            let over = tokio::time::Instant::now() >= until;
            if let Some(reply) = self.reply(session, applied, known) {
                return Ok(tonic::Response::new(reply));
            }
            if over || *self.mode.borrow() != mode {
                return Ok(tonic::Response::new(SyncReply {
                    session: session.0,
                    lease_ms: u32::try_from(self.lease.as_millis()).expect("a short lease"),
                    settled_revision: known.0,
                    ..refusal(SyncOutcome::Granted)
                }));
            }
            let _ = tokio::time::timeout_at(until, news.changed()).await;
        }
    }
}

/// Says what a scripted backend server does with one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Script {
    /// A whole answer with a length.
    Whole,
    /// A whole answer in chunks.
    Chunked,
    /// A length, half of the body, and the end of the connection.
    ShortLength,
    /// One chunk, and the end of the connection instead of the last chunk.
    ShortChunked,
    /// No length and no chunks: the end of the connection ends the body.
    CloseDelimited,
    /// The head and a part of the body, and nothing more.
    Stalled,
    /// 503 with the header that proves "not run".
    Refuse,
    /// The end of the connection instead of an answer.
    HangUp,
    /// A whole answer of [`LARGE`] bytes.
    Large,
    /// A whole answer after a time.
    Slow,
    /// No answer at all.
    NoAnswer,
    /// A whole answer, and the end of the connection right after it.
    WholeThenClose,
}

/// A backend server that follows a script, one step a request; the last one repeats.
#[derive(Clone, Debug)]
pub struct ScriptedBackend {
    pub address: SocketAddr,
    pub connections: Arc<AtomicUsize>,
    pub requests: Arc<AtomicUsize>,
    /// Connections that the other side has closed.
    pub closed: Arc<AtomicUsize>,
    script: Arc<[Script]>,
}

impl ScriptedBackend {
    pub async fn start(address: SocketAddr, script: &[Script]) -> Self {
        let backend = Self {
            address,
            connections: Arc::default(),
            requests: Arc::default(),
            closed: Arc::default(),
            script: script.into(),
        };
        let listener = TcpListener::bind(address).await.expect("a free address");
        let serving = backend.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                serving.connections.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        backend
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut head = Vec::new();
        loop {
            let mut buf = [0; 4_096];
            match stream.read(&mut buf).await {
                Ok(0) | Err(_) => {
                    self.closed.fetch_add(1, Ordering::SeqCst);
                    return;
                }
                Ok(count) => head.extend_from_slice(&buf[..count]),
            }
            if !head.ends_with(b"\r\n\r\n") {
                continue;
            }
            let path = path_of(&head);
            head.clear();
            let number = self.requests.fetch_add(1, Ordering::SeqCst);
            let script = self.script[number.min(self.script.len() - 1)];
            if !answer(&mut stream, script, &path).await {
                return;
            }
        }
    }
}

fn path_of(head: &[u8]) -> String {
    let text = String::from_utf8_lossy(head);
    text.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// Returns whether the connection goes on.
async fn answer(stream: &mut TcpStream, script: Script, path: &str) -> bool {
    let mut body = format!("answer to {path}");
    if script == Script::Large {
        body = "x".repeat(LARGE);
    }
    let length = body.len();
    let text = match script {
        Script::Whole | Script::Large | Script::Slow | Script::WholeThenClose => {
            format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}")
        }
        Script::Chunked => format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n"
        ),
        Script::ShortLength | Script::Stalled => {
            let twice = 2 * length;
            format!("HTTP/1.1 200 OK\r\ncontent-length: {twice}\r\n\r\n{body}")
        }
        Script::ShortChunked => {
            format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n")
        }
        Script::CloseDelimited => format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{body}"),
        Script::Refuse => "HTTP/1.1 503 Service Unavailable\r\n\
             heatherring-outcome: not_run\r\ncontent-length: 4\r\n\r\nbusy"
            .to_owned(),
        Script::HangUp | Script::NoAnswer => String::new(),
    };
    if script == Script::Slow {
        tokio::time::sleep(SLOW).await;
    }
    let written = stream.write_all(text.as_bytes()).await.is_ok();
    let ends = matches!(
        script,
        Script::ShortLength
            | Script::ShortChunked
            | Script::CloseDelimited
            | Script::HangUp
            | Script::WholeThenClose
    );
    written && !ends
}

/// Runs entry VMs against one fake control, all in this process.
pub struct Rig {
    pub block: LoopbackBlock,
    pub control: FakeControl,
    pub entries: Vec<RunningEntry>,
    backends: usize,
}

pub struct RunningEntry {
    pub settings: EntrySettings,
    pub trigger: ShutdownTrigger,
    pub task: JoinHandle<Result<(), EntryError>>,
}

impl Rig {
    /// Starts one entry VM in each of `places`, and waits until all are served by
    /// control and know the manifest.
    pub async fn start(places: &[&str], lease: Duration) -> Self {
        let mut block = LoopbackBlock::claim().expect("free addresses");
        let address = SocketAddr::new(block.next_vm(), CONTROL_PORT);
        let control = FakeControl::start(address, lease).await;
        control.submit(&manifest_text());
        let mut rig = Self {
            block,
            control,
            entries: Vec::new(),
            backends: 0,
        };
        for place in places {
            let settings = rig.settings(place);
            rig.start_entry(settings);
        }
        let count = places.len();
        for entry in 0..count {
            rig.wait_for_status(entry, |status| {
                status["entries"] == count
                    && status["revision"] == status["settled_revision"]
                    && status["manifest_version"] == 1
            })
            .await;
        }
        rig
    }

    pub fn settings(&mut self, place: &str) -> EntrySettings {
        let ip = self.block.next_vm();
        EntrySettings {
            vm: VmName::new(format!("entry-{}", self.entries.len() + 1)),
            place: PlaceName::new(place),
            region: RegionName::new(if place == FAR_PLACE {
                FAR_REGION
            } else {
                REGION
            }),
            listen: EntryListen {
                callers: SocketAddr::new(ip, CALLERS_PORT),
                backend_servers: SocketAddr::new(ip, BACKEND_SERVERS_PORT),
                peers: SocketAddr::new(ip, PEERS_PORT),
                forward: SocketAddr::new(ip, FORWARD_PORT),
            },
            advertise: None,
            control: vec![self.control.address],
            security: Security::OpenLoopback,
            relay_min_entries: 8,
            limits: EntryLimits::default(),
            log: LogSettings::default(),
            metrics: None,
        }
    }

    /// Starts an entry VM on a runtime of its own, which ends with it as a process does:
    /// what it didn't wait for is cut off.
    pub fn start_entry(&mut self, settings: EntrySettings) {
        let (trigger, shutdown) = Shutdown::new();
        let running = run_entry(settings.clone(), Arc::new(SystemClock), shutdown);
        let task = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .worker_threads(2)
                .enable_all()
                .build()
                .expect("a runtime");
            let result = runtime.block_on(running);
            runtime.shutdown_background();
            result
        });
        self.entries.push(RunningEntry {
            settings,
            trigger,
            task,
        });
    }

    pub fn callers(&self, entry: usize) -> SocketAddr {
        self.entries[entry].settings.listen.callers
    }

    /// Starts a scripted backend server and waits until its slots may be used.
    pub async fn start_backend(&mut self, script: &[Script]) -> ScriptedBackend {
        self.backends += 1;
        let address = SocketAddr::new(self.block.next_vm(), SERVICE_PORT);
        let backend = ScriptedBackend::start(address, script).await;
        let to = self.entries[0].settings.listen.backend_servers;
        let body = json!({
            "backend": format!("backend-{address}"), "service": SERVICE, "place": PLACE,
            "address": address, "slots": 3, "max_connections": 10, "state": "ready",
        });
        tokio::spawn(async move {
            loop {
                let text = body.to_string();
                let _ = send(to, "POST", "/announce", &text).await;
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        });
        for entry in 0..self.entries.len() {
            self.wait_for_status(entry, |status| {
                let load = &status["known"][0];
                load["slots"] == 3 * self.backends && load["in_flight"] == 0
            })
            .await;
        }
        backend
    }

    /// Returns the entry VM that owns the backend servers.
    pub fn owner(&self) -> usize {
        let view = self.control.view();
        let service = heatherring_lib::id::ServiceName::new(SERVICE);
        let owner = heatherring_lib::ownership::owner(&view, &service, &PlaceName::new(PLACE))
            .expect("one");
        let is_owner = |entry: &RunningEntry| entry.settings.vm == owner.info.vm;
        self.entries.iter().position(is_owner).expect("an owner")
    }

    pub async fn status(&self, entry: usize) -> Option<Value> {
        let address = self.entries[entry].settings.listen.backend_servers;
        let reply = send(address, "GET", "/status", "").await.ok()?;
        serde_json::from_slice(&reply.body.ok()?).ok()
    }

    pub async fn wait_for_status(&self, entry: usize, holds: impl Fn(&Value) -> bool) {
        wait_until(async || {
            self.status(entry)
                .await
                .is_some_and(|status| holds(&status))
        })
        .await;
    }

    pub async fn try_get(&self, entry: usize, path: &str) -> std::io::Result<Reply> {
        let path = format!("/svc/{SERVICE}{path}");
        send(self.callers(entry), "GET", &path, "").await
    }

    pub async fn get(&self, entry: usize, path: &str) -> Reply {
        let reply = self.try_get(entry, path).await;
        reply.expect("the entry VM answers")
    }
}

/// Waits until something that must come true is.
pub async fn wait_until(mut holds: impl AsyncFnMut() -> bool) {
    let give_up = tokio::time::Instant::now() + BOUND;
    while !holds().await {
        assert!(tokio::time::Instant::now() < give_up, "it never came true");
        tokio::time::sleep(POLL).await;
    }
}

/// Holds an answer; the body is an error if it broke off.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Result<Bytes, hyper::Error>,
}

impl Reply {
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).expect("the header is there");
        value.to_str().expect("a text")
    }

    pub fn json(&self) -> Value {
        let body = self.body.as_ref().expect("a whole body");
        serde_json::from_slice(body).expect("JSON")
    }

    pub fn text(&self) -> String {
        let body = self.body.as_ref().expect("a whole body");
        String::from_utf8(body.to_vec()).expect("a text")
    }
}

pub async fn connect(address: SocketAddr) -> std::io::Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}

pub fn request(method: &str, address: SocketAddr, path: &str, body: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("a valid request")
}

pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> std::io::Result<Reply> {
    let mut sender = connect(address).await?;
    let response = sender
        .send_request(request(method, address, path, body))
        .await
        .map_err(std::io::Error::other)?;
    let (head, body) = response.into_parts();
    Ok(Reply {
        status: head.status,
        headers: head.headers,
        body: collect(body).await,
    })
}

pub async fn collect(body: Incoming) -> Result<Bytes, hyper::Error> {
    Ok(body.collect().await?.to_bytes())
}
