"""A simulated pool whose connections carry one request each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from bulrushstream.state.endpointsigns import ConnectionsSeen


@dataclass(slots=True)
class PendingCheck:
    """A check that has not reported yet; stands in for `PendingRequest`."""

    timer: asyncio.Handle
    reused: bool = False

    def cancel(self) -> None:
        """Cancel the check."""
        self.timer.cancel()


class SingleUsePool:
    """The parts of `Pool` that concern connections without a request."""

    __slots__ = ()

    def seen(self, at_s: float) -> ConnectionsSeen:
        """Return that no connection outlives its request."""
        del at_s
        return ConnectionsSeen(ended=0, open=0, heard=False)

    @property
    def last_ended_s(self) -> float:
        """Return that the peer ended no other connection."""
        return float("-inf")

    def is_heard(self, opened_by_s: float, since_s: float) -> bool:
        """Return that no bytes came on other connections."""
        del opened_by_s, since_s
        return False

    def heard_s(self, opened_by_s: float) -> float:
        """Return that no bytes came on other connections."""
        del opened_by_s
        return float("-inf")

    def add_idle(self) -> None:
        """Do nothing: there are no idle connections."""

    def check_running(self, on_result: Callable[[bool], None]) -> PendingCheck:
        """Report that the peer runs: simulated endpoints always do."""
        loop = asyncio.get_running_loop()
        return PendingCheck(loop.call_soon(on_result, True))

    def retire_idle(self) -> None:
        """Do nothing: there are no idle connections."""
