//! Calls that a replica passes on to the leader.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use heatherring_lib::id::ReplicaId;
use heatherring_server::leader_relay;
use heatherring_server::node_request::LeaderLink;
use heatherring_server::peer_channel::PeerChannels;
use heatherring_server::peer_security::PeerSecurity;
use heatherring_server::proto::ReadRoutesRequest;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tonic::Code;

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
