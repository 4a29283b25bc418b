#!/usr/bin/env bash
# Regenerates nutmeglead/_generated from schema/ with the thrift compiler.
# With --check, compares instead and fails if the committed code differs; without the compiler,
# the check prints a message and passes.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v thrift >/dev/null; then
    echo "generate: the thrift compiler (Debian package thrift-compiler) is not installed" >&2
    [ "${1:-}" = "--check" ] && exit 0
    exit 1
fi
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for schema in audit common emulator peers settings tickets; do
    thrift -I schema --gen py:enum -out "$out" "schema/$schema.thrift"
done
rm -f "$out"/nutmeglead/__init__.py
if [ "${1:-}" = "--check" ]; then
    diff -r --exclude=__pycache__ "$out/nutmeglead/_generated" nutmeglead/_generated
    echo "generate: committed code matches the schema"
else
    rm -rf nutmeglead/_generated
    cp -r "$out/nutmeglead/_generated" nutmeglead/_generated
fi
