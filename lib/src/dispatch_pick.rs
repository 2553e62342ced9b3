//! Which of the backend servers that may get a request gets it.
//!
//! Requests of an object go where its data are at hand. A request takes about three times
//! as long elsewhere, and pushes other objects out there. Were busy backend servers reason
//! enough to send elsewhere, a burst would multiply the load by three, which keeps them
//! busy: all requests would be late from then on, long after the burst. So a request waits
//! where its data are, or is refused, and further copies are made one at a time.

use crate::affinity::MemberHash;
use crate::dispatch_policy::DispatchPolicy;
use crate::dispatch_request::BackendKey;

/// Requests beyond its slots, by slots, that are sent to one backend server at most. Theirs
/// queue three times their slots; others' requests that aren't known of yet need room too.
const QUEUE_LIMIT: f64 = 1.5;

/// Wait, as a share of the mean time of a request, at which a backend server counts as busy
/// and a further copy of an object is made elsewhere.
const BUSY_WAIT_SHARE: f64 = 0.25;

/// Wait, in mean times of a request, that is borne although the answer will be late: a burst
/// is worked off soon, and an object whose data are at hand nowhere must be got at some time.
const LATE_WAIT: f64 = 2.0;

/// Load of a backend server up to which a copy is made there before it is needed, in slots.
const IDLE_LOAD: f64 = 0.67;

/// Holds what one backend server would mean for a request. Times are in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The backend server.
    pub backend: BackendKey,
    /// Time until the answer if the request doesn't have to wait.
    pub base: f64,
    /// Time that it has to wait.
    pub wait: f64,
    /// What is to be expected there beyond that since it fails or hangs.
    pub fault_penalty: f64,
    /// What a single failure lately may mean, and its rank among equals.
    pub risk_penalty: f64,
    /// Requests there, this one included, by slots.
    pub load: f64,
    /// Whether its data are expected to be at hand.
    pub warm: bool,
    /// Whether it stands in the entry VM's own region.
    pub is_local: bool,
    /// The region that it stands in.
    pub region: MemberHash,
    /// Time above which the backend server counts as slow.
    pub slow_above: f64,
}

impl Candidate {
    /// Returns the time until the answer.
    #[must_use]
    pub fn time(&self) -> f64 {
        self.base + self.wait
    }

    fn cost(&self) -> f64 {
        self.time() + self.fault_penalty + self.risk_penalty
    }

    /// Returns what it costs to go there at all, however busy it is.
    fn base_cost(&self) -> f64 {
        self.base + self.fault_penalty
    }
}

/// Bounds a pick.
#[derive(Clone, Copy, Debug)]
pub struct PickLimits {
    /// Time that is left for the answer, in seconds.
    pub time_left: f64,
    /// Time that is left until the answer should be there, in seconds.
    pub objective: f64,
    /// Share of the time there is that the request may wait, by its priority.
    pub wait_share: f64,
    /// Mean time that a request runs, in seconds.
    pub mean: f64,
    /// Whether a further copy of the object may be made.
    pub may_copy: bool,
    /// The region that the request may not leave for a shorter wait elsewhere; nothing if it
    /// may.
    pub pinned_region: Option<MemberHash>,
    /// The mechanisms in use.
    pub policy: DispatchPolicy,
}

impl PickLimits {
    /// Returns how long the request may wait at a backend server, in seconds.
    ///
    /// Where more is asked than can be served, queues grow to whatever bound they have. With
    /// the deadline as the bound each answer would be late; with the latency objective as
    /// many are given, and in time, and whoever is refused learns so at once.
    fn longest_wait(&self, candidate: &Candidate) -> f64 {
        if !self.policy.waits_by_objective {
            return self.time_left * self.wait_share;
        }
        let in_time = self.objective - candidate.base;
        in_time.max(self.mean * LATE_WAIT) * self.wait_share
    }
}

/// Picks a backend server; nothing if the request would wait too long wherever it went.
#[must_use]
pub fn pick(candidates: &[Candidate], limits: &PickLimits) -> Option<Candidate> {
    let (warm, cold): (Vec<Candidate>, Vec<Candidate>) =
        candidates.iter().partition(|candidate| candidate.warm);
    let warm_usable = cheapest(&warm, Candidate::base_cost);
    let cold_usable = cheapest(&cold, Candidate::base_cost);
    let prefers_cold = match (warm_usable, cold_usable) {
        (Some(warm), Some(cold)) => cold.base_cost() < warm.base_cost(),
        (None, _) => true,
        (Some(_), None) => false,
    };
    if prefers_cold {
        // Whoever has the data fails, hangs or is slow; waits don't count here.
        return cheapest(&with_room(candidates, limits), Candidate::cost);
    }
    let copy = limits
        .may_copy
        .then(|| copy(&warm, &cold, limits))
        .flatten();
    if copy.is_some() {
        return copy;
    }
    let fitting = with_room(&warm, limits);
    let is_pinned = |candidate: &&Candidate| {
        let pinned_region = limits.pinned_region;
        pinned_region.is_none_or(|region| candidate.region == region)
    };
    let pinned: Vec<Candidate> = fitting.iter().filter(is_pinned).copied().collect();
    // To move is better than to be refused.
    cheapest(&pinned, Candidate::cost).or_else(|| cheapest(&fitting, Candidate::cost))
}

/// Returns the region that a request would go to if it had to wait nowhere.
#[must_use]
pub fn preferred_region(candidates: &[Candidate]) -> Option<MemberHash> {
    let cost = |candidate: &Candidate| candidate.base_cost() + candidate.risk_penalty;
    let warm = candidates.iter().filter(|candidate| candidate.warm);
    let best = warm.min_by(|left, right| cost(left).total_cmp(&cost(right)));
    best.map(|candidate| candidate.region)
}

/// Picks where a further copy is made: anywhere if all that have one are busy; else, ahead of
/// need, in the entry VM's own region if there is none. A way to another region and back takes
/// a third to a half of the users' latency objectives.
fn copy(warm: &[Candidate], cold: &[Candidate], limits: &PickLimits) -> Option<Candidate> {
    let busy = warm
        .iter()
        .all(|candidate| candidate.wait >= limits.mean * BUSY_WAIT_SHARE);
    let max_load = if busy { 1.0 } else { IDLE_LOAD };
    let is_wanted = if busy {
        limits.policy.copies_when_busy
    } else {
        limits.policy.copies_ahead
    };
    if !is_wanted {
        return None;
    }
    let local_only = !busy;
    if local_only && warm.iter().any(|candidate| candidate.is_local) {
        return None;
    }
    let idle: Vec<Candidate> = cold
        .iter()
        .filter(|candidate| candidate.load <= max_load && candidate.time() <= limits.time_left)
        .filter(|candidate| candidate.is_local || !local_only)
        .copied()
        .collect();
    cheapest(&idle, Candidate::cost)
}

fn with_room(candidates: &[Candidate], limits: &PickLimits) -> Vec<Candidate> {
    let fits = |candidate: &&Candidate| {
        candidate.load <= 1.0 + QUEUE_LIMIT
            && candidate.time() <= limits.time_left
            && candidate.wait <= limits.longest_wait(candidate)
    };
    candidates.iter().filter(fits).copied().collect()
}

fn cheapest(candidates: &[Candidate], cost: impl Fn(&Candidate) -> f64) -> Option<Candidate> {
    candidates
        .iter()
        .min_by(|left, right| cost(left).total_cmp(&cost(right)))
        .copied()
}
