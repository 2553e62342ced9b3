//! Simulation of entry VMs that dispatch to backend servers of which some declare a rate limit.

#![allow(dead_code)]

use std::num::NonZeroU64;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::backend_statement::BackendStatement;
use heatherring_lib::backend_statement::ReceivedStatement;
use heatherring_lib::direct_dispatch::Dispatcher;
use heatherring_lib::dispatch_request::Choice;
use heatherring_lib::dispatch_request::Refused;
use heatherring_lib::dispatch_request::SendEnd;
use heatherring_lib::dispatch_request::SendOutcome;
use heatherring_lib::id::BackendName;
use heatherring_lib::rate_limit::LimitNotice;
use heatherring_lib::rate_limit::LimitStatement;
use heatherring_lib::rate_limit::RequestRate;
use heatherring_lib::statement_board::StatementBoard;

use crate::dispatch_model::Scenario;
use crate::dispatch_model::config;
use crate::dispatch_model::dispatcher;
use crate::dispatch_model::request;
use crate::dispatch_model::route;
use crate::dispatch_model::server_name;
use crate::dispatch_model::service;
use crate::dispatch_model::view;

/// Window in which the requests to a limited backend server are counted.
pub const WINDOW: Duration = Duration::from_secs(4);

pub fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).unwrap()
}

pub fn statement(per_second: Option<f64>, age_ms: u32, born: u64) -> LimitStatement {
    LimitStatement {
        backend: server_name(0, 0),
        born,
        rate: per_second.map(rate),
        age_ms,
        limited_ms: per_second.map_or(0, |_| age_ms),
    }
}

pub fn board() -> StatementBoard {
    StatementBoard::starting_at(NonZeroU64::MIN)
}

/// Entry VMs, and backend servers of which some declare a limit.
pub struct Fleet {
    origin: Instant,
    pub now: Instant,
    pub senders: Vec<Dispatcher>,
    running: Vec<(usize, Instant, SendEnd)>,
    /// Limits by the number of the backend server in region 0.
    pub limits: Vec<Option<RequestRate>>,
    pub arrivals: Vec<(BackendName, Instant)>,
    requests: u32,
}

pub const STEP: Duration = Duration::from_millis(5);
pub const RUN: Duration = Duration::from_millis(80);

impl Fleet {
    pub fn new(entries: usize, limits: Vec<Option<f64>>) -> Self {
        let scenario = Scenario {
            servers: vec![limits.len()],
            entries,
            ..Scenario::look_up()
        };
        let now = Instant::now();
        let view = view(&scenario);
        let dispatcher = |number: usize| dispatcher(&scenario, &view, number, now);
        Self {
            origin: now,
            now,
            senders: (0..entries).map(dispatcher).collect(),
            running: Vec::new(),
            limits: limits.into_iter().map(|limit| limit.map(rate)).collect(),
            arrivals: Vec::new(),
            requests: 0,
        }
    }

    /// Replaces a sender by one that knows what control passes on.
    pub fn restart(&mut self, number: usize, statements: &[LimitStatement]) {
        let scenario = Scenario {
            servers: vec![self.limits.len()],
            entries: self.senders.len(),
            ..Scenario::look_up()
        };
        let mut restarted = Dispatcher::new(config(number, 0, 1), self.now);
        restarted.apply_limits(self.now, statements);
        restarted.apply_view(self.now, &view(&scenario));
        self.senders[number] = restarted;
        self.running.retain(|(sender, ..)| *sender != number);
    }

    pub fn choose(&mut self, sender: usize, object: u32) -> Result<Choice, Refused> {
        let (service, route) = (service(), route());
        let request = request(self.now, &service, &route, &object.to_string());
        self.senders[sender].choose(self.now, &request)
    }

    pub fn end(
        &mut self,
        sender: usize,
        choice: &Choice,
        outcome: SendOutcome,
        notice: LimitNotice,
    ) {
        let end = SendEnd {
            statement: Some(self.limit_statement(notice)),
            ..SendEnd::new(choice, outcome)
        };
        self.senders[sender].ended(self.now, &end);
    }

    fn limit_statement(&self, limit: LimitNotice) -> ReceivedStatement {
        ReceivedStatement {
            statement: BackendStatement {
                limit,
                ..BackendStatement::default()
            },
            at: self.now,
        }
    }

    fn notice(&self, backend: &BackendName) -> LimitNotice {
        let number = (0..self.limits.len()).find(|number| server_name(0, *number) == *backend);
        let limit = number.and_then(|number| self.limits[number]);
        limit.map_or(LimitNotice::Absent, LimitNotice::Limited)
    }

    /// Runs for `length`, with `per_second` requests a second over all senders; returns how many
    /// are refused.
    pub fn run(&mut self, length: Duration, per_second: u32) -> u32 {
        let end = self.now + length;
        let begun = self.now;
        let (mut sent, mut refused) = (0, 0);
        while self.now < end {
            self.now += STEP;
            for sender in &mut self.senders {
                sender.note_control_contact(self.now);
            }
            for (sender, due, mut end) in std::mem::take(&mut self.running) {
                if due > self.now {
                    self.running.push((sender, due, end));
                } else {
                    end.statement = end.statement.map(|received| ReceivedStatement {
                        at: self.now,
                        ..received
                    });
                    self.senders[sender].ended(self.now, &end);
                }
            }
            let due = (self.now - begun).as_secs_f64() * f64::from(per_second);
            while f64::from(sent) < due {
                sent += 1;
                self.requests += 1;
                let sender = self.requests as usize % self.senders.len();
                match self.choose(sender, self.requests * 7 % 24) {
                    Ok(choice) => self.begin(sender, &choice),
                    Err(_) => refused += 1,
                }
            }
        }
        refused
    }

    fn begin(&mut self, sender: usize, choice: &Choice) {
        let end = SendEnd {
            statement: Some(self.limit_statement(self.notice(&choice.name))),
            ..SendEnd::new(choice, SendOutcome::Answered)
        };
        self.running.push((sender, self.now + RUN, end));
        self.arrivals.push((choice.name.clone(), self.now));
    }

    /// Returns the largest number of arrivals at a backend server in any window from `from` on.
    pub fn most_in_window(&self, number: usize, from: Instant) -> f64 {
        let name = server_name(0, number);
        let arrivals = self.arrivals.iter().filter(|(to, _)| *to == name);
        let arrivals: Vec<Instant> = arrivals
            .map(|(_, at)| *at)
            .filter(|at| *at >= from)
            .collect();
        let within = |begin: &Instant| {
            let within = arrivals
                .iter()
                .filter(|at| *at >= begin && **at < *begin + WINDOW);
            u32::try_from(within.count()).unwrap()
        };
        f64::from(arrivals.iter().map(within).max().unwrap_or(0))
    }

    pub fn since(&self, passed: Duration) -> Instant {
        self.origin + passed
    }
}
