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
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Final

from bulrushstream.coordination.routerroster import RouterRoster
from bulrushstream.coordination.tokenbucket import TokenBucket
from bulrushstream.state.effect import Decision
from bulrushstream.state.peerupdate import ColdEndpoint, PeerUpdate
from bulrushstream.state.routes import EndpointEntry, PooledService
from bulrushstream.state.usage import ColdUse

# The bound counts the requests of one second; the rest is for timers.
WINDOW_S: Final = 1.05

# This part of the bound is left for routers that others do not know yet, and
# for requests that are sent late.
RESERVE_SHARE: Final = 0.2

# The largest number of tokens.  A request needs one and a random part of
# another one, so that routers seldom take the same.
CAPACITY: Final = 2.0

# The rate doubles with each step of the ramp-up, which ends after these.
RAMP_STEPS: Final = 4

# Reports of one cold period differ by the age of the list's entries, up to
# this time.  One that ends later is of another period.
SAME_PERIOD_S: Final = 1.0

# Longer remaining times are cut; entries are renewed well within it.
MAX_COLD_S: Final = 60.0

MAX_REPEATED: Final = 8  # Cold endpoints that one heartbeat reports.
MAX_UNLISTED: Final = 256  # Reported endpoints that are not listed yet.


@dataclass(frozen=True, slots=True)
class _Limit:
    """What the cold endpoints of a service tolerate."""

    per_s: float  # Requests a second.
    start_s: float  # How long an endpoint is cold after its start.


@dataclass(slots=True)
class _Cold:
    """One endpoint that is cold or ramped up."""

    service: str
    limit: _Limit
    until_s: float  # The end of its cold period.
    tokens: TokenBucket
    wait: float  # What this router waits for beyond one token.
    own_until_s: float = 0.0  # The end as far as no peer reported it.
    quiet_until_s: float = 0.0  # It gets nothing from here before this.
    ended: bool = False  # Whether the end of the cold period is logged.
    quota: int = 0  # What this router may send in a second,
    quota_key: tuple[float, ...] = ()  # and what it was computed from.
    sent: deque[float] = field(default_factory=deque)  # By this router.
    # Attempts that are placed here and not sent yet.
    unsent: set[int] = field(default_factory=set)
    sent_here: int = 0  # Requests of this router in this period,
    sent_elsewhere: int = 0  # and of its peers.
    diverted: int = 0  # Requests that went to another endpoint.
    refused: int = 0  # Requests that no endpoint could take.
    withdrawn: int = 0  # Requests that waited for a connection in vain.

    def step(self, now_s: float) -> int:
        """Return the step of the ramp-up; 0: cold, -1: it has ended."""
        if now_s < self.until_s:
            return 0
        start_s = self.limit.start_s
        after_s = now_s - self.until_s
        if after_s >= start_s:
            return -1
        return 1 + min(RAMP_STEPS - 1, int(RAMP_STEPS * after_s / start_s))


