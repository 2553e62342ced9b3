//! Log lines and counters on what backend servers state about themselves.

use heatherring_lib::backend_limit::LimitChange;
use heatherring_lib::backend_statement::StatementEvent;
use heatherring_lib::duration_text::whole_ms;
use heatherring_lib::rate_limit::RequestRate;

use crate::metric;

/// Logs and counts an event.
pub(crate) fn log(event: &StatementEvent) {
    match event {
        StatementEvent::Limit(change) => log_limit(change),
        StatementEvent::Paused { backend, asked } => {
            metric::backend_paused();
            log::info!(event = "backend_pushback", backend = backend.as_str(), asked_ms = whole_ms(*asked); "a backend server asks this entry VM to send nothing for a time");
        }
        StatementEvent::Refusing { backend } => {
            metric::backend_refusing();
            log::info!(event = "backend_refusing", backend = backend.as_str(); "a backend server refuses all requests of this entry VM; others are preferred until it runs some");
        }
        StatementEvent::Resumed {
            backend,
            paused,
            passed_over,
        } => {
            log::info!(event = "backend_resumed", backend = backend.as_str(), paused_ms = whole_ms(*paused), passed_over = *passed_over; "a backend server that was paused is sent all of its requests again");
        }
        StatementEvent::Leaving { backend, source } => {
            metric::backend_leaving(source.name());
            log::info!(event = "backend_leaving", backend = backend.as_str(), source = source.name(); "a backend server is leaving");
        }
        StatementEvent::Unreadable { backend, kind } => {
            metric::statement_unreadable(kind.name());
            log::warn!(event = "backend_statement_unreadable", backend = backend.as_str(), kind = kind.name(); "a statement of a backend server cannot be read; it is ignored");
        }
    }
}

fn log_limit(change: &LimitChange) {
    let LimitChange { rate, before, .. } = change;
    let text = |rate: &Option<RequestRate>| rate.map_or("none".to_owned(), |rate| rate.to_string());
    let (limit, before) = (text(rate), text(before));
    metric::backend_limit(rate.is_some());
    log::info!(event = "backend_limit", backend = change.backend.as_str(), limit = limit.as_str(), before = before.as_str(), source = change.source.name(), age_ms = whole_ms(change.age), interval_ms = change.interval.map(whole_ms); "the rate limit of a backend server changed");
}
