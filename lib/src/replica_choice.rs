//! Which control replica an entry VM follows: the nearest one that is of use.
//!
//! What an entry VM hears of control is paid for between failure domains, and more between
//! regions. From replicas drawn at random two thirds of it cross regions where there are three.
//! Replicas that are equally near share the entry VMs evenly, by rendezvous hashing.

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

/// Time for which a replica isn't asked that answered that it can't prove to be current, doubled
/// with each further time. The question costs it little, and it may have a leader again within
/// an election: when all power was lost, 0.6 s passed between its start and that.
const ASIDE_NOT_CURRENT: Duration = Duration::from_millis(100);

/// Longest such time, before it is drawn out by up to its double: 20 entry VMs of a region that
/// is cut off ask a replica 20 to 40 times a second then.
const LONGEST_NOT_CURRENT: Duration = Duration::from_millis(500);

/// Time for which a replica isn't asked that gave no answer, doubled with each further time.
const ASIDE_SILENT: Duration = Duration::from_secs(1);

/// Longest such time, before it is drawn out by up to its double: a region that was cut off
/// follows its own replicas again within 4 s.
const LONGEST_SILENT: Duration = Duration::from_secs(2);

/// Tells where a replica is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaSite {
    /// Where it takes messages.
    pub address: SocketAddr,
    /// The place that it stands in, if that is known.
    pub place: Option<PlaceName>,
}

impl ReplicaSite {
    /// Returns how far the replica is from `here`, where `regions` has the regions of all places.
    fn distance(&self, regions: &BTreeMap<PlaceName, RegionName>, here: &PlaceName) -> Distance {
        let place = self.place.as_ref();
        place.map_or(Distance::Far, |place| {
            Distance::between(regions, here, place)
        })
    }
}

/// Says how far a place is from here.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// It is the same failure domain.
    Place,
    /// It is in the same region.
    Region,
    /// It is in another region, or nobody knows where.
    Far,
}

impl Distance {
    /// Returns how far `there` is from `here`, where `regions` has the regions of all places.
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

/// Returns where a backend server called `name` in the place `here` should announce itself: at
/// the nearest of the replicas that take announcements; those equally near share all evenly.
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

/// Orders `replicas` by how near they are to the entry VM `vm` in the place `here`; those that are
/// equally near come in an order of the entry VM's own.
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

/// Says why a replica was of no use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unusable {
    /// It answered that it can't prove that it is current.
    NotCurrent,
    /// It gave no answer that can be used.
    Unresponsive,
}

/// Picks the replica to follow.
#[derive(Debug)]
pub struct ReplicaChoice {
    vm: VmName,
    place: PlaceName,
    regions: BTreeMap<PlaceName, RegionName>,
    known: BTreeMap<SocketAddr, Known>,
}

#[derive(Clone, Debug)]
struct Known {
    distance: Distance,
    place: Option<PlaceName>,
    weight: u64,
    /// How often in a row it was of no use.
    failures_in_row: u32,
    aside_until: Option<Instant>,
    /// Until when a farther replica that is of use isn't left for it.
    return_at: Option<Instant>,
}

