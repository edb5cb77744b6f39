"""Wire a front-end router on the users' platform."""

from __future__ import annotations

import asyncio
import gc
import os
import sys
import time
from typing import Final

from bulrushstream.daemon.front import FrontDeps
from bulrushstream.daemon.frontprocess import boot_clock, make_rng, serve
from bulrushstream.logs import instance_log, start_bounded_logging
from bulrushstream.metrics import count_decision, count_shares, make_metrics
from bulrushstream.platform.dialect import PLATFORM
from bulrushstream.platform.nodefile import SETTINGS_VARIABLE
from bulrushstream.state.effect import Decision
from bulrushstream.state.nodesettings import NodeSettings
from bulrushstream.state.usage import ShareReport

BAD_SETTINGS_EXIT: Final = 2
LOG_FLUSH_S: Final = 0.2
STDOUT: Final = 1


def main() -> int:
    """Run a router with the settings file that the platform names.

    :returns: the exit code
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    settings = PLATFORM.read_settings(path)
    if not isinstance(settings, NodeSettings):
        for finding in settings:
            print(finding, file=sys.stderr)
        return BAD_SETTINGS_EXIT
    # Everything loaded so far stays in use; exclude it from collections.
    gc.collect()
    gc.freeze()
    return asyncio.run(serve(path, _wire, settings))


def _wire(settings: NodeSettings) -> FrontDeps:
    """Return a router's collaborators."""
    handler = start_bounded_logging(STDOUT)
    metrics = make_metrics()
    log = instance_log(settings.instance)
    loop = asyncio.get_running_loop()

    def observe(decision: Decision) -> None:
        count_decision(metrics, decision)
        log.log_decision(decision)

    def report_shares(report: ShareReport) -> None:
        count_shares(metrics, report)
        log.log_shares(report)

    def flush() -> None:
        handler.flush()
        loop.call_later(LOG_FLUSH_S, flush)

    flush()
    return FrontDeps(
        dialect=PLATFORM,
        clock=loop.time,
        boot_clock=boot_clock,
        time_of_day=time.time,
        rng=make_rng(),
        metrics=metrics,
        observe=observe,
        report=log.report,
        report_shares=report_shares,
    )
