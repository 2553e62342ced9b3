//! Metrics sent by `StatsD` over UDP if the settings ask for it.

use std::net::UdpSocket;
use std::sync::Arc;

use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use heatherring_lib::settings::MetricsSettings;
use snafu::ResultExt;
use snafu::Snafu;

/// Largest number of metrics that wait to be sent; further ones are dropped, so that a slow
/// receiver cannot delay requests or use unbounded memory.
const QUEUE_CAPACITY: usize = 8_192;

/// Tells why metrics cannot be sent.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// No socket could be opened.
    #[snafu(display("cannot open a socket for metrics"))]
    Socket {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The address of the receiver cannot be used.
    #[snafu(display("cannot send metrics to the configured address"))]
    Sink {
        /// The error of the metrics library.
        source: cadence::MetricError,
    },
}

/// Is a metrics client shared among tasks.
pub type Metrics = Arc<StatsdClient>;

/// Opens the metrics client; without settings, one that discards all metrics.
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

/// Returns a client that discards all metrics.
#[must_use]
pub fn no_metrics() -> Metrics {
    Arc::new(StatsdClient::from_sink("", NopMetricSink))
}
