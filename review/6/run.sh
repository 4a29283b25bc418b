#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$root/target/deps:$root:$root/review/common-2" exec python3 case.py
