"""Endpoints on loopback that answer before they have read an upload.

A router serves callers on loopback, too, so that the kernel's own buffers
and resets take part.
"""

from __future__ import annotations

import asyncio
import re
import socket
import struct
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from bulrushstream.daemon import platformupdates
from bulrushstream.transport.ingress import Ingress, IngressLimits
from tests.crashplans import CrashPlan
from tests.crashrouters import make_router
from tests.deployments import HOST, KEY, an_entry
from tests.test_cut_answers import (
    BORN,
    answer_probe,
    body_that_looks_whole,
    status_of,
)

SERVICES: Final = {"/talk/": "llm", "/tell/": "llm"}
EVENTS: Final = b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
PART: Final = b"a part of the body;" * 40
SOUND: Final = b"a sound body"
READ_BYTES: Final = 16_000  # Of an upload, before it is answered.
RECEIVE_BUFFER_BYTES: Final = 4_096
# The kernel's buffers take the first; they do not take the second.
SMALL_BYTES: Final = 400_000
LARGE_BYTES: Final = 4_000_000
LATER_S: Final = 0.05
GIVE_UP_S: Final = 8.0
_REQUEST_ID: Final = re.compile(rb"(?i)x-request-id: *([^\r]*)\r\n")
_LENGTH: Final = re.compile(rb"(?i)\r\ncontent-length: *(\d+)\r\n")


class Ending(StrEnum):
    """How a connection ends after a part of an answer."""

    RESET = "reset"
    LATER_RESET = "reset a moment later"
    HALF_CLOSE = "closed in order, and no more is read"
    HALF_CLOSE_RESET = "closed in order, and reset a moment later"
    READ_AND_CLOSE = "closed in order once the upload is read"


@dataclass(slots=True)
class EarlyEndpoint:
    """An endpoint that answers requests with long bodies early."""

    ending: Ending
    framing: bytes = b"Connection: close\r\n"  # Headers of early answers.
    part: bytes = PART  # What is sent of the body.
    status: bytes = b"200 OK"
    streams: bool = False
    port: int = 0
    # How many requests came before each upload on its connection.
    uploads_after: list[int] = field(default_factory=list)
    transports: list[asyncio.Transport] = field(default_factory=list)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on loopback with a small receive buffer."""
        listener = socket.socket()
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listener.bind(("127.0.0.1", 0))
        self.port = listener.getsockname()[1]
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Serving(self), sock=listener
        )

    def close(self) -> None:
        """Stop listening, and end all connections."""
        if self._server is not None:
            self._server.close()
        for transport in self.transports:
            transport.abort()

    def encode_head(self, request_id: bytes, more: bytes) -> bytes:
        """Return an answer's head."""
        kind = b"text/event-stream" if self.streams else b"text/plain"
        status = self.status if more == self.framing else b"200 OK"
        return b"".join(
            (
                b"HTTP/1.1 %b\r\nX-Request-Id: %b\r\n" % (status, request_id),
                b"X-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n",
                b"Content-Type: %b\r\n%b\r\n" % (kind, more),
            )
        )


