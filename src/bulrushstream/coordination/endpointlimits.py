"""Keeps the requests of all routers to the limits that endpoints name.

An endpoint in need names in its answers how many requests a second it takes
from all routers together, for as long as it says so.  Routers report each
request that they place to each other, so each one keeps the same *token
bucket* of an endpoint: it fills at the limit and each request of any router
takes a token.  What routers take at the same moment leaves a debt, which
later tokens make up for.  Each router waits for a random part of a token
more than one, so that they seldom take the same one.

A silent router still counts for a time: the others leave its share to it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from copy import copy
from dataclasses import dataclass, field, replace
from random import Random
from typing import Final

from bulrushstream.coordination.routerpresence import RouterPresence
from bulrushstream.coordination.tokenbucket import TokenBucket
from bulrushstream.state.effect import Decision
from bulrushstream.state.peerupdate import EndpointLimit, PeerUpdate

# A bucket holds this many tokens, and those of this time at the limit.
BURST_REQUESTS: Final = 2.0
BURST_S: Final = 0.1

# Debt counts up to the tokens of this time, so that a wrong count is
# forgotten, but at least this many requests.
MAX_DEBT_S: Final = 4.0
MIN_DEBT_REQUESTS: Final = 5.0

# An endpoint gets this many requests a second even if it names less, as only
# an answer tells when the limit ends.
MIN_PER_S: Final = 0.25

# How often a limit's use is logged.
LOG_INTERVAL_S: Final = 4.0

MAX_REPEATED: Final = 4  # Limits that one heartbeat reports to the peers.


@dataclass(slots=True)
class _Bucket:
    """The limit of one endpoint and the tokens that are left of it."""

    per_s: float  # As the endpoint named it.
    named_s: float  # When an answer last named it, to any router.
    tokens: TokenBucket
    wait: float  # What this router waits for beyond one token.
    logged_s: float  # When its use was last logged.
    taken_here: int = 0  # Requests since then, of this router,
    taken_elsewhere: int = 0  # and of its peers.
    refused: int = 0  # Those for which there was no token, here.

    @property
    def rate_per_s(self) -> float:
        """Return the rate at which it fills if all routers are heard."""
        return max(MIN_PER_S, self.per_s)

    @property
    def capacity(self) -> float:
        """Return the largest number of tokens."""
        return BURST_REQUESTS + BURST_S * self.rate_per_s

    @property
    def max_debt(self) -> float:
        """Return the largest debt."""
        return max(MIN_DEBT_REQUESTS, MAX_DEBT_S * self.rate_per_s)


@dataclass(slots=True)
class EndpointLimits:
    """The limits that are in force, and what is left of them."""

    on_decision: Callable[[Decision], None]  # Called for each change.
    presence: RouterPresence
    rng: Random
    # Called with each limit that this router learned from an endpoint.
    report: Callable[[EndpointLimit], None] = lambda limit: None
    # Returns whether a process may be the one that has its id; takes the id
    # and when the process started.
    is_listed: Callable[[str, str], bool] = lambda endpoint, born: True
    _buckets: dict[str, _Bucket] = field(default_factory=dict)
    _bad: set[str] = field(default_factory=set)  # Logged endpoints.
    _repeated: int = 0  # Counts the limits that heartbeats reported.

    def __bool__(self) -> bool:
        """Return whether any limit is in force."""
        return bool(self._buckets)

    # --- What endpoints name.

    def observe(
        self, endpoint: str, per_s: float | None, sent_s: float, now_s: float
    ) -> None:
        """Record what an answer says of its endpoint's limit.

        :param endpoint: the endpoint's id
        :param per_s: the limit in requests a second; None: none is named
        :param sent_s: when the request was sent
        :param now_s: the time
        """
        bucket = self._buckets.get(endpoint)
        if per_s is None and (bucket is None or sent_s < bucket.named_s):
            return
        if self._set(endpoint, per_s, "", now_s, now_s):
            self.report(EndpointLimit(endpoint, per_s))

    def observe_bad(self, endpoint: str, value: str) -> None:
        """Record a value that is no limit; the known limit remains.

        :param endpoint: the endpoint's id
        :param value: what it named
        """
        if endpoint in self._bad:
            return
        self._bad.add(endpoint)
        self.on_decision(
            Decision(
                "bad_limit",
                "the limit can not be read",
                endpoint=endpoint,
                inputs={"value": value},
            )
        )

    def apply_update(self, update: PeerUpdate, now_s: float) -> None:
        """Apply the limits that another router reports.

        :param update: the update
        :param now_s: the time
        """
        for limit in update.limits:
            if not self.is_listed(limit.endpoint, limit.born):
                continue
            at_s = now_s - limit.age_s
            bucket = self._buckets.get(limit.endpoint)
            if bucket is None or at_s > bucket.named_s:
                self._set(
                    limit.endpoint, limit.per_s, update.instance, at_s, now_s
                )

    def limits_to_repeat(self, now_s: float) -> tuple[EndpointLimit, ...]:
        """Return the limits that the next heartbeat reports.

        :param now_s: the time
        """
        buckets = list(self._buckets.items())
        count = min(MAX_REPEATED, len(buckets))
        first = self._repeated
        self._repeated += count
        chosen = [buckets[(first + n) % len(buckets)] for n in range(count)]
        return tuple(
            EndpointLimit(endpoint, bucket.per_s, now_s - bucket.named_s)
            for endpoint, bucket in chosen
        )

    def known(self) -> list[tuple[str, float]]:
        """Return each endpoint with a limit, in requests a second."""
        return [(name, each.per_s) for name, each in self._buckets.items()]

    def forget(self, endpoint: str) -> None:
        """Remove an endpoint that is no longer in the list.

        :param endpoint: the endpoint's id
        """
        self._buckets.pop(endpoint, None)
        self._bad.discard(endpoint)
        self.presence.forget_endpoint(endpoint)

    # --- Requests.

    def room_s(self, endpoint: str, now_s: float) -> float:
        """Return the time until the limit has room for a request; 0: now.

        :param endpoint: the endpoint's id
        :param now_s: the time
        """
        bucket = self._buckets.get(endpoint)
        if bucket is None:
            return 0.0
        return self._room_s(endpoint, bucket, now_s)

    def peek_room_s(self, endpoint: str, now_s: float) -> float:
        """Return the same as `room_s`, and change nothing.

        :param endpoint: the endpoint's id
        :param now_s: the time
        """
        bucket = self._buckets.get(endpoint)
        if bucket is None:
            return 0.0
        copied = replace(bucket, tokens=copy(bucket.tokens))
        return self._room_s(endpoint, copied, now_s)

    def _room_s(self, endpoint: str, bucket: _Bucket, now_s: float) -> float:
        """Fill a bucket and return the time until it has room; 0: now."""
        self._fill(endpoint, bucket, now_s)
        missing = bucket.tokens.missing(1.0 + bucket.wait)
        if missing <= 0.0:
            return 0.0
        return missing / self._rate_per_s(endpoint, bucket, now_s)

    def placed(
        self, endpoint: str, now_s: float, *, elsewhere: bool = False
    ) -> None:
        """Count a request that is sent to an endpoint.

        :param endpoint: the endpoint's id
        :param now_s: the time
        :param elsewhere: whether another router sends it
        """
        bucket = self._buckets.get(endpoint)
        if bucket is None:
            return
        self._fill(endpoint, bucket, now_s)
        bucket.tokens.take(bucket.max_debt)
        bucket.wait = self.rng.random()
        if elsewhere:
            bucket.taken_elsewhere += 1
        else:
            bucket.taken_here += 1

    def refused(self, endpoints: Iterable[str]) -> None:
        """Count a request that is refused, as no limit had room for it.

        :param endpoints: the ids of the endpoints
        """
        for endpoint in endpoints:
            bucket = self._buckets.get(endpoint)
            if bucket is not None:
                bucket.refused += 1

    def sweep(self, now_s: float) -> None:
        """Log the use of the limits; called often.

        :param now_s: the time
        """
        for endpoint, bucket in self._buckets.items():
            if now_s - bucket.logged_s < LOG_INTERVAL_S:
                continue
            self.on_decision(
                Decision(
                    "limit_use",
                    "requests since the line before",
                    endpoint=endpoint,
                    inputs={
                        "per_s": bucket.per_s,
                        "share": self._share(endpoint, now_s),
                        "here": bucket.taken_here,
                        "elsewhere": bucket.taken_elsewhere,
                        "refused": bucket.refused,
                        "level": round(bucket.tokens.level, 2),
                    },
                )
            )
            bucket.logged_s = now_s
            bucket.taken_here = bucket.taken_elsewhere = bucket.refused = 0

    def _set(
        self,
        endpoint: str,
        per_s: float | None,
        reporter: str,
        at_s: float,
        now_s: float,
    ) -> bool:
        """Set or end a limit; return whether it has changed."""
        bucket = self._buckets.get(endpoint)
        before = None if bucket is None else bucket.per_s
        if bucket is not None:
            bucket.named_s = max(bucket.named_s, at_s)
        if per_s == before:
            return False
        if per_s is None:
            del self._buckets[endpoint]
        elif bucket is None:
            self._buckets[endpoint] = _Bucket(
                per_s,
                at_s,
                TokenBucket(0.0, now_s),
                self.rng.random(),
                now_s,
            )
        else:
            self._fill(endpoint, bucket, now_s)
            bucket.per_s = per_s
            bucket.tokens.level = min(bucket.tokens.level, 1.0)
        named = "names a limit" if per_s is not None else "names none any more"
        self.on_decision(
            Decision(
                "endpoint_limit",
                f"the endpoint {named}",
                endpoint=endpoint,
                inputs={
                    "per_s": -1.0 if per_s is None else per_s,
                    "share": self._share(endpoint, now_s),
                    "reporter": reporter,
                    "age_s": round(now_s - at_s, 3),
                },
            )
        )
        return True

    def _share(self, endpoint: str, now_s: float) -> float:
        """Return the part of a limit that the routers heard here may use."""
        return round(self.presence.heard_share(endpoint, now_s), 3)

    def _rate_per_s(
        self, endpoint: str, bucket: _Bucket, now_s: float
    ) -> float:
        """Return the rate at which a bucket fills."""
        share = self.presence.heard_share(endpoint, now_s)
        return bucket.rate_per_s * share

    def _fill(self, endpoint: str, bucket: _Bucket, now_s: float) -> None:
        """Add the tokens since the bucket was last filled."""
        rate_per_s = self._rate_per_s(endpoint, bucket, now_s)
        bucket.tokens.fill(rate_per_s, bucket.capacity, now_s)
