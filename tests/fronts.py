"""A router port with scripted answers, served on loopback."""

from __future__ import annotations

import contextlib
import hashlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import httpx

from bulrushstream.coordination.matching import ConfigIndex
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
from bulrushstream.state.request import Request
from bulrushstream.transport.callers import CallersOptions, make_callers
from bulrushstream.transport.port import AnswerItem, AnswerQueue
from bulrushstream.transport.server import Server, ServerLimits, serve

TOKEN = "club-token"
BEARER = {"Authorization": f"Bearer {TOKEN}"}

Script = Callable[[Request], list[AnswerItem]]


def front_config() -> ConfigIndex:
    """Return a configuration with a model and a plain service."""
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    tickets = Condition(path_pattern="/services/floordesk/tickets*")
    rules = (
        Rule("model", Condition(models=("model",)), Treatment()),
        Rule("tickets", tickets, Treatment()),
        Rule(
            "reads",
            Condition(services=("floordesk",)),
            Treatment(idempotent=True),
        ),
        Rule(
            "closed",
            Condition(services=("closed",)),
            Treatment(refuse="closed today"),
        ),
    )
    services = (
        Service("proofwriter", ServiceKind.MODEL, models=("model",)),
        Service("floordesk", ServiceKind.PLAIN),
    )
    club = Workspace("club", token_sha256=(digest,))
    config = FleetConfig((club,), services, rules)
    return ConfigIndex(VersionedConfig(1, config))


@dataclass(slots=True)
class FakePort:
    """A router port that answers requests by a script."""

    script: Script  # Items queued at once on submit.
    index: ConfigIndex | None = field(default_factory=front_config)
    leaving: bool = False  # Whether it drains.
    requests: list[Request] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)  # Request ids.
    queues: list[AnswerQueue] = field(default_factory=list)  # One per request.

    def now(self) -> float:
        return 100.0

    def config(self) -> ConfigIndex | None:
        return self.index

    def draining(self) -> bool:
        return self.leaving

    def new_request_id(self) -> str:
        return f"q{len(self.requests) + 1}"

    def submit(self, request: Request) -> AnswerQueue:
        answers = AnswerQueue()
        self.requests.append(request)
        self.queues.append(answers)
        for item in self.script(request):
            answers.put(item)
        return answers

    def cancel(self, request_id: str) -> None:
        self.cancelled.append(request_id)


@contextlib.asynccontextmanager
async def serve_front(
    port: FakePort,
    options: CallersOptions | None = None,
    limits: ServerLimits | None = None,
) -> AsyncIterator[tuple[httpx.AsyncClient, Server]]:
    """Serve the port to callers; yield a client and the server."""
    app = make_callers(port, options).asgi
    async with (
        serve(app, limits=limits) as server,
        httpx.AsyncClient(
            base_url=server.url,
            trust_env=False,
            verify=False,
            headers=BEARER,
        ) as client,
    ):
        yield client, server
