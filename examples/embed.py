"""Embed the cores: two routers and two agents in virtual time.

No socket is opened and no clock is read.  This program simulates the time
and the network: it passes events to each core and executes the effects
that the core returns.  Run it with ``python examples/embed.py``.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Final

from bulrushstream.coordination import agent, router
from bulrushstream.state.config import (
    FleetConfig,
    Service,
    ServiceKind,
    VersionedConfig,
    Workspace,
)
from bulrushstream.state.effect import (
    AppendLog,
    Effect,
    FailRequest,
    Reply,
    Send,
    StartRun,
    WakeAt,
)
from bulrushstream.state.event import (
    ConfigChanged,
    Event,
    LogAppended,
    LogRead,
    LogRecord,
    MessageReceived,
    PeerUp,
    RequestArrived,
    RunBody,
    RunEnd,
    RunHead,
    TimerFired,
)
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.state.message import Dispatch, PartKind
from bulrushstream.state.request import Request, RequestClass

Handle = Callable[[Event, float], list[Effect]]

SERVICE: Final = "drafting"
ONE_WAY_S: Final = 0.001
RUN_S: Final = 0.1
CONFIG: Final = VersionedConfig(
    0,
    FleetConfig(
        (Workspace("club"), Workspace("council")),
        (Service(SERVICE, ServiceKind.PLAIN, slots=2),),
    ),
)


class Fleet:
    """The cores, with a simulated clock and network."""

    now_s: float  # The virtual time.
    outcomes: list[str]  # How requests ended, in order.
    served: Counter[str]  # Started runs, by workspace.
    _cores: dict[InstanceKey, Handle]  # The event handlers by instance.
    _queue: list[tuple[float, int, InstanceKey, Event]]  # A heap of events.

    def __init__(self) -> None:
        self.now_s = 0.0
        self.outcomes = []
        self.served = Counter()
        self._cores = {}
        self._queue = []
        self._order = itertools.count()
        self._offsets = itertools.count()

    def start(self, info: InstanceInfo, seed: int) -> None:
        """Start an instance's core."""
        rng = Random(seed)
        if info.role is Role.ROUTER:
            options = router.RouterOptions()
            routing = router.new_router(info, options, rng, self.now_s)
            self._cores[info.key] = partial(router.handle, routing)
        else:
            running = agent.new_agent(
                info, agent.AgentOptions(), rng, self.now_s
            )
            self._cores[info.key] = partial(agent.handle, running)
        self.schedule(0.0, info.key, ConfigChanged(CONFIG))
        if info.role is Role.ROUTER:
            # Empty streams: no crash strikes and no claimed keys.
            for stream in ("strikes", "claims"):
                self.schedule(
                    0.0, info.key, LogRead(stream, (), caught_up=True)
                )

    def connect(self, one: InstanceInfo, other: InstanceInfo) -> None:
        """Notify both instances that they are connected."""
        self.schedule(0.0, one.key, PeerUp(other))
        self.schedule(0.0, other.key, PeerUp(one))

    def schedule(self, delay_s: float, to: InstanceKey, event: Event) -> None:
        """Schedule an event for an instance after a delay."""
        at_s = self.now_s + delay_s
        heapq.heappush(self._queue, (at_s, next(self._order), to, event))

    def run(self, until_s: float) -> None:
        """Dispatch the events in order until a time."""
        while self._queue and self._queue[0][0] <= until_s:
            self.now_s, _, to, event = heapq.heappop(self._queue)
            for effect in self._cores[to](event, self.now_s):
                self._execute(to, effect)

    def _execute(self, key: InstanceKey, effect: Effect) -> None:
        """Execute an effect of a core."""
        match effect:
            case Send(peer, message):
                self.schedule(ONE_WAY_S, peer, MessageReceived(key, message))
            case WakeAt(at_s):
                self.schedule(
                    max(0.0001, at_s - self.now_s), key, TimerFired()
                )
            case StartRun(dispatch):
                self._run(key, dispatch)
            case AppendLog(stream, token, body):
                self._append(key, stream, token, body)
            case Reply(request_id, part) if part.kind is PartKind.END:
                self.outcomes.append(f"{request_id}: {part.outcome.value}")
            case FailRequest(request_id, code, outcome):
                self.outcomes.append(f"{request_id}: {code}, {outcome.value}")
            case _:
                pass  # Decisions are log entries, which this program ignores.

    def _run(self, key: InstanceKey, dispatch: Dispatch) -> None:
        """Simulate the endpoint: an answer with one body part."""
        name, attempt = dispatch.request_id, dispatch.attempt
        body = b"draft of " + dispatch.body
        self.schedule(0.0, key, RunHead(name, attempt, 200, ()))
        self.schedule(RUN_S, key, RunBody(name, attempt, body, tokens=0))
        self.schedule(
            RUN_S, key, RunEnd(name, attempt, complete=True, started=True)
        )
        self.served[dispatch.workspace] += 1

    def _append(
        self, key: InstanceKey, stream: str, token: int, body: bytes
    ) -> None:
        """Simulate the log: acknowledge, and deliver it to every router."""
        offset = next(self._offsets)
        self.schedule(ONE_WAY_S, key, LogAppended(token, offset))
        read = LogRead(stream, (LogRecord(offset, body),), caught_up=True)
        for reader in self._cores:
            if reader.instance.startswith("router"):
                self.schedule(ONE_WAY_S, reader, read)


def make_request(name: str, workspace: str) -> Request:
    """Return a request as it is after admission by a rule."""
    return Request(
        request_id=name,
        workspace=workspace,
        service=SERVICE,
        rule="all",
        request_class=RequestClass.INTERACTIVE,
        idempotent=False,
        method="POST",
        path="/",
        headers=(),
        body=name.encode(),
        stream=False,
        arrived_s=0.0,
        deadline_s=60.0,
    )


def make_instance(name: str, role: Role, zone: str) -> InstanceInfo:
    """Return the description of an instance."""
    info = InstanceInfo(
        InstanceKey(name, 1), role, "region", zone, "127.0.0.1", 0
    )
    if role is Role.ROUTER:
        return info
    return InstanceInfo(
        info.key,
        role,
        info.region,
        zone,
        info.host,
        info.port,
        SERVICE,
        f"endpoint-{name}",
    )


def run_example() -> Fleet:
    """Flood one router while a small workspace uses the other router."""
    fleet = Fleet()
    zones = ("zone-a", "zone-b")
    routers = [
        make_instance(f"router-{zone}", Role.ROUTER, zone) for zone in zones
    ]
    agents = [
        make_instance(f"agent-{zone}", Role.AGENT, zone) for zone in zones
    ]
    for seed, info in enumerate([*routers, *agents]):
        fleet.start(info, seed)
    for one in routers:
        for other in agents:
            fleet.connect(one, other)
    fleet.connect(*routers)
    for number in range(40):
        request = make_request(f"council-{number}", "council")
        fleet.schedule(0.5, routers[0].key, RequestArrived(request))
    for number in range(8):
        request = make_request(f"club-{number}", "club")
        fleet.schedule(0.51, routers[1].key, RequestArrived(request))
    fleet.run(until_s=10.0)
    return fleet


def main() -> None:
    """Run the example and print the outcomes."""
    fleet = run_example()
    for line in fleet.outcomes:
        print(line)
    print(", ".join(f"{k} {n}" for k, n in sorted(fleet.served.items())))


if __name__ == "__main__":
    main()
