"""Where the streams began that callers may take up at any router.

A router that relays the first event of a stream knows the version of the
endpoint that wrote it.  While its service has several versions, it tells that
to a few *keepers*, routers that a hash of the stream picks, as callers mostly
take a stream up at another router, and often because the first one ended.  A
router that gets a take-up of a stream that it does not know asks the keepers.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Final, Protocol

import xxhash

from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.coordination.rendezvous import rank_hosts
from bulrushstream.coordination.versionhistory import KEEP_S, STORE
from bulrushstream.state.peerupdate import PeerUpdate
from bulrushstream.state.streamorigin import StreamOrigin

# How many other routers are told of a stream, and are asked for it.
KEEPERS: Final = 3

# How long keepers may take to answer, and when they are asked again.
ASK_TIMEOUT_S: Final = 0.08
ASK_AGAIN_S: Final = 0.02

# A stream that goes on for longer is told again.
RETELL_S: Final = KEEP_S / 3

# Streams that are remembered; the oldest are forgotten.
MAX_STREAMS: Final = 32_768

# Streams that are told in one sweep.
MAX_TOLD_AT_ONCE: Final = 256


class OriginNotifier(Protocol):
    """Sends origins and questions for them to single routers."""

    def send_origin(self, host: str, origin: StreamOrigin) -> None:
        """Tell a router where a stream began."""

    def ask_origin(self, host: str, stream: int) -> None:
        """Ask a router where a stream began; send that at once."""


@dataclass(slots=True)
class OwnStream:
    """A stream of which this router relays or relayed events."""

    stream: int
    endpoint: Endpoint
    version: str  # As listed when the endpoint began it.
    began_s: float
    led_s: float  # Since when its connection led to the process.
    told_s: float = float("-inf")  # When keepers were last told.
    told_version: str = ""  # What they were told; empty: not proven.
    # Whether the process was found to be the listed one.
    proven: bool = False

    @property
    def known_version(self) -> str:
        """Return the version that began it; empty: not known."""
        return self.version if self.endpoint.is_same_at(self.began_s) else ""


@dataclass(frozen=True, slots=True)
class KnownOrigin:
    """Where a stream began, and who says so."""

    origin: StreamOrigin
    reporter: str = ""  # The router's name; empty: this one.
    learned_s: float = 0.0

    def age_s(self, now_s: float) -> float:
        """Return how long ago a router vouched for it.

        :param now_s: the time
        """
        return self.origin.age_s + now_s - self.learned_s


@dataclass(slots=True)
class StreamOrigins:
    """The streams that this router began, and those that others told of."""

    own_host: str  # This router's IP address.
    live_hosts: Callable[[], tuple[str, ...]]  # Those of the other routers.
    notifier: OriginNotifier | None = None  # None: not connected to peers.
    # Returns whether the process that began a stream is the listed one.
    is_listed: Callable[[OwnStream], bool] = lambda own: True
    _own: OrderedDict[int, OwnStream] = field(default_factory=OrderedDict)
    _told: OrderedDict[int, KnownOrigin] = field(default_factory=OrderedDict)
    _stored: OrderedDict[int, KnownOrigin] = field(
        default_factory=OrderedDict
    )  # As read from the store.
    # Called with the origin of a stream that is asked for.
    _waiting: dict[int, list[Callable[[KnownOrigin], None]]] = field(
        default_factory=dict
    )

    # --- Streams of this router.

    def began(
        self,
        streams: Iterable[int],
        endpoint: Endpoint,
        now_s: float,
        led_s: float,
    ) -> tuple[OwnStream, ...]:
        """Record the first event of a stream.

        :param streams: the digests by which it may be taken up
        :param endpoint: the endpoint that wrote the event
        :param now_s: the time
        :param led_s: since when its connection led to the process
        """
        recorded = tuple(
            OwnStream(stream, endpoint, endpoint.entry.version, now_s, led_s)
            for stream in streams
        )
        for each in recorded:
            self._own[each.stream] = each
            self._own.move_to_end(each.stream)
        while len(self._own) > MAX_STREAMS:
            self._own.popitem(last=False)
        return recorded

    def ended(self, own: Iterable[OwnStream]) -> None:
        """Forget a stream that its caller has got whole.

        :param own: what `began` returned for it
        """
        for each in own:
            if self._own.get(each.stream) is each:
                del self._own[each.stream]

    def proven_version(self, own: OwnStream) -> str:
        """Return the version that began a stream; empty: not proven yet.

        :param own: the stream
        """
        own.proven = own.proven or self.is_listed(own)
        return own.version if own.proven else ""

    def tell(self, own: OwnStream, now_s: float) -> None:
        """Tell the keepers of a stream where it began.

        They are told without a version until that is proven, so that nobody
        believes what the store has.

        :param own: the stream
        :param now_s: the time
        """
        if self.notifier is None:
            return
        own.told_s, own.told_version = now_s, self.proven_version(own)
        service = own.endpoint.entry.service
        origin = StreamOrigin(own.stream, service, own.told_version)
        for host in self.keepers(own.stream):
            self.notifier.send_origin(host, origin)

    def tell_services(
        self, services: Callable[[str], bool], now_s: float
    ) -> list[OwnStream]:
        """Tell the keepers of streams that they do not know yet.

        :param services: returns whether a service's streams are told
        :param now_s: the time
        :returns: the streams that were told
        """
        told: list[OwnStream] = []
        for own in self._own.values():
            if not services(own.endpoint.entry.service):
                continue
            news = own.told_version != self.proven_version(own)
            if now_s - own.told_s >= RETELL_S or news:
                self.tell(own, now_s)
                told.append(own)
            if len(told) >= MAX_TOLD_AT_ONCE:
                break
        return told

    def sweep(self, running: set[int], now_s: float) -> None:
        """Forget what was not vouched for lately.

        :param running: the streams of which this router relays events now
        :param now_s: the time
        """
        for stream in running:
            own = self._own.get(stream)
            if own is not None and now_s - own.began_s > KEEP_S:
                self._own.move_to_end(stream)
        for stream, own in list(self._own.items()):
            if now_s - own.began_s <= KEEP_S:
                break
            if stream not in running:
                del self._own[stream]
        for origins in (self._told, self._stored):
            for stream, known in list(origins.items()):
                if known.age_s(now_s) <= KEEP_S:
                    break
                del origins[stream]

    # --- Take-ups.

    def find(self, stream: int, now_s: float) -> KnownOrigin | None:
        """Return where a stream began; None: not known here.

        :param stream: its digest
        :param now_s: the time
        """
        own = self._own.get(stream)
        if own is not None and self.proven_version(own):
            service = own.endpoint.entry.service
            origin = StreamOrigin(
                stream, service, own.version, now_s - own.began_s
            )
            return KnownOrigin(origin, "", now_s)
        known = _recall(self._told, stream, now_s)
        return known if known is not None and known.origin.version else None

    def is_unproven(self, stream: int, now_s: float) -> bool:
        """Return whether the router that began a stream can not prove where.

        :param stream: its digest
        :param now_s: the time
        """
        if stream in self._own:
            return self.find(stream, now_s) is None
        known = _recall(self._told, stream, now_s)
        return known is not None and not known.origin.version

    def ask(
        self, stream: int, answered: Callable[[KnownOrigin], None]
    ) -> None:
        """Ask the keepers of a stream where it began.

        :param stream: its digest
        :param answered: called once if one of them knows
        """
        self._waiting.setdefault(stream, []).append(answered)
        self.ask_again(stream)

    def ask_again(self, stream: int) -> None:
        """Repeat a question, as datagrams are lost.

        :param stream: the stream's digest
        """
        if self.notifier is None:
            return
        # Its own view of the routers may differ by one from the teller's.
        for host in self.keepers(stream, KEEPERS + 1):
            self.notifier.ask_origin(host, stream)

    def stop_asking(
        self, stream: int, answered: Callable[[KnownOrigin], None]
    ) -> None:
        """Take a question back.

        :param stream: the stream's digest
        :param answered: the same as passed to `ask`
        """
        waiting = self._waiting.get(stream, [])
        if answered in waiting:
            waiting.remove(answered)
        if not waiting:
            self._waiting.pop(stream, None)

    def keepers(self, stream: int, count: int = KEEPERS) -> tuple[str, ...]:
        """Return the hosts of the other routers that keep an origin.

        :param stream: the stream's digest
        :param count: how many of all routers keep it
        """
        hosts = {self.own_host, *self.live_hosts()}
        ranked = rank_hosts(hosts, stream.to_bytes(8, "big", signed=True))
        return tuple(host for host in ranked[:count] if host != self.own_host)

    def apply_stored(
        self, origins: Iterable[StreamOrigin], now_s: float
    ) -> None:
        """Keep origins that the store has.

        :param origins: the newest origin of each stream
        :param now_s: the time
        """
        for origin in origins:
            _remember(self._stored, KnownOrigin(origin, STORE, now_s))

    def find_stored(self, stream: int, now_s: float) -> KnownOrigin | None:
        """Return where the store says that a stream began; None: nowhere.

        It holds only if the store was read since the stream is taken up: an
        attempt at another version may have followed the one that it names.

        :param stream: the stream's digest
        :param now_s: the time
        """
        known = _recall(self._stored, stream, now_s)
        return known if known is not None and known.origin.version else None

    # --- Peers.

    def apply_update(self, update: PeerUpdate, now_s: float) -> None:
        """Keep the origins that a peer tells, and answer its questions.

        :param update: the peer's update
        :param now_s: the time
        """
        for origin in update.origins:
            if not origin.version and self.find(origin.stream, now_s):
                # What was proven is not taken back by a late update.
                continue
            known = KnownOrigin(origin, update.instance, now_s)
            _remember(self._told, known)
            if not origin.version:
                continue
            for answered in self._waiting.pop(origin.stream, ()):
                answered(known)
        for stream in update.asked_origins:
            self._answer(stream, update.host, now_s)

    def _answer(self, stream: int, host: str, now_s: float) -> None:
        """Tell a router that asks what is known of a stream."""
        found = self.find(stream, now_s)
        if found is not None:
            origin = replace(found.origin, age_s=found.age_s(now_s))
        elif self.is_unproven(stream, now_s):
            origin = StreamOrigin(stream, "", "")
        else:
            return
        if self.notifier is not None:
            self.notifier.send_origin(host, origin)


def _remember(
    origins: OrderedDict[int, KnownOrigin], known: KnownOrigin
) -> None:
    """Keep an origin as the newest one, in place of the oldest if need be."""
    origins[known.origin.stream] = known
    origins.move_to_end(known.origin.stream)
    if len(origins) > MAX_STREAMS:
        origins.popitem(last=False)


def _recall(
    origins: OrderedDict[int, KnownOrigin], stream: int, now_s: float
) -> KnownOrigin | None:
    """Return an origin that somebody vouched for lately."""
    known = origins.get(stream)
    if known is None or known.age_s(now_s) > KEEP_S:
        return None
    return known


def stream_digest(workspace: str, request_id: str) -> int:
    """Return the digest of a stream, a signed 64-bit number.

    :param workspace: the caller's workspace; another one's streams have
        other digests
    :param request_id: the id of the request that brought its first event
    """
    name = f"{workspace}\0{request_id}".encode("utf-8", "surrogateescape")
    return int(xxhash.xxh3_64_intdigest(name)) - 2**63
