//! Selection of the entry VMs that a look-up names, in proportion to their headroom.
//!
//! A caller distributes its connections evenly over the addresses of an answer. An answer therefore
//! names a fixed number of entry VMs, and over the answers each is named in proportion to its
//! weight.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::fleet_record::EntryRecord;
use crate::headroom::Headroom;
use crate::id::RegionName;
use crate::place_lookup;
use crate::place_lookup::MAX_ADDRESSES;
use crate::region_overflow::RegionOverflow;
use crate::region_overflow::RegionRoom;
use crate::weighted_sample;
use crate::weighted_sample::Axis;
use crate::weighted_sample::Turn;
use crate::weighted_sample::Weighted;

/// Number of addresses that an answer contains where there are as many, so that a caller has
/// another one after a failure.
const MIN_ADDRESSES: usize = 2;

/// Largest size that is believed of an entry VM, as a multiple of the median of its region.
const MAX_SIZE_RATIO: f64 = 4.0;

/// An entry VM that accepts requests.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its record.
    pub entry: &'a EntryRecord,
    /// Its headroom; `None` if it is not known.
    pub headroom: Option<Headroom>,
}

/// Addresses that an answer names.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Named {
    /// The addresses.
    pub addresses: Vec<SocketAddr>,
    /// Number of the addresses that are in another region than the caller because that one is out
    /// of room.
    pub overflow: usize,
}

/// Selects entry VMs for successive look-ups.
#[derive(Debug)]
pub struct EntryNaming {
    keep: Duration,
    seed: u32,
    /// State by region; only of regions that have entry VMs, as callers may claim to be in any.
    regions: BTreeMap<RegionName, RegionState>,
    /// Selection for callers in regions without entry VMs.
    elsewhere: Turn,
}

/// State for the look-ups of one region.
#[derive(Debug)]
struct RegionState {
    overflow: RegionOverflow,
    own: Turn,
    others: Turn,
    rounding: Turn,
}

impl EntryNaming {
    /// Creates an instance. Callers cache answers for `keep`; `seed` tells this instance from
    /// others.
    #[must_use]
    pub const fn new(keep: Duration, seed: u32) -> Self {
        Self {
            keep,
            seed,
            regions: BTreeMap::new(),
            elsewhere: Turn::new(Axis::Own, seed),
        }
    }

    /// Selects entry VMs for a caller in `region` that requests a host with the given home regions.
    ///
    /// Without known headroom, the result is that of [`place_lookup::pick`].
    pub fn name<'a>(
        &mut self,
        now: Instant,
        live: impl Iterator<Item = Candidate<'a>>,
        region: &RegionName,
        homes: &[RegionName],
    ) -> Named {
        let live: Vec<Candidate<'a>> = live.collect();
        if live.iter().all(|candidate| candidate.headroom.is_none()) {
            let entries = live.iter().map(|candidate| candidate.entry);
            return Named {
                addresses: place_lookup::pick(entries, region, homes),
                overflow: 0,
            };
        }
        let mut groups = by_region(&live);
        let own = groups.remove(region);
        let is_home = |at: &&RegionName| homes.contains(at);
        if !homes.is_empty() && (own.is_some() || groups.keys().any(is_home)) {
            groups.retain(|at, _| is_home(at));
        }
        let Some(own) = own else {
            let usable: Vec<Weighted> = groups.values().flat_map(Group::weighted).collect();
            return Named {
                addresses: sample(&usable, &mut self.elsewhere),
                overflow: 0,
            };
        };
        let state = self.regions.entry(region.clone());
        let state = state.or_insert_with(|| RegionState::new(self.keep, self.seed));
        state.name(now, &own, &groups)
    }
}

impl RegionState {
    const fn new(keep: Duration, seed: u32) -> Self {
        Self {
            overflow: RegionOverflow::new(keep),
            own: Turn::new(Axis::Own, seed),
            others: Turn::new(Axis::Others, seed),
            rounding: Turn::new(Axis::Rounding, seed),
        }
    }

