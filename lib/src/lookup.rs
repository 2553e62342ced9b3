//! Which entry VM a caller is told to use.
//!
//! Callers keep the answer for a while, so a look-up moves traffic by itself: one that
//! names an entry in another region than the caller's counts against the shift caps.

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

/// Entries named beside the one to use.
const MAX_BACKUPS: usize = 3;

/// Time after which a caller may look up again when no entry can be named.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Names the entry that a caller is to use, and whom to ask when that fails.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LookupAnswer {
    /// The entry to use; also the primary of the ticket.
    pub entry: EntrySession,
    /// Others, best first.
    pub backups: Vec<EntrySession>,
    /// Time for which the caller may keep the answer.
    pub cache: Duration,
}

/// Answers look-ups of one session.
#[derive(Debug)]
pub struct Lookups {
    view: Arc<ControlView>,
    /// Entries that may be named, by the caller's place, for as long as the view holds.
    /// Without it each look-up would sort all sessions of the deployment.
    tiers: BTreeMap<PlaceName, Tiers>,
    shifts: ShiftBudgets,
}

/// Holds entries by their distance, nearest first.
type Tiers = [Vec<SessionId>; 3];

/// Tells how far an entry is from a caller; nearer ones order first.
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
    /// Starts with no view.
    #[must_use]
    pub fn new(session: SessionId) -> Self {
        Self {
            view: Arc::default(),
            tiers: BTreeMap::new(),
            shifts: ShiftBudgets::new(session, Sharing::AllSessions),
        }
    }

    /// Applies a view.
    pub fn apply_view(&mut self, view: &Arc<ControlView>, step: ViewStep) {
        self.view = Arc::clone(view);
        self.tiers.clear();
        // Look-ups are shared among all sessions, so no owner matters.
        self.shifts.apply_view(view, &OwnerTable::default(), step);
    }

    /// Notes that `revision` is settled.
    pub fn settle(&mut self, now: Instant, revision: Revision) {
        self.shifts.settle(now, revision);
    }

    /// Returns the entry to name to a caller at `origin`; `caller` spreads callers over
    /// entries, the same one always to the same entry.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no entry may be named now.
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
        // Only places of the manifest are kept, so that the table stays small.
        let tiers = if manifest.places.contains_key(origin) {
            self.tiers
                .entry(origin.clone())
                .or_insert_with(|| tiers(&view, manifest, origin))
        } else {
            &tiers(&view, manifest, origin)
        };
        let near_first = nearest(&view, tiers, caller);
        let Some((&(distance, entry), others)) = near_first.split_first() else {
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

/// Returns the entries that may be named to callers at `origin`, by their distance.
fn tiers(view: &ControlView, manifest: &Manifest, origin: &PlaceName) -> Tiers {
    let region = manifest.places.get(origin).map(|place| &place.region);
    let mut tiers = Tiers::default();
    let named = view
        .sessions
        .values()
        .filter(|session| !session.leaving && !is_drained(manifest, session));
    for session in named {
        tiers[distance(session, origin, region) as usize].push(session.id);
    }
    tiers
}

/// Returns the nearest entries, as many as an answer names; those of one distance in the
/// caller's own order.
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
