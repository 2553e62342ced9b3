//! Orders that a control replica passes on to the leader, and that arrive after they were given up.

mod control_support;
mod direct_support;

use std::collections::BTreeSet;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use control_support::channel;
use direct_support::Replica;
use direct_support::call;
use direct_support::request;
use direct_support::route_change;
use heatherring_lib::duration_text::DurationText;
use heatherring_lib::fleet_command::FleetCommand;
use heatherring_lib::fleet_record::EntryRecord;
use heatherring_lib::fleet_update::FleetUpdate;
use heatherring_lib::follow_lag::DEFAULT_IN_FORCE_DELAY;
use heatherring_lib::heartbeat_timing::HeartbeatTiming;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::settings::ControlSettings;
use heatherring_lib::settings::ControlTiming;
use heatherring_lib::settings::DirectControlSettings;
use heatherring_lib::settings::InterfaceName;
use heatherring_lib::team_share::LimitTolerance;
use heatherring_server::leader_relay;
use heatherring_server::peer_channel::ORDER_STAMP;
use heatherring_server::proto::ChangeMembershipRequest;
use heatherring_server::proto::FollowRequest;
use heatherring_server::proto::LiftQuarantineRequest;
use heatherring_server::proto::ProposeRequest;
use heatherring_server::proto::StatusReply;
use heatherring_server::proto::change_membership_request::Change;
use heatherring_server::proto::fleet_client::FleetClient;
use heatherring_server::proto::operator_client::OperatorClient;
use heatherring_testutils::loopback::BACKEND_SERVERS_PORT;
use heatherring_testutils::loopback::CONTROL_PORT;
use heatherring_testutils::loopback::LoopbackBlock;
use heatherring_testutils::relay::Link;
use heatherring_testutils::relay::Relay;
use heatherring_testutils::wait::wait_for;
use http::Method;
use rstest::rstest;
use rustix::net::sockopt;
use tempfile::TempDir;
use tonic::Code;
use tonic::Request;

/// Time after which operators move on to another replica.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);

/// The place whose evacuation is ordered and ended.
const PLACE: &str = "fko-hakata";
/// A place whose evacuation shows that later orders of the same replica have arrived.
const OTHER_PLACE: &str = "fko-tenjin";

/// Three control replicas, each reached by the others through a relay.
struct Cluster {
    replicas: Vec<Replica>,
    relays: Vec<Relay>,
    folder: TempDir,
}

async fn status(replica: &Replica) -> Option<StatusReply> {
    control_support::status(replica.settings.listen).await
}

/// Sends an order about the evacuation of a place; `None` without an answer in time.
async fn order(replica: &Replica, place: &str, evacuated: bool) -> Option<u16> {
    let method = if evacuated {
        Method::PUT
    } else {
        Method::DELETE
    };
    let req = request(method, &format!("/v1/evacuations/{place}"), "");
    let calling = call(replica.api_address(), req);
    let answer = tokio::time::timeout(OPERATOR_TIMEOUT, calling).await.ok()?;
    Some(answer?.status.as_u16())
}

async fn confirm(replica: &Replica, place: &str, evacuated: bool) {
    wait_for("a confirmation", async || {
        (order(replica, place, evacuated).await == Some(204)).then_some(())
    })
    .await
    .unwrap();
}

/// Returns the evacuated places once [`OTHER_PLACE`] is one of them.
async fn evacuated(replica: &Replica) -> BTreeSet<PlaceName> {
    let record = EntryRecord {
        place: PlaceName::new(PLACE),
        region: RegionName::new("fukuoka"),
        callers: SocketAddr::from(([127, 0, 0, 1], 1)),
        life: 1,
    };
    wait_for("the evacuation of the other place", async || {
        let req = FollowRequest {
            vm: "entry-1".to_owned(),
            record_encoded: postcard::to_stdvec(&record).unwrap(),
            ..FollowRequest::default()
        };
        let mut client = FleetClient::new(channel(replica.settings.listen));
        let reply = client.follow(req).await.ok()?.into_inner();
        let update = FleetUpdate::decode(&reply.update_encoded).ok()?;
        let evacuated: BTreeSet<_> = update.evacuated.into_iter().collect();
        evacuated
            .contains(&PlaceName::new(OTHER_PLACE))
            .then_some(evacuated)
    })
    .await
    .unwrap()
}

impl Cluster {
    async fn start() -> Self {
        let mut block = LoopbackBlock::claim().unwrap();
        let mut cluster = Self {
            replicas: Vec::new(),
            relays: Vec::new(),
            folder: TempDir::new().unwrap(),
        };
        for _ in 0..3 {
            let listen = SocketAddr::new(block.next_vm(), CONTROL_PORT);
            let relay = Relay::start(block.next_relay(), listen, Link::default());
            let relay = relay.await.unwrap();
            cluster.add(listen, relay.address()).await;
            cluster.relays.push(relay);
        }
        cluster
    }

