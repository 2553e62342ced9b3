//! Requests that are suspected of ending the backend servers that run them, as control
//! replicates them.
//!
//! Whoever stands on a backend server that ends is suspected once. What tells the one request
//! from the others is that different backend servers end under it while it is never answered.
//! Three are its limit: a resend that a release or a crash explains costs an innocent request
//! one of them, and the request that does it has ended three within seconds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet_record::BackendLife;
use crate::id::Revision;
use crate::request_fingerprint::Fingerprint;

/// Backend servers that end under a request before it is quarantined.
pub const QUARANTINED_AT: usize = 3;

/// Backend servers that end under a request before it is watched: it isn't sent on once more
/// within the same try.
pub const WATCHED_AT: usize = 2;

/// Requests that are remembered, some 150 bytes each. Each of them has ended a backend server
/// or stood on one, so that it takes hundreds of ended ones to fill the table.
const MOST_SUSPECTS: usize = 512;

/// Requests noted of one backend server that ended; more than it has slots and waiting room.
pub const MOST_STANDING: usize = 64;

/// Says how entry VMs treat a request. The greater one goes first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Verdict {
    /// It is sent to one backend server a try.
    Watched,
    /// It is sent to none.
    Quarantined,
}

impl Verdict {
    /// Returns the verdict on a request under which `ended` backend servers ended.
    #[must_use]
    pub const fn of(ended: usize) -> Option<Self> {
        match ended {
            QUARANTINED_AT.. => Some(Self::Quarantined),
            WATCHED_AT => Some(Self::Watched),
            _ => None,
        }
    }

    /// Returns the verdict as logs and operators name it.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Watched => "watched",
            Self::Quarantined => "quarantined",
        }
    }
}

/// Says what an entry VM saw of requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SuspectNote {
    /// A backend server ended while requests stood on it.
    Ended {
        /// The backend server.
        life: BackendLife,
        /// The requests.
        requests: Vec<Fingerprint>,
    },
    /// A suspected request got a whole answer.
    Answered(Fingerprint),
    /// A quarantined request came and was refused.
    Refused(Fingerprint),
}

/// Holds what is known of one request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// The backend servers that ended under it; as many as decide.
    pub ended: Vec<BackendLife>,
    /// The last position at which it was heard of.
    pub noted: Revision,
}

impl Suspect {
    /// Returns how entry VMs treat it.
    #[must_use]
    pub const fn verdict(&self) -> Option<Verdict> {
        Verdict::of(self.ended.len())
    }

    fn is_quarantined(&self) -> bool {
        self.verdict() == Some(Verdict::Quarantined)
    }
}

