//! Context shared by the request tasks of an entry VM: handles, settings and the clock.

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

/// Holds what every request task needs. Apart from counters it has no state of its own.
#[derive(Debug)]
pub struct EntryContext {
    /// Name, failure domain, region and addresses of this entry VM.
    pub info: EntryInfo,
    /// Limits on the resources that one peer may use.
    pub limits: EntryLimits,
    /// Provides the monotonic time.
    pub clock: Arc<dyn Clock>,
    /// Reads the state of the session with control.
    pub state: EntryStateReader,
    /// Reaches the task that records actions.
    pub actions: ActionHandle,
    /// Reaches the task that makes the admission and steering decisions.
    pub admission: AdmissionHandle,
    /// Connections to backend servers.
    pub pool: BackendPool,
    /// Tracks requests that crash backend servers owned by this entry VM.
    pub crashes: CrashTracker,
    /// Connections to other entry VMs, for forwarded requests.
    pub forward: ForwardClients,
    /// Budgets of this entry VM on the links to other regions.
    pub links: LinkHandle,
    /// Channels to other entry VMs, for messages.
    pub peers: PeerClients,
    /// Recent decisions, for operators who ask for an explanation.
    pub decisions: DecisionHandle,
    /// Sends metrics to the configured receiver, if there is one.
    pub metrics: Metrics,
    /// Generates identifiers for requests that arrive here.
    pub request_ids: RequestIds,
}

impl EntryContext {
    /// Returns the monotonic time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }
}

/// Generates request identifiers that are unique across all processes.
#[derive(Debug)]
pub struct RequestIds {
    process: u64,
    next: AtomicU64,
}

impl RequestIds {
    /// Creates a generator; `process` is the random identifier of this process.
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
