"""Record the history of a local fleet, for the checker.

The records are taken at the fleet's boundaries: between callers and
routers, and between agents and their endpoints.
"""

from __future__ import annotations

from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing

from bulrushstream.daemon.agent import AgentInstance, Runner
from bulrushstream.daemon.port import PortEvent
from bulrushstream.daemon.router import RouterInstance
from bulrushstream.history.record import (
    AnswerBytes,
    AnswerEnded,
    AnswerHead,
    CallAborted,
    CallSent,
    EndpointCrashed,
    Record,
    Refused,
    RunBytes,
    RunEnded,
    RunStarted,
)
from bulrushstream.local.fleet import Delay, InstanceFactories
from bulrushstream.settings import AgentSettings, RouterSettings
from bulrushstream.state.effect import FailRequest, Reply
from bulrushstream.state.event import CallerDisconnected, RunBody, RunEnd
from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import Dispatch, Part, PartKind
from bulrushstream.state.request import Request
from bulrushstream.transport.endpoint import RunEvent
from bulrushstream.transport.fetch import Fetcher


class Recorder:
    """The history of one local fleet."""

    history: list[Record]  # In order of time.
    crash_marker: str  # A body with this text crashes its endpoint.
    _fingerprints: dict[str, int]  # By request id.

    def __init__(
        self, clock: Callable[[], float], crash_marker: str = ""
    ) -> None:
        """Start an empty history.

        :param clock: the monotonic time in seconds
        :param crash_marker: a body with this text crashes its endpoint
        """
        self.history = []
        self.crash_marker = crash_marker
        self._clock = clock
        self._fingerprints = {}

    def factories(self) -> InstanceFactories:
        """Return functions that make instances with recording."""
        production = InstanceFactories()

        def make_router(
            settings: RouterSettings, delay: Delay
        ) -> RouterInstance:
            router = production.make_router(settings, delay)
            key = router.info.key
            router.callers_port.on_event = lambda event: (
                self._record_port_event(key, event)
            )
            return router

        def make_agent(settings: AgentSettings, delay: Delay) -> AgentInstance:
            agent = production.make_agent(settings, delay)
            agent.runner = RecordingRunner(agent.runner, agent.info.key, self)
            return agent

        return InstanceFactories(make_router, make_agent)

    def record_start(self, dispatch: Dispatch, agent: InstanceKey) -> None:
        """Record that an endpoint was given a request."""
        now_s = self._clock()
        self.history.append(
            RunStarted(now_s, dispatch.request_id, dispatch.attempt, agent)
        )

    def record_event(
        self, dispatch: Dispatch, agent: InstanceKey, event: RunEvent
    ) -> None:
        """Record response bytes or the end of a run."""
        now_s = self._clock()
        run_id = (dispatch.request_id, dispatch.attempt, agent)
        match event:
            case RunBody():
                self.history.append(RunBytes(now_s, *run_id, event.data))
            case RunEnd():
                if event.crashed and self._is_marked(dispatch):
                    fingerprint = self._fingerprints[dispatch.request_id]
                    self.history.append(
                        EndpointCrashed(now_s, agent, fingerprint)
                    )
                self.history.append(RunEnded(now_s, *run_id, event.complete))

    def record_cancel(self, dispatch: Dispatch, agent: InstanceKey) -> None:
        """Record that a run was cancelled."""
        run_id = (dispatch.request_id, dispatch.attempt, agent)
        self.history.append(
            RunEnded(self._clock(), *run_id, complete=False, cancelled=True)
        )

    def _is_marked(self, dispatch: Dispatch) -> bool:
        """Return whether a request crashes its endpoint."""
        marker = self.crash_marker.encode()
        return bool(marker) and marker in dispatch.body

    def _record_port_event(
        self, router: InstanceKey, event: PortEvent
    ) -> None:
        """Record an event between a router and its callers."""
        now_s = self._clock()
        match event:
            case Request():
                self.history.append(self._call_record(now_s, router, event))
            case Reply(request_id, part):
                self.history += _answer_records(now_s, request_id, part)
            case FailRequest(request_id, code, outcome):
                self.history.append(Refused(now_s, request_id, code, outcome))
            case CallerDisconnected(request_id):
                self.history.append(CallAborted(now_s, request_id))

    def _call_record(
        self, now_s: float, router: InstanceKey, request: Request
    ) -> CallSent:
        """Return the record of a caller's request."""
        self._fingerprints[request.request_id] = request.fingerprint
        return CallSent(
            at_s=now_s,
            request_id=request.request_id,
            router=router,
            workspace=request.workspace,
            service=request.service,
            idempotent=request.idempotent,
            deadline_s=request.deadline_s,
            fingerprint=request.fingerprint,
            idempotency_key=request.idempotency_key,
        )


class RecordingRunner:
    """A runner that records every run."""

    def __init__(
        self, inner: Runner, agent: InstanceKey, recorder: Recorder
    ) -> None:
        """Wrap a runner.

        :param inner: the wrapped runner
        :param agent: the agent that the runner belongs to
        :param recorder: receives the records
        """
        self._inner = inner
        self._agent = agent
        self._recorder = recorder

    @property
    def client(self) -> Fetcher:
        """Return the client for reports and orders."""
        return self._inner.client

    async def run(
        self, dispatch: Dispatch, offset: int = 0
    ) -> AsyncGenerator[RunEvent, None]:
        """Run one attempt and record it; see `Runner`."""
        # Only the first event shows whether the request reached the endpoint.
        started = False
        ended = False
        try:
            async with aclosing(self._inner.run(dispatch, offset)) as events:
                async for event in events:
                    ended = isinstance(event, RunEnd)
                    reached = not isinstance(event, RunEnd) or event.started
                    if reached and not started:
                        started = True
                        self._recorder.record_start(dispatch, self._agent)
                    if started:
                        self._recorder.record_event(
                            dispatch, self._agent, event
                        )
                    yield event
        finally:
            if not ended:
                if not started:
                    self._recorder.record_start(dispatch, self._agent)
                self._recorder.record_cancel(dispatch, self._agent)

    async def close(self) -> None:
        """Close the connections."""
        await self._inner.close()


def _answer_records(now_s: float, request_id: str, part: Part) -> list[Record]:
    """Return the records of one part of an answer."""
    match part.kind:
        case PartKind.HEAD:
            return [AnswerHead(now_s, request_id, part.status)]
        case PartKind.BODY:
            return [AnswerBytes(now_s, request_id, part.data)]
        case PartKind.END:
            return [AnswerEnded(now_s, request_id, part.whole, part.outcome)]
