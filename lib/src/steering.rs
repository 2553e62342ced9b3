//! Where an entry sends a request: which owners, in which order.
//!
//! The nearest place that serves the service comes first. Requests are diverted from it
//! only as far as its *pressure* exceeds that of another place. Pressure follows
//! refusals, which are known at once, and digests, which may be old; digests move it
//! slowly, so that entries that all see the same old digest don't move their traffic to
//! and fro together. To another region only refusals divert.

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

/// Round trip assumed to an entry VM in the same region, until one is measured.
const SAME_REGION_ROUND_TRIP: Duration = Duration::from_millis(2);

/// Round trip assumed to an entry VM in another region, until one is measured.
const OTHER_REGION_ROUND_TRIP: Duration = Duration::from_millis(100);

/// Round trips that differ by less than this count as equally far.
const ROUND_TRIP_STEP: Duration = Duration::from_millis(10);

/// Difference of pressure below which nothing is diverted.
const HYSTERESIS: f64 = 0.05;

/// Pressure up to which another region is asked after a refusal. Where it is hard to
/// get served too, the try would only make the final refusal late by a round trip.
const MAX_OTHER_REGION_PRESSURE: f64 = 0.2;

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
    /// The place of the caller.
    pub origin: PlaceName,
}

/// Holds what an entry knows of the other owners, and chooses among them.
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

/// Orders places by their distance from the caller; nearer ones order first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Tier {
    Origin,
    Region,
    /// Elsewhere, by steps of [`ROUND_TRIP_STEP`].
    Away(u128),
}

#[derive(Debug)]
struct RatedCandidate {
    candidate: Candidate,
    tier: Tier,
    pressure: f64,
    refusal_pressure: f64,
    /// Chance among those of the same tier.
    weight: f64,
}

impl RatedCandidate {
    const fn is_in_region(&self) -> bool {
        matches!(self.tier, Tier::Origin | Tier::Region)
    }
}

impl Steering {
    /// Starts with no digest; `seed` drives the choice among near-equal owners.
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

    /// Applies a view.
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

    /// Takes another owner's digest (or this session's own).
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

    /// Notes a measured round trip to another session's entry VM.
    pub fn note_round_trip(&mut self, session: SessionId, round_trip: Duration) {
        self.round_trips.insert(session, round_trip);
    }

    /// Returns the owners to try, best first. Empty when nothing can take the request
    /// in time.
    pub fn candidates(&mut self, now: Instant, req: SteeringRequest<'_>) -> Vec<Candidate> {
        let mut rated = self.rate(now, req);
        // Each one draws its place within its tier, likelier in front with more free
        // slots; one draw for all would send every entry to the same one.
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

    /// Notes that a request was sent to `candidate`; digests don't show it yet.
    pub fn note_sent(&mut self, now: Instant, candidate: &Candidate) {
        self.estimate(candidate).note_sent(now);
    }

    /// Notes that `candidate` refused a request.
    pub fn note_refused(&mut self, now: Instant, candidate: &Candidate, reason: NotRunReason) {
        self.estimate(candidate)
            .note_refused(now, &candidate.origin, reason);
    }

    /// Notes that `candidate` couldn't be reached.
    pub fn note_unreachable(&mut self, now: Instant, candidate: &Candidate) {
        self.estimate(candidate).note_unreachable(now);
    }

    /// Returns what the owners have told of their groups lately.
    #[must_use]
    pub fn known_loads(&self, now: Instant) -> Vec<GroupLoad> {
        self.estimates
            .values()
            .filter_map(|estimate| estimate.load(now))
            .cloned()
            .collect()
    }

    /// Returns the pressure that this entry sees at a group, from 0 to 1.
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

    /// Moves a farther candidate to the front, with the chance by which the pressure of
    /// the one in front exceeds its own. One draw decides for all: a draw for each would
    /// multiply the traffic that moves for the same difference of pressure, and with it
    /// the gain that [`crate::pressure`] counts on.
    fn divert(&mut self, rated: &mut [RatedCandidate]) {
        let draw: f64 = self.rng.random();
        let Some((first, others)) = rated.split_first() else {
            return;
        };
        let better = |other: &RatedCandidate| {
            // A wait for a slot is shorter than the way to another region and back, so
            // only refusals send a request there.
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
