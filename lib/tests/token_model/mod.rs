//! Model of the limits of teams: entry VMs, control replicas and the messages between them.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::id::TeamName;
use heatherring_lib::team::TeamLimit;
use heatherring_lib::team_share;
use heatherring_lib::team_share::LimitShare;
use heatherring_lib::team_share::LimitTolerance;
use heatherring_lib::token_cache;
use heatherring_lib::token_cache::LimitDecision;
use heatherring_lib::token_cache::REPLY_TIMEOUT;
use heatherring_lib::token_cache::TokenCache;
use heatherring_lib::token_cache::TokenRequest;
use heatherring_lib::token_shard::Drawn;
use heatherring_lib::token_shard::TokenShard;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const REPLY_SEED: u64 = 20_261_204;
const REGIONS: usize = 3;
const NEAR: Duration = Duration::from_millis(1);
const FAR: Duration = Duration::from_millis(35);
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time that callers allow for their requests.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);

/// Method by which a team's limit is divided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Method {
    /// Among as many replicas as the limit allows.
    Shares,
    /// One replica issues all tokens.
    One,
    /// No replica is involved: each entry VM has an equal share, which no other can use.
    Equal,
}

#[derive(Clone, Debug)]
enum Event {
    Request {
        vm: usize,
        team: usize,
    },
    Asked {
        vm: usize,
        life: u64,
        token_request: TokenRequest,
    },
    Answered {
        vm: usize,
        life: u64,
        token_request: TokenRequest,
        drawn: Option<Vec<Drawn>>,
    },
    Poll {
        vm: usize,
    },
    Ask {
        vm: usize,
    },
}

struct Replica {
    address: SocketAddr,
    shard: TokenShard,
    up: bool,
    frozen_until: Duration,
    cut_until: Duration,
}

struct Vm {
    cache: TokenCache<usize>,
    equal: TokenShard,
    life: u64,
    up: bool,
    frozen_until: Duration,
    cut_until: Duration,
    /// Time of the next poll of the cache.
    poll_at: Option<Duration>,
}

/// Counts of a team's requests by outcome.
#[derive(Clone, Debug, Default)]
pub struct Counted {
    pub asked: u32,
    pub run: Vec<Duration>,
    pub over: u32,
    pub unconfirmed: u32,
    /// Those of them that were refused as soon as they came.
    pub unconfirmed_at_once: u32,
    /// Longest time that a request waited for its token; `waited` is the sum of all waits.
    pub longest_wait: Duration,
    /// Refusals after more than 0.4 s.
    pub refused_late: u32,
    pub waited: Duration,
}

/// How replies of replicas travel, besides the delay of the network.
#[derive(Clone, Copy, Debug)]
pub struct ReplyFault {
    /// Additional delay, drawn evenly for each reply.
    pub delay: (Duration, Duration),
    /// Fraction of replies that are lost.
    pub lost: f64,
    /// Time until which this holds.
    pub until: Duration,
}

pub struct Model {
    pub method: Method,
    pub now: Duration,
    origin: Instant,
    tolerance: LimitTolerance,
    replicas: Vec<Replica>,
    vms: Vec<Vm>,
    pub limits: Vec<TeamLimit>,
    pub counted: Vec<Counted>,
    sharing_replicas: BTreeMap<usize, Vec<SocketAddr>>,
    events: BTreeMap<(Duration, u64), Event>,
    number: u64,
    /// Team and time of each request, indexed by the number that identifies it in a token cache.
    requests: Vec<(usize, Duration)>,
    /// Token requests sent to replicas.
    pub token_requests: u32,
    pub draws: u32,
    pub reply_fault: Option<ReplyFault>,
    rng: ChaCha8Rng,
}

pub fn team(number: usize) -> TeamName {
    TeamName::new(format!("team-{number}"))
}

fn address(replica: usize) -> SocketAddr {
    let last = u8::try_from(replica % 200 + 1).unwrap();
    let third = u8::try_from(replica / 200).unwrap();
    SocketAddr::from(([10, 0, third, last], 7_000))
}

