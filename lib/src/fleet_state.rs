//! Replicated state of direct dispatch: the route manifest, evacuated places, backend servers
//! and entry VMs.
//!
//! Heartbeats are not replicated: they arrive several hundred times a second, and losing some
//! does no harm. The state contains only what entry VMs must agree on: which processes exist,
//! and which of them are draining.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use imbl::OrdMap;
use serde::Deserialize;
use serde::Serialize;

use crate::backend_table::BackendTable;
use crate::fleet_record::BackendChange;
use crate::fleet_record::BackendIncarnation;
use crate::fleet_record::BackendRecord;
use crate::fleet_record::BackendState;
use crate::fleet_record::EntryRecord;
use crate::fleet_record::RemovedItem;
use crate::fleet_update::FleetUpdate;
use crate::fleet_update::VersionedBackend;
use crate::id::BackendName;
use crate::id::ContentDigest;
use crate::id::ManifestVersion;
use crate::id::PlaceName;
use crate::id::Revision;
use crate::id::RouteName;
use crate::id::ServiceName;
use crate::id::VersionName;
use crate::id::VmName;
use crate::quarantine::Quarantine;
use crate::quarantine::SuspectNote;
use crate::request_fingerprint::Fingerprint;
use crate::rollout::RolloutAnswer;
use crate::rollout::RolloutOrder;
use crate::rollout::RolloutState;
use crate::rollout::RolloutStep;
use crate::route_check;
use crate::route_check::RouteProblem;
use crate::route_manifest::RouteChange;
use crate::route_manifest::RouteManifest;
use crate::stamped::Stamped;
use crate::team_manifest::ChangeView;
use crate::team_manifest::FleetManifest;
use crate::team_manifest::TeamManifest;
use crate::team_state::TeamState;

/// Number of accepted changes whose resends are still recognized. A pipeline that loses an
/// answer resends within seconds; this number covers hours at ten changes a minute.
const ACCEPTED_CHANGE_CAPACITY: usize = 4_096;

/// Number of removals kept for incremental updates; an entry VM that is further behind receives
/// the full state. Each takes about 100 bytes.
const REMOVAL_CAPACITY: usize = 1_024;

/// Number of withdrawn backend servers whose late announcements are still recognized. At one
/// replacement a second, this number covers more than half an hour.
const WITHDRAWAL_CAPACITY: usize = 2_048;

/// Result of a change of the route manifest.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RouteAnswer {
    /// The change is in force, or was accepted earlier.
    Accepted,
    /// The change is based on a version other than the one in force.
    Conflict {
        /// Version in force.
        current: ManifestVersion,
    },
    /// The change would result in an invalid manifest.
    Invalid(RouteProblem),
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct AcceptedChange {
    version: ManifestVersion,
    digest: ContentDigest,
}

/// Replicated state of direct dispatch as of one log position.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FleetState {
    /// Last log position that changed this state.
    revision: Revision,
    manifest: RouteManifest,
    route_stamps: BTreeMap<RouteName, Revision>,
    service_stamps: BTreeMap<ServiceName, Revision>,
    accepted: VecDeque<AcceptedChange>,
    evacuated: BTreeSet<PlaceName>,
    backends: BackendTable,
    entries: OrdMap<VmName, Stamped<Arc<EntryRecord>>>,
    removed: VecDeque<Stamped<RemovedItem>>,
    /// Log position of the latest removal that was evicted from `removed`.
    forgotten: Revision,
    withdrawn: VecDeque<BackendIncarnation>,
    /// Stored separately in snapshots.
    #[serde(skip)]
    teams: Arc<TeamState>,
    /// Has its own revision, because entry VMs need observations of suspected requests only
    /// where these change a verdict. Stored separately in snapshots.
    #[serde(skip)]
    quarantine: Arc<Quarantine>,
    /// Stored separately in snapshots.
    #[serde(skip)]
    rollouts: Arc<RolloutState>,
    /// Routes whose answers are large. Stored separately in snapshots.
    #[serde(skip)]
    bulk_routes: BTreeSet<RouteName>,
}

