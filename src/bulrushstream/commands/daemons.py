"""`bulrushstream router` and `bulrushstream agent`: the daemons.

SIGTERM and SIGINT drain: no new work, what runs is finished, exit code 0.
A second signal, or the end of the drain timeout, ends at once and says
what was cut.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Callable
from typing import Final, Protocol, TypeVar

from expression import Result

from bulrushstream.compose import fleet as compose
from bulrushstream.logs import start_logging
from bulrushstream.settings import (
    AgentSettings,
    RouterSettings,
    read_agent,
    read_router,
)
from bulrushstream.state.finding import Finding

BAD_SETTINGS_EXIT: Final = 2
CUT_EXIT: Final = 1

SettingsT = TypeVar("SettingsT", RouterSettings, AgentSettings)


class Daemon(Protocol):
    """What this module needs of an instance."""

    async def start(self) -> None:
        """Listen, and start every task."""

    async def stop(self, limit_s: float) -> bool:
        """Drain and stop; return whether everything ended."""

    async def kill(self) -> None:
        """Drop everything at once."""

    def unfinished(self) -> list[str]:
        """Return the requests that have not ended."""


def router(settings: str) -> int:
    """Run a router until it is told to stop.

    :param settings: the settings file, JSON with comments
    :returns: the exit code
    """
    return _run(read_router(settings), compose.make_router)


def agent(settings: str) -> int:
    """Run an agent until it is told to stop.

    :param settings: the settings file, JSON with comments
    :returns: the exit code
    """
    return _run(read_agent(settings), compose.make_agent)


def _run(
    result: Result[SettingsT, tuple[Finding, ...]],
    make: Callable[[SettingsT], Daemon],
) -> int:
    """Run an instance with its settings, or report what is wrong in them."""
    if result.is_error():
        return _report(result.error)
    settings = result.ok
    return asyncio.run(
        _serve(lambda: make(settings), settings.drain_timeout_s)
    )


def _report(findings: tuple[Finding, ...]) -> int:
    """Print every finding of a settings file."""
    for finding in findings:
        print(finding, file=sys.stderr)
    return BAD_SETTINGS_EXIT


async def _serve(make: Callable[[], Daemon], drain_timeout_s: float) -> int:
    """Run an instance until signals end it."""
    start_logging()
    loop = asyncio.get_running_loop()
    first, second = asyncio.Event(), asyncio.Event()

    def signalled() -> None:
        (second if first.is_set() else first).set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signalled)
    instance = make()
    await instance.start()
    await first.wait()
    stopping = asyncio.create_task(instance.stop(drain_timeout_s))
    hurried = asyncio.create_task(second.wait())
    await asyncio.wait(
        (stopping, hurried), return_when=asyncio.FIRST_COMPLETED
    )
    cut = instance.unfinished()
    if not stopping.done():
        stopping.cancel()
        await instance.kill()
    elif stopping.result():
        cut = []
    hurried.cancel()
    for request_id in cut:
        print(f"cut: {request_id}", file=sys.stderr)
    return CUT_EXIT if cut else 0
