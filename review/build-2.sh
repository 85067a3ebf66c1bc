#!/bin/bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, beside what the deploy file
# builds.
set -eu
cd "$(dirname "$0")/.."
make --no-print-directory -j"$(nproc)" BUILD=target target/bin/anvil-store target/bin/anvil-registrant
mkdir -p target/review-2
gcc -std=gnu11 -O2 -Wall -Wextra -Werror -o target/review-2/late-proxy review/9/late-proxy.c
