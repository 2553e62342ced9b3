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
use std::time::Duration;
use std::time::Instant;

use crate::fleet_record::BackendLife;
use crate::fleet_record::BackendState;
use crate::fleet_update::FleetView;
use crate::quarantine::MOST_STANDING;
use crate::quarantine::SuspectNote;
use crate::quarantine::Verdict;
use crate::request_fingerprint::Fingerprint;

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
pub const REFUSED_INTERVAL: Duration = Duration::from_mins(2);

/// Holds a request that stood on a backend server and wasn't answered.
#[derive(Clone, Debug)]
struct Unanswered {
    life: BackendLife,
    request: Fingerprint,
    until: Instant,
}

/// Holds what this entry VM itself saw of a request.
#[derive(Clone, Debug)]
struct OwnSuspect {
    ended: Vec<BackendLife>,
    at: Instant,
    /// When control was last told that it still comes.
    refused_at: Option<Instant>,
}

/// Tells that a backend server has ended, and what stood on it here.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ended {
    /// The backend server.
    pub life: BackendLife,
    /// The requests, each named once.
    pub requests: Vec<Fingerprint>,
}

impl From<Ended> for SuspectNote {
    fn from(ended: Ended) -> Self {
        let Ended { life, requests } = ended;
        Self::Ended { life, requests }
    }
}

/// Holds what one entry VM knows.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    /// Control's verdicts.
    verdicts: BTreeMap<Fingerprint, Verdict>,
    own: BTreeMap<Fingerprint, OwnSuspect>,
    unanswered: VecDeque<Unanswered>,
    ended: VecDeque<BackendLife>,
}

impl CrashEvidence {
    /// Returns how a request is to be treated. What was seen here counts before control has
    /// heard of it, and without control.
    #[must_use]
    pub fn verdict(&self, request: &Fingerprint) -> Option<Verdict> {
        let told = self.verdicts.get(request).copied();
        let own = self.own.get(request);
        told.max(own.and_then(|own| Verdict::of(own.ended.len())))
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
        let own: Vec<Fingerprint> = self.own.keys().copied().collect();
        for request in own {
            self.acquit_others(&request);
        }
    }

