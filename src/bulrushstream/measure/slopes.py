"""How cost grows with the fleet: the slopes behind docs/CAPACITY.md.

The real cores are driven without sockets, one axis at a time at several
sizes, and a straight line is fitted through the points by least squares.
Processor time is that of this thread; memory is what Python allocates.
"""

from __future__ import annotations

import gc
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from bulrushstream.coordination import agent as agents
from bulrushstream.coordination import configlog
from bulrushstream.coordination import router as routers
from bulrushstream.coordination.agentstate import AgentOptions
from bulrushstream.coordination.matching import ConfigIndex
from bulrushstream.coordination.options import RouterOptions
from bulrushstream.coordination.subset import SubsetOptions, agents_to_dial
from bulrushstream.protocol.frame import pack, unpack
from bulrushstream.state.config import (
    EMPTY_CONFIG,
    Condition,
    FleetConfig,
    Rule,
    Service,
    ServiceKind,
    Treatment,
    VersionedConfig,
    Workspace,
)
from bulrushstream.state.effect import Effect, Send
from bulrushstream.state.event import (
    Arrived,
    Configured,
    Event,
    LogRead,
    PeerUp,
    Received,
    RunBody,
    RunEnd,
    RunHead,
)
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.state.ledger import Ledger
from bulrushstream.state.message import (
    Backlog,
    BacklogEntry,
    Dispatch,
    Part,
    PartKind,
    Pull,
    ServedEntry,
)
from bulrushstream.state.request import Outcome, Request, RequestClass

SERVICE: Final = "proofwriter"
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
    state, peers, _ = _router(size, workspaces)
    count = 200

    def run() -> None:
        for number in range(count):
            request = _request(
                f"{time.perf_counter_ns()}-{number}", workspaces
            )
            peer = peers[number % len(peers)]
            _step(state, Arrived(request))
            pull = Pull(number + 1, SERVICE, request.workspace)
            effects = _step(state, Received(peer.key, pull))
            sent = _dispatch_in(effects)
            for part in _parts(sent.request_id, sent.attempt, 1):
                _step(state, Received(peer.key, part))

    return _cpu_us(run) / count


def router_part_us(size: int) -> float:
    """Return the router's time for one part of a streamed answer."""
    state, peers, _ = _router(size, 16)
    count = 2000

    def run() -> None:
        request = _request(str(time.perf_counter_ns()), 16)
        _step(state, Arrived(request))
        pull = Pull(1, SERVICE, request.workspace)
        sent = _dispatch_in(_step(state, Received(peers[0].key, pull)))
        for part in _parts(sent.request_id, sent.attempt, count):
            _step(state, Received(peers[0].key, part))

    return _cpu_us(run) / count


def router_memory_bytes(size: int) -> float:
    """Return the memory of a router with so many agents."""
    return _memory_bytes(lambda: _router(size, 16))


def queue_memory_bytes(size: int) -> float:
    """Return the memory of so many waiting requests of 1 KiB."""

    def build() -> object:
        state, _, _ = _router(1, 16)
        for number in range(size):
            _step(state, Arrived(_request(f"q{number}", 16, 1024)))
        return state

    return _memory_bytes(build)


def agent_request_us(workspaces: int, router_count: int) -> float:
    """Return the agent's time for a request, from its pull to its end."""
    state, peers = _agent(workspaces, router_count)
    pulls = _pulls_in(_tell(state, peers, workspaces))
    count = 200

    def run() -> None:
        for number in range(count):
            peer, pull = pulls.pop(0)
            request_id = f"{time.perf_counter_ns()}-{number}"
            dispatch = _dispatch(request_id, pull, state.me.key.incarnation)
            pulls.extend(_pulls_in(_act(state, Received(peer, dispatch))))
            for event in _run_events(request_id):
                pulls.extend(_pulls_in(_act(state, event)))

    return _cpu_us(run) / count


def agent_piece_us(router_count: int) -> float:
    """Return the agent's time for one piece of a streamed answer."""
    state, peers = _agent(16, router_count)
    pulls = _pulls_in(_tell(state, peers, 16))
    count = 2000

    def run() -> None:
        peer, pull = pulls.pop(0)
        request_id = str(time.perf_counter_ns())
        dispatch = _dispatch(request_id, pull, state.me.key.incarnation)
        _act(state, Received(peer, dispatch))
        _act(state, RunHead(request_id, 1, 200, ()))
        for _ in range(count):
            _act(state, RunBody(request_id, 1, b"x" * 200, 1))
        end = RunEnd(request_id, 1, whole=True, started=True)
        pulls.extend(_pulls_in(_act(state, end)))

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
    before = configlog.versioned(1, _config(workspaces))
    after = _config(workspaces, weight=2.0)
    return float(len(configlog.encode_publish(before, after, "p" * 32)))


def full_bytes(workspaces: int) -> float:
    """Return the size of a record that holds the whole list."""
    config = _config(workspaces)
    return float(len(configlog.encode_publish(EMPTY_CONFIG, config, "p" * 32)))


def config_us(workspaces: int) -> float:
    """Return the time to judge a changed list and make it ready."""
    before = configlog.versioned(1, _config(workspaces))
    body = configlog.encode_publish(before, _config(workspaces, weight=2.0))

    def run() -> None:
        decoded = configlog.decode_record(body)
        assert decoded is not None
        config = configlog.open_record(decoded, before)
        assert isinstance(config, FleetConfig)
        ConfigIndex(VersionedConfig(2, config))

    return _cpu_us(run)


