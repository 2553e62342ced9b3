//! Selects one of the candidate backend servers for a request.
//!
//! Requests for an object go to the backend servers that have its data cached. Elsewhere a
//! request takes about three times as long and evicts other objects. If busy servers were a
//! sufficient reason to go elsewhere, a burst would triple the load and thereby keep the
//! servers busy, and all requests would be late long after the burst. A request therefore waits
//! at a server that has the data cached or is refused, and additional copies are made one at a
//! time.

use crate::affinity::MemberHash;
use crate::dispatch_policy::DispatchPolicy;
use crate::dispatch_request::BackendKey;

/// Maximum number of requests beyond its slots that are sent to one backend server, per slot.
/// The users' servers queue three times their slots; requests of other senders that are not
/// known yet need room too.
const QUEUE_LIMIT: f64 = 1.5;

/// Queueing time, relative to the mean run time, at which a backend server counts as busy and
/// an additional copy of an object is made elsewhere.
const BUSY_WAIT_SHARE: f64 = 0.25;

/// Queueing time, in mean run times, that is accepted even though the response will be late: a
/// burst is worked off soon, and the data of an object that is cached nowhere have to be loaded
/// at some point.
const LATE_WAIT: f64 = 2.0;

/// Maximum load of a backend server, in slots, at which a copy is made there ahead of need.
const IDLE_LOAD: f64 = 0.67;

/// Estimated cost of sending a request to one backend server. Times are in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Key of the backend server.
    pub backend: BackendKey,
    /// Time until the response without any queueing.
    pub base: f64,
    /// Queueing time.
    pub wait: f64,
    /// Expected extra time because the server fails or hangs.
    pub fault_penalty: f64,
    /// Expected extra time due to an occasional recent failure, plus a tie-breaker by rank.
    pub risk_penalty: f64,
    /// Requests at the server, including this one, per slot.
    pub load: f64,
    /// Whether the data of the object are expected to be cached.
    pub warm: bool,
    /// Whether the server is in the entry VM's own region.
    pub is_local: bool,
    /// Hash of the region of the server.
    pub region: MemberHash,
    /// Run time above which the server counts as slow.
    pub slow_above: f64,
}

impl Candidate {
    /// Returns the expected time until the response, in seconds.
    #[must_use]
    pub fn time(&self) -> f64 {
        self.base + self.wait
    }

    fn cost(&self) -> f64 {
        self.time() + self.fault_penalty + self.risk_penalty
    }

    /// Returns the cost of using the server regardless of its load.
    fn base_cost(&self) -> f64 {
        self.base + self.fault_penalty
    }
}

/// Constraints of a selection.
#[derive(Clone, Copy, Debug)]
pub struct PickLimits {
    /// Time until the response is required, in seconds.
    pub time_left: f64,
    /// Time until the response is desired, in seconds.
    pub objective: f64,
    /// Share of the available time that the request may spend queueing, by its priority.
    pub wait_share: f64,
    /// Mean run time of a request, in seconds.
    pub mean: f64,
    /// Whether an additional copy of the object may be made.
    pub may_copy: bool,
    /// Region that the request must not leave just for a shorter queue elsewhere; `None` if it
    /// may.
    pub pinned_region: Option<MemberHash>,
    /// Enabled mechanisms.
    pub policy: DispatchPolicy,
}

impl PickLimits {
    /// Returns how long the request may queue at a backend server, in seconds.
    ///
    /// Under overload, queues grow up to whatever limit they have. With the deadline as the
    /// limit, every response would be late. With the latency objective as the limit, the same
    /// number of responses is sent in time, and callers that are refused learn so immediately.
    fn longest_wait(&self, candidate: &Candidate) -> f64 {
        if !self.policy.waits_by_objective {
            return self.time_left * self.wait_share;
        }
        let in_time = self.objective - candidate.base;
        in_time.max(self.mean * LATE_WAIT) * self.wait_share
    }
}

/// Selects a backend server; `None` if the request would queue too long at every candidate.
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
        // Servers with the data cached fail, hang or are slow; queueing times are not
        // considered here.
        return cheapest(&within_limits(candidates, limits), Candidate::cost);
    }
    let copy = limits
        .may_copy
        .then(|| copy(&warm, &cold, limits))
        .flatten();
    if copy.is_some() {
        return copy;
    }
    let fitting = within_limits(&warm, limits);
    let is_pinned = |candidate: &&Candidate| {
        let pinned_region = limits.pinned_region;
        pinned_region.is_none_or(|region| candidate.region == region)
    };
    let pinned: Vec<Candidate> = fitting.iter().filter(is_pinned).copied().collect();
    // Moving to another region is better than a refusal.
    cheapest(&pinned, Candidate::cost).or_else(|| cheapest(&fitting, Candidate::cost))
}

/// Returns the region that a request would go to without any queueing.
#[must_use]
pub fn preferred_region(candidates: &[Candidate]) -> Option<MemberHash> {
    let cost = |candidate: &Candidate| candidate.base_cost() + candidate.risk_penalty;
    let warm = candidates.iter().filter(|candidate| candidate.warm);
    let best = warm.min_by(|left, right| cost(left).total_cmp(&cost(right)));
    best.map(|candidate| candidate.region)
}

/// Selects where an additional copy is made: at any server if all servers with a copy are busy;
/// otherwise, ahead of need, in the entry VM's own region if that has no copy. A round trip to
/// another region takes a third to a half of the users' latency objectives.
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

fn within_limits(candidates: &[Candidate], limits: &PickLimits) -> Vec<Candidate> {
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
