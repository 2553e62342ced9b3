#!/bin/sh
# Builds the stand-ins that the scripts of review/4 and later start. Needs no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness-2/Cargo.toml