impl Model {
    pub fn new(method: Method, vms: usize, replicas: usize, limits: Vec<TeamLimit>) -> Self {
        let mut model = Self {
            method,
            now: Duration::ZERO,
            origin: Instant::now(),
            tolerance: LimitTolerance::default(),
            replicas: Vec::new(),
            vms: Vec::new(),
            counted: vec![Counted::default(); limits.len()],
            limits,
            sharing_replicas: BTreeMap::new(),
            events: BTreeMap::new(),
            number: 0,
            requests: Vec::new(),
            token_requests: 0,
            draws: 0,
            reply_fault: None,
            rng: ChaCha8Rng::seed_from_u64(REPLY_SEED),
        };
        for replica in 0..replicas {
            model.replicas.push(Replica {
                address: address(replica),
                shard: TokenShard::new(model.origin),
                up: true,
                frozen_until: Duration::ZERO,
                cut_until: Duration::ZERO,
            });
        }
        for vm in 0..vms {
            model.vms.push(Vm {
                cache: TokenCache::new(vm as u64),
                equal: TokenShard::new(model.origin),
                life: 1,
                up: true,
                frozen_until: Duration::ZERO,
                cut_until: Duration::ZERO,
                poll_at: None,
            });
            model.push(POLL_INTERVAL, Event::Poll { vm });
        }
        model
    }

    fn at(&self, time: Duration) -> Instant {
        self.origin + time
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.number += 1;
        self.events.insert((at, self.number), event);
    }

    pub fn request(&mut self, at: Duration, vm: usize, team: usize) {
        self.push(at, Event::Request { vm, team });
    }

    pub fn cut_vm(&mut self, vm: usize, time: Duration) {
        self.vms[vm].cut_until = self.now + time;
    }

    pub fn cut_replica(&mut self, replica: usize, time: Duration) {
        self.replicas[replica].cut_until = self.now + time;
    }

    pub fn freeze_vm(&mut self, vm: usize, time: Duration) {
        self.vms[vm].frozen_until = self.now + time;
    }

    pub fn freeze_replica(&mut self, replica: usize, time: Duration) {
        self.replicas[replica].frozen_until = self.now + time;
    }

    /// Restarts the process of an entry VM.
    pub fn restart_vm(&mut self, vm: usize) {
        let state = &mut self.vms[vm];
        state.life += 1;
        state.cache = TokenCache::new(state.life);
        state.equal = TokenShard::new(self.origin + self.now);
    }

    /// Restarts the process of a replica, which loses all its state.
    pub fn restart_replica(&mut self, replica: usize) {
        self.replicas[replica].shard = TokenShard::new(self.origin + self.now);
    }

    /// Schedules the next poll of an entry VM's token cache at the time that it returns.
    fn schedule_poll(&mut self, vm: usize) {
        let now = self.at(self.now);
        let Some(next) = self.vms[vm].cache.next_poll_at(now) else {
            return;
        };
        let at = next.saturating_duration_since(self.origin);
        let scheduled = self.vms[vm].poll_at;
        if scheduled.is_none_or(|scheduled| at < scheduled) {
            self.vms[vm].poll_at = Some(at);
            self.push(at, Event::Ask { vm });
        }
    }

