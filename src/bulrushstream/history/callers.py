"""The callers of a fleet: what they send, receive and wait for."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from bulrushstream.history.census import Census
from bulrushstream.history.endpoint import fingerprint_of
from bulrushstream.history.plan import PlannedCall
from bulrushstream.history.record import (
    AnswerBytes,
    AnswerEnded,
    AnswerHead,
    Called,
    CallerGone,
    Record,
    Refused,
)
from bulrushstream.history.timeline import Timeline
from bulrushstream.state.effect import FailRequest
from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import Part, PartKind
from bulrushstream.state.request import Request


@dataclass(slots=True)
class Callers:
    """Every caller of one service, by its request."""

    timeline: Timeline  # The virtual time.
    census: Census  # Counts who waits.
    record: Callable[[Record], None]  # Writes the history.
    calls: dict[str, PlannedCall] = field(default_factory=dict)
    waiting: dict[str, InstanceKey] = field(
        default_factory=dict
    )  # The routers of those without a final answer.
    gone: set[str] = field(default_factory=set)  # Those that left.

    def send(self, call: PlannedCall, router: InstanceKey) -> None:
        """Note a call that a router admits.

        :param call: the request.
        :param router: who holds the caller's connection.
        """
        now_s = self.timeline.now_s
        self.calls[call.request_id] = call
        self.waiting[call.request_id] = router
        self.record(
            Called(
                at_s=now_s,
                request_id=call.request_id,
                router=router,
                workspace=call.workspace,
                service=self.census.service,
                idempotent=call.idempotent,
                deadline_s=now_s + call.timeout_s,
                fingerprint=fingerprint_of(call),
                idempotency_key=call.key,
            )
        )
        self.census.call(now_s, call.request_id, call.workspace)

    def receive(self, request_id: str, part: Part) -> None:
        """Take a part of an answer; nothing reaches a caller that left.

        :param request_id: whose answer.
        :param part: the part.
        """
        if request_id in self.gone:
            return
        now_s = self.timeline.now_s
        match part.kind:
            case PartKind.HEAD:
                self.record(AnswerHead(now_s, request_id, part.status))
            case PartKind.BODY:
                self.record(AnswerBytes(now_s, request_id, part.data))
            case PartKind.END:
                self.record(
                    AnswerEnded(now_s, request_id, part.whole, part.outcome)
                )
                self._finish(request_id)

    def refuse(self, effect: FailRequest) -> None:
        """Take a refusal; nothing reaches a caller that left.

        :param effect: the refusal.
        """
        request_id = effect.request_id
        if request_id in self.gone:
            return
        now_s = self.timeline.now_s
        self.record(Refused(now_s, request_id, effect.code, effect.outcome))
        self._finish(request_id)

    def leave(self, request_id: str) -> None:
        """Let a caller go without a final answer.

        :param request_id: whose caller.
        """
        self.gone.add(request_id)
        self.record(CallerGone(self.timeline.now_s, request_id))
        self._finish(request_id)

    def leave_router(self, router: InstanceKey) -> None:
        """Let every caller of a router go, as its connection broke.

        :param router: the router that ended.
        """
        for request_id, holder in list(self.waiting.items()):
            if holder == router:
                self.leave(request_id)

    def _finish(self, request_id: str) -> None:
        """Count a caller that waits no more."""
        self.waiting.pop(request_id, None)
        self.census.settle(self.timeline.now_s, request_id)


def request_of(call: PlannedCall, service: str, now_s: float) -> Request:
    """Return a planned call as a router admits it.

    :param call: the call.
    :param service: which service runs it.
    :param now_s: the time on the router's clock.
    :returns: the request.
    """
    return Request(
        request_id=call.request_id,
        workspace=call.workspace,
        service=service,
        rule="all",
        request_class=call.request_class,
        idempotent=call.idempotent,
        method="POST",
        path="/",
        headers=(),
        body=call.body or call.request_id.encode(),
        stream=True,
        arrived_s=now_s,
        deadline_s=now_s + call.timeout_s,
        idempotency_key=call.key,
        retry_limit=call.retry_limit,
        fingerprint=fingerprint_of(call),
    )
