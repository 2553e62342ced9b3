//! What an entry VM knows of requests that may end the backend servers that run them.
//!
//! A request whose connection broke without a whole answer says nothing by itself: connections
//! are reset, answers garbled, idle connections closed. It becomes evidence once the backend
//! server is known to have ended: its address refuses connections, or another process has
//! announced itself there, or the same one a later life. The first takes a round trip, the
//! second as long as the backend server needs to be back. One that went dark and stays away
//! gives no evidence.

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

/// Requests without an answer that are remembered until it is known whether their backend
/// server has ended.
const MOST_UNANSWERED: usize = 512;

/// Time for which they are: a backend server that ended is back within seconds, and is known
/// to be a heartbeat later.
const UNANSWERED_FOR: Duration = Duration::from_secs(15);

/// The same where the address takes connections: a process that was started again at once has
/// announced itself by then.
const ANNOUNCED_WITHIN: Duration = Duration::from_secs(3);

/// Backend servers that ended and are remembered, for requests that are given up on later.
const MOST_ENDED: usize = 128;

/// Requests that this entry VM itself saw backend servers end under.
const MOST_OWN: usize = 256;

/// Time for which they are remembered after they came last. Control hears of them at once;
/// this bridges its answer, and the loss of it.
const OWN_FOR: Duration = Duration::from_mins(3);

/// Time between two notes that a quarantined request still comes.
pub const REFUSED_NOTE_INTERVAL: Duration = Duration::from_mins(2);

/// Time between two notes that requests of a watched content are answered, where none of this
/// caller ended a backend server here: there may be hundreds a second.
const ANSWERED_INTERVAL: Duration = Duration::from_secs(2);

/// Says how a request is to be treated. The greater one goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Treatment {
    /// It is sent to one backend server a try.
    Watched,
    /// It is sent to none.
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

/// Holds a request that stood on a backend server and wasn't answered.
#[derive(Clone, Debug)]
struct Unanswered {
    life: BackendIncarnation,
    stood: InFlightRequest,
    until: Instant,
}

/// Holds what this entry VM itself saw of the requests of one content.
#[derive(Clone, Debug)]
struct OwnSuspect {
    suspect: Suspect,
    at: Instant,
    /// When control was last told that it still comes.
    refused_at: Option<Instant>,
    /// When control was last told that it is answered.
    answered_at: Option<Instant>,
}

/// Knows of the lives of backend servers.
pub trait BackendIncarnations: Debug + Send + Sync {
    /// Returns whether another process has the address by now, or the same one began another
    /// life.
    fn was_replaced(&self, life: &BackendIncarnation) -> bool;

    /// Returns whether a backend server said that it leaves, or has left: its end was planned.
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

/// Holds what one entry VM knows.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    /// Control's verdicts.
    verdicts: BTreeMap<Fingerprint, Verdict>,
    own: BTreeMap<Fingerprint, OwnSuspect>,
    unanswered: VecDeque<Unanswered>,
    ended: VecDeque<BackendIncarnation>,
}

impl CrashEvidence {
    /// Returns how a request is to be treated. What was seen here counts before control has
    /// heard of it, and without control.
    #[must_use]
    pub fn treatment(&self, tag: &RequestTag) -> Option<Treatment> {
        let told = self.verdicts.get(&tag.content);
        let told = told.map(|verdict| Treatment::of(verdict, tag.caller));
        let own = self.own.get(&tag.content);
        let own = own.and_then(|own| own.suspect.verdict());
        told.max(own.map(|verdict| Treatment::of(&verdict, tag.caller)))
    }

