"""An event loop whose clock jumps from one timer to the next.

asyncio code runs in it unchanged, without real waiting and in the same
order on every run.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine, Mapping
from typing import Any


class _VirtualSelector(selectors.SelectSelector):
    """Advances the clock by the timeout instead of waiting."""

    def __init__(self) -> None:
        """Create a selector whose clock starts at 0."""
        super().__init__()
        self.now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return ready files without waiting; see `selectors.BaseSelector`."""
        ready = super().select(0)
        if not ready and timeout is not None and timeout > 0:
            self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time that starts at 0."""

    def __init__(self) -> None:
        """Create a loop in virtual time."""
        self._virtual_selector = _VirtualSelector()
        self.unhandled_errors: list[str] = []  # Each as its repr.
        super().__init__(self._virtual_selector)
        self.set_exception_handler(self._record_error)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now_s

    def _record_error(
        self, loop: asyncio.AbstractEventLoop, context: Mapping[str, Any]
    ) -> None:
        """Record an unhandled exception in a callback."""
        del loop
        error = context.get("exception") or context.get("message")
        self.unhandled_errors.append(repr(error))


def run_virtually(work: Coroutine[Any, Any, None]) -> list[str]:
    """Run a coroutine in virtual time.

    :param work: the coroutine
    :returns: unhandled exceptions in callbacks
    """
    loop = VirtualLoop()
    try:
        loop.run_until_complete(work)
        return loop.unhandled_errors
    finally:
        loop.close()
