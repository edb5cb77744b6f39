"""Priority of callers that were refused and return at the time they got.

A router that refuses a request for lack of capacity gives its caller a time
to return, keeps a *promise* of it and tells the peers.  Any router recognises
the returning request by its digest.  It is then admitted as if its workspace
had used one share less, with the latency target counted from the caller's
first attempt.  New requests see the promised prefill that falls due before
they would begin as additional wait.

Promised prefill is summed in time slots, so that no decision looks at all
promises.  A lost message or a restart only loses the priority.
"""

from __future__ import annotations

import heapq
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from copy import copy
from dataclasses import dataclass, field
from random import Random
from typing import Final

from bulrushstream.coordination.returnplan import (
    HORIZON_S,
    SLOT_S,
    ReturnNeed,
    ReturnPlan,
    plan_return,
)
from bulrushstream.state.peerupdate import PeerUpdate
from bulrushstream.state.returns import ReturnPromise, ReturnReport

MAX_PROMISES: Final = 4096

# Bounds of what a peer may promise.
MAX_PREFILL_TOKENS: Final = 1_000_000
MAX_DEADLINE_S: Final = 600.0

# A request is recognised this long before its time: peers learn of it late
# by the batching of updates (up to 12 ms) and the way.
EARLY_TOLERANCE_S: Final = 0.03

# Prefill is kept free for a promise until this long after its time, which
# covers the caller's new connection and the message that it returned.
GRACE_S: Final = 0.1

# A workspace beyond this use of its share has no priority, and nothing is
# kept free for it: its requests are the first to be refused.
MAX_SHARE_USED: Final = 1.5

# Promised prefill counts with this weight as wait of new requests: the
# permitted waits of these are short against the time in which promises fall
# due.  With full weight 0.686 of the callers were on time in place of 0.733
# (8 routers, 6 engines, 1.5 times their capacity).
PROMISED_WEIGHT: Final = 0.25

# A returning request is judged at this use of its workspace's share at least.
# With 0, the engines' queues were so long that some seconds served only 0.06
# of the new requests, with as many callers on time in all.
MIN_SHARE_USED: Final = 0.6

# The weight of one promise in the average of those whose callers returned.
KEPT_GAIN: Final = 0.02


@dataclass(slots=True)
class Promise:
    """A promise, in the router's own time."""

    digest: int
    service: str
    first_attempt_s: float
    due_s: float
    deadline_s: float
    reserved_tokens: int  # Kept free for it now.
    # Whether it goes before new requests.  Without bounds on the prefill of
    # those that do, hardly any new request would be served.
    has_priority: bool


