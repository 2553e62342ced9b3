//! The likely cause of a request's fate, from the line on it and what changed round it.

use crate::cold_tracker::CONTROL_LOST_AFTER;
use crate::duration_text::whole_ms;
use crate::follow_lag::MAX_IN_FORCE_DELAY;
use crate::request_diagnosis::LogLine;

/// Changes that are named at most. Under a storm of changes there are dozens in the seconds
/// before a decision, of which the first few are worth a look.
const MOST_CAUSES: usize = 6;

/// Says what the last decision on a request tells, and what may have led to it.
pub(crate) fn of(decision: &LogLine, changes: &[LogLine]) -> Vec<String> {
    let mut cause = vec![if decision.event == "answered" {
        answered(decision)
    } else {
        refused(decision)
    }];
    let control_age = decision.number("control_age_ms");
    if control_age > whole_ms(CONTROL_LOST_AFTER) {
        cause.push(format!(
            "{} hadn't heard of control for {control_age} ms: it went by what it knew before",
            decision.text("vm")
        ));
    }
    let proof_age = decision.number("proof_age_ms");
    if proof_age > whole_ms(MAX_IN_FORCE_DELAY) {
        cause.push(format!(
            "version {} was last proved to be the newest {proof_age} ms before: a newer one may have \
             been confirmed",
            decision.number("version")
        ));
    }
    let mut likely: Vec<(u8, String)> = changes
        .iter()
        .filter_map(|line| Some((rank(line, decision), change(line, decision)?)))
        .collect();
    likely.sort_by_key(|(rank, _)| *rank);
    cause.extend(likely.into_iter().map(|(_, text)| text).take(MOST_CAUSES));
    cause
}

/// Says how likely a change led to the decision; the lowest number goes first, and changes
/// that are alike stay in their order in time.
fn rank(line: &LogLine, decision: &LogLine) -> u8 {
    let is_its_own = line.source == decision.source;
    let is_route = matches!(
        decision.text("reason"),
        "route_unknown" | "route_unconfirmed"
    );
    match line.event.as_str() {
        "backend_cold" | "backend_withdrawn" | "backend_changed" | "entry_behind" => 0,
        "control_lost" | "entry_started" if is_its_own => 0,
        "routes_change" if is_route => 0,
        "evacuation" | "role_changed" => 1,
        _ => 2,
    }
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
        "route_unconfirmed" => format!(
            "no route of manifest version {} matches host and path, and a newer version may have \
             been confirmed: the caller may ask again elsewhere",
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
        "entry_behind" if line.text("vm") == decision.text("vm") => format!(
            "{source} heard from it that it still lacked manifest version {}, {} ms after it knew \
             of that itself",
            line.number("version"),
            line.number("lag_ms")
        ),
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
        "routes_change" if is_newer_in_force(line, decision) => format!(
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

/// Returns whether a change of the manifest was accepted that the decision didn't go by. One
/// that was refused changed nothing.
fn is_newer_in_force(line: &LogLine, decision: &LogLine) -> bool {
    let was_accepted = matches!(line.text("answer"), "" | "Accepted");
    was_accepted && line.number("version") > decision.number("version")
}
