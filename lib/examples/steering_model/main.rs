//! Compares strategies for steering requests to backend servers under identical arrivals.
//!
//! A deterministic model of entry VMs, backend servers and the delays between them. It
//! runs the admission and steering of the library against simpler strategies. Run it with
//! `cargo run --release -p heatherring-lib --example steering_model -- kyushu` (or
//! `qazyna`); it produces the figures in docs/design/steering.md.

mod direct;
mod owners;
mod report;
mod world;

use direct::Direct;
use direct::Strategy;
use owners::Owners;
use report::Report;
use world::Deployment;
use world::World;

const LOADS: [f64; 4] = [0.5, 0.8, 0.95, 1.2];
const SEED: u64 = 1;

fn main() {
    let name = std::env::args().nth(1).unwrap_or_else(|| "kyushu".into());
    let deployment = match name.as_str() {
        "qazyna" => Deployment::qazyna(),
        _ => Deployment::kyushu(),
    };
    println!("{}", Report::HEAD);
    for load in LOADS {
        for strategy_kind in Strategy::ALL {
            let mut world = World::new(&deployment, load, SEED);
            let report = Direct::new(&world, strategy_kind, SEED).run(&mut world);
            println!("{}", report.line(load, strategy_kind.name()));
        }
        let mut world = World::new(&deployment, load, SEED);
        let report = Owners::new(&world, SEED).run(&mut world);
        println!("{}", report.line(load, "owners"));
    }
}
