#!/usr/bin/env bash
# Builds the stand-ins: they need the standard library only, so they are compiled to
# find errors before a case runs.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q lib [1-5]
