"""The two limits of one cold endpoint, as one router keeps them.

All routers take tokens from a bucket, of which each keeps a copy.  And each
router has a *quota*, the most that it sends in one second, whatever it hears.
After the cold period both double in steps, and then end.
"""

from __future__ import annotations

import math
from collections import deque
from copy import copy
from dataclasses import dataclass, field, replace
from random import Random
from typing import Final

from bulrushstream.coordination.routerroster import RouterRoster
from bulrushstream.coordination.tokenbucket import TokenBucket

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


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """What the cold endpoints of a service tolerate."""

    per_s: float  # Requests a second.
    start_s: float  # How long an endpoint is cold after its start.


@dataclass(slots=True)
class ColdBounds:
    """What a router needs to know for the limits of all cold endpoints."""

    roster: RouterRoster
    rng: Random
    # A cold endpoint gets at most `per_s` times the first figure, and the
    # second one, in any second from all routers.
    overshoot: float = 1.5
    slack: float = 5.0


@dataclass(slots=True)
class ColdPeriod:
    """One endpoint that is cold or ramped up."""

    endpoint: str  # Its id.
    service: str
    limit: ColdLimit
    until_s: float  # The end of its cold period.
    bounds: ColdBounds
    tokens: TokenBucket
    wait: float  # What this router waits for beyond one token.
    own_until_s: float = 0.0  # The end as far as no peer reported it.
    quiet_until_s: float = 0.0  # It gets nothing from here before this.
    ended: bool = False  # Whether the end of the cold period is logged.
    sent: deque[float] = field(default_factory=deque)  # By this router.
    # Attempts that are placed here and not sent yet.
    unsent: set[int] = field(default_factory=set)
    sent_here: int = 0  # Requests of this router in this period,
    sent_elsewhere: int = 0  # and of its peers.
    diverted: int = 0  # Requests that went to another endpoint.
    refused: int = 0  # Requests that no endpoint could take.
    withdrawn: int = 0  # Requests that waited for a connection in vain.
    _quota: int = 0  # What this router may send in a second,
    _quota_key: tuple[float, ...] = ()  # and what it was computed from.

    def copied(self) -> ColdPeriod:
        """Return a copy; what it computes leaves the original unchanged."""
        bounds = replace(self.bounds, roster=copy(self.bounds.roster))
        found = copy(self)
        found.bounds, found.tokens = bounds, copy(self.tokens)
        found.sent, found.unsent = deque(self.sent), set(self.unsent)
        return found

    def step(self, now_s: float) -> int:
        """Return the step of the ramp-up; 0: cold, -1: it has ended.

        :param now_s: the time
        """
        if now_s < self.until_s:
            return 0
        start_s = self.limit.start_s
        after_s = now_s - self.until_s
        if after_s >= start_s:
            return -1
        return 1 + min(RAMP_STEPS - 1, int(RAMP_STEPS * after_s / start_s))

    def room_s(self, now_s: float) -> float:
        """Return the time until there is room for a request; 0: now.

        A router without a quota names the time until a token is there, as
        callers usually return to another router.

        :param now_s: the time
        """
        step = 0 if now_s < self.until_s else self.step(now_s)
        if step < 0:
            return 0.0
        rate_per_s = self.fill(step, now_s)
        roster = self.bounds.roster
        quiet_s = max(self.quiet_until_s, roster.settled_s) - now_s
        wait_s = (1.0 + self.wait - self.tokens.level) / rate_per_s
        wait_s = max(0.0, wait_s, quiet_s)
        quota = self.quota(step)
        if quota > 0 and (self.sent or self.unsent):
            wait_s = max(wait_s, self.quota_wait_s(quota, now_s))
        if quota > 0 and wait_s <= 0.0:
            return 0.0
        left_s = self.until_s + self.limit.start_s - now_s
        if quota > 0:
            return min(left_s, wait_s)
        if self._budget(step) > 0:
            return min(left_s, max(wait_s, 1.0 / rate_per_s))
        return left_s

    def may_send(self, now_s: float) -> bool:
        """Return whether the quota and the quiet time permit a request.

        :param now_s: the time
        """
        quota = self.quota(self.step(now_s))
        if now_s < self.quiet_until_s or quota <= 0:
            return False
        return self.quota_wait_s(quota, now_s) <= 0.0

    def quota(self, step: int) -> int:
        """Return what this router may send in one second, whatever it hears.

        The routers get one request each in the order of their ranks, again
        and again until the budget is used up.  A router that knows of more
        routers gets as much or less.

        :param step: the step of the ramp-up
        """
        bounds, roster = self.bounds, self.bounds.roster
        per_s = self.limit.per_s
        key = step, roster.version, per_s, bounds.overshoot, bounds.slack
        if self._quota_key != key:
            self._quota_key = key
            rest = self._budget(step) - roster.own_rank(self.endpoint)
            self._quota = max(0, math.ceil(rest / roster.count))
        return self._quota

    def quota_wait_s(self, quota: int, now_s: float) -> float:
        """Return the time until a quota has room; 0: it has.

        :param quota: the value of `quota`, above 0
        :param now_s: the time
        """
        sent = self.sent
        while sent and sent[0] <= now_s - WINDOW_S:
            sent.popleft()
        excess = len(sent) + len(self.unsent) - quota
        if excess < 0:
            return 0.0
        if excess >= len(sent):
            return WINDOW_S
        return max(0.0, sent[excess] + WINDOW_S - now_s)

    def fill(self, step: int, now_s: float) -> float:
        """Fill the bucket and return the rate at which it fills.

        :param step: the step of the ramp-up
        :param now_s: the time
        """
        share = self.bounds.roster.heard_share(now_s)
        rate_per_s = self.limit.per_s * (1 << step) * share
        self.tokens.fill(rate_per_s, CAPACITY, now_s)
        return rate_per_s

    def take(self, now_s: float) -> None:
        """Take the token of a request of any router.

        :param now_s: the time
        """
        step = max(0, self.step(now_s))
        self.fill(step, now_s)
        self.tokens.take(float(max(1, self._budget(step))))
        self.wait = self.bounds.rng.random()

    def give_back(self, sent_s: float) -> None:
        """Give back the token of a request that this router sent in vain.

        :param sent_s: when it was sent
        """
        if sent_s in self.sent:
            self.sent.remove(sent_s)
            self.tokens.level = min(CAPACITY, self.tokens.level + 1.0)
            self.sent_here -= 1

    def _budget(self, step: int) -> int:
        """Return what all routers that are known may send in one second."""
        per_s = self.limit.per_s * (1 << step)
        bounds = self.bounds
        # A product such as 0.1 * 30 may be just below a whole number.
        bound = math.floor(per_s * bounds.overshoot + bounds.slack + 1e-9)
        if bound < 1:
            return 0
        return max(1, bound - math.ceil(bound * RESERVE_SHARE - 1e-9))
