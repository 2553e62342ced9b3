//! Connections to backend servers, kept for reuse.
//!
//! One task owns the idle connections of all backend servers that this entry VM owns
//! and counts the open ones. A new connection costs a backend server about 1 ms, so
//! the one used last is handed out first.
//!
//! A connection whose answer was abandoned or broke off is never handed out again:
//! what is left of that answer would be read as the next caller's. Such a connection
//! is dropped, which closes its socket and thereby cancels the work behind it; only a
//! connection whose answer was read to its last byte can come back.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_util::task::AbortOnDropHandle;

use crate::metric;

/// Time after which an idle connection is closed rather than used again. Backend
/// servers close idle connections on their own, and a request that meets such a close
/// halfway has an unknown fate.
const MAX_IDLE: Duration = Duration::from_secs(15);

/// Time between two sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Time after which a connection breaks whose bytes the other side doesn't acknowledge:
/// several times the longest way there and back between regions, 110 ms.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest time for which a connection attempt may hold a request up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Tells why no connection to a backend server could be had. No byte of a request has
/// been sent in any of these cases.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// All connections that the limit allows are open.
    #[snafu(display("all {limit} connections to {address} are in use"))]
    LimitReached {
        /// The backend server's address.
        address: SocketAddr,
        /// The limit on connections.
        limit: u32,
    },
    /// The connection wasn't taken in time.
    #[snafu(display("{address} took too long to accept a connection"))]
    ConnectTimeout {
        /// The backend server's address.
        address: SocketAddr,
    },
    /// The connection was refused or the server can't be reached.
    #[snafu(display("can't connect to {address}"))]
    Connect {
        /// The backend server's address.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The connection broke before it could carry a request.
    #[snafu(display("the connection to {address} broke while it was set up"))]
    Handshake {
        /// The backend server's address.
        address: SocketAddr,
        /// What the HTTP library said.
        source: hyper::Error,
    },
    /// The pool has ended with its process.
    #[snafu(display("the process is stopping"))]
    PoolGone,
}

/// Holds an open connection; dropping it closes the socket at once.
#[derive(Debug)]
pub struct BackendConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    reused: bool,
    /// Time that it took to be established.
    established_in: Duration,
    /// Ends the task that drives the connection, and with it the socket.
    _driver: AbortOnDropHandle<()>,
}

impl ConnectError {
    /// Returns whether nobody listens at the address, as far as the system there says.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source, .. } if source.kind() == ErrorKind::ConnectionRefused)
    }
}

impl BackendConnection {
    /// Returns the side that sends requests.
    pub fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.sender
    }

    /// Returns the time that it took to establish the connection: one way there and back.
    #[must_use]
    pub const fn established_in(&self) -> Duration {
        self.established_in
    }

    /// Returns whether an earlier request used this connection.
    #[must_use]
    pub const fn is_reused(&self) -> bool {
        self.reused
    }
}

/// Counts one open connection until it is dropped.
#[derive(Debug)]
struct ConnectionPermit {
    address: SocketAddr,
    tx: mpsc::UnboundedSender<PoolMessage>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        // A failed send means that the pool has ended: nobody counts any more.
        let _ = self.tx.send(PoolMessage::Closed(self.address));
    }
}

#[derive(Debug)]
enum Checkout {
    Reuse(BackendConnection),
    Connect(ConnectionPermit),
    LimitReached,
}

#[derive(Debug)]
enum PoolMessage {
    Checkout {
        address: SocketAddr,
        limit: u32,
        fresh: bool,
        reply: oneshot::Sender<Checkout>,
    },
    Return(BackendConnection, Duration),
    Closed(SocketAddr),
    Disconnect(SocketAddr),
}

/// Reaches the pool's task.
#[derive(Clone, Debug)]
pub struct BackendPool {
    tx: mpsc::UnboundedSender<PoolMessage>,
}

