#!/bin/sh
# Builds the stand-in that the cases start beside the program of the deploy file: the store.
# Servers and callers are stand-ins in Python 3, which libglib2.0-dev depends on.
set -eu
cd "$(dirname "$0")/.."
make -j8 BUILD=target target/bin/anvil-relay target/bin/anvil-store >/dev/null
python3 -c 'import ast, sys; [ast.parse(open(path).read(), path) for path in sys.argv[1:]]' \
  review/harness.py review/*/case.py
