"""The parts of prompts that were in flight when endpoints crashed.

A part gets a *strike* for each crash of an endpoint with a run on it.  Once
an endpoint begins to write an answer on the part and ends it whole, the part
is *proven*: strikes from before do not count.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Set
from dataclasses import dataclass, field
from typing import Final

# How long a strike counts.
EXPIRY_S: Final = 600.0

# Limits of what is stored; the oldest entries are dropped.
MAX_STRUCK: Final = 2048
MAX_PROVEN: Final = 8192
MAX_STRIKES_OF_PART: Final = 32

# Another part explains the crashes of a part if it was in flight at this
# share of them, and at each of the last ones.
EXPLAINING_SHARE: Final = 0.5
LAST_CRASHES: Final = 2


@dataclass(frozen=True, slots=True)
class PartStrike:
    """A crash of an endpoint with a run on a part."""

    endpoint: str  # The endpoint's id.
    crash_s: float  # When it crashed.
    sent_s: float  # When the part's last run there was sent.


@dataclass(slots=True)
class PartStrikeTable:
    """The strikes of each part, and when it was proven."""

    # By part and by the crash's id; crashes in the order of their reports.
    _strikes: OrderedDict[int, dict[str, PartStrike]] = field(
        default_factory=OrderedDict
    )
    _proven_s: OrderedDict[int, float] = field(default_factory=OrderedDict)

    def add(self, part: int, crash_id: str, strike: PartStrike) -> bool:
        """Add a strike; return whether it is new and not disproved.

        A later run of a known strike replaces the earlier one.

        :param part: the part's id
        :param crash_id: the id of the crash
        :param strike: the crash
        """
        if strike.crash_s <= self.proven_s(part):
            return False
        strikes = self._strikes.setdefault(part, {})
        self._strikes.move_to_end(part)
        known = strikes.get(crash_id)
        if known is not None and strike.sent_s <= known.sent_s:
            return False
        strikes[crash_id] = strike
        if len(strikes) > MAX_STRIKES_OF_PART:
            del strikes[next(iter(strikes))]
        if len(self._strikes) > MAX_STRUCK:
            self._strikes.popitem(last=False)
        return True

    def prove(self, part: int, began_s: float) -> bool:
        """Record a whole answer; return whether strikes are removed.

        :param part: the part's id
        :param began_s: when the endpoint began to write it
        """
        self._proven_s[part] = max(began_s, self.proven_s(part))
        self._proven_s.move_to_end(part)
        if len(self._proven_s) > MAX_PROVEN:
            self._proven_s.popitem(last=False)
        return self._drop_until(part, began_s)

    def expire(self, now_s: float) -> bool:
        """Remove the strikes that are too old; return whether there are any.

        :param now_s: the time
        """
        until_s = now_s - EXPIRY_S
        return any([self._drop_until(part, until_s) for part in self.parts()])

    def discard(self, crash_ids: Set[str]) -> None:
        """Remove the strikes for some crashes.

        :param crash_ids: the ids of the crashes
        """
        for part, strikes in list(self._strikes.items()):
            for crash_id in crash_ids & strikes.keys():
                del strikes[crash_id]
            if not strikes:
                del self._strikes[part]

    def proven_s(self, part: int) -> float:
        """Return when a part was last proven; minus infinity: never.

        :param part: the part's id
        """
        return self._proven_s.get(part, float("-inf"))

    def parts(self) -> tuple[int, ...]:
        """Return the parts with strikes, that struck last at the end."""
        return tuple(self._strikes)

    def strikes(self, part: int) -> list[PartStrike]:
        """Return the strikes of a part in the order of the crashes.

        :param part: the part's id
        """
        strikes = self._strikes.get(part, {}).values()
        return sorted(strikes, key=lambda strike: strike.crash_s)

    def items(self, part: int) -> list[tuple[str, PartStrike]]:
        """Return the strikes of a part with the ids of the crashes.

        :param part: the part's id
        """
        return list(self._strikes.get(part, {}).items())

    def find(self, part: int, crash_id: str) -> PartStrike | None:
        """Return a part's strike for a crash; None: it has none.

        :param part: the part's id
        :param crash_id: the id of the crash
        """
        return self._strikes.get(part, {}).get(crash_id)

    def independent_count(self, part: int) -> int:
        """Return the number of strikes that one event can not explain.

        Each of them is of a run that was sent after the crash before.

        :param part: the part's id
        """
        count, last_s = 0, float("-inf")
        for strike in self.strikes(part):
            if strike.sent_s > last_s:
                count += 1
                last_s = strike.crash_s
        return count

    def shared_crashes(self, part: int) -> dict[int, int]:
        """Return the number of a part's crashes that each part shares.

        :param part: the part's id
        """
        crashes = self._strikes.get(part, {}).keys()
        return {
            other: shared
            for other, strikes in self._strikes.items()
            if (shared := len(crashes & strikes.keys()))
        }

    def explanations(self, part: int) -> frozenset[int]:
        """Return the parts that may have caused the crashes of a part.

        :param part: the part's id, which is one of them
        """
        strikes = self._strikes.get(part, {})
        last = sorted(strikes, key=lambda crash: strikes[crash].crash_s)
        needed = last[-LAST_CRASHES:]
        return frozenset(
            other
            for other, shared in self.shared_crashes(part).items()
            if shared >= EXPLAINING_SHARE * len(strikes)
            and all(crash in self._strikes[other] for crash in needed)
        )

    def _drop_until(self, part: int, until_s: float) -> bool:
        """Remove the strikes up to a time; return whether there were any."""
        strikes = self._strikes.get(part)
        if strikes is None:
            return False
        kept = {
            crash_id: strike
            for crash_id, strike in strikes.items()
            if strike.crash_s > until_s
        }
        if len(kept) == len(strikes):
            return False
        if kept:
            self._strikes[part] = kept
        else:
            del self._strikes[part]
        return True
