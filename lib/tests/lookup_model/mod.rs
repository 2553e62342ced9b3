//! Simulation of callers that cache answers to look-ups, and of the entry VMs that they load.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::entry_naming::Candidate;
use heatherring_lib::entry_naming::EntryNaming;
use heatherring_lib::fleet_record::EntryRecord;
use heatherring_lib::headroom::Headroom;
use heatherring_lib::headroom::HeadroomMeter;
use heatherring_lib::headroom::RoomSample;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::link_load::LinkLoad;
use heatherring_lib::place_lookup;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

/// Time for which callers keep an answer; a third of them keeps it three times as long.
pub const KEEP: Duration = Duration::from_secs(2);
const TICK: Duration = Duration::from_millis(250);
const CALLERS_PER_REGION: usize = 150;
/// Ticks before callers arrive.
const LEAD: usize = 40;
/// Ages of the news at the two that answer look-ups, in ticks.
const NEWS_AGE: [usize; 2] = [4, 7];
/// Backlogs from which an answer is late and a request is refused, in seconds of work.
const LATE: f64 = 0.25;
const FULL: f64 = 0.6;

pub fn region(number: usize) -> RegionName {
    RegionName::new(format!("r{number}"))
}

pub fn record(number: usize, at: usize) -> EntryRecord {
    EntryRecord {
        place: PlaceName::new(format!("p{at}")),
        region: region(at),
        callers: SocketAddr::from(([10, 0, 0, 1], u16::try_from(number + 1).unwrap())),
        life: 1,
    }
}

/// How look-ups are answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    Alike,
    /// Of two entry VMs drawn at random, the one with more room.
    BetterHalf,
    Weighted,
    WeightedWithOverflow,
}

/// Work per second offered in a region, as a multiple of its capacity, at a time in seconds.
pub type Load = fn(region: usize, seconds: f64) -> f64;

pub struct Vm {
    record: EntryRecord,
    pub capacity: f64,
    told_size: f64,
    pub live: bool,
    meter: HeadroomMeter,
    headroom: Option<Headroom>,
    /// What it told at each tick, newest last.
    told: Vec<Option<Headroom>>,
    backlog: f64,
    pub load: f64,
    refused: f64,
    lies: bool,
}

struct Caller {
    region: usize,
    addresses: Vec<SocketAddr>,
    asks_at: usize,
    keeps: usize,
}

#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub refused: f64,
    pub late: f64,
    /// Largest part of a region's callers that changed region within two seconds.
    pub moved: f64,
    /// Loads of all entry VMs at each tick.
    pub loads: Vec<Vec<f64>>,
}

pub struct World {
    policy: Policy,
    regions: usize,
    load: Load,
    pub vms: Vec<Vm>,
    callers: Vec<Caller>,
    pub answerers: Vec<EntryNaming>,
    origin: Instant,
    tick: usize,
    rng: ChaCha8Rng,
    frozen: bool,
    away: Vec<Vec<f64>>,
    offered: f64,
    pub figures: Figures,
}

impl World {
    /// Creates a world in which each region has entry VMs of the given capacities.
    pub fn new(policy: Policy, regions: usize, capacities: &[f64], load: Load, seed: u64) -> Self {
        let origin = Instant::now();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let total = regions * capacities.len();
        let vm = |number: usize| {
            let capacity = capacities[number % capacities.len()];
            Vm {
                record: record(number, number / capacities.len()),
                capacity,
                told_size: capacity,
                live: true,
                meter: HeadroomMeter::new(origin, capacity, KEEP),
                headroom: None,
                told: Vec::new(),
                backlog: 0.0,
                load: 0.0,
                refused: 0.0,
                lies: false,
            }
        };
        let caller = |number: usize| Caller {
            region: number % regions,
            addresses: Vec::new(),
            asks_at: LEAD,
            keeps: if number.is_multiple_of(3) { 24 } else { 8 },
        };
        let answerer = |_| EntryNaming::new(KEEP, rng.random());
        Self {
            policy,
            regions,
            load,
            vms: (0..total).map(vm).collect(),
            callers: (0..regions * CALLERS_PER_REGION).map(caller).collect(),
            answerers: NEWS_AGE.map(answerer).into(),
            origin,
            tick: 0,
            rng,
            frozen: false,
            away: Vec::new(),
            offered: 0.0,
            figures: Figures::default(),
        }
    }

    pub fn run(&mut self, length: Duration) {
        self.run_with(length, |_, _| {});
    }

    /// Runs for `length`; `change` is called before each tick with the time in seconds.
    pub fn run_with(&mut self, length: Duration, mut change: impl FnMut(&mut Self, f64)) {
        for _ in 0..(length.as_millis() / TICK.as_millis()) {
            let seconds = f64::from(u32::try_from(self.tick).unwrap()) * TICK.as_secs_f64();
            change(self, seconds);
            self.step(seconds);
            self.tick += 1;
        }
        self.figures.refused = self.vms.iter().map(|vm| vm.refused).sum::<f64>() / self.offered;
        self.figures.late /= self.offered;
    }

    /// Stops an entry VM, or starts it again.
    pub fn set_live(&mut self, number: usize, live: bool) {
        let now = self.now();
        let vm = &mut self.vms[number];
        if live && !vm.live {
            vm.meter = HeadroomMeter::new(now, vm.told_size, KEEP);
        }
        vm.live = live;
    }

