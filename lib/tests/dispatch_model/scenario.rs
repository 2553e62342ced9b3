//! What is played: a service, its callers, and what happens to them.

use std::time::Duration;

/// Holds the parameters of a model.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Backend servers in each region.
    pub servers: Vec<usize>,
    /// Entry VMs in each region.
    pub entries: usize,
    /// Requests that a backend server runs at a time.
    pub slots: u32,
    /// Requests that it queues.
    pub queue: usize,
    /// Objects that it keeps at hand.
    pub keeps: usize,
    /// Objects that requests concern.
    pub objects: u32,
    /// Time that a request takes without its object at hand.
    pub work: Duration,
    /// Part of that time which it takes with it.
    pub warm_part: f64,
    /// Way to another region and back.
    pub delay: Duration,
    /// Requests a second in each region.
    pub rate: f64,
    /// Factor on that for each region; one where it isn't given.
    pub rate_parts: Vec<f64>,
    /// Time within which an answer counts.
    pub objective: Duration,
    /// Time that callers wait.
    pub deadline: Duration,
    /// Length of the play.
    pub length: Duration,
    /// Backend servers in each region that join after a half of the play.
    pub joining: usize,
    /// Part of the play that counts, in eighths.
    pub counted: (u32, u32),
    /// Factor on the rate between a quarter and a half of the play.
    pub burst: f64,
    /// Entry VMs that start again one after the other from a quarter of the play on.
    pub restarting: usize,
    /// Time between two of these starts.
    pub restart_gap: Duration,
    /// Seed of arrivals and service times.
    pub seed: u64,
}

impl Scenario {
    /// A look-up service: 32 servers of 6 slots, a tenth of them in one region.
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
            seed: 1,
        }
    }

    /// A look-up service in whose second region callers ask most when it starts: enough room
    /// once its data are at hand, less than half of what they ask for before.
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

    /// A quarter of a large look-up service: longer work, more
    /// entry VMs of fewer requests each, and fewer objects that a backend server keeps.
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
