//! Requests for tokens over gRPC to control replicas whose replies are slow, lost or missing.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::clock::SystemClock;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::TeamName;
use heatherring_lib::id::VmName;
use heatherring_lib::replica_choice::ReplicaSite;
use heatherring_lib::settings::Security;
use heatherring_lib::team::TeamLimit;
use heatherring_lib::team_share::LimitShare;
use heatherring_lib::team_share::LimitTolerance;
use heatherring_lib::token_cache::LimitDecision;
use heatherring_lib::token_shard::Draw;
use heatherring_lib::token_shard::Drawn;
use heatherring_lib::token_shard::TokenShard;
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
use heatherring_server::token_task::TokenHandle;
use heatherring_server::token_task::TokenSetup;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;

const REPLICAS: usize = 3;

const LIMIT: TeamLimit = TeamLimit {
    rate: 30.0,
    burst: 30.0,
};

/// Time for which requests may wait, longer than any test takes in a run without faults.
const LONG_WAIT: Duration = Duration::from_secs(20);

/// How the replies of a stand-in travel.
#[derive(Clone, Copy, Debug)]
enum Replies {
    /// They take this long.
    Slow(Duration),
    /// They take this long, and each one of so many is lost.
    Lossy(Duration, u32),
    /// There are none.
    Missing,
}

/// A control replica that only issues tokens.
#[derive(Clone, Debug)]
struct StandIn {
    replies: Replies,
    tokens: Arc<Mutex<TokenShard>>,
    requests: Arc<AtomicU32>,
}

impl StandIn {
    async fn start(replies: Replies) -> (Self, SocketAddr) {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        // Its bucket is full.
        let began = Instant::now().checked_sub(Duration::from_mins(1)).unwrap();
        let stand_in = Self {
            replies,
            tokens: Arc::new(Mutex::new(TokenShard::new(began))),
            requests: Arc::default(),
        };
        let serving = tonic::transport::Server::builder()
            .add_service(FleetServer::new(stand_in.clone()))
            .serve_with_incoming(TcpListenerStream::new(listener));
        tokio::spawn(serving);
        (stand_in, address)
    }

    fn issue(&self, draws: &[Draw]) -> Vec<Drawn> {
        let share = LimitShare::of(&LIMIT, &LimitTolerance::default(), REPLICAS);
        let mut tokens = self.tokens.lock().unwrap();
        let issued = draws.iter();
        issued
            .map(|draw| tokens.draw(Instant::now(), &share, draw))
            .collect()
    }
}

#[tonic::async_trait]
impl Fleet for StandIn {
    async fn draw_tokens(
        &self,
        request: Request<DrawTokensRequest>,
    ) -> Result<Response<DrawTokensReply>, Status> {
        let number = self.requests.fetch_add(1, Ordering::SeqCst);
        let draws: Vec<Draw> = postcard::from_bytes(&request.into_inner().draws_encoded).unwrap();
        let issued = self.issue(&draws);
        match self.replies {
            Replies::Slow(delay) => tokio::time::sleep(delay).await,
            Replies::Lossy(delay, every) if !number.is_multiple_of(every) => {
                tokio::time::sleep(delay).await;
            }
            Replies::Lossy(..) | Replies::Missing => std::future::pending().await,
        }
        Ok(Response::new(DrawTokensReply {
            drawn_encoded: postcard::to_stdvec(&issued).unwrap(),
        }))
    }

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

    async fn follow(&self, _: Request<FollowRequest>) -> Result<Response<FollowReply>, Status> {
        Err(Status::unimplemented(""))
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

    async fn admit(&self, _: Request<AdmitRequest>) -> Result<Response<AdmitReply>, Status> {
        Err(Status::unimplemented(""))
    }
}

/// Starts the replicas and the task that requests tokens from them.
async fn start(replies: [Replies; REPLICAS]) -> (TokenHandle, watch::Sender<Vec<ReplicaSite>>) {
    let place = PlaceName::new("fko-hakata");
    let mut sites = Vec::new();
    for replies in replies {
        let (_, address) = StandIn::start(replies).await;
        sites.push(ReplicaSite {
            address,
            place: Some(place.clone()),
        });
    }
    let (sites, followed) = watch::channel(sites);
    let security = PeerSecurity::from_settings(&Security::OpenLoopback).unwrap();
    let handle = TokenHandle::spawn(TokenSetup {
        vm: VmName::new("entry-1"),
        place: place.clone(),
        places: BTreeMap::from([(place, RegionName::new("fukuoka"))]),
        sites: followed,
        channels: PeerChannels::new(security),
        clock: Arc::new(SystemClock),
    });
    (handle, sites)
}

/// Sends `count` requests of one team, `gap` apart, and returns the decisions on them.
async fn take(handle: &TokenHandle, count: u32, gap: Duration) -> Vec<LimitDecision> {
    let mut decisions = JoinSet::new();
    for _ in 0..count {
        let handle = handle.clone();
        decisions.spawn(async move {
            let until = Instant::now() + LONG_WAIT;
            handle.take(&TeamName::new("limited"), LIMIT, until).await
        });
        tokio::time::sleep(gap).await;
    }
    decisions.join_all().await
}

const SLOW: Duration = Duration::from_millis(600);

/// Guards against requests of a team within its limit that are refused because replies take longer
/// than the usual round trip, or because some of them, or some replicas, are lost.
#[rstest]
#[case::slow([Replies::Slow(SLOW); REPLICAS])]
#[case::lossy([Replies::Lossy(SLOW, 3); REPLICAS])]
#[case::one_is_dead([Replies::Missing, Replies::Slow(SLOW), Replies::Slow(SLOW)])]
#[case::two_are_dead([Replies::Missing, Replies::Slow(SLOW), Replies::Missing])]
#[tokio::test(flavor = "multi_thread")]
async fn test_slow_replies_refuse_no_request(#[case] replies: [Replies; REPLICAS]) {
    let (handle, _sites) = start(replies).await;
    let decisions = take(&handle, 20, Duration::from_millis(150)).await;
    let run = decisions.iter().filter(|d| **d == LimitDecision::Run);
    assert_eq!(run.count(), 20, "{decisions:?}");
}

/// Guards against requests that wait for ever, or are refused as over the limit, while no replica
/// replies.
#[tokio::test(flavor = "multi_thread")]
async fn test_missing_replies_leave_the_limit_unconfirmed() {
    let (handle, _sites) = start([Replies::Missing; REPLICAS]).await;
    let until = Instant::now() + Duration::from_millis(800);
    let decision = handle.take(&TeamName::new("limited"), LIMIT, until).await;
    assert!(Instant::now() >= until, "refused before its time");
    let is_unconfirmed = matches!(decision, LimitDecision::Unconfirmed { .. });
    assert!(is_unconfirmed, "{decision:?}");
}
