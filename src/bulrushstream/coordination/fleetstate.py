"""What one router knows of endpoints, engines and the other routers.

The state changes by what the platform's list says, by what the router sends
itself, and by what the other routers tell of theirs.  It reads no clock and
opens no socket; whatever the others should hear goes to a `Teller`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, Protocol

from bulrushstream.coordination.crashevidence import CrashEvidence
from bulrushstream.coordination.endpointpool import Endpoint, EndpointPool
from bulrushstream.coordination.engineview import (
    DEFAULT_READ_TOKENS_PER_S,
)
from bulrushstream.coordination.fairshare import FairShares
from bulrushstream.coordination.fleetview import FleetView
from bulrushstream.coordination.quarantine import (
    Quarantine,
    QuarantineOptions,
)
from bulrushstream.state.call import Prompt, PromptPart
from bulrushstream.state.effect import Decision
from bulrushstream.state.peerupdate import (
    CrashSuspect,
    FirstEvent,
    PeerUpdate,
    RequestPlaced,
)

# A call's number holds the router in its upper bits.
NUMBER_BITS: Final = 24

# A request that a peer told of is forgotten after this, if its end is not
# told; longer than any route's requests usually run.
PEER_CALL_S: Final = 20.0

# How much one observation of an engine's reading moves the estimate.
RATE_GAIN: Final = 0.05
MAX_STEP: Final = 2.0
MIN_RATE: Final = 2_000.0
MAX_RATE: Final = 500_000.0


class Teller(Protocol):
    """Who tells the other routers."""

    def placed(self, placed: RequestPlaced) -> None:
        """Tell that a request was sent."""

    def started(self, started: FirstEvent) -> None:
        """Tell that a request's first event came."""

    def ended(self, call: int) -> None:
        """Tell that a request ended."""

    def asked(self, workspace: str, asked: int, granted: int) -> None:
        """Tell what a workspace asked for and was granted, in tokens."""

    def struck(self, struck: CrashSuspect) -> None:
        """Tell that a request was in flight at a crash."""


# How often the state is swept, and the gap from which on the process is
# taken to have stood still.
SWEEP_S: Final = 0.25
STALL_S: Final = 3 * SWEEP_S


@dataclass(frozen=True, slots=True)
class _PeerCall:
    """A request that a peer told of."""

    endpoint: str  # Where it was sent.
    since_s: float  # When that was told.


