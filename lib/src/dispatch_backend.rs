//! What a dispatcher knows of one backend server.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::affinity::MemberHash;
use crate::affinity::ObjectHash;
use crate::backend_health::BackendHealth;
use crate::backend_load::BackendLoad;
use crate::cold_gate::ColdGate;
use crate::fleet_record::BackendRecord;
use crate::id::BackendName;
use crate::id::RegionName;

/// Time for which an object that a backend server handled counts as at hand there.
const WARM_FOR: Duration = Duration::from_secs(20);

/// Objects that a backend server is taken to keep at hand. The users' keep 35 to 50.
const WARM_OBJECTS: usize = 48;

/// What a certain failure costs a caller, in latency objectives of the route: a request that
/// breaks is lost, or begins anew elsewhere. Two failures in a row, a rate of 0.51, must outweigh
/// that the data aren't at hand elsewhere, about one objective.
const FAILURE_COST: f64 = 6.0;

/// What being turned away costs, in objectives: a way there and back and one resend.
const SHED_COST: f64 = 1.2;

/// Rate of failures from which on a backend server counts as faulty. One failure gives a
/// rate of 0.3, and some requests fail anywhere; were that reason enough to leave, objects
/// would go to where they aren't at hand all the time.
const FAULTY_RATE: f64 = 0.4;

/// What a rate of failures below that costs, in objectives: enough to prefer another backend
/// server that has the data, and too little to prefer one that hasn't.
const SINGLE_FAILURE_COST: f64 = 0.3;

/// Times that a request may take as long as without its data, beyond its wait, before a
/// backend server that has answered nothing meanwhile counts as hanging. Requests that wait
/// there unseen must not look like that.
const HANG_FACTOR: f64 = 1.5;

/// What each second beyond that costs, in seconds.
const HANG_COST: f64 = 4.0;

/// Holds what a dispatcher knows of one backend server.
#[derive(Debug)]
pub(crate) struct Backend {
    pub name: BackendName,
    pub hash: MemberHash,
    pub record: Arc<BackendRecord>,
    pub region: RegionName,
    pub region_hash: MemberHash,
    /// Whether it may get requests at all.
    pub usable: bool,
    /// Whether control hasn't heard of it lately.
    pub silent: bool,
    pub load: BackendLoad,
    pub health: BackendHealth,
    pub cold_until: Instant,
    pub cold_gate: ColdGate,
    pub warm: HashMap<ObjectHash, Instant>,
}

impl Backend {
    /// Starts with a good impression; cold requests may be sent from `opens` on.
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
            load: BackendLoad::default(),
            health: BackendHealth::new(now),
            cold_until: now + record.cold_for,
            cold_gate: ColdGate::new(opens),
            warm: HashMap::new(),
            record,
        }
    }

    /// Returns whether it has started lately and bears a few requests only.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Returns what is to be expected beyond the time of the work, in seconds, since it fails
    /// or hangs. A request waits for `wait`, takes `cold` without its data at hand, and should
    /// be answered within `objective`.
    pub fn fault_penalty(&self, now: Instant, wait: f64, cold: f64, objective: f64) -> f64 {
        let hang_threshold = wait + cold * HANG_FACTOR;
        let hanging = (self.load.silence(now).as_secs_f64() - hang_threshold).max(0.0);
        let failing = excess_over_faulty(self.health.failure_rate(now)) * FAILURE_COST;
        let shedding = excess_over_faulty(self.health.shed_rate(now)) * SHED_COST;
        (failing + shedding) * objective + hanging * HANG_COST
    }

    /// Returns what single failures lately may mean, in seconds.
    pub fn risk_penalty(&self, now: Instant, objective: f64) -> f64 {
        let rate = self.health.failure_rate(now) + self.health.shed_rate(now);
        rate * SINGLE_FAILURE_COST * objective
    }

    /// Returns whether an object was handled there lately.
    pub fn has_warm(&self, now: Instant, object: ObjectHash) -> bool {
        self.warm
            .get(&object)
            .is_some_and(|at| now.saturating_duration_since(*at) < WARM_FOR)
    }

    /// Notes that an object was handled there.
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

/// Returns by how much a rate of failures exceeds that of a sound backend server, 0 to 1.
fn excess_over_faulty(rate: f64) -> f64 {
    ((rate - FAULTY_RATE) / (1.0 - FAULTY_RATE)).max(0.0)
}
