"""A router's process under limits of its own, for plays of real processes.

Its time of day is shifted by what a file says, read at each call.  Other
clocks are left alone.
"""

from __future__ import annotations

import contextlib
import ctypes
import os
import resource
import runpy
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Final

SHIFT_VARIABLE: Final = "TEST_CLOCK_SHIFT_FILE"  # Seconds; may change.
SQUEEZE_VARIABLE: Final = "TEST_SQUEEZE_SEED"  # Memory runs out at times.
PROGRAM: Final = Path(__file__).parents[1] / "deploy/router.py"
NS_PER_S: Final = 1_000_000_000
UNLIMITED: Final = resource.RLIM_INFINITY
START_S: Final = 1.0  # How long a start takes once all is imported.
ROOM_BYTES: Final = (0, 0, 40_000, 300_000)  # That is left.


def shifted(clock_ns: Callable[[], int], path: str) -> Callable[[], int]:
    """Return a clock that is shifted by what a file says.

    :param clock_ns: the clock
    :param path: the file
    """
    return lambda: (
        clock_ns()
        + int(float(Path(path).read_text(encoding="ascii") or "0") * NS_PER_S)
    )


def squeeze(rng: Random) -> None:
    """Let the process have no more address space, again and again.

    :param rng: draws when, and how much there is left
    """
    while not hasattr(sys.modules.get("bulrushstream.compose.entry"), "main"):
        time.sleep(0.1)
    time.sleep(START_S)
    page_bytes = resource.getpagesize()
    while True:
        time.sleep(rng.uniform(0.1, 0.6))
        with contextlib.suppress(MemoryError):
            sizes = Path("/proc/self/statm").read_text(encoding="ascii")
            used_bytes = int(sizes.split()[0]) * page_bytes
            limit = used_bytes + rng.choice(ROOM_BYTES)
            resource.setrlimit(resource.RLIMIT_AS, (limit, UNLIMITED))
            time.sleep(rng.uniform(0.05, 0.4))
        resource.setrlimit(resource.RLIMIT_AS, (UNLIMITED, UNLIMITED))


def main() -> None:
    """Run a router under the limits that the environment names."""
    path = os.environ.get(SHIFT_VARIABLE)
    if path:
        time.time_ns = clock_ns = shifted(time.time_ns, path)
        time.time = lambda: clock_ns() / NS_PER_S
    seed = os.environ.get(SQUEEZE_VARIABLE)
    if seed:
        # It is loaded when a thread ends, for which there may be no memory.
        ctypes.CDLL("libgcc_s.so.1")
        work = threading.Thread(target=squeeze, args=(Random(seed),))
        work.daemon = True
        work.start()
    runpy.run_path(str(PROGRAM), run_name="__main__")


if __name__ == "__main__":
    main()
