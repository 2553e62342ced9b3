//! Answers as the bytes of HTTP/1.1.

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;

/// Renders the head of an answer without the empty line that ends it. `framing` is the header line
/// that tells how long the body is.
pub(crate) fn head<T>(response: &Response<T>, framing: &str) -> Vec<u8> {
    let status = response.status();
    let mut buf = format!("HTTP/1.1 {status}\r\n{framing}\r\n").into_bytes();
    for (name, value) in response.headers() {
        let name = name.as_str().as_bytes();
        buf.extend([name, b": ", value.as_bytes(), b"\r\n"].concat());
    }
    buf
}

/// Renders a whole answer.
pub(crate) async fn whole(response: &Response<Full<Bytes>>) -> Bytes {
    let body = body(response).await;
    let mut buf = head(response, &format!("content-length: {}", body.len()));
    buf.extend_from_slice(b"\r\n");
    buf.extend_from_slice(&body);
    buf.into()
}

/// Returns a copy of an answer's body.
pub(crate) async fn body(response: &Response<Full<Bytes>>) -> Bytes {
    let Ok(body) = response.body().clone().collect().await;
    body.to_bytes()
}
