"""Keeps the requests of all routers within what cold endpoints tolerate.

An endpoint is *cold* for a time after its start and crashes at a rate that
it bears later.  Two limits apply to each cold endpoint.  All routers take
tokens from one bucket, of which each keeps a copy; it fills with the rate
that its service tolerates, less the share of the routers that are not heard.
And each router has a *quota*: the most that it sends in one second, whatever
it hears.  The quotas of all routers add up to less than the bound, so that it
holds while updates are lost; see docs/design/cold-endpoints.md.

After its cold period an endpoint is *ramped up*: both limits double in steps
and then end.  Endpoints of services without a limit are not regarded.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Final

from bulrushstream.coordination.coldlimits import (
    WINDOW_S,
    ColdBounds,
    ColdLimit,
    ColdPeriod,
)
from bulrushstream.coordination.routerroster import RouterRoster
from bulrushstream.coordination.tokenbucket import TokenBucket
from bulrushstream.state.effect import Decision
from bulrushstream.state.peerupdate import ColdEndpoint, PeerUpdate
from bulrushstream.state.routes import EndpointEntry, PooledService
from bulrushstream.state.usage import ColdUse

# Reports of one cold period differ by the age of the list's entries, up to
# this time.  One that ends later is of another period.
SAME_PERIOD_S: Final = 1.9

# Longer remaining times are cut; entries are renewed well within it.
MAX_COLD_S: Final = 60.0

MAX_REPEATED: Final = 32  # Cold endpoints that one heartbeat reports.
MAX_UNLISTED: Final = 256  # Reported endpoints that are not listed yet.


@dataclass(slots=True)
class ColdStarts:
    """The cold endpoints, and what this router may send to them."""

    on_decision: Callable[[Decision], None] = lambda decision: None
    bounds: ColdBounds = field(
        default_factory=lambda: ColdBounds(RouterRoster(), Random(0))
    )
    # Called with each cold endpoint that this router learned of itself.
    report: Callable[[ColdEndpoint], None] = lambda cold: None
    # Called with the id of an endpoint that has lost its history.
    on_cold: Callable[[str], None] = lambda endpoint: None
    # Returns the service of a listed endpoint; None: it is not listed.
    service_of: Callable[[str], str | None] = lambda endpoint: None
    _limits: dict[str, ColdLimit] = field(default_factory=dict)  # By service.
    _logged_limits: set[tuple[str, str]] = field(default_factory=set)
    _configured: bool = False
    _cold: dict[str, ColdPeriod] = field(default_factory=dict)  # By endpoint.
    # Ends of cold periods of endpoints whose service is not known yet.
    _unlisted: dict[str, float] = field(default_factory=dict)
    _repeated: int = 0  # Counts the endpoints that heartbeats reported.
    _diverted: int = 0  # Requests since the last report, as in `ColdPeriod`.
    _refused: int = 0
    _withdrawn: int = 0

    def __bool__(self) -> bool:
        """Return whether any endpoint is cold or ramped up."""
        return bool(self._cold)

    # --- What is cold.

    def configure(
        self, services: Iterable[PooledService], now_s: float
    ) -> None:
        """Apply the limits of a configuration.

        :param services: its services
        :param now_s: the time
        """
        self._limits.clear()
        for service in services:
            per_s = service.cold_per_s
            if per_s is None:
                continue
            if math.isfinite(per_s) and per_s > 0.0:
                start_s = max(0.0, service.cold_start_s)
                self._limits[service.name] = ColdLimit(per_s, start_s)
                continue
            logged = service.name, repr(per_s)
            if logged not in self._logged_limits:
                self._logged_limits.add(logged)
                self.on_decision(
                    Decision(
                        "cold_limit",
                        "cold endpoints have no limit",
                        service=service.name,
                        inputs={"per_s": repr(per_s)},
                    )
                )
        for name, cold in list(self._cold.items()):
            limit = self._limits.get(cold.service)
            if limit is None:
                del self._cold[name]
            else:
                cold.limit = limit
        self._configured = True
        for name, until_s in list(self._unlisted.items()):
            service_name = self.service_of(name)
            if service_name is not None:
                del self._unlisted[name]
                left_s = until_s - now_s
                self._learn(name, service_name, left_s, now_s, "entry")

    def listed(self, entry: EndpointEntry, now_s: float) -> None:
        """Handle an entry that was read from the endpoint list.

        :param entry: the entry
        :param now_s: the time
        """
        name, left_s = entry.endpoint, entry.warmup_remaining_s
        until_s = self._unlisted.pop(name, None)
        if until_s is not None:
            left_s = max(left_s, until_s - now_s)
        if left_s > 0.0:
            self._learn(name, entry.service, left_s, now_s, "entry")

    def told(self, entry: EndpointEntry, left_s: float, now_s: float) -> None:
        """Handle an answer in which an endpoint says how long it is cold.

        :param entry: the endpoint's entry
        :param left_s: the remaining time
        :param now_s: the time
        """
        self._learn(entry.endpoint, entry.service, left_s, now_s, "answer")

    def zone_reopened(
        self, endpoints: Iterable[EndpointEntry], now_s: float
    ) -> None:
        """Assume that the endpoints of a zone are cold, as it is back.

        :param endpoints: their entries, which may lag
        :param now_s: the time
        """
        for entry in endpoints:
            limit = self._limits.get(entry.service)
            if limit is not None:
                self._learn(
                    entry.endpoint, entry.service, limit.start_s, now_s, "zone"
                )

    def apply_update(self, update: PeerUpdate, now_s: float) -> None:
        """Apply what another router reports of cold endpoints.

        The start of the process does not matter: a report of another process
        than the listed one is of a newer one, as the list lags.

        :param update: the update
        :param now_s: the time
        """
        for cold in update.cold_endpoints:
            name, left_s = cold.endpoint, cold.left_s
            service = self.service_of(name)
            if service is not None:
                self._learn(
                    name, service, left_s, now_s, "peer", update.instance
                )
            else:
                self._keep_unlisted(name, left_s, now_s)

    def to_repeat(self, now_s: float) -> tuple[ColdEndpoint, ...]:
        """Return the cold endpoints that the next heartbeat reports.

        Only what this router learned itself: with each further router the
        time would grow by the latency of an update.

        :param now_s: the time
        """
        known = [
            ColdEndpoint(name, cold.own_until_s - now_s)
            for name, cold in self._cold.items()
            if cold.own_until_s > now_s
        ]
        if not known:
            return ()
        count = min(MAX_REPEATED, len(known))
        first = self._repeated
        if not first:
            # Otherwise all routers would name the same ones first.
            first = self.bounds.rng.randrange(MAX_REPEATED)
        self._repeated = first + count
        return tuple(known[(first + n) % len(known)] for n in range(count))

    # --- Requests.

    def room_s(self, endpoint: str, now_s: float) -> float:
        """Return the time until an endpoint may get a request; 0: now.

        :param endpoint: the endpoint's id
        :param now_s: the time
        """
        cold = self._cold.get(endpoint)
        return 0.0 if cold is None else cold.room_s(now_s)

    def peek_room_s(self, endpoint: str, now_s: float) -> float:
        """Return the same as `room_s`, and change nothing.

        :param endpoint: the endpoint's id
        :param now_s: the time
        """
        cold = self._cold.get(endpoint)
        return 0.0 if cold is None else cold.copied().room_s(now_s)

    def cold_left_s(self, endpoint: str, now_s: float) -> float:
        """Return how long an endpoint stays cold; 0: it is not cold.

        :param endpoint: the endpoint's id
        :param now_s: the time
        """
        cold = self._cold.get(endpoint)
        return 0.0 if cold is None else max(0.0, cold.until_s - now_s)

    def placed(
        self,
        endpoint: str,
        number: int,
        now_s: float,
        *,
        elsewhere: bool = False,
    ) -> None:
        """Count a request that is to be sent to an endpoint.

        :param endpoint: the endpoint's id
        :param number: the attempt's number
        :param now_s: the time
        :param elsewhere: whether another router sends it
        """
        cold = self._cold.get(endpoint)
        if cold is None:
            return
        cold.take(now_s)
        if elsewhere:
            cold.sent_elsewhere += 1
        else:
            cold.unsent.add(number)
            cold.sent_here += 1

    def may_send(self, endpoint: str, number: int, now_s: float) -> bool:
        """Return whether a placed request may be sent now, and count it.

        It may have waited for a connection while the endpoint turned cold.

        :param endpoint: the endpoint's id
        :param number: the attempt's number
        :param now_s: the time
        """
        cold = self._cold.get(endpoint)
        if cold is None or cold.step(now_s) < 0:
            return True
        was_placed = number in cold.unsent
        cold.unsent.discard(number)
        if not cold.may_send(now_s):
            cold.withdrawn += 1
            self._withdrawn += 1
            return False
        if not was_placed:
            cold.take(now_s)
            cold.sent_here += 1
        cold.sent.append(now_s)
        return True

    def not_counted(self, endpoint: str, sent_s: float) -> None:
        """Return the token of a request that did not reach the endpoint.

        :param endpoint: the id of the endpoint that it was meant for
        :param sent_s: when it was sent
        """
        cold = self._cold.get(endpoint)
        if cold is not None:
            cold.give_back(sent_s)

    def ended(self, endpoint: str, number: int) -> None:
        """Handle the end of an attempt, sent or not.

        :param endpoint: the endpoint's id
        :param number: the attempt's number
        """
        cold = self._cold.get(endpoint)
        if cold is not None:
            cold.unsent.discard(number)

    def diverted(self, endpoints: Iterable[str]) -> None:
        """Count a request that goes elsewhere as these have no token.

        :param endpoints: the ids of the endpoints
        """
        names = [name for name in endpoints if name in self._cold]
        for name in names:
            self._cold[name].diverted += 1
        self._diverted += bool(names)

    def refused(self, endpoints: Iterable[str]) -> None:
        """Count a request that is refused as these have no token.

        :param endpoints: the ids of the endpoints
        """
        names = [name for name in endpoints if name in self._cold]
        for name in names:
            self._cold[name].refused += 1
        self._refused += bool(names)

    # --- Time, log and metrics.

    def sweep(self, now_s: float) -> None:
        """End cold periods; called often.

        :param now_s: the time
        """
        self.bounds.roster.sweep(now_s)
        for name, cold in list(self._cold.items()):
            if now_s >= cold.until_s and not cold.ended:
                cold.ended = True
                self._log("cold_ended", "the cold period ended", name, now_s)
            if cold.step(now_s) < 0:
                del self._cold[name]
        for name, until_s in list(self._unlisted.items()):
            if until_s <= now_s:
                del self._unlisted[name]

    def take_use(self, now_s: float) -> ColdUse:
        """Return what was decided since the last call.

        :param now_s: the time
        """
        steps = [cold.step(now_s) for cold in self._cold.values()]
        use = ColdUse(
            cold=steps.count(0),
            ramped_up=sum(step > 0 for step in steps),
            share=self.bounds.roster.heard_share(now_s) if steps else 1.0,
            diverted=self._diverted,
            refused=self._refused,
            withdrawn=self._withdrawn,
        )
        self._diverted = self._refused = self._withdrawn = 0
        return use

    def _learn(
        self,
        endpoint: str,
        service: str,
        left_s: float,
        now_s: float,
        source: str,
        reporter: str = "",
    ) -> None:
        """Record that an endpoint is cold, if its service has a limit."""
        if not self._configured:
            self._keep_unlisted(endpoint, left_s, now_s)
            return
        limit = self._limits.get(service)
        if limit is None or not left_s > 0.0:
            return
        until_s = now_s + min(left_s, MAX_COLD_S)
        cold = self._cold.get(endpoint)
        own_until_s = 0.0 if reporter else until_s
        if cold is not None and until_s <= cold.until_s + SAME_PERIOD_S:
            cold.until_s = max(cold.until_s, until_s)
            cold.own_until_s = max(cold.own_until_s, own_until_s)
            return
        # What was sent before is not counted, unless it was cold then.
        in_use = self.service_of(endpoint) is not None
        quiet = in_use and (cold is None or now_s >= cold.until_s)
        reason = "the endpoint is cold"
        if cold is None:
            cold = self._cold[endpoint] = ColdPeriod(
                endpoint,
                service,
                limit,
                until_s,
                self.bounds,
                TokenBucket(0.0, now_s),
                self.bounds.rng.random(),
            )
        else:
            reason = "the endpoint is cold again"
            cold.fill(0, now_s)
            cold.tokens.level = min(0.0, cold.tokens.level)
            cold.sent_here = cold.sent_elsewhere = 0
            cold.diverted = cold.refused = cold.withdrawn = 0
        cold.until_s, cold.ended = until_s, False
        cold.own_until_s = max(cold.own_until_s, own_until_s)
        if quiet:
            cold.quiet_until_s = now_s + WINDOW_S
        self.on_cold(endpoint)
        self._log("cold_began", reason, endpoint, now_s, source, reporter)
        if not reporter:
            self.report(ColdEndpoint(endpoint, until_s - now_s))

    def _keep_unlisted(
        self, endpoint: str, left_s: float, now_s: float
    ) -> None:
        """Keep a report on an endpoint whose service is not known yet."""
        if not left_s > 0.0:
            return
        is_new = endpoint not in self._unlisted
        if is_new and len(self._unlisted) >= MAX_UNLISTED:
            self._unlisted.pop(next(iter(self._unlisted)))
        until_s = now_s + min(left_s, MAX_COLD_S)
        self._unlisted[endpoint] = max(
            until_s, self._unlisted.get(endpoint, 0.0)
        )

    def _log(
        self,
        kind: str,
        reason: str,
        endpoint: str,
        now_s: float,
        source: str = "",
        reporter: str = "",
    ) -> None:
        """Log the begin or the end of a cold period."""
        cold = self._cold[endpoint]
        inputs: dict[str, float | int | str] = {
            "per_s": cold.limit.per_s,
            "share": round(self.bounds.roster.heard_share(now_s), 3),
            "quota": cold.quota(0),
        }
        if kind == "cold_began":
            inputs["left_s"] = round(cold.until_s - now_s, 3)
            inputs["source"] = source
            inputs["reporter"] = reporter
        else:
            inputs["here"] = cold.sent_here
            inputs["elsewhere"] = cold.sent_elsewhere
            inputs["diverted"] = cold.diverted
            inputs["refused"] = cold.refused
            inputs["withdrawn"] = cold.withdrawn
        self.on_decision(
            Decision(
                kind,
                reason,
                service=cold.service,
                endpoint=endpoint,
                inputs=inputs,
            )
        )
