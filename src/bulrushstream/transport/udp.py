"""A UDP socket of the event loop that is read until it is empty.

The transport of `asyncio` reads one datagram in each iteration of the event
loop.  An iteration of a busy process takes long, so that its socket's buffer
overflows.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Final, Protocol

MAX_DATAGRAM_BYTES: Final = 65_536

# All sockets share it, so that a read needs no memory but for what it reads.
_BUFFER: Final = memoryview(bytearray(MAX_DATAGRAM_BYTES))

# Datagrams that are read at once, so that others are not kept waiting.
MAX_READS: Final = 512


class DatagramReceiver(Protocol):
    """Receives the datagrams of a socket."""

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Handle a datagram."""

    def error_received(self, exc: Exception) -> None:
        """Handle an error, such as an unreachable peer."""


class UdpSocket:
    """An open socket."""

    def __init__(
        self, sock: socket.socket, receiver: DatagramReceiver
    ) -> None:
        """Start to read a socket.

        :param sock: the bound socket, which this object owns from now on
        :param receiver: receives the datagrams
        """
        self._sock = sock
        self._receiver = receiver
        self._closed = False
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(sock.fileno(), self._read)

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; it is lost if the socket's buffer is full.

        :param data: the datagram
        :param address: the receiver's IP address and port
        """
        if self._closed:
            return
        try:
            self._sock.sendto(data, address)
        except BlockingIOError:
            return
        except OSError as error:
            self._receiver.error_received(error)

    def is_closing(self) -> bool:
        """Return whether the socket is closed."""
        return self._closed

    def close(self) -> None:
        """Close the socket."""
        if not self._closed:
            self._closed = True
            self._loop.remove_reader(self._sock.fileno())
            self._sock.close()

    def _read(self) -> None:
        """Read all datagrams that have arrived, within a limit."""
        for _ in range(MAX_READS):
            if self._closed:
                return
            try:
                size_bytes, address = self._sock.recvfrom_into(_BUFFER)
            except BlockingIOError:
                return
            except OSError as error:
                self._receiver.error_received(error)
                continue
            data = bytes(_BUFFER[:size_bytes])
            self._receiver.datagram_received(data, address)


def open_udp(host: str, port: int, receiver: DatagramReceiver) -> UdpSocket:
    """Open a socket in the running event loop.

    :param host: the IP address to listen on
    :param port: the port to listen on; 0: any
    :param receiver: receives the datagrams
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return UdpSocket(sock, receiver)
