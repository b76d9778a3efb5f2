#!/bin/bash
# Builds the programs and the project's stand-in (rattanslip-standin) that the scripts start; the workers' stand-in is in lib/site.py.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline
