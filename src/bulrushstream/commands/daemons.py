"""`bulrushstream router` and `bulrushstream agent`: the daemons.

SIGTERM and SIGINT start a drain: no new work is accepted, running requests
are finished and the exit code is 0.  A second signal, or the drain timeout,
stops immediately; the unfinished requests are printed.
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
UNFINISHED_EXIT: Final = 1

SettingsT = TypeVar("SettingsT", RouterSettings, AgentSettings)


class Daemon(Protocol):
    """The methods of an instance that this module uses."""

    async def start(self) -> None:
        """Open the listeners and start every task."""

    async def stop(self, limit_s: float) -> bool:
        """Drain and stop; return whether every request ended."""

    async def kill(self) -> None:
        """Stop immediately and abort every request."""

    def unfinished(self) -> list[str]:
        """Return the requests that have not ended."""


def router(settings: str) -> int:
    """Run a router until a signal stops it.

    :param settings: the settings file, JSON with comments
    :returns: the exit code
    """
    return _run(read_router(settings), compose.make_router)


def agent(settings: str) -> int:
    """Run an agent until a signal stops it.

    :param settings: the settings file, JSON with comments
    :returns: the exit code
    """
    return _run(read_agent(settings), compose.make_agent)


def _run(
    result: Result[SettingsT, tuple[Finding, ...]],
    make: Callable[[SettingsT], Daemon],
) -> int:
    """Run an instance, or report the findings in its settings."""
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
    """Run an instance until signals stop it; return the exit code."""
    start_logging()
    loop = asyncio.get_running_loop()
    drain_signal, kill_signal = asyncio.Event(), asyncio.Event()

    def on_signal() -> None:
        (kill_signal if drain_signal.is_set() else drain_signal).set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    instance = make()
    await instance.start()
    await drain_signal.wait()
    stopping = asyncio.create_task(instance.stop(drain_timeout_s))
    killing = asyncio.create_task(kill_signal.wait())
    await asyncio.wait(
        (stopping, killing), return_when=asyncio.FIRST_COMPLETED
    )
    unfinished = instance.unfinished()
    if not stopping.done():
        stopping.cancel()
        await instance.kill()
    elif stopping.result():
        unfinished = []
    killing.cancel()
    for request_id in unfinished:
        print(f"cut: {request_id}", file=sys.stderr)
    return UNFINISHED_EXIT if unfinished else 0
