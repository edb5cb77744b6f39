"""Routers before endpoints of several software versions, in virtual time.

A caller whose stream breaks takes it up at another router.
"""

from __future__ import annotations

import re
from dataclasses import replace
from functools import partial
from typing import Final, cast

from bulrushstream.daemon.versionrecords import version_tasks
from bulrushstream.state.routes import EndpointEntry
from bulrushstream.transport.exchange import Exchange
from tests.crashfleets import CrashFleet, StoreWork
from tests.crashingendpoints import EVENTS, Endpoint, Link
from tests.crashplans import TIMEOUT_S
from tests.crashrouters import Router
from tests.simulatedcallers import Caller, an_exchange
from tests.versionplans import (
    Change,
    ChangeKind,
    Stream,
    Try,
    VersionHistory,
    VersionPlan,
)
from tests.virtualnetwork import owned_by

DRAIN_S: Final = 3.0  # An endpoint that leaves serves on for this long.
CONNECT_AGAIN_S: Final = 0.05
SERVICE: Final = "llm"
_HEAD: Final = re.compile(rb"HTTP/1.1 ([0-9]+)")
_CODE: Final = re.compile(rb"B[0-9]{3}")
_EVENT: Final = re.compile(rb"id: ([0-9]+)\ndata: ([^\n]+)\n\n")


