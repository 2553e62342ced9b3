//! What a backend server tells of itself, and its checks against the manifest.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt;
use snafu::Snafu;
use snafu::ensure;

use crate::id::BackendName;
use crate::id::PlaceName;
use crate::id::ServiceName;
use crate::id::VmName;
use crate::manifest::Manifest;
use crate::manifest::Service;

/// Time between two announcements of a backend server, in milliseconds.
pub const REPEAT_MS: u32 = 500;

/// Time without an announcement after which a backend server gets no new work, in
/// milliseconds. Three announcements may be lost before that.
pub const LAPSE_MS: u32 = 2_000;

/// Holds one announcement of a backend server, as it posts it in JSON.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Announcement {
    /// Names the backend server.
    pub backend: BackendName,
    /// The service that it serves.
    pub service: ServiceName,
    /// The place that it stands in.
    pub place: PlaceName,
    /// Where it takes requests (HTTP).
    pub address: SocketAddr,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Connections that it accepts at once.
    pub max_connections: u32,
    /// Whether it takes new work.
    pub state: BackendState,
    /// Requests that it says are running; believed only where it lowers what is sent.
    #[serde(default)]
    pub in_flight: u32,
    /// Load that it reports, 1.0 being full; believed only where it lowers what is sent.
    #[serde(default)]
    pub load: f64,
}

/// Tells whether a backend server takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendState {
    /// It isn't ready yet.
    Starting,
    /// It takes requests.
    Ready,
    /// It finishes what it runs and takes no new work.
    Leaving,
}

/// Answers an announcement, in JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnnouncementReply {
    /// Where to announce from now on, once an owner is known.
    pub owner: Option<OwnerAddress>,
    /// Time until the next announcement is due, in milliseconds.
    pub repeat_ms: u32,
    /// Time after which this announcement lapses, in milliseconds.
    pub lapse_ms: u32,
}

impl AnnouncementReply {
    /// Builds the answer that names `owner`.
    #[must_use]
    pub const fn new(owner: Option<OwnerAddress>) -> Self {
        Self {
            owner,
            repeat_ms: REPEAT_MS,
            lapse_ms: LAPSE_MS,
        }
    }
}

/// Tells where an owner takes announcements.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerAddress {
    /// The owner's VM.
    pub vm: VmName,
    /// Its listener for backend servers.
    pub address: SocketAddr,
}

/// Tells why an announcement isn't taken.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum AnnouncementError {
    /// The manifest has no such service.
    #[snafu(display("the manifest in force has no service {service}"))]
    UnknownService {
        /// The service announced.
        service: ServiceName,
    },
    /// The manifest has no such place.
    #[snafu(display("the manifest in force has no place {place}"))]
    UnknownPlace {
        /// The place announced.
        place: PlaceName,
    },
    /// The service has no limit at the place, so it serves nothing there.
    #[snafu(display("service {service} has no limit at place {place} and serves nothing there"))]
    PlaceNotServed {
        /// The service announced.
        service: ServiceName,
        /// The place announced.
        place: PlaceName,
    },
    /// It announces no slot or no connection at all.
    #[snafu(display("slots and max_connections must be at least 1"))]
    NoSlots,
}

impl Announcement {
    /// Checks the announcement against the manifest and returns its service.
    ///
    /// # Errors
    ///
    /// Returns an error if the manifest doesn't have the service at the place, or if
    /// there is nothing that could be used.
    pub fn check<'m>(&self, manifest: &'m Manifest) -> Result<&'m Service, AnnouncementError> {
        let service = manifest
            .services
            .get(&self.service)
            .context(UnknownServiceSnafu {
                service: self.service.clone(),
            })?;
        ensure!(
            manifest.places.contains_key(&self.place),
            UnknownPlaceSnafu {
                place: self.place.clone(),
            }
        );
        ensure!(
            service.limits.contains_key(&self.place),
            PlaceNotServedSnafu {
                service: self.service.clone(),
                place: self.place.clone(),
            }
        );
        ensure!(self.slots > 0 && self.max_connections > 0, NoSlotsSnafu);
        Ok(service)
    }

    /// Returns the slots that are believed of the server: never more than the manifest
    /// allows one backend server, and one connection for each slot.
    #[must_use]
    pub fn effective_slots(&self, service: &Service) -> u32 {
        self.slots
            .min(service.max_slots_per_backend)
            .min(self.max_connections)
            .min(service.max_connections_per_backend)
    }
}
