//! Requests that are suspected of ending the backend servers that run them, as control
//! replicates them.
//!
//! Whoever stands on a backend server that ends is suspected once. What tells the one request
//! from the others is that different backend servers end under it, and one more does once the
//! suspicion is known to whoever sends it. Ends of many backend servers at once, as when a
//! failure domain is lost, say nothing of requests that stand on several of them.
//!
//! Requests are told apart by content. The address of the caller is kept with each end: while one
//! address alone sends a request that does it, others with the same content are served. Once
//! backend servers end under it from several addresses, nothing tells the callers apart.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet_record::BackendIncarnation;
use crate::id::Revision;
use crate::request_fingerprint::CallerTag;
use crate::request_fingerprint::Fingerprint;
use crate::request_fingerprint::RequestTag;

/// Backend servers that end under a request before it is quarantined.
pub const QUARANTINE_THRESHOLD: usize = 3;

/// Backend servers that end under a request before it is watched: it isn't sent on once more
/// within the same try.
pub const WATCH_THRESHOLD: usize = 2;

/// Requests that are remembered, some 300 bytes each. Each of them has ended a backend server
/// or stood on one, so that it takes hundreds of ended ones to fill the table.
const MOST_SUSPECTS: usize = 512;

/// Ends that are kept of one request.
const MOST_ENDS: usize = 12;

/// Requests noted of one backend server that ended; more than it has slots and waiting room.
pub const MAX_IN_FLIGHT_PER_END: usize = 64;

/// Says how entry VMs treat the requests of one content. The greater one goes first.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Verdict {
    /// Each is sent to one backend server a try, and answers are told to control.
    Watched,
    /// The same, and those of these callers are sent to none.
    QuarantinedFrom(BTreeSet<CallerTag>),
    /// All are sent to none.
    Quarantined,
}

impl Verdict {
    /// Returns whether requests of this caller are sent to no backend server.
    #[must_use]
    pub fn quarantines(&self, caller: CallerTag) -> bool {
        match self {
            Self::Watched => false,
            Self::QuarantinedFrom(callers) => callers.contains(&caller),
            Self::Quarantined => true,
        }
    }

    /// Returns whether requests of any caller are sent to no backend server.
    #[must_use]
    pub const fn is_quarantine(&self) -> bool {
        !matches!(self, Self::Watched)
    }

    /// Returns the verdict as logs and operators name it.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Watched => "watched",
            Self::QuarantinedFrom(_) => "quarantined_from",
            Self::Quarantined => "quarantined",
        }
    }
}

/// Names a request that stood on a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct InFlightRequest {
    /// The request.
    pub tag: RequestTag,
    /// Whether it was sent while its entry VM knew that it is watched.
    pub watched: bool,
}

/// Tells that a backend server has ended, and what stood on it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ended {
    /// The backend server.
    pub life: BackendIncarnation,
    /// The requests, each named once.
    pub requests: Vec<InFlightRequest>,
}

/// Says what an entry VM saw of requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SuspectNote {
    /// A backend server ended while requests stood on it.
    Ended(Ended),
    /// A suspected request got a whole answer.
    Answered(RequestTag),
    /// A quarantined request came and was refused.
    Refused(Fingerprint),
}

/// Holds the end of a backend server under a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct EndUnder {
    life: BackendIncarnation,
    /// Who sent the request.
    caller: CallerTag,
    /// Whether it was sent while it was known to be watched.
    watched: bool,
}

/// Holds what is known of the requests of one content.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// The backend servers that ended.
    ends: Vec<EndUnder>,
    /// Whole answers to callers who ended none.
    answers: usize,
}

impl Suspect {
    /// Returns the backend servers that ended, each once.
    #[must_use]
    pub fn ended(&self) -> BTreeSet<&BackendIncarnation> {
        self.ends.iter().map(|end| &end.life).collect()
    }

