//! Records of backend servers and entry VMs in the replicated state of direct dispatch.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;
use snafu::ensure;

use crate::id::BackendName;
use crate::id::PlaceName;
use crate::id::RegionName;
use crate::id::ServiceName;
use crate::id::VersionName;
use crate::id::VmName;

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum BackendState {
    /// It accepts new requests.
    Ready,
    /// It finishes its current requests and then ends.
    Draining,
    /// Another backend server has taken over its address, so it must not be sent requests.
    Superseded,
}

/// Contents of a backend server's last announcement that changed the replicated state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendRecord {
    /// Service that the backend server belongs to.
    pub service: ServiceName,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Place in which it runs.
    pub place: PlaceName,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: BackendState,
    /// Start time of its process, in milliseconds since the Unix epoch; 0 if not announced.
    /// A backend server may keep its name across restarts: a later start time is a new
    /// incarnation, to which nothing known of the earlier one applies.
    #[serde(default)]
    pub born: u64,
    /// Sequence number of the announcement, restarting in each incarnation. An announcement
    /// with a lower number that arrives later is stale.
    pub sequence: u64,
    /// Remaining cold-start time as of the announcement.
    pub cold_for: Duration,
    /// Version of the software that it runs; empty if not announced. Encoded separately, since
    /// earlier releases have no such field.
    #[serde(skip, default = "unknown_version")]
    pub version: VersionName,
}

fn unknown_version() -> VersionName {
    VersionName::new("")
}

/// Maximum number of slots of a backend server. A larger number indicates a faulty announcement.
const MAX_SLOTS: u32 = 1 << 16;

/// Maximum remaining cold-start time of a backend server.
const MAX_COLD_TIME: Duration = Duration::from_hours(1);

/// Maximum length of a backend server's or service's name, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Reason why a record does not describe a usable backend server. Such a record may come from
/// a program of another release, or from one that is not a backend server at all.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum RecordProblem {
    /// The name of the backend server or service is empty or too long.
    #[snafu(display("a name has {bytes} bytes; allowed are 1 to {MAX_NAME_BYTES}"))]
    Name {
        /// Length of the name in bytes.
        bytes: usize,
    },
    /// The place does not exist.
    #[snafu(display("unknown place {place}"))]
    Place {
        /// Name of the place.
        place: PlaceName,
    },
    /// The port is 0 or the IP address is unspecified.
    #[snafu(display("address {address} cannot be connected to"))]
    Address {
        /// Announced address.
        address: SocketAddr,
    },
    /// The number of slots is out of range.
    #[snafu(display("{slots} slots announced; allowed are 1 to {MAX_SLOTS}"))]
    Slots {
        /// Announced number of slots.
        slots: u32,
    },
    /// The remaining cold-start time is out of range.
    #[snafu(display("cold for {} s; allowed is up to {MAX_COLD_TIME:?}", cold_for.as_secs()))]
    Cold {
        /// Announced remaining cold-start time.
        cold_for: Duration,
    },
}

impl BackendRecord {
    /// Checks whether the record describes a usable backend server called `name`. `is_place`
    /// returns whether a place exists.
    ///
    /// # Errors
    ///
    /// Returns the first problem found.
    pub fn check(
        &self,
        name: &BackendName,
        is_place: impl Fn(&PlaceName) -> bool,
    ) -> Result<(), RecordProblem> {
        for bytes in [name.as_str().len(), self.service.as_str().len()] {
            ensure!((1..=MAX_NAME_BYTES).contains(&bytes), NameSnafu { bytes });
        }
        let bytes = self.version.as_str().len();
        ensure!(bytes <= MAX_NAME_BYTES, NameSnafu { bytes });
        let place = &self.place;
        ensure!(
            is_place(place),
            PlaceSnafu {
                place: place.clone()
            }
        );
        let address = self.address;
        let is_reachable = address.port() != 0 && !address.ip().is_unspecified();
        ensure!(is_reachable, AddressSnafu { address });
        let slots = self.slots;
        ensure!((1..=MAX_SLOTS).contains(&slots), SlotsSnafu { slots });
        let cold_for = self.cold_for;
        ensure!(cold_for <= MAX_COLD_TIME, ColdSnafu { cold_for });
        Ok(())
    }

