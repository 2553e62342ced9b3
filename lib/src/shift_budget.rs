//! Enforces shift caps: limits on the rate of requests from callers in one place or region that
//! are served in another.
//!
//! A shift cap applies to all owners of backend servers at its target end together. Each
//! owner has a share in proportion to the capacity of the places that it owns. Requests
//! are counted where they are dispatched, by the place of the caller.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::admission_event::ViewStep;
use crate::id::PlaceName;
use crate::id::Revision;
use crate::id::ServiceName;
use crate::id::SessionId;
use crate::manifest::Manifest;
use crate::manifest::Scope;
use crate::manifest::Service;
use crate::manifest::ShiftCap;
use crate::ownership::Group;
use crate::ownership::OwnerTable;
use crate::settled_share::SettledShare;
use crate::settled_share::split;
use crate::usage_window::UsageWindow;
use crate::view::ControlView;

/// Sessions that share a cap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sharing {
    /// The owners of backend servers, for requests.
    Owners,
    /// All sessions equally, for look-ups.
    AllSessions,
}

/// One session's shares of all shift caps.
#[derive(Debug)]
pub struct ShiftBudgets {
    session: SessionId,
    sharing: Sharing,
    caps: BTreeMap<CapKey, CapBudget>,
    /// Whether a view was applied. The first view resets all shares. After it, a cap that was
    /// not in the previous view is known not to have limited requests until now.
    has_view: bool,
}

/// Identifies a cap across manifests that change its percentage.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct CapKey {
    service: ServiceName,
    from: Scope,
    to: Scope,
}

#[derive(Debug)]
struct CapBudget {
    share: SettledShare,
    usage: UsageWindow,
}

/// Share that stands for no limit, for a cap that is not in the manifest.
const NO_CAP: u64 = u64::MAX;

impl ShiftBudgets {
    /// Creates the budgets without any share.
    #[must_use]
    pub const fn new(session: SessionId, sharing: Sharing) -> Self {
        Self {
            session,
            sharing,
            caps: BTreeMap::new(),
            has_view: false,
        }
    }

    /// Applies a view and its owner table.
    pub fn apply_view(&mut self, view: &ControlView, owners: &OwnerTable, step: ViewStep) {
        let shares = self.shares(view, owners);
        let must_reset = step == ViewStep::Whole || !self.has_view;
        for (key, share) in &shares {
            let budget = self.caps.entry(key.clone()).or_insert_with(|| CapBudget {
                share: SettledShare::with_base(NO_CAP),
                usage: UsageWindow::default(),
            });
            if must_reset {
                budget.share.reset(view.revision, *share);
            } else {
                budget.share.set(view.revision, *share);
            }
        }
        for (key, budget) in &mut self.caps {
            if !shares.contains_key(key) {
                budget.share.set(view.revision, NO_CAP);
            }
        }
        self.has_view = true;
    }

    /// Records that `revision` is settled, so that no session acts on an older view, and removes
    /// budgets whose cap no longer exists.
    pub fn settle(&mut self, now: Instant, revision: Revision) {
        self.caps.retain(|_, budget| {
            budget.share.settle(now, revision);
            budget.share.limit(now) != NO_CAP
        });
    }

    /// Checks whether a request from `shift.origin` may be served at `shift.place` now.
    ///
    /// # Errors
    ///
    /// Returns the time after which there may be room if a cap is used up.
    pub fn check(&mut self, now: Instant, shift: Shift<'_>) -> Result<(), Duration> {
        for budget in self.matching(shift) {
            let limit = budget.share.limit(now);
            if !budget.usage.has_room(now, 1, limit) {
                return Err(budget.usage.wait(now));
            }
        }
        Ok(())
    }

    /// Returns the places whose callers cannot be served by `group` now because a cap is
    /// used up.
    pub fn full_origins(
        &mut self,
        now: Instant,
        manifest: &Manifest,
        group: &Group,
    ) -> Vec<PlaceName> {
        let full: Vec<&CapKey> = self
            .caps
            .iter_mut()
            .filter(|(key, _)| key.service == group.service)
            .filter_map(|(key, budget)| {
                let limit = budget.share.limit(now);
                (!budget.usage.has_room(now, 1, limit)).then_some(key)
            })
            .collect();
        if full.is_empty() {
            return Vec::new();
        }
        let is_full = |origin: &&PlaceName| {
            let shift = Shift {
                manifest,
                service: &group.service,
                origin,
                place: &group.place,
            };
            full.iter()
                .any(|key| covers(manifest, &key.from, &key.to, shift))
        };
        manifest.places.keys().filter(is_full).cloned().collect()
    }

    /// Returns whether a request with a reservation may be served now.
    pub fn may_use_reserved(&mut self, now: Instant, shift: Shift<'_>) -> bool {
        self.matching(shift).all(|budget| {
            let limit = budget.share.limit(now);
            budget.usage.may_use_reserved(now, 1, limit)
        })
    }

    /// Reserves room for a queued request.
    pub fn reserve(&mut self, shift: Shift<'_>) {
        self.matching(shift)
            .for_each(|budget| budget.usage.reserve(1));
    }

    /// Cancels the reservation of a queued request.
    pub fn unreserve(&mut self, shift: Shift<'_>) {
        self.matching(shift)
            .for_each(|budget| budget.usage.unreserve(1));
    }

