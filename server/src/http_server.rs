//! Serves HTTP connections within resource limits.
//!
//! The cost of a slow or misbehaving peer must be bounded: the number of connections, the size
//! of a request head and the time until the first head arrives are limited.
//!
//! Plaintext HTTP/1.1 connections are served by [`crate::pipelined_connection`].

use std::convert::Infallible;
use std::fmt;
use std::io::Cursor;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use heatherring_lib::clock::Clock;
use heatherring_lib::head_scanner::HeadFraming;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::TRANSFER_ENCODING;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::answer_body::AnswerBody;
use crate::body_memory::BodyMemory;
use crate::peer_security::PeerSecurity;
use crate::pipeline_io::Progress;
use crate::pipelined_connection;
use crate::pipelined_connection::MAX_READ_AHEAD_PER_LISTENER;
use crate::pipelined_connection::PipelineSetup;
use crate::reply;
use crate::request_body::RequestBody;
use crate::request_fault;
use crate::stream_watch::StreamWatch;

/// Largest number of concurrent streams on one HTTP/2 connection.
const MAX_STREAMS: u32 = 1_024;

/// Flow-control window of an HTTP/2 stream in bytes; large enough for the round trip between
/// regions.
pub const STREAM_WINDOW: u32 = 1 << 20;

/// Flow-control window of an HTTP/2 connection in bytes.
pub const CONNECTION_WINDOW: u32 = 1 << 24;

/// Interval of pings on an HTTP/2 connection, and the timeout of their answers. They detect
/// peers that vanished without closing the connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after a failed accept, for example for lack of file descriptors; without it the loop
/// would spin until another connection closes.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Connection preface of HTTP/2.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Smallest limit on the size of a request head, in bytes; `hyper` requires this much.
const MIN_HEADER_BYTES: usize = 8 << 10;

/// Limits the resources that the peers of one listener may use.
#[derive(Clone, Debug)]
pub struct HttpBounds {
    /// Largest number of open connections; further ones are closed when they arrive.
    pub max_connections: usize,
    /// Counts the open and the refused connections.
    pub usage: ConnectionUsage,
    /// Source of the limits of a single connection.
    pub limits: LimitsSource,
    /// The HTTP versions that the listener speaks.
    pub versions: HttpVersions,
    /// Determines the arrival times of requests.
    pub clock: Arc<dyn Clock>,
}

impl HttpBounds {
    /// Returns the bounds of a listener whose connections are counted in `usage`.
    #[must_use]
    pub fn counting(self, usage: ConnectionUsage) -> Self {
        Self { usage, ..self }
    }
}

/// Counts the connections of a listener; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct ConnectionUsage(Arc<UsageCounts>);

#[derive(Debug, Default)]
struct UsageCounts {
    open: AtomicUsize,
    refused: AtomicU64,
}

impl ConnectionUsage {
    /// Returns the number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.0.open.load(Ordering::Relaxed)
    }

    /// Returns how many connections were refused since the start.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.0.refused.load(Ordering::Relaxed)
    }

    fn count_refused(&self) {
        self.0.refused.fetch_add(1, Ordering::Relaxed);
    }

    fn opened(&self) -> OpenConnection {
        self.0.open.fetch_add(1, Ordering::Relaxed);
        OpenConnection(self.clone())
    }
}

/// Counts as an open connection until it is dropped.
struct OpenConnection(ConnectionUsage);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Limits the resources that one connection may use.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Largest size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Time within which a request's head must be complete after its first byte.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// Provides the limits for connections that are opened now.
#[derive(Clone)]
pub struct LimitsSource(Arc<dyn Fn() -> ConnectionLimits + Send + Sync>);

impl LimitsSource {
    /// Creates a source that calls `limits` for each new connection.
    pub fn new(limits: impl Fn() -> ConnectionLimits + Send + Sync + 'static) -> Self {
        Self(Arc::new(limits))
    }

    /// Creates a source with the same limits for all connections.
    #[must_use]
    pub fn fixed(limits: ConnectionLimits) -> Self {
        Self::new(move || limits)
    }

    fn now(&self) -> ConnectionLimits {
        let limits = (self.0)();
        ConnectionLimits {
            max_header_bytes: limits.max_header_bytes.max(MIN_HEADER_BYTES),
            ..limits
        }
    }
}

impl fmt::Debug for LimitsSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LimitsSource")
    }
}

/// Holds the signals that tell connections to end.
#[derive(Clone, Debug)]
pub struct Stops {
    /// The process will stop soon: each connection accepts at most one more request.
    pub leaving: CancellationToken,
    /// No further request is accepted.
    pub stop: CancellationToken,
}

impl From<CancellationToken> for Stops {
    /// Stops without a preceding leaving phase.
    fn from(stop: CancellationToken) -> Self {
        Self {
            leaving: stop.clone(),
            stop,
        }
    }
}

