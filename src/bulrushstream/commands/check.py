"""`bulrushstream check`: randomized tests of the cores in virtual time."""

from __future__ import annotations

from bulrushstream.check_command import run_check


def check(seconds: float = 60.0, seed: int = 1) -> int:
    """Run the cores under random faults and check every history.

    On a violation it prints the seed and a minimal trace.

    :param seconds: how long to run
    :param seed: the seed of the first history; each further history adds 1
    :returns: the exit code: 0 only if no history violated a guarantee
    """
    return run_check(seconds, seed)