    /// Returns whether anything is left that speaks against these requests.
    #[must_use]
    pub const fn is_cleared(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns how entry VMs treat requests of this content.
    #[must_use]
    pub fn verdict(&self) -> Option<Verdict> {
        // Nearly all have one, and all are looked at with each note.
        if self.ends.len() < WATCH_THRESHOLD {
            return None;
        }
        let ended = self.ended().len();
        if self.is_guilty_from_anywhere(ended) {
            return Some(Verdict::Quarantined);
        }
        let guilty: BTreeSet<CallerTag> = self.callers().filter(|c| self.is_guilty(*c)).collect();
        if !guilty.is_empty() {
            return Some(Verdict::QuarantinedFrom(guilty));
        }
        (ended >= WATCH_THRESHOLD).then_some(Verdict::Watched)
    }

    /// Notes that a backend server ended under a request of this content.
    pub fn note_end(&mut self, life: &BackendIncarnation, stood: &InFlightRequest) {
        let caller = stood.tag.caller;
        let known = |end: &&mut EndUnder| end.life == *life && end.caller == caller;
        if let Some(end) = self.ends.iter_mut().find(known) {
            end.watched |= stood.watched;
            return;
        }
        if self.ends.len() >= MOST_ENDS {
            self.ends.remove(0);
        }
        self.ends.push(EndUnder {
            life: life.clone(),
            caller,
            watched: stood.watched,
        });
    }

    /// Notes a whole answer. It clears its caller, and speaks for the content against the ends
    /// under it from elsewhere; it doesn't clear another caller.
    pub fn note_answer(&mut self, caller: CallerTag) {
        let verdict = self.verdict();
        if verdict.is_some_and(|verdict| verdict.quarantines(caller)) {
            return;
        }
        self.ends.retain(|end| end.caller != caller);
        self.answers += 1;
        let repeats = self
            .callers()
            .any(|caller| self.ended_by(caller) >= WATCH_THRESHOLD);
        if !repeats && self.answers >= self.ended().len() {
            self.ends.clear();
        }
    }

    /// Takes away what a quarantined request explains: the backend servers that ended under it.
    /// Those that are found guilty together stay so; nothing tells one from the other.
    pub fn acquit(&mut self, explained: &BTreeSet<BackendIncarnation>) {
        if !self.is_quarantined() {
            self.ends.retain(|end| !explained.contains(&end.life));
        }
    }

    fn is_quarantined(&self) -> bool {
        let verdict = self.verdict();
        verdict.is_some_and(|verdict| verdict.is_quarantine())
    }

    /// Leaves what makes these requests watched, and one more end quarantines them.
    fn step_down(&mut self) {
        if let Some(Verdict::QuarantinedFrom(callers)) = self.verdict() {
            self.ends.retain(|end| callers.contains(&end.caller));
        }
        let mut kept = BTreeSet::new();
        self.ends
            .retain(|end| kept.insert(end.life.clone()) && kept.len() <= WATCH_THRESHOLD);
        for end in &mut self.ends {
            end.watched = false;
        }
        self.answers = 0;
    }

    fn callers(&self) -> impl Iterator<Item = CallerTag> {
        let callers: BTreeSet<CallerTag> = self.ends.iter().map(|end| end.caller).collect();
        callers.into_iter()
    }

    /// Returns how many backend servers ended under requests of one caller.
    #[must_use]
    pub fn ended_by(&self, caller: CallerTag) -> usize {
        let ends = self.ends.iter().filter(|end| end.caller == caller);
        ends.count()
    }

    fn is_guilty(&self, caller: CallerTag) -> bool {
        let mut ends = self.ends.iter().filter(|end| end.caller == caller);
        self.ended_by(caller) >= QUARANTINE_THRESHOLD && ends.any(|end| end.watched)
    }

    fn is_guilty_from_anywhere(&self, ended: usize) -> bool {
        ended >= QUARANTINE_THRESHOLD + self.answers
            && self.callers().nth(1).is_some()
            && self.ends.iter().any(|end| end.watched)
    }
}

/// Holds a suspect and when it was heard of.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectRecord {
    /// What is known.
    pub suspect: Suspect,
    /// The last position at which it was heard of.
    pub at: Revision,
}

/// Holds all suspected requests, by content.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Quarantine {
    /// The last position that changed a verdict.
    revision: Revision,
    suspects: BTreeMap<Fingerprint, SuspectRecord>,
}

impl Quarantine {
    /// Returns the last position that changed a verdict.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns all suspected requests.
    pub fn suspects(&self) -> impl Iterator<Item = (&Fingerprint, &SuspectRecord)> {
        self.suspects.iter()
    }

    /// Returns what is known of requests of a content.
    #[must_use]
    pub fn suspect(&self, request: &Fingerprint) -> Option<&SuspectRecord> {
        self.suspects.get(request)
    }

    /// Returns how entry VMs treat requests of a content.
    #[must_use]
    pub fn verdict(&self, request: &Fingerprint) -> Option<Verdict> {
        self.suspect(request)?.suspect.verdict()
    }

    /// Returns what entry VMs must know: the requests that aren't sent on like others.
    #[must_use]
    pub fn verdicts(&self) -> BTreeMap<Fingerprint, Verdict> {
        let suspects = self.suspects.iter();
        suspects
            .filter_map(|(request, noted)| Some((*request, noted.suspect.verdict()?)))
            .collect()
    }

    /// Takes in at `index` what entry VMs saw.
    pub fn note<'a>(&mut self, index: Revision, notes: impl IntoIterator<Item = &'a SuspectNote>) {
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

    /// Forgets a request by order of an operator.
    pub fn lift(&mut self, index: Revision, request: &Fingerprint) {
        self.change(index, |quarantine| {
            quarantine.suspects.remove(request);
        });
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
            SuspectNote::Ended(ended) => self.note_ended(index, ended),
            SuspectNote::Answered(tag) => self.note_answered(tag),
            SuspectNote::Refused(request) => {
                if let Some(noted) = self.suspects.get_mut(request) {
                    noted.at = index;
                }
            }
        }
    }

    fn note_ended(&mut self, index: Revision, ended: &Ended) {
        let requests: BTreeSet<&InFlightRequest> =
            ended.requests.iter().take(MAX_IN_FLIGHT_PER_END).collect();
        // A request that is known to end backend servers explains why this one did. It may have
        // been sent before the verdict was known there.
        let guilty = requests.iter().find(|stood| self.is_guilty(stood));
        if let Some(request) = guilty.map(|stood| stood.tag.content) {
            if let Some(noted) = self.suspects.get_mut(&request) {
                noted.at = index;
            }
            return;
        }
        for stood in &requests {
            let noted = self.suspects.entry(stood.tag.content).or_default();
            noted.at = index;
            noted.suspect.note_end(&ended.life, stood);
        }
        for stood in requests {
            if self.is_guilty(stood) {
                self.acquit_others(&stood.tag.content);
            }
        }
        self.keep_bounds();
    }

    fn is_guilty(&self, stood: &InFlightRequest) -> bool {
        let verdict = self.verdict(&stood.tag.content);
        verdict.is_some_and(|verdict| verdict.quarantines(stood.tag.caller))
    }

    /// Takes from all others the suspicion that rests on backend servers that a quarantined
    /// request ended.
    fn acquit_others(&mut self, guilty: &Fingerprint) {
        let Some(noted) = self.suspect(guilty) else {
            return;
        };
        let explained: BTreeSet<BackendIncarnation> =
            noted.suspect.ended().into_iter().cloned().collect();
        self.suspects.retain(|_, noted| {
            noted.suspect.acquit(&explained);
            !noted.suspect.is_cleared()
        });
    }

    fn note_answered(&mut self, tag: &RequestTag) {
        if let Some(noted) = self.suspects.get_mut(&tag.content) {
            noted.suspect.note_answer(tag.caller);
            if noted.suspect.is_cleared() {
                self.suspects.remove(&tag.content);
            }
        }
    }

    fn release_one(&mut self, index: Revision, request: &Fingerprint, at: Revision) {
        let Some(noted) = self
            .suspects
            .get_mut(request)
            .filter(|noted| noted.at == at)
        else {
            return;
        };
        if noted.suspect.is_quarantined() {
            noted.suspect.step_down();
            noted.at = index;
        } else {
            self.suspects.remove(request);
        }
    }

    /// Drops the least suspected first, and of these those not heard of for longest, so that
    /// whoever sends many requests that end backend servers pushes out no verdict.
    fn keep_bounds(&mut self) {
        while self.suspects.len() > MOST_SUSPECTS {
            let rank = |(_, noted): &(&Fingerprint, &SuspectRecord)| {
                (
                    noted.suspect.verdict(),
                    noted.suspect.ended().len(),
                    noted.at,
                )
            };
            let least = self.suspects.iter().min_by_key(rank);
            let Some(least) = least.map(|(request, _)| *request) else {
                return;
            };
            self.suspects.remove(&least);
        }
    }
}
