//! Selects the control replica that an entry VM follows: the nearest usable one.
//!
//! Traffic from control to entry VMs is paid for between failure domains, and more between regions.
//! With replicas drawn at random and three regions, two thirds of it would cross regions. Replicas
//! at equal distance share the entry VMs evenly by rendezvous hashing.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::id::BackendName;
use crate::id::PlaceName;
use crate::id::RegionName;
use crate::id::VmName;
use crate::presence_report::ReplicaEndpoints;
use crate::rendezvous;

/// Initial back-off from a replica that answered that it cannot prove to be current; doubled with
/// each further failure. Such a request costs the replica little, and it may have a leader again
/// within an election: after a loss of all power, 0.6 s passed between its start and that.
const NOT_CURRENT_BACKOFF: Duration = Duration::from_millis(100);

/// Longest such back-off, before jitter of up to the same length is added: 20 entry VMs of a
/// partitioned region then send a replica 20 to 40 requests per second.
const MAX_NOT_CURRENT_BACKOFF: Duration = Duration::from_millis(500);

/// Initial back-off from a replica that did not answer; doubled with each further failure.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_secs(1);

/// Longest such back-off, before jitter of up to the same length is added: a region that was
/// partitioned follows its own replicas again within 4 s.
const MAX_UNRESPONSIVE_BACKOFF: Duration = Duration::from_secs(2);

/// Address and place of a replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaSite {
    /// Address at which it accepts messages of replicas and entry VMs.
    pub address: SocketAddr,
    /// Failure domain (place) in which it runs; `None` if unknown.
    pub place: Option<PlaceName>,
}

impl ReplicaSite {
    /// Returns the distance of the replica from `here`; `regions` maps each place to its region.
    fn distance(&self, regions: &BTreeMap<PlaceName, RegionName>, here: &PlaceName) -> Distance {
        let place = self.place.as_ref();
        place.map_or(Distance::Far, |place| {
            Distance::between(regions, here, place)
        })
    }
}

/// Distance of a place from here, nearest first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// The same failure domain.
    Place,
    /// Another failure domain of the same region.
    Region,
    /// Another region, or an unknown location.
    Far,
}

impl Distance {
    /// Returns the distance between `here` and `there`; `regions` maps each place to its region.
    #[must_use]
    pub fn between(
        regions: &BTreeMap<PlaceName, RegionName>,
        here: &PlaceName,
        there: &PlaceName,
    ) -> Self {
        if there == here {
            return Self::Place;
        }
        match (regions.get(there), regions.get(here)) {
            (Some(there), Some(here)) if there == here => Self::Region,
            _ => Self::Far,
        }
    }
}

/// Returns the address at which the backend server `name` in the place `here` should announce
/// itself: the nearest of the replicas that accept announcements. Replicas at equal distance share
/// the backend servers evenly.
pub fn nearest_announcement_address<'a>(
    regions: &BTreeMap<PlaceName, RegionName>,
    here: &PlaceName,
    name: &BackendName,
    replicas: impl Iterator<Item = &'a ReplicaEndpoints>,
) -> Option<SocketAddr> {
    let rank = |replica: &&ReplicaEndpoints| {
        let weight = weight(name.as_str(), replica.address);
        (Distance::between(regions, here, &replica.place), weight)
    };
    let takes = replicas.filter(|replica| replica.announcements.is_some());
    takes.min_by_key(rank)?.announcements
}

/// Orders `replicas` by distance from the entry VM `vm` in the place `here`. Replicas at equal
/// distance are in an order specific to the entry VM.
#[must_use]
pub fn nearest_first(
    vm: &VmName,
    here: &PlaceName,
    regions: &BTreeMap<PlaceName, RegionName>,
    sites: &[ReplicaSite],
    replicas: &[SocketAddr],
) -> Vec<SocketAddr> {
    let rank = |replica: &SocketAddr| {
        let site = sites.iter().find(|site| site.address == *replica);
        let distance = site.map_or(Distance::Far, |site| site.distance(regions, here));
        (distance, weight(vm.as_str(), *replica))
    };
    let mut ordered = replicas.to_vec();
    ordered.sort_by_cached_key(rank);
    ordered
}

