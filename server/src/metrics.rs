//! Metrics, sent by `StatsD` over UDP where the settings say so.

use std::net::UdpSocket;
use std::sync::Arc;

use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use heatherring_lib::settings::MetricsSettings;
use snafu::ResultExt;
use snafu::Snafu;

/// Metrics that wait to be sent; more are dropped, so that a slow receiver can't hold
/// a request up or take memory without bound.
const QUEUE_CAPACITY: usize = 8_192;

/// Tells why metrics can't be sent.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// No socket could be opened.
    #[snafu(display("can't open a socket for metrics"))]
    Socket {
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The receiver's address can't be used.
    #[snafu(display("can't send metrics to the given address"))]
    Sink {
        /// What the metrics library said.
        source: cadence::MetricError,
    },
}

/// Shares the sender of metrics among tasks.
pub type Metrics = Arc<StatsdClient>;

/// Opens the sender of metrics; without settings, one that drops them.
///
/// # Errors
///
/// Fails if no socket can be opened.
pub fn open_metrics(settings: Option<&MetricsSettings>) -> Result<Metrics, MetricsError> {
    let Some(settings) = settings else {
        return Ok(no_metrics());
    };
    let any = if settings.statsd.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(any).context(SocketSnafu)?;
    socket.set_nonblocking(true).context(SocketSnafu)?;
    let sink = UdpMetricSink::from(settings.statsd, socket).context(SinkSnafu)?;
    let sink = QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY);
    Ok(Arc::new(StatsdClient::from_sink(&settings.prefix, sink)))
}

/// Returns a sender that drops every metric.
#[must_use]
pub fn no_metrics() -> Metrics {
    Arc::new(StatsdClient::from_sink("", NopMetricSink))
}
