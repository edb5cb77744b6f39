"""Measure a fleet at its callers and endpoints.

A meter observes only requests of callers and runs at endpoints.  Its results
are therefore independent of the cores' own accounts and comparable between
policies.  It writes the records that `bulrushstream.history.shares` reads.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import AsyncGenerator, Callable, Mapping
from contextlib import aclosing
from dataclasses import dataclass, field

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
from bulrushstream.transport.fetch import Fetcher


@dataclass(slots=True)
class _Run:
    """One request at an endpoint."""

    dispatch: Dispatch
    counted_until_s: float  # Its running time is counted until then.


@dataclass(slots=True)
class Meter:
    """The records and counts of one fleet."""

    clock: Callable[[], float]  # Returns the monotonic time in seconds.
    config: FleetConfig  # Gives weights and service units.
    slots: Mapping[str, int]  # Slots of all endpoints, by service.
    history: list[Record] = field(default_factory=list)  # By time.
    # From arrival to start, by service, workspace and class.
    waits_s: dict[tuple[str, str, str], list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    # Service received in service units, by service and workspace.
    served: Counter[tuple[str, str]] = field(default_factory=Counter)
    # By request id.
    _waiting: dict[str, Request] = field(default_factory=dict)
    # By service and workspace.
    _waiting_counts: Counter[tuple[str, str]] = field(default_factory=Counter)
    # By request id and attempt.
    _runs: dict[tuple[str, int], _Run] = field(default_factory=dict)
    # By service.
    _running_counts: Counter[str] = field(default_factory=Counter)

    def on_port_event(self, item: PortEvent) -> None:
        """Record an event between a router and its callers.

        :param item: The event.
        """
        match item:
            case Request():
                self._waiting[item.request_id] = item
                self._adjust_waiting(item, 1)
            case FailRequest(request_id) | CallerDisconnected(request_id):
                self._remove_waiting(request_id)

    def on_run_started(self, dispatch: Dispatch) -> None:
        """Record that an endpoint starts an attempt.

        :param dispatch: The attempt.
        """
        request = self._remove_waiting(dispatch.request_id)
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
        self._running_counts[dispatch.service] += 1
        self._record_supply(dispatch.service)

    def on_tokens(self, dispatch: Dispatch, tokens: int) -> None:
        """Record tokens that an endpoint generated.

        :param dispatch: The attempt.
        :param tokens: How many tokens were generated.
        """
        if (
            tokens
            and self._service_unit(dispatch.service) is ServiceUnit.TOKENS
        ):
            self._record_service(dispatch, float(tokens))

    def on_run_ended(self, dispatch: Dispatch) -> None:
        """Record the end of an attempt; later calls have no effect.

        :param dispatch: The attempt.
        """
        run = self._runs.pop((dispatch.request_id, dispatch.attempt), None)
        if run is None:
            return
        self._count_time(run)
        self._running_counts[dispatch.service] -= 1
        self._record_supply(dispatch.service)

    def count_running_time(self) -> None:
        """Add the running time of all attempts since the last count."""
        for run in self._runs.values():
            self._count_time(run)

    def _remove_waiting(self, request_id: str) -> Request | None:
        """Remove a request from those waiting; return it if it was there."""
        request = self._waiting.pop(request_id, None)
        if request is not None:
            self._adjust_waiting(request, -1)
        return request

    def _adjust_waiting(self, request: Request, change: int) -> None:
        """Add `change` to the waiting requests of a service and workspace."""
        key = (request.service, request.workspace)
        self._waiting_counts[key] += change
        count = self._waiting_counts[key]
        if count <= 1:
            self.history.append(BacklogChanged(self.clock(), *key, count))
        self._record_supply(request.service)

    def _record_supply(self, service: str) -> None:
        """Record the free slots and waiting requests of a service."""
        waiting = sum(
            count
            for (name, _), count in self._waiting_counts.items()
            if name == service
        )
        free = self.slots[service] - self._running_counts[service]
        self.history.append(LoadChanged(self.clock(), service, free, waiting))

    def _count_time(self, run: _Run) -> None:
        """Add a run's time since its last count, if service is in seconds."""
        now_s = self.clock()
        passed_s = now_s - run.counted_until_s
        run.counted_until_s = now_s
        if self._service_unit(run.dispatch.service) is ServiceUnit.SECONDS:
            self._record_service(run.dispatch, passed_s)

    def _record_service(self, dispatch: Dispatch, amount: float) -> None:
        """Record service that a workspace received."""
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

    def _service_unit(self, service: str) -> ServiceUnit:
        """Return the unit of a service."""
        return next(
            each.unit for each in self.config.services if each.name == service
        )


class MeteredRunner:
    """A runner that reports its runs to a meter."""

    def __init__(self, inner: Runner, meter: Meter) -> None:
        """Wrap a runner.

        :param inner: the runner that executes requests
        :param meter: receives the events of its runs
        """
        self._inner = inner
        self._meter = meter

    @property
    def client(self) -> Fetcher:
        """Return the runner's client for reports and orders."""
        return self._inner.client

    async def run(
        self, dispatch: Dispatch, offset: int = 0
    ) -> AsyncGenerator[RunEvent, None]:
        """Run one attempt and report it to the meter; see `Runner`."""
        self._meter.on_run_started(dispatch)
        try:
            async with aclosing(self._inner.run(dispatch, offset)) as events:
                async for event in events:
                    if isinstance(event, RunBody):
                        self._meter.on_tokens(dispatch, event.tokens)
                    elif isinstance(event, RunEnd):
                        self._meter.on_run_ended(dispatch)
                    yield event
        finally:
            self._meter.on_run_ended(dispatch)

    async def close(self) -> None:
        """Close the runner's connections."""
        await self._inner.close()
