//! Asks an entry VM for recent decisions.

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

/// Bytes of an answer.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Tells why an entry VM gave no answer.
#[derive(Debug, Snafu)]
pub enum ExplainError {
    /// No connection came about.
    #[snafu(display("can't connect to {address}: {source}"))]
    Connect {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The exchange failed.
    #[snafu(display("{address} gave no whole answer: {source}"))]
    Exchange {
        /// The address.
        address: SocketAddr,
        /// What the library said.
        source: hyper::Error,
    },
    /// The answer broke off or is larger than any answer may be.
    #[snafu(display("{address} gave no whole answer: {source}"))]
    Body {
        /// The address.
        address: SocketAddr,
        /// What the library said.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The address is that of something else.
    #[snafu(display(
        "{address} answered with status {status}; is it listen.backend_servers of an entry VM?"
    ))]
    Status {
        /// The address.
        address: SocketAddr,
        /// The status.
        status: StatusCode,
    },
    /// The answer can't be read.
    #[snafu(display("the answer of {address} can't be read: {source}"))]
    Content {
        /// The address.
        address: SocketAddr,
        /// What the reader said.
        source: serde_json::Error,
    },
    /// No answer came in time.
    #[snafu(display("{address} didn't answer within {} ms", timeout.as_millis()))]
    TimedOut {
        /// The address.
        address: SocketAddr,
        /// The time allowed.
        timeout: Duration,
    },
}

/// Asks the entry VM whose `listen.backend_servers` is `address`.
///
/// # Errors
///
/// Fails if no readable answer comes within `timeout`.
pub async fn explain(
    address: SocketAddr,
    filter: &DecisionFilter,
    timeout: Duration,
) -> Result<ExplainReport, ExplainError> {
    match tokio::time::timeout(timeout, ask(address, filter)).await {
        Ok(result) => result,
        Err(_) => TimedOutSnafu { address, timeout }.fail(),
    }
}

async fn ask(address: SocketAddr, filter: &DecisionFilter) -> Result<ExplainReport, ExplainError> {
    let stream = TcpStream::connect(address)
        .await
        .context(ConnectSnafu { address })?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .context(ExchangeSnafu { address })?;
    // It ends with the sender.
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
