//! State of one service within a dispatcher.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use crate::affinity::ObjectHash;
use crate::dispatch_request::BackendKey;
use crate::object_count::ObjectCount;
use crate::rate_meter::RateMeter;
use crate::resend_budget::ResendBudget;
use crate::resend_budget::ResendLimit;
use crate::rollout::Rollout;
use crate::rollout::TrafficShare;
use crate::rollout::routing::RolloutRouting;
use crate::rollout::routing::VersionFilter;
use crate::route_manifest::RouteService;
use crate::service_latency::ServiceLatency;

/// Share of the requests that may make an additional copy of their object. Such a request takes
/// three times the capacity of one whose data are cached. Without a limit, all entry VMs copy
/// whatever is requested while backend servers are busy: at the peak loads of the users' sites
/// 20 in 100 requests did so, took half of the capacity, and thereby kept the backend servers
/// busy. Mean payoff over their days, one score each, with 3 slots per backend server and
/// regions 70 ms apart, and with 6 slots and 110 ms: unlimited 0.571 and 0.507, a tenth 0.618
/// and 0.553, a twentieth 0.626 and 0.560.
const COPY_SHARE: f64 = 0.05;

/// Number of reports that the average of other senders' requests spans: about one second at the
/// request rate of one entry VM, long enough not to follow individual reports.
const OTHERS_WINDOW: f64 = 16.0;

#[derive(Debug)]
pub(crate) struct Service {
    pub backends: Vec<BackendKey>,
    pub definition: Arc<RouteService>,
    pub latency: ServiceLatency,
    pub budget: ResendBudget,
    pub objects: ObjectCount,
    /// Objects of which an additional copy is being made.
    pub warming: BTreeSet<ObjectHash>,
    /// Number of copies that may be made now; at most 1.
    pub copy_credit: f64,
    /// Average number of other senders' requests at a backend server over the last
    /// [`OTHERS_WINDOW`] reports; 0 before the first report.
    pub average_others: f64,
    /// The rollout that is in progress.
    pub rollout: Option<RolloutRouting>,
    /// Requests that were refused because all backend servers were closed to this sender.
    pub refused_closed: RateMeter,
}

impl Service {
    /// Creates a service without backend servers; `senders` entry VMs share its resend budget.
    pub fn new(
        now: Instant,
        definition: Arc<RouteService>,
        resends: &ResendLimit,
        senders: usize,
    ) -> Self {
        Self {
            backends: Vec::new(),
            definition,
            latency: ServiceLatency::default(),
            budget: ResendBudget::new(now, resends, senders),
            objects: ObjectCount::default(),
            warming: BTreeSet::new(),
            copy_credit: 0.0,
            average_others: 0.0,
            rollout: None,
            refused_closed: RateMeter::default(),
        }
    }

    /// Follows the latest rollout of the service.
    pub fn follow_rollout(&mut self, rollout: Option<&Rollout>) {
        let routing = rollout.and_then(RolloutRouting::new);
        match (&mut self.rollout, routing) {
            (Some(known), Some(new)) if known.id == new.id => known.share = new.share,
            (known, new) => *known = new,
        }
    }

    /// Returns the share of the target version.
    pub fn target_share(&self) -> TrafficShare {
        self.rollout
            .as_ref()
            .map_or(TrafficShare::ALL, |rollout| rollout.share)
    }

    /// Returns the number of objects that the versions of a filter serve.
    pub fn objects_of(&self, filter: VersionFilter) -> usize {
        let all = self.objects.count();
        let Some(rollout) = &self.rollout else {
            return all;
        };
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "far below 2^52"
        )]
        let part = (all as f64 * rollout.part(filter)).ceil() as usize;
        part
    }

    /// Records a reported number of other senders' requests, at any backend server of the
    /// service.
    pub fn note_others(&mut self, others: f64) {
        self.average_others += (others - self.average_others) / OTHERS_WINDOW;
    }

    /// Returns whether an additional copy of an object may be made.
    pub fn may_copy(&self, object: Option<ObjectHash>, bounded: bool) -> bool {
        let has_credit = !bounded || self.copy_credit >= 1.0;
        object.is_some_and(|object| has_credit && !self.warming.contains(&object))
    }

    /// Records a request for an object, and whether its data are expected to be cached at the
    /// selected server.
    pub fn note_object(&mut self, now: Instant, object: ObjectHash, warm: bool) {
        self.objects.note(now, object);
        self.copy_credit = (self.copy_credit + COPY_SHARE).min(1.0);
        if !warm {
            self.copy_credit = 0.0;
            self.warming.insert(object);
        }
    }
}
