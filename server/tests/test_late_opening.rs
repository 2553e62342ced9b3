//! Openings of a session that arrive after the entry VM has given them up.

mod control_support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use heatherring_lib::clock::SystemClock;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::SessionId;
use heatherring_lib::id::VmName;
use heatherring_lib::ownership;
use heatherring_lib::settings::ControlSettings;
use heatherring_lib::settings::ControlTiming;
use heatherring_lib::view::ControlView;
use heatherring_lib::view::EntryInfo;
use heatherring_server::control_format;
use heatherring_server::control_process::run_control;
use heatherring_server::control_session::ControlSession;
use heatherring_server::control_session::SessionGoal;
use heatherring_server::entry_state::EntryState;
use heatherring_server::peer_security::PeerSecurity;
use heatherring_server::proto::SyncOutcome;
use heatherring_server::proto::SyncReply;
use heatherring_server::proto::SyncRequest;
use heatherring_server::proto::session_client::SessionClient;
use heatherring_server::shutdown::Shutdown;
use heatherring_server::shutdown::ShutdownTrigger;
use heatherring_server::sync_target::SyncTargets;
use heatherring_testutils::loopback::CONTROL_PORT;
use heatherring_testutils::loopback::LoopbackBlock;
use heatherring_testutils::wait::wait_for;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;

const PLACE: &str = "alm-a";
const OTHER_PLACE: &str = "alm-b";

/// Length of the preface with which an HTTP/2 client begins.
const PREFACE_BYTES: usize = 24;
/// Length of the head of an HTTP/2 frame.
const FRAME_HEAD_BYTES: usize = 9;
/// Type of the frame with which the answer to a request begins.
const HEADERS: u8 = 1;
/// Type of the frame that gives up a request.
const RST_STREAM: u8 = 3;

/// Returns the type of an HTTP/2 frame and the length of its content.
fn frame(head: &[u8]) -> (u8, usize) {
    let length = u32::from_be_bytes([0, head[0], head[1], head[2]]);
    (head[3], length as usize)
}

/// Returns what an HTTP/2 client sent before it gave up its first request.
fn before_reset(sent: &[u8]) -> &[u8] {
    let mut end = PREFACE_BYTES;
    loop {
        let (kind, length) = frame(&sent[end..]);
        if kind == RST_STREAM {
            return &sent[..end];
        }
        end += FRAME_HEAD_BYTES + length;
    }
}

/// Reads until the answer to a request begins.
async fn read_answer(stream: &mut TcpStream) {
    loop {
        let mut head = [0; FRAME_HEAD_BYTES];
        stream.read_exact(&mut head).await.unwrap();
        let (kind, length) = frame(&head);
        if kind == HEADERS {
            return;
        }
        stream.read_exact(&mut vec![0; length]).await.unwrap();
    }
}

fn settings(folder: &Path, listen: SocketAddr) -> ControlSettings {
    let settings = control_support::settings("control-1", listen, folder.join("data"));
    ControlSettings {
        place: PlaceName::new(PLACE),
        timing: ControlTiming {
            session_lease_ms: 20_000,
            ..settings.timing
        },
        ..settings
    }
}

fn entry(vm: &str, place: &str) -> EntryInfo {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    EntryInfo {
        vm: VmName::new(vm),
        place: PlaceName::new(place),
        region: RegionName::new("almaty"),
        callers: address,
        backend_servers: address,
        peers: address,
        forward: address,
    }
}

/// Starts control, of one replica, and returns what stops it.
fn start_control(folder: &Path, address: SocketAddr) -> ShutdownTrigger {
    let settings = settings(folder, address);
    control_format::init(&settings).unwrap();
    let (trigger, shutdown) = Shutdown::new();
    tokio::spawn(run_control(settings, Arc::new(SystemClock), shutdown, None));
    trigger
}

/// Asks control once for a session; `None` if it can't answer.
async fn open(control: SocketAddr, info: &EntryInfo, after: Option<u64>) -> Option<SyncReply> {
    let request = SyncRequest {
        entry_encoded: postcard::to_stdvec(info).unwrap(),
        opens_after: after,
        ..SyncRequest::default()
    };
    let client = SessionClient::connect(format!("http://{control}")).await;
    let reply = client.ok()?.sync(request).await.ok()?.into_inner();
    (reply.outcome() != SyncOutcome::NoQuorum).then_some(reply)
}

