#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy
# file.  They are Python and need only its libraries, so this checks that they
# and the project's own stand-in of the store can be loaded.
cd "$(dirname "$0")/.." || exit 1
if [ ! -d target/deps ]; then
    echo "target/deps is missing: run the build of deploy/system.toml first" >&2
    exit 1
fi
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:src:review/common2 \
    python3 -c "
import processes, smallfleet, workerprocess
from bulrushstream.standins.keyedlog import KeyedLog
print('the stand-ins load')
"