    /// Has an entry VM claim that it has this size and that all of it is free.
    pub fn claim(&mut self, number: usize, size: f64) {
        self.vms[number].meter = HeadroomMeter::new(self.origin, size, KEEP);
        self.vms[number].lies = true;
    }

    /// Holds back what entry VMs tell, so that what is known of them stays as it is.
    pub const fn set_news_frozen(&mut self, frozen: bool) {
        self.frozen = frozen;
    }

    pub fn now(&self) -> Instant {
        self.origin + TICK * u32::try_from(self.tick).unwrap()
    }

    fn step(&mut self, seconds: f64) {
        for number in 0..self.callers.len() {
            if self.tick >= self.callers[number].asks_at {
                let at = self.callers[number].region;
                let addresses = self.look_up(at);
                let spread = if self.tick == LEAD {
                    self.rng.random_range(0..8)
                } else {
                    0
                };
                let caller = &mut self.callers[number];
                caller.addresses = addresses;
                caller.asks_at = self.tick + caller.keeps - spread;
            }
        }
        self.place_load(seconds);
        self.serve();
    }

    /// Returns the answer to a look-up from a region.
    pub fn look_up(&mut self, at: usize) -> Vec<SocketAddr> {
        let answerer = self.rng.random_range(0..self.answerers.len());
        let now = self.now();
        let live = self.vms.iter().filter(|vm| vm.live);
        let live = live.map(|vm| Candidate {
            entry: &vm.record,
            headroom: vm
                .told
                .iter()
                .rev()
                .nth(NEWS_AGE[answerer])
                .copied()
                .flatten(),
        });
        let naming = &mut self.answerers[answerer];
        let own = [region(at)];
        match self.policy {
            Policy::Alike => place_lookup::pick(live.map(|vm| vm.entry), &own[0], &[]),
            Policy::Weighted => naming.name(now, live, &own[0], &own).addresses,
            Policy::WeightedWithOverflow => naming.name(now, live, &own[0], &[]).addresses,
            Policy::BetterHalf => {
                let mut live: Vec<_> = live.filter(|vm| vm.entry.region == own[0]).collect();
                live.shuffle(&mut self.rng);
                let room =
                    |vm: &Candidate<'_>| vm.headroom.map_or(1.0, |it| it.size() * it.share());
                let better = live.chunks(2).map(|pair| {
                    let better = pair.iter().max_by(|a, b| room(a).total_cmp(&room(b)));
                    better.unwrap().entry.callers
                });
                better.collect()
            }
        }
    }

    fn place_load(&mut self, seconds: f64) {
        let mut loads: BTreeMap<SocketAddr, f64> = BTreeMap::new();
        let regions: Vec<RegionName> = (0..self.regions).map(region).collect();
        let mut away = vec![0.0; regions.len()];
        let live = self.vms.iter().filter(|vm| vm.live);
        let live = live.map(|vm| (vm.record.callers, &vm.record.region));
        let live: BTreeMap<SocketAddr, &RegionName> = live.collect();
        let capacity = |own: &RegionName| {
            let members = self.vms.iter().filter(|vm| vm.record.region == *own);
            members.map(|vm| vm.capacity).sum()
        };
        let capacities: Vec<f64> = regions.iter().map(capacity).collect();
        for caller in &self.callers {
            let own = &regions[caller.region];
            let callers = f64::from(u32::try_from(CALLERS_PER_REGION).unwrap());
            let rate = (self.load)(caller.region, seconds) * capacities[caller.region] / callers;
            if self.tick >= LEAD {
                self.offered += rate * TICK.as_secs_f64();
            }
            let usable = caller.addresses.iter().filter(|at| live.contains_key(at));
            let count = f64::from(u32::try_from(usable.clone().count()).unwrap());
            for address in usable {
                *loads.entry(*address).or_default() += rate / count;
                if live[address] != own {
                    away[caller.region] += 1.0 / count / callers;
                }
            }
        }
        self.away.push(away);
        if let Some(before) = self.away.iter().rev().nth(8) {
            let now = &self.away[self.away.len() - 1];
            let moved = now
                .iter()
                .zip(before)
                .map(|(now, before)| (now - before).abs());
            self.figures.moved = moved.fold(self.figures.moved, f64::max);
        }
        for vm in &mut self.vms {
            vm.load = loads.get(&vm.record.callers).copied().unwrap_or(0.0) / vm.capacity;
        }
        self.figures
            .loads
            .push(self.vms.iter().map(|vm| vm.load).collect());
    }

    fn serve(&mut self) {
        let now = self.now();
        let tick = TICK.as_secs_f64();
        for vm in &mut self.vms {
            vm.backlog += (vm.load - 1.0) * tick;
            let refused = (vm.backlog - FULL).max(0.0);
            vm.backlog = vm.backlog.clamp(0.0, FULL);
            vm.refused += refused * vm.capacity;
            if vm.backlog > LATE {
                let served = (vm.load * tick - refused).max(0.0);
                self.figures.late += served * vm.capacity;
            }
            if self.tick.is_multiple_of(4) {
                let link = LinkLoad {
                    used: if vm.lies { 0.0 } else { vm.load.min(1.0) },
                    backlog: if vm.lies { 0.0 } else { vm.backlog },
                };
                let sample = RoomSample {
                    link,
                    connections: 0.0,
                    refused: refused > 0.0 && !vm.lies,
                };
                vm.headroom = Some(vm.meter.update(now, &sample));
            }
            let told = if self.frozen {
                vm.told.last().copied().flatten()
            } else {
                vm.headroom
            };
            vm.told.push(told);
        }
    }
}
