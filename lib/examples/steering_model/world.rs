//! The simulated world: places, entry VMs, backend servers, delays and arrivals.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::report::Report;

/// Length of the measured part of a run.
pub const MEASURED: Duration = Duration::from_secs(30);

/// Time before the measured part, in which averages converge.
pub const WARM_UP: Duration = Duration::from_secs(5);

/// Time from the arrival of a request to its deadline.
pub const DEADLINE: Duration = Duration::from_secs(2);

/// One-way delay within a place.
const SAME_PLACE: Duration = Duration::from_micros(100);

/// Factor by which the callers of the first place exceed its fair share.
const HOT_PLACE_FACTOR: f64 = 1.5;

/// Describes a deployment; sizes and delays are those of the requirements.
pub struct Deployment {
    /// Names of the places, each with the name of its region.
    pub places: Vec<(&'static str, &'static str)>,
    pub backends_per_place: Vec<usize>,
    pub slots: u32,
    pub entries: usize,
    pub between_places: Duration,
    pub between_regions: Duration,
    pub to_clients: Duration,
    pub mean_service: Duration,
}

impl Deployment {
    pub fn kyushu() -> Self {
        Self {
            places: vec![
                ("fko-hakata", "fukuoka"),
                ("fko-kokura", "fukuoka"),
                ("kmm-kikuyo", "kumamoto"),
                ("kmm-yatsushiro", "kumamoto"),
                ("kgs-taniyama", "kagoshima"),
                ("kgs-kirishima", "kagoshima"),
            ],
            backends_per_place: vec![4, 4, 3, 3, 3, 3],
            slots: 3,
            entries: 10,
            between_places: Duration::from_micros(500),
            between_regions: Duration::from_millis(35),
            to_clients: Duration::from_millis(8),
            mean_service: Duration::from_millis(20),
        }
    }

    pub fn qazyna() -> Self {
        Self {
            places: vec![
                ("alm-a", "almaty"),
                ("alm-b", "almaty"),
                ("ast-a", "astana"),
                ("ast-b", "astana"),
                ("shy-a", "shymkent"),
                ("shy-b", "shymkent"),
            ],
            backends_per_place: vec![6, 6, 5, 5, 5, 5],
            slots: 6,
            entries: 10,
            between_places: Duration::from_millis(1),
            between_regions: Duration::from_millis(55),
            to_clients: Duration::from_millis(3),
            mean_service: Duration::from_millis(25),
        }
    }
}

/// A simulated request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub id: usize,
    /// Time at which the entry VM received it.
    pub arrived: Duration,
    /// Index of the entry VM that received it.
    pub entry: usize,
    pub origin: usize,
    pub service: Duration,
}

/// Actual state of a backend server.
pub struct Backend {
    pub place: usize,
    pub running: u32,
}

/// State that every strategy runs against.
pub struct World {
    pub places: Vec<(&'static str, &'static str)>,
    pub entry_places: Vec<usize>,
    pub backends: Vec<Backend>,
    pub slots: u32,
    pub arrivals: Vec<Request>,
    pub report: Report,
    between_places: Duration,
    between_regions: Duration,
    to_clients: Duration,
}

impl World {
    /// Generates arrivals at `load` times the rate that all slots together can serve.
    pub fn new(deployment: &Deployment, load: f64, seed: u64) -> Self {
        let backends: Vec<Backend> = deployment
            .backends_per_place
            .iter()
            .enumerate()
            .flat_map(|(place, count)| std::iter::repeat_n(place, *count))
            .map(|place| Backend { place, running: 0 })
            .collect();
        let entry_places: Vec<usize> = (0..deployment.entries)
            .map(|number| number % deployment.places.len())
            .collect();
        let slots = f64::from(deployment.slots) * f64::from(to_u32(backends.len()));
        let per_second = slots / deployment.mean_service.as_secs_f64();
        let mut world = Self {
            places: deployment.places.clone(),
            entry_places,
            backends,
            slots: deployment.slots,
            arrivals: Vec::new(),
            report: Report::new(per_second * MEASURED.as_secs_f64()),
            between_places: deployment.between_places,
            between_regions: deployment.between_regions,
            to_clients: deployment.to_clients,
        };
        world.draw(deployment, per_second * load, seed);
        world
    }

    fn draw(&mut self, deployment: &Deployment, per_second: f64, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut shares: Vec<f64> = deployment
            .backends_per_place
            .iter()
            .map(|count| f64::from(to_u32(*count)))
            .collect();
        shares[0] *= HOT_PLACE_FACTOR;
        let sum: f64 = shares.iter().sum();
        let end = WARM_UP + MEASURED;
        let mut at = Duration::ZERO;
        while at < end {
            at += exponential(&mut rng, 1.0 / per_second);
            let mut draw = rng.random::<f64>() * sum;
            let origin = shares.iter().position(|share| {
                draw -= share;
                draw < 0.0
            });
            let origin = origin.unwrap_or(0);
            let entries: Vec<usize> = (0..self.entry_places.len())
                .filter(|entry| self.entry_places[*entry] == origin)
                .collect();
            self.arrivals.push(Request {
                id: self.arrivals.len(),
                arrived: at,
                entry: entries[rng.random_range(0..entries.len())],
                origin,
                service: exponential(&mut rng, deployment.mean_service.as_secs_f64()),
            });
        }
    }

    /// Returns the one-way delay between two places.
    pub fn delay(&self, from: usize, to: usize) -> Duration {
        if from == to {
            SAME_PLACE
        } else if self.places[from].1 == self.places[to].1 {
            self.between_places
        } else {
            self.between_regions
        }
    }

    /// Records an answer with its latency at the caller.
    pub fn answered(&mut self, now: Duration, request: &Request) {
        if request.arrived >= WARM_UP {
            let taken = now.saturating_sub(request.arrived);
            let in_time = taken <= DEADLINE;
            self.report
                .note_answer(taken + 2 * self.to_clients, in_time);
        }
    }

    /// Records a refusal with its latency at the caller.
    pub fn refused(&mut self, now: Duration, request: &Request) {
        if request.arrived >= WARM_UP {
            let region = self.places[request.origin].1;
            let free = self.backends.iter().any(|backend| {
                self.places[backend.place].1 == region && backend.running < self.slots
            });
            let taken = now.saturating_sub(request.arrived);
            self.report.note_refusal(taken + 2 * self.to_clients, free);
        }
    }

    /// Starts a request at a backend server; if no slot is free, records an overrun and
    /// returns `false`.
    pub fn begin(&mut self, backend: usize, request: &Request) -> bool {
        let server = &mut self.backends[backend];
        if server.running >= self.slots {
            if request.arrived >= WARM_UP {
                self.report.note_overrun();
            }
            return false;
        }
        server.running += 1;
        true
    }
}

/// Pending events, ordered by time and, at equal times, by insertion.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<(Duration, u64)>>,
    events: std::collections::HashMap<u64, E>,
    next: u64,
}

impl<E> EventQueue<E> {
    pub fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            events: std::collections::HashMap::new(),
            next: 0,
        }
    }

    pub fn add(&mut self, at: Duration, event: E) {
        self.heap.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    pub fn pop(&mut self) -> Option<(Duration, E)> {
        let Reverse((at, number)) = self.heap.pop()?;
        let event = self.events.remove(&number)?;
        Some((at, event))
    }
}

pub fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> Duration {
    Duration::from_secs_f64(-mean * (1.0 - rng.random::<f64>()).ln())
}

pub fn to_u32(count: usize) -> u32 {
    u32::try_from(count).expect("a small count")
}
