"""Routers, and endpoints that requests crash, in virtual time.

The routers run their real code from a caller's request to its answer, with
real connection pools, and exchange their real updates.  Callers, the
platform and the endpoints' processes are simulated.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable, Coroutine
from dataclasses import replace
from functools import partial
from random import Random
from typing import Any, Final

from bulrushstream.coordination.fleetstate import SWEEP_INTERVAL_S
from bulrushstream.daemon import platformupdates
from bulrushstream.daemon.crashstore import CrashStore
from bulrushstream.daemon.front import Front
from bulrushstream.history.simulatedstore import SimulatedStore
from bulrushstream.state.effect import Decision
from bulrushstream.state.routes import (
    EndpointEntry,
)
from bulrushstream.transport.datagrams import HEARTBEAT_S
from bulrushstream.transport.exchange import Exchange
from tests.crashingendpoints import (
    After,
    Endpoint,
    Proxied,
    Proxy,
)
from tests.crashplans import (
    BACKGROUND_PATHS,
    CONTACT_S,
    DEFAULT_PREFIX,
    SERVICES,
    TIMEOUT_S,
    CrashHistory,
    CrashPlan,
    Prompts,
    Repeats,
    RouterFault,
    Sent,
)
from tests.crashrouters import Router, make_router
from tests.simulatedcallers import Caller, an_exchange
from tests.virtualnetwork import NetworkLoop, owned_by, run_in_network

DATAGRAM_S: Final = 0.002
LEASE_S: Final = 3.6  # An entry is removed this long after a crash.
LIST_CALL_S: Final = 0.008  # One read of the list.
LIST_DELAY_S: Final = 0.6  # A router reads the list this often.
RESTART_S: Final = 2.5  # From a crash to the next start, unless at once.
_HEAD: Final = re.compile(rb"HTTP/1.1 ([0-9]+)")
_CODE: Final = re.compile(rb"B[0-9]{3}")


StoreWork = tuple[Coroutine[Any, Any, None], ...]


class CrashFleet:
    """The routers and endpoints of one run."""

    first_version = "v1"  # Of endpoints for which no version is given.
    endpoint_type = Endpoint

    def __init__(self, plan: CrashPlan) -> None:
        self.plan = plan
        self.ending = plan.ending
        self.rng = Random(plan.seed)
        self.history = CrashHistory()
        self.routers: list[Router] = []
        self.endpoints: dict[str, Endpoint] = {}
        self.entries: dict[str, EndpointEntry] = {}
        self._incarnations = [0] * plan.routers
        # When the entries changed that each router has not read yet.
        self._unread_s: list[list[float]] = [[] for _ in range(plan.routers)]
        # Faults after which each router has read the list whole.
        self._read_whole: list[set[RouterFault]] = [
            set() for _ in range(plan.routers)
        ]
        self.requests: dict[str, tuple[int, bytes]] = {}  # Router, label.
        self._loop: NetworkLoop | None = None
        self._names = 0
        self._starts = 0  # Of endpoints.
        self.store = SimulatedStore()
        self._store_tasks: dict[int, tuple[asyncio.Task[None], ...]] = {}

    @property
    def loop(self) -> NetworkLoop:
        """Return the event loop of the run."""
        assert self._loop is not None
        return self._loop

    def run(self) -> CrashHistory:
        """Play the plan and return what happened."""
        errors = run_in_network(self._play)
        assert errors == [], errors
        return self.history

    async def _play(self, loop: NetworkLoop) -> None:
        self._loop = loop
        plan = self.plan
        for service, count in {**SERVICES, "llm": plan.engines}.items():
            for each in range(count):
                self._start_endpoint(service, number=each)
        for number in range(plan.routers):
            self.routers.append(self._start_router(number))
        self.schedule()
        await asyncio.sleep(plan.end_s)
        self.history.useless_bytes = [
            endpoint.sent_bytes for endpoint in self.endpoints.values()
        ]

    def schedule(self) -> None:
        """Schedule what the plan says."""
        loop, plan = self.loop, self.plan
        for fault in plan.faults:
            loop.call_later(fault.at_s, self._begin_fault, fault)
        for at_s, name in plan.drains:
            loop.call_later(at_s, self._drain, name)
        for at_s, service in plan.kills:
            loop.call_later(at_s, self._kill_busiest, service)
        for number in range(plan.routers):
            for path in BACKGROUND_PATHS:
                loop.call_later(
                    self._background_gap_s(),
                    self._send_background,
                    number,
                    path,
                )
        for begin_s, end_s in plan.store_away:
            loop.call_later(begin_s, self.store.fail, True)
            loop.call_later(end_s, self.store.fail, False)
        for repeats in plan.repeats:
            loop.call_later(repeats.begin_s, self._repeat, repeats, 0)
        for prompts in plan.prompts:
            loop.call_later(prompts.begin_s, self._send_prompt, prompts)

    # --- Endpoints.

    def record_run(self, request_id: str, endpoint: str) -> int:
        """Record a run; return the number of runs of this request so far."""
        router, label = self.requests[request_id]
        runs = self.history.sent[label]
        runs.append(Sent(self.loop.time(), router, endpoint))
        return len(runs)

    def crash(self, endpoint: Endpoint, request_id: str) -> None:
        """End an endpoint because of a request."""
        if self.endpoints.get(endpoint.name) is endpoint:
            now_s = self.loop.time()
            self.history.crashes_s.append(now_s)
            label = self.requests[request_id][1]
            self.history.crashed_by[label].append(now_s)
            self._end(endpoint)

    def record_arrival(self, request_id: str, endpoint: str) -> None:
        """Record that a request reached an endpoint."""
        router = self.requests[request_id][0]
        sent = Sent(self.loop.time(), router, endpoint)
        self.history.arrivals[endpoint].append(sent)

    def record_probe(self) -> None:
        """Record a health check."""
        self.history.probes += 1

    def name_limit(self, request_id: str, endpoint: Endpoint) -> bytes:
        """Return the limit that an answer names; empty: none."""
        now_s = self.loop.time()
        for limit in self.plan.limits:
            if not limit.applies(endpoint.service, endpoint.number, now_s):
                continue
            if request_id in self.requests:
                router = self.requests[request_id][0]
                named = self.history.named[endpoint.name]
                named.append((now_s, router, limit.value))
            return limit.value
        return b""

    def notice(self, request_id: str, endpoint: Endpoint) -> bytes:
        """Return headers that all answers of an endpoint have now."""
        del request_id, endpoint
        return b""

    def turn_away(self, request_id: str, endpoint: Endpoint) -> bytes | None:
        """Return headers of the 503 that a request gets; None: it runs."""
        del request_id, endpoint
        return None

    def _drain(self, name: str) -> None:
        """Announce that an endpoint is leaving."""
        entry = self.entries.get(name)
        if entry is not None:
            self._set_entry(name, replace(entry, leaving=True))

    def _kill_busiest(self, service: str) -> None:
        """End the endpoint with the most connections, for no request."""
        found = [e for e in self.endpoints.values() if e.service == service]
        if found:
            self._end(max(found, key=lambda each: len(each.links)))

    def _end(self, endpoint: Endpoint) -> None:
        loop, after = self.loop, self.ending.after
        del self.endpoints[endpoint.name]
        del loop.listeners[endpoint.address]
        endpoint.end(self.ending.link)
        if after is After.SAME_ID:
            self._start_endpoint(endpoint.service, endpoint)
            return
        loop.call_later(LEASE_S, self._set_entry, endpoint.name, None)
        if after is After.OTHER_ID:
            self._start_endpoint(
                endpoint.service, replace(endpoint, name=self._new_name())
            )
            return
        if after is After.MUTE:
            loop.mute.add(endpoint.address)
        elif isinstance(after, Proxied):
            closes = after is Proxied.CLOSES
            loop.listeners[endpoint.address] = partial(Proxy, closes)
        again = partial(
            self._start_endpoint, endpoint.service, version=endpoint.version
        )
        loop.call_later(RESTART_S, again)

    def _start_endpoint(
        self,
        service: str,
        at: Endpoint | None = None,
        number: int = 10**6,
        version: str = "",
    ) -> None:
        """Start an endpoint, at the address and with the id of another.

        It has the other one's version unless one is given.
        """
        name = at.name if at else self._new_name()
        address = at.address if at else (f"10.1.0.{self._names}", 80)
        number = at.number if at else number
        version = version or (at.version if at else self.first_version)
        self._starts += 1
        born = str(self._starts) if self.plan.tells_starts else ""
        endpoint = self.endpoint_type(
            self,
            name,
            service,
            address,
            number=number,
            version=version,
            born=born,
            closes=self.plan.closes,
        )
        self.endpoints[name] = endpoint
        self.loop.listeners[address] = endpoint.accept
        entry = EndpointEntry(
            name, service, *address, "z", 64, version=version, born=born
        )
        self._set_entry(name, entry)

    def _new_name(self) -> str:
        self._names += 1
        return f"e-{self._names}"

    def _set_entry(self, name: str, entry: EndpointEntry | None) -> None:
        """Change the endpoint list; routers read it a little later."""
        if entry is None:
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry
        now_s = self.loop.time()
        for number, router in enumerate(self.routers):
            delay_s = self.rng.uniform(0.0, LIST_DELAY_S)
            self._unread_s[number].append(now_s)
            self.loop.call_later(
                delay_s, self._read_change, number, router, name, now_s
            )

    def _read_change(
        self, number: int, router: Router, name: str, changed_s: float
    ) -> None:
        """Let a router read a change, or later if it reads nothing now."""
        if self.routers[number] is not router:
            return
        wait_s = max(self._blind_for_s(number), self._frozen_for_s(number))
        if wait_s:
            self.loop.call_later(
                wait_s + self.rng.uniform(0.0, LIST_DELAY_S),
                self._read_change,
                number,
                router,
                name,
                changed_s,
            )
            return
        self._unread_s[number].remove(changed_s)
        self._note_whole(number, router.front)
        with owned_by(number):
            self._read_entry(router.front, name, self.entries.get(name))

    def _read_entry(
        self, front: Front, name: str, entry: EndpointEntry | None
    ) -> None:
        if entry is None:
            platformupdates.remove_endpoint(front, name)
        else:
            platformupdates.apply_entry(front, entry)

    def _blind_for_s(self, number: int) -> float:
        """Return for how long a router still reads no endpoint list."""
        now_s = self.loop.time()
        ends_s = [
            fault.at_s + fault.no_list_s
            for fault in self.plan.faults
            if number in fault.routers and fault.at_s <= now_s
        ]
        return max(0.0, max(ends_s, default=0.0) - now_s)

    def _note_whole(self, number: int, front: Front) -> None:
        """Tell a router that it reads the list whole after a fault."""
        now_s = self.loop.time()
        ended = {
            fault
            for fault in self.plan.faults
            if fault.no_list_s
            and number in fault.routers
            and fault.at_s + fault.no_list_s <= now_s
        }
        if not ended <= self._read_whole[number]:
            self._read_whole[number] |= ended
            front.streams.history.list_read_whole()

    def _read_list(self, number: int, front: Front) -> None:
        """Confirm the endpoint list."""
        if self._blind_for_s(number):
            return
        self._note_whole(number, front)
        read_s = self.loop.time() - LIST_DELAY_S
        front.streams.history.list_read(min([read_s, *self._unread_s[number]]))

    def _check_list(self, number: int, front: Front) -> None:
        """Read the endpoint list for a router that asks for it."""
        sent_s = self.loop.time()

        def answered() -> None:
            if self._blind_for_s(number) or self.store.away:
                return
            self.loop.arrive(number, partial(read, dict(self.entries)))

        def read(entries: dict[str, EndpointEntry]) -> None:
            if front is not self.routers[number].front:
                return
            self._note_whole(number, front)
            for name in {*entries, *front.pool.by_name}:
                self._read_entry(front, name, entries.get(name))
            front.streams.history.list_read(sent_s)

        with owned_by(None):
            self.loop.call_later(LIST_CALL_S, answered)

    # --- Routers.

    def send_datagram(self, sender: int, host: str, data: bytes) -> None:
        """Deliver a router's update to another one, unless it is lost."""
        receiver = int(host.rsplit(".", 1)[1]) - 1
        if self._is_cut(sender) or self._is_cut(receiver):
            return
        if self.rng.random() < self.plan.loss:
            return

        def deliver() -> None:
            router = self.routers[receiver]
            if router.running:
                router.port.datagram_received(data, None)

        delay_s = self.rng.uniform(0.5, 1.5) * DATAGRAM_S
        with owned_by(None):
            self.loop.call_later(delay_s, self.loop.arrive, receiver, deliver)

    def _is_cut(self, number: int) -> bool:
        now_s = self.loop.time()
        return any(
            fault.cut_s
            and number in fault.routers
            and fault.at_s <= now_s < fault.at_s + fault.cut_s
            for fault in self.plan.faults
        )

    def _frozen_for_s(self, number: int) -> float:
        """Return how long a router still stands still."""
        now_s = self.loop.time()
        ends_s = [
            fault.at_s + fault.frozen_s
            for fault in self.plan.faults
            if fault.frozen_s
            and number in fault.routers
            and fault.at_s <= now_s
        ]
        return max(0.0, max(ends_s, default=0.0) - now_s)

    def _begin_fault(self, fault: RouterFault) -> None:
        now_s = self.loop.time()
        for number in fault.routers:
            end_s = now_s + fault.cut_s + fault.frozen_s + fault.dark_s
            end_s += CONTACT_S
            self.history.out_of_touch.append((now_s, end_s, number))
            if fault.frozen_s:
                self.loop.begin_standstill(number)
                self.loop.call_later(
                    fault.frozen_s, self.loop.end_standstill, number
                )
            elif not fault.cut_s:
                self._stop_router(self.routers[number])
                if fault.dark_s:
                    self.loop.call_later(fault.dark_s, self._restart, number)
                elif not fault.stops:
                    self._restart(number)

    def _restart(self, number: int) -> None:
        """Start a router's process again."""
        self.routers[number] = self._start_router(number)

    def _stop_router(self, router: Router) -> None:
        router.running = False
        for task in self._store_tasks.pop(id(router)):
            task.cancel()
        router.port.close()
        for forward in list(router.front.forwards):
            forward.stop()

    def crash_work(self, router: Router) -> StoreWork:
        """Return the tasks that read and write records of crashes."""
        front = router.front
        crashes = CrashStore(self.store, front.dialect.topics.crashes, front)
        return crashes.read(), crashes.write()

    def store_work(self, router: Router) -> StoreWork:
        """Return the tasks that read and write records in the store."""
        router.front.streams.history.complete = True
        return self.crash_work(router)

    def _start_router(self, number: int) -> Router:
        with owned_by(number):
            return self._start_owned(number)

    def _start_owned(self, number: int) -> Router:
        loop = self.loop
        self._incarnations[number] += 1
        self._unread_s[number] = []

        def observe(decision: Decision) -> None:
            self.history.decisions.append((loop.time(), number, decision))

        router = make_router(
            number,
            self._incarnations[number],
            self.plan,
            loop.time,
            observe,
            partial(self.send_datagram, number),
        )
        front, port = router.front, router.port
        for entry in self.entries.values():
            platformupdates.apply_entry(front, entry)
        front.endpoints_listed = True
        front.streams.request_list = partial(self._check_list, number, front)
        self._store_tasks[id(router)] = tuple(
            map(loop.create_task, self.store_work(router))
        )

        def repeat(interval_s: float, step: Callable[[], None]) -> None:
            if router.running:
                step()
                loop.call_later(interval_s, repeat, interval_s, step)

        repeat(HEARTBEAT_S, port.beat)
        repeat(SWEEP_INTERVAL_S, front.sweep)
        # The key's freshness is not under test.
        repeat(0.5, lambda: front.freshness.confirm(loop.time()))
        repeat(0.5, lambda: self._read_list(number, front))
        return router

    # --- Callers.

    def _repeat(self, repeats: Repeats, count: int) -> None:
        numbers = repeats.routers or tuple(range(self.plan.routers))
        number = numbers[count % len(numbers)]
        self._send(number, repeats.path, repeats.body, prefix=repeats.prefix)
        self.loop.call_later(
            repeats.interval_s, self._repeat, repeats, count + 1
        )

    def _background_gap_s(self) -> float:
        return self.rng.expovariate(
            self.plan.background_per_s / len(BACKGROUND_PATHS)
        )

    def _send_background(self, number: int, path: str) -> None:
        self._send(number, path, b"background %d" % len(self.requests))
        self.loop.call_later(
            self._background_gap_s(), self._send_background, number, path
        )

    def _send_prompt(self, prompts: Prompts) -> None:
        now_s = self.loop.time()
        if now_s >= prompts.end_s:
            return
        numbers = prompts.routers or range(self.plan.routers)
        count = len(self.requests)
        shared = [f"{self.rng.choice(group)}:9" for group in prompts.groups]
        self._send(
            self.rng.choice(numbers),
            prompts.path,
            prompts.body + b" %d" % count,
            prompts.label,
            prompts.prefix or ",".join([*shared, f"{10**9 + count:x}:9"]),
            prompts.leave_s or TIMEOUT_S,
        )
        gap_s = self.rng.expovariate(prompts.per_s)
        self.loop.call_later(gap_s, self._send_prompt, prompts)

    def _send(
        self,
        number: int,
        path: str,
        body: bytes,
        label: bytes = b"",
        prefix: str = DEFAULT_PREFIX,
        leave_s: float = TIMEOUT_S,
    ) -> None:
        """Send a request; its name in the history is by default its body.

        A router that stands still reads it when it goes on.
        """
        loop = self.loop
        if self.loop.stands_still(number):
            again = partial(
                self._send, number, path, body, label, prefix, leave_s
            )
            self._arrive_later(number, again)
            return
        label = label or body
        request_id = f"q{len(self.requests)}"
        self.requests[request_id] = (number, label)
        self.history.ids[label].append(request_id)
        self.history.asked[label].append(loop.time())
        caller = Caller()
        exchange = an_exchange(caller, request_id, path, body, prefix)
        exchange.arrived_s = loop.time()
        router = self.routers[number]
        if router.running:
            with owned_by(number):
                router.front.handle(exchange)
        loop.call_later(
            leave_s, self._give_up, number, exchange, caller, label
        )

    def _arrive_later(self, number: int, step: Callable[[], None]) -> None:
        """Do something on a router's behalf once it stands still no more."""

        def run() -> None:
            with owned_by(None):
                step()

        self.loop.arrive(number, run)

    def _leave(self, number: int, exchange: Exchange, caller: Caller) -> None:
        """Let a caller close its connection."""

        def read() -> None:
            if not caller.ended and exchange.on_disconnect is not None:
                exchange.on_disconnect()

        self.loop.arrive(number, read)

    def _give_up(
        self, number: int, exchange: Exchange, caller: Caller, label: bytes
    ) -> None:
        self._leave(number, exchange, caller)
        head = _HEAD.match(caller.data)
        code = None
        if b"problem+json" in caller.data:
            code = _CODE.search(caller.data)
        self.history.answered_asked_s[label].append(exchange.arrived_s)
        self.history.replies[label].append(caller.data)
        self.history.answers[label].append(
            (
                head[1].decode() if head else "",
                code[0].decode() if code else "",
            )
        )


def play(plan: CrashPlan) -> CrashHistory:
    """Play a plan and return what happened."""
    return CrashFleet(plan).run()
