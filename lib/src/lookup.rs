//! Selection of the entry VM that a look-up returns to a caller.
//!
//! Callers cache the answer, so a look-up shifts traffic by itself: an answer that names an
//! entry VM in another region than the caller's is charged to the shift caps.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::admission_event::ViewStep;
use crate::id::PlaceName;
use crate::id::RegionName;
use crate::id::Revision;
use crate::id::ServiceName;
use crate::id::SessionId;
use crate::manifest::Drain;
use crate::manifest::Manifest;
use crate::outcome::NotRun;
use crate::outcome::NotRunReason;
use crate::ownership::OwnerTable;
use crate::rendezvous;
use crate::shift_budget::Sharing;
use crate::shift_budget::Shift;
use crate::shift_budget::ShiftBudgets;
use crate::view::ControlView;
use crate::view::EntrySession;

/// Maximum number of backup entry VMs in an answer.
const MAX_BACKUPS: usize = 3;

/// Time after which a caller may retry a look-up if no entry VM is available.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Answer to a look-up: the entry VM to use, and backups for when it fails.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LookupAnswer {
    /// Session of the entry VM to use; also the primary of an action's ticket.
    pub entry: EntrySession,
    /// Sessions of the backup entry VMs, best first; at most three.
    pub backups: Vec<EntrySession>,
    /// Time for which the caller may cache the answer.
    pub cache: Duration,
}

/// Answers callers' look-ups on behalf of one session.
#[derive(Debug)]
pub struct Lookups {
    view: Arc<ControlView>,
    /// Cache of the eligible entry VMs by the caller's place, valid for the current view.
    /// Without it, each look-up would classify all sessions of the deployment.
    tiers: BTreeMap<PlaceName, Tiers>,
    shifts: ShiftBudgets,
}

/// Sessions of entry VMs grouped by [`Distance`], nearest first.
type Tiers = [Vec<SessionId>; 3];

/// Distance from a caller to an entry VM; nearer ones order first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Distance {
    SamePlace,
    SameRegion,
    OtherRegion,
}

/// All distances, nearest first, in the order of [`Tiers`].
const DISTANCES: [Distance; 3] = [
    Distance::SamePlace,
    Distance::SameRegion,
    Distance::OtherRegion,
];

impl Lookups {
    /// Creates an instance without a view, which refuses all look-ups.
    #[must_use]
    pub fn new(session: SessionId) -> Self {
        Self {
            view: Arc::default(),
            tiers: BTreeMap::new(),
            shifts: ShiftBudgets::new(session, Sharing::AllSessions),
        }
    }

    /// Replaces the view that look-ups are answered from.
    pub fn apply_view(&mut self, view: &Arc<ControlView>, step: ViewStep) {
        self.view = Arc::clone(view);
        self.tiers.clear();
        // The look-up budget is shared among all sessions, so ownership is irrelevant.
        self.shifts.apply_view(view, &OwnerTable::default(), step);
    }

    /// Records that `revision` is settled, for the shift budgets.
    pub fn settle(&mut self, now: Instant, revision: Revision) {
        self.shifts.settle(now, revision);
    }

    /// Returns the entry VM for a caller at `origin`. `caller` distributes callers over entry VMs
    /// by rendezvous hashing: the same value selects the same one from an unchanged set.
    ///
    /// # Errors
    ///
    /// Returns a refusal if there is no manifest, the service is unknown, no entry VM is
    /// eligible or a shift cap is exhausted.
    pub fn look_up(
        &mut self,
        now: Instant,
        service: &ServiceName,
        origin: &PlaceName,
        caller: u64,
    ) -> Result<LookupAnswer, NotRun> {
        let view = Arc::clone(&self.view);
        let Some(in_force) = &view.manifest else {
            return Err(refused(NotRunReason::NoManifest, RETRY_AFTER));
        };
        let manifest = &in_force.manifest;
        if !manifest.services.contains_key(service) {
            return Err(NotRun::proved(NotRunReason::ServiceUnknown));
        }
        // Only places of the manifest are cached, so that callers cannot grow the table.
        let tiers = if manifest.places.contains_key(origin) {
            self.tiers
                .entry(origin.clone())
                .or_insert_with(|| tiers(&view, manifest, origin))
        } else {
            &tiers(&view, manifest, origin)
        };
        let by_distance = nearest(&view, tiers, caller);
        let Some((&(distance, entry), others)) = by_distance.split_first() else {
            return Err(refused(NotRunReason::Leaving, RETRY_AFTER));
        };
        if distance == Distance::OtherRegion {
            self.charge(now, manifest, service, origin, entry)?;
        }
        let backups = others.iter().map(|(_, session)| (*session).clone());
        Ok(LookupAnswer {
            entry: entry.clone(),
            backups: backups.collect(),
            cache: Duration::from_millis(u64::from(manifest.look_ups.cache_ms)),
        })
    }

    fn charge(
        &mut self,
        now: Instant,
        manifest: &Manifest,
        service: &ServiceName,
        origin: &PlaceName,
        entry: &EntrySession,
    ) -> Result<(), NotRun> {
        let shift = Shift {
            manifest,
            service,
            origin,
            place: &entry.info.place,
        };
        self.shifts
            .check(now, shift)
            .map_err(|wait| refused(NotRunReason::ShiftCap, wait))?;
        self.shifts.charge(now, shift);
        Ok(())
    }
}

fn refused(reason: NotRunReason, retry_after: Duration) -> NotRun {
    NotRun::proved(reason).with_retry_after(retry_after)
}

/// Groups the entry VMs that are eligible for callers at `origin` by their distance.
fn tiers(view: &ControlView, manifest: &Manifest, origin: &PlaceName) -> Tiers {
    let region = manifest.places.get(origin).map(|place| &place.region);
    let mut tiers = Tiers::default();
    let eligible = view
        .sessions
        .values()
        .filter(|session| !session.leaving && !is_drained(manifest, session));
    for session in eligible {
        tiers[distance(session, origin, region) as usize].push(session.id);
    }
    tiers
}

/// Returns the nearest entry VMs, as many as an answer contains. Those at the same distance are
/// in the caller's rendezvous-hash order.
fn nearest<'v>(
    view: &'v ControlView,
    tiers: &Tiers,
    caller: u64,
) -> Vec<(Distance, &'v EntrySession)> {
    let key = caller.to_string();
    let mut nearest = Vec::new();
    for (distance, tier) in DISTANCES.into_iter().zip(tiers) {
        let mut sessions: Vec<_> = tier.iter().filter_map(|id| view.sessions.get(id)).collect();
        sessions.sort_by_cached_key(|session| {
            let score = rendezvous::score(&[&key], session.info.vm.as_str());
            (std::cmp::Reverse(score), session.id)
        });
        nearest.extend(sessions.into_iter().map(|session| (distance, session)));
        if nearest.len() > MAX_BACKUPS {
            break;
        }
    }
    nearest.truncate(1 + MAX_BACKUPS);
    nearest
}

fn distance(session: &EntrySession, origin: &PlaceName, region: Option<&RegionName>) -> Distance {
    if session.info.place == *origin {
        Distance::SamePlace
    } else if Some(&session.info.region) == region {
        Distance::SameRegion
    } else {
        Distance::OtherRegion
    }
}

fn is_drained(manifest: &Manifest, session: &EntrySession) -> bool {
    manifest
        .drains
        .iter()
        .any(|drain| matches!(drain, Drain::Vm(vm) if *vm == session.info.vm))
}
