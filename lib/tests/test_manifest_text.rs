//! Tests of parsing manifests: each fault reports its line, its column and what is allowed.

mod common;

use common::expect_fault;
use heatherring_lib::manifest::Manifest;
use heatherring_lib::manifest_text::MAX_MANIFEST_BYTES;
use heatherring_lib::manifest_text::read_manifest;

const KYUSHU: &str = include_str!("../../samples/kyushu.jsonc");
const QAZYNA: &str = include_str!("../../samples/qazyna.jsonc");

#[test]
fn test_manifest_text_samples_are_accepted() {
    let kyushu = read_manifest("kyushu.jsonc", KYUSHU).unwrap();
    let qazyna = read_manifest("qazyna.jsonc", QAZYNA).unwrap();
    let slots = |manifest: &Manifest| -> Vec<u32> {
        let services = manifest.services.values();
        services
            .map(|service| {
                service
                    .limits
                    .values()
                    .map(|limit| limit.max_in_flight)
                    .sum()
            })
            .collect()
    };
    assert_eq!(slots(&kyushu), [12 * 3, 20 * 3]);
    assert_eq!(slots(&qazyna), [12 * 3, 32 * 6]);
}

macro_rules! fault_cases {
    ($($name:ident: $from:literal => $to:literal, $expected:literal;)*) => {
        $(
            #[test]
            fn $name() {
                expect_fault(KYUSHU, $from, $to, $expected, |text| {
                    read_manifest("f", text).map(drop)
                });
            }
        )*
    };
}

