//! The probable cause of a request's outcome, from its last log line and the changes that were
//! logged around that time.

use crate::cold_tracker::CONTROL_LOST_AFTER;
use crate::duration_text::whole_ms;
use crate::follow_lag::DEFAULT_IN_FORCE_DELAY;
use crate::request_diagnosis::LogLine;

/// Largest number of changes that are reported. When changes are frequent, dozens are logged in
/// the seconds before a decision, of which only the most probable few are useful.
const MAX_CAUSES: usize = 6;

/// Describes the last decision on a request, followed by what may have led to it, the most
/// probable first.
pub(crate) fn of(decision: &LogLine, changes: &[LogLine]) -> Vec<String> {
    let mut cause = vec![if decision.event == "answered" {
        describe_answer(decision)
    } else {
        describe_refusal(decision)
    }];
    let control_age = decision.number("control_age_ms");
    if control_age > whole_ms(CONTROL_LOST_AFTER) {
        cause.push(format!(
            "{} had not heard from control for {control_age} ms: it used the last state that it had \
             received",
            decision.text("vm")
        ));
    }
    let proof_age = decision.number("proof_age_ms");
    if proof_age > whole_ms(DEFAULT_IN_FORCE_DELAY) {
        cause.push(format!(
            "version {} was last proven to be the newest {proof_age} ms before: a newer one may have \
             been confirmed",
            decision.number("version")
        ));
    }
    let mut likely: Vec<(u8, String)> = changes
        .iter()
        .filter_map(|line| Some((rank(line, decision), describe_change(line, decision)?)))
        .collect();
    likely.sort_by_key(|(rank, _)| *rank);
    cause.extend(likely.into_iter().map(|(_, text)| text).take(MAX_CAUSES));
    cause
}

/// Ranks a change by how probable it is that it led to the decision, 0 being the most probable.
/// Changes of the same rank stay in order of time.
fn rank(line: &LogLine, decision: &LogLine) -> u8 {
    let is_same_process = line.source == decision.source;
    let is_route = matches!(
        decision.text("reason"),
        "route_unknown" | "route_unconfirmed"
    );
    match line.event.as_str() {
        "backend_cold" | "backend_withdrawn" | "backend_changed" | "entry_behind" => 0,
        "control_lost" | "entry_started" if is_same_process => 0,
        "routes_change" if is_route => 0,
        "evacuation" | "role_changed" => 1,
        _ => 2,
    }
}

fn describe_answer(decision: &LogLine) -> String {
    let held = decision.number("held_ms");
    let sends = decision.text("sends");
    let count = sends.split("; ").filter(|send| !send.is_empty()).count();
    match count {
        1 => format!("answered after {held} ms, spent at the backend server: {sends}"),
        _ => format!("answered after {held} ms and {count} sends, one after the other: {sends}"),
    }
}

