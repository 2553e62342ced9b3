//! Tests of parsing settings: defaults, checks across fields, and the sample files.

mod common;

use std::time::Duration;

use common::expect_fault;
use heatherring_lib::heartbeat_timing::HeartbeatTiming;
use heatherring_lib::manifest_text::read_manifest;
use heatherring_lib::settings::ControlTiming;
use heatherring_lib::settings_check::check_place;
use heatherring_lib::settings_text::read_control_settings;
use heatherring_lib::settings_text::read_entry_settings;
use rstest::rstest;

const CONTROL: &str = include_str!("../../samples/control-1.jsonc");
const ENTRY: &str = include_str!("../../samples/entry-1.jsonc");
const KYUSHU: &str = include_str!("../../samples/kyushu.jsonc");

#[rstest]
#[case(CONTROL)]
#[case(include_str!("../../samples/control-2.jsonc"))]
#[case(include_str!("../../samples/control-3.jsonc"))]
fn test_settings_control_samples_fit_the_manifest(#[case] text: &str) {
    let settings = read_control_settings("s.jsonc", text).unwrap();
    let manifest = read_manifest("m.jsonc", KYUSHU).unwrap();
    let problem = check_place(&settings.place, &settings.region, &manifest);
    assert_eq!(problem, None);
    assert_eq!(settings.timing, ControlTiming::default());
}

#[rstest]
#[case(ENTRY)]
#[case(include_str!("../../samples/entry-2.jsonc"))]
#[case(include_str!("../../samples/entry-3.jsonc"))]
#[case(include_str!("../../samples/entry-4.jsonc"))]
fn test_settings_entry_samples_fit_the_manifest(#[case] text: &str) {
    let settings = read_entry_settings("s.jsonc", text).unwrap();
    let manifest = read_manifest("m.jsonc", KYUSHU).unwrap();
    let problem = check_place(&settings.place, &settings.region, &manifest);
    assert_eq!(problem, None);
}

#[test]
fn test_settings_region_mismatch_is_reported() {
    let settings = read_entry_settings("s.jsonc", ENTRY).unwrap();
    let manifest = KYUSHU.replace(
        "\"fko-hakata\": {\"region\": \"fukuoka\"}",
        "\"fko-hakata\": {\"region\": \"kumamoto\"}",
    );
    let manifest = read_manifest("m.jsonc", &manifest).unwrap();
    let problem = check_place(&settings.place, &settings.region, &manifest).unwrap();
    assert_eq!(
        problem.to_string(),
        "the manifest has fko-hakata in region kumamoto, not fukuoka; allowed is kumamoto"
    );
}

#[test]
fn test_settings_optional_fields_may_be_null() {
    let control = CONTROL.replacen("\"vm\"", "\"advertise\": null, \"vm\"", 1);
    assert!(read_control_settings("s.jsonc", &control).is_ok());
    let entry = ENTRY.replacen("\"vm\"", "\"metrics\": null, \"vm\"", 1);
    assert!(read_entry_settings("s.jsonc", &entry).is_ok());
}

/// Guards against an interval that the settings name and nothing reads.
#[rstest]
#[case::named(", \"heartbeat\": \"5s\"", Duration::from_secs(5))]
#[case::absent("", HeartbeatTiming::DEFAULT_INTERVAL)]
fn test_settings_heartbeat_sets_the_timeouts(#[case] field: &str, #[case] interval: Duration) {
    let direct =
        format!("\"direct\": {{\"listen\": \"127.0.0.11:7405\", \"places\": {{}}{field}}}, \"vm\"");
    let text = CONTROL.replacen("\"vm\"", &direct, 1);
    let settings = read_control_settings("s.jsonc", &text).unwrap();
    let timing = settings.direct.unwrap().heartbeat_timing();
    assert_eq!(timing, HeartbeatTiming::new(interval));
}

macro_rules! fault_cases {
    ($($name:ident: $read:ident, $sample:ident, $from:literal => $to:literal, $expected:literal;)*) => {
        $(
            #[test]
            fn $name() {
                expect_fault($sample, $from, $to, $expected, |text| $read("f", text).map(drop));
            }
        )*
    };
}

