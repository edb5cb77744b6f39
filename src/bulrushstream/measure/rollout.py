"""How soon an accepted configuration is in force everywhere.

A fleet of the demo's kind runs over loopback, and one workspace's weight is
changed again and again.  The time runs from when the log has the record,
which is when the list is accepted, to when the last instance has it.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from enum import StrEnum
from random import Random
from typing import Final

from bulrushstream.commands.demo import demo_plan
from bulrushstream.commands.rules import notify
from bulrushstream.coordination.configlog import versioned
from bulrushstream.daemon.base import Instance
from bulrushstream.local.fleet import LocalFleet, run_fleet
from bulrushstream.measure.table import percentile, print_table
from bulrushstream.state.config import FleetConfig, VersionedConfig, Workspace

POLL_S: Final = 0.002
PAUSE_S: Final = 1.0  # The longest pause before a publication.
SLOW_S: Final = 0.5
TIMEOUT_S: Final = 30.0
CONFIG_KINDS: Final = ("ConfigPush", "ConfigFetch")


class LogState(StrEnum):
    """How the log does while a list is rolled out."""

    HEALTHY = "healthy"  # As it should.
    SLOW = "slow"  # Each call takes half a second longer.
    OUTAGE = "outage"  # It is down from right after the accept.


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """One measurement."""

    log: LogState  # How the log does.
    publishes: int = 100  # How many lists are published.
    routers: int = 3  # How many routers there are.
    workspaces: int = 4  # How many workspaces the list has.
    seed: int = 1  # Decides when lists are published.


@dataclass(frozen=True, slots=True)
class Rollout:
    """What one measurement gave."""

    in_force_s: tuple[float, ...]  # One time for each publication.
    instances: int  # How many instances there were.
    sent_bytes: int  # What they sent each other of configurations.


async def measure_rollout(plan: RolloutPlan) -> Rollout:
    """Publish lists one after the other and time each.

    :param plan: What to measure.
    :returns: The times and bytes.
    """
    local = demo_plan()
    config = _enlarged(local.config, plan.workspaces)
    local = replace(local, config=config, routers=plan.routers)
    async with run_fleet(local) as fleet:
        instances = [*fleet.routers.values(), *fleet.agents.values()]
        current = versioned(0, config)
        before = _sent_bytes(instances)
        times: list[float] = []
        rng = Random(plan.seed)
        for number in range(plan.publishes):
            # At any point between two reads of the log.
            await asyncio.sleep(rng.uniform(0.0, PAUSE_S))
            changed = _changed(current.config, number)
            times.append(await _publish(fleet, plan.log, current, changed))
            current = fleet.routers["router-0"].config.current
        sent_bytes = _sent_bytes(instances) - before
        return Rollout(tuple(times), len(instances), sent_bytes)


def print_rollouts(rollouts: dict[str, Rollout]) -> None:
    """Print measurements as a table.

    :param rollouts: The measurements by the state of the log.
    """
    rows = {
        name: (
            len(r.in_force_s),
            r.instances,
            percentile(r.in_force_s, 50),
            percentile(r.in_force_s, 95),
            max(r.in_force_s),
            r.sent_bytes / len(r.in_force_s) / r.instances,
        )
        for name, r in rollouts.items()
    }
    columns = ["lists", "instances", "p50 s", "p95 s", "max s"]
    print_table([*columns, "bytes/list/instance"], rows)


async def _publish(
    fleet: LocalFleet,
    log: LogState,
    current: VersionedConfig,
    config: FleetConfig,
) -> float:
    """Publish a list; return when it was in force everywhere."""
    loop = asyncio.get_running_loop()
    state = fleet.log.state
    calm = state.faults
    if log is LogState.SLOW:
        state.faults = replace(calm, slow_s=SLOW_S)
    version = fleet.publish(config, current)
    started_s = loop.time()
    if log is LogState.OUTAGE:
        state.faults = replace(calm, outage=True)
        # What `rules publish --routers` does once a list is accepted.
        told = fleet.routers["router-0"].operators.url
        await notify(versioned(version, config), [told])
    async with asyncio.timeout(TIMEOUT_S):
        while not _in_force(fleet, version):
            await asyncio.sleep(POLL_S)
    took_s = loop.time() - started_s
    state.faults = calm
    return took_s


def _in_force(fleet: LocalFleet, version: int) -> bool:
    instances = [*fleet.routers.values(), *fleet.agents.values()]
    return all(i.config.current.version >= version for i in instances)


def _sent_bytes(instances: list[Instance]) -> int:
    return sum(
        instance.mesh.sent.size_bytes[kind]
        for instance in instances
        for kind in CONFIG_KINDS
    )


def _enlarged(config: FleetConfig, workspaces: int) -> FleetConfig:
    """Return a list with more workspaces."""
    missing = range(workspaces - len(config.workspaces))
    more = [Workspace(f"extra-{number}") for number in missing]
    return replace(config, workspaces=(*config.workspaces, *more))


def _changed(config: FleetConfig, number: int) -> FleetConfig:
    """Return a list in which one workspace has another weight."""
    first, *rest = config.workspaces
    first = replace(first, weight=1.0 + number % 7 + number / 1000)
    return replace(config, workspaces=(first, *rest))
