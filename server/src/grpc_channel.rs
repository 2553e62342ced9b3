//! Channels for gRPC calls between the system's processes.

use std::net::SocketAddr;
use std::time::Duration;

use tonic::transport::Channel;

use crate::peer_security::PeerSecurity;
use crate::peer_security::PeerSecurityError;

/// Time between pings on a channel, and how long their answer may take.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns a channel that connects when it is first used, and again after a break.
///
/// # Errors
///
/// Fails if the address isn't allowed without proof of belonging.
pub fn open(
    security: &PeerSecurity,
    address: SocketAddr,
    connect_timeout: Duration,
) -> Result<Channel, PeerSecurityError> {
    let endpoint = security
        .endpoint(address)?
        .connect_timeout(connect_timeout)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT);
    Ok(endpoint.connect_lazy())
}
