//! Channels between the system's processes, and marks on what travels over them.

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

/// Says how long a channel waits for its peer.
#[derive(Clone, Copy, Debug)]
pub struct ChannelTimes {
    /// Bound on opening the connection.
    pub connect: Duration,
    /// Time between pings.
    pub ping_interval: Duration,
    /// How long the answer to a ping may take.
    pub ping_timeout: Duration,
}

impl ChannelTimes {
    /// Between control replicas: a silent one must be left within an election's time.
    const CONTROL: Self = Self {
        connect: Duration::from_secs(1),
        ping_interval: Duration::from_secs(1),
        ping_timeout: Duration::from_secs(1),
    };

    /// To and from entry VMs, which have many channels and leave a silent peer by the
    /// timeouts of their calls; pings only free what a vanished one holds.
    #[must_use]
    pub const fn entry(connect: Duration) -> Self {
        Self {
            connect,
            ping_interval: Duration::from_secs(5),
            ping_timeout: Duration::from_secs(2),
        }
    }
}

/// Opens channels to other processes.
#[derive(Clone, Debug)]
pub struct PeerChannels {
    security: PeerSecurity,
    local: Option<IpAddr>,
    times: ChannelTimes,
}

impl PeerChannels {
    /// Creates connections that prove what `security` asks for.
    #[must_use]
    pub const fn new(security: PeerSecurity) -> Self {
        Self {
            security,
            local: None,
            times: ChannelTimes::CONTROL,
        }
    }

    /// Takes other times than those between control replicas.
    #[must_use]
    pub const fn waiting(mut self, times: ChannelTimes) -> Self {
        self.times = times;
        self
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

    /// Creates a channel that connects when it is first used, and again after a break.
    ///
    /// # Errors
    ///
    /// Returns an error if the address makes no endpoint, or isn't allowed.
    pub fn lazy(&self, address: SocketAddr) -> Result<Channel, PeerSecurityError> {
        let endpoint = self
            .security
            .endpoint(address)?
            .local_address(self.local)
            .connect_timeout(self.times.connect)
            .http2_keep_alive_interval(self.times.ping_interval)
            .keep_alive_timeout(self.times.ping_timeout)
            .tcp_nodelay(true);
        Ok(endpoint.connect_lazy())
    }
}