    fn name(
        &mut self,
        now: Instant,
        own: &Group<'_>,
        others: &BTreeMap<&RegionName, Group<'_>>,
    ) -> Named {
        let rooms: Vec<RegionRoom> = others.values().map(|group| group.room).collect();
        let share = self.overflow.share(now, &own.room, &rooms);
        let mut addresses = sample(&own.weighted(), &mut self.own);
        let count = self
            .rounding
            .rounded(overflow_count(addresses.len(), share));
        let count = count.min(MAX_ADDRESSES / 2);
        if count == 0 {
            return Named {
                addresses,
                overflow: 0,
            };
        }
        let others = others.values().filter(|group| !group.room.is_short());
        let others: Vec<Weighted> = others.flat_map(Group::weighted).collect();
        let others = weighted_sample::select(&others, count, self.others.next_fraction());
        addresses.truncate(MAX_ADDRESSES - others.len());
        addresses.extend(&others);
        Named {
            addresses,
            overflow: others.len(),
        }
    }
}

/// Names as many entry VMs as the weights allow.
fn sample(candidates: &[Weighted], turn: &mut Turn) -> Vec<SocketAddr> {
    let count = weighted_sample::largest_count(candidates);
    let count = count.clamp(MIN_ADDRESSES, MAX_ADDRESSES);
    weighted_sample::select(candidates, count, turn.next_fraction())
}

/// The live entry VMs of a region.
#[derive(Debug, Default)]
struct Group<'a> {
    members: Vec<(&'a EntryRecord, f64, Option<Headroom>)>,
    room: RegionRoom,
}

impl Group<'_> {
    /// Returns the weight of each entry VM.
    ///
    /// Entry VMs out of room lose as much of their part as the others can take over. If more were
    /// moved, these would be out of room next, and the load would go to and fro.
    fn weighted(&self) -> Vec<Weighted> {
        let is_out = |headroom: &Option<Headroom>| headroom.is_some_and(Headroom::is_out_of_room);
        let (mut out, mut free) = (0.0, 0.0);
        for (_, size, headroom) in &self.members {
            if is_out(headroom) {
                out += size;
            } else {
                free += size * headroom.map_or(0.0, Headroom::free);
            }
        }
        let kept = (1.0 - free / out).max(0.0);
        let weight = |size: f64, headroom: &Option<Headroom>| {
            if is_out(headroom) {
                size * kept * Headroom::FULL_SHARE
            } else {
                size * headroom.map_or(1.0, Headroom::share)
            }
        };
        let members = self.members.iter();
        members
            .map(|(entry, size, headroom)| (entry.callers, weight(*size, headroom)))
            .collect()
    }
}

fn by_region<'a>(live: &[Candidate<'a>]) -> BTreeMap<&'a RegionName, Group<'a>> {
    let mut regions: BTreeMap<&RegionName, Vec<&Candidate<'a>>> = BTreeMap::new();
    for candidate in live {
        let members = regions.entry(&candidate.entry.region).or_default();
        members.push(candidate);
    }
    let groups = regions.into_iter();
    groups.map(|(at, members)| (at, group(&members))).collect()
}

fn group<'a>(members: &[&Candidate<'a>]) -> Group<'a> {
    let sizes = members.iter().filter_map(|member| member.headroom);
    let median = median(sizes.map(Headroom::size).collect());
    let mut group = Group::default();
    for member in members {
        let size = member.headroom.map_or(median, Headroom::size);
        let size = size.min(MAX_SIZE_RATIO * median);
        group.room.add(size, member.headroom);
        group.members.push((member.entry, size, member.headroom));
    }
    group
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(1.0)
}

/// Returns how many addresses of other regions, beside `own`, make up `share` of an answer.
fn overflow_count(own: usize, share: f64) -> f64 {
    let own = f64::from(u32::try_from(own).unwrap_or(u32::MAX));
    own * share / (1.0 - share)
}
