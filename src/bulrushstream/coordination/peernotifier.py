"""What a router reports of its own changes to the other routers."""

from __future__ import annotations

from typing import Protocol

from bulrushstream.coordination.crashsuspects import SuspectNotifier
from bulrushstream.coordination.partreports import PartNotifier
from bulrushstream.coordination.streamversions import VersionNotifier
from bulrushstream.state.evacuation import EvacuationReport
from bulrushstream.state.peerupdate import (
    ColdEndpoint,
    EndpointLimit,
    FirstEvent,
    RequestPlaced,
)
from bulrushstream.state.returns import ReturnPromise


class PeerNotifier(SuspectNotifier, PartNotifier, VersionNotifier, Protocol):
    """Reports this router's changes to the other routers."""

    def report_placed(self, placed: RequestPlaced) -> None:
        """Report that a request was sent to an endpoint."""

    def report_started(self, started: FirstEvent) -> None:
        """Report that the first event of a request arrived."""

    def report_ended(self, call: int) -> None:
        """Report that a request ended."""

    def report_usage(
        self, workspace: str, requested: int, granted: int
    ) -> None:
        """Report the demand and the grants of a workspace, in tokens."""

    def repeat_usage(self) -> None:
        """Report the usage of all workspaces again, for a new peer."""

    def report_limit(self, limit: EndpointLimit) -> None:
        """Report a limit that an endpoint names, or that has ended."""

    def report_cold(self, cold: ColdEndpoint) -> None:
        """Report that an endpoint is cold."""

    def report_leaving(self, endpoint: str, born: str) -> None:
        """Report that an endpoint says that it leaves."""

    def report_evacuations(self, report: EvacuationReport) -> None:
        """Report the evacuated zones, as they changed."""

    def report_promise(self, promise: ReturnPromise) -> None:
        """Report that a refused caller was given a time to return."""

    def report_returned(self, digest: int) -> None:
        """Report that a request returned that had a promise."""
