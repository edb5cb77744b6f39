#!/bin/sh
# Build what the scripts of review/11 to review/15 start.  The routers and the
# project's own store stand-in are Python and need the libraries of the deploy
# file's build only; the stand-ins are compiled here to show that they load.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || python3 -m pip install -q -U --target target/deps \
    -r deploy/requirements.txt
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/common3 \
    python3 -c "import stand; print('stand-ins load')"
