//! Strategies without owners: each entry VM sends to backend servers on its own.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::report::Report;
use crate::world::EventQueue;
use crate::world::MEASURED;
use crate::world::Request;
use crate::world::WARM_UP;
use crate::world::World;

/// Interval between load reports, and so the maximum age of the reports that entry VMs
/// use.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Attempts per request, including the first.
const TRIES: usize = 3;

/// Maximum number of queued requests per credit.
const QUEUED_PER_CREDIT: usize = 2;

/// Strategy by which an entry VM selects a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Strategy {
    /// The backend servers of the region in turn.
    RoundRobin,
    /// A backend server of the region with the lowest load in its last report.
    LeastReported,
    /// The less loaded of two random backend servers of the region, by own in-flight
    /// count and last report.
    TwoChoices,
    /// A backend server with a slot leased to this entry VM; other requests wait.
    Credits,
}

impl Strategy {
    pub const ALL: [Self; 4] = [
        Self::RoundRobin,
        Self::LeastReported,
        Self::TwoChoices,
        Self::Credits,
    ];

    pub const fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::LeastReported => "least load by report",
            Self::TwoChoices => "two choices without owners",
            Self::Credits => "leased slot credits",
        }
    }
}

#[derive(Clone, Copy)]
enum Event {
    Arrive(Request),
    Reach {
        backend: usize,
        request: Request,
        tries: usize,
    },
    Done {
        backend: usize,
        request: Request,
    },
    Answer {
        backend: usize,
        request: Request,
    },
    Shed {
        backend: usize,
        request: Request,
        tries: usize,
    },
    Report,
}

pub struct Direct {
    strategy_kind: Strategy,
    queue: EventQueue<Event>,
    /// Backend servers in the region of each entry VM.
    regional: Vec<Vec<usize>>,
    next: Vec<usize>,
    /// Own requests in flight, indexed by entry VM and backend server.
    own_in_flight: Vec<Vec<u32>>,
    credits: Vec<Vec<u32>>,
    waiting: Vec<VecDeque<Request>>,
    reported: Vec<u32>,
    rng: ChaCha8Rng,
}

impl Direct {
    pub fn new(world: &World, strategy_kind: Strategy, seed: u64) -> Self {
        let region = |place: usize| world.places[place].1;
        let regional: Vec<Vec<usize>> = world
            .entry_places
            .iter()
            .map(|place| {
                (0..world.backends.len())
                    .filter(|b| region(world.backends[*b].place) == region(*place))
                    .collect()
            })
            .collect();
        let none = vec![vec![0; world.backends.len()]; world.entry_places.len()];
        let mut credits = none.clone();
        for (number, backend) in world.backends.iter().enumerate() {
            let holders: Vec<usize> = (0..world.entry_places.len())
                .filter(|entry| region(world.entry_places[*entry]) == region(backend.place))
                .collect();
            for slot in 0..world.slots as usize {
                credits[holders[(slot + number) % holders.len()]][number] += 1;
            }
        }
        Self {
            strategy_kind,
            queue: EventQueue::new(),
            next: vec![0; regional.len()],
            waiting: vec![VecDeque::new(); regional.len()],
            regional,
            own_in_flight: none,
            credits,
            reported: vec![0; world.backends.len()],
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub fn run(mut self, world: &mut World) -> Report {
        for request in std::mem::take(&mut world.arrivals) {
            self.queue.add(request.arrived, Event::Arrive(request));
        }
        self.queue.add(Duration::ZERO, Event::Report);
        while let Some((now, event)) = self.queue.pop() {
            self.step(world, now, event);
        }
        std::mem::replace(&mut world.report, Report::new(1.0))
    }

    fn step(&mut self, world: &mut World, now: Duration, event: Event) {
        match event {
            Event::Arrive(request) => self.send(world, now, request, 1),
            Event::Reach {
                backend,
                request,
                tries,
            } => {
                if world.begin(backend, &request) {
                    let done = Event::Done { backend, request };
                    self.queue.add(now + request.service, done);
                } else {
                    let back = travel(world, backend, &request);
                    let shed = Event::Shed {
                        backend,
                        request,
                        tries,
                    };
                    self.queue.add(now + back, shed);
                }
            }
            Event::Done { backend, request } => {
                world.backends[backend].running -= 1;
                let back = travel(world, backend, &request);
                self.queue
                    .add(now + back, Event::Answer { backend, request });
            }
            Event::Answer { backend, request } => {
                self.own_in_flight[request.entry][backend] -= 1;
                world.answered(now, &request);
                if let Some(next) = self.waiting[request.entry].pop_front() {
                    self.send(world, now, next, 1);
                }
            }
            Event::Shed {
                backend,
                request,
                tries,
            } => {
                self.own_in_flight[request.entry][backend] -= 1;
                if tries < TRIES {
                    self.send(world, now, request, tries + 1);
                } else {
                    world.refused(now, &request);
                }
            }
            Event::Report => {
                for (reported, backend) in self.reported.iter_mut().zip(&world.backends) {
                    *reported = backend.running;
                }
                if now < WARM_UP + MEASURED {
                    self.queue.add(now + REPORT_INTERVAL, Event::Report);
                }
            }
        }
    }

    fn send(&mut self, world: &mut World, now: Duration, request: Request, tries: usize) {
        let entry = request.entry;
        let Some(backend) = self.choose(entry) else {
            let credits: u32 = self.credits[entry].iter().sum();
            if self.waiting[entry].len() < credits as usize * QUEUED_PER_CREDIT {
                self.waiting[entry].push_back(request);
            } else {
                world.refused(now, &request);
            }
            return;
        };
        self.own_in_flight[entry][backend] += 1;
        let there = travel(world, backend, &request);
        let reach = Event::Reach {
            backend,
            request,
            tries,
        };
        self.queue.add(now + there, reach);
    }

    fn choose(&mut self, entry: usize) -> Option<usize> {
        let regional = &self.regional[entry];
        match self.strategy_kind {
            Strategy::RoundRobin => {
                self.next[entry] += 1;
                Some(regional[self.next[entry] % regional.len()])
            }
            Strategy::LeastReported => {
                let least = regional.iter().map(|b| self.reported[*b]).min()?;
                let least: Vec<usize> = regional
                    .iter()
                    .copied()
                    .filter(|b| self.reported[*b] == least)
                    .collect();
                Some(least[self.rng.random_range(0..least.len())])
            }
            Strategy::TwoChoices => {
                let draw = |rng: &mut ChaCha8Rng| regional[rng.random_range(0..regional.len())];
                let pair = [draw(&mut self.rng), draw(&mut self.rng)];
                let load = |b: &usize| self.own_in_flight[entry][*b].max(self.reported[*b]);
                pair.into_iter().min_by_key(load)
            }
            Strategy::Credits => {
                let free = |b: &usize| self.own_in_flight[entry][*b] < self.credits[entry][*b];
                regional.iter().copied().find(free)
            }
        }
    }
}

fn travel(world: &World, backend: usize, request: &Request) -> Duration {
    let entry = world.entry_places[request.entry];
    world.delay(entry, world.backends[backend].place)
}
