//! Rate limits of backend servers within a dispatcher.
//!
//! A backend server that declares a limit is healthy and has data cached, but accepts few requests.
//! A request beyond this sender's share goes to the next backend server in the ranking of its
//! object, or is refused if all are limited.

use std::time::Duration;
use std::time::Instant;

use crate::affinity::ObjectHash;
use crate::backend_limit;
use crate::backend_limit::tolerance;
use crate::backend_statement::StatementEvent;
use crate::direct_dispatch::Dispatcher;
use crate::dispatch_backend::Backend;
use crate::dispatch_request::BackendKey;
use crate::dispatch_request::SendEnd;
use crate::dispatch_request::SendOutcome;
use crate::id::BackendName;
use crate::rate_limit::LimitObservation;
use crate::rate_limit::LimitStatement;
use crate::rate_limit::RequestRate;

impl Dispatcher {
    /// Returns the minimum interval between two requests to a backend server with a limit; `None`
    /// without a limit or a share of it.
    pub(crate) fn limit_interval(&self, now: Instant, backend: &Backend) -> Option<Duration> {
        let rate = backend.limit.rate()?;
        let age = now.saturating_duration_since(backend.limit.since(now));
        let region = backend.region_hash;
        backend_limit::interval(&backend.name, region, self.own, &self.senders, rate, age)
    }

    /// Returns whether a request to a backend server would exceed this sender's share of its limit.
    pub(crate) fn is_over_limit(&self, now: Instant, backend: &Backend) -> bool {
        if backend.limit.rate().is_none() {
            return false;
        }
        let interval = self.limit_interval(now, backend);
        !interval.is_some_and(|interval| backend.gate.is_open(now, interval, tolerance(interval)))
    }

    /// Applies what an answer states about the limit of its backend server.
    pub(crate) fn note_limit(&mut self, now: Instant, end: &SendEnd, sent_at: Instant) {
        let Some(received) = end.statement else {
            return;
        };
        let Some(backend) = self.backends.get_mut(end.backend) else {
            return;
        };
        let notice = received.statement.limit;
        let may_lift = end.outcome == SendOutcome::Answered;
        let before = backend.limit.rate();
        let is_changed = backend
            .limit
            .note_answer(sent_at, received.at, notice, may_lift);
        self.reports_due |= backend.limit.to_report(false).is_some();
        if is_changed {
            self.limit_changed(now, end.backend, before);
        }
    }

    fn limit_changed(&mut self, now: Instant, key: BackendKey, before: Option<RequestRate>) {
        let interval = self.limit_interval(now, &self.backends[key]);
        let own = self.own.vm;
        let backend = &mut self.backends[key];
        if let Some(interval) = interval.filter(|_| before.is_none()) {
            // All senders learn of the limit at about the same time.
            let phase = ObjectHash::of("limit", backend.name.as_str()).phase(own);
            backend
                .gate
                .hold_until(now + interval.mul_f64(phase), interval);
        }
        let change = backend
            .limit
            .take_change(now, &backend.name, before, interval);
        self.statement_events
            .extend(change.map(StatementEvent::Limit));
    }

    /// Applies the limits that control passed on. They replace those passed on before; a limit that
    /// is no longer listed stays in force.
    pub fn apply_limits(&mut self, now: Instant, statements: &[LimitStatement]) {
        let shared = statements.iter().map(|statement| {
            let observed = LimitObservation::of(now, statement);
            (statement.backend.clone(), observed)
        });
        self.shared_limits = shared.collect();
        for statement in statements {
            self.apply_shared_limit(now, &statement.backend);
        }
    }

    /// Applies what control passed on about the limit of a backend server, if anything.
    pub(crate) fn apply_shared_limit(&mut self, now: Instant, name: &BackendName) {
        let (Some(shared), Some(key)) = (self.shared_limits.get(name), self.key(name)) else {
            return;
        };
        let backend = &mut self.backends[key];
        if backend.record.born != shared.born {
            return;
        }
        let before = backend.limit.rate();
        let is_changed = backend.limit.note_shared(shared);
        self.reports_due |= backend.limit.to_report(false).is_some();
        if is_changed {
            self.limit_changed(now, key, before);
        }
    }

    /// Returns the limits that backend servers declared to this entry VM and control has to be
    /// told: those that changed, or `all`.
    #[must_use]
    pub fn limit_statements(&self, now: Instant, all: bool) -> Vec<LimitStatement> {
        let statement = |backend: &Backend| {
            let latest = backend.limit.to_report(all)?;
            let observed = LimitObservation {
                born: backend.record.born,
                rate: latest.rate,
                at: latest.at,
                since: backend.limit.since(now),
            };
            Some(observed.statement(now, backend.name.clone()))
        };
        self.backends.values().filter_map(statement).collect()
    }

    /// Records that control has been told these limits.
    pub fn note_limits_reported(&mut self, statements: &[LimitStatement]) {
        for statement in statements {
            if let Some(key) = self.key(&statement.backend) {
                self.backends[key].limit.note_reported(statement.rate);
            }
        }
    }
}
