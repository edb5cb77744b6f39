"""How cost grows with the fleet: the slopes behind docs/CAPACITY.md.

The real cores are driven without sockets, one axis at a time at several
sizes, and a straight line is fitted through the points by least squares.
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
    dispatch_in,
    make_agent,
    make_config,
    make_dispatch,
    make_info,
    make_parts,
    make_request,
    make_router,
    make_run_events,
    pulls_in,
    step_agent,
    step_router,
    tell_backlog,
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
    """One axis, measured at several sizes."""

    name: str  # What costs what.
    axis: str  # What grows.
    unit: str  # What the cost is in.
    sizes: tuple[int, ...]  # The sizes.
    costs: tuple[float, ...]  # The cost at each.

    @property
    def fit(self) -> tuple[float, float]:
        """Return the slope and the intercept of the fitted line."""
        line = statistics.linear_regression(self.sizes, self.costs)
        return line.slope, line.intercept


def measure_slopes() -> list[Slope]:
    """Measure every axis."""
    return [
        _line(
            "router: a request from arrival to end",
            "agents",
            "us",
            (8, 32, 128),
            router_request_us,
        ),
        _line(
            "router: a request from arrival to end",
            "backlogged workspaces",
            "us",
            (4, 16, 65),
            lambda size: router_request_us(8, size),
        ),
        _line(
            "router: a part of an answer",
            "agents",
            "us",
            (8, 32, 128),
            router_part_us,
        ),
        _line(
            "router: memory of connected agents",
            "agents",
            "B",
            (32, 128, 512),
            router_memory_bytes,
        ),
        _line(
            "router: memory of waiting requests",
            "requests",
            "B",
            (100, 400, 1600),
            queue_memory_bytes,
        ),
        _line(
            "agent: a request from pull to end",
            "backlogged workspaces",
            "us",
            (4, 16, 65),
            lambda size: agent_request_us(size, 3),
        ),
        _line(
            "agent: a request from pull to end",
            "routers",
            "us",
            (2, 8, 32),
            lambda size: agent_request_us(16, size),
        ),
        _line(
            "agent: a piece of an answer",
            "routers",
            "us",
            (2, 8, 32),
            agent_piece_us,
        ),
        _line(
            "link: seal and encode, check and decode a part",
            "bytes of the part",
            "us",
            (100, 1000, 10000),
            frame_us,
        ),
        _line(
            "ledger: memory of one service",
            "cells (agents x workspaces)",
            "B",
            (1000, 4000, 16000),
            ledger_memory_bytes,
        ),
        _line(
            "configuration: a record that changes one workspace",
            "workspaces",
            "B",
            (65, 260, 650),
            delta_bytes,
        ),
        _line(
            "configuration: the whole list",
            "workspaces",
            "B",
            (65, 260, 650),
            full_bytes,
        ),
        _line(
            "configuration: judge a record and index it",
            "workspaces",
            "us",
            (65, 260, 650),
            config_us,
        ),
        _line(
            "membership: choose the agents to dial",
            "routers x agents of a service",
            "us",
            (2000, 8000, 32000),
            subset_us,
        ),
    ]


def print_slopes(slopes: Sequence[Slope]) -> None:
    """Print a line for each axis: its points and the fitted line."""
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
    """Return the router's time for a request, from arrival to its end."""
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
            sent = dispatch_in(effects)
            for part in make_parts(sent.request_id, sent.attempt, 1):
                step_router(state, MessageReceived(peer.key, part))

    return _cpu_us(run) / count


def router_part_us(size: int) -> float:
    """Return the router's time for one part of a streamed answer."""
    state, peers, _ = make_router(size, 16)
    count = 2000

    def run() -> None:
        request = make_request(str(time.perf_counter_ns()), 16)
        step_router(state, RequestArrived(request))
        pull = Pull(1, SERVICE, request.workspace)
        sent = dispatch_in(
            step_router(state, MessageReceived(peers[0].key, pull))
        )
        for part in make_parts(sent.request_id, sent.attempt, count):
            step_router(state, MessageReceived(peers[0].key, part))

    return _cpu_us(run) / count


