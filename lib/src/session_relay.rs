//! Sessions of entry VMs kept through relays of their region.
//!
//! Control's work grows with the number of calls that it answers. In a region with many
//! entry VMs two of them collect the others' renewals, hand them on as one call, and pass
//! changes of the view on from their own copy. Control then sees calls by region and not
//! by entry VM. A relay decides nothing: every grant is control's, given after a quorum
//! round.

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

/// Relays in a region. The second one takes over when the first one is silent.
pub const RELAYS_PER_REGION: usize = 2;

/// Time for which renewals are collected while none brings an acknowledgement.
///
/// Answers are held back about as long, so this costs no more calls and leaves most of
/// the usual lease for finding out that a relay has failed.
const BATCH_WINDOW: Duration = Duration::from_millis(500);

/// Time for which renewals are collected once one acknowledges a newer revision: others
/// wait for that revision to settle.
const URGENT_BATCH_WINDOW: Duration = Duration::from_millis(5);

/// Returns the relays of a region, or none if it has fewer than `min_entries` entry VMs.
///
/// Every entry VM with the same view gets the same answer.
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

/// Returns the relays that the session `own` should ask, the preferred one first; none if
/// it is a relay itself or there are none.
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
        // The length keeps "a" + "bc" apart from "ab" + "c".
        hasher.update(&name.len().to_le_bytes());
        hasher.update(name.as_bytes());
    }
    *hasher.finalize().as_bytes()
}

new_key_type! {
    /// Identifies a request that waits at a relay.
    pub struct RelayedKey;
}

/// Holds a request of an entry VM to renew its session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayedRenewal {
    /// The session.
    pub session: SessionId,
    /// The last revision that the entry VM has applied.
    pub applied: Revision,
    /// The highest settled revision that it knows.
    pub known_settled: Revision,
    /// How long the answer may be held back while there is nothing new.
    pub wait: Duration,
}

/// Names a session and what its entry VM has applied, as handed on to control.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Acknowledgement {
    /// The session.
    pub session: SessionId,
    /// The last revision that the entry VM has applied.
    pub applied: Revision,
}

/// Holds control's answer to a batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BatchGrant {
    /// The lease, counted by each entry VM from when it sent its request.
    pub lease: Duration,
    /// Revision of control's view when it granted.
    pub revision: Revision,
    /// The settled revision.
    pub settled: Revision,
    /// Sessions of the batch that have lapsed.
    pub lost: BTreeSet<SessionId>,
}

/// Answers one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayAnswer {
    /// The lease is extended; the view from `applied` on is to be sent along.
    Granted {
        /// The session.
        session: SessionId,
        /// The revision that the entry VM has.
        applied: Revision,
        /// The lease; zero if only a change is told.
        lease: Duration,
        /// The settled revision.
        settled: Revision,
    },
    /// The session has lapsed.
    Lost,
    /// Control gave no grant; another replica or relay should be asked.
    NoGrant,
}

/// Says how far a request has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// It waits for the next batch.
    Collected,
    /// It is in the batch that control has.
    InFlight,
    /// Control has granted it, when at this revision.
    Granted { lease: Duration, revision: Revision },
}

#[derive(Clone, Copy, Debug)]
struct PendingRenewal {
    renewal: RelayedRenewal,
    arrived_at: Instant,
    stage: Stage,
}

/// Collects renewals, and holds granted ones back until there is something new.
#[derive(Debug, Default)]
pub struct SessionRelay {
    requests: SlotMap<RelayedKey, PendingRenewal>,
    /// What control was told of each session, to notice news.
    acknowledged: BTreeMap<SessionId, Revision>,
    flush_at: Option<Instant>,
    in_flight: bool,
    settled: Revision,
}

impl SessionRelay {
    /// Takes in a request.
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

    /// Returns the next batch for control, if one is due and none is on its way.
    ///
    /// Only requests that arrived before this moment are in it. Were a later one granted
    /// by this batch's answer, its entry VM would count the lease from after control
    /// does, and serve on when control has given its backend servers to another.
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

    /// Takes control's answer to the batch; returns the requests that end with it.
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

    /// Notes that control gave no answer; returns the requests of the batch.
    pub fn batch_failed(&mut self) -> Vec<(RelayedKey, RelayAnswer)> {
        self.in_flight = false;
        let in_flight = self.requests.iter();
        let failed = in_flight
            .filter(|(_, pending)| pending.stage == Stage::InFlight)
            .map(|(key, _)| (key, RelayAnswer::NoGrant))
            .collect();
        self.remove_all(failed)
    }

    /// Returns the requests to answer now, `revision` and `settled` being what the relay's
    /// own session knows: granted ones, and those for which a change can't wait.
    ///
    /// A grant waits until the relay has seen the revision at which control gave it.
    /// Otherwise a relay that is behind would let an entry VM go on with an older view
    /// than one that control itself would have sent along.
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

    /// Forgets what was told of sessions that `view` doesn't have any more.
    pub fn retain_sessions(&mut self, view: &ControlView) {
        self.acknowledged
            .retain(|session, _| view.sessions.contains_key(session));
    }

    /// Returns when something is due at the latest.
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
            // Waiting for control's grant first would spread a change over half a second,
            // in which entry VMs disagree on owners and refuse each other's requests. The
            // change is told without a lease; the next request brings that.
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
