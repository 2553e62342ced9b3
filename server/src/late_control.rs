//! Operations of a replica that may not have started yet.

use std::sync::Arc;
use std::sync::OnceLock;

use crate::fleet_control::FleetControl;

/// The operations of a replica, from its start on; clones share them.
#[derive(Clone, Debug, Default)]
pub struct LateControl(Arc<OnceLock<FleetControl>>);

impl LateControl {
    /// Makes the operations available.
    ///
    /// # Panics
    ///
    /// Panics if they are already.
    pub fn set(&self, control: FleetControl) {
        assert!(self.0.set(control).is_ok(), "a replica starts once");
    }

    /// Returns the operations; `None` before the start.
    #[must_use]
    pub fn get(&self) -> Option<&FleetControl> {
        self.0.get()
    }
}
