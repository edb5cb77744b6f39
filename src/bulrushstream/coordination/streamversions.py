"""What one router knows of the versions at which streams began."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from bulrushstream.coordination.endpointpool import Endpoint, EndpointPool
from bulrushstream.coordination.originqueue import OriginQueue
from bulrushstream.coordination.streamorigins import (
    OriginNotifier,
    OwnStream,
    StreamOrigins,
)
from bulrushstream.coordination.versionhistory import LIST, VersionHistory
from bulrushstream.state.peerupdate import PeerUpdate
from bulrushstream.state.routes import Route
from bulrushstream.state.streamorigin import StreamOrigin


class VersionNotifier(OriginNotifier, Protocol):
    """Reports what this router knows of versions to the other routers."""

    def report_mixed(self, service: str) -> None:
        """Report that a service's endpoints have several versions."""


@dataclass(slots=True)
class StreamVersions:
    """The versions of services, and the origins of streams."""

    history: VersionHistory
    origins: StreamOrigins
    notifier: VersionNotifier | None = None  # None: not connected to peers.
    queue: OriginQueue = field(default_factory=OriginQueue)
    on_queued: Callable[[], None] = lambda: None  # An origin was queued.
    # Reads from the store what other routers wrote.
    request_stored: Callable[[], None] = lambda: None
    # Reads the endpoint list once more.
    request_list: Callable[[], None] = lambda: None
    # When the last read of origins was sent that succeeded.
    stored_read_s: float = float("-inf")
    _mixed: set[str] = field(default_factory=set)  # As last reported.

    def set_notifier(self, notifier: VersionNotifier) -> None:
        """Report to the other routers from now on.

        :param notifier: sends the reports
        """
        self.notifier = notifier
        self.origins.notifier = notifier

    def endpoints_changed(self, service: str, pool: EndpointPool) -> None:
        """Record the listed versions of a service.

        :param service: the service's name
        :param pool: all endpoints
        """
        endpoints = pool.by_service.get(service, {}).values()
        versions = [each.entry.version for each in endpoints]
        self.history.list_versions(service, versions)
        self._report_mixed()

    def request_sent(
        self, streams: tuple[int, ...], endpoint: Endpoint, now_s: float
    ) -> None:
        """Let the store know where a stream of several versions will begin.

        :param streams: the digests by which it may be taken up
        :param endpoint: the endpoint to which its request is sent
        :param now_s: the time
        """
        service = endpoint.entry.service
        same = endpoint.is_same_at(now_s)
        version = endpoint.entry.version if same else ""
        for stream in streams:
            self._store(StreamOrigin(stream, service, version), now_s)

    def stream_began(
        self,
        route: Route,
        streams: tuple[int, ...],
        endpoint: Endpoint,
        now_s: float,
        led_s: float,
    ) -> tuple[OwnStream, ...]:
        """Record the first event of a stream; tell others if that matters.

        :param route: the stream's route
        :param streams: the digests by which it may be taken up
        :param endpoint: the endpoint that wrote the event
        :param now_s: the time
        :param led_s: since when its connection led to the process
        """
        own = self.origins.began(streams, endpoint, now_s, led_s)
        if self.history.needs_origins(route):
            for each in own:
                self.origins.tell(each, now_s)
                self._store_own(each, now_s)
        return own

    def is_disputed(self, own: tuple[OwnStream, ...]) -> bool:
        """Return whether the store may name another origin of a stream.

        :param own: what `stream_began` returned for it
        """
        return any(self.queue.is_disputed(each.stream) for each in own)

    def apply_update(self, update: PeerUpdate, now_s: float) -> None:
        """Apply an update of another router.

        :param update: the update
        :param now_s: the time
        """
        self.history.peer_heard(update.list_age_s)
        if update.mixed_services:
            self.history.told(update.mixed_services, update.instance)
        for mixed in update.lately_mixed:
            service = (mixed.service,)
            self.history.told(service, update.instance, mixed.age_s)
        if update.origins or update.asked_origins:
            self.origins.apply_update(update, now_s)

    def sweep(self, running: set[int], now_s: float) -> None:
        """Tell what others miss, and forget what is old; called often.

        :param running: the streams of which this router relays events now
        :param now_s: the time
        """
        self.history.tick()
        for service in self.history.listed_with_several():
            self.history.told((service,), LIST)
        self._report_mixed()
        told = self.origins.tell_services(self.history.origins_matter, now_s)
        for own in told:
            self._store_own(own, now_s)
        self.origins.sweep(running, now_s)
        self.queue.sweep(now_s)

    def _store_own(self, own: OwnStream, now_s: float) -> None:
        """Queue the origin of a stream that has begun here."""
        service = own.endpoint.entry.service
        version = self.origins.proven_version(own)
        if not version and own.known_version:
            # The store has the version as it was listed.
            return
        if self.history.had_several(service):
            self._store(StreamOrigin(own.stream, service, version), now_s)

    def _store(self, origin: StreamOrigin, now_s: float) -> None:
        """Queue an origin to be written to the store."""
        if self.queue.put(origin, now_s):
            self.on_queued()

    def _report_mixed(self) -> None:
        """Report the services that have several versions since lately."""
        mixed = set(self.history.listed_with_several())
        if self.notifier is not None:
            for service in mixed - self._mixed:
                self.notifier.report_mixed(service)
        self._mixed = mixed
