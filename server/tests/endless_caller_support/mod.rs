//! A listener with short time-outs, and callers that send without end.

#![allow(
    dead_code,
    reason = "each test file is a crate of its own and uses only a part of this module"
)]

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use heatherring_lib::clock::SystemClock;
use heatherring_server::answer_body;
use heatherring_server::answer_body::AnswerBody;
use heatherring_server::http_server;
use heatherring_server::http_server::Admittance;
use heatherring_server::http_server::Arrival;
use heatherring_server::http_server::ConnectionLimits;
use heatherring_server::http_server::ConnectionUsage;
use heatherring_server::http_server::Handler;
use heatherring_server::http_server::HttpBounds;
use heatherring_server::http_server::HttpVersions;
use heatherring_server::http_server::LimitsSource;
use heatherring_server::request_body;
use heatherring_server::request_body::RequestBody;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Largest body of a request that the listener reads.
pub const MAX_BODY: u32 = 1 << 20;

/// Largest call to control that the listener reads.
const MAX_CALL: usize = 1 << 10;

/// Time after which a connection without progress is closed; longer than a busy machine delays a
/// test.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a test fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which a caller floods its connection unless that ends before.
const FLOOD_TIME: Duration = Duration::from_secs(10);

/// Path of requests whose bodies are kept until their callers leave, if they are long.
pub const KEPT: &str = "kept";

/// Length from which these are kept.
pub const KEPT_BYTES: usize = 32 << 20;

/// Path of requests that are answered long after the idle timeout.
pub const LATE: &str = "late";

/// Reads bodies as entry VMs and control replicas do, and answers with as many bytes as the path
/// says.
#[derive(Clone, Debug)]
struct Sized {
    /// Number of bodies that were kept so far.
    kept: Arc<watch::Sender<usize>>,
}

impl Handler for Sized {
    async fn handle(&self, arrival: Arrival, req: Request<RequestBody>) -> Response<AnswerBody> {
        let (head, body) = req.into_parts();
        let path = head.uri.path().trim_start_matches('/');
        if path == KEPT {
            return self.keep(arrival, body).await;
        }
        let is_read = if path == "control" {
            request_body::read_control_call(body, MAX_CALL)
                .await
                .is_ok()
        } else {
            let deadline = arrival.at + TEST_TIMEOUT;
            request_body::read(body, MAX_BODY, deadline).await.is_ok()
        };
        if path == LATE {
            tokio::time::sleep(IDLE_TIMEOUT * 3).await;
        }
        let mut response = Response::new(answer(path.parse().unwrap_or(0)));
        if !is_read {
            *response.status_mut() = StatusCode::BAD_REQUEST;
        }
        response
    }
}

/// Returns a body of about so many bytes, in several frames.
fn answer(bytes: usize) -> AnswerBody {
    const FRAME_BYTES: usize = 50_000;
    let frame = Bytes::from(vec![b'x'; FRAME_BYTES]);
    let frames = (0..bytes / FRAME_BYTES).map(move |_| Ok(Frame::data(frame.clone())));
    StreamBody::new(futures_util::stream::iter(frames)).boxed_unsync()
}

impl Sized {
    async fn keep(&self, arrival: Arrival, body: RequestBody) -> Response<AnswerBody> {
        let deadline = arrival.at + TEST_TIMEOUT;
        let mut response = Response::new(answer_body::empty());
        match request_body::read(body, u32::MAX, deadline).await {
            Ok(content) if content.len() >= KEPT_BYTES => {
                self.kept.send_modify(|kept| *kept += 1);
                std::future::pending::<()>().await;
                drop(content);
            }
            Ok(_) => {}
            Err(reason) => {
                *response.status_mut() = StatusCode::from_u16(reason.status()).unwrap();
            }
        }
        response
    }
}

/// A listener that runs as a task of the test.
pub struct Server {
    pub address: SocketAddr,
    pub usage: ConnectionUsage,
    kept: watch::Receiver<usize>,
}

impl Server {
    pub async fn start(versions: HttpVersions) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let usage = ConnectionUsage::default();
        let bounds = HttpBounds {
            max_connections: 8,
            usage: usage.clone(),
            limits: LimitsSource::fixed(ConnectionLimits {
                max_header_bytes: 8 << 10,
                header_timeout: IDLE_TIMEOUT,
                idle_timeout: IDLE_TIMEOUT,
            }),
            versions,
            clock: Arc::new(SystemClock),
        };
        let stop = CancellationToken::new();
        let (kept_tx, kept) = watch::channel(0);
        let handler = Sized {
            kept: Arc::new(kept_tx),
        };
        tokio::spawn(http_server::serve(
            listener,
            Admittance::Anybody,
            bounds,
            handler,
            stop.into(),
        ));
        Self {
            address,
            usage,
            kept,
        }
    }

    /// Waits until so many bodies were kept since the start.
    pub async fn until_kept(&mut self, bodies: usize) {
        let waiting = self.kept.wait_for(|kept| *kept >= bodies);
        let waiting = tokio::time::timeout(TEST_TIMEOUT, waiting);
        waiting.await.expect("the body is kept").unwrap();
    }

    /// Waits until no connection is open.
    pub async fn until_unused(&self) {
        let unused = async {
            while self.usage.open() > 0 {
                tokio::time::sleep(IDLE_TIMEOUT / 10).await;
            }
        };
        let waiting = tokio::time::timeout(TEST_TIMEOUT, unused);
        waiting.await.expect("the connection ends");
    }
}

/// Sends `begin` and then bytes without end. Returns how many the peer took before it ended the
/// connection; `None` if it did not.
pub fn flood(address: SocketAddr, begin: &str) -> Option<u64> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(begin.as_bytes()).unwrap();
    let until = Instant::now() + FLOOD_TIME;
    // Several writers keep the socket full.
    let writers: Vec<_> = (0..3)
        .map(|_| {
            let mut stream = stream.try_clone().unwrap();
            std::thread::spawn(move || {
                let block = vec![b'x'; 64 << 10];
                let mut taken = 0;
                while Instant::now() < until {
                    match stream.write(&block) {
                        Ok(bytes) => taken += u64::try_from(bytes).unwrap(),
                        Err(_) => return Some(taken),
                    }
                }
                None
            })
        })
        .collect();
    writers
        .into_iter()
        .map(|writer| writer.join().unwrap())
        .sum()
}
