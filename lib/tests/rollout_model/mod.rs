//! A model of rollouts: callers, two versions of a service's backend servers, entry VMs that count
//! answers, and a leader that decides with the real [`RolloutWatch`].

#![allow(
    dead_code,
    reason = "each test file is a crate of its own and uses only a part of this module"
)]

mod world;

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::id::BackendName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::RouteName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::VersionName;
use heatherring_lib::rollout::Rollout;
use heatherring_lib::rollout::RolloutOrder;
use heatherring_lib::rollout::RolloutPhase;
use heatherring_lib::rollout::TrafficShare;
use heatherring_lib::rollout::evidence::Cell;
use heatherring_lib::rollout::evidence::Evidence;
use heatherring_lib::rollout::evidence::Group;
use heatherring_lib::rollout::evidence::RouteHash;
use heatherring_lib::rollout::evidence::Side;
use heatherring_lib::rollout::plan::Judge;
use heatherring_lib::rollout::plan::RolloutSituation;
use heatherring_lib::rollout::plan::RolloutWatch;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use self::world::World;
pub use self::world::count;

/// Bounds that hold for a faulty version: share of all requests, requests beyond it, and the time
/// after its 50th bad answer in which it still may get some.
const MAX_EXPOSURE: f64 = 0.1;
const EXPOSURE_SLACK: u32 = 50;
const BAD_ANSWERS: u32 = 50;
const ROLLBACK: Duration = Duration::from_secs(5);

const STEP: Duration = Duration::from_millis(100);
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
const DECISION_INTERVAL: Duration = Duration::from_millis(200);

/// What a rollout came to.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub phase: RolloutPhase,
    /// When it was over; `None` if it was not.
    pub over_at: Option<Duration>,
    pub duration: Duration,
    pub requests: u32,
    pub to_target: u32,
    pub bad_at_target: u32,
    /// Requests to the target version later than [`ROLLBACK`] after its 50th bad answer.
    pub late: u32,
}

impl Outcome {
    pub fn is_completed_in_time(&self) -> bool {
        self.phase == RolloutPhase::Completed && self.over_at.is_some_and(|at| at <= self.duration)
    }

    pub fn is_rolled_back(&self) -> bool {
        matches!(self.phase, RolloutPhase::RolledBack(_))
    }

    /// Returns whether callers met a faulty version more often than is allowed.
    pub fn is_overexposed(&self) -> bool {
        let allowed = f64::from(self.requests) * MAX_EXPOSURE + f64::from(EXPOSURE_SLACK);
        f64::from(self.to_target) > allowed || self.late > 0
    }
}

/// A change of phase that reaches entry VMs one after the other.
#[derive(Debug)]
struct Spread {
    from: TrafficShare,
    to: TrafficShare,
    began: Duration,
    takes: Duration,
}

impl Spread {
    fn share(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.began).as_secs_f64() / self.takes.as_secs_f64();
        let done = passed.clamp(0.0, 1.0);
        self.from.fraction() * (1.0 - done) + self.to.fraction() * done
    }
}

/// Plays one rollout in a drawn world.
pub struct Play {
    world: World,
    rng: ChaCha8Rng,
    base: Instant,
    now: Duration,
    rollout: Rollout,
    watch: RolloutWatch,
    judge: Judge,
    spread: Spread,
    counted: Evidence,
    next_report: Duration,
    in_transit: VecDeque<(Duration, Evidence)>,
    next_decision: Duration,
    outcome: Outcome,
    fiftieth_bad_at: Option<Duration>,
    phase_at: Duration,
    traced: bool,
}

impl Play {
    pub fn new(world: World, judge: Judge, seed: u64) -> Self {
        let duration = world.duration;
        let base = Instant::now();
        let rollout = Rollout {
            id: Revision(1),
            order: RolloutOrder {
                service: ServiceName::new("service"),
                target: VersionName::new("v2"),
                duration,
                ordered_ms: 0,
            },
            phase: RolloutPhase::Partial(TrafficShare(0)),
            elapsed: Duration::ZERO,
            replaced: Vec::new(),
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            base,
            now: Duration::ZERO,
            watch: RolloutWatch::new(base, &rollout).with_judge(judge),
            judge,
            spread: Spread {
                from: TrafficShare(0),
                to: TrafficShare(0),
                began: Duration::ZERO,
                takes: STEP,
            },
            counted: Evidence::default(),
            next_report: REPORT_INTERVAL,
            in_transit: VecDeque::new(),
            next_decision: DECISION_INTERVAL,
            outcome: Outcome {
                phase: rollout.phase.clone(),
                over_at: None,
                duration,
                requests: 0,
                to_target: 0,
                bad_at_target: 0,
                late: 0,
            },
            fiftieth_bad_at: None,
            phase_at: Duration::ZERO,
            traced: false,
            rollout,
            world,
        }
    }

