//! Pool of connections to backend servers.
//!
//! One task owns the idle connections to all backend servers that this entry VM owns and
//! counts the open ones. A new connection costs a backend server about 1 ms, so the most
//! recently used one is handed out first.
//!
//! A connection whose answer was abandoned or broke off is never reused: the rest of that
//! answer would be read as the answer to the next caller. Such a connection is dropped, which
//! resets it: that cancels the work behind it, and what the network still holds of its request is
//! void. Only a connection whose answer named its request and was read to its last byte can be
//! returned to the pool.
//!
//! A request is not sent on a connection that carried one with the same identifier: a late answer
//! to that one could not be told from its own. Without an identifier it gets a new connection, the
//! only place where an answer that names no request belongs to no other.
//!
//! From a backend server that has echoed identifiers lately, an answer that names no request is
//! accepted nowhere, whatever the interface permits: it may have been sent before the request was
//! read.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::answer_pairing::EchoPolicy;
use heatherring_lib::answer_pairing::EchoRecord;
use heatherring_lib::answer_pairing::IdHash;
use heatherring_lib::answer_pairing::MismatchRecord;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::backend_connection;
use crate::backend_connection::BackendConnection;
use crate::backend_connection::ConnectError;
use crate::backend_connection::ConnectOptions;
use crate::backend_connection::LimitReachedSnafu;

/// Idle time after which a connection is closed rather than reused. Backend servers close
/// idle connections on their own, and a request that crosses such a close on the wire has an
/// unknown outcome.
const MAX_IDLE: Duration = Duration::from_secs(15);

/// Time between two removals of expired idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Longest time that an attempt to connect may delay a request.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Counts one open connection until it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionPermit {
    address: SocketAddr,
    /// Whether the backend server is known to echo identifiers always.
    known_echo: EchoPolicy,
    tx: mpsc::UnboundedSender<PoolMessage>,
}

impl ConnectionPermit {
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) const fn known_echo(&self) -> EchoPolicy {
        self.known_echo
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        // A failed send means that the pool has ended, and its counts with it.
        let _ = self.tx.send(PoolMessage::Closed(self.address));
    }
}

#[derive(Debug)]
enum Checkout {
    Reuse(BackendConnection),
    Connect(ConnectionPermit),
    LimitReached,
}

/// Which idle connections may carry a request.
#[derive(Clone, Copy, Debug)]
enum Reuse {
    /// None.
    Never,
    /// Those that did not carry a request with this identifier.
    For(IdHash),
}

impl Reuse {
    fn permits(self, connection: &BackendConnection) -> bool {
        match self {
            Self::Never => false,
            Self::For(id) => !connection.carried.contains(id),
        }
    }
}

#[derive(Debug)]
enum PoolMessage {
    Checkout {
        address: SocketAddr,
        limit: u32,
        reuse: Reuse,
        reply: oneshot::Sender<Checkout>,
    },
    Return(BackendConnection, Duration),
    Closed(SocketAddr),
    Disconnect(SocketAddr),
    Mismatched(SocketAddr),
}

/// Sends messages to the pool's task.
#[derive(Clone, Debug)]
pub struct BackendPool {
    tx: mpsc::UnboundedSender<PoolMessage>,
}

