#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: Python files, and the project's emulated store.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review/common-3 nutmeglead/emulator nutmeglead/http nutmeglead/platform
