"""An instance's HTTP interface for operators.

It serves liveness (`/healthz`), readiness (`/readyz`), metrics and status,
and accepts a few actions, such as lifting a quarantine.  It listens on a
separate port, which is not meant for callers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec
from litestar import Litestar, Response, asgi, get
from litestar.types import Receive, Scope, Send

ACTIONS_PATH = "/actions"
MAX_ACTION_BYTES = 65536
READ_TIMEOUT_S = 10.0  # For the body of an action.

Action = Callable[[bytes], Awaitable[Any]]


@dataclass(frozen=True, slots=True)
class Readiness:
    """Whether an instance accepts work."""

    ready: bool  # Whether a load balancer may use it.
    reasons: tuple[str, ...] = ()  # Why not ready, or degraded.


class ActionError(Exception):
    """An action's request is invalid; the text says why."""


@dataclass(frozen=True, slots=True)
class OperatorsOptions:
    """The instance's functions that the interface calls."""

    readiness: Callable[[], Readiness]  # Whether it accepts work.
    status: Callable[[], Any]  # Its status, encodable by msgspec.
    metrics: Callable[[], bytes]  # Its metrics in text format.
    actions: Mapping[str, Action] = field(default_factory=dict)  # By name.


def make_operators(options: OperatorsOptions) -> Litestar:
    """Make the operators' app of an instance.

    :param options: The instance's functions.
    :returns: The app.
    """

    @get("/healthz")
    async def healthz() -> Response[bytes]:
        return _json(200, {"alive": True})

    @get("/readyz")
    async def readyz() -> Response[bytes]:
        readiness = options.readiness()
        return _json(200 if readiness.ready else 503, readiness)

    @get("/metrics")
    async def metrics() -> Response[bytes]:
        return Response(options.metrics(), media_type="text/plain")

    @get("/status")
    async def status() -> Response[bytes]:
        return _json(200, options.status())

    @asgi(ACTIONS_PATH, is_mount=True, copy_scope=False)
    async def actions(scope: Scope, receive: Receive, send: Send) -> None:
        code, answer = await _run_action(options, scope, receive)
        body = msgspec.json.encode(answer)
        kind = (b"content-type", b"application/json")
        length = (b"content-length", b"%d" % len(body))
        await send(
            {
                "type": "http.response.start",
                "status": code,
                "headers": [kind, length],
            }
        )
        await send(
            {"type": "http.response.body", "body": body, "more_body": False}
        )

    return Litestar(
        route_handlers=[healthz, readyz, metrics, status, actions],
        openapi_config=None,
        logging_config=None,
    )


async def _run_action(
    options: OperatorsOptions, scope: Any, receive: Any
) -> tuple[int, Any]:
    """Run an action; return the HTTP status and the response."""
    path = scope["raw_path"].decode("ascii")
    name = path.removeprefix(ACTIONS_PATH).strip("/")
    action = options.actions.get(name)
    if action is None:
        return 404, {"error": f"no action {name!r}"}
    if scope["method"] != "POST":
        return 405, {"error": "actions are posted"}
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            body = await _read_body(receive)
    except TimeoutError:
        return 408, {"error": "the body takes too long"}
    if body is None:
        return 400, {"error": "no body"}
    if len(body) > MAX_ACTION_BYTES:
        return 413, {"error": "the body is too large"}
    try:
        return 200, await action(body)
    except ActionError as error:
        return 400, {"error": str(error)}


async def _read_body(receive: Any) -> bytes | None:
    """Return a body, or a part above the limit; None: it has no end."""
    body = bytearray()
    more = True
    while more and len(body) <= MAX_ACTION_BYTES:
        message = await receive()
        if message["type"] != "http.request":
            return None
        body += message["body"]
        more = message["more_body"]
    return bytes(body)


def _json(status: int, value: Any) -> Response[bytes]:
    """Return a JSON response."""
    body = msgspec.json.encode(value)
    return Response(body, status_code=status, media_type="application/json")
