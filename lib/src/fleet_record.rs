//! What the replicated state of direct dispatch knows of backend servers and entry VMs.

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
use crate::id::VmName;

/// Says whether a backend server takes new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum BackendState {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
    /// Another backend server has taken its address over.
    Superseded,
}

/// Holds what a backend server told of itself when something last changed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendRecord {
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The place that it stands in.
    pub place: PlaceName,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: BackendState,
    /// When its process started, in milliseconds since the Unix epoch; 0 if it doesn't say.
    /// A backend server that starts again may keep its name: a later birth is another life, of
    /// which nothing of the earlier one holds.
    #[serde(default)]
    pub born: u64,
    /// Number of its announcement, anew in each life; a lower one that comes later is stale.
    pub sequence: u64,
    /// How much longer it was cold when it said so.
    pub cold_for: Duration,
}

/// Slots that a backend server may have. A larger number is no count of slots.
const MOST_SLOTS: u32 = 1 << 16;

/// Time for which a backend server may be cold.
const LONGEST_COLD: Duration = Duration::from_hours(1);

/// Bytes of a name.
const MOST_NAME_BYTES: usize = 256;

/// Tells why what is said of a backend server names none that can be used. It may come from
/// a program of another release, or from one that isn't a backend server at all.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum RecordProblem {
    /// The name is empty or too long.
    #[snafu(display("a name of {bytes} bytes"))]
    Name {
        /// Its length.
        bytes: usize,
    },
    /// No place of that name is known.
    #[snafu(display("the place {place} isn't known"))]
    Place {
        /// The name.
        place: PlaceName,
    },
    /// Nothing can be reached there.
    #[snafu(display("nothing can be reached at {address}"))]
    Address {
        /// The address.
        address: SocketAddr,
    },
    /// The number of slots is out of bounds.
    #[snafu(display("{slots} slots"))]
    Slots {
        /// The number.
        slots: u32,
    },
    /// The time for which it says that it stays cold is out of bounds.
    #[snafu(display("cold for {} s", cold_for.as_secs()))]
    Cold {
        /// The time.
        cold_for: Duration,
    },
}

impl BackendRecord {
    /// Checks whether the record can belong to a backend server called `name`, where
    /// `is_place` knows the places there are.
    ///
    /// # Errors
    ///
    /// Returns the first thing that is wrong.
    pub fn check(
        &self,
        name: &BackendName,
        is_place: impl Fn(&PlaceName) -> bool,
    ) -> Result<(), RecordProblem> {
        for bytes in [name.as_str().len(), self.service.as_str().len()] {
            ensure!((1..=MOST_NAME_BYTES).contains(&bytes), NameSnafu { bytes });
        }
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
        ensure!((1..=MOST_SLOTS).contains(&slots), SlotsSnafu { slots });
        let cold_for = self.cold_for;
        ensure!(cold_for <= LONGEST_COLD, ColdSnafu { cold_for });
        Ok(())
    }

    /// Returns whether the record says anything that `known` doesn't, the count of its
    /// announcements and how cold it is aside. That a cold spell is over is news: an entry VM
    /// that starts later counts the time for which a record is cold from its own start. After
    /// a loss of all power each spared the backend servers that had ever been cold for 3 s;
    /// 4 of 11 of one service took all of its requests, and of 555 requests to all services in
    /// the first 2 s with power 7 were in time (182 with this, one play each).
    #[must_use]
    pub fn differs_materially_from(&self, known: &Self) -> bool {
        let told = |record: &Self| (record.born, record.state, record.address, record.slots);
        let is_warm_again = self.cold_for.is_zero() && !known.cold_for.is_zero();
        told(self) != told(known)
            || self.service != known.service
            || self.place != known.place
            || is_warm_again
    }

    /// Returns whether it said in this life that it leaves.
    #[must_use]
    pub fn drains_in(&self, life: &BackendIncarnation) -> bool {
        self.born == life.born && self.state == BackendState::Draining
    }

    /// Returns what orders announcements of one name: the life, then the number in it.
    #[must_use]
    pub const fn stamp(&self) -> (u64, u64) {
        (self.born, self.sequence)
    }
}

/// Names one life of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct BackendIncarnation {
    /// The backend server.
    pub backend: BackendName,
    /// When it was born; earlier lives are meant too.
    pub born: u64,
}

/// Holds an announcement that changes something.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendChange {
    /// The backend server: one life of one process.
    pub backend: BackendName,
    /// What it says of itself.
    pub record: BackendRecord,
    /// Whether it may take its address back from a backend server that hasn't been
    /// heard of lately.
    pub reclaims: bool,
}

/// Holds where an entry VM is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRecord {
    /// The place that it stands in.
    pub place: PlaceName,
    /// The region of that place.
    pub region: RegionName,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Tells one life of its process from another; drawn at random at the start.
    pub life: u64,
}

/// Names what was removed from the state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RemovedItem {
    /// A route.
    Route(crate::id::RouteName),
    /// A service.
    Service(ServiceName),
    /// A backend server.
    Backend(BackendName),
    /// An entry VM.
    Entry(VmName),
    /// A team.
    Team(crate::id::TeamName),
}
