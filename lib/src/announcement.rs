//! Announcements by which backend servers register, and their validation against the manifest.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt;
use snafu::Snafu;
use snafu::ensure;

use crate::announcement_number::AnnouncementNumber;
use crate::id::BackendName;
use crate::id::PlaceName;
use crate::id::ServiceName;
use crate::id::VmName;
use crate::manifest::Manifest;
use crate::manifest::Service;

/// Interval between two announcements of a backend server, in milliseconds.
pub const REPEAT_MS: u32 = 500;

/// Time without an announcement after which a backend server is sent no new requests, in
/// milliseconds. It tolerates the loss of three announcements in a row.
pub const LAPSE_MS: u32 = 2_000;

/// An announcement of a backend server, as it posts it in JSON.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Announcement {
    /// Name of the backend server.
    pub backend: BackendName,
    /// Service that the backend server provides.
    pub service: ServiceName,
    /// Failure domain (place) in which the backend server runs.
    pub place: PlaceName,
    /// Address at which it accepts HTTP requests.
    pub address: SocketAddr,
    /// Number of requests that it can process concurrently.
    pub slots: u32,
    /// Number of connections that it accepts concurrently.
    pub max_connections: u32,
    /// Whether it accepts new requests.
    pub state: BackendState,
    /// Number of requests that it reports as running. Used only to lower what is sent to it, never
    /// to raise it.
    #[serde(default)]
    pub in_flight: u32,
    /// Load that it reports, where 1.0 is full. Used only to lower what is sent to it, never to
    /// raise it.
    #[serde(default)]
    pub load: f64,
    /// Number that tells it from earlier ones. Encoded separately, since earlier releases have no
    /// such field.
    #[serde(skip)]
    pub number: AnnouncementNumber,
}

/// An announcement as a backend server posts it in JSON.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnnouncementBody {
    #[serde(flatten)]
    announcement: Announcement,
    #[serde(flatten)]
    number: AnnouncementNumber,
}

impl From<Announcement> for AnnouncementBody {
    fn from(announcement: Announcement) -> Self {
        let number = announcement.number;
        Self {
            announcement,
            number,
        }
    }
}

impl From<AnnouncementBody> for Announcement {
    fn from(body: AnnouncementBody) -> Self {
        Self {
            number: body.number,
            ..body.announcement
        }
    }
}

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendState {
    /// It is not ready yet.
    Starting,
    /// It accepts requests.
    Ready,
    /// It completes its running requests and accepts no new ones.
    Leaving,
}

/// Reply to an announcement, in JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnnouncementReply {
    /// Address for further announcements; `None` while no owner is known.
    pub owner: Option<OwnerAddress>,
    /// Time until the next announcement is due, in milliseconds.
    pub repeat_ms: u32,
    /// Time after which this announcement expires, in milliseconds.
    pub lapse_ms: u32,
}

impl AnnouncementReply {
    /// Creates the reply that refers the backend server to `owner`.
    #[must_use]
    pub const fn new(owner: Option<OwnerAddress>) -> Self {
        Self {
            owner,
            repeat_ms: REPEAT_MS,
            lapse_ms: LAPSE_MS,
        }
    }
}

/// Address at which an owner accepts announcements.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerAddress {
    /// Name of the owner's VM.
    pub vm: VmName,
    /// Address of its listener for backend servers.
    pub address: SocketAddr,
}

/// Reason why an announcement is rejected.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum AnnouncementError {
    /// The manifest does not define the service.
    #[snafu(display("the manifest in force has no service {service}"))]
    UnknownService {
        /// The service announced.
        service: ServiceName,
    },
    /// The manifest does not define the place.
    #[snafu(display("the manifest in force has no place {place}"))]
    UnknownPlace {
        /// The place announced.
        place: PlaceName,
    },
    /// The manifest sets no limit for the service at the place, so the service is not provided
    /// there.
    #[snafu(display(
        "service {service} has no limit at place {place}, so it is not provided there"
    ))]
    PlaceNotServed {
        /// The service announced.
        service: ServiceName,
        /// The place announced.
        place: PlaceName,
    },
    /// The announcement offers no slots or no connections.
    #[snafu(display("slots and max_connections must be at least 1"))]
    NoSlots,
    /// The backend server announces that it is leaving, but a later announcement of it states the
    /// contrary.
    #[snafu(display("a later announcement states that the backend server isn't leaving"))]
    Overtaken,
}

impl Announcement {
    /// Validates the announcement against the manifest and returns its service.
    ///
    /// # Errors
    ///
    /// Returns an error if the manifest does not provide the service at the place, or if the
    /// announcement offers no slots or no connections.
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

    /// Encodes the announcement for another entry VM. One of an earlier release reads it without its
    /// number.
    ///
    /// # Errors
    ///
    /// Returns an error if the serialization fails.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(&(self, self.number))
    }

    /// Decodes an announcement from another entry VM, which may be of an earlier release.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an announcement.
    pub fn decode(encoded: &[u8]) -> Result<Self, postcard::Error> {
        let (announcement, rest) = postcard::take_from_bytes::<Self>(encoded)?;
        let number = if rest.is_empty() {
            AnnouncementNumber::default()
        } else {
            postcard::from_bytes(rest)?
        };
        Ok(Self {
            number,
            ..announcement
        })
    }

    /// Returns the number of slots to use: at most what the manifest allows one backend server, and
    /// at most one per connection.
    #[must_use]
    pub fn effective_slots(&self, service: &Service) -> u32 {
        self.slots
            .min(service.max_slots_per_backend)
            .min(self.max_connections)
            .min(service.max_connections_per_backend)
    }
}
