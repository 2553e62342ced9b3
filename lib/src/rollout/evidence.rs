//! What entry VMs observe of the answers of two versions of a service.
//!
//! Answers are counted by route, version and group of backend servers. A fault of a version shows
//! at all of its backend servers, and one of single backend servers at few of the groups. The size
//! is bounded by the routes of the service, whatever the number of its backend servers.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::affinity::MemberHash;
use crate::affinity::ObjectHash;
use crate::id::BackendName;
use crate::id::RouteName;

/// Number of groups into which the backend servers of each version are divided.
pub const GROUPS: u8 = 128;

/// Maximum number of routes for which answers are counted.
const MAX_ROUTES: usize = 64;

/// The versions that are compared.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Side {
    /// The version that a rollout moves to.
    Target,
    /// All other versions.
    Others,
}

/// Identifies a route across processes without its name.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RouteHash(u32);

impl RouteHash {
    /// Hashes the name of a route.
    #[must_use]
    pub fn of(route: &RouteName) -> Self {
        Self(upper_half(ObjectHash::of("route", route.as_str()).0))
    }
}

/// Identifies a group of backend servers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Group(u8);

impl Group {
    /// Returns the group of a backend server.
    #[must_use]
    pub fn of(backend: &BackendName) -> Self {
        let hash = ObjectHash::of("group", "").weight(MemberHash::of(backend.as_str()));
        Self(u8::try_from(hash % u64::from(GROUPS)).unwrap_or_default())
    }
}

/// What is counted together.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Cell {
    /// Route of the requests.
    pub route: RouteHash,
    /// Version of the backend servers.
    pub side: Side,
    /// Group of the backend servers.
    pub group: Group,
}

/// How a backend server answered a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Quality {
    /// In the usual time and without a failure.
    Good,
    /// With a failure, or the connection broke.
    Failed,
    /// Later than usual, or not at all.
    Slow,
}

/// Numbers of answers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Good answers.
    pub good: u32,
    /// Failures.
    pub failed: u32,
    /// Slow answers.
    pub slow: u32,
}

impl Counts {
    /// Counts one answer.
    pub const fn note(&mut self, quality: Quality) {
        let count = match quality {
            Quality::Good => &mut self.good,
            Quality::Failed => &mut self.failed,
            Quality::Slow => &mut self.slow,
        };
        *count = count.saturating_add(1);
    }

    /// Adds other counts.
    pub const fn add(&mut self, other: Self) {
        self.good = self.good.saturating_add(other.good);
        self.failed = self.failed.saturating_add(other.failed);
        self.slow = self.slow.saturating_add(other.slow);
    }

    /// Returns the counts with slow answers taken for good ones.
    #[must_use]
    pub const fn without_slow(self) -> Self {
        Self {
            good: self.good.saturating_add(self.slow),
            failed: self.failed,
            slow: 0,
        }
    }

    /// Returns the number of failures and slow answers.
    #[must_use]
    pub const fn bad(self) -> u32 {
        self.failed.saturating_add(self.slow)
    }

    /// Returns the number of all answers.
    #[must_use]
    pub const fn all(self) -> u32 {
        self.good.saturating_add(self.bad())
    }
}

/// Counted answers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    cells: BTreeMap<Cell, Counts>,
}

impl Evidence {
    /// Counts one answer.
    pub fn note(&mut self, cell: Cell, quality: Quality) {
        let mut counts = Counts::default();
        counts.note(quality);
        self.add(cell, counts);
    }

    /// Adds counts to a cell; drops them if there are too many routes already.
    pub fn add(&mut self, cell: Cell, counts: Counts) {
        if cell.group.0 >= GROUPS {
            return;
        }
        if let Some(known) = self.cells.get_mut(&cell) {
            known.add(counts);
        } else if self.knows_route(cell.route) || self.routes().count() < MAX_ROUTES {
            self.cells.insert(cell, counts);
        }
    }

    /// Adds all counts of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (cell, counts) in &other.cells {
            self.add(*cell, *counts);
        }
    }

    /// Returns the evidence with slow answers taken for good ones.
    #[must_use]
    pub fn without_slow(mut self) -> Self {
        for counts in self.cells.values_mut() {
            *counts = counts.without_slow();
        }
        self
    }

    /// Returns whether nothing is counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// Returns the counted answers of one version over all routes and groups.
    #[must_use]
    pub fn total(&self, side: Side) -> Counts {
        let mut total = Counts::default();
        for (cell, counts) in &self.cells {
            if cell.side == side {
                total.add(*counts);
            }
        }
        total
    }

    /// Iterates over the routes with counted answers.
    pub fn routes(&self) -> impl Iterator<Item = RouteHash> {
        let mut last = None;
        self.cells.keys().filter_map(move |cell| {
            let is_new = last != Some(cell.route);
            last = Some(cell.route);
            is_new.then_some(cell.route)
        })
    }

    /// Iterates over the groups of one version on one route that have answers.
    pub fn groups(
        &self,
        route: RouteHash,
        side: Side,
    ) -> impl Iterator<Item = (Group, Counts)> + '_ {
        let first = Cell {
            route,
            side,
            group: Group(0),
        };
        let last = Cell {
            group: Group(GROUPS),
            ..first
        };
        let cells = self.cells.range(first..last);
        cells.map(|(cell, counts)| (cell.group, *counts))
    }

    fn knows_route(&self, route: RouteHash) -> bool {
        let side = Side::Target;
        let group = Group(0);
        let from = Cell { route, side, group };
        let next = self.cells.range(from..).next();
        next.is_some_and(|(cell, _)| cell.route == route)
    }
}

fn upper_half(hash: u64) -> u32 {
    u32::try_from(hash >> u32::BITS).unwrap_or_default()
}
