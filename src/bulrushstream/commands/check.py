"""`bulrushstream check`: random histories of the cores, in virtual time."""

from __future__ import annotations

from bulrushstream.check_command import run_check


def check(seconds: float = 60.0, seed: int = 1) -> int:
    """Drive the cores through random faults and check every history.

    On a violation it prints the seed and a minimal trace.

    :param seconds: how long to go on
    :param seed: the first history's seed; the next ones count up
    :returns: the exit code: 0 only if every promise held
    """
    return run_check(seconds, seed)
