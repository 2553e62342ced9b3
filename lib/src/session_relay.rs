//! Renews sessions of entry VMs through relays in their region.
//!
//! Control's load grows with the number of calls that it answers. In a region with many entry VMs,
//! two of them collect the renewals of the others, forward them to control as one call, and
//! distribute changes of the view from their own copy. Control then handles calls per region
//! instead of per entry VM. A relay decides nothing: every lease is granted by control after a
//! quorum round.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::id::RegionName;
use crate::id::Revision;
use crate::id::SessionId;
use crate::view::ControlView;
use crate::view::EntryInfo;
use crate::view::EntrySession;

/// Number of relays in a region. The second one takes over when the first one does not respond.
pub const RELAYS_PER_REGION: usize = 2;

/// Time for which renewals are collected while none acknowledges a newer revision.
///
/// Answers are held for about as long, so this does not increase the number of calls, and most of
/// the usual lease remains to detect that a relay has failed.
const BATCH_WINDOW: Duration = Duration::from_millis(500);

/// Time for which renewals are collected once one acknowledges a newer revision, since others wait
/// for that revision to settle.
const URGENT_BATCH_WINDOW: Duration = Duration::from_millis(5);

/// Returns the relays of a region, or none if it has fewer than `min_entries` entry VMs.
///
/// Every entry VM with the same view gets the same result.
#[must_use]
pub fn relays<'v>(
    view: &'v ControlView,
    region: &RegionName,
    min_entries: usize,
) -> Vec<&'v EntrySession> {
    let mut sessions: Vec<_> = view
        .sessions
        .values()
        .filter(|session| session.info.region == *region && !session.leaving)
        .collect();
    if sessions.len() < min_entries {
        return Vec::new();
    }
    sessions.sort_by_key(|session| (rank(&[&session.info]), session.id));
    sessions.truncate(RELAYS_PER_REGION);
    sessions
}

/// Returns the relays to which the session `own` should send its renewals, the preferred one first;
/// none if it is a relay itself or its region has none.
#[must_use]
pub fn relays_of(view: &ControlView, own: SessionId, min_entries: usize) -> Vec<&EntrySession> {
    let Some(asking) = view.sessions.get(&own) else {
        return Vec::new();
    };
    let mut relays = relays(view, &asking.info.region, min_entries);
    if relays.iter().any(|relay| relay.id == own) {
        return Vec::new();
    }
    relays.sort_by_key(|relay| rank(&[&asking.info, &relay.info]));
    relays
}

/// Ranks VMs by rendezvous hashing of their names.
fn rank(infos: &[&EntryInfo]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for info in infos {
        let name = info.vm.as_str();
        // Hashing the length distinguishes "a" + "bc" from "ab" + "c".
        hasher.update(&name.len().to_le_bytes());
        hasher.update(name.as_bytes());
    }
    *hasher.finalize().as_bytes()
}

new_key_type! {
    /// Identifies a request held by a relay.
    pub struct RelayedKey;
}

/// Request of an entry VM to renew its session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayedRenewal {
    /// The session.
    pub session: SessionId,
    /// Last revision that the entry VM has applied.
    pub applied: Revision,
    /// Highest settled revision that it knows.
    pub known_settled: Revision,
    /// Time for which the answer may be held while there are no changes.
    pub wait: Duration,
}

/// A session and the revision that its entry VM has applied, as forwarded to control.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Acknowledgement {
    /// The session.
    pub session: SessionId,
    /// Last revision that the entry VM has applied.
    pub applied: Revision,
}

/// Control's answer to a batch of renewals.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BatchGrant {
    /// Lease duration, counted by each entry VM from when it sent its request.
    pub lease: Duration,
    /// Revision of control's view when it granted the lease.
    pub revision: Revision,
    /// Settled revision.
    pub settled: Revision,
    /// Sessions of the batch that have lapsed.
    pub lost: BTreeSet<SessionId>,
}

/// Answer to one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayAnswer {
    /// The lease is extended; the changes of the view after `applied` are to be sent along.
    Granted {
        /// The session.
        session: SessionId,
        /// Revision that the entry VM has applied.
        applied: Revision,
        /// Lease duration; zero if the answer only delivers a change.
        lease: Duration,
        /// Settled revision.
        settled: Revision,
    },
    /// The session has lapsed.
    Lost,
    /// Control granted nothing; the entry VM should ask another replica or relay.
    NoGrant,
}

/// Processing stage of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// Waits for the next batch.
    Collected,
    /// Part of the batch that was sent to control.
    InFlight,
    /// Granted by control, whose view had this revision.
    Granted { lease: Duration, revision: Revision },
}

#[derive(Clone, Copy, Debug)]
struct PendingRenewal {
    renewal: RelayedRenewal,
    arrived_at: Instant,
    stage: Stage,
}

/// Collects renewals into batches, and holds granted ones until there are changes.
#[derive(Debug, Default)]
pub struct SessionRelay {
    requests: SlotMap<RelayedKey, PendingRenewal>,
    /// Revision last acknowledged to control for each session, to detect newer ones.
    acknowledged: BTreeMap<SessionId, Revision>,
    flush_at: Option<Instant>,
    in_flight: bool,
    settled: Revision,
}

