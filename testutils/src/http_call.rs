//! One call over a connection of its own.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Host of the calls that concern no other.
pub const HOST: &str = "registry.example";

/// Sends a request and returns the status and the body of its answer, or `None` if none came
/// whole. Dropping the future closes the connection.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Option<(StatusCode, Bytes)> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header("heatherring-request-id", "soak")
        .body(Full::new(body))
        .ok()?;
    let exchange = async {
        let (head, body) = sender.send_request(req).await.ok()?.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some((head.status, body))
    };
    let mut exchange = std::pin::pin!(exchange);
    tokio::select! {
        answer = &mut exchange => answer,
        // A connection may end together with a whole answer.
        _ = connection => exchange.await,
    }
}
