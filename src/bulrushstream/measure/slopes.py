"""Measure how cost grows with the fleet's size, for docs/CAPACITY.md.

The production cores are driven without sockets.  Each measurement varies one
parameter, and a straight line is fitted to the points by least squares.
Processor time is that of this thread; memory is what Python allocates.
"""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from bulrushstream.coordination import configlog
from bulrushstream.coordination.matching import ConfigIndex
from bulrushstream.coordination.subset import SubsetOptions, agents_to_dial
from bulrushstream.measure.bench import (
    SERVICE,
    announce_backlog,
    find_dispatch,
    find_pulls,
    make_agent,
    make_config,
    make_dispatch,
    make_info,
    make_parts,
    make_request,
    make_router,
    make_run_events,
    step_agent,
    step_router,
)
from bulrushstream.protocol.frame import pack, unpack
from bulrushstream.state.config import (
    EMPTY_CONFIG,
    FleetConfig,
    VersionedConfig,
)
from bulrushstream.state.event import (
    MessageReceived,
    RequestArrived,
    RunBody,
    RunEnd,
    RunHead,
)
from bulrushstream.state.identity import Role
from bulrushstream.state.ledger import Ledger
from bulrushstream.state.message import (
    Part,
    PartKind,
    Pull,
    ServedEntry,
)

KEY: Final = b"k" * 32
US_PER_S: Final = 1e6
REPEATS: Final = 3


@dataclass(frozen=True, slots=True)
class Slope:
    """The cost measured at several values of one parameter."""

    name: str  # The component and the operation or data measured.
    axis: str  # The parameter that varies.
    unit: str  # The unit of the costs.
    sizes: tuple[int, ...]  # Values of the parameter.
    costs: tuple[float, ...]  # One for each size.

    @property
    def fit(self) -> tuple[float, float]:
        """Return the slope and the intercept of the fitted line."""
        line = statistics.linear_regression(self.sizes, self.costs)
        return line.slope, line.intercept


def measure_slopes() -> list[Slope]:
    """Run all measurements."""
    return [
        _measure_axis(
            "router: a request from arrival to end",
            "agents",
            "us",
            (8, 32, 128),
            router_request_us,
        ),
        _measure_axis(
            "router: a request from arrival to end",
            "backlogged workspaces",
            "us",
            (4, 16, 65),
            lambda size: router_request_us(8, size),
        ),
        _measure_axis(
            "router: a part of an answer",
            "agents",
            "us",
            (8, 32, 128),
            router_part_us,
        ),
        _measure_axis(
            "router: memory of connected agents",
            "agents",
            "B",
            (32, 128, 512),
            router_memory_bytes,
        ),
        _measure_axis(
            "router: memory of waiting requests",
            "requests",
            "B",
            (100, 400, 1600),
            queue_memory_bytes,
        ),
        _measure_axis(
            "agent: a request from pull to end",
            "backlogged workspaces",
            "us",
            (4, 16, 65),
            lambda size: agent_request_us(size, 3),
        ),
        _measure_axis(
            "agent: a request from pull to end",
            "routers",
            "us",
            (2, 8, 32),
            lambda size: agent_request_us(16, size),
        ),
        _measure_axis(
            "agent: a chunk of an answer",
            "routers",
            "us",
            (2, 8, 32),
            agent_chunk_us,
        ),
        _measure_axis(
            "link: encode a part with its MAC, verify and decode it",
            "bytes of the part",
            "us",
            (100, 1000, 10000),
            frame_us,
        ),
        _measure_axis(
            "ledger: memory of one service",
            "cells (agents x workspaces)",
            "B",
            (1000, 4000, 16000),
            ledger_memory_bytes,
        ),
        _measure_axis(
            "configuration: a record that changes one workspace",
            "workspaces",
            "B",
            (65, 260, 650),
            delta_bytes,
        ),
        _measure_axis(
            "configuration: the whole list",
            "workspaces",
            "B",
            (65, 260, 650),
            full_bytes,
        ),
        _measure_axis(
            "configuration: validate a record and index it",
            "workspaces",
            "us",
            (65, 260, 650),
            config_us,
        ),
        _measure_axis(
            "membership: choose the agents to dial",
            "routers x agents of a service",
            "us",
            (2000, 8000, 32000),
            subset_us,
        ),
    ]


def print_slopes(slopes: Sequence[Slope]) -> None:
    """Print the points and the fitted line of each measurement."""
    for each in slopes:
        points = ", ".join(
            f"{size}: {cost:.4g}"
            for size, cost in zip(each.sizes, each.costs, strict=True)
        )
        slope, intercept = each.fit
        print(
            f"{each.name} [{each.unit}] by {each.axis}: {points};"
            f" {intercept:.4g} + {slope:.4g} each",
            flush=True,
        )


def router_request_us(size: int, workspaces: int = 16) -> float:
    """Return the router's processor time per request, arrival to end."""
    state, peers, _ = make_router(size, workspaces)
    count = 200

    def run() -> None:
        for number in range(count):
            request = make_request(
                f"{time.perf_counter_ns()}-{number}", workspaces
            )
            peer = peers[number % len(peers)]
            step_router(state, RequestArrived(request))
            pull = Pull(number + 1, SERVICE, request.workspace)
            effects = step_router(state, MessageReceived(peer.key, pull))
            dispatch = find_dispatch(effects)
            for part in make_parts(dispatch.request_id, dispatch.attempt, 1):
                step_router(state, MessageReceived(peer.key, part))

    return _cpu_us(run) / count


