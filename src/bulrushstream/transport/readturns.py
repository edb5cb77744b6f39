"""Turns of connections on which more arrives than is read at once.

The event loop serves all connections that have bytes in each of its turns.
Those with the most bytes take turns instead, one for each turn of the loop,
so that a few of them do not delay all others.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True)
class ReadTurns:
    """The connections that wait until they may read on."""

    _waiting: deque[Callable[[], None]] = field(default_factory=deque)

    def wait(self, read_on: Callable[[], None]) -> None:
        """Wait for the next turn.

        :param read_on: called at that turn
        """
        self._waiting.append(read_on)
        if len(self._waiting) == 1:
            asyncio.get_running_loop().call_soon(self._next)

    def _next(self) -> None:
        """Let one connection read on; it may wait again then."""
        self._waiting.popleft()()
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._next)
