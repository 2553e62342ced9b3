//! gRPC services of a control replica, on one listener.
//!
//! The listener is served before the replica has joined, so that calls are answered.

use std::time::Duration;

use heatherring_lib::manifest_text::MAX_MANIFEST_BYTES;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use crate::fleet_service::FleetService;
use crate::operator_service::OperatorService;
use crate::peer_links::MAX_MESSAGE_BYTES;
use crate::proto::fleet_server::FleetServer;
use crate::proto::operator_server::OperatorServer;
use crate::proto::replication_server::ReplicationServer;
use crate::proto::session_server::SessionServer;
use crate::replication_service::ReplicationService;
use crate::service_gate;
use crate::session_service::SessionService;

/// Largest accepted submission, in bytes: a manifest and the name of its operator.
const MAX_SUBMISSION_BYTES: usize = MAX_MANIFEST_BYTES + (64 << 10);

/// Largest request of an entry VM, in bytes.
const MAX_SYNC_BYTES: usize = 64 << 10;

/// Idle time of a connection after which it is probed. Without probes, connections of VMs that
/// vanished would hold their sockets for hours.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// Time for the answer to a probe.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest number of concurrent requests on one connection: a follower relays those of all entry
/// VMs to the leader.
const MAX_STREAMS: u32 = 4_096;

/// Time for which calls wait for the services. A replica whose folder is formatted starts within that
/// time, and its callers need not turn to another one.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// How the gRPC server ended.
pub(crate) type ServerResult = Result<(), tonic::transport::Error>;

/// Services of a replica that has started.
#[derive(Debug)]
pub(crate) struct Services {
    pub(crate) replication: ReplicationService,
    pub(crate) operators: OperatorService,
    pub(crate) sessions: SessionService,
    pub(crate) fleet: FleetService,
}

/// Opens the services of a server that runs already.
#[derive(Debug)]
pub(crate) struct ServiceGates {
    replication: watch::Sender<Option<ReplicationServer<ReplicationService>>>,
    operators: watch::Sender<Option<OperatorServer<OperatorService>>>,
    sessions: watch::Sender<Option<SessionServer<SessionService>>>,
    fleet: watch::Sender<Option<FleetServer<FleetService>>>,
}

impl ServiceGates {
    /// Serves `listener` until `stopped` gets a message or its sender is dropped.
    ///
    /// Messages of other replicas wait for as long as their senders do: the leader sends to a replica
    /// once it is admitted, and a refusal would make its next message later.
    pub(crate) fn serve(
        builder: Server,
        listener: TcpListener,
        stopped: oneshot::Receiver<()>,
    ) -> (Self, JoinHandle<ServerResult>) {
        let (replication, replication_gate) = service_gate::gate(None);
        let (operators, operators_gate) = service_gate::gate(Some(MAX_WAIT));
        let (sessions, sessions_gate) = service_gate::gate(Some(MAX_WAIT));
        let (fleet, fleet_gate) = service_gate::gate(Some(MAX_WAIT));
        let router = builder
            .http2_keepalive_interval(Some(KEEP_ALIVE_INTERVAL))
            .http2_keepalive_timeout(Some(KEEP_ALIVE_TIMEOUT))
            .max_concurrent_streams(Some(MAX_STREAMS))
            .add_service(replication_gate)
            .add_service(operators_gate)
            .add_service(sessions_gate)
            .add_service(fleet_gate);
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let server = tokio::spawn(async move {
            router
                .serve_with_incoming_shutdown(incoming, async {
                    // Both a message and a dropped sender mean that the process is ending.
                    let _ = stopped.await;
                })
                .await
        });
        let gates = Self {
            replication,
            operators,
            sessions,
            fleet,
        };
        (gates, server)
    }

    /// Passes calls on to the services from now on.
    pub(crate) fn open(&self, services: Services) {
        let replication = ReplicationServer::new(services.replication)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let operators = OperatorServer::new(services.operators)
            .max_decoding_message_size(MAX_SUBMISSION_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let sessions = SessionServer::new(services.sessions)
            .max_decoding_message_size(MAX_SYNC_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let fleet = FleetServer::new(services.fleet)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        self.replication.send_replace(Some(replication));
        self.operators.send_replace(Some(operators));
        self.sessions.send_replace(Some(sessions));
        self.fleet.send_replace(Some(fleet));
    }
}
