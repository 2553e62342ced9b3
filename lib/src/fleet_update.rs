//! An entry VM's copy of the state of direct dispatch, and updates to it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use imbl::OrdMap;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;
use snafu::ensure;

use crate::encoding;
use crate::encoding::EncodingError;
use crate::fleet_record::BackendRecord;
use crate::fleet_record::BackendState;
use crate::fleet_record::EntryRecord;
use crate::fleet_record::RemovedItem;
use crate::id::BackendName;
use crate::id::ManifestVersion;
use crate::id::PlaceName;
use crate::id::RegionName;
use crate::id::Revision;
use crate::id::RouteName;
use crate::id::ServiceName;
use crate::id::TeamName;
use crate::id::VersionName;
use crate::id::VmName;
use crate::place_lookup;
use crate::rollout::Rollout;
use crate::route_manifest::CallerLimits;
use crate::route_manifest::Route;
use crate::route_manifest::RouteService;
use crate::team_directory::TeamDirectory;
use crate::team_directory::TeamUpdate;

/// Format version of encoded updates.
const UPDATE_FORMAT: u8 = 5;

/// Changes from one revision to another, or the full state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FleetUpdate {
    /// Whether this is the full state rather than changes since `base`.
    pub whole: bool,
    /// Revision that the update applies to.
    pub base: Revision,
    /// Revision after the update.
    pub revision: Revision,
    /// Version of the route manifest after the update.
    pub version: ManifestVersion,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// Added and changed routes.
    pub routes: Vec<(RouteName, Arc<Route>)>,
    /// Those of the added and changed routes whose answers are large.
    pub bulk_routes: Vec<RouteName>,
    /// Added and changed services.
    pub services: Vec<(ServiceName, Arc<RouteService>)>,
    /// Added and changed backend servers.
    pub backends: Vec<VersionedBackend>,
    /// Added and changed rollouts.
    pub rollouts: Vec<(ServiceName, Rollout)>,
    /// Added and changed entry VMs.
    pub entries: Vec<(VmName, Arc<EntryRecord>)>,
    /// All evacuated places, also in an incremental update.
    pub evacuated: Vec<PlaceName>,
    /// Removed items with the revisions that removed them; empty in a full update. An item that
    /// was removed and added again is also among the added ones, which take precedence.
    pub removed: Vec<(Revision, RemovedItem)>,
    /// Changes of the teams; `None` if nothing changed.
    pub teams: Option<TeamUpdate>,
}

/// A backend server as sent to entry VMs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionedBackend {
    name: BackendName,
    record: Arc<BackendRecord>,
    /// The record is encoded without its version.
    version: VersionName,
}

impl VersionedBackend {
    /// Wraps a record for the wire.
    #[must_use]
    pub fn new(name: BackendName, record: Arc<BackendRecord>) -> Self {
        let version = record.version.clone();
        Self {
            name,
            record,
            version,
        }
    }

    /// Returns the name and the record with its version.
    fn unwrap(&self) -> (BackendName, Arc<BackendRecord>) {
        let mut record = Arc::clone(&self.record);
        if record.version != self.version {
            Arc::make_mut(&mut record).version = self.version.clone();
        }
        (self.name.clone(), record)
    }
}

impl FleetUpdate {
    /// Encodes the update for the wire.
    ///
    /// # Errors
    ///
    /// Returns an error if serialization fails.
    pub fn encode(&self) -> Result<Vec<u8>, EncodingError> {
        encoding::encode(UPDATE_FORMAT, self)
    }

    /// Decodes an update.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an update in a known format.
    pub fn decode(encoded: &[u8]) -> Result<Self, EncodingError> {
        encoding::decode(UPDATE_FORMAT, encoded)
    }
}

/// Reason why an update cannot be applied to a view.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum FleetUpdateError {
    /// The update applies to another revision than that of the view.
    #[snafu(display("the update applies to revision {base}, but the view is at {revision}"))]
    OtherBase {
        /// Revision that the update applies to.
        base: Revision,
        /// Revision of the view.
        revision: Revision,
    },
    /// The update would revert the view to an older revision.
    #[snafu(display("the update would revert the view from revision {revision} to {target}"))]
    Backwards {
        /// Revision of the view.
        revision: Revision,
        /// Revision after the update.
        target: Revision,
    },
}

/// An entry VM's copy of the state of direct dispatch.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Revision of the state; 0 before the first update.
    pub revision: Revision,
    /// Version of the route manifest; 0 if there is none yet.
    pub version: ManifestVersion,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// Services of the route manifest by name.
    pub services: BTreeMap<ServiceName, Arc<RouteService>>,
    /// Registered backend servers by name, superseded ones included. Successive views share what has
    /// not changed.
    pub backends: OrdMap<BackendName, Arc<BackendRecord>>,
    /// Registered entry VMs by name.
    pub entries: BTreeMap<VmName, Arc<EntryRecord>>,
    /// Places whose backend servers receive no requests.
    pub evacuated: BTreeSet<PlaceName>,
    /// Latest rollouts by service.
    pub rollouts: BTreeMap<ServiceName, Rollout>,
    /// Teams of the manifest, indexed for request authentication.
    pub teams: Arc<TeamDirectory>,
    /// Routes whose answers are large.
    pub bulk_routes: Arc<BTreeSet<RouteName>>,
    routes: BTreeMap<RouteName, Arc<Route>>,
    /// Routes by host, longest prefix first.
    by_host: BTreeMap<String, Vec<(RouteName, Arc<Route>)>>,
}

