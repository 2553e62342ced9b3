//! What backend servers state in their answers, within a dispatcher.
//!
//! What keeps requests away from a backend server applies from the arrival of the head of the
//! answer. The load and the rate limit depend on how the request ends, and apply from then on.

use std::time::Instant;

use crate::backend_statement::LeavingNotice;
use crate::backend_statement::ReceivedStatement;
use crate::backend_statement::StatementEvent;
use crate::backend_statement::StatementSource;
use crate::direct_dispatch::Dispatcher;
use crate::dispatch_request::BackendKey;
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
        if let PushbackNotice::For(asked) = statement.pushback
            && backend.pushback.note(now, received.at, asked)
        {
            let backend = backend.name.clone();
            let event = StatementEvent::Paused { backend, asked };
            self.statement_events.push(event);
        }
        if statement.leaving == LeavingNotice::Leaving && !backend.leaving {
            backend.leaving = true;
            self.statement_events.push(StatementEvent::Leaving {
                backend: backend.name.clone(),
                source: StatementSource::Answer,
            });
        }
    }

    /// Returns what has to be logged of the statements since the last call.
    pub fn take_statement_events(&mut self) -> Vec<StatementEvent> {
        std::mem::take(&mut self.statement_events)
    }
}
