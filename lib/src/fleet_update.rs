//! What an entry VM follows: its copy of the state of direct dispatch, and updates to it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

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
use crate::id::VmName;
use crate::place_lookup;
use crate::route_manifest::CallerLimits;
use crate::route_manifest::Route;
use crate::route_manifest::RouteService;
use crate::team_directory::TeamDirectory;
use crate::team_directory::TeamUpdate;

/// Numbers the encoding of updates.
const UPDATE_FORMAT: u8 = 3;

/// Holds what changed from one revision to another, or everything.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FleetUpdate {
    /// Whether this is everything rather than what changed.
    pub whole: bool,
    /// The revision that the update starts from.
    pub base: Revision,
    /// The revision that it leads to.
    pub revision: Revision,
    /// The version of the route manifest.
    pub version: ManifestVersion,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// New and changed routes.
    pub routes: Vec<(RouteName, Arc<Route>)>,
    /// New and changed services.
    pub services: Vec<(ServiceName, Arc<RouteService>)>,
    /// New and changed backend servers.
    pub backends: Vec<(BackendName, Arc<BackendRecord>)>,
    /// New and changed entry VMs.
    pub entries: Vec<(VmName, Arc<EntryRecord>)>,
    /// All places that are evacuated.
    pub evacuated: Vec<PlaceName>,
    /// What was removed, and when. An item that was removed and added again is among
    /// the new ones too, which goes first.
    pub removed: Vec<(Revision, RemovedItem)>,
    /// What changed of the teams, if anything did.
    pub teams: Option<TeamUpdate>,
}

impl FleetUpdate {
    /// Encodes the update.
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
    /// Returns an error if the bytes aren't an update of a known format.
    pub fn decode(encoded: &[u8]) -> Result<Self, EncodingError> {
        encoding::decode(UPDATE_FORMAT, encoded)
    }
}

/// Tells why an update doesn't fit a view.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum FleetUpdateError {
    /// The update starts from another revision.
    #[snafu(display("the update starts from revision {base}, the view is at {revision}"))]
    OtherBase {
        /// Where the update starts.
        base: Revision,
        /// Where the view is.
        revision: Revision,
    },
    /// The update would take the view back.
    #[snafu(display("the update leads back from revision {revision} to {target}"))]
    Backwards {
        /// Where the view is.
        revision: Revision,
        /// Where the update leads.
        target: Revision,
    },
}

/// Holds an entry VM's copy of the state.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// The revision; 0 before the first update.
    pub revision: Revision,
    /// The version of the route manifest.
    pub version: ManifestVersion,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// The services.
    pub services: BTreeMap<ServiceName, Arc<RouteService>>,
    /// The backend servers.
    pub backends: BTreeMap<BackendName, Arc<BackendRecord>>,
    /// The entry VMs.
    pub entries: BTreeMap<VmName, Arc<EntryRecord>>,
    /// The places that are evacuated.
    pub evacuated: BTreeSet<PlaceName>,
    /// The teams.
    pub teams: Arc<TeamDirectory>,
    routes: BTreeMap<RouteName, Arc<Route>>,
    /// By host, the routes with the longest prefix first.
    by_host: BTreeMap<String, Vec<(RouteName, Arc<Route>)>>,
}

impl FleetView {
    /// Returns whether a life of a backend server may be sent requests.
    #[must_use]
    pub fn may_send(&self, backend: &BackendName, born: u64) -> bool {
        self.backends.get(backend).is_some_and(|record| {
            record.born == born
                && record.state == BackendState::Ready
                && !self.evacuated.contains(&record.place)
        })
    }

    /// Returns whether a life of a backend server is over since a later one has begun.
    #[must_use]
    pub fn has_later_incarnation(&self, backend: &BackendName, born: u64) -> bool {
        let known = self.backends.get(backend);
        known.is_some_and(|record| record.born > born)
    }

    /// Returns the view after an update.
    ///
    /// # Errors
    ///
    /// Fails if the update doesn't start here or leads back. A process that applied an
    /// older state after a newer one would bring a replaced manifest back into force.
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
        view.backends.extend(update.backends.iter().cloned());
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
            // Taken out with the update of the teams.
            RemovedItem::Team(_) => {}
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

    /// Returns whether the entry VM has learned of a route manifest at all.
    #[must_use]
    pub fn has_manifest(&self) -> bool {
        self.version != ManifestVersion::default()
    }

    /// Returns the route of a request: among those of its host, the one with the longest
    /// prefix of the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<(&RouteName, &Arc<Route>)> {
        let routes = self.by_host.get(host)?;
        routes
            .iter()
            .find(|(_, route)| path.starts_with(&route.prefix))
            .map(|(name, route)| (name, route))
    }

    /// Returns the home regions of a host.
    #[must_use]
    pub fn homes_of_host(&self, host: &str) -> &[RegionName] {
        place_lookup::homes(self.routes.values().map(|route| &**route), host)
    }
}
