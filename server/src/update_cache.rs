//! Cache of recently encoded updates.
//!
//! Many entry VMs request the same update from a replica at the same moment: all followers get
//! each change at once, and all entry VMs that start after a power failure need the whole state.
//! Computing an update visits every backend server.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use heatherring_lib::encoding::EncodingError;
use heatherring_lib::fleet_state::FleetState;
use heatherring_lib::id::Revision;

/// Number of cached updates: the whole state, and the changes since the last few revisions. A
/// whole update takes 45 KB with 900 backend servers.
const CAPACITY: usize = 4;

#[derive(Debug)]
struct Cached {
    from: Revision,
    to: Revision,
    encoded: Vec<u8>,
}

/// Caches the most recently encoded updates; the oldest is evicted first.
#[derive(Debug, Default)]
pub struct UpdateCache {
    cached: Mutex<VecDeque<Cached>>,
}

impl UpdateCache {
    /// Returns the encoded update from revision `from` to that of `fleet`; `None` if `from` is the
    /// later one.
    ///
    /// # Errors
    ///
    /// Returns an error if the update cannot be encoded.
    pub fn encoded(
        &self,
        fleet: &FleetState,
        from: Revision,
    ) -> Result<Option<Vec<u8>>, EncodingError> {
        let to = fleet.revision();
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(found) = cached.iter().find(|c| c.from == from && c.to == to) {
            return Ok(Some(found.encoded.clone()));
        }
        let Some(update) = fleet.update_from(from) else {
            return Ok(None);
        };
        let encoded = update.encode()?;
        if cached.len() == CAPACITY {
            cached.pop_front();
        }
        cached.push_back(Cached {
            from,
            to,
            encoded: encoded.clone(),
        });
        Ok(Some(encoded))
    }
}
