"""One authenticated connection between two instances.

A link carries authenticated frames in both directions.  Each side first
sends a Hello.  When it has received the peer's, it switches to a session
key and sends a Proof.  A valid Proof of the peer brings the link *up*.
An idle side sends heartbeats, so that a peer that sends nothing for
`silence_limit_s` counts as lost.  A frame that can not be decoded closes
the link; other links are not affected.

Frames are written at once on an idle link.  On a busy one they are batched
for a short time, because each write costs a system call.
"""

from __future__ import annotations

import asyncio
import hmac
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol, cast

from bulrushstream.protocol.frame import LENGTH, pack, unpack
from bulrushstream.protocol.framemac import (
    NONCE_SIZE_BYTES,
    compute_mac,
    initial_key,
    session_key,
)
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.state.message import Heartbeat, Hello, Message, Proof

# The shortest time between two writes on a busy link.
_FLUSH_INTERVAL_S: Final = 0.001


@dataclass(frozen=True, slots=True)
class LinkOptions:
    """Limits and intervals of links."""

    secret: str  # The fleet's shared secret.
    max_frame_bytes: int = 32 * 1024 * 1024  # A longer one closes the link.
    # The same until the peer has proved that it knows the secret.
    max_handshake_bytes: int = 16 * 1024
    # Of all links together; more closes the link with the most.
    max_unsent_bytes: int = 64 * 1024 * 1024
    handshake_timeout_s: float = 3.0  # For the Hello and the Proof.
    heartbeat_interval_s: float = 1.5  # After the last sent frame.
    silence_limit_s: float = 5.0  # Time without data from the peer.


class LinkOwner(Protocol):
    """Receives the events of a link."""

    def link_up(self, link: Link, peer: InstanceInfo) -> None:
        """Handle the completed handshake of a link."""

    def link_sent(self, message: Message, size: int) -> None:
        """Handle a sent message; `size` is its frame's length in bytes."""

    def link_received(self, link: Link, message: Message, size: int) -> None:
        """Handle a received message other than the handshake's."""

    def link_unsent(self, link: Link) -> None:
        """Handle bytes that the peer has not read yet."""

    def link_exceeded(self, link: Link, address: str) -> None:
        """Handle a frame that is longer than its limit."""

    def link_down(self, link: Link, why: str) -> None:
        """Handle the end of a link, whether it was up or not."""


