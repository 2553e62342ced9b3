//! Calls to an entry VM, and waiting for what must come true.

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

/// Longest time for which a state that must come is waited for.
const BOUND: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(10);

/// Waits until something that must come true is.
pub async fn wait_until(mut holds: impl AsyncFnMut() -> bool) {
    let give_up = tokio::time::Instant::now() + BOUND;
    while !holds().await {
        assert!(tokio::time::Instant::now() < give_up, "it never came true");
        tokio::time::sleep(POLL).await;
    }
}

/// Holds an answer; the body is an error if it broke off.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Result<Bytes, hyper::Error>,
}

impl Reply {
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).expect("the header is there");
        value.to_str().expect("a text")
    }

    pub fn json(&self) -> Value {
        let body = self.body.as_ref().expect("a whole body");
        serde_json::from_slice(body).expect("JSON")
    }

    pub fn text(&self) -> String {
        let body = self.body.as_ref().expect("a whole body");
        String::from_utf8(body.to_vec()).expect("a text")
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
