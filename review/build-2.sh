#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. They are plain Python without libraries and
# run inside the scripts' own processes, so compiling them is all there is to do.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins_2 6 7 8 9
python3 -m standins_2
