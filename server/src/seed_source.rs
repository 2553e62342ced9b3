//! Addresses of the replicas to ask for admission, which may change while a process runs.

use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::task;

/// Reason for which the addresses cannot be read.
pub type SeedError = Box<dyn Error + Send + Sync>;

/// Reads the addresses of the replicas to ask for admission.
#[derive(Clone)]
pub struct SeedSource(Arc<dyn Fn() -> Result<Vec<SocketAddr>, SeedError> + Send + Sync>);

impl SeedSource {
    /// Creates a source that calls `read`, which may block.
    pub fn new(
        read: impl Fn() -> Result<Vec<SocketAddr>, SeedError> + Send + Sync + 'static,
    ) -> Self {
        Self(Arc::new(read))
    }

    /// Creates a source that never changes.
    #[must_use]
    pub fn fixed(seeds: Vec<SocketAddr>) -> Self {
        Self::new(move || Ok(seeds.clone()))
    }

    /// Reads the present addresses.
    ///
    /// # Errors
    ///
    /// Returns the error of the function that reads them.
    pub async fn read(&self) -> Result<Vec<SocketAddr>, SeedError> {
        let read = Arc::clone(&self.0);
        task::spawn_blocking(move || read()).await?
    }
}

impl fmt::Debug for SeedSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SeedSource")
    }
}
