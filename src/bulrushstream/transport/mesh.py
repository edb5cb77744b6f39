"""The connections of one instance to its peers.

A mesh listens for peers, dials those that it is told to, and dials again
with backoff and full jitter when a connection breaks.  Of two routers the
one with the smaller name dials; routers dial agents; agents dial nobody.
There is at most one link to each start of a peer: a newer link replaces an
older one.
"""

from __future__ import annotations

import asyncio
import random
import ssl
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.state.event import Event, MessageReceived, PeerDown, PeerUp
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.state.message import Heartbeat, Message
from bulrushstream.transport.link import Link, LinkOptions

_DATA_KINDS: Final = frozenset({"Dispatch", "Part"})


@dataclass(frozen=True, slots=True)
class MeshOptions:
    """How a mesh dials."""

    link: LinkOptions  # How its links behave.
    dial_timeout_s: float = 2.0  # A connection must be made by then.
    min_backoff_s: float = 0.05  # The first wait's upper end.
    max_backoff_s: float = 2.0  # The longest wait's upper end.
    server_tls: ssl.SSLContext | None = None  # TLS for who dials us.
    client_tls: ssl.SSLContext | None = None  # TLS for whom we dial.


@dataclass(slots=True)
class Traffic:
    """What went one way over a mesh's links, by kind of message."""

    size_bytes: Counter[str] = field(default_factory=Counter)
    messages: Counter[str] = field(default_factory=Counter)

    def add(self, message: Message, size_bytes: int) -> None:
        """Count one message.

        :param message: the message
        :param size_bytes: the length of its frame
        """
        kind = type(message).__name__
        self.size_bytes[kind] += size_bytes
        self.messages[kind] += 1

    def control_bytes(self) -> int:
        """Return the bytes that carry no payload."""
        return sum(
            count
            for kind, count in self.size_bytes.items()
            if kind not in _DATA_KINDS
        )


