#!/usr/bin/env bash
# Builds what the scripts of cases 4 to 8 start: the project's programs. Their stand-ins are Python and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline
