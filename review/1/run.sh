#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the case does the same without its disruption.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD/../lib" exec python3 case.py
