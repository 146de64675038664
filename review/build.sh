#!/usr/bin/env bash
# The stand-ins of the cases are scripts for python3 and its standard library.
# Nothing has to be compiled or fetched; this checks that they can be parsed.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 - support/*.py [0-9]/*.py <<'PY'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(), name, 'exec')
PY
