//! A control replica that handles the announcements of backend servers by a state that lacks what
//! is committed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use heatherring_lib::clock::Clock;
use heatherring_lib::command::Command;
use heatherring_lib::command::CommandKind;
use heatherring_lib::control_state::ControlState;
use heatherring_lib::fleet_command::FleetCommand;
use heatherring_lib::fleet_record::BackendChange;
use heatherring_lib::fleet_record::BackendRecord;
use heatherring_lib::fleet_record::BackendState;
use heatherring_lib::heartbeat_timing::HeartbeatTiming;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::ClusterId;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::VersionName;
use heatherring_lib::id::VmName;
use heatherring_lib::presence_report::ReplicaEndpoints;
use heatherring_lib::raft::Raft;
use heatherring_lib::raft_config::DurableState;
use heatherring_lib::raft_config::RaftConfig;
use heatherring_lib::raft_config::founding_writes;
use heatherring_lib::raft_effects::Input;
use heatherring_lib::raft_message::ReplicaInfo;
use heatherring_lib::raft_write_queue::Completed;
use heatherring_lib::raft_write_queue::WriteQueue;
use heatherring_server::control_work::WorkMeter;
use heatherring_server::fleet_control::Announcement;
use heatherring_server::fleet_control::FleetControl;
use heatherring_server::fleet_control::FleetError;
use heatherring_server::node_request::Committed;
use heatherring_server::node_request::NodeHandle;
use heatherring_server::node_request::NodeRequest;
use heatherring_server::node_request::NodeRequests;
use heatherring_server::peer_channel::PeerChannels;
use heatherring_server::peer_security::PeerSecurity;
use heatherring_server::presence_task;
use heatherring_server::presence_task::PresenceSetup;
use heatherring_server::published_state;
use heatherring_server::published_state::StateReader;
use heatherring_server::rollout_task;
use heatherring_server::rollout_task::RolloutSetup;
use rstest::rstest;

const OWN: ReplicaId = ReplicaId(1);
const CLUSTER: ClusterId = ClusterId([7; 16]);
const BACKEND: &str = "backend-1";

/// A clock that stands still.
#[derive(Debug)]
struct StoppedClock(Instant);

impl Clock for StoppedClock {
    fn now(&self) -> Instant {
        self.0
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_hours(1)
    }
}

