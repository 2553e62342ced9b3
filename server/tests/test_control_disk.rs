//! Tests of a control replica whose disk fails or stalls while it runs.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::clock::SystemClock;
use heatherring_lib::command::CommandKind;
use heatherring_lib::fleet_command::FleetCommand;
use heatherring_lib::fleet_record::BackendChange;
use heatherring_lib::fleet_record::BackendRecord;
use heatherring_lib::fleet_record::BackendState;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::ClusterId;
use heatherring_lib::id::ManifestVersion;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::id::Revision;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::VersionName;
use heatherring_lib::id::VmName;
use heatherring_lib::raft_config::bootstrap_writes;
use heatherring_lib::raft_effects::Refusal;
use heatherring_lib::raft_message::ReplicaInfo;
use heatherring_lib::route_manifest::CallerLimits;
use heatherring_lib::route_manifest::RouteChange;
use heatherring_lib::route_manifest::RouteContent;
use heatherring_lib::settings::ControlTiming;
use heatherring_lib::view::EntryInfo;
use heatherring_server::control_node::ControlNode;
use heatherring_server::control_node::ControlNodeError;
use heatherring_server::control_node::NodeConfig;
use heatherring_server::control_node::VoterPolicy;
use heatherring_server::data_folder::FORMAT_VERSION;
use heatherring_server::data_folder::Identity;
use heatherring_server::log_disk::LogDisk;
use heatherring_server::log_disk::format;
use heatherring_server::node_request::Committed;
use heatherring_server::node_request::DEFERRED_QUEUE_LENGTH;
use heatherring_server::node_request::NodeError;
use heatherring_server::node_request::NodeHandle;
use heatherring_server::node_request::SyncAnswer;
use heatherring_server::node_request::SyncCall;
use heatherring_server::node_request::SyncSubject;
use heatherring_server::peer_channel::PeerChannels;
use heatherring_server::peer_links::PeerLinks;
use heatherring_server::peer_security::PeerSecurity;
use heatherring_testutils::wait::wait_for;
use rstest::rstest;
use support::FaultyDisk;
use support::Unsynced;
use tokio::task::JoinHandle;

const IDENTITY: Identity = Identity {
    format: FORMAT_VERSION,
    cluster: ClusterId([7; 16]),
    replica: ReplicaId(42),
};

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn formatted_disk() -> FaultyDisk {
    let info = ReplicaInfo {
        vm: VmName::new("control-1"),
        address: address(),
    };
    let writes = bootstrap_writes(IDENTITY.replica, info);
    format(FaultyDisk::default(), IDENTITY, &writes).unwrap()
}

/// Starts a cluster of one replica that stores its log on `disk`.
fn start(disk: &FaultyDisk) -> (NodeHandle, JoinHandle<Result<(), ControlNodeError>>) {
    let (log, recovered) = LogDisk::open(disk.clone()).unwrap();
    let channels = PeerChannels::new(PeerSecurity::open_loopback());
    let links = PeerLinks::new(IDENTITY.cluster, IDENTITY.replica, address(), channels);
    let cfg = NodeConfig {
        timing: ControlTiming::default(),
        snapshot_every: 1_000,
        seed: 1,
        voters: VoterPolicy::Operators,
    };
    let node = ControlNode::new(cfg, Arc::new(SystemClock), log, recovered, links).unwrap();
    let (handle, rx) = NodeHandle::channel();
    (handle, tokio::spawn(node.run(rx)))
}

fn opening() -> CommandKind {
    CommandKind::OpenSession(EntryInfo {
        vm: VmName::new("entry-1"),
        place: PlaceName::new("alm-a"),
        region: RegionName::new("Almaty"),
        callers: address(),
        backend_servers: address(),
        peers: address(),
        forward: address(),
    })
}

async fn open_session(handle: &NodeHandle) {
    wait_for("the session to be opened", async || {
        handle.propose(opening()).await.ok()
    })
    .await
    .unwrap();
}

async fn sessions(disk: &FaultyDisk) -> usize {
    let (handle, _task) = start(disk);
    wait_for("the state to be readable", async || {
        let read = handle.read(|state| state.view().sessions.len()).await;
        read.ok()
    })
    .await
    .unwrap()
}

/// Generates a test for each way in which the disk can fail.
macro_rules! failing_disk_cases {
    ($($name:ident: $fail:expr;)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                // Guards against the loss of a command that was reported as committed: the
                // disk of a running replica fails, the replica acknowledges a command before
                // or despite the failed write, and the VM crashes and restarts.
                let disk = formatted_disk();
                let (handle, task) = start(&disk);
                open_session(&handle).await;
                let fail: fn(&FaultyDisk) = $fail;
                fail(&disk);
                let answer = handle.propose(opening()).await;
                assert!(matches!(answer, Err(NodeError::Stopped { .. })), "{answer:?}");
                let ended = task.await.unwrap();
                assert!(matches!(ended, Err(ControlNodeError::Disk { .. })), "{ended:?}");
                let restarted = disk.crash(Unsynced::Cut(0), false);
                assert_eq!(sessions(&restarted).await, 1);
            }
        )*
    };
}

failing_disk_cases! {
    test_failed_sync_answers_nothing: FaultyDisk::fail_syncs;
    test_vanished_disk_answers_nothing: |disk| disk.fail_after(0);
}