    pub fn run_until(&mut self, end: Duration) {
        while let Some(entry) = self.events.first_entry() {
            let (time, _) = *entry.key();
            if time > end {
                break;
            }
            let event = entry.remove();
            self.now = self.now.max(time);
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        let frozen_until = match &event {
            Event::Request { vm, .. }
            | Event::Poll { vm }
            | Event::Ask { vm }
            | Event::Answered { vm, .. } => self.vms[*vm].frozen_until,
            Event::Asked { token_request, .. } => {
                let replica = self.replica(token_request.replica);
                self.replicas[replica].frozen_until
            }
        };
        if frozen_until > self.now {
            self.push(frozen_until, event);
            return;
        }
        match event {
            Event::Request { vm, team } => self.take(vm, team),
            Event::Poll { vm } => {
                self.ask(vm);
                self.push(self.now + POLL_INTERVAL, Event::Poll { vm });
            }
            Event::Ask { vm } => {
                let scheduled = self.vms[vm].poll_at;
                self.vms[vm].poll_at = scheduled.filter(|at| *at > self.now);
                self.ask(vm);
                self.schedule_poll(vm);
            }
            Event::Asked {
                vm,
                life,
                token_request,
            } => self.draw(vm, life, token_request),
            Event::Answered {
                vm,
                life,
                token_request,
                drawn,
            } => {
                if self.vms[vm].life != life {
                    return;
                }
                let now = self.at(self.now);
                let decisions = self.vms[vm]
                    .cache
                    .answered(now, &token_request, drawn.as_deref());
                self.count_decisions(decisions);
                self.ask(vm);
                self.schedule_poll(vm);
            }
        }
    }

    fn replica(&self, address: SocketAddr) -> usize {
        let mut replicas = self.replicas.iter();
        replicas
            .position(|replica| replica.address == address)
            .unwrap()
    }

    fn sharing_replicas(&mut self, number: usize) -> Vec<SocketAddr> {
        if let Some(known) = self.sharing_replicas.get(&number) {
            return known.clone();
        }
        let replicas = self.replicas.iter();
        let all: Vec<SocketAddr> = replicas.map(|replica| replica.address).collect();
        let mut sharing_replicas =
            team_share::sharing_replicas(&team(number), &self.limits[number], &all);
        if self.method == Method::One {
            sharing_replicas.truncate(1);
        }
        self.sharing_replicas
            .insert(number, sharing_replicas.clone());
        sharing_replicas
    }

    fn delay(vm: usize, replica: usize) -> Duration {
        if vm % REGIONS == replica % REGIONS {
            NEAR
        } else {
            FAR
        }
    }

    fn take(&mut self, vm: usize, number: usize) {
        let name = team(number);
        self.counted[number].asked += 1;
        let request = self.requests.len();
        self.requests.push((number, self.now));
        if self.method == Method::Equal {
            self.take_from_equal_share(vm, number, request);
            return;
        }
        let mut sharing_replicas = self.sharing_replicas(number);
        sharing_replicas.sort_by_key(|sharer| {
            let replica = self.replica(*sharer);
            (
                Self::delay(vm, replica),
                (replica + vm) % self.replicas.len(),
            )
        });
        let now = self.at(self.now);
        let limit = self.limits[number];
        let until = token_cache::wait_until(now, now + CALLER_TIMEOUT);
        let cache = &mut self.vms[vm].cache;
        let decisions = cache.take(now, &name, &limit, until, || sharing_replicas, request);
        self.count_decisions(decisions);
        self.ask(vm);
        self.schedule_poll(vm);
    }

    fn take_from_equal_share(&mut self, vm: usize, number: usize, request: usize) {
        let share = LimitShare::of(&self.limits[number], &self.tolerance, self.vms.len());
        let draw = heatherring_lib::token_shard::Draw {
            team: team(number),
            waiting: 1,
            ahead: 0,
        };
        let now = self.at(self.now);
        let drawn = self.vms[vm].equal.draw(now, &share, &draw);
        let decision = if drawn.count == 1 {
            LimitDecision::Run
        } else {
            LimitDecision::OverLimit {
                retry_after: drawn.retry_after,
            }
        };
        self.count_decisions([(request, decision)]);
    }

    fn count_decisions(&mut self, decisions: impl IntoIterator<Item = (usize, LimitDecision)>) {
        for (request, decision) in decisions {
            let (team, asked_at) = self.requests[request];
            let counted = &mut self.counted[team];
            let held = self.now.saturating_sub(asked_at);
            if decision != LimitDecision::Run && held > Duration::from_millis(400) {
                counted.refused_late += 1;
            }
            match decision {
                LimitDecision::Run => {
                    let waited = self.now.saturating_sub(asked_at);
                    counted.run.push(self.now);
                    counted.waited += waited;
                    counted.longest_wait = counted.longest_wait.max(waited);
                }
                LimitDecision::OverLimit { .. } => counted.over += 1,
                LimitDecision::Unconfirmed { .. } => {
                    counted.unconfirmed += 1;
                    counted.unconfirmed_at_once += u32::from(held.is_zero());
                }
            }
        }
    }

    fn ask(&mut self, vm: usize) {
        let now = self.at(self.now);
        let expired = self.vms[vm].cache.expired(now);
        self.count_decisions(expired);
        let token_requests = self.vms[vm].cache.token_requests(now);
        let life = self.vms[vm].life;
        for token_request in token_requests {
            self.token_requests += 1;
            self.draws += u32::try_from(token_request.draws.len()).unwrap();
            let replica = self.replica(token_request.replica);
            let late = Event::Answered {
                vm,
                life,
                token_request: token_request.clone(),
                drawn: None,
            };
            if self.is_cut(vm, replica) {
                self.push(self.now + REPLY_TIMEOUT, late);
            } else {
                let delay = Self::delay(vm, replica);
                self.push(
                    self.now + delay,
                    Event::Asked {
                        vm,
                        life,
                        token_request,
                    },
                );
            }
        }
    }

    fn is_cut(&self, vm: usize, replica: usize) -> bool {
        self.vms[vm].cut_until > self.now || self.replicas[replica].cut_until > self.now
    }

    fn draw(&mut self, vm: usize, life: u64, token_request: TokenRequest) {
        let number = self.replica(token_request.replica);
        let now = self.at(self.now);
        let mut answers = Vec::new();
        for draw in &token_request.draws {
            let team = (0..self.limits.len())
                .find(|n| team(*n) == draw.team)
                .unwrap();
            let sharing_replicas = self.sharing_replicas(team);
            let share = LimitShare::of(&self.limits[team], &self.tolerance, sharing_replicas.len());
            let tokens = &mut self.replicas[number].shard;
            answers.push(tokens.draw(now, &share, draw));
        }
        let asked = token_request
            .asked_at
            .saturating_duration_since(self.origin);
        let (slow, is_lost) = self.draw_reply_fault();
        let delay = Self::delay(vm, number) + slow;
        // A reply after the time-out counts as none.
        let in_time = self.now + delay <= asked + REPLY_TIMEOUT;
        let (at, drawn) = if self.is_cut(vm, number) || is_lost || !in_time {
            (asked + REPLY_TIMEOUT, None)
        } else {
            (self.now + delay, Some(answers))
        };
        let at = at.max(self.now);
        self.push(
            at,
            Event::Answered {
                vm,
                life,
                token_request,
                drawn,
            },
        );
    }

    /// Returns the additional delay of a reply, and whether it is lost.
    fn draw_reply_fault(&mut self) -> (Duration, bool) {
        let Some(fault) = self.reply_fault.filter(|fault| fault.until > self.now) else {
            return (Duration::ZERO, false);
        };
        let (least, most) = fault.delay;
        let delay = least + most.saturating_sub(least).mul_f64(self.rng.random());
        (delay, self.rng.random_bool(fault.lost))
    }

    /// Returns the maximum number of a team's requests that ran in any window, minus the allowed
    /// number.
    pub fn excess(&self, number: usize) -> f64 {
        let limit = &self.limits[number];
        let tolerance = &self.tolerance;
        let window = tolerance.window.0;
        let allowed = (limit.rate * window.as_secs_f64() + limit.burst) * (1.0 + tolerance.over)
            + tolerance.slack;
        let mut run = self.counted[number].run.clone();
        run.sort_unstable();
        let mut most = 0;
        let mut first = 0;
        for (last, at) in run.iter().enumerate() {
            while run[first] + window <= *at {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        f64::from(u32::try_from(most).unwrap()) - allowed
    }
}