class Mesh:
    """The links of one instance."""

    links: dict[InstanceKey, Link]  # The links that are up.
    sent: Traffic  # What was sent.
    received: Traffic  # What was received.
    _open: set[Link]  # Every link, up or not.
    _dialling: dict[str, asyncio.Task[None]]  # By the peer's name.
    _wanted: dict[str, InstanceInfo]  # The peers to dial, by name.
    _server: asyncio.Server | None  # Where peers dial us.
    _ended: dict[Link, asyncio.Event]  # Set when a dialled link ends.

    def __init__(
        self,
        me: InstanceInfo,
        options: MeshOptions,
        deliver: Callable[[Event], None],
        report: Callable[[str, str], None],
        *,
        rng: random.Random,
        delay_for: Callable[[InstanceInfo], float] | None = None,
    ) -> None:
        """Prepare a mesh that has no link yet.

        :param me: who we are
        :param options: how it dials
        :param deliver: takes PeerUp, PeerDown and Received events
        :param report: takes a kind and a line for the log
        :param rng: the source of jitter
        :param delay_for: a delay to add, for measurements on one machine
        """
        self.links = {}
        self.sent = Traffic()
        self.received = Traffic()
        self._me = me
        self._options = options
        self._deliver = deliver
        self._report = report
        self._rng = rng
        self._delay_for = delay_for
        self._open = set()
        self._dialling = {}
        self._wanted = {}
        self._server = None
        self._ended = {}

    async def listen(self, host: str, port: int) -> int:
        """Listen for peers.

        :param host: the IP number to listen on
        :param port: the port to listen on; 0: any free one
        :returns: the port
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: self._new_link(dialled=False),
            host,
            port,
            ssl=self._options.server_tls,
        )
        return int(self._server.sockets[0].getsockname()[1])

    def set_peers(self, peers: Iterable[InstanceInfo]) -> None:
        """Dial these peers, as far as it is ours to dial them.

        A link to a peer that is no longer named stays until it breaks.

        :param peers: every peer that we should be connected to
        """
        wanted = {p.key.instance: p for p in peers if self._dials(p)}
        for name in list(self._dialling):
            if name not in wanted:
                self._dialling.pop(name).cancel()
        # A peer that was restarted may have another address.
        self._wanted = wanted
        for name in wanted:
            if name not in self._dialling:
                self._dialling[name] = asyncio.create_task(
                    self._keep_dialling(name), name=f"dial {name}"
                )

    def send(self, peer: InstanceKey, message: Message) -> None:
        """Send a message; drop it if there is no link to the peer.

        :param peer: to whom
        :param message: what
        """
        link = self.links.get(peer)
        if link is not None:
            link.send(message)

    def cut(self, instance: str) -> None:
        """Cut the links to a peer at once, as a broken network would.

        :param instance: the peer's name
        """
        for key, link in list(self.links.items()):
            if key.instance == instance:
                link.abort("cut")

    async def close(self) -> None:
        """Stop dialling and listening, and close every link."""
        tasks = list(self._dialling.values())
        self._dialling.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._server is not None:
            self._server.close()
        for link in list(self._open):
            link.close("stopping")

    def abort(self) -> None:
        """Drop everything at once, as a killed process would."""
        for task in self._dialling.values():
            task.cancel()
        self._dialling.clear()
        if self._server is not None:
            self._server.close()
        for link in list(self._open):
            link.abort("killed")

    def link_up(self, link: Link, peer: InstanceInfo) -> None:
        """Enter a link that is up; see `LinkOwner`."""
        for key in list(self.links):
            if key.instance != peer.key.instance:
                continue
            if key.incarnation > peer.key.incarnation:
                link.close("a newer incarnation is connected")
                return
            self._replace(key)
        self.links[peer.key] = link
        self._report("link", f"up: {peer.key.instance}")
        self._deliver(PeerUp(peer))

    def link_sent(self, message: Message, size: int) -> None:
        """Count a message that was sent; see `LinkOwner`."""
        self.sent.add(message, size)

    def link_received(self, link: Link, message: Message, size: int) -> None:
        """Pass a message on; see `LinkOwner`."""
        peer = link.peer
        if peer is None or self.links.get(peer.key) is not link:
            return
        self.received.add(message, size)
        # A heartbeat has done its work by being heard.
        if not isinstance(message, Heartbeat):
            self._deliver(MessageReceived(peer.key, message))

    def link_down(self, link: Link, why: str) -> None:
        """Strike a link off; see `LinkOwner`."""
        self._open.discard(link)
        ended = self._ended.pop(link, None)
        if ended is not None:
            ended.set()
        name = link.peer.key.instance if link.peer else "unknown peer"
        self._report("link", f"down: {name}: {why}")
        if link.peer and self.links.get(link.peer.key) is link:
            del self.links[link.peer.key]
            self._deliver(PeerDown(link.peer.key))

    def _replace(self, key: InstanceKey) -> None:
        """Strike off a link that a newer one takes the place of."""
        older = self.links.pop(key)
        older.close("replaced by a newer link")
        self._deliver(PeerDown(key))

    def _new_link(self, *, dialled: bool) -> Link:
        """Make a link and note that it is open."""
        link = Link(
            self._me,
            self._options.link,
            self,
            dialled=dialled,
            delay_for=self._delay_for,
        )
        self._open.add(link)
        return link

    def _dials(self, peer: InstanceInfo) -> bool:
        """Tell whether it is ours to dial a peer."""
        if self._me.role is not Role.ROUTER:
            return False
        if peer.role is Role.AGENT:
            return True
        return self._me.key.instance < peer.key.instance

    async def _keep_dialling(self, name: str) -> None:
        """Dial a peer, and dial again whenever the link ends."""
        failures = 0
        while True:
            link = await self._dial(self._wanted[name])
            if link is None:
                failures += 1
            else:
                await self._ended[link].wait()
                failures = 0 if link.peer else failures + 1
            await asyncio.sleep(self._backoff_s(failures))

    async def _dial(self, peer: InstanceInfo) -> Link | None:
        """Make one connection; return its link, or None if it failed."""
        loop = asyncio.get_running_loop()
        link = self._new_link(dialled=True)
        self._ended[link] = asyncio.Event()
        try:
            async with asyncio.timeout(self._options.dial_timeout_s):
                await loop.create_connection(
                    lambda: link,
                    peer.host,
                    peer.port,
                    ssl=self._options.client_tls,
                )
        except (OSError, TimeoutError):
            self._open.discard(link)
            self._ended.pop(link, None)
            return None
        return link

    def _backoff_s(self, failures: int) -> float:
        """Return the wait before the next try, with full jitter.

        Source: M. Brooker, "Exponential Backoff And Jitter", AWS
        Architecture Blog, 2015.
        """
        limit_s = self._options.min_backoff_s * 2 ** min(failures, 16)
        return self._rng.uniform(0, min(limit_s, self._options.max_backoff_s))