/// Reason why a replica was unusable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unusable {
    /// It answered that it cannot prove to be current.
    NotCurrent,
    /// It gave no answer, or none that can be used.
    Unresponsive,
}

/// Selects the replica to follow and tracks which replicas have failed.
#[derive(Debug)]
pub struct ReplicaChoice {
    vm: VmName,
    place: PlaceName,
    regions: BTreeMap<PlaceName, RegionName>,
    candidates: BTreeMap<SocketAddr, Candidate>,
}

#[derive(Clone, Debug)]
struct Candidate {
    distance: Distance,
    place: Option<PlaceName>,
    weight: u64,
    /// Number of consecutive failures.
    failures_in_row: u32,
    backoff_until: Option<Instant>,
    /// Time before which a usable farther replica is not left for this one.
    return_at: Option<Instant>,
}

impl ReplicaChoice {
    /// Creates a choice without replicas, for an entry VM in `place`; `regions` maps each place to
    /// its region.
    #[must_use]
    pub const fn new(
        vm: VmName,
        place: PlaceName,
        regions: BTreeMap<PlaceName, RegionName>,
    ) -> Self {
        Self {
            vm,
            place,
            regions,
            candidates: BTreeMap::new(),
        }
    }

    /// Updates the list of replicas: `sites` as named by control, and `seeds`, of which only the
    /// address is known. Back-offs of known replicas are kept.
    pub fn learn(&mut self, sites: &[ReplicaSite], seeds: &[SocketAddr]) {
        let mut candidates = BTreeMap::new();
        for seed in seeds {
            candidates.insert(*seed, self.entry(*seed, Distance::Far, None));
        }
        for site in sites {
            let distance = site.distance(&self.regions, &self.place);
            let place = site.place.clone();
            candidates.insert(site.address, self.entry(site.address, distance, place));
        }
        self.candidates = candidates;
    }

    fn entry(
        &self,
        address: SocketAddr,
        distance: Distance,
        place: Option<PlaceName>,
    ) -> Candidate {
        let before = self.candidates.get(&address);
        Candidate {
            distance,
            place,
            weight: weight(self.vm.as_str(), address),
            failures_in_row: before.map_or(0, |before| before.failures_in_row),
            backoff_until: before.and_then(|before| before.backoff_until),
            return_at: before.and_then(|before| before.return_at),
        }
    }

    /// Returns the replica to contact: the nearest one, or, if all are in back-off, the one whose
    /// back-off ends first; `None` if no replica is known.
    #[must_use]
    pub fn pick(&self, now: Instant) -> Option<SocketAddr> {
        let rank = |candidate: &Candidate| {
            let backoff = candidate.backoff_until.filter(|until| *until > now);
            (backoff, candidate.distance, candidate.weight)
        };
        let best = self
            .candidates
            .iter()
            .min_by_key(|(_, candidate)| rank(candidate));
        best.map(|(address, _)| *address)
    }

    /// Returns up to `count` replicas to probe in parallel, the best first: each in another region
    /// than the ones before it if possible, else in another place. Replicas in back-off are
    /// included only if all are. `except` is a replica that has been contacted already; replicas in
    /// its place come last.
    #[must_use]
    pub fn pick_spread(
        &self,
        now: Instant,
        except: Option<SocketAddr>,
        count: usize,
    ) -> Vec<SocketAddr> {
        let backoff = |candidate: &Candidate| candidate.backoff_until.filter(|until| *until > now);
        let others = || {
            self.candidates
                .iter()
                .filter(|(at, _)| Some(**at) != except)
        };
        let has_usable = others().any(|(_, candidate)| backoff(candidate).is_none());
        let mut rest: Vec<(SocketAddr, &Candidate)> = others()
            .filter(|(_, candidate)| !has_usable || backoff(candidate).is_none())
            .map(|(address, candidate)| (*address, candidate))
            .collect();
        let except_candidate = except.and_then(|except| self.candidates.get(&except));
        let mut places: Vec<&PlaceName> = except_candidate
            .and_then(|candidate| candidate.place.as_ref())
            .into_iter()
            .collect();
        let mut regions = Vec::new();
        let mut picked = Vec::new();
        while picked.len() < count {
            let rank = |(_, candidate): &(SocketAddr, &Candidate)| {
                let place = candidate.place.as_ref();
                let region = self.region_of(candidate);
                let shares_region = region.is_some_and(|region| regions.contains(&region));
                let shares_place = place.is_some_and(|place| places.contains(&place));
                (
                    shares_region,
                    shares_place,
                    backoff(candidate),
                    candidate.distance,
                    candidate.weight,
                )
            };
            let best = (0..rest.len()).min_by_key(|number| rank(&rest[*number]));
            let Some(best) = best else { break };
            let (address, candidate) = rest.swap_remove(best);
            places.extend(&candidate.place);
            regions.extend(self.region_of(candidate));
            picked.push(address);
        }
        picked
    }

