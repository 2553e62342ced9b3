//! Tests of deltas between two manifests.

use heatherring_lib::manifest::Manifest;
use heatherring_lib::manifest_delta::DeltaError;
use heatherring_lib::manifest_delta::ManifestDelta;
use heatherring_lib::manifest_delta::encode_manifest;
use proptest::collection::btree_map;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

const SEED: u64 = 20_261_202;

fn block(number: u32) -> Value {
    let [_, a, b, c] = number.to_be_bytes();
    json!({ "block": format!("{a}.{b}.{c}.0/24"), "place": "alm-a" })
}

fn manifest_with_blocks(version: u64, blocks: impl IntoIterator<Item = u32>) -> Manifest {
    let blocks: Vec<_> = blocks.into_iter().map(block).collect();
    serde_json::from_value(json!({
        "version": version,
        "deployment": "test",
        "places": { "alm-a": { "region": "almaty" } },
        "services": {},
        "client_blocks": blocks,
    }))
    .unwrap()
}

fn service(limit: u32) -> Value {
    json!({
        "operations": [{
            "name": "search", "method": "GET", "path_prefix": "/",
            "idempotent": true, "deadline_ms": limit + 1,
        }],
        "max_slots_per_backend": limit,
        "max_connections_per_backend": 390,
        "limits": { "p0": { "max_in_flight": limit, "max_per_second": 10 } },
    })
}

fn named<T>(
    items: impl IntoIterator<Item = (u32, T)>,
    value: impl Fn(T) -> Value,
) -> Map<String, Value> {
    let items = items.into_iter();
    items
        .map(|(name, item)| (format!("n{name}"), value(item)))
        .collect()
}

prop_compose! {
    /// Generates each part from few values, so that two manifests have many items in common.
    fn any_manifest()(
        version in 1_u64..4,
        deployment in 0..2,
        places in btree_map(0_u32..4, 0..2, 0..4),
        services in btree_map(0_u32..3, 1_u32..3, 0..3),
        caps in vec(0..4, 0..6),
        links in vec(0..3, 0..4),
        drains in vec(0..3, 0..4),
        blocks in vec(0_u32..12, 0..300),
        cache_ms in 1..3,
    ) -> Manifest {
        let caps = caps
            .into_iter()
            .map(|percent| json!({ "from": "any", "to": { "place": "p0" }, "percent": percent }));
        let links = links
            .into_iter()
            .map(|limit| json!({ "from": "r0", "to": "r1", "max_kilobytes_per_second": limit }));
        let drains = drains.into_iter().map(|vm| json!({ "vm": format!("vm{vm}") }));
        serde_json::from_value(json!({
            "version": version,
            "deployment": format!("d{deployment}"),
            "places": named(places, |region| json!({ "region": format!("r{region}") })),
            "services": named(services, service),
            "shift_caps": caps.collect::<Value>(),
            "links": links.collect::<Value>(),
            "drains": drains.collect::<Value>(),
            "client_blocks": blocks.into_iter().map(block).collect::<Value>(),
            "look_ups": { "cache_ms": cache_ms, "ticket_ms": 5 },
        }))
        .unwrap()
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn test_manifest_delta_restores_target(base in any_manifest(), target in any_manifest()) {
        let encoded = ManifestDelta::between(&base, &target).unwrap().encode().unwrap();
        let delta = ManifestDelta::decode(&encoded).unwrap();
        prop_assert_eq!(delta.apply(&base).unwrap(), target);
    }

    // A delta applied to a manifest other than its base either fails or yields its target. If
    // the result were not compared with the digest, the steps of a delta might happen to fit,
    // and an entry VM would use a manifest that no operator submitted.
    #[test]
    fn test_manifest_delta_yields_target_or_fails_on_other_base(
        base in any_manifest(),
        target in any_manifest(),
        other in any_manifest(),
    ) {
        let delta = ManifestDelta::between(&base, &target).unwrap();
        if let Ok(result) = delta.apply(&other) {
            prop_assert_eq!(result, target);
        }
    }

    // A delta with one flipped bit neither panics nor yields another manifest than its target,
    // as it could if the decoder trusted encoded lengths or the result were not compared with
    // the digest.
    #[test]
    fn test_manifest_delta_survives_flipped_bit(
        base in any_manifest(),
        target in any_manifest(),
        position: prop::sample::Index,
        bit in 0_u32..8,
    ) {
        let mut encoded = ManifestDelta::between(&base, &target).unwrap().encode().unwrap();
        let position = position.index(encoded.len());
        encoded[position] ^= 1_u8 << bit;
        let result = ManifestDelta::decode(&encoded).and_then(|delta| delta.apply(&base));
        if let Ok(result) = result {
            prop_assert_eq!(result, target);
        }
    }
}

const BLOCKS: u32 = 20_000;

macro_rules! delta_size_cases {
    ($($name:ident: $blocks:expr,)+) => {
        $(
            #[test]
            fn $name() {
                let base = manifest_with_blocks(1, 0..BLOCKS);
                let target = manifest_with_blocks(2, $blocks);
                let delta = ManifestDelta::between(&base, &target).unwrap();
                assert_eq!(delta.apply(&base).unwrap(), target);
                let size = delta.encode().unwrap().len();
                let whole = encode_manifest(&target).unwrap().len();
                assert!(size * 10 < whole, "delta of {size} bytes, manifest of {whole} bytes");
            }
        )+
    };
}

delta_size_cases! {
    test_manifest_delta_stays_small_for_scattered_blocks:
        (0..BLOCKS).map(|n| if n % 1_000 == 7 { n + BLOCKS } else { n }),
    test_manifest_delta_stays_small_for_removed_blocks:
        (0..BLOCKS).filter(|n| n % 1_000 != 7),
    test_manifest_delta_stays_small_for_long_removal:
        (0..5_000).chain(9_000..BLOCKS),
    test_manifest_delta_stays_small_for_long_insertion:
        (0..5_000).chain(BLOCKS..BLOCKS + 500).chain(5_000..BLOCKS),
}

#[test]
fn test_manifest_delta_refuses_short_base() {
    let base = manifest_with_blocks(1, 0..10);
    let delta = ManifestDelta::between(&base, &manifest_with_blocks(2, 0..9)).unwrap();
    let error = delta.apply(&manifest_with_blocks(1, 0..4)).unwrap_err();
    assert!(matches!(error, DeltaError::List { .. }), "{error:?}");
}
