//! Benchmarks the client block table: bytes per block, build time and look-ups per
//! second.
//!
//! `cargo run --release -p heatherring-lib --example client_block_bench -- BLOCKS PLACES`

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::error::Error;
use std::hint::black_box;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::time::Instant;

use heatherring_lib::client_block_table::ClientBlockTable;
use heatherring_lib::id::ManifestVersion;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::manifest::BlockPrefix;
use heatherring_lib::manifest::ClientBlock;
use heatherring_lib::manifest::LookUps;
use heatherring_lib::manifest::Manifest;
use heatherring_lib::manifest::Place;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 11;
const LOOK_UPS: usize = 20_000_000;
const ADDRESSES: usize = 1 << 20;
/// Proportion of IPv6 blocks (/48) among all blocks.
const V6_SHARE: f64 = 0.15;
/// Proportion of IPv4 blocks that are /20 blocks, which may contain /24 blocks.
const OUTER_SHARE: f64 = 0.05;
const PAGE_BYTES: u64 = 4_096;

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = std::env::args().skip(1);
    let blocks: usize = arguments
        .next()
        .ok_or("argument BLOCKS is missing")?
        .parse()?;
    let places: usize = arguments
        .next()
        .ok_or("argument PLACES is missing")?
        .parse()?;
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);

    let before = resident_bytes()?;
    let manifest = manifest(blocks, places, &mut rng);
    let manifest_bytes = resident_bytes()?.saturating_sub(before);

    let began = Instant::now();
    let table = ClientBlockTable::new(&manifest);
    let built = began.elapsed();

    let addresses: Vec<IpAddr> = (0..ADDRESSES)
        .map(|_| address(&manifest, &mut rng))
        .collect();
    let began = Instant::now();
    let mut found = 0_usize;
    for index in 0..LOOK_UPS {
        let address = addresses[index % ADDRESSES];
        found += usize::from(black_box(table.place_of(address)).is_some());
    }
    let looked_up = began.elapsed();

    println!(
        "blocks {blocks}, places {places}, ranges {}",
        table.ranges()
    );
    println!(
        "table {} bytes, {:.1} per block",
        table.heap_bytes(),
        ratio(table.heap_bytes(), blocks)
    );
    println!(
        "manifest in memory {manifest_bytes} bytes, {:.1} per block",
        ratio(usize::try_from(manifest_bytes)?, blocks)
    );
    println!("built in {built:?}");
    println!(
        "look-ups per second on one core {:.2} million ({:.0}% with a place)",
        ratio(LOOK_UPS, 1) / looked_up.as_secs_f64() / 1e6,
        100.0 * ratio(found, LOOK_UPS)
    );
    Ok(())
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn ratio(count: usize, of: usize) -> f64 {
    count as f64 / of as f64
}

/// Reads the resident set size from the operating system.
fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages = statm
        .split_whitespace()
        .nth(1)
        .ok_or("statm has no second field")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}

fn manifest(blocks: usize, places: usize, rng: &mut ChaCha8Rng) -> Manifest {
    let names: Vec<PlaceName> = (0..places)
        .map(|n| PlaceName::new(format!("place-{n:03}")))
        .collect();
    let place = |name: &PlaceName| {
        let region = RegionName::new("region");
        (name.clone(), Place { region })
    };
    let mut prefixes = BTreeSet::new();
    while prefixes.len() < blocks {
        prefixes.insert(prefix(rng));
    }
    let client_block = |block| ClientBlock {
        block,
        place: names[rng.random_range(0..places)].clone(),
    };
    Manifest {
        version: ManifestVersion(1),
        deployment: "bench".to_owned(),
        places: names.iter().map(place).collect(),
        services: BTreeMap::new(),
        shift_caps: Vec::new(),
        links: Vec::new(),
        drains: Vec::new(),
        client_blocks: prefixes.into_iter().map(client_block).collect(),
        look_ups: LookUps::default(),
    }
}

fn prefix(rng: &mut ChaCha8Rng) -> BlockPrefix {
    if rng.random_bool(V6_SHARE) {
        let bits = (0x2000_u128 << 112) | (u128::from(rng.random::<u32>()) << 80);
        let address = IpAddr::V6(Ipv6Addr::from_bits(bits));
        return BlockPrefix {
            address,
            length: 48,
        };
    }
    let length = if rng.random_bool(OUTER_SHARE) { 20 } else { 24 };
    let bits = rng.random::<u32>() >> (32 - length) << (32 - length);
    let address = IpAddr::V4(Ipv4Addr::from_bits(bits));
    let length = u8::try_from(length).unwrap_or(u8::MAX);
    BlockPrefix { address, length }
}

/// Draws an address from a random block.
fn address(manifest: &Manifest, rng: &mut ChaCha8Rng) -> IpAddr {
    let index = rng.random_range(0..manifest.client_blocks.len());
    match manifest.client_blocks[index].block.address {
        IpAddr::V4(first) => {
            Ipv4Addr::from_bits(first.to_bits() | u32::from(rng.random::<u8>())).into()
        }
        IpAddr::V6(first) => {
            Ipv6Addr::from_bits(first.to_bits() | u128::from(rng.random::<u64>())).into()
        }
    }
}
