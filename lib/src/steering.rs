//! Where an entry sends a request: which owners, in which order.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::id::PlaceName;
use crate::id::ServiceName;
use crate::id::SessionId;
use crate::load_digest::LoadDigest;
use crate::outcome::NotRunReason;
use crate::ownership;
use crate::ownership::Group;
use crate::view::ControlView;

/// Describes a request that is to be steered.
#[derive(Clone, Copy, Debug)]
pub struct SteeringRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The place of the caller.
    pub origin: &'a PlaceName,
    /// Time left until the deadline.
    pub left: Duration,
}

/// Names an owner that may take a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The group to ask for.
    pub group: Group,
    /// The session that owns it.
    pub owner: SessionId,
}

/// Holds what an entry knows of the other owners, and chooses among them.
#[derive(Debug)]
pub struct Steering {
    view: Arc<ControlView>,
    round_trips: BTreeMap<SessionId, Duration>,
}

impl Steering {
    /// Starts with no digest; `seed` drives the choice among near-equal owners.
    #[must_use]
    pub fn new(session: SessionId, seed: u64) -> Self {
        let _ = (session, seed);
        Self {
            view: Arc::default(),
            round_trips: BTreeMap::new(),
        }
    }

    /// Applies a view.
    pub fn apply_view(&mut self, view: &Arc<ControlView>) {
        self.view = Arc::clone(view);
    }

    /// Takes another owner's digest (or this session's own).
    pub fn take_digest(&mut self, now: Instant, digest: &LoadDigest) {
        let _ = (now, digest);
    }

    /// Notes a measured round trip to another session's entry VM.
    pub fn note_round_trip(&mut self, session: SessionId, round_trip: Duration) {
        self.round_trips.insert(session, round_trip);
    }

    /// Returns the owners to try, best first. Empty when nothing can take the request
    /// in time.
    pub fn candidates(&mut self, now: Instant, req: SteeringRequest<'_>) -> Vec<Candidate> {
        let _ = now;
        let Some(in_force) = &self.view.manifest else {
            return Vec::new();
        };
        let Some(service) = in_force.manifest.services.get(req.service) else {
            return Vec::new();
        };
        service
            .limits
            .keys()
            .filter_map(|place| {
                let owner = ownership::owner(&self.view, req.service, place)?.id;
                let group = Group::new(req.service.clone(), place.clone());
                Some(Candidate { group, owner })
            })
            .collect()
    }

    /// Notes that a request was sent to `candidate`; digests don't show it yet.
    pub fn note_sent(&mut self, now: Instant, candidate: &Candidate) {
        let _ = (now, candidate);
    }

    /// Notes that `candidate` refused a request.
    pub fn note_refused(&mut self, now: Instant, candidate: &Candidate, reason: NotRunReason) {
        let _ = (now, candidate, reason);
    }

    /// Notes that `candidate` couldn't be reached.
    pub fn note_unreachable(&mut self, now: Instant, candidate: &Candidate) {
        let _ = (now, candidate);
    }
}
