#!/usr/bin/env bash
# The stand-ins of the scripts are Python (3.11 or newer, standard library only): nothing is compiled.
# Checks that they can be read and that the build of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - lib/standins.py ./*/case.py <<'CHECK'
import ast
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
CHECK
test -x ../target/services/sidecar/peridot-sidecar
