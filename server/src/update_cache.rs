//! Updates that were encoded lately.
//!
//! Many entry VMs ask a replica for the same update in the same moment: whoever follows is told
//! of a change at once, and all that start after a loss of power lack everything. To make an
//! update takes a look at every backend server.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use heatherring_lib::encoding::EncodingError;
use heatherring_lib::fleet_state::FleetState;
use heatherring_lib::id::Revision;

/// Updates that are kept: those from nothing, and from the last revisions that were told. A
/// whole one takes 45 KB with 900 backend servers.
const KEPT: usize = 4;

#[derive(Debug)]
struct Cached {
    from: Revision,
    to: Revision,
    encoded: Vec<u8>,
}

/// Keeps the updates that were encoded last.
#[derive(Debug, Default)]
pub struct UpdateCache {
    cached: Mutex<VecDeque<Cached>>,
}

impl UpdateCache {
    /// Returns what an entry VM at revision `from` lacks of `fleet`; nothing if it is ahead.
    ///
    /// # Errors
    ///
    /// Returns an error if the update can't be encoded.
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
        if cached.len() == KEPT {
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