    /// Prints each decision, and what it rests on.
    pub fn traced(mut self) -> Self {
        self.traced = true;
        self
    }

    /// Plays until the time of the order is up.
    pub fn run(mut self) -> Outcome {
        while self.now < self.world.duration {
            self.now += STEP;
            self.requests();
            self.report();
            if self.now >= self.next_decision && !self.world.is_leaderless(self.now) {
                self.next_decision = self.now + DECISION_INTERVAL;
                self.decide();
            }
            if self.world.loses_evidence(self.now, STEP) {
                // The next leader has followed the stages, but has counted nothing.
                let since = self.base + self.phase_at;
                self.watch = RolloutWatch::new(since, &self.rollout).with_judge(self.judge);
            }
        }
        self.outcome.phase = self.rollout.phase;
        self.outcome
    }

    fn requests(&mut self) {
        let share = self.spread.share(self.now);
        for route in 0..self.world.rates.len() {
            let rate = self.world.rate(self.now, route);
            let all = poisson(&mut self.rng, rate * STEP.as_secs_f64());
            self.outcome.requests += all;
            let active = self.world.active_targets(self.now, share);
            let bound = self.world.target_bound(self.now, active) * STEP.as_secs_f64();
            let wanted = f64::from(all) * share;
            let to_target = if active == 0 { 0.0 } else { wanted.min(bound) };
            let to_target = poisson(&mut self.rng, to_target).min(all);
            self.send(route, Side::Target, to_target, active);
            self.send(route, Side::Others, all - to_target, self.world.servers);
        }
    }

    fn send(&mut self, route: usize, side: Side, requests: u32, servers: usize) {
        if servers == 0 {
            return;
        }
        let rate = f64::from(requests) / STEP.as_secs_f64() / count(servers);
        for _ in 0..requests {
            let server = self.rng.random_range(0..servers);
            let (quality, is_fault) =
                self.world
                    .quality(&mut self.rng, self.now, route, side, server, rate);
            if side == Side::Target {
                self.note_target(is_fault);
            }
            if self.rng.random_bool(self.world.unseen) {
                continue;
            }
            let cell = Cell {
                route: RouteHash::of(&RouteName::new(format!("route-{route}"))),
                side,
                group: Group::of(&BackendName::new(format!("{side:?}-{server}"))),
            };
            self.counted.note(cell, quality);
        }
    }

    fn note_target(&mut self, is_fault: bool) {
        let outcome = &mut self.outcome;
        outcome.to_target += 1;
        if is_fault {
            outcome.bad_at_target += 1;
            if outcome.bad_at_target == BAD_ANSWERS {
                self.fiftieth_bad_at = Some(self.now);
            }
        }
        let late = self
            .fiftieth_bad_at
            .is_some_and(|at| self.now > at + ROLLBACK);
        outcome.late += u32::from(late);
    }

    fn report(&mut self) {
        if self.now >= self.next_report {
            self.next_report = self.now + REPORT_INTERVAL;
            let delay = Duration::from_millis(self.rng.random_range(100..600));
            let counted = std::mem::take(&mut self.counted);
            self.in_transit.push_back((self.now + delay, counted));
        }
        while self
            .in_transit
            .front()
            .is_some_and(|(at, _)| *at <= self.now)
        {
            if let Some((_, evidence)) = self.in_transit.pop_front() {
                self.watch.note(self.base + self.now, evidence);
            }
        }
    }

    fn decide(&mut self) {
        let now = self.base + self.now;
        let idle_after = self.world.longest_request;
        let situation = RolloutSituation {
            usable_targets: self.world.usable_targets(self.now),
            others_idle: self.spread.to == TrafficShare::ALL
                && self.now >= self.spread.began + self.spread.takes + idle_after,
        };
        let decision = self.watch.decide(now, situation);
        if self.traced {
            let figures = self.watch.figures(now);
            println!(
                "{:?} {:?} {decision:?} {figures:?}",
                self.now, self.rollout.phase
            );
        }
        let Some(decision) = decision else {
            return;
        };
        self.spread = Spread {
            from: self.rollout.phase.share(),
            to: decision.phase.share(),
            began: self.now + Duration::from_millis(self.rng.random_range(50..200)),
            takes: Duration::from_millis(self.rng.random_range(200..900)),
        };
        self.rollout.phase = decision.phase;
        self.rollout.elapsed = self.watch.elapsed(now);
        self.watch.follow(now, &self.rollout);
        self.phase_at = self.now;
        if self.rollout.phase.is_over() {
            self.outcome.over_at = Some(self.now);
        }
    }
}

/// Draws a number of independent events with this mean.
fn poisson(rng: &mut ChaCha8Rng, mean: f64) -> u32 {
    let limit = (-mean.min(500.0)).exp();
    let mut product = 1.0;
    let mut events = 0;
    loop {
        product *= rng.random::<f64>();
        if product <= limit {
            return events;
        }
        events += 1;
    }
}
