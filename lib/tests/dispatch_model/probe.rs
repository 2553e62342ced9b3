//! A single entry VM that dispatches requests one at a time.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::affinity::ObjectHash;
use heatherring_lib::direct_dispatch::DispatchConfig;
use heatherring_lib::direct_dispatch::Dispatcher;
use heatherring_lib::dispatch_policy::DispatchPolicy;
use heatherring_lib::dispatch_request::Choice;
use heatherring_lib::dispatch_request::DispatchRequest;
use heatherring_lib::dispatch_request::Refused;
use heatherring_lib::dispatch_request::SendEnd;
use heatherring_lib::dispatch_request::SendOutcome;
use heatherring_lib::id::VmName;
use heatherring_lib::planned_stop::PlannedStop;
use heatherring_lib::request_rank::RequestRank;

use super::Scenario;
use super::place;
use super::region;
use super::route;
use super::service;
use super::view;

/// Drives one dispatcher request by request.
pub struct Probe {
    dispatcher: Dispatcher,
    now: Instant,
    answers_until: Option<Instant>,
}

impl Probe {
    pub fn new() -> Self {
        Self::in_region(0)
    }

    pub fn in_region(own: usize) -> Self {
        let scenario = Scenario::look_up();
        let places = (0..scenario.servers.len())
            .map(|index| (place(index), region(index)))
            .collect();
        let cfg = DispatchConfig {
            vm: VmName::new("entry-0"),
            region: region(own),
            places,
            resend_ratio: 0.2,
            resend_slack: 60.0,
            policy: DispatchPolicy::default(),
        };
        let now = Instant::now();
        let mut dispatcher = Dispatcher::new(cfg, now);
        dispatcher.apply_view(now, &view(&scenario));
        Self {
            dispatcher,
            now,
            answers_until: None,
        }
    }

    pub fn advance(&mut self, time: Duration) {
        self.now += time;
        self.dispatcher.note_control_contact(self.now);
    }

    /// Makes the entry VM stop.
    pub fn stop(&mut self, stop: impl FnOnce(Instant) -> PlannedStop) {
        self.answers_until = Some(stop(self.now).answers_until());
    }

    /// Restarts all backend servers under the same names.
    pub fn restart_backends(&mut self, born: u64) {
        let mut view = view(&Scenario::look_up());
        for record in view.backends.values_mut() {
            Arc::make_mut(record).born = born;
        }
        self.dispatcher.apply_view(self.now, &view);
    }

    pub fn choose(&mut self, object: &str) -> Choice {
        self.try_choose(object).unwrap()
    }

    pub fn try_choose(&mut self, object: &str) -> Option<Choice> {
        self.choose_or_refuse(object).ok()
    }

    pub fn choose_or_refuse(&mut self, object: &str) -> Result<Choice, Refused> {
        let service = service();
        let route = route();
        let request = DispatchRequest {
            service: &service,
            route: &route,
            latency_objective: Scenario::look_up().objective,
            object: Some(ObjectHash::of("route", object)),
            rank: RequestRank {
                team: None,
                route: 0,
            },
            deadline: self.now + Duration::from_secs(10),
            objective: self.now + Duration::from_secs(10),
            answers_until: self.answers_until,
            homes: &[],
            tried: &[],
            resend: false,
        };
        self.dispatcher.choose(self.now, &request)
    }

    /// Reports that it took `took` to establish the connection for a choice.
    pub fn connected(&mut self, choice: &Choice, took: Duration) {
        self.dispatcher.note_connected(choice.backend, took);
    }

    pub fn end(&mut self, choice: &Choice, outcome: SendOutcome) {
        let end = SendEnd::new(choice, outcome);
        self.dispatcher.ended(self.now, &end);
    }
}