    /// Replaces control's verdicts. Whoever isn't among them any more was released, or lifted by
    /// an operator, and nothing that was seen here before holds against it.
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
            self.acquit_others(&request);
        }
    }

    /// Notes that a request on a backend server got no whole answer. Returns what is known by
    /// that: that server may have ended before.
    pub fn note_unanswered(
        &mut self,
        now: Instant,
        lives: &dyn BackendIncarnations,
        life: &BackendIncarnation,
        stood: InFlightRequest,
    ) -> Option<Ended> {
        self.forget_old(now);
        if self.unanswered.len() >= MOST_UNANSWERED {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back(Unanswered {
            life: life.clone(),
            stood,
            until: now + UNANSWERED_FOR,
        });
        let has_ended = self.ended.contains(life) || lives.was_replaced(life);
        has_ended
            .then(|| self.note_ended(now, lives, life))
            .flatten()
    }

    /// Notes that a backend server has ended. Returns the requests that this is evidence
    /// against; nothing, if there are none or the backend server was about to leave.
    pub fn note_ended(
        &mut self,
        now: Instant,
        lives: &dyn BackendIncarnations,
        life: &BackendIncarnation,
    ) -> Option<Ended> {
        if !self.ended.contains(life) {
            if self.ended.len() >= MOST_ENDED {
                self.ended.pop_front();
            }
            self.ended.push_back(life.clone());
        }
        let requests = self.take_unanswered(life);
        if requests.is_empty() || lives.is_leaving(life) {
            return None;
        }
        // A request that is known to do it explains the end.
        if !requests.iter().any(|stood| self.is_quarantined(&stood.tag)) {
            for stood in &requests {
                let own = self.own_entry(now, stood.tag.content);
                own.suspect.note_end(life, stood);
            }
            for stood in &requests {
                if self.is_quarantined(&stood.tag) {
                    self.acquit_others(&stood.tag.content);
                }
            }
        }
        Some(Ended {
            life: life.clone(),
            requests,
        })
    }

    /// Returns the present life of a backend server that doesn't tell its lives apart itself.
    #[must_use]
    pub fn incarnation_of(&self, backend: &BackendName) -> BackendIncarnation {
        let ended = self.ended.iter().filter(|life| life.backend == *backend);
        BackendIncarnation {
            backend: backend.clone(),
            born: ended.map(|life| life.born + 1).max().unwrap_or(0),
        }
    }

    /// Notes that connections are taken where a backend server was. It may be another process, or
    /// one that was started again under its name and doesn't tell its lives apart.
    pub fn note_reachable(&mut self, now: Instant, life: &BackendIncarnation) {
        self.ended.retain(|ended| ended != life);
        let until = now + ANNOUNCED_WITHIN;
        let stood = self
            .unanswered
            .iter_mut()
            .filter(|unanswered| unanswered.life == *life);
        for unanswered in stood {
            unanswered.until = unanswered.until.min(until);
        }
    }

    /// Returns which backend servers have ended as a view has it.
    pub fn apply_incarnations(
        &mut self,
        now: Instant,
        lives: &dyn BackendIncarnations,
    ) -> Vec<Ended> {
        self.forget_old(now);
        let stood_on = self.unanswered.iter().map(|unanswered| &unanswered.life);
        let replaced: Vec<BackendIncarnation> = stood_on
            .filter(|life| lives.was_replaced(life))
            .cloned()
            .collect();
        let ended = replaced
            .iter()
            .filter_map(|life| self.note_ended(now, lives, life));
        ended.collect()
    }

    /// Notes that a request was answered whole. Returns what to tell control, which suspects it.
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
        let is_lately = own
            .answered_at
            .is_some_and(|at| now.saturating_duration_since(at) < ANSWERED_INTERVAL);
        if is_lately && ends_before == 0 {
            return None;
        }
        own.answered_at = Some(now);
        Some(SuspectNote::Answered(*tag))
    }

    /// Notes that a quarantined request was refused. Returns what to tell control, now and then:
    /// a request that still comes stays quarantined.
    pub fn note_refused(&mut self, now: Instant, request: Fingerprint) -> Option<SuspectNote> {
        let own = self.own_entry(now, request);
        let is_lately = own
            .refused_at
            .is_some_and(|at| now.saturating_duration_since(at) < REFUSED_NOTE_INTERVAL);
        if is_lately {
            return None;
        }
        own.refused_at = Some(now);
        Some(SuspectNote::Refused(request))
    }

    fn is_quarantined(&self, tag: &RequestTag) -> bool {
        self.treatment(tag) == Some(Treatment::Quarantined)
    }

    /// Takes from all others what rests on backend servers that a quarantined request ended.
    fn acquit_others(&mut self, guilty: &Fingerprint) {
        let Some(own) = self.own.get(guilty) else {
            return;
        };
        let explained = own.suspect.ended().into_iter().cloned().collect();
        for (request, own) in &mut self.own {
            if request != guilty {
                own.suspect.acquit(&explained);
            }
        }
    }

    fn own_entry(&mut self, now: Instant, request: Fingerprint) -> &mut OwnSuspect {
        if !self.own.contains_key(&request) && self.own.len() >= MOST_OWN {
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
            let stood = unanswered.life == *life;
            if stood {
                requests.insert(unanswered.stood);
            }
            !stood
        });
        requests.into_iter().take(MAX_IN_FLIGHT_PER_END).collect()
    }

    fn forget_old(&mut self, now: Instant) {
        self.unanswered.retain(|unanswered| now < unanswered.until);
        self.own
            .retain(|_, own| now.saturating_duration_since(own.at) < OWN_FOR);
    }
}
