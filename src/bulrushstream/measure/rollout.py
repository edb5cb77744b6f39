"""Measure how fast an accepted configuration reaches all instances.

A fleet like that of the demo runs over loopback, and the weight of one
workspace is changed repeatedly.  The measured time begins when the log has
stored the record, which is when the list is accepted, and ends when the last
instance applies it.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from enum import StrEnum
from random import Random
from typing import Final

from bulrushstream.commands.demo import demo_plan
from bulrushstream.commands.rules import push_to_routers
from bulrushstream.coordination.configlog import versioned
from bulrushstream.daemon.base import Instance
from bulrushstream.local.fleet import LocalFleet, run_fleet
from bulrushstream.measure.table import percentile, print_table
from bulrushstream.state.config import FleetConfig, VersionedConfig, Workspace

POLL_S: Final = 0.002
MAX_PAUSE_S: Final = 1.0  # Longest pause before a publication.
SLOW_LOG_S: Final = 0.5
TIMEOUT_S: Final = 30.0
CONFIG_KINDS: Final = ("ConfigPush", "ConfigFetch")


class LogState(StrEnum):
    """The state of the log while a list is rolled out."""

    HEALTHY = "healthy"
    SLOW = "slow"  # Each call takes `SLOW_LOG_S` longer.
    OUTAGE = "outage"  # Down as soon as the list is accepted.


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """The parameters of one measurement."""

    log: LogState
    publishes: int = 100  # Number of lists published.
    routers: int = 3
    workspaces: int = 4  # Workspaces in the list.
    seed: int = 1  # Seed of the pauses between publications.


@dataclass(frozen=True, slots=True)
class RolloutResult:
    """The results of one measurement."""

    in_force_s: tuple[float, ...]  # One for each publication.
    instances: int  # Routers and agents.
    sent_bytes: int  # Configuration messages between instances.


async def measure_rollout(plan: RolloutPlan) -> RolloutResult:
    """Publish lists one after the other and measure each.

    :param plan: The parameters.
    :returns: The times and bytes.
    """
    local = demo_plan()
    config = _with_workspaces(local.config, plan.workspaces)
    local = replace(local, config=config, routers=plan.routers)
    async with run_fleet(local) as fleet:
        instances = [*fleet.routers.values(), *fleet.agents.values()]
        current = versioned(0, config)
        before = _sent_bytes(instances)
        times_s: list[float] = []
        rng = Random(plan.seed)
        for number in range(plan.publishes):
            # Publish at a random moment between two reads of the log.
            await asyncio.sleep(rng.uniform(0.0, MAX_PAUSE_S))
            changed = _with_changed_weight(current.config, number)
            times_s.append(
                await _time_publication(fleet, plan.log, current, changed)
            )
            current = fleet.routers["router-0"].config.current
        sent_bytes = _sent_bytes(instances) - before
        return RolloutResult(tuple(times_s), len(instances), sent_bytes)


def print_rollouts(rollouts: dict[str, RolloutResult]) -> None:
    """Print measurements as a table.

    :param rollouts: The measurements, by the state of the log.
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


async def _time_publication(
    fleet: LocalFleet,
    log: LogState,
    current: VersionedConfig,
    config: FleetConfig,
) -> float:
    """Publish a list; return how long until all instances apply it."""
    loop = asyncio.get_running_loop()
    state = fleet.log.state
    normal_faults = state.faults
    if log is LogState.SLOW:
        state.faults = replace(normal_faults, slow_s=SLOW_LOG_S)
    version = fleet.publish(config, current)
    started_s = loop.time()
    if log is LogState.OUTAGE:
        state.faults = replace(normal_faults, outage=True)
        # `rules publish --routers` does the same once a list is accepted.
        router_url = fleet.routers["router-0"].operators.url
        await push_to_routers(versioned(version, config), [router_url])
    async with asyncio.timeout(TIMEOUT_S):
        while not _in_force(fleet, version):
            await asyncio.sleep(POLL_S)
    elapsed_s = loop.time() - started_s
    state.faults = normal_faults
    return elapsed_s


def _in_force(fleet: LocalFleet, version: int) -> bool:
    instances = [*fleet.routers.values(), *fleet.agents.values()]
    return all(i.config.current.version >= version for i in instances)


def _sent_bytes(instances: list[Instance]) -> int:
    return sum(
        instance.mesh.sent.size_bytes[kind]
        for instance in instances
        for kind in CONFIG_KINDS
    )


def _with_workspaces(config: FleetConfig, workspaces: int) -> FleetConfig:
    """Return a list extended to the given number of workspaces."""
    missing = range(workspaces - len(config.workspaces))
    more = [Workspace(f"extra-{number}") for number in missing]
    return replace(config, workspaces=(*config.workspaces, *more))


def _with_changed_weight(config: FleetConfig, number: int) -> FleetConfig:
    """Return a list with a new weight for its first workspace."""
    first, *rest = config.workspaces
    first = replace(first, weight=1.0 + number % 7 + number / 1000)
    return replace(config, workspaces=(first, *rest))
