//! A listener that echoes the path and body of each request, for some paths only once the test
//! releases them.

#![allow(dead_code)]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

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
use heatherring_server::http_server::Stops;
use heatherring_server::request_body::RequestBody;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Time after which a test fails; generous, and no measurement depends on it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Prefix of paths whose requests are answered once the test releases them.
pub const WAIT: &str = "/wait/";

/// Prefix of paths whose requests are answered on release, while their bodies are still read.
pub const EARLY: &str = "/early/";

#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Paths and bodies of requests, in the order in which the handler recorded them.
    pub begun: Vec<(String, String)>,
    pub arrivals: Vec<Instant>,
    /// Paths whose handler was cancelled before it answered.
    pub dropped: BTreeSet<String>,
    pub released: BTreeSet<String>,
}

/// Handler that echoes the path and body of each request.
#[derive(Clone, Debug)]
pub struct Echo {
    seen: Arc<watch::Sender<Seen>>,
}

pub struct DropRecorder {
    echo: Echo,
    path: Option<String>,
}

impl Drop for DropRecorder {
    fn drop(&mut self) {
        if let Some(path) = self.path.take() {
            self.echo.seen.send_modify(|seen| {
                seen.dropped.insert(path);
            });
        }
    }
}

impl Handler for Echo {
    async fn handle(&self, arrival: Arrival, req: Request<RequestBody>) -> Response<AnswerBody> {
        let path = req.uri().path().to_owned();
        let mut drop_recorder = DropRecorder {
            echo: self.clone(),
            path: Some(path.clone()),
        };
        if path.starts_with(EARLY) {
            drop_recorder.path = None;
            return self.answer_early(&path, req.into_body()).await;
        }
        let body = match req.into_body().collect().await {
            Ok(body) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
            Err(_) => "broken".to_owned(),
        };
        self.seen.send_modify(|seen| {
            seen.begun.push((path.clone(), body.clone()));
            seen.arrivals.push(arrival.at);
        });
        if path.starts_with(WAIT) {
            let mut seen = self.seen.subscribe();
            let _ = seen.wait_for(|seen| seen.released.contains(&path)).await;
        }
        drop_recorder.path = None;
        Response::new(answer_body::full(format!("<{path} {body}>")))
    }
}

impl Echo {
    async fn answer_early(&self, path: &str, body: RequestBody) -> Response<AnswerBody> {
        self.seen
            .send_modify(|seen| seen.begun.push((path.to_owned(), String::new())));
        let mut seen = self.seen.subscribe();
        let _ = seen.wait_for(|seen| seen.released.contains(path)).await;
        tokio::spawn(body.collect());
        Response::new(answer_body::full(format!("<{path} >")))
    }
}

pub struct Server {
    pub address: SocketAddr,
    pub echo: Echo,
    pub stops: Stops,
    pub serving: JoinHandle<()>,
}

impl Server {
    pub async fn start() -> Self {
        Self::start_with(HttpVersions::Http1, TEST_TIMEOUT).await
    }

    pub async fn start_with(versions: HttpVersions, idle_timeout: Duration) -> Self {
        Self::start_for(Admittance::Anybody, versions, idle_timeout).await
    }

    pub async fn start_for(
        admittance: Admittance,
        versions: HttpVersions,
        idle_timeout: Duration,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (seen, _) = watch::channel(Seen::default());
        let echo = Echo {
            seen: Arc::new(seen),
        };
        let stops = Stops {
            leaving: CancellationToken::new(),
            stop: CancellationToken::new(),
        };
        let limits = ConnectionLimits {
            max_header_bytes: 8 << 10,
            header_timeout: Duration::from_millis(300),
            idle_timeout,
        };
        let bounds = HttpBounds {
            max_connections: 8,
            usage: ConnectionUsage::default(),
            limits: LimitsSource::fixed(limits),
            versions,
            clock: Arc::new(SystemClock),
        };
        let serving = tokio::spawn(http_server::serve(
            listener,
            admittance,
            bounds,
            echo.clone(),
            stops.clone(),
        ));
        Self {
            address,
            echo,
            stops,
            serving,
        }
    }

    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    pub async fn until(&self, met: impl FnMut(&Seen) -> bool) -> Seen {
        let mut seen = self.echo.seen.subscribe();
        let waiting = seen.wait_for(met);
        let met = tokio::time::timeout(TEST_TIMEOUT, waiting).await;
        met.expect("the condition holds in time").unwrap().clone()
    }

    pub fn release(&self, path: &str) {
        self.echo.seen.send_modify(|seen| {
            seen.released.insert(path.to_owned());
        });
    }

    pub fn begun(&self) -> Vec<String> {
        let seen = self.echo.seen.borrow();
        seen.begun.iter().map(|(path, _)| path.clone()).collect()
    }
}

/// Reads until the peer closes or resets the connection.
pub async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let reading = stream.read_to_end(&mut bytes);
    // What arrived before a reset counts as well.
    let _ = tokio::time::timeout(TEST_TIMEOUT, reading).await.unwrap();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads until the bytes read contain `end`.
pub async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut bytes = Vec::new();
    let reading = async {
        while !String::from_utf8_lossy(&bytes).contains(end) {
            assert!(stream.read_buf(&mut bytes).await.unwrap() > 0, "{bytes:?}");
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, reading).await.unwrap();
    String::from_utf8_lossy(&bytes).into_owned()
}

pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

pub fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n{body}")
}
