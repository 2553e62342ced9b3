//! Compares the help texts with committed snapshots, and checks exit codes and messages for
//! invalid arguments.

mod common;

use std::path::Path;

use common::run;
use common::sample;

macro_rules! help_cases {
    ($($name:ident: $($argument:literal)*;)*) => {
        $(
            #[test]
            fn $name() {
                let ran = run(Path::new("."), &[$($argument,)* "--help"]);
                assert_eq!((ran.code, ran.stderr.as_str()), (0, ""));
                insta::assert_snapshot!(ran.stdout);
            }
        )*
    };
}

help_cases! {
    test_cli_help_check: "check";
    test_cli_help_manifest: "manifest";
    test_cli_help_manifest_submit: "manifest" "submit";
    test_cli_help_manifest_show: "manifest" "show";
    test_cli_help_manifest_history: "manifest" "history";
    test_cli_help_manifest_diff: "manifest" "diff";
    test_cli_help_status: "status";
    test_cli_help_explain: "explain";
    test_cli_help_quarantine: "quarantine";
    test_cli_help_team: "team";
    test_cli_help_audit: "audit";
    test_cli_help_schema: "schema";
    test_cli_help_completions: "completions";
}

macro_rules! exit_cases {
    ($($name:ident: [$($argument:expr),*] => $code:literal, $part:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let ran = run(Path::new("."), &[$($argument),*]);
                assert_eq!((ran.code, ran.stdout.as_str()), ($code, ""), "{}", ran.stderr);
                assert!(ran.stderr.contains($part), "{}", ran.stderr);
            }
        )*
    };
}

exit_cases! {
    test_cli_unknown_subcommand: ["manifset"] => 2, "a similar subcommand exists: 'manifest'";
    test_cli_control_missing: ["status"] => 2, "--control <ADDRESSES>";
    test_cli_control_that_does_not_parse: ["status", "--control", "nowhere"] => 2, "invalid value 'nowhere'";
    test_cli_control_not_running: ["status", "--control", "127.0.0.9:1", "--timeout", "1"] => 3, "127.0.0.9:1 can't connect";
    test_cli_submit_to_nobody_is_not_unknown:
        ["manifest", "submit", sample("kyushu.jsonc").to_str().unwrap(), "--control", "127.0.0.9:1", "--timeout", "1"]
        => 3, "no control replica answered in time";
    test_cli_open_protocols_beyond_loopback: ["status", "--control", "10.0.0.9:7400"] => 2, "is no loopback address";
    test_cli_explain_nobody_there: ["explain", "--entry", "127.0.0.9:1"] => 3, "can't connect to 127.0.0.9:1";
    test_cli_explain_name_with_space: ["explain", "--entry", "127.0.0.9:1", "--service", "a b"] => 2, "--service is \"a b\"";
    test_cli_tls_key_missing: ["status", "--control", "127.0.0.9:1", "--authority-file", "a"] => 2, "--key-file <FILE>";
}

#[test]
fn test_cli_version() {
    let ran = run(Path::new("."), &["version"]);
    assert_eq!(
        ran.stdout,
        concat!("heatherring ", env!("CARGO_PKG_VERSION"), "\n")
    );
}
