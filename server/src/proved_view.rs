//! View of the fleet at an entry VM, with the proof that belongs to it.

use std::sync::Arc;
use std::time::Instant;

use heatherring_lib::fleet_update::FleetView;
use tokio::sync::watch;

/// View of the fleet, and when it was proved to hold everything that is committed.
#[derive(Clone, Debug)]
pub struct ProvedView {
    /// The view, which may be newer than its proof.
    pub view: Arc<FleetView>,
    /// The view holds everything that was committed before.
    pub proved_at: Instant,
}

/// Reads the latest view and its proof. The writer publishes each view before the proof of it.
#[derive(Clone, Debug)]
pub struct ProvedViewReader {
    view: watch::Receiver<Arc<FleetView>>,
    proved: watch::Receiver<Instant>,
}

impl ProvedViewReader {
    /// Creates a reader of what these channels publish.
    #[must_use]
    pub const fn new(
        view: watch::Receiver<Arc<FleetView>>,
        proved: watch::Receiver<Instant>,
    ) -> Self {
        Self { view, proved }
    }

    /// Returns the view in force; waits for the first one. Returns `None` if there will be none.
    pub async fn first(&self) -> Option<ProvedView> {
        let mut first = self.view.clone();
        first.wait_for(|view| view.has_manifest()).await.ok()?;
        // Read before the view, the proof is not that of a later one.
        let proved_at = *self.proved.borrow();
        let view = Arc::clone(&self.view.borrow());
        Some(ProvedView { view, proved_at })
    }
}