/// Guards against a replica that ends, or acknowledges a command without having recorded it, while
/// its disk is full: the command that met the full disk is answered once there is room, later ones
/// are refused as absent, and reads go on.
#[rstest]
#[tokio::test]
async fn test_full_disk_answers_no_command_and_ends_nothing(#[values(0, 20)] written: usize) {
    let disk = formatted_disk();
    let (handle, task) = start(&disk);
    open_session(&handle).await;
    disk.refuse_after(0, written);
    let unclear = tokio::spawn({
        let handle = handle.clone();
        async move { handle.propose(opening()).await }
    });
    wait_for("the full disk to be noticed", async || {
        let (status, _) = handle.status().await.ok()?;
        status.replicas[0].disk_full.then_some(())
    })
    .await
    .unwrap();
    let later = handle.propose(opening()).await;
    assert!(
        matches!(
            &later,
            Err(NodeError::Refused {
                reason: Refusal::DisksFull,
                ..
            })
        ),
        "{later:?}"
    );
    assert!(!unclear.is_finished());
    let read = handle.read(|state| state.view().sessions.len()).await;
    assert_eq!(read.unwrap(), 1);
    let crashed = disk.crash(Unsynced::Kept, true);
    assert_eq!(sessions(&crashed).await, 1);

    disk.free();
    unclear.await.unwrap().unwrap();
    wait_for("commands to be accepted again", async || {
        handle.propose(opening()).await.ok()
    })
    .await
    .unwrap();
    let (status, _) = handle.status().await.unwrap();
    assert!(!status.replicas[0].disk_full);
    assert!(!task.is_finished());
    let held = handle.read(|state| state.view().sessions.len()).await;
    let restarted = disk.crash(Unsynced::Cut(0), false);
    assert_eq!(sessions(&restarted).await, held.unwrap());
}

/// Guards against a planned stop that waits for room on a full disk.
#[tokio::test]
async fn test_full_disk_does_not_hold_up_a_planned_stop() {
    let disk = formatted_disk();
    let (handle, task) = start(&disk);
    open_session(&handle).await;
    disk.refuse_after(0, 0);
    let unclear = tokio::spawn({
        let handle = handle.clone();
        async move { handle.propose(opening()).await }
    });
    handle.leave().await;
    let ended = task.await.unwrap();
    assert!(ended.is_ok(), "{ended:?}");
    let answer = unclear.await.unwrap();
    assert!(answer.is_err(), "{answer:?}");
}

/// Guards against the leases of all entry VMs expiring at once, so that callers are refused
/// everywhere although all control and entry processes run.
///
/// This happens if a replica handles nothing while it writes its records. Opening a session
/// can take seconds to become durable: 7 to 9 s were observed on replicas that share a disk with
/// others. Renewals that arrive meanwhile get no answer, although they need no record, only a
/// proof that the replica leads. While most replicas are writing, no renewal can be granted
/// until their disks are done.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_renewals_are_granted_while_records_are_written() {
    let disk = formatted_disk();
    let (handle, _task) = start(&disk);
    open_session(&handle).await;
    let read = handle.read(|state| *state.view().sessions.keys().next().unwrap());
    let session = read.await.unwrap();
    let renewal = || SyncCall {
        subject: SyncSubject::Renew(session),
        applied: Revision(session.0),
        known_settled: Revision(session.0),
        wait: Duration::ZERO,
        leaving: false,
        closing: false,
    };
    let before = handle.sync(renewal()).await;
    assert!(
        matches!(before, Ok(SyncAnswer::Granted { .. })),
        "{before:?}"
    );
    disk.hold_syncs();
    let opening = tokio::spawn({
        let handle = handle.clone();
        async move { handle.propose(opening()).await }
    });
    wait_for("a sync to block", async || {
        disk.is_sync_held().then_some(())
    })
    .await
    .unwrap();
    let lease = ControlTiming::default().session_lease();
    let renewed = tokio::time::timeout(lease, handle.sync(renewal())).await;
    disk.release_syncs();
    opening.await.unwrap().unwrap();
    assert!(
        matches!(renewed, Ok(Ok(SyncAnswer::Granted { .. }))),
        "{renewed:?}"
    );
}

/// Guards against a manifest that is decided only after all announcements of a fleet that starts or
/// restarts.
#[tokio::test]
async fn test_manifest_is_decided_before_a_flood_of_announcements() {
    let disk = formatted_disk();
    let (handle, _task) = start(&disk);
    open_session(&handle).await;
    // Nothing is handled between these calls, which do not wait.
    let flood: Vec<_> = (0..10_000_u64)
        .map(|number| tokio::spawn(announce(handle.clone(), number)))
        .collect();
    let change = tokio::spawn({
        let handle = handle.clone();
        async move { handle.propose_fleet(manifest()).await }
    });
    let decided = change.await.unwrap().unwrap();
    let mut before = 0;
    let mut refused = 0;
    for announced in flood {
        match announced.await.unwrap() {
            Ok(committed) => before += usize::from(committed.revision < decided.revision),
            Err(NodeError::Busy) => refused += 1,
            Err(error) => panic!("{error}"),
        }
    }
    assert_eq!(before, 0);
    assert_eq!(refused, 10_000 - DEFERRED_QUEUE_LENGTH);
}

async fn announce(handle: NodeHandle, number: u64) -> Result<Committed, NodeError> {
    let record = BackendRecord {
        service: ServiceName::new("service"),
        address: address(),
        place: PlaceName::new("place"),
        slots: 3,
        state: BackendState::Ready,
        born: 1,
        sequence: 1,
        cold_for: Duration::ZERO,
        version: VersionName::new(""),
    };
    let change = BackendChange {
        backend: BackendName::new(format!("backend-{number}")),
        record,
        reclaims: false,
    };
    let command = FleetCommand::AnnounceVersions(vec![change.into()]);
    handle.propose_fleet(command).await
}

fn manifest() -> FleetCommand {
    FleetCommand::ChangeRoutes(RouteChange {
        version: ManifestVersion(1),
        base: ManifestVersion(0),
        content: RouteContent::Whole {
            routes: BTreeMap::new(),
            services: BTreeMap::new(),
            limits: CallerLimits::default(),
        },
    })
}
