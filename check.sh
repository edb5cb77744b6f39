#!/usr/bin/env bash
# Run every check: format, lint, types, layers, tests on all cores.
set -euo pipefail
cd "$(dirname "$0")"
ruff format --check .
ruff check .
mypy
lint-imports
python3 -m pytest -n logical --dist worksteal "$@"
# What CI passes over is said out loud.
grep -v '^#' KNOWN-RED.txt | sed 's/^/known red: /' || true
