"""Ends requests whose answers the router failed to pass on.

An error between the reading and the writing of a piece of an answer leaves
open which bytes the caller got.  Nothing may follow them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from bulrushstream.daemon.forward import Forward

# Longer texts of errors are cut.
MAX_FAULT_CHARS: Final = 400


def end_broken(forward: Forward, error: Exception) -> None:
    """End a request as broken off.

    :param forward: the request
    :param error: what was raised, maybe as memory has run out
    """
    if forward.exchange.started:
        # The first thing, as anything else may fail, too.
        forward.exchange.abort()
    if forward.done:
        return
    forward.front.report("fault", repr(error)[:MAX_FAULT_CHARS])
    forward.break_off()
