//! What log lines tell about one request: the decisions on it, what was going on round them,
//! and the likely cause of its fate.

use std::time::Duration;

use jiff::Timestamp;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::probable_cause;

/// Time before a decision from which changes are shown: heartbeats that stop are noticed
/// after some seconds, and backend servers stay cold for as long.
const CONTEXT_BEFORE: Duration = Duration::from_secs(10);

/// Time after it: clocks of VMs differ, and a loss is logged once it is noticed.
const CONTEXT_AFTER: Duration = Duration::from_secs(2);

/// Changes that concern all requests, whichever process logged them.
const COMMON_EVENTS: [&str; 7] = [
    "entry_behind",
    "routes_change",
    "routes_change_open",
    "evacuation",
    "backends_forgotten",
    "entry_forgotten",
    "role_changed",
];

/// Changes that concern the requests of the process that logged them.
const OWN_EVENTS: [&str; 12] = [
    "entry_started",
    "entry_leaving",
    "entry_stop_late",
    "control_lost",
    "control_regained",
    "view_applied",
    "presence_applied",
    "replica_followed",
    "backend_cold",
    "settings_reloaded",
    "settings_refused",
    "log_dropped",
];

/// Holds one log line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LogLine {
    /// Where it was read, or the process that wrote it if the line says so.
    pub source: String,
    /// When it was written, by the clock of the VM that wrote it.
    pub at: Timestamp,
    /// What happened, in one word.
    pub event: String,
    /// What happened, in words.
    pub message: String,
    /// What decided it, and the outcome.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line. What stands before the JSON object, such as the name that a collector
    /// puts there, is taken as the source; nothing if there is no line of heatherring.
    #[must_use]
    pub fn read(file: &str, text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let (before, object) = text.split_at(start);
        let mut object: Map<String, Value> = serde_json::from_str(object.trim_end()).ok()?;
        let at = object.get("timestamp")?.as_str()?.parse().ok()?;
        let message = object.get("message")?.as_str()?.to_owned();
        let Some(Value::Object(mut fields)) = object.remove("kvs") else {
            return None;
        };
        let Some(Value::String(event)) = fields.remove("event") else {
            return None;
        };
        let source = before.split_whitespace().last().unwrap_or(file);
        Some(Self {
            source: source.to_owned(),
            at,
            event,
            message,
            fields,
        })
    }

    /// Returns a field that is text; empty if there is none.
    #[must_use]
    pub fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or("")
    }

    /// Returns a field that is a whole number; 0 if there is none.
    #[must_use]
    pub fn number(&self, field: &str) -> u64 {
        self.fields
            .get(field)
            .and_then(Value::as_u64)
            .unwrap_or_default()
    }
}

/// Holds what is known of one request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RequestDiagnosis {
    /// The request.
    pub request_id: String,
    /// The decisions on it, in order.
    pub decisions: Vec<LogLine>,
    /// What changed round them, in order.
    pub changes: Vec<LogLine>,
    /// What the decisions say, and the likely cause.
    pub cause: Vec<String>,
}

impl RequestDiagnosis {
    /// Finds what `lines` tell of a request; nothing if no line is on it.
    #[must_use]
    pub fn of(request_id: &str, lines: &[LogLine]) -> Option<Self> {
        let is_on = |line: &&LogLine| line.text("request_id") == request_id;
        let mut decisions: Vec<LogLine> = lines.iter().filter(is_on).cloned().collect();
        decisions.sort_by_key(|line| line.at);
        let last = decisions.last()?;
        let mut changes: Vec<LogLine> = lines
            .iter()
            .filter(|line| is_change(line, last))
            .cloned()
            .collect();
        changes.sort_by_key(|line| line.at);
        let changes = without_repeats(changes);
        let cause = probable_cause::of(last, &changes);
        Some(Self {
            request_id: request_id.to_owned(),
            decisions,
            changes,
            cause,
        })
    }
}

/// Returns whether a line may have to do with the request that `decision` is on.
fn is_change(line: &LogLine, decision: &LogLine) -> bool {
    let held = Duration::from_millis(decision.number("held_ms"));
    let since = decision.at.duration_since(line.at);
    let near = since <= jiff::SignedDuration::try_from(CONTEXT_BEFORE + held).unwrap_or_default()
        && since >= -jiff::SignedDuration::try_from(CONTEXT_AFTER).unwrap_or_default();
    if !near {
        return false;
    }
    let event = line.event.as_str();
    let backend = line.text("backend");
    let is_own = line.source == decision.source && OWN_EVENTS.contains(&event);
    let on_backend = !backend.is_empty() && decision.text("sends").contains(backend);
    is_own || on_backend || COMMON_EVENTS.contains(&event)
}

/// Keeps the last of several views or verdicts on presence in a row.
fn without_repeats(changes: Vec<LogLine>) -> Vec<LogLine> {
    let mut kept: Vec<LogLine> = Vec::new();
    for line in changes {
        let repeats = ["view_applied", "presence_applied"].contains(&line.event.as_str());
        if repeats {
            kept.retain(|earlier| earlier.event != line.event);
        }
        kept.push(line);
    }
    kept
}
