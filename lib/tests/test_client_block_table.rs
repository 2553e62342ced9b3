//! Compares the client block table with a naive longest-prefix search.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;

use heatherring_lib::client_block_table::ClientBlockTable;
use heatherring_lib::id::ManifestVersion;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::manifest::BlockPrefix;
use heatherring_lib::manifest::ClientBlock;
use heatherring_lib::manifest::LookUps;
use heatherring_lib::manifest::Manifest;
use heatherring_lib::manifest::Place;
use proptest::collection::vec;
use proptest::prelude::*;

const PLACES: u8 = 3;

fn place(number: u8) -> PlaceName {
    PlaceName::new(format!("p{number}"))
}

fn manifest(client_blocks: Vec<ClientBlock>) -> Manifest {
    let region = RegionName::new("r");
    let described = |number| {
        let region = region.clone();
        (place(number), Place { region })
    };
    Manifest {
        version: ManifestVersion(1),
        deployment: "d".to_owned(),
        places: (0..PLACES).map(described).collect(),
        services: BTreeMap::new(),
        shift_caps: Vec::new(),
        links: Vec::new(),
        drains: Vec::new(),
        client_blocks,
        look_ups: LookUps::default(),
    }
}

fn table(blocks: &[(&str, u8)]) -> ClientBlockTable {
    let client_blocks = blocks.iter().map(|(block, number)| ClientBlock {
        block: block.parse().unwrap(),
        place: place(*number),
    });
    ClientBlockTable::new(&manifest(client_blocks.collect()))
}

macro_rules! lookup_cases {
    ($($name:ident: $blocks:expr, $address:literal => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let table = table(&$blocks);
                let found = table.place_of($address.parse().unwrap());
                let expected: Option<u8> = $expected;
                assert_eq!(found.cloned(), expected.map(place));
            }
        )*
    };
}

lookup_cases! {
    test_client_block_table_empty: [], "127.0.0.1" => None;
    test_client_block_table_before_first: [("127.0.0.0/8", 0)], "126.255.255.255" => None;
    test_client_block_table_first_address: [("127.0.0.0/8", 0)], "127.0.0.0" => Some(0);
    test_client_block_table_last_address: [("127.0.0.0/8", 0)], "127.255.255.255" => Some(0);
    test_client_block_table_after_last: [("127.0.0.0/8", 0)], "128.0.0.0" => None;
    test_client_block_table_everything: [("0.0.0.0/0", 2)], "255.255.255.255" => Some(2);
    test_client_block_table_inner_block: [("10.0.0.0/8", 0), ("10.1.0.0/16", 1)], "10.1.2.3" => Some(1);
    test_client_block_table_after_inner_block: [("10.0.0.0/8", 0), ("10.1.0.0/16", 1)], "10.2.0.0" => Some(0);
    test_client_block_table_inner_at_start: [("10.0.0.0/8", 0), ("10.0.0.0/16", 1)], "10.1.0.0" => Some(0);
    test_client_block_table_inner_at_end: [("10.0.0.0/8", 0), ("10.255.0.0/16", 1)], "11.0.0.0" => None;
    test_client_block_table_host: [("10.0.0.1/32", 1)], "10.0.0.1" => Some(1);
    test_client_block_table_v6: [("2001:db8::/32", 1), ("2001:db8:1::/48", 2)], "2001:db8:1::1" => Some(2);
    test_client_block_table_v6_is_not_v4: [("0.0.0.0/0", 1)], "2001:db8::1" => None;
    test_client_block_table_mapped_v4: [("10.0.0.0/8", 1)], "::ffff:10.0.0.1" => Some(1);
}

#[test]
fn test_client_block_table_joins_neighbours_of_one_place() {
    let table = table(&[("10.0.0.0/9", 1), ("10.128.0.0/9", 1)]);
    // Three ranges: before, within and after the blocks.
    assert_eq!(table.ranges(), 3);
}

