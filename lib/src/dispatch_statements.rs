//! What backend servers state in their answers, within a dispatcher.
//!
//! What keeps requests away from a backend server applies from the arrival of the head of the
//! answer. The load and the rate limit depend on how the request ends, and apply from then on.

use std::time::Duration;
use std::time::Instant;

use crate::affinity::ObjectHash;
use crate::backend_load::InFlight;
use crate::backend_load::LoadReport;
use crate::backend_statement::LeavingNotice;
use crate::backend_statement::LeavingStatement;
use crate::backend_statement::ReceivedStatement;
use crate::backend_statement::StatementEvent;
use crate::backend_statement::StatementSource;
use crate::direct_dispatch::Dispatcher;
use crate::dispatch_request::BackendKey;
use crate::dispatch_request::SendEnd;
use crate::id::BackendName;
use crate::pushback::PushbackNotice;

impl Dispatcher {
    /// Applies what the head of an answer of a backend server states.
    pub fn note_statement(&mut self, now: Instant, key: BackendKey, received: &ReceivedStatement) {
        let Some(backend) = self.backends.get_mut(key) else {
            return;
        };
        let statement = &received.statement;
        let unreadable = statement.unreadable_events(&backend.name, &mut backend.unreadable);
        self.statement_events.extend(unreadable);
        if let PushbackNotice::For(asked) = statement.pushback {
            self.pause(now, key, received.at, asked);
        }
        if statement.leaving == LeavingNotice::Leaving {
            self.note_leaving(key, StatementSource::Answer);
        }
    }

    /// Stops using a backend server until its process has been replaced.
    fn note_leaving(&mut self, key: BackendKey, source: StatementSource) {
        let Some(backend) = self.backends.get_mut(key) else {
            return;
        };
        backend.leaving_shared |= source == StatementSource::Control;
        if backend.leaving.is_some() {
            return;
        }
        backend.leaving = Some(source);
        backend.usable = false;
        self.holds_changed = true;
        self.reports_due |= !backend.leaving_shared;
        self.statement_events.push(StatementEvent::Leaving {
            backend: backend.name.clone(),
            source,
        });
    }

    /// Applies what control passed on about backend servers that are leaving. It replaces what was
    /// passed on before; a process that is no longer listed is still leaving.
    pub fn apply_leaving(&mut self, statements: &[LeavingStatement]) {
        let shared = statements.iter();
        self.shared_leaving = shared
            .map(|statement| (statement.backend.clone(), statement.born))
            .collect();
        for statement in statements {
            self.apply_shared_leaving(&statement.backend);
        }
    }

    /// Applies what control passed on about a backend server, if it is leaving.
    pub(crate) fn apply_shared_leaving(&mut self, name: &BackendName) {
        let (Some(born), Some(key)) = (self.shared_leaving.get(name), self.key(name)) else {
            return;
        };
        if self.backends[key].record.born == *born {
            self.note_leaving(key, StatementSource::Control);
        }
    }

    /// Returns the backend servers that stated to this entry VM that they are leaving, and that
    /// control has to be told: those that it does not know, or `all`.
    #[must_use]
    pub fn leaving_statements(&self, all: bool) -> Vec<LeavingStatement> {
        let leaving = self.backends.values().filter(|backend| {
            let stated = backend.leaving == Some(StatementSource::Answer);
            stated && (all || !backend.leaving_shared)
        });
        leaving
            .map(|backend| LeavingStatement {
                backend: backend.name.clone(),
                born: backend.record.born,
            })
            .collect()
    }

    /// Records that control has been told that these backend servers are leaving.
    pub fn note_leaving_reported(&mut self, statements: &[LeavingStatement]) {
        for statement in statements {
            if let Some(key) = self.key(&statement.backend) {
                self.backends[key].leaving_shared = true;
            }
        }
    }

    /// Returns whether control has to be told something that it did not have to be at the last call.
    pub const fn take_reports_due(&mut self) -> bool {
        std::mem::replace(&mut self.reports_due, false)
    }

    fn pause(&mut self, now: Instant, key: BackendKey, at: Instant, asked: Duration) {
        let until = at + asked + self.trial_delay(key, asked);
        let backend = &mut self.backends[key];
        let before = backend.pushback.until();
        let begins = backend.pushback.pause(now, until);
        self.holds_changed |= backend.pushback.until() != before;
        if begins {
            let backend = backend.name.clone();
            let event = StatementEvent::Paused { backend, asked };
            self.statement_events.push(event);
        }
    }

    /// Records a refusal that asked for no time. A backend server that is full, or may be running an
    /// earlier request of this sender, is not at fault.
    pub(crate) fn note_refusal(
        &mut self,
        now: Instant,
        key: BackendKey,
        send: &InFlight,
        load: Option<LoadReport>,
    ) {
        let backend = &mut self.backends[key];
        let is_full = load.is_some_and(|load| !load.has_room());
        if is_full || backend.load.has_earlier_than(send.sent_at) {
            return;
        }
        if backend.pushback.note_refusal(now) {
            self.statement_events.push(StatementEvent::Refusing {
                backend: backend.name.clone(),
            });
        }
    }

    /// Returns how long after a pause this sender sends the first request. A backend server that
    /// refuses all senders at about the same time would otherwise be sent a request by each of them
    /// at about the same time.
    fn trial_delay(&self, key: BackendKey, asked: Duration) -> Duration {
        let backend = &self.backends[key];
        let Some(service) = self.services.get(&backend.record.service) else {
            return Duration::ZERO;
        };
        let slots = f64::from(backend.record.slots.max(1));
        let senders = u32::try_from(self.senders.len()).unwrap_or(u32::MAX);
        let spread = f64::from(senders) * service.latency.mean() / slots;
        let spread = Duration::try_from_secs_f64(spread).unwrap_or(asked);
        let phase = ObjectHash::of("pushback", backend.name.as_str()).phase(self.own.vm);
        spread.min(asked).mul_f64(phase)
    }

    /// Records how a request ended, if it was a trial after a pause.
    pub(crate) fn note_trial_ended(&mut self, now: Instant, end: &SendEnd, send: &InFlight) {
        let Some(number) = send.trial else { return };
        let backend = &mut self.backends[end.backend];
        let slots = backend.record.slots;
        let ended = backend
            .pushback
            .note_trial_ended(now, number, end.outcome, slots);
        if let Some(ended) = ended {
            self.statement_events.push(StatementEvent::Resumed {
                backend: backend.name.clone(),
                paused: ended.length,
                passed_over: ended.passed_over,
            });
        }
    }

    /// Returns what has to be logged of the statements since the last call.
    pub fn take_statement_events(&mut self) -> Vec<StatementEvent> {
        std::mem::take(&mut self.statement_events)
    }
}
