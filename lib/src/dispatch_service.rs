//! What a dispatcher knows of one service.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use crate::affinity::ObjectHash;
use crate::dispatch_request::BackendKey;
use crate::object_count::ObjectCount;
use crate::resend_budget::ResendBudget;
use crate::route_manifest::RouteService;
use crate::service_latency::ServiceLatency;

/// Share of the requests that may make a further copy of their object. Each takes three times
/// the room of a request whose data are at hand. Without a bound, all entry VMs copy what is
/// asked for whenever backend servers are busy: at the highest loads of the users' sites 20 in
/// 100 requests did, with a half of all room, which kept the backend servers busy. Mean payoff
/// on their days, one score each, where backend servers have 3 slots and regions are 70 ms
/// apart, and where they have 6 and are 110 ms apart: unbounded 0.571 and 0.507, a tenth 0.618
/// and 0.553, a twentieth 0.626 and 0.560.
const COPY_SHARE: f64 = 0.05;

/// Reports over which others' requests are averaged: a second or so at the rates of one entry
/// VM, long enough not to follow single reports.
const OTHERS_WINDOW: f64 = 16.0;

/// Holds what a dispatcher knows of one service.
#[derive(Debug)]
pub(crate) struct Service {
    pub backends: Vec<BackendKey>,
    pub definition: Arc<RouteService>,
    pub latency: ServiceLatency,
    pub budget: ResendBudget,
    pub objects: ObjectCount,
    /// Objects that a further copy is being made of.
    pub warming: BTreeSet<ObjectHash>,
    /// Copies that may be made now.
    pub copy_credit: f64,
    /// Requests that others had at a backend server, on average over the last [`OTHERS_WINDOW`]
    /// reports; none before the first.
    pub average_others: f64,
}

impl Service {
    /// Starts without backend servers, with a share of the budget of resends.
    pub fn new(
        definition: Arc<RouteService>,
        resend_ratio: f64,
        resend_slack: f64,
        senders: usize,
    ) -> Self {
        Self {
            backends: Vec::new(),
            definition,
            latency: ServiceLatency::default(),
            budget: ResendBudget::new(resend_ratio, resend_slack, senders),
            objects: ObjectCount::default(),
            warming: BTreeSet::new(),
            copy_credit: 0.0,
            average_others: 0.0,
        }
    }

    /// Notes how many requests of others a report told of, at any of the backend servers.
    pub fn note_others(&mut self, others: f64) {
        self.average_others += (others - self.average_others) / OTHERS_WINDOW;
    }

    /// Returns whether a further copy of an object may be made.
    pub fn may_copy(&self, object: Option<ObjectHash>, bounded: bool) -> bool {
        let has_credit = !bounded || self.copy_credit >= 1.0;
        object.is_some_and(|object| has_credit && !self.warming.contains(&object))
    }

    /// Notes where a request for an object goes.
    pub fn note_object(&mut self, now: Instant, object: ObjectHash, warm: bool) {
        self.objects.note(now, object);
        self.copy_credit = (self.copy_credit + COPY_SHARE).min(1.0);
        if !warm {
            self.copy_credit = 0.0;
            self.warming.insert(object);
        }
    }
}