    async fn add(&mut self, listen: SocketAddr, advertise: SocketAddr) {
        let settings = self.settings(listen, advertise);
        let first = self.replicas.first().map(|first| first.settings.listen);
        control_support::format(&settings, first).await;
        self.replicas.push(Replica::start(settings));
        let first = self.replicas[0].settings.listen;
        control_support::until_voters(first, self.replicas.len()).await;
    }

    fn settings(&self, listen: SocketAddr, advertise: SocketAddr) -> ControlSettings {
        let name = format!("control-{}", listen.ip());
        ControlSettings {
            place: PlaceName::new(PLACE),
            region: RegionName::new("fukuoka"),
            advertise: Some(advertise),
            timing: ControlTiming::default(),
            snapshot_every: 1_000,
            direct: Some(DirectControlSettings {
                interface: InterfaceName::Heatherring,
                listen: SocketAddr::new(listen.ip(), BACKEND_SERVERS_PORT),
                look_ups: None,
                places: [PLACE, OTHER_PLACE]
                    .map(|place| (PlaceName::new(place), RegionName::new("fukuoka")))
                    .into(),
                look_up_ms: 2_000,
                heartbeat: DurationText(HeartbeatTiming::DEFAULT_INTERVAL),
                in_force_within: DurationText(DEFAULT_IN_FORCE_DELAY),
                max_descriptors: None,
                team_limits: LimitTolerance::default(),
            }),
            ..control_support::settings(&name, listen, self.folder.path().join(&name))
        }
    }

    /// Returns the numbers of the leader and of the other two.
    async fn roles(&self) -> (usize, usize, usize) {
        let leader = wait_for("a leader known to all", async || {
            let mut known = Vec::new();
            for replica in &self.replicas {
                known.push(status(replica).await.filter(|status| status.current)?);
            }
            let replicas = known[0].replicas.iter();
            let mut leading = replicas.filter(|replica| replica.replica == known[0].leader);
            let address = leading.next()?.address.clone();
            let agreed = known.iter().all(|status| status.leader == known[0].leader);
            let mut relays = self.relays.iter();
            relays
                .position(|relay| relay.address().to_string() == address)
                .filter(|_| agreed)
        })
        .await
        .unwrap();
        (leader, (leader + 1) % 3, (leader + 2) % 3)
    }

    /// Gives an order at a follower that passes it on, and gives it up unanswered. Returns the
    /// numbers of the leader, of the follower, whose link is still held, and of the third replica;
    /// `None` if the order was answered, as during an election.
    async fn hold_up(&self, late: bool) -> Option<(usize, usize, usize)> {
        let (leader, follower, third) = self.roles().await;
        let cut_off = &self.replicas[follower];
        confirm(cut_off, PLACE, !late).await;
        self.hold(follower, leader);
        if order(cut_off, PLACE, late).await.is_some() {
            self.relays[leader].set(Link::default());
            return None;
        }
        Some((leader, follower, third))
    }

    /// Holds back what replica `from` sends to replica `to` and what it is answered.
    fn hold(&self, from: usize, to: usize) {
        let source = self.replicas[from].settings.listen.ip();
        self.relays[to].set_from(source, Link::default().cut());
    }
}

/// Passes an order on to the leader with this stamp.
fn passed_on<T>(order: T, stamp: &'static str) -> Request<T> {
    let mut req = leader_relay::relayed_request(order, OPERATOR_TIMEOUT);
    req.metadata_mut()
        .insert(ORDER_STAMP, stamp.parse().unwrap());
    req
}

/// Guards against an order that the leader carries out although its stamp proves nothing.
#[rstest]
#[case::round_not_begun("1.4000000000")]
#[case::earlier_term("0.1")]
#[case::unreadable("now")]
#[tokio::test(flavor = "multi_thread")]
async fn test_late_order_without_a_current_stamp_is_refused(#[case] stamp: &'static str) {
    let cluster = Cluster::start().await;
    let (leader, follower, _) = cluster.roles().await;
    let leader = &cluster.replicas[leader];
    let command = FleetCommand::SetEvacuated {
        place: PlaceName::new(PLACE),
        evacuated: true,
    };
    let command_encoded = postcard::to_stdvec(&command).unwrap();
    let mut fleet = FleetClient::new(channel(leader.settings.listen));
    let order = passed_on(ProposeRequest { command_encoded }, stamp);
    let proposed = fleet.propose(order).await.unwrap_err();
    let mut operator = OperatorClient::new(channel(leader.settings.listen));
    let request = "0".repeat(32);
    let order = passed_on(LiftQuarantineRequest { request }, stamp);
    let lifted = operator.lift_quarantine(order).await.unwrap_err();
    let known = status(leader).await.unwrap().replicas;
    let address = cluster.relays[follower].address().to_string();
    let member = known.iter().find(|replica| replica.address == address);
    let order = ChangeMembershipRequest {
        change: Some(Change::Remove(member.unwrap().replica)),
        operator: "tester".to_owned(),
    };
    let changed = operator.change_membership(passed_on(order, stamp)).await;
    for refused in [proposed, lifted, changed.unwrap_err()] {
        assert_eq!(refused.code(), Code::Unavailable);
        assert!(refused.message().contains("took too long"), "{refused}");
    }
    confirm(leader, OTHER_PLACE, true).await;
    let other = PlaceName::new(OTHER_PLACE);
    assert_eq!(evacuated(leader).await, BTreeSet::from([other]));
    assert_eq!(status(leader).await.unwrap().replicas.len(), 3);
}