class VersionFleet(CrashFleet):
    """The routers, endpoints and callers of one run."""

    def __init__(self, plan: VersionPlan) -> None:
        super().__init__(plan)
        self.first_version = plan.first_version
        self.history: VersionHistory = VersionHistory()
        self._plan = plan

    def schedule(self) -> None:
        """Schedule the changes and the first stream."""
        super().schedule()
        for change in self._plan.changes:
            self.loop.call_later(change.at_s, self._apply, change)
        self.loop.call_later(0.5, self._begin_stream)

    # --- Routers.

    def store_work(self, router: Router) -> StoreWork:
        """Return the tasks that read and write all records."""
        versions = version_tasks(self.store, router.front)
        return (*self.crash_work(router), *(work() for work in versions))

    # --- Endpoints.

    def _set_entry(self, name: str, entry: EndpointEntry | None) -> None:
        """Change the endpoint list, later for the next process of an id."""
        known, delay_s = self.entries.get(name), 0.0
        if known is not None and entry is not None:
            delay_s = self._plan.entry_delay_s * (known.born != entry.born)
        if delay_s:
            change = super()._set_entry
            self.loop.call_later(delay_s, change, name, entry)
        else:
            super()._set_entry(name, entry)

    def _of_version(self, version: str) -> list[Endpoint]:
        """Return the ready endpoints of a version."""
        return [
            each
            for each in self.endpoints.values()
            if each.service == SERVICE
            and each.version == version
            and each.name in self.entries
            and not self.entries[each.name].leaving
        ]

    def _apply(self, change: Change) -> None:
        for _ in range(change.count):
            self._apply_once(change)

    def _apply_once(self, change: Change) -> None:
        version = change.version
        if change.kind is ChangeKind.START:
            self._start_endpoint(SERVICE, version=version)
            return
        found = self._of_version(version)
        if change.kind is ChangeKind.RETURN:
            found = [
                each
                for each in self.endpoints.values()
                if each.service == SERVICE and each.version != version
            ]
        if not found:
            return
        busiest = max(found, key=lambda each: each.running)
        if change.kind is ChangeKind.CRASH:
            self._end(busiest)
        elif change.kind is ChangeKind.RETURN:
            del self.endpoints[busiest.name]
            busiest.end(Link.CLOSED)
            self._start_endpoint(SERVICE, busiest, version=version)
        else:
            oldest = found[0]
            entry = replace(self.entries[oldest.name], leaving=True)
            gone = change.kind is ChangeKind.DELIST
            self._set_entry(oldest.name, None if gone else entry)
            self.loop.call_later(DRAIN_S, self._stop_endpoint, oldest)

    def _stop_endpoint(self, endpoint: Endpoint) -> None:
        """End an endpoint that has left, and drop its entry."""
        if self.endpoints.get(endpoint.name) is not endpoint:
            return
        del self.endpoints[endpoint.name]
        del self.loop.listeners[endpoint.address]
        endpoint.end(Link.CLOSED)
        self._set_entry(endpoint.name, None)

    # --- Callers.

    def _begin_stream(self) -> None:
        stream = Stream()
        self.history.streams.append(stream)
        self._try(stream, self.rng.randrange(self.plan.routers))
        gap_s = self.rng.expovariate(self._plan.streams_per_s)
        if self.loop.time() + gap_s < self.plan.end_s - TIMEOUT_S:
            self.loop.call_later(gap_s, self._begin_stream)

    def _try(self, stream: Stream, number: int) -> None:
        """Ask a router for a stream, or for the rest of it."""
        if self.loop.stands_still(number):
            again = partial(self._try, stream, number)
            self._arrive_later(number, again)
            return
        if not self.routers[number].running:
            # Connections are refused; the balancer sends on to another one.
            number = self.rng.randrange(self.plan.routers)
            self.loop.call_later(CONNECT_AGAIN_S, self._try, stream, number)
            return
        plan = self._plan
        request_id = f"q{len(self.requests)}"
        self.requests[request_id] = (number, b"stream")
        after = len(stream.events)
        current = Try(request_id, number, self.loop.time(), after)
        if after:
            current.serving = len(self._of_version(stream.events[0][1]))
        caller = Caller()
        exchange = an_exchange(
            caller, request_id, plan.path, b"stream %d" % len(self.requests)
        )
        if after:
            last = b"%d" % stream.events[-1][0]
            exchange.headers.append((b"Last-Event-Id", last))
            exchange.headers += [
                (b"Resumes", named.encode())
                for named in plan.naming(stream, request_id)
            ]
        self.prepare(exchange)
        stream.tries.append(current)
        exchange.arrived_s = self.loop.time()
        caller.on_end = partial(self._ended, stream, current, caller)
        with owned_by(number):
            self.routers[number].front.handle(exchange)

        def give_up() -> None:
            if not caller.ended:
                caller.on_end = lambda: None
                self.read_answer(current, caller)
                self._leave(number, exchange, caller)

        self.loop.call_later(TIMEOUT_S, give_up)

    def prepare(self, exchange: Exchange) -> None:
        """Change a caller's request before it is sent."""

    def read_answer(self, current: Try, caller: Caller) -> None:
        """Read what a caller received for one request."""
        read_answer(current, caller.data)

    def _ended(self, stream: Stream, current: Try, caller: Caller) -> None:
        with owned_by(None):
            self._answered(stream, current, caller)

    def _answered(self, stream: Stream, current: Try, caller: Caller) -> None:
        self.read_answer(current, caller)
        broken = current.status in ("", "200") and not current.whole
        if not broken or len(stream.tries) >= self._plan.tries:
            return
        others = [
            number
            for number, router in enumerate(self.routers)
            if router.running and number != current.router
        ]
        number = self.rng.choice(others or [current.router])
        delay_s = self.rng.uniform(*self._plan.return_s)
        self.loop.call_later(delay_s, self._try, stream, number)


def read_answer(current: Try, data: bytes) -> None:
    """Read what a caller received for one request."""
    current.data = data
    head = _HEAD.match(data)
    current.status = head[1].decode() if head else ""
    code = _CODE.search(data) if b"problem+json" in data else None
    current.code = code[0].decode() if code else ""
    body = data.partition(b"\r\n\r\n")[2]
    if current.status == "200":
        current.events = [
            (int(number), version.decode())
            for number, version in _EVENT.findall(body)
        ]
        last = current.events[-1][0] if current.events else current.after
        current.whole = last == EVENTS and data.endswith(b"0\r\n\r\n")


def play_versions(plan: VersionPlan) -> VersionHistory:
    """Play a plan and return what happened."""
    return cast(VersionHistory, VersionFleet(plan).run())
