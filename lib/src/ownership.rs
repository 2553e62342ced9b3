//! Assignment of the backend servers of a service at a place to an owning session.
//!
//! All backend servers of one (service, place) have the same owner, so that a single
//! queue and a single count apply to them and the place's limits need not be divided. The
//! owner is selected by rendezvous hashing, so a session that starts or ends moves only
//! the groups that it acquires or owned.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::announcement::Announcement;
use crate::announcement_number::AnnouncementNumber;
use crate::id::BackendName;
use crate::id::PlaceName;
use crate::id::Revision;
use crate::id::ServiceName;
use crate::id::SessionId;
use crate::rendezvous;
use crate::usage_window::RecentUse;
use crate::view::ControlView;
use crate::view::EntrySession;

/// Identifies the backend servers of one service at one place.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Group {
    /// Service that the backend servers run.
    pub service: ServiceName,
    /// Place at which they run.
    pub place: PlaceName,
}

impl Group {
    /// Identifies the group of `service` at `place`.
    #[must_use]
    pub const fn new(service: ServiceName, place: PlaceName) -> Self {
        Self { service, place }
    }
}

/// Informs the new owner of a group about the requests that the old owner may still have
/// in flight there.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Release {
    /// The group that was released.
    pub group: Group,
    /// The session that released it.
    pub from: SessionId,
    /// Revision at which the session lost the group.
    pub revision: Revision,
    /// Sequence number among the releases of this session; a later one replaces an
    /// earlier one.
    pub serial: u64,
    /// Requests that may still be running.
    pub in_flight: Vec<ReleasedWork>,
    /// Requests started within the last window, by age.
    pub recent: Vec<RecentUse>,
    /// Backend servers of the group, so that the new owner does not have to wait for
    /// their announcements.
    pub backends: Vec<ReleasedBackend>,
    /// Whether the list is complete; `false` if the old owner did not know what its
    /// predecessor left in flight.
    pub complete: bool,
}

impl Release {
    /// Encodes the release for another entry VM. One of an earlier release of the software reads it
    /// without the numbers of announcements.
    ///
    /// # Errors
    ///
    /// Returns an error if the serialization fails.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let numbers = self.backends.iter();
        let numbers = numbers.map(|backend| backend.announcement.number);
        postcard::to_stdvec(&(self, numbers.collect::<Vec<_>>()))
    }

    /// Decodes a release from another entry VM, which may run an earlier release of the software.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a release.
    pub fn decode(encoded: &[u8]) -> Result<Self, postcard::Error> {
        let (mut release, rest) = postcard::take_from_bytes::<Self>(encoded)?;
        let numbers: Vec<AnnouncementNumber> = if rest.is_empty() {
            Vec::new()
        } else {
            postcard::from_bytes(rest)?
        };
        for (backend, number) in release.backends.iter_mut().zip(numbers) {
            backend.announcement.number = number;
        }
        Ok(release)
    }
}

/// The latest announcement of a backend server, forwarded to the new owner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReleasedBackend {
    /// The announcement as received from the backend server.
    pub announcement: Announcement,
    /// Age of the announcement when the release was created, in milliseconds.
    pub age_ms: u32,
}

/// A request that the old owner still has in flight.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReleasedWork {
    /// Backend server that runs the request.
    pub backend: BackendName,
    /// Time from the creation of the release until the request must have ended, in
    /// milliseconds.
    pub left_ms: u32,
}

impl ReleasedWork {
    /// Creates an entry for a request that ends by `until`; the remaining time is rounded
    /// up.
    #[must_use]
    pub fn new(backend: BackendName, now: Instant, until: Instant) -> Self {
        let left = until.saturating_duration_since(now) + Duration::from_millis(1);
        let left_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        Self { backend, left_ms }
    }
}

/// Returns the owner of the backend servers of `service` at `place`, or `None` if no
/// session is eligible.
#[must_use]
pub fn owner<'v>(
    view: &'v ControlView,
    service: &ServiceName,
    place: &PlaceName,
) -> Option<&'v EntrySession> {
    highest_ranked(&eligible(view, place), service, place)
}

/// Returns the sessions eligible to own backend servers at `place`: the sessions at that
/// place that are not leaving; if there are none, those in its region; otherwise all that
/// are not leaving.
#[must_use]
pub fn eligible<'v>(view: &'v ControlView, place: &PlaceName) -> Vec<&'v EntrySession> {
    let staying = || view.sessions.values().filter(|session| !session.leaving);
    let at_place: Vec<_> = staying().filter(|s| s.info.place == *place).collect();
    if !at_place.is_empty() {
        return at_place;
    }
    let region = view
        .manifest
        .as_ref()
        .and_then(|in_force| in_force.manifest.places.get(place))
        .map(|place| &place.region);
    let regional: Vec<_> = staying()
        .filter(|s| Some(&s.info.region) == region)
        .collect();
    if !regional.is_empty() {
        return regional;
    }
    staying().collect()
}

/// Owners of all groups of one view, precomputed so that a look-up needs no hashing.
#[derive(Clone, Debug, Default)]
pub struct OwnerTable {
    owners: BTreeMap<ServiceName, BTreeMap<PlaceName, SessionId>>,
}

impl OwnerTable {
    /// Computes the owners of all groups in the manifest in force.
    #[must_use]
    pub fn of(view: &ControlView) -> Self {
        let mut owners: BTreeMap<ServiceName, BTreeMap<PlaceName, SessionId>> = BTreeMap::new();
        let Some(in_force) = &view.manifest else {
            return Self { owners };
        };
        let manifest = &in_force.manifest;
        for place in manifest.places.keys() {
            let eligible = eligible(view, place);
            for (name, service) in &manifest.services {
                if !service.limits.contains_key(place) {
                    continue;
                }
                if let Some(owner) = highest_ranked(&eligible, name, place) {
                    let places = owners.entry(name.clone()).or_default();
                    places.insert(place.clone(), owner.id);
                }
            }
        }
        Self { owners }
    }

    /// Returns the owner of a group, or `None` if it has none.
    #[must_use]
    pub fn owner(&self, service: &ServiceName, place: &PlaceName) -> Option<SessionId> {
        self.owners.get(service)?.get(place).copied()
    }

    /// Returns the places at which a service has an owner, each with its owner.
    pub fn places(&self, service: &ServiceName) -> impl Iterator<Item = (&PlaceName, SessionId)> {
        let places = self.owners.get(service).into_iter().flatten();
        places.map(|(place, owner)| (place, *owner))
    }

    /// Returns the groups that `session` owns.
    pub fn groups_of(&self, session: SessionId) -> impl Iterator<Item = Group> {
        self.owners.iter().flat_map(move |(service, places)| {
            places
                .iter()
                .filter(move |(_, owner)| **owner == session)
                .map(|(place, _)| Group::new(service.clone(), place.clone()))
        })
    }
}

fn highest_ranked<'v>(
    eligible: &[&'v EntrySession],
    service: &ServiceName,
    place: &PlaceName,
) -> Option<&'v EntrySession> {
    eligible
        .iter()
        .copied()
        .max_by_key(|session| rank(service, place, session))
}

fn rank(service: &ServiceName, place: &PlaceName, session: &EntrySession) -> (u64, SessionId) {
    let score = rendezvous::score(
        &[service.as_str(), place.as_str()],
        session.info.vm.as_str(),
    );
    (score, session.id)
}
