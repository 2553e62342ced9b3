//! What backend servers state in their answers, within a dispatcher.
//!
//! What keeps requests away from a backend server applies from the arrival of the head of the
//! answer. The load and the rate limit depend on how the request ends, and apply from then on.

use std::time::Duration;
use std::time::Instant;

use crate::affinity::ObjectHash;
use crate::backend_load::InFlight;
use crate::backend_statement::LeavingNotice;
use crate::backend_statement::ReceivedStatement;
use crate::backend_statement::StatementEvent;
use crate::backend_statement::StatementSource;
use crate::direct_dispatch::Dispatcher;
use crate::dispatch_request::BackendKey;
use crate::dispatch_request::SendEnd;
use crate::pushback::PushbackNotice;

impl Dispatcher {
    /// Applies what the head of an answer of a backend server states.
    pub fn note_statement(&mut self, now: Instant, key: BackendKey, received: &ReceivedStatement) {
        let Some(backend) = self.backends.get_mut(key) else {
            return;
        };
        let statement = &received.statement;
        for kind in statement.unreadable() {
            if backend.unreadable.insert(kind) {
                let backend = backend.name.clone();
                let event = StatementEvent::Unreadable { backend, kind };
                self.statement_events.push(event);
            }
        }
        if let PushbackNotice::For(asked) = statement.pushback {
            self.pause(now, key, received.at, asked);
        }
        let Some(backend) = self.backends.get_mut(key) else {
            return;
        };
        if statement.leaving == LeavingNotice::Leaving && !backend.leaving {
            backend.leaving = true;
            self.statement_events.push(StatementEvent::Leaving {
                backend: backend.name.clone(),
                source: StatementSource::Answer,
            });
        }
    }

    fn pause(&mut self, now: Instant, key: BackendKey, at: Instant, asked: Duration) {
        let until = at + asked + self.trial_delay(key, asked);
        let backend = &mut self.backends[key];
        self.holds_changed = true;
        if backend.pushback.pause(now, until) {
            let backend = backend.name.clone();
            let event = StatementEvent::Paused { backend, asked };
            self.statement_events.push(event);
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
