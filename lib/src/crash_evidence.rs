//! Evidence that an entry VM collects about requests that may crash the backend servers that
//! process them.
//!
//! A request whose connection broke before a complete answer proves nothing by itself: connections
//! are reset, answers garbled, idle connections closed. It becomes evidence once the backend server
//! is known to have ended: its address refuses connections, another process has announced itself
//! there, or the same process has announced a later incarnation. The first takes one round trip,
//! the second as long as the backend server needs to restart. A backend server that becomes
//! unreachable and does not come back yields no evidence.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::fmt::Debug;
use std::time::Duration;
use std::time::Instant;

use crate::fleet_record::BackendIncarnation;
use crate::fleet_record::BackendState;
use crate::fleet_update::FleetView;
use crate::id::BackendName;
use crate::quarantine::Ended;
use crate::quarantine::InFlightRequest;
use crate::quarantine::MAX_IN_FLIGHT_PER_END;
use crate::quarantine::Suspect;
use crate::quarantine::SuspectNote;
use crate::quarantine::Verdict;
use crate::request_fingerprint::CallerTag;
use crate::request_fingerprint::Fingerprint;
use crate::request_fingerprint::RequestTag;

/// Maximum number of unanswered requests that are remembered until it is known whether their
/// backend server has ended.
const MAX_UNANSWERED: usize = 512;

/// Time for which an unanswered request is remembered. A backend server that ended is restarted
/// within seconds, and its new incarnation is known one heartbeat later.
const UNANSWERED_RETENTION: Duration = Duration::from_secs(15);

/// Time for which an unanswered request is remembered once the backend server's address accepts
/// connections: a process that was restarted immediately has announced itself by then.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of ended backend servers that are remembered, for requests that are abandoned
/// later.
const MAX_ENDED: usize = 128;

/// Maximum number of request contents for which this entry VM keeps its own observations.
const MAX_OWN: usize = 256;

/// Time for which an observation is kept after the request last occurred. Control is notified
/// immediately; this covers the delay and the loss of its response.
const OWN_RETENTION: Duration = Duration::from_mins(3);

/// Minimum time between two notes to control that a quarantined request is still being sent.
pub const REFUSED_NOTE_INTERVAL: Duration = Duration::from_mins(2);

/// Minimum time between two notes to control that requests of a watched content are answered,
/// unless this caller's requests ended a backend server here: there may be hundreds of such answers
/// a second.
const ANSWERED_NOTE_INTERVAL: Duration = Duration::from_secs(2);

/// How a request is treated. If two treatments apply, the greater one takes precedence.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Treatment {
    /// It is sent to at most one backend server per try.
    Watched,
    /// It is not sent to any backend server.
    Quarantined,
}

impl Treatment {
    fn of(verdict: &Verdict, caller: CallerTag) -> Self {
        if verdict.quarantines(caller) {
            Self::Quarantined
        } else {
            Self::Watched
        }
    }
}

/// A request that was in flight on a backend server and got no complete answer.
#[derive(Clone, Debug)]
struct Unanswered {
    life: BackendIncarnation,
    in_flight: InFlightRequest,
    until: Instant,
}

/// This entry VM's own observations of the requests with one content.
#[derive(Clone, Debug)]
struct OwnSuspect {
    suspect: Suspect,
    at: Instant,
    /// When control was last notified that it is still being sent.
    refused_at: Option<Instant>,
    /// When control was last notified that it is answered.
    answered_at: Option<Instant>,
}

/// Knowledge about the incarnations of backend servers.
pub trait BackendIncarnations: Debug + Send + Sync {
    /// Returns whether another process has taken over the address, or the same process has started
    /// a later incarnation.
    fn was_replaced(&self, life: &BackendIncarnation) -> bool;

    /// Returns whether the backend server announced that it is leaving, or has left: its end was
    /// planned.
    fn is_leaving(&self, life: &BackendIncarnation) -> bool;
}

impl BackendIncarnations for FleetView {
    fn was_replaced(&self, life: &BackendIncarnation) -> bool {
        let is_superseded = self
            .backends
            .get(&life.backend)
            .is_some_and(|record| record.state == BackendState::Superseded);
        is_superseded || self.has_later_incarnation(&life.backend, life.born)
    }

    fn is_leaving(&self, life: &BackendIncarnation) -> bool {
        let known = self.backends.get(&life.backend);
        known.is_none_or(|record| record.drains_in(life))
    }
}

