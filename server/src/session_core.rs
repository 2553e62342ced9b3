//! State machines that an entry VM runs for its current session with control.

use std::sync::Arc;
use std::time::Instant;

use heatherring_lib::admission::Admission;
use heatherring_lib::admission::Effect;
use heatherring_lib::admission::ViewStep;
use heatherring_lib::digest_throttle::DigestThrottle;
use heatherring_lib::drain::DrainDecision;
use heatherring_lib::id::Revision;
use heatherring_lib::id::SessionId;
use heatherring_lib::load_digest::GroupLoad;
use heatherring_lib::load_digest::LoadDigest;
use heatherring_lib::lookup::Lookups;
use heatherring_lib::retry_budget::RetryBudget;
use heatherring_lib::steering::Steering;
use heatherring_lib::view::ControlView;

use crate::admission_handle::AdmissionStatus;

/// State machines of one session. All are created anew when a new session begins.
#[derive(Debug)]
pub(crate) struct SessionCore {
    pub(crate) id: SessionId,
    pub(crate) admission: Admission,
    pub(crate) steering: Steering,
    pub(crate) lookups: Lookups,
    pub(crate) retries: RetryBudget,
    digest_serial: u64,
    drains: Vec<DrainDecision>,
    /// Total slots of all owned groups in the digest created last.
    reported_slots: u64,
    throttle: DigestThrottle,
}

fn total_slots(loads: &[GroupLoad]) -> u64 {
    loads.iter().map(|load| u64::from(load.slots)).sum()
}

impl SessionCore {
    /// Creates the state machines of a session. `seed` determines the random choices among
    /// nearly equal candidates.
    pub(crate) fn new(id: SessionId, seed: u64) -> Self {
        Self {
            id,
            admission: Admission::new(id, seed),
            steering: Steering::new(id, seed),
            lookups: Lookups::new(id),
            retries: RetryBudget::default(),
            digest_serial: 0,
            drains: Vec::new(),
            reported_slots: 0,
            throttle: DigestThrottle::default(),
        }
    }

    /// Applies a view to all state machines, and returns what admission asks for.
    pub(crate) fn apply_view(
        &mut self,
        now: Instant,
        view: &Arc<ControlView>,
        step: ViewStep,
    ) -> Vec<Effect> {
        // The view may contain new sessions, which have not received a digest yet.
        self.throttle.reset();
        self.steering.apply_view(view);
        self.lookups.apply_view(view, step);
        self.admission.apply_view(now, view, step)
    }

    /// Records that `revision` is settled.
    pub(crate) fn settle(&mut self, now: Instant, revision: Revision) -> Vec<Effect> {
        self.lookups.settle(now, revision);
        self.admission.settle(now, revision)
    }

    /// Returns whether the number of slots has changed since the last digest.
    pub(crate) fn has_unreported_slots(&mut self, now: Instant) -> bool {
        self.reported_slots != total_slots(&self.admission.digest_loads(now))
    }

    /// Creates a digest and applies it to this session's own steering. Returns it if the
    /// throttle allows sending it to other entry VMs now.
    pub(crate) fn digest(&mut self, now: Instant) -> Option<LoadDigest> {
        self.digest_serial += 1;
        let digest = LoadDigest {
            session: self.id,
            serial: self.digest_serial,
            loads: self.admission.digest_loads(now),
        };
        self.reported_slots = total_slots(&digest.loads);
        self.steering.take_digest(now, &digest);
        let known = self.steering.known_loads(now);
        self.drains = self.admission.decide_drains(now, known);
        if !self.throttle.is_due(now, &digest.loads) {
            return None;
        }
        self.throttle.note_sent(now, &digest.loads);
        Some(digest)
    }

    /// Returns the status that is shown to operators. The caller sets
    /// `waiting`, which is 0 here.
    pub(crate) fn status(&mut self, now: Instant) -> AdmissionStatus {
        AdmissionStatus {
            session: self.id,
            loads: self.admission.loads(now),
            known: self.steering.known_loads(now),
            drains: self.drains.clone(),
            waiting: 0,
            idle: self.admission.is_idle(),
        }
    }
}
