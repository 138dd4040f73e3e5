#!/bin/sh
# Builds the stand-ins of the cases: Python that needs nothing but itself.
cd "$(dirname "$0")/.." || exit 1
python3 -m compileall -q review/1 review/2 review/3