/// Crash evidence of one entry VM.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    /// Verdicts that control has sent.
    verdicts: BTreeMap<Fingerprint, Verdict>,
    own: BTreeMap<Fingerprint, OwnSuspect>,
    unanswered: VecDeque<Unanswered>,
    ended: VecDeque<BackendIncarnation>,
}

impl CrashEvidence {
    /// Returns how a request is treated, or `None` if like any other. This entry VM's own
    /// observations count before control has received them, and while control is unreachable.
    #[must_use]
    pub fn treatment(&self, tag: &RequestTag) -> Option<Treatment> {
        let from_control = self.verdicts.get(&tag.content);
        let from_control = from_control.map(|verdict| Treatment::of(verdict, tag.caller));
        let own = self.own.get(&tag.content);
        let own = own.and_then(|own| own.suspect.verdict());
        from_control.max(own.map(|verdict| Treatment::of(&verdict, tag.caller)))
    }

    /// Replaces control's verdicts. If a request's verdict was removed or lowered, it was released,
    /// or lifted by an operator, and earlier observations of this entry VM no longer count against
    /// it.
    pub fn apply_verdicts(&mut self, verdicts: BTreeMap<Fingerprint, Verdict>) {
        let before = std::mem::replace(&mut self.verdicts, verdicts);
        for (request, verdict) in before {
            if self.verdicts.get(&request) < Some(&verdict) {
                self.own.remove(&request);
            }
        }
        let quarantined: Vec<Fingerprint> = self
            .verdicts
            .iter()
            .filter(|(_, verdict)| verdict.is_quarantine())
            .map(|(request, _)| *request)
            .collect();
        for request in quarantined {
            self.exonerate_others(&request);
        }
    }

