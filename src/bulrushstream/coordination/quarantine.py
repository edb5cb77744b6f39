"""Remembers which kinds of request were running when endpoints crashed.

A *fingerprint* stands for all requests with the same workspace, service
and content.  Each crash of an endpoint is a *strike* against every
fingerprint that was in flight there.  One strike makes a fingerprint
*suspected*; three put it in quarantine.  Strikes expire, and are lifted by
an operator's *pardon* or when a request of the fingerprint ends without a
crash, after which the fingerprint is *proven* for a while.

One crash may be reported by several routers.  A strike's name tells which
start of which agent and which crash of its endpoint it was, so that all
reports of one crash count once.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

import msgspec

from bulrushstream.state.message import Strike
from bulrushstream.state.streamclock import StreamClock

LOST: Final = "lost"


@dataclass(frozen=True, slots=True)
class QuarantineOptions:
    """When a fingerprint is suspected, refused and forgiven."""

    max_strikes: int = 3  # Strikes that put it in quarantine.
    expiry_s: float = 600.0  # How long a strike counts.
    proven_s: float = 600.0  # How long a good end is remembered.
    max_proven: int = 16_384  # Proven fingerprints that are kept.
    max_struck: int = 4096  # Struck fingerprints that are kept.


@dataclass(frozen=True, slots=True)
class StrikeRecord:
    """A strike in the log."""

    fingerprint: int  # Digest of the request.
    strike_id: str  # Names the crash.
    alone: bool  # Whether the request ran alone.
    at_ms: int  # When it crashed, on the stream's clock.


@dataclass(frozen=True, slots=True)
class StrikeBatch:
    """The records of one append."""

    at_ms: int  # The stream's time, as the appender estimates it.
    strikes: tuple[StrikeRecord, ...] = ()
    pardons: tuple[int, ...] = ()  # Fingerprints that are lifted.


@dataclass(frozen=True, slots=True)
class _Crash:
    """One strike against one fingerprint."""

    at_s: float  # When, on the router's clock.
    alone: bool  # Whether the request ran alone.


class Quarantine:
    """The strikes against each fingerprint."""

    options: QuarantineOptions  # The limits.
    clock: StreamClock  # The time of the stream of strikes.

    def __init__(self, options: QuarantineOptions) -> None:
        self.options = options
        self.clock = StreamClock()
        self._crashes: OrderedDict[int, dict[str, _Crash]] = OrderedDict()
        self._pardoned_s: OrderedDict[int, float] = OrderedDict()
        self._proven_s: OrderedDict[int, float] = OrderedDict()

    def strike(
        self, fingerprint: int, strike_id: str, alone: bool, at_s: float
    ) -> bool:
        """Count a crash against a fingerprint.

        :param fingerprint: which requests
        :param strike_id: names the crash
        :param alone: whether the request ran alone
        :param at_s: when it was, on the router's clock
        :returns: whether it is a strike that was not known
        """
        if at_s <= self._pardoned_s.get(fingerprint, float("-inf")):
            return False
        crashes = self._crashes.setdefault(fingerprint, {})
        self._crashes.move_to_end(fingerprint)
        if strike_id in crashes:
            return False
        crashes[strike_id] = _Crash(at_s, alone)
        self._proven_s.pop(fingerprint, None)
        if len(self._crashes) > self.options.max_struck:
            self._crashes.popitem(last=False)
        return True

    def holds(self, fingerprint: int, strike_id: str) -> bool:
        """Return whether a crash counts against a fingerprint."""
        return strike_id in self._crashes.get(fingerprint, {})

    def pardon(self, fingerprint: int, at_s: float) -> bool:
        """Lift all strikes up to a time; return whether there were any."""
        self._pardoned_s[fingerprint] = max(
            at_s, self._pardoned_s.get(fingerprint, at_s)
        )
        self._pardoned_s.move_to_end(fingerprint)
        if len(self._pardoned_s) > self.options.max_struck:
            self._pardoned_s.popitem(last=False)
        crashes = self._crashes.get(fingerprint, {})
        lifted = [
            name for name, crash in crashes.items() if crash.at_s <= at_s
        ]
        for name in lifted:
            del crashes[name]
        if not crashes:
            self._crashes.pop(fingerprint, None)
        return bool(lifted)

    def prove(self, fingerprint: int, now_s: float) -> bool:
        """Note an end without a crash; return whether strikes were lifted."""
        self._proven_s[fingerprint] = now_s
        self._proven_s.move_to_end(fingerprint)
        if len(self._proven_s) > self.options.max_proven:
            self._proven_s.popitem(last=False)
        if fingerprint not in self._crashes:
            return False
        return self.pardon(fingerprint, now_s)

    def is_proven(self, fingerprint: int, now_s: float) -> bool:
        """Return whether a request of it ended well not long ago."""
        at_s = self._proven_s.get(fingerprint)
        return at_s is not None and now_s - at_s < self.options.proven_s

    def count(self, fingerprint: int, now_s: float) -> int:
        """Return how many strikes count against a fingerprint."""
        crashes = self._crashes.get(fingerprint)
        if crashes is None:
            return 0
        for name in [n for n, c in crashes.items() if self._over(c, now_s)]:
            del crashes[name]
        if not crashes:
            del self._crashes[fingerprint]
        return len(crashes)

    def is_refused(self, fingerprint: int, now_s: float) -> bool:
        """Return whether a fingerprint is in quarantine."""
        return self.count(fingerprint, now_s) >= self.options.max_strikes

    def ends_s(self, fingerprint: int, now_s: float) -> float:
        """Return how long the quarantine of a fingerprint still lasts."""
        crashes = self._crashes.get(fingerprint, {})
        times = sorted((c.at_s for c in crashes.values()), reverse=True)
        if len(times) < self.options.max_strikes:
            return 0.0
        decisive_s = times[self.options.max_strikes - 1]
        return max(0.0, decisive_s + self.options.expiry_s - now_s)

    def fingerprints(self) -> tuple[int, ...]:
        """Return the fingerprints that have strikes, for operators."""
        return tuple(self._crashes)

    def strikes(self, fingerprint: int, now_s: float) -> tuple[Strike, ...]:
        """Return what counts against a fingerprint, for peers."""
        if not self.count(fingerprint, now_s):
            return ()
        return tuple(
            Strike(fingerprint, name, crash.alone, _age_ms(crash, now_s))
            for name, crash in self._crashes[fingerprint].items()
        )

    def _over(self, crash: _Crash, now_s: float) -> bool:
        return now_s - crash.at_s >= self.options.expiry_s


def encode_strikes(batch: StrikeBatch) -> bytes:
    """Return a batch as the body of a log record."""
    return msgspec.json.encode(batch)


def decode_strikes(body: bytes) -> StrikeBatch | None:
    """Return the batch in a log record; None if it holds none."""
    try:
        return msgspec.json.decode(body, type=StrikeBatch)
    except msgspec.DecodeError:
        return None


def _age_ms(crash: _Crash, now_s: float) -> int:
    return max(0, int((now_s - crash.at_s) * 1000))
