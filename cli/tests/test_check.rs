//! `heatherring check` prints one line per fault, with its position, and exits with code 2.

mod common;

use std::fs;

use common::CommandOutput;
use common::run;
use common::sample;
use rstest::rstest;
use tempfile::TempDir;

/// Replaces `from` by `to` in a sample and runs `check` on the result in a new folder.
fn check_changed(name: &str, from: &str, to: &str, arguments: &[&str]) -> CommandOutput {
    let folder = TempDir::new().unwrap();
    let text = fs::read_to_string(sample(name)).unwrap();
    assert!(text.contains(from), "the sample does not contain {from:?}");
    fs::write(folder.path().join(name), text.replacen(from, to, 1)).unwrap();
    let mut all = vec!["check", name];
    all.extend(arguments);
    run(folder.path(), &all)
}

#[rstest]
#[case("kyushu.jsonc")]
#[case("qazyna.jsonc")]
#[case("control-1.jsonc")]
#[case("control-2.jsonc")]
#[case("control-3.jsonc")]
#[case("entry-1.jsonc")]
#[case("entry-2.jsonc")]
#[case("entry-3.jsonc")]
#[case("entry-4.jsonc")]
fn test_check_samples_pass(#[case] name: &str) {
    let folder = TempDir::new().unwrap();
    let path = sample(name);
    let output = run(folder.path(), &["check", path.to_str().unwrap()]);
    assert_eq!((output.code, output.stderr.as_str()), (0, ""));
}

macro_rules! fault_cases {
    ($($name:ident: $sample:literal, $from:literal => $to:literal, $expected:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let output = check_changed($sample, $from, $to, &[]);
                assert_eq!(output.stderr, concat!($sample, $expected, "\n"));
                assert_eq!((output.code, output.stdout.as_str()), (2, ""));
            }
        )*
    };
}

fault_cases! {
    test_check_unknown_field: "entry-1.jsonc", "\"callers\"" => "\"caller\": 1,\n\"callers\"",
        ":7:5: unknown field \"caller\", did you mean \"callers\"?; allowed are \"backend_servers\", \"callers\", \"forward\", \"peers\"";
    test_check_wrong_type: "control-1.jsonc", "\"control-1\"" => "7",
        ":3:9: found a number; allowed is a name of 1 to 63 letters, digits, '-', '_' and '.', which starts with a letter or digit";
    test_check_duplicate_place: "kyushu.jsonc", "\"fko-kokura\": {\"region\"" => "\"fko-hakata\": {\"region\"",
        ":11:5: duplicate key \"fko-hakata\", first on line 10; allowed is once";
    test_check_cap_over_100: "kyushu.jsonc", "\"percent\": 60" => "\"percent\": 130",
        ":62:63: 130 is not allowed here; allowed is a whole number from 0 to 100";
    test_check_address_that_does_not_parse: "entry-1.jsonc", "127.0.0.12:7400" => "localhost:7400",
        ":13:34: \"localhost:7400\" is not allowed here; allowed is an IP address with a port, as in 127.0.0.1:7000";
    test_check_two_values: "control-1.jsonc", "{" => "{} //",
        ":3:3: Text cannot contain more than one JSON value; allowed is JSON with comments";
    test_check_neither_settings_nor_manifest: "control-1.jsonc", "{" => "{}\n/*",
        ":3:1: Unterminated comment block; allowed is JSON with comments";
}

#[test]
fn test_check_file_that_is_not_there() {
    let folder = TempDir::new().unwrap();
    let output = run(folder.path(), &["check", "none.jsonc"]);
    assert_eq!(output.code, 2);
    assert_eq!(
        output.stderr,
        "none.jsonc: can't be read (No such file or directory (os error 2)); \
         allowed is a file in UTF-8, or - for the standard input\n"
    );
}

#[test]
fn test_check_settings_against_a_manifest_of_others() {
    let folder = TempDir::new().unwrap();
    fs::copy(sample("entry-1.jsonc"), folder.path().join("entry-1.jsonc")).unwrap();
    fs::copy(sample("qazyna.jsonc"), folder.path().join("qazyna.jsonc")).unwrap();
    let output = run(
        folder.path(),
        &["check", "entry-1.jsonc", "--against", "qazyna.jsonc"],
    );
    assert_eq!(output.code, 2);
    assert_eq!(
        output.stderr,
        "entry-1.jsonc:4:12: the manifest has no place fko-hakata; allowed are its places\n"
    );
}

#[test]
fn test_check_tells_what_a_manifest_changes() {
    let old = sample("kyushu.jsonc");
    let against = ["--against", old.to_str().unwrap()];
    let output = check_changed(
        "kyushu.jsonc",
        "// {\"place\": \"fko-kokura\"}",
        "{\"place\": \"fko-kokura\"}",
        &against,
    );
    assert_eq!(output.code, 0, "{}", output.stderr);
    let lines: Vec<&str> = output.stdout.lines().skip(1).collect();
    assert_eq!(lines, ["+ drains: place fko-kokura"]);
}
