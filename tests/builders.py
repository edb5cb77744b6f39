"""Functions that build test data, with defaults for most fields."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from bulrushstream.state.config import (
    Condition,
    FleetConfig,
    Rule,
    Service,
    ServiceKind,
    ServiceUnit,
    Treatment,
    VersionedConfig,
    Workspace,
)
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.state.message import Dispatch, Part, PartKind
from bulrushstream.state.request import Outcome, Request, RequestClass
from bulrushstream.state.streamorigin import StreamOrigin


@dataclass(slots=True)
class FakeClock:
    """A clock that advances only when told to."""

    now_s: float = 0.0

    def now(self) -> float:
        """Return the time, in seconds."""
        return self.now_s

    def advance(self, by_s: float) -> None:
        """Advance the clock."""
        self.now_s += by_s


def chat_body(
    message: str, model: str = "model", stream: bool = False
) -> bytes:
    """Return a chat-completions body with one user message."""
    messages = [{"role": "user", "content": message}]
    return msgspec.json.encode(
        {"model": model, "messages": messages, "stream": stream}
    )


def a_router(name: str = "router-1", zone: str = "akl-a") -> InstanceInfo:
    """Return a router's identity."""
    return InstanceInfo(
        InstanceKey(name, 1), Role.ROUTER, "nz", zone, "127.0.0.1", 7000
    )


def an_agent(
    name: str = "agent-1",
    zone: str = "akl-a",
    incarnation: int = 1,
    service: str = "proofwriter",
) -> InstanceInfo:
    """Return an agent's identity, its endpoint named after it."""
    return InstanceInfo(
        key=InstanceKey(name, incarnation),
        role=Role.AGENT,
        region="nz",
        availability_zone=zone,
        host="127.0.0.1",
        port=7001,
        service=service,
        endpoint=f"{name}-endpoint",
    )


def a_request(
    request_id: str = "q1",
    workspace: str = "school",
    *,
    service: str = "proofwriter",
    interactive: bool = True,
    idempotent: bool = False,
    arrived_s: float = 0.0,
    deadline_s: float = 60.0,
    body: bytes = b"{}",
    key: str = "",
    retry_limit: int = 0,
    prefix_digest: int = 0,
    fingerprint: int = 0,
) -> Request:
    """Return an admitted request."""
    request_class = (
        RequestClass.INTERACTIVE if interactive else RequestClass.BATCH
    )
    return Request(
        request_id=request_id,
        workspace=workspace,
        service=service,
        rule="all",
        request_class=request_class,
        idempotent=idempotent,
        method="POST",
        path="/v1/chat/completions",
        headers=(),
        body=body,
        stream=True,
        arrived_s=arrived_s,
        deadline_s=deadline_s,
        idempotency_key=key,
        retry_limit=retry_limit,
        prefix_digest=prefix_digest,
        fingerprint=fingerprint,
    )


def a_head(request_id: str = "q1", attempt: int = 1) -> Part:
    """Return the first part of an answer."""
    return Part(request_id, attempt, 0, PartKind.HEAD, status=200)


def a_body(
    sequence: int, data: bytes, request_id: str = "q1", attempt: int = 1
) -> Part:
    """Return a body part of an answer."""
    return Part(request_id, attempt, sequence, PartKind.BODY, data=data)


def an_end(
    sequence: int,
    request_id: str = "q1",
    attempt: int = 1,
    *,
    outcome: Outcome = Outcome.RAN,
    whole: bool = True,
    crashed: bool = False,
    crash: int = 0,
) -> Part:
    """Return the last part of an answer."""
    return Part(
        request_id,
        attempt,
        sequence,
        PartKind.END,
        outcome=outcome,
        whole=whole,
        crashed=crashed,
        crash=crash,
    )


def a_dispatch(
    body: bytes = b"{}",
    *,
    request_id: str = "q1",
    method: str = "POST",
    path: str = "/v1/chat/completions",
    stream: bool = False,
    timeout_ms: int = 10_000,
) -> Dispatch:
    """Return an HTTP attempt for an agent's endpoint."""
    return Dispatch(
        request_id=request_id,
        attempt=1,
        pull_id=0,
        incarnation=1,
        workspace="school",
        service="proofwriter",
        request_class=RequestClass.INTERACTIVE,
        idempotent=True,
        alone=False,
        method=method,
        path=path,
        headers=(("content-type", "application/json"),),
        body=body,
        stream=stream,
        timeout_ms=timeout_ms,
        cost_hint=0.0,
    )


def an_attempt(
    request_id: str = "q1",
    attempt: int = 1,
    *,
    workspace: str = "school",
    pull_id: int = 0,
    incarnation: int = 1,
    idempotent: bool = False,
    alone: bool = False,
    timeout_s: float = 60.0,
    model: str = "",
    cost_hint: float = 0.0,
) -> Dispatch:
    """Return an attempt for tests of an agent's core."""
    return Dispatch(
        request_id=request_id,
        attempt=attempt,
        pull_id=pull_id,
        incarnation=incarnation,
        workspace=workspace,
        service="proofwriter",
        request_class=RequestClass.BATCH,
        idempotent=idempotent,
        alone=alone,
        method="POST",
        path="/v1/chat/completions",
        headers=(),
        body=b"{}",
        stream=True,
        timeout_ms=round(timeout_s * 1000),
        cost_hint=cost_hint,
        model=model,
    )


def a_config(
    *,
    slots: int = 2,
    max_slots: int = 0,
    unit: ServiceUnit = ServiceUnit.SECONDS,
    workspaces: tuple[Workspace, ...] = (),
) -> VersionedConfig:
    """Return a configuration with one model service."""
    service = Service(
        "proofwriter",
        ServiceKind.MODEL,
        unit=unit,
        slots=slots,
        max_slots=max_slots,
    )
    return VersionedConfig(1, FleetConfig(workspaces, (service,)))


def a_rule_list(number: int, workspaces: int = 3) -> FleetConfig:
    """Return a valid configuration that differs for each number."""
    names = [f"w{number}-{i}" for i in range(workspaces)]
    service = Service("llm", ServiceKind.MODEL, models=("m",))
    rule = Rule(f"r{number}", Condition(), Treatment("llm"))
    return FleetConfig(
        tuple(Workspace(name) for name in names), (service,), (rule,)
    )


def an_origin(stream: int, version: str = "v1") -> StreamOrigin:
    """Return where a stream of the model service began."""
    return StreamOrigin(stream, "llm", version)