/// Holds the origin and arrival time of a request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The address of the peer.
    pub peer: SocketAddr,
    /// When the last byte of its head was read. The request's deadline counts from here, also
    /// while it waits for earlier requests on its connection.
    pub at: Instant,
}

/// Selects the versions of HTTP that a listener speaks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HttpVersions {
    /// HTTP/1.1 and HTTP/2, distinguished by the first bytes of a connection.
    Both,
    /// Only HTTP/1.1, which takes less memory.
    Http1,
}

/// Selects who may connect to a listener.
#[derive(Clone, Debug)]
pub enum Admittance {
    /// Anybody, without TLS.
    Anybody,
    /// Only processes of the deployment, which authenticate with its credentials.
    Deployment(PeerSecurity),
}

/// Handles requests. Each connection uses a clone of its own.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Handles one request. The future is dropped when the peer closes the connection.
    fn handle(
        &self,
        arrival: Arrival,
        req: Request<RequestBody>,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;

    /// Returns whether a request may be handled before the earlier ones on its connection are
    /// answered, because running it does no harm if its caller never learns the outcome.
    fn is_idempotent(&self, req: &Request<RequestBody>) -> bool {
        req.method().is_safe()
    }
}

/// Serves `listener` until `stop` is cancelled, then waits for the requests in progress on each
/// connection.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    admittance: Admittance,
    bounds: HttpBounds,
    handler: H,
    stops: Stops,
) {
    let connections = TaskTracker::new();
    let permits = Arc::new(Semaphore::new(bounds.max_connections));
    let builder = Arc::new(builder(&bounds));
    let ahead = Arc::new(Semaphore::new(MAX_READ_AHEAD_PER_LISTENER));
    let body_memory = BodyMemory::default();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stops.stop.cancelled() => break,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(event = "accept_failed", error = error.to_string().as_str(); "cannot accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            bounds.usage.count_refused();
            log::warn!(event = "connection_refused", peer = peer.to_string().as_str(); "closed a new connection: connection limit reached");
            continue;
        };
        let connection = Connection {
            admittance: admittance.clone(),
            builder: Arc::clone(&builder),
            handler: handler.clone(),
            peer,
            limits: bounds.limits.now(),
            versions: bounds.versions,
            clock: Arc::clone(&bounds.clock),
            stops: stops.clone(),
            ahead: Arc::clone(&ahead),
            body_memory: body_memory.clone(),
            _permit: permit,
            _open: bounds.usage.opened(),
        };
        connections.spawn(connection.run(stream));
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

fn builder(bounds: &HttpBounds) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    let limits = bounds.limits.now();
    if bounds.versions == HttpVersions::Http1 {
        builder = builder.http1_only();
    }
    builder
        .http1()
        .timer(TokioTimer::new())
        .max_buf_size(limits.max_header_bytes)
        .header_read_timeout(limits.header_timeout);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(limits.max_header_bytes).unwrap_or(u32::MAX))
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT);
    builder
}

struct Connection<H> {
    admittance: Admittance,
    builder: Arc<auto::Builder<TokioExecutor>>,
    handler: H,
    peer: SocketAddr,
    limits: ConnectionLimits,
    versions: HttpVersions,
    clock: Arc<dyn Clock>,
    stops: Stops,
    ahead: Arc<Semaphore>,
    body_memory: BodyMemory,
    _permit: OwnedSemaphorePermit,
    _open: OpenConnection,
}

impl<H: Handler> Connection<H> {
    async fn run(self, stream: TcpStream) {
        // Nagle's algorithm could delay the end of an answer until an acknowledgement.
        if stream.set_nodelay(true).is_err() {
            return;
        }
        match &self.admittance {
            Admittance::Anybody => self.detect_version(stream).await,
            Admittance::Deployment(security) => match security.accept(stream).await {
                Ok(stream) => self.serve(stream).await,
                Err(error) => {
                    log::warn!(event = "peer_refused", peer = self.peer.to_string().as_str(), error = error.to_string().as_str(); "refused a peer that failed to authenticate");
                }
            },
        }
    }

    /// Detects the HTTP version from the first bytes, and serves the connection accordingly.
    async fn detect_version(&self, mut stream: TcpStream) {
        if self.versions == HttpVersions::Http1 {
            return self.pipeline(stream, Bytes::new()).await;
        }
        let reading = read_preface(&mut stream);
        let Ok(Ok(prefix)) = tokio::time::timeout(self.limits.header_timeout, reading).await else {
            log::debug!(event = "connection_broken", peer = self.peer.to_string().as_str(); "a peer sent too few bytes to detect its HTTP version");
            return;
        };
        if prefix == HTTP2_PREFACE {
            let (read_half, write_half) = stream.into_split();
            let read_half = Cursor::new(prefix).chain(read_half);
            self.serve(tokio::io::join(read_half, write_half)).await;
        } else {
            self.pipeline(stream, prefix.into()).await;
        }
    }