/// Part of the state that earlier snapshot formats lack.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct RolloutSection {
    rollouts: RolloutState,
    /// Names of the backend servers that run each version.
    versions: Vec<(VersionName, Vec<BackendName>)>,
    bulk_routes: BTreeSet<RouteName>,
}

impl FleetState {
    /// Returns the last log position that changed this state, which may be lower than the last
    /// one applied.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the route manifest in force, without its teams.
    #[must_use]
    pub const fn manifest(&self) -> &RouteManifest {
        &self.manifest
    }

    /// Returns the record of a backend server, or `None` if it is not registered.
    #[must_use]
    pub fn backend(&self, name: &BackendName) -> Option<&BackendRecord> {
        self.backends.get(name).map(|record| &**record)
    }

    /// Iterates over the registered backend servers by name, superseded ones included.
    pub fn backends(&self) -> impl Iterator<Item = (&BackendName, &BackendRecord)> {
        self.backends.iter().map(|(name, record)| (name, &**record))
    }

    /// Returns whether this incarnation of a backend server is in use, or may be again.
    #[must_use]
    pub fn may_use(&self, incarnation: &BackendIncarnation) -> bool {
        let known = self.backend(&incarnation.backend);
        known.is_some_and(|known| {
            known.born == incarnation.born && known.state != BackendState::Draining
        })
    }

    /// Returns the backend server that holds an address: the one there that is not superseded.
    #[must_use]
    pub fn holder(&self, address: SocketAddr) -> Option<&BackendName> {
        self.backends.holder(address).map(|(name, _)| name)
    }

    /// Returns whether the incarnation of a backend server that started at `born` has withdrawn.
    /// A later incarnation of the same name is not affected.
    #[must_use]
    pub fn has_withdrawn(&self, name: &BackendName, born: u64) -> bool {
        let covers =
            |withdrawn: &BackendIncarnation| withdrawn.backend == *name && born <= withdrawn.born;
        self.withdrawn.iter().any(covers)
    }

    /// Iterates over the registered entry VMs by name.
    pub fn entries(&self) -> impl Iterator<Item = (&VmName, &EntryRecord)> {
        self.entries
            .iter()
            .map(|(name, stamped)| (name, &*stamped.value))
    }

    /// Returns the record of an entry VM, or `None` if it is not registered.
    #[must_use]
    pub fn entry(&self, vm: &VmName) -> Option<&EntryRecord> {
        self.entries.get(vm).map(|stamped| &*stamped.value)
    }

    /// Applies a change of the route manifest at log position `index`.
    ///
    /// A change that was accepted earlier is accepted again, regardless of later changes: its
    /// sender lost the answer, and a rejection would make it believe that the change was never
    /// in force.
    pub fn change_routes(&mut self, index: Revision, change: &RouteChange) -> RouteAnswer {
        self.change(index, change)
    }

