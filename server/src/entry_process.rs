//! The process of an entry VM: starts and stops its tasks.

use std::net::SocketAddr;
use std::sync::Arc;

use heatherring_lib::clock::Clock;
use heatherring_lib::settings::EntrySettings;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;

use crate::metrics;
use crate::metrics::MetricsError;
use crate::shutdown::Shutdown;

/// Tells why an entry VM can't start.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// An address of the settings can't be listened on: a fault of the settings.
    #[snafu(display("can't listen on {address} for {purpose}: {source}"))]
    Listen {
        /// Which listener.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// Metrics can't be sent.
    #[snafu(display("can't send metrics: {source}"))]
    Metrics {
        /// Why.
        source: MetricsError,
    },
}

/// Holds the bound listeners of an entry VM.
struct Listeners {
    callers: TcpListener,
    backend_servers: TcpListener,
    peers: TcpListener,
    forward: TcpListener,
}

impl Listeners {
    /// Binds all addresses before anything starts, so that a port in use leaves nothing
    /// half-started.
    async fn bind(settings: &EntrySettings) -> Result<Self, EntryError> {
        let listen = &settings.listen;
        Ok(Self {
            callers: bind("callers", listen.callers).await?,
            backend_servers: bind("backend_servers", listen.backend_servers).await?,
            peers: bind("peers", listen.peers).await?,
            forward: bind("forward", listen.forward).await?,
        })
    }
}

async fn bind(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { purpose, address })
}

/// Runs an entry VM until `shutdown` asks it to stop and it has finished everything.
///
/// # Errors
///
/// Fails if a listener can't be bound; nothing has been started then.
pub async fn run_entry(
    settings: EntrySettings,
    clock: Arc<dyn Clock>,
    mut shutdown: Shutdown,
) -> Result<(), EntryError> {
    let listeners = Listeners::bind(&settings).await?;
    let _metrics = metrics::open_metrics(settings.metrics.as_ref()).context(MetricsSnafu)?;
    let _ = clock;
    shutdown.requested().await;
    drop(listeners);
    Ok(())
}
