//! Scenarios: a service, its callers, and the events of a simulation.

use std::time::Duration;

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of backend servers in each region.
    pub servers: Vec<usize>,
    /// Number of entry VMs in each region.
    pub entries: usize,
    /// Number of requests that a backend server runs concurrently.
    pub slots: u32,
    /// Maximum number of requests that a backend server queues.
    pub queue: usize,
    /// Number of objects that a backend server caches.
    pub keeps: usize,
    /// Number of objects that requests refer to.
    pub objects: u32,
    /// Run time of a request without cached data.
    pub work: Duration,
    /// Run time with cached data, relative to the time without.
    pub warm_part: f64,
    /// Round-trip time to another region.
    pub delay: Duration,
    /// Requests a second in each region.
    pub rate: f64,
    /// Factor on `rate` for each region; 1 for regions without an entry.
    pub rate_parts: Vec<f64>,
    /// Latency objective.
    pub objective: Duration,
    /// Callers' time-out.
    pub deadline: Duration,
    /// Duration of the simulation.
    pub length: Duration,
    /// Number of backend servers that join in each region halfway through the simulation.
    pub joining: usize,
    /// Start and end of the measured part, in eighths of the simulation.
    pub counted: (u32, u32),
    /// Factor on `rate` during the second quarter of the simulation.
    pub burst: f64,
    /// Number of entry VMs that restart one after another, beginning after the first quarter of
    /// the simulation.
    pub restarting: usize,
    /// Interval between two restarts.
    pub restart_gap: Duration,
    /// Backend servers that refuse all requests for a time, if any do.
    pub refusal: Option<Refusal>,
    /// Time without requests that a backend server asks for when its queue is full.
    pub asks_when_full: Option<Duration>,
    /// Whether entry VMs observe such times.
    pub observes: bool,
    /// Maximum number of backend servers that a request is sent to.
    pub attempts: usize,
    /// Seed of arrivals and service times.
    pub seed: u64,
}

/// Backend servers that refuse all requests for a time.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Every how many-th backend server.
    pub every: usize,
    /// When they begin to refuse.
    pub from: Duration,
    /// When they serve again.
    pub until: Duration,
    /// Time without requests that they ask for.
    pub asks: Duration,
}

impl Refusal {
    /// Returns for how long a backend server asks for no requests if it refuses all now.
    pub fn asks(&self, server: usize, now: Duration) -> Option<Duration> {
        let refuses = server.is_multiple_of(self.every) && now >= self.from && now < self.until;
        refuses.then_some(self.asks)
    }
}

impl Scenario {
    /// A look-up service: 32 servers of 6 slots, of which one region has only an eighth.
    pub fn look_up() -> Self {
        Self {
            servers: vec![4, 12, 16],
            entries: 2,
            slots: 6,
            queue: 18,
            keeps: 35,
            objects: 88,
            work: Duration::from_millis(690),
            warm_part: 0.3,
            delay: Duration::from_millis(110),
            rate: 112.0,
            rate_parts: Vec::new(),
            objective: Duration::from_millis(500),
            deadline: Duration::from_secs(2),
            length: Duration::from_secs(30),
            joining: 0,
            counted: (4, 8),
            burst: 1.0,
            restarting: 0,
            restart_gap: Duration::from_millis(500),
            refusal: None,
            asks_when_full: None,
            observes: true,
            attempts: 1,
            seed: 1,
        }
    }

    /// A look-up service whose second region is at its peak when the service starts: its
    /// capacity is sufficient once the data are cached, and less than half of the demand
    /// before.
    pub fn peak() -> Self {
        Self {
            servers: vec![8, 34, 40],
            entries: 20,
            slots: 9,
            queue: 27,
            keeps: 39,
            objects: 300,
            work: Duration::from_millis(1_104),
            delay: Duration::from_millis(24),
            rate: 400.0,
            rate_parts: vec![1.35, 1.1, 0.46],
            objective: Duration::from_millis(600),
            deadline: Duration::from_secs(5),
            length: Duration::from_secs(10),
            ..Self::look_up()
        }
    }

    /// A quarter of a large look-up service: longer run times, more entry VMs with fewer
    /// requests each, and fewer objects cached by each backend server.
    pub fn grown() -> Self {
        Self {
            servers: vec![10, 39, 47],
            entries: 8,
            keeps: 19,
            objects: 100,
            work: Duration::from_millis(1_480),
            warm_part: 0.25,
            rate: 144.0,
            objective: Duration::from_millis(850),
            deadline: Duration::from_secs(3),
            length: Duration::from_secs(24),
            ..Self::look_up()
        }
    }
}
