"""One connection between two instances.

A link carries sealed frames both ways.  Each side opens with a Hello; once
it has the other's, both switch to the connection's own key and send a
Proof.  From then on the link is *up*.  A side that has sent nothing for a
while sends a heartbeat, so that silence means a lost peer.  A frame that
does not decode closes the link, and no other one.

Frames are written at once on a quiet link.  On a busy one they are
gathered for a moment, as each write costs a system call.
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
_GATHER_S: Final = 0.001


@dataclass(frozen=True, slots=True)
class LinkOptions:
    """How links behave."""

    secret: str  # The fleet's shared secret.
    max_frame_bytes: int = 32 * 1024 * 1024  # A longer frame closes it.
    max_unsent_bytes: int = 64 * 1024 * 1024  # More unsent closes it.
    handshake_timeout_s: float = 3.0  # Hello and Proof must be in by then.
    heartbeat_interval_s: float = 1.5  # Without a frame, one is sent.
    silence_limit_s: float = 5.0  # Silence for longer closes it.


class LinkOwner(Protocol):
    """Who is told what happens on a link."""

    def link_up(self, link: Link, peer: InstanceInfo) -> None:
        """Take note that both sides proved themselves."""

    def link_sent(self, message: Message, size: int) -> None:
        """Take note of a message that was sent, with its frame's size."""

    def link_received(self, link: Link, message: Message, size: int) -> None:
        """Take a message of the fleet that arrived."""

    def link_down(self, link: Link, why: str) -> None:
        """Take note that the link closed, up or not."""


