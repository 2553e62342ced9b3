//! Backend servers that are healthy but closed to a request: their limits are used up, or they asked
//! this sender for a time without requests.

use std::time::Duration;
use std::time::Instant;

use crate::backend_limit;
use crate::backend_limit::tolerance;
use crate::direct_dispatch::Dispatcher;
use crate::dispatch_backend::Backend;
use crate::dispatch_request::DispatchRequest;
use crate::dispatch_request::Refused;
use crate::dispatch_request::RefusedReason;

/// Callers wait for at most this share of the time that they have left.
const HONOURED_SHARE: f64 = 1.0 / 3.0;

/// Backend servers that kept a request from being sent.
#[derive(Clone, Copy, Debug, Default)]
struct Closed {
    /// Requests that this sender may send to all of them once they are open, per second.
    own_rate: f64,
    /// Requests that all senders may send to them, per second.
    total_rate: f64,
    /// When the first of them accepts a request of this sender; `None` if that is not known.
    opens_at: Option<Instant>,
    /// Whether one of them asked for a time without requests.
    is_paused: bool,
}

impl Closed {
    fn add(&mut self, total_rate: f64, own_rate: f64, opens_at: Option<Instant>) {
        self.total_rate += total_rate;
        self.own_rate += own_rate;
        self.opens_at = match (self.opens_at, opens_at) {
            (Some(first), Some(at)) => Some(first.min(at)),
            (known, at) => known.or(at),
        };
    }
}

impl Dispatcher {
    /// Returns whether a backend server must not be sent a request now, although nothing is wrong
    /// with it.
    pub(crate) fn is_closed(&self, now: Instant, backend: &Backend) -> bool {
        !backend.pushback.admits(now) || self.is_over_limit(now, backend)
    }

    /// Refuses a request because all backend servers that it could be sent to are closed; `None` if
    /// that is not the reason. The delay before a retry grows with the number of refused requests
    /// that compete for what this sender may send, and is one that the caller can wait for.
    pub(crate) fn refuse_closed(
        &mut self,
        now: Instant,
        request: &DispatchRequest<'_>,
    ) -> Option<Refused> {
        let closed = self.closed(now, request)?;
        let service = self.services.get_mut(request.service)?;
        service.refused_closed.note(now);
        let refused = service.refused_closed.per_second(now);
        let wait = closed.opens_at.map_or_else(
            || Duration::try_from_secs_f64(1.0 / closed.total_rate).unwrap_or(Duration::MAX),
            |at| at.saturating_duration_since(now),
        );
        #[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
        let even_rate = closed.total_rate / self.senders.len().max(1) as f64;
        let competitors = refused / closed.own_rate.max(even_rate);
        let (reason, retry_after) = if closed.is_paused {
            let left = request.deadline.saturating_duration_since(now);
            let longest = left.mul_f64(HONOURED_SHARE);
            let retry_after = self.advice.within(longest, wait, competitors);
            (RefusedReason::Paused, retry_after)
        } else {
            let retry_after = self.advice.after(wait, competitors, 1.0);
            (RefusedReason::Limited, retry_after)
        };
        Some(Refused {
            reason,
            retry_after,
            considered: 0,
            shortest_wait: None,
        })
    }

    fn closed(&self, now: Instant, request: &DispatchRequest<'_>) -> Option<Closed> {
        let service = self.services.get(request.service)?;
        let mut closed: Option<Closed> = None;
        for key in &service.backends {
            let backend = &self.backends[*key];
            let is_candidate = backend.usable && request.allows(&backend.region);
            if !is_candidate || !self.is_closed(now, backend) {
                continue;
            }
            let closed = closed.get_or_insert_default();
            if !backend.pushback.admits(now) {
                closed.is_paused = true;
                let total = f64::from(backend.record.slots.max(1)) / service.latency.mean();
                closed.add(total, 0.0, backend.pushback.until());
            } else if let Some(rate) = backend.limit.rate() {
                let total = rate.per_second().max(backend_limit::MIN_RATE);
                let interval = self.limit_interval(now, backend);
                let own = interval.map_or(0.0, |interval| 1.0 / interval.as_secs_f64());
                let opens_at = interval.map(|interval| {
                    let gate = &backend.gate;
                    gate.opens_at(now, interval, tolerance(interval))
                });
                closed.add(total, own, opens_at);
            }
        }
        closed
    }
}
