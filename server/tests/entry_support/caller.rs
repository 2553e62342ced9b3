//! HTTP calls to an entry VM, and polling for expected conditions.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

/// Time after which [`wait_until`] fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(10);

/// Polls until `holds` returns true.
///
/// # Panics
///
/// Panics after [`WAIT_TIMEOUT`].
pub async fn wait_until(mut holds: impl AsyncFnMut() -> bool) {
    let give_up = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(
            tokio::time::Instant::now() < give_up,
            "the condition did not hold within {WAIT_TIMEOUT:?}"
        );
        tokio::time::sleep(POLL).await;
    }
}

/// An answer; the body is an error if it was cut off.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Result<Bytes, hyper::Error>,
}

impl Reply {
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).expect("the header is present");
        value.to_str().expect("valid UTF-8")
    }

    pub fn json(&self) -> Value {
        let body = self.body.as_ref().expect("a complete body");
        serde_json::from_slice(body).expect("JSON")
    }

    pub fn text(&self) -> String {
        let body = self.body.as_ref().expect("a complete body");
        String::from_utf8(body.to_vec()).expect("valid UTF-8")
    }
}

pub async fn connect(address: SocketAddr) -> std::io::Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}

pub fn request(method: &str, address: SocketAddr, path: &str, body: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("a valid request")
}

pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> std::io::Result<Reply> {
    let mut sender = connect(address).await?;
    let response = sender
        .send_request(request(method, address, path, body))
        .await
        .map_err(std::io::Error::other)?;
    let (head, body) = response.into_parts();
    Ok(Reply {
        status: head.status,
        headers: head.headers,
        body: collect(body).await,
    })
}

pub async fn collect(body: Incoming) -> Result<Bytes, hyper::Error> {
    Ok(body.collect().await?.to_bytes())
}
