//! Selects the owners that an entry VM sends a request to, in order of preference.
//!
//! The nearest place that serves the service comes first. Requests are diverted from it
//! only as far as its *pressure* exceeds that of another place. Pressure follows
//! refusals, which are known at once, and digests, which may be old. Digests change it
//! slowly, so that entry VMs that all see the same old digest do not move their traffic
//! back and forth together. Only refusals divert requests to another region.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::id::PlaceName;
use crate::id::ServiceName;
use crate::id::SessionId;
use crate::load_digest::GroupLoad;
use crate::load_digest::LoadDigest;
use crate::outcome::NotRunReason;
use crate::ownership::Group;
use crate::ownership::OwnerTable;
use crate::pressure::LoadEstimate;
use crate::view::ControlView;

/// Assumed round-trip time to an entry VM in the same region until it is measured.
const SAME_REGION_ROUND_TRIP: Duration = Duration::from_millis(2);

/// Assumed round-trip time to an entry VM in another region until it is measured.
const OTHER_REGION_ROUND_TRIP: Duration = Duration::from_millis(100);

/// Resolution of round-trip times to other regions; smaller differences count as equal.
const ROUND_TRIP_STEP: Duration = Duration::from_millis(10);

/// Minimum difference of pressure that diverts requests.
const HYSTERESIS: f64 = 0.05;

/// Maximum pressure of a group in another region that is tried after a refusal. Above it,
/// the attempt would probably fail as well and delay the final refusal by a round trip.
const MAX_OTHER_REGION_PRESSURE: f64 = 0.2;

/// A request to be steered.
#[derive(Clone, Copy, Debug)]
pub struct SteeringRequest<'a> {
    /// The requested service.
    pub service: &'a ServiceName,
    /// The place of the caller.
    pub origin: &'a PlaceName,
    /// Time remaining until the deadline.
    pub left: Duration,
}

/// An owner that may serve a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The group that would serve the request.
    pub group: Group,
    /// The session that owns the group.
    pub owner: SessionId,
    /// The place of the caller.
    pub origin: PlaceName,
}

/// Load estimates of all groups at one entry VM, and the selection among them.
#[derive(Debug)]
pub struct Steering {
    session: SessionId,
    view: Arc<ControlView>,
    owners: OwnerTable,
    round_trips: BTreeMap<SessionId, Duration>,
    estimates: BTreeMap<Group, LoadEstimate>,
    last_serials: BTreeMap<SessionId, u64>,
    rng: ChaCha8Rng,
}

/// Distance of a place from the caller; nearer places order first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Tier {
    Origin,
    Region,
    /// Outside the region, by round-trip time in units of [`ROUND_TRIP_STEP`].
    Away(u128),
}

#[derive(Debug)]
struct RatedCandidate {
    candidate: Candidate,
    tier: Tier,
    pressure: f64,
    refusal_pressure: f64,
    /// Number of slots that are likely free; when the candidates are sorted, a random key
    /// that is biased by it.
    weight: f64,
}

impl RatedCandidate {
    const fn is_in_region(&self) -> bool {
        matches!(self.tier, Tier::Origin | Tier::Region)
    }
}