    /// Returns whether the record differs from `known` in more than the sequence number and the
    /// remaining cold-start time.
    ///
    /// The end of a cold start counts as a difference, because an entry VM that starts later
    /// counts the cold-start time of a record from its own start. Without this, after a power
    /// loss of the whole system each entry VM avoided for 3 s every backend server that had ever
    /// been cold: 4 of the 11 backend servers of one service received all of its requests, and
    /// of 555 requests to all services in the first 2 s after power returned, 7 were answered in
    /// time (182 with this rule, one run each).
    #[must_use]
    pub fn differs_materially_from(&self, known: &Self) -> bool {
        let compared = |record: &Self| (record.born, record.state, record.address, record.slots);
        let is_warm_again = self.cold_for.is_zero() && !known.cold_for.is_zero();
        compared(self) != compared(known)
            || self.service != known.service
            || self.place != known.place
            || self.version != known.version
            || is_warm_again
    }

    /// Returns whether the backend server announced in this incarnation that it is draining.
    #[must_use]
    pub fn drains_in(&self, incarnation: &BackendIncarnation) -> bool {
        self.born == incarnation.born && self.state == BackendState::Draining
    }

    /// Returns the key that orders announcements of one backend server name: the start time of
    /// the incarnation, then the sequence number.
    #[must_use]
    pub const fn stamp(&self) -> (u64, u64) {
        (self.born, self.sequence)
    }
}

/// Identifies one incarnation of a backend server: one run of its process.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct BackendIncarnation {
    /// Name of the backend server, which may be the same in several incarnations.
    pub backend: BackendName,
    /// Start time of the incarnation, as in [`BackendRecord::born`]. Removing an
    /// incarnation also removes earlier ones.
    pub born: u64,
}

/// An announcement of a backend server that changes the replicated state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendChange {
    /// Name of the backend server; `record.born` identifies the incarnation.
    pub backend: BackendName,
    /// Announced record.
    pub record: BackendRecord,
    /// Whether it may reclaim its address from a backend server that has not been heard from
    /// recently.
    pub reclaims: bool,
}

impl BackendChange {
    /// Returns the incarnation that announces itself.
    #[must_use]
    pub fn incarnation(&self) -> BackendIncarnation {
        BackendIncarnation {
            backend: self.backend.clone(),
            born: self.record.born,
        }
    }

    /// Returns whether the backend server announces that it is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.record.state == BackendState::Draining
    }
}

/// An announcement with the version of the backend server's software.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionedChange {
    change: BackendChange,
    /// Version of the record, which is encoded without it.
    version: VersionName,
}

impl VersionedChange {
    /// Returns whether the backend server announces that it is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.change.is_draining()
    }
}

impl From<BackendChange> for VersionedChange {
    fn from(change: BackendChange) -> Self {
        let version = change.record.version.clone();
        Self { change, version }
    }
}

impl From<&VersionedChange> for BackendChange {
    fn from(versioned: &VersionedChange) -> Self {
        let mut change = versioned.change.clone();
        change.record.version = versioned.version.clone();
        change
    }
}

/// Location, address and incarnation of an entry VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRecord {
    /// Place in which the entry VM runs.
    pub place: PlaceName,
    /// Region of the place.
    pub region: RegionName,
    /// Address at which it accepts callers' requests.
    pub callers: SocketAddr,
    /// Identifies the incarnation of its process; drawn at random at start.
    pub life: u64,
}

/// Identifies an item that was removed from the replicated state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RemovedItem {
    /// A route, by name.
    Route(crate::id::RouteName),
    /// A service, by name.
    Service(ServiceName),
    /// A backend server, by name.
    Backend(BackendName),
    /// An entry VM, by name.
    Entry(VmName),
    /// A team, by name.
    Team(crate::id::TeamName),
}