/// Holds all suspected requests.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Quarantine {
    /// The last position that changed a verdict.
    revision: Revision,
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl Quarantine {
    /// Returns the last position that changed a verdict.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns all suspected requests.
    pub fn suspects(&self) -> impl Iterator<Item = (&Fingerprint, &Suspect)> {
        self.suspects.iter()
    }

    /// Returns the requests that are sent to no backend server.
    pub fn quarantined(&self) -> impl Iterator<Item = (&Fingerprint, &Suspect)> {
        self.suspects()
            .filter(|(_, suspect)| suspect.is_quarantined())
    }

    /// Returns whether a request is sent to no backend server.
    #[must_use]
    pub fn holds(&self, request: &Fingerprint) -> bool {
        self.suspect(request).is_some_and(Suspect::is_quarantined)
    }

    /// Returns what is known of a request.
    #[must_use]
    pub fn suspect(&self, request: &Fingerprint) -> Option<&Suspect> {
        self.suspects.get(request)
    }

    /// Returns what entry VMs must know: the requests that aren't sent on like others.
    #[must_use]
    pub fn verdicts(&self) -> BTreeMap<Fingerprint, Verdict> {
        let suspects = self.suspects.iter();
        suspects
            .filter_map(|(request, suspect)| Some((*request, suspect.verdict()?)))
            .collect()
    }

    /// Takes in at `index` what entry VMs saw.
    pub fn note(&mut self, index: Revision, notes: &[SuspectNote]) {
        self.change(index, |quarantine| {
            for note in notes {
                quarantine.note_one(index, note);
            }
        });
    }

    /// Lets requests go one step that weren't heard of later than at the positions named: a
    /// quarantined one is watched from now on, so that one more backend server is what it costs
    /// if it still does what it did; any other one is forgotten.
    pub fn release(&mut self, index: Revision, requests: &[(Fingerprint, Revision)]) {
        self.change(index, |quarantine| {
            for (request, noted) in requests {
                quarantine.release_one(index, request, *noted);
            }
        });
    }

    /// Forgets a request by order of an operator. Returns whether it was known.
    pub fn lift(&mut self, index: Revision, request: &Fingerprint) -> bool {
        let mut known = false;
        self.change(index, |quarantine| {
            known = quarantine.suspects.remove(request).is_some();
        });
        known
    }

    /// Changes suspects, and the revision if that changes a verdict.
    fn change(&mut self, index: Revision, f: impl FnOnce(&mut Self)) {
        let before = self.verdicts();
        f(self);
        if self.verdicts() != before {
            self.revision = index;
        }
    }

    fn note_one(&mut self, index: Revision, note: &SuspectNote) {
        match note {
            SuspectNote::Ended { life, requests } => self.note_ended(index, life, requests),
            SuspectNote::Answered(request) => self.note_answered(request),
            SuspectNote::Refused(request) => {
                if let Some(suspect) = self.suspects.get_mut(request) {
                    suspect.noted = index;
                }
            }
        }
    }

    fn note_ended(&mut self, index: Revision, life: &BackendLife, requests: &[Fingerprint]) {
        let requests: BTreeSet<&Fingerprint> = requests.iter().take(MOST_STANDING).collect();
        // A request that is known to end backend servers explains why this one did. It may have
        // been sent before the verdict was known there.
        if let Some(guilty) = requests.iter().copied().find(|request| self.holds(request)) {
            if let Some(suspect) = self.suspects.get_mut(guilty) {
                suspect.noted = index;
            }
            return;
        }
        for request in &requests {
            self.suspect_of(index, request, life);
        }
        // Those that are found guilty together stay so: nothing tells one from the other.
        for request in requests {
            self.acquit_others(request);
        }
        self.keep_bounds();
    }

    fn suspect_of(&mut self, index: Revision, request: &Fingerprint, life: &BackendLife) {
        let suspect = self.suspects.entry(*request).or_default();
        suspect.noted = index;
        if !suspect.ended.contains(life) {
            suspect.ended.push(life.clone());
        }
    }

    /// Takes from all others the suspicion that rests on backend servers that a quarantined
    /// request ended.
    fn acquit_others(&mut self, request: &Fingerprint) {
        let guilty = self
            .suspect(request)
            .filter(|suspect| suspect.is_quarantined());
        let Some(explained) = guilty.map(|suspect| suspect.ended.clone()) else {
            return;
        };
        self.suspects.retain(|_, suspect| {
            if suspect.is_quarantined() {
                return true;
            }
            suspect.ended.retain(|life| !explained.contains(life));
            !suspect.ended.is_empty()
        });
    }

    /// A request that is answered doesn't end whoever runs it. One that is quarantined was sent
    /// before that was known; its answer weighs less than three that ended.
    fn note_answered(&mut self, request: &Fingerprint) {
        if !self.holds(request) {
            self.suspects.remove(request);
        }
    }

    fn release_one(&mut self, index: Revision, request: &Fingerprint, noted: Revision) {
        let Some(suspect) = self.suspects.get_mut(request) else {
            return;
        };
        if suspect.noted != noted {
            return;
        }
        if suspect.is_quarantined() {
            suspect.ended.truncate(WATCHED_AT);
            suspect.noted = index;
        } else {
            self.suspects.remove(request);
        }
    }

    /// Drops the least suspected first, and of these those not heard of for longest, so that
    /// whoever sends many requests that end backend servers pushes out no verdict.
    fn keep_bounds(&mut self) {
        while self.suspects.len() > MOST_SUSPECTS {
            let rank =
                |(_, suspect): &(&Fingerprint, &Suspect)| (suspect.ended.len(), suspect.noted);
            let least = self.suspects.iter().min_by_key(rank);
            let Some(least) = least.map(|(request, _)| *request) else {
                return;
            };
            self.suspects.remove(&least);
        }
    }
}
