//! Rate limits of backend servers within a dispatcher.

use std::time::Instant;

use crate::backend_limit::LimitChange;
use crate::backend_limit::LimitEvent;
use crate::backend_limit::LimitSource;
use crate::direct_dispatch::Dispatcher;
use crate::dispatch_request::BackendKey;
use crate::dispatch_request::SendEnd;
use crate::dispatch_request::SendOutcome;
use crate::rate_limit::LimitNotice;
use crate::rate_limit::RequestRate;

impl Dispatcher {
    /// Applies what an answer states about the limit of its backend server.
    pub(crate) fn note_limit(&mut self, now: Instant, end: &SendEnd, sent_at: Instant) {
        let Some(report) = end.limit else { return };
        let Some(backend) = self.backends.get_mut(end.backend) else {
            return;
        };
        if report.notice == LimitNotice::Unreadable && backend.limit.note_unreadable() {
            let event = LimitEvent::Unreadable(backend.name.clone());
            self.limit_events.push(event);
        }
        let may_lift = end.outcome == SendOutcome::Answered;
        if let Some(before) = backend.limit.note_answer(sent_at, report, may_lift) {
            self.limit_changed(now, end.backend, before, LimitSource::Answer);
        }
    }

    fn limit_changed(
        &mut self,
        now: Instant,
        key: BackendKey,
        before: Option<RequestRate>,
        source: LimitSource,
    ) {
        let backend = &self.backends[key];
        let at = backend.limit.latest().map_or(now, |statement| statement.at);
        self.limit_events.push(LimitEvent::Changed(LimitChange {
            backend: backend.name.clone(),
            rate: backend.limit.rate(),
            before,
            source,
            age: now.saturating_duration_since(at),
        }));
    }

    /// Returns the changes of limits since the last call.
    pub fn take_limit_events(&mut self) -> Vec<LimitEvent> {
        std::mem::take(&mut self.limit_events)
    }
}
