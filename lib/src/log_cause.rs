//! The likely cause of a request's fate, from the line on it and what changed round it.

use crate::cold_watch::ALONE_AFTER;
use crate::duration_text::whole_ms;
use crate::log_chain::LogLine;

/// Says what the last decision on a request tells, and what may have led to it.
pub(crate) fn of(decision: &LogLine, changes: &[LogLine]) -> Vec<String> {
    let mut cause = vec![if decision.event == "answered" {
        answered(decision)
    } else {
        refused(decision)
    }];
    let control_age = decision.number("control_age_ms");
    if control_age > whole_ms(ALONE_AFTER) {
        cause.push(format!(
            "{} hadn't heard of control for {control_age} ms: it went by what it knew before",
            decision.text("vm")
        ));
    }
    cause.extend(changes.iter().filter_map(|line| change(line, decision)));
    cause
}

fn answered(decision: &LogLine) -> String {
    let held = decision.number("held_ms");
    let sends = decision.text("sends");
    let count = sends.split("; ").filter(|send| !send.is_empty()).count();
    match count {
        1 => format!("answered after {held} ms; the time went at the backend server: {sends}"),
        _ => format!("answered after {held} ms and {count} sends, one after the other: {sends}"),
    }
}

fn refused(decision: &LogLine) -> String {
    let held = decision.number("held_ms");
    let sends = decision.text("sends");
    let service = decision.text("service");
    match decision.text("reason") {
        "overloaded" => format!(
            "none of {} backend servers of {service} that are taken to have the data would have \
             answered in time: the shortest wait there was {} ms; refused after {held} ms, to \
             come back in {} ms",
            decision.number("considered"),
            decision.number("shortest_wait_ms"),
            decision.number("retry_after_ms")
        ),
        "no_backend_server" => {
            format!("no backend server of {service} could be used; refused after {held} ms")
        }
        "no_manifest" => "this entry VM had no manifest yet".to_owned(),
        "route_unknown" => format!(
            "no route of manifest version {} matches host and path",
            decision.number("version")
        ),
        "no_resend" => {
            format!("the budget of resends was used up after {sends}; refused after {held} ms")
        }
        "connection_lost" => format!(
            "the connection to the backend server broke after the request was sent, so that it \
             may have run and wasn't sent again: {sends}"
        ),
        "deadline_passed" => format!(
            "the backend server gave no answer within the {} ms that were left: {sends}",
            decision.number("patience_ms")
        ),
        "backend_refused" => format!("all attempts were turned away: {sends}"),
        "backend_unreachable" => format!("no connection could be had: {sends}"),
        reason => format!("{}: {reason}; {sends}", decision.text("outcome")),
    }
}

/// Says why a change may have led to the decision; nothing if it is a mere circumstance.
fn change(line: &LogLine, decision: &LogLine) -> Option<String> {
    let at = line.at;
    let source = &line.source;
    let text = match line.event.as_str() {
        "control_lost" => format!("{source} lost control: {}", line.text("error")),
        "evacuation" => format!(
            "place {} was {}",
            line.text("place"),
            if line.fields.get("evacuated") == Some(&true.into()) {
                "evacuated: its backend servers can't be used"
            } else {
                "taken back: its backend servers are cold"
            }
        ),
        "backend_cold" => format!("backend server {} was cold", line.text("backend")),
        "backend_withdrawn" => format!("backend server {} had gone", line.text("backend")),
        "backend_changed" if line.text("state") == "Draining" => {
            format!("backend server {} was leaving", line.text("backend"))
        }
        "backends_forgotten" => format!(
            "{} backend servers were given up, silent for seconds",
            line.number("count")
        ),
        "presence_applied" if line.number("silent") > 0 => format!(
            "{} backend servers were silent, by control's word",
            line.number("silent")
        ),
        "routes_change" if line.number("version") > decision.number("version") => format!(
            "manifest version {} was decided, and wasn't in force here yet",
            line.number("version")
        ),
        "entry_started" => format!("{source} had just started: it knew no load and no delay"),
        "role_changed" if line.text("role") == "candidate" => {
            format!("{source} stood for election: control had no leader")
        }
        _ => return None,
    };
    Some(format!("{at}: {text}"))
}
