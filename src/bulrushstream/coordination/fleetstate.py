"""The state of endpoints, engines and peers as one router sees it.

Three sources change the state: the platform's list of endpoints, the
requests that this router sends, and the updates of the other routers.
This module reads no clock and opens no socket; changes that the other
routers need are passed to a `PeerNotifier`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from itertools import zip_longest
from typing import Final

from bulrushstream.coordination.coldstarts import ColdStarts
from bulrushstream.coordination.crashrecords import CrashRecords
from bulrushstream.coordination.crashsuspects import CrashSuspects
from bulrushstream.coordination.endpointlimits import EndpointLimits
from bulrushstream.coordination.endpointnotices import EndpointNotices
from bulrushstream.coordination.endpointpool import Endpoint, EndpointPool
from bulrushstream.coordination.endpointspeed import EndpointSpeeds
from bulrushstream.coordination.engineview import (
    DEFAULT_PREFILL_TOKENS_PER_S,
    EngineView,
)
from bulrushstream.coordination.evacuations import Evacuations
from bulrushstream.coordination.fairshare import FairShares
from bulrushstream.coordination.fleetview import PEER_TIMEOUT_S, FleetView
from bulrushstream.coordination.partsuspects import PartSuspects
from bulrushstream.coordination.peernotifier import PeerNotifier
from bulrushstream.coordination.peerusage import PeerUsage, UsageChange
from bulrushstream.coordination.promptmix import PromptMixes
from bulrushstream.coordination.returns import ReturnPromises
from bulrushstream.coordination.routerpresence import SILENT_S
from bulrushstream.coordination.streamversions import (
    StreamVersions,
)
from bulrushstream.coordination.usagecounter import UsageCounter, add_tokens
from bulrushstream.state.call import Prompt, PromptPart
from bulrushstream.state.peerupdate import (
    EndpointLimit,
    FirstEvent,
    PeerUpdate,
    RepeatedReports,
    RequestPlaced,
)
from bulrushstream.state.routes import EndpointEntry
from bulrushstream.state.usage import ShareReport

# The upper bits of a call's number identify the router, the lower ones
# count its attempts; this is the number of lower bits.
CALL_NUMBER_BITS: Final = 24

# A peer's request is dropped after this time if its end is not reported;
# longer than the requests of any route usually run.
PEER_CALL_TIMEOUT_S: Final = 20.0

# How long the usage at silent peers is extrapolated if no peer is heard.
CUT_OFF_TIMEOUT_S: Final = 10.0

# The weight of one observed prefill rate in the moving average, the largest
# factor by which an observation counts as different from the average, and
# the bounds of the average in tokens per second.
RATE_GAIN: Final = 0.05
MAX_RATE_RATIO: Final = 2.0
MIN_PREFILL_RATE: Final = 2_000.0
MAX_PREFILL_RATE: Final = 500_000.0

# The weight of one request in the average prefill time of a quota token, the
# lower bound of the average in seconds, and the tokens that it starts with.
PREFILL_COST_GAIN: Final = 0.01
MIN_PREFILL_COST_S: Final = 1e-6
INITIAL_QUOTA_TOKENS: Final = 2_000.0

# Peers learn of an answer of each plain endpoint at most once in this time, so
# that the cost of updates does not grow with the rate of answers.
PLAIN_REPORT_INTERVAL_S: Final = 0.1

# The longest interval that is reported, in milliseconds.
MAX_INTERVAL_MS: Final = 2**31 - 1

# The interval between sweeps.
SWEEP_INTERVAL_S: Final = 0.25


@dataclass(frozen=True, slots=True)
class _PeerCall:
    """A request that a peer sent to an endpoint."""

    endpoint: Endpoint
    received_s: float  # When the peer's report arrived.
    requests: int  # Those in flight there then, itself included.


@dataclass(frozen=True, slots=True)
class _Grant:
    """What an attempt of this router added to its workspace's grants."""

    workspace: str
    tokens: int


@dataclass(slots=True)
class _KnownUsage:
    """What is known of the usage at a peer."""

    incarnation: int
    heard_s: float  # When the last update arrived.
    usage: PeerUsage


