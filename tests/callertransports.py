"""A caller's connection, as asyncio and the kernel treat its socket.

The kernel takes some bytes at a time; closing the socket ends the connection
in order or with a reset, by the option that was set last.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import Any

from bulrushstream.transport.ingress import RESET_LINGER, Ingress


class _Socket:
    """A socket of which only the way to close it matters."""

    def __init__(self) -> None:
        self.resets = False
        self._files = socket.socketpair()

    def fileno(self) -> int:
        return self._files[0].fileno()

    def setsockopt(self, level: int, name: int, value: bytes) -> None:
        assert (level, name) == (socket.SOL_SOCKET, socket.SO_LINGER)
        self.resets = value == RESET_LINGER

    def close(self) -> None:
        for file in self._files:
            file.close()


class CallerTransport(asyncio.Transport):
    """The router's end of a caller's connection."""

    def __init__(self, ingress: Ingress, room_bytes: int) -> None:
        """Connect.

        :param ingress: accepts the connection
        :param room_bytes: what the kernel takes before the caller reads
        """
        super().__init__()
        self.sent = b""  # What the kernel has taken.
        self.end = ""  # How the caller sees the end; empty: not yet.
        self.lost_bytes = 0  # Written, but never given to the kernel.
        self.aborted = False  # Whether it was closed at once.
        self.room_bytes = room_bytes
        self._socket = _Socket()
        self._unsent = b""
        self._unread: deque[bytes] = deque()
        self._reading = True
        self._high_bytes = 65_536
        self._paused = False
        self._closing = False
        self._lost = False  # Whether the protocol will be told of the end.
        self.protocol = ingress.make_connection()
        self.protocol.connection_made(self)

    # --- The router's side.

    def write(self, data: Any) -> None:
        if self._lost:
            self.lost_bytes += len(data)
            return
        self._unsent += data
        self._send()
        self._pause_if_full()

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        self._high_bytes = 65_536 if high is None else high
        self._pause_if_full()

    def get_write_buffer_size(self) -> int:
        return len(self._unsent)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._socket if name == "socket" else default

    def is_closing(self) -> bool:
        return self._closing

    def pause_reading(self) -> None:
        self._reading = False

    def resume_reading(self) -> None:
        self._reading = True
        asyncio.get_running_loop().call_soon(self._read_on)

    def write_eof(self) -> None:
        """Do nothing: the connection is closed later."""

    def close(self) -> None:
        self._closing = True
        if not self._unsent:
            self._lose(None)

    def abort(self) -> None:
        self.fail(None)

    # --- The caller and the kernel.

    def read(self, size_bytes: int) -> None:
        """Let the caller read some bytes, so that the kernel takes more."""
        self.room_bytes += size_bytes
        self._send()
        if self._paused and len(self._unsent) <= self._high_bytes // 4:
            self._paused = False
            self.protocol.resume_writing()
        if self._closing and not (self._unsent or self._lost):
            self._lost = True
            self._finish(None)

    def receive(self, data: bytes) -> None:
        """Let the router read bytes of the caller."""
        self._unread.append(data)
        self._read_on()

    def half_close(self) -> None:
        """Let the router read the end of the caller's sending side."""
        if not self._closing and not self.protocol.eof_received():
            self.close()

    def fail(self, error: OSError | None) -> None:
        """Close the connection at once."""
        if not self._lost:
            self.aborted = True
        self.lost_bytes += len(self._unsent)
        self._closing = True
        self._unsent = b""
        self._lose(error)

    def kill(self) -> None:
        """End the router's process."""
        self.lost_bytes += len(self._unsent)
        self._end_socket()

    def _read_on(self) -> None:
        """Let the router read what has arrived, unless it has paused."""
        while self._unread and self._reading and not self._closing:
            self.protocol.data_received(self._unread.popleft())

    def _send(self) -> None:
        """Give the kernel what it has room for."""
        if self.end:
            return
        size_bytes = max(0, self.room_bytes - len(self.sent))
        self.sent += self._unsent[:size_bytes]
        self._unsent = self._unsent[size_bytes:]

    def _pause_if_full(self) -> None:
        """Tell the protocol that much is unsent."""
        if len(self._unsent) > self._high_bytes and not self._paused:
            self._paused = True
            self.protocol.pause_writing()

    def _lose(self, error: OSError | None) -> None:
        """Tell the protocol in the next turn, and close the socket."""
        if not self._lost:
            self._lost = True
            asyncio.get_running_loop().call_soon(self._finish, error)

    def _finish(self, error: OSError | None) -> None:
        self.protocol.connection_lost(error)
        self._end_socket()

    def _end_socket(self) -> None:
        if not self.end:
            self.end = "reset" if self._socket.resets else "in order"
            self._socket.close()
