//! Addresses at which the control replicas of a test take orders, which change as VMs are replaced.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Shares the addresses between those who replace VMs and those who call them.
#[derive(Clone, Debug, Default)]
pub struct ControlAddresses(Arc<Mutex<Vec<SocketAddr>>>);

impl ControlAddresses {
    /// Creates the list, by the numbers of the replicas.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self(Arc::new(Mutex::new(addresses)))
    }

    /// Returns the address of a replica; `None` if there is none of this number.
    #[must_use]
    pub fn get(&self, replica: usize) -> Option<SocketAddr> {
        self.locked().get(replica).copied()
    }

    /// Sets the address of a replica.
    ///
    /// # Panics
    ///
    /// Panics if there is no replica of this number.
    pub fn set(&self, replica: usize, address: SocketAddr) {
        self.locked()[replica] = address;
    }

    /// Returns the number of replicas.
    #[must_use]
    pub fn count(&self) -> usize {
        self.locked().len()
    }

    fn locked(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