class _Serving(asyncio.Protocol):
    """One connection to it."""

    def __init__(self, endpoint: EarlyEndpoint) -> None:
        self._endpoint = endpoint
        self._data = b""
        self._served = 0
        self._left_bytes = 0  # Of an upload that was answered.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._endpoint.transports.append(transport)

    def data_received(self, data: bytes) -> None:
        if self._left_bytes:
            self._left_bytes -= len(data)
            if self._left_bytes <= 0:
                self._transport.close()
            return
        self._data += data
        head, separator, body = self._data.partition(b"\r\n\r\n")
        if not separator:
            return
        found = _LENGTH.search(head + b"\r\n")
        length = int(found[1]) if found else 0
        if length > READ_BYTES:
            if len(body) >= READ_BYTES:
                self._answer_early(head + b"\r\n", length - len(body))
        elif len(body) >= length:
            self._answer(head + separator)
            self._data = b""

    def _answer(self, head: bytes) -> None:
        probed = answer_probe(head)
        request_id = _REQUEST_ID.search(head)
        if not probed:
            # Questions whether it lives have none.
            name = request_id[1] if request_id else b""
            endpoint = self._endpoint
            body = EVENTS if endpoint.streams else SOUND
            length = b"Content-Length: %d\r\n" % len(body)
            probed = endpoint.encode_head(name, length) + body
            self._served += 1
        self._transport.write(probed)

    def _answer_early(self, head: bytes, left_bytes: int) -> None:
        endpoint, transport = self._endpoint, self._transport
        endpoint.uploads_after.append(self._served)
        request_id = _REQUEST_ID.search(head)
        assert request_id is not None
        answer = endpoint.encode_head(request_id[1], endpoint.framing)
        transport.write(answer + endpoint.part)
        loop = asyncio.get_running_loop()
        if endpoint.ending is Ending.READ_AND_CLOSE:
            self._left_bytes = left_bytes
            return
        transport.pause_reading()
        if endpoint.ending is Ending.RESET:
            self._reset()
        elif endpoint.ending is Ending.LATER_RESET:
            loop.call_later(LATER_S, self._reset)
        else:
            transport.write_eof()
        if endpoint.ending is Ending.HALF_CLOSE_RESET:
            loop.call_later(LATER_S, self._reset)

    def _reset(self) -> None:
        sock = self._transport.get_extra_info("socket")
        if not self._transport.is_closing():
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self._transport.abort()


@dataclass(frozen=True, slots=True)
class Upload:
    """How callers send their requests."""

    path: str = "/safe/"
    size_bytes: int = SMALL_BYTES
    chunked: bool = False
    kept: bool = False  # Whether another request came before, on all ways.


def encode_request(
    upload: Upload, request_id: bytes, size_bytes: int
) -> bytes:
    """Return a request with a body."""
    lines = [
        b"POST %bx HTTP/1.1" % upload.path.encode(),
        b"Host: " + HOST.encode(),
        b"X-Request-Id: " + request_id,
        b"X-Deadline-Ms: 4000",
        b"Authorization: Bearer " + KEY.encode(),
    ]
    if upload.path in SERVICES:
        lines.append(b"X-Model: m")
        lines.append(b"X-Token-Counts: 60,20")
        lines.append(b"X-Prompt-Prefix: a1:20,b2:10")
    body = b"u" * size_bytes
    if upload.chunked:
        lines.append(b"Transfer-Encoding: chunked")
        pieces = [
            body[at : at + 20_000] for at in range(0, size_bytes, 20_000)
        ]
        body = b"".join(
            b"%x\r\n%b\r\n" % (len(each), each) for each in (*pieces, b"")
        )
    else:
        lines.append(b"Content-Length: %d" % size_bytes)
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Return what a caller gets until an answer looks whole, or ends."""
    data = b""
    try:
        async with asyncio.timeout(GIVE_UP_S):
            while piece := await reader.read(65_536):
                data += piece
                if body_that_looks_whole(data) is not None:
                    break
                length = _LENGTH.search(data)
                _, separator, body = data.partition(b"\r\n\r\n")
                if separator and length and len(body) >= int(length[1]):
                    break
    except (ConnectionError, TimeoutError):
        pass
    return data


async def play_upload(endpoint: EarlyEndpoint, upload: Upload) -> bytes:
    """Send an upload through a router; return what its caller got."""
    loop = asyncio.get_running_loop()
    service = SERVICES.get(upload.path, "desk")
    endpoint.streams = service == "llm"
    await endpoint.start()
    router = make_router(
        0, 1, CrashPlan(routers=1), loop.time, lambda _: None, lambda *_: None
    )
    front = router.front
    entry = an_entry("e-0", service=service, port=endpoint.port, born=BORN)
    platformupdates.apply_entry(front, entry)
    front.endpoints_listed = True
    front.streams.history.complete = True
    front.freshness.confirm(loop.time())
    ingress = Ingress(front.handle, IngressLimits(), loop.time)
    server = await loop.create_server(ingress.make_connection, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(*address)
    try:
        if upload.kept:
            writer.write(encode_request(upload, b"q0", 10))
            first = await read_answer(reader)
            assert status_of(first) == b"200", first
        writer.write(encode_request(upload, b"q1", upload.size_bytes))
        return await read_answer(reader)
    finally:
        writer.close()
        server.close()
        endpoint.close()
