"""Connections between simulated processes, in virtual time.

The clients run their real code on transports of this module.  Bytes arrive
in order; a process can end with or without a notice to its clients.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, Final, Protocol

from bulrushstream.history.virtualloop import VirtualLoop

ONE_WAY_S: Final = 0.001

Address = tuple[str, int]


class ServerSide(Protocol):
    """A server's end of one connection."""

    def received(self, data: bytes) -> None:
        """Handle bytes of the client."""

    def closed(self) -> None:
        """Handle the end of the connection by the client."""


class Transport(asyncio.Transport):
    """The transport of a client's connection to a simulated server."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, protocol: asyncio.Protocol
    ) -> None:
        super().__init__()
        self._loop = loop
        self._protocol = protocol
        self._closed = False
        self._in_flight: deque[Callable[[], None]] = deque()
        self._unread: deque[Callable[[], None]] = deque()
        self.reading = True
        self.server: ServerSide | None = None  # None: it ignores all bytes.

    # --- The client's side.

    def write(self, data: Any) -> None:
        self._later(lambda: self._deliver_to_server(bytes(data)))

    def abort(self) -> None:
        if self._closed:
            return
        self._closed = True
        self._loop.call_soon(self._protocol.connection_lost, None)
        self._later(self._tell_server)

    def close(self) -> None:
        self.abort()

    def is_closing(self) -> bool:
        return self._closed

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True
        self._loop.call_soon(self._read_on)

    # --- The server's side.

    def send(self, data: bytes) -> None:
        self._later(lambda: self._arrive(self._deliver_to_client, data))

    def end(self, error: Exception | None) -> None:
        """Close the connection; an error stands for a reset."""
        self.server = None
        self._later(lambda: self._arrive(self._lose, error))

    # --- Delivery.

    def _later(self, step: Callable[[], None]) -> None:
        self._in_flight.append(step)
        self._loop.call_later(ONE_WAY_S, lambda: self._in_flight.popleft()())

    def _arrive(self, step: Callable[[Any], None], what: Any) -> None:
        """Let the client see what arrives once it reads it."""
        self._unread.append(lambda: step(what))
        self._read_on()

    def _read_on(self) -> None:
        while self.reading and self._unread:
            self._unread.popleft()()

    def _deliver_to_server(self, data: bytes) -> None:
        if self.server is not None and not self._closed:
            self.server.received(data)

    def _tell_server(self) -> None:
        server, self.server = self.server, None
        if server is not None:
            server.closed()

    def _deliver_to_client(self, data: bytes) -> None:
        if not self._closed:
            self._protocol.data_received(data)

    def _lose(self, error: Exception | None) -> None:
        if not self._closed:
            self._closed = True
            self._protocol.connection_lost(error)


Listener = Callable[[Transport], ServerSide]


class NetworkLoop(VirtualLoop):
    """A virtual event loop whose connections lead to simulated servers."""

    def __init__(self) -> None:
        super().__init__()
        self.listeners: dict[Address, Listener] = {}
        self.mute: set[Address] = set()  # Connections there hang.

    def stand_still(self, for_s: float) -> None:
        """Let time pass as for a process that is stopped.

        :param for_s: how long, in seconds
        """
        self._virtual_selector.now_s += for_s

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], host: str, port: int
    ) -> tuple[Transport, Any]:
        await asyncio.sleep(2 * ONE_WAY_S)
        if (host, port) in self.mute:
            await asyncio.sleep(3600.0)
        listener = self.listeners.get((host, port))
        if listener is None:
            raise ConnectionRefusedError(f"{host}:{port} refuses")
        protocol = protocol_factory()
        transport = Transport(self, protocol)
        transport.server = listener(transport)
        protocol.connection_made(transport)
        return transport, protocol


def run_in_network(
    work: Callable[[NetworkLoop], Coroutine[Any, Any, None]],
) -> list[str]:
    """Run a coroutine in virtual time; return unhandled exceptions."""
    loop = NetworkLoop()
    try:
        loop.run_until_complete(work(loop))
        return loop.unhandled_errors
    finally:
        loop.close()
