//! A single entry VM that dispatches requests one at a time.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::backend_statement::BackendStatement;
use heatherring_lib::backend_statement::ReceivedStatement;
use heatherring_lib::direct_dispatch::Dispatcher;
use heatherring_lib::dispatch_request::Choice;
use heatherring_lib::dispatch_request::DispatchRequest;
use heatherring_lib::dispatch_request::Refused;
use heatherring_lib::dispatch_request::SendEnd;
use heatherring_lib::dispatch_request::SendOutcome;
use heatherring_lib::planned_stop::PlannedStop;
use heatherring_lib::pushback::PushbackNotice;

use super::Scenario;
use super::config;
use super::request;
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
        let cfg = config(0, own, scenario.servers.len());
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
        for (name, mut record) in view.backends.clone() {
            Arc::make_mut(&mut record).born = born;
            view.backends.insert(name, record);
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
            latency_objective: Scenario::look_up().objective,
            deadline: self.now + Duration::from_secs(10),
            objective: self.now + Duration::from_secs(10),
            answers_until: self.answers_until,
            ..request(self.now, &service, &route, object)
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

    /// Reports that the backend server refused a request and asked for a time without requests.
    pub fn refuse(&mut self, choice: &Choice, asked: Duration) {
        let received = ReceivedStatement {
            statement: BackendStatement {
                pushback: PushbackNotice::For(asked),
                ..BackendStatement::default()
            },
            at: self.now,
        };
        self.dispatcher
            .note_statement(self.now, choice.backend, &received);
        let end = SendEnd {
            statement: Some(received),
            ..SendEnd::new(choice, SendOutcome::Shed)
        };
        self.dispatcher.ended(self.now, &end);
    }
}
