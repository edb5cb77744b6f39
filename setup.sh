#!/usr/bin/env bash
# Install the project and its test tools into the active environment.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m pip install --quiet --constraint constraints.txt --editable '.[test]'
