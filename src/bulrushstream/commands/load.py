"""`bulrushstream load`: send a scenario's requests to routers."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Final

import msgspec

from bulrushstream.load.fleet import local_plan
from bulrushstream.load.run import Progress, run_load
from bulrushstream.load.scenario import (
    Scenario,
    fleet_config,
    read_scenario,
    scenario_names,
)
from bulrushstream.load.summary import LoadSummary, format_summary
from bulrushstream.local.fleet import run_fleet

BAD_ANSWERS_EXIT: Final = 1
USAGE_EXIT: Final = 2


def load(
    scenario: str,
    routers: str = "",
    seed: int | None = None,
    out: str = "",
    rules: bool = False,
    local: bool = False,
) -> int:
    """Send a scenario's requests to routers and check every answer.

    :param scenario: the name of an included scenario, or a JSON file
    :param routers: the routers' addresses for callers, comma-separated
    :param seed: the random seed; None: the scenario's
    :param out: a file for the result in JSON; empty: none
    :param rules: print the rule list that the scenario needs, and stop
    :param local: run the scenario's fleet in this process, with stand-ins
    :returns: the exit code: 0 only if every request was answered completely or
        refused
    """
    result = read_scenario(scenario)
    if result.is_error():
        for finding in result.error:
            print(finding, file=sys.stderr)
        print(f"scenarios: {', '.join(scenario_names())}", file=sys.stderr)
        return USAGE_EXIT
    chosen = result.ok
    if rules:
        print(_encode(fleet_config(chosen)))
        return 0
    urls = [url.strip() for url in routers.split(",") if url.strip()]
    if bool(urls) == local:
        print("give either --routers or --local", file=sys.stderr)
        return USAGE_EXIT
    used_seed = chosen.seed if seed is None else seed
    run = _load_local if local else _load
    return asyncio.run(run(chosen, urls, used_seed, out))


async def _load(
    scenario: Scenario, urls: list[str], seed: int, out: str
) -> int:
    """Run the load; print its progress and its result."""
    summary = await run_load(scenario, urls, seed, show_progress)
    print(format_summary(summary))
    if out:
        _write(summary, out)
    return 0 if summary.good else BAD_ANSWERS_EXIT


async def _load_local(
    scenario: Scenario, urls: list[str], seed: int, out: str
) -> int:
    """Start the scenario's fleet and send the load to it."""
    async with run_fleet(local_plan(scenario)) as fleet:
        routers = fleet.routers.values()
        urls = [router.server.url for router in routers]
        return await _load(scenario, urls, seed, out)


def show_progress(progress: Progress) -> None:
    """Print a line of progress.

    :param progress: The progress.
    """
    print(
        f"{progress.elapsed_s:6.1f} s: {progress.sent}/{progress.planned}"
        f" sent, {progress.answered} answered",
        file=sys.stderr,
        flush=True,
    )


def _write(summary: LoadSummary, path: str) -> None:
    """Write a summary as JSON."""
    Path(path).write_text(_encode(summary) + "\n", encoding="utf-8")


def _encode(value: object) -> str:
    """Return a value as indented JSON."""
    encoded = msgspec.json.encode(value)
    return msgspec.json.format(encoded, indent=2).decode()
