//! Channels for gRPC calls between the system's processes.

use std::net::SocketAddr;
use std::time::Duration;

use tonic::transport::Channel;
use tonic::transport::Endpoint;

/// Time between pings on a channel, and how long their answer may take.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns a channel that connects when it is first used, and again after a break.
///
/// # Panics
///
/// Never in practice: an IP address and a port always make a valid URI.
#[must_use]
pub fn open(address: SocketAddr, connect_timeout: Duration) -> Channel {
    Endpoint::from_shared(format!("http://{address}"))
        .expect("an IP address and a port make a valid URI")
        .connect_timeout(connect_timeout)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .connect_lazy()
}
