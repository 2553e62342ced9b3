//! Queries an entry VM for recent decisions.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use heatherring_lib::decision_log::DecisionFilter;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper_util::rt::TokioIo;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;
use tokio::net::TcpStream;

use crate::explain_query;
use crate::explain_report::ExplainReport;

/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Why an entry VM gave no usable answer.
#[derive(Debug, Snafu)]
pub enum ExplainError {
    /// The connection could not be established.
    #[snafu(display("can't connect to {address}: {source}"))]
    Connect {
        /// The address queried.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The HTTP exchange failed.
    #[snafu(display("{address} gave no complete answer: {source}"))]
    Exchange {
        /// The address queried.
        address: SocketAddr,
        /// The error of the HTTP library.
        source: hyper::Error,
    },
    /// The answer was incomplete or exceeded the size limit.
    #[snafu(display(
        "{address} gave an answer that is incomplete or exceeds {MAX_ANSWER_BYTES} bytes: {source}"
    ))]
    Body {
        /// The address queried.
        address: SocketAddr,
        /// The error of the HTTP library.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The status shows that the address is not that of an entry VM.
    #[snafu(display(
        "{address} answered with status {status}; is it the listen.backend_servers address of an \
         entry VM?"
    ))]
    Status {
        /// The address queried.
        address: SocketAddr,
        /// The status received.
        status: StatusCode,
    },
    /// The answer could not be decoded.
    #[snafu(display("cannot decode the answer of {address}: {source}"))]
    Content {
        /// The address queried.
        address: SocketAddr,
        /// The error of the JSON decoder.
        source: serde_json::Error,
    },
    /// No answer arrived in time.
    #[snafu(display("{address} did not answer within {} ms", timeout.as_millis()))]
    TimedOut {
        /// The address queried.
        address: SocketAddr,
        /// The time-out that passed.
        timeout: Duration,
    },
}

/// Queries the entry VM whose `listen.backend_servers` is `address`.
///
/// # Errors
///
/// Fails if no decodable answer arrives within `timeout`.
pub async fn explain(
    address: SocketAddr,
    filter: &DecisionFilter,
    timeout: Duration,
) -> Result<ExplainReport, ExplainError> {
    match tokio::time::timeout(timeout, send_query(address, filter)).await {
        Ok(result) => result,
        Err(_) => TimedOutSnafu { address, timeout }.fail(),
    }
}

async fn send_query(
    address: SocketAddr,
    filter: &DecisionFilter,
) -> Result<ExplainReport, ExplainError> {
    let stream = TcpStream::connect(address)
        .await
        .context(ConnectSnafu { address })?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .context(ExchangeSnafu { address })?;
    // The connection's task ends when the sender is dropped.
    let driver = tokio::spawn(connection);
    let mut request = Request::new(Empty::<Bytes>::new());
    let uri = format!("/explain?{}", explain_query::write(filter));
    *request.uri_mut() = uri.parse().unwrap_or_default();
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    let response = sender
        .send_request(request)
        .await
        .context(ExchangeSnafu { address })?;
    let status = response.status();
    ensure!(status == StatusCode::OK, StatusSnafu { address, status });
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .context(BodySnafu { address })?;
    driver.abort();
    serde_json::from_slice(&body.to_bytes()).context(ContentSnafu { address })
}
