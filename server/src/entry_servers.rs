//! Listeners of an entry VM and the servers on them.

use std::net::SocketAddr;
use std::sync::Arc;

use heatherring_lib::settings::EntrySettings;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tonic::transport::server::TcpIncoming;

use crate::announce_listener::AnnounceHandler;
use crate::caller_listener::CallerHandler;
use crate::entry_context::EntryContext;
use crate::entry_process::EntryError;
use crate::entry_process::ListenSnafu;
use crate::forward_listener::ForwardHandler;
use crate::http_server;
use crate::http_server::Admittance;
use crate::http_server::ConnectionLimits;
use crate::http_server::ConnectionUsage;
use crate::http_server::Handler;
use crate::http_server::HttpBounds;
use crate::http_server::HttpVersions;
use crate::http_server::LimitsSource;
use crate::http_server::Stops;
use crate::peer_security::PeerSecurity;
use crate::peer_service::PeerService;
use crate::proto::peer_server::PeerServer;
use crate::proto::session_server::SessionServer;
use crate::session_relay::SessionRelayService;

/// Holds the bound listeners of an entry VM.
pub struct Listeners {
    callers: TcpListener,
    backend_servers: TcpListener,
    peers: TcpListener,
    forward: TcpListener,
}

impl Listeners {
    /// Binds all addresses before any task starts, so that a port in use does not leave the entry
    /// VM partly started.
    ///
    /// # Errors
    ///
    /// Fails if one of the addresses cannot be bound.
    pub async fn bind(settings: &EntrySettings) -> Result<Self, EntryError> {
        let listen = &settings.listen;
        Ok(Self {
            callers: bind("callers", listen.callers).await?,
            backend_servers: bind("backend_servers", listen.backend_servers).await?,
            peers: bind("peers", listen.peers).await?,
            forward: bind("forward", listen.forward).await?,
        })
    }
}

async fn bind(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { purpose, address })
}

/// Holds the servers of a running entry VM.
#[derive(Debug)]
pub struct EntryServers {
    /// Lets each connection accept one more request and announce its close with the answer.
    leaving: CancellationToken,
    /// Stops accepting requests of callers and other entry VMs.
    stop_requests: CancellationToken,
    callers: JoinHandle<()>,
    forward: JoinHandle<()>,
    /// Stops accepting announcements and messages of other entry VMs.
    stop_messages: CancellationToken,
    backend_servers: JoinHandle<()>,
    peers: JoinHandle<()>,
}

impl EntryServers {
    /// Starts serving all listeners.
    #[must_use]
    pub fn start(
        cx: &Arc<EntryContext>,
        listeners: Listeners,
        security: PeerSecurity,
        grpc_server: tonic::transport::Server,
        relay: SessionRelayService,
    ) -> Self {
        let leaving = CancellationToken::new();
        let stop_requests = CancellationToken::new();
        let request_stops = Stops {
            leaving: leaving.clone(),
            stop: stop_requests.clone(),
        };
        let stop_messages = CancellationToken::new();
        let bounds = HttpBounds {
            max_connections: cx.limits.max_connections as usize,
            usage: ConnectionUsage::default(),
            limits: LimitsSource::fixed(ConnectionLimits {
                max_header_bytes: cx.limits.max_header_bytes as usize,
                header_timeout: cx.limits.header_timeout(),
                idle_timeout: cx.limits.header_timeout(),
            }),
            versions: HttpVersions::Both,
            clock: Arc::clone(&cx.clock),
        };
        let callers = spawn_server(
            listeners.callers,
            Admittance::Anybody,
            bounds.clone(),
            CallerHandler::new(Arc::clone(cx)),
            request_stops.clone(),
        );
        let forward = spawn_server(
            listeners.forward,
            Admittance::Deployment(security),
            bounds.clone(),
            ForwardHandler::new(Arc::clone(cx)),
            request_stops,
        );
        let backend_servers = spawn_server(
            listeners.backend_servers,
            Admittance::Anybody,
            bounds,
            AnnounceHandler::new(Arc::clone(cx)),
            stop_messages.clone().into(),
        );
        let peers = spawn_peer_server(
            grpc_server,
            listeners.peers,
            PeerService::new(Arc::clone(cx)),
            relay,
            &stop_messages,
        );
        Self {
            leaving,
            stop_requests,
            callers,
            forward,
            stop_messages,
            backend_servers,
            peers,
        }
    }

    /// Makes callers move to other entry VMs: each connection accepts at most one more request.
    ///
    /// A connection left open until the stop is closed without notice, and a request that its
    /// caller sends at that moment is lost.
    pub fn leave(&self) {
        self.leaving.cancel();
    }

    /// Accepts no new requests and lets those in progress finish.
    pub fn stop_requests(&self) {
        self.stop_requests.cancel();
    }

    /// Returns whether all requests in progress have finished after [`Self::stop_requests`].
    #[must_use]
    pub fn requests_finished(&self) -> bool {
        self.callers.is_finished() && self.forward.is_finished()
    }

    /// Aborts all servers.
    pub fn end(&self) {
        self.stop_messages.cancel();
        self.backend_servers.abort();
        self.peers.abort();
        self.callers.abort();
        self.forward.abort();
    }
}

fn spawn_server<H: Handler>(
    listener: TcpListener,
    admittance: Admittance,
    bounds: HttpBounds,
    handler: H,
    stops: Stops,
) -> JoinHandle<()> {
    tokio::spawn(http_server::serve(
        listener, admittance, bounds, handler, stops,
    ))
}

fn spawn_peer_server(
    mut server: tonic::transport::Server,
    listener: TcpListener,
    service: PeerService,
    relay: SessionRelayService,
    stop: &CancellationToken,
) -> JoinHandle<()> {
    let stop = stop.clone();
    let router = server
        .add_service(PeerServer::new(service))
        .add_service(SessionServer::new(relay));
    tokio::spawn(async move {
        // Nagle's algorithm would delay small replies until the peer's delayed acknowledgement; one
        // action in a hundred took 50 ms longer.
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let serving = router.serve_with_incoming_shutdown(incoming, stop.cancelled_owned());
        if let Err(error) = serving.await {
            log::error!(event = "peers_listener_failed", error = error.to_string().as_str(); "listener for messages of other entry VMs failed");
        }
    })
}
