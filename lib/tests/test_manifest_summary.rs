//! Tests of the summary of changes between two manifests.

use heatherring_lib::manifest_summary::changes;
use heatherring_lib::manifest_text::read_manifest;

const KYUSHU: &str = include_str!("../../samples/kyushu.jsonc");

fn changes_after(replacements: &[(&str, &str)]) -> Vec<String> {
    let before = read_manifest("before", KYUSHU).unwrap();
    let mut text = KYUSHU.to_owned();
    for (from, to) in replacements {
        assert!(text.contains(from), "the sample has no {from:?}");
        text = text.replacen(from, to, 1);
    }
    let after = read_manifest("after", &text).unwrap();
    changes(&before, &after)
        .iter()
        .map(ToString::to_string)
        .collect()
}

macro_rules! change_cases {
    ($($name:ident: [$($from:literal => $to:literal),*], $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let expected: &[&str] = &$expected;
                assert_eq!(changes_after(&[$(($from, $to)),*]), expected);
            }
        )*
    };
}

change_cases! {
    test_manifest_summary_nothing: [], [];
    test_manifest_summary_comments_are_nothing: ["// Planned" => "// Possibly planned"], [];
    test_manifest_summary_limit: [r#""max_in_flight": 12"# => r#""max_in_flight": 10"#],
        ["~ services.registry.limits.fko-hakata: 12 in flight, 600 per second -> 10 in flight, 600 per second"];
    test_manifest_summary_operation: [r#""idempotent": false, "deadline_ms": 5000"# => r#""idempotent": true, "deadline_ms": 5000"#],
        ["~ services.registry.operations.book-crushing-slot: POST /bookings, at most once, deadline 5000 ms -> POST /bookings, idempotent, deadline 5000 ms"];
    test_manifest_summary_cap: [r#""percent": 60"# => r#""percent": 30"#],
        ["~ shift_caps.any place to place fko-hakata: 60% -> 30%"];
    test_manifest_summary_link: [r#""max_kilobytes_per_second": 12500"# => r#""max_kilobytes_per_second": 9"#],
        ["~ links.fukuoka to kumamoto: 12500 kB/s -> 9 kB/s"];
    test_manifest_summary_drain: [r#"// {"vm": "entry-2"}"# => r#"{"vm": "entry-2"}"#],
        ["+ drains: entry VM entry-2"];
    test_manifest_summary_block_moved: [r#""127.11.0.0/16", "place": "fko-hakata""# => r#""127.11.0.0/16", "place": "fko-kokura""#],
        ["~ client_blocks.127.11.0.0/16: fko-hakata -> fko-kokura"];
    test_manifest_summary_version_and_look_ups: [r#""version": 1"# => r#""version": 2"#, r#""cache_ms": 5000"# => r#""cache_ms": 9000"#],
        ["~ version: 1 -> 2", "~ look_ups.cache_ms: 5000 -> 9000"];
}
