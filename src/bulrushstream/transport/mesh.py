"""The connections of one instance to its peers.

A mesh listens for peers and dials the given peers.  When a connection
breaks, it dials again with backoff and full jitter.  Of two routers, the
one with the smaller name dials; routers dial agents; agents never dial.
There is at most one link per incarnation of a peer: a newer link replaces
an older one.
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
from bulrushstream.state.excess import (
    Excess,
    ExcessReason,
    OnExcess,
    PeerKind,
)
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.state.message import Heartbeat, Message
from bulrushstream.transport.link import Link, LinkOptions

_PAYLOAD_KINDS: Final = frozenset({"Dispatch", "Part"})


@dataclass(frozen=True, slots=True)
class MeshOptions:
    """How a mesh connects to peers."""

    link: LinkOptions  # Limits and intervals of its links.
    dial_timeout_s: float = 2.0  # To open a connection.
    min_backoff_s: float = 0.05  # Upper bound of the first backoff.
    max_backoff_s: float = 2.0  # Upper bound of any backoff.
    server_tls: ssl.SSLContext | None = None  # For accepted links.
    client_tls: ssl.SSLContext | None = None  # For dialled links.


@dataclass(slots=True)
class Traffic:
    """Traffic of a mesh in one direction, by message type."""

    size_bytes: Counter[str] = field(default_factory=Counter)
    messages: Counter[str] = field(default_factory=Counter)

    def add(self, message: Message, size_bytes: int) -> None:
        """Count one message.

        :param message: the message
        :param size_bytes: its frame's length
        """
        kind = type(message).__name__
        self.size_bytes[kind] += size_bytes
        self.messages[kind] += 1

    def control_bytes(self) -> int:
        """Return the bytes of messages other than requests and answers."""
        return sum(
            count
            for kind, count in self.size_bytes.items()
            if kind not in _PAYLOAD_KINDS
        )


class Mesh:
    """The links of one instance."""

    links: dict[InstanceKey, Link]  # The links that are up.
    sent: Traffic  # Sent messages.
    received: Traffic  # Received messages.
    _open_links: set[Link]  # All links, up or not.
    _dial_tasks: dict[str, asyncio.Task[None]]  # By the peer's name.
    _dial_targets: dict[str, InstanceInfo]  # The peers to dial, by name.
    _server: asyncio.Server | None  # The listening socket.
    _link_ended: dict[Link, asyncio.Event]  # Set when a dialled link ends.

    def __init__(
        self,
        info: InstanceInfo,
        options: MeshOptions,
        deliver: Callable[[Event], None],
        report: Callable[[str, str], None],
        *,
        rng: random.Random,
        delay_for: Callable[[InstanceInfo], float] | None = None,
        on_excess: OnExcess | None = None,
    ) -> None:
        """Make a mesh without links.

        :param info: this instance
        :param options: how it connects to peers
        :param deliver: called with PeerUp, PeerDown and MessageReceived
            events
        :param report: called with a kind and a text for the log
        :param rng: the source of jitter
        :param delay_for: returns a delay in seconds that is added to a
            peer's messages, for measurements on one machine
        :param on_excess: called with peers whose frames are too long
        """
        self.links = {}
        self._on_excess = on_excess
        self.sent = Traffic()
        self.received = Traffic()
        self._info = info
        self._options = options
        self._deliver = deliver
        self._report = report
        self._rng = rng
        self._delay_for = delay_for
        self._open_links = set()
        self._dial_tasks = {}
        self._dial_targets = {}
        self._server = None
        self._link_ended = {}

    async def listen(self, host: str, port: int) -> int:
        """Listen for peers.

        :param host: the IP address to listen on
        :param port: the port to listen on; 0: any free port
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
        """Set the peers; dial those that this instance should dial.

        A link to a peer that is no longer listed stays until it breaks.

        :param peers: all peers to be connected to
        """
        wanted = {p.key.instance: p for p in peers if self._should_dial(p)}
        for name in list(self._dial_tasks):
            if name not in wanted:
                self._dial_tasks.pop(name).cancel()
        # A restarted peer may have a new address.
        self._dial_targets = wanted
        for name in wanted:
            if name not in self._dial_tasks:
                self._dial_tasks[name] = asyncio.create_task(
                    self._dial_loop(name), name=f"dial {name}"
                )

    def send(self, peer: InstanceKey, message: Message) -> None:
        """Send a message; drop it if there is no link to the peer.

        :param peer: the peer
        :param message: the message
        """
        link = self.links.get(peer)
        if link is not None:
            link.send(message)

    def cut(self, instance: str) -> None:
        """Abort the links to a peer, to simulate a network failure.

        :param instance: the peer's name
        """
        for key, link in list(self.links.items()):
            if key.instance == instance:
                link.abort("cut to simulate a network failure")

    async def close(self) -> None:
        """Stop dialling and listening, and close all links."""
        tasks = list(self._dial_tasks.values())
        self._dial_tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._server is not None:
            self._server.close()
        for link in list(self._open_links):
            link.close("stopping")

    def abort(self) -> None:
        """Abort all links and stop, as if the process was killed."""
        for task in self._dial_tasks.values():
            task.cancel()
        self._dial_tasks.clear()
        if self._server is not None:
            self._server.close()
        for link in list(self._open_links):
            link.abort("killed")

    def link_up(self, link: Link, peer: InstanceInfo) -> None:
        """Register a link that is up; see `LinkOwner`."""
        for key in list(self.links):
            if key.instance != peer.key.instance:
                continue
            if key.incarnation > peer.key.incarnation:
                link.close("a newer incarnation is connected")
                return
            self._drop_replaced(key)
        self.links[peer.key] = link
        self._report("link", f"up: {peer.key.instance}")
        self._deliver(PeerUp(peer))

    def link_sent(self, message: Message, size: int) -> None:
        """Count a message that was sent; see `LinkOwner`."""
        self.sent.add(message, size)

    def link_received(self, link: Link, message: Message, size: int) -> None:
        """Deliver a received message; see `LinkOwner`."""
        peer = link.peer
        if peer is None or self.links.get(peer.key) is not link:
            return
        self.received.add(message, size)
        # Receiving a heartbeat already updated the link's last_heard_s.
        if not isinstance(message, Heartbeat):
            self._deliver(MessageReceived(peer.key, message))

    def link_unsent(self, link: Link) -> None:
        """Close the link with most unsent bytes at the limit; `LinkOwner`."""
        limit_bytes = self._options.link.max_unsent_bytes
        # Links with a short queue are frequent, and not worth a sum.
        if link.unsent_bytes * len(self._open_links) <= limit_bytes:
            return
        if sum(each.unsent_bytes for each in self._open_links) > limit_bytes:
            largest = max(self._open_links, key=lambda each: each.unsent_bytes)
            largest.abort(
                "peer reads too slowly: unsent bytes exceed max_unsent_bytes"
            )

    def link_exceeded(self, link: Link, address: str) -> None:
        """Report a frame that is too long; see `LinkOwner`."""
        if self._on_excess is None:
            return
        of_agent = link.peer is not None and link.peer.role is Role.AGENT
        kind = PeerKind.AGENT if of_agent else PeerKind.ROUTER
        reason = ExcessReason.HEAD if link.peer is None else ExcessReason.BODY
        self._on_excess(Excess(kind, address, reason))

    def link_down(self, link: Link, why: str) -> None:
        """Remove a closed link; see `LinkOwner`."""
        self._open_links.discard(link)
        ended = self._link_ended.pop(link, None)
        if ended is not None:
            ended.set()
        name = link.peer.key.instance if link.peer else "unknown peer"
        self._report("link", f"down: {name}: {why}")
        if link.peer and self.links.get(link.peer.key) is link:
            del self.links[link.peer.key]
            self._deliver(PeerDown(link.peer.key))

    def _drop_replaced(self, key: InstanceKey) -> None:
        """Close a link that is replaced by a newer one."""
        older = self.links.pop(key)
        older.close("replaced by a newer link")
        self._deliver(PeerDown(key))

    def _new_link(self, *, dialled: bool) -> Link:
        """Make a link and register it as open."""
        link = Link(
            self._info,
            self._options.link,
            self,
            dialled=dialled,
            delay_for=self._delay_for,
        )
        self._open_links.add(link)
        return link

    def _should_dial(self, peer: InstanceInfo) -> bool:
        """Return whether this instance should dial a peer."""
        if self._info.role is not Role.ROUTER:
            return False
        if peer.role is Role.AGENT:
            return True
        return self._info.key.instance < peer.key.instance

    async def _dial_loop(self, name: str) -> None:
        """Dial a peer, and again whenever the link ends."""
        failures = 0
        while True:
            link = await self._dial(self._dial_targets[name])
            if link is None:
                failures += 1
            else:
                await self._link_ended[link].wait()
                failures = 0 if link.peer else failures + 1
            await asyncio.sleep(self._backoff_s(failures))

    async def _dial(self, peer: InstanceInfo) -> Link | None:
        """Open one connection; return its link, or None if that failed."""
        loop = asyncio.get_running_loop()
        link = self._new_link(dialled=True)
        self._link_ended[link] = asyncio.Event()
        try:
            async with asyncio.timeout(self._options.dial_timeout_s):
                await loop.create_connection(
                    lambda: link,
                    peer.host,
                    peer.port,
                    ssl=self._options.client_tls,
                )
        except (OSError, TimeoutError):
            self._open_links.discard(link)
            self._link_ended.pop(link, None)
            return None
        return link

    def _backoff_s(self, failures: int) -> float:
        """Return the delay in seconds before the next try, with full jitter.

        Source: M. Brooker, "Exponential Backoff And Jitter", AWS
        Architecture Blog, 2015.
        """
        limit_s = self._options.min_backoff_s * 2 ** min(failures, 16)
        return self._rng.uniform(0, min(limit_s, self._options.max_backoff_s))