impl BackendPool {
    /// Spawns the pool's task, which ends when its last handle is dropped.
    #[must_use]
    pub fn spawn() -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let task = PoolTask {
            weak_tx: tx.downgrade(),
            servers: HashMap::new(),
            mismatches: HashMap::new(),
            echoing: HashMap::new(),
        };
        tokio::spawn(task.run(rx));
        Self { tx }
    }

    /// Takes an idle connection to `address` for the request with the identifier `id`, or opens one
    /// if `limit` allows it.
    ///
    /// # Errors
    ///
    /// Fails if the limit is reached or the connection cannot be established. The request has
    /// not reached the backend server then.
    pub async fn connect(
        &self,
        address: SocketAddr,
        limit: u32,
        id: Option<&str>,
    ) -> Result<BackendConnection, ConnectError> {
        let options = ConnectOptions {
            timeout: CONNECT_TIMEOUT,
            receive_buffer: None,
        };
        self.connect_with(address, limit, id, options).await
    }

    /// Like [`Self::connect`], with options for a new connection.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::connect`].
    pub async fn connect_with(
        &self,
        address: SocketAddr,
        limit: u32,
        id: Option<&str>,
        options: ConnectOptions,
    ) -> Result<BackendConnection, ConnectError> {
        let reuse = id.map_or(Reuse::Never, |id| Reuse::For(IdHash::of(id)));
        loop {
            let checkout = self.check_out(address, limit, reuse);
            // A place that is about to become free may be late.
            let checkout = tokio::time::timeout(options.timeout, checkout).await;
            match checkout.unwrap_or(Ok(Checkout::LimitReached))? {
                Checkout::Reuse(mut connection) => {
                    // The driver may not have seen the end of the last exchange yet.
                    if connection.sender.ready().await.is_ok() {
                        return Ok(connection);
                    }
                }
                Checkout::Connect(permit) => {
                    return backend_connection::open(permit, options).await;
                }
                Checkout::LimitReached => return LimitReachedSnafu { address, limit }.fail(),
            }
        }
    }

    /// Opens a new connection even if others are idle: those to a process that has ended may not
    /// have been closed yet, and those that carried requests may still carry a late answer.
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
        let options = ConnectOptions {
            timeout,
            receive_buffer: None,
        };
        self.connect_with(address, limit, None, options).await
    }

    /// Returns a connection whose answer was read to its last byte to the pool. It is closed if that
    /// answer did not name its request, or if it has carried
    /// [`MAX_CARRIED_REQUESTS`](heatherring_lib::answer_pairing::MAX_CARRIED_REQUESTS).
    pub fn give_back(&self, connection: BackendConnection) {
        self.give_back_for(connection, MAX_IDLE);
    }

    /// Like [`Self::give_back`], for a connection that may stay idle for at most `max_idle`.
    pub fn give_back_for(&self, connection: BackendConnection, max_idle: Duration) {
        connection.user.end();
        let max_idle = max_idle.min(MAX_IDLE);
        // A failed send drops the connection and thereby closes it.
        let _ = self.tx.send(PoolMessage::Return(connection, max_idle));
    }

    /// Closes a connection on which an answer to another request arrived. For a while no connection
    /// to its backend server is kept, unless the connection was new: others that are new would fare
    /// no better.
    pub fn close_mismatched(&self, connection: BackendConnection) {
        let address = connection.address;
        let was_kept = !connection.carries_first();
        drop(connection);
        if was_kept {
            let _ = self.tx.send(PoolMessage::Mismatched(address));
        }
    }

    /// Closes the idle connections to `address`, so that they do not count against the backend
    /// server's connection limit when its new owner connects.
    pub fn disconnect(&self, address: SocketAddr) {
        let _ = self.tx.send(PoolMessage::Disconnect(address));
    }

    async fn check_out(
        &self,
        address: SocketAddr,
        limit: u32,
        reuse: Reuse,
    ) -> Result<Checkout, ConnectError> {
        let (reply, answer) = oneshot::channel();
        let message = PoolMessage::Checkout {
            address,
            limit,
            reuse,
            reply,
        };
        self.tx.send(message).ok().ok_or(ConnectError::PoolGone)?;
        answer.await.ok().ok_or(ConnectError::PoolGone)
    }
}

#[derive(Debug)]
struct IdleConnection {
    max_idle: Duration,
    connection: BackendConnection,
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        !self.connection.sender.is_closed()
            && now.duration_since(self.connection.idle_since) < self.max_idle
    }
}

#[derive(Debug, Default)]
struct ServerPool {
    /// Number of open connections.
    open: u32,
    /// Number of these that the pool has closed and whose tasks have not ended yet.
    closing: u32,
    idle: Vec<IdleConnection>,
    /// Requesters that take the places of those.
    waiting: VecDeque<oneshot::Sender<Checkout>>,
}

impl ServerPool {
    /// Takes the most recently used connection that may be reused. If there is none, closes those
    /// that were idle for too long.
    fn take_idle(&mut self, now: Instant, reuse: Reuse) -> Option<BackendConnection> {
        let suits = |idle: &IdleConnection| idle.is_usable(now) && reuse.permits(&idle.connection);
        let Some(position) = self.idle.iter().rposition(suits) else {
            self.close_unusable(now);
            return None;
        };
        Some(self.idle.remove(position).connection)
    }

    fn close_unusable(&mut self, now: Instant) {
        let unusable = self.idle.extract_if(.., |idle| !idle.is_usable(now));
        for idle in unusable {
            self.closing += u32::from(idle.connection.close());
        }
    }

    fn close_idle(&mut self) {
        for idle in self.idle.drain(..) {
            self.closing += u32::from(idle.connection.close());
        }
    }

    /// Returns whether a requester that finds all places taken gets that of a connection that is
    /// being closed. Idle connections do not suit it, so one of them is closed if need be.
    fn may_wait(&mut self) -> bool {
        let is_free = |server: &Self| server.waiting.len() < server.closing as usize;
        if !is_free(self)
            && let Some(idle) = self.idle.pop()
        {
            self.closing += u32::from(idle.connection.close());
        }
        is_free(self)
    }