/// Guards against a confirmed evacuation, or its end, that is undone by an earlier order: a follower
/// passed it on, its bytes were held up, and the operator gave it up and had later ones confirmed.
#[rstest]
#[case::ends_the_evacuation(false)]
#[case::begins_an_evacuation(true)]
#[tokio::test(flavor = "multi_thread")]
async fn test_late_order_that_was_given_up_undoes_no_later_one(#[case] late: bool) {
    let cluster = Cluster::start().await;
    let held_up = wait_for("an order that is held up", async || {
        cluster.hold_up(late).await
    });
    let (leader, follower, third) = held_up.await.unwrap();
    confirm(&cluster.replicas[third], PLACE, late).await;
    confirm(&cluster.replicas[third], PLACE, !late).await;
    cluster.relays[leader].set(Link::default());
    confirm(&cluster.replicas[follower], OTHER_PLACE, true).await;
    assert_eq!(
        evacuated(&cluster.replicas[leader])
            .await
            .contains(&PlaceName::new(PLACE)),
        !late,
        "the last confirmed order does not hold"
    );
}

/// How an operator that gives an order up ends the connection.
#[derive(Clone, Copy)]
enum GivenUp {
    Closed,
    Reset,
    /// Closed behind bytes that are no request.
    ClosedBehindBytes,
}

/// Sends an order to a replica that reads nothing, and gives it up.
fn give_up(kept: std::net::TcpStream, order: &str, end: GivenUp) {
    let mut stream = kept;
    stream.write_all(order.as_bytes()).unwrap();
    match end {
        GivenUp::Closed => {}
        GivenUp::Reset => sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap(),
        GivenUp::ClosedBehindBytes => stream.write_all(b"\r\n").unwrap(),
    }
}

fn order_text(method: &str, path: &str, body: &str) -> String {
    let bytes = body.len();
    format!("{method} {path} HTTP/1.1\r\nhost: control\r\ncontent-length: {bytes}\r\n\r\n{body}")
}

fn evacuation_order() -> String {
    order_text("PUT", &format!("/v1/evacuations/{PLACE}"), "")
}

fn manifest_order() -> String {
    let change = serde_json::to_string(&route_change(1, 0)).unwrap();
    order_text("POST", "/v1/routes", &change)
}

/// Guards against an order that a replica carries out although it can see that the operator has left: it
/// was suspended, and reads the order and the end of the connection on resuming. The stamp of such
/// an order is current if a heartbeat of the leader is read first.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn test_late_order_that_waited_in_a_suspended_replica_is_dropped(
    #[values(evacuation_order, manifest_order)] order: fn() -> String,
    #[values(GivenUp::Closed, GivenUp::Reset, GivenUp::ClosedBehindBytes)] end: GivenUp,
    #[values(true, false)] at_leader: bool,
    #[values(true, false)] kept: bool,
) {
    let cluster = Cluster::start().await;
    let (leader, follower, _) = cluster.roles().await;
    let replica = &cluster.replicas[if at_leader { leader } else { follower }];
    let connect = || std::net::TcpStream::connect(replica.api_address()).unwrap();
    let connection = kept.then(connect);
    if kept {
        // The replica has accepted the connection once it answers on a later one.
        confirm(replica, PLACE, false).await;
    }
    let frozen = replica.freeze_until_released().await;
    give_up(connection.unwrap_or_else(connect), &order(), end);
    drop(frozen);
    confirm(replica, OTHER_PLACE, true).await;
    let other = PlaceName::new(OTHER_PLACE);
    assert_eq!(evacuated(replica).await, BTreeSet::from([other]));
    let routes = request(Method::GET, "/v1/routes", "");
    let routes = call(replica.api_address(), routes).await.unwrap();
    let routes: serde_json::Value = serde_json::from_slice(&routes.body).unwrap();
    assert_eq!(routes["version"], 0, "{routes}");
}
