//! What an entry VM that dispatches directly has at hand to handle a request.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::clock::Clock;
use heatherring_lib::fleet_update::FleetView;
use heatherring_lib::id::RouteName;
use heatherring_lib::id::VmName;
use heatherring_lib::weighted_round_robin::WeightedRoundRobin;
use tokio::sync::watch;

use crate::crash_tracker::CrashTracker;
use crate::direct_send::DirectSender;
use crate::dispatch_task::DispatchHandle;
use crate::interface::EntryInterface;
use crate::stop_observer::StopObserver;
use crate::token_task::TokenHandle;

/// Holds what the handling of a request needs.
#[derive(Debug)]
pub struct DirectContext {
    /// The entry VM.
    pub vm: VmName,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The interface.
    pub interface: Arc<dyn EntryInterface>,
    /// The view of the fleet.
    pub view: watch::Receiver<Arc<FleetView>>,
    /// When control was last in reach.
    pub last_contact: watch::Receiver<Instant>,
    /// When the view was last proved to be all that is confirmed.
    pub proved: watch::Receiver<Instant>,
    /// Picks backend servers.
    pub dispatch: DispatchHandle,
    /// Has tokens for the limits of teams.
    pub tokens: TokenHandle,
    /// Knows which requests end backend servers.
    pub crashes: CrashTracker,
    /// Sends to them.
    pub sender: DirectSender,
    /// Whose turn it is in each split.
    pub turns: Mutex<HashMap<RouteName, WeightedRoundRobin>>,
    /// Whether the entry VM stops.
    pub stopping: StopObserver,
    /// Time for which a request waits for the first view at most.
    pub first_view_wait: Duration,
}
