"""An HTTP server inside the running event loop.

uvicorn's HTTP protocol runs an ASGI app without uvicorn's own main loop,
so that one process can run many servers and keep its own signal handlers.
Connections, header bytes, the time to receive a head and the time between
requests are all limited.

An app gets its connection from the scope (see `connection_of`): a proxy
must be able to end a truncated response without the bytes that mark its
end, and a stand-in must be able to simulate failures.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any, Final

import uvicorn
from uvicorn.server import ServerState

from bulrushstream.state.excess import OnExcess, PeerKind
from bulrushstream.transport.boundedprotocol import (
    BoundedProtocol,
    ServerLimits,
)

__all__ = ["Connection", "Server", "ServerLimits", "connection_of", "serve"]

EXTENSION: Final = "bulrushstream"
STOP_GRACE_S: Final = 5.0

# uvicorn logs each connection that a peer aborts; the users of this module
# log the relevant errors themselves.
logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)


@dataclass(frozen=True, slots=True)
class Connection:
    """The connection of a request."""

    transport: asyncio.Transport
    server: Server  # The server that accepted it.

    async def abort(self) -> None:
        """Abort the connection and discard unsent bytes."""
        self.transport.abort()
        # connection_lost is called in the next iteration of the event loop.
        await asyncio.sleep(0)

    async def close(self) -> None:
        """Close after sending buffered bytes, without a response's end."""
        self.transport.close()
        await asyncio.sleep(0)


def connection_of(scope: Any) -> Connection:
    """Return the connection that an ASGI scope belongs to.

    :param scope: The scope of a request that `Server` accepted.
    :returns: The connection.
    """
    connection: Connection = scope["extensions"][EXTENSION]
    return connection


class Server:
    """One listening port with one ASGI app behind it."""

    host: str  # The IP address that it listens on.
    port: int  # The port, known once it has started.
    limits: ServerLimits
    _peer: PeerKind  # Who connects.
    _on_excess: OnExcess
    _config: uvicorn.Config  # uvicorn's settings with the app.
    _state: ServerState  # Open connections and running tasks.
    _listener: asyncio.Server | None  # The listening socket.
    _restart_timer: (
        asyncio.TimerHandle | None
    )  # Restarts after a simulated crash.

    def __init__(
        self,
        app: Any,
        host: str,
        port: int,
        limits: ServerLimits,
        peer: PeerKind = PeerKind.CALLER,
        on_excess: OnExcess = lambda _: None,
    ) -> None:
        """Make a server that does not listen yet.

        :param app: The ASGI app.
        :param host: The IP address to listen on.
        :param port: The port; 0: any free port.
        :param limits: The limits.
        :param peer: Who connects.
        :param on_excess: Logs and counts a peer that sends too much.
        """
        self.host = host
        self.port = port
        self.limits = limits
        self._peer = peer
        self._on_excess = on_excess
        self._config = uvicorn.Config(
            app,
            http=BoundedProtocol,
            ws="none",
            loop="asyncio",
            lifespan="off",
            log_config=None,
            access_log=False,
            proxy_headers=False,
            timeout_keep_alive=int(limits.idle_timeout_s),
        )
        self._config.load()
        self._state = ServerState()
        self._listener = None
        self._restart_timer = None

    @property
    def url(self) -> str:
        """Return the server's base URL."""
        return f"http://{self.host}:{self.port}"

    @property
    def listening(self) -> bool:
        """Return whether new connections are accepted."""
        return self._listener is not None

    @property
    def open_connections(self) -> int:
        """Return how many connections are open."""
        return len(self._state.connections)

    async def start(self) -> None:
        """Bind the port and accept connections.

        :raises OSError: If the port is taken.
        """
        # asyncio sets TCP_NODELAY only on sockets made with IPPROTO_TCP.
        listen_socket = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
        )
        listen_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listen_socket.bind((self.host, self.port))
        except OSError:
            listen_socket.close()
            raise
        self.port = listen_socket.getsockname()[1]
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._make_protocol, sock=listen_socket, backlog=1024
        )

    async def stop(self, grace_s: float = STOP_GRACE_S) -> None:
        """Stop accepting, finish running requests, and close.

        :param grace_s: How long running requests may take, in seconds.
        """
        self._stop_listening()
        if self._restart_timer is not None:
            self._restart_timer.cancel()
        for connection in list(self._state.connections):
            connection.shutdown()
        tasks = list(self._state.tasks)
        if tasks:
            await asyncio.wait(tasks, timeout=grace_s)
        self._abort_connections()
        for task in list(self._state.tasks):
            task.cancel()
        await asyncio.gather(*self._state.tasks, return_exceptions=True)

    def crash(self, down_s: float) -> None:
        """Simulate a crash: abort all connections and stop listening.

        :param down_s: How long the port stays closed, in seconds.
        """
        self._stop_listening()
        self._abort_connections()
        # The other requests of a crashed process do not continue.
        for task in self._state.tasks:
            if task is not asyncio.current_task():
                task.cancel()
        loop = asyncio.get_running_loop()
        self._restart_timer = loop.call_later(down_s, self._start_again)

    def _start_again(self) -> None:
        """Listen again after a simulated crash."""
        task = asyncio.get_running_loop().create_task(self.start())
        self._state.tasks.add(task)
        task.add_done_callback(self._state.tasks.discard)

    def _stop_listening(self) -> None:
        """Close the listening socket."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _abort_connections(self) -> None:
        """Abort every open connection."""
        for connection in list(self._state.connections):
            connection.transport.abort()

    def _make_protocol(self) -> BoundedProtocol:
        """Return the protocol of a new connection."""
        return BoundedProtocol(
            self._config,
            self._state,
            self.limits,
            self._add_connection,
            self._peer,
            self._on_excess,
        )

    def _add_connection(self, protocol: BoundedProtocol) -> None:
        """Add the connection to the scope of a request."""
        connection = Connection(protocol.transport, self)
        extensions: dict[str, Any] = {EXTENSION: connection}
        protocol.scope["extensions"] = extensions


@contextlib.asynccontextmanager
async def serve(
    app: Any,
    host: str = "127.0.0.1",
    port: int = 0,
    limits: ServerLimits | None = None,
) -> AsyncIterator[Server]:
    """Run an ASGI app on a port for as long as the context is open.

    :param app: The ASGI app.
    :param host: The IP address to listen on.
    :param port: The port; 0: any free port.
    :param limits: The limits; None: the defaults.
    :returns: The running server.
    """
    server = Server(app, host, port, limits or ServerLimits())
    await server.start()
    try:
        yield server
    finally:
        await server.stop(grace_s=0.2)