@dataclass(slots=True)
class ColdStarts:
    """The cold endpoints, and what this router may send to them."""

    on_decision: Callable[[Decision], None] = lambda decision: None
    roster: RouterRoster = field(default_factory=RouterRoster)
    rng: Random = field(default_factory=lambda: Random(0))
    # A cold endpoint gets at most `per_s` times the first figure, and the
    # second one, in any second from all routers.
    overshoot: float = 1.5
    slack: float = 5.0
    # Called with each cold endpoint that this router learned of itself.
    report: Callable[[ColdEndpoint], None] = lambda cold: None
    # Called with the id of an endpoint that has lost its history.
    on_cold: Callable[[str], None] = lambda endpoint: None
    # Returns the service of a listed endpoint; None: it is not listed.
    service_of: Callable[[str], str | None] = lambda endpoint: None
    _limits: dict[str, _Limit] = field(default_factory=dict)  # By service.
    _logged_limits: set[tuple[str, str]] = field(default_factory=set)
    _configured: bool = False
    _cold: dict[str, _Cold] = field(default_factory=dict)  # By endpoint.
    # Ends of cold periods of endpoints whose service is not known yet.
    _unlisted: dict[str, float] = field(default_factory=dict)
    _repeated: int = 0  # Counts the endpoints that heartbeats reported.
    _diverted: int = 0  # Requests since the last report, as in `_Cold`.
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
                self._limits[service.name] = _Limit(per_s, start_s)
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
        count = min(MAX_REPEATED, len(known))
        first = self._repeated
        self._repeated += count
        return tuple(known[(first + n) % len(known)] for n in range(count))

    # --- Requests.

    def room_s(self, endpoint: str, now_s: float) -> float:
        """Return the time until an endpoint may get a request; 0: now.

        A router without a quota names the time until a token is there, as
        callers usually return to another router.

        :param endpoint: the endpoint's id
        :param now_s: the time
        """
        cold = self._cold.get(endpoint)
        if cold is None:
            return 0.0
        step = 0 if now_s < cold.until_s else cold.step(now_s)
        if step < 0:
            return 0.0
        rate_per_s = self._fill(cold, step, now_s)
        wait_s = (1.0 + cold.wait - cold.tokens.level) / rate_per_s
        quiet_s = max(cold.quiet_until_s, self.roster.settled_s) - now_s
        wait_s = max(0.0, wait_s, quiet_s)
        quota = self._quota(endpoint, cold, step)
        if quota > 0:
            if cold.sent or cold.unsent:
                wait_s = max(wait_s, self._quota_wait_s(cold, quota, now_s))
            if wait_s <= 0.0:
                return 0.0
        left_s = cold.until_s + cold.limit.start_s - now_s
        if quota > 0:
            return min(left_s, wait_s)
        if self._budget(cold, step) > 0:
            return min(left_s, max(wait_s, 1.0 / rate_per_s))
        return left_s

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
        self._take(cold, now_s)
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
        if cold is None or (step := cold.step(now_s)) < 0:
            return True
        was_placed = number in cold.unsent
        cold.unsent.discard(number)
        quota = self._quota(endpoint, cold, step)
        if (
            now_s < cold.quiet_until_s
            or quota <= 0
            or self._quota_wait_s(cold, quota, now_s) > 0.0
        ):
            cold.withdrawn += 1
            self._withdrawn += 1
            return False
        if not was_placed:
            self._take(cold, now_s)
            cold.sent_here += 1
        cold.sent.append(now_s)
        return True

    def not_counted(self, endpoint: str, sent_s: float) -> None:
        """Return the token of a request that did not reach the endpoint.

        :param endpoint: the id of the endpoint that it was meant for
        :param sent_s: when it was sent
        """
        cold = self._cold.get(endpoint)
        if cold is not None and sent_s in cold.sent:
            cold.sent.remove(sent_s)
            cold.tokens.level = min(CAPACITY, cold.tokens.level + 1.0)
            cold.sent_here -= 1

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
        self.roster.sweep(now_s)
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
            share=self.roster.heard_share(now_s) if steps else 1.0,
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
            cold = self._cold[endpoint] = _Cold(
                service,
                limit,
                until_s,
                TokenBucket(0.0, now_s),
                self.rng.random(),
            )
        else:
            reason = "the endpoint is cold again"
            self._fill(cold, 0, now_s)
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
            "share": round(self.roster.heard_share(now_s), 3),
            "quota": self._quota(endpoint, cold, 0),
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

    # --- Limits.

    def _budget(self, cold: _Cold, step: int) -> int:
        """Return what all routers that are known may send in one second."""
        per_s = cold.limit.per_s * 2.0**step
        # A product such as 0.1 * 30 may be just below a whole number.
        bound = math.floor(per_s * self.overshoot + self.slack + 1e-9)
        if bound < 1:
            return 0
        return max(1, bound - math.ceil(bound * RESERVE_SHARE - 1e-9))

    def _quota(self, endpoint: str, cold: _Cold, step: int) -> int:
        """Return what this router may send in one second, whatever it hears.

        The routers get one request each in the order of their ranks, again
        and again until the budget is used up.  A router that knows of more
        routers gets as much or less.
        """
        version = self.roster.version
        key = step, version, cold.limit.per_s, self.overshoot, self.slack
        if cold.quota_key != key:
            cold.quota_key = key
            rank = self.roster.own_rank(endpoint)
            rest = self._budget(cold, step) - rank
            cold.quota = max(0, math.ceil(rest / self.roster.count))
        return cold.quota

    def _quota_wait_s(self, cold: _Cold, quota: int, now_s: float) -> float:
        """Return the time until the quota has room; 0: it has."""
        sent = cold.sent
        while sent and sent[0] <= now_s - WINDOW_S:
            sent.popleft()
        excess = len(sent) + len(cold.unsent) - quota
        if excess < 0:
            return 0.0
        if excess >= len(sent):
            return WINDOW_S
        return max(0.0, sent[excess] + WINDOW_S - now_s)

    def _fill(self, cold: _Cold, step: int, now_s: float) -> float:
        """Fill the bucket and return the rate at which it fills."""
        share = self.roster.heard_share(now_s)
        rate_per_s = cold.limit.per_s * 2.0**step * share
        cold.tokens.fill(rate_per_s, CAPACITY, now_s)
        return rate_per_s

    def _take(self, cold: _Cold, now_s: float) -> None:
        """Take the token of a request of any router."""
        step = max(0, cold.step(now_s))
        self._fill(cold, step, now_s)
        cold.tokens.take(float(max(1, self._budget(cold, step))))
        cold.wait = self.rng.random()
