//! What a dispatcher knows of one service.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use crate::affinity::ObjectHash;
use crate::dispatch_ask::BackendKey;
use crate::dispatch_pick::WarmUp;
use crate::object_count::ObjectCount;
use crate::resend_budget::ResendBudget;
use crate::route_manifest::RouteService;
use crate::service_pace::ServicePace;

/// Share of the requests that make a further copy of their object before it is needed.
const SPARE_WARM_UPS: f64 = 0.1;

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
    /// Copies that may be made before they are needed.
    pub spare_warm_ups: f64,
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
            spare_warm_ups: 0.0,
        }
    }

    /// Says whether a further copy of an object may be made.
    pub fn warm_up(&self, object: Option<ObjectHash>) -> WarmUp {
        match object {
            Some(object) if !self.warming.contains(&object) => {
                if self.spare_warm_ups >= 1.0 {
                    WarmUp::Ahead
                } else {
                    WarmUp::IfBusy
                }
            }
            _ => WarmUp::No,
        }
    }

    /// Notes where a request for an object goes.
    pub fn note_object(&mut self, now: Instant, object: ObjectHash, warm: bool) {
        self.objects.note(now, object);
        self.spare_warm_ups = (self.spare_warm_ups + SPARE_WARM_UPS).min(1.0);
        if !warm {
            self.spare_warm_ups = 0.0;
            self.warming.insert(object);
        }
    }
}
