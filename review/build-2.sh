#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/8 start. They are
# in Python and use the packages that the deploy file has put under target/deps.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:.:review/4
python3 -m compileall -q cactusridge standins
python3 -S -c 'import harness'