def router_part_us(size: int) -> float:
    """Return the router's processor time per part of a streamed answer."""
    state, peers, _ = make_router(size, 16)
    count = 2000

    def run() -> None:
        request = make_request(str(time.perf_counter_ns()), 16)
        step_router(state, RequestArrived(request))
        pull = Pull(1, SERVICE, request.workspace)
        dispatch = find_dispatch(
            step_router(state, MessageReceived(peers[0].key, pull))
        )
        for part in make_parts(dispatch.request_id, dispatch.attempt, count):
            step_router(state, MessageReceived(peers[0].key, part))

    return _cpu_us(run) / count


def router_memory_bytes(size: int) -> float:
    """Return the memory of a router connected to `size` agents."""
    return _memory_bytes(lambda: make_router(size, 16))


def queue_memory_bytes(size: int) -> float:
    """Return the memory of `size` queued requests with 1 KiB bodies."""

    def build() -> object:
        state, _, _ = make_router(1, 16)
        for number in range(size):
            step_router(
                state, RequestArrived(make_request(f"q{number}", 16, 1024))
            )
        return state

    return _memory_bytes(build)


def agent_request_us(workspaces: int, router_count: int) -> float:
    """Return the agent's processor time per request, pull to end."""
    state, peers = make_agent(workspaces, router_count)
    pulls = find_pulls(announce_backlog(state, peers, workspaces))
    count = 200

    def run() -> None:
        for number in range(count):
            peer, pull = pulls.pop(0)
            request_id = f"{time.perf_counter_ns()}-{number}"
            dispatch = make_dispatch(
                request_id, pull, state.me.key.incarnation
            )
            pulls.extend(
                find_pulls(step_agent(state, MessageReceived(peer, dispatch)))
            )
            for event in make_run_events(request_id):
                pulls.extend(find_pulls(step_agent(state, event)))

    return _cpu_us(run) / count


def agent_chunk_us(router_count: int) -> float:
    """Return the agent's processor time per chunk of a streamed answer."""
    state, peers = make_agent(16, router_count)
    pulls = find_pulls(announce_backlog(state, peers, 16))
    count = 2000

    def run() -> None:
        peer, pull = pulls.pop(0)
        request_id = str(time.perf_counter_ns())
        dispatch = make_dispatch(request_id, pull, state.me.key.incarnation)
        step_agent(state, MessageReceived(peer, dispatch))
        step_agent(state, RunHead(request_id, 1, 200, ()))
        for _ in range(count):
            step_agent(state, RunBody(request_id, 1, b"x" * 200, 1))
        end = RunEnd(request_id, 1, complete=True, started=True)
        pulls.extend(find_pulls(step_agent(state, end)))

    return _cpu_us(run) / count


def frame_us(size: int) -> float:
    """Return the time to encode and decode a part with `size` bytes."""
    part = Part("r" * 20, 1, 5, PartKind.BODY, data=b"x" * size)
    count = 2000

    def run() -> None:
        for _ in range(count):
            unpack(KEY, pack(KEY, part)[4:])

    return _cpu_us(run) / count


def ledger_memory_bytes(cells: int) -> float:
    """Return the memory of a ledger with the given number of cells."""

    def build() -> Ledger:
        ledger = Ledger()
        for number in range(cells):
            name = f"agent-{number // 100}"
            workspace = f"workspace-{number % 100}"
            ledger.merge(ServedEntry(name, 1, workspace, 1.0, 0.0, 1))
        return ledger

    return _memory_bytes(build)


def delta_bytes(workspaces: int) -> float:
    """Return the size of a log record that changes one weight."""
    before = configlog.versioned(1, make_config(workspaces))
    after = make_config(workspaces, weight=2.0)
    return float(len(configlog.encode_publish(before, after, "p" * 32)))


def full_bytes(workspaces: int) -> float:
    """Return the size of a log record with the whole configuration."""
    config = make_config(workspaces)
    return float(len(configlog.encode_publish(EMPTY_CONFIG, config, "p" * 32)))


def config_us(workspaces: int) -> float:
    """Return the time to decode, validate and index a changed list."""
    before = configlog.versioned(1, make_config(workspaces))
    body = configlog.encode_publish(
        before, make_config(workspaces, weight=2.0)
    )

    def run() -> None:
        decoded = configlog.decode_record(body)
        assert decoded is not None
        config = configlog.resolve_config(decoded, before)
        assert isinstance(config, FleetConfig)
        ConfigIndex(VersionedConfig(2, config))

    return _cpu_us(run)


def subset_us(product: int) -> float:
    """Return the time to choose the agents that one router dials.

    There are 20 agents per router; `product` is routers times agents.
    """
    router_count = max(1, round((product / 20) ** 0.5))
    agent_count = product // router_count
    fleet = [
        make_info(f"router-{n}", Role.ROUTER) for n in range(router_count)
    ]
    agents = [make_info(f"agent-{n}", Role.AGENT) for n in range(agent_count)]

    def run() -> None:
        agents_to_dial(fleet[0], fleet, agents, SubsetOptions())

    return _cpu_us(run)


def _measure_axis(
    name: str,
    axis: str,
    unit: str,
    sizes: tuple[int, ...],
    cost: Callable[[int], float],
) -> Slope:
    """Measure the cost at each size."""
    return Slope(name, axis, unit, sizes, tuple(cost(size) for size in sizes))


def _cpu_us(run: Callable[[], None]) -> float:
    """Return the least processor time of several runs.

    One run before them warms up and is not timed.
    """
    run()
    times_s = []
    for _ in range(REPEATS):
        started_s = time.thread_time()
        run()
        times_s.append(time.thread_time() - started_s)
    return min(times_s) * US_PER_S


def _memory_bytes(build: Callable[[], object]) -> float:
    """Return the memory allocated for what `build` returns."""
    gc.collect()
    tracemalloc.start()
    structure = build()
    gc.collect()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del structure
    return float(size_bytes)