def subset_us(product: int) -> float:
    """Return the time to choose subsets, with 20 agents for each router."""
    router_count = max(1, round((product / 20) ** 0.5))
    agent_count = product // router_count
    fleet = [_info(f"router-{n}", Role.ROUTER) for n in range(router_count)]
    others = [_info(f"agent-{n}", Role.AGENT) for n in range(agent_count)]

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


def _config(workspaces: int, weight: float = 1.0) -> FleetConfig:
    """Return a list whose first workspace has a weight."""
    return FleetConfig(
        workspaces=tuple(
            Workspace(
                f"workspace-{number}",
                1.0 if number else weight,
                (f"{number:064x}",),
            )
            for number in range(workspaces)
        ),
        services=(Service(SERVICE, ServiceKind.MODEL, slots=8),),
        rules=(Rule("all", Condition(), Treatment(service=SERVICE)),),
    )


def _info(name: str, role: Role) -> InstanceInfo:
    """Return an instance."""
    service = SERVICE if role is Role.AGENT else ""
    return InstanceInfo(
        InstanceKey(name, 1), role, "r", "z", "127.0.0.1", 1, service, name
    )


def _router(
    agent_count: int, workspaces: int
) -> tuple[routers.RouterState, list[InstanceInfo], FleetConfig]:
    """Return a router that is connected to agents."""
    config = _config(workspaces)
    me = _info("router-0", Role.ROUTER)
    state = routers.new_router(me, RouterOptions(), random.Random(1), 0.0)
    _step(state, Configured(VersionedConfig(1, config)))
    _step(state, LogRead("strikes", (), caught_up=True))
    peers = [_info(f"agent-{n}", Role.AGENT) for n in range(agent_count)]
    for peer in peers:
        _step(state, PeerUp(peer))
    return state, peers, config


def _step(state: routers.RouterState, event: Event) -> list[Effect]:
    """Have a router handle an event now."""
    return routers.handle(state, event, time.monotonic())


def _request(request_id: str, workspaces: int, size: int = 64) -> Request:
    """Return a request of the next workspace."""
    now_s = time.monotonic()
    number = int(request_id.rpartition("-")[2].lstrip("q") or 0) % workspaces
    return Request(
        request_id=request_id,
        workspace=f"workspace-{number}",
        service=SERVICE,
        rule="all",
        request_class=RequestClass.BATCH,
        idempotent=True,
        method="POST",
        path="/v1/chat/completions",
        headers=(),
        body=b"x" * size,
        stream=True,
        arrived_s=now_s,
        deadline_s=now_s + 600,
    )


def _dispatch_in(effects: list[Effect]) -> Dispatch:
    """Return the dispatch among effects."""
    return next(
        effect.message
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, Dispatch)
    )


def _parts(request_id: str, attempt: int, pieces: int) -> list[Part]:
    """Return the parts of an answer."""
    head = Part(request_id, attempt, 0, PartKind.HEAD, status=200)
    body = [
        Part(request_id, attempt, n + 1, PartKind.BODY, data=b"x" * 200)
        for n in range(pieces)
    ]
    end = Part(
        request_id,
        attempt,
        pieces + 1,
        PartKind.END,
        outcome=Outcome.RAN,
        whole=True,
    )
    return [head, *body, end]


def _agent(
    workspaces: int, router_count: int
) -> tuple[agents.AgentState, list[InstanceInfo]]:
    """Return an agent that is connected to routers."""
    me = _info("agent-0", Role.AGENT)
    state = agents.new_agent(me, AgentOptions(), random.Random(1), 0.0)
    _act(state, Configured(VersionedConfig(1, _config(workspaces))))
    peers = [_info(f"router-{n}", Role.ROUTER) for n in range(router_count)]
    for peer in peers:
        _act(state, PeerUp(peer))
    return state, peers


def _act(state: agents.AgentState, event: Event) -> list[Effect]:
    """Have an agent handle an event now."""
    return agents.handle(state, event, time.monotonic())


def _tell(
    state: agents.AgentState, peers: list[InstanceInfo], workspaces: int
) -> list[Effect]:
    """Tell an agent that every workspace is backlogged everywhere."""
    effects: list[Effect] = []
    entries = tuple(
        BacklogEntry(SERVICE, f"workspace-{n}", 0, 1000, 10)
        for n in range(workspaces)
    )
    for peer in peers:
        message = Backlog(time.monotonic_ns(), True, entries)
        effects += _act(state, Received(peer.key, message))
    return effects


def _pulls_in(effects: list[Effect]) -> list[tuple[InstanceKey, Pull]]:
    """Return the pulls among effects, and to whom they go."""
    return [
        (effect.peer, effect.message)
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, Pull)
    ]


def _dispatch(request_id: str, pull: Pull, incarnation: int) -> Dispatch:
    """Return the answer to a pull."""
    return Dispatch(
        request_id=request_id,
        attempt=1,
        pull_id=pull.pull_id,
        incarnation=incarnation,
        workspace=pull.workspace,
        service=SERVICE,
        request_class=RequestClass.BATCH,
        idempotent=True,
        alone=False,
        method="POST",
        path="/v1/chat/completions",
        headers=(),
        body=b"x" * 64,
        stream=True,
        timeout_ms=600_000,
        cost_hint=0.0,
    )


def _run_events(request_id: str) -> list[Event]:
    """Return what an endpoint makes of a short request."""
    return [
        RunHead(request_id, 1, 200, ()),
        RunBody(request_id, 1, b"x" * 200, 1),
        RunEnd(request_id, 1, whole=True, started=True),
    ]