/// Opens a session of another entry VM, and returns the view that it begins with.
async fn view_of_another(control: SocketAddr) -> ControlView {
    let another = entry("entry-2", OTHER_PLACE);
    let reply = wait_for("a quorum", async || open(control, &another, None).await);
    postcard::from_bytes(&reply.await.unwrap().view_encoded).unwrap()
}

/// Keeps a session of an entry VM with `replicas`, and returns it once it is open.
async fn keep_session(replicas: Vec<SocketAddr>) -> SessionId {
    let (publish, mut state) = watch::channel(EntryState::default());
    let (events, mut events_rx) = mpsc::unbounded_channel();
    let (goal, goal_rx) = watch::channel(SessionGoal::Serve);
    let session = ControlSession::new(
        entry("entry-1", PLACE),
        PeerSecurity::open_loopback(),
        SyncTargets::new(replicas, usize::MAX),
        Arc::new(SystemClock),
        publish,
        events,
        goal_rx,
    );
    tokio::spawn(session.run());
    tokio::spawn(async move {
        while events_rx.recv().await.is_some() {}
        drop(goal);
    });
    let opened = state.wait_for(|state| state.lease.session().is_some());
    opened.await.unwrap().lease.session().unwrap()
}

/// Guards against groups that an opening which was given up takes from the session that is held.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_late_opening_takes_no_groups() {
    let folder = tempfile::tempdir().unwrap();
    let mut block = LoopbackBlock::claim().unwrap();
    let control = SocketAddr::new(block.next_vm(), CONTROL_PORT);
    let _trigger = start_control(folder.path(), control);
    let slow_path = SocketAddr::new(block.next_vm(), CONTROL_PORT);
    let listener = TcpListener::bind(slow_path).await.unwrap();
    let held_back = tokio::spawn(async move {
        let mut bytes = Vec::new();
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.read_to_end(&mut bytes).await.unwrap();
        bytes
    });
    let held = keep_session(vec![slow_path, control]).await;
    let bytes = held_back.await.unwrap();
    let mut late = TcpStream::connect(control).await.unwrap();
    late.write_all(before_reset(&bytes)).await.unwrap();
    read_answer(&mut late).await;
    let view = view_of_another(control).await;
    let service = ServiceName::new("kiosk");
    let owner = ownership::owner(&view, &service, &PlaceName::new(PLACE));
    assert_eq!(owner.map(|session| session.id), Some(held));
}

/// Guards against two sessions of an entry VM whose openings arrive together.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_late_opening_beside_another_opens_one_session() {
    let folder = tempfile::tempdir().unwrap();
    let mut block = LoopbackBlock::claim().unwrap();
    let control = SocketAddr::new(block.next_vm(), CONTROL_PORT);
    let _trigger = start_control(folder.path(), control);
    view_of_another(control).await;
    let vms: Vec<_> = (0..8).map(|n| entry(&format!("vm-{n}"), PLACE)).collect();
    let mut openings = JoinSet::new();
    for info in vms.iter().cycle().take(64) {
        let info = info.clone();
        openings.spawn(async move { open(control, &info, Some(0)).await });
    }
    openings.join_all().await;
    let view = view_of_another(control).await;
    let opened = view.sessions.values().map(|session| &session.info.vm);
    let opened: Vec<_> = opened.filter(|vm| vm.as_str() != "entry-2").collect();
    let distinct: BTreeSet<_> = opened.iter().collect();
    assert_eq!((opened.len(), distinct.len()), (vms.len(), vms.len()));
}

/// Guards against an entry VM that gets no session because one of its earlier process is open.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_late_opening_check_lets_the_next_process_open() {
    let folder = tempfile::tempdir().unwrap();
    let mut block = LoopbackBlock::claim().unwrap();
    let control = SocketAddr::new(block.next_vm(), CONTROL_PORT);
    let _trigger = start_control(folder.path(), control);
    let first = keep_session(vec![control]).await;
    let second = keep_session(vec![control]).await;
    assert!(second > first);
    let again = open(control, &entry("entry-1", PLACE), Some(first.0)).await;
    let refused = again.expect("an answer");
    assert_eq!(refused.outcome(), SyncOutcome::OpenedSince);
    assert!(refused.revision >= second.0);
}
