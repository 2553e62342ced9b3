//! Tests of the diagnosis of a request from log lines.

use heatherring_lib::request_diagnosis::LogLine;
use heatherring_lib::request_diagnosis::RequestDiagnosis;
use insta::assert_snapshot;
use serde_json::Value;
use serde_json::json;

fn line(source: &str, second: &str, event: &str, fields: Value) -> LogLine {
    let mut kvs = fields;
    kvs["event"] = event.into();
    let text = json!({
        "timestamp": format!("2026-01-31T10:00:{second}+00:00"),
        "level": "INFO",
        "message": "something happened",
        "kvs": kvs,
    });
    LogLine::read("file", &format!("{source} {text}")).unwrap()
}

fn cause(lines: &[LogLine]) -> String {
    RequestDiagnosis::of("9c41", lines)
        .unwrap()
        .cause
        .join("\n")
}

fn refused(second: &str, reason: &str, fields: &Value) -> LogLine {
    let mut all = json!({
        "vm": "entry-1", "request_id": "9c41", "service": "registry", "version": 7,
        "control_age_ms": 300, "patience_ms": 2000, "sends": "", "considered": 9,
        "shortest_wait_ms": 840, "retry_after_ms": 420, "outcome": "not_run",
        "reason": reason, "held_ms": 1,
    });
    for (name, value) in fields.as_object().unwrap() {
        all[name] = value.clone();
    }
    line("entry-1", second, "refused", all)
}

#[test]
fn test_log_chain_of_a_refusal_while_a_place_is_evacuated() {
    let lines = [
        line(
            "control-2",
            "05.0",
            "evacuation",
            json!({"place": "alm-b", "evacuated": true}),
        ),
        refused("08.0", "overloaded", &json!({})),
        line(
            "entry-2",
            "07.0",
            "control_lost",
            json!({"error": "no answer in time"}),
        ),
        line(
            "control-2",
            "40.0",
            "evacuation",
            json!({"place": "alm-b", "evacuated": false}),
        ),
    ];
    assert_snapshot!(cause(&lines), @r"
    none of 9 backend servers of registry that are assumed to have the data cached would have answered in time: the shortest wait there was 840 ms; refused after 1 ms, to be retried after 420 ms
    2026-01-31T10:00:05Z: place alm-b was evacuated: its backend servers cannot be used
    ");
}

#[test]
fn test_log_chain_of_a_backend_server_that_failed() {
    let sends = "server-4: data at hand, wait 0 ms expected from a report 80 ms old, answer 190 ms expected, broken after 1240 ms";
    let lines = [
        refused(
            "08.0",
            "connection_lost",
            &json!({"sends": sends, "outcome": "unknown", "held_ms": 1242}),
        ),
        line(
            "control-1",
            "09.5",
            "backend_withdrawn",
            json!({"backend": "server-4"}),
        ),
        line(
            "control-1",
            "09.0",
            "backend_withdrawn",
            json!({"backend": "server-5"}),
        ),
    ];
    assert_snapshot!(cause(&lines), @r"
    the connection to the backend server broke after the request was sent; it may have run and was not sent again: server-4: data at hand, wait 0 ms expected from a report 80 ms old, answer 190 ms expected, broken after 1240 ms
    2026-01-31T10:00:09.5Z: backend server server-4 was gone
    ");
}

#[test]
fn test_log_chain_of_a_change_that_was_not_in_force() {
    let lines = [
        line(
            "entry-1",
            "03.0",
            "control_lost",
            json!({"error": "no answer in time"}),
        ),
        line("control-1", "06.0", "routes_change", json!({"version": 9})),
        refused("08.0", "route_unknown", &json!({"control_age_ms": 5000})),
    ];
    assert_snapshot!(cause(&lines), @r"
    no route of manifest version 7 matches host and path
    entry-1 had not heard from control for 5000 ms: it used the last state that it had received
    2026-01-31T10:00:03Z: entry-1 lost control: no answer in time
    2026-01-31T10:00:06Z: manifest version 9 was decided, and was not in force here yet
    ");
}

/// An entry VM that is in contact with control may still use an old manifest. This shows in the
/// age of the proof that the manifest is the newest, not in the time since the last contact.
#[test]
fn test_log_chain_of_a_view_that_was_proved_long_ago() {
    let behind = |second, vm: &str| {
        let fields = json!({"vm": vm, "version": 9, "lag_ms": 3100});
        line("control-1", second, "entry_behind", fields)
    };
    let lines = [
        behind("07.0", "entry-2"),
        behind("07.5", "entry-1"),
        refused("08.0", "route_unknown", &json!({"proof_age_ms": 3400})),
    ];
    assert_snapshot!(cause(&lines), @r"
    no route of manifest version 7 matches host and path
    version 7 was last proven to be the newest 3400 ms before: a newer one may have been confirmed
    2026-01-31T10:00:07.5Z: the entry VM reported to control-1 that it still lacked manifest version 9, 3100 ms after control-1 had learnt of it
    ");
}

/// A manifest that control had refused was reported as not yet in force, because every decided
/// change was counted, whatever the decision.
#[test]
fn test_log_chain_names_accepted_manifests_only() {
    let order = |second, version: u64, answer: &str| {
        let fields = json!({"version": version, "answer": answer});
        line("control-1", second, "routes_change", fields)
    };
    let lines = [
        order("05.0", 8, "Invalid(UnknownService)"),
        order("05.5", 9, "Conflict { current: ManifestVersion(7) }"),
        order("06.0", 10, "Accepted"),
        refused("08.0", "route_unknown", &json!({})),
    ];
    assert_snapshot!(cause(&lines), @r"
    no route of manifest version 7 matches host and path
    2026-01-31T10:00:06Z: manifest version 10 was decided, and was not in force here yet
    ");
}

/// The most probable cause comes first, even among many other changes.
#[test]
fn test_log_chain_ranks_causes() {
    let sends = "server-4: data at hand, wait 0 ms expected from a report 80 ms old, answer 190 ms expected, broken after 1240 ms";
    let mut lines: Vec<LogLine> = (0..30)
        .map(|number| {
            let fields = json!({"version": 8 + number, "answer": "Accepted"});
            line("control-1", "06.0", "routes_change", fields)
        })
        .collect();
    lines.push(line(
        "control-1",
        "07.5",
        "backend_withdrawn",
        json!({"backend": "server-4"}),
    ));
    let fields = json!({"sends": sends, "outcome": "unknown"});
    lines.push(refused("08.0", "connection_lost", &fields));
    let cause = RequestDiagnosis::of("9c41", &lines).unwrap().cause;
    assert!(
        cause[1].ends_with("backend server server-4 was gone"),
        "{cause:?}"
    );
    assert_eq!(cause.len(), 7);
}

/// Lines of other programs that a log collector mixes in are ignored.
#[test]
fn test_log_chain_ignores_lines_of_other_programs() {
    let damaged = [
        "",
        "{",
        "{}",
        "plain text",
        "{\"timestamp\":3}",
        "x {\"a\":1} y",
        "{\"timestamp\":\"2026-01-31T10:00:00Z\",\"message\":\"m\",\"kvs\":{}}",
        "{\"timestamp\":\"yesterday\",\"message\":\"m\",\"kvs\":{\"event\":\"e\"}}",
    ];
    for text in damaged {
        assert_eq!(LogLine::read("file", text), None, "{text}");
    }
    assert_eq!(RequestDiagnosis::of("9c41", &[]), None);
}
