#!/usr/bin/env bash
# The stand-ins of review 3 are plain Python without dependencies; check that they compile.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX=$(mktemp -d) python3 -m py_compile parts3.py 11/run.py 12/case.py 13/case.py 14/case.py 15/case.py harness.py
