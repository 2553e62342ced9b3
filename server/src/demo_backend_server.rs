//! Small backend server for the demo: announces itself and echoes requests.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use heatherring_lib::announcement::Announcement;
use heatherring_lib::announcement::AnnouncementBody;
use heatherring_lib::announcement::BackendState;
use heatherring_lib::announcement::REPEAT_MS;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::header;
use crate::own_interface;

/// Simulated time to handle a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Largest number of body bytes echoed.
const MAX_ECHO: usize = 4_096;

#[derive(Serialize)]
struct Echo<'a> {
    backend: &'a str,
    method: &'a str,
    path: &'a str,
    body: &'a str,
}

/// Serves `listener` and announces itself to `entries` until `stop` is cancelled; it then
/// announces that it is leaving, and finishes the requests in progress.
pub async fn run(
    listener: TcpListener,
    announcement: Announcement,
    entries: Vec<SocketAddr>,
    stop: CancellationToken,
) {
    let announcing = tokio::spawn(keep_announcing(announcement.clone(), entries, stop.clone()));
    let connections = TaskTracker::new();
    let backend = announcement.backend.as_str().to_owned();
    loop {
        let stream = tokio::select! {
            Ok((stream, _)) = listener.accept() => stream,
            () = stop.cancelled() => break,
        };
        connections.spawn(serve(stream, backend.clone(), stop.clone()));
    }
    let _ = announcing.await;
    connections.close();
    connections.wait().await;
}

async fn serve(stream: TcpStream, backend: String, stop: CancellationToken) {
    let service = service_fn(async |req| {
        let mut response = answer(&backend, req).await?;
        if stop.is_cancelled() {
            let leaving = HeaderValue::from_static("1");
            response
                .headers_mut()
                .insert(own_interface::LEAVING, leaving);
        }
        Ok::<_, Infallible>(response)
    });
    let mut builder = server::Builder::new();
    let connection = builder
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

async fn answer(
    backend: &str,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (parts, body) = req.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => Bytes::new(),
    };
    tokio::time::sleep(SERVICE_TIME).await;
    let echoed = &body[..body.len().min(MAX_ECHO)];
    let echo = Echo {
        backend,
        method: parts.method.as_str(),
        path: parts.uri.path(),
        body: &String::from_utf8_lossy(echoed),
    };
    let mut content = serde_json::to_vec(&echo).unwrap_or_default();
    content.push(b'\n');
    let mut response = Response::new(Full::new(Bytes::from(content)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    if let Some(id) = parts.headers.get(header::REQUEST_ID) {
        response
            .headers_mut()
            .insert(header::REQUEST_ID, id.clone());
    }
    Ok(response)
}

async fn keep_announcing(
    mut announcement: Announcement,
    entries: Vec<SocketAddr>,
    stop: CancellationToken,
) {
    let repeat = Duration::from_millis(REPEAT_MS.into());
    while !stop.is_cancelled() {
        announcement.number.sequence += 1;
        announce(&announcement, &entries).await;
        tokio::select! {
            () = tokio::time::sleep(repeat) => {}
            () = stop.cancelled() => {}
        }
    }
    announcement.number.sequence += 1;
    announcement.state = BackendState::Leaving;
    announce(&announcement, &entries).await;
}

/// Sends the announcement to the first entry VM that accepts it, which forwards it to the owner.
async fn announce(announcement: &Announcement, entries: &[SocketAddr]) {
    let Ok(content) = serde_json::to_vec(&AnnouncementBody::from(announcement.clone())) else {
        return;
    };
    for entry in entries {
        if post(*entry, Bytes::from(content.clone())).await.is_some() {
            return;
        }
    }
}

async fn post(entry: SocketAddr, content: Bytes) -> Option<()> {
    let stream = TcpStream::connect(entry).await.ok()?;
    let (mut sender, connection) = client::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let request = Request::builder()
        .method(Method::POST)
        .uri("/announce")
        .header(HOST, entry.to_string())
        .body(Full::new(content))
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    response.status().is_success().then_some(())
}
