//! The part of the replicated state that direct dispatch goes by: the route manifest,
//! the places that are evacuated, backend servers and entry VMs.
//!
//! Heartbeats aren't part of it: they come several hundred times a second, and losing
//! some does no harm. What entry VMs must agree on is: who is there at all, and who
//! leaves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet_record::BackendChange;
use crate::fleet_record::BackendIncarnation;
use crate::fleet_record::BackendRecord;
use crate::fleet_record::BackendState;
use crate::fleet_record::EntryRecord;
use crate::fleet_record::RemovedItem;
use crate::fleet_update::FleetUpdate;
use crate::id::BackendName;
use crate::id::ContentDigest;
use crate::id::ManifestVersion;
use crate::id::PlaceName;
use crate::id::Revision;
use crate::id::RouteName;
use crate::id::ServiceName;
use crate::id::VmName;
use crate::quarantine::Quarantine;
use crate::quarantine::SuspectNote;
use crate::request_fingerprint::Fingerprint;
use crate::route_check;
use crate::route_check::RouteProblem;
use crate::route_manifest::RouteChange;
use crate::route_manifest::RouteManifest;
use crate::team_manifest::ChangeView;
use crate::team_manifest::FleetManifest;
use crate::team_manifest::TeamManifest;
use crate::team_state::TeamState;

/// Accepted changes whose resends are still recognized. A pipeline that loses an answer
/// asks again within seconds; this many last for hours at ten changes a minute.
const REMEMBERED_CHANGES: usize = 4_096;

/// Removals that are still told one by one; an entry VM that is further behind takes the
/// whole state. About 100 bytes each.
const REMEMBERED_REMOVALS: usize = 1_024;

/// Backend servers that have withdrawn and whose late announcements are still recognized.
/// At one replacement a second, this many last for over half an hour.
const REMEMBERED_WITHDRAWALS: usize = 2_048;

/// Answers a change of the route manifest.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RouteAnswer {
    /// The change is in force, or was accepted earlier.
    Accepted,
    /// The change builds on another version than the one in force.
    Conflict {
        /// The version in force.
        current: ManifestVersion,
    },
    /// The change would make an invalid manifest.
    Invalid(RouteProblem),
}

/// Holds a value and the revision that last changed it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Stamped<T> {
    revision: Revision,
    value: T,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct AcceptedChange {
    version: ManifestVersion,
    digest: ContentDigest,
}

/// Holds the state of direct dispatch after one log position.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FleetState {
    /// The last position that changed anything here.
    revision: Revision,
    manifest: RouteManifest,
    route_stamps: BTreeMap<RouteName, Revision>,
    service_stamps: BTreeMap<ServiceName, Revision>,
    accepted: VecDeque<AcceptedChange>,
    evacuated: BTreeSet<PlaceName>,
    backends: BTreeMap<BackendName, Stamped<Arc<BackendRecord>>>,
    entries: BTreeMap<VmName, Stamped<Arc<EntryRecord>>>,
    removed: VecDeque<Stamped<RemovedItem>>,
    /// The last position whose removals were dropped from `removed`.
    forgotten: Revision,
    withdrawn: VecDeque<BackendIncarnation>,
    /// Snapshots hold the teams beside the state.
    #[serde(skip)]
    teams: Arc<TeamState>,
    /// Numbered by itself: what is noted of suspected requests is no news to entry VMs unless
    /// it changes a verdict. Snapshots hold it beside the state.
    #[serde(skip)]
    quarantine: Arc<Quarantine>,
}

impl FleetState {
    /// Returns the last position that changed anything here.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the route manifest in force.
    #[must_use]
    pub const fn manifest(&self) -> &RouteManifest {
        &self.manifest
    }

    /// Returns what is known of a backend server.
    #[must_use]
    pub fn backend(&self, name: &BackendName) -> Option<&BackendRecord> {
        self.backends.get(name).map(|stamped| &*stamped.value)
    }

    /// Returns all backend servers.
    pub fn backends(&self) -> impl Iterator<Item = (&BackendName, &BackendRecord)> {
        self.backends
            .iter()
            .map(|(name, stamped)| (name, &*stamped.value))
    }

