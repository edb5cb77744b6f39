"""A minimal router core for tests of the agent core.

It keeps one FIFO queue per workspace, answers pulls and relays the ledger.
Requests that were in flight at a lost agent are queued again.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.measure.policies import MS_PER_S
from bulrushstream.state.effect import Effect, Reply, Send, WakeAt
from bulrushstream.state.event import (
    Event,
    MessageReceived,
    PeerDown,
    PeerLost,
    PeerUp,
    RequestArrived,
    TimerFired,
)
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.state.ledger import Ledger, with_sender
from bulrushstream.state.message import (
    Ack,
    Backlog,
    BacklogEntry,
    Digest,
    DigestEntry,
    Dispatch,
    Floor,
    Message,
    NoWork,
    Part,
    PartKind,
    Pull,
    Refuse,
    Served,
)
from bulrushstream.state.request import Request

REPORT_INTERVAL_S: Final = 0.5


@dataclass(slots=True)
class SimpleRouter:
    """State of a minimal router."""

    info: InstanceInfo
    service: str = ""
    peers: dict[InstanceKey, InstanceInfo] = field(default_factory=dict)
    queues: dict[str, deque[Request]] = field(default_factory=dict)
    dispatched: dict[str, tuple[Request, int]] = field(default_factory=dict)
    running: dict[str, InstanceKey] = field(default_factory=dict)
    ledger: Ledger = field(default_factory=Ledger)
    floors: dict[str, float] = field(default_factory=dict)
    announced: dict[str, int] = field(default_factory=dict)
    relayed_revision: int = 0
    sequence: int = 0
    next_report_s: float = 0.0

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Apply one event and return its effects, as the router core does."""
        effects = self._apply(event, now_s)
        effects += self._announce(now_s, urgent=True)
        if now_s >= self.next_report_s:
            self.next_report_s = now_s + REPORT_INTERVAL_S
            effects += self._announce(now_s, urgent=False)
            effects += self._digests()
        return [*effects, WakeAt(self.next_report_s)]

    def _apply(self, event: Event, now_s: float) -> list[Effect]:
        match event:
            case RequestArrived(request):
                queue = self.queues.setdefault(request.workspace, deque())
                queue.append(request)
            case PeerUp(info):
                self.peers[info.key] = info
                return self._on_connect(info, now_s)
            case PeerDown(key):
                self.peers.pop(key, None)
            case PeerLost(key):
                self.peers.pop(key, None)
                self.ledger.fold(key.instance, key.incarnation)
                for name in [n for n, a in self.running.items() if a == key]:
                    self._requeue(name)
            case MessageReceived(peer, message):
                return self._receive(peer, message, now_s)
            case TimerFired() | _:
                pass
        return []

    def _receive(
        self, peer: InstanceKey, message: Message, now_s: float
    ) -> list[Effect]:
        match message:
            case Pull():
                return self._serve_pull(peer, message, now_s)
            case Refuse(request_id):
                self._requeue(request_id)
            case Part():
                ack = Ack(
                    message.request_id, message.attempt, message.sequence + 1
                )
                ended = message.kind is PartKind.END
                if ended:
                    self.running.pop(message.request_id, None)
                acks: list[Effect] = [Send(peer, ack)] if ended else []
                return [Reply(message.request_id, message), *acks]
            case Served(_, sequence, entries):
                for entry in entries:
                    self.ledger.merge(with_sender(entry, peer, sequence))
            case Floor(_, workspace, floor):
                known = self.floors.get(workspace, 0.0)
                self.floors[workspace] = max(known, floor)
            case _:
                pass
        return []

    def _requeue(self, request_id: str) -> None:
        request, _ = self.dispatched[request_id]
        self.running.pop(request_id, None)
        self.queues[request.workspace].appendleft(request)

    def _serve_pull(
        self, peer: InstanceKey, pull: Pull, now_s: float
    ) -> list[Effect]:
        queue = self.queues.get(pull.workspace)
        if not queue:
            return [Send(peer, NoWork(pull.pull_id))]
        request = queue.popleft()
        _, attempt = self.dispatched.get(request.request_id, (request, 0))
        self.dispatched[request.request_id] = (request, attempt + 1)
        self.running[request.request_id] = peer
        remaining_s = request.deadline_s - now_s
        dispatch = Dispatch(
            request_id=request.request_id,
            attempt=attempt + 1,
            pull_id=pull.pull_id,
            incarnation=peer.incarnation,
            workspace=request.workspace,
            service=request.service,
            request_class=request.request_class,
            idempotent=request.idempotent,
            alone=False,
            method=request.method,
            path=request.path,
            headers=(),
            body=request.body,
            stream=True,
            timeout_ms=int(remaining_s * MS_PER_S),
            cost_hint=request.cost_hint,
        )
        return [Send(peer, dispatch)]

    def _announce(self, now_s: float, *, urgent: bool) -> list[Effect]:
        """Announce changed counts; if urgent, only those to or from zero."""
        changed = [
            name
            for name, queue in self.queues.items()
            if len(queue) != self.announced.get(name, 0)
            and (not urgent or not queue or not self.announced.get(name, 0))
        ]
        if not changed:
            return []
        for name in changed:
            self.announced[name] = len(self.queues[name])
        message = self._backlog(changed, now_s, full=False)
        return [Send(agent.key, message) for agent in self._agents()]

    def _backlog(
        self, names: list[str], now_s: float, *, full: bool
    ) -> Backlog:
        self.sequence += 1
        entries = []
        for name in names:
            queue = self.queues[name]
            age_s = now_s - queue[0].arrived_s if queue else 0.0
            age_ms = int(age_s * MS_PER_S)
            entries.append(
                BacklogEntry(self.service, name, 0, len(queue), age_ms)
            )
        return Backlog(self.sequence, full, tuple(entries))

    def _on_connect(self, info: InstanceInfo, now_s: float) -> list[Effect]:
        if info.role is Role.ROUTER:
            return self._relay_ledger(0, [info.key])
        self.service = info.service
        names = sorted(self.queues)
        backlog = self._backlog(names, now_s, full=True)
        return [Send(info.key, backlog), *self._digest_for(info.key, 0)]

    def _digests(self) -> list[Effect]:
        since, self.relayed_revision = (
            self.relayed_revision,
            self.ledger.revision,
        )
        effects: list[Effect] = []
        for agent in self._agents():
            effects += self._digest_for(agent.key, since)
        routers = [p.key for p in self.peers.values() if p.role is Role.ROUTER]
        return effects + self._relay_ledger(since, routers)

    def _digest_for(self, agent: InstanceKey, since: int) -> list[Effect]:
        entries = []
        for name in sorted(self.ledger.workspaces(since)):
            total = self.ledger.total(name, excluding=agent)
            floor = self.floors.get(name, 0.0)
            entries.append(
                DigestEntry(name, total.total, total.in_flight, floor)
            )
        if not entries:
            return []
        self.sequence += 1
        digest = Digest(self.service, self.sequence, tuple(entries))
        return [Send(agent, digest)]

    def _relay_ledger(
        self, since: int, routers: list[InstanceKey]
    ) -> list[Effect]:
        entries = tuple(self.ledger.entries(since))
        if not entries:
            return []
        self.sequence += 1
        message = Served(self.service, self.sequence, entries)
        return [Send(key, message) for key in routers]

    def _agents(self) -> list[InstanceInfo]:
        return [p for p in self.peers.values() if p.role is Role.AGENT]
