"""Routers before endpoints that ask for rest or say that they leave."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Final, cast

from tests.crashfleets import CrashFleet
from tests.crashingendpoints import Endpoint
from tests.crashplans import CrashHistory, CrashPlan, Sent

GRACE_S: Final = 0.5  # Arrivals so soon after a rest was asked for are fine.
MAX_ARRIVALS: Final = 2  # Later ones within one rest.
DRAIN_S: Final = 2.0  # How long an endpoint that leaves gets requests.


@dataclass(frozen=True, slots=True)
class Shedding:
    """Endpoints that turn requests away for a time, and ask for rest."""

    begin_s: float
    end_s: float
    value: bytes = b"3"  # Of Retry-After; empty: they ask for none.
    service: str = "llm"
    endpoints: int = 2  # So many of the service's first ones.
    says_not_run: bool = True

    def applies(self, endpoint: Endpoint, now_s: float) -> bool:
        """Return whether an endpoint turns a request away now."""
        return (
            endpoint.service == self.service
            and endpoint.number < self.endpoints
            and self.begin_s <= now_s < self.end_s
        )


@dataclass(frozen=True, slots=True)
class NoticePlan(CrashPlan):
    """A run with endpoints that ask for rest or leave."""

    shedding: tuple[Shedding, ...] = ()
    leaving: tuple[tuple[float, str], ...] = ()  # Times and endpoints.


@dataclass(slots=True)
class NoticeHistory(CrashHistory):
    """What happened in a run, and what endpoints asked of routers."""

    # Time, router and seconds of each rest, by endpoint.
    rests: dict[str, list[tuple[float, int, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    # When each router was first told that an endpoint leaves.
    left_s: dict[tuple[str, int], float] = field(default_factory=dict)
    probes_s: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def broken_rests(self) -> list[str]:
        """Return the rests in which a router sent too many requests."""
        found = []
        for endpoint, rests in self.rests.items():
            for at_s, router, rest_s in rests:
                count = sum(
                    sent.router == router
                    and at_s + GRACE_S < sent.at_s < at_s + rest_s
                    for sent in self.arrivals[endpoint]
                )
                if count > MAX_ARRIVALS:
                    found.append(f"{endpoint} at {at_s:.2f}: {count}")
        return found

    def late_arrivals(self) -> list[Sent]:
        """Return the requests that reached endpoints long after a notice."""
        never_s = float("inf")
        return [
            sent
            for endpoint, arrivals in self.arrivals.items()
            for sent in arrivals
            if sent.at_s
            > self.left_s.get((endpoint, sent.router), never_s) + DRAIN_S
        ]


class NoticeFleet(CrashFleet):
    """The routers and endpoints of one run."""

    def __init__(self, plan: NoticePlan) -> None:
        super().__init__(plan)
        self.history: NoticeHistory = NoticeHistory()
        self._plan = plan

    def notice(self, request_id: str, endpoint: Endpoint) -> bytes:
        """Return the notice of an endpoint that leaves."""
        now_s = self.loop.time()
        if not any(
            name == endpoint.name and at_s <= now_s
            for at_s, name in self._plan.leaving
        ):
            return b""
        if request_id in self.requests:
            key = endpoint.name, self.requests[request_id][0]
            self.history.left_s.setdefault(key, now_s)
        return b"Server-Leaving: 1\r\n"

    def turn_away(self, request_id: str, endpoint: Endpoint) -> bytes | None:
        """Return the headers with which a request is turned away."""
        now_s = self.loop.time()
        if not request_id:
            self.history.probes_s[endpoint.name].append(now_s)
        for each in self._plan.shedding:
            if not each.applies(endpoint, now_s):
                continue
            headers = b"X-Not-Executed: 1\r\n" if each.says_not_run else b""
            if each.value:
                headers += b"Retry-After: %b\r\n" % each.value
                self._record_rest(request_id, endpoint, each.value)
            return headers
        return None

    def _record_rest(
        self, request_id: str, endpoint: Endpoint, value: bytes
    ) -> None:
        try:
            rest_s = float(value)
        except ValueError:
            return
        if request_id in self.requests:
            router = self.requests[request_id][0]
            asked = (self.loop.time(), router, rest_s)
            self.history.rests[endpoint.name].append(asked)


def play_notices(plan: NoticePlan) -> NoticeHistory:
    """Play a plan and return what happened."""
    return cast(NoticeHistory, NoticeFleet(plan).run())
