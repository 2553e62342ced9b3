//! Serves HTTP connections within bounds.
//!
//! A slow or garbage peer must cost a bounded amount: the number of connections, the
//! size of a head and the time in which the first head must arrive are limited.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::answer_body::AnswerBody;
use crate::peer_security::PeerSecurity;

/// Streams that one HTTP/2 connection may have open.
const MAX_STREAMS: u32 = 1_024;

/// Bytes that may be under way on an HTTP/2 stream before the receiver has read them;
/// wide enough for the delay between regions.
pub const STREAM_WINDOW: u32 = 1 << 20;

/// The same for a whole HTTP/2 connection.
pub const CONNECTION_WINDOW: u32 = 1 << 24;

/// Time between pings on an HTTP/2 connection, and how long their answer may take. A
/// peer that vanished without a word is noticed by the missing answer.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after a failed accept, such as one for want of file descriptors; without it
/// the loop would spin until another connection closes.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Bounds what the peers of one listener may cost.
#[derive(Clone, Copy, Debug)]
pub struct HttpBounds {
    /// Connections open at once; further ones are closed on arrival.
    pub max_connections: usize,
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Time within which a request's head must arrive, counted from the end of the
    /// request before it.
    pub header_timeout: Duration,
    /// The versions of HTTP that are spoken.
    pub versions: HttpVersions,
}

/// Names the versions of HTTP that a listener speaks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HttpVersions {
    /// HTTP/1.1 and HTTP/2, told apart by the first bytes of a connection.
    Both,
    /// HTTP/1.1 alone, which takes less memory.
    Http1,
}

/// Tells who may connect to a listener.
#[derive(Clone, Debug)]
pub enum Admittance {
    /// Anybody, in the clear.
    Anybody,
    /// Processes of the deployment.
    Deployment(PeerSecurity),
}

/// Answers requests. Clones share what they need through messages.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request of the peer at `peer`. The future is dropped when the peer
    /// goes away.
    fn handle(
        &self,
        peer: SocketAddr,
        req: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;
}

/// Serves `listener` until `stop` is cancelled, then lets each connection finish what
/// it has begun.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    admittance: Admittance,
    bounds: HttpBounds,
    handler: H,
    stop: CancellationToken,
) {
    let connections = TaskTracker::new();
    let permits = Arc::new(Semaphore::new(bounds.max_connections));
    let builder = Arc::new(builder(&bounds));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(event = "accept_failed", error = error.to_string().as_str(); "can't accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            log::warn!(event = "connection_refused", peer = peer.to_string().as_str(); "too many connections");
            continue;
        };
        let connection = Connection {
            admittance: admittance.clone(),
            builder: Arc::clone(&builder),
            handler: handler.clone(),
            peer,
            header_timeout: bounds.header_timeout,
            stop: stop.clone(),
            _permit: permit,
        };
        connections.spawn(connection.run(stream));
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

fn builder(bounds: &HttpBounds) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    if bounds.versions == HttpVersions::Http1 {
        builder = builder.http1_only();
    }
    builder
        .http1()
        .timer(TokioTimer::new())
        .max_buf_size(bounds.max_header_bytes)
        .header_read_timeout(bounds.header_timeout);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(bounds.max_header_bytes).unwrap_or(u32::MAX))
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
    header_timeout: Duration,
    stop: CancellationToken,
    _permit: OwnedSemaphorePermit,
}

impl<H: Handler> Connection<H> {
    async fn run(self, stream: TcpStream) {
        // Without this the end of an answer may wait for an acknowledgement.
        if stream.set_nodelay(true).is_err() {
            return;
        }
        match &self.admittance {
            Admittance::Anybody => self.serve(stream).await,
            Admittance::Deployment(security) => match security.accept(stream).await {
                Ok(stream) => self.serve(stream).await,
                Err(error) => {
                    log::warn!(event = "peer_refused", peer = self.peer.to_string().as_str(), error = error.to_string().as_str(); "a peer couldn't prove that it belongs here");
                }
            },
        }
    }

    async fn serve(&self, stream: impl AsyncRead + AsyncWrite + Send + Unpin + 'static) {
        let begun = Arc::new(AtomicBool::new(false));
        let service = service_fn({
            let begun = Arc::clone(&begun);
            let handler = self.handler.clone();
            let peer = self.peer;
            move |req| {
                begun.store(true, Ordering::Relaxed);
                let handler = handler.clone();
                async move { Ok::<_, Infallible>(handler.handle(peer, req).await) }
            }
        });
        let connection = self.builder.serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let first_head = tokio::time::sleep(self.header_timeout);
        let mut first_head = std::pin::pin!(first_head);
        let mut watch_first_head = true;
        let mut watch_stop = true;
        loop {
            tokio::select! {
                result = connection.as_mut() => {
                    if let Err(error) = result {
                        log::debug!(event = "connection_broken", peer = self.peer.to_string().as_str(), error = error.to_string().as_str(); "a connection ended early");
                    }
                    return;
                }
                // The HTTP library's own timeout starts only once it has told the
                // version apart; a peer that sends less than that would stay for ever.
                () = first_head.as_mut(), if watch_first_head => {
                    watch_first_head = false;
                    if !begun.load(Ordering::Relaxed) {
                        return;
                    }
                }
                () = self.stop.cancelled(), if watch_stop => {
                    watch_stop = false;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
