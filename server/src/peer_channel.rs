//! Connections between control replicas, and marks on what travels over them.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use tonic::transport::Channel;

use crate::peer_security::PeerSecurity;
use crate::peer_security::PeerSecurityError;

/// Names the metadata in which a replica says where it listens.
pub const SENDER_ADDRESS: &str = "heatherring-address";

/// Names the metadata of a request that a follower has passed on to its leader. It is
/// not passed on again: two replicas that each take the other one for the leader would
/// otherwise hand a request to and fro until its deadline.
pub const PASSED_ON: &str = "heatherring-passed-on";

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Opens connections to other replicas.
#[derive(Clone, Debug)]
pub struct PeerChannels {
    security: PeerSecurity,
    local: Option<IpAddr>,
}

impl PeerChannels {
    /// Creates connections that prove what `security` asks for.
    #[must_use]
    pub const fn new(security: PeerSecurity) -> Self {
        Self {
            security,
            local: None,
        }
    }

    /// Makes connections leave from `local`, the address that this process listens on,
    /// so that peers and packet filters see one address for each VM. An unspecified
    /// address leaves the choice to the system.
    #[must_use]
    pub fn leaving_from(self, local: IpAddr) -> Self {
        Self {
            local: Some(local).filter(|local| !local.is_unspecified()),
            ..self
        }
    }

    /// Creates a connection that is established when it is first used.
    ///
    /// # Errors
    ///
    /// Returns an error if the address makes no endpoint, or isn't allowed.
    pub fn lazy(&self, address: SocketAddr) -> Result<Channel, PeerSecurityError> {
        let endpoint = self
            .security
            .endpoint(address)?
            .local_address(self.local)
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .tcp_nodelay(true);
        Ok(endpoint.connect_lazy())
    }
}
