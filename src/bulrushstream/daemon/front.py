"""A router on an entry instance that sends requests to endpoints itself.

It owns the callers' connections, the pools of connections to endpoints,
and the state that decisions are made from; `watch` and the peers' updates
change that state.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from bulrushstream import messages
from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.coordination.fairshare import FairShares
from bulrushstream.coordination.fleetstate import NUMBER_BITS, FleetState
from bulrushstream.coordination.fleetview import FleetView
from bulrushstream.coordination.freshness import Freshness
from bulrushstream.coordination.placement import (
    Admission,
    Prediction,
    admit_to_engine,
    choose_engine,
    choose_plain,
)
from bulrushstream.coordination.retryquota import RetryLimits, RetryQuota
from bulrushstream.coordination.routetable import RouteTable, pick_service
from bulrushstream.daemon.connections import EndpointConnections
from bulrushstream.daemon.forward import Forward
from bulrushstream.messages import Notice
from bulrushstream.metrics import Metrics
from bulrushstream.protocol.dialect import Dialect, HeadError
from bulrushstream.state.call import Call
from bulrushstream.state.effect import Decision
from bulrushstream.state.nodesettings import NodeSettings
from bulrushstream.state.request import Outcome
from bulrushstream.state.routes import Route
from bulrushstream.transport.ingress import Exchange, Ingress, IngressLimits
from bulrushstream.transport.problem import encode_problem

# When a caller is told to come back that gets no further than this router.
RETRY_SOON_S: Final = 0.1

# When a refused caller is told to come back, in parts of its objective: a
# queue has changed by then, and the answer can still be in time.
RETRY_GOAL_PARTS: Final = (0.2, 0.5)

# A caller heeds a time up to this part of what it has left.
MAX_RETRY_PART: Final = 1.0 / 3.0

# The part of a process's memory that callers' bodies may take.
HELD_PART: Final = 0.3

# How long an address is passed over after another endpoint answered there.
MISDIRECTED_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class Wiring:
    """What a front is given beside its settings."""

    dialect: Dialect  # How the platform speaks.
    clock: Callable[[], float]  # The event loop's time in seconds.
    boot_clock: Callable[[], float]  # Counts while suspended.
    rng: random.Random  # The source of all randomness.
    metrics: Metrics  # What it counts.
    observe: Callable[[Decision], None]  # Takes each decision.
    report: Callable[[str, str], None]  # Takes a kind and a line.


class Front:
    """The state of one router, and what it does with a request."""

    def __init__(self, settings: NodeSettings, wiring: Wiring) -> None:
        """Make a router that knows nothing yet.

        :param settings: its checked settings
        :param wiring: what else it is given
        """
        self.settings = settings
        self.dialect = wiring.dialect
        self.clock = wiring.clock
        self.boot_clock = wiring.boot_clock
        self.rng = wiring.rng
        self.metrics = wiring.metrics
        self.observe = wiring.observe
        self.report = wiring.report
        self.table: RouteTable | None = None
        self.listed = False
        self.draining = False
        self.closed = False
        self.state = FleetState(
            FleetView(settings.host),
            FairShares(settings.quota_window_s),
            self.rng.getrandbits(38) << NUMBER_BITS,
            wiring.observe,
        )
        self.pool = self.state.pool
        self.fleet = self.state.peers
        limit_s = settings.revocation_limit_s
        self.freshness = Freshness(
            float("inf") if limit_s is None else limit_s
        )
        self.quota = RetryQuota(
            RetryLimits(
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window_s,
            )
        )
        self.forwards: set[Forward] = set()
        self.connections = EndpointConnections(
            self.clock, self._connection_limit, lambda: self.fleet.routers
        )
        now_s = self.clock()
        for seed in settings.seed_hosts:
            self.fleet.suggest(seed, now_s)
        self.limits = IngressLimits(
            connections=max(64, settings.max_descriptors // 2),
            held_bytes=int(settings.memory_mb * HELD_PART * 2**20),
        )
        self.ingress = Ingress(self.handle, self.limits, self.clock)

    def reconfigure(self, settings: NodeSettings) -> None:
        """Take over what may change while the router runs.

        :param settings: the new settings
        """
        self.settings = settings
        limit_s = settings.revocation_limit_s
        self.freshness.max_age_s = float("inf") if limit_s is None else limit_s
        self.quota.limits = RetryLimits(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_s,
        )
        self.state.shares.window_s = settings.quota_window_s

    # --- Requests.

    def handle(self, exchange: Exchange) -> None:
        """Take a caller's request; see `Ingress`."""
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
        admitted = self._admit(call, arrived_boot_s)
        if isinstance(admitted, Notice):
            self._turn_away(exchange, admitted, call.request_id)
            return
        route, workspace = admitted
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
        if self._crashes_endpoints(forward, now_s):
            self._turn_away(
                exchange, messages.CRASHES_ENDPOINTS, call.request_id
            )
            return
        self.forwards.add(forward)
        self.quota.count_request(forward.service, now_s)
        if call.prompt is not None and workspace:
            tokens = call.prompt.quota_tokens
            forward.share_used = self.state.ask(workspace, tokens, now_s)
        forward.start()

    def _admit(
        self, call: Call, arrived_boot_s: float
    ) -> tuple[Route, str] | Notice:
        """Return a request's route and workspace, or why it has none."""
        table = self.table
        if self.closed:
            return messages.DRAINING
        if table is None or not self.listed:
            return messages.NOT_READY
        fresh = self.freshness.is_fresh_at(arrived_boot_s)
        route = table.find(call.host, call.path)
        if route is None:
            return messages.NO_RULE if fresh else messages.STALE_CONFIG
        if route.public or not table.config.requires_keys:
            return route, ""
        if not fresh:
            return messages.STALE_CONFIG
        holder = table.by_key.get(call.key_digest or b"")
        if holder is None:
            return messages.NO_TOKEN
        return route, holder.name

    def _crashes_endpoints(self, forward: Forward, now_s: float) -> bool:
        """Return whether requests like one are in quarantine."""
        quarantine = self.state.quarantine
        return bool(
            quarantine.fingerprints()
            and quarantine.is_refused(forward.fingerprint, now_s)
        )

    def _turn_away(
        self, exchange: Exchange, notice: Notice, request_id: str
    ) -> None:
        """Refuse a request that gets no further."""
        retry_after_s = RETRY_SOON_S if notice.status == 503 else None
        self.refuse(
            exchange, notice, request_id, Outcome.NOT_RUN, retry_after_s
        )
        self.observe(
            Decision(
                "refuse",
                notice.text,
                request_id=request_id,
                outcome=notice.code,
                inputs=self._inputs(),
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
        """Answer a request with a refusal or failure of our own.

        :param exchange: the request
        :param notice: what is wrong
        :param request_id: the caller's id; empty: it is not known
        :param outcome: whether an endpoint ran it
        :param retry_after_s: when to come back; None: not said
        """
        body = encode_problem(notice, outcome, request_id)
        headers = self.dialect.refusal_headers(request_id, retry_after_s)
        exchange.answer(notice.status, headers, body)
        self.metrics.requests.labels("", "", outcome.value, notice.code).inc()

    def choose(self, forward: Forward) -> tuple[Endpoint, int] | Notice | None:
        """Return where a request goes, and the number of its attempt.

        :param forward: the request
        :returns: None if no endpoint takes requests; a notice if the
            request is refused
        """
        now_s = self.clock()
        usable = self.pool.usable(forward.service, now_s, forward.tried)
        if not usable and forward.route.repeatable:
            usable = self.pool.usable(forward.service, now_s)
        prompt = forward.call.prompt
        if prompt is None or not any(each.view for each in usable):
            zone = self.settings.availability_zone
            plain = choose_plain(usable, zone, self.rng)
            if plain is None:
                return None
            return plain, self._place(forward, plain, None, now_s)
        for each in usable:
            if each.view is not None:
                each.view.expire(now_s)
        prediction = choose_engine(usable, prompt, self.state.rate, now_s)
        if prediction is None:
            return None
        refusal = self._objection(forward, prediction, now_s)
        if refusal is not None:
            return refusal
        number = self._place(forward, prediction.endpoint, prediction, now_s)
        return prediction.endpoint, number

    def _objection(
        self, forward: Forward, prediction: Prediction, now_s: float
    ) -> Notice | None:
        """Return why a request is not sent to its engine now, if so."""
        if forward.progress.sends or forward.exchange.started:
            return None
        goal_left_s = forward.route.latency_target_s - (
            now_s - forward.arrived_s
        )
        table = self.table
        goal_s = forward.route.latency_target_s
        if table is not None:
            goal_s = table.tightest_s.get(forward.service, goal_s)
        admission = admit_to_engine(
            prediction,
            goal_left_s,
            goal_s,
            forward.share_used,
        )
        reason = "first token predicted too late"
        prompt = forward.call.prompt
        if admission is Admission.SEND:
            if prompt is None or not self.state.shares.leads(
                forward.workspace, prompt.quota_tokens, now_s
            ):
                return None
            reason = "others had less beyond their share"
        self.decide(
            "shed",
            reason,
            forward,
            endpoint=prediction.endpoint.name,
            inputs={
                **_prediction_inputs(prediction),
                "share_used": round(forward.share_used, 3),
            },
        )
        if forward.share_used > 1.0:
            return messages.OVER_SHARE
        return messages.NO_CAPACITY

    def _place(
        self,
        forward: Forward,
        endpoint: Endpoint,
        prediction: Prediction | None,
        now_s: float,
    ) -> int:
        """Note an attempt, tell the peers, and return its number."""
        prompt = forward.call.prompt if prediction is not None else None
        number = self.state.place(
            endpoint, prompt, forward.workspace, now_s, forward.deadline_s
        )
        inputs: dict[str, float | int | str] = {}
        if prediction is not None:
            inputs = _prediction_inputs(prediction)
        self.decide(
            "dispatch",
            "least predicted time" if prediction else "least requests",
            forward,
            endpoint=endpoint.name,
            attempt=forward.progress.sends + 1,
            inputs=inputs,
        )
        return number

    def may_run(self, forward: Forward) -> bool:
        """Return whether a request may still be sent to an endpoint.

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
        """Return what a service's endpoints take from all routers."""
        known = self.table.services.get(service) if self.table else None
        return known.max_connections if known is not None else None

    def take_retry(self, service: str) -> bool:
        """Take one of the fleet's retries; return whether there was one.

        :param service: the service that would get it
        """
        return self.quota.take(service, self.clock(), self.fleet.routers)

    def has_other(self, forward: Forward, endpoint: Endpoint) -> bool:
        """Return whether a request could go to another endpoint.

        :param forward: the request
        :param endpoint: where it is
        """
        tried = {*forward.tried, endpoint.name}
        return bool(self.pool.usable(forward.service, self.clock(), tried))

    def retry_after_s(self, forward: Forward) -> float | None:
        """Return when a refused caller should come back.

        :param forward: the request
        """
        left_s = forward.deadline_s - self.clock()
        if forward.call.timeout_s is not None:
            left_s = forward.call.timeout_s - (
                self.clock() - forward.arrived_s
            )
        # Returns are spread, so that they do not come in a wave.
        back_s = forward.route.latency_target_s * self.rng.uniform(
            *RETRY_GOAL_PARTS
        )
        return max(0.01, min(back_s, left_s * MAX_RETRY_PART))

    # --- What endpoints do.

    def misdirected(self, endpoint: Endpoint) -> None:
        """Note that another endpoint answered at an address.

        :param endpoint: the one that was expected there
        """
        endpoint.avoid_until_s = self.clock() + MISDIRECTED_S

    def broken(
        self, forward: Forward, endpoint: Endpoint, answering: bool
    ) -> None:
        """Note that a connection broke while a request was out.

        :param forward: the request
        :param endpoint: where it was
        :param answering: whether its answer had begun
        """
        # Idle connections to an endpoint that crashed are of no use.
        self.connections.to(endpoint).drop_idle()
        if not answering:
            self.state.broke_off(endpoint, forward.fingerprint, self.clock())

    def silent(self, endpoint: Endpoint) -> None:
        """Note that an endpoint has not answered in time.

        :param endpoint: which one
        """
        self.connections.to(endpoint).drop_idle()

    def finished(
        self, forward: Forward, reason: str, outcome: Outcome, code: str
    ) -> None:
        """Note how a request ended.

        :param forward: the request
        :param reason: why it ended
        :param outcome: whether an endpoint ran it
        :param code: the status or code that the caller got
        """
        self.forwards.discard(forward)
        now_s = self.clock()
        quarantine = self.state.quarantine
        if outcome is Outcome.RAN and quarantine.fingerprints():
            quarantine.prove(forward.fingerprint, now_s)
        took_s = now_s - forward.arrived_s
        self.metrics.durations.labels(
            forward.service, forward.route.kind.value
        ).observe(took_s)
        if reason != "refuse":
            self.metrics.requests.labels(
                forward.workspace, forward.service, outcome.value, code
            ).inc()
        inputs: dict[str, float | int | str] = {"took_s": round(took_s, 4)}
        if forward.first_event_s:
            inputs["first_event_s"] = round(
                forward.first_event_s - forward.arrived_s, 4
            )
        self.decide(
            "finish",
            reason,
            forward,
            outcome=f"{outcome.value} {code}".strip(),
            inputs=inputs,
        )

    def sweep(self) -> None:
        """Forget what is over; called a few times a second."""
        self.state.sweep(self.clock())
        self.connections.expire_idle()

    # --- Log.

    @property
    def ready(self) -> bool:
        """Return whether the balancer may send callers."""
        return (
            self.table is not None
            and self.listed
            and not self.draining
            and self.freshness.is_fresh_at(self.boot_clock())
        )

    def _inputs(self) -> dict[str, float | int | str]:
        """Return what every decision rests on."""
        version = self.table.config.version if self.table else -1
        age_s = self.freshness.age_s(self.boot_clock())
        return {
            "config_version": version,
            "config_age_s": round(min(age_s, 1e6), 3),
            "routers": self.fleet.routers,
        }

    def decide(
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
        :param endpoint: the endpoint that it is about; empty: none
        :param attempt: which attempt; 0: none
        :param outcome: what came of it; empty: nothing yet
        :param inputs: what the decision rests on
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
                inputs={**(inputs or {}), **self._inputs()},
            )
        )


def _prediction_inputs(
    prediction: Prediction,
) -> dict[str, float | int | str]:
    """Return what a prediction says, for the log."""
    return {
        "wait_s": round(prediction.wait_s, 4),
        "read_s": round(prediction.read_s, 4),
        "read_tokens": int(prediction.tokens),
        "kept_tokens": prediction.kept,
        "room": int(prediction.room),
    }
