//! What the request tasks of an entry VM share: handles, settings and the clock.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use heatherring_lib::clock::Clock;
use heatherring_lib::settings::EntryLimits;
use heatherring_lib::view::EntryInfo;

use crate::action_task::ActionHandle;
use crate::admission_handle::AdmissionHandle;
use crate::backend_pool::BackendPool;
use crate::crash_tracker::CrashTracker;
use crate::decision_task::DecisionHandle;
use crate::entry_state::EntryStateReader;
use crate::forward_client::ForwardClients;
use crate::link_task::LinkHandle;
use crate::metrics::Metrics;
use crate::peer_client::PeerClients;

/// Holds what every request task needs. It has no state of its own beyond counters.
#[derive(Debug)]
pub struct EntryContext {
    /// Where this entry VM is.
    pub info: EntryInfo,
    /// Bounds on what one peer may cost.
    pub limits: EntryLimits,
    /// Tells the time.
    pub clock: Arc<dyn Clock>,
    /// The session with control.
    pub state: EntryStateReader,
    /// Records of actions.
    pub actions: ActionHandle,
    /// The decisions.
    pub admission: AdmissionHandle,
    /// Connections to backend servers.
    pub pool: BackendPool,
    /// Knows which requests end backend servers that this entry VM owns.
    pub crashes: CrashTracker,
    /// Connections to other entry VMs, for requests.
    pub forward: ForwardClients,
    /// Shares of the links to other regions.
    pub links: LinkHandle,
    /// Channels to other entry VMs, for messages.
    pub peers: PeerClients,
    /// Recent decisions, for operators who ask why.
    pub decisions: DecisionHandle,
    /// Metrics.
    pub metrics: Metrics,
    /// Names the requests that arrive here.
    pub request_ids: RequestIds,
}

impl EntryContext {
    /// Returns the monotonic time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }
}

/// Draws identifiers of requests, unique over all processes.
#[derive(Debug)]
pub struct RequestIds {
    process: u64,
    next: AtomicU64,
}

impl RequestIds {
    /// Starts with the random identifier of this process.
    #[must_use]
    pub const fn new(process: u64) -> Self {
        Self {
            process,
            next: AtomicU64::new(1),
        }
    }

    /// Returns the next identifier.
    #[must_use]
    pub fn draw(&self) -> String {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}-{number:x}", self.process)
    }
}