@dataclass(slots=True)
class ReturnPromises:
    """The promises of all routers, as far as this one was told."""

    # Called with each promise that this router makes, and with the digest of
    # each request that returned here.
    report: Callable[[ReturnPromise], None] = lambda promise: None
    report_returned: Callable[[int], None] = lambda digest: None
    # The share of the promises whose callers came in time.
    kept_share: float = 1.0
    # Services whose routes have different latency targets.
    _services: frozenset[str] = frozenset()
    _promises: OrderedDict[int, Promise] = field(default_factory=OrderedDict)
    # Promised prefill tokens by service and slot.
    _slots: dict[str, dict[int, int]] = field(default_factory=dict)
    # When the reserve or the promise ends, by digest.
    _ends: list[tuple[float, int]] = field(default_factory=list)
    _refusals: Counter[str] = field(default_factory=Counter)
    _events: Counter[str] = field(default_factory=Counter)

    def __bool__(self) -> bool:
        """Return whether there is any promise."""
        return bool(self._promises)

    def copied(self) -> ReturnPromises:
        """Return a copy that reports nothing; it may be used up."""
        return ReturnPromises(
            kept_share=self.kept_share,
            _services=self._services,
            _promises=OrderedDict(
                (digest, copy(each)) for digest, each in self._promises.items()
            ),
            _slots={name: dict(each) for name, each in self._slots.items()},
            _ends=list(self._ends),
        )

    # --- Where it acts.

    def configure(self, services: Iterable[str]) -> None:
        """Set where promises are made.

        :param services: the services that mix long and short prompts; at
            others refused requests are treated as before
        """
        self._services = frozenset(services)
        for digest, promise in list(self._promises.items()):
            if promise.service not in self._services:
                self._remove(digest)

    def acts_for(self, service: str) -> bool:
        """Return whether promises are made for a service.

        :param service: the service's name
        """
        return service in self._services

    # --- Requests that arrive.

    def take(self, digest: int, now_s: float) -> Promise | None:
        """Use up the promise of a request that returns; None: it has none.

        :param digest: the request's digest
        :param now_s: the time
        """
        promise = self._promises.get(digest)
        if promise is None or now_s >= promise.deadline_s:
            return None
        if now_s < promise.due_s - EARLY_TOLERANCE_S:
            self._events["too_early"] += 1
            return None
        self._returned(digest)
        self._events["returned"] += 1
        self.report_returned(digest)
        return promise

    def promised_wait_s(
        self,
        service: str,
        engines: int,
        tokens_per_s: float,
        within_s: float,
        now_s: float,
    ) -> float:
        """Return the wait that promises mean for a new request.

        An engine without work is not left idle for them.

        :param service: the service's name
        :param engines: the number of its engines in use
        :param tokens_per_s: the prefill rate of one engine
        :param within_s: promises count that fall due within this time
        :param now_s: the time
        """
        slots = self._slots.get(service)
        if not slots or within_s <= 0.0:
            return 0.0
        first = int((now_s - GRACE_S) / SLOT_S)
        last = int((now_s + min(within_s, HORIZON_S)) / SLOT_S)
        tokens = sum(slots.get(slot, 0) for slot in range(first, last + 1))
        weight = PROMISED_WEIGHT * self.kept_share
        return tokens * weight / (max(1, engines) * tokens_per_s)

    def ended(self, *, sent: bool) -> None:
        """Count the end of a request that had returned.

        :param sent: whether it was sent to an endpoint
        """
        self._events["served" if sent else "refused_again"] += 1

    # --- Requests that are refused.

    def refused(self, reason: str) -> None:
        """Count a request for a model that is refused.

        :param reason: why
        """
        self._refusals[reason] += 1

    def open_until_s(self, digest: int, now_s: float) -> float | None:
        """Return when a request may return that has a promise already.

        :param digest: the request's digest
        :param now_s: the time
        :returns: the time; None: it has no promise that falls due later
        """
        promise = self._promises.get(digest)
        if promise is None or promise.due_s <= now_s:
            return None
        return promise.due_s

    def plan(
        self, need: ReturnNeed, now_s: float, rng: Random
    ) -> ReturnPlan | None:
        """Return when a refused request should return; None: never.

        :param need: the request
        :param now_s: the time
        :param rng: spreads the returns
        """
        slots = self._slots.get(need.service, {})
        return plan_return(need, slots, self.kept_share, now_s, rng)

    def promise(self, promise: ReturnPromise, now_s: float) -> None:
        """Keep a promise of this router and tell the peers.

        :param promise: the promise
        :param now_s: the time
        """
        self._events["promised" if promise.prefill_tokens else "told"] += 1
        self._add(promise, now_s)
        self.report(promise)

    # --- Peers and time.

    def apply_update(self, update: PeerUpdate, now_s: float) -> None:
        """Apply the promises in an update of another router.

        :param update: the update
        :param now_s: the time
        """
        for promise in update.promises:
            if promise.service in self._services and promise.digest:
                self._add(promise, now_s)
        for digest in update.returned:
            self._returned(digest)

    def sweep(self, now_s: float) -> None:
        """Drop promises past their caller's deadline; called often.

        :param now_s: the time
        """
        while self._ends and self._ends[0][0] <= now_s:
            _, digest = heapq.heappop(self._ends)
            promise = self._promises.get(digest)
            if promise is None:
                continue
            if promise.deadline_s <= now_s:
                self._remove(digest)
            elif promise.reserved_tokens and promise.due_s + GRACE_S <= now_s:
                self._events["not_returned"] += 1
                self._count_kept(0.0)
                self._release(promise)

    def take_report(self) -> ReturnReport:
        """Return what happened since the last report."""
        report = ReturnReport(
            self._refusals, self._events, len(self._promises), self.kept_share
        )
        self._refusals, self._events = Counter(), Counter()
        return report

    def _add(self, told: ReturnPromise, now_s: float) -> None:
        """Keep a promise; its times are bounded, as a peer may send any."""
        known = self._promises.get(told.digest)
        if known is not None and known.due_s > now_s:
            # Two callers with the same request share one promise.
            return
        self._remove(told.digest)
        due_s = now_s + min(max(0.0, told.due_s), HORIZON_S)
        deadline_s = now_s + min(told.deadline_s, MAX_DEADLINE_S)
        if deadline_s <= due_s:
            return
        tokens = min(max(0, told.prefill_tokens), MAX_PREFILL_TOKENS)
        promise = Promise(
            told.digest,
            told.service,
            now_s - max(0.0, told.age_s),
            due_s,
            deadline_s,
            tokens,
            tokens > 0,
        )
        if len(self._promises) >= MAX_PROMISES:
            self._remove(next(iter(self._promises)))
        self._promises[told.digest] = promise
        if promise.reserved_tokens:
            slots = self._slots.setdefault(told.service, {})
            slot = int(due_s / SLOT_S)
            slots[slot] = slots.get(slot, 0) + promise.reserved_tokens
            heapq.heappush(self._ends, (due_s + GRACE_S, told.digest))
        heapq.heappush(self._ends, (deadline_s, told.digest))
        if len(self._ends) > 4 * MAX_PROMISES:
            self._rebuild_ends()

    def _rebuild_ends(self) -> None:
        """Leave out the ends of promises that were dropped."""
        self._ends = [
            (end_s, digest)
            for digest, promise in self._promises.items()
            for end_s in (promise.due_s + GRACE_S, promise.deadline_s)
        ]
        heapq.heapify(self._ends)

    def _returned(self, digest: int) -> None:
        """Drop a promise whose caller returned."""
        promise = self._promises.get(digest)
        if promise is not None:
            if promise.reserved_tokens:
                self._count_kept(1.0)
            self._remove(digest)

    def _remove(self, digest: int) -> None:
        """Drop a promise and what is reserved for it."""
        promise = self._promises.pop(digest, None)
        if promise is not None:
            self._release(promise)

    def _release(self, promise: Promise) -> None:
        """Give back what is reserved for a promise."""
        tokens, promise.reserved_tokens = promise.reserved_tokens, 0
        if not tokens:
            return
        slots = self._slots[promise.service]
        slot = int(promise.due_s / SLOT_S)
        left = slots[slot] - tokens
        if left:
            slots[slot] = left
        else:
            del slots[slot]

    def _count_kept(self, kept: float) -> None:
        """Count a promise whose caller came in time, or did not."""
        self.kept_share += KEPT_GAIN * (kept - self.kept_share)


def has_priority(share_used: float, *, stale: bool) -> bool:
    """Return whether a workspace's requests have priority if they return.

    :param share_used: the used part of its share
    :param stale: whether what the peers grant now is not known, and so
        whether the workspace is within its share
    """
    return share_used <= MAX_SHARE_USED and not stale


def returning_share_used(share_used: float) -> float:
    """Return the use of its share at which a returning request is judged.

    Returning requests go before new ones of the same workspace and of others
    within their shares.  A workspace beyond its share is never judged as one
    within it: the one furthest over its share is refused first.

    :param share_used: the used part of its workspace's share
    """
    floor = MIN_SHARE_USED if share_used <= 1.0 else 1.0
    return min(share_used, max(floor, share_used - 1.0))
