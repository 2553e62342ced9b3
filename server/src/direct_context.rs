//! State that request handlers share at an entry VM that dispatches directly.

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
use crate::proved_view::ProvedViewReader;
use crate::stop_observer::StopObserver;
use crate::token_task::TokenHandle;

/// Shared state of the request handlers.
#[derive(Debug)]
pub struct DirectContext {
    /// The name of this entry VM.
    pub vm: VmName,
    /// Source of the current time.
    pub clock: Arc<dyn Clock>,
    /// Reads and writes the headers of callers and backend servers.
    pub interface: Arc<dyn EntryInterface>,
    /// The latest view of the fleet.
    pub view: watch::Receiver<Arc<FleetView>>,
    /// When control was last in contact.
    pub last_contact: watch::Receiver<Instant>,
    /// Reads the latest view together with its proof.
    pub proved_view: ProvedViewReader,
    /// Chooses backend servers.
    pub dispatch: DispatchHandle,
    /// Grants tokens for the limits of teams.
    pub tokens: TokenHandle,
    /// Tracks which requests crash backend servers.
    pub crashes: CrashTracker,
    /// Sends requests to backend servers.
    pub sender: DirectSender,
    /// Round-robin state of each route's traffic split.
    pub split_rotations: Mutex<HashMap<RouteName, WeightedRoundRobin>>,
    /// State of a planned stop.
    pub stopping: StopObserver,
    /// Time within which a confirmed manifest is to be in force at every entry VM.
    pub in_force_within: Duration,
    /// Maximum time that a request waits for the first view.
    pub first_view_wait: Duration,
}