// `^` marks the position at which the fault must be reported.
fault_cases! {
    test_manifest_text_syntax:
        r#""version": 1,"# => r#""version" ^1,"#,
        r"Expected colon after the string or word in object property; allowed is JSON with comments";
    test_manifest_text_hexadecimal:
        r#""version": 1,"# => r#""version": ^0x1,"#,
        r"Hexadecimal numbers are not allowed; allowed is JSON with comments";
    test_manifest_text_wrong_type:
        r#""version": 1,"# => r#""version": ^"1","#,
        r"found a string; allowed is a whole number from 0 to 18446744073709551615";
    test_manifest_text_number_beyond_u64:
        r#""version": 1,"# => r#""version": ^18446744073709551616,"#,
        r"18446744073709551616 is not allowed here; allowed is a whole number from 0 to 18446744073709551615";
    test_manifest_text_fraction:
        r#""percent": 60"# => r#""percent": ^0.5"#,
        r"0.5 is not allowed here; allowed is a whole number from 0 to 100";
    test_manifest_text_cap_over_100:
        r#""percent": 60"# => r#""percent": ^101"#,
        r"101 is not allowed here; allowed is a whole number from 0 to 100";
    test_manifest_text_slots_zero:
        r#""max_slots_per_backend": 3"# => r#""max_slots_per_backend": ^0"#,
        r"0 is not allowed here; allowed is a whole number from 1 to 4294967295";
    test_manifest_text_deadline_zero:
        r#""deadline_ms": 2000"# => r#""deadline_ms": ^0"#,
        r"0 is not allowed here; allowed is a whole number from 1 to 600000";
    test_manifest_text_duplicate_place:
        r#""fko-kokura": {"region""# => r#"^"fko-hakata": {"region""#,
        r#"duplicate key "fko-hakata", first on line 10; allowed is once"#;
    test_manifest_text_bad_name:
        r#""fko-kokura": {"region""# => r#"^"fko kokura": {"region""#,
        r#""fko kokura" is not allowed here; allowed is a name of 1 to 63 letters, digits, '-', '_' and '.', which starts with a letter or digit"#;
    test_manifest_text_missing_field:
        r#"{"region": "fukuoka"}"# => r"^{}",
        r#"missing field "region"; required are "region""#;
    test_manifest_text_unknown_field:
        r#""look_ups": {"# => r#""look_ups": {^"cash_ms": 1, "#,
        r#"unknown field "cash_ms", did you mean "cache_ms"?; allowed are "cache_ms", "ticket_ms""#;
    test_manifest_text_block_host_bits:
        r#""127.10.0.0/16""# => r#"^"127.10.0.1/16""#,
        r#""127.10.0.1/16" is not allowed here; allowed is the first address of a block and its prefix length, as in 10.1.0.0/16"#;
    test_manifest_text_unknown_variant:
        r#"// {"vm": "entry-2"}"# => r#"{^"vn": "entry-2"}"#,
        r#""vn" is not allowed here; allowed is one of {"place": ..}, {"backend_server": ..}, {"vm": ..}"#;
    test_manifest_text_scope_two_keys:
        r#"{"place": "fko-hakata"}, "percent""# => r#"^{"place": "fko-hakata", "region": "fukuoka"}, "percent""#,
        r#"an object with 2 keys is not allowed here; allowed is one of "any", {"region": ..}, {"place": ..}"#;
    test_manifest_text_version_zero:
        r#""version": 1,"# => r#""version": ^0,"#,
        r"the version is 0; allowed are versions of at least 1";
    test_manifest_text_limit_of_unknown_place:
        r#""fko-hakata": {"max_in_flight""# => r#"^"fko-hakato": {"max_in_flight""#,
        r#"unknown place "fko-hakato", did you mean "fko-hakata"?; allowed are the names under "places""#;
    test_manifest_text_drain_of_unknown_place:
        r#"// {"place": "fko-kokura"}"# => r#"{"place": ^"osaka"}"#,
        r#"unknown place "osaka"; allowed are the names under "places""#;
    test_manifest_text_block_of_unknown_place:
        r#""127.10.0.0/16", "place": "fko-hakata""# => r#""127.10.0.0/16", "place": ^"hakata-fko""#,
        r#"unknown place "hakata-fko"; allowed are the names under "places""#;
    test_manifest_text_link_of_unknown_region:
        r#""fukuoka", "to": "kumamoto", "max"# => r#""fukuoka", "to": ^"kumamotto", "max"#,
        r#"unknown region "kumamotto", did you mean "kumamoto"?; allowed are the regions of the places"#;
    test_manifest_text_link_to_itself:
        r#""fukuoka", "to": "kumamoto", "max"# => r#""fukuoka", "to": ^"fukuoka", "max"#,
        r"the link connects fukuoka to itself; allowed are two different regions";
    test_manifest_text_block_twice:
        r#""127.11.0.0/16""# => r#"^"127.10.0.0/16""#,
        r"duplicate block 127.10.0.0/16; allowed is one";
    test_manifest_text_drain_twice:
        r#"// {"vm": "entry-2"}"# => r#"{"vm": "a"}, ^{"vm": "a"}"#,
        r"duplicate drain; allowed is one";
    test_manifest_text_cap_within_one_place:
        r#"{"from": "any", "to""# => r#"^{"from": {"place": "fko-hakata"}, "to""#,
        r#"the cap on shifts from place fko-hakata to place fko-hakata never applies, because "to" contains "from"; allowed are scopes with callers outside "to""#;
    test_manifest_text_cap_twice:
        r#"{"from": "any", "to": {"place": "fko-kokura"}"# => r#"^{"from": "any", "to": {"place": "fko-hakata"}"#,
        r"duplicate cap on shifts from any place to place fko-hakata; allowed is one";
    test_manifest_text_operation_unreachable:
        r#""path_prefix": "/intake""# => r#""path_prefix": ^"/bookings/intake""#,
        r#"operation "log-intake" is unreachable because the earlier operation "book-crushing-slot" matches all of its requests; the longer prefix must come first"#;
    test_manifest_text_prefix_without_slash:
        r#""path_prefix": "/intake""# => r#""path_prefix": ^"intake""#,
        r#"path prefix "intake" never matches; allowed are prefixes that start with "/" and contain no '?', '#' or white space"#;
    test_manifest_text_method_in_lower_case:
        r#""method": "GET""# => r#""method": ^"get""#,
        r#"unknown method "get"; allowed are GET, HEAD, POST, PUT, PATCH, DELETE"#;
    test_manifest_text_fewer_connections_than_slots:
        r#""max_connections_per_backend": 330"# => r#""max_connections_per_backend": ^2"#,
        r"max_connections_per_backend is 2; allowed is at least max_slots_per_backend, 3";
    test_manifest_text_ticket_shorter_than_cache:
        r#""ticket_ms": 60000"# => r#""ticket_ms": ^4000"#,
        r"ticket_ms is 4000; allowed is at least cache_ms, 5000";

    test_manifest_text_ticket_too_long:
        r#""ticket_ms": 60000"# => r#""ticket_ms": ^600001"#,
        r"ticket_ms is 600001; allowed is at most 600000";
}

#[test]
fn test_manifest_text_reports_every_fault_in_order() {
    let text = KYUSHU
        .replacen("\"percent\": 60", "\"percent\": 200", 1)
        .replacen("\"region\": \"fukuoka\"}", "\"regoin\": \"fukuoka\"}", 1);
    let faults = read_manifest("m.jsonc", &text).unwrap_err();
    let lines: Vec<usize> = faults.0.iter().map(|fault| fault.position.line).collect();
    assert_eq!(lines, [10, 10, 62]);
}

#[test]
fn test_manifest_text_column_counts_characters() {
    let text = "{\"deployment\": \"九州\", \"version\": true}";
    let faults = read_manifest("m.jsonc", text).unwrap_err();
    let version = faults.0.last().unwrap();
    assert_eq!(version.position.column, 33);
}

#[test]
fn test_manifest_text_too_large() {
    let text = format!("{KYUSHU}{}", " ".repeat(MAX_MANIFEST_BYTES));
    let faults = read_manifest("m.jsonc", &text).unwrap_err();
    assert_eq!(
        faults.to_string(),
        format!(
            "m.jsonc:1:1: the text has {} bytes; allowed are at most 16777216",
            text.len()
        )
    );
}

#[test]
fn test_manifest_text_empty() {
    let faults = read_manifest("m.jsonc", "// nothing\n").unwrap_err();
    assert_eq!(
        faults.to_string(),
        "m.jsonc:1:1: the text is empty; allowed is an object"
    );
}
