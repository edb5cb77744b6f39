"""What endpoints say in their answers: that they rest, or that they leave.

A rest is between one router and one endpoint: other routers may go on.  It
holds also if the endpoint's entry is gone from the list for a time.  An
endpoint that leaves does so for good.  Only an entry that names another
process under its id ends either.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Final

from bulrushstream.state.effect import Decision
from bulrushstream.state.routes import EndpointEntry

# The longest rest that is kept, whatever an endpoint asks for.
MAX_REST_S: Final = 3600.0

# What an endpoint said is kept for this time after it left the list.
FORGET_S: Final = 60.0

# How long heartbeats repeat that an endpoint leaves.
REPEAT_S: Final = 3.0


@dataclass(slots=True)
class _Rest:
    """A rest that an endpoint asked for."""

    until_s: float
    turned_away: int = 0  # Requests that found no other endpoint.
    withdrawn: int = 0  # Requests that were to be sent there and were not.


@dataclass(slots=True)
class _Leaving:
    """An endpoint that says that it leaves."""

    entry: EndpointEntry | None  # As listed then; None: not listed.
    told_s: float  # When it said so, or a peer did.
    own: bool  # Whether it said so to this router.
    delisted_s: float = float("inf")  # When its entry was removed.
    born: str = ""  # The start of its process; empty: not told.


@dataclass(slots=True)
class EndpointNotices:
    """The rests and departures that one router knows of."""

    observe: Callable[[Decision], None]  # Logs a decision.
    # Tells the other routers of an endpoint that leaves.
    report_leaving: Callable[[str, str], None] = lambda endpoint, born: None
    _rests: dict[str, _Rest] = field(default_factory=dict)  # By endpoint.
    _leaving: dict[str, _Leaving] = field(default_factory=dict)
    _bad: set[str] = field(default_factory=set)  # Endpoints with bad values.

    def asked_for_rest(
        self, endpoint: str, rest_s: float, now_s: float
    ) -> None:
        """Keep a rest; an earlier one that ends later goes on.

        :param endpoint: the endpoint's id
        :param rest_s: the time for which it wants no request
        :param now_s: the time
        """
        rest_s = min(rest_s, MAX_REST_S)
        rest = self._rests.get(endpoint)
        if rest is not None and now_s + rest_s <= rest.until_s:
            return
        if rest is None:
            rest = self._rests[endpoint] = _Rest(now_s + rest_s)
            self.observe(
                Decision(
                    "endpoint_rest",
                    "the endpoint asks for rest",
                    endpoint=endpoint,
                    inputs={"rest_s": rest_s},
                )
            )
        rest.until_s = now_s + rest_s

    def bad_rest(self, endpoint: str, value: str) -> None:
        """Log a rest that can not be read, once for each endpoint.

        :param endpoint: the endpoint's id
        :param value: what its answer says
        """
        if endpoint in self._bad:
            return
        self._bad.add(endpoint)
        self.observe(
            Decision(
                "bad_rest",
                "the endpoint asks for a rest that can not be read",
                endpoint=endpoint,
                inputs={"value": value},
            )
        )

    def leaves(
        self,
        endpoint: str,
        entry: EndpointEntry | None,
        now_s: float,
        reporter: str = "",
        born: str = "",
    ) -> bool:
        """Record that an endpoint leaves; return whether that is new.

        :param endpoint: the endpoint's id
        :param entry: its entry in the list; None: it is not listed
        :param now_s: the time
        :param reporter: the router that told it; empty: its own answer
        :param born: the start of its process, if it is not listed
        """
        known = self._leaving.get(endpoint)
        if known is not None:
            known.own = known.own or not reporter
            return False
        if entry is not None:
            born = entry.born
        self._leaving[endpoint] = _Leaving(
            entry, now_s, not reporter, born=born
        )
        if not reporter:
            self.report_leaving(endpoint, born)
        self.observe(
            Decision(
                "endpoint_leaving",
                "the endpoint says that it leaves",
                endpoint=endpoint,
                inputs={"reporter": reporter},
            )
        )
        return True

    def rest_left_s(self, endpoint: str, now_s: float) -> float:
        """Return how long an endpoint rests; 0: it does not.

        :param endpoint: the endpoint's id
        :param now_s: the time
        """
        rest = self._rests.get(endpoint)
        return max(0.0, rest.until_s - now_s) if rest is not None else 0.0

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether an endpoint said that it leaves.

        :param endpoint: the endpoint's id
        """
        return endpoint in self._leaving

    def unavailable(self, now_s: float) -> set[str]:
        """Return the endpoints that leave or rest.

        :param now_s: the time
        """
        return {
            name
            for name in (*self._leaving, *self._rests)
            if self.is_leaving(name) or self.rest_left_s(name, now_s)
        }

    def turned_away(self, endpoint: str, *, withdrawn: bool = False) -> None:
        """Count a request that an endpoint's rest kept from it.

        :param endpoint: the endpoint's id
        :param withdrawn: whether it was to be sent there
        """
        rest = self._rests.get(endpoint)
        if rest is None:
            return
        if withdrawn:
            rest.withdrawn += 1
        else:
            rest.turned_away += 1

    def to_repeat(self, now_s: float) -> tuple[tuple[str, str], ...]:
        """Return the endpoints of which heartbeats tell that they leave.

        :param now_s: the time
        :returns: their ids and the starts of their processes
        """
        return tuple(
            (name, each.born)
            for name, each in self._leaving.items()
            if each.own and now_s - each.told_s <= REPEAT_S
        )

    def listed(self, entry: EndpointEntry) -> None:
        """Handle an entry of the list.

        :param entry: the entry
        """
        known = self._leaving.get(entry.endpoint)
        if known is None:
            return
        known.delisted_s = float("inf")
        before = known.entry or replace(entry, born=known.born)
        if entry.may_be_process_of(before):
            known.entry = entry.after(before)
            known.born = known.entry.born
        else:
            del self._leaving[entry.endpoint]

    def process_replaced(self, endpoint: str) -> None:
        """Forget what a process said, as another one has its id.

        :param endpoint: the id
        """
        self._rests.pop(endpoint, None)
        self._bad.discard(endpoint)

    def delisted(self, endpoint: str, now_s: float) -> None:
        """Handle an endpoint that is no longer in the list.

        :param endpoint: the endpoint's id
        :param now_s: the time
        """
        known = self._leaving.get(endpoint)
        if known is not None:
            known.delisted_s = now_s
        self._bad.discard(endpoint)

    def sweep(self, now_s: float) -> None:
        """End rests, and forget endpoints that are gone; called often.

        :param now_s: the time
        """
        for name, rest in list(self._rests.items()):
            if rest.until_s > now_s:
                continue
            del self._rests[name]
            self.observe(
                Decision(
                    "endpoint_rested",
                    "the rest of the endpoint has ended",
                    endpoint=name,
                    inputs={
                        "turned_away": rest.turned_away,
                        "withdrawn": rest.withdrawn,
                    },
                )
            )
        for name, known in list(self._leaving.items()):
            if now_s - known.delisted_s > FORGET_S:
                del self._leaving[name]
