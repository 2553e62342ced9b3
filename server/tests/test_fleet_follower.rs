//! Tests of the choice of the control replica that an entry VM follows, and of the updates that it
//! applies.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use heatherring_lib::clock::Clock;
use heatherring_lib::clock::SystemClock;
use heatherring_lib::direct_dispatch::DispatchConfig;
use heatherring_lib::dispatch_policy::DispatchPolicy;
use heatherring_lib::fleet_record::EntryRecord;
use heatherring_lib::heartbeat_timing::HeartbeatTiming;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::VmName;
use heatherring_lib::numbered_set::SetUpdate;
use heatherring_lib::presence::Absent;
use heatherring_lib::replica_choice::ReplicaSite;
use heatherring_lib::resend_budget::ResendLimit;
use heatherring_lib::settings::Security;
use heatherring_server::backend_pool::BackendPool;
use heatherring_server::crash_tracker::CrashTracker;
use heatherring_server::dispatch_task::DispatchHandle;
use heatherring_server::fleet_follower;
use heatherring_server::fleet_follower::Followed;
use heatherring_server::fleet_follower::FollowerSetup;
use heatherring_server::peer_channel::PeerChannels;
use heatherring_server::peer_security::PeerSecurity;
use heatherring_server::proto::AdmitReply;
use heatherring_server::proto::AdmitRequest;
use heatherring_server::proto::DrawTokensReply;
use heatherring_server::proto::DrawTokensRequest;
use heatherring_server::proto::FollowReply;
use heatherring_server::proto::FollowRequest;
use heatherring_server::proto::NoteSuspectsReply;
use heatherring_server::proto::NoteSuspectsRequest;
use heatherring_server::proto::ObserveReply;
use heatherring_server::proto::ObserveRequest;
use heatherring_server::proto::ProposeReply;
use heatherring_server::proto::ProposeRequest;
use heatherring_server::proto::ReadRolloutsReply;
use heatherring_server::proto::ReadRolloutsRequest;
use heatherring_server::proto::ReadRoutesReply;
use heatherring_server::proto::ReadRoutesRequest;
use heatherring_server::proto::ReportReply;
use heatherring_server::proto::ReportRequest;
use heatherring_server::proto::ShareLimitsReply;
use heatherring_server::proto::ShareLimitsRequest;
use heatherring_server::proto::fleet_server::Fleet;
use heatherring_server::proto::fleet_server::FleetServer;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;

/// Time limit after which a test fails. No result depends on it otherwise.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A fake control replica that reports the replicas in `sites`, itself among them.
#[derive(Clone, Debug)]
struct FakeReplica {
    address: SocketAddr,
    sites: Arc<watch::Sender<Vec<ReplicaSite>>>,
    current: Arc<AtomicBool>,
    /// Whether it leaves all requests unanswered, like a frozen or partitioned replica.
    silent: Arc<AtomicBool>,
    /// Number of follow requests of any kind, probes included, received while it was silent.
    requests_while_silent: Arc<AtomicUsize>,
    /// Number of follow requests answered with the state; probes are not counted.
    follow_requests: Arc<AtomicUsize>,
    /// Number of its presence updates; it reports the entry VM of the same number as absent.
    number: u64,
}

impl FakeReplica {
    async fn start(number: u64, sites: &Arc<watch::Sender<Vec<ReplicaSite>>>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let replica = Self {
            address: listener.local_addr().unwrap(),
            sites: Arc::clone(sites),
            current: Arc::new(AtomicBool::new(true)),
            silent: Arc::default(),
            requests_while_silent: Arc::default(),
            follow_requests: Arc::default(),
            number,
        };
        let serving = tonic::transport::Server::builder()
            .add_service(FleetServer::new(replica.clone()))
            .serve_with_incoming(TcpListenerStream::new(listener));
        tokio::spawn(serving);
        replica
    }

    fn follow_requests(&self) -> usize {
        self.follow_requests.load(Ordering::SeqCst)
    }

    /// Returns whether it has received a follow request while it was silent.
    fn was_contacted_while_silent(&self) -> bool {
        self.requests_while_silent.load(Ordering::SeqCst) > 0
    }

    async fn wait_for_follow_request(&self) {
        let before = self.follow_requests();
        let next_request = async {
            while self.follow_requests() == before {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, next_request)
            .await
            .unwrap();
    }
}

#[tonic::async_trait]
impl Fleet for FakeReplica {
    async fn read_rollouts(
        &self,
        _: Request<ReadRolloutsRequest>,
    ) -> Result<Response<ReadRolloutsReply>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn observe(&self, _: Request<ObserveRequest>) -> Result<Response<ObserveReply>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn share_limits(
        &self,
        _: Request<ShareLimitsRequest>,
    ) -> Result<Response<ShareLimitsReply>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn follow(
        &self,
        request: Request<FollowRequest>,
    ) -> Result<Response<FollowReply>, Status> {
        let request = request.into_inner();
        if self.silent.load(Ordering::SeqCst) {
            self.requests_while_silent.fetch_add(1, Ordering::SeqCst);
            return std::future::pending().await;
        }
        let current = self.current.load(Ordering::SeqCst);
        let mut reply = FollowReply {
            current,
            replicas_digest: 1,
            replicas_encoded: postcard::to_stdvec(&*self.sites.borrow()).unwrap(),
            ..FollowReply::default()
        };
        if request.list_only || !current {
            return Ok(Response::new(reply));
        }
        self.follow_requests.fetch_add(1, Ordering::SeqCst);
        if request.known_presence == self.number {
            tokio::time::sleep(Duration::from_millis(20)).await;
        } else {
            let update = SetUpdate {
                whole: true,
                number: self.number,
                added: vec![Absent::Entry(VmName::new(format!("entry-{}", self.number)))],
                removed: Vec::new(),
            };
            reply.absent_encoded = postcard::to_stdvec(&update).unwrap();
        }
        reply.presence_number = self.number;
        Ok(Response::new(reply))
    }