    /// Notes that a request on a backend server got no whole answer. Returns what is known by
    /// that: that server may have ended before.
    pub fn note_unanswered(
        &mut self,
        now: Instant,
        view: &FleetView,
        life: &BackendLife,
        request: Fingerprint,
    ) -> Option<Ended> {
        self.forget_old(now);
        if self.unanswered.len() >= MOST_UNANSWERED {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back(Unanswered {
            life: life.clone(),
            request,
            until: now + UNANSWERED_FOR,
        });
        let has_ended = self.ended.contains(life) || was_replaced(view, life);
        has_ended
            .then(|| self.note_ended(now, view, life))
            .flatten()
    }

    /// Notes that a backend server has ended. Returns the requests that this is evidence
    /// against; nothing, if there are none or the backend server was about to leave.
    pub fn note_ended(
        &mut self,
        now: Instant,
        view: &FleetView,
        life: &BackendLife,
    ) -> Option<Ended> {
        if !self.ended.contains(life) {
            if self.ended.len() >= MOST_ENDED {
                self.ended.pop_front();
            }
            self.ended.push_back(life.clone());
        }
        let requests = self.take_unanswered(life);
        if requests.is_empty() || leaves(view, life) {
            return None;
        }
        // A request that is known to do it explains the end.
        if !requests.iter().any(|request| self.is_quarantined(request)) {
            for request in &requests {
                self.note_own(now, life, *request);
            }
            for request in &requests {
                self.acquit_others(request);
            }
        }
        Some(Ended {
            life: life.clone(),
            requests,
        })
    }

    /// Notes that connections are taken where a backend server was. It may be another process.
    pub fn note_alive(&mut self, now: Instant, life: &BackendLife) {
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
    pub fn apply_view(&mut self, now: Instant, view: &FleetView) -> Vec<Ended> {
        self.forget_old(now);
        let lives = self.unanswered.iter().map(|unanswered| &unanswered.life);
        let replaced: Vec<BackendLife> = lives
            .filter(|life| was_replaced(view, life))
            .cloned()
            .collect();
        let ended = replaced
            .iter()
            .filter_map(|life| self.note_ended(now, view, life));
        ended.collect()
    }

    /// Notes that a request was answered whole. Returns what to tell control, which suspects it.
    pub fn note_answered(&mut self, request: &Fingerprint) -> Option<SuspectNote> {
        let own = self.own.remove(request);
        let is_suspected = own.is_some() || self.verdicts.contains_key(request);
        is_suspected.then_some(SuspectNote::Answered(*request))
    }

    /// Notes that a quarantined request was refused. Returns what to tell control, now and then:
    /// a request that still comes stays quarantined.
    pub fn note_refused(&mut self, now: Instant, request: Fingerprint) -> Option<SuspectNote> {
        let own = self.own_entry(now, request);
        let told_lately = own
            .refused_at
            .is_some_and(|at| now.saturating_duration_since(at) < REFUSED_INTERVAL);
        if told_lately {
            return None;
        }
        own.refused_at = Some(now);
        Some(SuspectNote::Refused(request))
    }

    fn note_own(&mut self, now: Instant, life: &BackendLife, request: Fingerprint) {
        let own = self.own_entry(now, request);
        if !own.ended.contains(life) {
            own.ended.push(life.clone());
        }
    }

    fn is_quarantined(&self, request: &Fingerprint) -> bool {
        self.verdict(request) == Some(Verdict::Quarantined)
    }

    /// Takes from all others what rests on backend servers that a quarantined request ended.
    fn acquit_others(&mut self, guilty: &Fingerprint) {
        if !self.is_quarantined(guilty) {
            return;
        }
        let Some(explained) = self.own.get(guilty).map(|own| own.ended.clone()) else {
            return;
        };
        for own in self.own.values_mut() {
            if Verdict::of(own.ended.len()) != Some(Verdict::Quarantined) {
                own.ended.retain(|life| !explained.contains(life));
            }
        }
    }

    fn own_entry(&mut self, now: Instant, request: Fingerprint) -> &mut OwnSuspect {
        if !self.own.contains_key(&request) && self.own.len() >= MOST_OWN {
            let rank = |(_, own): &(&Fingerprint, &OwnSuspect)| (own.ended.len(), own.at);
            let least = self.own.iter().min_by_key(rank);
            if let Some(least) = least.map(|(request, _)| *request) {
                self.own.remove(&least);
            }
        }
        let own = self.own.entry(request).or_insert_with(|| OwnSuspect {
            ended: Vec::new(),
            at: now,
            refused_at: None,
        });
        own.at = now;
        own
    }

    fn take_unanswered(&mut self, life: &BackendLife) -> Vec<Fingerprint> {
        let mut requests = BTreeSet::new();
        self.unanswered.retain(|unanswered| {
            let stood = unanswered.life == *life;
            if stood {
                requests.insert(unanswered.request);
            }
            !stood
        });
        requests.into_iter().take(MOST_STANDING).collect()
    }

    fn forget_old(&mut self, now: Instant) {
        self.unanswered.retain(|unanswered| now < unanswered.until);
        self.own
            .retain(|_, own| now.saturating_duration_since(own.at) < OWN_FOR);
    }
}

/// Returns whether another process has the address by now, or the same one began another life.
fn was_replaced(view: &FleetView, life: &BackendLife) -> bool {
    let is_superseded = view
        .backends
        .get(&life.backend)
        .is_some_and(|record| record.state == BackendState::Superseded);
    is_superseded || view.is_outlived(&life.backend, life.born)
}

/// Returns whether a backend server said that it leaves, or has left: its end was planned.
fn leaves(view: &FleetView, life: &BackendLife) -> bool {
    let known = view.backends.get(&life.backend);
    known.is_none_or(|record| record.born == life.born && record.state == BackendState::Draining)
}
