//! Control replicas of a test: their settings, and how they join each other.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::PathBuf;

use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::VmName;
use heatherring_lib::settings::ControlSettings;
use heatherring_lib::settings::ControlTiming;
use heatherring_lib::settings::LogSettings;
use heatherring_lib::settings::Security;
use heatherring_server::control_format;
use heatherring_server::proto::StatusReply;
use heatherring_server::proto::StatusRequest;
use heatherring_server::proto::operator_client::OperatorClient;
use heatherring_testutils::wait::wait_for;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

pub fn channel(address: SocketAddr) -> Channel {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).unwrap();
    endpoint.connect_lazy()
}

/// Returns what the replica at `address` reports; `None` without an answer.
pub async fn status(address: SocketAddr) -> Option<StatusReply> {
    let mut client = OperatorClient::new(channel(address));
    let reply = client.status(StatusRequest {}).await.ok()?;
    Some(reply.into_inner())
}

/// Formats the data folder of a replica, as the first one or as one that joins `first`.
pub async fn format(settings: &ControlSettings, first: Option<SocketAddr>) {
    let Some(first) = first else {
        control_format::init(settings).unwrap();
        return;
    };
    // Refused during an election and while an earlier membership change is in progress.
    wait_for("the replica to be added", async || {
        let joining = control_format::join(settings, std::slice::from_ref(&first), None, "tester");
        joining.await.ok()
    })
    .await
    .unwrap();
}

/// Waits until a current replica at `address` reports `count` voters.
pub async fn until_voters(address: SocketAddr, count: usize) {
    wait_for("the replica to be a voter", async || {
        let status = status(address).await?;
        let voters = status.replicas.iter().filter(|replica| replica.voter);
        (status.current && voters.count() == count).then_some(())
    })
    .await
    .unwrap();
}

/// Returns settings of a replica with elections that end quickly.
pub fn settings(vm: &str, listen: SocketAddr, data_folder: PathBuf) -> ControlSettings {
    ControlSettings {
        vm: VmName::new(vm),
        place: PlaceName::new("alm-a"),
        region: RegionName::new("almaty"),
        listen,
        advertise: None,
        data_folder,
        timing: ControlTiming {
            heartbeat_ms: 50,
            election_min_ms: 600,
            election_max_ms: 1_200,
            session_lease_ms: 3_000,
            session_margin_ms: 200,
        },
        security: Security::OpenLoopback,
        snapshot_every: 10,
        log: LogSettings::default(),
        formation: None,
        metrics_listen: None,
        direct: None,
    }
}