    /// Applies a change of the manifest, including its teams, under the same rules as
    /// [`Self::change_routes`].
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
                let manifest = FleetManifest {
                    routes,
                    teams,
                    bulk_routes: change.bulk_routes_after(&self.bulk_routes),
                };
                self.accept(index, manifest, digest);
                RouteAnswer::Accepted
            }
        }
    }

    fn accept(&mut self, index: Revision, manifest: FleetManifest, digest: ContentDigest) {
        let removed_teams = if self.teams() == manifest.teams.as_ref() {
            Vec::new()
        } else {
            Arc::make_mut(&mut self.teams).accept(index, manifest.teams)
        };
        for team in removed_teams {
            self.record_removal(index, RemovedItem::Team(team));
        }
        let bulk_before = std::mem::replace(&mut self.bulk_routes, manifest.bulk_routes);
        let before = std::mem::replace(&mut self.manifest, manifest.routes);
        let now = &self.manifest;
        let routes = restamp(index, &mut self.route_stamps, &before.routes, &now.routes);
        for route in bulk_before.symmetric_difference(&self.bulk_routes) {
            if let Some(stamp) = self.route_stamps.get_mut(route) {
                *stamp = index;
            }
        }
        let services = restamp(
            index,
            &mut self.service_stamps,
            &before.services,
            &now.services,
        );
        let routes = routes.into_iter().map(RemovedItem::Route);
        let services = services.into_iter().map(RemovedItem::Service);
        for item in routes.chain(services) {
            self.record_removal(index, item);
        }
        let services = &self.manifest.services;
        if self
            .rollouts
            .lacks(|service| services.contains_key(service))
        {
            Arc::make_mut(&mut self.rollouts).retain(|service| services.contains_key(service));
        }
        self.accepted.push_back(AcceptedChange {
            version: self.manifest.version,
            digest,
        });
        if self.accepted.len() > ACCEPTED_CHANGE_CAPACITY {
            self.accepted.pop_front();
        }
        self.mark_changed(index);
    }

    /// Returns the teams, or `None` if requests need no key.
    #[must_use]
    pub fn teams(&self) -> Option<&TeamManifest> {
        self.teams.manifest()
    }

    /// Returns the manifest in force, including its teams.
    #[must_use]
    pub fn whole_manifest(&self) -> FleetManifest {
        FleetManifest {
            routes: self.manifest.clone(),
            teams: self.teams().cloned(),
            bulk_routes: self.bulk_routes.clone(),
        }
    }

    /// Returns the state of the teams, as stored in snapshots.
    pub(crate) const fn team_state(&self) -> &Arc<TeamState> {
        &self.teams
    }

    /// Restores the state of the teams from a snapshot.
    pub(crate) fn restore_teams(&mut self, teams: TeamState) {
        self.teams = Arc::new(teams);
    }

    /// Evacuates a place, or returns it to service.
    pub fn set_evacuated(&mut self, index: Revision, place: &PlaceName, evacuated: bool) {
        let changed = if evacuated {
            self.evacuated.insert(place.clone())
        } else {
            self.evacuated.remove(place)
        };
        if changed {
            self.mark_changed(index);
        }
    }

    /// Returns whether a place is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, place: &PlaceName) -> bool {
        self.evacuated.contains(place)
    }

    /// Applies announcements of backend servers that change the state. Stale announcements, and
    /// those of withdrawn incarnations, are ignored.
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
            if change.record.stamp() <= known.stamp() {
                return;
            }
            let same_incarnation = change.record.born == known.born;
            let superseded = known.state == BackendState::Superseded && !change.reclaims;
            if superseded && same_incarnation {
                // It leaves without having its address back.
                if change.is_draining() {
                    self.withdraw(index, &change.incarnation());
                }
                return;
            }
        }
        let mut record = change.record.clone();
        if self.address_has_newer_owner(change) {
            if change.is_draining() {
                self.withdraw(index, &change.incarnation());
                return;
            }
            record.state = BackendState::Superseded;
        } else {
            self.end_draining_holder(index, change);
        }
        // Any other holder of the address becomes superseded: requests meant for an earlier
        // incarnation must not be sent to the one that was last announced there.
        self.backends.insert(index, &change.backend, record);
        self.mark_changed(index);
    }

    /// Withdraws the holder of an announced address if it is draining. A superseded backend server
    /// may return, a draining one must not.
    fn end_draining_holder(&mut self, index: Revision, change: &BackendChange) {
        let holder = self.backends.holder(change.record.address);
        let draining = holder.filter(|(name, record)| {
            **name != change.backend && record.state == BackendState::Draining
        });
        let draining = draining.map(|(name, record)| BackendIncarnation {
            backend: name.clone(),
            born: record.born,
        });
        if let Some(incarnation) = draining {
            self.withdraw(index, &incarnation);
        }
    }

    /// Returns whether a backend server that started later has the announced address. An
    /// announcement delayed by a network partition may arrive after its sender has ended and
    /// another backend server has started at the address; it would supersede the live one until
    /// that one's next heartbeat.
    fn address_has_newer_owner(&self, change: &BackendChange) -> bool {
        let holder = self.backends.holder(change.record.address);
        holder.is_some_and(|(name, other)| {
            *name != change.backend && change.record.born > 0 && other.born > change.record.born
        })
    }

    /// Removes a backend server that announced its end. Late announcements of this incarnation
    /// are ignored from now on.
    pub fn withdraw(&mut self, index: Revision, incarnation: &BackendIncarnation) {
        if self.has_withdrawn(&incarnation.backend, incarnation.born) {
            return;
        }
        self.withdrawn.push_back(incarnation.clone());
        if self.withdrawn.len() > WITHDRAWAL_CAPACITY {
            self.withdrawn.pop_front();
        }
        self.forget_one(index, incarnation);
    }

    /// Removes backend servers that have not been heard from within the retention time, except
    /// those with a later incarnation. A removed backend server may announce itself again, unless
    /// it was draining.
    pub fn forget_backends(&mut self, index: Revision, incarnations: &[BackendIncarnation]) {
        for incarnation in incarnations {
            let known = self.backend(&incarnation.backend);
            if known.is_some_and(|known| known.drains_in(incarnation)) {
                self.withdraw(index, incarnation);
            } else {
                self.forget_one(index, incarnation);
            }
        }
    }

    fn forget_one(&mut self, index: Revision, incarnation: &BackendIncarnation) {
        let BackendIncarnation { backend, born } = incarnation;
        let known = self.backend(backend);
        if known.is_some_and(|known| known.born <= *born) {
            self.backends.remove(backend);
            self.record_removal(index, RemovedItem::Backend(backend.clone()));
            self.mark_changed(index);
        }
    }

    /// Registers an entry VM, or a new incarnation of a registered one.
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
        self.mark_changed(index);
    }

    /// Removes an entry VM that has not been heard from within the retention time, unless it
    /// has registered with another incarnation.
    pub fn forget_entry(&mut self, index: Revision, vm: &VmName, life: u64) {
        if self.entry(vm).is_none_or(|entry| entry.life != life) {
            return;
        }
        self.entries.remove(vm);
        self.record_removal(index, RemovedItem::Entry(vm.clone()));
        self.mark_changed(index);
    }

    /// Returns the requests that are suspected of crashing backend servers.
    #[must_use]
    pub const fn quarantine(&self) -> &Arc<Quarantine> {
        &self.quarantine
    }

    /// Restores the suspected requests from a snapshot.
    pub(crate) fn restore_quarantine(&mut self, quarantine: Quarantine) {
        self.quarantine = Arc::new(quarantine);
    }

    /// Records observations of entry VMs about suspected requests. The end of a backend server
    /// that was draining or had withdrawn is no evidence against any request.
    pub fn note_suspects(&mut self, index: Revision, notes: &[SuspectNote]) {
        let is_evidence = |note: &&SuspectNote| match note {
            SuspectNote::Ended(ended) => !self.announced_end(&ended.life),
            SuspectNote::Answered(_) | SuspectNote::Refused(_) => true,
        };
        let notes: Vec<&SuspectNote> = notes.iter().filter(is_evidence).collect();
        Arc::make_mut(&mut self.quarantine).note(index, notes);
    }

    fn announced_end(&self, incarnation: &BackendIncarnation) -> bool {
        let known = self.backend(&incarnation.backend);
        known.is_some_and(|record| record.drains_in(incarnation))
            || self.has_withdrawn(&incarnation.backend, incarnation.born)
    }

    /// Relaxes the verdict on suspected requests by one step, unless they were observed again
    /// after the given positions.
    pub fn release_suspects(&mut self, index: Revision, requests: &[(Fingerprint, Revision)]) {
        Arc::make_mut(&mut self.quarantine).release(index, requests);
    }

    /// Clears a suspected request.
    pub fn lift_suspect(&mut self, index: Revision, request: &Fingerprint) {
        Arc::make_mut(&mut self.quarantine).lift(index, request);
    }

    /// Starts a rollout of a service.
    pub fn order_rollout(&mut self, index: Revision, order: &RolloutOrder) -> RolloutAnswer {
        if !self.manifest.services.contains_key(&order.service) {
            return RolloutAnswer::UnknownService;
        }
        let before = Arc::clone(&self.rollouts);
        let answer = Arc::make_mut(&mut self.rollouts).order(index, order);
        if before != self.rollouts {
            self.mark_changed(index);
        }
        answer
    }

    /// Changes the stage of a rollout.
    pub fn step_rollout(&mut self, index: Revision, step: &RolloutStep) {
        let of_service = self.backends.iter().map(|(_, record)| record);
        let of_service = of_service.filter(|record| record.service == step.service);
        let versions = of_service.map(|record| &record.version);
        if Arc::make_mut(&mut self.rollouts).step(index, step, versions) {
            self.mark_changed(index);
        }
    }

    /// Returns the latest rollouts.
    #[must_use]
    pub const fn rollouts(&self) -> &Arc<RolloutState> {
        &self.rollouts
    }

    /// Returns what snapshots store of rollouts and versions.
    pub(crate) fn rollout_section(&self) -> RolloutSection {
        let mut versions: BTreeMap<&VersionName, Vec<BackendName>> = BTreeMap::new();
        for (name, record) in self.backends() {
            if !record.version.as_str().is_empty() {
                versions
                    .entry(&record.version)
                    .or_default()
                    .push(name.clone());
            }
        }
        RolloutSection {
            rollouts: RolloutState::clone(&self.rollouts),
            versions: versions
                .into_iter()
                .map(|(version, backends)| (version.clone(), backends))
                .collect(),
            bulk_routes: self.bulk_routes.clone(),
        }
    }

    /// Restores rollouts and versions from a snapshot.
    pub(crate) fn restore_rollouts(&mut self, section: RolloutSection) {
        self.rollouts = Arc::new(section.rollouts);
        self.bulk_routes = section.bulk_routes;
        for (version, backends) in section.versions {
            for backend in backends {
                self.backends.restore_version(&backend, version.clone());
            }
        }
    }

    fn record_removal(&mut self, index: Revision, value: RemovedItem) {
        let revision = index;
        self.removed.push_back(Stamped { revision, value });
    }

    fn mark_changed(&mut self, index: Revision) {
        self.revision = index;
        while self.removed.len() > REMOVAL_CAPACITY {
            if let Some(dropped) = self.removed.pop_front() {
                self.forgotten = dropped.revision;
            }
        }
    }

    /// Returns the update for an entry VM that has applied revision `applied`; 0 means that it
    /// has no state yet. Returns `None` if this state is older than that of the entry VM.
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
            bulk_routes: self
                .bulk_routes
                .iter()
                .filter(|name| is_new(self.route_stamps.get(*name)))
                .cloned()
                .collect(),
            services: services
                .filter(|(name, _)| is_new(self.service_stamps.get(*name)))
                .map(|(name, service)| (name.clone(), Arc::clone(service)))
                .collect(),
            backends: self
                .backends
                .changed_since(since)
                .into_iter()
                .map(|(name, record)| VersionedBackend::new(name.clone(), Arc::clone(record)))
                .collect(),
            rollouts: self.rollouts.changed_since(since),
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

/// Stamps the items that a manifest change added or modified with `index`, drops the stamps of
/// removed items and returns the names of these.
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
    let removed = before.keys().filter(|name| !now.contains_key(*name));
    let removed: Vec<K> = removed.cloned().collect();
    for name in &removed {
        stamps.remove(name);
    }
    removed
}

fn newer<K: Clone + Ord, V>(
    items: &OrdMap<K, Stamped<Arc<V>>>,
    since: Revision,
) -> Vec<(K, Arc<V>)> {
    items
        .iter()
        .filter(|(_, item)| item.revision > since)
        .map(|(name, item)| (name.clone(), Arc::clone(&item.value)))
        .collect()
}