fn describe_refusal(decision: &LogLine) -> String {
    let held = decision.number("held_ms");
    let sends = decision.text("sends");
    let service = decision.text("service");
    match decision.text("reason") {
        "overloaded" => format!(
            "none of {} backend servers of {service} that are assumed to have the data cached would \
             have answered in time: the shortest wait there was {} ms; refused after {held} ms, \
             to be retried after {} ms",
            decision.number("considered"),
            decision.number("shortest_wait_ms"),
            decision.number("retry_after_ms")
        ),
        "no_backend_server" => {
            format!("no backend server of {service} could be used; refused after {held} ms")
        }
        "backend_limit" => format!(
            "all backend servers of {service} declare rate limits, and this entry VM's shares of \
             them were used up; refused after {held} ms, to be retried after {} ms",
            decision.number("retry_after_ms")
        ),
        "backend_paused" => format!(
            "all backend servers of {service} asked this entry VM to send nothing for a time, or were \
             at their rate limits; refused after {held} ms, to be retried after {} ms",
            decision.number("retry_after_ms")
        ),
        "no_manifest" => "this entry VM had no manifest yet".to_owned(),
        "route_unknown" => format!(
            "no route of manifest version {} matches host and path",
            decision.number("version")
        ),
        "route_unconfirmed" => format!(
            "no route of manifest version {} matches host and path, and a newer version may have \
             been confirmed: the caller may retry at another entry VM",
            decision.number("version")
        ),
        "no_resend" => {
            format!("the budget of resends was exhausted after {sends}; refused after {held} ms")
        }
        "connection_lost" => format!(
            "the connection to the backend server broke after the request was sent; it may have run \
             and was not sent again: {sends}"
        ),
        "answer_mismatched" => format!(
            "an answer to another request arrived in place of the answer to this one; it may have \
             run and was not sent again: {sends}"
        ),
        "answer_malformed" => format!(
            "the backend server's answer contradicts itself or does not tell where it ends; the \
             request may have run and was not sent again: {sends}"
        ),
        "refusal_unproved" => format!(
            "the backend server answered with a status that means \"not run\" to callers, without \
             stating that the request was not run: {sends}"
        ),
        "deadline_passed" => format!(
            "the backend server did not answer within the remaining {} ms: {sends}",
            decision.number("patience_ms")
        ),
        "backend_refused" => format!("all attempts were refused: {sends}"),
        "backend_unreachable" => format!("no connection could be established: {sends}"),
        reason => format!("{}: {reason}; {sends}", decision.text("outcome")),
    }
}

/// Describes how a change may have led to the decision; `None` if it cannot have.
fn describe_change(line: &LogLine, decision: &LogLine) -> Option<String> {
    let at = line.at;
    let source = &line.source;
    let text = match line.event.as_str() {
        "control_lost" => format!("{source} lost control: {}", line.text("error")),
        "entry_behind" if line.text("vm") == decision.text("vm") => format!(
            "the entry VM reported to {source} that it still lacked manifest version {}, {} ms after \
             {source} had learnt of it",
            line.number("version"),
            line.number("lag_ms")
        ),
        "evacuation" => format!(
            "place {} was {}",
            line.text("place"),
            if line.fields.get("evacuated") == Some(&true.into()) {
                "evacuated: its backend servers cannot be used"
            } else {
                "readmitted: its backend servers are cold"
            }
        ),
        "backend_cold" => format!("backend server {} was cold", line.text("backend")),
        "backend_limit" if line.text("limit") != "none" => format!(
            "backend server {} declared a limit of {}, as {source} learnt {} ms later",
            line.text("backend"),
            line.text("limit"),
            line.number("age_ms")
        ),
        "backend_pushback" => format!(
            "backend server {} asked for {} ms without requests of {source}",
            line.text("backend"),
            line.number("asked_ms")
        ),
        "backend_leaving" => format!(
            "backend server {} stated that it was leaving",
            line.text("backend")
        ),
        "backend_withdrawn" => format!("backend server {} was gone", line.text("backend")),
        "backend_changed" if line.text("state") == "Draining" => {
            format!("backend server {} was leaving", line.text("backend"))
        }
        "backends_forgotten" => format!(
            "{} backend servers were forgotten after sending no heartbeats for seconds",
            line.number("count")
        ),
        "presence_applied" if line.number("silent") > 0 => format!(
            "{} backend servers sent no heartbeats, as control reported",
            line.number("silent")
        ),
        "routes_change" if is_newer_manifest(line, decision) => format!(
            "manifest version {} was decided, and was not in force here yet",
            line.number("version")
        ),
        "entry_started" => {
            format!("{source} had just started: it knew neither loads nor network delays")
        }
        "role_changed" if line.text("role") == "candidate" => {
            format!("{source} stood for election: control had no leader")
        }
        _ => return None,
    };
    Some(format!("{at}: {text}"))
}

/// Returns whether a line reports an accepted manifest that is newer than the one the decision
/// was based on. A manifest that was refused cannot have led to it.
fn is_newer_manifest(line: &LogLine, decision: &LogLine) -> bool {
    let was_accepted = matches!(line.text("answer"), "" | "Accepted");
    was_accepted && line.number("version") > decision.number("version")
}