    async fn pipeline(&self, stream: TcpStream, prefix: Bytes) {
        let setup = PipelineSetup {
            handler: self.handler.clone(),
            peer: self.peer,
            limits: self.limits,
            progress: Arc::new(Progress::new(Arc::clone(&self.clock))),
            stops: self.stops.clone(),
            listener_read_ahead: Arc::clone(&self.ahead),
            body_memory: self.body_memory.clone(),
        };
        pipelined_connection::serve(stream, prefix, setup).await;
    }

    async fn serve(&self, stream: impl AsyncRead + AsyncWrite + Send + Unpin + 'static) {
        let begun = Arc::new(AtomicBool::new(false));
        // Other entry VMs keep their connections, and end the streams that they do not read.
        let watch = matches!(self.admittance, Admittance::Anybody)
            .then(|| StreamWatch::new(Arc::clone(&self.clock)));
        let service = service_fn({
            let begun = Arc::clone(&begun);
            let handler = self.handler.clone();
            let peer = self.peer;
            let clock = Arc::clone(&self.clock);
            let body_memory = self.body_memory.clone();
            let watch = watch.clone();
            move |req: Request<Incoming>| {
                begun.store(true, Ordering::Relaxed);
                let handler = handler.clone();
                let at = clock.now();
                let arrival = Arrival { peer, at };
                let req = req.map(|body| RequestBody::new(body, body_memory.clone()));
                let stream = watch.as_ref().map(StreamWatch::begin);
                async move {
                    let response = answer(handler, arrival, req).await;
                    Ok::<_, Infallible>(match stream {
                        Some(stream) => response.map(|body| stream.wrap(body)),
                        None => response,
                    })
                }
            }
        });
        let connection = self.builder.serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let first_head = tokio::time::sleep(self.limits.header_timeout);
        let mut first_head = std::pin::pin!(first_head);
        let mut watch_first_head = true;
        let mut watch_stop = true;
        let mut idle_timeout = self.limits.idle_timeout;
        loop {
            tokio::select! {
                result = connection.as_mut() => {
                    if let Err(error) = result {
                        log::debug!(event = "connection_broken", peer = self.peer.to_string().as_str(), error = error.to_string().as_str(); "a connection broke off");
                    }
                    return;
                }
                // The HTTP library starts its own timeout only after it has detected the version;
                // a peer that sends fewer bytes than that would stay connected for ever.
                () = first_head.as_mut(), if watch_first_head => {
                    watch_first_head = false;
                    if !begun.load(Ordering::Relaxed) {
                        return;
                    }
                }
                () = overdue(watch.as_ref(), idle_timeout) => {
                    if idle_timeout > self.limits.idle_timeout {
                        return;
                    }
                    // A request that is on its way is still handled.
                    idle_timeout *= 2;
                    connection.as_mut().graceful_shutdown();
                }
                () = self.stops.stop.cancelled(), if watch_stop => {
                    watch_stop = false;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Completes when a caller has made no progress for `timeout`; never without a watch.
async fn overdue(watch: Option<&Arc<StreamWatch>>, timeout: Duration) {
    match watch {
        Some(watch) => watch.overdue(timeout).await,
        None => std::future::pending().await,
    }
}

/// Answers a request on a connection that is not pipelined. The raw bytes of its head are not
/// scanned here, so any request with a transfer encoding is refused, as it cannot be told from
/// one that gives its length in two ways. Processes of the deployment speak HTTP/2, which has
/// no transfer encodings.
async fn answer<H: Handler>(
    handler: H,
    arrival: Arrival,
    req: Request<RequestBody>,
) -> Response<AnswerBody> {
    let framing = if req.headers().contains_key(TRANSFER_ENCODING) {
        HeadFraming::LengthAndEncoding
    } else {
        HeadFraming::Plain
    };
    let checked = request_fault::check_framing(framing)
        .and_then(|()| request_fault::check_method(req.method()))
        .and_then(|()| request_fault::check_host(req.version(), req.headers()));
    let Err(fault) = checked else {
        return handler.handle(arrival, req).await;
    };
    log::debug!(event = "request_refused", peer:% = arrival.peer, error:% = fault; "refused an invalid request");
    let mut response = reply::status(StatusCode::BAD_REQUEST);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// Reads until the bytes equal the HTTP/2 connection preface or differ from it.
async fn read_preface(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::with_capacity(HTTP2_PREFACE.len());
    while bytes.len() < HTTP2_PREFACE.len() && HTTP2_PREFACE.starts_with(&bytes) {
        let room = (HTTP2_PREFACE.len() - bytes.len()) as u64;
        if stream.take(room).read_buf(&mut bytes).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(bytes)
}
