#!/bin/sh
# Builds the stand-ins of the scripted cases. Needs no package and no network.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/harness/Cargo.toml --target-dir target/review