class Link(asyncio.Protocol):
    """One connection, from its start to its end."""

    peer: InstanceInfo | None  # Who is at the other end, once it is up.
    _transport: asyncio.Transport | None  # The connection; None: none.
    _key: bytes  # The key that seals and opens frames now.
    _received: bytearray  # Bytes that are no whole frame yet.
    _hello: Hello | None  # The peer's Hello, once it came.
    _nonce: bytes  # Our random bytes, for the session's key.
    _unsent: list[bytes]  # Frames to write when the loop comes round.
    _heard_s: float  # When the peer was last heard.
    _wrote_s: float  # When frames were last written.
    _timer: asyncio.TimerHandle | None  # The next heartbeat.
    _why: str  # Why we closed it; empty: the peer did.

    def __init__(
        self,
        me: InstanceInfo,
        options: LinkOptions,
        owner: LinkOwner,
        *,
        dialled: bool,
        delay_for: Callable[[InstanceInfo], float] | None = None,
    ) -> None:
        """Prepare a link for a connection that is about to be made.

        :param me: who we are
        :param options: how it behaves
        :param owner: who is told what happens
        :param dialled: whether we dialled the peer
        :param delay_for: a delay in seconds to add to what a peer sends,
            for measurements on one machine
        """
        self.peer = None
        self._me = me
        self._options = options
        self._owner = owner
        self._dialled = dialled
        self._delay_for = delay_for
        self._delay_s = 0.0
        self._transport = None
        self._key = initial_key(options.secret)
        self._received = bytearray()
        self._hello = None
        self._nonce = secrets.token_bytes(NONCE_SIZE_BYTES)
        self._unsent = []
        self._heard_s = 0.0
        self._wrote_s = 0.0
        self._timer = None
        self._why = ""
        self._loop = asyncio.get_running_loop()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Open with a Hello and give the peer a time to answer.

        :param transport: the new connection
        """
        self._transport = cast(asyncio.Transport, transport)
        self._heard_s = self._loop.time()
        me = self._me
        self.send(
            Hello(
                instance=me.key.instance,
                incarnation=me.key.incarnation,
                role=me.role.value,
                region=me.region,
                availability_zone=me.availability_zone,
                service=me.service,
                endpoint=me.endpoint,
                nonce=self._nonce,
            )
        )
        self._timer = self._loop.call_later(
            self._options.handshake_timeout_s, self._check_handshake
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the owner that the link is down.

        :param exc: what broke the connection; None: a regular close
        """
        if self._timer is not None:
            self._timer.cancel()
        self._transport = None
        why = self._why or (str(exc) if exc else "the peer closed it")
        # Messages that a measuring delay holds back arrive before the end.
        if self._delay_s:
            self._loop.call_later(
                self._delay_s, self._owner.link_down, self, why
            )
        else:
            self._owner.link_down(self, why)

    def data_received(self, data: bytes) -> None:
        """Take whole frames off what arrived.

        :param data: the next bytes of the connection
        """
        self._heard_s = self._loop.time()
        self._received += data
        start = 0
        end = len(self._received)
        while end - start >= LENGTH.size and self._transport is not None:
            (size,) = LENGTH.unpack_from(self._received, start)
            if size > self._options.max_frame_bytes:
                self.close("a frame is too long")
                return
            stop = start + LENGTH.size + size
            if stop > end:
                break
            sealed = bytes(self._received[start + LENGTH.size : stop])
            start = stop
            self._take(sealed)
        del self._received[:start]

    def send(self, message: Message) -> None:
        """Send a message with others; drop it if the link is closed.

        :param message: what to send
        """
        if self._transport is None or self._transport.is_closing():
            return
        frame = pack(self._key, message)
        if not self._unsent:
            self._plan_flush()
        self._unsent.append(frame)
        self._owner.link_sent(message, len(frame))

    def close(self, why: str) -> None:
        """Close the link after what is unsent.

        :param why: the reason, for the log
        """
        if self._transport is None or self._transport.is_closing():
            return
        self._why = why
        self._flush()
        self._transport.close()

    def abort(self, why: str) -> None:
        """Cut the link at once; what is unsent is lost.

        :param why: the reason, for the log
        """
        if self._transport is None:
            return
        self._why = why
        self._unsent.clear()
        self._transport.abort()

    def _plan_flush(self) -> None:
        """Write soon: at the end of this turn, or when the time is up."""
        wait_s = self._wrote_s + _GATHER_S - self._loop.time()
        if wait_s <= 0:
            self._loop.call_soon(self._flush)
        else:
            self._loop.call_later(wait_s, self._flush)

    def _flush(self) -> None:
        """Write all frames that were gathered."""
        if self._transport is None or not self._unsent:
            return
        self._wrote_s = self._loop.time()
        self._transport.write(b"".join(self._unsent))
        self._unsent.clear()
        unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes > self._options.max_unsent_bytes:
            self.abort("the peer reads too slowly")

    def _take(self, sealed: bytes) -> None:
        """Open one frame and act on it."""
        result = unpack(self._key, sealed)
        if result.is_error():
            self.close(f"bad frame: {result.error.reason}")
            return
        message = result.ok
        if self.peer is not None:
            self._take_up(message, len(sealed) + LENGTH.size)
        elif self._hello is None and isinstance(message, Hello):
            self._take_hello(message)
        elif self._hello is not None and isinstance(message, Proof):
            self._take_proof(self._hello, message)
        else:
            self.close("no handshake")

    def _take_hello(self, hello: Hello) -> None:
        """Switch to the connection's own key and prove that we have it."""
        self._hello = hello
        if hello.instance == self._me.key.instance:
            self.close("the peer bears our name")
            return
        ours, theirs = self._nonce, hello.nonce
        pair = (ours, theirs) if self._dialled else (theirs, ours)
        self._flush()
        self._key = session_key(self._key, *pair)
        self.send(Proof(compute_mac(self._key, theirs)))

    def _take_proof(self, hello: Hello, proof: Proof) -> None:
        """Check the peer's proof; the link is up from here on."""
        expected = compute_mac(self._key, self._nonce)
        if not hmac.compare_digest(proof.mac, expected):
            self.close("the proof does not match")
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
            self._options.heartbeat_interval_s, self._beat
        )
        self._owner.link_up(self, self.peer)

    def _address(self) -> tuple[str, int]:
        """Return the host and port of the other end."""
        assert self._transport is not None
        name = self._transport.get_extra_info("peername") or ("", 0)
        return str(name[0]), int(name[1])

    def _take_up(self, message: Message, size: int) -> None:
        """Take a message on a link that is up."""
        if self._delay_s:
            self._loop.call_later(self._delay_s, self._act_on, message, size)
        else:
            self._act_on(message, size)

    def _act_on(self, message: Message, size: int) -> None:
        """Hand a message to the owner."""
        self._owner.link_received(self, message, size)

    def _check_handshake(self) -> None:
        """Close a link whose peer has not proved itself in time."""
        if self.peer is None:
            self.close("no handshake in time")

    def _beat(self) -> None:
        """Break the silence, or close a link whose peer is silent."""
        now_s = self._loop.time()
        if now_s - self._heard_s > self._options.silence_limit_s:
            self.abort("the peer is silent")
            return
        interval_s = self._options.heartbeat_interval_s
        quiet_s = now_s - self._wrote_s
        if quiet_s >= interval_s:
            self.send(Heartbeat())
            quiet_s = 0.0
        self._timer = self._loop.call_later(interval_s - quiet_s, self._beat)