    fn region_of(&self, candidate: &Candidate) -> Option<&RegionName> {
        self.regions.get(candidate.place.as_ref()?)
    }

    /// Returns a replica nearer than the one at `address` that may be tried in its place: one that
    /// has not been unusable for the last 2 s to 4 s. Without this delay, the entry VMs of a
    /// partitioned near replica would try it twice a second.
    #[must_use]
    pub fn nearer_than(&self, address: SocketAddr, now: Instant) -> Option<SocketAddr> {
        let nearest = self.pick(now)?;
        let (best, current) = (
            self.candidates.get(&nearest)?,
            self.candidates.get(&address)?,
        );
        let return_allowed = best.return_at.is_none_or(|at| at <= now);
        (return_allowed && best.distance < current.distance).then_some(nearest)
    }

    /// Records that another replica was preferred to the one at `address`, which may be usable.
    /// `jitter` is random, from 0 to 1.
    pub fn defer_return(&mut self, address: SocketAddr, now: Instant, jitter: f64) {
        if let Some(candidate) = self.candidates.get_mut(&address) {
            candidate.return_at =
                Some(now + MAX_UNRESPONSIVE_BACKOFF.mul_f64(1.0 + jitter.clamp(0.0, 1.0)));
        }
    }

    /// Records that a replica was usable, which ends its back-off.
    pub fn note_usable(&mut self, address: SocketAddr) {
        if let Some(candidate) = self.candidates.get_mut(&address) {
            candidate.failures_in_row = 0;
            candidate.backoff_until = None;
            candidate.return_at = None;
        }
    }

    /// Starts or extends the back-off from an unusable replica. `jitter` is drawn from 0 to 1 by
    /// each entry VM: those of a failure domain fail at the same moment and must not all return in
    /// one.
    pub fn back_off(&mut self, address: SocketAddr, now: Instant, reason: Unusable, jitter: f64) {
        let Some(candidate) = self.candidates.get_mut(&address) else {
            return;
        };
        let (first, longest) = match reason {
            Unusable::NotCurrent => (NOT_CURRENT_BACKOFF, MAX_NOT_CURRENT_BACKOFF),
            Unusable::Unresponsive => (UNRESPONSIVE_BACKOFF, MAX_UNRESPONSIVE_BACKOFF),
        };
        let doubled = 1_u32 << candidate.failures_in_row.min(8);
        candidate.failures_in_row = candidate.failures_in_row.saturating_add(1);
        let backoff = (first * doubled).min(longest);
        let spread = 1.0 + jitter.clamp(0.0, 1.0);
        candidate.backoff_until = Some(now + backoff.mul_f64(spread));
        candidate.return_at = Some(now + MAX_UNRESPONSIVE_BACKOFF.mul_f64(spread));
    }
}

/// Returns the rendezvous weight of a replica for the VM or backend server `name`. The replica with
/// the lowest weight is chosen, which spreads names evenly over the replicas, and over the
/// remaining ones when one is lost.
fn weight(name: &str, address: SocketAddr) -> u64 {
    rendezvous::score(&[name], &address.to_string())
}