class Link(asyncio.Protocol):
    """The protocol of one connection."""

    peer: InstanceInfo | None  # The peer; None: the link is not up.
    _transport: asyncio.Transport | None  # None: not connected.
    _key: bytes  # The current key that authenticates frames.
    _receive_buffer: bytearray  # An incomplete frame.
    _hello: Hello | None  # The peer's Hello, once received.
    _nonce: bytes  # Own random bytes for the session key.
    _unsent: list[bytes]  # Frames to write at the next flush.
    _last_heard_s: float  # When data was last received.
    _last_write_s: float  # When frames were last written.
    _timer: asyncio.TimerHandle | None  # The handshake time-out or heartbeat.
    _close_reason: str  # Why this side closed it; empty: it did not.

    def __init__(
        self,
        info: InstanceInfo,
        options: LinkOptions,
        owner: LinkOwner,
        *,
        dialled: bool,
        delay_for: Callable[[InstanceInfo], float] | None = None,
    ) -> None:
        """Make a link that is not connected yet.

        :param info: this instance
        :param options: limits and intervals
        :param owner: receives the link's events
        :param dialled: whether this side opened the connection
        :param delay_for: returns a delay in seconds that is added to a
            peer's messages, for measurements on one machine
        """
        self.peer = None
        self._info = info
        self._options = options
        self._owner = owner
        self._dialled = dialled
        self._delay_for = delay_for
        self._delay_s = 0.0
        self._transport = None
        self._key = initial_key(options.secret)
        self._receive_buffer = bytearray()
        self._hello = None
        self._nonce = secrets.token_bytes(NONCE_SIZE_BYTES)
        self._unsent = []
        self._last_heard_s = 0.0
        self._last_write_s = 0.0
        self._timer = None
        self._close_reason = ""
        self._loop = asyncio.get_running_loop()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send a Hello and start the handshake time-out.

        :param transport: the new connection
        """
        self._transport = cast(asyncio.Transport, transport)
        self._last_heard_s = self._loop.time()
        info = self._info
        self.send(
            Hello(
                instance=info.key.instance,
                incarnation=info.key.incarnation,
                role=info.role.value,
                region=info.region,
                availability_zone=info.availability_zone,
                service=info.service,
                endpoint=info.endpoint,
                nonce=self._nonce,
            )
        )
        self._timer = self._loop.call_later(
            self._options.handshake_timeout_s, self._check_handshake
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Report to the owner that the link is down.

        :param exc: the connection's error; None: a regular close
        """
        if self._timer is not None:
            self._timer.cancel()
        self._transport = None
        why = self._close_reason or (str(exc) if exc else "closed by the peer")
        # Messages that are still delayed must be handled before link_down.
        if self._delay_s:
            self._loop.call_later(
                self._delay_s, self._owner.link_down, self, why
            )
        else:
            self._owner.link_down(self, why)

    def data_received(self, data: bytes) -> None:
        """Handle all complete frames in the received bytes.

        :param data: the next received bytes
        """
        self._last_heard_s = self._loop.time()
        self._receive_buffer += data
        start = 0
        end = len(self._receive_buffer)
        while end - start >= LENGTH.size and self._transport is not None:
            (size,) = LENGTH.unpack_from(self._receive_buffer, start)
            if size > self._max_frame_bytes():
                self._receive_buffer.clear()
                host, port = self._address()
                self._owner.link_exceeded(self, f"{host}:{port}")
                self.close("frame exceeds max_frame_bytes")
                return
            stop = start + LENGTH.size + size
            if stop > end:
                break
            frame = bytes(self._receive_buffer[start + LENGTH.size : stop])
            start = stop
            self._handle_frame(frame)
        del self._receive_buffer[:start]

    def _max_frame_bytes(self) -> int:
        """Return the limit of the next frame."""
        if self.peer is None:
            return self._options.max_handshake_bytes
        return self._options.max_frame_bytes

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that the peer has not read yet."""
        transport = self._transport
        return transport.get_write_buffer_size() if transport else 0

    def send(self, message: Message) -> None:
        """Queue a message for the next flush; drop it if the link is closed.

        :param message: the message
        """
        if self._transport is None or self._transport.is_closing():
            return
        frame = pack(self._key, message)
        if not self._unsent:
            self._schedule_flush()
        self._unsent.append(frame)
        self._owner.link_sent(message, len(frame))

    def close(self, why: str) -> None:
        """Close the link after sending queued frames.

        :param why: the reason, for the log
        """
        if self._transport is None or self._transport.is_closing():
            return
        self._close_reason = why
        self._flush()
        self._transport.close()

    def abort(self, why: str) -> None:
        """Abort the link and discard queued frames.

        :param why: the reason, for the log
        """
        if self._transport is None:
            return
        self._close_reason = why
        self._unsent.clear()
        self._transport.abort()

    def _schedule_flush(self) -> None:
        """Flush in the next loop iteration, or once the interval is over."""
        wait_s = self._last_write_s + _FLUSH_INTERVAL_S - self._loop.time()
        if wait_s <= 0:
            self._loop.call_soon(self._flush)
        else:
            self._loop.call_later(wait_s, self._flush)

    def _flush(self) -> None:
        """Write all queued frames."""
        if self._transport is None or not self._unsent:
            return
        self._last_write_s = self._loop.time()
        self._transport.write(b"".join(self._unsent))
        self._unsent.clear()
        if self.unsent_bytes:
            self._owner.link_unsent(self)

    def _handle_frame(self, frame: bytes) -> None:
        """Decode one frame and handle its message."""
        result = unpack(self._key, frame)
        if result.is_error():
            self.close(f"bad frame: {result.error.reason}")
            return
        message = result.ok
        if self.peer is not None:
            self._handle_message(message, len(frame) + LENGTH.size)
        elif self._hello is None and isinstance(message, Hello):
            self._handle_hello(message)
        elif self._hello is not None and isinstance(message, Proof):
            self._handle_proof(self._hello, message)
        else:
            self.close("unexpected message during the handshake")

    def _handle_hello(self, hello: Hello) -> None:
        """Switch to the session key and send a Proof made with it."""
        self._hello = hello
        if hello.instance == self._info.key.instance:
            self.close("the peer has this instance's name")
            return
        ours, theirs = self._nonce, hello.nonce
        pair = (ours, theirs) if self._dialled else (theirs, ours)
        self._flush()
        self._key = session_key(self._key, *pair)
        self.send(Proof(compute_mac(self._key, theirs)))

    def _handle_proof(self, hello: Hello, proof: Proof) -> None:
        """Check the peer's Proof and bring the link up."""
        expected = compute_mac(self._key, self._nonce)
        if not hmac.compare_digest(proof.mac, expected):
            self.close("the peer's Proof does not match")
            return
        if hello.role not in list(Role):
            self.close(f"the peer has the unknown role {hello.role}")
            return
        host, port = self._address()
        self.peer = InstanceInfo(
            key=InstanceKey(hello.instance, hello.incarnation),
            role=Role(hello.role),
            region=hello.region,
            availability_zone=hello.availability_zone,
            host=host,
            port=port,
            service=hello.service,
            endpoint=hello.endpoint,
        )
        if self._delay_for is not None:
            self._delay_s = self._delay_for(self.peer)
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(
            self._options.heartbeat_interval_s, self._check_heartbeat
        )
        self._owner.link_up(self, self.peer)

    def _address(self) -> tuple[str, int]:
        """Return the host and port of the peer."""
        assert self._transport is not None
        name = self._transport.get_extra_info("peername") or ("", 0)
        return str(name[0]), int(name[1])

    def _handle_message(self, message: Message, size: int) -> None:
        """Pass a message to the owner, after the added delay if any."""
        if self._delay_s:
            self._loop.call_later(
                self._delay_s, self._pass_to_owner, message, size
            )
        else:
            self._pass_to_owner(message, size)

    def _pass_to_owner(self, message: Message, size: int) -> None:
        """Pass a message to the owner."""
        self._owner.link_received(self, message, size)

    def _check_handshake(self) -> None:
        """Close the link if the handshake is incomplete."""
        if self.peer is None:
            self.close("handshake timed out")

    def _check_heartbeat(self) -> None:
        """Send a heartbeat if due, or abort the link if the peer is silent."""
        now_s = self._loop.time()
        if now_s - self._last_heard_s > self._options.silence_limit_s:
            self.abort("no data from the peer within silence_limit_s")
            return
        interval_s = self._options.heartbeat_interval_s
        quiet_s = now_s - self._last_write_s
        if quiet_s >= interval_s:
            self.send(Heartbeat())
            quiet_s = 0.0
        self._timer = self._loop.call_later(
            interval_s - quiet_s, self._check_heartbeat
        )
