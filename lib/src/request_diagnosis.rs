//! Diagnosis of one request from log lines: the decisions on it, the changes around that time,
//! and the probable cause of its outcome.

use std::time::Duration;

use jiff::Timestamp;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::probable_cause;

/// Maximum time by which an included change may precede a decision. Missing heartbeats are
/// detected only after some seconds, and backend servers stay cold for some seconds.
const CONTEXT_BEFORE: Duration = Duration::from_secs(10);

/// Maximum time by which an included change may follow a decision: the clocks of VMs differ, and
/// a loss is logged only when it is detected.
const CONTEXT_AFTER: Duration = Duration::from_secs(2);

/// Events of changes that affect all requests, whichever process logged them.
const GLOBAL_EVENTS: [&str; 7] = [
    "entry_behind",
    "routes_change",
    "routes_change_open",
    "evacuation",
    "backends_forgotten",
    "entry_forgotten",
    "role_changed",
];

/// Events of changes that affect only requests handled by the process that logged them.
const PROCESS_EVENTS: [&str; 12] = [
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

/// One log line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LogLine {
    /// The process that wrote the line, if the line names it; otherwise the file it was read from.
    pub source: String,
    /// Time of the line, by the clock of the VM that wrote it.
    pub at: Timestamp,
    /// Name of the event, such as `refused`.
    pub event: String,
    /// The message of the line, a sentence.
    pub message: String,
    /// The other key-value pairs of the line.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line. The last word before the JSON object, such as a name added by a log
    /// collector, is taken as the source. Returns `None` if it is not a line of heatherring.
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

    /// Returns the value of a text field; empty if there is no such field.
    #[must_use]
    pub fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or("")
    }

    /// Returns the value of a whole-number field; 0 if there is no such field.
    #[must_use]
    pub fn number(&self, field: &str) -> u64 {
        self.fields
            .get(field)
            .and_then(Value::as_u64)
            .unwrap_or_default()
    }
}

/// What log lines show about one request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RequestDiagnosis {
    /// ID of the request.
    pub request_id: String,
    /// The decisions on the request, in order of time.
    pub decisions: Vec<LogLine>,
    /// Changes around the time of the last decision that may have affected it, in order of time.
    pub changes: Vec<LogLine>,
    /// The last decision and its probable causes, one sentence each.
    pub cause: Vec<String>,
}

impl RequestDiagnosis {
    /// Diagnoses a request from `lines`; `None` if no line is about it.
    #[must_use]
    pub fn of(request_id: &str, lines: &[LogLine]) -> Option<Self> {
        let is_about_request = |line: &&LogLine| line.text("request_id") == request_id;
        let mut decisions: Vec<LogLine> = lines.iter().filter(is_about_request).cloned().collect();
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

/// Returns whether a line reports a change that may have affected `decision`. The time
/// for which the request was held before the decision extends the period that is searched.
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
    let is_process_event = line.source == decision.source && PROCESS_EVENTS.contains(&event);
    let is_about_backend = !backend.is_empty() && decision.text("sends").contains(backend);
    is_process_event || is_about_backend || GLOBAL_EVENTS.contains(&event)
}

/// Removes all but the last of the lines about applied views and about applied presence reports,
/// which are frequent.
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