    /// Counts a connection as closed, and returns who takes its place.
    fn note_closed(&mut self) -> Option<oneshot::Sender<Checkout>> {
        self.open = self.open.saturating_sub(1);
        self.closing = self.closing.saturating_sub(1).min(self.open);
        std::iter::from_fn(|| self.waiting.pop_front()).find(|reply| !reply.is_closed())
    }

    fn is_unused(&self) -> bool {
        self.open == 0 && self.waiting.is_empty()
    }
}

/// Holds the state of the pool's task.
struct PoolTask {
    /// Weak, because a strong handle of its own would keep the task running for ever.
    weak_tx: mpsc::WeakUnboundedSender<PoolMessage>,
    servers: HashMap<SocketAddr, ServerPool>,
    /// Backend servers to which no connections are kept.
    mismatches: HashMap<SocketAddr, MismatchRecord>,
    /// Backend servers that are known to echo identifiers.
    echoing: HashMap<SocketAddr, EchoRecord>,
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
                reuse,
                reply,
            } => self.check_out(address, limit, reuse, reply),
            PoolMessage::Return(connection, max_idle) => self.return_idle(connection, max_idle),
            PoolMessage::Closed(address) => self.note_closed(address),
            PoolMessage::Disconnect(address) => self.disconnect(address),
            PoolMessage::Mismatched(address) => self.note_mismatch(address),
        }
    }

    fn check_out(
        &mut self,
        address: SocketAddr,
        limit: u32,
        reuse: Reuse,
        reply: oneshot::Sender<Checkout>,
    ) {
        let now = Instant::now();
        let server = self.servers.entry(address).or_default();
        if let Some(connection) = server.take_idle(now, reuse) {
            // If the requester has gone, the connection is dropped and thereby closed.
            let _ = reply.send(Checkout::Reuse(connection));
            return;
        }
        if server.open < limit {
            self.permit(address, reply);
        } else if server.may_wait() {
            server.waiting.push_back(reply);
        } else {
            let _ = reply.send(Checkout::LimitReached);
        }
    }

    fn permit(&mut self, address: SocketAddr, reply: oneshot::Sender<Checkout>) {
        let Some(tx) = self.weak_tx.upgrade() else {
            return;
        };
        self.servers.entry(address).or_default().open += 1;
        let now = Instant::now();
        let record = self.echoing.get(&address);
        let known_echo = match record.filter(|record| !record.is_over(now)) {
            Some(_) => EchoPolicy::Always,
            None => EchoPolicy::Optional,
        };
        let permit = ConnectionPermit {
            address,
            known_echo,
            tx,
        };
        let _ = reply.send(Checkout::Connect(permit));
    }

    fn return_idle(&mut self, mut connection: BackendConnection, max_idle: Duration) {
        let is_kept = connection.may_be_kept && self.keeps_connections(connection.address);
        let now = Instant::now();
        if std::mem::take(&mut connection.is_named) {
            let record = EchoRecord::new(now);
            self.echoing.insert(connection.address, record);
        }
        connection.reused = true;
        connection.idle_since = now;
        let Some(server) = self.servers.get_mut(&connection.address) else {
            return;
        };
        if is_kept {
            server.idle.push(IdleConnection {
                max_idle,
                connection,
            });
        } else {
            server.closing += u32::from(connection.close());
        }
    }

    fn note_closed(&mut self, address: SocketAddr) {
        let Some(server) = self.servers.get_mut(&address) else {
            return;
        };
        let next = server.note_closed();
        if server.is_unused() {
            self.servers.remove(&address);
        }
        if let Some(reply) = next {
            self.permit(address, reply);
        }
    }

    fn note_mismatch(&mut self, address: SocketAddr) {
        let record = MismatchRecord::new(Instant::now());
        self.mismatches.insert(address, record);
        self.disconnect(address);
    }

    fn keeps_connections(&self, address: SocketAddr) -> bool {
        let record = self.mismatches.get(&address);
        record.is_none_or(|record| record.is_over(Instant::now()))
    }

    fn disconnect(&mut self, address: SocketAddr) {
        if let Some(server) = self.servers.get_mut(&address) {
            server.close_idle();
        }
    }

    fn sweep(&mut self) {
        let now = Instant::now();
        self.mismatches.retain(|_, record| !record.is_over(now));
        self.echoing.retain(|_, record| !record.is_over(now));
        for server in self.servers.values_mut() {
            server.close_unusable(now);
        }
    }
}