impl BackendPool {
    /// Starts the pool's task, which ends with the last handle to it.
    #[must_use]
    pub fn spawn() -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let task = PoolTask {
            weak_tx: tx.downgrade(),
            servers: HashMap::new(),
        };
        tokio::spawn(task.run(rx));
        Self { tx }
    }

    /// Takes an idle connection to `address`, or opens one within `limit`.
    ///
    /// # Errors
    ///
    /// Fails if the limit is reached or the server doesn't take the connection. The
    /// request can't have reached the backend server then.
    pub async fn connect(
        &self,
        address: SocketAddr,
        limit: u32,
    ) -> Result<BackendConnection, ConnectError> {
        self.connect_within(address, limit, CONNECT_TIMEOUT).await
    }

    /// Does the same, with a bound on the time in which a new connection is established.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::connect`].
    pub async fn connect_within(
        &self,
        address: SocketAddr,
        limit: u32,
        timeout: Duration,
    ) -> Result<BackendConnection, ConnectError> {
        loop {
            match self.check_out(address, limit, false).await? {
                Checkout::Reuse(mut connection) => {
                    // The driver may not have seen the end of the last exchange yet.
                    if connection.sender.ready().await.is_ok() {
                        return Ok(connection);
                    }
                }
                Checkout::Connect(permit) => return open(permit, timeout).await,
                Checkout::LimitReached => return LimitReachedSnafu { address, limit }.fail(),
            }
        }
    }

    /// Opens a connection though others may be idle: those of a process that has ended may not
    /// have shown that yet.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::connect`].
    pub async fn connect_anew(
        &self,
        address: SocketAddr,
        limit: u32,
        timeout: Duration,
    ) -> Result<BackendConnection, ConnectError> {
        match self.check_out(address, limit, true).await? {
            Checkout::Connect(permit) => open(permit, timeout).await,
            Checkout::Reuse(_) | Checkout::LimitReached => {
                LimitReachedSnafu { address, limit }.fail()
            }
        }
    }

    /// Gives a connection back whose answer was read to its last byte.
    pub fn give_back(&self, connection: BackendConnection) {
        self.give_back_for(connection, MAX_IDLE);
    }

    /// Does the same, for a connection that may be idle for `keep` at most.
    pub fn give_back_for(&self, connection: BackendConnection, keep: Duration) {
        let keep = keep.min(MAX_IDLE);
        // A failed send drops, and so closes, the connection.
        let _ = self.tx.send(PoolMessage::Return(connection, keep));
    }

    /// Closes the idle connections to `address`, so that the new owner of the backend
    /// server finds its connection limit free.
    pub fn disconnect(&self, address: SocketAddr) {
        let _ = self.tx.send(PoolMessage::Disconnect(address));
    }

    async fn check_out(
        &self,
        address: SocketAddr,
        limit: u32,
        fresh: bool,
    ) -> Result<Checkout, ConnectError> {
        let (reply, answer) = oneshot::channel();
        let message = PoolMessage::Checkout {
            address,
            limit,
            fresh,
            reply,
        };
        self.tx.send(message).ok().ok_or(ConnectError::PoolGone)?;
        answer.await.ok().ok_or(ConnectError::PoolGone)
    }
}

async fn open(
    permit: ConnectionPermit,
    timeout: Duration,
) -> Result<BackendConnection, ConnectError> {
    let address = permit.address;
    let begun = Instant::now();
    let connecting = TcpStream::connect(address);
    let connected = tokio::time::timeout(timeout, connecting).await;
    let result = match &connected {
        Ok(Ok(_)) => "connected",
        Ok(Err(_)) => "refused",
        Err(_) => "timed_out",
    };
    metric::connect(result, begun.elapsed());
    let stream = connected
        .ok()
        .ok_or(ConnectError::ConnectTimeout { address })?
        .context(ConnectSnafu { address })?;
    // Without this a small request may wait for the acknowledgement of the one before.
    stream.set_nodelay(true).context(ConnectSnafu { address })?;
    let established_in = begun.elapsed();
    limit_silence(&stream);
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .context(HandshakeSnafu { address })?;
    let driver = tokio::spawn(async move {
        let _permit = permit;
        // Whoever waits for the answer sees the same error.
        let _ = connection.await;
    });
    Ok(BackendConnection {
        address,
        sender,
        reused: false,
        established_in,
        _driver: AbortOnDropHandle::new(driver),
    })
}