    /// Records that a request got no complete answer from a backend server. Returns the evidence
    /// that follows if that backend server is already known to have ended.
    pub fn note_unanswered(
        &mut self,
        now: Instant,
        incarnations: &dyn BackendIncarnations,
        life: &BackendIncarnation,
        in_flight: InFlightRequest,
    ) -> Option<Ended> {
        self.forget_old(now);
        if self.unanswered.len() >= MAX_UNANSWERED {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back(Unanswered {
            life: life.clone(),
            in_flight,
            until: now + UNANSWERED_RETENTION,
        });
        let has_ended = self.ended.contains(life) || incarnations.was_replaced(life);
        has_ended
            .then(|| self.note_ended(now, incarnations, life))
            .flatten()
    }

    /// Records that a backend server has ended. Returns the requests that this is evidence against;
    /// `None` if no unanswered request was in flight on it or its end was planned.
    pub fn note_ended(
        &mut self,
        now: Instant,
        incarnations: &dyn BackendIncarnations,
        life: &BackendIncarnation,
    ) -> Option<Ended> {
        if !self.ended.contains(life) {
            if self.ended.len() >= MAX_ENDED {
                self.ended.pop_front();
            }
            self.ended.push_back(life.clone());
        }
        let requests = self.take_unanswered(life);
        if requests.is_empty() || incarnations.is_leaving(life) {
            return None;
        }
        // If one of the requests is already quarantined, it explains the end.
        if !requests
            .iter()
            .any(|in_flight| self.is_quarantined(&in_flight.tag))
        {
            for in_flight in &requests {
                let own = self.own_entry(now, in_flight.tag.content);
                own.suspect.note_end(life, in_flight);
            }
            for in_flight in &requests {
                if self.is_quarantined(&in_flight.tag) {
                    self.exonerate_others(&in_flight.tag.content);
                }
            }
        }
        Some(Ended {
            life: life.clone(),
            requests,
        })
    }

    /// Returns the current incarnation of a backend server that does not report its incarnations
    /// itself.
    #[must_use]
    pub fn incarnation_of(&self, backend: &BackendName) -> BackendIncarnation {
        let ended = self.ended.iter().filter(|life| life.backend == *backend);
        BackendIncarnation {
            backend: backend.clone(),
            born: ended.map(|life| life.born + 1).max().unwrap_or(0),
        }
    }

    /// Records that a backend server's address accepts connections. It may belong to another
    /// process, or to one that was restarted under the same name and does not report its
    /// incarnations.
    pub fn note_reachable(&mut self, now: Instant, life: &BackendIncarnation) {
        self.ended.retain(|ended| ended != life);
        let until = now + ANNOUNCEMENT_TIMEOUT;
        let affected = self
            .unanswered
            .iter_mut()
            .filter(|unanswered| unanswered.life == *life);
        for unanswered in affected {
            unanswered.until = unanswered.until.min(until);
        }
    }

    /// Records the backend servers that have ended according to `incarnations`, and returns the
    /// resulting evidence.
    pub fn apply_incarnations(
        &mut self,
        now: Instant,
        incarnations: &dyn BackendIncarnations,
    ) -> Vec<Ended> {
        self.forget_old(now);
        let with_unanswered = self.unanswered.iter().map(|unanswered| &unanswered.life);
        let replaced: Vec<BackendIncarnation> = with_unanswered
            .filter(|life| incarnations.was_replaced(life))
            .cloned()
            .collect();
        let ended = replaced
            .iter()
            .filter_map(|life| self.note_ended(now, incarnations, life));
        ended.collect()
    }

    /// Records that a request got a complete answer. Returns the note for control if the request is
    /// suspected and a note is due.
    pub fn note_answered(&mut self, now: Instant, tag: &RequestTag) -> Option<SuspectNote> {
        let is_watched = self.verdicts.contains_key(&tag.content);
        let had_ended = self
            .own
            .get(&tag.content)
            .is_some_and(|own| !own.suspect.is_cleared());
        if !is_watched && !had_ended {
            return None;
        }
        let own = self.own_entry(now, tag.content);
        let ends_before = own.suspect.ended_by(tag.caller);
        own.suspect.note_answer(tag.caller);
        let is_recent = own
            .answered_at
            .is_some_and(|at| now.saturating_duration_since(at) < ANSWERED_NOTE_INTERVAL);
        if is_recent && ends_before == 0 {
            return None;
        }
        own.answered_at = Some(now);
        Some(SuspectNote::Answered(*tag))
    }

    /// Records that a quarantined request was refused. Returns a note for control at most every
    /// [`REFUSED_NOTE_INTERVAL`]: a request that is still being sent stays quarantined.
    pub fn note_refused(&mut self, now: Instant, request: Fingerprint) -> Option<SuspectNote> {
        let own = self.own_entry(now, request);
        let is_recent = own
            .refused_at
            .is_some_and(|at| now.saturating_duration_since(at) < REFUSED_NOTE_INTERVAL);
        if is_recent {
            return None;
        }
        own.refused_at = Some(now);
        Some(SuspectNote::Refused(request))
    }

    fn is_quarantined(&self, tag: &RequestTag) -> bool {
        self.treatment(tag) == Some(Treatment::Quarantined)
    }

    /// Discards the evidence against all other requests that rests on backend servers that a
    /// quarantined request ended.
    fn exonerate_others(&mut self, culprit: &Fingerprint) {
        let Some(own) = self.own.get(culprit) else {
            return;
        };
        let explained = own.suspect.ended().into_iter().cloned().collect();
        for (request, own) in &mut self.own {
            if request != culprit {
                own.suspect.exonerate(&explained);
            }
        }
    }

    fn own_entry(&mut self, now: Instant, request: Fingerprint) -> &mut OwnSuspect {
        if !self.own.contains_key(&request) && self.own.len() >= MAX_OWN {
            let rank = |(_, own): &(&Fingerprint, &OwnSuspect)| (own.suspect.ended().len(), own.at);
            let least = self.own.iter().min_by_key(rank);
            if let Some(least) = least.map(|(request, _)| *request) {
                self.own.remove(&least);
            }
        }
        let own = self.own.entry(request).or_insert_with(|| OwnSuspect {
            suspect: Suspect::default(),
            at: now,
            refused_at: None,
            answered_at: None,
        });
        own.at = now;
        own
    }

    fn take_unanswered(&mut self, life: &BackendIncarnation) -> Vec<InFlightRequest> {
        let mut requests = BTreeSet::new();
        self.unanswered.retain(|unanswered| {
            let ran_there = unanswered.life == *life;
            if ran_there {
                requests.insert(unanswered.in_flight);
            }
            !ran_there
        });
        requests.into_iter().take(MAX_IN_FLIGHT_PER_END).collect()
    }

    fn forget_old(&mut self, now: Instant) {
        self.unanswered.retain(|unanswered| now < unanswered.until);
        self.own
            .retain(|_, own| now.saturating_duration_since(own.at) < OWN_RETENTION);
    }
}
