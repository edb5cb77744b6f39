"""The simulated callers of a fleet: their requests and answers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from bulrushstream.history.endpoint import fingerprint_of
from bulrushstream.history.loadtracker import LoadTracker
from bulrushstream.history.plan import PlannedCall
from bulrushstream.history.record import (
    AnswerBytes,
    AnswerEnded,
    AnswerHead,
    CallAborted,
    CallSent,
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
    """The callers of one service, by request id."""

    timeline: Timeline
    load: LoadTracker  # Counts waiting requests.
    record: Callable[[Record], None]  # Appends to the history.
    calls: dict[str, PlannedCall] = field(default_factory=dict)
    # The router of each request without a final answer.
    waiting_routers: dict[str, InstanceKey] = field(default_factory=dict)
    disconnected: set[str] = field(default_factory=set)  # Request ids.

    def record_call(self, call: PlannedCall, router: InstanceKey) -> None:
        """Record a call that a router admits.

        :param call: the request.
        :param router: the router that has the caller's connection.
        """
        now_s = self.timeline.now_s
        self.calls[call.request_id] = call
        self.waiting_routers[call.request_id] = router
        self.record(
            CallSent(
                at_s=now_s,
                request_id=call.request_id,
                router=router,
                workspace=call.workspace,
                service=self.load.service,
                idempotent=call.idempotent,
                deadline_s=now_s + call.timeout_s,
                fingerprint=fingerprint_of(call),
                idempotency_key=call.key,
            )
        )
        self.load.add_waiting(now_s, call.request_id, call.workspace)

    def receive(self, request_id: str, part: Part) -> None:
        """Record a part of an answer unless the caller disconnected.

        :param request_id: the request that the part answers.
        :param part: the part.
        """
        if request_id in self.disconnected:
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

    def receive_failure(self, effect: FailRequest) -> None:
        """Record a failed request unless the caller disconnected.

        :param effect: the failure.
        """
        request_id = effect.request_id
        if request_id in self.disconnected:
            return
        now_s = self.timeline.now_s
        self.record(Refused(now_s, request_id, effect.code, effect.outcome))
        self._finish(request_id)

    def disconnect(self, request_id: str) -> None:
        """Disconnect a caller without a final answer.

        :param request_id: the caller's request.
        """
        self.disconnected.add(request_id)
        self.record(CallAborted(self.timeline.now_s, request_id))
        self._finish(request_id)

    def disconnect_router(self, router: InstanceKey) -> None:
        """Disconnect every caller of a router that has stopped.

        :param router: the router.
        """
        for request_id, caller_router in list(self.waiting_routers.items()):
            if caller_router == router:
                self.disconnect(request_id)

    def _finish(self, request_id: str) -> None:
        """Stop counting a request as waiting."""
        self.waiting_routers.pop(request_id, None)
        self.load.remove_waiting(self.timeline.now_s, request_id)


def request_of(call: PlannedCall, service: str, now_s: float) -> Request:
    """Convert a planned call to the request that a router admits.

    :param call: the call.
    :param service: the service that runs it.
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
