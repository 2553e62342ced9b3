//! Which session of an entry VM owns the backend servers of a service at a place.
//!
//! All backend servers of one (service, place) have the same owner, so that one queue
//! and one count stand before them and the place's limits need no sharing. The owner
//! is found by rendezvous hashing, so a session that comes or goes moves only what it
//! gains or owned.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::announcement::Announcement;
use crate::id::BackendName;
use crate::id::PlaceName;
use crate::id::Revision;
use crate::id::ServiceName;
use crate::id::SessionId;
use crate::rendezvous;
use crate::usage_window::RecentUse;
use crate::view::ControlView;
use crate::view::EntrySession;

/// Names the backend servers of one service at one place.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Group {
    /// The service.
    pub service: ServiceName,
    /// The place.
    pub place: PlaceName,
}

impl Group {
    /// Names the group of `service` at `place`.
    #[must_use]
    pub const fn new(service: ServiceName, place: PlaceName) -> Self {
        Self { service, place }
    }
}

/// Tells the new owner of a group what the old one may still have in flight there.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Release {
    /// The group that was given up.
    pub group: Group,
    /// The session that gave it up.
    pub from: SessionId,
    /// The revision that took the group from it.
    pub revision: Revision,
    /// Counts the releases of this session; a later one replaces an earlier one.
    pub serial: u64,
    /// What may still run.
    pub in_flight: Vec<ReleasedWork>,
    /// What was begun within the last window.
    pub recent: Vec<RecentUse>,
    /// The backend servers, so that the new owner need not wait to hear of them.
    pub backends: Vec<ReleasedBackend>,
    /// False if the old owner didn't know itself what its own predecessor had left.
    pub complete: bool,
}

/// Passes a backend server's last announcement on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReleasedBackend {
    /// The announcement.
    pub announcement: Announcement,
    /// Its age when the release was made, in milliseconds.
    pub age_ms: u32,
}

/// Describes one request that an old owner still has in flight.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReleasedWork {
    /// The backend server that runs it.
    pub backend: BackendName,
    /// Time left until its deadline when the release was made, in milliseconds.
    pub left_ms: u32,
}

impl ReleasedWork {
    /// Describes a request with the deadline `until`, rounded up.
    #[must_use]
    pub fn new(backend: BackendName, now: Instant, until: Instant) -> Self {
        let left = until.saturating_duration_since(now) + Duration::from_millis(1);
        let left_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        Self { backend, left_ms }
    }
}

/// Returns the owner of the backend servers of `service` at `place`, if any session
/// may own some.
#[must_use]
pub fn owner<'v>(
    view: &'v ControlView,
    service: &ServiceName,
    place: &PlaceName,
) -> Option<&'v EntrySession> {
    highest_ranked(&eligible(view, place), service, place)
}

/// Returns the sessions that may own backend servers at `place`: those of the place
/// that aren't leaving; if there are none, those of its region; else all.
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

/// Holds the owners of all groups of one view, so that finding one costs no hashing.
#[derive(Clone, Debug, Default)]
pub struct OwnerTable {
    owners: BTreeMap<ServiceName, BTreeMap<PlaceName, SessionId>>,
}

impl OwnerTable {
    /// Finds the owners of all groups that the manifest in force has.
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

    /// Returns the owner of a group.
    #[must_use]
    pub fn owner(&self, service: &ServiceName, place: &PlaceName) -> Option<SessionId> {
        self.owners.get(service)?.get(place).copied()
    }

    /// Returns the places at which a service has an owner, with the owner.
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
