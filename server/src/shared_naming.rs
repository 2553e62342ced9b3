//! Selection of entry VMs for look-ups that are answered concurrently.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::entry_naming::Candidate;
use heatherring_lib::entry_naming::EntryNaming;
use heatherring_lib::id::RegionName;

use crate::metric;

/// Selects entry VMs; clones share their state.
#[derive(Clone, Debug)]
pub struct SharedNaming(Arc<Mutex<EntryNaming>>);

impl SharedNaming {
    /// Creates an instance for answers that callers cache for `keep`.
    #[must_use]
    pub fn new(keep: Duration) -> Self {
        Self(Arc::new(Mutex::new(EntryNaming::new(keep, rand::random()))))
    }

    /// Selects entry VMs for a caller in `region` that requests a host with the given home regions.
    #[must_use]
    pub fn name<'a>(
        &self,
        now: Instant,
        live: impl Iterator<Item = Candidate<'a>>,
        region: &RegionName,
        homes: &[RegionName],
    ) -> Vec<SocketAddr> {
        let mut naming = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let named = naming.name(now, live, region, homes);
        metric::named(named.addresses.len() - named.overflow, named.overflow);
        named.addresses
    }
}
