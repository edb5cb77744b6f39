"""What a fleet does, seen from its outer edges.

A meter counts at callers and at endpoints only, so that it does not repeat
what the cores believe, and so that every policy is measured alike.  It
writes the records that `bulrushstream.history.shares` works on.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import AsyncGenerator, Callable, Mapping
from contextlib import aclosing
from dataclasses import dataclass, field

import httpx

from bulrushstream.daemon.agent import Runner
from bulrushstream.daemon.port import PortEvent
from bulrushstream.history.record import (
    BacklogChanged,
    LoadChanged,
    Record,
    ServiceReceived,
)
from bulrushstream.state.config import FleetConfig, ServiceUnit
from bulrushstream.state.effect import FailRequest
from bulrushstream.state.event import CallerDisconnected, RunBody, RunEnd
from bulrushstream.state.message import Dispatch
from bulrushstream.state.request import Request
from bulrushstream.transport.endpoint import RunEvent


@dataclass(slots=True)
class _Run:
    """One request at an endpoint."""

    dispatch: Dispatch  # The attempt.
    counted_s: float  # Until when its time was counted.


@dataclass(slots=True)
class Meter:
    """The counts of one fleet."""

    clock: Callable[[], float]  # The monotonic time in seconds.
    config: FleetConfig  # The weights and units.
    slots: Mapping[str, int]  # Slots of all endpoints, by service.
    history: list[Record] = field(default_factory=list)  # In order.
    waits_s: dict[tuple[str, str, str], list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )  # By service, workspace and class.
    served: Counter[tuple[str, str]] = field(default_factory=Counter)
    _waiting: dict[str, Request] = field(default_factory=dict)  # By id.
    _counts: Counter[tuple[str, str]] = field(default_factory=Counter)
    _runs: dict[tuple[str, int], _Run] = field(default_factory=dict)
    _running: Counter[str] = field(default_factory=Counter)  # By service.

    def passed(self, item: PortEvent) -> None:
        """Count what passes between a router and its callers."""
        match item:
            case Request():
                self._waiting[item.request_id] = item
                self._change_waiting(item, 1)
            case FailRequest(request_id) | CallerDisconnected(request_id):
                self._stop_waiting(request_id)

    def started(self, dispatch: Dispatch) -> None:
        """Count a request that an endpoint is given."""
        request = self._stop_waiting(dispatch.request_id)
        now_s = self.clock()
        if request is not None:
            key = (
                request.service,
                request.workspace,
                request.request_class.value,
            )
            self.waits_s[key].append(now_s - request.arrived_s)
        run_key = (dispatch.request_id, dispatch.attempt)
        self._runs[run_key] = _Run(dispatch, now_s)
        self._running[dispatch.service] += 1
        self._supply(dispatch.service)

    def gave(self, dispatch: Dispatch, tokens: int) -> None:
        """Count tokens that an endpoint generated."""
        if tokens and self._unit(dispatch.service) is ServiceUnit.TOKENS:
            self._give(dispatch, float(tokens))

    def ended(self, dispatch: Dispatch) -> None:
        """Count a request that an endpoint is done with."""
        run = self._runs.pop((dispatch.request_id, dispatch.attempt), None)
        if run is None:
            return
        self._count_time(run)
        self._running[dispatch.service] -= 1
        self._supply(dispatch.service)

    def tick(self) -> None:
        """Count the time that running requests have taken so far."""
        for run in self._runs.values():
            self._count_time(run)

    def _stop_waiting(self, request_id: str) -> Request | None:
        """Take a request off those that wait, if it does."""
        request = self._waiting.pop(request_id, None)
        if request is not None:
            self._change_waiting(request, -1)
        return request

    def _change_waiting(self, request: Request, change: int) -> None:
        """Count one more or one less request that waits."""
        key = (request.service, request.workspace)
        self._counts[key] += change
        count = self._counts[key]
        if count <= 1:
            self.history.append(BacklogChanged(self.clock(), *key, count))
        self._supply(request.service)

    def _supply(self, service: str) -> None:
        """Record free slots and waiting requests of a service."""
        waiting = sum(
            count
            for (name, _), count in self._counts.items()
            if name == service
        )
        free = self.slots[service] - self._running[service]
        self.history.append(LoadChanged(self.clock(), service, free, waiting))

    def _count_time(self, run: _Run) -> None:
        """Count the time of a run where time is the unit."""
        now_s = self.clock()
        passed_s = now_s - run.counted_s
        run.counted_s = now_s
        if self._unit(run.dispatch.service) is ServiceUnit.SECONDS:
            self._give(run.dispatch, passed_s)

    def _give(self, dispatch: Dispatch, amount: float) -> None:
        """Count service that a workspace received."""
        key = (dispatch.service, dispatch.workspace)
        self.served[key] += amount  # type: ignore[assignment]
        weight = next(
            each.weight
            for each in self.config.workspaces
            if each.name == dispatch.workspace
        )
        self.history.append(
            ServiceReceived(self.clock(), *key, amount / weight)
        )

    def _unit(self, service: str) -> ServiceUnit:
        """Return what a service is counted in."""
        return next(
            each.unit for each in self.config.services if each.name == service
        )


class MeteredRunner:
    """A runner that has its runs counted."""

    def __init__(self, inner: Runner, meter: Meter) -> None:
        """Wrap a runner.

        :param inner: does the work
        :param meter: counts
        """
        self._inner = inner
        self._meter = meter

    @property
    def client(self) -> httpx.AsyncClient:
        """Return the HTTP client, for reports and orders."""
        return self._inner.client

    async def run(
        self, dispatch: Dispatch, offset: int = 0
    ) -> AsyncGenerator[RunEvent, None]:
        """Run one attempt and count it; see `Runner`."""
        self._meter.started(dispatch)
        try:
            async with aclosing(self._inner.run(dispatch, offset)) as events:
                async for event in events:
                    if isinstance(event, RunBody):
                        self._meter.gave(dispatch, event.tokens)
                    elif isinstance(event, RunEnd):
                        self._meter.ended(dispatch)
                    yield event
        finally:
            self._meter.ended(dispatch)

    async def close(self) -> None:
        """Close the connections."""
        await self._inner.close()
