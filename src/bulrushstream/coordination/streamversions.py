"""What one router knows of the versions at which streams began."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from bulrushstream.coordination.endpointpool import Endpoint, EndpointPool
from bulrushstream.coordination.streamorigins import (
    OriginNotifier,
    OwnStream,
    StreamOrigins,
)
from bulrushstream.coordination.versionhistory import VersionHistory
from bulrushstream.state.peerupdate import PeerUpdate
from bulrushstream.state.routes import Route


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

    def stream_began(
        self,
        route: Route,
        streams: tuple[int, ...],
        endpoint: Endpoint,
        now_s: float,
    ) -> tuple[OwnStream, ...]:
        """Record the first event of a stream; tell others if that matters.

        :param route: the stream's route
        :param streams: the digests by which it may be taken up
        :param endpoint: the endpoint that wrote the event
        :param now_s: the time
        """
        own = self.origins.began(streams, endpoint, now_s)
        if self.history.needs_origins(route):
            for each in own:
                self.origins.tell(each, now_s)
        return own

    def apply_update(self, update: PeerUpdate, now_s: float) -> None:
        """Apply an update of another router.

        :param update: the update
        :param now_s: the time
        """
        self.history.peer_heard()
        if update.mixed_services:
            self.history.told(update.mixed_services, update.instance)
        if update.origins or update.asked_origins:
            self.origins.apply_update(update, now_s)

    def sweep(self, running: set[int], now_s: float) -> None:
        """Tell what others miss, and forget what is old; called often.

        :param running: the streams of which this router relays events now
        :param now_s: the time
        """
        for service in self.history.listed_with_several():
            self.history.told((service,), "endpoint list")
        self._report_mixed()
        self.origins.tell_services(self.history.origins_matter, now_s)
        self.origins.sweep(running, now_s)

    def _report_mixed(self) -> None:
        """Report the services that have several versions since lately."""
        mixed = set(self.history.listed_with_several())
        if self.notifier is not None:
            for service in mixed - self._mixed:
                self.notifier.report_mixed(service)
        self._mixed = mixed
