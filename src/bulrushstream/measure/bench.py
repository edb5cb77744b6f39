"""Set-ups for measuring the router's and the agent's core.

Each set-up is a core connected to a given number of simulated peers.  It is
driven by calls, without sockets, and uses the monotonic clock.
"""

from __future__ import annotations

import random
import time
from typing import Final

from bulrushstream.coordination import agent as agents
from bulrushstream.coordination import router as routers
from bulrushstream.coordination.agentstate import AgentOptions
from bulrushstream.coordination.options import RouterOptions
from bulrushstream.state.config import (
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
    ConfigChanged,
    Event,
    LogRead,
    MessageReceived,
    PeerUp,
    RunBody,
    RunEnd,
    RunHead,
)
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.state.message import (
    Backlog,
    BacklogEntry,
    Dispatch,
    Part,
    PartKind,
    Pull,
)
from bulrushstream.state.request import Outcome, Request, RequestClass

SERVICE: Final = "proofwriter"


def make_config(workspaces: int, weight: float = 1.0) -> FleetConfig:
    """Return a configuration; `weight` is the first workspace's."""
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


def make_info(name: str, role: Role) -> InstanceInfo:
    """Return the description of an instance."""
    service = SERVICE if role is Role.AGENT else ""
    return InstanceInfo(
        InstanceKey(name, 1), role, "r", "z", "127.0.0.1", 1, service, name
    )


def make_router(
    agent_count: int, workspaces: int
) -> tuple[routers.RouterState, list[InstanceInfo], FleetConfig]:
    """Return a router connected to agents, its peers and configuration."""
    config = make_config(workspaces)
    info = make_info("router-0", Role.ROUTER)
    state = routers.new_router(info, RouterOptions(), random.Random(1), 0.0)
    step_router(state, ConfigChanged(VersionedConfig(1, config)))
    step_router(state, LogRead("strikes", (), caught_up=True))
    peers = [make_info(f"agent-{n}", Role.AGENT) for n in range(agent_count)]
    for peer in peers:
        step_router(state, PeerUp(peer))
    return state, peers, config


def step_router(state: routers.RouterState, event: Event) -> list[Effect]:
    """Pass an event to a router at the current time."""
    return routers.handle(state, event, time.monotonic())


def make_request(request_id: str, workspaces: int, size: int = 64) -> Request:
    """Return a request.

    The number at the end of its id selects the workspace.
    """
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


def find_dispatch(effects: list[Effect]) -> Dispatch:
    """Return the first dispatch among effects."""
    return next(
        effect.message
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, Dispatch)
    )


def make_parts(request_id: str, attempt: int, chunk_count: int) -> list[Part]:
    """Return the parts of an answer with the given number of chunks."""
    head = Part(request_id, attempt, 0, PartKind.HEAD, status=200)
    body = [
        Part(request_id, attempt, n + 1, PartKind.BODY, data=b"x" * 200)
        for n in range(chunk_count)
    ]
    end = Part(
        request_id,
        attempt,
        chunk_count + 1,
        PartKind.END,
        outcome=Outcome.RAN,
        whole=True,
    )
    return [head, *body, end]


def make_agent(
    workspaces: int, router_count: int
) -> tuple[agents.AgentState, list[InstanceInfo]]:
    """Return an agent connected to routers, and its peers."""
    info = make_info("agent-0", Role.AGENT)
    state = agents.new_agent(info, AgentOptions(), random.Random(1), 0.0)
    step_agent(
        state, ConfigChanged(VersionedConfig(1, make_config(workspaces)))
    )
    peers = [
        make_info(f"router-{n}", Role.ROUTER) for n in range(router_count)
    ]
    for peer in peers:
        step_agent(state, PeerUp(peer))
    return state, peers


def step_agent(state: agents.AgentState, event: Event) -> list[Effect]:
    """Pass an event to an agent at the current time."""
    return agents.handle(state, event, time.monotonic())


def announce_backlog(
    state: agents.AgentState, peers: list[InstanceInfo], workspaces: int
) -> list[Effect]:
    """Send an agent a backlog for every workspace from every router."""
    effects: list[Effect] = []
    entries = tuple(
        BacklogEntry(SERVICE, f"workspace-{n}", 0, 1000, 10)
        for n in range(workspaces)
    )
    for peer in peers:
        message = Backlog(time.monotonic_ns(), True, entries)
        effects += step_agent(state, MessageReceived(peer.key, message))
    return effects


def find_pulls(effects: list[Effect]) -> list[tuple[InstanceKey, Pull]]:
    """Return the pulls among effects, each with its receiver."""
    return [
        (effect.peer, effect.message)
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, Pull)
    ]


def make_dispatch(request_id: str, pull: Pull, incarnation: int) -> Dispatch:
    """Return a dispatch that answers a pull."""
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


def make_run_events(request_id: str) -> list[Event]:
    """Return the events of a short run at an endpoint."""
    return [
        RunHead(request_id, 1, 200, ()),
        RunBody(request_id, 1, b"x" * 200, 1),
        RunEnd(request_id, 1, complete=True, started=True),
    ]
