"""Embed the cores: two routers and two agents in virtual time.

No socket is opened and no clock is read.  This program owns the time and
the network: it hands every core its events and carries out the effects
that come back.  Run it with ``python examples/embed.py``.
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
    """The cores, with the time and the network that this program owns."""

    now_s: float  # The virtual time.
    log: list[str]  # What callers were given, in order.
    served: Counter[str]  # Runs that ended, by workspace.
    _cores: dict[InstanceKey, Handle]  # The running cores.
    _due: list[tuple[float, int, InstanceKey, Event]]  # Events to come.

    def __init__(self) -> None:
        self.now_s = 0.0
        self.log = []
        self.served = Counter()
        self._cores = {}
        self._due = []
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
        self.later(0.0, info.key, ConfigChanged(CONFIG))
        if info.role is Role.ROUTER:
            # An empty stream: nothing has crashed, no key is claimed.
            for stream in ("strikes", "claims"):
                self.later(0.0, info.key, LogRead(stream, (), caught_up=True))

    def connect(self, one: InstanceInfo, other: InstanceInfo) -> None:
        """Tell both ends that they are connected."""
        self.later(0.0, one.key, PeerUp(other))
        self.later(0.0, other.key, PeerUp(one))

    def later(self, delay_s: float, to: InstanceKey, event: Event) -> None:
        """Let something happen to an instance after a while."""
        at_s = self.now_s + delay_s
        heapq.heappush(self._due, (at_s, next(self._order), to, event))

    def run(self, until_s: float) -> None:
        """Hand out the events in order until a time."""
        while self._due and self._due[0][0] <= until_s:
            self.now_s, _, to, event = heapq.heappop(self._due)
            for effect in self._cores[to](event, self.now_s):
                self._carry_out(to, effect)

    def _carry_out(self, me: InstanceKey, effect: Effect) -> None:
        """Do what a core wants done."""
        match effect:
            case Send(peer, message):
                self.later(ONE_WAY_S, peer, MessageReceived(me, message))
            case WakeAt(at_s):
                self.later(max(0.0001, at_s - self.now_s), me, TimerFired())
            case StartRun(dispatch):
                self._run(me, dispatch)
            case AppendLog(stream, token, body):
                self._append(me, stream, token, body)
            case Reply(request_id, part) if part.kind is PartKind.END:
                self.log.append(f"{request_id}: {part.outcome.value}")
            case FailRequest(request_id, code, outcome):
                self.log.append(f"{request_id}: {code}, {outcome.value}")
            case _:
                pass  # Decisions are for the log; this program keeps none.

    def _run(self, me: InstanceKey, dispatch: Dispatch) -> None:
        """Play the endpoint: an answer of one piece."""
        name, attempt = dispatch.request_id, dispatch.attempt
        body = b"draft of " + dispatch.body
        self.later(0.0, me, RunHead(name, attempt, 200, ()))
        self.later(RUN_S, me, RunBody(name, attempt, body, tokens=0))
        self.later(
            RUN_S, me, RunEnd(name, attempt, complete=True, started=True)
        )
        self.served[dispatch.workspace] += 1

    def _append(
        self, me: InstanceKey, stream: str, token: int, body: bytes
    ) -> None:
        """Play the log: acknowledge, and let every router read it."""
        offset = next(self._offsets)
        self.later(ONE_WAY_S, me, LogAppended(token, offset))
        read = LogRead(stream, (LogRecord(offset, body),), caught_up=True)
        for key in self._cores:
            if key.instance.startswith("router"):
                self.later(ONE_WAY_S, key, read)


def a_request(name: str, workspace: str) -> Request:
    """Return a request as a rule would admit it."""
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


def an_instance(name: str, role: Role, zone: str) -> InstanceInfo:
    """Return who an instance is."""
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
    """Flood one router while a small workspace uses the other."""
    fleet = Fleet()
    zones = ("zone-a", "zone-b")
    routers = [
        an_instance(f"router-{zone}", Role.ROUTER, zone) for zone in zones
    ]
    agents = [an_instance(f"agent-{zone}", Role.AGENT, zone) for zone in zones]
    for seed, info in enumerate([*routers, *agents]):
        fleet.start(info, seed)
    for one in routers:
        for other in agents:
            fleet.connect(one, other)
    fleet.connect(*routers)
    for number in range(40):
        request = a_request(f"council-{number}", "council")
        fleet.later(0.5, routers[0].key, RequestArrived(request))
    for number in range(8):
        request = a_request(f"club-{number}", "club")
        fleet.later(0.51, routers[1].key, RequestArrived(request))
    fleet.run(until_s=10.0)
    return fleet


def main() -> None:
    """Run the example and print what callers were given."""
    fleet = run_example()
    for line in fleet.log:
        print(line)
    print(", ".join(f"{k} {n}" for k, n in sorted(fleet.served.items())))


if __name__ == "__main__":
    main()
