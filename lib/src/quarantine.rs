//! Requests that are suspected of crashing the backend servers that process them, as replicated by
//! the control replicas.
//!
//! Each request that was in flight on a backend server when it ended is suspected once. The request
//! that caused the end is told apart from the others by two facts: several different backend
//! servers end while processing it, and another one ends after the entry VM that sent it knew of
//! the suspicion. When many backend servers end at once, for example because a failure domain is
//! lost, this says nothing about the requests that were in flight on several of them.
//!
//! Requests are identified by content. The caller's address is stored with each end: as long as
//! only one address sends a request that crashes backend servers, requests of other callers with
//! the same content are served. Once backend servers have ended under requests from several
//! addresses, callers can no longer be told apart.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet_record::BackendIncarnation;
use crate::id::Revision;
use crate::request_fingerprint::CallerTag;
use crate::request_fingerprint::Fingerprint;
use crate::request_fingerprint::RequestTag;

/// Number of backend servers that end under a request before it is quarantined.
pub const QUARANTINE_THRESHOLD: usize = 3;

/// Number of backend servers that end under a request before it is watched: it is then not
/// forwarded a second time within the same try.
pub const WATCH_THRESHOLD: usize = 2;

/// Maximum number of suspected requests, at some 300 bytes each. Each of them was in flight on a
/// backend server that ended, so it takes hundreds of ended backend servers to fill the table.
const MAX_SUSPECTS: usize = 512;

/// Maximum number of ends that are stored per request.
const MAX_ENDS: usize = 12;

/// Maximum number of requests recorded per backend server that ended; more than a backend server
/// has slots and queue places.
pub const MAX_IN_FLIGHT_PER_END: usize = 64;

/// How entry VMs treat the requests with one content. If two verdicts apply, the greater one takes
/// precedence.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Verdict {
    /// Each is sent to at most one backend server per try, and its answers are reported to control.
    Watched,
    /// Like [`Watched`](Self::Watched), and requests of these callers are not sent to any backend
    /// server.
    QuarantinedFrom(BTreeSet<CallerTag>),
    /// None of them is sent to any backend server.
    Quarantined,
}

impl Verdict {
    /// Returns whether requests of this caller are not sent to any backend server.
    #[must_use]
    pub fn quarantines(&self, caller: CallerTag) -> bool {
        match self {
            Self::Watched => false,
            Self::QuarantinedFrom(callers) => callers.contains(&caller),
            Self::Quarantined => true,
        }
    }

    /// Returns whether the verdict keeps at least one caller's requests from all backend servers.
    #[must_use]
    pub const fn is_quarantine(&self) -> bool {
        !matches!(self, Self::Watched)
    }

    /// Returns the verdict's name as it appears in logs and for operators.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Watched => "watched",
            Self::QuarantinedFrom(_) => "quarantined_from",
            Self::Quarantined => "quarantined",
        }
    }
}

/// A request that was in flight on a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct InFlightRequest {
    /// The request.
    pub tag: RequestTag,
    /// Whether it was sent while its entry VM knew that it was watched.
    pub watched: bool,
}

/// Reports that a backend server has ended, and the requests that were in flight on it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ended {
    /// Incarnation of the backend server that ended.
    pub life: BackendIncarnation,
    /// The requests, each listed once.
    pub requests: Vec<InFlightRequest>,
}

/// An entry VM's observation of a suspected request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SuspectNote {
    /// A backend server ended while requests were in flight on it.
    Ended(Ended),
    /// A suspected request got a complete answer.
    Answered(RequestTag),
    /// A quarantined request arrived and was refused.
    Refused(Fingerprint),
}

/// The end of a backend server under a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct EndUnder {
    life: BackendIncarnation,
    /// Caller that sent the request.
    caller: CallerTag,
    /// Whether the request was sent while it was known to be watched.
    watched: bool,
}

/// Evidence about the requests with one content.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// Ends of backend servers under these requests.
    ends: Vec<EndUnder>,
    /// Number of complete answers to callers under whose requests no backend server ended.
    answers: usize,
}

impl Suspect {
    /// Returns the backend servers that ended, each once.
    #[must_use]
    pub fn ended(&self) -> BTreeSet<&BackendIncarnation> {
        self.ends.iter().map(|end| &end.life).collect()
    }