    /// Counts a dispatched request.
    pub fn charge(&mut self, now: Instant, shift: Shift<'_>) {
        self.matching(shift)
            .for_each(|budget| budget.usage.add(now, 1));
    }

    fn matching<'b>(
        &'b mut self,
        shift: Shift<'b>,
    ) -> impl Iterator<Item = &'b mut CapBudget> + 'b {
        self.caps
            .iter_mut()
            .filter(move |(key, _)| {
                key.service == *shift.service && covers(shift.manifest, &key.from, &key.to, shift)
            })
            .map(|(_, budget)| budget)
    }

    fn shares(&self, view: &ControlView, owners: &OwnerTable) -> BTreeMap<CapKey, u64> {
        let mut shares = BTreeMap::new();
        let Some(in_force) = &view.manifest else {
            return shares;
        };
        let manifest = &in_force.manifest;
        for name in manifest.services.keys() {
            for cap in &manifest.shift_caps {
                let share = self.share_of(view, owners, name, cap);
                let key = CapKey {
                    service: name.clone(),
                    from: cap.from.clone(),
                    to: cap.to.clone(),
                };
                // If two caps have the same ends, the lower one applies.
                shares
                    .entry(key)
                    .and_modify(|known: &mut u64| *known = share.min(*known))
                    .or_insert(share);
            }
        }
        shares
    }

    fn share_of(
        &self,
        view: &ControlView,
        owners: &OwnerTable,
        name: &ServiceName,
        cap: &ShiftCap,
    ) -> u64 {
        let Some(in_force) = &view.manifest else {
            return 0;
        };
        let targets = target_places(&in_force.manifest, &in_force.manifest.services[name], cap);
        let total = requests_per_second(cap, &targets);
        match self.sharing {
            Sharing::Owners => {
                let weights: Vec<u64> = targets.iter().map(|(_, rate)| *rate).collect();
                let parts = split(total, &weights);
                let owned = |place| owners.owner(name, place) == Some(self.session);
                targets
                    .iter()
                    .zip(parts)
                    .filter(|((place, _), _)| owned(place))
                    .map(|(_, part)| part)
                    .sum()
            }
            Sharing::AllSessions => {
                let weights = vec![1; view.sessions.len()];
                let rank = view.sessions.keys().position(|id| *id == self.session);
                rank.map_or(0, |rank| split(total, &weights)[rank])
            }
        }
    }
}

/// Origin and destination of a request.
#[derive(Clone, Copy, Debug)]
pub struct Shift<'a> {
    /// The manifest that assigns places to regions.
    pub manifest: &'a Manifest,
    /// The requested service.
    pub service: &'a ServiceName,
    /// The caller's place.
    pub origin: &'a PlaceName,
    /// The place that serves the request.
    pub place: &'a PlaceName,
}

/// Returns the requests per second that `cap` allows to all sessions together.
#[must_use]
pub fn allowed_per_second(manifest: &Manifest, service: &Service, cap: &ShiftCap) -> u64 {
    requests_per_second(cap, &target_places(manifest, service, cap))
}

fn requests_per_second(cap: &ShiftCap, targets: &[(PlaceName, u64)]) -> u64 {
    let capacity: u64 = targets.iter().map(|(_, rate)| *rate).sum();
    capacity * u64::from(cap.percent) / 100
}

/// Returns the places at the target end of `cap`, each with the service's limit in
/// requests per second.
fn target_places(manifest: &Manifest, service: &Service, cap: &ShiftCap) -> Vec<(PlaceName, u64)> {
    service
        .limits
        .iter()
        .filter(|(place, _)| match &cap.to {
            Scope::Any => cap.from == Scope::Any || !contains(manifest, &cap.from, place),
            to => contains(manifest, to, place),
        })
        .map(|(place, limit)| (place.clone(), u64::from(limit.max_per_second)))
        .collect()
}

/// Returns whether a shift counts towards a cap.
#[must_use]
pub fn cap_covers(cap: &ShiftCap, shift: Shift<'_>) -> bool {
    covers(shift.manifest, &cap.from, &cap.to, shift)
}

/// Returns whether a shift counts towards a cap with these ends.
///
/// `Any` at one end stands for all places outside the other end; at both ends, for all
/// places other than the caller's.
fn covers(manifest: &Manifest, from: &Scope, to: &Scope, shift: Shift<'_>) -> bool {
    let Shift { origin, place, .. } = shift;
    match (from, to) {
        (Scope::Any, Scope::Any) => origin != place,
        (Scope::Any, to) => contains(manifest, to, place) && !contains(manifest, to, origin),
        (from, Scope::Any) => contains(manifest, from, origin) && !contains(manifest, from, place),
        (from, to) => {
            contains(manifest, from, origin)
                && contains(manifest, to, place)
                && !contains(manifest, to, origin)
        }
    }
}

fn contains(manifest: &Manifest, scope: &Scope, place: &PlaceName) -> bool {
    match scope {
        Scope::Any => true,
        Scope::Place(name) => name == place,
        Scope::Region(region) => manifest
            .places
            .get(place)
            .is_some_and(|known| known.region == *region),
    }
}