/// Has the system break the connection when what was sent isn't acknowledged for
/// [`UNACKNOWLEDGED_TIMEOUT`]. A connection can go silent without a reset; without this
/// only the caller's deadline would end the wait.
fn limit_silence(stream: &TcpStream) {
    let millis = u32::try_from(UNACKNOWLEDGED_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    if let Err(error) = rustix::net::sockopt::set_tcp_user_timeout(stream, millis) {
        log::debug!(event = "user_timeout_refused", error:% = error; "the system can't limit the silence of a connection");
    }
}

#[derive(Debug)]
struct IdleConnection {
    since: Instant,
    keep: Duration,
    connection: BackendConnection,
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        !self.connection.sender.is_closed() && now.duration_since(self.since) < self.keep
    }
}

#[derive(Debug, Default)]
struct ServerPool {
    open: u32,
    idle: Vec<IdleConnection>,
}

/// The state of the pool's task.
struct PoolTask {
    /// Weak, or the pool's own handle would keep the pool alive for ever.
    weak_tx: mpsc::WeakUnboundedSender<PoolMessage>,
    servers: HashMap<SocketAddr, ServerPool>,
}

impl PoolTask {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<PoolMessage>) {
        let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
        loop {
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _ = sweep.tick() => self.sweep(),
            }
        }
    }

    fn handle(&mut self, message: PoolMessage) {
        match message {
            PoolMessage::Checkout {
                address,
                limit,
                fresh,
                reply,
            } => self.check_out(address, limit, fresh, reply),
            PoolMessage::Return(connection, keep) => self.take_back(connection, keep),
            PoolMessage::Closed(address) => self.note_closed(address),
            PoolMessage::Disconnect(address) => self.disconnect(address),
        }
    }

    fn check_out(
        &mut self,
        address: SocketAddr,
        limit: u32,
        fresh: bool,
        reply: oneshot::Sender<Checkout>,
    ) {
        let now = Instant::now();
        let server = self.servers.entry(address).or_default();
        while !fresh && let Some(idle) = server.idle.pop() {
            if idle.is_usable(now) {
                // A requester that has gone drops, and so closes, the connection.
                let _ = reply.send(Checkout::Reuse(idle.connection));
                return;
            }
        }
        if server.open >= limit {
            let _ = reply.send(Checkout::LimitReached);
            return;
        }
        let Some(tx) = self.weak_tx.upgrade() else {
            return;
        };
        server.open += 1;
        let _ = reply.send(Checkout::Connect(ConnectionPermit { address, tx }));
    }

    fn take_back(&mut self, mut connection: BackendConnection, keep: Duration) {
        connection.reused = true;
        let Some(server) = self.servers.get_mut(&connection.address) else {
            return;
        };
        server.idle.push(IdleConnection {
            since: Instant::now(),
            keep,
            connection,
        });
    }

    fn note_closed(&mut self, address: SocketAddr) {
        let Some(server) = self.servers.get_mut(&address) else {
            return;
        };
        server.open = server.open.saturating_sub(1);
        if server.open == 0 {
            self.servers.remove(&address);
        }
    }

    fn disconnect(&mut self, address: SocketAddr) {
        if let Some(server) = self.servers.get_mut(&address) {
            server.idle.clear();
        }
    }

    fn sweep(&mut self) {
        let now = Instant::now();
        for server in self.servers.values_mut() {
            server.idle.retain(|idle| idle.is_usable(now));
        }
    }
}