/// Returns a reader of the state of a replica that leads as the only voter, and has applied this
/// announcement at most.
fn published(now: Instant, known: Option<BackendRecord>) -> StateReader {
    let info = ReplicaInfo {
        vm: VmName::new("control-1"),
        address: address(1),
    };
    let mut durable = DurableState::default();
    for write in founding_writes(BTreeMap::from([(OWN, info)]), None) {
        durable.apply(write).unwrap();
    }
    let cfg = RaftConfig {
        id: OWN,
        heartbeat: Duration::from_millis(100),
        election_min: Duration::from_secs(1),
        election_max: Duration::from_secs(2),
        max_append_bytes: 512,
        snapshot_chunk_bytes: 64,
        seed: 1,
        max_voters: usize::MAX,
        seats: None,
    };
    let mut raft = Raft::new(cfg, durable, now).unwrap();
    let mut writes = WriteQueue::default();
    let fx = raft.step(now, Input::Tick);
    let _ = writes.push(fx);
    while writes.begin().is_some() {
        let Completed { position, .. } = writes.complete();
        if let Some(position) = position {
            let fx = raft.step(now, Input::Persisted(position));
            let _ = writes.push(fx);
        }
    }
    let mut state = ControlState::default();
    while state.revision() < raft.commit() {
        state.apply_noop(state.revision().next()).unwrap();
    }
    let mut log = CommittedLog { state };
    if let Some(record) = known {
        log.announce(record);
    }
    let (publisher, reader) = published_state::channel();
    publisher.publish(&raft, &log.state);
    reader
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Starts the operations of a replica that knows of this announcement at most.
fn replica_that_knows(known: Option<BackendRecord>) -> (FleetControl, NodeRequests) {
    let now = Instant::now();
    let clock: Arc<dyn Clock> = Arc::new(StoppedClock(now));
    let published = published(now, known);
    let (node, requests) = NodeHandle::channel();
    let channels = PeerChannels::new(PeerSecurity::open_loopback());
    let work = WorkMeter::new(Arc::clone(&clock));
    let presence = presence_task::spawn(PresenceSetup {
        cluster: CLUSTER,
        vm: VmName::new("control-1"),
        endpoints: ReplicaEndpoints {
            address: address(1),
            announcements: None,
            place: PlaceName::new("alm-a"),
        },
        clock: Arc::clone(&clock),
        published: published.clone(),
        node: node.clone(),
        channels: channels.clone(),
        timing: HeartbeatTiming::default(),
        work: work.clone(),
    });
    let rollouts = rollout_task::spawn(RolloutSetup {
        cluster: CLUSTER,
        clock: Arc::clone(&clock),
        published: published.clone(),
        presence: presence.clone(),
        node: node.clone(),
        channels,
    });
    let control = FleetControl::new(clock, None, published, node, presence, rollouts, work);
    (control, requests)
}

fn record(born: u64, sequence: u64, state: BackendState) -> BackendRecord {
    BackendRecord {
        service: ServiceName::new("registry"),
        address: address(2),
        place: PlaceName::new("alm-a"),
        slots: 3,
        state,
        born,
        sequence,
        cold_for: Duration::ZERO,
        version: VersionName::new(""),
    }
}

/// A state and the commands that lead to it.
#[derive(Debug, Default)]
struct CommittedLog {
    state: ControlState,
}

impl CommittedLog {
    fn commit(&mut self, kind: CommandKind) -> Committed {
        let revision = self.state.revision().next();
        let command = Command { wall_ms: 0, kind };
        let response = self.state.apply(revision, &command).unwrap().response;
        Committed { revision, response }
    }

    fn announce(&mut self, record: BackendRecord) {
        let change = BackendChange {
            backend: BackendName::new(BACKEND),
            record,
            reclaims: false,
        };
        let command = FleetCommand::Announce(vec![change]);
        self.commit(CommandKind::Fleet(Box::new(command)));
    }

    /// Commits the replica's proposals while it handles a call; returns the result of that.
    async fn commit_during<T>(
        &mut self,
        mut requests: NodeRequests,
        call: impl Future<Output = T>,
    ) -> T {
        tokio::pin!(call);
        loop {
            let request = tokio::select! {
                result = &mut call => return result,
                request = requests.recv(true) => request,
            };
            if let Some(NodeRequest::Propose { command, reply, .. }) = request {
                let _ = reply.send(Ok(self.commit(command)));
            }
        }
    }

    fn backend(&self) -> Option<&BackendRecord> {
        self.state.fleet().backend(&BackendName::new(BACKEND))
    }
}

/// Guards against the confirmation of a draining announcement that has no effect once it is
/// committed, since a later one of the same backend server is committed by then.
#[rstest]
#[case::ready_since(7, 2, true)]
#[case::ready_before(2, 7, false)]
#[tokio::test]
async fn test_replica_behind_confirms_a_drain_by_what_is_committed(
    #[case] committed: u64,
    #[case] sequence: u64,
    #[case] is_overtaken: bool,
) {
    let mut log = CommittedLog::default();
    log.announce(record(0, committed, BackendState::Ready));
    let (control, requests) = replica_that_knows(None);
    let draining = control.announce(Announcement {
        backend: BackendName::new(BACKEND),
        record: record(0, sequence, BackendState::Draining),
    });
    let result = log.commit_during(requests, draining).await;
    let overtaken = matches!(result, Err(FleetError::Overtaken));
    assert_eq!(overtaken, is_overtaken, "{result:?}");
    let known = log.backend().unwrap().state;
    assert_eq!(known != BackendState::Draining, is_overtaken);
}

/// Guards against a withdrawal that names no incarnation and ends an earlier one than is committed:
/// the backend server was told that it is gone, and stays in use.
#[rstest]
#[case::none_known(None)]
#[case::earlier_one_known(Some(1_000))]
#[tokio::test]
async fn test_replica_behind_withdraws_the_incarnation_that_is_committed(
    #[case] known: Option<u64>,
) {
    let mut log = CommittedLog::default();
    // The clock of the backend server may be ahead.
    log.announce(record(u64::MAX - 1, 1, BackendState::Ready));
    let known = known.map(|born| record(born, 1, BackendState::Ready));
    let (control, requests) = replica_that_knows(known);
    let withdrawal = control.withdraw(BackendName::new(BACKEND), None);
    log.commit_during(requests, withdrawal).await.unwrap();
    assert_eq!(log.backend(), None);
}

/// Guards against the end of an incarnation that started after the one that withdraws.
#[tokio::test]
async fn test_replica_behind_withdraws_no_later_incarnation_than_named() {
    let mut log = CommittedLog::default();
    log.announce(record(2_000, 1, BackendState::Ready));
    let (control, requests) = replica_that_knows(None);
    let withdrawal = control.withdraw(BackendName::new(BACKEND), Some(1_000));
    log.commit_during(requests, withdrawal).await.unwrap();
    assert_eq!(log.backend().unwrap().born, 2_000);
}
