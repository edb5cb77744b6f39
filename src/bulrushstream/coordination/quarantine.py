"""Quarantine of requests that were running when endpoints crashed.

A *fingerprint* identifies all requests with the same workspace, service
and content.  Each crash of an endpoint is a *strike* against every
fingerprint that was in flight there.  One strike makes a fingerprint
*suspected*; three put it in quarantine.  Strikes expire.  They are also
removed by an operator's *pardon*, or when a request of the fingerprint
ends without a crash; the fingerprint is then *proven* for a limited time.

Several routers may report one crash.  A strike's id consists of the
agent's instance and incarnation and the number of the crash, so that all
reports of one crash count once.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Set
from dataclasses import dataclass
from typing import Final

import msgspec

from bulrushstream.state.decoding import DECODE_ERRORS
from bulrushstream.state.message import Strike
from bulrushstream.state.streamclock import StreamClock

AGENT_LOST: Final = "lost"


@dataclass(frozen=True, slots=True)
class QuarantineOptions:
    """Limits of the quarantine."""

    max_strikes: int = 3  # This many strikes put it in quarantine.
    expiry_s: float = 600.0  # How long a strike counts.
    proven_s: float = 600.0  # How long a fingerprint stays proven.
    max_proven: int = 16_384  # The oldest proven ones are evicted.
    max_struck: int = 4096  # The oldest with strikes are evicted.


@dataclass(frozen=True, slots=True)
class StrikeRecord:
    """A strike in the log."""

    fingerprint: int
    strike_id: str  # Identifies the crash.
    alone: bool  # Whether nothing else ran on the endpoint.
    at_ms: int  # The time of the crash, on the stream's clock.


@dataclass(frozen=True, slots=True)
class StrikeBatch:
    """The strikes and pardons of one append to the log."""

    at_ms: int  # The stream's time, as estimated by the appender.
    strikes: tuple[StrikeRecord, ...] = ()
    pardons: tuple[int, ...] = ()  # Fingerprints whose strikes are removed.


@dataclass(frozen=True, slots=True)
class _StrikeEntry:
    """One strike against one fingerprint."""

    at_s: float  # The time of the crash, on the router's clock.
    alone: bool  # Whether nothing else ran on the endpoint.


class Quarantine:
    """The strikes against each fingerprint."""

    options: QuarantineOptions
    clock: StreamClock  # The clock of the log's stream of strikes.

    def __init__(self, options: QuarantineOptions) -> None:
        self.options = options
        self.clock = StreamClock()
        self._strikes: OrderedDict[int, dict[str, _StrikeEntry]] = (
            OrderedDict()
        )
        self._pardoned_s: OrderedDict[int, float] = OrderedDict()
        self._proven_s: OrderedDict[int, float] = OrderedDict()

    def add_strike(
        self, fingerprint: int, strike_id: str, alone: bool, at_s: float
    ) -> bool:
        """Add a strike against a fingerprint.

        :param fingerprint: the requests' fingerprint
        :param strike_id: identifies the crash
        :param alone: whether nothing else ran on the endpoint
        :param at_s: the time of the crash, on the router's clock
        :returns: whether the strike is new and was not pardoned
        """
        if at_s <= self._pardoned_s.get(fingerprint, float("-inf")):
            return False
        strikes = self._strikes.setdefault(fingerprint, {})
        self._strikes.move_to_end(fingerprint)
        if strike_id in strikes:
            return False
        strikes[strike_id] = _StrikeEntry(at_s, alone)
        self._proven_s.pop(fingerprint, None)
        if len(self._strikes) > self.options.max_struck:
            self._strikes.popitem(last=False)
        return True

    def has_strike(self, fingerprint: int, strike_id: str) -> bool:
        """Return whether a strike is recorded against a fingerprint."""
        return strike_id in self._strikes.get(fingerprint, {})

    def pardon(self, fingerprint: int, at_s: float) -> bool:
        """Remove all strikes up to a time; return whether any existed."""
        self._pardoned_s[fingerprint] = max(
            at_s, self._pardoned_s.get(fingerprint, at_s)
        )
        self._pardoned_s.move_to_end(fingerprint)
        if len(self._pardoned_s) > self.options.max_struck:
            self._pardoned_s.popitem(last=False)
        strikes = self._strikes.get(fingerprint, {})
        removed = [
            strike_id
            for strike_id, strike in strikes.items()
            if strike.at_s <= at_s
        ]
        for strike_id in removed:
            del strikes[strike_id]
        if not strikes:
            self._strikes.pop(fingerprint, None)
        return bool(removed)

    def mark_proven(self, fingerprint: int, now_s: float) -> bool:
        """Record an end without a crash; return whether strikes existed."""
        self._proven_s[fingerprint] = now_s
        self._proven_s.move_to_end(fingerprint)
        if len(self._proven_s) > self.options.max_proven:
            self._proven_s.popitem(last=False)
        if fingerprint not in self._strikes:
            return False
        return self.pardon(fingerprint, now_s)

    def is_proven(self, fingerprint: int, now_s: float) -> bool:
        """Return whether a fingerprint is proven at this time."""
        at_s = self._proven_s.get(fingerprint)
        return at_s is not None and now_s - at_s < self.options.proven_s

    def count(self, fingerprint: int, now_s: float) -> int:
        """Return the number of strikes that have not expired."""
        strikes = self._strikes.get(fingerprint)
        if strikes is None:
            return 0
        for strike_id in [
            strike_id
            for strike_id, strike in strikes.items()
            if self._is_expired(strike, now_s)
        ]:
            del strikes[strike_id]
        if not strikes:
            del self._strikes[fingerprint]
        return len(strikes)

    def unexplained_count(
        self,
        fingerprint: int,
        now_s: float,
        explained_otherwise: Set[str] = frozenset(),
    ) -> int:
        """Return the number of strikes that no other request explains.

        Of the requests with a strike for one crash, those with the most
        strikes explain it.

        :param fingerprint: the requests' fingerprint
        :param now_s: the time
        :param explained_otherwise: ids of strikes that do not count
        """
        own = self.count(fingerprint, now_s)
        explained = set(explained_otherwise)
        for strikes in self._strikes.values():
            if len(strikes) > own:
                explained.update(strikes)
        own_strikes = self._strikes.get(fingerprint, {})
        return sum(strike_id not in explained for strike_id in own_strikes)

    def span_s(self, fingerprint: int) -> tuple[float, float]:
        """Return the times of the first and the last strike; (0, 0): none.

        :param fingerprint: the requests' fingerprint
        """
        times = [
            strike.at_s
            for strike in self._strikes.get(fingerprint, {}).values()
        ]
        return (min(times), max(times)) if times else (0.0, 0.0)

    def is_refused(self, fingerprint: int, now_s: float) -> bool:
        """Return whether a fingerprint is in quarantine."""
        return self.count(fingerprint, now_s) >= self.options.max_strikes

    def remaining_s(self, fingerprint: int, now_s: float) -> float:
        """Return the remaining time of a fingerprint's quarantine; 0: none."""
        strikes = self._strikes.get(fingerprint, {})
        times = sorted(
            (strike.at_s for strike in strikes.values()), reverse=True
        )
        if len(times) < self.options.max_strikes:
            return 0.0
        decisive_s = times[self.options.max_strikes - 1]
        return max(0.0, decisive_s + self.options.expiry_s - now_s)

    def fingerprints(self) -> tuple[int, ...]:
        """Return the fingerprints with strikes, for operators."""
        return tuple(self._strikes)

    def strikes(self, fingerprint: int, now_s: float) -> tuple[Strike, ...]:
        """Return the strikes against a fingerprint, for peers."""
        if not self.count(fingerprint, now_s):
            return ()
        return tuple(
            Strike(
                fingerprint, strike_id, strike.alone, _age_ms(strike, now_s)
            )
            for strike_id, strike in self._strikes[fingerprint].items()
        )

    def _is_expired(self, strike: _StrikeEntry, now_s: float) -> bool:
        return now_s - strike.at_s >= self.options.expiry_s


def encode_strikes(batch: StrikeBatch) -> bytes:
    """Return a batch as the body of a log record."""
    return msgspec.json.encode(batch)


def decode_strikes(body: bytes) -> StrikeBatch | None:
    """Return the batch in a log record; None if it can not be decoded."""
    try:
        return msgspec.json.decode(body, type=StrikeBatch)
    except DECODE_ERRORS:
        return None


def _age_ms(strike: _StrikeEntry, now_s: float) -> int:
    return max(0, int((now_s - strike.at_s) * 1000))