@dataclass(slots=True)
class FleetState:
    """The fleet's state at one router, from its own and its peers' calls."""

    peers: FleetView
    shares: FairShares
    number_base: int  # The upper bits of this router's call numbers.
    suspects: CrashSuspects  # Requests that may crash endpoints.
    parts: PartSuspects  # Parts of prompts that may.
    limits: EndpointLimits
    streams: StreamVersions
    notices: EndpointNotices
    crash_records: CrashRecords
    notifier: PeerNotifier | None = None  # None: not connected to peers.
    cold: ColdStarts = field(default_factory=ColdStarts)
    pool: EndpointPool = field(init=False)
    evacuations: Evacuations = field(default_factory=Evacuations)
    speeds: EndpointSpeeds = field(init=False)
    # Average over all engines, in tokens per second.
    prefill_rate: float = DEFAULT_PREFILL_TOKENS_PER_S
    # Average time of an engine's prefill for one quota token, in seconds.
    prefill_cost_s: float = 1.0 / DEFAULT_PREFILL_TOKENS_PER_S
    usage: UsageCounter = field(default_factory=UsageCounter)
    prompt_mixes: PromptMixes = field(default_factory=PromptMixes)
    returns: ReturnPromises = field(default_factory=ReturnPromises)
    # Moving averages over placed requests.
    _prefill_s: float = INITIAL_QUOTA_TOKENS / DEFAULT_PREFILL_TOKENS_PER_S
    _quota_tokens: float = INITIAL_QUOTA_TOKENS
    _number: int = 0  # Attempts so far.
    _peer_calls: dict[int, _PeerCall] = field(default_factory=dict)
    _grants: dict[int, _Grant] = field(default_factory=dict)  # Own attempts.
    # Own attempts at plain endpoints: requests in flight there, as above.
    _plain_requests: dict[int, int] = field(default_factory=dict)
    _peer_usage: dict[str, _KnownUsage] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.pool = EndpointPool(self.notices)
        self.speeds = EndpointSpeeds(self.notices.observe)
        self.limits.is_listed = self.pool.may_be_listed
        self.pool.evacuated = self.evacuations.active
        self.cold.service_of = self.pool.service_of
        self.cold.on_cold = self.pool.forget_history

    def set_notifier(self, notifier: PeerNotifier) -> None:
        """Report changes to the other routers from now on.

        :param notifier: reports them
        """
        self.notifier = notifier
        self.suspects.notifier = notifier
        self.parts.reports.notifier = notifier
        self.limits.report = lambda limit: notifier.report_limit(
            self._add_start(limit)
        )
        self.notices.report_leaving = notifier.report_leaving
        self.cold.report = notifier.report_cold
        self.streams.set_notifier(notifier)
        self.evacuations.report = notifier.report_evacuations
        self.returns.report = notifier.report_promise
        self.returns.report_returned = notifier.report_returned

    def repeated_reports(self, now_s: float) -> RepeatedReports:
        """Return what the next heartbeat repeats to the peers.

        :param now_s: the time
        """
        return RepeatedReports(
            self.suspects.strikes_to_repeat(now_s),
            self.parts.reports.strikes_to_repeat(now_s),
            self.parts.reports.proofs_to_repeat(now_s),
            tuple(map(self._add_start, self.limits.limits_to_repeat(now_s))),
            self.streams.history.listed_with_several(),
            self.notices.to_repeat(now_s),
            self.evacuations.to_repeat(self.evacuations.clock()),
            self.cold.to_repeat(now_s),
            self.streams.history.list_age_s(),
            self.streams.history.lately_mixed(),
        )

    def zone_reopened(self, zone: str, now_s: float) -> None:
        """Handle a zone that is back in service after an evacuation.

        :param zone: the zone's name
        :param now_s: the time
        """
        entries = [each.entry for each in self.pool.by_name.values()]
        self.cold.zone_reopened(
            [each for each in entries if each.availability_zone == zone], now_s
        )

    def add_demand(self, workspace: str, tokens: int, now_s: float) -> float:
        """Count a request's demand and report it to the peers.

        :param workspace: the request's workspace
        :param tokens: the request's quota tokens
        :param now_s: the time
        :returns: the used part of the workspace's share, this request
            included
        """
        used = self.shares.used_share(workspace, tokens, now_s)
        self.shares.add_demand(workspace, tokens, now_s)
        add_tokens(self.usage.requested, workspace, tokens)
        if self.notifier is not None:
            self.notifier.report_usage(workspace, tokens, 0)
        return used

    def place(
        self,
        endpoint: Endpoint,
        prompt: Prompt | None,
        workspace: str,
        now_s: float,
        expires_s: float,
    ) -> int:
        """Record an attempt and report it to the peers.

        :param endpoint: the endpoint that it is sent to
        :param prompt: its prompt; None: not a request for a model
        :param workspace: the request's workspace; empty: none
        :param now_s: the time
        :param expires_s: when it is dropped if no end was recorded
        :returns: the attempt's number, unique in the fleet
        """
        self._number += 1
        number = self.number_base + self._number
        endpoint.outstanding += 1
        if endpoint.speed.uneven:
            endpoint.speed.placed(now_s)
        self.limits.placed(endpoint.name, now_s)
        self.cold.placed(endpoint.name, number, now_s)
        if endpoint.view is not None and prompt is not None:
            self._place_in_view(
                endpoint.view, number, prompt, now_s, expires_s
            )
            self.prompt_mixes.placed(
                endpoint, number, self.prefill_rate, now_s
            )
            if workspace:
                tokens = prompt.quota_tokens
                self.shares.add_grant(workspace, tokens, now_s)
                add_tokens(self.usage.granted, workspace, tokens)
                self._grants[number] = _Grant(workspace, tokens)
                if self.notifier is not None:
                    self.notifier.report_usage(workspace, 0, tokens)
        if endpoint.view is None:
            self._plain_requests[number] = endpoint.outstanding
        if self.notifier is not None:
            self.notifier.report_placed(
                _describe_placement(number, endpoint.entry, prompt)
            )
        return number

    def must_yield(
        self,
        workspace: str,
        prompt: Prompt,
        spare_engines: float,
        now_s: float,
    ) -> bool:
        """Return whether a request must leave an engine to others.

        :param workspace: the request's workspace
        :param prompt: the request's prompt
        :param spare_engines: how many engines have nothing to do, less those
            that are left idle for bursts
        :param now_s: the time
        """
        spare = self.spare_tokens_per_s(spare_engines)
        return self.shares.must_yield(
            workspace, prompt.quota_tokens, now_s, spare
        )

    def spare_tokens_per_s(self, spare_engines: float) -> float:
        """Return what idle engines can do beside one more request.

        :param spare_engines: how many have nothing to do, less those that are
            left idle for bursts
        :returns: quota tokens per second
        """
        # One of them takes this request.
        return max(0.0, spare_engines - 1.0) / self.prefill_cost_s

    def first_event(
        self, endpoint: Endpoint, number: int, now_s: float
    ) -> None:
        """Record an event of a stream; only an attempt's first one counts.

        :param endpoint: the endpoint that sent the event
        :param number: the attempt's number
        :param now_s: the time
        """
        view = endpoint.view
        if view is None:
            return
        if number not in view.pending:
            late = view.unconfirmed.get(number)
            if late is not None:
                timed = self._ran_without_stall(late.sent_s, now_s)
                view.start(number, now_s, now_s if timed else None)
            return
        sent_s = view.pending[number].sent_s
        timed = self._ran_without_stall(sent_s, now_s)
        observed = view.start(number, now_s, now_s if timed else None)
        if observed is None or not timed:
            observed = 0.0
        self._observe_prefill_rate(endpoint, int(observed), now_s)
        if self.notifier is not None:
            self.notifier.report_started(
                FirstEvent(
                    number,
                    int(observed),
                    _to_ms(now_s - sent_s) if timed else 0,
                    view.speed.told_percent(sent_s),
                )
            )

    def answered(
        self, endpoint: Endpoint, number: int, sent_s: float, now_s: float
    ) -> None:
        """Record the answer of a plain endpoint, which processed a request.

        :param endpoint: the endpoint
        :param number: the attempt's number
        :param sent_s: when the request was sent
        :param now_s: the time
        """
        requests = self._plain_requests.pop(number, 0)
        if not requests or not self._ran_without_stall(sent_s, now_s):
            return
        speed = endpoint.plain_speed
        took_s = now_s - sent_s
        speed.answered(took_s, requests, endpoint.entry.slots, now_s, "")
        if (
            self.notifier is not None
            and now_s - speed.reported_s >= PLAIN_REPORT_INTERVAL_S
        ):
            speed.reported_s = now_s
            told = speed.told_percent(sent_s)
            self.notifier.report_started(
                FirstEvent(number, 0, _to_ms(took_s), told)
            )

    def withdraw_grant(self, number: int, now_s: float) -> None:
        """Take back the grant of an attempt that no engine worked on.

        :param number: the attempt's number
        :param now_s: the time
        """
        grant = self._grants.pop(number, None)
        if grant is None:
            return
        self.shares.add_grant(grant.workspace, -grant.tokens, now_s)
        add_tokens(self.usage.not_run, grant.workspace, grant.tokens)
        if self.notifier is not None:
            self.notifier.report_usage(grant.workspace, 0, -grant.tokens)

    def ended(self, endpoint: Endpoint, number: int) -> None:
        """Record the end of an attempt and report it to the peers.

        :param endpoint: the endpoint that it was sent to
        :param number: the attempt's number
        """
        self._grants.pop(number, None)
        self._plain_requests.pop(number, None)
        self.cold.ended(endpoint.name, number)
        _release(endpoint, number)
        if self.notifier is not None:
            self.notifier.report_ended(number)

    def apply_update(self, update: PeerUpdate, now_s: float) -> None:
        """Apply an update of another router.

        :param update: the update
        :param now_s: the time
        """
        known = self.peers.peers.get(update.instance)
        self._end_peer_calls(self.peers.receive(update, now_s))
        peer = self.peers.peers.get(update.instance)
        if peer is None or peer.incarnation != update.incarnation:
            return
        self.limits.presence.heard(
            update.instance, now_s, leaving=update.leaving
        )
        self.cold.bounds.roster.heard(
            update.host, now_s, leaving=update.leaving
        )
        # Before the placements, which are then counted.
        self.cold.apply_update(update, now_s)
        if peer is not known:
            self.suspects.peer_appeared(now_s)
            self.parts.reports.peer_appeared(now_s)
        for placed in update.placements:
            self._place_peer_call(placed, now_s)
            peer.calls.add(placed.call_id)
        for started in update.first_events:
            peer_call = self._peer_calls.get(started.call_id)
            if peer_call is not None:
                self._peer_call_started(
                    peer_call, started, update.instance, now_s
                )
        for number in update.ended_calls:
            self._end_peer_call(number)
            peer.calls.discard(number)
        self.suspects.apply_update(update, now_s)
        self.parts.apply_update(update, now_s)
        self.limits.apply_update(update, now_s)
        self.streams.apply_update(update, now_s)
        self.evacuations.apply_update(update)
        self.returns.apply_update(update, now_s)
        self._apply_leaving(update, now_s)
        self._count_peer_usage(update, now_s)
        if update.leaving:
            self._end_peer_calls(set(peer.calls))

    def report_shares(self, now_s: float) -> ShareReport:
        """Return the shares and their use here since the last report.

        :param now_s: the time
        """
        shares = self.shares
        peers = self.peers.peers.values()
        oldest = min(peers, key=lambda peer: peer.last_heard_s, default=None)
        return ShareReport(
            usage=self.usage.take(),
            window_s=shares.window_s,
            throughput_tokens_per_s=(
                sum(shares.granted.values()) / shares.window_s
            ),
            level_tokens=shares.level,
            demand_tokens=dict(shares.demand),
            granted_tokens=dict(shares.granted),
            peers=len(self.peers.peers),
            oldest_peer=oldest.instance if oldest is not None else "",
            oldest_peer_age_s=(
                now_s - oldest.last_heard_s if oldest is not None else 0.0
            ),
        )

    def sweep(self, now_s: float) -> None:
        """Drop peers that timed out, and requests that expired.

        This is called every `SWEEP_INTERVAL_S`.

        :param now_s: the time
        """
        self._end_peer_calls(self.peers.sweep(now_s))
        self.parts.set_explained(self.suspects.explained_crashes(now_s))
        self.parts.sweep(now_s)
        self.limits.presence.sweep(now_s)
        self.limits.sweep(now_s)
        self.cold.sweep(now_s)
        self.notices.sweep(now_s)
        self.prompt_mixes.sweep(self.pool, now_s)
        self.returns.sweep(now_s)
        self._extrapolate_peer_usage(now_s)
        for endpoint in self.pool.by_name.values():
            if endpoint.view is not None:
                endpoint.view.expire(now_s)
        self._compare_speeds(now_s)
        expired = []
        for number, peer_call in self._peer_calls.items():
            if now_s - peer_call.received_s <= PEER_CALL_TIMEOUT_S:
                break
            expired.append(number)
        for number in expired:
            self._end_peer_call(number)
            for peer in self.peers.peers.values():
                peer.calls.discard(number)

    def _compare_speeds(self, now_s: float) -> None:
        """Compare the speeds of the endpoints of each service."""
        for service, endpoints in self.pool.by_service.items():
            speeds = {name: each.speed for name, each in endpoints.items()}
            for name in self.speeds.compare(service, speeds, now_s):
                view = endpoints[name].view
                if view is not None:
                    view.lasting_changed(now_s)

    def _peer_call_started(
        self,
        peer_call: _PeerCall,
        started: FirstEvent,
        reporter: str,
        now_s: float,
    ) -> None:
        """Record the first event, or the answer, of a peer's request."""
        endpoint = peer_call.endpoint
        sent_s, took_s = peer_call.received_s, started.took_ms / 1000
        if started.work_percent:
            endpoint.speed.told(started.work_percent / 100, now_s, here=False)
        # The peer's own figure holds also if its update is late.
        timed = took_s > 0.0 and self._ran_without_stall(sent_s, now_s)
        view = endpoint.view
        if view is not None:
            event_s = min(now_s, sent_s + took_s) if timed else None
            view.start(started.call_id, now_s, event_s, reporter)
            self._observe_prefill_rate(
                endpoint, started.prefill_tokens_per_s, now_s
            )
        elif timed:
            endpoint.plain_speed.answered(
                took_s,
                peer_call.requests,
                endpoint.entry.slots,
                now_s,
                reporter,
            )

    def _count_peer_usage(self, update: PeerUpdate, now_s: float) -> None:
        """Count the demand and the grants at a peer."""
        known = self._peer_usage.get(update.instance)
        if known is None or known.incarnation != update.incarnation:
            if self.notifier is not None:
                self.notifier.repeat_usage()
            known = _KnownUsage(update.incarnation, now_s, PeerUsage(now_s))
            self._peer_usage[update.instance] = known
        known.heard_s = now_s
        self._count_usage(known.usage.receive(update.totals, now_s), now_s)

    def _extrapolate_peer_usage(self, now_s: float) -> None:
        """Assume that callers of peers that are not heard go on as before.

        A peer that alone is not heard is lost, and its callers turn to
        other routers.  If no peer is heard, this router is cut off.
        """
        newest_s = max(
            (known.heard_s for known in self._peer_usage.values()),
            default=now_s,
        )
        silent = 0
        limit_s = PEER_TIMEOUT_S
        if now_s - newest_s > SILENT_S:
            limit_s = CUT_OFF_TIMEOUT_S
        for instance, known in list(self._peer_usage.items()):
            silent_s = now_s - known.heard_s
            if silent_s > limit_s:
                del self._peer_usage[instance]
            elif silent_s > SILENT_S:
                self._count_usage(known.usage.extrapolate(now_s), now_s)
                silent += 1
        self.shares.stale = silent > len(self._peer_usage) / 2

    def _count_usage(
        self, changes: Iterable[UsageChange], now_s: float
    ) -> None:
        """Add changes of a peer's usage to the shares."""
        for change in changes:
            name, since_s = change.workspace, change.since_s
            if change.requested_tokens:
                self.shares.add_demand(
                    name, change.requested_tokens, now_s, since_s
                )
            if change.granted_tokens:
                self.shares.add_grant(
                    name, change.granted_tokens, now_s, since_s
                )

    def _ran_without_stall(self, since_s: float, now_s: float) -> bool:
        """Return whether the process has not stalled since a time."""
        return since_s >= self.peers.wakefulness.awake_since_s(now_s)

    def _observe_prefill_rate(
        self, endpoint: Endpoint, observed: int, now_s: float
    ) -> None:
        """Update the estimates with an observed prefill rate; 0: none."""
        if endpoint.view is None or not observed:
            return
        endpoint.view.observe_rate(observed, self.prefill_rate, now_s)
        speed = endpoint.view.speed
        # The average is that of engines without a difference.
        usual = observed * speed.factor(now_s) if speed.uneven else observed
        # An outlier comes from one engine or from a stalled clock, so its
        # effect on the average over all engines is limited.
        clamped = min(
            self.prefill_rate * MAX_RATE_RATIO,
            max(self.prefill_rate / MAX_RATE_RATIO, usual),
        )
        rate = self.prefill_rate + RATE_GAIN * (clamped - self.prefill_rate)
        self.prefill_rate = min(MAX_PREFILL_RATE, max(MIN_PREFILL_RATE, rate))

    def _place_in_view(
        self,
        view: EngineView,
        number: int,
        prompt: Prompt,
        now_s: float,
        expires_s: float,
    ) -> None:
        """Record a request in the view of its engine."""
        prefill_s = view.place(
            number, prompt, self.prefill_rate, now_s, expires_s
        )
        self._prefill_s += PREFILL_COST_GAIN * (prefill_s - self._prefill_s)
        self._quota_tokens += PREFILL_COST_GAIN * (
            prompt.quota_tokens - self._quota_tokens
        )
        self.prefill_cost_s = max(
            MIN_PREFILL_COST_S, self._prefill_s / max(1.0, self._quota_tokens)
        )

    def _apply_leaving(self, update: PeerUpdate, now_s: float) -> None:
        """Record the endpoints of which a peer tells that they leave.

        A report about another process than the listed one is too late, or
        too early: then it is repeated.
        """
        pairs = zip_longest(
            update.leaving_endpoints,
            update.leaving_starts[: len(update.leaving_endpoints)],
            fillvalue="",
        )
        for name, born in pairs:
            if self.pool.may_be_listed(name, born):
                endpoint = self.pool.by_name.get(name)
                entry = endpoint.entry if endpoint is not None else None
                self.notices.leaves(name, entry, now_s, update.instance, born)

    def _add_start(self, limit: EndpointLimit) -> EndpointLimit:
        """Return a limit with the start of its endpoint's process."""
        endpoint = self.pool.by_name.get(limit.endpoint)
        if endpoint is None or not endpoint.entry.born:
            return limit
        return replace(limit, born=endpoint.entry.born)

    def _place_peer_call(self, placed: RequestPlaced, now_s: float) -> None:
        """Record a request that a peer sent to an endpoint."""
        endpoint = self.pool.by_name.get(placed.endpoint)
        if endpoint is None:
            return
        if not self.pool.may_be_listed(placed.endpoint, placed.born):
            return
        endpoint.outstanding += 1
        if endpoint.speed.uneven:
            endpoint.speed.placed(now_s)
        self._peer_calls[placed.call_id] = _PeerCall(
            endpoint, now_s, endpoint.outstanding
        )
        self.parts.placed(endpoint.name, placed.part_ids[:-1], now_s)
        self.limits.placed(endpoint.name, now_s, elsewhere=True)
        self.cold.placed(endpoint.name, placed.call_id, now_s, elsewhere=True)
        if endpoint.view is not None and placed.input_tokens:
            parts = zip(placed.part_ids, placed.part_tokens, strict=False)
            prompt = Prompt(
                model="",
                parts=tuple(PromptPart(part, size) for part, size in parts),
                input_tokens=placed.input_tokens,
                output_limit=placed.output_tokens,
            )
            self._place_in_view(
                endpoint.view,
                placed.call_id,
                prompt,
                now_s,
                now_s + PEER_CALL_TIMEOUT_S,
            )
            self.prompt_mixes.placed(
                endpoint, placed.call_id, self.prefill_rate, now_s
            )

    def _peer_call_endpoint(self, number: int) -> Endpoint | None:
        """Return the endpoint of a peer's request, if it is known."""
        peer_call = self._peer_calls.get(number)
        return peer_call.endpoint if peer_call else None

    def _end_peer_call(self, number: int) -> None:
        """Record the end of a peer's request."""
        endpoint = self._peer_call_endpoint(number)
        self._peer_calls.pop(number, None)
        if endpoint is not None:
            _release(endpoint, number)

    def _end_peer_calls(self, numbers: set[int]) -> None:
        """Record the end of several requests of a peer."""
        for number in numbers:
            self._end_peer_call(number)


def _to_ms(interval_s: float) -> int:
    """Return a measured interval in milliseconds, at least one."""
    return max(1, min(MAX_INTERVAL_MS, round(interval_s * 1000)))


def _release(endpoint: Endpoint, number: int) -> None:
    """Remove an attempt from an endpoint's requests in flight."""
    endpoint.outstanding = max(0, endpoint.outstanding - 1)
    if endpoint.view is not None:
        endpoint.view.end(number)


def _describe_placement(
    number: int, entry: EndpointEntry, prompt: Prompt | None
) -> RequestPlaced:
    """Return the peers' report of an attempt."""
    if prompt is None:
        return RequestPlaced(number, entry.endpoint, born=entry.born)
    return RequestPlaced(
        number,
        entry.endpoint,
        tuple(part.part_id for part in prompt.parts),
        tuple(part.tokens for part in prompt.parts),
        prompt.input_tokens,
        prompt.output_hint or prompt.output_limit,
        entry.born,
    )
