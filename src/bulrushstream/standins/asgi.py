"""ASGI helpers shared by the stand-ins."""

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
    """Return an app without documentation pages and logging.

    :param handlers: The route handlers.
    :returns: The app.
    """
    return Litestar(
        route_handlers=handlers, openapi_config=None, logging_config=None
    )


async def read_body(receive: Receive) -> bytes:
    """Read a complete request body.

    :param receive: The ASGI receive function.
    :returns: The body; partial if the peer disconnected.
    """
    chunks = []
    while True:
        message = await receive()
        if message["type"] != "http.request":
            break
        chunks.append(message["body"])
        if not message.get("more_body"):
            break
    return b"".join(chunks)


async def send_bytes(
    send: Send, status: int, body: bytes, headers: RawHeaders | None = None
) -> None:
    """Send a complete answer.

    :param send: The ASGI send function.
    :param status: The HTTP status.
    :param body: The body.
    :param headers: Headers in addition to the length.
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
    :param value: A value that msgspec can encode.
    """
    kind = (b"content-type", b"application/json")
    await send_bytes(send, status, msgspec.json.encode(value), [kind])


def header(scope: Scope, name: bytes) -> str:
    """Return the value of a request header.

    :param scope: The request's scope.
    :param name: The header's name in lower case.
    :returns: The value; empty if there is no such header.
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
    """Return the request's path without decoding.

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


async def abort_connection(scope: Scope) -> None:
    """Abort the request's connection without an answer.

    :param scope: The request's scope.
    """
    await connection_of(scope).abort()


async def crash_server(scope: Scope, down_s: float) -> None:
    """Abort every connection of the server and refuse new ones for a time.

    :param scope: The scope of a request to that server.
    :param down_s: How long new connections are refused, in seconds.
    """
    connection = connection_of(scope)
    connection.server.crash(down_s)
    await connection.abort()


async def run_until_disconnect(
    receive: Receive, work: Coroutine[Any, Any, None]
) -> bool:
    """Run a handler, but cancel it if the caller disconnects.

    :param receive: The ASGI receive function, after the complete body.
    :param work: The coroutine that answers the request.
    :returns: Whether it ended before the caller disconnected.
    """
    task = asyncio.ensure_future(work)
    disconnect = asyncio.ensure_future(receive())
    try:
        await asyncio.wait((task, disconnect), return_when="FIRST_COMPLETED")
        ended = task.done()
        if ended:
            await task
        return ended
    finally:
        task.cancel()
        disconnect.cancel()
        await asyncio.gather(task, disconnect, return_exceptions=True)
