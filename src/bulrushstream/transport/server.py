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
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from bulrushstream.messages import BAD_REQUEST, TOO_MANY_CONNECTIONS, Notice
from bulrushstream.transport.problem import encode_problem, problem_headers

EXTENSION: Final = "bulrushstream"
STOP_GRACE_S: Final = 5.0

# uvicorn logs each connection that a peer aborts; the users of this module
# log the relevant errors themselves.
logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of a server."""

    max_connections: int = 1024  # Open connections.
    max_header_bytes: int = 32768  # Request line and headers together.
    header_timeout_s: float = 10.0  # To receive the head of a request.
    idle_timeout_s: float = 75.0  # Between two requests.


class BoundedProtocol(HttpToolsProtocol):
    """uvicorn's HTTP protocol with limits on connections and heads."""

    limits: ServerLimits
    owner: Server  # The server that accepted the connection.
    _head_bytes: int  # Received bytes of an incomplete head.
    _in_head: bool  # Whether no complete head was received.
    _head_timer: asyncio.TimerHandle | None  # Limits the time for a head.

    def __init__(
        self, config: uvicorn.Config, state: ServerState, owner: Server
    ) -> None:
        super().__init__(config, state, {})
        self.owner = owner
        self.limits = owner.limits
        self._head_bytes = 0
        self._in_head = True
        self._head_timer = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Start the head's timer, or refuse a connection over the limit."""
        super().connection_made(transport)
        if len(self.connections) > self.limits.max_connections:
            self._refuse(TOO_MANY_CONNECTIONS, 503)
            return
        self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; refuse a head that exceeds the limit."""
        if self.transport.is_closing():
            return
        if self._in_head:
            self._head_bytes += len(data)
        super().data_received(data)
        too_large = self._head_bytes > self.limits.max_header_bytes
        if self._in_head and too_large:
            self._refuse_head()

    def on_message_begin(self) -> None:
        """Start the timer for a head."""
        super().on_message_begin()
        self._start_head_timer()

    def on_headers_complete(self) -> None:
        """Check the head's size and pass the request to the app."""
        self._in_head = False
        self._head_bytes = 0
        self._stop_head_timer()
        size_bytes = len(self.url) + sum(
            len(name) + len(value) for name, value in self.headers
        )
        if size_bytes > self.limits.max_header_bytes:
            self._refuse_head()
            return
        extensions: dict[str, Any] = {
            EXTENSION: Connection(self.transport, self.owner)
        }
        self.scope["extensions"] = extensions
        super().on_headers_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuse invalid HTTP with a problem document."""
        if not self.transport.is_closing():
            self._refuse(BAD_REQUEST, 400, why=msg)

    def _start_head_timer(self) -> None:
        """Start to wait for a head."""
        self._in_head = True
        self._stop_head_timer()
        self._head_timer = self.loop.call_later(
            self.limits.header_timeout_s, self._close_on_timeout
        )

    def _stop_head_timer(self) -> None:
        """Cancel the timer for the head."""
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _close_on_timeout(self) -> None:
        """Close a connection whose head was not received in time."""
        if self._in_head:
            self.transport.close()

    def _refuse_head(self) -> None:
        """Refuse a head that is too large."""
        why = f"the head exceeds {self.limits.max_header_bytes} bytes"
        self._refuse(BAD_REQUEST, 431, why=why)

    def _refuse(self, notice: Notice, status: int, why: str = "") -> None:
        """Write a problem document and close the connection."""
        body = encode_problem(notice, status=status, why=why)
        head = [b"HTTP/1.1 %d Refused\r\n" % status]
        for name, value in problem_headers(len(body)):
            head.append(name + b": " + value + b"\r\n")
        head.append(b"connection: close\r\n\r\n")
        self.transport.write(b"".join(head) + body)
        self.transport.close()


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
    _config: uvicorn.Config  # uvicorn's settings with the app.
    _state: ServerState  # Open connections and running tasks.
    _listener: asyncio.Server | None  # The listening socket.
    _restart_timer: (
        asyncio.TimerHandle | None
    )  # Restarts after a simulated crash.

    def __init__(
        self, app: Any, host: str, port: int, limits: ServerLimits
    ) -> None:
        self.host = host
        self.port = port
        self.limits = limits
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
        return BoundedProtocol(self._config, self._state, self)


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