def router_memory_bytes(size: int) -> float:
    """Return the memory of a router with so many agents."""
    return _memory_bytes(lambda: make_router(size, 16))


def queue_memory_bytes(size: int) -> float:
    """Return the memory of so many waiting requests of 1 KiB."""

    def build() -> object:
        state, _, _ = make_router(1, 16)
        for number in range(size):
            step_router(
                state, RequestArrived(make_request(f"q{number}", 16, 1024))
            )
        return state

    return _memory_bytes(build)


def agent_request_us(workspaces: int, router_count: int) -> float:
    """Return the agent's time for a request, from its pull to its end."""
    state, peers = make_agent(workspaces, router_count)
    pulls = pulls_in(tell_backlog(state, peers, workspaces))
    count = 200

    def run() -> None:
        for number in range(count):
            peer, pull = pulls.pop(0)
            request_id = f"{time.perf_counter_ns()}-{number}"
            dispatch = make_dispatch(
                request_id, pull, state.me.key.incarnation
            )
            pulls.extend(
                pulls_in(step_agent(state, MessageReceived(peer, dispatch)))
            )
            for event in make_run_events(request_id):
                pulls.extend(pulls_in(step_agent(state, event)))

    return _cpu_us(run) / count


def agent_piece_us(router_count: int) -> float:
    """Return the agent's time for one piece of a streamed answer."""
    state, peers = make_agent(16, router_count)
    pulls = pulls_in(tell_backlog(state, peers, 16))
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
        pulls.extend(pulls_in(step_agent(state, end)))

    return _cpu_us(run) / count


def frame_us(size: int) -> float:
    """Return the time to send and to take one part of so many bytes."""
    part = Part("r" * 20, 1, 5, PartKind.BODY, data=b"x" * size)
    count = 2000

    def run() -> None:
        for _ in range(count):
            unpack(KEY, pack(KEY, part)[4:])

    return _cpu_us(run) / count


def ledger_memory_bytes(cells: int) -> float:
    """Return the memory of a ledger with so many cells."""

    def build() -> Ledger:
        ledger = Ledger()
        for number in range(cells):
            name = f"agent-{number // 100}"
            workspace = f"workspace-{number % 100}"
            ledger.merge(ServedEntry(name, 1, workspace, 1.0, 0.0, 1))
        return ledger

    return _memory_bytes(build)


def delta_bytes(workspaces: int) -> float:
    """Return the size of a record that changes one workspace's weight."""
    before = configlog.versioned(1, make_config(workspaces))
    after = make_config(workspaces, weight=2.0)
    return float(len(configlog.encode_publish(before, after, "p" * 32)))


def full_bytes(workspaces: int) -> float:
    """Return the size of a record that holds the whole list."""
    config = make_config(workspaces)
    return float(len(configlog.encode_publish(EMPTY_CONFIG, config, "p" * 32)))


def config_us(workspaces: int) -> float:
    """Return the time to judge a changed list and make it ready."""
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
    """Return the time to choose subsets, with 20 agents for each router."""
    router_count = max(1, round((product / 20) ** 0.5))
    agent_count = product // router_count
    fleet = [
        make_info(f"router-{n}", Role.ROUTER) for n in range(router_count)
    ]
    others = [make_info(f"agent-{n}", Role.AGENT) for n in range(agent_count)]

    def run() -> None:
        agents_to_dial(fleet[0], fleet, others, SubsetOptions())

    return _cpu_us(run)


def _line(
    name: str,
    axis: str,
    unit: str,
    sizes: tuple[int, ...],
    cost: Callable[[int], float],
) -> Slope:
    """Measure one axis."""
    return Slope(name, axis, unit, sizes, tuple(cost(size) for size in sizes))


def _cpu_us(run: Callable[[], None]) -> float:
    """Return the least processor time of some runs."""
    run()
    times_s = []
    for _ in range(REPEATS):
        begun_s = time.thread_time()
        run()
        times_s.append(time.thread_time() - begun_s)
    return min(times_s) * US_PER_S


def _memory_bytes(build: Callable[[], object]) -> float:
    """Return what a structure takes."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size_bytes)
