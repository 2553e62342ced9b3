//! Calls that a replica passes on to the leader, and what their failures prove.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::raft_effects::Refusal;
use heatherring_server::fleet_control::FleetError;
use heatherring_server::leader_relay;
use heatherring_server::node_request::LeaderLink;
use heatherring_server::node_request::NodeError;
use heatherring_server::peer_channel::PeerChannels;
use heatherring_server::peer_security::PeerSecurity;
use heatherring_server::proto::ReadRoutesRequest;
use heatherring_server::reply;
use http::StatusCode;
use rstest::rstest;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tonic::Code;
use tonic::Status;

const TIMEOUT: Duration = Duration::from_millis(1_500);

/// Guards against calls that wait in line for the connection to a leader that is gone: each attempt
/// to connect takes a second, and ends one call only.
#[tokio::test]
async fn test_leader_relay_calls_to_a_silent_leader_end_in_time() {
    let socket = TcpSocket::new_v4().unwrap();
    socket
        .bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
        .unwrap();
    let listener = socket.listen(0).unwrap();
    let address = listener.local_addr().unwrap();
    // With this connection in the queue, the kernel drops further attempts to connect.
    let _queued = TcpStream::connect(address).await.unwrap();
    let channels = PeerChannels::new(PeerSecurity::open_loopback());
    let leader = LeaderLink {
        replica: ReplicaId(1),
        address,
        channel: channels.lazy(address).unwrap(),
    };
    let calls = (0..5).map(async |_| {
        let request = leader_relay::relayed_request(ReadRoutesRequest {}, TIMEOUT);
        let mut client = leader_relay::fleet_client(&leader);
        let call = leader_relay::answer_within(TIMEOUT, client.read_routes(request));
        call.await.unwrap_err().code()
    });
    let codes = join_all(calls).await;
    assert_eq!(codes.last(), Some(&Code::DeadlineExceeded), "{codes:?}");
}

fn refused(reason: Refusal) -> FleetError {
    FleetError::Node {
        source: NodeError::Refused {
            reason,
            leader: None,
        },
    }
}

fn no_leader() -> FleetError {
    refused(Refusal::NotLeader { leader: None })
}

fn leadership_lost() -> FleetError {
    refused(Refusal::LeadershipLost)
}

fn at_leader(status: Status) -> FleetError {
    FleetError::Leader {
        source: Box::new(status),
    }
}

fn late() -> FleetError {
    at_leader(leader_relay::refusal_status(&NodeError::Late))
}

fn lost_at_leader() -> FleetError {
    let reason = Refusal::LeadershipLost;
    let leader = None;
    let lost = NodeError::Refused { reason, leader };
    at_leader(leader_relay::refusal_status(&lost))
}

fn unanswered() -> FleetError {
    at_leader(Status::deadline_exceeded("no answer in time"))
}

fn unavailable() -> FleetError {
    at_leader(Status::unavailable("connection closed"))
}

/// Guards against an order without a known outcome that is told as not run, and against one that is
/// not run whose caller isn't told when to come back.
#[rstest]
#[case::not_current(|| FleetError::NotCurrent, Some("1"))]
#[case::no_leader(no_leader, Some("1"))]
#[case::late(late, Some("1"))]
#[case::leadership_lost(leadership_lost, None)]
#[case::leadership_lost_at_leader(lost_at_leader, None)]
#[case::unanswered(unanswered, None)]
#[case::connection_lost(unavailable, None)]
#[case::unexpected_response(|| FleetError::UnexpectedResponse, None)]
fn test_leader_relay_failed_order_says_whether_it_is_run(
    #[case] error: fn() -> FleetError,
    #[case] retry_after: Option<&str>,
) {
    let error = error();
    let response = reply::failed(&error);
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    let header = response.headers().get("retry-after");
    let header = header.map(|value| value.to_str().unwrap());
    assert_eq!(header, retry_after);
    assert_eq!(error.is_not_run(), retry_after.is_some());
}

/// Guards against a read without a leader whose caller isn't told when to come back.
#[rstest]
#[case::no_leader(no_leader)]
#[case::unanswered(unanswered)]
fn test_leader_relay_failed_read_may_come_back(#[case] error: fn() -> FleetError) {
    let response = reply::unread(&error());
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.headers()["retry-after"], "1");
}
