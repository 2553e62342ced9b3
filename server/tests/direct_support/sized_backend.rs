//! A backend server whose answers have the size that the path names.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio_util::task::AbortOnDropHandle;

use super::HEALTH_PATH;
use super::backend::Broken;

const PIECE: usize = 4_096;

/// Answers `/KIND/BYTES` with that many bytes, and `/KIND/BYTES/break` with half of them before it
/// breaks off.
pub struct SizedBackend {
    pub name: String,
    pub address: SocketAddr,
    /// Bytes of answers that were handed to connections.
    pub sent: Arc<AtomicUsize>,
    /// Answers that have begun and neither ended nor broken off.
    pub under_way: Arc<AtomicUsize>,
    _task: AbortOnDropHandle<()>,
}

impl SizedBackend {
    pub async fn start(name: &str, address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let sent = Arc::new(AtomicUsize::new(0));
        let under_way = Arc::new(AtomicUsize::new(0));
        let counts = (Arc::clone(&sent), Arc::clone(&under_way));
        let own_name = name.to_owned();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (name, counts) = (own_name.clone(), counts.clone());
                let service = service_fn(move |req: Request<Incoming>| {
                    let response = answer(&name, &req, &counts);
                    async move { Ok::<_, Broken>(response) }
                });
                let io = TokioIo::new(stream);
                tokio::spawn(http1::Builder::new().serve_connection(io, service));
            }
        });
        Self {
            name: name.to_owned(),
            address,
            sent,
            under_way,
            _task: AbortOnDropHandle::new(task),
        }
    }
}

type Counts = (Arc<AtomicUsize>, Arc<AtomicUsize>);

fn answer(
    name: &str,
    req: &Request<Incoming>,
    counts: &Counts,
) -> Response<UnsyncBoxBody<Bytes, Broken>> {
    let path = req.uri().path();
    if path == HEALTH_PATH {
        let body = Full::default().map_err(|never| match never {});
        let response = Response::builder().header("heatherring-backend", name);
        let response = response.header("heatherring-cold-ms", 0);
        return response.body(body.boxed_unsync()).unwrap();
    }
    let mut parts = path.split('/').skip(2);
    let bytes = parts.next().and_then(|text| text.parse().ok()).unwrap_or(0);
    let body = SizedBody::new(bytes, parts.next() == Some("break"), counts.clone());
    let mut response = Response::new(body.boxed_unsync());
    if let Some(id) = req.headers().get("heatherring-request-id") {
        let headers = response.headers_mut();
        headers.insert("heatherring-request-id", id.clone());
    }
    response
}

struct SizedBody {
    left: usize,
    breaks_at: Option<usize>,
    counts: Counts,
}

impl SizedBody {
    fn new(bytes: usize, breaks: bool, counts: Counts) -> Self {
        counts.1.fetch_add(1, Ordering::SeqCst);
        Self {
            left: bytes,
            breaks_at: breaks.then_some(bytes / 2),
            counts,
        }
    }
}

impl Drop for SizedBody {
    fn drop(&mut self) {
        self.counts.1.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Body for SizedBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let this = self.get_mut();
        if this.breaks_at.is_some_and(|at| this.left <= at) {
            return Poll::Ready(Some(Err(Broken)));
        }
        if this.left == 0 {
            return Poll::Ready(None);
        }
        let length = this.left.min(PIECE);
        this.left -= length;
        this.counts.0.fetch_add(length, Ordering::SeqCst);
        Poll::Ready(Some(Ok(Frame::data(vec![b'x'; length].into()))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left.try_into().unwrap())
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }
}
