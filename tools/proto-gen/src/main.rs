//! Writes the committed protocol code, so that the build needs no generator.
//!
//! Run it from the root of the repository:
//! `cargo run --manifest-path tools/proto-gen/Cargo.toml`.

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(["heatherring.proto"], ["server/proto"])?;
    tonic_prost_build::configure()
        .out_dir("server/src/generated")
        .compile_fds(descriptors)?;
    Ok(())
}