impl SessionRelay {
    /// Adds a request to the next batch.
    pub fn renew(&mut self, now: Instant, renewal: RelayedRenewal) -> RelayedKey {
        let acknowledged = self.acknowledged.get(&renewal.session);
        let has_changes = acknowledged.is_none_or(|acknowledged| *acknowledged < renewal.applied);
        let batch_window = if has_changes {
            URGENT_BATCH_WINDOW
        } else {
            BATCH_WINDOW
        };
        let flush_at = now + batch_window;
        self.flush_at = Some(self.flush_at.map_or(flush_at, |at| at.min(flush_at)));
        self.requests.insert(PendingRenewal {
            renewal,
            arrived_at: now,
            stage: Stage::Collected,
        })
    }

    /// Returns the next batch for control, if one is due and none is in flight.
    ///
    /// It contains only requests that arrived before this call. If the answer to this batch granted
    /// a later request, its entry VM would count the lease from a later moment than control does,
    /// and could still serve when control has assigned its backend servers to another.
    pub fn take_batch(&mut self, now: Instant) -> Option<Vec<Acknowledgement>> {
        if self.in_flight || self.flush_at.is_none_or(|at| now < at) {
            return None;
        }
        self.flush_at = None;
        let mut newest = BTreeMap::new();
        for pending in self.requests.values_mut() {
            if pending.stage == Stage::Collected {
                pending.stage = Stage::InFlight;
                let applied = newest.entry(pending.renewal.session).or_default();
                *applied = pending.renewal.applied.max(*applied);
            }
        }
        if newest.is_empty() {
            return None;
        }
        self.in_flight = true;
        let batch = newest
            .into_iter()
            .map(|(session, applied)| Acknowledgement { session, applied });
        Some(batch.collect())
    }

    /// Handles control's answer to the batch. Returns the requests that it completes.
    pub fn batch_granted(&mut self, grant: &BatchGrant) -> Vec<(RelayedKey, RelayAnswer)> {
        self.in_flight = false;
        self.settled = self.settled.max(grant.settled);
        let mut lost = Vec::new();
        for (key, pending) in &mut self.requests {
            if pending.stage != Stage::InFlight {
                continue;
            }
            let session = pending.renewal.session;
            if grant.lost.contains(&session) {
                self.acknowledged.remove(&session);
                lost.push((key, RelayAnswer::Lost));
                continue;
            }
            self.acknowledged.insert(session, pending.renewal.applied);
            pending.stage = Stage::Granted {
                lease: grant.lease,
                revision: grant.revision,
            };
        }
        self.remove_all(lost)
    }

    /// Records that control did not answer. Returns the requests of the batch.
    pub fn batch_failed(&mut self) -> Vec<(RelayedKey, RelayAnswer)> {
        self.in_flight = false;
        let in_flight = self.requests.iter();
        let failed = in_flight
            .filter(|(_, pending)| pending.stage == Stage::InFlight)
            .map(|(key, _)| (key, RelayAnswer::NoGrant))
            .collect();
        self.remove_all(failed)
    }

    /// Returns the requests to answer now: granted ones that are due, and those with a change to
    /// deliver. `revision` and `settled` are those known to the relay's own session.
    ///
    /// A grant is held until the relay has seen the revision at which control gave it. Otherwise a
    /// relay that lags behind would let an entry VM continue with an older view than control itself
    /// would have sent along.
    pub fn answers(
        &mut self,
        now: Instant,
        revision: Revision,
        settled: Revision,
    ) -> Vec<(RelayedKey, RelayAnswer)> {
        self.settled = self.settled.max(settled);
        let settled = self.settled;
        let due = self.requests.iter().filter_map(|(key, pending)| {
            let answer = pending.answer(now, revision, settled)?;
            Some((key, answer))
        });
        let due = due.collect();
        self.remove_all(due)
    }

    /// Drops the acknowledged revisions of sessions that are no longer part of `view`.
    pub fn retain_sessions(&mut self, view: &ControlView) {
        self.acknowledged
            .retain(|session, _| view.sessions.contains_key(session));
    }

    /// Returns the time by which a batch or answer is due, if any.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        let flush = self.flush_at.filter(|_| !self.in_flight);
        let held = self
            .requests
            .values()
            .filter_map(PendingRenewal::due_at)
            .min();
        flush.into_iter().chain(held).min()
    }

    fn remove_all(
        &mut self,
        answers: Vec<(RelayedKey, RelayAnswer)>,
    ) -> Vec<(RelayedKey, RelayAnswer)> {
        for (key, _) in &answers {
            self.requests.remove(*key);
        }
        answers
    }
}

impl PendingRenewal {
    fn due_at(&self) -> Option<Instant> {
        matches!(self.stage, Stage::Granted { .. }).then(|| self.arrived_at + self.renewal.wait)
    }

    fn answer(&self, now: Instant, revision: Revision, settled: Revision) -> Option<RelayAnswer> {
        let has_changes = self.renewal.applied < revision || self.renewal.known_settled < settled;
        let answer = |lease| RelayAnswer::Granted {
            session: self.renewal.session,
            applied: self.renewal.applied,
            lease,
            settled,
        };
        let (lease, granted_at) = match self.stage {
            // The change is delivered at once without a lease, which the next request obtains.
            // Waiting for control's grant would spread a change over half a second, during which
            // entry VMs disagree on owners and refuse each other's requests.
            Stage::Collected => return has_changes.then(|| answer(Duration::ZERO)),
            Stage::InFlight => return None,
            Stage::Granted { lease, revision } => (lease, revision),
        };
        let due = now >= self.arrived_at + self.renewal.wait;
        if revision < granted_at {
            return due.then_some(RelayAnswer::NoGrant);
        }
        (due || has_changes).then(|| answer(lease))
    }
}