impl Steering {
    /// Creates the steering state without any digest; `seed` drives the random choice
    /// among candidates.
    #[must_use]
    pub fn new(session: SessionId, seed: u64) -> Self {
        Self {
            session,
            view: Arc::default(),
            owners: OwnerTable::default(),
            round_trips: BTreeMap::new(),
            estimates: BTreeMap::new(),
            last_serials: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Applies a view and drops estimates and round-trip times that no longer apply.
    pub fn apply_view(&mut self, view: &Arc<ControlView>) {
        self.view = Arc::clone(view);
        let exists = |session: &SessionId| view.sessions.contains_key(session);
        self.round_trips.retain(|session, _| exists(session));
        self.last_serials.retain(|session, _| exists(session));
        self.owners = OwnerTable::of(view);
        self.estimates.retain(|group, estimate| {
            let owner = self.owners.owner(&group.service, &group.place);
            if let Some(owner) = owner {
                estimate.set_owner(owner);
            }
            owner.is_some()
        });
    }

    /// Applies the digest of an owner, which may be this session itself.
    pub fn take_digest(&mut self, now: Instant, digest: &LoadDigest) {
        let serial = self.last_serials.entry(digest.session).or_default();
        if digest.serial <= *serial {
            return;
        }
        *serial = digest.serial;
        for load in &digest.loads {
            let group = &load.group;
            let owner = self.owners.owner(&group.service, &group.place);
            if owner == Some(digest.session) {
                let estimate = self.estimates.entry(group.clone()).or_default();
                estimate.take_load(now, digest.session, load);
            }
        }
    }

    /// Records a measured round-trip time to another session's entry VM.
    pub fn note_round_trip(&mut self, session: SessionId, round_trip: Duration) {
        self.round_trips.insert(session, round_trip);
    }

    /// Returns the owners to try, best first. Empty if none can answer the request in
    /// time.
    pub fn candidates(&mut self, now: Instant, req: SteeringRequest<'_>) -> Vec<Candidate> {
        let mut rated = self.rate(now, req);
        // Each candidate gets a random sort key within its tier, biased by its free
        // slots. A common order would send every entry VM to the same one.
        for rated_candidate in &mut rated {
            let draw: f64 = self.rng.random();
            rated_candidate.weight = draw.powf(1.0 / (1.0 + rated_candidate.weight));
        }
        rated.sort_by(|a, b| a.tier.cmp(&b.tier).then(b.weight.total_cmp(&a.weight)));
        self.divert(&mut rated);
        let mut position = 0;
        rated.retain(|rated_candidate| {
            position += 1;
            position == 1
                || rated_candidate.is_in_region()
                || rated_candidate.pressure <= MAX_OTHER_REGION_PRESSURE
        });
        rated
            .into_iter()
            .map(|rated_candidate| rated_candidate.candidate)
            .collect()
    }

    /// Records that a request was sent to `candidate`; digests do not include it yet.
    pub fn note_sent(&mut self, now: Instant, candidate: &Candidate) {
        self.estimate(candidate).note_sent(now);
    }

    /// Records that `candidate` refused a request.
    pub fn note_refused(&mut self, now: Instant, candidate: &Candidate, reason: NotRunReason) {
        self.estimate(candidate)
            .note_refused(now, &candidate.origin, reason);
    }

    /// Records that the owner of `candidate` could not be reached.
    pub fn note_unreachable(&mut self, now: Instant, candidate: &Candidate) {
        self.estimate(candidate).note_unreachable(now);
    }

    /// Returns the loads from all digests that have not lapsed.
    #[must_use]
    pub fn known_loads(&self, now: Instant) -> Vec<GroupLoad> {
        self.estimates
            .values()
            .filter_map(|estimate| estimate.load(now))
            .cloned()
            .collect()
    }

    /// Returns the pressure of a group as seen by this entry VM, from 0 to 1.
    pub fn pressure(&mut self, now: Instant, group: &Group) -> f64 {
        self.estimates
            .get_mut(group)
            .map_or(0.0, |estimate| estimate.pressure(now))
    }

    fn estimate(&mut self, candidate: &Candidate) -> &mut LoadEstimate {
        self.estimates.entry(candidate.group.clone()).or_default()
    }

    fn rate(&mut self, now: Instant, req: SteeringRequest<'_>) -> Vec<RatedCandidate> {
        let view = Arc::clone(&self.view);
        let Some(in_force) = &view.manifest else {
            return Vec::new();
        };
        let places = &in_force.manifest.places;
        let region = |place: &PlaceName| places.get(place).map(|place| &place.region);
        let own_region = view.sessions.get(&self.session).map(|own| &own.info.region);
        let mut rated = Vec::new();
        for (place, owner) in self.owners.places(req.service) {
            let Some(session) = view.sessions.get(&owner) else {
                continue;
            };
            let assumed = if owner == self.session {
                Duration::ZERO
            } else if Some(&session.info.region) == own_region {
                SAME_REGION_ROUND_TRIP
            } else {
                OTHER_REGION_ROUND_TRIP
            };
            let round_trip = self.round_trips.get(&owner).copied().unwrap_or(assumed);
            let group = Group::new(req.service.clone(), place.clone());
            let estimate = self.estimates.entry(group.clone()).or_default();
            let in_time = round_trip + estimate.expected_time() <= req.left;
            if !in_time || !estimate.is_open(now, req.origin) {
                continue;
            }
            let tier = if place == req.origin {
                Tier::Origin
            } else if region(place) == region(req.origin) {
                Tier::Region
            } else {
                Tier::Away(round_trip.as_millis() / ROUND_TRIP_STEP.as_millis())
            };
            rated.push(RatedCandidate {
                pressure: estimate.pressure(now),
                refusal_pressure: estimate.refusal_pressure(now),
                weight: estimate.likely_free(now),
                candidate: Candidate {
                    group,
                    owner,
                    origin: req.origin.clone(),
                },
                tier,
            });
        }
        rated
    }

    /// Moves a more distant candidate to the front, with a probability equal to the
    /// excess of the front candidate's pressure over its own. One random number decides
    /// for all candidates: separate ones would multiply the traffic that moves for the
    /// same difference of pressure, and thereby the gain that [`crate::pressure`] is
    /// designed for.
    fn divert(&mut self, rated: &mut [RatedCandidate]) {
        let draw: f64 = self.rng.random();
        let Some((first, others)) = rated.split_first() else {
            return;
        };
        let better = |other: &RatedCandidate| {
            // Waiting for a slot takes less time than a round trip to another region, so
            // only refusals divert a request there.
            let pressure = match other.tier {
                Tier::Away(_) if first.tier != other.tier => first.refusal_pressure,
                _ => first.pressure,
            };
            let excess = pressure - other.pressure;
            excess > HYSTERESIS && draw < excess
        };
        if let Some(position) = others.iter().position(better) {
            rated[..=position + 1].rotate_right(1);
        }
    }
}