fn naive(blocks: &[ClientBlock], address: IpAddr) -> Option<PlaceName> {
    let holding = blocks.iter().filter(|client_block| {
        let block = client_block.block;
        let length = u32::from(block.length);
        match (block.address, address) {
            (IpAddr::V4(first), IpAddr::V4(address)) => {
                let differing = first.to_bits() ^ address.to_bits();
                differing.leading_zeros() >= length
            }
            (IpAddr::V6(first), IpAddr::V6(address)) => {
                let differing = first.to_bits() ^ address.to_bits();
                differing.leading_zeros() >= length
            }
            _ => false,
        }
    });
    holding
        .max_by_key(|client_block| client_block.block.length)
        .map(|client_block| client_block.place.clone())
}

/// Generates addresses whose bits vary at both ends only, so that blocks are often nested or
/// adjacent.
fn v4_address() -> impl Strategy<Value = u32> {
    (0_u32..4, 0_u32..8).prop_map(|(high, low)| (high << 30) | (high << 15) | low)
}

fn v4_block() -> impl Strategy<Value = BlockPrefix> {
    (v4_address(), 0_u8..=32).prop_map(|(bits, length)| {
        let mask = u32::MAX.checked_shl(32 - u32::from(length)).unwrap_or(0);
        let address = IpAddr::V4(Ipv4Addr::from_bits(bits & mask));
        BlockPrefix { address, length }
    })
}

fn v6_block() -> impl Strategy<Value = BlockPrefix> {
    (v4_address(), 0_u8..=128).prop_map(|(bits, length)| {
        let bits = u128::from(bits) << 96 | u128::from(bits);
        let mask = u128::MAX.checked_shl(128 - u32::from(length)).unwrap_or(0);
        let address = IpAddr::V6(Ipv6Addr::from_bits(bits & mask));
        BlockPrefix { address, length }
    })
}

/// Generates distinct blocks, as in a validated manifest.
fn client_blocks() -> impl Strategy<Value = Vec<ClientBlock>> {
    vec((prop_oneof![v4_block(), v6_block()], 0..PLACES), 0..24).prop_map(|drawn| {
        let by_block: BTreeMap<BlockPrefix, u8> = drawn.into_iter().collect();
        let client_block = |(block, number)| ClientBlock {
            block,
            place: place(number),
        };
        by_block.into_iter().map(client_block).collect()
    })
}

/// Lists the first and last address of every block and their neighbours.
fn edges(blocks: &[ClientBlock]) -> Vec<IpAddr> {
    let mut edges = Vec::new();
    for client_block in blocks {
        let length = u32::from(client_block.block.length);
        match client_block.block.address {
            IpAddr::V4(first) => {
                let first = first.to_bits();
                let last = first | u32::MAX.checked_shr(length).unwrap_or(0);
                let near = [first.wrapping_sub(1), first, last, last.wrapping_add(1)];
                edges.extend(near.map(|bits| IpAddr::V4(Ipv4Addr::from_bits(bits))));
            }
            IpAddr::V6(first) => {
                let first = first.to_bits();
                let last = first | u128::MAX.checked_shr(length).unwrap_or(0);
                let near = [first.wrapping_sub(1), first, last, last.wrapping_add(1)];
                edges.extend(near.map(|bits| IpAddr::V6(Ipv6Addr::from_bits(bits))));
            }
        }
    }
    edges
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn test_client_block_table_agrees_with_naive_search(blocks in client_blocks()) {
        let table = ClientBlockTable::new(&manifest(blocks.clone()));
        for address in edges(&blocks) {
            // The table treats an IPv4-mapped address as IPv4, the naive search as IPv6.
            if address.to_canonical() != address {
                continue;
            }
            let found = table.place_of(address).cloned();
            prop_assert_eq!(found, naive(&blocks, address), "at {}", address);
        }
    }
}