    async fn propose(&self, _: Request<ProposeRequest>) -> Result<Response<ProposeReply>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn read_routes(
        &self,
        _: Request<ReadRoutesRequest>,
    ) -> Result<Response<ReadRoutesReply>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn report(&self, _: Request<ReportRequest>) -> Result<Response<ReportReply>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn note_suspects(
        &self,
        _: Request<NoteSuspectsRequest>,
    ) -> Result<Response<NoteSuspectsReply>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn draw_tokens(
        &self,
        _: Request<DrawTokensRequest>,
    ) -> Result<Response<DrawTokensReply>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn admit(&self, _: Request<AdmitRequest>) -> Result<Response<AdmitReply>, Status> {
        Err(Status::unimplemented(""))
    }
}

fn follow(seed: SocketAddr) -> (Followed, watch::Sender<bool>) {
    let places: BTreeMap<PlaceName, RegionName> = ["near", "far"]
        .map(|name| (PlaceName::new(name), RegionName::new(name)))
        .into();
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let vm = VmName::new("entry");
    let config = DispatchConfig {
        heartbeat: HeartbeatTiming::DEFAULT_INTERVAL,
        vm: vm.clone(),
        region: RegionName::new("near"),
        places: places.clone(),
        resends: ResendLimit {
            ratio: 0.1,
            slack: 10.0,
            window: None,
        },
        policy: DispatchPolicy::default(),
        link_rate: None,
    };
    let (ready_tx, ready) = watch::channel(true);
    let (_, seeds) = watch::channel(vec![seed]);
    let security = PeerSecurity::from_settings(&Security::OpenLoopback).unwrap();
    let (crashes, _) = CrashTracker::new(vm.clone(), Arc::clone(&clock), BackendPool::spawn());
    let followed = fleet_follower::spawn(FollowerSetup {
        headroom: watch::channel(None).1,
        vm,
        record: EntryRecord {
            place: PlaceName::new("near"),
            region: RegionName::new("near"),
            callers: seed,
            life: 1,
        },
        places,
        seeds,
        ready,
        channels: PeerChannels::new(security),
        clock: Arc::clone(&clock),
        dispatch: DispatchHandle::spawn(config, clock, None),
        crashes,
    });
    (followed, ready_tx)
}

/// Guards against entry VMs that follow a replica in another region although a near one is usable.
/// When replicas were chosen in turn, wherever they were, the updates of control crossed regions
/// for two entry VMs in three. Here the entry VM knows only a far replica from its settings and
/// learns of a near one, which is then out of contact with the other replicas for a while.
#[tokio::test]
async fn test_near_replica_is_followed_left_while_unusable_and_returned_to() {
    let (sites, _) = watch::channel(Vec::new());
    let sites = Arc::new(sites);
    let near = FakeReplica::start(1, &sites).await;
    let far = FakeReplica::start(2, &sites).await;
    let site = |address, place| ReplicaSite {
        address,
        place: Some(PlaceName::new(place)),
    };
    sites.send_replace(vec![site(near.address, "near"), site(far.address, "far")]);
    let (followed, _ready) = follow(far.address);
    near.wait_for_follow_request().await;
    assert_eq!(
        far.follow_requests(),
        0,
        "the far replica received a follow request for the state"
    );
    near.current.store(false, Ordering::SeqCst);
    far.wait_for_follow_request().await;
    // The presence updates of the replica now followed replace those of the other.
    let mut out_of_service = followed.out_of_service.clone();
    let is_far = |vms: &Arc<BTreeSet<VmName>>| vms.iter().map(VmName::as_str).eq(["entry-2"]);
    let switched = tokio::time::timeout(TEST_TIMEOUT, out_of_service.wait_for(is_far)).await;
    // The returned guard blocks updates of the watched value until it is dropped.
    assert!(matches!(switched, Ok(Ok(_))));
    drop(switched);
    near.current.store(true, Ordering::SeqCst);
    near.wait_for_follow_request().await;
}

/// Guards against an entry VM that gets no updates while all replicas near it are lost, because it
/// tries them one after the other before it turns to a far one.
#[tokio::test]
async fn test_far_replica_is_followed_when_all_near_ones_are_lost() {
    let (sites, _) = watch::channel(Vec::new());
    let sites = Arc::new(sites);
    let mut near = Vec::new();
    for number in 1..=4 {
        near.push(FakeReplica::start(number, &sites).await);
    }
    let far = FakeReplica::start(5, &sites).await;
    let site = |replica: &FakeReplica, place| ReplicaSite {
        address: replica.address,
        place: Some(PlaceName::new(place)),
    };
    let mut named: Vec<ReplicaSite> = near.iter().map(|near| site(near, "near")).collect();
    named.push(site(&far, "far"));
    sites.send_replace(named);
    let (_followed, _ready) = follow(far.address);
    let is_followed = async {
        while near.iter().all(|near| near.follow_requests() < 2) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, is_followed)
        .await
        .unwrap();
    let lost = near.iter().filter(|near| near.follow_requests() == 0);
    let lost: Vec<FakeReplica> = lost.cloned().collect();
    for replica in &near {
        replica.silent.store(true, Ordering::SeqCst);
    }
    far.wait_for_follow_request().await;
    let others = lost
        .iter()
        .filter(|replica| replica.was_contacted_while_silent());
    assert!(
        others.count() <= 1,
        "more than one other lost near replica was tried before the far one"
    );
}