impl FleetView {
    /// Returns whether requests may be sent to the incarnation of a backend server that started
    /// at `born`.
    #[must_use]
    pub fn may_send(&self, backend: &BackendName, born: u64) -> bool {
        self.backends.get(backend).is_some_and(|record| {
            record.born == born
                && record.state == BackendState::Ready
                && !self.evacuated.contains(&record.place)
                && self.permits_version(record)
        })
    }

    fn permits_version(&self, record: &BackendRecord) -> bool {
        let rollout = self.rollouts.get(&record.service);
        rollout.is_none_or(|rollout| rollout.permits(&record.version))
    }

    /// Returns whether an incarnation of a backend server later than the one that started at
    /// `born` is registered, so that the earlier one has ended.
    #[must_use]
    pub fn has_later_incarnation(&self, backend: &BackendName, born: u64) -> bool {
        let known = self.backends.get(backend);
        known.is_some_and(|record| record.born > born)
    }

    /// Returns the view after an update.
    ///
    /// # Errors
    ///
    /// Returns an error if the update does not apply to this revision or would revert it. A
    /// process that applied an older state after a newer one would bring a replaced manifest
    /// back into force.
    pub fn updated(&self, update: &FleetUpdate) -> Result<Self, FleetUpdateError> {
        ensure!(
            update.revision >= self.revision,
            BackwardsSnafu {
                revision: self.revision,
                target: update.revision,
            }
        );
        ensure!(
            update.whole || update.base == self.revision,
            OtherBaseSnafu {
                base: update.base,
                revision: self.revision,
            }
        );
        let mut view = if update.whole {
            Self::default()
        } else {
            self.clone()
        };
        for (_, item) in &update.removed {
            view.remove(item);
        }
        view.revision = update.revision;
        view.version = update.version;
        view.limits = update.limits;
        view.services.extend(update.services.iter().cloned());
        view.backends
            .extend(update.backends.iter().map(VersionedBackend::unwrap));
        view.rollouts.extend(update.rollouts.iter().cloned());
        let services = &view.services;
        view.rollouts
            .retain(|service, _| services.contains_key(service));
        view.entries.extend(update.entries.iter().cloned());
        view.evacuated = update.evacuated.iter().cloned().collect();
        if let Some(teams) = &update.teams {
            let removed = update.removed.iter().filter_map(|(_, item)| match item {
                RemovedItem::Team(name) => Some(name),
                _ => None,
            });
            let removed: Vec<&TeamName> = removed.collect();
            view.teams = Arc::new(view.teams.updated(teams, &removed));
        }
        view.routes.extend(update.routes.iter().cloned());
        view.follow_bulk_routes(update);
        if !update.routes.is_empty() || !update.removed.is_empty() || update.whole {
            view.index_routes();
        }
        Ok(view)
    }

    fn remove(&mut self, item: &RemovedItem) {
        match item {
            RemovedItem::Route(name) => {
                self.routes.remove(name);
            }
            RemovedItem::Service(name) => {
                self.services.remove(name);
            }
            RemovedItem::Backend(name) => {
                self.backends.remove(name);
            }
            RemovedItem::Entry(vm) => {
                self.entries.remove(vm);
            }
            // Removed by the team update.
            RemovedItem::Team(_) => {}
        }
    }

    fn follow_bulk_routes(&mut self, update: &FleetUpdate) {
        let mut bulk_routes = BTreeSet::clone(&self.bulk_routes);
        bulk_routes.retain(|name| self.routes.contains_key(name));
        for (name, _) in &update.routes {
            bulk_routes.remove(name);
        }
        bulk_routes.extend(update.bulk_routes.iter().cloned());
        if bulk_routes != *self.bulk_routes {
            self.bulk_routes = Arc::new(bulk_routes);
        }
    }

    fn index_routes(&mut self) {
        self.by_host.clear();
        for (name, route) in &self.routes {
            let routes = self.by_host.entry(route.host.clone()).or_default();
            routes.push((name.clone(), Arc::clone(route)));
        }
        for routes in self.by_host.values_mut() {
            routes.sort_by_key(|(_, route)| std::cmp::Reverse(route.prefix.len()));
        }
    }

    /// Returns whether the entry VM has received a route manifest.
    #[must_use]
    pub fn has_manifest(&self) -> bool {
        self.version != ManifestVersion::default()
    }

    /// Returns the route of a request: among the routes of its host, the one with the longest
    /// matching path prefix.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<(&RouteName, &Arc<Route>)> {
        let routes = self.by_host.get(host)?;
        routes
            .iter()
            .find(|(_, route)| path.starts_with(&route.prefix))
            .map(|(name, route)| (name, route))
    }

    /// Returns the home regions of a host: those of its first route, by route name, that has
    /// any; empty if none has.
    #[must_use]
    pub fn homes_of_host(&self, host: &str) -> &[RegionName] {
        place_lookup::homes(self.routes.values().map(|route| &**route), host)
    }
}
