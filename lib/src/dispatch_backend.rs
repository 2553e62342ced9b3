//! State of one backend server within a dispatcher.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::affinity::MemberHash;
use crate::affinity::ObjectHash;
use crate::backend_health::BackendHealth;
use crate::backend_limit::BackendLimit;
use crate::backend_load::BackendLoad;
use crate::backend_pushback::BackendPushback;
use crate::backend_statement::StatementKind;
use crate::backend_statement::StatementSource;
use crate::fleet_record::BackendRecord;
use crate::id::BackendName;
use crate::id::RegionName;
use crate::rollout::TrafficShare;
use crate::rollout::evidence::Group;
use crate::rollout::evidence::Side;
use crate::rollout::routing::VersionFilter;
use crate::sender_share::SendGate;

/// Time for which the data of an object count as cached at a backend server that handled a
/// request for it.
const WARM_FOR: Duration = Duration::from_secs(20);

/// Number of objects that a backend server is assumed to cache. The users' servers cache 35 to
/// 50.
const WARM_OBJECTS: usize = 48;

/// Cost to a caller of a certain failure, in latency objectives of the route: the request is
/// lost or starts again elsewhere. Two consecutive failures, a rate of 0.51, must outweigh the
/// cost of a cold run elsewhere, about one objective.
const FAILURE_COST: f64 = 6.0;

/// Cost of a rejection, in latency objectives: one round trip and one resend.
const SHED_COST: f64 = 1.2;

/// Failure rate above which a backend server counts as faulty. A single failure gives a rate of
/// 0.3, and some requests fail on any server. If that were enough to move elsewhere, objects
/// would constantly move to servers that do not have them cached.
const FAULTY_RATE: f64 = 0.4;

/// Cost of a failure rate below that, in latency objectives: enough to prefer another backend
/// server that has the data cached, too little to prefer one that does not.
const SINGLE_FAILURE_COST: f64 = 0.3;

/// Multiple of the cold run time, beyond the expected wait, after which a backend server
/// without any response counts as hanging. Requests that are queued there without being known
/// here must not be mistaken for a hang.
const HANG_FACTOR: f64 = 1.5;

/// Cost of each further second of silence, in seconds.
const HANG_COST: f64 = 4.0;

/// Part of a backend server in a rollout.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RolloutPart {
    /// Version that it belongs to.
    pub side: Side,
    /// Share of the target version from which on it takes part; unused at other versions.
    pub active_from: TrafficShare,
    /// Group by which its answers are counted.
    pub group: Group,
}

#[derive(Debug)]
pub(crate) struct Backend {
    pub name: BackendName,
    pub hash: MemberHash,
    pub record: Arc<BackendRecord>,
    pub region: RegionName,
    pub region_hash: MemberHash,
    /// Whether it may receive requests at all.
    pub usable: bool,
    /// Whether control has not heard from it recently.
    pub silent: bool,
    /// Its part in the rollout of its service that is in progress, if there is one.
    pub rollout: Option<RolloutPart>,
    /// Number of answers that are still being passed on.
    pub streams: u32,
    pub load: BackendLoad,
    pub limit: BackendLimit,
    pub pushback: BackendPushback,
    /// Where it was received that its process is leaving; `None` if it is not known to.
    pub leaving: Option<StatementSource>,
    /// Whether control knows from this entry VM, or told it, that its process is leaving.
    pub leaving_shared: bool,
    /// Kinds of statements that could not be read.
    pub unreadable: BTreeSet<StatementKind>,
    pub health: BackendHealth,
    pub cold_until: Instant,
    /// Until when it receives no requests if it is cold: a process that has just started does not
    /// know what its predecessor sent within the last second.
    pub cold_opens: Instant,
    pub gate: SendGate,
    pub warm: HashMap<ObjectHash, Instant>,
}

impl Backend {
    /// Creates the state of a backend server without any known problem. While it is cold, it
    /// receives no requests before `opens`.
    pub fn new(
        now: Instant,
        name: BackendName,
        record: Arc<BackendRecord>,
        region: RegionName,
        opens: Instant,
    ) -> Self {
        Self {
            hash: MemberHash::of(name.as_str()),
            name,
            region_hash: MemberHash::of(region.as_str()),
            region,
            usable: false,
            silent: false,
            rollout: None,
            streams: 0,
            load: BackendLoad::default(),
            limit: BackendLimit::default(),
            pushback: BackendPushback::default(),
            leaving: None,
            leaving_shared: false,
            unreadable: BTreeSet::new(),
            health: BackendHealth::new(now),
            cold_until: now + record.cold_for,
            cold_opens: opens,
            gate: SendGate::default(),
            warm: HashMap::new(),
            record,
        }
    }

    /// Returns whether a request with this filter may be sent to it, by its version.
    pub fn matches(&self, filter: VersionFilter, share: TrafficShare) -> bool {
        let Some(part) = self.rollout else {
            return true;
        };
        match filter {
            VersionFilter::Any => true,
            VersionFilter::Target => part.side == Side::Target && part.active_from < share,
            VersionFilter::Others => part.side == Side::Others,
        }
    }

    /// Returns whether it is of the version that a rollout in progress moves to.
    pub fn is_target(&self) -> bool {
        self.rollout.is_some_and(|part| part.side == Side::Target)
    }

    /// Returns whether requests of this entry VM are still in progress there.
    pub fn is_busy(&self) -> bool {
        self.streams > 0 || self.load.own_requests() > 0
    }

    /// Returns whether it started recently and can handle only a few requests.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Returns the expected extra time due to failures or a hang, in seconds. A request waits
    /// for `wait`, runs for `cold` when its data are not cached, and should be answered within
    /// `objective`.
    pub fn fault_penalty(&self, now: Instant, wait: f64, cold: f64, objective: f64) -> f64 {
        let hang_threshold = wait + cold * HANG_FACTOR;
        let hanging = (self.load.silence(now).as_secs_f64() - hang_threshold).max(0.0);
        let failing = excess_over_faulty(self.health.failure_rate(now)) * FAILURE_COST;
        let shedding = excess_over_faulty(self.health.shed_rate(now)) * SHED_COST;
        (failing + shedding) * objective + hanging * HANG_COST
    }

    /// Returns the expected extra time due to occasional failures, in seconds.
    pub fn risk_penalty(&self, now: Instant, objective: f64) -> f64 {
        let rate = self.health.failure_rate(now) + self.health.shed_rate(now);
        rate * SINGLE_FAILURE_COST * objective
    }

    /// Returns whether a request for an object was handled there recently.
    pub fn has_warm(&self, now: Instant, object: ObjectHash) -> bool {
        self.warm
            .get(&object)
            .is_some_and(|at| now.saturating_duration_since(*at) < WARM_FOR)
    }

    /// Records that a request for an object was handled there.
    pub fn note_warm(&mut self, now: Instant, object: Option<ObjectHash>) {
        let Some(object) = object else { return };
        self.warm.insert(object, now);
        if self.warm.len() > WARM_OBJECTS {
            let oldest = self.warm.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(object, _)| *object) {
                self.warm.remove(&oldest);
            }
        }
    }
}

/// Returns by how much a failure rate exceeds [`FAULTY_RATE`], scaled to 0 to 1.
fn excess_over_faulty(rate: f64) -> f64 {
    ((rate - FAULTY_RATE) / (1.0 - FAULTY_RATE)).max(0.0)
}
