//! What a dispatcher knows of one service.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use crate::affinity::ObjectHash;
use crate::dispatch_ask::BackendKey;
use crate::object_count::ObjectCount;
use crate::resend_budget::ResendBudget;
use crate::route_manifest::RouteService;
use crate::service_pace::ServicePace;

/// Share of the requests that may make a further copy of their object. Each takes three times
/// the room of a request whose data are at hand. Without a bound, all entry VMs copy what is
/// asked for whenever backend servers are busy: at the highest loads of the users' sites 20 in
/// 100 requests did, with a half of all room, which kept the backend servers busy. Mean payoff
/// on their days, one score each, kcta-ring and qtc-kz: unbounded 0.571 and 0.507, a tenth
/// 0.618 and 0.553, a twentieth 0.626 and 0.560.
const COPY_SHARE: f64 = 0.05;

/// Requests over which those in flight are averaged: a second or so at the rates of one entry
/// VM, long enough not to follow single requests.
const USUAL_OVER: f64 = 16.0;

/// Holds what a dispatcher knows of one service.
#[derive(Debug)]
pub(crate) struct Service {
    pub backends: Vec<BackendKey>,
    pub known: Arc<RouteService>,
    pub pace: ServicePace,
    pub budget: ResendBudget,
    pub objects: ObjectCount,
    /// Objects that a further copy is being made of.
    pub warming: BTreeSet<ObjectHash>,
    /// Copies that may be made now.
    pub spare_copies: f64,
    /// Own requests in flight, now and on average over the last [`USUAL_OVER`] requests.
    in_flight: f64,
    usual_in_flight: f64,
}

impl Service {
    /// Starts without backend servers, with a share of the budget of resends.
    pub fn new(
        known: Arc<RouteService>,
        resend_ratio: f64,
        resend_slack: f64,
        senders: usize,
    ) -> Self {
        Self {
            backends: Vec::new(),
            known,
            pace: ServicePace::default(),
            budget: ResendBudget::new(resend_ratio, resend_slack, senders),
            objects: ObjectCount::default(),
            warming: BTreeSet::new(),
            spare_copies: 0.0,
            in_flight: 0.0,
            usual_in_flight: 0.0,
        }
    }

    /// Notes that a request is sent to one of the backend servers.
    pub fn note_begun(&mut self) {
        self.in_flight += 1.0;
        self.usual_in_flight += (self.in_flight - self.usual_in_flight) / USUAL_OVER;
    }

    /// Notes that it is over.
    pub fn note_ended(&mut self) {
        self.in_flight = (self.in_flight - 1.0).max(0.0);
    }

    /// Returns how many requests the other `senders` are taken to have at each backend server:
    /// as many as this one, spread evenly; none if that isn't reckoned with.
    pub fn usual_others(&self, senders: usize, is_known: bool) -> f64 {
        if !is_known {
            return 0.0;
        }
        #[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
        let (others, backends) = (
            senders.saturating_sub(1) as f64,
            self.backends.len().max(1) as f64,
        );
        self.usual_in_flight * others / backends
    }

    /// Returns whether a further copy of an object may be made.
    pub fn may_copy(&self, object: Option<ObjectHash>, bounded: bool) -> bool {
        let is_spare = !bounded || self.spare_copies >= 1.0;
        object.is_some_and(|object| is_spare && !self.warming.contains(&object))
    }

    /// Notes where a request for an object goes.
    pub fn note_object(&mut self, now: Instant, object: ObjectHash, warm: bool) {
        self.objects.note(now, object);
        self.spare_copies = (self.spare_copies + COPY_SHARE).min(1.0);
        if !warm {
            self.spare_copies = 0.0;
            self.warming.insert(object);
        }
    }
}
