"""Connections between simulated processes, in virtual time.

The clients run their real code on transports of this module.  Bytes arrive
in order; a process can end with or without a notice to its clients.

A process may own timers and connections: what is scheduled while it runs is
its own.  If it stands still, its timers and what arrives for it wait.
"""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from contextvars import Context, ContextVar
from typing import Any, Final, Protocol

from bulrushstream.history.virtualloop import VirtualLoop

ONE_WAY_S: Final = 0.001

Address = tuple[str, int]

# The process that runs now; None: none that can stand still.
_OWNER: ContextVar[int | None] = ContextVar("owner", default=None)


@contextmanager
def owned_by(owner: int | None) -> Iterator[None]:
    """Let what is scheduled belong to a process."""
    token = _OWNER.set(owner)
    try:
        yield
    finally:
        _OWNER.reset(token)


Step = Callable[[], None]


class ServerSide(Protocol):
    """A server's end of one connection."""

    def received(self, data: bytes) -> None:
        """Handle bytes of the client."""

    def closed(self) -> None:
        """Handle the end of the connection by the client."""


class Transport(asyncio.Transport):
    """The transport of a client's connection to a simulated server."""

    def __init__(self, loop: NetworkLoop, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self._loop = loop
        self._owner = _OWNER.get()
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
        with owned_by(None):
            self._loop.call_later(
                ONE_WAY_S, lambda: self._in_flight.popleft()()
            )

    def _arrive(self, step: Callable[[Any], None], what: Any) -> None:
        """Let the client see what arrives once it reads it."""
        self._unread.append(lambda: step(what))
        self._loop.arrive(self._owner, self._read_on)

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
        # How many causes let each process stand still.
        self._standstills: Counter[int] = Counter()
        # Of each of them: timers that are due, and what has arrived.
        self._due: dict[int, list[tuple[asyncio.Handle, Step]]] = defaultdict(
            list
        )
        self._arrived: dict[int, list[Step]] = defaultdict(list)

    def stand_still(self, for_s: float) -> None:
        """Let time pass as for a process that is stopped.

        :param for_s: how long, in seconds
        """
        self._virtual_selector.now_s += for_s

    def begin_standstill(self, owner: int) -> None:
        """Let a process stand still."""
        self._standstills[owner] += 1

    def end_standstill(self, owner: int) -> None:
        """Let a process run on: first its timers, then what has arrived."""
        self._standstills[owner] -= 1
        if self.stands_still(owner):
            return
        for handle, step in self._due.pop(owner, []):
            if not handle.cancelled():
                with owned_by(owner):
                    step()
        for step in self._arrived.pop(owner, []):
            # What the timers began runs first.
            self.call_soon(self.arrive, owner, step)

    def stands_still(self, owner: int) -> bool:
        """Return whether a process stands still."""
        return self._standstills[owner] > 0

    def arrive(self, owner: int | None, step: Step) -> None:
        """Let a process handle what arrives, once it runs."""
        if owner is not None and self.stands_still(owner):
            self._arrived[owner].append(step)
            return
        with owned_by(owner):
            step()

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a call; it waits while its process stands still."""
        owner = _OWNER.get()
        if owner is None:
            return super().call_at(when, callback, *args, context=context)

        def run() -> None:
            if self.stands_still(owner):
                self._due[owner].append((handle, lambda: callback(*args)))
            else:
                callback(*args)

        handle = super().call_at(when, run, context=context)
        return handle

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