// `^` marks the position at which the fault must be reported.
fault_cases! {
    test_settings_address_without_port: read_control_settings, CONTROL,
        r#""127.0.0.11:7400""# => r#"^"127.0.0.11""#,
        r#""127.0.0.11" is not allowed here; allowed is an IP address with a port, as in 127.0.0.1:7000"#;
    test_settings_address_of_all_interfaces: read_control_settings, CONTROL,
        r#""127.0.0.11:7400""# => r#"^"0.0.0.0:7400""#,
        r"0.0.0.0:7400 stands for all interfaces; allowed is the address at which others reach this VM";
    test_settings_open_beyond_loopback: read_control_settings, CONTROL,
        r#""127.0.0.11:7400""# => r#"^"10.0.0.1:7400""#,
        r#"10.0.0.1:7400 is not a loopback address, and security is open_loopback; allowed beyond loopback is {"tls": ..}"#;
    // Other processes connect to the advertised address, so it must be a loopback address too.
    test_settings_advertised_beyond_loopback: read_control_settings, CONTROL,
        r#""vm""# => r#""advertise": ^"10.0.0.1:7400", "vm""#,
        r#"10.0.0.1:7400 is not a loopback address, and security is open_loopback; allowed beyond loopback is {"tls": ..}"#;
    test_settings_optional_address_without_port: read_control_settings, CONTROL,
        r#""vm""# => r#""advertise": ^"127.0.0.11", "vm""#,
        r#""127.0.0.11" is not allowed here; allowed is an IP address with a port, as in 127.0.0.1:7000"#;
    test_settings_port_zero: read_control_settings, CONTROL,
        r#""127.0.0.11:7400""# => r#"^"127.0.0.11:0""#,
        r"127.0.0.11:0 has port 0; allowed are ports from 1 to 65535";
    test_settings_data_folder_empty: read_control_settings, CONTROL,
        r#""data/control-1""# => r#"^"""#,
        r#""" is not allowed here; allowed is a string that is not empty"#;
    test_settings_election_too_short: read_control_settings, CONTROL,
        r#""vm""# => r#""timing": {"election_min_ms": ^200}, "vm""#,
        r"election_min_ms is 200; allowed is more than two heartbeats, 200 ms";
    test_settings_election_range_empty: read_control_settings, CONTROL,
        r#""vm""# => r#""timing": {"election_max_ms": ^600}, "vm""#,
        r"election_max_ms is 600; allowed is more than election_min_ms, 600 ms";
    test_settings_lease_shorter_than_an_election: read_control_settings, CONTROL,
        r#""vm""# => r#""timing": ^{"election_max_ms": 2500}, "vm""#,
        r"session_lease_ms is 3000; allowed is more than election_max_ms and session_margin_ms together, 3000 ms";
    // Backend servers would be lost with each late heartbeat.
    test_settings_heartbeat_too_short: read_control_settings, CONTROL,
        r#""vm""# => r#""direct": {"listen": "127.0.0.11:7405", "places": {}, "heartbeat": ^"99ms"}, "vm""#,
        r"heartbeat is 99ms; allowed is 100ms to 60000ms";
    test_settings_heartbeat_too_long: read_control_settings, CONTROL,
        r#""vm""# => r#""direct": {"listen": "127.0.0.11:7405", "places": {}, "heartbeat": ^"61s"}, "vm""#,
        r"heartbeat is 61000ms; allowed is 100ms to 60000ms";
    test_settings_in_force_delay_too_short: read_control_settings, CONTROL,
        r#""vm""# => r#""direct": {"listen": "127.0.0.11:7405", "places": {}, "in_force_within": ^"99ms"}, "vm""#,
        r"in_force_within is 99ms; allowed is 100ms to 60000ms";
    test_settings_replacement_too_early: read_control_settings, CONTROL,
        r#""vm""# => r#""formation": {"seeds": ["127.0.0.11:7400"], "first_start": true, "replacement_within": ^"999ms"}, "vm""#,
        r"replacement_within is 999ms; allowed is 1000ms to 60000ms";
    test_settings_replacement_too_late: read_control_settings, CONTROL,
        r#""vm""# => r#""formation": {"seeds": ["127.0.0.11:7400"], "first_start": true, "replacement_within": ^"61s"}, "vm""#,
        r"replacement_within is 61000ms; allowed is 1000ms to 60000ms";
    test_settings_unknown_level: read_control_settings, CONTROL,
        r#""vm""# => r#""log": {"level": ^"verbose"}, "vm""#,
        r#""verbose" is not allowed here; allowed is one of "error", "warn", "info", "debug", "trace""#;
    test_settings_no_control: read_entry_settings, ENTRY,
        r#"["127.0.0.11:7400", "127.0.0.12:7400", "127.0.0.13:7400"]"# => r"^[]",
        r"the array has 0 elements; allowed is at least 1 element";
    test_settings_control_twice: read_entry_settings, ENTRY,
        r#""127.0.0.12:7400""# => r#"^"127.0.0.11:7400""#,
        r"duplicate address 127.0.0.11:7400; allowed is each replica once";
    test_settings_listener_twice: read_entry_settings, ENTRY,
        r#""127.0.0.21:7483""# => r#"^"127.0.0.21:7480""#,
        r"127.0.0.21:7480 is already the address of listener callers; allowed is each address once";
    test_settings_metrics_of_wrong_kind: read_entry_settings, ENTRY,
        r#""vm""# => r#""metrics": ^"on", "vm""#,
        r"found a string; allowed is an object";
    test_settings_null_for_a_required_field: read_entry_settings, ENTRY,
        r#""entry-1""# => r"^null",
        r"found null; allowed is a name of 1 to 63 letters, digits, '-', '_' and '.', which starts with a letter or digit";
}