impl ReplicaChoice {
    /// Starts without knowing any replica, for an entry VM in `place`; `regions` has the regions
    /// of all places.
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
            known: BTreeMap::new(),
        }
    }

    /// Takes over which replicas there are: those that control named, and `seeds`, of which
    /// nothing but the address is known.
    pub fn learn(&mut self, sites: &[ReplicaSite], seeds: &[SocketAddr]) {
        let mut known = BTreeMap::new();
        for seed in seeds {
            known.insert(*seed, self.entry(*seed, Distance::Far, None));
        }
        for site in sites {
            let distance = site.distance(&self.regions, &self.place);
            let place = site.place.clone();
            known.insert(site.address, self.entry(site.address, distance, place));
        }
        self.known = known;
    }

    fn entry(&self, address: SocketAddr, distance: Distance, place: Option<PlaceName>) -> Known {
        let before = self.known.get(&address);
        Known {
            distance,
            place,
            weight: weight(self.vm.as_str(), address),
            failures_in_row: before.map_or(0, |before| before.failures_in_row),
            aside_until: before.and_then(|before| before.aside_until),
            return_at: before.and_then(|before| before.return_at),
        }
    }

    /// Returns the replica to ask: the nearest one, or, while all are set aside, the one whose
    /// time is over first. Nothing if none is known.
    #[must_use]
    pub fn pick(&self, now: Instant) -> Option<SocketAddr> {
        let rank = |known: &Known| {
            let aside = known.aside_until.filter(|until| *until > now);
            (aside, known.distance, known.weight)
        };
        let best = self.known.iter().min_by_key(|(_, known)| rank(known));
        best.map(|(address, _)| *address)
    }

    /// Returns up to `count` replicas to ask at once, the best one first: each in another region
    /// than those before it as far as there are any, else in another place. Those that are set
    /// aside are asked only if all are. `besides` is one that is asked already; none in its place
    /// goes first.
    #[must_use]
    pub fn pick_spread(
        &self,
        now: Instant,
        besides: Option<SocketAddr>,
        count: usize,
    ) -> Vec<SocketAddr> {
        let aside = |known: &Known| known.aside_until.filter(|until| *until > now);
        let others = || self.known.iter().filter(|(at, _)| Some(**at) != besides);
        let has_usable = others().any(|(_, known)| aside(known).is_none());
        let mut rest: Vec<(SocketAddr, &Known)> = others()
            .filter(|(_, known)| !has_usable || aside(known).is_none())
            .map(|(address, known)| (*address, known))
            .collect();
        let asked = besides.and_then(|besides| self.known.get(&besides));
        let mut places: Vec<&PlaceName> = asked
            .and_then(|known| known.place.as_ref())
            .into_iter()
            .collect();
        let mut regions = Vec::new();
        let mut picked = Vec::new();
        while picked.len() < count {
            let rank = |(_, known): &(SocketAddr, &Known)| {
                let place = known.place.as_ref();
                let region = self.region_of(known);
                let is_near_others = region.is_some_and(|region| regions.contains(&region));
                let is_beside_one = place.is_some_and(|place| places.contains(&place));
                (
                    is_near_others,
                    is_beside_one,
                    aside(known),
                    known.distance,
                    known.weight,
                )
            };
            let best = (0..rest.len()).min_by_key(|number| rank(&rest[*number]));
            let Some(best) = best else { break };
            let (address, known) = rest.swap_remove(best);
            places.extend(&known.place);
            regions.extend(self.region_of(known));
            picked.push(address);
        }
        picked
    }

    fn region_of(&self, known: &Known) -> Option<&RegionName> {
        self.regions.get(known.place.as_ref()?)
    }

    /// Returns a nearer replica for which the one at `address` may be left: one that hasn't been
    /// of no use for 2 s to 4 s. While a near one is cut off from the others, its entry VMs
    /// would otherwise try it twice a second.
    #[must_use]
    pub fn nearer_than(&self, address: SocketAddr, now: Instant) -> Option<SocketAddr> {
        let nearest = self.pick(now)?;
        let (best, current) = (self.known.get(&nearest)?, self.known.get(&address)?);
        let may_return = best.return_at.is_none_or(|at| at <= now);
        (may_return && best.distance < current.distance).then_some(nearest)
    }

    /// Notes that another replica was preferred to the one at `address`, which may be of use.
    /// `draw` is drawn from 0 to 1.
    pub fn defer_return(&mut self, address: SocketAddr, now: Instant, draw: f64) {
        if let Some(known) = self.known.get_mut(&address) {
            known.return_at = Some(now + LONGEST_SILENT.mul_f64(1.0 + draw.clamp(0.0, 1.0)));
        }
    }

    /// Notes that a replica was of use.
    pub fn note_usable(&mut self, address: SocketAddr) {
        if let Some(known) = self.known.get_mut(&address) {
            known.failures_in_row = 0;
            known.aside_until = None;
            known.return_at = None;
        }
    }

    /// Sets a replica aside that was of no use. `draw` is drawn from 0 to 1 by each entry VM:
    /// all of a failure domain are set back at the same moment, and must not come back in one.
    pub fn back_off(&mut self, address: SocketAddr, now: Instant, why: Unusable, draw: f64) {
        let Some(known) = self.known.get_mut(&address) else {
            return;
        };
        let (first, longest) = match why {
            Unusable::NotCurrent => (ASIDE_NOT_CURRENT, LONGEST_NOT_CURRENT),
            Unusable::Unresponsive => (ASIDE_SILENT, LONGEST_SILENT),
        };
        let doubled = 1_u32 << known.failures_in_row.min(8);
        known.failures_in_row = known.failures_in_row.saturating_add(1);
        let aside = (first * doubled).min(longest);
        let spread = 1.0 + draw.clamp(0.0, 1.0);
        known.aside_until = Some(now + aside.mul_f64(spread));
        known.return_at = Some(now + LONGEST_SILENT.mul_f64(spread));
    }
}

/// Returns the weight of a replica for whoever is called `name`. The one with the lowest weight
/// is taken: names spread evenly over the replicas, and over the others when one goes.
fn weight(name: &str, address: SocketAddr) -> u64 {
    rendezvous::score(&[name], &address.to_string())
}
