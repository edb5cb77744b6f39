"""Small helpers that the stand-ins' ASGI handlers share."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeAlias
from urllib.parse import parse_qsl

import msgspec
from litestar import Litestar
from litestar.types import Receive, Scope, Send

from bulrushstream.transport.server import connection_of

RawHeaders: TypeAlias = list[tuple[bytes, bytes]]


def make_app(handlers: list[Any]) -> Litestar:
    """Return an app of handlers without documentation pages or logs.

    :param handlers: The route handlers.
    :returns: The app.
    """
    return Litestar(
        route_handlers=handlers, openapi_config=None, logging_config=None
    )


async def read_body(receive: Receive) -> bytes:
    """Read a whole request body.

    :param receive: The ASGI receive function.
    :returns: The body, or what came of it before the peer left.
    """
    pieces = []
    while True:
        message = await receive()
        if message["type"] != "http.request":
            break
        pieces.append(message["body"])
        if not message.get("more_body"):
            break
    return b"".join(pieces)


async def send_bytes(
    send: Send, status: int, body: bytes, headers: RawHeaders | None = None
) -> None:
    """Send a whole answer.

    :param send: The ASGI send function.
    :param status: The HTTP status.
    :param body: The body.
    :param headers: Headers beside the length.
    """
    length = (b"content-length", b"%d" % len(body))
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [length, *(headers or [])],
        }
    )
    await send(
        {"type": "http.response.body", "body": body, "more_body": False}
    )


async def send_json(send: Send, status: int, value: Any) -> None:
    """Send a value as JSON.

    :param send: The ASGI send function.
    :param status: The HTTP status.
    :param value: What msgspec can encode.
    """
    kind = (b"content-type", b"application/json")
    await send_bytes(send, status, msgspec.json.encode(value), [kind])


def header(scope: Scope, name: bytes) -> str:
    """Return a request's header, or an empty string.

    :param scope: The request's scope.
    :param name: The header's name in lower case.
    :returns: The value.
    """
    for key, value in scope["headers"]:
        if key == name:
            return value.decode("latin-1")
    return ""


def method(scope: Scope) -> str:
    """Return the request's method.

    :param scope: The request's scope.
    :returns: The method in capitals.
    """
    return str(scope["method"])  # type: ignore[typeddict-item]


def raw_path(scope: Scope) -> str:
    """Return the request's path as it was sent.

    :param scope: The request's scope.
    :returns: The path, without the query.
    """
    path: bytes = scope["raw_path"]
    return path.decode("ascii")


def query(scope: Scope) -> dict[str, str]:
    """Return the request's query parameters.

    :param scope: The request's scope.
    :returns: The last value of each parameter.
    """
    return dict(parse_qsl(scope["query_string"].decode("ascii")))


async def drop(scope: Scope) -> None:
    """Drop the request's connection without an answer.

    :param scope: The request's scope.
    """
    await connection_of(scope).abort()


async def crash(scope: Scope, down_s: float) -> None:
    """Drop every connection of the server and stay down for a time.

    :param scope: The scope of a request at that server.
    :param down_s: How long new connections are refused, in seconds.
    """
    connection = connection_of(scope)
    connection.server.crash(down_s)
    await connection.abort()


async def run_until_left(
    receive: Receive, work: Coroutine[Any, Any, None]
) -> bool:
    """Run work, but cancel it when the caller leaves.

    :param receive: The ASGI receive function, after the whole body.
    :param work: What answers the request.
    :returns: Whether the work ended before the caller left.
    """
    task = asyncio.ensure_future(work)
    left = asyncio.ensure_future(receive())
    try:
        await asyncio.wait((task, left), return_when="FIRST_COMPLETED")
        ended = task.done()
        if ended:
            await task
        return ended
    finally:
        task.cancel()
        left.cancel()
        await asyncio.gather(task, left, return_exceptions=True)