    /// Returns whether a backend server of that birth has withdrawn for good. One that was
    /// born later under the same name hasn't.
    #[must_use]
    pub fn has_withdrawn(&self, name: &BackendName, born: u64) -> bool {
        let covers = |life: &BackendIncarnation| life.backend == *name && born <= life.born;
        self.withdrawn.iter().any(covers)
    }

    /// Returns all entry VMs.
    pub fn entries(&self) -> impl Iterator<Item = (&VmName, &EntryRecord)> {
        self.entries
            .iter()
            .map(|(name, stamped)| (name, &*stamped.value))
    }

    /// Returns what is known of an entry VM.
    #[must_use]
    pub fn entry(&self, vm: &VmName) -> Option<&EntryRecord> {
        self.entries.get(vm).map(|stamped| &*stamped.value)
    }

    /// Applies a change of the route manifest at `index`.
    ///
    /// A change that was accepted before is accepted again, whatever came after it: its
    /// sender lost the answer, and a refusal would make it believe that the change isn't
    /// in the history.
    pub fn change_routes(&mut self, index: Revision, change: &RouteChange) -> RouteAnswer {
        self.change(index, change)
    }

    /// Applies a change of the manifest, its teams among the rest, in the same way.
    pub fn change<'a>(
        &mut self,
        index: Revision,
        change: impl Into<ChangeView<'a>>,
    ) -> RouteAnswer {
        let change = change.into();
        let digest = change.digest();
        let routes = change.routes;
        let known = |accepted: &AcceptedChange| {
            accepted.version == routes.version && accepted.digest == digest
        };
        if self.accepted.iter().any(known) {
            return RouteAnswer::Accepted;
        }
        if routes.base != self.manifest.version {
            return RouteAnswer::Conflict {
                current: self.manifest.version,
            };
        }
        let teams = change.teams_after(self.teams());
        let checked = teams.as_ref().map_or(Ok(()), route_check::check_teams);
        match checked.and_then(|()| route_check::changed(&self.manifest, routes)) {
            Err(problem) => RouteAnswer::Invalid(problem),
            Ok(routes) => {
                self.accept(index, FleetManifest { routes, teams }, digest);
                RouteAnswer::Accepted
            }
        }
    }

    fn accept(&mut self, index: Revision, manifest: FleetManifest, digest: ContentDigest) {
        let gone = if self.teams() == manifest.teams.as_ref() {
            Vec::new()
        } else {
            Arc::make_mut(&mut self.teams).accept(index, manifest.teams)
        };
        for team in gone {
            self.note_removed(index, RemovedItem::Team(team));
        }
        let before = std::mem::replace(&mut self.manifest, manifest.routes);
        let now = &self.manifest;
        let routes = restamp(index, &mut self.route_stamps, &before.routes, &now.routes);
        let services = restamp(
            index,
            &mut self.service_stamps,
            &before.services,
            &now.services,
        );
        let routes = routes.into_iter().map(RemovedItem::Route);
        let services = services.into_iter().map(RemovedItem::Service);
        for item in routes.chain(services) {
            self.note_removed(index, item);
        }
        self.accepted.push_back(AcceptedChange {
            version: self.manifest.version,
            digest,
        });
        if self.accepted.len() > REMEMBERED_CHANGES {
            self.accepted.pop_front();
        }
        self.touch(index);
    }

    /// Returns the teams; nothing if requests need no key.
    #[must_use]
    pub fn teams(&self) -> Option<&TeamManifest> {
        self.teams.manifest()
    }

    /// Returns the whole manifest in force.
    #[must_use]
    pub fn whole_manifest(&self) -> FleetManifest {
        FleetManifest {
            routes: self.manifest.clone(),
            teams: self.teams().cloned(),
        }
    }

    /// Returns the teams as a snapshot holds them.
    pub(crate) const fn team_state(&self) -> &Arc<TeamState> {
        &self.teams
    }

    /// Puts back what a snapshot holds of the teams.
    pub(crate) fn restore_teams(&mut self, teams: TeamState) {
        self.teams = Arc::new(teams);
    }

    /// Evacuates a place, or takes it back into use.
    pub fn set_evacuated(&mut self, index: Revision, place: &PlaceName, evacuated: bool) {
        let changed = if evacuated {
            self.evacuated.insert(place.clone())
        } else {
            self.evacuated.remove(place)
        };
        if changed {
            self.touch(index);
        }
    }

    /// Takes announcements of backend servers in that change something.
    pub fn announce(&mut self, index: Revision, changes: &[BackendChange]) {
        for change in changes {
            self.announce_one(index, change);
        }
    }

    fn announce_one(&mut self, index: Revision, change: &BackendChange) {
        if self.has_withdrawn(&change.backend, change.record.born) {
            return;
        }
        if let Some(known) = self.backends.get(&change.backend) {
            let stale = change.record.stamp() <= known.value.stamp();
            let same_life = change.record.born == known.value.born;
            let superseded = known.value.state == BackendState::Superseded && !change.reclaims;
            if stale || (superseded && same_life) {
                return;
            }
        }
        let mut record = change.record.clone();
        if self.has_heir(change) {
            record.state = BackendState::Superseded;
        } else {
            self.supersede_others_at(index, change);
        }
        self.backends.insert(
            change.backend.clone(),
            Stamped {
                revision: index,
                value: Arc::new(record),
            },
        );
        self.touch(index);
    }

    /// Returns whether a backend server that was born later has the address. An announcement
    /// that a cut held up may come after its sender has died and another one has started
    /// there; it would push out the one that lives, until that one's next heartbeat.
    fn has_heir(&self, change: &BackendChange) -> bool {
        self.backends.iter().any(|(name, other)| {
            *name != change.backend
                && other.value.address == change.record.address
                && other.value.state != BackendState::Superseded
                && change.record.born > 0
                && other.value.born > change.record.born
        })
    }

    /// Marks whoever had the address before: an address belongs to the life that was
    /// announced there last, and requests meant for an earlier one must not go there.
    fn supersede_others_at(&mut self, index: Revision, change: &BackendChange) {
        for (name, other) in &mut self.backends {
            let same_address = other.value.address == change.record.address;
            if same_address
                && *name != change.backend
                && other.value.state != BackendState::Superseded
            {
                let mut record = BackendRecord::clone(&other.value);
                record.state = BackendState::Superseded;
                *other = Stamped {
                    revision: index,
                    value: Arc::new(record),
                };
            }
        }
    }

    /// Removes a backend server that says that it is gone. Late announcements of this
    /// life are recognized and ignored.
    pub fn withdraw(&mut self, index: Revision, life: &BackendIncarnation) {
        if self.has_withdrawn(&life.backend, life.born) {
            return;
        }
        self.withdrawn.push_back(life.clone());
        if self.withdrawn.len() > REMEMBERED_WITHDRAWALS {
            self.withdrawn.pop_front();
        }
        self.forget_backends(index, std::slice::from_ref(life));
    }

    /// Removes backend servers that haven't been heard of for long, unless they have begun
    /// another life meanwhile. They may come back.
    pub fn forget_backends(&mut self, index: Revision, lives: &[BackendIncarnation]) {
        for BackendIncarnation { backend, born } in lives {
            if self
                .backend(backend)
                .is_some_and(|known| known.born <= *born)
            {
                self.backends.remove(backend);
                self.note_removed(index, RemovedItem::Backend(backend.clone()));
                self.touch(index);
            }
        }
    }

    /// Takes an entry VM in, or its next life.
    pub fn enroll_entry(&mut self, index: Revision, vm: &VmName, record: &EntryRecord) {
        if self.entry(vm) == Some(record) {
            return;
        }
        self.entries.insert(
            vm.clone(),
            Stamped {
                revision: index,
                value: Arc::new(record.clone()),
            },
        );
        self.touch(index);
    }

    /// Removes an entry VM that hasn't been heard of for long, unless it has begun
    /// another life meanwhile.
    pub fn forget_entry(&mut self, index: Revision, vm: &VmName, life: u64) {
        if self.entry(vm).is_none_or(|entry| entry.life != life) {
            return;
        }
        self.entries.remove(vm);
        self.note_removed(index, RemovedItem::Entry(vm.clone()));
        self.touch(index);
    }

    /// Returns the requests that are suspected of ending backend servers.
    #[must_use]
    pub const fn quarantine(&self) -> &Arc<Quarantine> {
        &self.quarantine
    }

    /// Puts back what a snapshot holds of suspected requests.
    pub(crate) fn restore_quarantine(&mut self, quarantine: Quarantine) {
        self.quarantine = Arc::new(quarantine);
    }

    /// Takes in what entry VMs saw of requests. The end of a backend server that said that it
    /// leaves is evidence against none.
    pub fn note_suspects(&mut self, index: Revision, notes: &[SuspectNote]) {
        let counts = |note: &&SuspectNote| match note {
            SuspectNote::Ended(ended) => !self.has_left(&ended.life),
            SuspectNote::Answered(_) | SuspectNote::Refused(_) => true,
        };
        let notes: Vec<&SuspectNote> = notes.iter().filter(counts).collect();
        Arc::make_mut(&mut self.quarantine).note(index, notes);
    }

    fn has_left(&self, life: &BackendIncarnation) -> bool {
        let known = self.backend(&life.backend);
        known.is_some_and(|record| record.drains_in(life))
            || self.has_withdrawn(&life.backend, life.born)
    }

    /// Lets suspected requests go one step.
    pub fn release_suspects(&mut self, index: Revision, requests: &[(Fingerprint, Revision)]) {
        Arc::make_mut(&mut self.quarantine).release(index, requests);
    }

    /// Forgets a suspected request.
    pub fn lift_suspect(&mut self, index: Revision, request: &Fingerprint) {
        Arc::make_mut(&mut self.quarantine).lift(index, request);
    }

    fn note_removed(&mut self, index: Revision, value: RemovedItem) {
        let revision = index;
        self.removed.push_back(Stamped { revision, value });
    }

    fn touch(&mut self, index: Revision) {
        self.revision = index;
        while self.removed.len() > REMEMBERED_REMOVALS {
            if let Some(dropped) = self.removed.pop_front() {
                self.forgotten = dropped.revision;
            }
        }
    }

    /// Returns what an entry VM that has applied `applied` lacks; 0 stands for nothing
    /// at all. Nothing is returned if this state is the older one.
    #[must_use]
    pub fn update_from(&self, applied: Revision) -> Option<FleetUpdate> {
        if applied > self.revision {
            return None;
        }
        let whole = applied == Revision::default() || applied < self.forgotten;
        let since = if whole { Revision::default() } else { applied };
        let manifest = &self.manifest;
        let is_new = |stamp: Option<&Revision>| stamp.is_some_and(|stamp| *stamp > since);
        let routes = manifest.routes.iter();
        let services = manifest.services.iter();
        let removed = self.removed.iter().filter(|item| item.revision > since);
        Some(FleetUpdate {
            whole,
            base: applied,
            revision: self.revision,
            version: manifest.version,
            limits: manifest.limits,
            routes: routes
                .filter(|(name, _)| is_new(self.route_stamps.get(*name)))
                .map(|(name, route)| (name.clone(), Arc::clone(route)))
                .collect(),
            services: services
                .filter(|(name, _)| is_new(self.service_stamps.get(*name)))
                .map(|(name, service)| (name.clone(), Arc::clone(service)))
                .collect(),
            backends: newer(&self.backends, since),
            entries: newer(&self.entries, since),
            evacuated: self.evacuated.iter().cloned().collect(),
            removed: if whole {
                Vec::new()
            } else {
                removed
                    .map(|item| (item.revision, item.value.clone()))
                    .collect()
            },
            teams: self.teams.update_from(since),
        })
    }
}

/// Stamps what a change of the manifest added or changed; returns what it removed.
pub(crate) fn restamp<K: Clone + Ord, V: PartialEq>(
    index: Revision,
    stamps: &mut BTreeMap<K, Revision>,
    before: &BTreeMap<K, Arc<V>>,
    now: &BTreeMap<K, Arc<V>>,
) -> Vec<K> {
    for (name, item) in now {
        if before.get(name) != Some(item) {
            stamps.insert(name.clone(), index);
        }
    }
    let gone = before.keys().filter(|name| !now.contains_key(*name));
    let gone: Vec<K> = gone.cloned().collect();
    for name in &gone {
        stamps.remove(name);
    }
    gone
}

fn newer<K: Clone + Ord, V>(
    items: &BTreeMap<K, Stamped<Arc<V>>>,
    since: Revision,
) -> Vec<(K, Arc<V>)> {
    items
        .iter()
        .filter(|(_, item)| item.revision > since)
        .map(|(name, item)| (name.clone(), Arc::clone(&item.value)))
        .collect()
}
