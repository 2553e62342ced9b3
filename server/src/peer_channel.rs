//! gRPC channels between the processes of the system, and the metadata keys used on them.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use tonic::transport::Channel;

use crate::peer_security::PeerSecurity;
use crate::peer_security::PeerSecurityError;
use crate::proto::fleet_client::FleetClient;

/// Metadata key under which a control replica sends the address that it listens on.
pub const SENDER_ADDRESS: &str = "heatherring-address";

/// Metadata key that marks a request which a follower has relayed to its leader. Such a
/// request is not relayed again: two replicas that each consider the other one the leader
/// would otherwise send it back and forth until its deadline.
pub const PASSED_ON: &str = "heatherring-passed-on";

/// Metadata key under which a follower sends the [`OrderStamp`] of an order that it passes on.
///
/// [`OrderStamp`]: heatherring_lib::order_stamp::OrderStamp
pub const ORDER_STAMP: &str = "heatherring-order-stamp";

/// Metadata key that marks the status of an order that is proved not to be run.
pub const NOT_RUN: &str = "heatherring-not-run";

/// Timeouts and ping interval of a channel.
#[derive(Clone, Copy, Debug)]
pub struct ChannelTimes {
    /// Timeout for opening the connection.
    pub connect: Duration,
    /// Interval between HTTP/2 keep-alive pings.
    pub ping_interval: Duration,
    /// Time within which a ping must be answered; the connection is closed otherwise.
    pub ping_timeout: Duration,
}

impl ChannelTimes {
    /// Times between control replicas: a connection to a silent replica must be given up
    /// within the time of an election.
    const CONTROL: Self = Self {
        connect: Duration::from_secs(1),
        ping_interval: Duration::from_secs(1),
        ping_timeout: Duration::from_secs(1),
    };

    /// Returns the times of channels to and from entry VMs.
    ///
    /// Entry VMs have many channels and detect a silent peer by the timeouts of their
    /// calls. The pings only free the resources of connections to a peer that is gone.
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
    /// Creates channels that are secured as `security` says, with the times between control
    /// replicas.
    #[must_use]
    pub const fn new(security: PeerSecurity) -> Self {
        Self {
            security,
            local: None,
            times: ChannelTimes::CONTROL,
        }
    }

    /// Replaces the times, which are those between control replicas by default.
    #[must_use]
    pub const fn waiting(mut self, times: ChannelTimes) -> Self {
        self.times = times;
        self
    }

    /// Sets `local`, the address that this process listens on, as the source address of
    /// connections, so that peers and packet filters see one address for each VM. With an
    /// unspecified address the operating system chooses.
    #[must_use]
    pub fn leaving_from(self, local: IpAddr) -> Self {
        Self {
            local: Some(local).filter(|local| !local.is_unspecified()),
            ..self
        }
    }

    /// Returns a client of a replica's service for direct dispatch, over a channel as created by
    /// [`Self::lazy`]; `None`, after logging it, if the address is refused.
    #[must_use]
    pub fn fleet_client(&self, address: SocketAddr) -> Option<FleetClient<Channel>> {
        match self.lazy(address) {
            Ok(channel) => Some(FleetClient::new(channel)),
            Err(error) => {
                log::error!(event = "peer_address_refused", address:% = address, error:% = error; "cannot open a connection to a control replica");
                None
            }
        }
    }

    /// Creates a channel that connects on first use and reconnects after a connection is
    /// lost.
    ///
    /// # Errors
    ///
    /// Returns an error if the security settings don't allow the address, or if no endpoint
    /// can be created for it.
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
