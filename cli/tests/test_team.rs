//! `heatherring team` counts the outcomes of teams' requests from log lines.

use std::process::Command;

use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

fn log_line(event: &str, team: &str, reason: &str) -> String {
    json!({
        "timestamp": "2026-12-03T10:00:00.000000Z",
        "level": "INFO",
        "message": "a request was decided",
        "kvs": {"event": event, "team": team, "reason": reason},
    })
    .to_string()
}

fn run(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_heatherring"))
        .args(arguments)
        .output()
        .unwrap();
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn test_team_counts_by_rule() {
    let folder = TempDir::new().unwrap();
    let file = folder.path().join("entry.log");
    let lines = [
        log_line("answered", "t-1", ""),
        log_line("refused", "t-1", "team_limit"),
        log_line("refused", "t-1", "team_limit"),
        log_line("refused", "t-1", "overloaded"),
        log_line("caller_left", "t-2", ""),
        log_line("refused", "", "credential_unknown"),
        log_line("view_applied", "t-3", ""),
        "no line of heatherring".to_owned(),
    ];
    std::fs::write(&file, lines.join("\n")).unwrap();
    let file = file.to_str().unwrap();
    let counts: Value =
        serde_json::from_str(&run(&["team", "--logs", file, "--output", "json"])).unwrap();
    assert_eq!(
        counts,
        json!({
            "": {"answered": 0, "left": 0, "refused": {"credential_unknown": 1}},
            "t-1": {"answered": 1, "left": 0, "refused": {"team_limit": 2, "overloaded": 1}},
            "t-2": {"answered": 0, "left": 1, "refused": {}},
        })
    );
    let text = run(&["team", "--logs", file]);
    assert!(text.contains("overloaded 1, team_limit 2"), "{text}");
    assert!(text.contains("(none)"), "{text}");
}
