"""A front-end router: takes callers' requests and forwards them to endpoints.

`Front` owns the callers' connections, the connection pools to endpoints and
the state that routing decisions use.  That state is updated from the
platform's store (see `watch`) and by peer routers.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Final

from bulrushstream import messages
from bulrushstream.coordination.answerhabits import AnswerHabits, FramingHabits
from bulrushstream.coordination.crashevidence import BrokenRun
from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.coordination.endsigns import EndSigns
from bulrushstream.coordination.fleetview import FleetView
from bulrushstream.coordination.freshness import Freshness
from bulrushstream.coordination.looplag import LoopLag
from bulrushstream.coordination.retryquota import RetryLimits, RetryQuota
from bulrushstream.coordination.routetable import RouteTable, pick_service
from bulrushstream.coordination.streamends import StreamEnds
from bulrushstream.coordination.streampatterns import StreamPatterns
from bulrushstream.coordination.wakefulness import Wakefulness
from bulrushstream.daemon import (
    dispatch,
    evacuating,
    processproofs,
    returning,
    runwatch,
    safeguards,
    takeups,
)
from bulrushstream.daemon.connections import EndpointConnections
from bulrushstream.daemon.crashwatch import CrashWatch
from bulrushstream.daemon.fleetsetup import make_fleet_state
from bulrushstream.daemon.forward import Forward
from bulrushstream.daemon.lifeproof import LifeProofs
from bulrushstream.messages import Notice
from bulrushstream.metrics import (
    Metrics,
    count_cold,
    count_crowd,
    count_excess,
    set_work_factors,
)
from bulrushstream.protocol.dialect import Dialect, HeadError
from bulrushstream.state.call import AnswerHead, Call, RawHeaders
from bulrushstream.state.effect import Decision
from bulrushstream.state.endpointsigns import Sign
from bulrushstream.state.excess import Excess
from bulrushstream.state.memorybudget import MemoryBudget
from bulrushstream.state.nodesettings import NodeSettings
from bulrushstream.state.request import Outcome
from bulrushstream.state.routes import Route
from bulrushstream.state.usage import Crowd, ShareReport
from bulrushstream.transport.datagrams import PeerSocket
from bulrushstream.transport.exchange import Exchange
from bulrushstream.transport.ingress import Ingress, IngressLimits
from bulrushstream.transport.problem import encode_problem

# Retry-after time for a request that is refused before an endpoint is chosen.
EARLY_REFUSAL_RETRY_S: Final = 0.1

# Fraction of the process's memory limit that buffered request bodies may use.
BODY_MEMORY_FRACTION: Final = 0.3

# Fraction of it that all bytes kept for connections may use.
KEPT_MEMORY_FRACTION: Final = 0.4

# How long an endpoint is avoided after another one answered at its address.
MISDIRECTED_BACKOFF_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class FrontDeps:
    """Collaborators that a `Front` needs besides its settings."""

    dialect: Dialect  # The platform's formats and protocols.
    clock: Callable[[], float]  # The event loop's time, in seconds.
    boot_clock: Callable[[], float]  # Also runs while suspended; seconds.
    time_of_day: Callable[[], float]  # Unix time in seconds; may be set.
    rng: random.Random  # The source of all randomness.
    metrics: Metrics
    observe: Callable[[Decision], None]  # Logs and counts a decision.
    report: Callable[[str, str], None]  # Logs an event's kind and text.
    # Logs and counts the shares of the workspaces.
    report_shares: Callable[[ShareReport], None]


class Front:
    """One front-end router: its state and how it handles requests."""

    def __init__(self, settings: NodeSettings, deps: FrontDeps) -> None:
        """Create a router without a configuration or endpoints.

        :param settings: the validated settings
        :param deps: its other collaborators
        """
        self.settings = settings
        self.dialect = deps.dialect
        self.clock = deps.clock
        self.boot_clock = deps.boot_clock
        self.time_of_day = deps.time_of_day
        self.rng = deps.rng
        self.metrics = deps.metrics
        self.observe = deps.observe
        self.report = deps.report
        self._report_shares = deps.report_shares
        self.table: RouteTable | None = None
        self.endpoints_listed = False
        self.wakefulness = Wakefulness(deps.boot_clock)
        self.loop_lag = LoopLag(self.wakefulness)
        self.draining = False
        # Requests that are read later are refused, as the process stops.
        self.refuse_from_s = float("inf")
        self.peers = FleetView(
            settings.host,
            settings.availability_zone,
            wakefulness=self.wakefulness,
        )
        self.fleet_state = make_fleet_state(
            settings,
            self.peers,
            deps.clock,
            deps.boot_clock,
            deps.rng,
            deps.observe,
            deps.time_of_day,
        )
        evacuations = self.fleet_state.evacuations
        evacuations.on_begun = lambda zone: evacuating.withdraw_waiting(self)
        evacuations.on_ended = lambda zone: self.fleet_state.zone_reopened(
            zone, self.clock()
        )
        self.streams = self.fleet_state.streams
        self.pool = self.fleet_state.pool
        self.pool.list_confirmed_s = partial(
            processproofs.list_confirmed_s, self
        )
        self.streams.origins.is_listed = partial(
            processproofs.is_origin_listed, self
        )
        self.stream_patterns = StreamPatterns()
        self.answer_habits = AnswerHabits()
        self.framing_habits = FramingHabits()
        limit_s = settings.revocation_limit_s
        self.freshness = Freshness(
            float("inf") if limit_s is None else limit_s
        )
        self.retry_quota = RetryQuota(_retry_limits(settings))
        if not settings.first_start:
            slack_from_s = self.clock() + settings.retry_window_s
            self.retry_quota.slack_from_s = slack_from_s
        # In order of arrival, so that a stop ends them in that order.
        self.forwards: dict[Forward, None] = {}
        # The bytes kept for callers, endpoints and the calls of the process.
        self.memory = MemoryBudget(
            int(settings.memory_mb * KEPT_MEMORY_FRACTION * 2**20)
        )
        self.connections = EndpointConnections(
            self.clock,
            self._connection_limit,
            lambda: self.peers.router_count,
            self.peer_exceeded,
            self.memory,
        )
        now_s = self.clock()
        for seed in settings.seed_hosts:
            self.peers.add_host(seed, now_s)
        self.crash_watch = CrashWatch(
            self.clock,
            self.encode_probe,
            self._decode_probe,
            self.observe,
            self.pool.is_leaving,
            lambda endpoint, run: safeguards.endpoint_crashed(
                self.fleet_state, endpoint, run, self.clock()
            ),
            self.end_unknown,
            self.wakefulness,
        )
        self.life_proofs = LifeProofs(
            self.clock,
            self.encode_probe,
            self._is_own_answer,
            self._encode_report_call,
            self.dialect.decode_start,
            self.wakefulness,
        )
        self.stream_ends = StreamEnds()
        self.end_signs = EndSigns()
        self.limits = IngressLimits(
            connections=max(64, settings.max_descriptors // 2),
            buffered_bytes=int(
                settings.memory_mb * BODY_MEMORY_FRACTION * 2**20
            ),
        )
        self.ingress = Ingress(
            self.handle,
            self.limits,
            self.clock,
            self.memory,
            on_excess=self.peer_exceeded,
        )

    def connect_peers(self, port: PeerSocket) -> None:
        """Exchange updates with the other routers from now on.

        :param port: sends and receives them
        """
        port.hosts = self.peers.notified_hosts
        port.paths = lambda: self.peers.paths(self.clock())
        port.zone = self.settings.availability_zone
        port.pass_on_to = self.peers.pass_on_to
        port.repeated_reports = lambda: self.fleet_state.repeated_reports(
            self.clock()
        )
        self.fleet_state.set_notifier(port)

    def end_unknown(self, endpoint: str, run: BrokenRun) -> None:
        """Watch a request and its parts: its endpoint may have crashed.

        :param endpoint: the endpoint's id
        :param run: the run that broke there
        """
        safeguards.end_unknown(self.fleet_state, endpoint, run, self.clock())

    def reconfigure(self, settings: NodeSettings) -> None:
        """Apply the settings that may change while the router runs.

        :param settings: the new settings
        """
        self.settings = settings
        limit_s = settings.revocation_limit_s
        self.freshness.max_age_s = float("inf") if limit_s is None else limit_s
        self.retry_quota.limits = _retry_limits(settings)
        self.fleet_state.shares.window_s = settings.quota_window_s
        self.fleet_state.cold.bounds.overshoot = settings.cold_overshoot
        self.fleet_state.cold.bounds.slack = settings.cold_slack

    # --- Requests.

    def handle(self, exchange: Exchange) -> None:
        """Admit and forward a caller's request, or refuse it."""
        arrived_boot_s = self.boot_clock()
        try:
            call = self.dialect.decode_call(
                exchange.method, exchange.target, exchange.headers
            )
        except HeadError as error:
            self.report("bad_head", str(error))
            exchange.keep_alive = False
            self.refuse(exchange, messages.BAD_HEAD, "", Outcome.NOT_RUN, None)
            return
        admitted: tuple[Route, str] | Notice = messages.DRAINING
        if exchange.arrived_s < self.refuse_from_s:
            admitted = self.admit(call, arrived_boot_s)
        if isinstance(admitted, Notice):
            self._refuse_early(exchange, admitted, call.request_id)
            return
        route, workspace = admitted
        if call.prompt is not None and self.loop_lag.turns_away(
            workspace, self.clock()
        ):
            self._refuse_early(
                exchange, messages.ROUTER_CROWDED, call.request_id
            )
            return
        forward = Forward(
            self,
            exchange,
            call,
            route,
            pick_service(route, self.rng),
            workspace,
            arrived_boot_s,
        )
        now_s = self.clock()
        refusal = safeguards.crash_refusal(self.fleet_state, forward, now_s)
        if refusal is not None:
            retry_after_s = None
            if refusal.wait_s:
                retry_after_s = dispatch.retry_after_s(
                    self, forward, refusal.wait_s
                )
            self._refuse_early(
                exchange,
                refusal.notice,
                call.request_id,
                refusal.part,
                retry_after_s,
            )
            return
        self.forwards[forward] = None
        self.retry_quota.count_request(forward.service, now_s)
        forward.promise = returning.recognise(self, forward, now_s)
        if call.prompt is not None and workspace:
            tokens = call.prompt.quota_tokens
            forward.share_used = self.fleet_state.add_demand(
                workspace, tokens, now_s
            )
        forward.start()

    def admit(
        self, call: Call, arrived_boot_s: float
    ) -> tuple[Route, str] | Notice:
        """Return a request's route and workspace, or the refusal.

        :param call: the decoded head of the request
        :param arrived_boot_s: when it was read, on the clock that also runs
            while the machine is suspended
        """
        table = self.table
        if table is None or not self.endpoints_listed:
            return messages.NOT_READY
        fresh = self.freshness.is_fresh_at(arrived_boot_s)
        route = table.find(call.host, call.path)
        if route is None:
            return messages.NO_RULE if fresh else messages.STALE_CONFIG
        if route.public or not table.config.requires_keys:
            return route, ""
        if not fresh:
            return messages.STALE_CONFIG
        workspace = table.by_key.get(call.key_digest or b"")
        if workspace is None:
            return messages.NO_TOKEN
        return route, workspace.name

    def _decode_probe(
        self, endpoint: Endpoint, status: int, headers: RawHeaders
    ) -> str | None:
        """Return the id in the answer to a probe; see `Dialect`."""
        head = self.dialect.decode_answer(status, headers)
        self.answer_seen(endpoint, head)
        return self.dialect.decode_probe(status, headers)

    def _is_own_answer(
        self, endpoint: Endpoint, status: int, headers: RawHeaders
    ) -> bool | None:
        """Return whether an endpoint itself answers a probe; None: unknown."""
        found = self._decode_probe(endpoint, status, headers)
        if found:
            return found == endpoint.name
        if found is None:
            return False
        # Another one would have said that it is not the expected one.
        head = self.dialect.decode_answer(status, headers)
        return True if head.not_executed else None

    def encode_probe(self, endpoint: Endpoint) -> bytes | None:
        """Return the encoded probe of an endpoint; None: it gets none now."""
        notices = self.fleet_state.notices
        if notices.rest_left_s(endpoint.name, self.clock()):
            return None
        service = endpoint.entry.service
        found = self.table.services.get(service) if self.table else None
        if found is None or not found.health_path:
            return None
        return self.dialect.encode_probe(found.health_path, endpoint.entry)

    def _encode_report_call(self, endpoint: Endpoint) -> bytes | None:
        """Return the encoded call of its report; None: it gets none now."""
        notices = self.fleet_state.notices
        if notices.rest_left_s(endpoint.name, self.clock()):
            return None
        return self.dialect.encode_report_call(endpoint.entry)

    def _refuse_early(
        self,
        exchange: Exchange,
        notice: Notice,
        request_id: str,
        part: str = "",
        retry_after_s: float | None = None,
    ) -> None:
        """Refuse a request before it is forwarded, and log that."""
        if retry_after_s is None and notice.status == 503:
            retry_after_s = EARLY_REFUSAL_RETRY_S
        self.refuse(
            exchange, notice, request_id, Outcome.NOT_RUN, retry_after_s
        )
        self.observe(
            Decision(
                "refuse",
                notice.text,
                request_id=request_id,
                outcome=notice.code,
                inputs={"part": part, **self._common_inputs()},
            )
        )

    def refuse(
        self,
        exchange: Exchange,
        notice: Notice,
        request_id: str,
        outcome: Outcome,
        retry_after_s: float | None,
    ) -> None:
        """Answer a request with a refusal or failure from the router.

        :param exchange: the request
        :param notice: the message for the caller
        :param request_id: the caller's id; empty: unknown
        :param outcome: whether an endpoint ran it
        :param retry_after_s: the retry-after time in seconds; None: omitted
        """
        body = encode_problem(notice, outcome, request_id)
        headers = self.dialect.refusal_headers(request_id, retry_after_s)
        exchange.answer(notice.status, headers, body)
        self.metrics.requests.labels("", "", outcome.value, notice.code).inc()

    def may_send(self, forward: Forward) -> bool:
        """Return whether a request may still be sent to an endpoint.

        Unless its route is public, its API key must be valid in a
        configuration that was confirmed recently enough.

        :param forward: the request
        """
        table = self.table
        if table is None:
            return False
        if not table.config.requires_keys or forward.route.public:
            return True
        if not self.freshness.is_fresh_at(forward.arrived_boot_s):
            return False
        return (forward.call.key_digest or b"") in table.by_key

    def _connection_limit(self, service: str) -> int | None:
        """Return an endpoint's connection limit, over all routers."""
        found = self.table.services.get(service) if self.table else None
        return found.max_connections if found is not None else None

    def acquire_retry(self, service: str, share: float = 1.0) -> bool:
        """Use up one retry of the quota; return whether one was left.

        :param service: the service that the retry goes to
        :param share: the part of the quota beyond which none is left
        """
        return self.retry_quota.acquire(
            service, self.clock(), self.peers.router_count, share
        )

    # --- Results and failures.

    def peer_exceeded(self, excess: Excess) -> None:
        """Log and count a connection whose peer sent too much; `OnExcess`.

        :param excess: what it sent
        """
        self.report("excess", str(excess))
        count_excess(self.metrics, excess)

    def endpoint_misdirected(self, endpoint: Endpoint) -> None:
        """Avoid an endpoint for a time: another one answers at its address.

        :param endpoint: the one that was expected there
        """
        endpoint.avoid_until_s = self.clock() + MISDIRECTED_BACKOFF_S
        if self.pool.is_replaced(endpoint):
            return
        self.crash_watch.add_sign(endpoint.name, Sign.OTHER_INSTANCE)

    def answer_seen(self, endpoint: Endpoint, head: AnswerHead) -> None:
        """Record what an answer says of its endpoint, run or not.

        :param endpoint: the endpoint
        :param head: the head of any answer of it
        """
        if head.status == 421:
            # Another endpoint is at its address.
            return
        if self.pool.is_replaced(endpoint):
            return
        notices, now_s = self.fleet_state.notices, self.clock()
        if head.bad_rest:
            notices.bad_rest(endpoint.name, head.bad_rest)
        if head.cold_s > 0.0:
            self.fleet_state.cold.told(endpoint.entry, head.cold_s, now_s)
        if head.rest_s > 0.0:
            notices.asked_for_rest(endpoint.name, head.rest_s, now_s)
        if head.leaving:
            notices.leaves(endpoint.name, endpoint.entry, now_s)

    def endpoint_overdue(self, endpoint: Endpoint) -> None:
        """Take the idle connections to an overdue endpoint out of use.

        :param endpoint: the endpoint that did not answer in time
        """
        self.connections.pool_for(endpoint).retire_idle()

    def request_finished(
        self, forward: Forward, reason: str, outcome: Outcome, code: str
    ) -> None:
        """Count and log the end of a request.

        :param forward: the request
        :param reason: why it ended
        :param outcome: whether an endpoint ran it
        :param code: the HTTP status or message code that the caller got
        """
        self.forwards.pop(forward, None)
        now_s = self.clock()
        if outcome is Outcome.RAN and forward.attempt is not None:
            safeguards.request_ran(self.fleet_state, forward.attempt, now_s)
        sent = forward.progress.sends > 0
        if forward.promise is not None and (sent or reason == "refuse"):
            self.fleet_state.returns.ended(sent=sent)
        duration_s = now_s - forward.arrived_s
        self.metrics.durations.labels(
            forward.service, forward.route.kind.value
        ).observe(duration_s)
        if reason != "refuse":
            self.metrics.requests.labels(
                forward.workspace, forward.service, outcome.value, code
            ).inc()
        inputs: dict[str, float | int | str] = {"took_s": round(duration_s, 4)}
        if forward.first_event_s:
            inputs["first_event_s"] = round(
                forward.first_event_s - forward.arrived_s, 4
            )
        endpoint = ""
        inputs["attempts"] = forward.progress.sends
        inputs["sent_bytes"] = forward.exchange.sent_bytes
        if forward.attempt is not None:
            inputs |= forward.attempt.describe_answer()
            endpoint = forward.attempt.endpoint.name
        self.log_decision(
            "finish",
            reason,
            forward,
            endpoint=endpoint,
            outcome=f"{outcome.value} {code}".strip(),
            inputs=inputs,
        )

    def sweep(self) -> None:
        """Judge broken runs, remove expired state; called often."""
        runwatch.watch_silent_runs(self)
        self.crash_watch.sweep()
        self.fleet_state.sweep(self.clock())
        takeups.sweep(self)
        evacuating.sweep(self)
        self.connections.expire_idle()

    # --- Log.

    def report_shares(self) -> None:
        """Log shares, returns and crowds since the last call."""
        returning.report(self)
        self._report_shares(self.fleet_state.report_shares(self.clock()))
        set_work_factors(self.metrics, self.pool.work_factors())
        ingress, lag = self.ingress, self.loop_lag
        crowd = Crowd(
            lag.longest_s,
            lag.turned_away,
            ingress.closed_count,
            ingress.refused_count,
        )
        ingress.closed_count = ingress.refused_count = 0
        lag.reported()
        count_crowd(self.metrics, crowd)
        cold_use = self.fleet_state.cold.take_use(self.clock())
        count_cold(self.metrics, cold_use)
        if crowd.is_crowded:
            self.report(
                "crowded",
                f"the event loop is {crowd.loop_lag_s:.2f} s late; "
                f"{crowd.turned_away} requests turned away, "
                f"{crowd.closed_connections} idle connections closed, "
                f"{crowd.refused_connections} new ones refused",
            )

    @property
    def ready(self) -> bool:
        """Return whether the load balancer may send requests here."""
        return (
            self.table is not None
            and self.endpoints_listed
            and not self.draining
            and self.freshness.is_fresh_at(self.boot_clock())
        )

    def _common_inputs(self) -> dict[str, float | int | str]:
        """Return the inputs that are logged with every decision."""
        version = self.table.config.version if self.table else -1
        age_s = self.freshness.age_s(self.boot_clock())
        return {
            "config_version": version,
            "config_age_s": round(min(age_s, 1e6), 3),
            "routers": self.peers.router_count,
        }

    def log_decision(
        self,
        kind: str,
        reason: str,
        forward: Forward,
        *,
        endpoint: str = "",
        attempt: int = 0,
        outcome: str = "",
        inputs: dict[str, float | int | str] | None = None,
    ) -> None:
        """Log a decision about a request.

        :param kind: what was decided
        :param reason: why
        :param forward: the request
        :param endpoint: the endpoint concerned; empty: none
        :param attempt: the attempt's number, from 1; 0: none
        :param outcome: the result; empty: none yet
        :param inputs: the values that the decision is based on
        """
        self.observe(
            Decision(
                kind,
                reason,
                request_id=forward.call.request_id,
                workspace=forward.workspace,
                service=forward.service,
                rule=forward.route.name,
                endpoint=endpoint,
                attempt=attempt,
                waited_s=self.clock() - forward.arrived_s,
                outcome=outcome,
                inputs={**(inputs or {}), **self._common_inputs()},
            )
        )


def _retry_limits(settings: NodeSettings) -> RetryLimits:
    """Return the fleet's budget of retries."""
    return RetryLimits(
        settings.retry_ratio,
        settings.retry_slack,
        settings.retry_window_s,
    )