@dataclass(slots=True)
class FleetState:
    """The state of one router that others contribute to."""

    peers: FleetView  # The other routers.
    shares: FairShares  # What workspaces asked for and had.
    number_base: int  # The router's part of a call's number.
    observe: Callable[[Decision], None]  # Takes each change of belief.
    tell: Teller | None = None  # None: nobody listens yet.
    pool: EndpointPool = field(default_factory=EndpointPool)
    rate: float = DEFAULT_READ_TOKENS_PER_S  # A usual engine's reading.
    quarantine: Quarantine = field(
        default_factory=lambda: Quarantine(QuarantineOptions())
    )
    _crashes: CrashEvidence = field(default_factory=CrashEvidence)
    _number: int = 0  # Attempts so far.
    _swept_s: float = float("inf")  # The last sweep; inf: none yet.
    _resumed_s: float = float("-inf")  # When it last stood still until.
    _peer_calls: dict[int, _PeerCall] = field(default_factory=dict)

    def ask(self, workspace: str, tokens: int, now_s: float) -> float:
        """Count what a request asks for.

        :param workspace: whose request it is
        :param tokens: what it counts
        :param now_s: the time
        :returns: how much of the workspace's share is used with it
        """
        used = self.shares.used(workspace, tokens, now_s)
        self.shares.ask(workspace, tokens, now_s)
        if self.tell is not None:
            self.tell.asked(workspace, tokens, 0)
        return used

    def place(
        self,
        endpoint: Endpoint,
        prompt: Prompt | None,
        workspace: str,
        now_s: float,
        ends_s: float,
    ) -> int:
        """Note an attempt and tell the others.

        :param endpoint: where it goes
        :param prompt: its prompt; None: no request for a model
        :param workspace: whose request it is; empty: nobody's
        :param now_s: the time
        :param ends_s: when it is forgotten at the latest
        :returns: the attempt's number, unique in the fleet
        """
        self._number += 1
        number = self.number_base + self._number
        endpoint.outstanding += 1
        if endpoint.view is not None and prompt is not None:
            endpoint.view.place(number, prompt, self.rate, now_s, ends_s)
            if workspace:
                tokens = prompt.quota_tokens
                self.shares.grant(workspace, tokens, now_s)
                if self.tell is not None:
                    self.tell.asked(workspace, 0, tokens)
        if self.tell is not None:
            self.tell.placed(_placed(number, endpoint.name, prompt))
        return number

    def first_event(
        self, endpoint: Endpoint, number: int, now_s: float
    ) -> None:
        """Note an event of a stream; only an attempt's first one counts.

        :param endpoint: where it comes from
        :param number: the attempt
        :param now_s: the time
        """
        view = endpoint.view
        if view is None or number not in view.pending:
            return
        sent_s = view.pending[number].sent_s
        observed = view.start(number, now_s)
        if observed is None or not self._was_awake(sent_s, now_s):
            observed = 0.0
        self._learn(endpoint, int(observed), now_s)
        if self.tell is not None:
            self.tell.started(FirstEvent(number, int(observed)))

    def ended(self, endpoint: Endpoint, number: int) -> None:
        """Note that an attempt ended.

        :param endpoint: where it went
        :param number: the attempt
        """
        _end(endpoint, number)
        if self.tell is not None:
            self.tell.ended(number)

    def broke_off(
        self, endpoint: Endpoint, fingerprint: int, now_s: float
    ) -> None:
        """Note a request whose connection ended without an answer.

        :param endpoint: where it ran
        :param fingerprint: the request's digest
        :param now_s: the time
        """
        self._crashes.broke_off(endpoint.name, fingerprint, now_s)

    def crashed(self, endpoint: Endpoint, now_s: float) -> None:
        """Note that nothing listens at an endpoint's address.

        :param endpoint: which one
        :param now_s: the time
        """
        for fingerprint in self._crashes.refused(endpoint.name, now_s):
            struck = CrashSuspect(fingerprint, endpoint.name)
            self._strike(struck, now_s)
            if self.tell is not None:
                self.tell.struck(struck)

    def take_update(self, update: PeerUpdate, now_s: float) -> None:
        """Take what another router tells.

        :param update: what happened there
        :param now_s: the time
        """
        self._forget_calls(self.peers.hear(update, now_s))
        peer = self.peers.peers.get(update.instance)
        if peer is None or peer.incarnation != update.incarnation:
            return
        for placed in update.placements:
            self._take_placed(placed, now_s)
            peer.calls.add(placed.call_id)
        for started in update.first_events:
            endpoint = self._endpoint_of(started.call_id)
            if endpoint is not None and endpoint.view is not None:
                endpoint.view.start(started.call_id, now_s)
                self._learn(endpoint, started.prefill_tokens_per_s, now_s)
        for number in update.ended_calls:
            self._end_peer_call(number)
            peer.calls.discard(number)
        for struck in update.crash_suspects:
            self._strike(struck, now_s)
        for asked in update.demands:
            if asked.requested_tokens:
                self.shares.ask(asked.workspace, asked.requested_tokens, now_s)
            if asked.granted_tokens:
                self.shares.grant(asked.workspace, asked.granted_tokens, now_s)
        if update.leaving:
            self._forget_calls(set(peer.calls))

    def sweep(self, now_s: float) -> None:
        """Forget routers that fell silent, and requests without an end.

        It is called every `SWEEP_S`, so a longer gap means that the process
        stood still.

        :param now_s: the time
        """
        if now_s - self._swept_s > STALL_S:
            self._resumed_s = now_s
        self._swept_s = now_s
        self._forget_calls(self.peers.sweep(now_s))
        old = []
        for number, known in self._peer_calls.items():
            if now_s - known.since_s <= PEER_CALL_S:
                break
            old.append(number)
        for number in old:
            self._end_peer_call(number)
            for peer in self.peers.peers.values():
                peer.calls.discard(number)

    def _was_awake(self, since_s: float, now_s: float) -> bool:
        """Return whether the process has run all the while."""
        return since_s >= self._resumed_s and now_s - self._swept_s <= STALL_S

    def _learn(self, endpoint: Endpoint, observed: int, now_s: float) -> None:
        """Take an observed rate of reading into the estimates."""
        if endpoint.view is None or not observed:
            return
        endpoint.view.learn(observed, self.rate, now_s)
        # What is far off tells of one engine, or of a clock that stood.
        near = min(self.rate * MAX_STEP, max(self.rate / MAX_STEP, observed))
        rate = self.rate + RATE_GAIN * (near - self.rate)
        self.rate = min(MAX_RATE, max(MIN_RATE, rate))

    def _strike(self, struck: CrashSuspect, now_s: float) -> None:
        """Count a crash against a request."""
        new = self.quarantine.strike(
            struck.fingerprint, struck.endpoint, False, now_s
        )
        if new:
            self.observe(
                Decision(
                    "strike",
                    "in flight when the endpoint crashed",
                    endpoint=struck.endpoint,
                    inputs={"fingerprint": struck.fingerprint},
                )
            )

    def _take_placed(self, placed: RequestPlaced, now_s: float) -> None:
        """Note a request that a peer sent to an endpoint."""
        endpoint = self.pool.by_name.get(placed.endpoint)
        if endpoint is None:
            return
        self._peer_calls[placed.call_id] = _PeerCall(placed.endpoint, now_s)
        endpoint.outstanding += 1
        if endpoint.view is not None and placed.input_tokens:
            parts = zip(placed.part_ids, placed.part_tokens, strict=False)
            prompt = Prompt(
                model="",
                parts=tuple(PromptPart(part, size) for part, size in parts),
                input_tokens=placed.input_tokens,
                output_limit=placed.output_tokens,
            )
            endpoint.view.place(
                placed.call_id, prompt, self.rate, now_s, now_s + PEER_CALL_S
            )

    def _endpoint_of(self, number: int) -> Endpoint | None:
        """Return where a peer's request is."""
        known = self._peer_calls.get(number)
        return self.pool.by_name.get(known.endpoint) if known else None

    def _end_peer_call(self, number: int) -> None:
        """Note that a peer's request ended."""
        endpoint = self._endpoint_of(number)
        self._peer_calls.pop(number, None)
        if endpoint is not None:
            _end(endpoint, number)

    def _forget_calls(self, numbers: set[int]) -> None:
        """Forget requests whose router is gone."""
        for number in numbers:
            self._end_peer_call(number)


def _end(endpoint: Endpoint, number: int) -> None:
    """Take an attempt out of what an endpoint has."""
    endpoint.outstanding = max(0, endpoint.outstanding - 1)
    if endpoint.view is not None:
        endpoint.view.end(number)


def _placed(
    number: int, endpoint: str, prompt: Prompt | None
) -> RequestPlaced:
    """Return what peers are told of an attempt."""
    if prompt is None:
        return RequestPlaced(number, endpoint)
    return RequestPlaced(
        number,
        endpoint,
        tuple(part.part_id for part in prompt.parts),
        tuple(part.tokens for part in prompt.parts),
        prompt.input_tokens,
        prompt.output_hint or prompt.output_limit,
    )
