#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start, beside the daemon of the deploy file.
set -eu
cd "$(dirname "$0")/.."
make -j8 BUILD=target target/bin/anvil-store