    /// Returns whether no evidence against these requests is left.
    #[must_use]
    pub const fn is_cleared(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns how entry VMs treat requests with this content; `None` if like any other.
    #[must_use]
    pub fn verdict(&self) -> Option<Verdict> {
        // Saves time: most suspects have a single end, and all are evaluated for each note.
        if self.ends.len() < WATCH_THRESHOLD {
            return None;
        }
        let ended = self.ended().len();
        if self.is_culprit_from_any_caller(ended) {
            return Some(Verdict::Quarantined);
        }
        let culprits: BTreeSet<CallerTag> =
            self.callers().filter(|c| self.is_culprit(*c)).collect();
        if !culprits.is_empty() {
            return Some(Verdict::QuarantinedFrom(culprits));
        }
        (ended >= WATCH_THRESHOLD).then_some(Verdict::Watched)
    }

    /// Records that a backend server ended under a request with this content.
    pub fn note_end(&mut self, life: &BackendIncarnation, in_flight: &InFlightRequest) {
        let caller = in_flight.tag.caller;
        let known = |end: &&mut EndUnder| end.life == *life && end.caller == caller;
        if let Some(end) = self.ends.iter_mut().find(known) {
            end.watched |= in_flight.watched;
            return;
        }
        if self.ends.len() >= MAX_ENDS {
            self.ends.remove(0);
        }
        self.ends.push(EndUnder {
            life: life.clone(),
            caller,
            watched: in_flight.watched,
        });
    }

    /// Records a complete answer. It clears the caller that got it, and counts for the content
    /// against ends under requests of other callers; it does not clear another caller.
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

    /// Removes the ends of backend servers that a quarantined request explains. Requests that are
    /// quarantined for the same ends keep them, since nothing tells one from the other.
    pub fn exonerate(&mut self, explained: &BTreeSet<BackendIncarnation>) {
        if !self.is_quarantined() {
            self.ends.retain(|end| !explained.contains(&end.life));
        }
    }

    fn is_quarantined(&self) -> bool {
        let verdict = self.verdict();
        verdict.is_some_and(|verdict| verdict.is_quarantine())
    }

    /// Reduces the evidence so that these requests are only watched, and one more end quarantines
    /// them again.
    fn lower_to_watched(&mut self) {
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

    /// Returns the number of backend servers that ended under requests of one caller.
    #[must_use]
    pub fn ended_by(&self, caller: CallerTag) -> usize {
        let ends = self.ends.iter().filter(|end| end.caller == caller);
        ends.count()
    }

    fn is_culprit(&self, caller: CallerTag) -> bool {
        let mut ends = self.ends.iter().filter(|end| end.caller == caller);
        self.ended_by(caller) >= QUARANTINE_THRESHOLD && ends.any(|end| end.watched)
    }

    fn is_culprit_from_any_caller(&self, ended: usize) -> bool {
        ended >= QUARANTINE_THRESHOLD + self.answers
            && self.callers().nth(1).is_some()
            && self.ends.iter().any(|end| end.watched)
    }
}

/// Evidence about the requests with one content, and when it was last updated.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectRecord {
    /// The evidence.
    pub suspect: Suspect,
    /// Log index of the last note about these requests.
    pub at: Revision,
}

/// All suspected requests, by content.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Quarantine {
    /// Log index of the last change of a verdict.
    revision: Revision,
    suspects: BTreeMap<Fingerprint, SuspectRecord>,
}

impl Quarantine {
    /// Returns the log index of the last change of a verdict.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns all suspected requests, including those without a verdict.
    pub fn suspects(&self) -> impl Iterator<Item = (&Fingerprint, &SuspectRecord)> {
        self.suspects.iter()
    }

    /// Returns the evidence about requests with this content.
    #[must_use]
    pub fn suspect(&self, request: &Fingerprint) -> Option<&SuspectRecord> {
        self.suspects.get(request)
    }

    /// Returns how entry VMs treat requests with this content; `None` if like any other.
    #[must_use]
    pub fn verdict(&self, request: &Fingerprint) -> Option<Verdict> {
        self.suspect(request)?.suspect.verdict()
    }

    /// Returns the verdicts that entry VMs must apply.
    #[must_use]
    pub fn verdicts(&self) -> BTreeMap<Fingerprint, Verdict> {
        let suspects = self.suspects.iter();
        suspects
            .filter_map(|(request, noted)| Some((*request, noted.suspect.verdict()?)))
            .collect()
    }

    /// Applies notes of entry VMs at log index `index`.
    pub fn note<'a>(&mut self, index: Revision, notes: impl IntoIterator<Item = &'a SuspectNote>) {
        self.change(index, |quarantine| {
            for note in notes {
                quarantine.note_one(index, note);
            }
        });
    }

    /// Lowers the verdict of each given request by one step, unless it was noted later than at the
    /// given log index. A quarantined request is only watched from now on, so that at most one more
    /// backend server ends if it still causes crashes; any other request is forgotten.
    pub fn release(&mut self, index: Revision, requests: &[(Fingerprint, Revision)]) {
        self.change(index, |quarantine| {
            for (request, noted) in requests {
                quarantine.release_one(index, request, *noted);
            }
        });
    }

    /// Forgets a request, on behalf of an operator.
    pub fn lift(&mut self, index: Revision, request: &Fingerprint) {
        self.change(index, |quarantine| {
            quarantine.suspects.remove(request);
        });
    }

    /// Applies a change, and advances the revision if it changes a verdict.
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
        // A quarantined request explains why this backend server ended. It may have been sent
        // before the verdict was known at its entry VM.
        let culprit = requests.iter().find(|in_flight| self.is_culprit(in_flight));
        if let Some(request) = culprit.map(|in_flight| in_flight.tag.content) {
            if let Some(noted) = self.suspects.get_mut(&request) {
                noted.at = index;
            }
            return;
        }
        for in_flight in &requests {
            let noted = self.suspects.entry(in_flight.tag.content).or_default();
            noted.at = index;
            noted.suspect.note_end(&ended.life, in_flight);
        }
        for in_flight in requests {
            if self.is_culprit(in_flight) {
                self.exonerate_others(&in_flight.tag.content);
            }
        }
        self.enforce_limit();
    }

    fn is_culprit(&self, in_flight: &InFlightRequest) -> bool {
        let verdict = self.verdict(&in_flight.tag.content);
        verdict.is_some_and(|verdict| verdict.quarantines(in_flight.tag.caller))
    }

    /// Removes the evidence against all other requests that rests on backend servers that a
    /// quarantined request ended.
    fn exonerate_others(&mut self, culprit: &Fingerprint) {
        let Some(noted) = self.suspect(culprit) else {
            return;
        };
        let explained: BTreeSet<BackendIncarnation> =
            noted.suspect.ended().into_iter().cloned().collect();
        self.suspects.retain(|_, noted| {
            noted.suspect.exonerate(&explained);
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
            noted.suspect.lower_to_watched();
            noted.at = index;
        } else {
            self.suspects.remove(request);
        }
    }

    /// Enforces the size limit. Drops the least suspected requests first, and of these the ones not
    /// noted for longest, so that a caller that sends many requests that crash backend servers
    /// cannot displace a verdict.
    fn enforce_limit(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
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
